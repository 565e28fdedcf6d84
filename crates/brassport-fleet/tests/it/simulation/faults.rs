//! Random faults: cut links, changes of leadership, and suspended and restarted processes.

use super::model::{Clock, Door};
use super::Sim;
use brassport_fleet::grants::Grants;
use brassport_fleet::shared::Shared;

impl Sim {
    pub(super) fn inject_faults(&mut self) {
        if self.one_in(200) {
            let name = self.random.rand_range(0..self.door_names as u64) as usize;
            self.network.door_cut_until[name] = self.now + self.random.rand_range(100..6000);
        }
        if self.one_in(400) {
            self.cut_voter();
        }
        if self.one_in(1200) {
            self.change_leader();
        }
        if self.one_in(300) {
            let door = self.random.rand_range(0..self.doors.len() as u64) as usize;
            self.doors[door].suspended_until = self.now + self.random.rand_range(50..4000);
        }
        if self.one_in(500) {
            self.start_process();
        }
    }

    fn cut_voter(&mut self) {
        let electorate = self.voters.len() as u64;
        let voter = self.random.rand_range(0..electorate);
        // Keeps the leader's majority: without one nothing is decided, and there is nothing to check.
        let cut = self.network.voter_cut_until.iter().filter(|until| **until > self.now).count() as u64;
        if voter != self.leader && 2 * (cut + 1) < electorate {
            self.network.voter_cut_until[voter as usize] = self.now + self.random.rand_range(100..8000);
        }
    }

    fn change_leader(&mut self) {
        let next = self.random.rand_range(0..self.voters.len() as u64);
        if next != self.leader && self.network.reaches_voter(next, self.now) {
            self.leader = next;
            self.network.voter_cut_until.fill(0);
            self.grants = Grants::new(self.terms, self.leader_clock());
        }
    }

    /// Starts a new process with an existing name, either with an empty state or with its predecessor's. The predecessor either
    /// ends or keeps running, possibly while suspended.
    fn start_process(&mut self) {
        let before = self.random.rand_range(0..self.doors.len() as u64) as usize;
        self.last_process += 1;
        let name = self.doors[before].name;
        let first = Door::first(name, self.last_process, Clock::draw(&mut self.random, &self.terms));
        let shared = match self.random.rand_range(0..2) {
            0 => Shared::default(),
            _ => self.doors[before].shared.clone(),
        };
        let door = Door { shared, predecessor: None, suspended_until: self.now, ..first };
        if self.doors.len() < 3 * self.door_names && self.random.rand_range(0..2) == 0 {
            self.doors.push(door);
        } else {
            let predecessor = self.doors[before].as_predecessor();
            self.doors[before] = Door { predecessor, ..door };
        }
    }
}
