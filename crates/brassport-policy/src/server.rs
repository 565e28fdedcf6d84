//! One server: its attempts in flight, its pace, and outlier detection.
//!
//! A server is ejected after consecutive failures, for a time that doubles with each further one. Short of
//! that, each failure counts as a very slow response, so that a server that fails some of its requests gets
//! fewer.

use crate::interface::*;
use crate::load_balancer::Selection;
use crate::slow_start::WarmUp;
use brassport_policy_stats::{ejection_log_line, DecayingFactor};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Silence, in mean response times with an attempt in flight, after which a server is taken to hang.
pub const HUNG_SILENCE: f64 = 4.0;
/// Pace that a failure counts as, and the slowest that a response does.
const SLOWEST_PACE: f64 = 2.0 * HUNG_SILENCE;
/// Time constant, in mean response times, with which the learned pace decays to that of the others.
const PACE_DECAY: f64 = 20.0;
/// Consecutive failures that eject a server.
const EJECTION_FAILURES: u32 = 3;
/// First ejection time, in mean response times.
const EJECTION_TIME: f64 = 3.0;
/// Most doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Least pace: a server that was faster by chance must not draw all the work.
const MIN_PACE: f64 = 0.2;
/// Weight of a response in the pace.
const PACE_WEIGHT: f64 = 0.1;

/// Mean response times, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct MeanResponse {
    /// Over all classes.
    pub overall: Millis,
    /// Of the attempt's class, at least 1.
    pub class: Millis,
}

/// A server.
#[derive(Debug, Serialize, Deserialize)]
pub struct Server {
    /// Its line of the server list.
    pub entry: ServerEntry,
    /// When this gateway's attempts in flight were sent, the oldest first.
    #[serde(skip)]
    in_flight: VecDeque<Millis>,
    /// Response time as a multiple of the fleet's mean. It decays to 1, so that a server that was avoided is
    /// tried again.
    #[serde(rename = "slowness")]
    pace: DecayingFactor,
    #[serde(rename = "answered")]
    responded_at: Millis,
    #[serde(rename = "strikes")]
    consecutive_failures: u32,
    ejected_until: Millis,
    /// Its part of the choices while it was warming up; at 1 it has a turn. Kept while it drains, so that one
    /// that is listed off and on again has no more turns.
    #[serde(rename = "lot")]
    pub turn_credit: f64,
    /// Its warm-up, while it is ready and warming up.
    #[serde(rename = "cold")]
    pub warm_up: Option<WarmUp>,
}

impl Server {
    /// A server without a history, with this credit of turns in its warm-up.
    pub fn new(entry: ServerEntry, now: Millis, turn_credit: f64) -> Server {
        Server {
            entry,
            in_flight: VecDeque::new(),
            pace: DecayingFactor::new(now),
            responded_at: now,
            consecutive_failures: 0,
            ejected_until: 0.0,
            turn_credit,
            warm_up: None,
        }
    }

    /// Applies a new line of the list. A server that was launched anew has no history.
    pub fn update(&mut self, entry: ServerEntry, now: Millis) {
        if entry.launched_at.is_some() && entry.launched_at != self.entry.launched_at {
            self.consecutive_failures = 0;
            self.ejected_until = 0.0;
            self.pace = DecayingFactor::new(now);
        }
        self.entry = entry;
    }

    /// Records the start of an attempt.
    pub fn start_attempt(&mut self, now: Millis) {
        self.in_flight.push_back(now);
    }

    /// Records the end of an attempt that was sent at this moment.
    pub fn end_attempt(&mut self, sent: Millis) {
        let index = self.in_flight.iter().position(|at| *at == sent);
        index.and_then(|index| self.in_flight.remove(index));
    }

    /// Whether it was removed from the list and nothing is in flight.
    pub fn is_forgettable(&self) -> bool {
        self.entry.lifecycle == Lifecycle::Removed && self.in_flight.is_empty()
    }

    /// Whether the request may be sent to it at all: the retry of one with a key goes to servers that would
    /// drop it.
    pub fn may_serve(&self, selection: &Selection) -> bool {
        match (selection.retry_safety, selection.ran_at) {
            (RetrySafety::Keyed { scope: Scope::Zone, .. }, Some(ran_at)) => ran_at.zone == self.entry.zone,
            (RetrySafety::Keyed { scope: Scope::Cell, .. }, Some(ran_at)) => ran_at.cell == self.entry.cell,
            _ => true,
        }
    }

    /// Whether it is ejected. After that it gets one attempt, and more once that succeeded.
    pub fn is_ejected(&self, now: Millis) -> bool {
        let is_on_trial = self.consecutive_failures >= EJECTION_FAILURES && !self.in_flight.is_empty();
        now < self.ejected_until || is_on_trial
    }

    /// For how many mean response times it has had an attempt in flight and not responded. Hung, paused, slow
    /// or partitioned: from here it looks the same, and the reaction is the same.
    pub fn silence(&self, now: Millis, mean: Millis) -> f64 {
        let Some(oldest) = self.in_flight.front() else { return 0.0 };
        (now - oldest.max(self.responded_at)) / mean.max(1.0)
    }

    /// Expected wait of one more attempt, in mean response times of a server of relative capacity 1.
    pub fn expected_wait(&self, now: Millis, mean: Millis, zone_factor: f64) -> f64 {
        let pace = self.pace.value_at(now, PACE_DECAY * mean.max(1.0));
        let pace = pace.max(self.silence(now, mean) / 2.0).max(MIN_PACE);
        (self.in_flight.len() as f64 + 1.0) * pace * zone_factor / self.entry.relative_capacity()
    }

    /// Learns from the end of an attempt. Returns a log line if the server was ejected by it, or is no
    /// longer.
    pub fn record_outcome(&mut self, now: Millis, end: &AttemptEnd, mean: MeanResponse) -> Option<String> {
        self.pace.decay_to(now, PACE_DECAY * mean.overall.max(1.0));
        let before = self.consecutive_failures;
        let pace = (end.elapsed_ms() / mean.class).min(SLOWEST_PACE);
        match end.outcome {
            Outcome::Ok => {
                (self.consecutive_failures, self.ejected_until, self.responded_at) = (0, 0.0, now);
                self.pace.observe(pace, PACE_WEIGHT);
            }
            Outcome::Cancelled => self.pace.observe_lower_bound(pace, PACE_WEIGHT),
            Outcome::NotSent => {}
            // Also where the fault is the request's and not the server's, which looks the same from here.
            _ => {
                self.consecutive_failures += 1;
                self.pace.observe(SLOWEST_PACE, PACE_WEIGHT);
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
