//! Averages: one step of an exponentially weighted average, and a factor that decays back to 1.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// One step of an exponentially weighted moving average: moves `average` towards `sample` by `weight` (0 to 1).
pub fn ewma_update(average: &mut f64, sample: f64, weight: f64) {
    *average += weight * (sample - *average);
}

/// A moving average of a dimensionless factor, which decays back to 1 while no sample comes.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Factor")]
pub struct DecayingFactor {
    value: f64,
    #[serde(rename = "at")]
    updated_at: Millis,
}

impl DecayingFactor {
    /// The factor 1.
    pub fn new(now: Millis) -> DecayingFactor {
        DecayingFactor { value: 1.0, updated_at: now }
    }

    /// The value at `now`; the difference from 1 decays with the time constant `time_constant`.
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

    /// Adds a censored sample, of which only a lower bound was measured: a bound below the average carries no
    /// information and is dropped.
    pub fn observe_lower_bound(&mut self, bound: f64, weight: f64) {
        if bound > self.value {
            self.observe(bound, weight);
        }
    }
}
