//! Admission: the coin that keeps each customer of all gateways to its quota.
//!
//! It follows the random refusal of "Stochastic breakdown model for an unreliable web server system": each
//! gateway refuses a customer's requests with chance 1 - quota / offered, where the offered rate of all
//! gateways is taken from the meter, and the class of the lowest worth goes first.

use crate::interface::*;
use brassport_policy_stats::{
    attempt_probability, eventually_admitted, BucketFlow, CustomerReading, Decay, ExponentialRate,
    MeterClock, PlanUsage, RemoteUsage, RetryEstimator, SharedTokenBucket, UsageWindow, ValueHistory,
};
use serde::{Deserialize, Serialize};

/// Lowest chance of admission: at nought no answer would bring a reading, and the chance would stay there.
pub const CHANCE_FLOOR: f64 = 0.01;
/// Meter periods over which a store that is left over is let out.
const RELEASE: f64 = 6.0;
/// Units that each other gateway is taken to send unseen, in a surge, for one beyond an even share here and
/// for each period that the meter is late.
const SURGE: f64 = 0.8;
/// Part of its burst that a customer is taken to have left when it first comes here: most have used little.
/// Hurts for a heavy one behind a restart of this gateway.
const START_STORE: f64 = 0.75;
/// Units over which a rate is averaged: fewer counts say little about a rate.
const RATE_UNITS: f64 = 4.0;
/// Units that what is known of a plan counts for beside the readings of one of its customers.
const PRIOR_UNITS: f64 = 0.4;
/// Part of its quota that a customer uses, until readings tell of its plan.
const CALM_USE: f64 = 0.5;
/// So many times its plan's usual a customer of whom little is known is feared to ask for where the servers
/// have no room: what is likely beyond a quota goes first there. With room no more than the usual.
const FEARED: f64 = 3.0;
/// Own evidence fades over so many units of an even share of the quota.
const OWN_UNITS: f64 = 2.0;
/// Weight of a new gap between readings in their mean.
const LEARN: f64 = 0.3;
/// Weight of a reading in what a plan's customers usually do.
const SAMPLE: f64 = 0.1;

/// The part of what the quotas admit that there is room for, and the moment.
pub type At = (f64, Millis);

/// The meter's clock, and what customers of each plan send and offer, in parts of the quota, as far as
/// readings tell.
#[derive(Debug, Serialize, Deserialize)]
pub struct Admission {
    period: Millis,
    meter: MeterClock,
    usual: Vec<PlanUsage>,
    /// How many of those who are refused come again.
    pub returns: RetryEstimator,
}

/// What is known of one customer's use of its quota.
#[derive(Debug, Serialize, Deserialize)]
pub struct Account {
    /// Gateways through which the customer comes.
    spread: f64,
    /// The global token bucket: settled up to where the meter has told, with own sends that it may tell of.
    store: SharedTokenBucket,
    chance: f64,
    chance_set: Millis,
    chances: ValueHistory,
    /// Units of own requests.
    heard: ExponentialRate,
    /// Evidence of the other gateways; readings come at first as an even share of the quota would bring them.
    others: RemoteUsage,
    /// End of the last period that a reading told of.
    read: Millis,
}

/// A customer's plan, what its customers usually do, how likely one who is refused comes again, and the
/// moment that a question is asked at.
#[derive(Debug, Clone, Copy)]
struct Terms<'a> {
    plan: &'a Plan,
    usual: PlanUsage,
    fear: f64,
    again: f64,
    now: Millis,
}

impl Admission {
    pub fn new(settings: &Settings) -> Admission {
        let (period, usual) = (settings.meter_period, vec![PlanUsage::new(CALM_USE); settings.plans.len()]);
        Admission { period, meter: MeterClock::new(period), usual, returns: RetryEstimator::default() }
    }

    /// Goes on under other settings, of which there are no fewer plans.
    pub fn settle(&mut self, settings: &Settings) {
        self.usual.resize(settings.plans.len(), PlanUsage::new(CALM_USE));
        if self.period != settings.meter_period {
            (self.period, self.meter) = (settings.meter_period, MeterClock::new(settings.meter_period));
        }
    }

    /// The coin: once per meter period its chance is set to what the quota and the estimated store allow over
    /// the offered rate. Takes a request of the customer, and the part of the quotas that there is room for.
    pub fn chance(&mut self, account: &mut Account, plan: &Plan, request: &Request, at: At) -> f64 {
        let now = at.1;
        account.spread = f64::from(request.spread.max(1));
        if plan.rate <= 0.0 {
            return 1.0;
        }
        // Not over less than what a rate is taken over: behind one gateway alone it would come out too low.
        account.heard.decay_to(now, plan.rate, (OWN_UNITS * account.spread).max(RATE_UNITS));
        let terms = self.terms((plan, request.plan), at);
        account.settle(terms, self.meter.max_age());
        if now >= account.chance_set + self.period {
            account.set_chance(terms, self.period);
        }
        // Counted after the chance is set: that a request came says nothing of how many others did. A further
        // try says nothing at all: it often comes back to the gateway that refused the first.
        match request.repeat {
            true => self.returns.record_retry(),
            false => {
                account.heard.add(request.units);
                self.usual[request.plan]
                    .record_arrival(eventually_admitted(account.chance, terms.again), SAMPLE / 3.0);
            }
        }
        // Guards against sends beyond the quota between two settings of the chance.
        if account.store.level_at(now, account.flow(terms))
            < account.unseen(terms, self.meter.delay_periods())
        {
            return CHANCE_FLOOR;
        }
        account.chance
    }

