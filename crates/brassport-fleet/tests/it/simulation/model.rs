//! The components of the simulated fleet: clocks, gateway instances, voters and the network between them.

use brassport_fleet::grants::{Answer, Ask, Terms};
use brassport_fleet::shared::Shared;
use brassport_fleet::standing::Standing;
use oorandom::Rand64;
use std::collections::BTreeMap;

/// A monotonic clock with its own origin and rate.
pub struct Clock {
    offset_ms: f64,
    rate: f64,
}

impl Clock {
    pub fn draw(random: &mut Rand64, terms: &Terms) -> Clock {
        // Rates differ by less than the drift bound between any two clocks.
        let drift = terms.drift_permille as f64 / 1000.0;
        Clock {
            offset_ms: random.rand_range(0..9_000) as f64,
            rate: 1.0 + drift * (0.95 * random.rand_float() - 0.475),
        }
    }

    pub fn at(&self, now: u64) -> u64 {
        (self.offset_ms + self.rate * now as f64) as u64
    }
}

/// The entry of a process in the shared state.
#[derive(Clone, Copy)]
pub struct Registration {
    pub version: u64,
    /// Whether the entry claims that all earlier processes with the name have ended.
    pub alone: bool,
}

/// One process of a gateway instance.
pub struct Door {
    pub name: usize,
    pub clock: Clock,
    pub process: u64,
    /// The version of its predecessor's entry, 0 if there is none, if all processes up to the predecessor are known to have
    /// ended; otherwise `None`.
    pub predecessor: Option<u64>,
    pub registration: Option<Registration>,
    pub shared: Shared,
    pub standing: Standing,
    pub suspended_until: u64,
    pub next_request: u64,
}

impl Door {
    /// The first process with a name.
    pub fn first(name: usize, process: u64, clock: Clock) -> Door {
        Door {
            name,
            clock,
            process,
            predecessor: Some(0),
            registration: None,
            shared: Shared::default(),
            standing: Standing::default(),
            suspended_until: 0,
            next_request: 0,
        }
    }

    /// The value of [`Door::predecessor`] for its successor, if this process ends.
    pub fn as_predecessor(&self) -> Option<u64> {
        match self.registration {
            Some(entry) => (entry.alone || self.standing.had_one()).then_some(entry.version),
            None => self.predecessor,
        }
    }
}

pub struct Voter {
    pub clock: Clock,
    /// The last contact with a leader, on its own clock.
    pub contact: u64,
}

/// The process that sent a message, to which its response goes.
#[derive(Clone, Copy)]
pub struct Origin {
    pub door: usize,
    pub process: u64,
}

pub enum Message {
    Request { door: usize, ask: Ask, requested_at: u64 },
    Response { to: Origin, requested_at: u64, answer: Answer },
    FetchState { from: Origin },
    State { to: Origin, state: Shared },
    RequestExtension { from: Origin, voter: u64, requested_at: u64 },
    Extension { to: Origin, requested_at: u64 },
}

/// The time at which a message arrives, and its number in order of sending.
type Arrival = (u64, u64);

/// Messages in flight, and the times until which links are cut.
pub struct Network {
    in_flight: BTreeMap<Arrival, Message>,
    sent: u64,
    /// The links from gateway instances to the leader, by the index of the gateway instance's name.
    pub door_cut_until: Vec<u64>,
    /// The links from voters to the leader.
    pub voter_cut_until: Vec<u64>,
}

impl Network {
    pub fn new(doors: usize, voters: usize) -> Network {
        let (door_cut_until, voter_cut_until) = (vec![0; doors], vec![0; voters]);
        Network { in_flight: BTreeMap::new(), sent: 0, door_cut_until, voter_cut_until }
    }

    pub fn send(&mut self, arrives: u64, message: Message) {
        self.sent += 1;
        self.in_flight.insert((arrives, self.sent), message);
    }

    /// Removes and returns the next message that has arrived by `now`.
    pub fn receive(&mut self, now: u64) -> Option<Message> {
        let first = self.in_flight.first_entry()?;
        (first.key().0 <= now).then(|| first.remove())
    }

    pub fn reaches_door(&self, name: usize, now: u64) -> bool {
        self.door_cut_until[name] <= now
    }

    pub fn reaches_voter(&self, voter: u64, now: u64) -> bool {
        self.voter_cut_until[voter as usize] <= now
    }
}
