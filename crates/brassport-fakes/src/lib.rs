//! Stand-ins of external systems, made to fail as the real ones do. On the seams to clock and network, so that they
//! run on loopback and in the simulation; not for production.
//!
//! - [`cluster`] is a Nomad cluster's state, without I/O: what was written, at which index.
//! - [`nomad`] serves it as several API servers, each with troubles of its own.
//! - [`dns`] is some recursive resolvers and the zone that they answer from.
#![forbid(unsafe_code)]

pub mod cluster;
pub mod dns;
pub mod nomad;
