//! API gateway for a render fleet: HTTP/1.1 on both sides. All admission, routing and retry decisions are made by the
//! policy in the crate `brassport-policy`.
//!
//! The gateway is a library so that the same code runs in production and in simulation. Its environment is abstracted
//! by two traits, [`clock::Clock`] and [`network::Network`]; [`run_gateway`] takes an implementation of each. The
//! program `brassport` uses those of the operating system, the crate `brassport-sim` simulated ones. It is not a
//! general-purpose proxy: it implements the protocol of its platform, and keeps no state beyond the life of its
//! process.
//!
//! Everything runs on one thread, inside one `tokio::task::LocalSet`:
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

pub mod config;
pub mod discovery;
mod gateway;
mod gateway_core;
mod local_meter;
mod membership;
mod nodes;
mod request_handler;
mod revisions;
pub mod run;
mod upstream;

pub use brassport_proxy::upstream::UpstreamConnection;
pub use brassport_proxy::{clock, hooks, log, mutants, network, protocol};
use brassport_proxy::{date, shutdown};
pub use gateway::{
    run_gateway, run_gateway_with, Control, GatewayOptions, Inspection, MembershipInspector, Upgrades,
};
