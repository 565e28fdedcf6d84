//! The control plane of a gateway node, as a state machine without I/O.
//!
//! The host passes events and the current time to [`ControlPlane::handle`] and executes the returned [`Action`]s. The
//! control plane contains:
//!
//! - this node's replica of the configuration log, and the consensus protocol that extends it;
//! - the endpoint table: soft state under leases, broadcast on change and repaired by comparing digests;
//! - a partial view of the peers, and the set of voters;
//! - the grants of tenants' rate limits.
//!
//! The *core* is the set of nodes that may vote in consensus. A node outside the core receives committed entries from
//! its peers.
//!
//! The control plane takes no part in handling requests: the data plane works on copies of its state. It opens no
//! socket or file, reads no clock, and draws random numbers only from the seed in [`Options`].
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
//! assert_eq!(actions.len(), 1, "gossip to the seed");
//! assert_eq!(control.leader(), None);
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod backends;
mod byte_string;
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
