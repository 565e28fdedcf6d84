//! The graceful shutdown, as a state machine without I/O: a node is taken out of the platform's rotation, closes its
//! listeners, waits until its connections have ended and the cluster has released it, and fails what is still in flight
//! when its grace period ends.

use std::time::{Duration, Instant};

/// How long clients may still come after SIGTERM: the platform checks each second and needs two failures.
pub const DEREGISTRATION: Duration = Duration::from_millis(2_600);
/// The end of the grace period that is left for the last responses.
pub const FINAL_RESPONSES: Duration = Duration::from_millis(700);
/// Bounds of the grace period: below there is no time for a response, above the platform has killed the process.
const MIN_GRACE_S: f64 = 0.5;
const MAX_GRACE_S: f64 = 600.0;

/// A shutdown, from before it starts.
#[derive(Debug)]
pub struct GracefulShutdown {
    grace: Duration,
    state: State,
}

#[derive(Debug, Clone, Copy)]
enum State {
    /// The node serves.
    Serving,
    /// The node reports that it is not ready; clients that don't know yet are still served.
    Deregistering { since: Instant },
    /// The listeners are closed; what is in flight is completed.
    Draining { since: Instant },
}

/// Whether SIGTERM is waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TerminateSignal {
    /// It starts the shutdown.
    Accepted,
    /// The shutdown has started: another one changes nothing.
    Ignored,
}

/// What the node sees of its own shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Whether every client's connection has ended.
    pub connections_closed: bool,
    /// Whether the cluster can do without this node.
    pub released_by_cluster: bool,
}

/// What the node is to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Nothing until the next event.
    Wait,
    /// Accept no more connections, then call [`GracefulShutdown::step`] again.
    CloseListeners,
    /// End the process: all is done.
    Exit,
    /// Fail what is in flight, then end the process: the grace period is over.
    FailInFlight,
}

impl GracefulShutdown {
    /// One that has not started, with a grace period in seconds (clamped to 0.5 to 600).
    pub fn new(grace_s: f64) -> GracefulShutdown {
        let grace = Duration::from_secs_f64(grace_s.clamp(MIN_GRACE_S, MAX_GRACE_S));
        GracefulShutdown { grace, state: State::Serving }
    }

    /// The grace period: from the start of the shutdown to the end of the process.
    pub fn grace(&self) -> Duration {
        self.grace
    }

    /// Whether SIGTERM would start it.
    pub fn accepts_signal(&self) -> TerminateSignal {
        match self.state {
            State::Serving => TerminateSignal::Accepted,
            _ => TerminateSignal::Ignored,
        }
    }

    /// Starts it; one that has started goes on as it is.
    pub fn start(&mut self, now: Instant) {
        if matches!(self.state, State::Serving) {
            self.state = State::Deregistering { since: now };
        }
    }

    /// The step that is due now. To be called again after [`Step::CloseListeners`].
    pub fn step(&mut self, now: Instant, progress: Progress) -> Step {
        let is_done = progress.connections_closed && progress.released_by_cluster;
        let deadline = self.grace.saturating_sub(FINAL_RESPONSES);
        match self.state {
            State::Serving => Step::Wait,
            State::Deregistering { since } if now - since >= DEREGISTRATION.min(self.grace / 2) => {
                self.state = State::Draining { since };
                Step::CloseListeners
            }
            State::Draining { .. } if is_done => Step::Exit,
            State::Deregistering { since } | State::Draining { since } if now - since >= deadline => {
                Step::FailInFlight
            }
            State::Deregistering { .. } | State::Draining { .. } => Step::Wait,
        }
    }
}
