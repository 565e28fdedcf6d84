//! All decisions but which server gets an attempt (`choice.rs`), in the terms of `interface.rs`.
//!
//! Admission follows the random refusal of "Stochastic breakdown model for an unreliable web server
//! system": each gateway refuses a customer's requests with chance 1 - quota / offered, where the offered
//! rate of all gateways is taken from the meter, and the class of the lowest worth goes first.

use crate::choice::{Fleet, Wanted};
use crate::interface::*;
use crate::meter::MeterClock;
use oorandom::Rand64;
use springusher_counts::{blend, Sends, Ticket};
use std::collections::{BTreeMap, VecDeque};
use std::ops::Bound::{self, Excluded, Unbounded};

// ---- Constants. All are dimensionless; times and rates come from the settings. ----

/// Lowest chance of admission: at nought no answer would bring a reading, and the chance would stay there.
const CHANCE_FLOOR: f64 = 0.01;
/// Meter periods over which a store that is left over is let out.
const RELEASE: f64 = 6.0;
/// Units that each other gateway is taken to send unseen, in a surge, for one beyond an even share here and
/// for each period that the meter is late.
const SURGE: f64 = 0.8;
/// Part of its burst that a customer is taken to have left when it first comes here: most have used little.
/// Hurts for a heavy one behind a restart of this gateway.
const START_STORE: f64 = 0.75;
/// Part of a meter period, on average, after which one whom the coin refused ought to try again.
const COME_BACK: f64 = 0.3;
/// Units over which a rate is averaged: fewer counts say little about a rate.
const RATE_UNITS: f64 = 4.0;
/// Units that what is known of a plan counts for beside the readings of one of its customers.
const PRIOR_UNITS: f64 = 0.3;
/// Part of its quota that a customer is taken to ask for until readings tell of its plan.
const CALM_USE: f64 = 0.5;
/// Own evidence fades over so many units of an even share of the quota.
const OWN_UNITS: f64 = 2.0;
/// Weight of a new gap between readings in their mean.
const LEARN: f64 = 0.3;
/// A customer idle for so many times its burst's filling time is forgotten.
const IDLE_FILLS: f64 = 20.0;
/// Customers that are looked at for that at each request.
const SWEEP: usize = 4;
/// Weight of a new sample in averages over requests and answers: about the last 20 of them.
const SAMPLE: f64 = 0.1;
/// Room of a new gateway: slow start, as hundreds may be born at once and none knows of the others.
const START_ROOM: f64 = 0.5;
/// Most that one answer counts for, in wanted times: where few come, one late one is still only one.
const MOST_WEIGHT: f64 = 0.2;
/// Least room: retries may come at a hundred times what the servers can do.
const LEAST_ROOM: f64 = 0.01;
/// An answer that took more than this part of the wanted time, or is out for longer, is late: work queues.
const LATE: f64 = 0.35;
/// Part of the room that a wanted time full of late answers takes away ...
const CUT: f64 = 0.7;
/// ... and that one of timely answers gives, with `PROBE` more: one late answer in three is borne.
const GROWTH: f64 = 0.3;
const PROBE: f64 = 0.1;
/// Attempts a server, of all gateways, that make no queue whatever the answers take: up to an own part of
/// that the room is not asked, for idle servers tell nothing and a door once shut would stay shut.
const IDLE: f64 = 3.0;
/// Shrinks the limit on work in flight at each late answer; a timely one grows it by `STEP` attempts, doubled
/// at a limit of `CREW`: a fair share for each gateway while it is small, one late in five at any size.
const SHRINK: f64 = 0.95;
const STEP: f64 = 0.05;
const CREW: f64 = 5.0;
/// An attempt out for so many mean answer times may get a further one.
const PATIENCE: f64 = 3.0;
/// Further attempts for each first one: the retry budget.
const RETRY_SHARE: f64 = 0.15;
/// The part of the wanted time within which a further attempt or a held request must start to be of use.
const USEFUL: f64 = 0.5;

const DEADLINE: u64 = 0;
const REVIEW: u64 = 1;
const LIST: u64 = 2;

#[derive(Debug)]
struct Attempt {
    to: ServerEntry,
    sent: Millis,
    ticket: Ticket,
    out: bool,
    may_have_run: bool,
}

#[derive(Debug)]
struct Open {
    request: Request,
    arrived: Millis,
    attempts: Vec<Attempt>,
    held: bool,
    done: bool,
}

