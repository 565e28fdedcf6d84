//! Entries of the replicated log.

use super::{bytes, LogIndex, VoterId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// Changes nothing; a leader may propose it to confirm its majority.
    #[serde(rename = "Nothing")]
    Noop,
    /// Sets the voters from the next index on, and the number of quota shares.
    Voters {
        /// The voters, in the agreed order.
        voters: Vec<VoterId>,
        /// The number of equal shares into which the tenants' rate limits are divided.
        #[serde(rename = "slots")]
        quota_shares: u32,
    },
    /// Replaces the complete configuration.
    Replace {
        /// The version that the entry builds on.
        #[serde(rename = "built_on")]
        base_version: u32,
        /// The body as the operator sent it.
        #[serde(with = "bytes")]
        body: Arc<Vec<u8>>,
    },
    /// Changes named items of the configuration.
    Change {
        /// The version that the entry builds on.
        #[serde(rename = "built_on")]
        base_version: u32,
        /// The body as the operator sent it.
        #[serde(with = "bytes")]
        body: Arc<Vec<u8>>,
    },
}

/// A committed entry and its index.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CommittedEntry {
    /// The index at which the entry is committed.
    #[serde(rename = "place")]
    pub index: LogIndex,
    /// The entry.
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

/// Encoded size of an entry without its body: field names, index and version, rounded up.
const ENTRY_OVERHEAD_BYTES: usize = 64;
