//! Quota admission: limits each customer's usage, over all gateways together, to its quota.
//!
//! Each gateway rejects a customer's requests at random, with probability 1 - quota / offered rate: the
//! random refusal of "Stochastic breakdown model for an unreliable web server system". A single gateway does
//! not see the rate offered to all gateways. It estimates this rate from meter readings, which come with
//! responses: the customer's usage over all gateways in a past meter period, as a multiple of its quota.
//!
//! * **Update interval**: the admission probability is set once per meter period, and at each new reading. It
//!   is the rate that quota and burst allow, divided by the offered rate and corrected for client retries
//!   ([`attempt_admission_probability`]).
//! * **Before the first reading** of a customer, its usage is assumed to be typical for its plan, and
//!   readings are assumed to arrive as often as at an even split of the quota over the customer's gateways.
//! * **Minimum above 0** ([`MIN_PROBABILITY`]): at probability 0 no response would carry a reading, and the
//!   probability would never rise again.
//! * **Lowest value first**: the caller converts the customer's probability into one per class, by value.
//! * **Idle customers expire**: the caller removes them after their token buckets are full again.

use crate::interface::*;
use brassport_policy_stats::{
    attempt_admission_probability, eventual_admission_fraction, BucketFlow, CustomerReading, ExponentialRate,
    MeterClock, PlanUsage, ReadingDecay, RemoteUsage, RetryEstimator, SharedTokenBucket, UsageWindow,
    ValueHistory,
};
use serde::{Deserialize, Serialize};

/// Minimum admission probability: at 0 no response would carry a reading, and the probability would never
/// rise again.
pub const MIN_PROBABILITY: f64 = 0.01;
/// Number of meter periods over which the tokens in the bucket are spent.
const RELEASE_PERIODS: f64 = 6.0;
/// Units that each other gateway is assumed to send in a surge before a reading shows them: per unit that
/// this gateway sends above an even share of the quota, and per meter period of the meter's delay.
const SURGE_FACTOR: f64 = 0.8;
/// Fraction of its burst that a new customer is assumed to have left: most customers have used little. As a
/// drawback, a heavy customer is over-admitted after a restart of this gateway.
const INITIAL_BUCKET_FRACTION: f64 = 0.75;
/// Number of units over which a rate is averaged; an average over fewer would be too noisy.
const RATE_UNITS: f64 = 4.0;
/// Weight of the plan's typical usage relative to the readings of one of its customers, in units.
const PRIOR_UNITS: f64 = 0.4;
/// Assumed usage of a plan's customers before any reading, as a multiple of the quota.
const PRIOR_USAGE: f64 = 0.5;
/// Multiple of the plan's typical offered load that a customer without readings is assumed to offer when the
/// servers have no capacity left, so that load which is likely over quota is shed first. The multiple
/// decreases to 1 at full capacity.
const OVERLOAD_PRIOR_FACTOR: f64 = 3.0;
/// Units that pass at an even share of the quota during one time constant of the local offered rate.
const LOCAL_RATE_UNITS: f64 = 2.0;
/// Weight of a sample in the moving average of the time between readings.
const READING_INTERVAL_WEIGHT: f64 = 0.3;
/// Weight of a reading in the moving average of the plan's typical usage.
const READING_WEIGHT: f64 = 0.1;

/// Time and server capacity at a call.
#[derive(Debug, Clone, Copy)]
pub struct Conditions {
    /// Fraction of the requests within quota that the servers have capacity for, 0 to 1.
    pub capacity: f64,
    /// Time of the call.
    pub now: Millis,
}

/// A plan with its index in the settings.
#[derive(Debug, Clone, Copy)]
pub struct IndexedPlan<'a> {
    /// The plan's settings.
    pub plan: &'a Plan,
    /// Index of the plan in the settings.
    pub index: usize,
}

