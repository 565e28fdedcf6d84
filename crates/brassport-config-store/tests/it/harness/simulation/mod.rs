//! A deterministic simulation of a cluster, driven by one seed: a network that loses, delays and duplicates messages,
//! disks that lose what was not synced, machines that are killed, frozen, partitioned and wiped, and operators that
//! submit configurations and read.

mod disk;
mod faults;
mod invariants;
mod operators;

pub use faults::LeaderLoss;

use brassport_checkers::versions::Operation;
use brassport_config_store::consensus::mutants::Mutant;
use brassport_config_store::consensus::*;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;

use disk::append;

/// The sizes of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    pub machines: usize,
    /// The number of machines that are voters from the start.
    pub voters: usize,
    /// How many disks may be lost at once: 0 or 1.
    pub wipes: usize,
    /// Duration of the phase with faults, in milliseconds.
    pub fault_phase_ms: Millis,
}

#[derive(Debug, Clone)]
enum Step {
    Tick(usize),
    Deliver(usize, VoterId, Message),
    Synced(usize, u64, Record, u64),
    Fetched(usize, usize),
    Fault,
    Submit,
    ReconcileVoters,
}

struct Machine {
    replica: Option<Replica>,
    disk: DiskId,
    durable: DurableState,
    /// Whether a write has failed and no snapshot has been written since.
    has_gap: bool,
    incarnation: u64,
    frozen_until: Millis,
    full_until: Millis,
    /// Machines whose messages do not reach this one.
    cut_from: BTreeSet<usize>,
    /// When the last pending write will be synced. Writes are synced in order, so the next one starts after that.
    disk_busy_until: Millis,
}

impl Machine {
    fn new(number: usize) -> Machine {
        Machine {
            replica: None,
            disk: DiskId(1_000 + number as u64),
            durable: DurableState::empty(),
            has_gap: false,
            incarnation: 0,
            frozen_until: 0,
            full_until: 0,
            cut_from: BTreeSet::new(),
            disk_busy_until: 0,
        }
    }
}

struct SubmittedWrite {
    digest: RequestDigest,
    version: u32,
    base_version: u32,
}

/// A simulation of a cluster.
pub struct Simulation {
    sizes: Sizes,
    mutant: Option<Mutant>,
    now: Millis,
    rng: Rand64,
    queue: BTreeMap<(Millis, u64), Step>,
    /// Number of the last scheduled step, which orders steps of the same time.
    last_step: u64,
    machines: Vec<Machine>,
    /// The entry at each index, as committed by the first replica that did so.
    committed: BTreeMap<LogIndex, Entry>,
    submitted_writes: BTreeMap<u64, SubmittedWrite>,
    last_call: u64,
    last_version: u32,
    acknowledged_writes: Vec<(RequestDigest, u32)>,
    /// Calls of the operators, by number, with their times and the responses so far.
    history: BTreeMap<u64, Operation>,
    pub acknowledged: usize,
    pub violations: Vec<String>,
    is_healed: bool,
}

fn ip(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, machine as u8 + 1)
}

fn machine(ip: Ipv4Addr) -> usize {
    usize::from(ip.octets()[3]) - 1
}

pub fn body(version: u32) -> Arc<Vec<u8>> {
    let text = format!(
        "{{\"version\":\"{version:08x}\",\"services\":[],\"limits\":{{}},\"customers\":[],\"hosts\":[]}}"
    );
    Arc::new(text.into_bytes())
}

