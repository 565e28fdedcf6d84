//! The recent values of a variable.

use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The recent values of a variable that changes from time to time, with the time of each change.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(expecting = "struct History")]
pub struct ValueHistory {
    #[serde(rename = "set")]
    values: VecDeque<(Millis, f64)>,
}

impl ValueHistory {
    /// Records the value from `now` on. `now` must not be earlier than in previous calls.
    pub fn record(&mut self, now: Millis, value: f64) {
        self.values.push_back((now, value));
    }

    /// Returns the value at `time`, or the first recorded value if that is later; `None` if no value was
    /// recorded.
    pub fn value_at(&self, time: Millis) -> Option<f64> {
        let last_change = self.values.iter().rev().find(|(at, _)| *at <= time);
        last_change.or(self.values.front()).map(|change| change.1)
    }

    /// Discards values that were replaced before `time`.
    pub fn discard_before(&mut self, time: Millis) {
        while self.values.len() > 1 && self.values[1].0 < time {
            self.values.pop_front();
        }
    }
}
