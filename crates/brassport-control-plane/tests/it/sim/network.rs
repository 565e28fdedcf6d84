//! The network between machines: delays, losses, repeats and partitions.

use super::script::Millis;
use super::{incarnation, ip, Sim, Step};
use brassport_config_store::consensus::{Entry, Message};
use brassport_control_plane::peer_message::{Envelope, PeerMessage};

impl Sim {
    /// Whether what one sends reaches the other.
    pub fn hears(&self, from: usize, to: usize) -> bool {
        !self.machines[to].deaf_to.contains(&from)
    }

    pub fn send(&mut self, from: usize, to: usize, message: PeerMessage) {
        if let PeerMessage::Entries(entries) = &message {
            self.judge.committed(from, entries, self.now);
        }
        if to >= self.machines.len() || !self.hears(from, to) {
            return;
        }
        let same = self.machines[from].zone == self.machines[to].zone;
        let mut delay = if same { 1 } else { self.setup.apart } + self.draw(2);
        if let Some(mbit) = self.setup.mbit {
            let bytes = size(&message);
            let free = &mut self.machines[from].sends_free;
            *free = (*free).max(self.now) + bytes * 8 / (mbit * 1_000);
            delay += *free - self.now;
        }
        if self.now < self.machines[from].lag.0 {
            delay += self.machines[from].lag.1;
        }
        let incarnation = incarnation(from, self.machines[from].starts);
        let envelope = Envelope { from: ip(from), incarnation, message };
        if self.draw(100) < self.repeats.0 {
            let late = 1 + self.draw(self.repeats.1);
            self.at(delay + late, Step::Arrive(to, envelope.clone()));
        }
        if self.draw(100) >= self.loss {
            self.at(delay, Step::Arrive(to, envelope));
        }
    }

    pub fn set_loss(&mut self, percent: u64) {
        self.loss = percent;
    }

    pub fn set_repeats(&mut self, percent: u64, within: Millis) {
        self.repeats = (percent, within);
    }

    pub fn set_lag(&mut self, one: usize, by: Millis, long: Millis) {
        self.machines[one].lag = (self.now + long, by);
        self.judge.fault_until(one, self.machines[one].is_core, self.now + long + by);
    }

    pub fn set_cut(&mut self, from: usize, to: usize, cut: bool) {
        if from == to {
            return;
        }
        let changed = match cut {
            true => self.machines[to].deaf_to.insert(from),
            false => self.machines[to].deaf_to.remove(&from),
        };
        if changed && self.machines[from].is_core && self.machines[to].is_core {
            self.judge.core_fault(self.now);
        }
    }

    pub fn both_ways(&self, one: usize, other: usize) -> bool {
        self.hears(one, other) && self.hears(other, one)
    }
}

/// About how many bytes a message has on the wire.
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
        PeerMessage::BackendRecords(records, _) => 150 * records.len(),
        _ => 300,
    };
    bytes as u64 + 60
}
