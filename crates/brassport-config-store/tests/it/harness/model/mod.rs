//! The model: voters that run the very [`Replica`], disks that lose what was not synced, and a network that delays,
//! loses and repeats. Each voter has a clock of its own that moves only when the model says so: a voter whose clock
//! stands is one that is frozen, or slow, for as long as it takes.
//!
//! What is lost is never delivered, so that loss needs no step of its own.

mod cluster;
mod steps;

use brassport_config_store::consensus::mutants::Mutant;
use brassport_config_store::consensus::*;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// A clock moves by so much at a time: longer than a leader that was heard counts as alive, shorter than what is path
/// for a machine that stood still.
const TICK_MS: Millis = 410;

/// How much is explored.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    pub voters: usize,
    /// How often all clocks together move.
    pub ticks: u8,
    /// Of each voter at most so often.
    pub ticks_each: u8,
    pub configurations: u8,
    pub reads: u8,
    /// Processes killed; their disks stay.
    pub crashes: u8,
    /// Disks lost, with their processes.
    pub wipes: u8,
    /// Writes that a disk refuses.
    pub write_failures: u8,
    /// Messages that come a second time.
    pub duplicates: u8,
    /// ChangeVoters of who votes.
    pub changes: u8,
    /// Machines that are there beside the voters, with empty disks.
    pub spares: usize,
    /// Machines that go for good.
    pub departures: u8,
    /// Transfers of leadership.
    pub transfers: u8,
    /// Whether the first voter leads at the beginning and all know; else no message was sent yet.
    pub starts_with_leader: bool,
    /// Steps from the beginning.
    pub depth: usize,
}

pub const CALM: Sizes = Sizes {
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
    /// Whether its store stands on a gap until a snapshot is written.
    has_gap: bool,
    /// Written, not yet synced, in their order.
    writes: Vec<(u64, Record)>,
    ticks: u8,
    /// Gone for good.
    is_gone: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Packet {
    Consensus(Message),
    Fetch,
}

/// On its way: to whom, from whom.
pub type Envelope = (usize, VoterId, Packet);

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Cluster {
    machines: Vec<Machine>,
    in_flight: BTreeSet<Envelope>,
    /// What stands at each index, by whoever committed it first.
    committed: BTreeMap<LogIndex, Entry>,
    configurations: u8,
    /// Digests of what was submitted, by number; of reads the newest version acknowledged when they began.
    submitted: BTreeMap<u64, RequestDigest>,
    reads: BTreeMap<u64, u32>,
    acknowledged: BTreeMap<RequestDigest, u32>,
    rejected: BTreeSet<RequestDigest>,
    left: Budget,
    /// Terms under which somebody led.
    leaders: BTreeSet<Term>,
    pub violation: Option<&'static str>,
}

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
    /// A voter's clock moves on, and it ticks.
    Tick(usize),
    Deliver(Envelope),
    /// The message stays, and may come again.
    DeliverTwice(Envelope),
    Synced(usize),
    WriteFails(usize),
    /// Killed; so many of its open writes reached the disk all the same.
    Crash(usize, usize),
    LoseDisk(usize),
    /// A configuration on top of what the machine knows, submitted to whoever believes to lead.
    Configure(usize),
    Read(usize),
    /// The leader removes a disk that was lost, or adds the new one.
    ChangeVoters(usize),
    /// Gone for good.
    Depart(usize),
    /// Whoever leads transfers leadership.
    TransferLeadership(usize),
}

pub struct Voters {
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

fn is_active(_mutant: Option<Mutant>) {
    #[cfg(feature = "mutants")]
    brassport_config_store::consensus::mutants::activate(_mutant);
}

impl Voters {
    /// What may happen to whoever believes that it leads.
    fn leader_steps(&self, cluster: &Cluster, one: usize, steps: &mut Vec<Step>) {
        let left = &cluster.left;
        if cluster.configurations < self.sizes.configurations {
            steps.push(Step::Configure(one));
        }
        if left.reads > 0 {
            steps.push(Step::Read(one));
        }
        if left.transfers > 0 {
            steps.push(Step::TransferLeadership(one));
        }
        if left.changes > 0 && cluster.change_due(one).is_some() {
            steps.push(Step::ChangeVoters(one));
        }
    }
}

impl Model for Voters {
    type State = Cluster;
    type Action = Step;

    fn init_states(&self) -> Vec<Cluster> {
        vec![Cluster::begin(self.sizes)]
    }

