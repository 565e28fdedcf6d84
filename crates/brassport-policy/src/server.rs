//! State of one server: attempts in flight, latency ratio, and outlier detection.
//!
//! A server is ejected after consecutive failures, for a time that doubles with each further failure. In
//! addition each failure counts as a very slow response, so that a server that fails some of its requests
//! gets fewer of them.

use crate::interface::*;
use crate::load_balancer::Selection;
use crate::slow_start::WarmUp;
use brassport_policy_stats::{ejection_log_line, DecayingFactor};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Time without a response while an attempt is in flight, in mean response times, after which a server is
/// presumed hung.
pub const HUNG_SILENCE: f64 = 4.0;
/// Maximum latency ratio of a response, and the latency ratio that a failure counts as.
const MAX_LATENCY_RATIO: f64 = 2.0 * HUNG_SILENCE;
/// Time constant of the decay of the latency ratio to 1, the mean of all servers, in mean response times.
const LATENCY_RATIO_DECAY: f64 = 20.0;
/// Number of consecutive failures that eject a server.
const EJECTION_FAILURES: u32 = 3;
/// Duration of the first ejection, in mean response times of the attempt's class.
const EJECTION_TIME: f64 = 3.0;
/// Maximum number of doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Minimum latency ratio, so that a server that was faster by chance does not attract all requests.
const MIN_LATENCY_RATIO: f64 = 0.2;
/// Weight of a response in the moving average of the latency ratio.
const LATENCY_RATIO_WEIGHT: f64 = 0.1;

/// Mean response times, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct MeanResponse {
    /// Mean over all classes.
    pub overall: Millis,
    /// Mean of the attempt's class, at least 1.
    pub class: Millis,
}

/// A server with the statistics that this gateway has collected about it.
#[derive(Debug, Serialize, Deserialize)]
pub struct Server {
    /// Entry in the server list.
    pub entry: ServerEntry,
    /// Send times of this gateway's attempts in flight, oldest first.
    #[serde(skip)]
    in_flight: VecDeque<Millis>,
    /// Response time as a multiple of the fleet's mean. It decays to 1, so that a slow server is tried again
    /// after a while.
    #[serde(rename = "slowness")]
    latency_ratio: DecayingFactor,
    /// Time of the last response.
    #[serde(rename = "answered")]
    responded_at: Millis,
    #[serde(rename = "strikes")]
    consecutive_failures: u32,
    ejected_until: Millis,
    /// Share of the choices that the server has accumulated in warm-up; 1 is a complete turn. Kept while the
    /// server drains, so that a server that is removed from the list and added again gets no additional
    /// turns.
    #[serde(rename = "lot")]
    pub turn_credit: f64,
    /// Present while the server is ready and in warm-up.
    #[serde(rename = "cold")]
    pub warm_up: Option<WarmUp>,
}

impl Server {
    /// Creates a server without a history. `turn_credit` is its initial credit in a warm-up, 0 to 1.
    pub fn new(entry: ServerEntry, now: Millis, turn_credit: f64) -> Server {
        Server {
            entry,
            in_flight: VecDeque::new(),
            latency_ratio: DecayingFactor::new(now),
            responded_at: now,
            consecutive_failures: 0,
            ejected_until: 0.0,
            turn_credit,
            warm_up: None,
        }
    }

    /// Applies a new entry of the server list. A relaunched server loses its history.
    pub fn update(&mut self, entry: ServerEntry, now: Millis) {
        if entry.launched_at.is_some() && entry.launched_at != self.entry.launched_at {
            self.consecutive_failures = 0;
            self.ejected_until = 0.0;
            self.latency_ratio = DecayingFactor::new(now);
        }
        self.entry = entry;
    }

    /// Records the start of an attempt at time `now`.
    pub fn start_attempt(&mut self, now: Millis) {
        self.in_flight.push_back(now);
    }

    /// Records the end of an attempt that was sent at time `sent`.
    pub fn end_attempt(&mut self, sent: Millis) {
        let index = self.in_flight.iter().position(|at| *at == sent);
        index.and_then(|index| self.in_flight.remove(index));
    }

