//! Settings of a gateway: request classes, plans, server behaviour and tuning.
//!
//! Settings are handed over to the next process as JSON, and operators see their names in errors. A renamed
//! field or variant keeps its outer name by `#[serde(rename)]`.

use super::validation::MAX_VALUE;
use super::{Millis, Request};
use serde::{Deserialize, Serialize};

/// The servers that deduplicate requests by idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Every server.
    All,
    /// The servers in the zone of the first attempt's server.
    Zone,
    /// The servers in the cell of the first attempt's server.
    Cell,
}

/// Whether a request may be sent again after an attempt that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "enum Effect")]
pub enum RetrySafety {
    /// Always: the request is idempotent.
    #[serde(rename = "Free")]
    Idempotent,
    /// The request has an idempotency key: servers in `scope` deduplicate it for `window` after the first
    /// attempt that may have run.
    Keyed {
        /// The servers that deduplicate it.
        scope: Scope,
        /// Deduplication window, in milliseconds.
        window: Millis,
    },
    /// Never.
    #[serde(rename = "Once")]
    NonIdempotent,
}

/// A request class.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Value of one request, 0 to 1e12: under overload the classes of the lowest value are rejected first.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Latency target, in milliseconds, above 0. A response within it has the full value.
    #[serde(rename = "aim")]
    pub latency_target: Millis,
    /// Time that a client spends on a request over all its own attempts, in milliseconds, above 0.
    pub deadline: Millis,
    /// Fraction of the value, 0 to 1, of a response after the latency target.
    #[serde(rename = "late_share")]
    pub late_value_fraction: f64,
    /// Whether requests may be sent again.
    #[serde(rename = "effect")]
    pub retry_safety: RetrySafety,
}

/// A plan. Its quota applies to each customer separately, over all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Plan {
    /// Quota, in units per second; 0: no quota.
    pub rate: f64,
    /// Burst of the quota, in units; above 0 if there is a quota.
    pub burst: f64,
    /// Maximum attempts of one customer in flight at one gateway; 0: no limit.
    #[serde(rename = "open")]
    pub max_in_flight: u32,
    /// Factor on the value of the customer's requests.
    #[serde(rename = "price")]
    pub value_factor: f64,
    /// Fraction of its value that a request served beyond the quota has.
    #[serde(rename = "over_worth")]
    pub over_quota_value_fraction: f64,
    /// Fraction of its value that an attempt sent beyond the quota costs.
    #[serde(rename = "over_cost")]
    pub over_quota_cost_fraction: f64,
    /// Hard rate limit, in units per second; 0: no hard limit.
    #[serde(rename = "ceiling_rate")]
    pub hard_limit_rate: f64,
    /// Burst of the hard rate limit, in units.
    #[serde(rename = "ceiling_burst")]
    pub hard_limit_burst: f64,
    /// Units above that burst that are tolerated.
    #[serde(rename = "ceiling_slack")]
    pub hard_limit_slack: f64,
}

impl Plan {
    /// Time in which all token buckets of a customer refill, in milliseconds; 0 without a quota and a hard
    /// rate limit.
    pub fn refill_time(&self) -> Millis {
        let fill = |burst: f64, rate: f64| if rate > 0.0 { burst / rate * 1000.0 } else { 0.0 };
        fill(self.burst, self.rate).max(fill(self.hard_limit_burst, self.hard_limit_rate))
    }
}

