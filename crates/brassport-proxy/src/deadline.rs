//! When a request must be answered at the latest: a moment that may become known only later, as that of an upload does
//! when its last byte has come.

use crate::clock::Clock;
use std::cell::Cell;
use std::time::Instant;
use tokio::sync::Notify;

/// A deadline that can be moved while tasks wait for it.
#[derive(Debug)]
pub struct ResettableDeadline {
    at: Cell<Instant>,
    changed: Notify,
}

impl ResettableDeadline {
    /// A deadline at this moment.
    pub fn new(at: Instant) -> ResettableDeadline {
        ResettableDeadline { at: Cell::new(at), changed: Notify::new() }
    }

    /// The deadline as it is set now.
    pub fn at(&self) -> Instant {
        self.at.get()
    }

    /// Moves the deadline, to an earlier or later moment.
    pub fn reset(&self, at: Instant) {
        self.at.set(at);
        self.changed.notify_waiters();
    }

    /// Ready once the deadline has passed, wherever it has been moved to by then.
    pub async fn passed(&self, clock: &impl Clock) {
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
