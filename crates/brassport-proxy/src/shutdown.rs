//! The phase of a graceful shutdown, shared by all tasks.
//!
//! The program advances the phase; [`serve`](crate::downstream::serve) and the client connections react to it. This
//! module closes no connections itself.

use std::cell::Cell;
use tokio::sync::Notify;

/// The phases of a shutdown, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Normal operation.
    Serving,
    /// New connections are still accepted; each response closes its connection.
    Draining,
    /// No new connections are accepted, and idle connections are closed.
    Closing,
}

/// The current phase of the program. Waiting tasks are woken in the order in which they began to wait, so that a
/// simulation can be replayed; `tokio::sync::watch` is not used because it wakes tasks in random order.
#[derive(Debug)]
pub struct Shutdown {
    phase: Cell<Phase>,
    changed: Notify,
}

impl Default for Shutdown {
    fn default() -> Shutdown {
        Shutdown { phase: Cell::new(Phase::Serving), changed: Notify::new() }
    }
}

impl Shutdown {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Advances to a phase. An earlier phase than the current one is ignored.
    pub fn advance(&self, phase: Phase) {
        self.phase.set(self.phase.get().max(phase));
        self.changed.notify_waiters();
    }

    /// Completes when the phase is [`Phase::Closing`].
    pub async fn closing(&self) {
        loop {
            let changed = self.changed.notified();
            if self.phase.get() == Phase::Closing {
                return;
            }
            changed.await;
        }
    }
}
