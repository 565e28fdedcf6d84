//! A log of units sent over time, with sums over any interval.

use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// One record; serialized as the row `[at, units, total]`.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(from = "(Millis, f64, f64)", into = "(Millis, f64, f64)")]
struct Send {
    at: Millis,
    units: f64,
    /// Units of all records up to and including this one.
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

/// Units sent over time. A query costs the logarithm of the number of records.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(expecting = "struct Sends")]
pub struct SendLog {
    sends: VecDeque<Send>,
    /// The total up to what has been discarded.
    #[serde(rename = "dropped")]
    discarded: f64,
}

impl SendLog {
    /// Records units sent at a moment no earlier than any before.
    pub fn record(&mut self, at: Millis, units: f64) {
        let before = self.sends.back().map_or(self.discarded, |last| last.total);
        self.sends.push_back(Send { at, units, total: before + units });
    }

    /// Whether the log holds no record.
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// Recorded units sent up to and including `to`.
    pub fn total_up_to(&self, to: Millis) -> f64 {
        match self.sends.partition_point(|send| send.at <= to) {
            0 => 0.0,
            count => self.sends[count - 1].total - self.discarded,
        }
    }

    /// Writes to `totals` what [`total_up_to`](Self::total_up_to) returns for each of `moments`, which must descend.
    pub fn totals_up_to(&self, moments: impl Iterator<Item = Millis>, totals: &mut [f64]) {
        let mut count = self.sends.len();
        for (moment, total) in moments.zip(totals) {
            let is_later = |index: usize| self.sends[index].at > moment;
            // Galloping search: consecutive moments lie close together, so few steps are needed.
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

    /// Recorded units sent after `from` and up to and including `to`.
    pub fn units_between(&self, from: Millis, to: Millis) -> f64 {
        if to <= from {
            return 0.0;
        }
        (self.total_up_to(to) - self.total_up_to(from)).max(0.0)
    }

    /// Discards the records from before `moment`.
    pub fn discard_before(&mut self, moment: Millis) {
        while let Some(send) = self.sends.front().filter(|send| send.at < moment) {
            self.discarded = send.total;
            self.sends.pop_front();
        }
        // Totals restart at 0 with an empty log, so that they stay small enough to be exact.
        if self.sends.is_empty() {
            self.discarded = 0.0;
        }
    }
}
