//! When a request is to be answered at the latest: a moment that may come to be known only later.

use crate::clock::Clock;
use std::cell::Cell;
use std::time::Instant;
use tokio::sync::Notify;

/// The moment, for all who wait for it.
#[derive(Debug)]
pub struct ResettableDeadline {
    at: Cell<Instant>,
    changed: Notify,
}

impl ResettableDeadline {
    pub fn new(at: Instant) -> ResettableDeadline {
        ResettableDeadline { at: Cell::new(at), changed: Notify::new() }
    }

    pub fn at(&self) -> Instant {
        self.at.get()
    }

    /// Another moment, sooner or later.
    pub fn set(&self, at: Instant) {
        self.at.set(at);
        self.changed.notify_waiters();
    }

    /// Ready once the moment has come, wherever it has moved to by then.
    pub async fn over(&self, clock: &impl Clock) {
        loop {
            let at = self.at();
            tokio::select! {
                biased;
                () = self.changed.notified() => {}
                () = clock.sleep_until(at) => return,
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::clock::SystemClock;
    use std::time::Duration;

    #[tokio::test]
    async fn who_waits_hears_of_a_moment_that_moves_up_and_of_one_that_moves_back() {
        let start = Instant::now();
        let due = ResettableDeadline::new(start + Duration::from_secs(3600));
        let wait = async {
            due.over(&SystemClock).await;
            assert!(Instant::now() >= start + Duration::from_millis(30), "not before the last moment told");
        };
        let change = async {
            due.set(start + Duration::from_millis(1));
            due.set(start + Duration::from_millis(30));
        };
        tokio::join!(wait, change);
    }
}
