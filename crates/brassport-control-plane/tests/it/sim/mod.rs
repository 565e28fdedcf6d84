//! A deterministic simulation of a cluster: machines that each run a `ControlPlane`, their disks, the network between
//! them, backends and operators that call them, and checks of invariants. Time is simulated and all random choices come
//! from one seed, so a run can be repeated exactly. The simulation neither sleeps nor opens sockets.

pub mod callers;
#[cfg(feature = "mutants")]
mod corruption;
pub mod host;
pub mod invariants;
mod network;
mod process;
pub mod script;
mod statements;
pub mod store;

#[cfg(feature = "mutants")]
pub use corruption::is_corrupt_snapshot_installed;

use brassport_control_plane::call::{Call, Reply};
use brassport_control_plane::peer_message::{Envelope, PeerMessage};
use brassport_control_plane::{Action, ControlPlane, Event};
use brassport_types::Incarnation;
use callers::Callers;
use host::Host;
use invariants::{InvariantChecker, UpdateWay};
use oorandom::Rand64;
use script::{Line, Millis, Script, Setup};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

const TICK_MS: Millis = 60;
const CHECK_INTERVAL_MS: Millis = 50;
pub const HEARTBEAT_INTERVAL_MS: Millis = 1_000;
/// A process that is shut down is killed after this time at the latest (`graceS`).
const SHUTDOWN_GRACE_MS: Millis = 6_000;
/// One-way latency between a caller and a machine.
const CALLER_LATENCY_MS: Millis = 3;

/// A scheduled event. Events of a process carry the machine and its start count, so that they have no effect on a later
/// process of the same machine.
#[derive(Debug, Clone)]
pub enum SimEvent {
    Tick(usize, u64),
    OpenStore(usize, u64),
    RecordSynced(usize, u64),
    MessageArrives(usize, Envelope),
    /// A call reaches a machine: the machine, the number of the attempt, and the call.
    CallArrives(usize, u64, Call),
    /// A reply to an attempt reaches the caller; `None` if the connection failed.
    ReplyArrives(u64, Option<Reply>),
    /// The caller's timeout for an attempt expires.
    CallTimesOut(u64),
    /// A caller makes the next attempt of a session.
    RetryCall(usize),
    /// The backend with this ID sends its next heartbeat.
    SendHeartbeat(String),
    /// A line of the scenario is executed.
    RunLine(usize),
    Unfrozen(usize),
    /// Checks whether a process that is shutting down may exit: the machine, its start count, the time of the shutdown
    /// request, and the minimum time until the exit.
    CheckExit(usize, u64, Millis, Millis),
    CheckInvariants,
}

pub struct Sim {
    pub setup: Setup,
    pub lines: Vec<Line>,
    fired: BTreeSet<usize>,
    pub now: Millis,
    rng: Rand64,
    queue: BTreeMap<(Millis, u64), SimEvent>,
    last_event: u64,
    pub machines: Vec<Host>,
    loss: u64,
    duplication: (u64, Millis),
    pub reply_loss: u64,
    /// Whether all pushed changes of backends are lost.
    pub loses_pushes: bool,
    pub names: BTreeMap<String, usize>,
    pub callers: Callers,
    pub invariants: InvariantChecker,
    /// The machines that were shut down, and how long each took in ms.
    pub ended: Vec<(usize, Millis)>,
    /// Failed statements and expectations of the scenario.
    pub unmet_expectations: Vec<String>,
}

/// The address of a machine.
pub fn ip(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, machine as u8 + 1)
}

/// The machine with an address.
pub fn machine(ip: Ipv4Addr) -> usize {
    usize::from(ip.octets()[3]).wrapping_sub(1)
}

/// The incarnation of a machine's process, unique for each start and machine.
fn incarnation(machine: usize, starts: u64) -> Incarnation {
    Incarnation(starts << 8 | machine as u64)
}

/// Runs a scenario. Returns the violated invariants and the unmet expectations.
pub fn run_script(script: Script) -> Vec<String> {
    let mut sim = Sim::new(script);
    sim.run();
    let broken = sim.invariants.violations.iter().cloned();
    broken.chain(sim.unmet_expectations.iter().cloned()).collect()
}

