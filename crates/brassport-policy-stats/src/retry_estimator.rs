//! Estimates how many rejected clients retry, and how their retries change the fraction of admitted clients.
//!
//! If each attempt is admitted with probability `p` and a rejected client retries with probability `r`, the
//! client is eventually admitted with probability `p / (1 - r (1 - p))`. It makes `1 / (1 - r (1 - p))`
//! attempts on average, the sum of a geometric series.

use serde::{Deserialize, Serialize};

/// Weight of the prior probability of 0, in rejections.
const PRIOR_REJECTIONS: f64 = 10.0;
/// Upper bound of the estimate: the number of a client's attempts is limited. Without a bound the quotient
/// could exceed 1, as clients also retry after failures.
const MAX_PROBABILITY: f64 = 0.8;

/// Estimates the probability that a rejected client retries. The rejections and retries at this instance are
/// a sample of those at all instances.
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

    /// Records a retry of a client, whichever instance rejected it.
    pub fn record_retry(&mut self) {
        self.retries += 1.0;
    }

    /// Returns the probability that a rejected client retries, from 0 to 0.8.
    pub fn probability(&self) -> f64 {
        (self.retries / (self.rejections + PRIOR_REJECTIONS)).min(MAX_PROBABILITY)
    }
}

/// Returns the fraction of clients that are eventually admitted, given the admission probability `p` of each
/// attempt and the retry probability `r`.
pub fn eventual_admission_fraction(p: f64, r: f64) -> f64 {
    p / (1.0 - r * (1.0 - p))
}

/// Returns the admission probability of each attempt with which the fraction `admitted` (0 to 1) of the
/// clients is eventually admitted, given the retry probability `r`. It is the inverse of
/// [`eventual_admission_fraction`], and equals quota / offered rate if the offered rate includes retries.
pub fn attempt_admission_probability(admitted: f64, r: f64) -> f64 {
    admitted * (1.0 - r) / (1.0 - admitted * r)
}
