//! Faults: killed and frozen processes, partitions, full disks and lost disks; and the loss of the leader.

use super::{ip, Machine, Simulation, Step};
use brassport_config_store::consensus::mutants::Mutant;
use brassport_config_store::consensus::*;

impl Simulation {
    /// Injects a random fault.
    pub(super) fn inject_fault(&mut self) {
        let node = self.draw(self.machines.len() as u64) as usize;
        match self.draw(12) {
            0..=2 => {
                // Kills the process. Pending writes are lost; no message that depends on them was sent.
                self.machines[node].replica = None;
                self.machines[node].incarnation += 1;
                self.restart(node);
            }
            3 => {
                let duration = 100 + self.draw(2_000);
                self.machines[node].frozen_until = self.now + duration;
                // Submits a command the moment that the process resumes, before its first tick.
                self.schedule(duration, Step::Submit);
            }
            4..=6 => self.partition(node),
            7 | 8 => self.machines.iter_mut().for_each(|machine| machine.cut_from.clear()),
            9 => {
                let duration = 100 + self.draw(1_500);
                self.machines[node].full_until = self.now + duration;
            }
            10 => {
                // Kills all processes at once.
                for number in 0..self.machines.len() {
                    if self.machines[number].replica.is_some() {
                        self.machines[number].replica = None;
                        self.machines[number].incarnation += 1;
                        self.restart(number);
                    }
                }
            }
            _ => self.wipe(node),
        }
    }

    /// Cuts some links of a machine, some of them in one direction only.
    pub(super) fn partition(&mut self, node: usize) {
        let others = self.machines.len() as u64;
        for _ in 0..=self.draw(3) {
            let other = self.draw(others) as usize;
            self.machines[node].cut_from.insert(other);
            if self.draw(2) == 0 {
                self.machines[other].cut_from.insert(node);
            }
        }
    }

    /// Loses a disk, provided that all machines are up to date and vote with their current disks: more losses at once
    /// are beyond what the protocol tolerates.
    pub(super) fn wipe(&mut self, node: usize) {
        let newest =
            self.machines.iter().map(|machine| machine.durable.state.index).max().unwrap_or_default();
        let is_complete = |machine: &Machine| {
            let state = &machine.durable.state;
            let voters = &state.voters;
            let is_current = machine.durable.state.index + 1 >= newest && voters.len() >= self.sizes.voters;
            is_current && machine.replica.is_some()
        };
        let all_complete = self.machines.iter().all(|machine| {
            is_complete(machine)
                && machine
                    .durable
                    .state
                    .voters
                    .contains(&VoterId { ip: ip(self.number_of(machine)), disk: machine.disk })
        });
        if self.sizes.wipes == 0 || !all_complete {
            return;
        }
        let machine = &mut self.machines[node];
        machine.replica = None;
        machine.incarnation += 1;
        if self.mutant != Some(Mutant::LostDiskKeepsVote) {
            machine.disk.0 += 100;
        }
        machine.durable = DurableState::empty();
        machine.has_gap = false;
        self.restart(node);
    }

    pub(super) fn number_of(&self, machine: &Machine) -> usize {
        self.machines.iter().position(|other| std::ptr::eq(other, machine)).unwrap_or_default()
    }

    pub(super) fn restart(&mut self, node: usize) {
        // The process starts at once, but is frozen for the time that a restart takes.
        let frozen_until = self.now + 20 + self.draw(600);
        self.start(node);
        self.machines[node].frozen_until = frozen_until;
    }
}

/// How a leader is lost.
#[derive(Debug, Clone, Copy)]
pub enum LeaderLoss {
    Kill,
    Freeze,
    Cut,
}

impl Simulation {
    /// Loses the leader at a random moment, without other faults. Returns the milliseconds until another voter leads;
    /// `None` if no other voter leads within 8 s.
    pub fn lose_leader(&mut self, loss: LeaderLoss) -> Option<Millis> {
        self.is_healed = true;
        let at = 2_000 + self.draw(500);
        self.run_until(at, |_| false);
        let leader = (0..self.machines.len()).find(|node| self.leads(*node))?;
        match loss {
            LeaderLoss::Kill => {
                self.machines[leader].replica = None;
                self.machines[leader].incarnation += 1;
            }
            LeaderLoss::Freeze => self.machines[leader].frozen_until = self.now + 10_000,
            LeaderLoss::Cut => {
                for other in (0..self.machines.len()).filter(|other| *other != leader) {
                    self.machines[leader].cut_from.insert(other);
                    self.machines[other].cut_from.insert(leader);
                }
            }
        }
        let lost_at = self.now;
        let has_another_leader = |simulation: &Simulation| {
            (0..simulation.machines.len()).any(|node| node != leader && simulation.leads(node))
        };
        self.run_until(lost_at + 8_000, has_another_leader);
        has_another_leader(self).then(|| self.now - lost_at)
    }

    fn run_until(&mut self, until: Millis, is_done: impl Fn(&Simulation) -> bool) {
        while self.now < until && !is_done(self) {
            let Some(((at, _), step)) = self.queue.pop_first() else { return };
            self.now = self.now.max(at);
            self.step(step);
        }
    }
}
