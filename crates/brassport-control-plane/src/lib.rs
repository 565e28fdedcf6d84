//! The control plane of a gateway's process: which backends there are ([`backends`]), what backends and operators call
//! ([`call`]), what processes say to one another ([`peer_message`]), and the one owner of all of it ([`ControlPlane`]).
//!
//! [`ControlPlane`] does no I/O: a host hands it events with the time, and carries out the actions that come back. It holds
//! this machine's replica of the log of configurations, the table of backends (soft state under leases, copied by
//! gossip and mended by digests), the doors that it knows, and what is lent to it of limits. It decides nothing about a
//! request; the data plane reads copies.
#![forbid(unsafe_code)]

mod backend_calls;
pub mod backends;
pub mod call;
mod confirmations;
mod control;
mod gossip;
mod isolation;
mod lending;
mod log_updates;
mod membership;
mod operator;
pub mod peer_message;
pub mod ring_position;
mod snapshots;
mod status;

pub use control::{Action, ControlPlane, Event, Options};
pub use membership::FaultTolerance;
pub use snapshots::{SnapshotChunk, SnapshotId};

pub use brassport_types::Millis;
