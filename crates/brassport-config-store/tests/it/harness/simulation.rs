//! Voters on simulated time: a network that loses, delays and repeats, disks that lose what was not synced, machines
//! that are killed, frozen, cut off and wiped, and operators that write on top of a version and read. Everything is
//! drawn from one seed.

use brassport_checkers::versions::{self, Answered, Operation};
use brassport_config_store::consensus::mutants::Mutant;
use brassport_config_store::consensus::*;
use oorandom::Rand64;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// What one campaign may do.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    pub machines: usize,
    /// Those that vote from the start.
    pub voters: usize,
    /// How many disks may be lost at once.
    pub wipes: usize,
    /// How long faults go on, in milliseconds.
    pub long: Millis,
}

#[derive(Debug, Clone)]
enum Step {
    Tick(usize),
    Hear(usize, VoterId, Message),
    Synced(usize, u64, Record, u64),
    Fetched(usize, usize),
    Fault,
    Ask,
    Keep,
}

struct Machine {
    replica: Option<Replica>,
    disk: DiskId,
    kept: DurableState,
    /// Whether its store stands on a gap until all is written anew.
    torn: bool,
    life: u64,
    frozen_until: Millis,
    full_until: Millis,
    cut: BTreeSet<usize>,
    /// When what it writes next is synced: writes are synced in their order.
    busy: Millis,
}

struct Asked {
    digest: RequestDigest,
    version: u32,
    base_version: u32,
}

/// A run.
pub struct World {
    sizes: Sizes,
    mutant: Option<Mutant>,
    now: Millis,
    rng: Rand64,
    queue: BTreeMap<(Millis, u64), Step>,
    last: u64,
    machines: Vec<Machine>,
    /// What stands at each index, by whoever said so first.
    chosen: BTreeMap<LogIndex, Entry>,
    asked: BTreeMap<u64, Asked>,
    next_ask: u64,
    last_version: u32,
    taken: Vec<(RequestDigest, u32)>,
    /// What operators called, by number: when, and what they were answered so far.
    history: BTreeMap<u64, Operation>,
    pub acknowledged: usize,
    pub broken: Vec<String>,
    calm: bool,
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

impl World {
    pub fn new(seed: u64, sizes: Sizes, mutant: Option<Mutant>) -> World {
        let nothing = || DurableState::empty();
        let machines = (0..sizes.machines)
            .map(|number| Machine {
                replica: None,
                disk: DiskId(1_000 + number as u64),
                kept: nothing(),
                torn: false,
                life: 0,
                frozen_until: 0,
                full_until: 0,
                cut: BTreeSet::new(),
                busy: 0,
            })
            .collect();
        let mut world = World {
            sizes,
            mutant,
            now: 0,
            rng: Rand64::new(u128::from(seed)),
            queue: BTreeMap::new(),
            last: 0,
            machines,
            chosen: BTreeMap::new(),
            asked: BTreeMap::new(),
            next_ask: 0,
            last_version: 0,
            taken: Vec::new(),
            history: BTreeMap::new(),
            acknowledged: 0,
            broken: Vec::new(),
            calm: false,
        };
        // They all begin with the same voters: how those are met is the scenarios' matter.
        let voters: Vec<VoterId> =
            (0..sizes.voters).map(|one| VoterId { ip: ip(one), disk: DiskId(1_000 + one as u64) }).collect();
        for number in 0..sizes.machines {
            world.machines[number].kept.state = ReplicatedState::genesis(voters.clone(), 4);
            world.begin(number);
        }
        world.at(50, Step::Fault);
        world.at(30, Step::Ask);
        world.at(40, Step::Keep);
        world
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
        one.life += 1;
        one.busy = self.now;
        one.replica = Some(Replica::new(ip(number), one.disk, Some(one.kept.clone()), self.now));
        self.at(1, Step::Tick(number));
    }

    pub fn run(&mut self) {
        let long = self.sizes.long;
        while self.broken.is_empty() {
            let Some(((at, number), step)) = self.queue.pop_first() else { break };
            self.now = self.now.max(at);
            if self.now > long && !self.calm {
                self.calm_down();
            }
            if self.now > long + 8_000 {
                break;
            }
            self.step(step, number);
        }
        if self.broken.is_empty() {
            self.judge();
        }
    }

