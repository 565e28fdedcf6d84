//! How far a graceful shutdown has come, for every task that has to know.
//!
//! The program advances the phase; [`serve`](crate::downstream::serve) and the client connections follow it. It closes
//! nothing itself.

use std::cell::Cell;
use tokio::sync::Notify;

/// How far a shutdown has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Clients are served.
    Serving,
    /// Clients are still accepted; each response closes its connection.
    Draining,
    /// No more clients are accepted, and idle connections are closed.
    Closing,
}

/// The phase that the program is in. Waiting tasks are woken in the order in which they began to wait: a
/// `tokio::sync::watch` wakes them in an order drawn by chance, which no simulation could replay.
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
    /// The phase now.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Advances to a phase; never back.
    pub fn advance(&self, phase: Phase) {
        self.phase.set(self.phase.get().max(phase));
        self.changed.notify_waiters();
    }

    /// Ready once the phase is [`Phase::Closing`].
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
