//! What a voter has on disk: the records that it writes, and the state that they amount to.

use super::{CommittedEntry, Entry, LogIndex, ReplicatedState, Term};
use serde::{Deserialize, Serialize};

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

/// What was found on disk.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// The highest term promised.
    pub promised: Term,
    /// The state that the committed entries led to.
    pub state: ReplicatedState,
    /// What was accepted at the next index.
    #[serde(rename = "open")]
    pub accepted: Option<AcceptedEntry>,
}

impl DurableState {
    /// What a new disk holds.
    pub fn empty() -> DurableState {
        DurableState { promised: Term::ZERO, state: ReplicatedState::empty(), accepted: None }
    }
}

/// What has to be on disk before the messages that depend on it are sent.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// A promise.
    Promised(Term),
    /// An entry that is committed, where another one or none was accepted here.
    #[serde(rename = "Chosen")]
    Committed(CommittedEntry),
    /// An acceptance, which is a promise of its term too. Its presence shows that all before its index is committed.
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
