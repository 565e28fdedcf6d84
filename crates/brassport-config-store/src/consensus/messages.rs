//! Messages between voters.

use super::{AcceptedEntry, Entry, LogIndex, Term, VoterId};
use serde::{Deserialize, Serialize};

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
