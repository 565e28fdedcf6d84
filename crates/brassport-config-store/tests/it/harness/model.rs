//! The model: voters that run the very [`Replica`], disks that lose what was not synced, and a network that delays,
//! loses and repeats. Each voter has a clock of its own that moves only when the model says so: a voter whose clock
//! stands is one that is frozen, or slow, for as long as it takes.
//!
//! What is lost is never delivered, so that loss needs no step of its own.

use brassport_config_store::consensus::mutants::Mutant;
use brassport_config_store::consensus::*;
use stateright::{Checker, Model, Property};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// A clock moves by so much at a time: longer than a leader that was heard counts as alive, shorter than what is taken
/// for a machine that stood still.
const LATER: Millis = 410;

/// How much is explored.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    pub voters: usize,
    /// How often all clocks together move.
    pub laters: u8,
    /// Of each voter at most so often.
    pub laters_each: u8,
    pub words: u8,
    pub reads: u8,
    /// Processes killed; their disks stay.
    pub crashes: u8,
    /// Disks lost, with their processes.
    pub wipes: u8,
    /// Writes that a disk refuses.
    pub refusals: u8,
    /// Messages that come a second time.
    pub doubles: u8,
    /// Changes of who votes.
    pub changes: u8,
    /// Machines that are there beside the voters, with empty disks.
    pub spares: usize,
    /// Machines that go for good.
    pub departures: u8,
    /// Leaders that hand over.
    pub hand_overs: u8,
    /// Whether the first voter holds leadership at the beginning and all have heard so; else nobody has said anything.
    pub is_held: bool,
    /// Steps from the beginning.
    pub depth: usize,
}

