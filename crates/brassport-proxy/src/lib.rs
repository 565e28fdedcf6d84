//! What both programs share of the front door: the seams to the world, connections on both sides, bodies, attempts, and
//! the owner of the decisions.
//!
//! Nothing here knows what a program's clients ask for or how its backends are found. Where the programs differ in
//! what they say to a backend, [`protocol::UpstreamProtocol`] stands between.
#![forbid(unsafe_code)]

pub mod body;
pub mod clock;
pub mod date;
pub mod deadline;
pub mod dispatch;
pub mod downstream;
pub mod hooks;
pub mod log;
pub mod mutants;
pub mod network;
pub mod protocol;
pub mod responses;
pub mod shutdown;
pub mod upstream;
