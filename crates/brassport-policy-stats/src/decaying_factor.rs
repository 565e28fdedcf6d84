//! An exponentially weighted moving average, and a factor that decays to 1.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// Adds a sample of this weight (0 to 1) to an exponentially weighted moving average.
pub fn ewma_update(average: &mut f64, sample: f64, weight: f64) {
    *average += weight * (sample - *average);
}

/// A moving average of a dimensionless factor that decays to 1 while it receives no samples.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Factor")]
pub struct DecayingFactor {
    value: f64,
    #[serde(rename = "at")]
    updated_at: Millis,
}

impl DecayingFactor {
    /// Creates a factor with the value 1.
    pub fn new(now: Millis) -> DecayingFactor {
        DecayingFactor { value: 1.0, updated_at: now }
    }

    /// Returns the value at `now`; its difference from 1 decays exponentially with `time_constant`.
    pub fn value_at(&self, now: Millis, time_constant: Millis) -> f64 {
        if self.value == 1.0 {
            return 1.0;
        }
        1.0 + (self.value - 1.0) * (-(now - self.updated_at).max(0.0) / time_constant).exp()
    }

    /// Applies the decay up to `now`.
    pub fn decay_to(&mut self, now: Millis, time_constant: Millis) {
        *self = DecayingFactor { value: self.value_at(now, time_constant), updated_at: now };
    }

    /// Adds a sample of this weight (0 to 1).
    pub fn observe(&mut self, sample: f64, weight: f64) {
        ewma_update(&mut self.value, sample, weight);
    }

    /// Adds a censored sample, of which only a lower bound is known. A bound below the average carries no
    /// information and is ignored.
    pub fn observe_lower_bound(&mut self, bound: f64, weight: f64) {
        if bound > self.value {
            self.observe(bound, weight);
        }
    }
}
