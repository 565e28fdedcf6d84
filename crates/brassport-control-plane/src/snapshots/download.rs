//! The snapshot that is fetched.

use super::chunk::digest;
use super::{SnapshotChunk, SnapshotId};
use crate::peer_message::PeerMessage;
use crate::Millis;
use brassport_config_store::consensus::mutants::{is_active, Mutant};
use brassport_config_store::consensus::ReplicatedState;
use brassport_types::LogIndex;
use serde::Serialize;
use std::fmt;
use std::net::Ipv4Addr;

/// After so many ms without a chunk the next source is tried: five chunks' time on a slow link.
const SOURCE_TIMEOUT_MS: Millis = 600;
/// After so many ms without a chunk the download is given up, and a newer snapshot may replace it.
const STALL_MS: Millis = 5_000;

/// Why a snapshot is refused.
#[derive(Debug)]
pub(super) enum SnapshotError {
    /// Its bytes do not have the digest of its id.
    DigestMismatch,
    /// Its bytes are no state.
    Decode(ciborium::de::Error<std::io::Error>),
    /// Its state is at another index than its id says.
    IndexMismatch(LogIndex),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SnapshotError::DigestMismatch => f.write_str("digest mismatch"),
            SnapshotError::Decode(error) => write!(f, "can't be decoded: {error}"),
            SnapshotError::IndexMismatch(index) => write!(f, "its state is at index {index}"),
        }
    }
}

impl std::error::Error for SnapshotError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            SnapshotError::Decode(error) => Some(error),
            SnapshotError::DigestMismatch | SnapshotError::IndexMismatch(_) => None,
        }
    }
}

/// How much of a snapshot has come, as the status shows it.
#[derive(Debug, Serialize)]
pub(crate) struct Progress {
    index: LogIndex,
    bytes: u64,
    of: u64,
    from: Ipv4Addr,
}

/// A snapshot of which the first bytes are there.
#[derive(Debug)]
pub(super) struct Download {
    id: SnapshotId,
    total: u64,
    bytes: Vec<u8>,
    from: Ipv4Addr,
    received_at: Millis,
    requested_at: Millis,
}

impl Download {
    pub(super) fn begin(first: &SnapshotChunk, from: Ipv4Addr, now: Millis) -> Download {
        let (id, total) = (first.id, first.total);
        Download { id, total, bytes: Vec::new(), from, received_at: now, requested_at: now }
    }

    pub(super) fn index(&self) -> LogIndex {
        self.id.index
    }

    /// The peer that sends it.
    pub(super) fn source(&self) -> Ipv4Addr {
        self.from
    }

    pub(super) fn progress(&self) -> Progress {
        Progress { index: self.id.index, bytes: self.bytes.len() as u64, of: self.total, from: self.from }
    }

    /// Whether a chunk of another snapshot may replace this one: a newer one, or any, once this one is stalled.
    pub(super) fn may_be_replaced_by(&self, chunk: &SnapshotChunk, now: Millis) -> bool {
        self.id != chunk.id && (chunk.id.index > self.id.index || self.is_stalled(now))
    }

    /// Takes the next chunk; another one is ignored. Whether it was the next.
    pub(super) fn append(&mut self, from: Ipv4Addr, chunk: &SnapshotChunk, now: Millis) -> bool {
        if self.id != chunk.id || chunk.offset != self.bytes.len() as u64 {
            return false;
        }
        self.bytes.extend_from_slice(&chunk.bytes);
        (self.from, self.received_at) = (from, now);
        true
    }

    pub(super) fn is_complete(&self) -> bool {
        self.bytes.len() as u64 >= self.total
    }

    pub(super) fn is_stalled(&self, now: Millis) -> bool {
        now >= self.received_at + STALL_MS
    }

    pub(super) fn is_source_silent(&self, now: Millis) -> bool {
        now >= self.requested_at + SOURCE_TIMEOUT_MS
    }

    /// The rest comes from this peer.
    pub(super) fn continue_from(&mut self, from: Ipv4Addr) {
        self.from = from;
    }

    /// The request for the next chunk, and whom it goes to.
    pub(super) fn next_request(&mut self, now: Millis) -> (Ipv4Addr, PeerMessage) {
        self.requested_at = now;
        (self.from, PeerMessage::FetchSnapshotChunk(self.id, self.bytes.len() as u64))
    }

    /// The state.
    ///
    /// # Errors
    /// The bytes have another digest than the id, or are no state at its index.
    pub(super) fn decode(&self) -> Result<ReplicatedState, SnapshotError> {
        if digest(&self.bytes) != self.id.digest && !is_active(Mutant::SnapshotUnchecked) {
            return Err(SnapshotError::DigestMismatch);
        }
        let state: ReplicatedState = ciborium::from_reader(&self.bytes[..]).map_err(SnapshotError::Decode)?;
        if state.index != self.id.index {
            return Err(SnapshotError::IndexMismatch(state.index));
        }
        Ok(state)
    }
}