impl Sim {
    pub fn new(script: Script) -> Sim {
        let Script { mut setup, lines } = script;
        let all = setup.disks + setup.diskless;
        if setup.seeds.is_empty() {
            setup.seeds = (0..all.min(3)).collect();
        }
        let machines = (0..all).map(|number| Host::new(number, &setup)).collect();
        let mut sim = Sim {
            rng: Rand64::new(u128::from(setup.seed)),
            invariants: InvariantChecker::new(all),
            setup,
            lines,
            fired: BTreeSet::new(),
            now: 0,
            queue: BTreeMap::new(),
            last_event: 0,
            machines,
            loss: 0,
            duplication: (0, 0),
            reply_loss: 0,
            loses_pushes: false,
            names: BTreeMap::new(),
            callers: Callers::default(),
            ended: Vec::new(),
            unmet_expectations: Vec::new(),
        };
        for number in sim.setup.initially_running.clone().unwrap_or_else(|| (0..all).collect()) {
            sim.start(number, true);
        }
        sim.schedule(CHECK_INTERVAL_MS, SimEvent::CheckInvariants);
        sim.schedule_lines();
        sim
    }

    /// Schedules an event `delay` ms from now. Events at the same time are processed in the order of scheduling.
    pub fn schedule(&mut self, delay: Millis, event: SimEvent) {
        self.last_event += 1;
        self.queue.insert((self.now + delay, self.last_event), event);
    }

    /// Draws a random number below `below`; 0 if `below` is 0.
    pub fn draw(&mut self, below: u64) -> u64 {
        self.rng.rand_range(0..below.max(1))
    }

    pub fn run(&mut self) {
        let end = self.end();
        self.run_until(end);
        self.check_at_end();
    }

    pub fn run_until(&mut self, end: Millis) {
        // Stops early: later violations usually follow from the first ones.
        while !self.has_enough_violations() {
            let Some(((at, number), event)) = self.queue.pop_first() else { break };
            if at > end {
                self.queue.insert((at, number), event);
                break;
            }
            self.now = self.now.max(at);
            self.process(event);
        }
        self.now = self.now.max(end);
    }

    /// The status that a machine reports; null if its process does not run.
    pub fn status(&self, node: usize) -> serde_json::Value {
        let control = self.machines[node].control.as_ref();
        control.map_or(serde_json::Value::Null, ControlPlane::status)
    }

    /// Whether the run stops early because of its violations.
    pub fn has_enough_violations(&self) -> bool {
        self.invariants.violations.len() >= 8
    }

    fn process(&mut self, event: SimEvent) {
        let of = match &event {
            SimEvent::Tick(node, _) | SimEvent::OpenStore(node, _) | SimEvent::RecordSynced(node, _) => {
                Some(*node)
            }
            SimEvent::MessageArrives(node, _) | SimEvent::CallArrives(node, _, _) => Some(*node),
            _ => None,
        };
        // Events for a frozen machine are deferred until it resumes, in their order.
        if let Some(until) = of.map(|node| self.machines[node].frozen_until).filter(|until| self.now < *until)
        {
            return self.schedule(until - self.now, event);
        }
        match event {
            SimEvent::Tick(node, starts) => {
                if self.is_same_process(node, starts) {
                    self.handle(node, Event::Tick);
                    let wait = TICK_MS + self.draw(6);
                    self.schedule(wait, SimEvent::Tick(node, starts));
                }
            }
            SimEvent::OpenStore(node, starts) => self.open_store(node, starts),
            SimEvent::RecordSynced(node, starts) => self.sync_next_record(node, starts),
            // `handle` drops the message if the process does not run.
            SimEvent::MessageArrives(node, envelope) => self.handle(node, Event::PeerMessage(envelope)),
            SimEvent::CallArrives(node, attempt, call) => {
                self.call(node, attempt, call);
            }
            SimEvent::ReplyArrives(attempt, reply) => self.on_reply(attempt, reply),
            SimEvent::CallTimesOut(attempt) => self.on_reply(attempt, None),
            SimEvent::RetryCall(session) => self.retry(session),
            SimEvent::SendHeartbeat(id) => self.heartbeat(&id),
            SimEvent::RunLine(index) => self.run_line(index),
            SimEvent::CheckExit(node, starts, since, min_ms) => self.check_exit(node, starts, since, min_ms),
            SimEvent::Unfrozen(node) => {
                self.invariants.fault_until(node, self.machines[node].is_core, self.now);
            }
            SimEvent::CheckInvariants => {
                self.check();
                self.schedule(CHECK_INTERVAL_MS, SimEvent::CheckInvariants);
            }
        }
    }

