//! The interface to a program's upstream protocol: the headers it adds to an attempt, its classification of responses,
//! and the observer of its attempts.

use crate::upstream::ConnectionId;
use brassport_policy::Outcome;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use std::time::Duration;

/// The parts of the protocol with backends that differ between the programs.
pub trait UpstreamProtocol: 'static {
    /// Adds the headers that are specific to an attempt: the client's remaining time and the selected backend. Called
    /// once per attempt, immediately before its first byte.
    fn add_attempt_headers(&self, headers: &mut HeaderMap, time_left: Duration, backend: &str);

    /// Classifies the head of the response to a request with these headers. Called once for each attempt that gets a
    /// response. The result determines the outcome of the attempt and whether its connection returns to the pool.
    fn classify(&self, request: &HeaderMap, response: &Parts) -> ResponseClassification;
}

/// The classification of a response by its head.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseClassification {
    /// The outcome of the attempt, provided that the body is received completely.
    pub outcome: Outcome,
    /// The customer's usage in the last metering period as a fraction of its rate limit (1.0 is the full rate); `None`
    /// if the response does not report it.
    pub quota_used: Option<f64>,
    /// Whether the response may be forwarded to the client, provided that it is received completely.
    pub is_for_client: bool,
    /// Whether the connection may be used for another request.
    pub is_reusable: bool,
    /// The backend's idle timeout for the connection; `None` if the response does not announce one.
    pub idle_timeout: Option<Duration>,
}

/// What is known of an attempt beyond its outcome, for metrics and logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptTrace {
    /// The connection that carried the request; `None` if none did.
    pub connection: Option<ConnectionId>,
    /// Why the request cannot have run; `None` if it may have run.
    pub evidence: Option<NotRunEvidence>,
}

/// Why an attempt cannot have run its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NotRunEvidence {
    /// The attempt was skipped before the first byte of its request.
    Skipped,
    /// No connection was established.
    NotConnected,
    /// The connection was closed before the first byte of the request.
    Unsent,
    /// The backend's response states it.
    Stated,
}

/// Observes attempts, for metrics.
pub trait AttemptObserver {
    /// The request of an attempt was written, or a request that was reported as written turned out not to have been
    /// sent.
    fn on_attempt(&self, event: AttemptEvent);
}

/// Whether the request of an attempt was written to a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// A complete request was, or is about to be, written to a backend.
    Written,
    /// Corrects an earlier [`Written`](AttemptEvent::Written): no byte of the request was sent.
    NotWritten,
}
