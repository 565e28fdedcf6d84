//! A whole control plane on simulated time: machines with a `ControlPlane` each, their disks, the network between them, and
//! whoever calls. All is drawn from one seed, so each run repeats exactly. Nothing here sleeps or opens a socket.

// The scenarios and the seeds each use a part.
#![allow(dead_code)]

pub mod callers;
pub mod judge;
pub mod play;
pub mod script;

use brassport_config_store::consensus::{
    AcceptedEntry, CommittedEntry, DurableState, Entry, Message, Record, ReplicatedState,
};
use brassport_control_plane::call::{Call, Reply};
use brassport_control_plane::peer_message::{Envelope, PeerMessage};
use brassport_control_plane::{
    Action, ControlPlane, Event, FaultTolerance, Options, SnapshotChunk, SnapshotId,
};
use brassport_transport::peer_sampling::PeerRecord;
use brassport_types::{DiskId, Incarnation, LogIndex};
use callers::Callers;
use judge::Judge;
use oorandom::Rand64;
use script::{Line, Millis, Script, Setup};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;

/// Between two ticks of a process; between two looks of the judge; between two beats of a backend.
const TICK: Millis = 60;
const LOOK: Millis = 50;
pub const BEAT: Millis = 1_000;
/// A machine that was told to end does so by then (`graceS`).
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
    Beat(String),
    Line(usize),
    Thawed(usize),
    /// A machine that was told to end looks whether it may: since when it was told, and how long it stays at the least.
    Ends(usize, u64, Millis, Millis),
    Look,
}

pub struct Store {
    /// Drawn when it is opened empty.
    number: Option<u64>,
    pub kept: DurableState,
    /// Whether it stands on a gap until all is written anew.
    torn: bool,
    pending: VecDeque<(u64, Record)>,
    busy: Millis,
    pub full: bool,
    hangs_until: Millis,
}

impl Store {
    fn empty() -> Store {
        let kept = DurableState::empty();
        Store {
            number: None,
            kept,
            torn: false,
            pending: VecDeque::new(),
            busy: 0,
            full: false,
            hangs_until: 0,
        }
    }
}

pub struct Machine {
    pub control: Option<ControlPlane>,
    /// How often it was started.
    pub life: u64,
    born: Millis,
    pub frozen_until: Millis,
    pub counted: bool,
    /// Gone for good.
    pub retired: bool,
    /// When its process ended last.
    pub ended: Millis,
    zone: String,
    pub store: Store,
    /// The try behind each open call.
    calls: BTreeMap<u64, u64>,
    last_call: u64,
    seeds: Vec<usize>,
    /// Whom it does not hear.
    pub deaf_to: BTreeSet<usize>,
    /// What it sends until then comes so much later.
    lag: (Millis, Millis),
    sends_free: Millis,
}

