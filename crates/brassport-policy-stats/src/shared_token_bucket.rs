//! Estimates the level of a token bucket that several instances share.

use crate::{Millis, SendLog};
use serde::{Deserialize, Serialize};

/// The rates into and out of the bucket, and its capacity.
#[derive(Debug, Clone, Copy)]
pub struct BucketFlow {
    /// Refill rate, in units per second.
    pub rate_per_s: f64,
    /// Estimated rate at which other instances take units, in units per second.
    pub remote_per_s: f64,
    /// Capacity, in units.
    pub capacity: f64,
}

/// A shared token bucket: its level at the settled time, and the recent sends of this instance.
///
/// The level is settled up to the end of the last period whose usage is taken into account, from a meter
/// reading or, for periods too old for a reading, from an estimate. From the settled time on it is estimated
/// from the refill, the sends of this instance and the estimated usage of the others.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(expecting = "struct Shared")]
pub struct SharedTokenBucket {
    level: f64,
    #[serde(rename = "told")]
    settled_until: Millis,
    sends: SendLog,
}

impl SharedTokenBucket {
    /// Creates a bucket with this level at the time `settled_until`.
    pub fn new(level: f64, settled_until: Millis) -> SharedTokenBucket {
        SharedTokenBucket { level, settled_until, sends: SendLog::default() }
    }

    /// Returns the time up to which the level is settled.
    pub fn settled_until(&self) -> Millis {
        self.settled_until
    }

    /// Returns the sends of this instance that a reading may still cover.
    pub fn sends(&self) -> &SendLog {
        &self.sends
    }

    /// Records units sent by this instance.
    pub fn record_send(&mut self, now: Millis, units: f64) {
        self.sends.record(now, units);
    }

    /// Estimates the level, from 0 to the capacity, at a time that is not earlier than the settled time.
    pub fn level_at(&self, at: Millis, flow: BucketFlow) -> f64 {
        let net_refill = (flow.rate_per_s - flow.remote_per_s) * (at - self.settled_until) / 1000.0;
        (self.level + net_refill - self.sends.units_between(self.settled_until, at)).clamp(0.0, flow.capacity)
    }

    /// Settles the level at its estimate for `to`, for periods without a reading.
    pub fn settle_until(&mut self, to: Millis, flow: BucketFlow) {
        if to > self.settled_until {
            self.level = self.level_at(to, flow);
            self.settled_until = to;
        }
    }

    /// Settles the level up to `oldest` and discards earlier sends, which no reading can cover any more.
    pub fn discard_before(&mut self, oldest: Millis, flow: BucketFlow) {
        self.settle_until(oldest, flow);
        self.sends.discard_before(oldest);
    }

    /// Settles the level up to `to` with a reading: from the settled time to `to`, all instances together
    /// used the refill times `used`.
    pub fn apply_reading(&mut self, to: Millis, used: f64, flow: BucketFlow) {
        let seconds = (to - self.settled_until).max(0.0) / 1000.0;
        self.level = (self.level + (1.0 - used) * flow.rate_per_s * seconds).clamp(0.0, flow.capacity);
        self.settled_until = self.settled_until.max(to);
    }

    /// Returns by how many units the sends of this instance since the settled time exceed this rate; 0 if
    /// they don't.
    pub fn sent_above_rate(&self, now: Millis, rate_per_s: f64) -> f64 {
        let sent = self.sends.units_between(self.settled_until, now);
        (sent - rate_per_s * (now - self.settled_until) / 1000.0).max(0.0)
    }
}
