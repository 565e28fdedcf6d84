//! The run itself: a queue of events on a virtual clock, the front doors' decisions, the nodes and the clients.

use super::baseline::{Decider, Seen};
use super::figures::{Figures, Ledger};
use super::nodes::{Attempt, Node, Taken};
use super::site::{Fault, Policy, Site, Work, CEILING, PERIOD};
use brassport_membership::book::{Book, Entry, Moment, Report, Source, State, Update};
use brassport_policy::{
    Action, AttemptEnd, Event, Lifecycle, ListKind, Millis, Outcome, Request, RetrySafety, ServerEntry,
};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal, Zipf};
use rand_pcg::Pcg64Mcg;
use slab::Slab;
use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

/// How long the list's news take to reach a front door.
const NEWS_MS: (Millis, Millis) = (20.0, 390.0);
/// How long the list takes to notice a death; a restart; how long a drained node stays; how long a frozen one stands.
const NOTICE_MS: Millis = 2000.0;
const RESTART_MS: Millis = 3000.0;
const DRAIN_MS: Millis = 5000.0;
const FREEZE_MS: Millis = 5000.0;
/// Periods of the meter that are kept: readings come up to three late.
const KEPT: usize = 5;
/// Low bits of a request's number: its place. Above them stands a count, so that no number comes twice.
const PLACE_BITS: u32 = 24;

/// A request that a script sends.
#[derive(Debug, Clone, Copy)]
pub struct Planned {
    /// When.
    pub at: Millis,
    /// For whom.
    pub customer: u32,
    /// By index; of the site's usual ones 0 is safe to repeat, and 1 must never run twice.
    pub class: u8,
    /// How long the client waits over all its tries.
    pub patience: Millis,
    /// Its further tries.
    pub retries: u32,
}

/// A client's request, over all its tries.
#[derive(Debug, Clone, Copy)]
struct Asked {
    customer: u32,
    class: u8,
    units: f64,
    first: Millis,
    patience: Millis,
    retries: u32,
}

/// What happens.
#[derive(Debug, Clone, Copy)]
enum What {
    /// The next request of a client's.
    Arrival,
    /// The next of the script's.
    Scripted(usize),
    /// A further try, behind one through this front door.
    Again {
        asked: Asked,
        tries: u32,
        door: u32,
    },
    Timer {
        door: u32,
        token: u64,
    },
    Reaches(Attempt),
    Done {
        node: u32,
        life: u32,
        attempt: Attempt,
    },
    Ends {
        attempt: Attempt,
        outcome: Outcome,
    },
    GivesUp(u64),
    /// The fault strikes.
    Strikes,
    /// What follows of it.
    Follows,
    Thaws,
    News {
        door: u32,
        change: usize,
    },
}

/// Something that happens at its time; of two at one time the one that was planned first comes first.
#[derive(Debug)]
struct Due {
    at: Millis,
    number: u64,
    what: What,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    /// The other way round: the heap gives out its greatest.
    fn cmp(&self, other: &Due) -> Ordering {
        other.at.total_cmp(&self.at).then(other.number.cmp(&self.number))
    }
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    node: u32,
    at: Millis,
    out: bool,
    /// A node has begun with it, or may have.
    ran: bool,
}

#[derive(Debug)]
struct Try {
    id: u64,
    door: u32,
    asked: Asked,
    tries: u32,
    answered: bool,
    attempts: Vec<Sent>,
}

/// What a customer used, by periods of the meter.
#[derive(Debug, Clone, Copy, Default)]
struct Use {
    period: i64,
    units: f64,
    /// In the periods before, the last first.
    over: [f64; KEPT],
}

impl Use {
    fn turn(&mut self, period: i64) {
        while self.period < period {
            if self.period + (KEPT as i64) < period {
                *self = Use { period: period - KEPT as i64, ..Use::default() };
            }
            self.over.rotate_right(1);
            (self.over[0], self.units) = (self.units, 0.0);
            self.period += 1;
        }
    }

    fn count(&mut self, now: Millis, units: f64) {
        self.turn((now / PERIOD) as i64);
        self.units += units;
    }