/// Statistics over all customers: the meter's clock, typical usage per plan, and client retries.
#[derive(Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Admission")]
pub struct QuotaAdmission {
    #[serde(rename = "period")]
    meter_period: Millis,
    meter: MeterClock,
    #[serde(rename = "usual")]
    plan_usage: Vec<PlanUsage>,
    /// Estimates the fraction of rejected clients that retry.
    #[serde(rename = "returns")]
    pub retries: RetryEstimator,
}

/// Statistics of one customer's use of its quota.
#[derive(Debug, Serialize, Deserialize)]
pub struct Account {
    /// Number of gateways that may receive the customer's requests.
    #[serde(rename = "spread")]
    gateways: f64,
    /// Token bucket over all gateways: final up to the last reading, plus the local sends that a later
    /// reading may cover.
    #[serde(rename = "store")]
    bucket: SharedTokenBucket,
    /// Admission probability over all classes.
    #[serde(rename = "chance")]
    probability: f64,
    #[serde(rename = "chance_set")]
    probability_set_at: Millis,
    #[serde(rename = "chances")]
    probabilities: ValueHistory,
    /// Rate of units offered to this gateway.
    #[serde(rename = "heard")]
    local_offered: ExponentialRate,
    /// Usage at the other gateways. Initially, readings are expected as often as at an even split of the
    /// quota over the customer's gateways.
    #[serde(rename = "others")]
    remote: RemoteUsage,
    /// End of the last meter period that a reading covered.
    #[serde(rename = "read")]
    read_until: Millis,
}

/// Inputs of estimates about a customer, in addition to its account.
#[derive(Debug, Clone, Copy)]
struct EstimateInput<'a> {
    plan: &'a Plan,
    usage: PlanUsage,
    /// Factor on the plan's typical offered load; see [`OVERLOAD_PRIOR_FACTOR`].
    offered_factor: f64,
    /// Probability that a rejected client retries.
    retry_probability: f64,
    now: Millis,
}

/// Estimated rates at the other gateways, in units per second.
#[derive(Debug, Clone, Copy)]
struct RemoteRates {
    sent: f64,
    offered: f64,
}

/// Decay of the usage statistics of a customer with this plan.
fn decay(plan: &Plan) -> ReadingDecay {
    ReadingDecay { rate_per_s: plan.rate, units: RATE_UNITS }
}

impl QuotaAdmission {
    /// Creates statistics without observations.
    pub fn new(settings: &Settings) -> QuotaAdmission {
        QuotaAdmission {
            meter_period: settings.meter_period,
            meter: MeterClock::new(settings.meter_period),
            plan_usage: vec![PlanUsage::new(PRIOR_USAGE); settings.plans.len()],
            retries: RetryEstimator::default(),
        }
    }

    /// Applies new settings, which must not have fewer plans. A changed meter period resets the meter clock.
    pub fn reconfigure(&mut self, settings: &Settings) {
        self.plan_usage.resize(settings.plans.len(), PlanUsage::new(PRIOR_USAGE));
        if self.meter_period != settings.meter_period {
            self.meter_period = settings.meter_period;
            self.meter = MeterClock::new(settings.meter_period);
        }
    }

