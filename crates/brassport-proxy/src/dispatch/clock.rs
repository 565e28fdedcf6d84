//! The clock of the policy.

use crate::clock::Clock;
use brassport_policy::Millis;
use std::time::{Duration, Instant};

/// The clock of the policy: a monotonic time in milliseconds since the start.
pub struct PolicyClock<C> {
    clock: C,
    start: Instant,
    /// The Unix time of the start, in milliseconds. It is read only once, so that converting the same Unix time always
    /// gives the same result, even if the wall clock is set in between.
    start_unix: Millis,
}

impl<C: Clock> PolicyClock<C> {
    /// Creates a clock that starts now, or that continues the clock of another process. `inherited` is the current time
    /// of that clock and the Unix time of its start, both in milliseconds.
    pub(super) fn new(clock: C, inherited: Option<(Millis, Millis)>) -> PolicyClock<C> {
        let (now_ms, start_unix) = inherited.unwrap_or((0.0, clock.unix_time().as_secs_f64() * 1000.0));
        let start = clock.now().checked_sub(duration(now_ms)).unwrap_or_else(|| clock.now());
        PolicyClock { clock, start, start_unix }
    }

    /// The current policy time.
    pub fn now(&self) -> Millis {
        self.millis(self.clock.now())
    }

    /// Converts a Unix time in milliseconds into policy time; negative if it is before the start.
    pub fn at_unix(&self, unix_ms: Millis) -> Millis {
        unix_ms - self.start_unix
    }

    /// The Unix time of the start, in milliseconds.
    pub fn start_unix(&self) -> Millis {
        self.start_unix
    }

    /// The wall-clock time since 1970-01-01 UTC.
    pub fn unix_time(&self) -> Duration {
        self.clock.unix_time()
    }

    /// The underlying clock, which provides the timers.
    pub(super) fn base(&self) -> &C {
        &self.clock
    }

    /// Converts an instant into policy time; 0 if it is before the start.
    pub(super) fn millis(&self, at: Instant) -> Millis {
        at.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    /// Converts a policy time into an instant; the current instant if the result is not representable.
    pub(super) fn instant(&self, at: Millis) -> Instant {
        self.start.checked_add(duration(at)).unwrap_or_else(|| self.clock.now())
    }
}

/// Converts milliseconds into a duration; zero if the value is negative or not finite.
pub(super) fn duration(millis: Millis) -> Duration {
    Duration::try_from_secs_f64(millis / 1000.0).unwrap_or_default()
}
