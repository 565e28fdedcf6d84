//! The records that a voter writes to disk, and the durable state that results from them.

use super::{CommittedEntry, Entry, LogIndex, ReplicatedState, Term};
use serde::{Deserialize, Serialize};

/// An entry that a voter has accepted and does not know to be committed.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(Term, Entry)", into = "(Term, Entry)")]
pub struct AcceptedEntry {
    /// The term under which the entry was accepted.
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

/// A voter's state as recovered from disk.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// The highest promised term.
    pub promised: Term,
    /// The state that results from the committed entries.
    pub state: ReplicatedState,
    /// The entry accepted at the next index.
    #[serde(rename = "open")]
    pub accepted: Option<AcceptedEntry>,
}

impl DurableState {
    /// The state of a new disk.
    pub fn empty() -> DurableState {
        DurableState { promised: Term::ZERO, state: ReplicatedState::empty(), accepted: None }
    }
}

/// A record that has to be on disk before the messages that depend on it are sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// A promise of a term.
    Promised(Term),
    /// An entry committed at an index where this voter has accepted another entry, or none.
    #[serde(rename = "Chosen")]
    Committed(CommittedEntry),
    /// An acceptance, which is also a promise of its term. It implies that all entries before its index are committed.
    Accepted {
        /// The term under which the entry is accepted.
        term: Term,
        /// The index of the entry.
        index: LogIndex,
        /// The entry.
        entry: Entry,
    },
    /// The complete durable state, which replaces all earlier records.
    #[serde(rename = "Whole")]
    Snapshot(DurableState),
}
