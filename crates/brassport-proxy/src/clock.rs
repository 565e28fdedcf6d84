//! The seam to time: the monotonic clock, the wall clock and the timers.
//!
//! Everything in this crate reads a [`Clock`] and never the system's time, so that the same code runs against the
//! system's clock ([`SystemClock`]) and against a simulated one.

use std::future::Future;
use std::pin::pin;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A source of time. Clones are handles of one clock.
///
/// An implementation must keep:
/// - [`now`](Clock::now) never goes back, whatever the wall clock does;
/// - a sleep ends at its instant or later, never sooner; one whose instant is past is ready when polled.
pub trait Clock: Clone + 'static {
    /// A timer that is running.
    type Sleep: Future<Output = ()>;

    /// The monotonic clock.
    fn now(&self) -> Instant;

    /// Ready once `at` has come.
    fn sleep_until(&self, at: Instant) -> Self::Sleep;

    /// The wall clock, as the time since 1970-01-01 UTC. It may be set, in either direction.
    fn unix_time(&self) -> Duration;

    /// Ready after so long.
    fn sleep(&self, time: Duration) -> Self::Sleep {
        self.sleep_until(self.now() + time)
    }

    /// The output of `work`, or `None` if it is not ready by `at`. Work that is ready in the same instant wins.
    fn timeout_at<F: Future>(&self, at: Instant, work: F) -> impl Future<Output = Option<F::Output>> {
        async move {
            let (mut work, mut late) = (pin!(work), pin!(self.sleep_until(at)));
            tokio::select! {
                biased;
                output = &mut work => Some(output),
                () = &mut late => None,
            }
        }
    }

    /// As [`timeout_at`](Clock::timeout_at), for a length of time from now.
    fn timeout<F: Future>(&self, time: Duration, work: F) -> impl Future<Output = Option<F::Output>> {
        self.timeout_at(self.now() + time, work)
    }
}

/// The system's clock, with the timers of the tokio runtime that it is used in (granularity: 1 ms, rounded up).
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
