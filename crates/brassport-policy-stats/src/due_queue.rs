//! A priority queue of identifiers, ordered by due time.

use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A priority queue of identifiers. Due times are values of a monotonic clock or counter.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(expecting = "struct Agenda")]
pub struct DueQueue {
    #[serde(rename = "lines")]
    entries: BinaryHeap<Reverse<(u64, u32)>>,
}

impl DueQueue {
    /// Adds an entry. A negative due time is replaced by 0.
    pub fn push(&mut self, due: f64, id: u32) {
        // The bit patterns of non-negative floats compare like the numbers themselves.
        self.entries.push(Reverse((due.max(0.0).to_bits(), id)));
    }

    /// Removes the earliest entry if it is due at or before `now`, and returns its due time and identifier.
    /// Entries with the same due time are returned in ascending order of their identifiers.
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
