//! The graceful shutdown, as a state machine without I/O. The node reports that it is not ready, so that the deployment
//! platform stops routing clients to it, then closes its listeners, and waits until its connections have ended and the
//! cluster has released it. Shortly before the end of the grace period, it fails the requests still in flight.

use std::time::{Duration, Instant};

/// How long the listeners stay open after SIGTERM. The deployment platform checks readiness every second and stops routing
/// clients to the node after two failed checks. The delay is at most half of the grace period.
pub const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_600);
/// The longest time reserved at the end of the grace period for sending error responses to the requests still in flight.
pub const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(700);
/// The time reserved for error responses is at most this fraction of the grace period: until then, a backend that works
/// on a request must be given the time to complete it.
const FINAL_RESPONSE_SHARE: u32 = 6;
/// The shortest grace period, in seconds: a shorter one leaves no time for a response.
const MIN_GRACE_S: f64 = 0.5;
/// The longest grace period, in seconds: the deployment platform kills the process before a longer one ends.
const MAX_GRACE_S: f64 = 600.0;

/// The state of a graceful shutdown, from before its start until the process ends.
#[derive(Debug)]
pub struct GracefulShutdown {
    grace: Duration,
    state: State,
}

#[derive(Debug, Clone, Copy)]
enum State {
    /// The shutdown has not started.
    Serving,
    /// The node reports that it is not ready, and still serves the clients that the platform routes to it.
    Deregistering { since: Instant },
    /// The listeners are closed; requests in flight are completed.
    Draining { since: Instant },
}

/// Whether the event loop handles SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TerminateSignal {
    /// SIGTERM starts the shutdown.
    Accepted,
    /// The shutdown has started already, and a further SIGTERM has no effect.
    Ignored,
}

/// The progress of the shutdown outside this state machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// Whether all connections of clients have ended.
    pub connections_closed: bool,
    /// Whether the cluster no longer depends on this node.
    pub released_by_cluster: bool,
}

/// The next action of the node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Do nothing until the next input of the event loop.
    Wait,
    /// Close the listeners, then call [`GracefulShutdown::step`] again.
    CloseListeners,
    /// End the process: the shutdown is complete.
    Exit,
    /// Fail the requests in flight, then end the process: only [`GracefulShutdown::final_response_time`] is left of the
    /// grace period.
    FailInFlight,
}

impl GracefulShutdown {
    /// Creates a shutdown that has not started. The grace period, in seconds, is clamped to the range from 0.5 to 600.
    pub fn new(grace_s: f64) -> GracefulShutdown {
        let grace = Duration::from_secs_f64(grace_s.clamp(MIN_GRACE_S, MAX_GRACE_S));
        GracefulShutdown { grace, state: State::Serving }
    }

    /// The grace period: the time limit from the start of the shutdown to the end of the process.
    pub fn grace(&self) -> Duration {
        self.grace
    }

    /// The time reserved at the end of the grace period for error responses: [`FINAL_RESPONSE_TIME`] or, of a short grace
    /// period, the last sixth.
    pub fn final_response_time(&self) -> Duration {
        FINAL_RESPONSE_TIME.min(self.grace / FINAL_RESPONSE_SHARE)
    }

    /// Whether SIGTERM is still handled: only before the shutdown starts.
    pub fn accepts_signal(&self) -> TerminateSignal {
        match self.state {
            State::Serving => TerminateSignal::Accepted,
            _ => TerminateSignal::Ignored,
        }
    }

    /// Starts the shutdown. Has no effect if it has started already.
    pub fn start(&mut self, now: Instant) {
        if matches!(self.state, State::Serving) {
            self.state = State::Deregistering { since: now };
        }
    }

    /// Returns the step that is due at `now`. After [`Step::CloseListeners`], it must be called again.
    pub fn step(&mut self, now: Instant, progress: Progress) -> Step {
        let is_complete = progress.connections_closed && progress.released_by_cluster;
        let deadline = self.grace.saturating_sub(self.final_response_time());
        match self.state {
            State::Serving => Step::Wait,
            State::Deregistering { since } if now - since >= DEREGISTRATION_DELAY.min(self.grace / 2) => {
                self.state = State::Draining { since };
                Step::CloseListeners
            }
            State::Draining { .. } if is_complete => Step::Exit,
            State::Deregistering { since } | State::Draining { since } if now - since >= deadline => {
                Step::FailInFlight
            }
            State::Deregistering { .. } | State::Draining { .. } => Step::Wait,
        }
    }
}
