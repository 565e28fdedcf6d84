//! A whole control plane on simulated time: machines with a `ControlPlane` each, their disks, the network between them, and
//! whoever calls. All is drawn from one seed, so each run repeats exactly. Nothing here sleeps or opens a socket.

pub mod callers;
#[cfg(feature = "mutants")]
mod corruption;
pub mod host;
pub mod judge;
mod network;
pub mod play;
mod process;
pub mod script;
pub mod store;

#[cfg(feature = "mutants")]
pub use corruption::is_corrupt_snapshot_installed;

use brassport_control_plane::call::{Call, Reply};
use brassport_control_plane::peer_message::Envelope;
use brassport_control_plane::{Action, ControlPlane, Event};
use brassport_types::Incarnation;
use callers::Callers;
use host::Host;
use judge::Judge;
use oorandom::Rand64;
use script::{Line, Millis, Script, Setup};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// Between two ticks of a process; between two checks of the judge; between two heartbeats of a backend.
const TICK: Millis = 60;
const CHECK_INTERVAL: Millis = 50;
pub const HEARTBEAT_INTERVAL: Millis = 1_000;
/// A machine that shuts down has ended by then, in ms (`graceS`).
const GRACE: Millis = 6_000;
/// One way between a caller and a machine.
const CALLER: Millis = 3;

#[derive(Debug, Clone)]
pub enum Step {
    Tick(usize, u64),
    Open(usize, u64),
    Synced(usize, u64),
    Arrive(usize, Envelope),
    /// A call reaches a machine: the number of the try.
    Call(usize, u64, Call),
    /// An answer reaches the caller; `None`: the connection failed.
    Answer(u64, Option<Reply>),
    Timeout(u64),
    /// A caller's next try.
    Again(usize),
    Heartbeat(String),
    Line(usize),
    Thawed(usize),
    /// A machine that shuts down checks whether it may end: its start, since when, and how long it stays at the least.
    Ends(usize, u64, Millis, Millis),
    Check,
}

pub struct Sim {
    pub setup: Setup,
    pub lines: Vec<Line>,
    fired: BTreeSet<usize>,
    pub now: Millis,
    rng: Rand64,
    queue: BTreeMap<(Millis, u64), Step>,
    last_step: u64,
    pub machines: Vec<Host>,
    loss: u64,
    repeats: (u64, Millis),
    pub answers_lost: u64,
    pub names: BTreeMap<String, usize>,
    pub callers: Callers,
    pub judge: Judge,
    /// Machines that were shut down, and how many ms they took.
    pub ended: Vec<(usize, Millis)>,
    /// What was expected and is not so.
    pub failed: Vec<String>,
}

pub fn ip(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, machine as u8 + 1)
}

pub fn machine(ip: Ipv4Addr) -> usize {
    usize::from(ip.octets()[3]).wrapping_sub(1)
}

/// One run of a machine's process: another with each start, and another at each machine.
fn incarnation(machine: usize, starts: u64) -> Incarnation {
    Incarnation(starts << 8 | machine as u64)
}

/// Plays a scenario. What broke, a line each.
pub fn play(script: Script) -> Vec<String> {
    let mut sim = Sim::new(script);
    sim.run();
    let broken = sim.judge.broken.iter().cloned();
    broken.chain(sim.failed.iter().cloned()).collect()
}

impl Sim {
    pub fn new(script: Script) -> Sim {
        let Script { mut setup, lines } = script;
        let all = setup.disks + setup.plain;
        if setup.seeds.is_empty() {
            setup.seeds = (0..all.min(3)).collect();
        }
        let machines = (0..all).map(|number| Host::new(number, &setup)).collect();
        let mut sim = Sim {
            rng: Rand64::new(u128::from(setup.seed)),
            judge: Judge::new(all),
            setup,
            lines,
            fired: BTreeSet::new(),
            now: 0,
            queue: BTreeMap::new(),
            last_step: 0,
            machines,
            loss: 0,
            repeats: (0, 0),
            answers_lost: 0,
            names: BTreeMap::new(),
            callers: Callers::default(),
            ended: Vec::new(),
            failed: Vec::new(),
        };
        for number in sim.setup.up.clone().unwrap_or_else(|| (0..all).collect()) {
            sim.start(number, true);
        }
        sim.at(CHECK_INTERVAL, Step::Check);
        sim.schedule_lines();
        sim
    }

    pub fn at(&mut self, delay: Millis, step: Step) {
        self.last_step += 1;
        self.queue.insert((self.now + delay, self.last_step), step);
    }

    pub fn draw(&mut self, below: u64) -> u64 {
        self.rng.rand_range(0..below.max(1))
    }

    pub fn run(&mut self) {
        let end = self.end();
        self.run_until(end);
        self.check_at_end();
    }

    pub fn run_until(&mut self, end: Millis) {
        // A few faults say as much as a thousand.
        while !self.is_given_up() {
            let Some(((at, number), step)) = self.queue.pop_first() else { break };
            if at > end {
                self.queue.insert((at, number), step);
                break;
            }
            self.now = self.now.max(at);
            self.step(step);
        }
        self.now = self.now.max(end);
    }