pub const CALM: Sizes = Sizes {
    voters: 3,
    laters: 2,
    laters_each: 2,
    words: 1,
    reads: 0,
    crashes: 0,
    wipes: 0,
    refusals: 0,
    doubles: 0,
    changes: 0,
    spares: 0,
    departures: 0,
    hand_overs: 0,
    is_held: false,
    depth: 64,
};

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Machine {
    replica: Replica,
    disk: DiskId,
    kept: DurableState,
    /// Whether its store stands on a gap until all is written anew.
    torn: bool,
    /// Written, not yet synced, in their order.
    writes: Vec<(u64, Record)>,
    laters: u8,
    /// Gone for good.
    is_gone: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Packet {
    Said(Message),
    Fetch,
}

/// On its way: to whom, from whom.
pub type Post = (usize, VoterId, Packet);

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Site {
    machines: Vec<Machine>,
    posts: BTreeSet<Post>,
    /// What stands at each index, by whoever said so first.
    chosen: BTreeMap<LogIndex, Entry>,
    words: u8,
    /// Digests of what was asked, by number; of reads the newest version acknowledged when they began.
    asked: BTreeMap<u64, RequestDigest>,
    reads: BTreeMap<u64, u32>,
    acknowledged: BTreeMap<RequestDigest, u32>,
    refused: BTreeSet<RequestDigest>,
    left: Left,
    /// Holders, by term and the life of whoever holds.
    leaders: BTreeSet<Term>,
    pub broken: Option<&'static str>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Left {
    laters: u8,
    reads: u8,
    crashes: u8,
    wipes: u8,
    refusals: u8,
    doubles: u8,
    changes: u8,
    departures: u8,
    hand_overs: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Step {
    /// A voter's clock moves on, and it looks.
    Later(usize),
    Arrives(Post),
    /// The message stays, and may come again.
    ArrivesTwice(Post),
    Synced(usize),
    Refused(usize),
    /// Killed; so many of its open writes reached the disk all the same.
    Crashes(usize, usize),
    Wiped(usize),
    /// A word on top of what the machine knows, asked of whoever believes to hold leadership.
    Asked(usize),
    Read(usize),
    /// Whoever holds leadership lets go of a disk that was lost, or lets the new one in.
    Changes(usize),
    /// Gone for good.
    Departs(usize),
    /// Whoever leads hands over.
    HandsOver(usize),
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

impl Site {
    /// The state that all is explored from.
    fn begin(sizes: Sizes) -> Site {
        let mut site = Site::at_rest(sizes);
        if sizes.is_held {
            site.machines[0].laters = 1;
            let now = site.now(0);
            let actions = site.machines[0].replica.tick(now);
            site.carry_out(0, actions);
            // All is synced and arrives, in one order, until nothing is on its way.
            while let Some(post) = site.settle().posts.pop_first() {
                site.arrive(post);
            }
            site.settle();
        }
        site
    }

    /// All that is written is synced.
    fn settle(&mut self) -> &mut Site {
        while let Some(one) = self.machines.iter().position(|machine| !machine.writes.is_empty()) {
            self.sync(one, false);
        }
        self
    }

    fn sync(&mut self, one: usize, mends_nothing: bool) {
        let (number, record) = self.machines[one].writes.remove(0);
        let kept = self.machines[one].keep(record, mends_nothing);
        let now = self.now(one);
        let actions = self.machines[one].replica.on_persisted(now, number, kept);
        self.carry_out(one, actions);
    }

    /// Where nothing can happen to a disk any more, a write that takes long is no other than a message that does.
    fn has_faults(&self) -> bool {
        let left = &self.left;
        left.crashes + left.wipes + left.refusals > 0
    }

    fn at_rest(sizes: Sizes) -> Site {
        let id = |one: usize| VoterId { ip: ip(one), disk: DiskId(10 + one as u64) };
        let state = ReplicatedState::genesis((0..sizes.voters).map(id).collect(), 4);
        let machines = (0..sizes.voters + sizes.spares).map(|one| {
            let state = if one < sizes.voters { state.clone() } else { ReplicatedState::empty() };
            let kept = DurableState { promised: Term::new(0, DiskId(0)), state, accepted: None };
            let disk = id(one).disk;
            let replica = Replica::new(ip(one), disk, Some(kept.clone()), 0);
            Machine { replica, disk, kept, torn: false, writes: Vec::new(), laters: 0, is_gone: false }
        });
        Site {
            machines: machines.collect(),
            posts: BTreeSet::new(),
            chosen: BTreeMap::new(),
            words: 0,
            asked: BTreeMap::new(),
            reads: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            refused: BTreeSet::new(),
            left: Left {
                laters: sizes.laters,
                reads: sizes.reads,
                crashes: sizes.crashes,
                wipes: sizes.wipes,
                refusals: sizes.refusals,
                doubles: sizes.doubles,
                changes: sizes.changes,
                departures: sizes.departures,
                hand_overs: sizes.hand_overs,
            },
            leaders: BTreeSet::new(),
            broken: None,
        }
    }

    fn now(&self, one: usize) -> Millis {
        Millis::from(self.machines[one].laters) * LATER
    }

    fn id(&self, one: usize) -> VoterId {
        VoterId { ip: ip(one), disk: self.machines[one].disk }
    }

    fn carry_out(&mut self, one: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.post(number(to), self.id(one), message),
                Action::FetchLog(from) if !self.machines[number(from)].is_gone => {
                    self.posts.insert((number(from), self.id(one), Packet::Fetch));
                }
                Action::FetchLog(_) => {}
                Action::Persist(number, record) => self.machines[one].writes.push((number, record)),
                Action::Applied(Some(CommittedEntry { index, entry })) => {
                    let first = self.chosen.entry(index).or_insert_with(|| entry.clone());
                    if *first != entry {
                        self.broken = Some("two entries at one index");
                    }
                }
                Action::Applied(None) => {}
                Action::Respond(number, outcome) => self.answered(number, outcome),
            }
        }
        if let (true, Some((term, _))) =
            (self.machines[one].replica.is_leader(), self.machines[one].replica.leader(self.now(one)))
        {
            self.leaders.insert(term);
        }
        if self.refused.iter().any(|digest| self.taken().any(|taken| taken == *digest)) {
            self.broken = Some("what was refused is in force");
        }
    }

    /// A machine goes for good: what was on its way to it, or would be, is lost.
    fn depart(&mut self, one: usize) {
        self.machines[one].is_gone = true;
        self.machines[one].writes.clear();
        self.posts.retain(|(to, ..)| *to != one);
    }

    /// Puts a message on its way. Of heartbeats, and of answers to heartbeats, under one term only the newest stays: an older one
    /// says less.
    fn post(&mut self, to: usize, from: VoterId, message: Message) {
        if self.machines[to].is_gone {
            return;
        }
        let under = |message: &Message| match message {
            Message::Heartbeat { term, .. } => Some((true, *term)),
            Message::HeartbeatResponse { term, .. } => Some((false, *term)),
            _ => None,
        };
        if under(&message).is_some() {
            self.posts.retain(|(at, by, packet)| {
                let same = matches!(packet, Packet::Said(older) if under(older) == under(&message));
                !(*at == to && *by == from && same)
            });
        }
        self.posts.insert((to, from, Packet::Said(message)));
    }

    /// Digests of all words that are chosen.
    fn taken(&self) -> impl Iterator<Item = RequestDigest> + '_ {
        self.chosen.values().filter_map(|entry| match entry {
            Entry::Replace { base_version, body } => {
                Some(RequestDigest::of(ChangeScope::Full, *base_version, body))
            }
            _ => None,
        })
    }

    fn answered(&mut self, number: u64, outcome: Outcome) {
        match (outcome, self.asked.get(&number).copied(), self.reads.get(&number).copied()) {
            (Outcome::Committed, Some(digest), _) => {
                if !self.taken().any(|taken| taken == digest) {
                    self.broken = Some("acknowledged and not chosen");
                }
                self.acknowledged.insert(digest, number as u32);
            }
            (Outcome::VersionConflict | Outcome::Invalid(_), Some(digest), _) => {
                self.refused.insert(digest);
            }
            (Outcome::Current(state), _, Some(newest)) if state.version() < newest => {
                self.broken = Some("a read is older than what was acknowledged");
            }
            _ => {}
        }
    }

    fn crash(&mut self, one: usize, reached: usize) {
        let machine = &mut self.machines[one];
        let writes: Vec<_> = machine.writes.drain(..).take(reached).collect();
        for (_, record) in writes {
            machine.keep(record, false);
        }
        machine.torn = false;
        let (disk, kept) = (machine.disk, machine.kept.clone());
        let now = self.now(one);
        self.machines[one].replica = Replica::new(ip(one), disk, Some(kept), now);
    }

    /// The change of voters that is due: a disk that was lost goes before the new one comes.
    fn change_due(&self, one: usize) -> Option<Vec<VoterId>> {
        let voters = &self.machines[one].replica.state().voters;
        let live = (0..self.machines.len()).filter(|other| !self.machines[*other].is_gone);
        let ids: Vec<VoterId> = live.map(|other| self.id(other)).collect();
        let is_gone = |voter: &&VoterId| !ids.iter().any(|id| id.ip == voter.ip);
        let lost = |id: &&VoterId| voters.iter().any(|voter| voter.ip == id.ip && voter.disk != id.disk);
        let mut changed = voters.clone();
        if let Some(wiped) = ids.iter().find(lost) {
            changed.retain(|voter| voter.ip != wiped.ip);
            return Some(changed);
        }
        // As the reconciler does: one that is gone goes before its successor comes.
        let new = ids.iter().find(|id| !voters.contains(id));
        if let Some(gone) = voters.iter().find(is_gone).filter(|_| new.is_some()) {
            changed.retain(|voter| voter != gone);
            return Some(changed);
        }
        changed.push(*new?);
        changed.sort();
        Some(changed)
    }
}