    fn actions(&self, cluster: &Cluster, steps: &mut Vec<Step>) {
        is_active(self.mutant);
        let left = &cluster.left;
        for envelope in &cluster.in_flight {
            steps.push(Step::Deliver(envelope.clone()));
            if left.duplicates > 0 {
                steps.push(Step::DeliverTwice(envelope.clone()));
            }
        }
        for (one, machine) in cluster.machines.iter().enumerate().filter(|(_, machine)| !machine.is_gone) {
            if left.departures > 0 {
                steps.push(Step::Depart(one));
            }
            if left.ticks > 0 && machine.ticks < self.sizes.ticks_each {
                steps.push(Step::Tick(one));
            }
            if !machine.writes.is_empty() {
                steps.push(Step::Synced(one));
                if left.write_failures > 0 {
                    steps.push(Step::WriteFails(one));
                }
            }
            if left.crashes > 0 {
                (0..=machine.writes.len()).for_each(|reached| steps.push(Step::Crash(one, reached)));
            }
            if left.wipes > 0 {
                steps.push(Step::LoseDisk(one));
            }
            if machine.replica.is_leader() {
                self.leader_steps(cluster, one, steps);
            }
        }
    }

    fn next_state(&self, before: &Cluster, step: Step) -> Option<Cluster> {
        is_active(self.mutant);
        let mut cluster = before.clone();
        match step {
            Step::Tick(one) => cluster.step_tick(one),
            Step::Deliver(envelope) => cluster.step_deliver(envelope),
            Step::DeliverTwice(envelope) => cluster.step_deliver_twice(envelope),
            Step::Synced(one) => cluster.step_synced(one, self.mutant),
            Step::WriteFails(one) => cluster.step_write_fails(one),
            Step::Crash(one, reached) => cluster.step_crash(one, reached),
            Step::LoseDisk(one) => cluster.step_lose_disk(one, self.mutant),
            Step::TransferLeadership(one) => cluster.step_transfer_leadership(one),
            Step::Depart(one) => cluster.step_depart(one),
            Step::Configure(one) => cluster.step_configure(one),
            Step::Read(one) => cluster.step_read(one),
            Step::ChangeVoters(one) => cluster.step_change_voters(one),
        }
        if !cluster.has_faults() {
            cluster.settle();
        }
        Some(cluster)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no invariant is violated", |_, cluster: &Cluster| cluster.violation.is_none()),
            Property::sometimes("a request is acknowledged", |_, cluster: &Cluster| {
                !cluster.acknowledged.is_empty()
            }),
            Property::sometimes("another leads", |model: &Voters, cluster: &Cluster| {
                let disks: BTreeSet<DiskId> = cluster.leaders.iter().map(|term| term.disk).collect();
                disks.len() >= 2 || model.sizes.ticks < 2
            }),
        ]
    }
}

/// What was explored.
#[derive(Debug, Clone, Copy)]
pub struct Explored {
    pub states: usize,
    pub depth: usize,
}

/// Walks through the model at random, one walk a seed, until something breaks: for what lies too deep to explore all that
/// is less deep. The seed, and the steps to what breaks.
pub fn walk(sizes: Sizes, mutant: Option<Mutant>, walks: u64) -> Option<(u64, Vec<Step>, &'static str)> {
    let model = Voters { sizes, mutant };
    is_active(model.mutant);
    let mut steps = Vec::new();
    (0..walks).find_map(|seed| {
        let mut rng = oorandom::Rand64::new(u128::from(seed));
        let (mut cluster, mut path) = (Cluster::begin(sizes), Vec::new());
        for _ in 0..sizes.depth {
            steps.clear();
            model.actions(&cluster, &mut steps);
            // Most of what happens is that something arrives, or is synced.
            let is_usual = |step: &Step| matches!(step, Step::Deliver(_) | Step::Synced(_));
            if rng.rand_range(0..4) > 0 && steps.iter().any(is_usual) {
                steps.retain(is_usual);
            }
            if steps.is_empty() {
                break;
            }
            let step = steps.swap_remove(rng.rand_range(0..steps.len() as u64) as usize);
            path.push(step.clone());
            cluster = model.next_state(&cluster, step)?;
            if let Some(why) = cluster.violation {
                return Some((seed, path, why));
            }
        }
        None
    })
}

fn broken(path: Option<stateright::Path<Cluster, Step>>) -> Option<(Vec<Step>, &'static str)> {
    path.map(|path| {
        let why = path.last_state().violation.unwrap_or_default();
        (path.into_actions(), why)
    })
}

/// Explores until something breaks. The steps to what breaks, if anything does.
pub fn explore(sizes: Sizes, mutant: Option<Mutant>) -> (Explored, Option<(Vec<Step>, &'static str)>) {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let checker =
        Voters { sizes, mutant }.checker().threads(threads).target_max_depth(sizes.depth).spawn_bfs().join();
    let explored = Explored { states: checker.unique_state_count(), depth: checker.max_depth() };
    (explored, broken(checker.discovery("no invariant is violated")))
}