    /// All is mended: from here on what was acknowledged has to be found.
    fn calm_down(&mut self) {
        self.calm = true;
        for number in 0..self.machines.len() {
            self.machines[number].cut.clear();
            self.machines[number].frozen_until = 0;
            self.machines[number].full_until = 0;
            if self.machines[number].replica.is_none() {
                self.begin(number);
            }
        }
    }

    fn step(&mut self, step: Step, number: u64) {
        match step {
            Step::Tick(one) => {
                if self.postponed(one, Step::Tick(one)) {
                    return;
                }
                let now = self.now;
                if let Some(replica) = &mut self.machines[one].replica {
                    let actions = replica.tick(now);
                    self.carry_out(one, actions);
                    let wait = 40 + self.draw(20);
                    self.at(wait, Step::Tick(one));
                }
            }
            Step::Hear(one, from, message) => {
                if self.postponed(one, Step::Hear(one, from, message.clone())) {
                    return;
                }
                let now = self.now;
                if let Some(replica) = &mut self.machines[one].replica {
                    let actions = replica.step(now, from, message);
                    self.carry_out(one, actions);
                }
            }
            Step::Synced(one, write, record, life) => {
                if self.machines[one].life != life {
                    return;
                }
                let refuses = self.now < self.machines[one].full_until;
                let machine = &mut self.machines[one];
                let ignored = self.mutant == Some(Mutant::WriteGapIgnored);
                let gap = machine.torn && !matches!(record, Record::Snapshot(_)) && !ignored;
                let kept = !refuses && !gap;
                machine.torn = !kept;
                if kept {
                    keep(&mut machine.kept, record);
                }
                let now = self.now;
                if let Some(replica) = &mut machine.replica {
                    let actions = replica.on_persisted(now, write, kept);
                    self.carry_out(one, actions);
                }
            }
            Step::Fetched(one, from) => self.fetched(one, from),
            Step::Fault => {
                if !self.calm {
                    self.fault();
                    let wait = 20 + self.draw(250);
                    self.at(wait, Step::Fault);
                }
            }
            Step::Ask => {
                self.submit();
                let wait = 10 + self.draw(90);
                self.at(wait, Step::Ask);
            }
            Step::Keep => {
                self.keep_voters();
                self.at(100, Step::Keep);
            }
        }
        let _ = number;
    }

    fn postponed(&mut self, one: usize, step: Step) -> bool {
        let until = self.machines[one].frozen_until;
        if self.now < until {
            self.at(until - self.now, step);
            return true;
        }
        false
    }

