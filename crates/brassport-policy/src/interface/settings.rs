//! The settings of a gateway: classes, plans, rules of the servers, and tuning.

use super::validation::MAX_FIGURE;
use super::{Millis, Request};
use serde::{Deserialize, Serialize};

/// Which servers drop the repeat of a request with an idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Every server.
    All,
    /// The servers of the zone that the first attempt went to.
    Zone,
    /// The servers of the cell that the first attempt went to.
    Cell,
}

/// What a second run of a request does: its idempotency.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Idempotent: safe to repeat.
    Free,
    /// Has an idempotency key: servers of `scope` drop repeats for `window` after the first attempt that may
    /// have run.
    Keyed {
        /// Where repeats are dropped.
        scope: Scope,
        /// For how long, in milliseconds.
        window: Millis,
    },
    /// Must never run twice.
    Once,
}

/// A class of requests.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Value of one request: under overload classes of the lowest value are rejected first. 0 to 1e12.
    pub worth: f64,
    /// Latency target, in milliseconds: responses within it have the full value. Above 0.
    pub aim: Millis,
    /// Deadline of a client over all its attempts, in milliseconds. Above 0.
    pub deadline: Millis,
    /// Part of the value that a response past the latency target still has, 0 to 1.
    pub late_share: f64,
    /// What a second run does.
    pub effect: Effect,
}

/// A plan; its quota holds for each customer over all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Plan {
    /// Quota, units a second; 0: none.
    pub rate: f64,
    /// Burst of the quota, units. Above 0 if there is a quota.
    pub burst: f64,
    /// Most attempts of one customer in flight at one gateway; 0: no limit.
    pub open: u32,
    /// Factor on the value of the customer's requests.
    pub price: f64,
    /// Part of its value that a request served beyond the quota has.
    pub over_worth: f64,
    /// Part of its value that an attempt sent beyond the quota costs.
    pub over_cost: f64,
    /// Hard rate limit, units a second; 0: none.
    pub ceiling_rate: f64,
    /// Burst of the rate limit, units.
    pub ceiling_burst: f64,
    /// Units beyond that burst that are tolerated.
    pub ceiling_slack: f64,
}

impl Plan {
    /// Time in which all buckets of a customer fill, in milliseconds.
    pub fn refill_time(&self) -> Millis {
        let fill = |burst: f64, rate: f64| if rate > 0.0 { burst / rate * 1000.0 } else { 0.0 };
        fill(self.burst, self.rate).max(fill(self.ceiling_burst, self.ceiling_rate))
    }
}

/// The settings of a gateway. Unless stated otherwise figures are from 0 to 1e12.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Number of gateways; at least 1.
    pub gateways: u32,
    /// Which of them this gateway is, from 0.
    pub ordinal: u32,
    /// Zone of this gateway.
    pub zone: u16,
    /// Classes, by index.
    pub classes: Vec<Class>,
    /// Plans, by index.
    pub plans: Vec<Plan>,
    /// Most units that one request counts. Above 0.
    pub max_units: f64,
    /// Period over which the meter sums usage, in milliseconds; 0: no meter.
    pub meter_period: Millis,
    /// Most attempts of a request; at least 1.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at once (hedging).
    pub may_duplicate: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Longest advice to wait that clients follow, in milliseconds; 0: advice is not forwarded.
    pub max_retry_after: Millis,
    /// Time within which sends to a draining or removed server must stop, in milliseconds.
    pub drain_grace: Millis,
    /// Part of its capacity that a server has at its start, or more.
    pub cold_from: f64,
    /// Longest warm-up of a server, in milliseconds.
    pub cold_for: Millis,
    /// Multiple of its present capacity at which a server in warm-up collapses if it lasts for `tip_after`.
    pub tip_multiple: f64,
    /// See `tip_multiple`; in milliseconds.
    pub tip_after: Millis,
    /// Time between two calls of the host, in milliseconds.
    pub tick: Millis,
    /// Whether the server list comes only to gateways that request it.
    pub list_on_request: bool,
    /// Tuning; most sites need none.
    #[serde(default)]
    pub tuning: Tuning,
}

/// Figures of the decisions that depend on what a site's links cost and how its work takes time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Tuning {
    /// Factor on the expected wait at servers of another zone; 1: zones are alike. Above 0.
    pub far: f64,
    /// Part of the latency target beyond which a response, or an attempt in flight, is late: work queues.
    /// Between what work takes on an idle server and 1.
    pub late: f64,
    /// Part of what the quotas admit that a new gateway has capacity for, until it has seen responses. Above
    /// 0.
    pub start: f64,
    /// Retry budget: retries for each first attempt.
    pub retry_share: f64,
    /// Most retries that the budget accumulates, beside one for each server.
    pub retries: f64,
    /// Whether an attempt at a hung server is cancelled for one at another, while its client waits.
    #[serde(default = "replaces_silent_by_default")]
    pub replaces_silent: bool,
}

fn replaces_silent_by_default() -> bool {
    true
}

impl Default for Tuning {
    /// Zones are nearly alike, work takes a small part of the latency target, and hundreds of gateways may
    /// start at once, of which none knows of the others.
    fn default() -> Self {
        Tuning {
            far: 1.1,
            late: 0.35,
            start: 0.5,
            retry_share: 0.15,
            retries: MAX_FIGURE,
            replaces_silent: replaces_silent_by_default(),
        }
    }
}

impl Default for Settings {
    /// One gateway, no classes, no plans, and a single attempt for each request.
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
            may_duplicate: false,
            may_cancel: false,
            max_retry_after: 0.0,
            drain_grace: 0.0,
            cold_from: 1.0,
            cold_for: 0.0,
            tip_multiple: 1.0,
            tip_after: 0.0,
            tick: 1.0,
            list_on_request: false,
            tuning: Tuning::default(),
        }
    }
}

impl Settings {
    /// Whether a request has a class and a plan that exist, and a finite number of units not below 0.
    pub fn is_valid_request(&self, request: &Request) -> bool {
        let exists = request.class < self.classes.len() && request.plan < self.plans.len();
        exists && request.units.is_finite() && request.units >= 0.0
    }

    /// Part of its full capacity that a server has at this age: a linear ramp from `cold_from` over
    /// `cold_for`.
    pub(crate) fn slow_start_factor(&self, age: Millis) -> f64 {
        let ramp = if self.cold_for > 0.0 { (age / self.cold_for).clamp(0.0, 1.0) } else { 1.0 };
        self.cold_from + (1.0 - self.cold_from) * ramp
    }
}
