//! Callbacks at the phases of a request, for a host that observes requests or limits attempts. Without hooks, each
//! phase costs a single check for `None`.
//!
//! In the order of the phases:
//! - before admission: [`may_serve`](RequestHooks::may_serve) and [`plan_override`](RequestHooks::plan_override);
//! - at admission: [`on_admitted`](RequestHooks::on_admitted);
//! - for each attempt: [`before_attempt`](RequestHooks::before_attempt), [`may_send`](RequestHooks::may_send) and
//!   [`on_attempt_end`](RequestHooks::on_attempt_end);
//! - at the response: [`on_request_end`](RequestHooks::on_request_end);
//! - after the response and the last attempt: [`on_request_removed`](RequestHooks::on_request_removed).

use crate::protocol::AttemptTrace;
use brassport_policy::{AttemptEnd, CustomerId, Millis, Request, RequestId};
use std::future::Future;
use std::pin::Pin;

/// How a request ended from the client's point of view.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RequestEnd {
    /// The client got a backend's response.
    Served,
    /// Rejected without having run. The value is the suggested retry delay in milliseconds; 0 means no suggestion.
    Rejected(Millis),
    /// Failed: the request may or may not have run.
    Failed,
    /// The client disconnected before there was a response.
    ClientLeft,
}

/// Work that must complete before an attempt is sent.
pub type AttemptDelay = Pin<Box<dyn Future<Output = ()>>>;

/// Callbacks at the phases of a request. They are called on the dispatcher's thread while its state is borrowed, so
/// they must return immediately and must not call the dispatcher. Backends and retries are always selected by the
/// policy, not by hooks.
pub trait RequestHooks {
    /// Checks whether this gateway instance may currently serve requests. Called before admission, and again before the
    /// first byte of each attempt.
    ///
    /// # Errors
    /// The instance may not serve. The error is the suggested retry delay for clients, in milliseconds.
    fn may_serve(&self) -> Result<(), Millis> {
        Ok(())
    }

    /// The index of the plan to use for this customer in place of the plan named by the request; `None` to use the
    /// request's plan. Called before admission.
    fn plan_override(&self, customer: CustomerId) -> Option<usize> {
        let _ = customer;
        None
    }

    /// A request was admitted to the policy. `name` is the request id chosen by the client, or a generated one.
    fn on_admitted(&self, name: &str, request: &Request) {
        let _ = (name, request);
    }

    /// The policy selected a backend for an attempt. The attempt is sent after the returned work has completed,
    /// provided that the backend still accepts requests and the client still waits. The work must limit its own
    /// duration.
    fn before_attempt(&self, request: RequestId, backend: &str) -> Option<AttemptDelay> {
        let _ = (request, backend);
        None
    }

    /// Checks the host's limits immediately before the first byte of an attempt. If the limits do not allow it, a first
    /// attempt is not sent and its request is rejected; a later attempt is skipped.
    ///
    /// # Errors
    /// The attempt exceeds a limit. The error is the suggested retry delay for clients, in milliseconds.
    fn may_send(&self, request: RequestId, attempt: u8) -> Result<(), Millis> {
        let _ = (request, attempt);
        Ok(())
    }

    /// An attempt to this backend ended.
    fn on_attempt_end(&self, backend: &str, end: &AttemptEnd, trace: &AttemptTrace) {
        let _ = (backend, end, trace);
    }

    /// A request got its final response, or its client has disconnected.
    fn on_request_end(&self, request: RequestId, end: RequestEnd) {
        let _ = (request, end);
    }

    /// A request has ended and none of its attempts is in flight any more.
    fn on_request_removed(&self, request: RequestId) {
        let _ = request;
    }
}