    /// Whether the server is not in the list any more and has no attempts in flight.
    pub fn is_removable(&self) -> bool {
        self.entry.lifecycle == Lifecycle::Removed && self.in_flight.is_empty()
    }

    /// Whether the request may be sent to this server at all: the retry of a request with an idempotency key
    /// may only go to servers that deduplicate it.
    pub fn may_serve(&self, selection: &Selection) -> bool {
        match (selection.retry_safety, selection.ran_at) {
            (RetrySafety::Keyed { scope: Scope::Zone, .. }, Some(ran_at)) => ran_at.zone == self.entry.zone,
            (RetrySafety::Keyed { scope: Scope::Cell, .. }, Some(ran_at)) => ran_at.cell == self.entry.cell,
            _ => true,
        }
    }

    /// Whether the server is ejected. After an ejection it gets one attempt, and further ones after that
    /// attempt has succeeded.
    pub fn is_ejected(&self, now: Millis) -> bool {
        let has_probe_in_flight =
            self.consecutive_failures >= EJECTION_FAILURES && !self.in_flight.is_empty();
        now < self.ejected_until || has_probe_in_flight
    }

    /// Time for which the server has had an attempt in flight without responding, as a multiple of the mean
    /// response time; 0 without an attempt in flight. A gateway cannot distinguish a hung, paused, slow or
    /// partitioned server, and reacts to each of them in the same way.
    pub fn silence(&self, now: Millis, mean: Millis) -> f64 {
        let Some(oldest) = self.in_flight.front() else { return 0.0 };
        (now - oldest.max(self.responded_at)) / mean.max(1.0)
    }

    /// Expected wait of another attempt, in mean response times of a server of relative capacity 1.
    pub fn expected_wait(&self, now: Millis, mean: Millis, zone_factor: f64) -> f64 {
        let latency_ratio = self.latency_ratio.value_at(now, LATENCY_RATIO_DECAY * mean.max(1.0));
        let latency_ratio = latency_ratio.max(self.silence(now, mean) / 2.0).max(MIN_LATENCY_RATIO);
        (self.in_flight.len() as f64 + 1.0) * latency_ratio * zone_factor / self.entry.relative_capacity()
    }

    /// Updates the statistics with the end of an attempt. Returns a log line if this ejected the server, or
    /// ended its ejection.
    pub fn record_outcome(&mut self, now: Millis, end: &AttemptEnd, mean: MeanResponse) -> Option<String> {
        self.latency_ratio.decay_to(now, LATENCY_RATIO_DECAY * mean.overall.max(1.0));
        let before = self.consecutive_failures;
        let latency_ratio = (end.elapsed_ms() / mean.class).min(MAX_LATENCY_RATIO);
        match end.outcome {
            Outcome::Ok => {
                (self.consecutive_failures, self.ejected_until, self.responded_at) = (0, 0.0, now);
                self.latency_ratio.observe(latency_ratio, LATENCY_RATIO_WEIGHT);
            }
            Outcome::Cancelled => self.latency_ratio.observe_lower_bound(latency_ratio, LATENCY_RATIO_WEIGHT),
            Outcome::NotSent => {}
            // A fault of the request instead of the server cannot be distinguished here, and counts as well.
            _ => {
                self.consecutive_failures += 1;
                self.latency_ratio.observe(MAX_LATENCY_RATIO, LATENCY_RATIO_WEIGHT);
                if matches!(end.outcome, Outcome::Overloaded | Outcome::Error) {
                    self.responded_at = now;
                }
            }
        }
        let failures = self.consecutive_failures;
        if failures >= EJECTION_FAILURES {
            let doublings = (failures - EJECTION_FAILURES).min(MAX_EJECTION_DOUBLINGS);
            self.ejected_until = now + EJECTION_TIME * mean.class * f64::from(1u32 << doublings);
        }
        ejection_log_line(self.entry.id, before >= EJECTION_FAILURES, failures, EJECTION_FAILURES)
    }
}
