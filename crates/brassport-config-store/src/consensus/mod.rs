//! Consensus on the operator's configurations: a majority of the voters, each with a durable disk, agrees on the entry
//! at each index of the log. No I/O.
//!
//! At most one index is undecided at a time: the one after the last index known to be committed. A leader has a term.
//! It asks a majority of the voters for a promise, completes what may have been committed under a lower term, and only
//! then evaluates commands (Lamport, "The Part-Time Parliament" and "Paxos Made Simple": one instance of single-decree
//! Paxos per index). Safety rests on these rules:
//!
//! - **One entry per index.** A voter accepts an entry under a term only if it has promised no higher term
//!   (`Replica::on_accept`), and a leader adopts the accepted entry of the highest term among the promises of its
//!   majority (`Replica::adopt`).
//! - **Durable before sent.** Promises and acceptances depend on a write: they are sent after the host has executed
//!   [`Action::Persist`] and called [`Replica::on_persisted`].
//! - **Quorums intersect.** The voter set is part of the log and changes by one voter per index, so that each majority
//!   of one set intersects each majority of the next set.
//! - **A voter that has lost its disk has no vote.** A voter is identified by its address and the number assigned to
//!   its disk when the disk was initialized. The same address with another disk number is another voter, which the
//!   leader has to add.
//!
//! The first live voter in the agreed order campaigns: the election time-out grows with the position in that order.
//!
//! Terminology: a *promise* is phase 1b and an *acceptance* phase 2b of Paxos. *Term*, *leader*, *candidate*,
//! *follower*, *commit* and *snapshot* are terms of Raft (Ongaro and Ousterhout, "In Search of an Understandable
//! Consensus Algorithm"), whose leadership this module resembles more closely.

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

/// The identity of a voter: its address and the number assigned to its disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId {
    /// The address of the voter's machine.
    pub ip: Ipv4Addr,
    /// The number assigned to the voter's disk when the disk was initialized.
    pub disk: DiskId,
}
