//! Messages between replicas.

use super::{AcceptedEntry, Entry, LogIndex, Term, VoterId};
use serde::{Deserialize, Serialize};

/// A message between replicas. Most names of variants and fields are a single letter on the wire.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// A candidate asks for a promise not to take part in any lower term.
    #[serde(rename = "p")]
    Prepare {
        /// The candidate's term.
        #[serde(rename = "e")]
        term: Term,
    },
    /// The response to [`Prepare`](Message::Prepare): the sender has promised the term, and the promise is on disk.
    #[serde(rename = "q")]
    Promise {
        /// The promised term.
        #[serde(rename = "e")]
        term: Term,
        /// The last index that the sender knows to be committed.
        #[serde(rename = "p")]
        index: LogIndex,
        /// The entry that the sender accepted at the next index.
        #[serde(rename = "open")]
        accepted: Option<AcceptedEntry>,
    },
    /// The sender rejects a term: it has promised a higher one, or another leader is alive.
    #[serde(rename = "x")]
    Reject {
        /// The highest term that the sender has promised.
        #[serde(rename = "e")]
        term: Term,
    },
    /// The leader asks the voters to accept an entry.
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
    /// The response to [`Accept`](Message::Accept): the sender has accepted the entry, and the acceptance is on disk.
    #[serde(rename = "b")]
    Accepted {
        /// The leader's term.
        #[serde(rename = "e")]
        term: Term,
        /// The index of the entry.
        #[serde(rename = "p")]
        index: LogIndex,
    },
    /// The leader is alive and knows all entries up to an index to be committed.
    #[serde(rename = "l")]
    Heartbeat {
        /// The leader's term.
        #[serde(rename = "e")]
        term: Term,
        /// The last index that the leader knows to be committed.
        #[serde(rename = "p")]
        index: LogIndex,
        /// The number of this heartbeat, which the response repeats.
        #[serde(rename = "n")]
        heartbeat: u64,
    },
    /// The leader steps down in favour of a voter, which campaigns at once.
    #[serde(rename = "t")]
    TransferLeadership {
        /// The leader's term.
        #[serde(rename = "e")]
        term: Term,
        /// The voter that is to become the leader.
        to: VoterId,
    },
    /// The response to [`Heartbeat`](Message::Heartbeat): the sender has promised no higher term.
    #[serde(rename = "f")]
    HeartbeatResponse {
        /// The leader's term.
        #[serde(rename = "e")]
        term: Term,
        /// The last index that the sender knows to be committed.
        #[serde(rename = "p")]
        index: LogIndex,
        /// The number of the heartbeat that this message responds to.
        #[serde(rename = "n")]
        heartbeat: u64,
    },
}
