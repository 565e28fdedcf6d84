//! A priority queue of entries by when they fall due.

use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A priority queue of identifiers, each due at a value of a monotonic clock or counter.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(expecting = "struct Agenda")]
pub struct DueQueue {
    #[serde(rename = "lines")]
    entries: BinaryHeap<Reverse<(u64, u32)>>,
}

impl DueQueue {
    /// Adds an entry. One that is due below 0 is due at 0.
    pub fn push(&mut self, due: f64, id: u32) {
        // The bit patterns of non-negative floats have the order of the numbers.
        self.entries.push(Reverse((due.max(0.0).to_bits(), id)));
    }

    /// Removes the earliest entry if it is due by `now`, and returns when it was due and its identifier. Of two that
    /// are due at once the lower identifier comes first.
    pub fn pop_due(&mut self, now: f64) -> Option<(f64, u32)> {
        let &Reverse((due, id)) = self.entries.peek()?;
        let due = f64::from_bits(due);
        (due <= now).then(|| {
            self.entries.pop();
            (due, id)
        })
    }

    /// Removes all entries.
    pub fn clear(&mut self) {
        self.entries.clear();
    }
}