    /// Units in the last period that is over and told.
    fn reading(&mut self, now: Millis, delay: Millis) -> f64 {
        self.turn((now / PERIOD) as i64);
        // The last that is over, and earlier ones by whole periods of the delay.
        let age = ((delay - (now - self.period as f64 * PERIOD)) / PERIOD).ceil().max(0.0);
        self.over.get(age as usize).copied().unwrap_or(0.0)
    }
}

/// Attempts at a cold node, in windows of the time after which it tips over.
#[derive(Debug, Default)]
struct ColdWindow {
    started: Millis,
    units: f64,
}

pub struct World {
    site: Site,
    now: Millis,
    due: BinaryHeap<Due>,
    planned: u64,
    random: Pcg64Mcg,
    work: Option<LogNormal<f64>>,
    /// Requests that are sent; none: they are drawn.
    script: Vec<Planned>,
    ranks: Option<Zipf<f64>>,
    deciders: Vec<Decider>,
    /// What informed front doors see together.
    seen: Seen,
    news_ms: Vec<Millis>,
    nodes: Vec<Node>,
    book: Book,
    changes: Vec<(bool, Vec<ServerEntry>)>,
    /// The first list.
    all: Vec<ServerEntry>,
    tries: Slab<Try>,
    next_id: u64,
    meter: Vec<Use>,
    struck: Vec<u32>,
    cold: BTreeMap<u32, ColdWindow>,
    /// Nodes that drain, and since when each front door knows.
    told_drain: BTreeMap<(u32, u32), Millis>,
    ledger: Ledger,
    actions: Vec<Action>,
}

fn name(node: u32) -> String {
    format!("n{node}")
}

impl World {
    pub fn new(site: Site, seed: u64) -> World {
        World::with_script(site, seed, Vec::new())
    }

    /// One to which these requests come, the earliest first; none: those that the site's load draws.
    pub fn with_script(site: Site, seed: u64, script: Vec<Planned>) -> World {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let work = match site.model.work {
            Work::LogNormal(variation) => {
                let spread = (1.0 + variation * variation).ln();
                let law = LogNormal::new(site.work_ms.ln() - spread / 2.0, spread.sqrt());
                Some(law.expect("a mean above 0"))
            }
            Work::Even(_) => None,
        };
        let ranks = (site.skew > 0.0)
            .then(|| Zipf::new(f64::from(site.customers), site.skew).expect("a positive exponent"));
        let seen = Seen::default();
        let deciders = (0..site.doors)
            .map(|door| Decider::new(site.policy, site.settings(door), random.random(), 0.0, &seen))
            .collect();
        let late = site.model.news_late;
        let news_ms = (0..site.doors).map(|_| late + random.random_range(NEWS_MS.0..NEWS_MS.1)).collect();
        let mut order: Vec<u32> = (0..site.nodes).collect();
        order.shuffle(&mut random);
        order.sort_by_key(|node| node % site.zones);
        let struck = ((f64::from(site.nodes) * site.fault.part()).round() as usize).min(order.len() - 1);
        let mut world = World {
            now: 0.0,
            due: BinaryHeap::new(),
            planned: 0,
            random,
            work,
            script,
            ranks,
            deciders,
            seen,
            news_ms,
            nodes: (0..site.nodes).map(|_| Node::warm(&site.model)).collect(),
            book: Book::new(vec![Source::authority("fleet")]),
            changes: Vec::new(),
            all: Vec::new(),
            tries: Slab::new(),
            next_id: 0,
            meter: vec![Use::default(); site.customers as usize],
            struck: order[..struck].to_vec(),
            cold: BTreeMap::new(),
            told_drain: BTreeMap::new(),
            ledger: Ledger::new(&site),
            actions: Vec::new(),
            site,
        };
        let all = (0..world.site.nodes).map(|node| world.entry(node, State::Ready, None)).collect();
        let update = world.book.take(world.moment(), 0, Report::whole(all));
        world.publish(update, true);
        world.all.clone_from(&world.changes[0].1);
        match world.script.first().map(|first| first.at) {
            Some(at) => world.plan(at, What::Scripted(0)),
            None => world.plan(0.0, What::Arrival),
        }
        if world.site.fault != Fault::None {
            world.plan(world.site.fault_ms(), What::Strikes);
        }
        world
    }

