//! The effect of each step of the model on a cluster.

use super::number;
use super::{body, Cluster, Envelope, Packet};
use brassport_config_store::consensus::mutants::Mutant;
use brassport_config_store::consensus::*;

impl Cluster {
    pub(super) fn step_tick(&mut self, node: usize) {
        self.budget.ticks -= 1;
        self.machines[node].ticks += 1;
        let now = self.now(node);
        let actions = self.machines[node].replica.tick(now);
        self.execute(node, actions);
    }

    pub(super) fn step_deliver(&mut self, envelope: Envelope) {
        self.in_flight.remove(&envelope);
        self.deliver(envelope);
    }

    pub(super) fn step_deliver_twice(&mut self, envelope: Envelope) {
        self.budget.duplicates -= 1;
        self.deliver(envelope);
    }

    pub(super) fn step_synced(&mut self, node: usize, mutant: Option<Mutant>) {
        self.sync(node, mutant == Some(Mutant::WriteGapIgnored));
    }

    pub(super) fn step_write_fails(&mut self, node: usize) {
        self.budget.write_failures -= 1;
        let (number, _) = self.machines[node].writes.remove(0);
        self.machines[node].has_gap = true;
        let now = self.now(node);
        let actions = self.machines[node].replica.on_persisted(now, number, false);
        self.execute(node, actions);
    }

    pub(super) fn step_crash(&mut self, node: usize, synced_writes: usize) {
        self.budget.crashes -= 1;
        self.crash(node, synced_writes);
    }

    pub(super) fn step_lose_disk(&mut self, node: usize, mutant: Option<Mutant>) {
        self.budget.wipes -= 1;
        // A voter that keeps its number has to know the voters, as if it had received the state from another voter.
        let state = match mutant {
            Some(Mutant::LostDiskKeepsVote) => {
                ReplicatedState::initial((0..self.machines.len()).map(|node| self.id(node)).collect(), 4)
            }
            _ => ReplicatedState::empty(),
        };
        let machine = &mut self.machines[node];
        machine.writes.clear();
        if mutant != Some(Mutant::LostDiskKeepsVote) {
            machine.disk.0 += 100;
        }
        machine.durable = DurableState { promised: Term::new(0, DiskId(0)), state, accepted: None };
        self.crash(node, 0);
    }

    pub(super) fn step_transfer_leadership(&mut self, node: usize) {
        self.budget.transfers -= 1;
        let now = self.now(node);
        let actions = self.machines[node].replica.transfer_leadership(now);
        self.execute(node, actions);
    }

    pub(super) fn step_depart(&mut self, node: usize) {
        self.budget.departures -= 1;
        self.depart(node);
    }

    pub(super) fn step_configure(&mut self, node: usize) {
        self.configurations += 1;
        let (number, base_version) =
            (u64::from(self.configurations), self.machines[node].replica.state().version());
        let body = body(u32::from(self.configurations));
        self.submitted.insert(number, RequestDigest::of(ChangeScope::Full, base_version, &body));
        let now = self.now(node);
        let command =
            Command::Configure(ConfigurationRequest { scope: ChangeScope::Full, base_version, body });
        let actions = self.machines[node].replica.submit(now, number, command);
        self.execute(node, actions);
    }

    pub(super) fn step_read(&mut self, node: usize) {
        self.budget.reads -= 1;
        let number = 100 + u64::from(self.budget.reads);
        let newest = self.acknowledged.values().max().copied().unwrap_or_default();
        self.reads.insert(number, newest);
        let now = self.now(node);
        let actions = self.machines[node].replica.submit(now, number, Command::Read);
        self.execute(node, actions);
    }

    pub(super) fn step_change_voters(&mut self, node: usize) {
        self.budget.changes -= 1;
        let Some(voters) = self.change_due(node) else { return };
        let now = self.now(node);
        let number = 200 + u64::from(self.budget.changes);
        let command = Command::ChangeVoters { voters, quota_shares: 4 };
        let actions = self.machines[node].replica.submit(now, number, command);
        self.execute(node, actions);
    }

    pub(super) fn deliver(&mut self, (to, from, packet): Envelope) {
        let now = self.now(to);
        if self.machines[number(from.ip)].has_departed && matches!(packet, Packet::Fetch) {
            return;
        }
        let actions = match packet {
            Packet::Consensus(message) => self.machines[to].replica.step(now, from, message),
            Packet::Fetch => {
                // The response is handled at once: its content is committed, so the time of its arrival does not
                // matter.
                let (requester, source) = (number(from.ip), self.machines[to].replica.state().clone());
                let index = self.machines[requester].replica.state().index;
                let entries = self.machines[to].replica.entries_after(index);
                let now = self.now(requester);
                let replica = &mut self.machines[requester].replica;
                let actions = match entries {
                    Some(entries) => replica.append_committed(now, entries),
                    None => replica.install_snapshot(now, ReplicatedState::clone(&source)),
                };
                return self.execute(requester, actions);
            }
        };
        self.execute(to, actions);
    }
}
