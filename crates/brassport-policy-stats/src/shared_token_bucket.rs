//! An estimate of a token bucket that other instances draw from as well.

use crate::{Millis, SendLog};
use serde::{Deserialize, Serialize};

/// Flows into and out of the bucket, and its capacity.
#[derive(Debug, Clone, Copy)]
pub struct BucketFlow {
    /// Refill rate, units a second.
    pub rate_per_s: f64,
    /// What other instances are estimated to take, units a second.
    pub remote_per_s: f64,
    /// Capacity, units.
    pub capacity: f64,
}

/// The bucket: its level at a settled moment, and this instance's sends that a reading may still cover.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(expecting = "struct Shared")]
pub struct SharedTokenBucket {
    level: f64,
    #[serde(rename = "told")]
    settled_until: Millis,
    sends: SendLog,
}

impl SharedTokenBucket {
    /// A bucket with this level at a moment.
    pub fn new(level: f64, settled_until: Millis) -> SharedTokenBucket {
        SharedTokenBucket { level, settled_until, sends: SendLog::default() }
    }

    /// The moment up to which the level is settled.
    pub fn settled_until(&self) -> Millis {
        self.settled_until
    }

    /// This instance's sends that are not settled.
    pub fn sends(&self) -> &SendLog {
        &self.sends
    }

    /// Records units that this instance sent.
    pub fn record_send(&mut self, now: Millis, units: f64) {
        self.sends.record(now, units);
    }

    /// The estimated level at a moment no earlier than the settled one, from 0 to the capacity.
    pub fn level_at(&self, at: Millis, flow: BucketFlow) -> f64 {
        let flows = (flow.rate_per_s - flow.remote_per_s) * (at - self.settled_until) / 1000.0;
        (self.level + flows - self.sends.units_between(self.settled_until, at)).clamp(0.0, flow.capacity)
    }

    /// Settles the estimate up to `to`, for periods of which no reading came.
    pub fn settle_until(&mut self, to: Millis, flow: BucketFlow) {
        if to > self.settled_until {
            self.level = self.level_at(to, flow);
            self.settled_until = to;
        }
    }

    /// Settles up to `oldest`, and discards the sends before, which no reading covers any more.
    pub fn discard_before(&mut self, oldest: Millis, flow: BucketFlow) {
        self.settle_until(oldest, flow);
        self.sends.discard_before(oldest);
    }

    /// Applies a reading: from the settled moment up to `to`, all instances together used this multiple of the refill.
    pub fn apply_reading(&mut self, to: Millis, used: f64, flow: BucketFlow) {
        let seconds = (to - self.settled_until).max(0.0) / 1000.0;
        self.level = (self.level + (1.0 - used) * flow.rate_per_s * seconds).clamp(0.0, flow.capacity);
        self.settled_until = self.settled_until.max(to);
    }

    /// Units that this instance sent since the settled moment beyond this rate.
    pub fn sent_above_rate(&self, now: Millis, rate_per_s: f64) -> f64 {
        let sent = self.sends.units_between(self.settled_until, now);
        (sent - rate_per_s * (now - self.settled_until) / 1000.0).max(0.0)
    }
}
