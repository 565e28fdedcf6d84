//! An arrival rate with exponentially decaying weights.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// An exponentially weighted rate: the quotient of an amount and the time in which it was observed, both of
/// which decay with age.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Fading")]
pub struct ExponentialRate {
    amount: f64,
    seconds: f64,
    #[serde(rename = "at")]
    updated_at: Millis,
}

impl ExponentialRate {
    /// Creates a rate with the amount 0, observed from `now` on.
    pub fn new(now: Millis) -> ExponentialRate {
        ExponentialRate { amount: 0.0, seconds: 0.0, updated_at: now }
    }

    /// Decays the amount and the observed time up to `now` and adds the time since the last call.
    ///
    /// The time constant is `units / rate_per_s` seconds, which is the time in which `units` arrive at that
    /// rate.
    pub fn decay_to(&mut self, now: Millis, rate_per_s: f64, units: f64) {
        let seconds = (now - self.updated_at) / 1000.0;
        let retained = (-seconds * rate_per_s / units).exp();
        self.amount *= retained;
        (self.seconds, self.updated_at) = (self.seconds * retained + seconds, now);
    }

    /// Adds an amount at the time of the last [`decay_to`](Self::decay_to).
    pub fn add(&mut self, amount: f64) {
        self.amount += amount;
    }

    /// Returns the decayed amount.
    pub fn amount(&self) -> f64 {
        self.amount
    }

    /// Returns the decayed observation time, in seconds.
    pub fn seconds(&self) -> f64 {
        self.seconds
    }

    /// Returns the rate per second, averaged over at least `min_seconds`, so that a single early event does
    /// not appear as a high rate.
    pub fn per_second(&self, min_seconds: f64) -> f64 {
        self.amount / self.seconds.max(min_seconds)
    }
}
