//! The front door that runs before a render fleet: HTTP/1.1 in, HTTP/1.1 out, with every decision left to the
//! module of the crate `brassport-policy`.
//!
//! It is a library so that the same code runs in two worlds. What it needs of a world stands behind two seams,
//! [`clock::Clock`] and [`network::Network`]; [`run_gateway`] takes one of each. The program `brassport` chooses the
//! system's; the crate `brassport-sim` a simulated world's. It is not a general proxy: it speaks the protocol of its
//! platform, and it keeps no state beyond its process.
//!
//! Everything runs on one thread, within one `tokio::task::LocalSet`:
//!
//! ```no_run
//! use brassport::{clock::SystemClock, config, run_gateway, network::Tcp};
//! use tokio::task::LocalSet;
//!
//! # fn main() -> Result<(), String> {
//! let config = config::read(config::Precedence::Environment)?;
//! let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
//! let (controls, control) = tokio::sync::mpsc::unbounded_channel();
//! LocalSet::new().block_on(&runtime, run_gateway(config, SystemClock, Tcp, control))?;
//! # drop(controls);
//! # Ok(())
//! # }
//! ```
#![forbid(unsafe_code)]

mod clients;
pub mod config;
pub mod discovery;
mod door;
mod local_meter;
mod members;
mod nodes;
mod program;
mod revisions;
pub mod run;
mod upstream;

pub use brassport_proxy::upstream::UpstreamConnection;
pub use brassport_proxy::{clock, hooks, log, mutants, network};
use brassport_proxy::{date, protocol, shutdown};
pub use program::{
    run_gateway, run_gateway_with, Control, GatewayOptions, Inspection, MembershipInspector, Upgrades,
};
