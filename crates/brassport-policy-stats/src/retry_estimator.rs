//! How many rejected clients retry, and what that makes of an admission probability.
//!
//! If each attempt is admitted with probability `p` and a rejected client retries with probability `r`, it is admitted
//! in the end with probability `p / (1 - r (1 - p))`, after `1 / (1 - r (1 - p))` attempts on average: a geometric
//! series.

use serde::{Deserialize, Serialize};

/// Weight of the prior that nobody retries, in rejections.
const PRIOR_REJECTIONS: f64 = 10.0;
/// Highest probability that is believed: clients have a few attempts, not any number. Failures bring retries as well,
/// so that the plain quotient can exceed 1.
const MAX_PROBABILITY: f64 = 0.8;

/// Estimates the probability that a rejected client retries. What this instance sees is a sample of what all
/// instances see.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Returns")]
pub struct RetryEstimator {
    #[serde(rename = "turned_away")]
    rejections: f64,
    #[serde(rename = "again")]
    retries: f64,
}

impl RetryEstimator {
    /// Records a rejection.
    pub fn record_rejection(&mut self) {
        self.rejections += 1.0;
    }

    /// Records a retry of a client that this or another instance rejected.
    pub fn record_retry(&mut self) {
        self.retries += 1.0;
    }

    /// Probability that a rejected client retries, from 0 to 0.8.
    pub fn probability(&self) -> f64 {
        (self.retries / (self.rejections + PRIOR_REJECTIONS)).min(MAX_PROBABILITY)
    }
}

/// The fraction of clients that are admitted in the end, with admission probability `p` for each attempt and retry
/// probability `r`.
pub fn eventual_admission_fraction(p: f64, r: f64) -> f64 {
    p / (1.0 - r * (1.0 - p))
}

/// The admission probability for each attempt by which the fraction `part` (0 to 1) of the clients is admitted in the
/// end, with retry probability `r`: 1 - quota / offered is the matching rejection probability, with all attempts in the
/// offered rate.
pub fn attempt_admission_probability(part: f64, r: f64) -> f64 {
    part * (1.0 - r) / (1.0 - part * r)
}
