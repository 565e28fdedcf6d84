//! Faults: kills, freezes, cuts, full disks and lost ones; and the loss of a leader.

use super::{ip, Machine, Simulation, Step};
use brassport_config_store::consensus::mutants::Mutant;
use brassport_config_store::consensus::*;

impl Simulation {
    pub(super) fn fault(&mut self) {
        let one = self.draw(self.machines.len() as u64) as usize;
        match self.draw(12) {
            0..=2 => {
                // Killed: what was on its way to the disk may be there or not, and none of it was said.
                self.machines[one].replica = None;
                self.machines[one].incarnation += 1;
                self.back(one);
            }
            3 => {
                let long = 100 + self.draw(2_000);
                self.machines[one].frozen_until = self.now + long;
                // Asked the moment that it wakes, before it has looked at its clock.
                self.at(long, Step::Submit);
            }
            4..=6 => self.cut(one),
            7 | 8 => self.machines.iter_mut().for_each(|machine| machine.cut.clear()),
            9 => {
                let long = 100 + self.draw(1_500);
                self.machines[one].full_until = self.now + long;
            }
            10 => {
                // All at once.
                for number in 0..self.machines.len() {
                    if self.machines[number].replica.is_some() {
                        self.machines[number].replica = None;
                        self.machines[number].incarnation += 1;
                        self.back(number);
                    }
                }
            }
            _ => self.wipe(one),
        }
    }

    /// Cuts some links of a machine, some of them one way.
    pub(super) fn cut(&mut self, one: usize) {
        let others = self.machines.len() as u64;
        for _ in 0..=self.draw(3) {
            let other = self.draw(others) as usize;
            self.machines[one].cut.insert(other);
            if self.draw(2) == 0 {
                self.machines[other].cut.insert(one);
            }
        }
    }

    /// A disk is lost, if all others are as they were: more than may be lost at once would prove nothing.
    pub(super) fn wipe(&mut self, one: usize) {
        let newest =
            self.machines.iter().map(|machine| machine.durable.state.index).max().unwrap_or_default();
        let is_complete = |machine: &Machine| {
            let state = &machine.durable.state;
            let voters = &state.voters;
            let in_order = machine.durable.state.index + 1 >= newest && voters.len() >= self.sizes.voters;
            in_order && machine.replica.is_some()
        };
        let others_whole = self.machines.iter().all(|machine| {
            is_complete(machine)
                && machine
                    .durable
                    .state
                    .voters
                    .contains(&VoterId { ip: ip(self.number_of(machine)), disk: machine.disk })
        });
        if self.sizes.wipes == 0 || !others_whole {
            return;
        }
        let machine = &mut self.machines[one];
        machine.replica = None;
        machine.incarnation += 1;
        if self.mutant != Some(Mutant::LostDiskKeepsVote) {
            machine.disk.0 += 100;
        }
        machine.durable = DurableState::empty();
        machine.has_gap = false;
        self.back(one);
    }

    pub(super) fn number_of(&self, machine: &Machine) -> usize {
        self.machines.iter().position(|other| std::ptr::eq(other, machine)).unwrap_or_default()
    }

    pub(super) fn back(&mut self, one: usize) {
        // It starts again at once here; how long it is away is a matter of the cut that may follow.
        let frozen = self.now + 20 + self.draw(600);
        self.begin(one);
        self.machines[one].frozen_until = frozen;
    }
}

/// How a leader is lost.
#[derive(Debug, Clone, Copy)]
pub enum Loss {
    Kill,
    Freeze,
    Cut,
}

impl Simulation {
    /// Without other faults, loses the leader at a drawn moment. Returns how long it takes until another leads.
    pub fn lose_leader(&mut self, loss: Loss) -> Option<Millis> {
        self.is_healed = true;
        let at = 2_000 + self.draw(500);
        self.play_until(at, |_| false);
        let leader = (0..self.machines.len()).find(|one| self.leads(*one))?;
        match loss {
            Loss::Kill => {
                self.machines[leader].replica = None;
                self.machines[leader].incarnation += 1;
            }
            Loss::Freeze => self.machines[leader].frozen_until = self.now + 10_000,
            Loss::Cut => {
                for other in (0..self.machines.len()).filter(|other| *other != leader) {
                    self.machines[leader].cut.insert(other);
                    self.machines[other].cut.insert(leader);
                }
            }
        }
        let lost = self.now;
        let another = |simulation: &Simulation| {
            (0..simulation.machines.len()).any(|one| one != leader && simulation.leads(one))
        };
        self.play_until(lost + 8_000, another);
        another(self).then(|| self.now - lost)
    }

    fn play_until(&mut self, until: Millis, stop: impl Fn(&Simulation) -> bool) {
        while self.now < until && !stop(self) {
            let Some(((at, _), step)) = self.queue.pop_first() else { return };
            self.now = self.now.max(at);
            self.step(step);
        }
    }
}
