//! A log of units sent over time, with sums over arbitrary intervals.

use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// One record, serialized as the array `[at, units, total]`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(from = "(Millis, f64, f64)", into = "(Millis, f64, f64)")]
struct Send {
    at: Millis,
    units: f64,
    /// Sum of the units of all records up to and including this one.
    total: f64,
}

impl From<(Millis, f64, f64)> for Send {
    fn from((at, units, total): (Millis, f64, f64)) -> Send {
        Send { at, units, total }
    }
}

impl From<Send> for (Millis, f64, f64) {
    fn from(send: Send) -> Self {
        (send.at, send.units, send.total)
    }
}

/// Units sent over time. A query takes logarithmic time in the number of records.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(expecting = "struct Sends")]
pub struct SendLog {
    sends: VecDeque<Send>,
    /// Total up to and including the last discarded record.
    #[serde(rename = "dropped")]
    discarded: f64,
}

impl SendLog {
    /// Records units sent at a time that is not earlier than that of previous records.
    pub fn record(&mut self, at: Millis, units: f64) {
        let before = self.sends.back().map_or(self.discarded, |last| last.total);
        self.sends.push_back(Send { at, units, total: before + units });
    }

    /// Returns whether the log contains no records.
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// Returns the units that were sent up to and including `to`, without discarded records.
    pub fn total_up_to(&self, to: Millis) -> f64 {
        match self.sends.partition_point(|send| send.at <= to) {
            0 => 0.0,
            count => self.sends[count - 1].total - self.discarded,
        }
    }

    /// Writes the result of [`total_up_to`](Self::total_up_to) for each of `times`, which must be in
    /// descending order, to `totals`.
    pub fn totals_up_to(&self, times: impl Iterator<Item = Millis>, totals: &mut [f64]) {
        let mut count = self.sends.len();
        for (time, total) in times.zip(totals) {
            let is_later = |index: usize| self.sends[index].at > time;
            // Galloping search: consecutive times are close to each other, so that few steps are needed.
            let mut step = 1;
            while step <= count && is_later(count - step) {
                count -= step;
                step *= 2;
            }
            while step > 1 {
                step /= 2;
                if step <= count && is_later(count - step) {
                    count -= step;
                }
            }
            *total = if count == 0 { 0.0 } else { self.sends[count - 1].total - self.discarded };
        }
    }

    /// Returns the units that were sent after `from` and up to and including `to`, without discarded records.
    pub fn units_between(&self, from: Millis, to: Millis) -> f64 {
        if to <= from {
            return 0.0;
        }
        (self.total_up_to(to) - self.total_up_to(from)).max(0.0)
    }

    /// Discards the records that are earlier than `time`.
    pub fn discard_before(&mut self, time: Millis) {
        while let Some(send) = self.sends.front().filter(|send| send.at < time) {
            self.discarded = send.total;
            self.sends.pop_front();
        }
        // An empty log restarts its totals at 0, to preserve their precision.
        if self.sends.is_empty() {
            self.discarded = 0.0;
        }
    }
}
