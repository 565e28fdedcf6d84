//! Quota admission: keeps each customer, over all gateways together, to its quota.
//!
//! Each gateway rejects a customer's requests at random, with probability 1 - quota / offered: the random
//! refusal of "Stochastic breakdown model for an unreliable web server system". No gateway knows the rate
//! that all are offered. It is taken from the meter, whose reading comes back with a response: the customer's
//! usage over all gateways in a past period, as a multiple of its quota.
//!
//! * **Set once per meter period**, and at each new reading: the admission probability is what quota and
//!   burst allow, over the offered rate, corrected for retries ([`attempt_admission_probability`]).
//! * **Before a first reading** a customer is taken to use what its plan's customers typically use, and other
//!   gateways' readings are expected at the rate that an even share of the quota would bring.
//! * **A floor above 0** ([`MIN_PROBABILITY`]): at 0 no response would bring a reading, and the probability
//!   would stay.
//! * **The lowest value first**: the caller turns the customer's probability into one per class, by value.
//! * **Idle customers age out**: the caller forgets them once their buckets are full again.

use crate::interface::*;
use brassport_policy_stats::{
    attempt_admission_probability, eventual_admission_fraction, BucketFlow, CustomerReading, ExponentialRate,
    MeterClock, PlanUsage, ReadingDecay, RemoteUsage, RetryEstimator, SharedTokenBucket, UsageWindow,
    ValueHistory,
};
use serde::{Deserialize, Serialize};

/// Lowest admission probability: at 0 no response would bring a reading, and the probability would stay
/// there.
pub const MIN_PROBABILITY: f64 = 0.01;
/// Meter periods over which tokens left in the bucket are released.
const RELEASE_PERIODS: f64 = 6.0;
/// Units that each other gateway is assumed to send unseen in a surge, for each unit beyond an even share
/// here and each period of the meter's delay.
const SURGE_FACTOR: f64 = 0.8;
/// Part of its burst that a customer is assumed to have left when it first comes here: most have used little.
/// Admits too much of a heavy customer after a restart of this gateway.
const INITIAL_BUCKET: f64 = 0.75;
/// Units over which a rate is averaged: fewer say little about a rate.
const RATE_UNITS: f64 = 4.0;
/// Weight of a plan's typical usage beside the readings of one of its customers, in units.
const PRIOR_UNITS: f64 = 0.4;
/// Usage of a plan's customers before any reading, in quotas.
const PRIOR_USAGE: f64 = 0.5;
/// Multiple of its plan's typical offered load that a customer without readings is assumed to offer when the
/// servers have no capacity: what likely exceeds a quota is shed first then. With full capacity the multiple
/// is 1.
const OVERLOAD_PRIOR_FACTOR: f64 = 3.0;
/// Units of an even share of the quota over which the local rate decays.
const LOCAL_RATE_UNITS: f64 = 2.0;
/// Weight of a new gap between readings in their mean.
const GAP_WEIGHT: f64 = 0.3;
/// Weight of a reading in the plan's typical usage.
const READING_WEIGHT: f64 = 0.1;

/// The moment of a call, and the capacity then.
#[derive(Debug, Clone, Copy)]
pub struct Conditions {
    /// Fraction of what the quotas admit that the servers have capacity for, 0 to 1.
    pub capacity: f64,
    /// The moment.
    pub now: Millis,
}

/// A plan with its index in the settings.
#[derive(Debug, Clone, Copy)]
pub struct IndexedPlan<'a> {
    /// The plan.
    pub plan: &'a Plan,
    /// Its index.
    pub index: usize,
}

/// What is learned over all customers: the meter's clock, typical usage by plan, and retries.
#[derive(Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Admission")]
pub struct QuotaAdmission {
    #[serde(rename = "period")]
    meter_period: Millis,
    meter: MeterClock,
    #[serde(rename = "usual")]
    plan_usage: Vec<PlanUsage>,
    /// How many rejected clients retry.
    #[serde(rename = "returns")]
    pub retries: RetryEstimator,
}

