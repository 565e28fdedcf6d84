//! What replicas say to one another, and what a replica asks of its host.

use super::log::{Chosen, Entry};
use super::replica::Recovered;
use super::state::State;
use super::{LogIndex, Term, VoterId};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// What voters say to one another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Promise to go below this term no more.
    #[serde(rename = "p")]
    Prepare {
        /// The term.
        #[serde(rename = "e")]
        term: Term,
    },
    /// Promised; the last index known to be chosen, and the entry accepted behind it.
    #[serde(rename = "q")]
    Promise {
        /// The term promised.
        #[serde(rename = "e")]
        term: Term,
        /// The last index known to be chosen.
        #[serde(rename = "p")]
        index: LogIndex,
        /// What was accepted at the next, and under which term.
        open: Option<(Term, Entry)>,
    },
    /// Not under this term: a higher one was promised, or the leader lives.
    #[serde(rename = "x")]
    Refuse {
        /// The highest term promised.
        #[serde(rename = "e")]
        term: Term,
    },
    /// Accept this entry.
    #[serde(rename = "a")]
    Accept {
        /// The leader's term.
        #[serde(rename = "e")]
        term: Term,
        /// The index.
        #[serde(rename = "p")]
        index: LogIndex,
        /// The entry.
        entry: Entry,
    },
    /// Accepted, and on disk.
    #[serde(rename = "b")]
    Accepted {
        /// The term.
        #[serde(rename = "e")]
        term: Term,
        /// The index.
        #[serde(rename = "p")]
        index: LogIndex,
    },
    /// The leader lives, and knows all up to this index to be chosen.
    #[serde(rename = "l")]
    Lead {
        /// The leader's term.
        #[serde(rename = "e")]
        term: Term,
        /// The last chosen index.
        #[serde(rename = "p")]
        index: LogIndex,
        /// Number of this heartbeat: an answer to it shows that the leader still holds.
        #[serde(rename = "n")]
        heartbeat: u64,
    },
    /// The leader gives leadership up in favour of this voter, which campaigns at once.
    #[serde(rename = "t")]
    Transfer {
        /// The leader's term.
        #[serde(rename = "e")]
        term: Term,
        /// Who is to lead.
        to: VoterId,
    },
    /// Heard; no higher term was promised.
    #[serde(rename = "f")]
    Follow {
        /// The leader's term.
        #[serde(rename = "e")]
        term: Term,
        /// The last index known here to be chosen.
        #[serde(rename = "p")]
        index: LogIndex,
        /// The heartbeat answered.
        #[serde(rename = "n")]
        heartbeat: u64,
    },
}

/// What is to be kept on disk before the effects behind it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// A promise.
    Promised(Term),
    /// What is chosen at an index, where something else or nothing was accepted here.
    Chosen(Chosen),
    /// An acceptance; it is a promise of its term too. All before this index is chosen.
    Accepted {
        /// Under which term.
        term: Term,
        /// Where.
        index: LogIndex,
        /// What.
        entry: Entry,
    },
    /// All that there is to keep, in the place of what was kept before.
    Whole(Recovered),
}

/// What a voter asks of its host.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a message to a machine.
    Send(Ipv4Addr, Message),
    /// Keep this on disk; once it is synced, say so with the number.
    Write(u64, Record),
    /// The state has moved on: this entry was chosen, or with `None` a whole state was taken over.
    Moved(Option<Chosen>),
    /// What the operator asked under this number has its outcome.
    Answer(u64, Outcome),
    /// This replica lacks what stands before the open index: fetch it from that machine.
    Fetch(Ipv4Addr),
}

/// What became of what an operator asked.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It is chosen, or was before.
    Taken,
    /// Another version is in index, and what was asked will never be in force.
    Outdated,
    /// It is invalid; why.
    Invalid(String),
    /// Whether it will be in force is open, or nobody here can tell.
    Open,
    /// To a reader: the newest state is this.
    Newest(Arc<State>),
}