    pub fn run(mut self) -> Figures {
        let end = self.site.end_ms();
        // Those that have begun are followed to their end, so that every one has its answer.
        let last = end + self.site.model.deadline.max(self.site.model.patience.1).max(3000.0) + 1000.0;
        while let Some(due) = self.due.pop() {
            if due.at > last {
                break;
            }
            self.now = due.at;
            self.happen(due.what, end);
        }
        for (_, open) in &self.tries {
            if !open.answered {
                self.ledger.broke(self.now, "a request has no final answer");
            }
        }
        let struck = &self.struck;
        let stood = (0..self.site.nodes).filter(|node| !struck.contains(node));
        let reached: Vec<u64> = stood.map(|node| self.nodes[node as usize].reached).collect();
        self.ledger.figures(&reached)
    }

    fn plan(&mut self, at: Millis, what: What) {
        self.planned += 1;
        self.due.push(Due { at: at.max(self.now), number: self.planned, what });
    }

    fn way(&mut self, (least, most): (Millis, Millis)) -> Millis {
        self.random.random_range(least..=most)
    }

    /// How long a request takes on a warm node.
    fn draw_work(&mut self) -> Millis {
        match (&self.work, self.site.model.work) {
            (Some(law), _) => law.sample(&mut self.random),
            (None, Work::Even(part)) => self.site.work_ms * self.random.random_range(1.0 - part..=1.0 + part),
            (None, Work::LogNormal(_)) => self.site.work_ms,
        }
    }

    /// One of these customers, each as often as its plan's part says.
    fn draw_customer(&mut self, from: std::ops::Range<u32>) -> u32 {
        loop {
            let customer = self.random.random_range(from.clone());
            let (weight, most) = self.site.weight_of(customer);
            if weight >= most || self.random.random_bool(weight / most) {
                return customer;
            }
        }
    }

    /// A class, as often as its share says.
    fn draw_class(&mut self) -> u8 {
        let (drawn, kinds) = (self.random.random::<f64>(), &self.site.model.kinds);
        let mut below = 0.0;
        let class = kinds.iter().position(|kind| {
            below += kind.share;
            drawn < below
        });
        class.unwrap_or(kinds.len() - 1) as u8
    }

    fn moment(&self) -> Moment {
        Moment { monotonic: self.now as u64, unix: 1_700_000_000_000 + self.now as u64 }
    }

    // ---- The list. ----

    fn entry(&self, node: u32, state: State, started: Option<Millis>) -> Entry {
        let [a, b, c, d] = node.to_be_bytes();
        let at = SocketAddr::from(([127, b.wrapping_add(a), c, d], 9000));
        let boot_ms = started.map_or(0.0, |at| 1_700_000_000_000.0 + at);
        Entry { state, boot_ms, ..Entry::ready(&name(node), at) }
    }

    /// Passes what the book says on to every front door, each in its time.
    fn publish(&mut self, update: Update, at_once: bool) {
        let zones = self.site.zones;
        let id = |name: &str| -> u32 { name[1..].parse().expect("a name of this run") };
        let entries = update.nodes.iter().map(|node| ServerEntry {
            id: id(&node.id),
            zone: (id(&node.id) % zones) as u16,
            cell: 0,
            capacity: 1.0,
            lifecycle: match node.state {
                State::Ready => Lifecycle::Ready,
                State::Draining => Lifecycle::Draining,
                State::Gone => Lifecycle::Removed,
            },
            launched_at: (node.boot_ms > 0.0).then_some(node.boot_ms - 1_700_000_000_000.0),
        });
        self.changes.push((update.whole, entries.collect()));
        let change = self.changes.len() - 1;
        for door in 0..self.site.doors {
            let delay = if at_once { 0.0 } else { self.news_ms[door as usize] };
            self.plan(self.now + delay, What::News { door, change });
        }
    }

