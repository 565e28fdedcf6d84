//! The state that a fleet of gateway instances shares, the leases that permit one to act on it, and each one's record
//! of the versions that it acted on; without I/O.
//!
//! A *gateway instance* is a process that serves clients and applies the fleet's shared settings; it *acts* on a
//! version of the shared state while it serves requests by it. The fields named `door`, in messages and records too,
//! hold a gateway instance's name. A plain *instance* is a process that keeps the fleet's replicated log; the log's
//! voters elect the leader.
//!
//! - [`shared`] is the state that the replicated log builds: numbered, digested versions of what operators publish.
//! - [`standing`] is one gateway instance's right to act: a lease that expires on its own clock.
//! - [`grants`] is the leader's table of those rights: which gateway instances may still act, on which version, and
//!   whether a fence holds.
//! - [`record`] is a gateway instance's record of the versions that it acted on, as a chain of digests.
//! - [`clocks`] converts times on the clocks of many gateway instances to one clock, with error bounds.
//! - [`audit`] answers queries from the records of many gateway instances.
//!
//! HTTP, storage and consensus are in the package `brassport-peers`. Choosing a backend, retrying a request and rejecting one
//! is up to the policy. Unless stated otherwise, times are milliseconds on the caller's own monotonic clock, which must keep
//! advancing while the process is suspended.
//!
//! ```
//! use brassport_fleet::shared::{Change, Shared};
//!
//! let mut shared = Shared::default();
//! let change = Change::new("c-1", "asha", "disk is failing", "ban", "node-7", true.into());
//! let done = shared.apply(&change).expect("the change is complete and new");
//! assert_eq!((done.version, shared.get("ban", "node-7").is_some()), (1, true));
//! assert!(shared.apply(&change).expect("repeated").repeated);
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod audit;
pub mod clocks;
pub mod grants;
pub mod mutants;
pub mod record;
pub mod shared;
pub mod standing;

/// Milliseconds on the caller's own monotonic clock.
pub type Millis = u64;