    fn carry_out(&mut self, one: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(one, machine(to), message),
                Action::Persist(number, record) => {
                    let longest = if self.draw(20) == 0 { 300 } else { 8 };
                    let wait = 1 + self.draw(longest);
                    let at = self.machines[one].busy.max(self.now) + wait;
                    self.machines[one].busy = at;
                    let life = self.machines[one].life;
                    self.at(at - self.now, Step::Synced(one, number, record, life));
                }
                Action::FetchLog(from) => {
                    let wait = 2 + self.draw(10);
                    self.at(wait, Step::Fetched(one, machine(from)));
                }
                Action::Applied(entry) => {
                    if let Some(CommittedEntry { index, entry }) = entry {
                        let first = self.chosen.entry(index).or_insert_with(|| entry.clone());
                        if *first != entry {
                            self.broken
                                .push(format!("index {index}: {first:?} and {entry:?} are both chosen"));
                        }
                    }
                }
                Action::Respond(number, outcome) => self.answered(number, outcome),
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let lossy = !self.calm && self.draw(20) == 0;
        if to >= self.machines.len() || lossy || self.is_cut(from, to) {
            return;
        }
        let id = VoterId { ip: ip(from), disk: self.machines[from].disk };
        // Some come very late, and some twice.
        let late = if !self.calm && self.draw(12) == 0 { 1_500 } else { 6 };
        let wait = 1 + self.draw(late);
        self.at(wait, Step::Hear(to, id, message.clone()));
        if !self.calm && self.draw(30) == 0 {
            let wait = 1 + self.draw(900);
            self.at(wait, Step::Hear(to, id, message));
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
        self.carry_out(one, actions);
    }

    fn fault(&mut self) {
        let one = self.draw(self.machines.len() as u64) as usize;
        match self.draw(12) {
            0..=2 => {
                // Killed: what was on its way to the disk may be there or not, and none of it was said.
                self.machines[one].replica = None;
                self.machines[one].life += 1;
                self.back(one);
            }
            3 => {
                let long = 100 + self.draw(2_000);
                self.machines[one].frozen_until = self.now + long;
                // Asked the moment that it wakes, before it has looked at its clock.
                self.at(long, Step::Ask);
            }
            4..=6 => {
                let others = self.machines.len() as u64;
                for _ in 0..=self.draw(3) {
                    let other = self.draw(others) as usize;
                    self.machines[one].cut.insert(other);
                    if self.draw(2) == 0 {
                        self.machines[other].cut.insert(one);
                    }
                }
            }
            7 | 8 => self.machines.iter_mut().for_each(|machine| machine.cut.clear()),
            9 => {
                let long = 100 + self.draw(1_500);
                self.machines[one].full_until = self.now + long;
            }
            10 => {
                // All at once.
                for number in 0..self.machines.len() {
                    if self.machines[number].replica.is_some() {
                        self.machines[number].replica = None;
                        self.machines[number].life += 1;
                        self.back(number);
                    }
                }
            }
            _ => self.wipe(one),
        }
    }

    /// A disk is lost, if all others are as they were: more than may be lost at once would prove nothing.
    fn wipe(&mut self, one: usize) {
        let newest = self.machines.iter().map(|machine| machine.kept.state.index).max().unwrap_or_default();
        let is_complete = |machine: &Machine| {
            let state = &machine.kept.state;
            let voters = &state.voters;
            let in_order = machine.kept.state.index + 1 >= newest && voters.len() >= self.sizes.voters;
            in_order && machine.replica.is_some()
        };
        let others_whole = self.machines.iter().all(|machine| {
            is_complete(machine)
                && machine
                    .kept
                    .state
                    .voters
                    .contains(&VoterId { ip: ip(self.number_of(machine)), disk: machine.disk })
        });
        if self.sizes.wipes == 0 || !others_whole {
            return;
        }
        let machine = &mut self.machines[one];
        machine.replica = None;
        machine.life += 1;
        if self.mutant != Some(Mutant::LostDiskKeepsVote) {
            machine.disk.0 += 100;
        }
        machine.kept = DurableState::empty();
        machine.torn = false;
        self.back(one);
    }

    fn number_of(&self, machine: &Machine) -> usize {
        self.machines.iter().position(|other| std::ptr::eq(other, machine)).unwrap_or_default()
    }

    fn back(&mut self, one: usize) {
        // It starts again at once here; how long it is away is a matter of the cut that may follow.
        let frozen = self.now + 20 + self.draw(600);
        self.begin(one);
        self.machines[one].frozen_until = frozen;
    }

    /// What the leader's keeper does: lets machines in whose disk is new, one step at a time.
    fn keep_voters(&mut self) {
        let now = self.now;
        let Some(leader) = (0..self.machines.len()).find(|one| self.leads(*one)) else { return };
        let Some(replica) = &self.machines[leader].replica else { return };
        let state = replica.state().clone();
        let mut voters = state.voters.clone();
        let ids: Vec<VoterId> = (0..self.machines.len())
            .filter(|one| self.machines[*one].replica.is_some() && now >= self.machines[*one].frozen_until)
            .map(|one| VoterId { ip: ip(one), disk: self.machines[one].disk })
            .collect();
        let strange = |id: &&VoterId| voters.iter().any(|voter| voter.ip == id.ip && voter.disk != id.disk);
        if let Some(wiped) = ids.iter().find(strange).copied() {
            voters.retain(|voter| voter.ip != wiped.ip);
        } else if let Some(new) = ids.iter().find(|id| !voters.contains(id)) {
            voters.push(*new);
            voters.sort();
        } else {
            return;
        }
        let number = 1 << 60;
        if let Some(replica) = &mut self.machines[leader].replica {
            let actions = replica.submit(
                now,
                number,
                Command::ChangeVoters { voters, quota_shares: state.quota_shares },
            );
            self.carry_out(leader, actions);
        }
    }

    fn leads(&self, one: usize) -> bool {
        self.now >= self.machines[one].frozen_until
            && self.machines[one].replica.as_ref().is_some_and(Replica::is_leader)
    }

    fn submit(&mut self) {
        // Asked of anybody who believes to hold the role: there may be several.
        let leaders: Vec<usize> = (0..self.machines.len()).filter(|one| self.leads(*one)).collect();
        if leaders.is_empty() {
            return;
        }
        let one = leaders[self.draw(leaders.len() as u64) as usize];
        let now = self.now;
        self.next_ask += 1;
        let number = self.next_ask;
        if self.draw(5) == 0 {
            self.begin_call(number, versions::Asked::Read);
            if let Some(replica) = &mut self.machines[one].replica {
                let actions = replica.submit(now, number, Command::Read);
                self.carry_out(one, actions);
            }
            return;
        }
        // Most build on what the operator believes to be newest; some on something older: a race.
        let any = self.draw(self.machines.len() as u64) as usize;
        let known = self.machines[any].replica.as_ref().map_or(0, |replica| replica.state().version());
        let again = self.draw(8) == 0;
        let (version, base_version) = match self.asked.values().last().filter(|_| again) {
            Some(asked) => (asked.version, asked.base_version),
            None => {
                self.last_version += 1 + self.draw(3) as u32;
                (self.last_version, known)
            }
        };
        let body = body(version);
        let digest = RequestDigest::of(ChangeScope::Full, base_version, &body);
        self.asked.insert(number, Asked { digest, version, base_version });
        self.begin_call(number, versions::Asked::Write { version, built_on: base_version });
        if let Some(replica) = &mut self.machines[one].replica {
            let command =
                Command::Configure(ConfigurationRequest { scope: ChangeScope::Full, base_version, body });
            let actions = replica.submit(now, number, command);
            self.carry_out(one, actions);
        }
    }

    fn begin_call(&mut self, number: u64, asked: versions::Asked) {
        // Until there is an answer none is known to come.
        let operation = Operation { began: self.now, ended: Millis::MAX, asked, answered: Answered::Open };
        self.history.insert(number, operation);
    }

    fn answered(&mut self, number: u64, outcome: Outcome) {
        let Some(operation) = self.history.get_mut(&number) else { return };
        operation.ended = self.now;
        operation.answered = match outcome {
            Outcome::Committed => Answered::Taken,
            Outcome::VersionConflict => Answered::Outdated,
            Outcome::Invalid(_) => Answered::Invalid,
            Outcome::Unknown => Answered::Open,
            Outcome::Current(state) => Answered::Newest(state.version()),
        };
        if let (Answered::Taken, Some(asked)) = (operation.answered, self.asked.get(&number)) {
            self.taken.push((asked.digest, asked.version));
            self.acknowledged += 1;
        }
    }

    /// All indexes, a line each.
    fn told(&self) -> String {
        let line = |(index, entry): (&LogIndex, &Entry)| match entry {
            Entry::Replace { base_version, body } => {
                format!("{index}: {} on {base_version:08x}\n", String::from_utf8_lossy(&body[12..20]))
            }
            other => format!("{index}: {other:?}\n"),
        };
        self.chosen.iter().map(line).collect()
    }

    fn judge(&mut self) {
        let newest = self.machines.iter().filter_map(|machine| machine.replica.as_ref());
        let Some(newest) = newest.max_by_key(|replica| replica.state().index) else { return };
        let state = newest.state().clone();
        if !self.machines.iter().any(|machine| machine.replica.as_ref().is_some_and(Replica::is_leader)) {
            self.broken.push("8 s of calm and nobody holds leadership".to_owned());
        }
        for (digest, version) in &self.taken {
            if state.applied_requests.len() < 500 && state.applied_requests.get(version) != Some(digest) {
                self.broken.push(format!("version {version} was acknowledged and is lost"));
            }
        }
        let history: Vec<Operation> = self.history.values().copied().collect();
        if let Err(broken) = versions::judge(&history) {
            self.broken.push(format!("{broken:?}"));
        }
        // The chain is one chain: each version was built on the one before.
        let mut base_version = 0;
        for entry in self.chosen.values() {
            if let Entry::Replace { base_version: on, body } = entry {
                if *on != base_version {
                    println!("{}", self.told());
                    self.broken.push(format!("a version on top of {on} stands behind {base_version}"));
                }
                let text = String::from_utf8_lossy(body);
                base_version = u32::from_str_radix(&text[12..20], 16).unwrap_or_default();
            }
        }
    }
}

/// What a store does with a record.
fn keep(kept: &mut DurableState, record: Record) {
    match record {
        Record::Promised(term) => kept.promised = kept.promised.max(term),
        Record::Accepted { term, index, entry } => {
            kept.promised = kept.promised.max(term);
            while kept.state.index + 1 < index {
                // What stands before another was chosen when that was accepted.
                let Some(AcceptedEntry { entry: before, .. }) = kept.accepted.take() else { break };
                kept.state.apply(&before);
            }
            kept.accepted = Some(AcceptedEntry { term, entry });
        }
        Record::Committed(CommittedEntry { index, entry }) => {
            while kept.state.index + 1 < index {
                let Some(AcceptedEntry { entry: before, .. }) = kept.accepted.take() else { break };
                kept.state.apply(&before);
            }
            kept.accepted = None;
            kept.state.apply(&entry);
        }
        Record::Snapshot(whole) => *kept = whole,
    }
}

/// How a leader is lost.
#[derive(Debug, Clone, Copy)]
pub enum Loss {
    Kill,
    Freeze,
    Cut,
}

impl World {
    /// In calm, loses the leader at a drawn moment. Returns how long it takes until another holds leadership.
    pub fn lose_leader(&mut self, loss: Loss) -> Option<Millis> {
        self.calm = true;
        let at = 2_000 + self.draw(500);
        self.play_until(at, |_| false);
        let leader = (0..self.machines.len()).find(|one| self.leads(*one))?;
        match loss {
            Loss::Kill => {
                self.machines[leader].replica = None;
                self.machines[leader].life += 1;
            }
            Loss::Freeze => self.machines[leader].frozen_until = self.now + 10_000,
            Loss::Cut => {
                for other in (0..self.machines.len()).filter(|other| *other != leader) {
                    self.machines[leader].cut.insert(other);
                    self.machines[other].cut.insert(leader);
                }
            }
        }
        let lost = self.now;
        let another = |world: &World| (0..world.machines.len()).any(|one| one != leader && world.leads(one));
        self.play_until(lost + 8_000, another);
        another(self).then(|| self.now - lost)
    }

