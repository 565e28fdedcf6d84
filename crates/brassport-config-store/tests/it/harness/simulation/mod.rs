//! Voters on simulated time: a network that loses, delays and repeats, disks that lose what was not synced, machines
//! that are killed, frozen, cut off and wiped, and operators that write on top of a version and read. Everything is
//! drawn from one seed.

mod disk;
mod faults;
mod operators;
mod verdict;

pub use faults::Loss;

use brassport_checkers::versions::Operation;
use brassport_config_store::consensus::mutants::Mutant;
use brassport_config_store::consensus::*;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;

use disk::append;

/// What one campaign may do.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    pub machines: usize,
    /// Those that vote from the start.
    pub voters: usize,
    /// How many disks may be lost at once.
    pub wipes: usize,
    /// How long faults go on, in milliseconds.
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
    /// Whether its store stands on a gap until a snapshot is written.
    has_gap: bool,
    incarnation: u64,
    frozen_until: Millis,
    full_until: Millis,
    cut: BTreeSet<usize>,
    /// When what it writes next is synced: writes are synced in their order.
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
            cut: BTreeSet::new(),
            disk_busy_until: 0,
        }
    }
}

struct SubmittedWrite {
    digest: RequestDigest,
    version: u32,
    base_version: u32,
}

/// A run.
pub struct Simulation {
    sizes: Sizes,
    mutant: Option<Mutant>,
    now: Millis,
    rng: Rand64,
    queue: BTreeMap<(Millis, u64), Step>,
    last: u64,
    machines: Vec<Machine>,
    /// What stands at each index, by whoever committed it first.
    committed: BTreeMap<LogIndex, Entry>,
    submitted_writes: BTreeMap<u64, SubmittedWrite>,
    next_call: u64,
    last_version: u32,
    acknowledged_writes: Vec<(RequestDigest, u32)>,
    /// What operators called, by number: when, and what they were answered so far.
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
            last: 0,
            machines: (0..sizes.machines).map(Machine::new).collect(),
            committed: BTreeMap::new(),
            submitted_writes: BTreeMap::new(),
            next_call: 0,
            last_version: 0,
            acknowledged_writes: Vec::new(),
            history: BTreeMap::new(),
            acknowledged: 0,
            violations: Vec::new(),
            is_healed: false,
        };
        // They all begin with the same voters: how those find one another is another test's matter.
        let voters: Vec<VoterId> =
            (0..sizes.voters).map(|one| VoterId { ip: ip(one), disk: DiskId(1_000 + one as u64) }).collect();
        for number in 0..sizes.machines {
            simulation.machines[number].durable.state = ReplicatedState::genesis(voters.clone(), 4);
            simulation.begin(number);
        }
        simulation.at(50, Step::Fault);
        simulation.at(30, Step::Submit);
        simulation.at(40, Step::ReconcileVoters);
        simulation
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Tick(one) => self.tick(one),
            Step::Deliver(one, from, message) => self.deliver(one, from, message),
            Step::Synced(one, write, record, incarnation) => self.sync(one, write, record, incarnation),
            Step::Fetched(one, from) => self.fetched(one, from),
            Step::Fault => {
                if !self.is_healed {
                    self.fault();
                    let wait = 20 + self.draw(250);
                    self.at(wait, Step::Fault);
                }
            }
            Step::Submit => {
                self.submit();
                let wait = 10 + self.draw(90);
                self.at(wait, Step::Submit);
            }
            Step::ReconcileVoters => {
                self.reconcile_voters();
                self.at(100, Step::ReconcileVoters);
            }
        }
    }

    fn tick(&mut self, one: usize) {
        if self.is_postponed(one, Step::Tick(one)) {
            return;
        }
        let now = self.now;
        if let Some(replica) = &mut self.machines[one].replica {
            let actions = replica.tick(now);
            self.execute(one, actions);
            let wait = 40 + self.draw(20);
            self.at(wait, Step::Tick(one));
        }
    }

    fn deliver(&mut self, one: usize, from: VoterId, message: Message) {
        if self.is_postponed(one, Step::Deliver(one, from, message.clone())) {
            return;
        }
        let now = self.now;
        if let Some(replica) = &mut self.machines[one].replica {
            let actions = replica.step(now, from, message);
            self.execute(one, actions);
        }
    }

    fn sync(&mut self, one: usize, write: u64, record: Record, incarnation: u64) {
        if self.machines[one].incarnation != incarnation {
            return;
        }
        let refuses = self.now < self.machines[one].full_until;
        let machine = &mut self.machines[one];
        let ignored = self.mutant == Some(Mutant::WriteGapIgnored);
        let gap = machine.has_gap && !matches!(record, Record::Snapshot(_)) && !ignored;
        let is_written = !refuses && !gap;
        machine.has_gap = !is_written;
        if is_written {
            append(&mut machine.durable, record);
        }
        let now = self.now;
        if let Some(replica) = &mut machine.replica {
            let actions = replica.on_persisted(now, write, is_written);
            self.execute(one, actions);
        }
    }

    fn at(&mut self, delay: Millis, step: Step) {
        self.last += 1;
        self.queue.insert((self.now + delay, self.last), step);
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.rand_range(0..below.max(1))
    }

    fn begin(&mut self, number: usize) {
        let one = &mut self.machines[number];
        one.incarnation += 1;
        one.disk_busy_until = self.now;
        one.replica = Some(Replica::new(ip(number), one.disk, Some(one.durable.clone()), self.now));
        self.at(1, Step::Tick(number));
    }

    pub fn run(&mut self) {
        let long = self.sizes.fault_phase_ms;
        while self.violations.is_empty() {
            let Some(((at, _), step)) = self.queue.pop_first() else { break };
            self.now = self.now.max(at);
            if self.now > long && !self.is_healed {
                self.heal();
            }
            if self.now > long + 8_000 {
                break;
            }
            self.step(step);
        }
        if self.violations.is_empty() {
            self.check_invariants();
        }
    }

    /// All is mended: from here on what was acknowledged has to be found.
    fn heal(&mut self) {
        self.is_healed = true;
        for number in 0..self.machines.len() {
            self.machines[number].cut.clear();
            self.machines[number].frozen_until = 0;
            self.machines[number].full_until = 0;
            if self.machines[number].replica.is_none() {
                self.begin(number);
            }
        }
    }

    fn is_postponed(&mut self, one: usize, step: Step) -> bool {
        let until = self.machines[one].frozen_until;
        if self.now < until {
            self.at(until - self.now, step);
            return true;
        }
        false
    }

    fn execute(&mut self, one: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(one, machine(to), message),
                Action::Persist(number, record) => {
                    let longest = if self.draw(20) == 0 { 300 } else { 8 };
                    let wait = 1 + self.draw(longest);
                    let at = self.machines[one].disk_busy_until.max(self.now) + wait;
                    self.machines[one].disk_busy_until = at;
                    let incarnation = self.machines[one].incarnation;
                    self.at(at - self.now, Step::Synced(one, number, record, incarnation));
                }
                Action::FetchLog(from) => {
                    let wait = 2 + self.draw(10);
                    self.at(wait, Step::Fetched(one, machine(from)));
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
                Action::Respond(number, outcome) => self.answered(number, outcome),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let lossy = !self.is_healed && self.draw(20) == 0;
        if to >= self.machines.len() || lossy || self.is_cut(from, to) {
            return;
        }
        let id = VoterId { ip: ip(from), disk: self.machines[from].disk };
        // Some come very late, and some twice.
        let late = if !self.is_healed && self.draw(12) == 0 { 1_500 } else { 6 };
        let wait = 1 + self.draw(late);
        self.at(wait, Step::Deliver(to, id, message.clone()));
        if !self.is_healed && self.draw(30) == 0 {
            let wait = 1 + self.draw(900);
            self.at(wait, Step::Deliver(to, id, message));
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        // One way: whoever is cut does not hear.
        self.machines[to].cut.contains(&from)
    }

    fn fetched(&mut self, one: usize, from: usize) {
        if self.is_cut(one, from) || self.is_cut(from, one) || self.now < self.machines[from].frozen_until {
            return;
        }
        let Some(index) = self.machines[one].replica.as_ref().map(|replica| replica.state().index) else {
            return;
        };
        let Some(source) = &self.machines[from].replica else { return };
        let (entries, state) = (source.entries_after(index), ReplicatedState::clone(source.state()));
        let now = self.now;
        let Some(replica) = &mut self.machines[one].replica else { return };
        let actions = match entries {
            Some(entries) => replica.append_committed(now, entries),
            None => replica.install_snapshot(now, state),
        };
        self.execute(one, actions);
    }

    fn leads(&self, one: usize) -> bool {
        self.now >= self.machines[one].frozen_until
            && self.machines[one].replica.as_ref().is_some_and(Replica::is_leader)
    }
}
