//! Adaptive concurrency limit: the fraction of the requests within quota that is admitted, and the number of
//! attempts that this gateway may have in flight.
//!
//! Both adapt to responses by additive increase and multiplicative decrease (AIMD). A response within a
//! configured fraction of its class's latency target is timely and raises them; a late response lowers them.
//! Requests beyond the limit are rejected early, the lowest value first, instead of queueing at the servers.

use crate::interface::Millis;
use serde::{Deserialize, Serialize};

/// Maximum time that one response accounts for, in latency targets, so that a single late response does not
/// weigh too much if responses are rare.
const MAX_RESPONSE_WEIGHT: f64 = 0.2;
/// Minimum admitted fraction. It is this low because retries may arrive at a hundred times the servers'
/// capacity.
const MIN_FRACTION: f64 = 0.01;
/// Relative decrease of the fraction by late responses during one latency target.
const FRACTION_DECREASE: f64 = 0.7;
/// Increase of the fraction by timely responses during one latency target, relative to the fraction plus
/// [`FRACTION_INCREASE_OFFSET`]. One late response in three is tolerated.
const FRACTION_INCREASE: f64 = 0.3;
/// See [`FRACTION_INCREASE`].
const FRACTION_INCREASE_OFFSET: f64 = 0.1;
/// Number of attempts per server, from all gateways together, that are assumed to cause no queueing,
/// regardless of the response times. The limit does not apply up to this gateway's share of them: idle
/// servers give no responses, so a limit that admits nothing would never rise again.
const IDLE_ATTEMPTS_PER_SERVER: f64 = 3.0;
/// Factor on the limit at a late response.
const LIMIT_DECREASE: f64 = 0.95;
/// Increase of the limit at a timely response, in attempts; it is doubled at a limit of
/// [`LIMIT_INCREASE_SCALE`]. Thus gateways with small limits converge to equal shares, and a limit of any
/// size stays about constant if one response in five is late.
const LIMIT_INCREASE: f64 = 0.05;
/// See [`LIMIT_INCREASE`].
const LIMIT_INCREASE_SCALE: f64 = 5.0;

/// Effect of a response on the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Timeliness {
    /// The response was within the configured fraction of the latency target: no sign of queueing at the
    /// server.
    Timely,
    /// The response was late or is overdue, or the server rejected the attempt.
    Late,
}

/// Estimated capacity of the servers.
#[derive(Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Room")]
pub struct ConcurrencyLimit {
    /// Fraction of the requests within quota that the servers have capacity for, 0.01 to 1.
    #[serde(rename = "part")]
    pub fraction: f64,
    #[serde(rename = "at")]
    adapted_at: Millis,
    /// Number of this gateway's attempts in flight up to which the servers count as idle.
    #[serde(rename = "idle")]
    idle_attempts: f64,
    /// Time of the last rejection by a server that was at capacity.
    #[serde(rename = "full_at")]
    pub server_overloaded_at: Millis,
    /// Maximum number of this gateway's attempts in flight.
    pub limit: f64,
    /// Whether the limit still increases by one per timely response, like TCP slow start.
    slow_start: bool,
}

impl ConcurrencyLimit {
    /// Creates a limit with this initial admitted fraction, 0 to 1.
    pub fn new(now: Millis, fraction: f64) -> ConcurrencyLimit {
        ConcurrencyLimit {
            fraction,
            adapted_at: now,
            idle_attempts: 0.0,
            server_overloaded_at: f64::MIN,
            limit: 1.0,
            slow_start: true,
        }
    }

    /// Applies the number of servers that accept requests, which are shared by `gateways`.
    pub fn set_servers(&mut self, servers: usize, gateways: u32) {
        self.idle_attempts = IDLE_ATTEMPTS_PER_SERVER * servers as f64 / f64::from(gateways);
        self.limit = self.limit.max(self.idle_attempts);
    }

    /// Number of attempts beyond those in flight up to which the servers count as idle; 0 or less if they are
    /// not idle. `None` if a server rejected an attempt for lack of capacity within the last latency target.
    pub fn idle_allowance(&self, now: Millis, latency_target: Millis, in_flight: f64) -> Option<f64> {
        (now >= self.server_overloaded_at + latency_target).then_some(self.idle_attempts - in_flight)
    }

    /// Fraction of the requests within quota that is admitted with `in_flight` attempts in flight.
    ///
    /// Prevents a surge from being admitted before its late responses arrive. Above the limit the fraction
    /// falls to 0 over two standard deviations of a Poisson count, so that random fluctuations do not cause
    /// rejections at a small limit.
    pub fn admitted_fraction(&self, in_flight: f64) -> f64 {
        let slack = 2.0 * self.limit.sqrt() + 1.0;
        ((self.limit + slack - in_flight) / slack).clamp(0.0, self.fraction)
    }

    /// Adapts to a response, or to an overdue one, with `in_flight` attempts that can still be in time.
    ///
    /// The fraction changes in proportion to the time since the last response, so that the adaptation does
    /// not depend on the number of gateways. Prevents overload by requests within quota, from a surge or from
    /// lost or slow servers: requests of the lowest value are rejected early. As a drawback, throughput is
    /// lost if responses are slow for reasons other than queueing.
    pub fn adapt(&mut self, now: Millis, latency_target: Millis, in_flight: f64, response: Timeliness) {
        let weight = ((now - self.adapted_at) / latency_target).min(MAX_RESPONSE_WEIGHT);
        self.adapted_at = now;
        if response == Timeliness::Timely {
            let increase = FRACTION_INCREASE * (self.fraction + FRACTION_INCREASE_OFFSET) * weight;
            self.fraction = (self.fraction + increase).min(1.0);
            // The limit is not raised while less than about half of it is in use, as nothing shows that the
            // servers could handle more.
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
