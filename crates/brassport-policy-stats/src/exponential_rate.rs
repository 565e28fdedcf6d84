//! A rate that is averaged with exponentially decaying weights.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// An exponentially weighted rate: an amount and the observed time, both of which decay with age.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Fading")]
pub struct ExponentialRate {
    amount: f64,
    seconds: f64,
    #[serde(rename = "at")]
    updated_at: Millis,
}

impl ExponentialRate {
    /// An empty rate, observed from `now` on.
    pub fn new(now: Millis) -> ExponentialRate {
        ExponentialRate { amount: 0.0, seconds: 0.0, updated_at: now }
    }

    /// Decays the amount and the observed time up to `now` and adds the time since the last call.
    ///
    /// The time constant is `units / rate_per_s` seconds: after the time in which `units` arrive at that rate, a
    /// factor of 1/e of the past is left.
    pub fn decay_to(&mut self, now: Millis, rate_per_s: f64, units: f64) {
        let seconds = (now - self.updated_at) / 1000.0;
        let left = (-seconds * rate_per_s / units).exp();
        self.amount *= left;
        (self.seconds, self.updated_at) = (self.seconds * left + seconds, now);
    }

    /// Adds an amount at the moment of the last [`decay_to`](Self::decay_to).
    pub fn add(&mut self, amount: f64) {
        self.amount += amount;
    }

    /// The decayed amount.
    pub fn amount(&self) -> f64 {
        self.amount
    }

    /// The decayed observation time, in seconds.
    pub fn seconds(&self) -> f64 {
        self.seconds
    }

    /// The rate per second, averaged over no less than `min_seconds`, so that a first event is not taken for a high
    /// rate.
    pub fn per_second(&self, min_seconds: f64) -> f64 {
        self.amount / self.seconds.max(min_seconds)
    }
}
