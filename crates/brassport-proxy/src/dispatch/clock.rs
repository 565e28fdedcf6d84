//! The policy's clock.

use crate::clock::Clock;
use brassport_policy::Millis;
use std::time::{Duration, Instant};

/// The policy's clock: milliseconds since its start, never running backwards.
pub struct PolicyClock<C> {
    clock: C,
    start: Instant,
    /// Unix time at the start, in milliseconds. It is read once, so that a moment reported twice is the same moment
    /// both times, though the wall clock was set between.
    start_unix: Millis,
}

impl<C: Clock> PolicyClock<C> {
    /// A clock that starts now, or continues another process's: its time, and the Unix time of its start.
    pub(super) fn new(clock: C, inherited: Option<(Millis, Millis)>) -> PolicyClock<C> {
        let (now_ms, start_unix) = inherited.unwrap_or((0.0, clock.unix_time().as_secs_f64() * 1000.0));
        let start = clock.now().checked_sub(duration(now_ms)).unwrap_or_else(|| clock.now());
        PolicyClock { clock, start, start_unix }
    }

    /// The policy's time.
    pub fn now(&self) -> Millis {
        self.millis(self.clock.now())
    }

    /// The policy's time at this Unix time, in milliseconds; negative before the start.
    pub fn at_unix(&self, unix: Millis) -> Millis {
        unix - self.start_unix
    }

    /// Unix time at its start, in milliseconds.
    pub fn start_unix(&self) -> Millis {
        self.start_unix
    }

    /// The wall clock, as the time since 1970-01-01 UTC.
    pub fn unix_time(&self) -> Duration {
        self.clock.unix_time()
    }

    /// The clock below, which timers run on.
    pub(super) fn base(&self) -> &C {
        &self.clock
    }

    /// The policy's time at a moment; 0 before the start.
    pub(super) fn millis(&self, at: Instant) -> Millis {
        at.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    /// The moment of a time of the policy's; now, if there is no such moment.
    pub(super) fn instant(&self, at: Millis) -> Instant {
        self.start.checked_add(duration(at)).unwrap_or_else(|| self.clock.now())
    }
}

/// A length of time in milliseconds as a duration; zero if it is negative or not finite.
pub(super) fn duration(millis: Millis) -> Duration {
    Duration::try_from_secs_f64(millis / 1000.0).unwrap_or_default()
}
