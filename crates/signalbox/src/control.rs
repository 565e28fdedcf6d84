//! The one owner of this machine's control state: takes events in, one after another, and says what is to be done.

use crate::backends::{Backend, News, Stage, Table};
use crate::call::{Call, Reply};
use crate::telegram::{Envelope, HolderTold, Telegram};
use crate::Millis;
use config_store::consensus::{self, Command, Outcome, Record, Recovered, Replica, State, Term};
use shunting::{Lender, Limit, Loan, TenantId, Use};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;
use telegraph::views::{Aged, Card, Views};

/// Between two hails, and between two while nobody is known yet.
const HAIL: Millis = 400;
const FIRST_HAIL: Millis = 60;
/// A door that tells its changes to all whom it knows, up to so many; with more it tells some, who tell on.
pub(crate) const ALL: usize = 16;
const SOME: usize = 4;
const ON: usize = 2;
/// Between two repairs of the table; while it changes all the time, at the latest.
const REPAIR: Millis = 300;
const REPAIR_LATEST: Millis = 900;
/// A machine that said something so lately is not cut off from here.
const SPEAKS: Millis = 1_200;
/// So many turns have two for all doors, near or not.
const FAR_TURN: usize = 6;
/// Between two looks for what is missing at one machine.
const FETCH: Millis = 120;
/// Word of a holder holds for so long without a new one.
const HOLDER: Millis = 1_800;
/// A call that needs the core's word waits for so long, and the core is asked again so often.
const URGENT: Millis = 900;
const AGAIN: Millis = 120;
/// A machine that was not asked for so long stood still.
const STILL: Millis = 700;

/// What a machine knows at its start.
#[derive(Debug, Clone)]
pub struct Start {
    /// What it says of itself; its disk is told later.
    pub card: Card,
    /// Addresses to begin with.
    pub seeds: Vec<Ipv4Addr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// So many machines of the core may be lost at once.
    pub survive: usize,
    /// Between two beats of a backend.
    pub beat_ms: Millis,
    /// Draws.
    pub seed: u64,
}

/// What happens to a machine.
#[derive(Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A telegram came.
    Telegram(Envelope),
    /// Somebody calls; the answer goes with the number.
    Call(u64, Call),
    /// The disk is there: its number and what was found on it.
    Disk(u64, Recovered),
    /// A write is synced, or failed.
    Written(u64, bool),
    /// The data plane's counts, for the lender.
    Used(u32, Vec<Use>),
    /// Other addresses to begin with.
    Seeds(Vec<Ipv4Addr>),
}

/// What a machine asks of its host.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send this.
    Send(Ipv4Addr, Telegram),
    /// Keep this, then say so.
    Write(u64, Record),
    /// Answer a call.
    Reply(u64, Reply),
    /// The state of the chain has moved on.
    Word(Arc<State>),
    /// A backend is new, or changed.
    Backend(Backend),
    /// A backend was not heard of for long.
    Dropped(String),
    /// What is lent upon a report.
    Lent(Term, u32, Vec<Loan>),
}

/// A call that is answered once a majority of the core knows of it.
#[derive(Debug)]
struct Urgent {
    call: u64,
    record: Backend,
    taken: BTreeSet<Ipv4Addr>,
    since: Millis,
    sent: Millis,
}

/// The control state of one machine.
#[derive(Debug)]
pub struct Control {
    pub(crate) start: Start,
    pub(crate) now: Millis,
    born: Millis,
    pub(crate) replica: Replica,
    pub(crate) views: Views,
    pub(crate) table: Table,
    pub(crate) lender: Lender,
    lends: bool,
    limits: BTreeMap<TenantId, Limit>,
    /// Whom a machine without a vote takes for the holder, and when that was heard.
    told: Option<(Term, Ipv4Addr, Millis)>,
    /// Where this system's doors are called by backends; beats are asked for near where they come from.
    control_port: Option<u16>,
    hailed: Millis,
    hails: u64,
    turn: usize,
    fetched: BTreeMap<Ipv4Addr, Millis>,
    /// When the table was compared with another's last.
    repaired: Option<Millis>,
    /// When each machine was heard last, by its own words.
    pub(crate) heard: BTreeMap<Ipv4Addr, Millis>,
    /// The index in the chain that each machine told last.
    pub(crate) places: BTreeMap<Ipv4Addr, u64>,
    /// Entries to tell a second time: when, to whom.
    pub(crate) retell: Option<(Millis, Vec<Ipv4Addr>, Vec<consensus::Chosen>)>,
    urgent: BTreeMap<u64, Urgent>,
    last_urgent: u64,
    /// Ends that a majority of the core knows of.
    known_ends: BTreeSet<(String, bool)>,
    /// Numbers of what this machine asks of the chain for itself.
    pub(crate) own: BTreeSet<u64>,
    pub(crate) last_own: u64,
    pub(crate) begun: Option<Ipv4Addr>,
    pub(crate) actions: Vec<Action>,
}

