//! A token bucket, the form that both sides of a limit share.

use crate::Millis;

/// Tokens that are refilled at a rate up to a depth. One token is one request.
///
/// Rate and depth are arguments, as the configuration may change them at any time. The tokens may be below zero: a debt
/// that the refill pays off first.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_at: Millis,
}

impl TokenBucket {
    /// A bucket that held these tokens at that time.
    pub(crate) fn new(tokens: f64, refilled_at: Millis) -> TokenBucket {
        TokenBucket { tokens, refilled_at }
    }

    /// Adds what the time since the last refill yields, up to the depth. A clock that went back adds nothing.
    pub(crate) fn refill(&mut self, now: Millis, rate_per_s: f64, depth: f64) {
        let elapsed_s = now.saturating_sub(self.refilled_at) as f64 / 1000.0;
        self.tokens = (self.tokens + rate_per_s * elapsed_s).min(depth);
        self.refilled_at = now;
    }

    /// Tokens as of the last refill.
    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Takes one token, if there is a complete one.
    pub(crate) fn try_take_one(&mut self) -> bool {
        let has_one = self.tokens >= 1.0;
        if has_one {
            self.tokens -= 1.0;
        }
        has_one
    }

    /// How many of the wanted tokens could be taken now: complete ones, and none out of a debt.
    pub(crate) fn available(&self, wanted: f64) -> f64 {
        wanted.min(self.tokens.floor()).max(0.0)
    }

    /// Takes tokens that [`TokenBucket::available`] found.
    pub(crate) fn debit(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Milliseconds until one complete token is there at this rate; below zero if it is there already.
    pub(crate) fn until_one_ms(&self, rate_per_s: f64) -> f64 {
        // A rate near zero must not yield an infinite time.
        (1.0 - self.tokens) / rate_per_s.max(1e-6) * 1000.0
    }
}
