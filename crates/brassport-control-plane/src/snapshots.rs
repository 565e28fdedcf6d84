//! Snapshots: a machine that lacks more of the log than others keep takes a whole state, in chunks.
//!
//! A snapshot is known by the index it stands at and the digest of its bytes. The receiver asks for one chunk after
//! another, from whoever has the same snapshot: if one source falls silent another goes on where it ended. It takes the
//! state in only when all bytes are there and have the digest.

use crate::control::ControlPlane;
use crate::peer_message::PeerMessage;
use crate::Millis;
use brassport_config_store::consensus::mutants::{is_active, Mutant};
use brassport_config_store::consensus::{LogIndex, ReplicatedState};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::net::Ipv4Addr;

/// Bytes of a chunk: an eighth of a second on a link of 2 Mbit/s.
pub(crate) const CHUNK: usize = 32 * 1024;
/// A snapshot of more bytes is refused: 35,000 routes take some 10 MB.
const MOST_BYTES: u64 = 48 << 20;
/// After so long without a chunk another source is asked.
const ASK_ANOTHER: Millis = 600;
/// After so long without a chunk the download is given up, and a newer snapshot may take its place.
const STALLED: Millis = 5_000;
/// An encoded snapshot that nobody asked for is kept for so long.
const KEPT: Millis = 10_000;

/// What identifies a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotId {
    /// The index that its state stands at.
    #[serde(rename = "p")]
    pub index: LogIndex,
    /// The first 128 bits of the SHA-256 of its bytes.
    #[serde(rename = "d")]
    pub digest: u128,
}

/// A part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotChunk {
    /// Of which snapshot.
    #[serde(rename = "i")]
    pub id: SnapshotId,
    /// Bytes of the whole.
    #[serde(rename = "t")]
    pub total: u64,
    /// Where this part begins.
    #[serde(rename = "o")]
    pub offset: u64,
    /// The part.
    #[serde(rename = "b", with = "bytes")]
    pub bytes: Vec<u8>,
}

/// Chunks as byte strings: the default writes a list of numbers.
mod bytes {
    use serde::{de, Deserializer, Serializer};
    use std::fmt;

    pub fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(bytes)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        struct Bytes;
        impl de::Visitor<'_> for Bytes {
            type Value = Vec<u8>;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("bytes")
            }
            fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Vec<u8>, E> {
                Ok(bytes.to_vec())
            }
            fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<Vec<u8>, E> {
                Ok(bytes)
            }
        }
        from.deserialize_byte_buf(Bytes)
    }
}

/// The digest of a snapshot's bytes.
pub(crate) fn digest(bytes: &[u8]) -> u128 {
    let hash = Sha256::digest(bytes);
    hash.iter().take(16).fold(0, |digest, byte| digest << 8 | u128::from(*byte))
}

/// A snapshot that others may take.
#[derive(Debug)]
struct Source {
    id: SnapshotId,
    bytes: Vec<u8>,
    used: Millis,
}

impl Source {
    fn of(state: &ReplicatedState, now: Millis) -> Source {
        let mut bytes = Vec::new();
        // A vector takes all that is written to it.
        let _ = ciborium::into_writer(state, &mut bytes);
        Source { id: SnapshotId { index: state.index, digest: digest(&bytes) }, bytes, used: now }
    }

    fn chunk(&self, offset: u64) -> Option<SnapshotChunk> {
        let from = usize::try_from(offset).ok().filter(|from| *from < self.bytes.len())?;
        let to = (from + CHUNK).min(self.bytes.len());
        let bytes = self.bytes[from..to].to_vec();
        Some(SnapshotChunk { id: self.id, total: self.bytes.len() as u64, offset, bytes })
    }
}

/// A snapshot on its way here.
#[derive(Debug)]
struct Download {
    id: SnapshotId,
    total: u64,
    bytes: Vec<u8>,
    from: Ipv4Addr,
    /// When the last chunk came, and when one was asked for last.
    came: Millis,
    asked: Millis,
}

impl Download {
    fn begin(from: Ipv4Addr, first: &SnapshotChunk, now: Millis) -> Download {
        let (id, total) = (first.id, first.total);
        Download { id, total, bytes: Vec::new(), from, came: now, asked: now }
    }

    fn scope(&self) -> bool {
        self.bytes.len() as u64 >= self.total
    }

    /// The state, if the bytes have the digest and are one.
    fn state(&self) -> Result<ReplicatedState, String> {
        if digest(&self.bytes) != self.id.digest && !is_active(Mutant::SnapshotUnchecked) {
            return Err("its bytes have another digest".to_owned());
        }
        let state: ReplicatedState =
            ciborium::from_reader(&self.bytes[..]).map_err(|error| format!("it can't be read: {error}"))?;
        if state.index == self.id.index {
            Ok(state)
        } else {
            Err(format!("its state stands at index {}", state.index))
        }
    }
}

/// How much of a snapshot has come.
#[derive(Debug, Serialize)]
pub(crate) struct Progress {
    index: LogIndex,
    bytes: u64,
    of: u64,
    from: Ipv4Addr,
}

/// Snapshots that go out and come in.
#[derive(Debug, Default)]
pub(crate) struct Snapshots {
    source: Option<Source>,
    download: Option<Download>,
}

