//! Fetches entries from another node, and serves them.

use super::size;
use crate::control_plane::ControlPlane;
use crate::peer_message::PeerMessage;
use crate::snapshots::CHUNK_BYTES;
use brassport_config_store::consensus::mutants::{is_active, Mutant};
use brassport_config_store::consensus::CommittedEntry;
use brassport_types::LogIndex;
use std::net::Ipv4Addr;

/// Maximum total size of the entries in one message. A longer entry is sent as part of a snapshot.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// The first entries whose total size is at most [`MAX_MESSAGE_BYTES`]; none if the first entry is longer.
fn first_message(entries: Vec<CommittedEntry>) -> Vec<CommittedEntry> {
    let mut bytes = 0;
    let fits = |committed: &CommittedEntry| {
        bytes += committed.entry.estimated_size();
        bytes <= MAX_MESSAGE_BYTES
    };
    entries.into_iter().take_while(fits).collect()
}

impl ControlPlane {
    /// Requests the entries that this node lacks from a peer.
    pub(crate) fn fetch_entries(&mut self, from: Ipv4Addr) {
        let now = self.clock.now();
        // A snapshot that is being downloaded includes these entries.
        if !self.snapshots.is_downloading(now) && self.log_sync.begin_fetch(from, now) {
            self.outbox.send(from, PeerMessage::FetchEntries(self.replica.state().index));
        }
    }

    /// Sends a peer the entries after an index, or a snapshot, unless they are already in flight.
    pub(crate) fn send_entries(&mut self, to: Ipv4Addr, index: LogIndex) {
        let now = self.clock.now();
        let is_in_flight = self.log_sync.is_in_flight(to, index, now);
        if index >= self.replica.state().index || is_in_flight || !self.may_send_log(to) {
            return;
        }
        let entries = self.replica.entries_after(index).map(first_message).unwrap_or_default();
        let bytes = if entries.is_empty() { CHUNK_BYTES } else { size(&entries) };
        self.log_sync.record_sent(to, index, bytes, now);
        if entries.is_empty() {
            self.offer_snapshot(to, index);
        } else {
            self.outbox.send(to, PeerMessage::Entries(entries));
        }
    }

    /// Whether entries may be sent to a peer. An isolated node must not distribute an outdated configuration: while it
    /// knows no leader, it sends entries only to core nodes, which need them to elect one.
    fn may_send_log(&self, to: Ipv4Addr) -> bool {
        let is_core = self.core().contains(&to) || self.view.peer(to).is_some_and(|peer| peer.is_core);
        is_core || self.leader().is_some() || is_active(Mutant::CutOffHandsOut)
    }

    /// Appends entries that a peer sent, and fetches more if the peer has more.
    pub(crate) fn on_entries(&mut self, from: Ipv4Addr, entries: Vec<CommittedEntry>) {
        let before = self.replica.state().index;
        let actions = self.replica.append_committed(self.clock.now(), entries);
        self.execute(actions);
        let index = self.replica.state().index;
        let known_there = self.contacts.index(from).unwrap_or_default();
        if index > before && known_there > index {
            self.log_sync.allow_fetch(from);
            self.fetch_entries(from);
        }
    }
}
