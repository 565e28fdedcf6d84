//! What a fleet of proxies agrees on, which of them may act on it, and the record of which did; without I/O.
//!
//! A proxy of the fleet is called a *door* here, as in the messages and records that this package defines. An *instance* is a
//! process that keeps the fleet's replicated log; the log's voters elect the leader.
//!
//! - [`shared`] is the state that the replicated log builds: numbered, digested versions of what operators publish.
//! - [`standing`] is one door's right to act, a lease on its own clock.
//! - [`grants`] is the leader's table of those rights: who may still act, on which version, and whether a fence holds.
//! - [`record`] is a door's record of the versions that it acted on, as a chain of digests.
//! - [`clocks`] relates moments of many doors to one clock, with bounds.
//! - [`audit`] answers queries from the records of many doors.
//!
//! Not for HTTP, disks and consensus, which the package `brassport-peers` brings. It never chooses a backend, a retry or a
//! rejection of a request: the policy does. All times are milliseconds on the caller's own monotonic clock, which must run
//! on while the process is suspended.
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
