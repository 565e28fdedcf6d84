//! The replicated state at an index of the log: the voters, the configuration, and the requests that produced its
//! latest versions.

use super::bytes;
use super::log::Entry;
use super::mutants::{self, Mutant};
use super::{ChangeScope, LogIndex, RequestDigest, VoterId};
use crate::configuration::{Document, ValidationErrors};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// Number of latest requests that are remembered, to recognize a repeated request. At 13,000 changes a day they cover
/// 57 minutes, while a caller repeats a request within seconds. An older request is answered with
/// [`Outcome::Unknown`](super::Outcome::Unknown).
pub const REMEMBERED_REQUESTS: usize = 512;

/// The state that results from all entries up to an index.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicatedState {
    /// The index of the last applied entry; 0 before the first.
    #[serde(rename = "place")]
    pub index: LogIndex,
    /// The voters for the next index, in the agreed order.
    pub voters: Vec<VoterId>,
    /// The number of equal shares into which the tenants' rate limits are divided.
    #[serde(rename = "slots")]
    pub quota_shares: u32,
    /// The configuration in force.
    #[serde(with = "document")]
    pub document: Arc<Document>,
    /// Digests of the requests that produced the latest versions, by version.
    #[serde(rename = "taken")]
    pub applied_requests: BTreeMap<u32, RequestDigest>,
    /// The highest version whose request is no longer remembered; 0 if all are remembered.
    #[serde(default, rename = "forgotten")]
    pub forgotten_up_to: u32,
}

/// A state in store format 1, in which requests are identified by digests of 64 bits.
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
    /// The short digests don't identify requests any more, so all requests count as forgotten.
    fn from(old: ShortDigestState) -> ReplicatedState {
        let ShortDigestState { index, voters, quota_shares, document, applied_requests } = old;
        let forgotten_up_to = applied_requests.last_key_value().map_or(0, |(version, _)| *version);
        let applied_requests = BTreeMap::new();
        ReplicatedState { index, voters, quota_shares, document, applied_requests, forgotten_up_to }
    }
}

// The document is left out: it is determined by the requests that produced it, whose digests are part of the hash.
impl Hash for ReplicatedState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (self.index, &self.voters, self.quota_shares, &self.applied_requests, self.forgotten_up_to)
            .hash(hasher);
    }
}

/// Encodes a configuration as the bytes of its JSON text.
mod document {
    use super::{bytes, Arc, Document};
    use serde::{de::Error, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(document: &Arc<Document>, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&document.to_bytes())
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<Document>, D::Error> {
        let body = bytes::deserialize(deserializer)?;
        Document::from_bytes(&body).map(Arc::new).map_err(|errors| D::Error::custom(errors.to_string()))
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

    /// The initial state of a log, at index 1: the given voters and an empty configuration.
    pub fn initial(voters: Vec<VoterId>, quota_shares: u32) -> ReplicatedState {
        ReplicatedState { index: LogIndex(1), voters, quota_shares, ..ReplicatedState::empty() }
    }

    /// The number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + usize::from(!mutants::is_active(Mutant::QuorumOneShort))
    }

    /// The number of voters that are in only one of the two sets: those added plus those removed.
    pub fn differs_by(&self, voters: &[VoterId]) -> usize {
        let added = voters.iter().filter(|voter| !self.voters.contains(voter)).count();
        added + self.voters.iter().filter(|voter| !voters.contains(voter)).count()
    }

    /// The version of the configuration in force.
    pub fn version(&self) -> u32 {
        self.document.version().0
    }

    /// Whether this request produced one of the versions whose requests are remembered.
    pub fn has_applied(&self, request: &RequestDigest) -> bool {
        self.applied_requests.values().any(|applied| applied == request)
    }

    /// Whether a request that builds on this version may have been applied and forgotten since. A request produces a
    /// higher version than the one it builds on, so a request that builds on a remembered version is remembered itself.
    pub fn may_have_forgotten(&self, base_version: u32) -> bool {
        base_version < self.forgotten_up_to && !mutants::is_active(Mutant::ForgottenRequestRejected)
    }

    /// Applies the entry at the next index. Deterministic: replicas that apply the same entries have the same state.
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
        // The request was validated against this same state before it was proposed.
        let Ok(document) = self.evaluate(scope, body) else { return };
        let digest = RequestDigest::of(scope, base_version, body);
        self.applied_requests.insert(document.version().0, digest);
        self.document = Arc::new(document);
        while self.applied_requests.len() > REMEMBERED_REQUESTS {
            let Some((version, _)) = self.applied_requests.pop_first() else { break };
            self.forgotten_up_to = version;
        }
    }

    /// The configuration that results from applying a request to the one in force.
    ///
    /// # Errors
    /// The request, or the resulting configuration, is invalid.
    pub fn evaluate(&self, scope: ChangeScope, body: &[u8]) -> Result<Document, ValidationErrors> {
        match scope {
            ChangeScope::Full => self.document.replace(body),
            ChangeScope::Partial => self.document.change(body),
        }
    }
}
