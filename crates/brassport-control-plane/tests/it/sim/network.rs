//! The network between machines: latency, loss, duplication and partitions.

use super::script::Millis;
use super::{incarnation, ip, Sim, SimEvent};
use brassport_config_store::consensus::{Entry, Message};
use brassport_control_plane::peer_message::{Envelope, PeerMessage};
use brassport_transport::frame;

/// Longer messages are sent over a connection.
const MAX_DATAGRAM_BYTES: u64 = 1_200 + OVERHEAD_BYTES;
/// A datagram is lost if it would wait longer than this on a link.
const MAX_DATAGRAM_WAIT_MS: Millis = 200;
/// The envelope of a message, and the headers of its packets, in bytes.
const OVERHEAD_BYTES: u64 = 60;

impl Sim {
    /// Whether `to` receives messages from `from`.
    pub fn can_receive(&self, from: usize, to: usize) -> bool {
        !self.machines[to].blocked_senders.contains(&from)
    }

    pub fn send(&mut self, from: usize, to: usize, message: PeerMessage) {
        if let PeerMessage::Entries(entries) = &message {
            self.invariants.on_entries_sent(from, entries, self.now);
        }
        let is_push = matches!(message, PeerMessage::BackendRecords(_, None) | PeerMessage::Departures(_));
        if to >= self.machines.len() || !self.can_receive(from, to) || (is_push && self.loses_pushes) {
            return;
        }
        let same = self.machines[from].zone == self.machines[to].zone;
        let mut delay = if same { 1 } else { self.setup.zone_latency } + self.draw(2);
        if let Some(mbit) = self.setup.link_mbit {
            let bytes = size(&message);
            let Some(sent) = self.machines[from].uplink.carry(self.now, bytes, mbit) else { return };
            // Its first bytes arrive while the last ones are being sent.
            let first_at = sent.saturating_sub(bytes * 8 / (mbit * 1_000)) + delay;
            let Some(received) = self.machines[to].downlink.carry(first_at, bytes, mbit) else { return };
            delay = received.max(sent + delay) - self.now;
        }
        if self.now < self.machines[from].send_delay.0 {
            delay += self.machines[from].send_delay.1;
        }
        let incarnation = incarnation(from, self.machines[from].starts);
        let envelope = Envelope { from: ip(from), incarnation, message };
        if self.draw(100) < self.duplication.0 {
            let late = 1 + self.draw(self.duplication.1);
            self.schedule(delay + late, SimEvent::MessageArrives(to, envelope.clone()));
        }
        if self.draw(100) >= self.loss {
            self.schedule(delay, SimEvent::MessageArrives(to, envelope));
        }
    }

    pub fn set_loss(&mut self, percent: u64) {
        self.loss = percent;
    }

    pub fn set_duplication(&mut self, percent: u64, within: Millis) {
        self.duplication = (percent, within);
    }

    pub fn set_send_delay(&mut self, node: usize, delay: Millis, duration: Millis) {
        self.machines[node].send_delay = (self.now + duration, delay);
        self.invariants.fault_until(node, self.machines[node].is_core, self.now + duration + delay);
    }

    pub fn set_blocked(&mut self, from: usize, to: usize, is_blocked: bool) {
        if from == to {
            return;
        }
        let changed = match is_blocked {
            true => self.machines[to].blocked_senders.insert(from),
            false => self.machines[to].blocked_senders.remove(&from),
        };
        if changed && self.machines[from].is_core && self.machines[to].is_core {
            self.invariants.core_fault(self.now);
        }
    }

    pub fn is_connected(&self, node: usize, other: usize) -> bool {
        self.can_receive(node, other) && self.can_receive(other, node)
    }
}

/// One direction of a machine's link.
#[derive(Debug, Default)]
pub struct Link {
    /// When it has carried all bytes so far, in microseconds.
    free_at_us: u64,
    /// The bytes that it has carried.
    pub bytes: u64,
}

impl Link {
    /// Carries a message that is there at a time. Returns when its last byte has passed; `None` for a datagram
    /// that is dropped, since too many bytes wait.
    fn carry(&mut self, at: Millis, bytes: u64, mbit: u64) -> Option<Millis> {
        if bytes <= MAX_DATAGRAM_BYTES && self.free_at_us > (at + MAX_DATAGRAM_WAIT_MS) * 1_000 {
            return None;
        }
        self.bytes += bytes;
        self.free_at_us = self.free_at_us.max(at * 1_000) + bytes * 8 / mbit;
        Some(self.free_at_us.div_ceil(1_000))
    }
}

/// The approximate size of a message on the wire, in bytes.
fn size(message: &PeerMessage) -> u64 {
    let of = |entry: &Entry| match entry {
        Entry::Replace { body, .. } | Entry::Change { body, .. } => body.len(),
        _ => 64,
    };
    let bytes = match message {
        PeerMessage::Entries(entries) => entries.iter().map(|committed| of(&committed.entry)).sum(),
        PeerMessage::SnapshotChunk(chunk) => chunk.bytes.len(),
        PeerMessage::Consensus(_, Message::Accept { entry, .. }) => of(entry),
        PeerMessage::Consensus(_, Message::Promise { accepted: Some(accepted), .. }) => of(&accepted.entry),
        message => frame::encode(message).len(),
    };
    bytes as u64 + OVERHEAD_BYTES
}