pub struct World {
    pub setup: Setup,
    pub lines: Vec<Line>,
    fired: BTreeSet<usize>,
    pub now: Millis,
    rng: Rand64,
    queue: BTreeMap<(Millis, u64), Step>,
    last_step: u64,
    pub machines: Vec<Machine>,
    loss: u64,
    repeats: (u64, Millis),
    pub answers_lost: u64,
    pub names: BTreeMap<String, usize>,
    pub callers: Callers,
    pub judge: Judge,
    /// Machines that were told to end, and how long they took.
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

/// Whether a machine takes in a snapshot of which a byte was changed on its way, so that it still can be read.
pub fn spoilt_snapshot_is_installed() -> bool {
    let node = PeerRecord {
        ip: ip(0),
        incarnation: Incarnation(1),
        zone: "a".to_owned(),
        disk: DiskId::NONE,
        is_core: false,
    };
    let options = Options {
        node,
        seeds: vec![ip(1)],
        first_start: false,
        fault_tolerance: FaultTolerance::machines(1),
        heartbeat_interval_ms: BEAT,
        seed: 1,
    };
    let mut control = ControlPlane::new(options, 0);
    let bytes = |quota_shares: u32| {
        let state = ReplicatedState { index: LogIndex(9), quota_shares, ..ReplicatedState::empty() };
        let mut bytes = Vec::new();
        ciborium::into_writer(&state, &mut bytes).expect("a state can be written");
        bytes
    };
    let (sound, spoilt) = (bytes(4), bytes(5));
    let digest: u128 =
        Sha256::digest(&sound).iter().take(16).fold(0, |all, byte| all << 8 | u128::from(*byte));
    let id = SnapshotId { index: LogIndex(9), digest };
    let total = spoilt.len() as u64;
    let chunk = SnapshotChunk { id, total, offset: 0, bytes: spoilt };
    let message = PeerMessage::SnapshotChunk(chunk);
    let envelope = Envelope { from: ip(1), incarnation: Incarnation(1), message };
    control.handle(10, Event::PeerMessage(envelope));
    control.state().index == LogIndex(9)
}

/// Plays a scenario. What broke, a line each.
pub fn play(script: Script) -> Vec<String> {
    let mut world = World::new(script);
    world.run();
    let broken = world.judge.broken.iter().cloned();
    broken.chain(world.failed.iter().cloned()).collect()
}

impl World {
    pub fn new(script: Script) -> World {
        let Script { mut setup, lines } = script;
        let all = setup.disks + setup.plain;
        if setup.seeds.is_empty() {
            setup.seeds = (0..all.min(3)).collect();
        }
        let machines = (0..all)
            .map(|number| Machine {
                control: None,
                life: 0,
                born: 0,
                frozen_until: 0,
                counted: number < setup.disks,
                retired: false,
                ended: 0,
                zone: setup.zones[number % setup.zones.len()].clone(),
                store: Store::empty(),
                calls: BTreeMap::new(),
                last_call: 0,
                seeds: setup.seeds.clone(),
                deaf_to: BTreeSet::new(),
                lag: (0, 0),
                sends_free: 0,
            })
            .collect();
        let mut world = World {
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
        for number in world.setup.up.clone().unwrap_or_else(|| (0..all).collect()) {
            world.start(number, true);
        }
        world.at(LOOK, Step::Look);
        world.schedule_lines();
        world
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
        self.last_looks();
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
            Step::Tick(one, life) => {
                if self.lives(one, life) {
                    self.handle(one, Event::Tick);
                    let wait = TICK + self.draw(6);
                    self.at(wait, Step::Tick(one, life));
                }
            }
            Step::Open(one, life) => self.open(one, life),
            Step::Synced(one, life) => self.synced(one, life),
            Step::Arrive(one, envelope) => {
                if self.machines[one].control.is_some() {
                    self.handle(one, Event::PeerMessage(envelope));
                }
            }
            Step::Call(one, try_number, call) => {
                if self.machines[one].control.is_none() {
                    return self.at(CALLER, Step::Answer(try_number, None));
                }
                let machine = &mut self.machines[one];
                machine.last_call += 1;
                let number = machine.last_call;
                machine.calls.insert(number, try_number);
                self.handle(one, Event::Call(number, call));
            }
            Step::Answer(try_number, reply) => self.answered(try_number, reply),
            Step::Timeout(try_number) => self.answered(try_number, None),
            Step::Again(session) => self.try_again(session),
            Step::Beat(id) => self.beat(&id),
            Step::Line(index) => self.line(index),
            Step::Ends(one, life, since, soonest) => self.end_if_released(one, life, since, soonest),
            Step::Thawed(one) => self.judge.trouble(one, self.machines[one].counted, self.now),
            Step::Look => {
                self.look();
                self.at(LOOK, Step::Look);
            }
        }
    }

    fn lives(&self, one: usize, life: u64) -> bool {
        self.machines[one].life == life && self.machines[one].control.is_some()
    }

