//! Delivery of messages to the leader, the voters and the gateway instances.

use super::model::{Door, Message, Origin};
use super::Sim;
use brassport_fleet::grants::{Answer, Ask};
use brassport_fleet::standing::DenialReason;

impl Sim {
    /// Delivers all messages that have arrived.
    pub(super) fn deliver(&mut self) {
        while let Some(message) = self.network.receive(self.now) {
            // Drawn for every message, also one without a response, so that each message consumes one random number.
            let arrives = self.now + self.random.rand_range(5..400);
            match message {
                Message::Request { door, ask, requested_at } => {
                    self.on_request(door, &ask, requested_at, arrives);
                }
                Message::Response { to, requested_at, answer } => self.on_response(to, requested_at, answer),
                Message::FetchState { from } => {
                    if self.network.reaches_door(self.doors[from.door].name, self.now) {
                        let state = self.log.clone();
                        self.network.send(arrives, Message::State { to: from, state });
                    }
                }
                Message::State { to, state } => {
                    let is_newer = state.version() > self.doors[to.door].shared.version();
                    if let Some(door) = self.running(to).filter(|_| is_newer) {
                        door.shared = state;
                    }
                }
                Message::RequestExtension { from, voter, requested_at } => {
                    let voter = &self.voters[voter as usize];
                    if voter.clock.at(self.now) >= voter.contact + self.terms.silence {
                        self.network.send(arrives, Message::Extension { to: from, requested_at });
                    }
                }
                Message::Extension { to, requested_at } => self.on_extension(to, requested_at),
            }
        }
    }

    /// The process with this origin, if it has not been replaced by a successor and is not suspended.
    fn running(&mut self, origin: Origin) -> Option<&mut Door> {
        let now = self.now;
        let door = &mut self.doors[origin.door];
        (door.process == origin.process && door.suspended_until <= now).then_some(door)
    }

    fn on_request(&mut self, door: usize, ask: &Ask, requested_at: u64, arrives: u64) {
        let (leader_now, followers) = (self.leader_clock(), self.followers());
        let answer = self.grants.ask(leader_now, ask, &self.log, &followers);
        if self.network.reaches_door(self.doors[door].name, self.now) {
            let to = Origin { door, process: ask.process };
            self.network.send(arrives, Message::Response { to, requested_at, answer });
        }
    }

    fn on_response(&mut self, to: Origin, requested_at: u64, answer: Answer) {
        let now = self.now;
        let suspended_until = self.doors[to.door].suspended_until;
        if suspended_until > now {
            // The response stays in the socket buffer until the process resumes.
            self.network.send(suspended_until, Message::Response { to, requested_at, answer });
            return;
        }
        let Some(door) = self.running(to) else { return };
        match answer {
            Answer::Granted { length } => door.standing.granted(door.clock.at(now), requested_at, length),
            Answer::Behind { .. } => door.standing.refused(DenialReason::Behind),
            Answer::Wait { .. } | Answer::Replaced | Answer::Unknown => {}
        }
    }

    fn on_extension(&mut self, to: Origin, requested_at: u64) {
        let (now, length) = (self.now, self.terms.extension);
        if let Some(door) = self.running(to) {
            door.standing.extended(door.clock.at(now), requested_at, length);
            self.tally.extensions += 1;
        }
    }
}
