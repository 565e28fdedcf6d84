//! Consensus on the operator's configurations: which entry stands at each index of the log, agreed by a majority of
//! voters' disks. No I/O.
//!
//! At most one index is open at a time: the one behind the last that is known to be chosen. A leader has a term. It asks
//! a majority of the voters for a promise, finishes what may have been chosen under a lower term, and only then judges
//! what the operator asks. What keeps it safe:
//!
//! - **One entry at an index.** A voter accepts under a term only if it has promised no higher one (`Replica::accept`),
//!   and a leader adopts the open entry of the highest term that its majority tells (`Replica::adopt_open_entry`).
//! - **Nothing leaves before it is on disk.** Promise and acceptance are effects behind a write: [`Action::Persist`]
//!   carries what may be said once it is synced.
//! - **Majorities meet.** The set of voters is part of the log and changes by one voter at an index, so that each majority
//!   of one set meets each of the next.
//! - **Who has lost its disk has no vote.** A voter is an address and the number that its disk was given when it was
//!   empty; another number is another voter, which the others must let in.
//!
//! The first live voter in the agreed order campaigns: each waits longer, the later it stands in that order.

mod campaign;
mod configuration_request;
mod leader;
mod log;
mod message;
pub mod mutants;
mod replica;
mod state;

pub use brassport_types::{DiskId, LogIndex, Millis, Term};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

pub use configuration_request::{ChangeScope, ConfigurationRequest, RequestDigest};
pub use leader::Command;
pub use log::{CommittedEntry, Entry};
pub use message::{AcceptedEntry, Action, Message, Outcome, Record};
pub use replica::{DurableState, Replica};
pub(crate) use state::ShortDigestState;
pub use state::{ReplicatedState, REMEMBERED_REQUESTS};

/// A voter: its address, and the number that its disk was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId {
    /// Its machine.
    pub ip: Ipv4Addr,
    /// Its disk.
    pub disk: DiskId,
}