    /// Passes a call to a machine. The connection fails if its process does not run.
    fn call(&mut self, node: usize, attempt: u64, call: Call) {
        if self.machines[node].control.is_none() {
            return self.schedule(CALLER_LATENCY_MS, SimEvent::ReplyArrives(attempt, None));
        }
        let machine = &mut self.machines[node];
        machine.last_call += 1;
        let number = machine.last_call;
        machine.calls.insert(number, attempt);
        self.handle(node, Event::Call(number, call));
    }

    fn is_same_process(&self, node: usize, starts: u64) -> bool {
        self.machines[node].starts == starts && self.machines[node].control.is_some()
    }

    /// Passes an event to the control plane of a machine, if its process runs, and executes the actions.
    pub fn handle(&mut self, node: usize, event: Event) {
        let now = self.now - self.machines[node].started_at;
        let way = update_way(&event);
        let Some(control) = &mut self.machines[node].control else { return };
        for action in control.handle(now, event) {
            match action {
                Action::Send(to, message) => self.send(node, machine(to), message),
                Action::Persist(number, record) => {
                    let wait = self.setup.sync_latency + self.draw(3);
                    let store = &mut self.machines[node].store;
                    store.busy = store.busy.max(self.now) + wait;
                    store.pending.push_back((number, record));
                    let (delay, starts) = (store.busy - self.now, self.machines[node].starts);
                    self.schedule(delay, SimEvent::RecordSynced(node, starts));
                }
                Action::Respond(number, reply) => {
                    if let Some(attempt) = self.machines[node].calls.remove(&number) {
                        self.schedule(CALLER_LATENCY_MS, SimEvent::ReplyArrives(attempt, Some(reply)));
                    }
                }
                Action::StateAdvanced(state) => self.invariants.on_state_applied(node, &state, self.now),
                Action::BackendChanged(backend) => {
                    self.invariants.on_backend_changed(node, backend, way, self.now);
                }
                Action::BackendExpired(id) => self.invariants.on_backend_expired(node, &id),
                Action::QuotaGranted(_) => {}
            }
        }
    }

    /// Whether the process of a machine runs and is not frozen.
    pub fn is_responsive(&self, node: usize) -> bool {
        self.machines[node].control.is_some() && self.now >= self.machines[node].frozen_until
    }

    /// The machines of the core that were started and are not retired.
    pub fn core(&self) -> Vec<usize> {
        let is_member = |node: &usize| self.machines[*node].starts > 0 && !self.machines[*node].retired;
        (0..self.setup.disks).filter(is_member).collect()
    }

    /// The responsive core machines that are connected to a majority of the core.
    pub fn connected_core(&self) -> Vec<usize> {
        let members = self.core();
        let core: Vec<usize> = members.iter().copied().filter(|node| self.is_responsive(*node)).collect();
        let reaches = |node: usize| core.iter().filter(|other| self.is_connected(node, **other)).count();
        core.iter().copied().filter(|node| reaches(*node) > members.len() / 2).collect()
    }

    fn check(&mut self) {
        if self.loss > 0 {
            self.invariants.core_fault(self.now);
        }
        let good = self.connected_core();
        if good.len() <= self.core().len() / 2 {
            self.invariants.core_fault(self.now);
        }
        for node in 0..self.machines.len() {
            let connected =
                self.is_responsive(node) && good.iter().all(|other| self.is_connected(node, *other));
            if !connected || self.machines[node].store.full {
                self.invariants.fault_until(node, false, self.now);
            }
        }
        self.invariants.check(self.now);
    }
}

/// How a machine learns of the changes of backends that an event causes.
fn update_way(event: &Event) -> UpdateWay {
    match event {
        Event::Call(..) => UpdateWay::Call,
        Event::PeerMessage(Envelope { message, .. }) => match message {
            PeerMessage::BackendRecords(_, Some(_)) | PeerMessage::ConfirmDeparture(..) => {
                UpdateWay::Confirmation
            }
            PeerMessage::LackingRecords(_) => UpdateWay::Repair,
            _ => UpdateWay::Push,
        },
        _ => UpdateWay::Timer,
    }
}
