//! Consensus on the operator's configurations: which entry stands at each index of the log, agreed by a majority of
//! voters' disks. No I/O.
//!
//! At most one index is open at a time: the one after the last that is known to be committed. A leader has a term. It asks
//! a majority of the voters for a promise, finishes what may have been committed under a lower term, and only then evaluates
//! commands (Lamport, "The Part-Time Parliament" and "Paxos Made Simple": one instance of single-decree Paxos an index).
//! What keeps it safe:
//!
//! - **One entry at an index.** A voter accepts under a term only if it has promised no higher one (`Replica::on_accept`),
//!   and a leader adopts the accepted entry of the highest term among its majority's promises (`Replica::adopt`).
//! - **Nothing leaves before it is on disk.** Promise and acceptance depend on a write: they are sent after the host has
//!   executed [`Action::Persist`] and called [`Replica::on_persisted`].
//! - **Majorities meet.** The set of voters is part of the log and changes by one voter at an index, so that each majority
//!   of one set meets each of the next.
//! - **Who has lost its disk has no vote.** A voter is an address and the number that its disk was given when it was
//!   empty; another number is another voter, which the leader has to add.
//!
//! The first live voter in the agreed order campaigns: each waits longer, the later it stands in that order.
//!
//! The paper's words and ours: a *promise* is phase 1b and an *acceptance* phase 2b of Paxos; *term*, *leader*, *candidate*,
//! *follower*, *commit* and *snapshot* are Raft's (Ongaro and Ousterhout, "In Search of an Understandable Consensus
//! Algorithm"), with which the leadership here has more in common.

mod action;
mod bytes;
mod campaign;
mod command;
mod configuration_request;
mod durability;
mod election;
mod follower;
mod leader;
mod log;
mod messages;
pub mod mutants;
mod proposal;
mod record;
mod replica;
mod retained;
mod state;
mod tracker;

pub use action::{Action, Outcome};
pub use brassport_types::{DiskId, LogIndex, Millis, Term};
pub use command::Command;
pub use configuration_request::{ChangeScope, ConfigurationRequest, RequestDigest};
pub use log::{CommittedEntry, Entry};
pub use messages::Message;
pub use record::{AcceptedEntry, DurableState, Record};
pub use replica::Replica;
pub(crate) use state::ShortDigestState;
pub use state::{ReplicatedState, REMEMBERED_REQUESTS};

use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// A voter: its address, and the number that its disk was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId {
    /// Its machine.
    pub ip: Ipv4Addr,
    /// Its disk.
    pub disk: DiskId,
}
