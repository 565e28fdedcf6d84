//! The named points of a request's life, for a host that looks on: before admission, before each attempt, at the end
//! of each, at the answer and at the departure. A host without hooks pays one test for `None` at each point.

use brassport_policy::{AttemptEnd, CustomerId, Millis, Request, RequestId};
use std::future::Future;
use std::pin::Pin;

/// How a request was answered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RequestEnd {
    /// With a node's answer.
    Served,
    /// Refused, with advice to wait so long; 0: no advice.
    Rejected(Millis),
    /// Failed: nothing is promised.
    Failed,
    /// Its client left before there was an answer.
    ClientLeft,
}

/// Work that an attempt waits for.
pub type Wait = Pin<Box<dyn Future<Output = ()>>>;

/// Who looks on. Every method is called on the door's thread with its state borrowed: it must return at once and
/// must not call the door. Nothing here chooses a server, a retry or a refusal; the decision module does.
pub trait RequestHooks {
    /// Whether this door may act now: asked before admission, and again before the first byte of each attempt.
    ///
    /// # Errors
    /// It may not; how long clients are to wait.
    fn may_act(&self) -> Result<(), Millis> {
        Ok(())
    }

    /// Before admission: the plan of this customer, by index, if its host knows better than the request does.
    fn plan_of(&self, customer: CustomerId) -> Option<usize> {
        let _ = customer;
        None
    }

    /// A request was admitted to the module; `name` is its client's name for it.
    fn admitted(&self, name: &str, request: &Request) {
        let _ = (name, request);
    }

    /// The module chose a node for an attempt. The attempt is sent once the work returned is done, if by then its
    /// node still takes requests and its client still waits; the work must end within a bound of its own.
    fn before_attempt(&self, request: RequestId, node: &str) -> Option<Wait> {
        let _ = (request, node);
        None
    }

    /// Before the first byte of an attempt, the last that is asked: whether its host's limits have room for it. A first
    /// attempt that has none is the request's refusal; a further one is not made.
    ///
    /// # Errors
    /// They have none; how long clients are to wait.
    fn may_send(&self, request: RequestId, attempt: u8) -> Result<(), Millis> {
        let _ = (request, attempt);
        Ok(())
    }

    /// An attempt ended.
    fn attempt_ended(&self, node: &str, end: &AttemptEnd) {
        let _ = (node, end);
    }

    /// A request has its one answer, or nobody waits for it any more.
    fn answered(&self, request: RequestId, verdict: RequestEnd) {
        let _ = (request, verdict);
    }

    /// A request is answered and none of its attempts is out.
    fn departed(&self, request: RequestId) {
        let _ = request;
    }
}
