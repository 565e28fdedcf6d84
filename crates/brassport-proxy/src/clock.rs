//! The abstraction of time: the monotonic clock, the wall clock and the timers.
//!
//! All code in this crate reads time through a [`Clock`], so that it runs both on the system clock ([`SystemClock`])
//! and on a simulated one.

use std::future::Future;
use std::pin::pin;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A source of time. Clones are handles of the same clock.
///
/// An implementation must guarantee:
/// - [`now`](Clock::now) never decreases, even if the wall clock is changed;
/// - a sleep never completes before its instant; a sleep whose instant has passed is ready at its first poll.
pub trait Clock: Clone + 'static {
    /// A running timer.
    type Sleep: Future<Output = ()>;

    /// The current time of the monotonic clock.
    fn now(&self) -> Instant;

    /// Completes at `at`.
    fn sleep_until(&self, at: Instant) -> Self::Sleep;

    /// The wall-clock time since 1970-01-01 UTC. It may jump in either direction when the clock is set.
    fn unix_time(&self) -> Duration;

    /// Completes after `time`.
    fn sleep(&self, time: Duration) -> Self::Sleep {
        self.sleep_until(self.now() + time)
    }

    /// Returns the output of `work`, or `None` if it is not ready by `at`. If both are ready at the same poll, the
    /// output is returned.
    fn timeout_at<F: Future>(&self, at: Instant, work: F) -> impl Future<Output = Option<F::Output>> {
        async move {
            let (mut work, mut timeout) = (pin!(work), pin!(self.sleep_until(at)));
            tokio::select! {
                biased;
                output = &mut work => Some(output),
                () = &mut timeout => None,
            }
        }
    }

    /// Like [`timeout_at`](Clock::timeout_at), with a duration from now.
    fn timeout<F: Future>(&self, time: Duration, work: F) -> impl Future<Output = Option<F::Output>> {
        self.timeout_at(self.now() + time, work)
    }
}

/// The system clock, with the timers of the current tokio runtime (granularity 1 ms, rounded up).
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    type Sleep = tokio::time::Sleep;

    fn now(&self) -> Instant {
        Instant::now()
    }

    fn sleep_until(&self, at: Instant) -> tokio::time::Sleep {
        tokio::time::sleep_until(at.into())
    }

    fn unix_time(&self) -> Duration {
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
    }
}
