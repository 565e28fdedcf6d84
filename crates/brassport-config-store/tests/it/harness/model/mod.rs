//! A model of consensus for exhaustive exploration. The voters run the production [`Replica`], disks lose what was not
//! synced, and the network delays, loses and duplicates messages. Each voter has its own clock, which advances only by
//! a step of the model: a voter whose clock does not advance is frozen or slow.
//!
//! Loss of a message needs no step: a lost message is one that is never delivered.

mod cluster;
mod steps;

use brassport_config_store::consensus::mutants::Mutant;
use brassport_config_store::consensus::*;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// The step of a voter's clock: longer than a leader counts as alive after a heartbeat (360 ms), shorter than the jump
/// that is taken for a stall of the machine (420 ms).
const TICK_MS: Millis = 410;

/// The bounds of an exploration.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    pub voters: usize,
    /// Clock steps of all voters together.
    pub ticks: u8,
    /// Maximum of clock steps of a single voter.
    pub ticks_each: u8,
    pub configurations: u8,
    pub reads: u8,
    /// Crashes of processes, whose disks are kept.
    pub crashes: u8,
    /// Losses of disks, each with a crash of the process.
    pub wipes: u8,
    /// Failed writes.
    pub write_failures: u8,
    /// Duplicated messages.
    pub duplicates: u8,
    /// Voter changes.
    pub changes: u8,
    /// Machines in addition to the voters, with empty disks.
    pub spares: usize,
    /// Machines that depart for good.
    pub departures: u8,
    /// Transfers of leadership.
    pub transfers: u8,
    /// Whether the first voter leads initially and all voters know it; else no message has been sent yet.
    pub starts_with_leader: bool,
    /// Maximum number of steps from the initial state.
    pub depth: usize,
}

pub const NO_FAULTS: Sizes = Sizes {
    voters: 3,
    ticks: 2,
    ticks_each: 2,
    configurations: 1,
    reads: 0,
    crashes: 0,
    wipes: 0,
    write_failures: 0,
    duplicates: 0,
    changes: 0,
    spares: 0,
    departures: 0,
    transfers: 0,
    starts_with_leader: false,
    depth: 64,
};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Machine {
    replica: Replica,
    disk: DiskId,
    durable: DurableState,
    /// Whether a write has failed and no snapshot has been written since.
    has_gap: bool,
    /// Writes that are not synced yet, in order.
    writes: Vec<(u64, Record)>,
    ticks: u8,
    /// Whether the machine has departed for good.
    has_departed: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Packet {
    Consensus(Message),
    Fetch,
}

/// A packet in flight: receiver, sender and content.
pub type Envelope = (usize, VoterId, Packet);

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Cluster {
    machines: Vec<Machine>,
    in_flight: BTreeSet<Envelope>,
    /// The entry at each index, as committed by the first replica that did so.
    committed: BTreeMap<LogIndex, Entry>,
    configurations: u8,
    /// Digests of the submitted requests, by command number.
    submitted: BTreeMap<u64, RequestDigest>,
    /// For each read, by command number, the newest version acknowledged when it began.
    reads: BTreeMap<u64, u32>,
    acknowledged: BTreeMap<RequestDigest, u32>,
    rejected: BTreeSet<RequestDigest>,
    budget: Budget,
    /// The terms of all leaders so far.
    leaders: BTreeSet<Term>,
    pub violation: Option<&'static str>,
}

/// The events that may still occur.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Budget {
    ticks: u8,
    reads: u8,
    crashes: u8,
    wipes: u8,
    write_failures: u8,
    duplicates: u8,
    changes: u8,
    departures: u8,
    transfers: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Step {
    /// Advances a voter's clock by one step and calls its `tick`.
    Tick(usize),
    Deliver(Envelope),
    /// Delivers a message and keeps it in flight, so that it may be delivered again.
    DeliverTwice(Envelope),
    Synced(usize),
    WriteFails(usize),
    /// Crashes a process; this number of its pending writes are synced nevertheless.
    Crash(usize, usize),
    LoseDisk(usize),
    /// Submits a configuration that builds on the version known to a machine that believes to lead.
    Configure(usize),
    Read(usize),
    /// The leader removes a lost disk or a departed machine, or adds a new one.
    ChangeVoters(usize),
    /// Removes a machine for good.
    Depart(usize),
    /// A leader transfers leadership.
    TransferLeadership(usize),
}

/// The model, as explored by `stateright`.
pub struct ConsensusModel {
    pub sizes: Sizes,
    pub mutant: Option<Mutant>,
}

fn ip(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, machine as u8 + 1)
}

fn number(ip: Ipv4Addr) -> usize {
    usize::from(ip.octets()[3]) - 1
}

fn body(version: u32) -> Arc<Vec<u8>> {
    let text = format!(
        "{{\"version\":\"{version:08x}\",\"services\":[],\"limits\":{{}},\"customers\":[],\"hosts\":[]}}"
    );
    Arc::new(text.into_bytes())
}

fn activate(_mutant: Option<Mutant>) {
    #[cfg(feature = "mutants")]
    brassport_config_store::consensus::mutants::activate(_mutant);
}

impl ConsensusModel {
    /// The steps that are possible for a machine that believes to lead.
    fn leader_steps(&self, cluster: &Cluster, node: usize, steps: &mut Vec<Step>) {
        let budget = &cluster.budget;
        if cluster.configurations < self.sizes.configurations {
            steps.push(Step::Configure(node));
        }
        if budget.reads > 0 {
            steps.push(Step::Read(node));
        }
        if budget.transfers > 0 {
            steps.push(Step::TransferLeadership(node));
        }
        if budget.changes > 0 && cluster.change_due(node).is_some() {
            steps.push(Step::ChangeVoters(node));
        }
    }
}

