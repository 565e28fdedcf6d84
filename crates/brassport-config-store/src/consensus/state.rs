//! What the log has led to at an index: the voters, the configuration, and which requests made its latest versions.

use super::bytes;
use super::log::Entry;
use super::mutants::{self, Mutant};
use super::{ChangeScope, LogIndex, RequestDigest, VoterId};
use crate::configuration::{Document, ValidationErrors};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// How many of the latest requests are remembered, to tell one that is sent again from a new one. At 13,000 changes a
/// day they reach back 57 minutes, where a caller sends a request again within seconds. An older one gets no clear answer.
pub const REMEMBERED_REQUESTS: usize = 512;

/// What the log has led to at an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The index.
    #[serde(rename = "place")]
    pub index: LogIndex,
    /// Who votes on the next index.
    pub voters: Vec<VoterId>,
    /// How many equal shares tenants' rate limits are cut into.
    #[serde(rename = "slots")]
    pub quota_shares: u32,
    /// The configuration.
    #[serde(with = "document")]
    pub document: Arc<Document>,
    /// Digests of the requests that made each of the latest versions.
    #[serde(rename = "taken")]
    pub applied_requests: BTreeMap<u32, RequestDigest>,
    /// The highest version whose request is no longer remembered; 0: all are.
    #[serde(default, rename = "forgotten")]
    pub forgotten_up_to: u32,
}

/// A state as stores of format 1 have it: requests stand under digests of 64 bits.
#[derive(Debug, Deserialize)]
pub(crate) struct ShortDigestState {
    #[serde(rename = "place")]
    index: LogIndex,
    voters: Vec<VoterId>,
    #[serde(rename = "slots")]
    quota_shares: u32,
    #[serde(deserialize_with = "document::deserialize")]
    document: Arc<Document>,
    #[serde(rename = "taken")]
    applied_requests: BTreeMap<u32, u64>,
}

impl From<ShortDigestState> for ReplicatedState {
    /// None of its requests can be told from others any more: all count as forgotten.
    fn from(old: ShortDigestState) -> ReplicatedState {
        let ShortDigestState { index, voters, quota_shares, document, applied_requests } = old;
        let forgotten_up_to = applied_requests.last_key_value().map_or(0, |(version, _)| *version);
        let applied_requests = BTreeMap::new();
        ReplicatedState { index, voters, quota_shares, document, applied_requests, forgotten_up_to }
    }
}

// A document follows from the requests that led to it, whose digests are part of the hash.
impl Hash for ReplicatedState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.index, &self.voters, self.quota_shares, &self.applied_requests, self.forgotten_up_to)
            .hash(hasher);
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

impl ReplicatedState {
    /// The state before the first entry.
    pub fn empty() -> ReplicatedState {
        ReplicatedState {
            index: LogIndex(0),
            voters: Vec::new(),
            quota_shares: 0,
            document: Arc::new(Document::empty()),
            applied_requests: BTreeMap::new(),
            forgotten_up_to: 0,
        }
    }

    /// The state that a log begins with: there are voters, and no configuration.
    pub fn genesis(voters: Vec<VoterId>, quota_shares: u32) -> ReplicatedState {
        ReplicatedState { index: LogIndex(1), voters, quota_shares, ..ReplicatedState::empty() }
    }

    /// How many voters are a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + usize::from(!mutants::is_active(Mutant::QuorumOneShort))
    }

    /// By how many voters another set differs: those that come and those that go.
    pub fn differs_by(&self, voters: &[VoterId]) -> usize {
        let added = voters.iter().filter(|voter| !self.voters.contains(voter)).count();
        added + self.voters.iter().filter(|voter| !voters.contains(voter)).count()
    }

    /// The version in force.
    pub fn version(&self) -> u32 {
        self.document.version().0
    }

    /// Whether this very request made one of the versions whose requests are remembered.
    pub fn has_applied(&self, request: &RequestDigest) -> bool {
        self.applied_requests.values().any(|applied| applied == request)
    }

    /// Whether a request on top of this version may have been applied so long ago that it is no longer remembered. A request
    /// leads to a higher version than it builds on, so one on top of a remembered version is remembered itself.
    pub fn may_have_forgotten(&self, base_version: u32) -> bool {
        base_version < self.forgotten_up_to && !mutants::is_active(Mutant::ForgottenRequestRejected)
    }

    /// Applies the entry at the next index. Whoever applies the same entries has the same state.
    pub fn apply(&mut self, entry: &Entry) {
        self.index += 1;
        match entry {
            Entry::Noop => {}
            Entry::Voters { voters, quota_shares } => {
                (self.voters, self.quota_shares) = (voters.clone(), *quota_shares);
            }
            Entry::Replace { base_version, body } => {
                self.apply_request(ChangeScope::Full, *base_version, body);
            }
            Entry::Change { base_version, body } => {
                self.apply_request(ChangeScope::Partial, *base_version, body);
            }
        }
    }

    fn apply_request(&mut self, scope: ChangeScope, base_version: u32, body: &[u8]) {
        // It was checked before it was proposed, against this very state.
        let Ok(document) = self.evaluate(scope, body) else { return };
        let digest = RequestDigest::of(scope, base_version, body);
        self.applied_requests.insert(document.version().0, digest);
        self.document = Arc::new(document);
        while self.applied_requests.len() > REMEMBERED_REQUESTS {
            let Some((version, _)) = self.applied_requests.pop_first() else { break };
            self.forgotten_up_to = version;
        }
    }

    /// What the current configuration becomes by a request.
    ///
    /// # Errors
    /// The request, or what it would lead to, is invalid.
    pub fn evaluate(&self, scope: ChangeScope, body: &[u8]) -> Result<Document, ValidationErrors> {
        match scope {
            ChangeScope::Full => self.document.replace(body),
            ChangeScope::Partial => self.document.change(body),
        }
    }
}