    fn report(&mut self, report: Report) {
        let update = self.book.take(self.moment(), 0, report);
        self.publish(update, false);
    }

    fn strike(&mut self) {
        let struck = self.struck.clone();
        match self.site.fault {
            Fault::None => {}
            Fault::Doors(part) => {
                let mut doors: Vec<u32> = (0..self.site.doors).collect();
                doors.shuffle(&mut self.random);
                doors.truncate((f64::from(self.site.doors) * part).round() as usize);
                doors.into_iter().for_each(|door| self.restart(door));
            }
            Fault::Die(_) | Fault::Restart(_) => {
                for node in struck {
                    self.kill(node);
                }
                let after = if matches!(self.site.fault, Fault::Die(_)) { NOTICE_MS } else { RESTART_MS };
                self.plan(self.now + after, What::Follows);
            }
            Fault::Drain(_) => {
                let lines = struck.iter().map(|&node| self.entry(node, State::Draining, None)).collect();
                self.report(Report::changes(lines));
                self.plan(self.now + DRAIN_MS, What::Follows);
            }
            Fault::Freeze(_) => {
                for node in struck {
                    self.nodes[node as usize].freeze(self.now + FREEZE_MS);
                }
                self.plan(self.now + FREEZE_MS, What::Thaws);
            }
        }
    }

    fn follow(&mut self) {
        let struck = self.struck.clone();
        match self.site.fault {
            Fault::Restart(_) => {
                let now = self.now;
                for &node in &struck {
                    self.nodes[node as usize].rise(now);
                    self.cold.insert(node, ColdWindow { started: now, units: 0.0 });
                }
                let lines = struck.iter().map(|&node| self.entry(node, State::Ready, Some(now))).collect();
                self.report(Report::changes(lines));
            }
            _ => {
                for &node in &struck {
                    self.kill(node);
                }
                let lines = struck.iter().map(|&node| self.entry(node, State::Gone, None)).collect();
                self.report(Report::changes(lines));
            }
        }
    }

    /// A front door dies and is back with the list and nothing else. Its clients' requests end as failed; what its
    /// nodes have of them runs on. The informed policy loses the requests and goes on with what it sees.
    fn restart(&mut self, door: u32) {
        let cut: Vec<usize> = self
            .tries
            .iter()
            .filter(|(_, open)| open.door == door && !open.answered)
            .map(|(at, _)| at)
            .collect();
        for place in cut {
            let (id, first) = (self.tries[place].id, self.tries[place].asked.first);
            self.tries[place].answered = true;
            self.ledger.failed(first);
            if self.site.policy == Policy::Informed {
                self.tell(door, Event::ClientDisconnected(id));
            }
            self.forget_if_over(place);
        }
        if self.site.policy != Policy::Informed {
            let (settings, seed) = (self.site.settings(door), self.random.random());
            self.deciders[door as usize] =
                Decider::new(self.site.policy, settings, seed, self.now, &self.seen);
            self.tell(door, Event::Servers { kind: ListKind::Cached, entries: self.all.clone() });
        }
    }

    fn kill(&mut self, node: u32) {
        for attempt in self.nodes[node as usize].die() {
            let way = self.way(self.site.model.node_ms);
            self.plan(self.now + way, What::Ends { attempt, outcome: Outcome::Reset });
        }
    }

    // ---- What happens. ----