    pub fn start(&mut self, one: usize, first_start: bool) {
        if self.machines[one].control.is_some() {
            return;
        }
        let seed = self.draw(u64::MAX);
        let machine = &mut self.machines[one];
        machine.life += 1;
        machine.born = self.now;
        machine.store.busy = self.now;
        machine.frozen_until = 0;
        let life = machine.life;
        let node = PeerRecord {
            ip: ip(one),
            incarnation: incarnation(one, life),
            zone: machine.zone.clone(),
            disk: DiskId::NONE,
            is_core: machine.counted,
        };
        let options = Options {
            node,
            seeds: machine.seeds.iter().map(|seed| ip(*seed)).collect(),
            first_start,
            fault_tolerance: FaultTolerance::machines(
                self.setup.survive.unwrap_or((self.setup.disks - 1) / 2),
            ),
            heartbeat_interval_ms: BEAT,
            seed,
        };
        machine.control = Some(ControlPlane::new(options, 0));
        let counted = machine.counted;
        self.judge.begins(one, counted, self.now);
        let wait = 1 + self.draw(TICK);
        self.at(wait, Step::Tick(one, life));
        if counted {
            let wait = self.setup.sync + self.draw(4);
            self.at(wait, Step::Open(one, life));
        }
    }

    pub fn kill(&mut self, one: usize) {
        let machine = &mut self.machines[one];
        if machine.control.take().is_none() {
            return;
        }
        machine.frozen_until = 0;
        machine.ended = self.now;
        let calls = std::mem::take(&mut machine.calls);
        let pending = std::mem::take(&mut machine.store.pending);
        // What was on its way to the disk is there up to some record.
        let hangs = self.now < machine.store.hangs_until;
        for (_, record) in pending {
            if hangs || self.draw(2) == 0 || !keep(&mut self.machines[one].store, record) {
                break;
            }
        }
        self.machines[one].store.torn = false;
        for try_number in calls.into_values() {
            self.at(CALLER, Step::Answer(try_number, None));
        }
        self.judge.ends(one, self.machines[one].counted, self.now);
    }

    /// Tells a machine to end.
    pub fn stop(&mut self, one: usize, soonest: Millis) {
        if self.machines[one].control.is_some() {
            self.judge.trouble(one, self.machines[one].counted, self.now);
            self.handle(one, Event::Shutdown);
            self.at(TICK, Step::Ends(one, self.machines[one].life, self.now, soonest));
        }
    }

    fn end_if_released(&mut self, one: usize, life: u64, since: Millis, soonest: Millis) {
        if !self.lives(one, life) {
            return;
        }
        let may = self.machines[one].control.as_ref().is_some_and(ControlPlane::is_released);
        if (may && self.now >= since + soonest) || self.now >= since + GRACE {
            self.ended.push((one, self.now - since));
            self.kill(one);
        } else {
            self.at(TICK, Step::Ends(one, life, since, soonest));
        }
    }

    pub fn lose_disk(&mut self, one: usize) {
        self.kill(one);
        self.machines[one].store = Store::empty();
    }

    pub fn freeze(&mut self, one: usize, long: Millis) {
        let until = self.now + long;
        self.machines[one].frozen_until = self.machines[one].frozen_until.max(until);
        self.judge.trouble(one, self.machines[one].counted, self.now);
        self.at(long, Step::Thawed(one));
    }

    fn open(&mut self, one: usize, life: u64) {
        if !self.lives(one, life) {
            return;
        }
        let hangs_until = self.machines[one].store.hangs_until;
        if self.now < hangs_until {
            return self.at(hangs_until - self.now, Step::Open(one, life));
        }
        if self.machines[one].store.number.is_none() {
            if self.machines[one].store.full {
                return self.at(500, Step::Open(one, life));
            }
            self.machines[one].store.number = Some(self.draw(u64::MAX) | 1);
        }
        let store = &self.machines[one].store;
        let event = Event::StoreOpened(DiskId(store.number.unwrap_or(1)), store.kept.clone());
        self.handle(one, event);
    }

