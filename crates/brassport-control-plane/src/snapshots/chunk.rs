//! The wire format of snapshot chunks.

use brassport_types::LogIndex;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The identity of a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotId {
    /// The log index of its state.
    #[serde(rename = "p")]
    pub index: LogIndex,
    /// The first 128 bits of the SHA-256 of its bytes.
    #[serde(rename = "d")]
    pub digest: u128,
}

/// A chunk of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// The snapshot that the chunk belongs to.
    #[serde(rename = "i")]
    pub id: SnapshotId,
    /// Size of the complete snapshot in bytes.
    #[serde(rename = "t")]
    pub total: u64,
    /// Offset of the chunk within the snapshot, in bytes.
    #[serde(rename = "o")]
    pub offset: u64,
    /// The contents of the chunk.
    #[serde(rename = "b", with = "crate::byte_string")]
    pub bytes: Vec<u8>,
}

/// The digest of a snapshot's bytes: the first 128 bits of their SHA-256.
pub(super) fn digest(bytes: &[u8]) -> u128 {
    let hash = Sha256::digest(bytes);
    hash.iter().take(16).fold(0, |digest, byte| digest << 8 | u128::from(*byte))
}
