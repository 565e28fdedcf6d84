//! A local token bucket.

use crate::Millis;
use serde::{Deserialize, Serialize};

/// A token bucket. Rate and capacity are arguments of each refill, as both may be reconfigured.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Store")]
pub struct TokenBucket {
    level: f64,
    #[serde(rename = "at")]
    refilled_at: Millis,
}

impl TokenBucket {
    /// Creates an empty bucket, whose refill starts at `now`.
    pub fn empty(now: Millis) -> TokenBucket {
        TokenBucket { level: 0.0, refilled_at: now }
    }

    /// Adds the tokens that accrued since the last refill, up to `capacity`.
    pub fn refill(&mut self, now: Millis, rate_per_s: f64, capacity: f64) {
        self.level = (self.level + (now - self.refilled_at).max(0.0) / 1000.0 * rate_per_s).min(capacity);
        self.refilled_at = now;
    }

    /// Takes this number of tokens if the bucket contains at least as many. Returns whether the tokens were
    /// taken.
    pub fn try_take(&mut self, tokens: f64) -> bool {
        let is_available = self.level >= tokens;
        self.level -= if is_available { tokens } else { 0.0 };
        is_available
    }
}
