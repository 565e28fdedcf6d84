//! Entries that one node fetches from another.

use super::size;
use crate::control_plane::ControlPlane;
use crate::peer_message::PeerMessage;
use crate::snapshots::CHUNK_BYTES;
use brassport_config_store::consensus::mutants::{is_active, Mutant};
use brassport_config_store::consensus::CommittedEntry;
use brassport_types::LogIndex;
use std::net::Ipv4Addr;

/// Most bytes of entries in one message; a longer entry goes as part of a snapshot.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;

/// The first entries that together take no more than [`MAX_MESSAGE_BYTES`]; none, if the first one takes more.
fn first_message(entries: Vec<CommittedEntry>) -> Vec<CommittedEntry> {
    let mut bytes = 0;
    let fits = |committed: &CommittedEntry| {
        bytes += committed.entry.estimated_size();
        bytes <= MAX_MESSAGE_BYTES
    };
    entries.into_iter().take_while(fits).collect()
}

impl ControlPlane {
    /// Requests from a peer the entries that this node lacks.
    pub(crate) fn fetch_entries(&mut self, from: Ipv4Addr) {
        let now = self.clock.now();
        // A snapshot in flight brings more.
        if !self.snapshots.is_downloading(now) && self.log_sync.begin_fetch(from, now) {
            self.outbox.send(from, PeerMessage::FetchEntries(self.replica.state().index));
        }
    }

    /// Sends a peer what it lacks behind an index, unless that is in flight.
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

    /// Whether a peer may have entries. Guards against an isolated node that hands out an old configuration: without a
    /// leader that was heard of late, only nodes of the core get them, who need them to elect one.
    fn may_send_log(&self, to: Ipv4Addr) -> bool {
        let is_core = self.core().contains(&to) || self.view.peer(to).is_some_and(|peer| peer.is_core);
        is_core || self.leader().is_some() || is_active(Mutant::CutOffHandsOut)
    }

    /// A peer sends entries: they are appended, and more are fetched where there are.
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
