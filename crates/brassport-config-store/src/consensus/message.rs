//! What replicas send to one another, what a replica asks of its host, and what becomes of a command.

use super::log::{CommittedEntry, Entry};
use super::replica::DurableState;
use super::state::ReplicatedState;
use super::{LogIndex, Term, VoterId};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// An entry that a voter has accepted and that is not known to be committed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(Term, Entry)", into = "(Term, Entry)")]
pub struct AcceptedEntry {
    /// The term under which it was accepted.
    pub term: Term,
    /// The entry.
    pub entry: Entry,
}

impl From<(Term, Entry)> for AcceptedEntry {
    fn from((term, entry): (Term, Entry)) -> AcceptedEntry {
        AcceptedEntry { term, entry }
    }
}

impl From<AcceptedEntry> for (Term, Entry) {
    fn from(accepted: AcceptedEntry) -> (Term, Entry) {
        (accepted.term, accepted.entry)
    }
}

/// A message between voters. On the wire, variants and fields have names of one letter.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A candidate asks for a promise to take part in no lower term.
    #[serde(rename = "p")]
    Prepare {
        /// The candidate's term.
        #[serde(rename = "e")]
        term: Term,
    },
    /// The answer to [`Prepare`](Message::Prepare): the term is promised, and the promise is on disk.
    #[serde(rename = "q")]
    Promise {
        /// The term promised.
        #[serde(rename = "e")]
        term: Term,
        /// The last index that the sender knows to be committed.
        #[serde(rename = "p")]
        index: LogIndex,
        /// What the sender accepted at the next index.
        #[serde(rename = "open")]
        accepted: Option<AcceptedEntry>,
    },
    /// The term is rejected: a higher one was promised, or the leader is alive.
    #[serde(rename = "x")]
    Reject {
        /// The highest term that the sender has promised.
        #[serde(rename = "e")]
        term: Term,
    },
    /// The leader asks for an entry to be accepted.
    #[serde(rename = "a")]
    Accept {
        /// The leader's term.
        #[serde(rename = "e")]
        term: Term,
        /// The index of the entry.
        #[serde(rename = "p")]
        index: LogIndex,
        /// The entry.
        entry: Entry,
    },
    /// The answer to [`Accept`](Message::Accept): the entry is accepted, and on disk.
    #[serde(rename = "b")]
    Accepted {
        /// The leader's term.
        #[serde(rename = "e")]
        term: Term,
        /// The index of the entry.
        #[serde(rename = "p")]
        index: LogIndex,
    },
    /// The leader is alive, and knows all entries up to an index to be committed.
    #[serde(rename = "l")]
    Heartbeat {
        /// The leader's term.
        #[serde(rename = "e")]
        term: Term,
        /// The last committed index.
        #[serde(rename = "p")]
        index: LogIndex,
        /// The number of this heartbeat; the answer repeats it.
        #[serde(rename = "n")]
        heartbeat: u64,
    },
    /// The leader steps down in favour of a voter, which campaigns at once.
    #[serde(rename = "t")]
    TransferLeadership {
        /// The leader's term.
        #[serde(rename = "e")]
        term: Term,
        /// The voter that is to lead.
        to: VoterId,
    },
    /// The answer to [`Heartbeat`](Message::Heartbeat): no higher term was promised.
    #[serde(rename = "f")]
    HeartbeatResponse {
        /// The leader's term.
        #[serde(rename = "e")]
        term: Term,
        /// The last index that the sender knows to be committed.
        #[serde(rename = "p")]
        index: LogIndex,
        /// The number of the heartbeat that is answered.
        #[serde(rename = "n")]
        heartbeat: u64,
    },
}

/// What has to be on disk before the messages that depend on it are sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// A promise.
    Promised(Term),
    /// An entry that is committed, where another one or none was accepted here.
    #[serde(rename = "Chosen")]
    Committed(CommittedEntry),
    /// An acceptance, which is a promise of its term too. All before its index is committed.
    Accepted {
        /// The term under which it is accepted.
        term: Term,
        /// Its index.
        index: LogIndex,
        /// The entry.
        entry: Entry,
    },
    /// All that there is to keep, in place of what was kept before.
    #[serde(rename = "Whole")]
    Snapshot(DurableState),
}

/// What a replica asks of its host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a message to a machine.
    Send(Ipv4Addr, Message),
    /// Write a record to disk; once it is synced, call [`Replica::on_persisted`](super::Replica::on_persisted) with the number.
    Persist(u64, Record),
    /// An entry was applied to the state; `None`: a snapshot was installed.
    Applied(Option<CommittedEntry>),
    /// The command with this number has its outcome.
    Respond(u64, Outcome),
    /// This replica lacks committed entries: fetch them from that machine.
    FetchLog(Ipv4Addr),
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It is committed, or was before.
    Committed,
    /// It builds on a version that is not the current one, and will never be in force.
    VersionConflict,
    /// It is invalid and will never be in force; why.
    Invalid(String),
    /// Whether it will be in force is not known, or this replica can't tell.
    Unknown,
    /// To a read: the newest state.
    Current(Arc<ReplicatedState>),
}