/// What is known of one customer's use of its quota.
#[derive(Debug, Serialize, Deserialize)]
pub struct Account {
    /// Number of gateways through which the customer comes.
    #[serde(rename = "spread")]
    gateways: f64,
    /// The global token bucket: settled up to the last reading, with local sends that a later one may cover.
    #[serde(rename = "store")]
    bucket: SharedTokenBucket,
    #[serde(rename = "chance")]
    probability: f64,
    #[serde(rename = "chance_set")]
    probability_set_at: Millis,
    #[serde(rename = "chances")]
    probabilities: ValueHistory,
    /// Units offered to this gateway.
    #[serde(rename = "heard")]
    local_offered: ExponentialRate,
    /// Usage at the other gateways; readings are expected first as an even share of the quota would bring
    /// them.
    #[serde(rename = "others")]
    remote: RemoteUsage,
    /// End of the last period that a reading covered.
    #[serde(rename = "read")]
    read_until: Millis,
}

/// What an estimate about a customer rests on beside its account.
#[derive(Debug, Clone, Copy)]
struct Basis<'a> {
    plan: &'a Plan,
    usage: PlanUsage,
    /// Factor on the plan's typical offered load.
    offered_factor: f64,
    retry_probability: f64,
    now: Millis,
}

/// Estimated rates at the other gateways, units a second.
#[derive(Debug, Clone, Copy)]
struct RemoteRates {
    sent: f64,
    offered: f64,
}

fn decay(plan: &Plan) -> ReadingDecay {
    ReadingDecay { rate_per_s: plan.rate, units: RATE_UNITS }
}

impl QuotaAdmission {
    /// Nothing learned yet.
    pub fn new(settings: &Settings) -> QuotaAdmission {
        QuotaAdmission {
            meter_period: settings.meter_period,
            meter: MeterClock::new(settings.meter_period),
            plan_usage: vec![PlanUsage::new(PRIOR_USAGE); settings.plans.len()],
            retries: RetryEstimator::default(),
        }
    }

    /// Applies new settings, which must have no fewer plans.
    pub fn reconfigure(&mut self, settings: &Settings) {
        self.plan_usage.resize(settings.plans.len(), PlanUsage::new(PRIOR_USAGE));
        if self.meter_period != settings.meter_period {
            self.meter_period = settings.meter_period;
            self.meter = MeterClock::new(settings.meter_period);
        }
    }

    /// Records an arrival, and returns the admission probability that the customer's quota leaves to it, over
    /// all classes; 1 without a quota. It is set anew once per meter period.
    pub fn probability(
        &mut self,
        account: &mut Account,
        plan: &Plan,
        request: &Request,
        conditions: Conditions,
    ) -> f64 {
        let now = conditions.now;
        account.gateways = f64::from(request.customer_gateways.max(1));
        if plan.rate <= 0.0 {
            return 1.0;
        }
        // Over no less than what a rate is averaged over: a customer of one gateway would come out too low.
        let units = (LOCAL_RATE_UNITS * account.gateways).max(RATE_UNITS);
        account.local_offered.decay_to(now, plan.rate, units);
        let basis = self.basis(IndexedPlan { plan, index: request.plan }, conditions);
        account.discard_before(basis, self.meter.max_reading_age());
        if now >= account.probability_set_at + self.meter_period {
            account.set_probability(basis, self.meter_period);
        }
        self.record_arrival(account, request, basis);
        // Guards against sends beyond the quota between two settings of the probability.
        let unseen = account.unseen_surge(basis, self.meter.reporting_delay_periods());
        if account.bucket.level_at(now, account.flow(basis)) < unseen {
            return MIN_PROBABILITY;
        }
        account.probability
    }

