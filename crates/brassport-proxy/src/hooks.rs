//! The named phases of a request, for a host that observes them or limits attempts. A host without hooks pays one test
//! for `None` at each phase.
//!
//! In their order: [`may_serve`](RequestHooks::may_serve) and [`plan_override`](RequestHooks::plan_override) before admission,
//! [`on_admitted`](RequestHooks::on_admitted), [`before_attempt`](RequestHooks::before_attempt) and
//! [`may_send`](RequestHooks::may_send) before each attempt, [`on_attempt_end`](RequestHooks::on_attempt_end),
//! [`on_request_end`](RequestHooks::on_request_end) at the response, [`on_request_removed`](RequestHooks::on_request_removed) at the end of all.

use brassport_policy::{AttemptEnd, CustomerId, Millis, Request, RequestId};
use std::future::Future;
use std::pin::Pin;

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RequestEnd {
    /// With a backend's response.
    Served,
    /// Rejected, with advice to wait so many milliseconds; 0: no advice.
    Rejected(Millis),
    /// Failed: nothing is promised about its effect.
    Failed,
    /// Its client left before there was a response.
    ClientLeft,
}

/// Work that an attempt waits for.
pub type AttemptDelay = Pin<Box<dyn Future<Output = ()>>>;

/// Calls at the phases of a request. Every method is called on the dispatcher's thread with its state borrowed: it must
/// return at once and must not call the dispatcher. Nothing here chooses a backend, a retry or a rejection; the policy
/// does.
pub trait RequestHooks {
    /// Whether this gateway instance may act now: called before admission, and again before the first byte of each
    /// attempt.
    ///
    /// # Errors
    /// It may not; how many milliseconds clients are to wait.
    fn may_serve(&self) -> Result<(), Millis> {
        Ok(())
    }

    /// Before admission: the plan of this customer, by index, if the host has a better one than the request names.
    fn plan_override(&self, customer: CustomerId) -> Option<usize> {
        let _ = customer;
        None
    }

    /// A request was admitted to the policy; `name` is its client's name for it.
    fn on_admitted(&self, name: &str, request: &Request) {
        let _ = (name, request);
    }

    /// The policy chose a backend for an attempt. The attempt is sent once the returned work is done, if by then its
    /// backend still takes requests and its client still waits; the work must end within a bound of its own.
    fn before_attempt(&self, request: RequestId, backend: &str) -> Option<AttemptDelay> {
        let _ = (request, backend);
        None
    }

    /// Right before the first byte of an attempt, the last call before it: whether the host's limits have room for it.
    /// Without room a first attempt is the request's rejection; a further one is not made.
    ///
    /// # Errors
    /// They have none; how many milliseconds clients are to wait.
    fn may_send(&self, request: RequestId, attempt: u8) -> Result<(), Millis> {
        let _ = (request, attempt);
        Ok(())
    }

    /// An attempt ended.
    fn on_attempt_end(&self, backend: &str, end: &AttemptEnd) {
        let _ = (backend, end);
    }

    /// A request has its one response, or nobody waits for it any more.
    fn on_request_end(&self, request: RequestId, end: RequestEnd) {
        let _ = (request, end);
    }

    /// A request is answered and none of its attempts is in flight.
    fn on_request_removed(&self, request: RequestId) {
        let _ = request;
    }
}
