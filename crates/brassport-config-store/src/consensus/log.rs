//! Entries of the replicated log.

use super::{LogIndex, VoterId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// What stands at an index.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Entry {
    /// No change: a leader makes sure of its majority.
    #[serde(rename = "Nothing")]
    Noop,
    /// These are the voters from the next index on, and so many doors share what is lent.
    Voters {
        /// The voters, in the agreed order.
        voters: Vec<VoterId>,
        /// How many equal shares tenants' rate limits are cut into.
        #[serde(rename = "slots")]
        quota_shares: u32,
    },
    /// A whole configuration on top of a version.
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

/// Bodies as byte strings: the default writes a list of numbers.
pub(super) mod bytes {
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
pub struct CommittedEntry {
    /// Its index.
    #[serde(rename = "place")]
    pub index: LogIndex,
    /// What stands there.
    pub entry: Entry,
}

impl Entry {
    /// About how many bytes it takes on the wire.
    pub fn size(&self) -> usize {
        match self {
            Entry::Replace { body, .. } | Entry::Change { body, .. } => body.len() + SMALL_ENTRY,
            Entry::Noop | Entry::Voters { .. } => SMALL_ENTRY,
        }
    }
}

/// Bytes that an entry takes beside its body.
const SMALL_ENTRY: usize = 64;