    /// Records an arrival, and returns its admission probability by the customer's quota, over all classes; 1
    /// if the plan has no quota. The probability is updated once per meter period.
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
        // The time constant covers at least `RATE_UNITS` units; a shorter one would underestimate the rate of
        // a customer with a single gateway.
        let units = (LOCAL_RATE_UNITS * account.gateways).max(RATE_UNITS);
        account.local_offered.decay_to(now, plan.rate, units);
        let input = self.input(IndexedPlan { plan, index: request.plan }, conditions);
        account.discard_before(input, self.meter.max_reading_age());
        if now >= account.probability_set_at + self.meter_period {
            account.set_probability(input, self.meter_period);
        }
        self.record_arrival(account, request, input);
        // Limits over-admission in a surge until the next update of the probability.
        let unseen = account.unseen_surge(input, self.meter.reporting_delay_periods());
        if account.bucket.level_at(now, account.flow(input)) < unseen {
            return MIN_PROBABILITY;
        }
        account.probability
    }

    /// Records an arrival. Called after the probability was set, as the arrival that triggers an update says
    /// nothing about the rate and would bias it upwards. A client retry does not count as offered load: it
    /// often arrives at the gateway that rejected the first attempt.
    fn record_arrival(&mut self, account: &mut Account, request: &Request, input: EstimateInput) {
        if request.is_client_retry {
            return self.retries.record_retry();
        }
        account.local_offered.add(request.units);
        let admitted = eventual_admission_fraction(account.probability, input.retry_probability);
        self.plan_usage[request.plan].record_arrival(admitted, READING_WEIGHT / 3.0);
    }

    fn input<'a>(&self, plan: IndexedPlan<'a>, conditions: Conditions) -> EstimateInput<'a> {
        EstimateInput {
            plan: plan.plan,
            usage: self.plan_usage[plan.index],
            offered_factor: OVERLOAD_PRIOR_FACTOR + (1.0 - OVERLOAD_PRIOR_FACTOR) * conditions.capacity,
            retry_probability: self.retries.probability(),
            now: conditions.now,
        }
    }

    /// Applies a meter reading: `used` is the customer's usage over all gateways as a multiple of its quota.
    /// Readings do not say which meter period they cover; the meter clock estimates it. A second reading for
    /// the same period is ignored.
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
        let period_end = self.meter.covered_period_end(now);
        if period_end <= account.read_until {
            return;
        }
        account.read_until = period_end;
        // Without the overload factor on the plan's typical usage: that factor is a precaution, not an
        // estimate.
        let input = self.input(indexed, Conditions { capacity: 1.0, now });
        let reading =
            account.apply_reading(input, Period { length: period, end: period_end }, Usage { used, units });
        let weight = READING_WEIGHT * (1.0 - reading.confidence);
        self.plan_usage[indexed.index].observe(reading.customer, weight);
        account.set_probability(self.input(indexed, conditions), period);
    }
}

/// A meter period, in milliseconds.
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

/// Result of applying a reading: the customer's usage, and the confidence (0 to 1) in the estimates before
/// it.
#[derive(Debug, Clone, Copy)]
struct AppliedReading {
    customer: CustomerReading,
    confidence: f64,
}

impl Account {
    /// Creates the account of a new customer. The gateway has observed arrivals since `started_at`.
    pub fn new(plan: &Plan, gateways: u32, started_at: Millis) -> Account {
        let (gateways, never) = (f64::from(gateways.max(1)), f64::MIN);
        Account {
            gateways,
            bucket: SharedTokenBucket::new(INITIAL_BUCKET_FRACTION * plan.burst, started_at),
            probability: 1.0,
            probability_set_at: never,
            probabilities: ValueHistory::default(),
            local_offered: ExponentialRate::new(started_at),
            remote: RemoteUsage::new(gateways / plan.rate.max(f64::MIN_POSITIVE)),
            read_until: never,
        }
    }

    /// Records the send of a request's first attempt.
    pub fn record_send(&mut self, plan: &Plan, units: f64, now: Millis) {
        // Without a quota nothing would read the recorded sends or discard old ones.
        if plan.rate > 0.0 {
            self.bucket.record_send(now, units);
        }
    }