    fn terms<'a>(&self, (plan, index): (&'a Plan, usize), (room, now): At) -> Terms<'a> {
        let fear = FEARED + (1.0 - FEARED) * room;
        Terms { plan, usual: self.usual[index], fear, again: self.returns.probability(), now }
    }

    /// Takes a reading of the meter. They carry no number: the meter's clock says which period one is of.
    pub fn read(&mut self, account: &mut Account, (plan, index): (&Plan, usize), used: f64, at: At) {
        let (period, now) = (self.period, at.1);
        if plan.rate <= 0.0 || period <= 0.0 || !used.is_finite() {
            return;
        }
        let units = used * plan.rate * period / 1000.0;
        self.meter.observe(now, units, account.store.sends());
        let to = self.meter.covered_until(now);
        if to <= account.read {
            return;
        }
        account.read = to;
        let terms = self.terms((plan, index), (1.0, now));
        let flow = account.flow(terms);
        account.store.settle_until(to - period, flow);
        account.store.apply_reading(to, used, flow);
        let elsewhere = units - account.store.sends().between(to - period, to);
        // What is known of it rests on its readings by this part. What it was taken to offer:
        let known = account.others.confidence(now, decay(plan), PRIOR_UNITS);
        let offers = account.elsewhere(terms).1 / plan.rate;
        // Other gateways that know no more of it let in as much of it as all do of those who come.
        let own_part =
            eventually_admitted(account.chances.value_at(to - period / 2.0).unwrap_or(1.0), terms.again);
        let part = terms.usual.remote_admitted_fraction(own_part, known);
        let reading = UsageWindow { seconds: period / 1000.0, sent: elsewhere, offered: elsewhere / part };
        account.others.observe(now, decay(plan), reading, LEARN);
        // Own rate by own count: a reading comes here only for a period in which this gateway sent.
        let quotas = elsewhere / (plan.rate * period / 1000.0);
        let own = account.heard.per_second(RATE_UNITS / plan.rate) / plan.rate;
        let reading = CustomerReading {
            remote_sent: quotas,
            local_offered: own,
            admitted_fraction: part,
            estimated_offered: offers,
        };
        self.usual[index].observe(reading, SAMPLE * (1.0 - known));
        account.set_chance(self.terms((plan, index), at), period);
    }
}

fn decay(plan: &Plan) -> Decay {
    Decay { rate_per_s: plan.rate, units: RATE_UNITS }
}

impl Account {
    /// A customer that comes here first, to a gateway that has listened since it was `born`.
    pub fn new(plan: &Plan, spread: u32, born: Millis) -> Account {
        let (spread, never) = (f64::from(spread.max(1)), f64::MIN);
        Account {
            spread,
            store: SharedTokenBucket::new(START_STORE * plan.burst, born),
            chance: 1.0,
            chance_set: never,
            chances: ValueHistory::default(),
            heard: ExponentialRate::new(born),
            others: RemoteUsage::new(spread / plan.rate.max(f64::MIN_POSITIVE)),
            read: never,
        }
    }

    /// Notes a first attempt.
    pub fn sent(&mut self, plan: &Plan, units: f64, now: Millis) {
        // Without a rate nothing reads these, and nothing would take them off again.
        if plan.rate > 0.0 {
            self.store.record_send(now, units);
        }
    }

    /// Rates at which the other gateways send and are offered. What the readings of this customer do not
    /// tell is filled up with what its plan's customers usually do.
    fn elsewhere(&self, Terms { plan, usual, fear, now, .. }: Terms) -> (f64, f64) {
        let prior = PRIOR_UNITS / plan.rate;
        // One of n gateways sees one part in n of the time that all see together.
        let own = self.heard.seconds() / (self.spread - 1.0).max(f64::MIN_POSITIVE);
        let UsageWindow { seconds, sent, offered } = self.others.decayed(now, decay(plan));
        let offers = PRIOR_UNITS * fear * usual.offered + offered + self.heard.amount();
        ((PRIOR_UNITS * usual.sent + sent) / (prior + seconds), offers / (prior + seconds + own))
    }

    /// Units that other gateways have likely sent in a surge of which no reading tells yet: more, the more
    /// periods it takes until one tells.
    fn unseen(&self, Terms { plan, now, .. }: Terms, delay: f64) -> f64 {
        SURGE * delay * (self.spread - 1.0) * self.store.sent_beyond(now, plan.rate / self.spread)
    }

    /// What flows in and out of the store: the quota, and what the others likely send.
    fn flow(&self, terms: Terms) -> BucketFlow {
        BucketFlow {
            rate_per_s: terms.plan.rate,
            remote_per_s: self.elsewhere(terms).0,
            capacity: terms.plan.burst,
        }
    }

    /// Settles, and drops, what is too old for a reading to tell of.
    fn settle(&mut self, terms: Terms, reach: Millis) {
        let (keep, flow) = (terms.now - reach, self.flow(terms));
        self.store.discard_before(keep, flow);
        self.chances.discard_before(keep);
    }

    fn set_chance(&mut self, terms: Terms, period: Millis) {
        let (plan, now) = (terms.plan, terms.now);
        let offered = self.heard.per_second(RATE_UNITS / plan.rate) + self.elsewhere(terms).1;
        // The store is let out over some readings, so that the coin, by worth, refuses before it is empty.
        let span = RELEASE * period / 1000.0;
        let allowed =
            plan.rate + self.store.level_at(now, self.flow(terms)) / span.max(self.others.reading_gap_s());
        let part = if offered > allowed { allowed / offered } else { 1.0 };
        (self.chance, self.chance_set) = (attempt_probability(part, terms.again).max(CHANCE_FLOOR), now);
        self.chances.record(now, self.chance);
    }
}
