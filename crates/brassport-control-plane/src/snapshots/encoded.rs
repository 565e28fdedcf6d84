//! The encoded snapshot that is served to peers.

use super::chunk::digest;
use super::{SnapshotChunk, SnapshotId, CHUNK_BYTES};
use crate::Millis;
use brassport_config_store::consensus::ReplicatedState;
use brassport_types::LogIndex;

/// How long an encoded snapshot is kept after its last use.
const IDLE_MS: Millis = 10_000;

/// An encoded state.
#[derive(Debug)]
pub(super) struct EncodedSnapshot {
    id: SnapshotId,
    bytes: Vec<u8>,
    used_at: Millis,
}

impl EncodedSnapshot {
    pub(super) fn encode(state: &ReplicatedState) -> EncodedSnapshot {
        let mut bytes = Vec::new();
        // Writing to a vector can't fail.
        let _ = ciborium::into_writer(state, &mut bytes);
        EncodedSnapshot { id: SnapshotId { index: state.index, digest: digest(&bytes) }, bytes, used_at: 0 }
    }

    /// Sets the time of the last use.
    pub(super) fn with_used_at(self, now: Millis) -> EncodedSnapshot {
        EncodedSnapshot { used_at: now, ..self }
    }

    pub(super) fn index(&self) -> LogIndex {
        self.id.index
    }

    pub(super) fn is_idle(&self, now: Millis) -> bool {
        now >= self.used_at + IDLE_MS
    }

    /// The chunk at a byte offset; `None` if the offset is at or past the end.
    pub(super) fn chunk(&self, offset: u64) -> Option<SnapshotChunk> {
        let from = usize::try_from(offset).ok().filter(|from| *from < self.bytes.len())?;
        let to = (from + CHUNK_BYTES).min(self.bytes.len());
        let bytes = self.bytes[from..to].to_vec();
        Some(SnapshotChunk { id: self.id, total: self.bytes.len() as u64, offset, bytes })
    }
}