/// Settings of a gateway. Numbers are from 0 to 1e12 unless a field states its own range.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Number of gateways, at least 1.
    pub gateways: u32,
    /// Index of this gateway among them, from 0.
    pub ordinal: u32,
    /// Number of the zone of this gateway, in the host's numbering of the zones.
    pub zone: u16,
    /// Request classes; requests refer to them by index.
    pub classes: Vec<Class>,
    /// Plans; requests refer to them by index.
    pub plans: Vec<Plan>,
    /// Maximum units of one request, above 0.
    pub max_units: f64,
    /// Period over which the meter sums usage, in milliseconds; 0: there is no meter.
    pub meter_period: Millis,
    /// Maximum attempts per request, at least 1.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at once (hedging).
    #[serde(rename = "may_duplicate")]
    pub allow_hedging: bool,
    /// Whether attempts may be cancelled.
    #[serde(rename = "may_cancel")]
    pub allow_cancel: bool,
    /// Longest retry-after time that clients honour, in milliseconds; 0: retry-after is not sent.
    pub max_retry_after: Millis,
    /// Time within which sends to a draining or removed server must stop, in milliseconds.
    pub drain_grace: Millis,
    /// Lower bound of the fraction of its capacity that a server has when it starts.
    #[serde(rename = "cold_from")]
    pub warm_up_start_fraction: f64,
    /// Longest warm-up of a server, in milliseconds.
    #[serde(rename = "cold_for")]
    pub warm_up_duration: Millis,
    /// Load, as a multiple of its present capacity, at which a server in warm-up collapses if the load lasts
    /// for `collapse_after`.
    #[serde(rename = "tip_multiple")]
    pub collapse_load: f64,
    /// Time that a server in warm-up withstands `collapse_load`, in milliseconds.
    #[serde(rename = "tip_after")]
    pub collapse_after: Millis,
    /// Time between two calls of the host, in milliseconds.
    pub tick: Millis,
    /// Whether a gateway receives the server list only after it has requested it.
    pub list_on_request: bool,
    /// Tuning; the defaults suit most sites.
    #[serde(default)]
    pub tuning: Tuning,
}

/// Tuning of the decisions: depends on a site's network costs and on the distribution of its response times.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Tuning {
    /// Factor on the expected wait at servers of another zone, above 0; 1: zones make no difference.
    #[serde(rename = "far")]
    pub remote_zone_factor: f64,
    /// Fraction of the latency target after which a response, or an attempt in flight, counts as late, that
    /// is, as a sign of queueing at the server. Between the fraction that work takes on an idle server, and
    /// 1.
    #[serde(rename = "late")]
    pub late_after_fraction: f64,
    /// Fraction of the requests within quota that a new gateway admits until it has received responses, above
    /// 0.
    #[serde(rename = "start")]
    pub initial_admitted_fraction: f64,
    /// Retries that each first attempt adds to the retry budget.
    #[serde(rename = "retry_share")]
    pub retry_ratio: f64,
    /// Maximum of the retry budget, in retries. The budget is also limited to one retry per server.
    #[serde(rename = "retries")]
    pub max_retry_budget: f64,
    /// Whether an attempt at a hung server is cancelled and retried at another server.
    #[serde(rename = "replaces_silent", default = "replaces_hung_by_default")]
    pub replaces_hung: bool,
}

fn replaces_hung_by_default() -> bool {
    true
}

impl Default for Tuning {
    /// For zones with similar network costs, work that takes a small part of the latency target, and hundreds
    /// of gateways that may start at the same time without knowledge of each other.
    fn default() -> Self {
        Tuning {
            remote_zone_factor: 1.1,
            late_after_fraction: 0.35,
            initial_admitted_fraction: 0.5,
            retry_ratio: 0.15,
            max_retry_budget: MAX_VALUE,
            replaces_hung: replaces_hung_by_default(),
        }
    }
}

impl Default for Settings {
    /// One gateway, no classes, no plans, and a single attempt per request.
    fn default() -> Self {
        Settings {
            gateways: 1,
            ordinal: 0,
            zone: 0,
            classes: Vec::new(),
            plans: Vec::new(),
            max_units: 1.0,
            meter_period: 0.0,
            max_attempts: 1,
            allow_hedging: false,
            allow_cancel: false,
            max_retry_after: 0.0,
            drain_grace: 0.0,
            warm_up_start_fraction: 1.0,
            warm_up_duration: 0.0,
            collapse_load: 1.0,
            collapse_after: 0.0,
            tick: 1.0,
            list_on_request: false,
            tuning: Tuning::default(),
        }
    }
}

impl Settings {
    /// Whether the request's class and plan exist, and its units are finite and not negative.
    pub fn is_valid_request(&self, request: &Request) -> bool {
        let exists = request.class < self.classes.len() && request.plan < self.plans.len();
        exists && request.units.is_finite() && request.units >= 0.0
    }

    /// Fraction of its full capacity that a server has at this age, in milliseconds: a linear ramp from
    /// `warm_up_start_fraction` over `warm_up_duration`.
    pub(crate) fn slow_start_factor(&self, age: Millis) -> f64 {
        let ramp =
            if self.warm_up_duration > 0.0 { (age / self.warm_up_duration).clamp(0.0, 1.0) } else { 1.0 };
        self.warm_up_start_fraction + (1.0 - self.warm_up_start_fraction) * ramp
    }
}
