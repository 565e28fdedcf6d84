//! The chain of the operator's words: which entry holds at each index, agreed by a majority of voters' disks. No I/O.
//!
//! At most one index is open at a time: the one behind the last that is known to be chosen. A leader of leadership has an
//! term. It asks a majority of the voters for a promise, finishes what may have been chosen under a lower term, and
//! only then judges what the operator asks. What keeps it safe:
//!
//! - **One entry a index.** A voter accepts under an term only if it has promised no higher one (`Replica::accept`), and
//!   a leader takes over the open entry of the highest term that its majority tells (`Replica::adopt_open_entry`).
//! - **Nothing leaves before it is on disk.** Promise and acceptance are effects behind a write: [`Action::Write`]
//!   carries what may be said once it is synced.
//! - **Majorities meet.** The set of voters is part of the chain and changes by one voter at a index, so that each majority
//!   of one set meets each of the next.
//! - **Who has lost its disk has no vote.** A voter is an address and the number that its disk was given when it was
//!   empty; another number is another voter, which the others must let in.
//!
//! The first live voter in the agreed order takes the role: each waits longer, the later it stands in that order.

mod leadership;
pub mod mutants;
mod replica;

use crate::configuration::{Document, Faults};
use mutants::Mutant;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::net::Ipv4Addr;
use std::sync::Arc;

pub use leadership::Command;
pub use replica::{Recovered, Replica};

/// Milliseconds of the steady clock.
pub type Millis = u64;
/// How often leadership was taken, and the disk of whoever took it: two leaders never have the same.
pub type Term = (u64, u64);
/// Where an entry stands in the chain; the first has index 1.
pub type LogIndex = u64;

/// A voter: its address, and the number that its disk was given.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId {
    /// Its machine.
    pub ip: Ipv4Addr,
    /// Its disk.
    pub disk: u64,
}

/// What stands at a index.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// Nothing: a leader makes sure of its majority.
    Nothing,
    /// These are the voters from the next index on, and so many doors share what is lent.
    Voters {
        /// The voters, in the agreed order.
        voters: Vec<VoterId>,
        /// Parts that limits are cut into.
        slots: u32,
    },
    /// A whole configuration on top of a version.
    Replace {
        /// The version it builds on.
        built_on: u32,
        /// As the operator sent it.
        #[serde(with = "bytes")]
        body: Arc<Vec<u8>>,
    },
    /// A change of named items on top of a version.
    Change {
        /// The version it builds on.
        built_on: u32,
        /// As the operator sent it.
        #[serde(with = "bytes")]
        body: Arc<Vec<u8>>,
    },
}

/// Bodies as byte strings: the default writes a list of numbers.
mod bytes {
    use serde::{de, Deserializer, Serializer};
    use std::fmt;
    use std::sync::Arc;

    pub fn serialize<S: Serializer>(body: &Arc<Vec<u8>>, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(body)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Arc<Vec<u8>>, D::Error> {
        struct Body;
        impl<'de> de::Visitor<'de> for Body {
            type Value = Arc<Vec<u8>>;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("bytes")
            }
            fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
                Ok(Arc::new(bytes.to_vec()))
            }
            fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<Self::Value, E> {
                Ok(Arc::new(bytes))
            }
        }
        from.deserialize_byte_buf(Body)
    }
}

/// An entry that is chosen.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Chosen {
    /// Its index.
    #[serde(rename = "place")]
    pub index: LogIndex,
    /// What stands there.
    pub entry: Entry,
}

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
    /// What is chosen at a index, where something else or nothing was accepted here.
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

/// How many of the latest versions are remembered, to tell a call sent again from a new one.
const REMEMBERED: usize = 512;

/// What the chain has led to at a index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The index.
    #[serde(rename = "place")]
    pub index: LogIndex,
    /// Who votes on the next index.
    pub voters: Vec<VoterId>,
    /// Parts that limits are cut into.
    pub slots: u32,
    /// The configuration.
    #[serde(with = "document")]
    pub document: Arc<Document>,
    /// Digests of the calls that made each of the latest versions.
    pub taken: BTreeMap<u32, u64>,
}

// A document follows from the calls that led to it, of which the digests are kept: those stand for it.
impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.index, &self.voters, self.slots, &self.taken).hash(hasher);
    }
}

/// A configuration as the bytes of its JSON.
mod document {
    use super::{bytes, Arc, Document};
    use serde::{de::Error, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(document: &Arc<Document>, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(&document.to_bytes())
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Arc<Document>, D::Error> {
        let body = bytes::deserialize(from)?;
        Document::from_bytes(&body).map(Arc::new).map_err(|faults| D::Error::custom(faults.to_string()))
    }
}

impl State {
    /// Before anything was heard.
    pub fn nothing() -> State {
        let document = Arc::new(Document::empty());
        State { index: 0, voters: Vec::new(), slots: 0, document, taken: BTreeMap::new() }
    }

    /// The beginning: there are voters, and no configuration.
    pub fn genesis(voters: Vec<VoterId>, slots: u32) -> State {
        State { index: 1, voters, slots, ..State::nothing() }
    }

    /// So many voters are a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + usize::from(!mutants::is_chosen(Mutant::NoMajority))
    }

    /// By how many voters another set differs: those that come and those that go.
    pub fn differs_by(&self, voters: &[VoterId]) -> usize {
        let come = voters.iter().filter(|voter| !self.voters.contains(voter)).count();
        come + self.voters.iter().filter(|voter| !voters.contains(voter)).count()
    }

    /// The version in force.
    pub fn version(&self) -> u32 {
        self.document.version().0
    }

    /// Applies the entry at the next index. Whoever applies the same entries has the same state.
    pub fn apply(&mut self, entry: &Entry) {
        self.index += 1;
        match entry {
            Entry::Nothing => {}
            Entry::Voters { voters, slots } => (self.voters, self.slots) = (voters.clone(), *slots),
            Entry::Replace { built_on, body } | Entry::Change { built_on, body } => {
                // It was judged before it was proposed, on this very state.
                let is_whole = matches!(entry, Entry::Replace { .. });
                let Ok(document) = self.built(is_whole, body) else { return };
                self.taken.insert(document.version().0, digest(is_whole, *built_on, body));
                self.document = Arc::new(document);
                while self.taken.len() > REMEMBERED {
                    self.taken.pop_first();
                }
            }
        }
    }

    /// What this configuration becomes by a call of the operator's.
    ///
    /// # Errors
    /// The call, or what it would lead to, is invalid.
    pub fn built(&self, is_whole: bool, body: &[u8]) -> Result<Document, Faults> {
        if is_whole {
            self.document.replace(body)
        } else {
            self.document.change(body)
        }
    }
}

/// A digest of a call (FNV-1a): the same call gives the same, on every machine and in every life.
pub fn digest(is_whole: bool, built_on: u32, body: &[u8]) -> u64 {
    let head = [u8::from(is_whole)].into_iter().chain(built_on.to_be_bytes());
    head.chain(body.iter().copied())
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}