#[derive(Debug, Default)]
struct Customer {
    plan: usize,
    spread: f64,
    seen: Millis,
    /// Content of the global token bucket at `told`: up to there what the meter has told is settled.
    store: f64,
    told: Millis,
    chance: f64,
    chance_set: Millis,
    chances: VecDeque<(Millis, f64)>,
    /// Own sends that readings may still tell of.
    sends: Sends,
    /// Own requests, fading: units, and the seconds that they came in.
    offered_here: f64,
    heard: f64,
    heard_at: Millis,
    /// Evidence of the other gateways, fading: seconds that readings covered, units sent and offered in them.
    watched: f64,
    sent_elsewhere: f64,
    offered_elsewhere: f64,
    reading_at: Option<Millis>,
    /// End of the last period that a reading told of.
    read: Millis,
    /// Usual time between readings, seconds; at first what an even share of the quota would give.
    reading_gap: f64,
    /// This gateway's share of the ceiling's store.
    ceiling: f64,
    ceiling_at: Millis,
    open: u32,
    held: VecDeque<RequestId>,
}

/// The decisions of one gateway.
#[derive(Debug)]
pub struct Gateway {
    settings: Settings,
    rng: Rand64,
    born: Millis,
    now: Millis,
    customers: BTreeMap<CustomerId, Customer>,
    /// What customers of each plan send and offer, in parts of the quota, as far as readings tell.
    plan_use: Vec<(f64, f64)>,
    meter: MeterClock,
    swept: Millis,
    /// The customer at which the sweep stands.
    swept_to: Bound<CustomerId>,
    /// Refusals since then for want of room, and for want of a server.
    no_room: u32,
    pressed_before: bool,
    no_server: u32,
    requests: BTreeMap<RequestId, Open>,
    fleet: Fleet,
    /// Recent share of each class in the offered units, and the classes from the highest worth down.
    class_mix: Vec<f64>,
    class_order: Vec<usize>,
    /// Mean time of an answer for each class.
    answer_time: Vec<f64>,
    /// Share of what the quotas admit that the servers have room for, and when it was last set.
    room: f64,
    room_at: Millis,
    /// Own part of what leaves the servers idle, and when one was last turned away.
    idle_part: f64,
    full_at: Millis,
    /// Learned limit on own work in flight, and whether it still doubles as at the start.
    limit: f64,
    slow_start: bool,
    /// Longest time that first tries of each class are given.
    first_wait: Vec<f64>,
    retry_budget: f64,
}

/// The chance of one kind when a share of the whole is admitted, the kinds in `order` first.
fn ordered_chance(share: f64, mix: &[f64], order: &[usize], kind: usize) -> f64 {
    let total: f64 = mix.iter().sum();
    let mut left = share * total;
    for &other in order {
        if other == kind {
            return if mix[kind] > 0.0 { (left / mix[kind]).clamp(0.0, 1.0) } else { share };
        }
        left = (left - mix[other]).max(0.0);
    }
    share
}

