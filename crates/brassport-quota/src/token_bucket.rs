//! The token bucket that nodes and the coordinator use.

use crate::Millis;

/// A token bucket; one token is one request.
///
/// Rate and depth are arguments of each refill, as the configuration may change them at any time. A negative
/// number of tokens is a debt, which the refill pays off first.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// Creates a bucket that contains `tokens` at the time `refilled_at`.
    pub(crate) fn new(tokens: f64, refilled_at: Millis) -> TokenBucket {
        TokenBucket { tokens, refilled_at }
    }

    /// Adds the tokens that accrued since the last refill, up to the depth. Adds none if the clock went back.
    pub(crate) fn refill(&mut self, now: Millis, rate_per_s: f64, depth: f64) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.tokens = (self.tokens + rate_per_s * elapsed_s).min(depth);
        self.refilled_at = now;
    }

    /// Returns the tokens, as of the last refill.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Takes a token if the bucket contains at least one. Returns whether the token was taken.
    pub(crate) fn try_take_one(&mut self) -> bool {
        let has_one = self.tokens >= 1.0;
        if has_one {
            self.tokens -= 1.0;
        }
        has_one
    }

    /// Returns how many of the wanted tokens the bucket contains: a whole number, 0 if it is in debt.
    pub(crate) fn available(&self, wanted: f64) -> f64 {
        wanted.min(self.tokens.floor()).max(0.0)
    }

    /// Takes tokens that [`TokenBucket::available`] returned.
    pub(crate) fn debit(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Returns the time until the bucket contains one token at this rate, in milliseconds; negative if it
    /// contains more.
    pub(crate) fn until_one_ms(&self, rate_per_s: f64) -> f64 {
        // The lower bound prevents an infinite result for a rate of or near 0.
        (1.0 - self.tokens) / rate_per_s.max(1e-6) * 1000.0
    }
}