    fn happen(&mut self, what: What, end: Millis) {
        match what {
            What::Arrival => {
                let gap: f64 = Exp1.sample(&mut self.random);
                let next = self.now + gap * 1000.0 / self.site.load_at(self.now);
                if next < end {
                    self.plan(next, What::Arrival);
                }
                let heavy = self.site.heavy_ones();
                let customer = match &self.ranks {
                    Some(ranks) => ranks.sample(&mut self.random) as u32 - 1,
                    None if heavy == 0 => self.draw_customer(0..self.site.customers),
                    None if self.random.random_bool(self.site.heavy_load()) => self.draw_customer(0..heavy),
                    None => self.draw_customer(heavy..self.site.customers),
                };
                let class = self.draw_class();
                let patience = self.way(self.site.model.patience);
                let retries = self.site.retries;
                let asked = Asked { customer, class, units: 1.0, first: self.now, patience, retries };
                self.ask(asked, 0, None);
            }
            What::Scripted(number) => {
                let Planned { customer, class, patience, retries, .. } = self.script[number];
                if let Some(next) = self.script.get(number + 1) {
                    self.plan(next.at, What::Scripted(number + 1));
                }
                let asked = Asked { customer, class, units: 1.0, first: self.now, patience, retries };
                self.ask(asked, 0, None);
            }
            What::Again { asked, tries, door } => self.ask(asked, tries, Some(door)),
            What::Timer { door, token } => self.tell(door, Event::Timer(token)),
            What::Reaches(attempt) => self.reach(attempt),
            What::Done { node, life, attempt } => {
                if self.nodes[node as usize].life != life {
                    return;
                }
                match self.nodes[node as usize].finish(self.now, attempt) {
                    Some(later) => self.plan(later, What::Done { node, life, attempt }),
                    None => {
                        let way = self.way(self.site.model.node_ms);
                        self.plan(self.now + way, What::Ends { attempt, outcome: Outcome::Ok });
                        self.start_waiting(node);
                    }
                }
            }
            What::Ends { attempt, outcome } => self.end(attempt, outcome),
            What::GivesUp(id) => {
                if let Some(place) = self.place(id).filter(|&place| !self.tries[place].answered) {
                    let (door, first) = (self.tries[place].door, self.tries[place].asked.first);
                    self.tries[place].answered = true;
                    self.ledger.failed(first);
                    self.ledger.broke(self.now, "a client had no final answer in time");
                    self.tell(door, Event::ClientDisconnected(id));
                    self.forget_if_over(place);
                }
            }
            What::Strikes => self.strike(),
            What::Follows => self.follow(),
            What::Thaws => {
                for node in self.struck.clone() {
                    self.start_waiting(node);
                }
            }
            What::News { door, change } => {
                let (whole, entries) = self.changes[change].clone();
                for entry in entries.iter().filter(|entry| entry.lifecycle != Lifecycle::Ready) {
                    self.told_drain.entry((door, entry.id)).or_insert(self.now);
                }
                let kind = if whole { ListKind::Full } else { ListKind::Delta };
                self.tell(door, Event::Servers { kind, entries });
            }
        }
    }

    fn start_waiting(&mut self, node: u32) {
        while let Some((attempt, done)) = self.nodes[node as usize].next(self.now) {
            let life = self.nodes[node as usize].life;
            self.plan(done, What::Done { node, life, attempt });
        }
    }

    fn place(&self, id: u64) -> Option<usize> {
        let place = (id & ((1 << PLACE_BITS) - 1)) as usize;
        self.tries.get(place).is_some_and(|open| open.id == id).then_some(place)
    }

    /// A client's try reaches a front door of its customer's set.
    fn ask(&mut self, asked: Asked, tries: u32, before: Option<u32>) {
        let way = self.way(self.site.model.client_ms);
        let left = asked.first + asked.patience - self.now - 2.0 * way;
        self.ledger.tried(self.now, (asked.customer, asked.class), asked.units, tries == 0);
        let doors = self.site.doors;
        let (spread, first) = self.site.doors_of(asked.customer);
        let door = match before.filter(|_| self.site.model.next_door) {
            Some(before) => (first + ((before + doors - first) % doors + 1) % spread) % doors,
            None => (first + self.random.random_range(0..spread)) % doors,
        };
        self.next_id += 1;
        let entry = self.tries.vacant_entry();
        let id = (self.next_id << PLACE_BITS) | entry.key() as u64;
        entry.insert(Try { id, door, asked, tries, answered: false, attempts: Vec::new() });
        self.plan(self.now + left.max(0.0), What::GivesUp(id));
        let request = Request {
            id,
            customer: u64::from(asked.customer),
            plan: self.site.plan_of(asked.customer),
            class: usize::from(asked.class),
            units: asked.units,
            customer_gateways: spread,
            first_gateway: first,
            expires_in: left.max(0.0),
            is_client_retry: self.site.model.marks && tries > 0,
        };
        self.tell(door, Event::Request(request));
    }

