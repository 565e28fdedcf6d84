//! Room: how much of what the quotas admit the servers can do now, and how much work may be in flight.

use crate::interface::Millis;
use serde::{Deserialize, Serialize};

/// Most that one answer counts for, in wanted times: where few come, one late one is still only one.
const MOST_WEIGHT: f64 = 0.2;
/// Least room: retries may come at a hundred times what the servers can do.
const LEAST: f64 = 0.01;
/// Part of the room that a wanted time full of late answers takes away ...
const CUT: f64 = 0.7;
/// ... and that one of timely answers gives, with `PROBE` more: one late answer in three is borne.
const GROWTH: f64 = 0.3;
const PROBE: f64 = 0.1;
/// Attempts a server, of all gateways, that make no queue whatever the answers take: up to an own part of
/// that the room is not asked, for idle servers tell nothing and a door once shut would stay shut.
const IDLE: f64 = 3.0;
/// Shrinks the limit on work in flight at each late answer; a timely one grows it by `STEP` attempts, doubled
/// at a limit of `CREW`: a fair share for each gateway while it is small, one late in five at any size.
const SHRINK: f64 = 0.95;
const STEP: f64 = 0.05;
const CREW: f64 = 5.0;

/// What the servers have room for, as far as answers tell.
#[derive(Debug, Serialize, Deserialize)]
pub struct Room {
    /// Share of what the quotas admit, and when it was last set.
    pub part: f64,
    at: Millis,
    /// Own part of what leaves the servers idle, and when one was last turned away.
    idle: f64,
    pub full_at: Millis,
    /// Learned limit on own work in flight, and whether it still doubles as at the start.
    pub limit: f64,
    slow_start: bool,
}

impl Room {
    pub fn new(now: Millis, start: f64) -> Room {
        Room { part: start, at: now, idle: 0.0, full_at: f64::MIN, limit: 1.0, slow_start: true }
    }

    /// So many servers take requests.
    pub fn ready(&mut self, servers: usize, gateways: u32) {
        self.idle = IDLE * servers as f64 / f64::from(gateways);
        self.limit = self.limit.max(self.idle);
    }

    /// Own work beyond `in_hand` that leaves the servers idle, unless one turned a request away of late.
    pub fn idle(&self, now: Millis, aim: Millis, in_hand: f64) -> Option<f64> {
        (now >= self.full_at + aim).then_some(self.idle - in_hand)
    }

    /// The part of what the quotas admit that is let in with so much in flight. Guards against a surge that
    /// is in before its late answers are: beyond the limit on work in flight it falls, to nothing at two
    /// deviations more, so that few in hand are not refused by chance.
    pub fn open(&self, flight: f64) -> f64 {
        let slack = 2.0 * self.limit.sqrt() + 1.0;
        ((self.limit + slack - flight) / slack).clamp(0.0, self.part)
    }

    /// Adapts to one answer, or one overdue, with `young` in flight that can still be in time: additive
    /// growth, multiplicative cut, in proportion to the time since the last, so that few gateways and many
    /// move alike. Guards against overload within the quotas, from a surge or from lost or slow servers: the
    /// paper's coin, with the servers' limit for the quota's, ends it in early refusals of the cheap. Hurts
    /// if answers are slow without a queue.
    pub fn adapt(&mut self, now: Millis, aim: Millis, young: f64, timely: bool) {
        let weight = ((now - self.at) / aim).min(MOST_WEIGHT);
        self.at = now;
        if timely {
            self.part = (self.part + GROWTH * (self.part + PROBE) * weight).min(1.0);
            if 2.0 * (young + 1.0) >= self.limit {
                self.limit += if self.slow_start { 1.0 } else { STEP * (1.0 + self.limit / CREW) };
            }
        } else {
            self.slow_start = false;
            self.limit = (self.limit * SHRINK).max(self.idle).max(1.0);
            self.part = (self.part * (1.0 - CUT * weight)).max(LEAST);
        }
    }
}