    fn play_until(&mut self, until: Millis, stop: impl Fn(&World) -> bool) {
        while self.now < until && !stop(self) {
            let Some(((at, number), step)) = self.queue.pop_first() else { return };
            self.now = self.now.max(at);
            self.step(step, number);
        }
    }
}

/// What one voter of three does, step by step, where the seeds would seldom meet the moment. Returns whether it held the
/// leadership before its own promise was synced, whether it did once that was, and whether it judged before and behind the word
/// of a majority.
pub fn one_voter_step_by_step() -> [bool; 4] {
    let id = |one: usize| VoterId { ip: ip(one), disk: DiskId(one as u64 + 1) };
    let state = ReplicatedState::genesis((0..3).map(id).collect(), 4);
    let found = DurableState { promised: Term::new(0, DiskId(0)), state, accepted: None };
    let mut replica = Replica::new(ip(0), DiskId(1), Some(found), 0);
    let mut term = None;
    for now in [100, 200, 300] {
        for action in replica.tick(now) {
            if let Action::Send(_, Message::Prepare { term: asked }) = action {
                term = Some(asked);
            }
        }
    }
    let term = term.expect("the first in the order stands");
    let promise = Message::Promise { term, index: LogIndex(1), accepted: None };
    let mut actions = replica.step(301, id(1), promise.clone());
    actions.extend(replica.step(302, id(2), promise));
    let early = replica.is_leader();
    let write = actions.iter().find_map(|action| match action {
        Action::Persist(number, Record::Promised(_)) => Some(*number),
        _ => None,
    });
    replica.on_persisted(303, write.expect("it writes its own promise"), true);
    let held = replica.is_leader();
    let answers = |actions: &[Action]| actions.iter().any(|action| matches!(action, Action::Respond(9, _)));
    let asked = replica.submit(304, 9, Command::Read);
    let heartbeat = asked.iter().find_map(|action| match action {
        Action::Send(_, Message::Heartbeat { heartbeat, .. }) => Some(*heartbeat),
        _ => None,
    });
    let heartbeat = heartbeat.expect("it asks the others");
    let unsure = answers(&asked);
    let sure = answers(&replica.step(
        305,
        id(1),
        Message::HeartbeatResponse { term, index: LogIndex(1), heartbeat },
    ));
    [early, held, unsure, sure]
}

/// A voter that is alone holds leadership and is asked for two changes at once, each of which would let another machine in.
/// What it answers to both.
pub fn two_changes_at_once() -> [Option<Outcome>; 2] {
    let id = |one: usize| VoterId { ip: ip(one), disk: DiskId(one as u64 + 1) };
    let state = ReplicatedState::genesis(vec![id(0)], 4);
    let mut replica = Replica::new(
        ip(0),
        DiskId(1),
        Some(DurableState { promised: Term::new(0, DiskId(0)), state, accepted: None }),
        0,
    );
    let mut answers = [None, None];
    let mut actions = Vec::new();
    // Alone it holds leadership as soon as its promise is synced.
    for now in 100..400 {
        let mut more = if now % 50 == 0 { replica.tick(now) } else { Vec::new() };
        for action in actions.drain(..) {
            match action {
                Action::Persist(number, _) => more.extend(replica.on_persisted(now, number, true)),
                Action::Respond(number @ 3..=4, outcome) => answers[number as usize - 3] = Some(outcome),
                // The one that was let in accepts what it is asked to.
                Action::Send(to, Message::Accept { term, index, .. }) if to == ip(3) => {
                    more.extend(replica.step(now, id(3), Message::Accepted { term, index }));
                }
                Action::Send(to, Message::Heartbeat { term, index, heartbeat }) if to == ip(3) => {
                    more.extend(replica.step(
                        now,
                        id(3),
                        Message::HeartbeatResponse { term, index, heartbeat },
                    ));
                }
                _ => {}
            }
        }
        if now == 152 {
            for new in [3, 4] {
                let command = Command::ChangeVoters { voters: vec![id(0), id(new)], quota_shares: 4 };
                more.extend(replica.submit(now, new as u64, command));
            }
        }
        actions = more;
    }
    answers
}

fn of_three(one: usize) -> Replica {
    let id = |one: usize| VoterId { ip: ip(one), disk: DiskId(one as u64 + 1) };
    let state = ReplicatedState::genesis((0..3).map(id).collect(), 4);
    Replica::new(
        ip(one),
        DiskId(one as u64 + 1),
        Some(DurableState { promised: Term::new(0, DiskId(0)), state, accepted: None }),
        0,
    )
}

/// The second of three voters, and who the first is.
pub fn follower_of_three() -> (Replica, VoterId) {
    (of_three(1), VoterId { ip: ip(0), disk: DiskId(1) })
}

/// The first of three voters, which leads from 300 ms on; who the second is; and the term.
pub fn leader_of_three() -> (Replica, VoterId, Term) {
    let (mut replica, other) = (of_three(0), VoterId { ip: ip(1), disk: DiskId(2) });
    let mut led = None;
    for now in (50..=300).step_by(50) {
        let mut actions = replica.tick(now);
        while let Some(action) = actions.pop() {
            match action {
                Action::Send(to, Message::Prepare { term }) if to == other.ip => {
                    led = Some(term);
                    actions.extend(replica.step(
                        now,
                        other,
                        Message::Promise { term, index: LogIndex(1), accepted: None },
                    ));
                }
                Action::Persist(number, _) => actions.extend(replica.on_persisted(now, number, true)),
                _ => {}
            }
        }
    }
    assert!(replica.is_leader());
    (replica, other, led.expect("it has campaigned"))
}
