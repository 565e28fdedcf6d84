//! What the log has led to at an index: the voters, the configuration, and which orders made its latest versions.

use super::log::{bytes, Entry};
use super::mutants::{self, Mutant};
use super::{LogIndex, OrderDigest, VoterId};
use crate::configuration::{Document, Faults};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// How many of the latest orders are remembered, to tell one that is sent again from a new one. At 13,000 changes a day
/// they reach back 57 minutes, where a caller sends an order again within seconds. An older one gets no clear answer.
pub const REMEMBERED_ORDERS: usize = 512;

/// What the log has led to at an index.
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
    /// Digests of the orders that made each of the latest versions.
    pub taken: BTreeMap<u32, OrderDigest>,
    /// The highest version whose order is no longer remembered; 0: all are.
    #[serde(default)]
    pub forgotten: u32,
}

/// A state as stores of format 1 have it: orders stand under digests of 64 bits.
#[derive(Debug, Deserialize)]
pub(crate) struct ShortDigestState {
    #[serde(rename = "place")]
    index: LogIndex,
    voters: Vec<VoterId>,
    slots: u32,
    #[serde(deserialize_with = "document::deserialize")]
    document: Arc<Document>,
    taken: BTreeMap<u32, u64>,
}

impl From<ShortDigestState> for State {
    /// None of its orders can be told from others any more: all count as forgotten.
    fn from(old: ShortDigestState) -> State {
        let ShortDigestState { index, voters, slots, document, taken } = old;
        let forgotten = taken.last_key_value().map_or(0, |(version, _)| *version);
        State { index, voters, slots, document, taken: BTreeMap::new(), forgotten }
    }
}

// A document follows from the orders that led to it, of which the digests are kept: those stand for it.
impl Hash for State {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.index, &self.voters, self.slots, &self.taken, self.forgotten).hash(hasher);
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
        State { index: 0, voters: Vec::new(), slots: 0, document, taken: BTreeMap::new(), forgotten: 0 }
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

    /// Whether this very order made one of the versions that are remembered.
    pub fn has_taken(&self, order: &OrderDigest) -> bool {
        self.taken.values().any(|taken| taken == order)
    }

    /// Whether an order on top of this version may have been taken so long ago that it is no longer remembered. An order
    /// leads to a higher version than it builds on, so one on top of a remembered version is remembered itself.
    pub fn may_have_forgotten(&self, built_on: u32) -> bool {
        built_on < self.forgotten && !mutants::is_chosen(Mutant::ForgottenRefused)
    }

    /// Applies the entry at the next index. Whoever applies the same entries has the same state.
    pub fn apply(&mut self, entry: &Entry) {
        self.index += 1;
        match entry {
            Entry::Nothing => {}
            Entry::Voters { voters, slots } => (self.voters, self.slots) = (voters.clone(), *slots),
            Entry::Replace { built_on, body } => self.apply_order(true, *built_on, body),
            Entry::Change { built_on, body } => self.apply_order(false, *built_on, body),
        }
    }

    fn apply_order(&mut self, is_whole: bool, built_on: u32, body: &[u8]) {
        // It was judged before it was proposed, on this very state.
        let Ok(document) = self.built(is_whole, body) else { return };
        let digest = OrderDigest::of(is_whole, built_on, body);
        self.taken.insert(document.version().0, digest);
        self.document = Arc::new(document);
        while self.taken.len() > REMEMBERED_ORDERS {
            let Some((version, _)) = self.taken.pop_first() else { break };
            self.forgotten = version;
        }
    }

    /// What this configuration becomes by an order of the operator's.
    ///
    /// # Errors
    /// The order, or what it would lead to, is invalid.
    pub fn built(&self, is_whole: bool, body: &[u8]) -> Result<Document, Faults> {
        if is_whole {
            self.document.replace(body)
        } else {
            self.document.change(body)
        }
    }
}
