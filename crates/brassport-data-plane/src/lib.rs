//! The data plane of the gateway: requests by route, key and tenant, before the door's decisions.
//!
//! For each service there is a door of the front door's own kind ([`brassport_proxy::door::Door`] with the decision module
//! behind it); what is different here stands at its seams: what an attempt says ([`wire`]), what a tenant may make
//! ([`shares`]), which settings the module has ([`terms`]). A request reads this machine's copy of the configuration and
//! nothing else; it never waits for another process.
#![forbid(unsafe_code)]

pub mod front;
mod hooks;
pub mod metrics;
mod service;
pub mod shares;
pub mod terms;
pub mod wire;

pub use service::{DataPlane, Options};