    /// What a machine tells those who run it.
    pub fn status(&self, one: usize) -> serde_json::Value {
        let control = self.machines[one].control.as_ref();
        control.map_or(serde_json::Value::Null, ControlPlane::status)
    }

    /// Whether enough is broken.
    pub fn is_given_up(&self) -> bool {
        self.judge.broken.len() >= 8
    }

    fn step(&mut self, step: Step) {
        let of = match &step {
            Step::Tick(one, _) | Step::Open(one, _) | Step::Synced(one, _) => Some(*one),
            Step::Arrive(one, _) | Step::Call(one, _, _) => Some(*one),
            _ => None,
        };
        // What comes for a machine that stands still waits, in its order.
        if let Some(until) = of.map(|one| self.machines[one].frozen_until).filter(|until| self.now < *until) {
            return self.at(until - self.now, step);
        }
        match step {
            Step::Tick(one, starts) => {
                if self.lives(one, starts) {
                    self.handle(one, Event::Tick);
                    let wait = TICK + self.draw(6);
                    self.at(wait, Step::Tick(one, starts));
                }
            }
            Step::Open(one, starts) => self.open(one, starts),
            Step::Synced(one, starts) => self.synced(one, starts),
            // Dropped by `handle` if the machine does not run.
            Step::Arrive(one, envelope) => self.handle(one, Event::PeerMessage(envelope)),
            Step::Call(one, try_number, call) => {
                self.call(one, try_number, call);
            }
            Step::Answer(try_number, reply) => self.on_answer(try_number, reply),
            Step::Timeout(try_number) => self.on_answer(try_number, None),
            Step::Again(session) => self.retry(session),
            Step::Heartbeat(id) => self.heartbeat(&id),
            Step::Line(index) => self.line(index),
            Step::Ends(one, starts, since, soonest) => self.end_if_released(one, starts, since, soonest),
            Step::Thawed(one) => self.judge.fault_until(one, self.machines[one].is_core, self.now),
            Step::Check => {
                self.check();
                self.at(CHECK_INTERVAL, Step::Check);
            }
        }
    }

    /// A call reaches a machine.
    fn call(&mut self, one: usize, try_number: u64, call: Call) {
        if self.machines[one].control.is_none() {
            return self.at(CALLER, Step::Answer(try_number, None));
        }
        let machine = &mut self.machines[one];
        machine.last_call += 1;
        let number = machine.last_call;
        machine.calls.insert(number, try_number);
        self.handle(one, Event::Call(number, call));
    }

    fn lives(&self, one: usize, starts: u64) -> bool {
        self.machines[one].starts == starts && self.machines[one].control.is_some()
    }

    pub fn handle(&mut self, one: usize, event: Event) {
        let now = self.now - self.machines[one].started_at;
        let Some(control) = &mut self.machines[one].control else { return };
        for action in control.handle(now, event) {
            match action {
                Action::Send(to, message) => self.send(one, machine(to), message),
                Action::Persist(number, record) => {
                    let wait = self.setup.sync + self.draw(3);
                    let store = &mut self.machines[one].store;
                    store.busy = store.busy.max(self.now) + wait;
                    store.pending.push_back((number, record));
                    let (delay, starts) = (store.busy - self.now, self.machines[one].starts);
                    self.at(delay, Step::Synced(one, starts));
                }
                Action::Respond(number, reply) => {
                    if let Some(try_number) = self.machines[one].calls.remove(&number) {
                        self.at(CALLER, Step::Answer(try_number, Some(reply)));
                    }
                }
                Action::StateAdvanced(state) => self.judge.applied(one, &state, self.now),
                Action::BackendChanged(backend) => self.judge.backend(one, backend),
                Action::BackendExpired(id) => self.judge.dropped(one, &id),
                Action::QuotaGranted(_) => {}
            }
        }
    }

    pub fn runs(&self, one: usize) -> bool {
        self.machines[one].control.is_some() && self.now >= self.machines[one].frozen_until
    }

    /// The machines of the core: those that were started and are not gone for good.
    pub fn core(&self) -> Vec<usize> {
        let is_member = |one: &usize| self.machines[*one].starts > 0 && !self.machines[*one].retired;
        (0..self.setup.disks).filter(is_member).collect()
    }

    /// Running machines of the core that reach more than half of it.
    pub fn good_core(&self) -> Vec<usize> {
        let members = self.core();
        let core: Vec<usize> = members.iter().copied().filter(|one| self.runs(*one)).collect();
        let reaches = |one: usize| core.iter().filter(|other| self.both_ways(one, **other)).count();
        core.iter().copied().filter(|one| reaches(*one) > members.len() / 2).collect()
    }

    fn check(&mut self) {
        if self.loss > 0 {
            self.judge.core_fault(self.now);
        }
        let good = self.good_core();
        if good.len() <= self.core().len() / 2 {
            self.judge.core_fault(self.now);
        }
        for one in 0..self.machines.len() {
            let connected = self.runs(one) && good.iter().all(|other| self.both_ways(one, *other));
            if !connected || self.machines[one].store.full {
                self.judge.fault_until(one, false, self.now);
            }
        }
        self.judge.check(self.now);
    }
}
