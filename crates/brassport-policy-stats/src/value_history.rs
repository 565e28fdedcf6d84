//! The recent values of a figure that is set now and then.

use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A figure that is set now and then, with its values at earlier moments.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(expecting = "struct History")]
pub struct ValueHistory {
    #[serde(rename = "set")]
    values: VecDeque<(Millis, f64)>,
}

impl ValueHistory {
    /// Records the value that holds from `now` on, a moment no earlier than any before.
    pub fn record(&mut self, now: Millis, value: f64) {
        self.values.push_back((now, value));
    }

    /// The value that held at `moment`, or the first recorded one if that came later; `None` if there is none.
    pub fn value_at(&self, moment: Millis) -> Option<f64> {
        let held = self.values.iter().rev().find(|(at, _)| *at <= moment);
        held.or(self.values.front()).map(|held| held.1)
    }

    /// Discards values that no longer held at `moment`.
    pub fn discard_before(&mut self, moment: Millis) {
        while self.values.len() > 1 && self.values[1].0 < moment {
            self.values.pop_front();
        }
    }
}