impl Gateway {
    /// A gateway that starts at `now` with an empty server list.
    ///
    /// # Errors
    /// Names the first setting that makes no sense.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Result<Gateway, InvalidSetting> {
        settings.validate()?;
        let classes = settings.classes.len();
        let mut class_order: Vec<usize> = (0..classes).collect();
        class_order.sort_by(|&a, &b| settings.classes[b].worth.total_cmp(&settings.classes[a].worth));
        Ok(Gateway {
            rng: Rand64::new(u128::from(seed)),
            born: now,
            now,
            customers: BTreeMap::new(),
            plan_use: vec![(CALM_USE, CALM_USE); settings.plans.len()],
            meter: MeterClock::new(settings.meter_period),
            swept: now,
            swept_to: Unbounded,
            no_room: 0,
            pressed_before: false,
            no_server: 0,
            requests: BTreeMap::new(),
            fleet: Fleet::new(&settings.classes),
            class_mix: vec![1.0 / classes.max(1) as f64; classes],
            class_order,
            answer_time: settings.classes.iter().map(|class| class.aim / (2.0 * PATIENCE)).collect(),
            room: START_ROOM,
            room_at: now,
            idle_part: 0.0,
            full_at: f64::NEG_INFINITY,
            limit: 1.0,
            slow_start: true,
            first_wait: vec![0.0; classes],
            retry_budget: 1.0,
            settings,
        })
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Request(request) => self.arrive(request, actions),
            Event::AttemptEnd(end) => self.attempt_ended(end, actions),
            Event::Started(request) | Event::ClientGone(request) => self.close(request),
            Event::Timer(token) => match (token % 4, token / 4) {
                (DEADLINE, request) => self.deadline(request, actions),
                (REVIEW, request) => self.review(request, actions),
                _ => actions.push(Action::FollowServers),
            },
            Event::Servers { kind, entries } => self.roster(kind, entries, actions),
        }
    }

    /// Most attempts that it would have out now, and the share of what the quotas admit that it has room for.
    pub fn room(&self) -> (f64, f64) {
        (self.limit, self.room)
    }

    // ---- Admission. ----

    fn arrive(&mut self, request: Request, actions: &mut Vec<Action>) {
        let expires_in = if request.expires_in.is_finite() { request.expires_in.max(0.0) } else { 0.0 };
        if self.requests.contains_key(&request.id) {
            return;
        }
        let open = Open { request, arrived: self.now, attempts: Vec::new(), held: false, done: false };
        self.requests.insert(request.id, open);
        // Answer before the client gives up; two calls of the host are the margin for the way back.
        let at = self.now + (expires_in - 2.0 * self.settings.tick).max(0.0);
        actions.push(Action::Timer { at, token: (request.id << 2) + DEADLINE });
        let known = request.class < self.settings.classes.len() && request.plan < self.settings.plans.len();
        if !known || !request.units.is_finite() || request.units < 0.0 {
            self.refuse(request.id, 0.0, actions);
            return;
        }
        self.sweep(actions);
        let waited = self.waited(&request, expires_in);
        if let Some(open) = self.requests.get_mut(&request.id) {
            open.arrived -= waited;
        }
        for (class, share) in self.class_mix.iter_mut().enumerate() {
            blend(share, f64::from(u8::from(class == request.class)), SAMPLE / 2.0);
        }
        let share = self.within_quota(&request);
        let (class, answer) = (self.settings.classes[request.class], self.answer_time[request.class]);
        let full = self.now < self.full_at + class.aim;
        let flight = self.fleet.young(request.class, self.now);
        let idle = !full && self.rng.rand_float() < self.idle_part - self.fleet.in_hand();
        // Guards against a surge that is in before its late answers are: beyond the limit on work in flight
        // the chance falls, to nothing at two deviations more, so that few in hand are not refused by chance.
        let slack = 2.0 * self.limit.sqrt() + 1.0;
        let open = if idle { 1.0 } else { ((self.limit + slack - flight) / slack).clamp(0.0, self.room) };
        let (mix, order) = (&self.class_mix, &self.class_order);
        // The floor shrinks with the room: of thousands of retries a second, a fixed part would feed a jam.
        let chance =
            |open: f64| ordered_chance(share * open, mix, order, request.class).max(CHANCE_FLOOR * open);
        let (quota, room, coin) = (chance(1.0), chance(open), self.rng.rand_float());
        // Guards against a further try past its aim that takes quota for the worth of a late answer. A long
        // answer time alone is no ground: with nothing sent none would shorten it again.
        let late = if waited > 0.0 && waited + answer > class.aim { class.late_share.min(1.0) } else { 1.0 };
        if share <= 0.0 || coin >= quota * late {
            let wait = COME_BACK * self.settings.meter_period * (0.5 + self.rng.rand_float());
            self.refuse(request.id, wait, actions);
        } else if coin >= room * late {
            self.no_room += 1;
            self.refuse(request.id, self.settings.max_retry_after, actions);
        } else {
            self.dispatch(request.id, actions);
        }
    }

    /// How long a client has been trying before this try, where it shows: a further try with less time left
    /// than first tries get is bounded by what remains of the class's deadline.
    fn waited(&mut self, request: &Request, expires_in: Millis) -> Millis {
        let most = &mut self.first_wait[request.class];
        if !request.repeat {
            *most = most.max(expires_in);
        } else if expires_in < *most - self.settings.tick {
            return (self.settings.classes[request.class].deadline - expires_in).max(0.0);
        }
        0.0
    }

    /// The coin: once per meter period its chance is set to what the quota and the estimated store allow over
    /// the offered rate.
    fn within_quota(&mut self, request: &Request) -> f64 {
        let (now, born, period) = (self.now, self.born, self.settings.meter_period);
        let plan = self.settings.plans[request.plan];
        let customer = self.customers.entry(request.customer).or_insert_with(|| Customer {
            store: START_STORE * plan.burst,
            told: now,
            read: f64::NEG_INFINITY,
            chance: 1.0,
            chance_set: f64::NEG_INFINITY,
            heard_at: born,
            reading_gap: f64::from(request.spread.max(1)) / plan.rate.max(f64::MIN_POSITIVE),
            ceiling_at: born,
            ..Customer::default()
        });
        let spread = f64::from(request.spread.max(1));
        (customer.seen, customer.plan, customer.spread) = (now, request.plan, spread);
        if plan.rate <= 0.0 {
            return 1.0;
        }
        let seconds = (now - customer.heard_at) / 1000.0;
        // Not over less than what a rate is taken over: behind one gateway alone it would come out too low.
        let fade = (-seconds * plan.rate / (OWN_UNITS * customer.spread).max(RATE_UNITS)).exp();
        customer.offered_here *= fade;
        (customer.heard, customer.heard_at) = (customer.heard * fade + seconds, now);
        let usual = self.plan_use[request.plan];
        customer.settle(&plan, usual, now, self.meter.reach());
        if now >= customer.chance_set + period {
            customer.set_chance(&plan, usual, now, period);
        }
        // Counted after the chance is set: that a request came says nothing of how many others did.
        customer.offered_here += request.units;
        // Guards against sends beyond the quota between two settings of the chance.
        if customer.content(&plan, usual, now, now) < customer.unseen(&plan, now, self.meter.delay()) {
            return CHANCE_FLOOR;
        }
        customer.chance
    }

    /// Takes a reading of the meter. They carry no number: the meter's clock says which period one is of.
    fn read_meter(&mut self, customer: CustomerId, used: f64) {
        let (now, period) = (self.now, self.settings.meter_period);
        let Some(customer) = self.customers.get_mut(&customer) else { return };
        let plan = self.settings.plans[customer.plan];
        if plan.rate <= 0.0 || period <= 0.0 || !used.is_finite() {
            return;
        }
        let units = used * plan.rate * period / 1000.0;
        self.meter.learn(now, units, &customer.sends);
        let to = self.meter.told(now);
        if to <= customer.read {
            return;
        }
        customer.read = to;
        let usual = &mut self.plan_use[customer.plan];
        customer.advance(&plan, *usual, now, to - period);
        let seconds = (to - customer.told).max(0.0) / 1000.0;
        customer.store = (customer.store + (1.0 - used) * plan.rate * seconds).clamp(0.0, plan.burst);
        customer.told = customer.told.max(to);
        if let Some(at) = customer.reading_at {
            blend(&mut customer.reading_gap, (now - at) / 1000.0, LEARN);
        }
        let fade = customer.fade(&plan, now);
        customer.reading_at = Some(now);
        let held = customer.chances.iter().rev().find(|(at, _)| *at <= to - period / 2.0);
        let chance = held.or(customer.chances.front()).map_or(1.0, |held| held.1);
        let elsewhere = units - customer.sends.between(to - period, to);
        let known = customer.elsewhere(&plan, *usual, fade).2;
        customer.watched = customer.watched * fade + period / 1000.0;
        customer.sent_elsewhere = (customer.sent_elsewhere * fade + elsewhere).max(0.0);
        customer.offered_elsewhere = (customer.offered_elsewhere * fade + elsewhere / chance).max(0.0);
        // Own rate by own count: a reading comes here only for a period in which this gateway sent.
        let (weight, quota) = (SAMPLE * (1.0 - known), plan.rate * period / 1000.0);
        let own = customer.offered_here / customer.heard.max(RATE_UNITS / plan.rate) / plan.rate;
        blend(&mut usual.0, (elsewhere / quota + own * chance).max(0.0), weight);
        blend(&mut usual.1, (elsewhere / quota / chance + own).max(0.0), weight);
        customer.set_chance(&plan, *usual, now, period);
    }

    /// Adapts the room to one answer, or one overdue: additive growth, multiplicative cut, in proportion to
    /// the time since the last, so that few gateways and many move alike. Guards against overload within the
    /// quotas, from a surge or from lost or slow servers: the paper's coin, with the servers' limit for the
    /// quota's, ends it in early refusals of the cheap. Hurts if answers are slow without a queue.
    fn adapt(&mut self, class: usize, timely: bool) {
        let aim = self.settings.classes[class].aim;
        let weight = ((self.now - self.room_at) / aim).min(MOST_WEIGHT);
        self.room_at = self.now;
        if timely {
            self.room = (self.room + GROWTH * (self.room + PROBE) * weight).min(1.0);
            if 2.0 * (self.fleet.young(class, self.now) + 1.0) >= self.limit {
                self.limit += if self.slow_start { 1.0 } else { STEP * (1.0 + self.limit / CREW) };
            }
        } else {
            self.slow_start = false;
            self.limit = (self.limit * SHRINK).max(self.idle_part).max(1.0);
            self.room = (self.room * (1.0 - CUT * weight)).max(LEAST_ROOM);
        }
    }

    /// Once a second: reports refusals that are not the coin's. At each request: forgets those of a few
    /// customers that have been idle long enough for every store of theirs to be full again.
    fn sweep(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let is_idle = |customer: &Customer| {
            let plan = &self.settings.plans[customer.plan];
            let fill = |burst: f64, rate: f64| if rate > 0.0 { burst / rate * 1000.0 } else { 0.0 };
            let full =
                fill(plan.burst, plan.rate).max(fill(plan.ceiling_burst, plan.ceiling_rate)).max(1000.0);
            now >= customer.seen + IDLE_FILLS * full && customer.open == 0 && customer.held.is_empty()
        };
        let next = self.customers.range((self.swept_to, Unbounded)).take(SWEEP);
        let seen: Vec<(CustomerId, bool)> = next.map(|(&id, customer)| (id, is_idle(customer))).collect();
        // Round again where the end was reached, also if new customers go on coming in there.
        self.swept_to = seen.get(SWEEP - 1).map_or(Unbounded, |(last, _)| Excluded(*last));
        for (id, _) in seen.into_iter().filter(|(_, is_idle)| *is_idle) {
            self.customers.remove(&id);
        }
        if now < self.swept + 1000.0 {
            return;
        }
        self.swept = now;
        if (self.no_room > 0) != self.pressed_before {
            self.pressed_before = self.no_room > 0;
            let text = if self.pressed_before { "pressed" } else { "pressed no more" };
            actions.push(Action::Log(format!("{text}: room for {:.2} of what the quotas admit", self.room)));
        }
        if self.no_server > 0 {
            actions.push(Action::Log(format!("no server to send to: {} refused", self.no_server)));
        }
        (self.no_room, self.no_server) = (0, 0);
    }

    /// Takes a first attempt's units from this gateway's share of the ceiling, or tells how long to wait. The
    /// share holds with no word from others. It fills from birth on, as an earlier life may have spent it.
    /// Guards against shares below a unit, of which nothing would pass: some gateways hold all then, others
    /// for each customer.
    fn under_ceiling(&mut self, request: &Request) -> Result<(), Millis> {
        let plan = &self.settings.plans[request.plan];
        let Some(customer) = self.customers.get_mut(&request.customer) else { return Err(0.0) };
        if plan.ceiling_rate <= 0.0 {
            return Ok(());
        }
        let (store, all) = (plan.ceiling_burst + plan.ceiling_slack, u64::from(self.settings.gateways));
        let split = store < customer.spread && customer.spread >= all as f64;
        let holders = if split { store.floor().max(1.0) } else { customer.spread };
        if split && (u64::from(self.settings.ordinal) + request.customer % all) % all >= holders as u64 {
            return Err(0.0);
        }
        let filled = (self.now - customer.ceiling_at).max(0.0) / 1000.0 * plan.ceiling_rate / holders;
        customer.ceiling = (customer.ceiling + filled).min(store / holders);
        customer.ceiling_at = self.now;
        if customer.ceiling < request.units {
            return Err(self.settings.max_retry_after);
        }
        customer.ceiling -= request.units;
        Ok(())
    }

    // ---- Balancing and health. ----

    /// Mean time of an answer over the classes, by their recent mix.
    fn mean_answer(&self) -> f64 {
        self.answer_time.iter().zip(&self.class_mix).map(|(time, share)| time * share).sum()
    }

    /// Picks the server with the least expected wait, as far as own work and answers tell.
    fn choose(&mut self, request: RequestId) -> Option<ServerId> {
        let (settings, now, mean) = (&self.settings, self.now, self.mean_answer());
        let open = &self.requests[&request];
        let ran = open.attempts.iter().find(|attempt| attempt.may_have_run);
        let wanted = Wanted {
            settings,
            now,
            mean,
            effect: self.settings.classes[open.request.class].effect,
            home: ran.map(|attempt| attempt.to),
            tried: &|id| open.attempts.iter().any(|attempt| attempt.to.id == id),
        };
        self.fleet.choose(&wanted, &mut self.rng)
    }

    /// Learns from the end of an attempt.
    fn judge(&mut self, class: usize, id: ServerId, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let now = self.now;
        let mean = self.answer_time[class].max(1.0);
        let elapsed = if end.elapsed.is_finite() { end.elapsed.max(0.0) } else { 0.0 };
        match end.outcome {
            Outcome::Ok => {
                let aim = self.settings.classes[class].aim;
                self.adapt(class, elapsed <= LATE * aim);
            }
            Outcome::Full | Outcome::TimedOut => {
                self.full_at = if end.outcome == Outcome::Full { now } else { self.full_at };
                self.adapt(class, false);
            }
            _ => {}
        }
        let means = (self.mean_answer(), mean);
        actions.extend(self.fleet.judge(now, id, end, means).map(Action::Log));
        if end.outcome == Outcome::Ok {
            blend(&mut self.answer_time[class], elapsed, SAMPLE / 5.0);
        }
    }

    // ---- Attempts. ----

    /// Sends a first attempt, or holds the request while its customer has all the attempts out it may have.
    fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let request = self.requests[&id].request;
        let plan = self.settings.plans[request.plan];
        let aim = self.settings.classes[request.class].aim;
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        if plan.open > 0 && customer.open >= plan.open {
            customer.held.push_back(id);
            if let Some(open) = self.requests.get_mut(&id) {
                open.held = true;
            }
            actions.push(Action::Timer { at: self.now + USEFUL * aim, token: (id << 2) + REVIEW });
            return;
        }
        let Some(server) = self.choose(id) else {
            self.no_server += 1;
            return self.refuse(id, self.settings.max_retry_after, actions);
        };
        if let Err(wait) = self.under_ceiling(&request) {
            return self.refuse(id, wait, actions);
        }
        // Without a rate nothing reads these, and nothing would take them off again.
        if let Some(customer) = self.customers.get_mut(&request.customer).filter(|_| plan.rate > 0.0) {
            customer.sends.push(self.now, request.units);
        }
        self.retry_budget = (self.retry_budget + RETRY_SHARE).min(self.fleet.len() as f64);
        self.send(id, server, actions);
    }

    fn send(&mut self, id: RequestId, to: ServerId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some((to, ticket)) = self.fleet.send(self.now, to) else { return };
        open.held = false;
        open.attempts.push(Attempt { to, sent: self.now, ticket, out: true, may_have_run: true });
        if let Some(customer) = self.customers.get_mut(&open.request.customer) {
            customer.open += 1;
        }
        actions.push(Action::Send { request: id, server: to.id, expire_at: None });
        let class = open.request.class;
        let patience = (PATIENCE * self.answer_time[class]).min(USEFUL * self.settings.classes[class].aim);
        actions.push(Action::Timer { at: self.now + patience, token: (id << 2) + REVIEW });
    }

    /// Whether a further attempt is allowed by the class, the settings and the retry budget, and of use.
    fn may_try_again(&self, open: &Open) -> bool {
        let class = &self.settings.classes[open.request.class];
        let ran = open.attempts.iter().find(|attempt| attempt.may_have_run);
        let out = open.attempts.iter().any(|attempt| attempt.out);
        let licensed = match (class.effect, ran) {
            (_, None) | (Effect::Free, _) => true,
            (Effect::Once, Some(_)) => false,
            (Effect::Keyed { window, .. }, Some(first)) => {
                self.now < first.sent + window - 2.0 * self.settings.tick
            }
        };
        licensed
            && (self.settings.may_duplicate || !out)
            && open.attempts.len() < self.settings.max_attempts as usize
            && self.retry_budget >= 1.0
            && self.now < open.arrived + class.aim
    }

    /// An attempt has been out for long, or a request held: tries another server, or gives up in time.
    fn review(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(class) = self.requests.get(&id).filter(|open| !open.done).map(|open| open.request.class)
        else {
            return;
        };
        let due = self.now - LATE * self.settings.classes[class].aim;
        if self.requests[&id].attempts.last().is_some_and(|last| last.out && last.sent <= due) {
            self.adapt(class, false);
        }
        let open = &self.requests[&id];
        if open.held {
            if self.now >= open.arrived + USEFUL * self.settings.classes[open.request.class].aim {
                self.refuse(id, self.settings.max_retry_after, actions);
            }
            return;
        }
        let free = self.settings.classes[open.request.class].effect == Effect::Free;
        let Some(last) = open.attempts.last() else { return };
        if !last.out {
            return;
        }
        if self.may_try_again(open) {
            self.further(id, actions);
        } else if free && !self.settings.may_duplicate && self.settings.may_cancel {
            // One copy at a time: the attempt is given up first, and its end brings the next one.
            let silent = self.fleet.is_silent(last.to.id, self.now, self.mean_answer());
            let useful = self.now < open.arrived + self.settings.classes[open.request.class].aim;
            let more = open.attempts.len() < self.settings.max_attempts as usize && self.retry_budget >= 1.0;
            if silent && useful && more {
                actions.push(Action::Cancel { request: id, attempt: (open.attempts.len() - 1) as u8 });
            } else if useful && more {
                let again = self.now + PATIENCE * self.mean_answer() / 2.0;
                actions.push(Action::Timer { at: again, token: (id << 2) + REVIEW });
            }
        }
    }

    fn further(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(server) = self.choose(id) else { return false };
        self.retry_budget -= 1.0;
        self.send(id, server, actions);
        true
    }

    fn attempt_ended(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&end.request) else { return };
        let Some(attempt) = open.attempts.get_mut(usize::from(end.attempt)) else { return };
        if !attempt.out {
            return;
        }
        attempt.out = false;
        attempt.may_have_run = !end.outcome.never_ran();
        let (server, sent, ticket, request) = (attempt.to.id, attempt.sent, attempt.ticket, open.request);
        if end.finished {
            open.done = true;
        }
        self.fleet.end(server, sent, ticket);
        self.judge(request.class, server, &end, actions);
        let next = self.customers.get_mut(&request.customer).and_then(|customer| {
            customer.open = customer.open.saturating_sub(1);
            customer.held.pop_front()
        });
        if let Some(used) = end.used {
            self.read_meter(request.customer, used);
        }
        let open = &self.requests[&end.request];
        let out = open.attempts.iter().any(|attempt| attempt.out);
        if open.done {
            if end.outcome == Outcome::Ok {
                self.call_off(end.request, actions);
            }
        } else if !out {
            let again = self.may_try_again(open);
            if !(again && self.further(end.request, actions)) {
                self.give_up(end.request, actions);
            }
        }
        self.forget_if_over(end.request);
        if let Some(next) = next.filter(|next| self.requests.contains_key(next)) {
            self.dispatch(next, actions);
        }
    }

    fn deadline(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.requests.get(&id).is_some_and(|open| !open.done) {
            self.give_up(id, actions);
        }
    }

    /// Final answer without an answer of a server: a refusal where nothing can have run, else a failure.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id) else { return };
        if open.attempts.iter().all(|attempt| !attempt.may_have_run) {
            self.refuse(id, 0.0, actions);
        } else {
            actions.push(Action::Fail(id));
            self.call_off(id, actions);
            self.close(id);
        }
    }

    /// Cancels the attempts of a request that are still out, where that is allowed.
    fn call_off(&self, id: RequestId, actions: &mut Vec<Action>) {
        let out = self.requests[&id].attempts.iter().enumerate().filter(|(_, attempt)| attempt.out);
        let cancels = out.map(|(n, _)| Action::Cancel { request: id, attempt: n as u8 });
        actions.extend(cancels.filter(|_| self.settings.may_cancel));
    }

    fn refuse(&mut self, id: RequestId, wait: Millis, actions: &mut Vec<Action>) {
        let retry_after = wait.clamp(0.0, self.settings.max_retry_after);
        actions.push(Action::Refuse { request: id, retry_after });
        self.close(id);
    }

    fn close(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.done = true;
        if open.held {
            if let Some(customer) = self.customers.get_mut(&open.request.customer) {
                customer.held.retain(|other| *other != id);
            }
        }
        self.forget_if_over(id);
    }

    fn forget_if_over(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| open.done && open.attempts.iter().all(|a| !a.out)) {
            self.requests.remove(&id);
        }
    }

    /// Follows the server list. A server that drains or is gone gets nothing from this moment on.
    fn roster(&mut self, kind: ListKind, entries: Vec<ServerEntry>, actions: &mut Vec<Action>) {
        if self.settings.list_on_request {
            match kind {
                ListKind::Cached => actions.push(Action::FollowServers),
                ListKind::Failed => actions.push(Action::Timer { at: self.now + 1000.0, token: LIST }),
                _ => {}
            }
        }
        if kind == ListKind::Failed {
            return;
        }
        self.fleet.list(&self.settings, self.now, (kind, entries), &mut self.rng);
        let ready = self.fleet.ready();
        self.idle_part = IDLE * ready as f64 / f64::from(self.settings.gateways);
        self.limit = self.limit.max(self.idle_part);
    }
}