    /// Counts an arrival, after the probability was set: that a request came says nothing of how many others
    /// did. A retry is not counted as load at all: it often comes to the gateway that rejected the first
    /// attempt.
    fn record_arrival(&mut self, account: &mut Account, request: &Request, basis: Basis) {
        if request.is_client_retry {
            return self.retries.record_retry();
        }
        account.local_offered.add(request.units);
        let admitted = eventual_admission_fraction(account.probability, basis.retry_probability);
        self.plan_usage[request.plan].record_arrival(admitted, READING_WEIGHT / 3.0);
    }

    fn basis<'a>(&self, plan: IndexedPlan<'a>, conditions: Conditions) -> Basis<'a> {
        Basis {
            plan: plan.plan,
            usage: self.plan_usage[plan.index],
            offered_factor: OVERLOAD_PRIOR_FACTOR + (1.0 - OVERLOAD_PRIOR_FACTOR) * conditions.capacity,
            retry_probability: self.retries.probability(),
            now: conditions.now,
        }
    }

    /// Applies a meter reading: `used` is the customer's usage over all gateways as a multiple of its quota.
    /// Readings carry no period: the meter's clock tells which one is covered. A second reading of a period
    /// is ignored.
    pub fn apply_reading(
        &mut self,
        account: &mut Account,
        indexed: IndexedPlan,
        used: f64,
        conditions: Conditions,
    ) {
        let (plan, period, now) = (indexed.plan, self.meter_period, conditions.now);
        if plan.rate <= 0.0 || period <= 0.0 || !used.is_finite() {
            return;
        }
        let units = used * plan.rate * period / 1000.0;
        self.meter.observe(now, units, account.bucket.sends());
        let to = self.meter.covered_period_end(now);
        if to <= account.read_until {
            return;
        }
        account.read_until = to;
        // The plan's typical usage without the factor for an overload: that is a precaution, not an estimate.
        let basis = self.basis(indexed, Conditions { capacity: 1.0, now });
        let reading = account.apply_reading(basis, Period { length: period, end: to }, Usage { used, units });
        let weight = READING_WEIGHT * (1.0 - reading.confidence);
        self.plan_usage[indexed.index].observe(reading.customer, weight);
        account.set_probability(self.basis(indexed, conditions), period);
    }
}

/// A meter period.
#[derive(Debug, Clone, Copy)]
struct Period {
    length: Millis,
    end: Millis,
}

/// A customer's usage in a meter period, as a multiple of the quota and in units.
#[derive(Debug, Clone, Copy)]
struct Usage {
    used: f64,
    units: f64,
}

/// What a reading says of a customer, and how well it was known before, 0 to 1.
#[derive(Debug, Clone, Copy)]
struct AppliedReading {
    customer: CustomerReading,
    confidence: f64,
}

impl Account {
    /// A customer that comes first to a gateway that has observed arrivals since `started_at`.
    pub fn new(plan: &Plan, gateways: u32, started_at: Millis) -> Account {
        let (gateways, never) = (f64::from(gateways.max(1)), f64::MIN);
        Account {
            gateways,
            bucket: SharedTokenBucket::new(INITIAL_BUCKET * plan.burst, started_at),
            probability: 1.0,
            probability_set_at: never,
            probabilities: ValueHistory::default(),
            local_offered: ExponentialRate::new(started_at),
            remote: RemoteUsage::new(gateways / plan.rate.max(f64::MIN_POSITIVE)),
            read_until: never,
        }
    }

    /// Records the send of a first attempt.
    pub fn record_send(&mut self, plan: &Plan, units: f64, now: Millis) {
        // Without a quota nothing reads these, and nothing would discard them.
        if plan.rate > 0.0 {
            self.bucket.record_send(now, units);
        }
    }

