//! Attempts in flight, counted by their age.

use crate::Millis;
use std::collections::VecDeque;

/// Identifies an attempt in flight in the [`InFlightAttempts`] that returned it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptHandle(u64);

#[derive(Debug, Clone, Copy)]
struct Attempt {
    started_at: Millis,
    is_in_flight: bool,
}

/// An age window: the attempts in flight that started within it, and the number of the first that may have.
#[derive(Debug, Clone)]
struct AgeWindow {
    length: Millis,
    count: usize,
    first: u64,
}

/// Counts the attempts in flight, and those of them younger than each of some ages. Each operation costs amortized
/// constant time.
#[derive(Debug, Clone, Default)]
pub struct InFlightAttempts {
    /// From the oldest attempt in flight on.
    attempts: VecDeque<Attempt>,
    /// Number of the first of those.
    first_number: u64,
    in_flight: usize,
    windows: Vec<AgeWindow>,
}

impl InFlightAttempts {
    /// Counts attempts, with an age window of each of these lengths.
    pub fn new(window_lengths: impl IntoIterator<Item = Millis>) -> InFlightAttempts {
        let window = |length| AgeWindow { length, count: 0, first: 0 };
        let windows = window_lengths.into_iter().map(window).collect();
        InFlightAttempts { attempts: VecDeque::new(), first_number: 0, in_flight: 0, windows }
    }

    /// Replaces the age windows.
    pub fn set_windows(&mut self, window_lengths: impl IntoIterator<Item = Millis>) {
        // Attempts that are too old for a window leave its count at the next query.
        let window = |length| AgeWindow { length, count: self.in_flight, first: self.first_number };
        self.windows = window_lengths.into_iter().map(window).collect();
    }

    /// Attempts in flight, of any age.
    pub fn len(&self) -> usize {
        self.in_flight
    }

    /// Whether no attempt is in flight.
    pub fn is_empty(&self) -> bool {
        self.in_flight == 0
    }

    /// Entries kept in memory: the attempts since the oldest in flight.
    pub fn retained_entries(&self) -> usize {
        self.attempts.len()
    }

    /// Records the start of an attempt, at a moment no earlier than any before.
    pub fn start(&mut self, now: Millis) -> AttemptHandle {
        self.attempts.push_back(Attempt { started_at: now, is_in_flight: true });
        self.in_flight += 1;
        self.windows.iter_mut().for_each(|window| window.count += 1);
        AttemptHandle(self.first_number + self.attempts.len() as u64 - 1)
    }

    /// Records the end of an attempt. A second end of the same attempt has no effect.
    pub fn finish(&mut self, handle: AttemptHandle) {
        let Some(index) = handle.0.checked_sub(self.first_number) else { return };
        let attempt = self.attempts.get_mut(index as usize).filter(|attempt| attempt.is_in_flight);
        let Some(attempt) = attempt else { return };
        attempt.is_in_flight = false;
        self.in_flight -= 1;
        for window in self.windows.iter_mut().filter(|window| handle.0 >= window.first) {
            window.count -= 1;
        }
        while self.attempts.front().is_some_and(|attempt| !attempt.is_in_flight) {
            self.attempts.pop_front();
            self.first_number += 1;
        }
    }

    /// Attempts in flight that started less than the length of the window with this index before `now`.
    ///
    /// # Panics
    /// If there is no window with this index.
    pub fn count_within(&mut self, window: usize, now: Millis) -> usize {
        let window = &mut self.windows[window];
        // What left the front of the queue had ended, and is in no count.
        window.first = window.first.max(self.first_number);
        while let Some(attempt) = self.attempts.get((window.first - self.first_number) as usize) {
            if attempt.started_at > now - window.length {
                break;
            }
            window.count -= usize::from(attempt.is_in_flight);
            window.first += 1;
        }
        window.count
    }
}
