//! The control plane of a gateway's node, as a state machine without I/O.
//!
//! A host hands [`ControlPlane::handle`] events with the time and executes the [`Action`]s that come back. The control
//! plane holds this node's replica of the log of configurations and hosts its consensus, the table of backends (soft
//! state under leases, disseminated at once and repaired by digests), the peers that it knows, who votes, and what is
//! granted of tenants' rate limits.
//!
//! It is not for requests: it decides nothing about one, and the data plane reads copies of what it knows. It opens no
//! socket, no file and no clock of its own, and draws only from the seed that it is given.
//!
//! ```
//! use brassport_control_plane::{ControlPlane, Event, FaultTolerance, Options};
//! use brassport_transport::peer_sampling::PeerRecord;
//! use brassport_types::{DiskId, Incarnation};
//! use std::net::Ipv4Addr;
//!
//! let (own, seed) = (Ipv4Addr::new(10, 0, 0, 1), Ipv4Addr::new(10, 0, 0, 2));
//! let node = PeerRecord {
//!     ip: own,
//!     incarnation: Incarnation(1),
//!     zone: "a".to_owned(),
//!     disk: DiskId::NONE,
//!     is_core: false,
//! };
//! let options = Options {
//!     node,
//!     seeds: vec![seed],
//!     first_start: false,
//!     fault_tolerance: FaultTolerance::machines(1),
//!     heartbeat_interval_ms: 1_000,
//!     seed: 7,
//! };
//! let mut control = ControlPlane::new(options, 0);
//! let actions = control.handle(60, Event::Tick);
//! assert_eq!(actions.len(), 1, "it contacts its seed");
//! assert_eq!(control.leader(), None);
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod backends;
pub mod call;
mod clock;
mod confirmations;
mod consensus_host;
mod contacts;
mod control_plane;
mod event;
mod gossip;
mod isolation;
mod known_leader;
mod log_sync;
mod membership;
mod outbox;
pub mod peer_message;
mod quota;
pub mod ring_rank;
mod snapshots;
mod status;

pub use control_plane::ControlPlane;
pub use event::{Action, Event, Options};
pub use membership::FaultTolerance;
pub use snapshots::{SnapshotChunk, SnapshotId};

pub use brassport_types::Millis;