    fn synced(&mut self, one: usize, life: u64) {
        if !self.lives(one, life) {
            return;
        }
        let hangs_until = self.machines[one].store.hangs_until;
        if self.now < hangs_until {
            return self.at(hangs_until - self.now, Step::Synced(one, life));
        }
        let store = &mut self.machines[one].store;
        let Some((number, record)) = store.pending.pop_front() else { return };
        let kept = keep(store, record);
        self.handle(one, Event::Persisted(number, kept));
        self.triggers();
    }

    pub fn handle(&mut self, one: usize, event: Event) {
        let now = self.now - self.machines[one].born;
        let Some(control) = &mut self.machines[one].control else { return };
        for action in control.handle(now, event) {
            match action {
                Action::Send(to, message) => self.send(one, machine(to), message),
                Action::Persist(number, record) => {
                    let wait = self.setup.sync + self.draw(3);
                    let store = &mut self.machines[one].store;
                    store.busy = store.busy.max(self.now) + wait;
                    store.pending.push_back((number, record));
                    let (delay, life) = (store.busy - self.now, self.machines[one].life);
                    self.at(delay, Step::Synced(one, life));
                }
                Action::Respond(number, reply) => {
                    if let Some(try_number) = self.machines[one].calls.remove(&number) {
                        self.at(CALLER, Step::Answer(try_number, Some(reply)));
                    }
                }
                Action::StateAdvanced(state) => self.judge.word(one, &state, self.now),
                Action::BackendChanged(backend) => self.judge.backend(one, backend),
                Action::BackendExpired(id) => self.judge.dropped(one, &id),
                Action::QuotaGranted(_) => {}
            }
        }
    }

    /// Whether what one sends reaches the other.
    pub fn hears(&self, from: usize, to: usize) -> bool {
        !self.machines[to].deaf_to.contains(&from)
    }

    fn send(&mut self, from: usize, to: usize, message: PeerMessage) {
        if let PeerMessage::Entries(entries) = &message {
            self.judge.chosen(from, entries, self.now);
        }
        if to >= self.machines.len() || !self.hears(from, to) {
            return;
        }
        let same = self.machines[from].zone == self.machines[to].zone;
        let mut delay = if same { 1 } else { self.setup.apart } + self.draw(2);
        if let Some(mbit) = self.setup.mbit {
            let bytes = size(&message);
            let free = &mut self.machines[from].sends_free;
            *free = (*free).max(self.now) + bytes * 8 / (mbit * 1_000);
            delay += *free - self.now;
        }
        if self.now < self.machines[from].lag.0 {
            delay += self.machines[from].lag.1;
        }
        let incarnation = incarnation(from, self.machines[from].life);
        let envelope = Envelope { from: ip(from), incarnation, message };
        if self.draw(100) < self.repeats.0 {
            let late = 1 + self.draw(self.repeats.1);
            self.at(delay + late, Step::Arrive(to, envelope.clone()));
        }
        if self.draw(100) >= self.loss {
            self.at(delay, Step::Arrive(to, envelope));
        }
    }

    pub fn set_loss(&mut self, percent: u64) {
        self.loss = percent;
    }

    pub fn set_repeats(&mut self, percent: u64, within: Millis) {
        self.repeats = (percent, within);
    }

    pub fn set_lag(&mut self, one: usize, by: Millis, long: Millis) {
        self.machines[one].lag = (self.now + long, by);
        self.judge.trouble(one, self.machines[one].counted, self.now + long + by);
    }

    pub fn set_seeds(&mut self, one: usize, seeds: Vec<usize>) {
        self.machines[one].seeds = seeds.clone();
        if self.machines[one].control.is_some() {
            self.handle(one, Event::SeedsChanged(seeds.into_iter().map(ip).collect()));
        }
    }

    pub fn set_disk(&mut self, one: usize, full: Option<bool>, hangs: Millis) {
        let store = &mut self.machines[one].store;
        store.full = full.unwrap_or(store.full);
        store.hangs_until = store.hangs_until.max(self.now + hangs);
        // A disk in trouble is the machine's own; the core stays settled.
        self.judge.trouble(one, false, self.now + hangs);
    }