impl Control {
    /// A machine that starts.
    pub fn new(start: Start, now: Millis) -> Control {
        let (ip, seed) = (start.card.ip, start.seed);
        Control {
            now,
            born: now,
            replica: Replica::new(ip, 0, None, now),
            views: Views::new(ip, seed),
            table: Table::default(),
            lender: Lender::default(),
            lends: false,
            limits: BTreeMap::new(),
            told: None,
            control_port: None,
            hailed: 0,
            hails: 0,
            turn: seed as usize % 7,
            fetched: BTreeMap::new(),
            repaired: None,
            heard: BTreeMap::new(),
            places: BTreeMap::new(),
            retell: None,
            urgent: BTreeMap::new(),
            last_urgent: 0,
            known_ends: BTreeSet::new(),
            own: BTreeSet::new(),
            last_own: 1 << 62,
            begun: None,
            actions: Vec::new(),
            start,
        }
    }

    /// The port that backends call on every door: from here on they are told of a door of their own zone.
    pub fn call_near(&mut self, control_port: u16) {
        self.control_port = Some(control_port);
    }

    /// Takes one event in.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        if now > self.now + STILL {
            self.table.stood_still(now);
        }
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Telegram(Envelope(from, life, telegram)) => self.hear(from, life, telegram),
            Event::Call(number, call) => self.call(number, call),
            Event::Disk(disk, found) => {
                self.start.card.disk = disk;
                let done = self.replica.attach(now, disk, found);
                self.carry_out(done);
            }
            Event::Written(number, synced) => {
                let done = self.replica.written(now, number, synced);
                self.carry_out(done);
            }
            Event::Used(number, used) => match self.holder() {
                Some((term, ip)) if ip == self.start.card.ip => {
                    let loans = self.lend(ip, self.start.card.life, &used);
                    self.actions.push(Action::Lent(term, number, loans));
                }
                Some((_, ip)) => self.send(ip, Telegram::Used(number, used)),
                None => {}
            },
            Event::Seeds(seeds) => self.start.seeds = seeds,
        }
        self.watch_duty();
        std::mem::take(&mut self.actions)
    }

    /// The state of the chain, as far as it is known here.
    pub fn state(&self) -> &Arc<State> {
        self.replica.state()
    }

    /// The doors known here.
    pub fn views(&self) -> &Views {
        &self.views
    }

    /// All backends known here, and for how long each is still slow from its start.
    pub fn backends(&self) -> impl Iterator<Item = (&Backend, Millis)> {
        self.table.all(self.now)
    }

    /// Who holds the duty, as far as it is known here.
    pub fn holder(&self) -> Option<(Term, Ipv4Addr)> {
        let fresh = |(_, _, at): &(Term, Ipv4Addr, Millis)| self.now < at + HOLDER;
        let told = self.told.filter(fresh).map(|(term, ip, _)| (term, ip));
        // The higher term holds.
        self.replica.leader(self.now).into_iter().chain(told).max_by_key(|(term, _)| *term)
    }

    pub(crate) fn send(&mut self, to: Ipv4Addr, telegram: Telegram) {
        if to != self.start.card.ip {
            self.actions.push(Action::Send(to, telegram));
        }
    }

    /// The machines whose word counts: the voters, or those of the core that are known while there are none.
    pub(crate) fn core(&self) -> Vec<Ipv4Addr> {
        let voters = &self.replica.state().voters;
        if !voters.is_empty() {
            return voters.iter().map(|voter| voter.ip).collect();
        }
        let own = self.start.card.counted.then_some(self.start.card.ip);
        self.views.cards().filter(|card| card.counted).map(|card| card.ip).chain(own).collect()
    }

    fn tick(&mut self) {
        let done = self.replica.tick(self.now);
        self.carry_out(done);
        self.views.age_out(self.now);
        let now = self.now;
        self.heard.retain(|_, at| now < *at + 10 * SPEAKS);
        let heard = &self.heard;
        self.places.retain(|ip, _| heard.contains_key(ip));
        let every = if self.views.len() < 2 { FIRST_HAIL } else { HAIL };
        if self.hails == 0 || self.now >= self.hailed + every {
            (self.hailed, self.hails) = (self.now, self.hails + 1);
            self.hail_next();
        }
        let after = 2 * self.start.beat_ms + self.start.beat_ms * 7 / 10;
        let silent = self.table.silent(self.now, after);
        for backend in silent {
            self.actions.push(Action::Backend(backend.clone()));
            self.spread(vec![backend], None);
        }
        let dropped = self.table.expire(self.now).into_iter().map(Action::Dropped);
        self.actions.extend(dropped);
        self.retell();
        self.keep_urgent();
        self.begin_chain();
        self.keep_voters();
    }

    /// Hails one of the core, one of those known, and, while few are known, the seeds.
    fn hail_next(&mut self) {
        self.turn += 1;
        let me = self.start.card.ip;
        let core: Vec<Ipv4Addr> = self.core().into_iter().filter(|ip| *ip != me).collect();
        let zone = self.start.card.zone.clone();
        // One that has said nothing for long may be cut off: then those farther away are asked.
        let (heard, now) = (&self.heard, self.now);
        let speaks = |ip: &Ipv4Addr| heard.get(ip).is_some_and(|at| now < at + SPEAKS);
        let is_near =
            |ip: &Ipv4Addr| speaks(ip) && self.views.card(*ip).is_some_and(|card| card.zone == zone);
        let near: Vec<Ipv4Addr> = core.iter().copied().filter(is_near).collect();
        let mut to: BTreeSet<Ipv4Addr> = BTreeSet::new();
        // Mostly near: bytes between zones cost. All of the core and all doors have their turn.
        let far = self.turn % FAR_TURN < 2;
        let is_cut_off = !core.iter().any(speaks);
        if self.turn.is_multiple_of(2) && !core.is_empty() {
            let of = if near.is_empty() || far { &core } else { &near };
            to.insert(of[(self.turn / 2) % of.len()]);
        } else if far {
            to.extend(self.views.draw(1, |_| true));
        } else {
            let drawn = self.views.draw(1, |card| card.zone == zone && speaks(&card.ip));
            to.extend(if drawn.is_empty() { self.views.draw(1, |_| true) } else { drawn });
        }
        // Who hears none of the core follows through others that it hears, wherever they are.
        if is_cut_off {
            let drawn = self.views.draw(1, |card| speaks(&card.ip));
            to.extend(if drawn.is_empty() {
                self.views.draw(1, |card| !core.contains(&card.ip))
            } else {
                drawn
            });
        }
        // Guards against a part of the doors that knows only itself.
        if self.views.len() < 2 || self.turn.is_multiple_of(16) {
            to.extend(self.start.seeds.iter().copied().filter(|ip| *ip != me));
        }
        to.into_iter().for_each(|ip| self.hail(ip, true));
    }

    pub(crate) fn hail(&mut self, to: Ipv4Addr, back: bool) {
        let told = |(term, ip): (Term, Ipv4Addr)| -> HolderTold {
            let at = self.told.filter(|(_, at_ip, _)| *at_ip == ip).map_or(self.now, |(_, _, at)| at);
            let heard = if self.replica.leader(self.now).is_some() { self.now } else { at };
            (term, ip, u32::try_from(self.now - heard).unwrap_or(u32::MAX))
        };
        let holder = self.holder().map(told);
        let (index, digest) = (self.replica.state().index, self.table.digest());
        let cards = self.views.swap(self.now, to);
        let card = self.start.card.clone();
        self.send(to, Telegram::Hail(card, index, digest, holder, cards, back));
    }

    fn hear(&mut self, from: Ipv4Addr, life: u64, telegram: Telegram) {
        self.heard.insert(from, self.now);
        match telegram {
            Telegram::Hail(card, index, digest, holder, cards, back) => {
                self.hailed_by(card, (index, digest), holder, cards, back);
            }
            Telegram::Chain(disk, message) => {
                let done = self.replica.receive(self.now, consensus::VoterId { ip: from, disk }, message);
                self.carry_out(done);
            }
            Telegram::Fetch(index) => self.tell_news(from, index),
            Telegram::News(entries) => {
                let done = self.replica.learn(self.now, entries);
                self.carry_out(done);
            }
            Telegram::Whole(state) => {
                let done = self.replica.install_snapshot(self.now, Arc::unwrap_or_clone(state));
                self.carry_out(done);
            }
            Telegram::Ranges(theirs) => {
                let records = self.table.differing(self.now, &theirs);
                if !records.is_empty() {
                    self.send(from, Telegram::Backends(records, None));
                }
            }
            Telegram::Backends(records, number) => {
                let (mut news, mut outdated) = (Vec::new(), Vec::new());
                for record in records {
                    let id = record.id.clone();
                    match self.table.hear(self.now, record, false) {
                        News::Changed => news.extend(self.table.told(self.now, &id)),
                        News::Outdated => outdated.extend(self.table.told(self.now, &id)),
                        News::None => {}
                    }
                }
                if let Some(number) = number {
                    self.send(from, Telegram::Taken(number));
                }
                if !outdated.is_empty() {
                    // Whoever told it told others too.
                    self.spread(outdated, None);
                }
                if !news.is_empty() {
                    self.actions.extend(news.iter().cloned().map(Action::Backend));
                    // A few records are news that spreads; many are a repair.
                    if news.len() <= 4 && self.views.len() > ALL {
                        self.spread_on(&news, Some(from));
                    }
                }
            }
            Telegram::Taken(number) => self.taken(number, from),
            Telegram::Begin(slots) => {
                if self.start.first_start && self.start.card.disk != 0 {
                    let done = self.replica.bootstrap(self.now, slots);
                    self.carry_out(done);
                }
            }
            Telegram::Used(number, used) => {
                if let Some((term, ip)) = self.replica.leader(self.now) {
                    if ip == self.start.card.ip {
                        let loans = self.lend(from, life, &used);
                        self.send(from, Telegram::Lent(term, number, loans));
                    }
                }
            }
            Telegram::Lent(term, number, loans) => {
                self.actions.push(Action::Lent(term, number, loans));
            }
        }
    }

    fn hailed_by(
        &mut self,
        card: Card,
        (index, digest): (u64, u64),
        holder: Option<HolderTold>,
        cards: Vec<Aged>,
        back: bool,
    ) {
        let from = card.ip;
        self.places.insert(from, index);
        self.views.hear(self.now, (card, 0));
        for aged in cards {
            self.views.hear(self.now, aged);
        }
        if let Some((term, ip, age)) = holder {
            let at = self.now.saturating_sub(Millis::from(age));
            let newer =
                self.told.is_none_or(|(known, _, heard)| term > known || (term == known && at > heard));
            if newer {
                self.told = Some((term, ip, at));
            }
        }
        if index > self.replica.state().index {
            self.fetch(from);
        }
        if back {
            self.hail(from, false);
        }
        if digest != self.table.digest() && self.may_repair() {
            self.repaired = Some(self.now);
            let own = self.table.digests();
            self.send(from, Telegram::Ranges(own));
        }
    }

    /// Whether tables that differ are to be mended now. Guards the links while many backends come at once: what differs is
    /// on its way then, and a part of the table for each hail would weigh more than all of it.
    fn may_repair(&self) -> bool {
        let since = |at: Option<Millis>| at.map_or(Millis::MAX, |at| self.now.saturating_sub(at));
        let (repaired, changed) = (since(self.repaired), since(self.table.changed()));
        repaired >= REPAIR_LATEST || (repaired >= REPAIR && changed >= REPAIR)
    }

    pub(crate) fn fetch(&mut self, from: Ipv4Addr) {
        let last = self.fetched.get(&from).copied();
        if last.is_none_or(|at| self.now >= at + FETCH) {
            self.fetched.insert(from, self.now);
            let index = self.replica.state().index;
            self.send(from, Telegram::Fetch(index));
        }
    }

    /// Tells all whom it knows; of many, some of its own zone and one of each other, who tell on in theirs.
    pub(crate) fn spread(&mut self, records: Vec<Backend>, except: Option<Ipv4Addr>) {
        let zone = self.start.card.zone.clone();
        let to = if self.views.len() <= ALL {
            self.views.draw(ALL, |_| true)
        } else {
            let zones: BTreeSet<String> = self.views.cards().map(|card| card.zone.clone()).collect();
            let far = |other: &String| *other != zone;
            let mut to = self.views.draw(SOME, |card| card.zone == zone);
            for other in zones.iter().filter(|other| far(other)) {
                to.extend(self.views.draw(1, |card| card.zone == *other));
            }
            to
        };
        self.tell(to, &records, except);
    }

    /// Tells some of the own zone what was heard for the first time.
    fn spread_on(&mut self, records: &[Backend], except: Option<Ipv4Addr>) {
        let zone = self.start.card.zone.clone();
        let to = self.views.draw(ON, |card| card.zone == zone && Some(card.ip) != except);
        self.tell(to, records, except);
    }

    fn tell(&mut self, to: Vec<Ipv4Addr>, records: &[Backend], except: Option<Ipv4Addr>) {
        for ip in to.into_iter().filter(|ip| Some(*ip) != except) {
            self.send(ip, Telegram::Backends(records.to_vec(), None));
        }
    }

    fn call(&mut self, number: u64, call: Call) {
        match call {
            Call::CheckIn(record) => {
                let (id, emptying) = (record.id.clone(), record.stage == Stage::Emptying);
                let news = self.table.hear(self.now, record, true);
                let Some(record) = self.table.told(self.now, &id) else { return };
                if news == News::Changed {
                    self.actions.push(Action::Backend(record.clone()));
                    self.spread(vec![record.clone()], None);
                }
                if emptying {
                    self.urge(number, record);
                } else {
                    self.take_beat(number, &record);
                }
            }
            Call::SignOff(id) => {
                let record = self.table.sign_off(self.now, &id);
                self.actions.push(Action::Backend(record.clone()));
                self.spread(vec![record.clone()], None);
                self.urge(number, record);
            }
            Call::Put { is_whole, built_on, body } => {
                self.ask_holder(number, Command::Put { is_whole, built_on, body });
            }
            Call::Read => self.ask_holder(number, Command::Read),
            Call::Status => {
                let status = self.status().to_string().into_bytes();
                self.reply(number, Reply::Done(Arc::new(status)));
            }
        }
    }

    /// Acknowledges a beat, and names a door of the backend's own zone for the next ones.
    fn take_beat(&mut self, number: u64, record: &Backend) {
        let own = &self.start.card;
        let near = self.control_port.filter(|_| record.zone != own.zone).and_then(|port| {
            let cards: Vec<Ipv4Addr> =
                self.views.cards().filter(|card| card.zone == record.zone).map(|card| card.ip).collect();
            let index = record.digest_of_name() as usize % cards.len().max(1);
            cards.get(index).map(|ip| format!("{{\"reportTo\":\"{ip}:{port}\"}}").into_bytes())
        });
        match near {
            Some(body) => {
                self.table.hand_on(&record.id);
                self.reply(number, Reply::Done(Arc::new(body)));
            }
            None => self.done(number),
        }
    }

    fn done(&mut self, number: u64) {
        self.actions.push(Action::Reply(number, Reply::Done(Arc::new(b"{}".to_vec()))));
    }

    fn ask_holder(&mut self, number: u64, command: Command) {
        if self.replica.leads() {
            // Guards a word against being kept by fewer than it takes to bear a loss, while the core still meets.
            let few = self.replica.state().voters.len() < 2 * self.start.survive + 1;
            if few && self.now < self.born + 4_000 {
                return self.reply(number, Reply::NotNow("the core still meets"));
            }
            let done = self.replica.ask(self.now, number, command);
            return self.carry_out(done);
        }
        match self.holder() {
            Some((_, ip)) if ip != self.start.card.ip => self.reply(number, Reply::At(ip)),
            _ => self.reply(number, Reply::NotNow("nobody holds the duty")),
        }
    }

    fn reply(&mut self, number: u64, reply: Reply) {
        self.actions.push(Action::Reply(number, reply));
    }

    /// Answers a call once a majority of the core has this record: from there every door in touch hears of it.
    fn urge(&mut self, call: u64, record: Backend) {
        if self.known_ends.contains(&(record.id.clone(), record.stage == Stage::Gone)) {
            return self.done(call);
        }
        self.last_urgent += 1;
        let mut taken = BTreeSet::new();
        if self.core().contains(&self.start.card.ip) {
            taken.insert(self.start.card.ip);
        }
        let urgent = Urgent { call, record, taken, since: self.now, sent: 0 };
        self.urgent.insert(self.last_urgent, urgent);
        self.keep_urgent();
    }

    fn taken(&mut self, number: u64, from: Ipv4Addr) {
        if let Some(urgent) = self.urgent.get_mut(&number) {
            urgent.taken.insert(from);
            self.keep_urgent();
        }
    }

    fn keep_urgent(&mut self) {
        let (now, core) = (self.now, self.core());
        let mut sends = Vec::new();
        let mut over = Vec::new();
        for (number, urgent) in &mut self.urgent {
            let known = core.iter().filter(|ip| urgent.taken.contains(ip)).count();
            if known > core.len() / 2 {
                over.push((*number, true));
            } else if now >= urgent.since + URGENT {
                over.push((*number, false));
            } else if urgent.sent == 0 || now >= urgent.sent + AGAIN {
                urgent.sent = now.max(1);
                for ip in core.iter().filter(|ip| !urgent.taken.contains(ip)) {
                    sends.push((*ip, Telegram::Backends(vec![urgent.record.clone()], Some(*number))));
                }
            }
        }
        sends.into_iter().for_each(|(ip, telegram)| self.send(ip, telegram));
        for (number, known) in over {
            let Some(urgent) = self.urgent.remove(&number) else { continue };
            if known {
                self.known_ends.insert((urgent.record.id, urgent.record.stage == Stage::Gone));
                self.done(urgent.call);
            } else {
                self.reply(urgent.call, Reply::NotNow("too few of the core answer"));
            }
        }
        // Guards the memory: ends of long ago are of no use.
        while self.known_ends.len() > 10_000 {
            self.known_ends.pop_first();
        }
    }

    /// Begins to lend when it holds the duty, and ends with it.
    fn watch_duty(&mut self) {
        let holds = self.replica.leads();
        if holds && !self.lends {
            self.lender.begin(self.now);
            // All whom it knows hear at once where to turn.
            for ip in self.views.draw(ALL, |_| true) {
                self.hail(ip, false);
            }
        } else if !holds && self.lends {
            self.lender.end();
        }
        self.lends = holds;
    }

    fn lend(&mut self, ip: Ipv4Addr, life: u64, used: &[Use]) -> Vec<Loan> {
        // Guards against one that stood still and holds the duty no more: it lends only while a majority answers.
        if !self.replica.has_quorum(self.now) {
            return Vec::new();
        }
        let limits = &self.limits;
        self.lender.lend(self.now, (ip, life), used, |tenant| limits.get(&tenant).copied())
    }

    pub(crate) fn carry_out(&mut self, actions: Vec<consensus::Action>) {
        let mut moved = Vec::new();
        for action in actions {
            match action {
                consensus::Action::Send(to, message) => {
                    let disk = self.start.card.disk;
                    self.send(to, Telegram::Chain(disk, message));
                }
                consensus::Action::Write(number, record) => self.actions.push(Action::Write(number, record)),
                consensus::Action::Fetch(from) => self.fetch(from),
                consensus::Action::Moved(entry) => moved.push(entry),
                consensus::Action::Answer(number, outcome) if self.own.remove(&number) => drop(outcome),
                consensus::Action::Answer(number, outcome) => {
                    let reply = match outcome {
                        Outcome::Taken => Reply::Done(Arc::new(b"{}".to_vec())),
                        Outcome::Outdated => Reply::Outdated,
                        Outcome::Invalid(why) => Reply::Invalid(why),
                        Outcome::Open => Reply::NotNow("the outcome is open"),
                        Outcome::Newest(state) => Reply::Done(Arc::new(state.document.to_bytes())),
                    };
                    self.reply(number, reply);
                }
            }
        }
        if !moved.is_empty() {
            let state = self.replica.state().clone();
            self.limits = state
                .document
                .parsed()
                .tenants
                .values()
                .map(|tenant| {
                    let limit = Limit { rate: tenant.rate_per_s, burst: tenant.burst };
                    (shunting::tenant_id(&tenant.name), limit)
                })
                .collect();
            // Before any answer to the operator: this door goes by the word that it acknowledges.
            self.actions.insert(0, Action::Word(state));
            self.spread_news(moved.into_iter().flatten().collect());
        }
    }
}
