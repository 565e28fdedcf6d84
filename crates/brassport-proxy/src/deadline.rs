//! The deadline of a request. It can be changed while tasks wait for it: the final deadline of an upload is known only
//! when its last byte has been received.

use crate::clock::Clock;
use std::cell::Cell;
use std::time::Instant;
use tokio::sync::Notify;

/// A deadline that can be changed while tasks wait for it.
#[derive(Debug)]
pub struct ResettableDeadline {
    at: Cell<Instant>,
    changed: Notify,
}

impl ResettableDeadline {
    /// Creates a deadline at this instant.
    pub fn new(at: Instant) -> ResettableDeadline {
        ResettableDeadline { at: Cell::new(at), changed: Notify::new() }
    }

    /// The current deadline.
    pub fn at(&self) -> Instant {
        self.at.get()
    }

    /// Moves the deadline to an earlier or later instant.
    pub fn reset(&self, at: Instant) {
        self.at.set(at);
        self.changed.notify_waiters();
    }

    /// Completes when the deadline has passed. Later changes of the deadline are taken into account.
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
