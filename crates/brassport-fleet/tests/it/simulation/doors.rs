//! The work of gateway instances at each tick, and the check of the invariants.

use super::model::{Message, Origin, Registration};
use super::{Sim, Violation};
use brassport_fleet::grants::Ask;
use brassport_fleet::shared::{Change, Process, DOOR};
use brassport_fleet::standing::DenialReason;
use std::collections::BTreeMap;

fn name(door: usize) -> String {
    format!("door-{door}")
}

impl Sim {
    /// Runs each gateway instance that is not suspended: checks whether it acts, and registers it and requests its
    /// right when due.
    pub(super) fn run_doors(&mut self) -> Result<(), Violation> {
        let mut acting = BTreeMap::new();
        for door in 0..self.doors.len() {
            if self.doors[door].suspended_until > self.now {
                continue;
            }
            self.check(door, &mut acting)?;
            if self.now >= self.doors[door].next_request {
                self.doors[door].next_request = self.now + self.random.rand_range(200..500);
                self.request_right(door);
            }
        }
        Ok(())
    }

    /// Checks the invariants for one gateway instance. `acting` collects the processes that act at this tick, by name.
    fn check(&mut self, n: usize, acting: &mut BTreeMap<usize, u64>) -> Result<(), Violation> {
        let (seed, now_ms, door) = (self.seed, self.now, &self.doors[n]);
        let local = door.clock.at(now_ms);
        let may_act = door.standing.may_act(local);
        if may_act.is_ok() {
            if let Some(other) = acting.insert(door.name, door.process) {
                return Err(Violation::TwoProcesses { seed, now_ms, processes: (other, door.process) });
            }
            let version = door.shared.version();
            if let Some(fence) = self.complete_fence.filter(|fence| version < *fence) {
                return Err(Violation::BehindFence { seed, now_ms, door: n, version, fence });
            }
        }
        self.tally.stops += u32::from(may_act == Err(DenialReason::RanOut) && local % 500 < 5);
        Ok(())
    }

    fn request_right(&mut self, n: usize) {
        let reaches_leader = self.network.reaches_door(self.doors[n].name, self.now);
        if self.doors[n].registration.is_none() && reaches_leader {
            self.register(n);
        }
        let door = &mut self.doors[n];
        let requested_at = door.standing.ask(door.clock.at(self.now));
        let from = Origin { door: n, process: door.process };
        if reaches_leader {
            let ask = Ask {
                door: name(door.name),
                process: door.process,
                version: door.shared.version(),
                had_one: door.standing.had_one(),
            };
            let arrives = self.now + self.random.rand_range(5..400);
            self.network.send(arrives, Message::Request { door: n, ask, requested_at });
            self.network.send(arrives, Message::FetchState { from });
            return;
        }
        // A gateway instance without a link to the leader reaches a voter that is also cut off from the leader, if
        // there is one.
        let mut voters = 0..self.voters.len() as u64;
        if let Some(voter) = voters.find(|voter| !self.network.reaches_voter(*voter, self.now)) {
            let arrives = self.now + self.random.rand_range(5..400);
            self.network.send(arrives, Message::RequestExtension { from, voter, requested_at });
        }
    }

    /// Registers a process in the shared state: as the only one with its name if its predecessor's entry is still the latest,
    /// and otherwise as one that others may run beside.
    fn register(&mut self, n: usize) {
        let door = &mut self.doors[n];
        for seen in [door.predecessor, None] {
            let id = format!("p{}-{seen:?}", door.process);
            let process = Process { process: door.process, alone: seen.is_some() };
            let body = serde_json::to_value(process).expect("plain data serializes as JSON");
            let change = Change::new(&id, "d", "starts", DOOR, &name(door.name), body);
            if let Ok(done) = self.log.apply(&Change { seen, ..change }) {
                door.registration = Some(Registration { version: done.version, alone: seen.is_some() });
                return;
            }
        }
    }
}
