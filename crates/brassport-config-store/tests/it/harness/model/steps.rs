//! What each step does to a cluster.

use super::number;
use super::{body, Cluster, Envelope, Packet};
use brassport_config_store::consensus::mutants::Mutant;
use brassport_config_store::consensus::*;

impl Cluster {
    pub(super) fn step_tick(&mut self, one: usize) {
        self.left.ticks -= 1;
        self.machines[one].ticks += 1;
        let now = self.now(one);
        let actions = self.machines[one].replica.tick(now);
        self.execute(one, actions);
    }

    pub(super) fn step_deliver(&mut self, envelope: Envelope) {
        self.in_flight.remove(&envelope);
        self.arrive(envelope);
    }

    pub(super) fn step_deliver_twice(&mut self, envelope: Envelope) {
        self.left.duplicates -= 1;
        self.arrive(envelope);
    }

    pub(super) fn step_synced(&mut self, one: usize, mutant: Option<Mutant>) {
        self.sync(one, mutant == Some(Mutant::WriteGapIgnored));
    }

    pub(super) fn step_write_fails(&mut self, one: usize) {
        self.left.write_failures -= 1;
        let (number, _) = self.machines[one].writes.remove(0);
        self.machines[one].has_gap = true;
        let now = self.now(one);
        let actions = self.machines[one].replica.on_persisted(now, number, false);
        self.execute(one, actions);
    }

    pub(super) fn step_crash(&mut self, one: usize, reached: usize) {
        self.left.crashes -= 1;
        self.crash(one, reached);
    }

    pub(super) fn step_lose_disk(&mut self, one: usize, mutant: Option<Mutant>) {
        self.left.wipes -= 1;
        // Who has the old number all the same knows who votes: a copy of it came from another.
        let state = match mutant {
            Some(Mutant::LostDiskKeepsVote) => {
                ReplicatedState::genesis((0..self.machines.len()).map(|one| self.id(one)).collect(), 4)
            }
            _ => ReplicatedState::empty(),
        };
        let machine = &mut self.machines[one];
        machine.writes.clear();
        if mutant != Some(Mutant::LostDiskKeepsVote) {
            machine.disk.0 += 100;
        }
        machine.durable = DurableState { promised: Term::new(0, DiskId(0)), state, accepted: None };
        self.crash(one, 0);
    }

    pub(super) fn step_transfer_leadership(&mut self, one: usize) {
        self.left.transfers -= 1;
        let now = self.now(one);
        let actions = self.machines[one].replica.transfer_leadership(now);
        self.execute(one, actions);
    }

    pub(super) fn step_depart(&mut self, one: usize) {
        self.left.departures -= 1;
        self.depart(one);
    }

    pub(super) fn step_configure(&mut self, one: usize) {
        self.configurations += 1;
        let (number, base_version) =
            (u64::from(self.configurations), self.machines[one].replica.state().version());
        let body = body(u32::from(self.configurations));
        self.submitted.insert(number, RequestDigest::of(ChangeScope::Full, base_version, &body));
        let now = self.now(one);
        let command =
            Command::Configure(ConfigurationRequest { scope: ChangeScope::Full, base_version, body });
        let actions = self.machines[one].replica.submit(now, number, command);
        self.execute(one, actions);
    }

    pub(super) fn step_read(&mut self, one: usize) {
        self.left.reads -= 1;
        let number = 100 + u64::from(self.left.reads);
        let newest = self.acknowledged.values().max().copied().unwrap_or_default();
        self.reads.insert(number, newest);
        let now = self.now(one);
        let actions = self.machines[one].replica.submit(now, number, Command::Read);
        self.execute(one, actions);
    }

    pub(super) fn step_change_voters(&mut self, one: usize) {
        self.left.changes -= 1;
        let Some(voters) = self.change_due(one) else { return };
        let now = self.now(one);
        let number = 200 + u64::from(self.left.changes);
        let command = Command::ChangeVoters { voters, quota_shares: 4 };
        let actions = self.machines[one].replica.submit(now, number, command);
        self.execute(one, actions);
    }

    pub(super) fn arrive(&mut self, (to, from, packet): Envelope) {
        let now = self.now(to);
        if self.machines[number(from.ip)].is_gone && matches!(packet, Packet::Fetch) {
            return;
        }
        let actions = match packet {
            Packet::Consensus(message) => self.machines[to].replica.step(now, from, message),
            Packet::Fetch => {
                // The answer is handled at once: what it contains is committed, whenever it comes.
                let (asker, source) = (number(from.ip), self.machines[to].replica.state().clone());
                let index = self.machines[asker].replica.state().index;
                let entries = self.machines[to].replica.entries_after(index);
                let now = self.now(asker);
                let replica = &mut self.machines[asker].replica;
                let actions = match entries {
                    Some(entries) => replica.append_committed(now, entries),
                    None => replica.install_snapshot(now, ReplicatedState::clone(&source)),
                };
                return self.execute(asker, actions);
            }
        };
        self.execute(to, actions);
    }
}