impl Snapshots {
    /// Whether a snapshot is on its way, and some of it came of late.
    pub(crate) fn is_downloading(&self, now: Millis) -> bool {
        self.download.as_ref().is_some_and(|download| now < download.came + STALLED)
    }

    /// The snapshot that is on its way, for the people who run it.
    pub(crate) fn progress(&self) -> Option<Progress> {
        let download = self.download.as_ref()?;
        let bytes = download.bytes.len() as u64;
        Some(Progress { index: download.id.index, bytes, of: download.total, from: download.from })
    }
}

impl ControlPlane {
    /// Sends the first chunk of a snapshot to a machine that knows the log up to this index.
    pub(crate) fn offer_snapshot(&mut self, to: Ipv4Addr, index: LogIndex) {
        self.renew_source(index);
        let first = self.snapshots.source.as_ref().and_then(|source| source.chunk(0));
        if let Some(chunk) = first {
            self.send(to, PeerMessage::SnapshotChunk(chunk));
        }
    }

    /// Encodes a snapshot, unless there is one that helps: ahead of this index, with the log from there on still kept. The
    /// checkpoint goes before the newest state, as others have the very same.
    fn renew_source(&mut self, index: LogIndex) {
        let now = self.now;
        let reaches_here = |from: LogIndex| from > index && self.replica.entries_after(from).is_some();
        let keeps = self.snapshots.source.as_ref().is_some_and(|source| reaches_here(source.id.index));
        if !keeps {
            let checkpoint = self.replica.checkpoint().filter(|state| reaches_here(state.index));
            let state = checkpoint.unwrap_or_else(|| self.replica.state().clone());
            self.snapshots.source = Some(Source::of(&state, now));
        }
        if let Some(source) = &mut self.snapshots.source {
            source.used = now;
        }
    }

    /// A machine wants more of a snapshot: of another one than this machine has, it is offered what there is.
    pub(crate) fn continue_snapshot(&mut self, to: Ipv4Addr, id: SnapshotId, offset: u64) {
        self.renew_source(id.index.previous());
        let source = self.snapshots.source.as_ref().filter(|source| source.id == id);
        match source.and_then(|source| source.chunk(offset)) {
            Some(chunk) => self.send(to, PeerMessage::SnapshotChunk(chunk)),
            None => self.offer_snapshot(to, id.index.previous()),
        }
    }

    /// A part of a snapshot came.
    pub(crate) fn receive_chunk(&mut self, from: Ipv4Addr, chunk: SnapshotChunk) {
        if chunk.id.index <= self.replica.state().index || chunk.total > MOST_BYTES {
            return;
        }
        let now = self.now;
        let known = self.snapshots.download.as_ref();
        let is_other = known.is_none_or(|known| known.id != chunk.id);
        let may_begin =
            known.is_none_or(|known| chunk.id.index > known.id.index || now >= known.came + STALLED);
        if is_other && chunk.offset == 0 && may_begin {
            self.snapshots.download = Some(Download::begin(from, &chunk, now));
        }
        let Some(download) = &mut self.snapshots.download else { return };
        if download.id != chunk.id || chunk.offset != download.bytes.len() as u64 {
            return;
        }
        download.bytes.extend_from_slice(&chunk.bytes);
        (download.from, download.came) = (from, now);
        if download.scope() {
            self.finish_download();
        } else {
            self.ask_for_chunk(from);
        }
    }

    fn finish_download(&mut self) {
        let Some(download) = self.snapshots.download.take() else { return };
        match download.state() {
            Ok(state) => {
                let done = self.replica.install_snapshot(self.now, state);
                self.carry_out(done);
                // What was chosen since is wanted at once.
                self.fetched.remove(&download.from);
                self.fetch(download.from);
            }
            Err(why) => {
                log::warn!(
                    "a snapshot at index {} from {} is refused: {why}",
                    download.id.index,
                    download.from
                );
            }
        }
    }

    fn ask_for_chunk(&mut self, from: Ipv4Addr) {
        let Some(download) = &mut self.snapshots.download else { return };
        download.asked = self.now;
        let message = PeerMessage::FetchSnapshotChunk(download.id, download.bytes.len() as u64);
        self.send(from, message);
    }

    /// Goes on with a download whose source fell silent, and forgets what is of no use any more.
    pub(crate) fn tend_snapshots(&mut self) {
        let now = self.now;
        self.snapshots.source.take_if(|source| now >= source.used + KEPT);
        let index = self.replica.state().index;
        self.snapshots.download.take_if(|download| download.id.index <= index);
        let Some(download) = &self.snapshots.download else { return };
        if now >= download.came + STALLED {
            self.snapshots.download = None;
        } else if now >= download.asked + ASK_ANOTHER {
            let (index, last) = (download.id.index, download.from);
            let next = self.another_source(index, last);
            if let Some(download) = &mut self.snapshots.download {
                download.from = next;
            }
            self.ask_for_chunk(next);
        }
    }

    /// A machine that knows the log up to this index at the least: the next behind the last that was asked.
    fn another_source(&self, index: LogIndex, last: Ipv4Addr) -> Ipv4Addr {
        let knows = |(ip, known): (&Ipv4Addr, &LogIndex)| (*known >= index).then_some(*ip);
        let able: Vec<Ipv4Addr> = self.indexes.iter().filter_map(knows).collect();
        let next = able.iter().copied().find(|ip| *ip > last);
        next.or_else(|| able.first().copied()).unwrap_or(last)
    }
}