impl Machine {
    /// Whether the store keeps a record; behind one that it refused it takes nothing but the whole.
    fn keep(&mut self, record: Record, mends_nothing: bool) -> bool {
        if self.torn && !matches!(record, Record::Snapshot(_)) && !mends_nothing {
            return false;
        }
        self.torn = false;
        match record {
            Record::Promised(term) => self.kept.promised = self.kept.promised.max(term),
            Record::Accepted { term, index, entry } => {
                self.kept.promised = self.kept.promised.max(term);
                self.reach(index);
                self.kept.accepted = Some(AcceptedEntry { term, entry });
            }
            Record::Committed(CommittedEntry { index, entry }) => {
                self.reach(index);
                self.kept.accepted = None;
                self.kept.state.apply(&entry);
            }
            Record::Snapshot(whole) => self.kept = whole,
        }
        true
    }

    /// What stands before another was chosen when that was written.
    fn reach(&mut self, index: LogIndex) {
        while self.kept.state.index + 1 < index {
            let Some(AcceptedEntry { entry: before, .. }) = self.kept.accepted.take() else { break };
            self.kept.state.apply(&before);
        }
    }
}

impl Model for Voters {
    type State = Site;
    type Action = Step;

    fn init_states(&self) -> Vec<Site> {
        vec![Site::begin(self.sizes)]
    }

