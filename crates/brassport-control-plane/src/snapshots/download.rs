//! The download of a snapshot.

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

/// Time after a request without a chunk after which the next source is tried: five chunks' time on a slow link.
const SOURCE_TIMEOUT_MS: Millis = 600;
/// Time without a chunk after which the download is stalled: it is dropped, and any other snapshot may replace it.
const STALL_MS: Millis = 5_000;

/// Why a snapshot was rejected.
#[derive(Debug)]
pub(super) enum SnapshotError {
    /// The bytes of the snapshot do not match the digest in its ID.
    DigestMismatch,
    /// The bytes of the snapshot can't be decoded as a state.
    Decode(ciborium::de::Error<std::io::Error>),
    /// The state in the snapshot has this index, but the snapshot's ID names another one.
    IndexMismatch(LogIndex),
}

impl fmt::Display for SnapshotError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SnapshotError::DigestMismatch => f.write_str("digest mismatch"),
            SnapshotError::Decode(error) => write!(f, "can't decode the state: {error}"),
            SnapshotError::IndexMismatch(index) => write!(f, "the decoded state has index {index}"),
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

/// The progress of a download, as shown in the status.
#[derive(Debug, Serialize)]
pub(crate) struct Progress {
    index: LogIndex,
    bytes: u64,
    of: u64,
    from: Ipv4Addr,
}

/// A snapshot that is being downloaded.
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

    /// The peer that the snapshot is downloaded from.
    pub(super) fn source(&self) -> Ipv4Addr {
        self.from
    }

    pub(super) fn progress(&self) -> Progress {
        Progress { index: self.id.index, bytes: self.bytes.len() as u64, of: self.total, from: self.from }
    }

    /// Whether the snapshot of this chunk may replace this one: it must have a higher index, unless this download is
    /// stalled.
    pub(super) fn may_be_replaced_by(&self, chunk: &SnapshotChunk, now: Millis) -> bool {
        self.id != chunk.id && (chunk.id.index > self.id.index || self.is_stalled(now))
    }

    /// Appends a chunk if it is the next one of this snapshot. Returns whether it was.
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

    /// Downloads the remaining chunks from this peer.
    pub(super) fn continue_from(&mut self, from: Ipv4Addr) {
        self.from = from;
    }

    /// The request for the next chunk, and the peer to send it to.
    pub(super) fn next_request(&mut self, now: Millis) -> (Ipv4Addr, PeerMessage) {
        self.requested_at = now;
        (self.from, PeerMessage::FetchSnapshotChunk(self.id, self.bytes.len() as u64))
    }

    /// Checks the digest and decodes the state.
    ///
    /// # Errors
    /// The bytes do not match the digest, can't be decoded, or contain a state of another index.
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