impl Customer {
    /// Rates at which the other gateways send and are offered, and the part of that which rests on readings
    /// of this customer. What they do not tell is filled up with what its plan's customers usually do.
    fn elsewhere(&self, plan: &Plan, usual: (f64, f64), fade: f64) -> (f64, f64, f64) {
        let prior = PRIOR_UNITS / plan.rate;
        // One of n gateways sees one part in n of the time that all see together.
        let own = self.heard / (self.spread - 1.0).max(f64::MIN_POSITIVE);
        let seconds = prior + self.watched * fade;
        let sent = (PRIOR_UNITS * usual.0 + self.sent_elsewhere * fade) / seconds;
        let offers = PRIOR_UNITS * usual.1 + self.offered_elsewhere * fade + self.offered_here;
        let offered = offers / (seconds + own);
        (sent, offered, 1.0 - prior / seconds)
    }

    /// Units that other gateways have likely sent in a surge of which no reading tells yet: more, the more
    /// periods it takes until one tells.
    fn unseen(&self, plan: &Plan, now: Millis, delay: f64) -> f64 {
        let even = plan.rate * (now - self.told) / 1000.0 / self.spread;
        SURGE * delay * (self.spread - 1.0) * (self.sends.between(self.told, now) - even).max(0.0)
    }