    fn actions(&self, site: &Site, steps: &mut Vec<Step>) {
        is_active(self.mutant);
        let left = &site.left;
        for post in &site.posts {
            steps.push(Step::Arrives(post.clone()));
            if left.doubles > 0 {
                steps.push(Step::ArrivesTwice(post.clone()));
            }
        }
        for (one, machine) in site.machines.iter().enumerate().filter(|(_, machine)| !machine.is_gone) {
            if left.departures > 0 {
                steps.push(Step::Departs(one));
            }
            if left.laters > 0 && machine.laters < self.sizes.laters_each {
                steps.push(Step::Later(one));
            }
            if !machine.writes.is_empty() {
                steps.push(Step::Synced(one));
                if left.refusals > 0 {
                    steps.push(Step::Refused(one));
                }
            }
            if left.crashes > 0 {
                (0..=machine.writes.len()).for_each(|reached| steps.push(Step::Crashes(one, reached)));
            }
            if left.wipes > 0 {
                steps.push(Step::Wiped(one));
            }
            if machine.replica.is_leader() {
                if site.words < self.sizes.words {
                    steps.push(Step::Asked(one));
                }
                if left.reads > 0 {
                    steps.push(Step::Read(one));
                }
                if left.hand_overs > 0 {
                    steps.push(Step::HandsOver(one));
                }
                if left.changes > 0 && site.change_due(one).is_some() {
                    steps.push(Step::Changes(one));
                }
            }
        }
    }

    fn next_state(&self, before: &Site, step: Step) -> Option<Site> {
        is_active(self.mutant);
        let mut site = before.clone();
        match step {
            Step::Later(one) => {
                site.left.laters -= 1;
                site.machines[one].laters += 1;
                let now = site.now(one);
                let actions = site.machines[one].replica.tick(now);
                site.carry_out(one, actions);
            }
            Step::Arrives(post) => {
                site.posts.remove(&post);
                site.arrive(post);
            }
            Step::ArrivesTwice(post) => {
                site.left.doubles -= 1;
                site.arrive(post);
            }
            Step::Synced(one) => {
                site.sync(one, self.mutant == Some(Mutant::WriteGapIgnored));
            }
            Step::Refused(one) => {
                site.left.refusals -= 1;
                let (number, _) = site.machines[one].writes.remove(0);
                site.machines[one].torn = true;
                let now = site.now(one);
                let actions = site.machines[one].replica.on_persisted(now, number, false);
                site.carry_out(one, actions);
            }
            Step::Crashes(one, reached) => {
                site.left.crashes -= 1;
                site.crash(one, reached);
            }
            Step::Wiped(one) => {
                site.left.wipes -= 1;
                let machine = &mut site.machines[one];
                machine.writes.clear();
                if self.mutant != Some(Mutant::LostDiskKeepsVote) {
                    machine.disk.0 += 100;
                }
                // Who has the old number all the same knows who votes: a copy of it came from another.
                let state = match self.mutant {
                    Some(Mutant::LostDiskKeepsVote) => ReplicatedState::genesis(
                        (0..before.machines.len()).map(|one| before.id(one)).collect(),
                        4,
                    ),
                    _ => ReplicatedState::empty(),
                };
                machine.kept = DurableState { promised: Term::new(0, DiskId(0)), state, accepted: None };
                site.crash(one, 0);
            }
            Step::HandsOver(one) => {
                site.left.hand_overs -= 1;
                let now = site.now(one);
                let actions = site.machines[one].replica.transfer_leadership(now);
                site.carry_out(one, actions);
            }
            Step::Departs(one) => {
                site.left.departures -= 1;
                site.depart(one);
            }
            Step::Asked(one) => {
                site.words += 1;
                let (number, base_version) =
                    (u64::from(site.words), site.machines[one].replica.state().version());
                let body = body(u32::from(site.words));
                site.asked.insert(number, RequestDigest::of(ChangeScope::Full, base_version, &body));
                let now = site.now(one);
                let command =
                    Command::Configure(ConfigurationRequest { scope: ChangeScope::Full, base_version, body });
                let actions = site.machines[one].replica.submit(now, number, command);
                site.carry_out(one, actions);
            }
            Step::Read(one) => {
                site.left.reads -= 1;
                let number = 100 + u64::from(site.left.reads);
                let newest = site.acknowledged.values().max().copied().unwrap_or_default();
                site.reads.insert(number, newest);
                let now = site.now(one);
                let actions = site.machines[one].replica.submit(now, number, Command::Read);
                site.carry_out(one, actions);
            }
            Step::Changes(one) => {
                site.left.changes -= 1;
                let voters = site.change_due(one)?;
                let now = site.now(one);
                let number = 200 + u64::from(site.left.changes);
                let command = Command::ChangeVoters { voters, quota_shares: 4 };
                let actions = site.machines[one].replica.submit(now, number, command);
                site.carry_out(one, actions);
            }
        }
        if !site.has_faults() {
            site.settle();
        }
        Some(site)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("the word holds", |_, site: &Site| site.broken.is_none()),
            Property::sometimes("a word is acknowledged", |_, site: &Site| !site.acknowledged.is_empty()),
            Property::sometimes("another takes leadership", |model: &Voters, site: &Site| {
                let disks: BTreeSet<DiskId> = site.leaders.iter().map(|term| term.disk).collect();
                disks.len() >= 2 || model.sizes.laters < 2
            }),
        ]
    }
}

