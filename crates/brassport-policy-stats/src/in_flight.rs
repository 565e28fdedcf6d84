//! Counts of the attempts in flight by age.

use crate::Millis;
use std::collections::VecDeque;

/// Identifies an attempt within the [`InFlightAttempts`] that returned the handle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptHandle(u64);

#[derive(Debug, Clone, Copy)]
struct Attempt {
    started_at: Millis,
    is_in_flight: bool,
}

/// The attempts in flight up to an age.
#[derive(Debug, Clone)]
struct AgeWindow {
    /// Age from which on an attempt is outside the window.
    length: Millis,
    /// Number of attempts in flight from `first` on.
    count: usize,
    /// Sequence number of the oldest attempt that may be in the window.
    first: u64,
}

/// Counts the attempts in flight, in total and in each of several age windows. Each operation takes amortized
/// constant time.
#[derive(Debug, Clone, Default)]
pub struct InFlightAttempts {
    /// All attempts since the oldest one in flight, in order of their start.
    attempts: VecDeque<Attempt>,
    /// Sequence number of the first entry of `attempts`.
    first_number: u64,
    in_flight: usize,
    windows: Vec<AgeWindow>,
}

impl InFlightAttempts {
    /// Creates empty counts, with one age window for each length.
    pub fn new(window_lengths: impl IntoIterator<Item = Millis>) -> InFlightAttempts {
        let window = |length| AgeWindow { length, count: 0, first: 0 };
        let windows = window_lengths.into_iter().map(window).collect();
        InFlightAttempts { attempts: VecDeque::new(), first_number: 0, in_flight: 0, windows }
    }

    /// Replaces the age windows.
    pub fn set_windows(&mut self, window_lengths: impl IntoIterator<Item = Millis>) {
        // The next query removes attempts that are too old for a window from its count.
        let window = |length| AgeWindow { length, count: self.in_flight, first: self.first_number };
        self.windows = window_lengths.into_iter().map(window).collect();
    }

    /// Returns the number of attempts in flight, of any age.
    pub fn len(&self) -> usize {
        self.in_flight
    }

    /// Returns whether no attempt is in flight.
    pub fn is_empty(&self) -> bool {
        self.in_flight == 0
    }

    /// Returns the number of entries in memory: all attempts, ended ones included, since the oldest in
    /// flight.
    pub fn retained_entries(&self) -> usize {
        self.attempts.len()
    }

    /// Records the start of an attempt. `now` must not be earlier than in previous calls.
    pub fn start(&mut self, now: Millis) -> AttemptHandle {
        self.attempts.push_back(Attempt { started_at: now, is_in_flight: true });
        self.in_flight += 1;
        self.windows.iter_mut().for_each(|window| window.count += 1);
        AttemptHandle(self.first_number + self.attempts.len() as u64 - 1)
    }

    /// Records the end of an attempt. A repeated call for the same attempt has no effect.
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

    /// Returns the number of attempts in flight whose age at `now` is less than the length of the window with
    /// this index.
    ///
    /// # Panics
    /// If no window has this index.
    pub fn count_within(&mut self, window: usize, now: Millis) -> usize {
        let window = &mut self.windows[window];
        // Attempts that were removed from the front of the queue had ended, and no count includes them.
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