    /// How much of the readings still counts: they fade over some units of the quota, or some gaps between
    /// readings if those are longer.
    fn fade(&self, plan: &Plan, now: Millis) -> f64 {
        let memory = RATE_UNITS * (1.0 / plan.rate).max(self.reading_gap);
        self.reading_at.map_or(0.0, |at| (-(now - at) / 1000.0 / memory).exp())
    }

    /// Content of the store at a later time: the quota flows in, own sends and others' likely ones flow out.
    fn content(&self, plan: &Plan, usual: (f64, f64), now: Millis, at: Millis) -> f64 {
        let flow = plan.rate - self.elsewhere(plan, usual, self.fade(plan, now)).0;
        (self.store + flow * (at - self.told) / 1000.0 - self.sends.between(self.told, at))
            .clamp(0.0, plan.burst)
    }

    /// Takes for settled what no reading told of up to then.
    fn advance(&mut self, plan: &Plan, usual: (f64, f64), now: Millis, to: Millis) {
        if to > self.told {
            self.store = self.content(plan, usual, now, to);
            self.told = to;
        }
    }

    /// Settles, and drops, what is too old for a reading to tell of.
    fn settle(&mut self, plan: &Plan, usual: (f64, f64), now: Millis, reach: Millis) {
        let keep = now - reach;
        self.advance(plan, usual, now, keep);
        self.sends.drop_before(keep);
        while self.chances.len() > 1 && self.chances[1].0 < keep {
            self.chances.pop_front();
        }
    }

    fn set_chance(&mut self, plan: &Plan, usual: (f64, f64), now: Millis, period: Millis) {
        let (_, elsewhere, _) = self.elsewhere(plan, usual, self.fade(plan, now));
        let offered = self.offered_here / self.heard.max(RATE_UNITS / plan.rate) + elsewhere;
        // The store is let out over some readings, so that the coin, by worth, refuses before it is empty.
        let span = RELEASE * period / 1000.0;
        let allowed = plan.rate + self.content(plan, usual, now, now) / span.max(self.reading_gap);
        self.chance = if offered > allowed { (allowed / offered).max(CHANCE_FLOOR) } else { 1.0 };
        self.chance_set = now;
        self.chances.push_back((now, self.chance));
    }
}