impl Model for ConsensusModel {
    type State = Cluster;
    type Action = Step;

    fn init_states(&self) -> Vec<Cluster> {
        vec![Cluster::initial(self.sizes)]
    }

    fn actions(&self, cluster: &Cluster, steps: &mut Vec<Step>) {
        activate(self.mutant);
        let budget = &cluster.budget;
        for envelope in &cluster.in_flight {
            steps.push(Step::Deliver(envelope.clone()));
            if budget.duplicates > 0 {
                steps.push(Step::DeliverTwice(envelope.clone()));
            }
        }
        for (node, machine) in
            cluster.machines.iter().enumerate().filter(|(_, machine)| !machine.has_departed)
        {
            if budget.departures > 0 {
                steps.push(Step::Depart(node));
            }
            if budget.ticks > 0 && machine.ticks < self.sizes.ticks_each {
                steps.push(Step::Tick(node));
            }
            if !machine.writes.is_empty() {
                steps.push(Step::Synced(node));
                if budget.write_failures > 0 {
                    steps.push(Step::WriteFails(node));
                }
            }
            if budget.crashes > 0 {
                (0..=machine.writes.len())
                    .for_each(|synced_writes| steps.push(Step::Crash(node, synced_writes)));
            }
            if budget.wipes > 0 {
                steps.push(Step::LoseDisk(node));
            }
            if machine.replica.is_leader() {
                self.leader_steps(cluster, node, steps);
            }
        }
    }

    fn next_state(&self, before: &Cluster, step: Step) -> Option<Cluster> {
        activate(self.mutant);
        let mut cluster = before.clone();
        match step {
            Step::Tick(node) => cluster.step_tick(node),
            Step::Deliver(envelope) => cluster.step_deliver(envelope),
            Step::DeliverTwice(envelope) => cluster.step_deliver_twice(envelope),
            Step::Synced(node) => cluster.step_synced(node, self.mutant),
            Step::WriteFails(node) => cluster.step_write_fails(node),
            Step::Crash(node, synced_writes) => cluster.step_crash(node, synced_writes),
            Step::LoseDisk(node) => cluster.step_lose_disk(node, self.mutant),
            Step::TransferLeadership(node) => cluster.step_transfer_leadership(node),
            Step::Depart(node) => cluster.step_depart(node),
            Step::Configure(node) => cluster.step_configure(node),
            Step::Read(node) => cluster.step_read(node),
            Step::ChangeVoters(node) => cluster.step_change_voters(node),
        }
        if !cluster.has_disk_faults_left() {
            cluster.sync_all();
        }
        Some(cluster)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no invariant is violated", |_, cluster: &Cluster| cluster.violation.is_none()),
            Property::sometimes("a request is acknowledged", |_, cluster: &Cluster| {
                !cluster.acknowledged.is_empty()
            }),
            Property::sometimes("another voter leads", |model: &ConsensusModel, cluster: &Cluster| {
                let disks: BTreeSet<DiskId> = cluster.leaders.iter().map(|term| term.disk).collect();
                disks.len() >= 2 || model.sizes.ticks < 2
            }),
        ]
    }
}

/// The extent of an exploration.
#[derive(Debug, Clone, Copy)]
pub struct Explored {
    pub states: usize,
    pub depth: usize,
}

/// Walks through the model at random, one walk per seed, until an invariant is violated. Reaches states that are too
/// deep for an exhaustive exploration. Returns the seed, the steps of its walk and the violation.
pub fn walk(sizes: Sizes, mutant: Option<Mutant>, walks: u64) -> Option<(u64, Vec<Step>, &'static str)> {
    let model = ConsensusModel { sizes, mutant };
    activate(model.mutant);
    let mut steps = Vec::new();
    (0..walks).find_map(|seed| {
        let mut rng = oorandom::Rand64::new(u128::from(seed));
        let (mut cluster, mut path) = (Cluster::initial(sizes), Vec::new());
        for _ in 0..sizes.depth {
            steps.clear();
            model.actions(&cluster, &mut steps);
            // Three in four steps deliver a message or sync a write, if there are any.
            let is_common = |step: &Step| matches!(step, Step::Deliver(_) | Step::Synced(_));
            if rng.rand_range(0..4) > 0 && steps.iter().any(is_common) {
                steps.retain(is_common);
            }
            if steps.is_empty() {
                break;
            }
            let step = steps.swap_remove(rng.rand_range(0..steps.len() as u64) as usize);
            path.push(step.clone());
            cluster = model.next_state(&cluster, step)?;
            if let Some(violation) = cluster.violation {
                return Some((seed, path, violation));
            }
        }
        None
    })
}

fn steps_to_violation(path: Option<stateright::Path<Cluster, Step>>) -> Option<(Vec<Step>, &'static str)> {
    path.map(|path| {
        let violation = path.last_state().violation.unwrap_or_default();
        (path.into_actions(), violation)
    })
}

/// Explores all states within the bounds, until an invariant is violated. Returns the extent, and the steps to the
/// violation if there is one.
pub fn explore(sizes: Sizes, mutant: Option<Mutant>) -> (Explored, Option<(Vec<Step>, &'static str)>) {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let checker = ConsensusModel { sizes, mutant }
        .checker()
        .threads(threads)
        .target_max_depth(sizes.depth)
        .spawn_bfs()
        .join();
    let explored = Explored { states: checker.unique_state_count(), depth: checker.max_depth() };
    (explored, steps_to_violation(checker.discovery("no invariant is violated")))
}
