//! The adaptive concurrency limit: how much of what the quotas admit the servers have capacity for, and how
//! many attempts this gateway may have in flight.
//!
//! Both adapt to responses by additive increase and multiplicative decrease (AIMD): a response within the
//! wanted part of the class's latency target is timely and raises them, a late one lowers them. Requests
//! beyond are rejected early, the lowest value first, instead of queueing at the servers.

use crate::interface::Millis;
use serde::{Deserialize, Serialize};

/// Longest time that one response stands for, in latency targets: where few come, a late one is still only
/// one.
const MAX_RESPONSE_WEIGHT: f64 = 0.2;
/// Least admitted fraction: retries may come at a hundred times what the servers can do.
const MIN_FRACTION: f64 = 0.01;
/// Decrease of the fraction by late responses over one latency target, as a part of it.
const FRACTION_DECREASE: f64 = 0.7;
/// Increase of the fraction by timely responses over one latency target, as a part of it and of
/// `FRACTION_INCREASE_OFFSET` more: one late response in three is tolerated.
const FRACTION_INCREASE: f64 = 0.3;
const FRACTION_INCREASE_OFFSET: f64 = 0.1;
/// Attempts per server, of all gateways together, that make no queue whatever the response times. Up to this
/// gateway's share of them the limit is not applied: idle servers give no responses, and a closed limit would
/// stay closed.
const IDLE_ATTEMPTS_PER_SERVER: f64 = 3.0;
/// Factor on the limit at each late response.
const LIMIT_DECREASE: f64 = 0.95;
/// Growth of the limit at each timely response, in attempts; doubled at a limit of `LIMIT_INCREASE_SCALE`.
/// Gateways with small limits converge to equal shares, and one late response in five holds the limit at any
/// size.
const LIMIT_INCREASE: f64 = 0.05;
const LIMIT_INCREASE_SCALE: f64 = 5.0;

/// How a response counts for the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timeliness {
    /// In time: no queue at the server.
    Timely,
    /// Late, overdue, or rejected by the server.
    Late,
}

/// The learned capacity of the servers.
#[derive(Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Room")]
pub struct ConcurrencyLimit {
    /// Fraction of what the quotas admit that there is capacity for, 0.01 to 1.
    #[serde(rename = "part")]
    pub fraction: f64,
    #[serde(rename = "at")]
    adapted_at: Millis,
    /// This gateway's attempts in flight that leave the servers idle.
    #[serde(rename = "idle")]
    idle_attempts: f64,
    /// When a server last rejected a request as it was full.
    #[serde(rename = "full_at")]
    pub server_full_at: Millis,
    /// Limit on this gateway's attempts in flight.
    pub limit: f64,
    /// Whether the limit still grows by one for each response, as at the start of a TCP connection.
    slow_start: bool,
}

impl ConcurrencyLimit {
    /// A limit that starts with this fraction, 0 to 1.
    pub fn new(now: Millis, fraction: f64) -> ConcurrencyLimit {
        ConcurrencyLimit {
            fraction,
            adapted_at: now,
            idle_attempts: 0.0,
            server_full_at: f64::MIN,
            limit: 1.0,
            slow_start: true,
        }
    }

    /// Applies the number of servers that take requests, shared by so many gateways.
    pub fn set_servers(&mut self, servers: usize, gateways: u32) {
        self.idle_attempts = IDLE_ATTEMPTS_PER_SERVER * servers as f64 / f64::from(gateways);
        self.limit = self.limit.max(self.idle_attempts);
    }

    /// Attempts beyond those in flight that leave the servers idle; `None` if one rejected a request as it
    /// was full within the last latency target.
    pub fn idle_allowance(&self, now: Millis, latency_target: Millis, in_flight: f64) -> Option<f64> {
        (now >= self.server_full_at + latency_target).then_some(self.idle_attempts - in_flight)
    }

    /// The fraction of what the quotas admit that is admitted with so many attempts in flight.
    ///
    /// Guards against a surge that is admitted before its late responses arrive: beyond the limit the
    /// fraction falls, to 0 at two standard deviations (of a Poisson count) more, so that a small limit does
    /// not reject by chance.
    pub fn admitted_fraction(&self, in_flight: f64) -> f64 {
        let slack = 2.0 * self.limit.sqrt() + 1.0;
        ((self.limit + slack - in_flight) / slack).clamp(0.0, self.fraction)
    }

    /// Adapts to one response, or one overdue, with `in_flight` attempts that can still be in time.
    ///
    /// The fraction changes in proportion to the time since the last response, so that few gateways and many
    /// adapt alike. Guards against overload within the quotas, from a surge or from lost or slow servers: it
    /// ends in early rejections of the lowest value. Costs throughput if responses are slow without a queue.
    pub fn adapt(&mut self, now: Millis, latency_target: Millis, in_flight: f64, response: Timeliness) {
        let weight = ((now - self.adapted_at) / latency_target).min(MAX_RESPONSE_WEIGHT);
        self.adapted_at = now;
        if response == Timeliness::Timely {
            let increase = FRACTION_INCREASE * (self.fraction + FRACTION_INCREASE_OFFSET) * weight;
            self.fraction = (self.fraction + increase).min(1.0);
            // A limit that is not in use is not raised: nothing shows that the servers could do more.
            if 2.0 * (in_flight + 1.0) >= self.limit {
                let step = LIMIT_INCREASE * (1.0 + self.limit / LIMIT_INCREASE_SCALE);
                self.limit += if self.slow_start { 1.0 } else { step };
            }
        } else {
            self.slow_start = false;
            self.limit = (self.limit * LIMIT_DECREASE).max(self.idle_attempts).max(1.0);
            self.fraction = (self.fraction * (1.0 - FRACTION_DECREASE * weight)).max(MIN_FRACTION);
        }
    }
}