impl Simulation {
    pub fn new(seed: u64, sizes: Sizes, mutant: Option<Mutant>) -> Simulation {
        let mut simulation = Simulation {
            sizes,
            mutant,
            now: 0,
            rng: Rand64::new(u128::from(seed)),
            queue: BTreeMap::new(),
            last_step: 0,
            machines: (0..sizes.machines).map(Machine::new).collect(),
            committed: BTreeMap::new(),
            submitted_writes: BTreeMap::new(),
            last_call: 0,
            last_version: 0,
            acknowledged_writes: Vec::new(),
            history: BTreeMap::new(),
            acknowledged: 0,
            violations: Vec::new(),
            is_healed: false,
        };
        // All machines start with the same voters: the forming of a cluster is not simulated here.
        let voters: Vec<VoterId> = (0..sizes.voters)
            .map(|node| VoterId { ip: ip(node), disk: DiskId(1_000 + node as u64) })
            .collect();
        for number in 0..sizes.machines {
            simulation.machines[number].durable.state = ReplicatedState::initial(voters.clone(), 4);
            simulation.start(number);
        }
        simulation.schedule(50, Step::Fault);
        simulation.schedule(30, Step::Submit);
        simulation.schedule(40, Step::ReconcileVoters);
        simulation
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Tick(node) => self.tick(node),
            Step::Deliver(node, from, message) => self.deliver(node, from, message),
            Step::Synced(node, write, record, incarnation) => self.sync(node, write, record, incarnation),
            Step::Fetched(node, from) => self.deliver_entries(node, from),
            Step::Fault => {
                if !self.is_healed {
                    self.inject_fault();
                    let wait = 20 + self.draw(250);
                    self.schedule(wait, Step::Fault);
                }
            }
            Step::Submit => {
                self.submit();
                let wait = 10 + self.draw(90);
                self.schedule(wait, Step::Submit);
            }
            Step::ReconcileVoters => {
                self.reconcile_voters();
                self.schedule(100, Step::ReconcileVoters);
            }
        }
    }

    fn tick(&mut self, node: usize) {
        if self.is_postponed(node, Step::Tick(node)) {
            return;
        }
        let now = self.now;
        if let Some(replica) = &mut self.machines[node].replica {
            let actions = replica.tick(now);
            self.execute(node, actions);
            let wait = 40 + self.draw(20);
            self.schedule(wait, Step::Tick(node));
        }
    }

    fn deliver(&mut self, node: usize, from: VoterId, message: Message) {
        if self.is_postponed(node, Step::Deliver(node, from, message.clone())) {
            return;
        }
        let now = self.now;
        if let Some(replica) = &mut self.machines[node].replica {
            let actions = replica.step(now, from, message);
            self.execute(node, actions);
        }
    }

    fn sync(&mut self, node: usize, write: u64, record: Record, incarnation: u64) {
        if self.machines[node].incarnation != incarnation {
            return;
        }
        let is_full = self.now < self.machines[node].full_until;
        let machine = &mut self.machines[node];
        let ignores_gap = self.mutant == Some(Mutant::WriteGapIgnored);
        let is_behind_gap = machine.has_gap && !matches!(record, Record::Snapshot(_)) && !ignores_gap;
        let is_written = !is_full && !is_behind_gap;
        machine.has_gap = !is_written;
        if is_written {
            append(&mut machine.durable, record);
        }
        let now = self.now;
        if let Some(replica) = &mut machine.replica {
            let actions = replica.on_persisted(now, write, is_written);
            self.execute(node, actions);
        }
    }

    fn schedule(&mut self, delay: Millis, step: Step) {
        self.last_step += 1;
        self.queue.insert((self.now + delay, self.last_step), step);
    }

    /// A random number below `bound`; 0 if that is 0.
    fn draw(&mut self, bound: u64) -> u64 {
        self.rng.rand_range(0..bound.max(1))
    }

    fn start(&mut self, number: usize) {
        let machine = &mut self.machines[number];
        machine.incarnation += 1;
        machine.disk_busy_until = self.now;
        machine.replica =
            Some(Replica::new(ip(number), machine.disk, Some(machine.durable.clone()), self.now));
        self.schedule(1, Step::Tick(number));
    }

    /// Runs the phase with faults and 8 s without, and then checks the invariants. Stops at the first violation.
    pub fn run(&mut self) {
        let fault_phase_ms = self.sizes.fault_phase_ms;
        while self.violations.is_empty() {
            let Some(((at, _), step)) = self.queue.pop_first() else { break };
            self.now = self.now.max(at);
            if self.now > fault_phase_ms && !self.is_healed {
                self.heal();
            }
            if self.now > fault_phase_ms + 8_000 {
                break;
            }
            self.step(step);
        }
        if self.violations.is_empty() {
            self.check_invariants();
        }
    }

    /// Ends all faults. From here on, the cluster has to recover and to keep all acknowledged writes.
    fn heal(&mut self) {
        self.is_healed = true;
        for number in 0..self.machines.len() {
            self.machines[number].cut_from.clear();
            self.machines[number].frozen_until = 0;
            self.machines[number].full_until = 0;
            if self.machines[number].replica.is_none() {
                self.start(number);
            }
        }
    }

    /// Whether the machine is frozen; the step is then postponed until the machine resumes.
    fn is_postponed(&mut self, node: usize, step: Step) -> bool {
        let until = self.machines[node].frozen_until;
        if self.now < until {
            self.schedule(until - self.now, step);
            return true;
        }
        false
    }

    fn execute(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(node, machine(to), message),
                Action::Persist(number, record) => {
                    let longest = if self.draw(20) == 0 { 300 } else { 8 };
                    let wait = 1 + self.draw(longest);
                    let at = self.machines[node].disk_busy_until.max(self.now) + wait;
                    self.machines[node].disk_busy_until = at;
                    let incarnation = self.machines[node].incarnation;
                    self.schedule(at - self.now, Step::Synced(node, number, record, incarnation));
                }
                Action::FetchLog(from) => {
                    let wait = 2 + self.draw(10);
                    self.schedule(wait, Step::Fetched(node, machine(from)));
                }
                Action::Applied(entry) => {
                    if let Some(CommittedEntry { index, entry }) = entry {
                        let first = self.committed.entry(index).or_insert_with(|| entry.clone());
                        if *first != entry {
                            self.violations
                                .push(format!("index {index}: {first:?} and {entry:?} are both committed"));
                        }
                    }
                }
                Action::Respond(number, outcome) => self.on_response(number, outcome),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let is_lost = !self.is_healed && self.draw(20) == 0;
        if to >= self.machines.len() || is_lost || self.is_cut(from, to) {
            return;
        }
        let id = VoterId { ip: ip(from), disk: self.machines[from].disk };
        // Some messages are delayed for long, and some are duplicated.
        let max_delay = if !self.is_healed && self.draw(12) == 0 { 1_500 } else { 6 };
        let wait = 1 + self.draw(max_delay);
        self.schedule(wait, Step::Deliver(to, id, message.clone()));
        if !self.is_healed && self.draw(30) == 0 {
            let wait = 1 + self.draw(900);
            self.schedule(wait, Step::Deliver(to, id, message));
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        // A link may be cut in one direction only.
        self.machines[to].cut_from.contains(&from)
    }

    fn deliver_entries(&mut self, node: usize, from: usize) {
        if self.is_cut(node, from) || self.is_cut(from, node) || self.now < self.machines[from].frozen_until {
            return;
        }
        let Some(index) = self.machines[node].replica.as_ref().map(|replica| replica.state().index) else {
            return;
        };
        let Some(source) = &self.machines[from].replica else { return };
        let (entries, state) = (source.entries_after(index), ReplicatedState::clone(source.state()));
        let now = self.now;
        let Some(replica) = &mut self.machines[node].replica else { return };
        let actions = match entries {
            Some(entries) => replica.append_committed(now, entries),
            None => replica.install_snapshot(now, state),
        };
        self.execute(node, actions);
    }

    fn leads(&self, node: usize) -> bool {
        self.now >= self.machines[node].frozen_until
            && self.machines[node].replica.as_ref().is_some_and(Replica::is_leader)
    }
}
