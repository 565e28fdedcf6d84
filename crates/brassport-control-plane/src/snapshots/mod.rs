//! Snapshots: a node that lacks entries which its peers no longer retain downloads a complete state in chunks.
//!
//! A snapshot is identified by the index of its state and the digest of its bytes. The receiver fetches the chunks in
//! order, from any peer that has the same snapshot. If a source stops responding, the download continues from another
//! one at the same offset. The state is installed only if the complete bytes match the digest.

mod chunk;
mod download;
mod encoded;

pub use chunk::{SnapshotChunk, SnapshotId};

use crate::control_plane::ControlPlane;
use crate::peer_message::PeerMessage;
use crate::Millis;
use brassport_types::LogIndex;
use download::{Download, Progress};
use encoded::EncodedSnapshot;
use std::net::Ipv4Addr;

/// Size of a chunk: an eighth of a second on a link of 2 Mbit/s.
pub(crate) const CHUNK_BYTES: usize = 32 * 1024;
/// Larger snapshots are ignored. A configuration of 35,000 routes takes about 10 MB.
const MAX_SNAPSHOT_BYTES: u64 = 48 << 20;

/// The snapshot that is served to peers, and the one that is being downloaded.
#[derive(Debug, Default)]
pub(crate) struct Snapshots {
    source: Option<EncodedSnapshot>,
    download: Option<Download>,
}

impl Snapshots {
    /// Whether a download is in progress and not stalled.
    pub(crate) fn is_downloading(&self, now: Millis) -> bool {
        self.download.as_ref().is_some_and(|download| !download.is_stalled(now))
    }

    /// The progress of the current download, for the status.
    pub(crate) fn progress(&self) -> Option<Progress> {
        self.download.as_ref().map(Download::progress)
    }

    /// Processes a chunk, which may begin a download. Returns whether it was the next chunk of the download.
    fn accept(&mut self, from: Ipv4Addr, chunk: &SnapshotChunk, now: Millis) -> bool {
        let may_begin = self.download.as_ref().is_none_or(|download| download.may_be_replaced_by(chunk, now));
        if chunk.offset == 0 && may_begin {
            self.download = Some(Download::begin(chunk, from, now));
        }
        self.download.as_mut().is_some_and(|download| download.append(from, chunk, now))
    }
}

impl ControlPlane {
    /// Sends the first chunk of a snapshot to a peer that has applied the log up to this index.
    pub(crate) fn offer_snapshot(&mut self, to: Ipv4Addr, index: LogIndex) {
        let first = self.snapshot_source(index).chunk(0);
        if let Some(chunk) = first {
            self.outbox.send(to, PeerMessage::SnapshotChunk(chunk));
        }
    }

    /// Handles a request for a chunk. If this node has no such chunk, it offers its own snapshot instead.
    pub(crate) fn on_fetch_chunk(&mut self, to: Ipv4Addr, id: SnapshotId, offset: u64) {
        let index = id.index.previous();
        let source = self.snapshot_source(index);
        match source.chunk(offset).filter(|chunk| chunk.id == id) {
            Some(chunk) => self.outbox.send(to, PeerMessage::SnapshotChunk(chunk)),
            None => self.offer_snapshot(to, index),
        }
    }

    /// A snapshot that is useful to a peer at this index: its index is higher, and the later entries are still
    /// retained. The checkpoint is preferred to the latest state, because other nodes have the same checkpoint and can
    /// continue the download.
    fn snapshot_source(&mut self, index: LogIndex) -> &EncodedSnapshot {
        let (now, replica) = (self.clock.now(), &self.replica);
        let helps = |from: LogIndex| from > index && replica.entries_after(from).is_some();
        let kept = self.snapshots.source.take().filter(|source| helps(source.index()));
        let source = kept.unwrap_or_else(|| {
            let checkpoint = replica.checkpoint().filter(|state| helps(state.index));
            EncodedSnapshot::encode(&checkpoint.unwrap_or_else(|| replica.state().clone()))
        });
        self.snapshots.source.insert(source.with_used_at(now))
    }

    /// Handles a chunk from a peer: installs a complete snapshot, or fetches the next chunk.
    pub(crate) fn on_chunk(&mut self, from: Ipv4Addr, chunk: &SnapshotChunk) {
        if chunk.id.index <= self.replica.state().index || chunk.total > MAX_SNAPSHOT_BYTES {
            return;
        }
        if !self.snapshots.accept(from, chunk, self.clock.now()) {
            return;
        }
        match self.snapshots.download.take_if(|download| download.is_complete()) {
            Some(download) => self.install(&download),
            None => self.fetch_chunk(),
        }
    }

    fn install(&mut self, download: &Download) {
        let from = download.source();
        match download.decode() {
            Ok(state) => {
                let actions = self.replica.install_snapshot(self.clock.now(), state);
                self.execute(actions);
                // Immediately fetches the entries that were committed after the snapshot.
                self.log_sync.allow_fetch(from);
                self.fetch_entries(from);
            }
            Err(error) => {
                log::warn!("snapshot rejected index={} from={from} error={error}", download.index());
            }
        }
    }

    fn fetch_chunk(&mut self) {
        let Some(download) = &mut self.snapshots.download else { return };
        let (from, message) = download.next_request(self.clock.now());
        self.outbox.send(from, message);
    }

    /// Continues a download from another peer if its source stopped responding. Drops an idle encoded snapshot, and a
    /// download that is stalled or no longer needed.
    pub(crate) fn maintain_snapshots(&mut self) {
        let (now, index) = (self.clock.now(), self.replica.state().index);
        self.snapshots.source.take_if(|source| source.is_idle(now));
        self.snapshots.download.take_if(|download| download.index() <= index || download.is_stalled(now));
        let Some(download) = &mut self.snapshots.download else { return };
        if download.is_source_silent(now) {
            let next = self.contacts.next_with_index(download.index(), download.source());
            download.continue_from(next.unwrap_or(download.source()));
            self.fetch_chunk();
        }
    }
}
