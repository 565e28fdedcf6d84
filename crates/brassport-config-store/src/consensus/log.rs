//! Entries of the replicated log.

use super::{bytes, LogIndex, VoterId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What stands at an index of the log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// No change: a leader makes sure of its majority.
    #[serde(rename = "Nothing")]
    Noop,
    /// These are the voters from the next index on, and tenants' rate limits are cut into so many shares.
    Voters {
        /// The voters, in the agreed order.
        voters: Vec<VoterId>,
        /// How many equal shares tenants' rate limits are cut into.
        #[serde(rename = "slots")]
        quota_shares: u32,
    },
    /// A full configuration on top of a version.
    Replace {
        /// The version it builds on.
        #[serde(rename = "built_on")]
        base_version: u32,
        /// As the operator sent it.
        #[serde(with = "bytes")]
        body: Arc<Vec<u8>>,
    },
    /// A change of named items on top of a version.
    Change {
        /// The version it builds on.
        #[serde(rename = "built_on")]
        base_version: u32,
        /// As the operator sent it.
        #[serde(with = "bytes")]
        body: Arc<Vec<u8>>,
    },
}

/// An entry that is committed at its index.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommittedEntry {
    /// Its index.
    #[serde(rename = "place")]
    pub index: LogIndex,
    /// What stands there.
    pub entry: Entry,
}

impl Entry {
    /// Estimated encoded size in bytes.
    pub fn estimated_size(&self) -> usize {
        match self {
            Entry::Replace { body, .. } | Entry::Change { body, .. } => body.len() + ENTRY_OVERHEAD_BYTES,
            Entry::Noop | Entry::Voters { .. } => ENTRY_OVERHEAD_BYTES,
        }
    }
}

/// Bytes that an entry takes beside its body: names of fields, index and version, rounded up.
const ENTRY_OVERHEAD_BYTES: usize = 64;