    pub fn set_cut(&mut self, from: usize, to: usize, cut: bool) {
        if from == to {
            return;
        }
        let changed = match cut {
            true => self.machines[to].deaf_to.insert(from),
            false => self.machines[to].deaf_to.remove(&from),
        };
        if changed && self.machines[from].counted && self.machines[to].counted {
            self.judge.core_trouble(self.now);
        }
    }

    pub fn runs(&self, one: usize) -> bool {
        self.machines[one].control.is_some() && self.now >= self.machines[one].frozen_until
    }

    fn both_ways(&self, one: usize, other: usize) -> bool {
        self.hears(one, other) && self.hears(other, one)
    }

    /// The machines of the core: those that were started and are not gone for good.
    pub fn core(&self) -> Vec<usize> {
        let is_member = |one: &usize| self.machines[*one].life > 0 && !self.machines[*one].retired;
        (0..self.setup.disks).filter(is_member).collect()
    }

    /// Running machines of the core that reach more than half of it.
    pub fn good_core(&self) -> Vec<usize> {
        let members = self.core();
        let core: Vec<usize> = members.iter().copied().filter(|one| self.runs(*one)).collect();
        let reaches = |one: usize| core.iter().filter(|other| self.both_ways(one, **other)).count();
        core.iter().copied().filter(|one| reaches(*one) > members.len() / 2).collect()
    }

    fn look(&mut self) {
        if self.loss > 0 {
            self.judge.core_trouble(self.now);
        }
        let good = self.good_core();
        if good.len() <= self.core().len() / 2 {
            self.judge.core_trouble(self.now);
        }
        for one in 0..self.machines.len() {
            let connected = self.runs(one) && good.iter().all(|other| self.both_ways(one, *other));
            if !connected || self.machines[one].store.full {
                self.judge.trouble(one, false, self.now);
            }
        }
        self.judge.look(self.now);
    }
}

/// What a store does with a record. Whether it is kept.
fn keep(store: &mut Store, record: Record) -> bool {
    let gap = store.torn && !matches!(record, Record::Snapshot(_));
    store.torn = store.full || gap;
    if store.torn {
        return false;
    }
    let kept = &mut store.kept;
    // What stands before another was chosen when that was accepted.
    let catch_up = |kept: &mut DurableState, index: LogIndex| {
        while kept.state.index + 1 < index {
            let Some(before) = kept.accepted.take() else { break };
            kept.state.apply(&before.entry);
        }
    };
    match record {
        Record::Promised(term) => kept.promised = kept.promised.max(term),
        Record::Accepted { term, index, entry } => {
            kept.promised = kept.promised.max(term);
            catch_up(kept, index);
            kept.accepted = Some(AcceptedEntry { term, entry });
        }
        Record::Committed(CommittedEntry { index, entry }) => {
            catch_up(kept, index);
            kept.accepted = None;
            kept.state.apply(&entry);
        }
        Record::Snapshot(whole) => *kept = whole,
    }
    true
}

/// About how many bytes a message has on the wire.
fn size(message: &PeerMessage) -> u64 {
    let of = |entry: &Entry| match entry {
        Entry::Replace { body, .. } | Entry::Change { body, .. } => body.len(),
        _ => 64,
    };
    let bytes = match message {
        PeerMessage::Entries(entries) => entries.iter().map(|chosen| of(&chosen.entry)).sum(),
        PeerMessage::SnapshotChunk(chunk) => chunk.bytes.len(),
        PeerMessage::Consensus(_, Message::Accept { entry, .. }) => of(entry),
        PeerMessage::Consensus(_, Message::Promise { accepted: Some(accepted), .. }) => of(&accepted.entry),
        PeerMessage::BackendRecords(records, _) => 150 * records.len(),
        _ => 300,
    };
    bytes as u64 + 60
}