    fn apply_reading(&mut self, basis: Basis, period: Period, usage: Usage) -> AppliedReading {
        let (plan, now, start) = (basis.plan, basis.now, period.end - period.length);
        let flow = self.flow(basis);
        self.bucket.settle_until(start, flow);
        self.bucket.apply_reading(period.end, usage.used, flow);
        let remote_sent = usage.units - self.bucket.sends().units_between(start, period.end);
        // Estimates from before this reading.
        let confidence = self.remote.confidence(now, decay(plan), PRIOR_UNITS);
        let estimated_offered = self.remote_rates(basis).offered / plan.rate;
        // Other gateways that know the customer no better admit as much of it as of all customers.
        let middle = period.end - period.length / 2.0;
        let probability = self.probabilities.value_at(middle).unwrap_or(1.0);
        let admitted = eventual_admission_fraction(probability, basis.retry_probability);
        let admitted_fraction = basis.usage.remote_admitted_fraction(admitted, confidence);
        let offered = remote_sent / admitted_fraction;
        let window = UsageWindow { seconds: period.length / 1000.0, sent: remote_sent, offered };
        self.remote.observe(now, decay(plan), window, GAP_WEIGHT);
        // The local rate by local count: a reading comes only for a period in which this gateway sent.
        let customer = CustomerReading {
            remote_sent: remote_sent / (plan.rate * period.length / 1000.0),
            local_offered: self.local_offered.per_second(RATE_UNITS / plan.rate) / plan.rate,
            admitted_fraction,
            estimated_offered,
        };
        AppliedReading { customer, confidence }
    }

    /// Estimated rates at the other gateways: the customer's readings, with its plan's typical usage as the
    /// prior.
    fn remote_rates(&self, Basis { plan, usage, offered_factor, now, .. }: Basis) -> RemoteRates {
        let prior = PRIOR_UNITS / plan.rate;
        // One of n gateways sees one nth of the time that all see together.
        let local = self.local_offered.seconds() / (self.gateways - 1.0).max(f64::MIN_POSITIVE);
        let UsageWindow { seconds, sent, offered } = self.remote.decayed(now, decay(plan));
        let offers = PRIOR_UNITS * offered_factor * usage.offered + offered + self.local_offered.amount();
        RemoteRates {
            sent: (PRIOR_UNITS * usage.sent + sent) / (prior + seconds),
            offered: offers / (prior + seconds + local),
        }
    }

    /// Units that other gateways have likely sent in a surge that no reading covers yet: the more, the longer
    /// the meter's delay.
    fn unseen_surge(&self, Basis { plan, now, .. }: Basis, delay_periods: f64) -> f64 {
        let beyond = self.bucket.sent_above_rate(now, plan.rate / self.gateways);
        SURGE_FACTOR * delay_periods * (self.gateways - 1.0) * beyond
    }

    /// What flows in and out of the bucket: the quota, and what the other gateways likely send.
    fn flow(&self, basis: Basis) -> BucketFlow {
        BucketFlow {
            rate_per_s: basis.plan.rate,
            remote_per_s: self.remote_rates(basis).sent,
            capacity: basis.plan.burst,
        }
    }

    /// Settles and discards what is too old for a reading to cover.
    fn discard_before(&mut self, basis: Basis, max_age: Millis) {
        let (oldest, flow) = (basis.now - max_age, self.flow(basis));
        self.bucket.discard_before(oldest, flow);
        self.probabilities.discard_before(oldest);
    }

    fn set_probability(&mut self, basis: Basis, period: Millis) {
        let (plan, now) = (basis.plan, basis.now);
        let offered =
            self.local_offered.per_second(RATE_UNITS / plan.rate) + self.remote_rates(basis).offered;
        // Released over some readings, so that random rejection, by value, sets in before the bucket is
        // empty.
        let release_s = RELEASE_PERIODS * period / 1000.0;
        let tokens = self.bucket.level_at(now, self.flow(basis));
        let allowed = plan.rate + tokens / release_s.max(self.remote.reading_gap_s());
        let part = if offered > allowed { allowed / offered } else { 1.0 };
        self.probability = attempt_admission_probability(part, basis.retry_probability).max(MIN_PROBABILITY);
        self.probability_set_at = now;
        self.probabilities.record(now, self.probability);
    }
}