impl Site {
    fn arrive(&mut self, (to, from, packet): Post) {
        let now = self.now(to);
        if self.machines[number(from.ip)].is_gone && matches!(packet, Packet::Fetch) {
            return;
        }
        let actions = match packet {
            Packet::Said(message) => self.machines[to].replica.step(now, from, message),
            Packet::Fetch => {
                // The answer is taken in at once: what it says is chosen, whenever it comes.
                let (asker, source) = (number(from.ip), self.machines[to].replica.state().clone());
                let index = self.machines[asker].replica.state().index;
                let entries = self.machines[to].replica.entries_after(index);
                let now = self.now(asker);
                let replica = &mut self.machines[asker].replica;
                let actions = match entries {
                    Some(entries) => replica.append_committed(now, entries),
                    None => replica.install_snapshot(now, ReplicatedState::clone(&source)),
                };
                return self.carry_out(asker, actions);
            }
        };
        self.carry_out(to, actions);
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
        let (mut site, mut taken) = (Site::begin(sizes), Vec::new());
        for _ in 0..sizes.depth {
            steps.clear();
            model.actions(&site, &mut steps);
            // Most of what happens is that something arrives, or is synced.
            let is_usual = |step: &Step| matches!(step, Step::Arrives(_) | Step::Synced(_));
            if rng.rand_range(0..4) > 0 && steps.iter().any(is_usual) {
                steps.retain(is_usual);
            }
            if steps.is_empty() {
                break;
            }
            let step = steps.swap_remove(rng.rand_range(0..steps.len() as u64) as usize);
            taken.push(step.clone());
            site = model.next_state(&site, step)?;
            if let Some(why) = site.broken {
                return Some((seed, taken, why));
            }
        }
        None
    })
}

fn broken(path: Option<stateright::Path<Site, Step>>) -> Option<(Vec<Step>, &'static str)> {
    path.map(|path| {
        let why = path.last_state().broken.unwrap_or_default();
        (path.into_actions(), why)
    })
}

/// Explores until something breaks. The steps to what breaks, if anything does.
pub fn explore(sizes: Sizes, mutant: Option<Mutant>) -> (Explored, Option<(Vec<Step>, &'static str)>) {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let checker =
        Voters { sizes, mutant }.checker().threads(threads).target_max_depth(sizes.depth).spawn_bfs().join();
    let explored = Explored { states: checker.unique_state_count(), depth: checker.max_depth() };
    (explored, broken(checker.discovery("the word holds")))
}