    fn apply_reading(&mut self, input: EstimateInput, period: Period, usage: Usage) -> AppliedReading {
        let (plan, now, start) = (input.plan, input.now, period.end - period.length);
        let flow = self.flow(input);
        self.bucket.settle_until(start, flow);
        self.bucket.apply_reading(period.end, usage.used, flow);
        let remote_sent = usage.units - self.bucket.sends().units_between(start, period.end);
        // Neither the confidence nor the estimated offered load may include this reading.
        let confidence = self.remote.confidence(now, decay(plan), PRIOR_UNITS);
        let estimated_offered = self.remote_rates(input).offered / plan.rate;
        // If little is known about the customer, the other gateways are assumed to admit the same fraction of
        // its requests as of all customers' requests.
        let middle = period.end - period.length / 2.0;
        let probability = self.probabilities.value_at(middle).unwrap_or(1.0);
        let admitted = eventual_admission_fraction(probability, input.retry_probability);
        let admitted_fraction = input.usage.remote_admitted_fraction(admitted, confidence);
        let offered = remote_sent / admitted_fraction;
        let window = UsageWindow { seconds: period.length / 1000.0, sent: remote_sent, offered };
        self.remote.observe(now, decay(plan), window, READING_INTERVAL_WEIGHT);
        // The local offered rate is counted locally, not taken from the reading: readings cover only periods
        // in which this gateway sent, so they would overestimate it.
        let customer = CustomerReading {
            remote_sent: remote_sent / (plan.rate * period.length / 1000.0),
            local_offered: self.local_offered.per_second(RATE_UNITS / plan.rate) / plan.rate,
            admitted_fraction,
            estimated_offered,
        };
        AppliedReading { customer, confidence }
    }

    /// Estimates the rates at the other gateways from the customer's readings, with its plan's typical usage
    /// as the prior.
    fn remote_rates(
        &self,
        EstimateInput { plan, usage, offered_factor, now, .. }: EstimateInput,
    ) -> RemoteRates {
        let prior = PRIOR_UNITS / plan.rate;
        // Each of the other n - 1 gateways is assumed to be offered the local rate: together they are offered
        // the local units in 1 / (n - 1) of the local time.
        let local_seconds = self.local_offered.seconds() / (self.gateways - 1.0).max(f64::MIN_POSITIVE);
        let UsageWindow { seconds, sent, offered } = self.remote.decayed(now, decay(plan));
        let remote_offered =
            PRIOR_UNITS * offered_factor * usage.offered + offered + self.local_offered.amount();
        RemoteRates {
            sent: (PRIOR_UNITS * usage.sent + sent) / (prior + seconds),
            offered: remote_offered / (prior + seconds + local_seconds),
        }
    }

    /// Estimates the units that other gateways have sent in a surge that no reading covers yet, in proportion
    /// to the meter's delay.
    fn unseen_surge(&self, EstimateInput { plan, now, .. }: EstimateInput, delay_periods: f64) -> f64 {
        let excess = self.bucket.sent_above_rate(now, plan.rate / self.gateways);
        SURGE_FACTOR * delay_periods * (self.gateways - 1.0) * excess
    }

    /// Inflow and outflow of the bucket: the quota, and the estimated sends of the other gateways.
    fn flow(&self, input: EstimateInput) -> BucketFlow {
        BucketFlow {
            rate_per_s: input.plan.rate,
            remote_per_s: self.remote_rates(input).sent,
            capacity: input.plan.burst,
        }
    }

    /// Finalizes and discards entries that are too old to be covered by a future reading.
    fn discard_before(&mut self, input: EstimateInput, max_age: Millis) {
        let (oldest, flow) = (input.now - max_age, self.flow(input));
        self.bucket.discard_before(oldest, flow);
        self.probabilities.discard_before(oldest);
    }

    /// Sets the admission probability from the allowed rate and the estimated offered rate.
    fn set_probability(&mut self, input: EstimateInput, period: Millis) {
        let (plan, now) = (input.plan, input.now);
        let offered =
            self.local_offered.per_second(RATE_UNITS / plan.rate) + self.remote_rates(input).offered;
        // Tokens are spent over several readings, so that random rejection by class value starts before the
        // bucket is empty.
        let release_s = RELEASE_PERIODS * period / 1000.0;
        let tokens = self.bucket.level_at(now, self.flow(input));
        let allowed = plan.rate + tokens / release_s.max(self.remote.reading_gap_s());
        let fraction = if offered > allowed { allowed / offered } else { 1.0 };
        self.probability =
            attempt_admission_probability(fraction, input.retry_probability).max(MIN_PROBABILITY);
        self.probability_set_at = now;
        self.probabilities.record(now, self.probability);
    }
}