    /// A front door decides, and what it asks for is carried out.
    fn tell(&mut self, door: u32, event: Event) {
        let mut actions = std::mem::take(&mut self.actions);
        self.deciders[door as usize].handle(self.now, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(door, action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, door: u32, action: Action) {
        match action {
            Action::Send { request, server, .. } => self.send(door, request, server),
            Action::Reject { request, retry_after } => self.refuse(request, retry_after),
            Action::Fail(request) => {
                let Some(place) = self.answer(request) else { return };
                self.ledger.failed(self.tries[place].asked.first);
                self.forget_if_over(place);
            }
            Action::Cancel { request, attempt } => {
                let Some(place) = self.place(request) else { return };
                let Some(sent) = self.tries[place].attempts.get(usize::from(attempt)) else { return };
                if sent.out {
                    let node = sent.node;
                    self.nodes[node as usize].cancel((request, attempt));
                    self.plan(
                        self.now,
                        What::Ends { attempt: (request, attempt), outcome: Outcome::Cancelled },
                    );
                }
            }
            Action::SetTimer { at, token } => self.plan(at, What::Timer { door, token }),
            Action::WatchServers | Action::Log(_) => {}
        }
    }

    fn send(&mut self, door: u32, id: u64, node: u32) {
        let Some(place) = self.place(id) else {
            return self.ledger.broke(self.now, "an attempt of a request that is over");
        };
        let told = self.told_drain.get(&(door, node)).copied();
        let open = &mut self.tries[place];
        let once = self.site.model.kinds[usize::from(open.asked.class)].effect == RetrySafety::NonIdempotent;
        if open.answered {
            self.ledger.broke(self.now, "an attempt behind the final answer");
        }
        if open.attempts.iter().any(|sent| sent.out) {
            self.ledger.broke(self.now, "two attempts out");
        }
        if once && open.attempts.iter().any(|sent| sent.ran) {
            self.ledger.broke(self.now, "a request that must not run twice is sent again");
        }
        if told.is_some_and(|told| self.now > told + 500.0) && self.nodes[node as usize].launched_before(told)
        {
            self.ledger.after_drain += 1;
        }
        let first = open.attempts.is_empty();
        open.attempts.push(Sent { node, at: self.now, out: true, ran: false });
        let attempt = (id, (open.attempts.len() - 1) as u8);
        self.ledger.sent(self.now, first);
        let way = self.way(self.site.model.node_ms);
        self.plan(self.now + way, What::Reaches(attempt));
    }

    fn reach(&mut self, attempt: Attempt) {
        let Some(place) = self.place(attempt.0) else { return };
        let open = &mut self.tries[place];
        let sent = open.attempts[usize::from(attempt.1)];
        if !sent.out {
            return;
        }
        let (customer, units, node) = (open.asked.customer, open.asked.units, sent.node);
        let work = self.draw_work();
        let taken = self.nodes[node as usize].take(self.now, attempt, work);
        let way = self.way(self.site.model.node_ms);
        match taken {
            Taken::Dead => {
                self.plan(self.now + way, What::Ends { attempt, outcome: Outcome::NoConnection });
                return;
            }
            Taken::Full => {
                self.plan(self.now + way, What::Ends { attempt, outcome: Outcome::Overloaded });
                return;
            }
            Taken::Runs(done) => {
                let life = self.nodes[node as usize].life;
                self.plan(done, What::Done { node, life, attempt });
            }
            Taken::Waits => {}
        }
        self.tries[place].attempts[usize::from(attempt.1)].ran = true;
        self.meter[customer as usize].count(self.now, units);
        let class = self.tries[place].asked.class;
        self.ledger.taken_up(self.now, (customer, class), units);
        self.watch_cold(node);
    }

    /// What a cold node gets in the time after which it tips over, against what it can do then.
    fn watch_cold(&mut self, node: u32) {
        let now = self.now;
        if !self.nodes[node as usize].is_cold(now) {
            return;
        }
        let warmth = self.nodes[node as usize].warmth(now);
        let Some(window) = self.cold.get_mut(&node) else { return };
        if now > window.started + 3000.0 {
            *window = ColdWindow { started: now, units: 0.0 };
        }
        window.units += 1.0;
        let able = f64::from(self.site.model.workers) * 3000.0 / self.site.work_ms * warmth;
        self.ledger.cold_peak = self.ledger.cold_peak.max(window.units / able);
    }

    fn end(&mut self, attempt: Attempt, outcome: Outcome) {
        let Some(place) = self.place(attempt.0) else { return };
        let now = self.now;
        let open = &mut self.tries[place];
        let Some(sent) = open.attempts.get_mut(usize::from(attempt.1)).filter(|sent| sent.out) else {
            return;
        };
        sent.out = false;
        let (door, customer, at) = (open.door, open.asked.customer, sent.at);
        let good = outcome == Outcome::Ok && !open.answered;
        let finished = outcome == Outcome::Ok || open.answered;
        let (first, class) = (open.asked.first, open.asked.class);
        if good {
            open.answered = true;
            let way = self.way(self.site.model.client_ms);
            let aim = self.site.model.kinds[usize::from(class)].aim;
            self.ledger.answered(now + way, first, aim, (customer, class));
        }
        let quota = self.site.rate_of(customer) * PERIOD / 1000.0;
        let answers = matches!(outcome, Outcome::Ok | Outcome::Overloaded);
        let delay = self.site.model.meter_delay;
        let used = answers.then(|| self.meter[customer as usize].reading(now, delay) / quota);
        let end =
            AttemptEnd { request: attempt.0, attempt: attempt.1, outcome, elapsed: now - at, finished, used };
        self.tell(door, Event::AttemptEnd(end));
        self.forget_if_over(place);
    }

    /// Notes a final answer. `None`, and a broken rule, if there was one.
    fn answer(&mut self, id: u64) -> Option<usize> {
        let place = self.place(id).filter(|&place| !self.tries[place].answered);
        match place {
            Some(place) => self.tries[place].answered = true,
            None => self.ledger.broke(self.now, "a second final answer"),
        }
        place
    }

    fn refuse(&mut self, id: u64, retry_after: Millis) {
        let Some(place) = self.answer(id) else { return };
        let Try { asked, tries, door, .. } = self.tries[place];
        let way = 2.0 * self.way(self.site.model.client_ms);
        let honours = retry_after > 0.0 && self.random.random::<f64>() < self.site.model.honour;
        let wait = if honours { retry_after } else { self.way(self.site.model.impatient_ms) };
        let at = self.now + way + wait;
        // A client with no time left for an answer asks no more.
        if tries < asked.retries && at + 100.0 < asked.first + asked.patience && at < self.site.end_ms() {
            self.plan(at, What::Again { asked, tries: tries + 1, door });
        } else {
            self.ledger.refused(asked.first, asked.customer);
        }
        self.forget_if_over(place);
    }

    fn forget_if_over(&mut self, place: usize) {
        if self
            .tries
            .get(place)
            .is_some_and(|open| open.answered && open.attempts.iter().all(|sent| !sent.out))
        {
            self.tries.remove(place);
        }
    }
}

const _: () = assert!(CEILING > 1.0, "a ceiling below the quota would make the quota void");

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_meter_tells_the_last_period_that_is_over_once_its_delay_has_passed() {
        let mut used = Use::default();
        used.count(10.0, 1.0);
        used.count(490.0, 2.0);
        used.count(510.0, 5.0);
        assert_eq!(used.reading(599.0, 100.0), 0.0, "the first period is over and not told yet");
        assert_eq!(used.reading(600.0, 100.0), 3.0);
        assert_eq!(used.reading(1099.0, 100.0), 3.0);
        assert_eq!(used.reading(1100.0, 100.0), 5.0);
        assert_eq!(used.reading(1199.0, 700.0), 0.0, "the first period is told 700 ms behind its end");
        assert_eq!(used.reading(1200.0, 700.0), 3.0);
        assert_eq!(used.reading(90_000.0, 100.0), 0.0, "idle since");
    }
}
