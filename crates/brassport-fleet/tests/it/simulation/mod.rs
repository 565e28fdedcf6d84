//! Simulates a fleet under a virtual clock, with changes of leadership, link failures of gateway instances and voters,
//! clock drift, and processes that are suspended, restarted or keep running beside their successor. Checks two
//! invariants: once a fence was reported to hold, no gateway instance acts on an older version; and no two processes
//! with one name act at the same time.
//!
//! A seed determines a run. Any change to the order in which random numbers are drawn changes the run of each seed.

mod delivery;
mod doors;
mod faults;
mod model;

use brassport_fleet::grants::{Grants, Terms};
use brassport_fleet::shared::{Change, Refusal, Shared};
use model::{Clock, Door, Network, Voter};
use oorandom::Rand64;
use std::collections::BTreeSet;
use std::fmt;

/// The length of a run, in milliseconds.
const END_MS: u64 = 40_000;
/// The resolution of the virtual clock, in milliseconds.
const TICK_MS: u64 = 5;
/// The interval of the leader's heartbeats, in milliseconds.
const HEARTBEAT_MS: u64 = 50;

/// Counts of the cases that came up in a run, by which a test checks that the cases were exercised.
#[derive(Debug, Default)]
pub struct Tally {
    /// Fences that were reported to hold.
    pub fences: u32,
    /// Fences that were reported to hold although some gateway instance did not have the version.
    pub fences_without_a_door: u32,
    /// Extensions by voters that reached a gateway instance.
    pub extensions: u32,
    /// Checks of a gateway instance whose right had expired, counted only in 5 ms of every 500 ms of its clock.
    pub stops: u32,
}

/// An invariant that was violated.
#[derive(Debug)]
pub enum Violation {
    /// Two processes with one name act at the same time.
    TwoProcesses { seed: u64, now_ms: u64, processes: (u64, u64) },
    /// A gateway instance acts on a version older than a fence that was reported to hold.
    BehindFence { seed: u64, now_ms: u64, door: usize, version: u64, fence: u64 },
    /// The operator's change was refused.
    Refused { seed: u64, refusal: Refusal },
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Violation::TwoProcesses { seed, now_ms, processes: (one, other) } => {
                write!(f, "seed {seed}, {now_ms} ms: processes {one} and {other} of one name act")
            }
            Violation::BehindFence { seed, now_ms, door, version, fence } => write!(
                f,
                "seed {seed}, {now_ms} ms: door {door} acts on version {version} behind a fence of {fence}"
            ),
            Violation::Refused { seed, refusal } => write!(f, "seed {seed}: {refusal}"),
        }
    }
}

impl std::error::Error for Violation {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Violation::Refused { refusal, .. } => Some(refusal),
            Violation::TwoProcesses { .. } | Violation::BehindFence { .. } => None,
        }
    }
}

/// Runs one seed: three in four with four gateway instances and three voters, the others with up to 30 gateway
/// instances and three or five voters.
pub fn play(seed: u64) -> Result<Tally, Violation> {
    let mut sizes = Rand64::new(u128::from(seed) << 64);
    let (doors, voters) = match sizes.rand_range(0..4) {
        0 => (sizes.rand_range(2..31) as usize, 3 + 2 * sizes.rand_range(0..2)),
        _ => (4, 3),
    };
    Sim::new(seed, doors, voters).run()
}

struct Sim {
    seed: u64,
    random: Rand64,
    now: u64,
    terms: Terms,
    tally: Tally,
    /// The replicated log, as its leader has it.
    log: Shared,
    /// All processes that have not ended, including those that keep running beside their successor.
    doors: Vec<Door>,
    door_names: usize,
    last_process: u64,
    voters: Vec<Voter>,
    leader: u64,
    grants: Grants,
    last_change: u64,
    network: Network,
    /// The version of the fence that the operator waits for.
    pending_fence: Option<u64>,
    /// The version of the last fence, once it was reported to hold.
    complete_fence: Option<u64>,
}

impl Sim {
    fn new(seed: u64, door_names: usize, voters: u64) -> Sim {
        let mut random = Rand64::new(u128::from(seed));
        let (length, silence, extension) =
            (random.rand_range(600..2500), random.rand_range(400..1200), random.rand_range(200..2500));
        let terms = Terms { length, drift_permille: 100, silence, extension, strict_grace: 4000 };
        let door = |name| Door::first(name, name as u64 + 1, Clock::draw(&mut random, &terms));
        let doors: Vec<Door> = (0..door_names).map(door).collect();
        let voter = |_| Voter { clock: Clock::draw(&mut random, &terms), contact: 0 };
        let voters: Vec<Voter> = (0..voters).map(voter).collect();
        Sim {
            seed,
            now: 0,
            terms,
            tally: Tally::default(),
            log: Shared::default(),
            last_process: doors.len() as u64,
            doors,
            door_names,
            leader: 0,
            grants: Grants::new(terms, voters[0].clock.at(0)),
            last_change: 0,
            network: Network::new(door_names, voters.len()),
            pending_fence: None,
            complete_fence: None,
            voters,
            random,
        }
    }

    fn run(mut self) -> Result<Tally, Violation> {
        while self.now < END_MS {
            self.now += TICK_MS;
            self.inject_faults();
            self.publish()?;
            self.lead();
            self.deliver();
            self.run_doors()?;
        }
        Ok(self.tally)
    }

    /// Draws whether an event occurs now that occurs once in `ticks` ticks on average.
    fn one_in(&mut self, ticks: u64) -> bool {
        self.random.rand_range(0..ticks) == 0
    }

    /// The time on the leader's clock.
    fn leader_clock(&self) -> u64 {
        self.voters[self.leader as usize].clock.at(self.now)
    }

    /// All voters except the leader.
    fn followers(&self) -> BTreeSet<u64> {
        (0..self.voters.len() as u64).filter(|voter| *voter != self.leader).collect()
    }

    /// At random times, publishes a change with a fence, unless a fence is pending.
    fn publish(&mut self) -> Result<(), Violation> {
        if self.pending_fence.is_some() || !self.one_in(300) {
            return Ok(());
        }
        self.last_change += 1;
        let id = format!("c{}", self.last_change);
        let change = Change::new(&id, "o", "r", "ban", "n", self.last_change.into());
        let done = self.log.apply(&Change { fence: true, ..change });
        let done = done.map_err(|refusal| Violation::Refused { seed: self.seed, refusal })?;
        (self.pending_fence, self.complete_fence) = (Some(done.version), None);
        Ok(())
    }

    /// Does the leader's work: sends heartbeats, and checks whether the pending fence holds.
    fn lead(&mut self) {
        let (now, leader_now) = (self.now, self.leader_clock());
        self.grants.note(leader_now, &self.log);
        let followers = self.followers();
        for voter in &followers {
            if self.network.reaches_voter(*voter, now) && now % HEARTBEAT_MS == 0 {
                self.grants.heard(leader_now, *voter);
                let voter = &mut self.voters[*voter as usize];
                voter.contact = voter.clock.at(now);
            }
        }
        self.voters[self.leader as usize].contact = leader_now;
        let Some(version) = self.pending_fence else { return };
        if self.grants.fence(leader_now, version, &self.log, &followers).is_empty() {
            self.tally.fences += 1;
            let lacks_it = self.doors.iter().any(|door| door.shared.version() < version);
            self.tally.fences_without_a_door += u32::from(lacks_it);
            (self.pending_fence, self.complete_fence) = (None, Some(version));
        }
    }
}
