//! The seam to a program's protocol: what its attempts say to a backend, how it classifies responses, and who observes
//! its attempts.

use brassport_policy::Outcome;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use std::time::Duration;

/// What a program writes to a backend and reads from its responses, where the two programs differ.
pub trait UpstreamProtocol: 'static {
    /// Adds an attempt's own headers to a request: how long the client still waits, and which backend is meant. Called
    /// once for each attempt, right before its first byte.
    fn add_attempt_headers(&self, headers: &mut HeaderMap, time_left: Duration, backend: &str);

    /// Classifies the head of the response to a request with these headers. Called once for each attempt that has a
    /// response; the verdict decides the attempt's outcome, and whether its connection returns to the pool.
    fn classify(&self, request: &HeaderMap, response: &Parts) -> ResponseClassification;
}

/// What the head of a response says of its attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseClassification {
    /// The attempt's outcome, if its body comes completely.
    pub outcome: Outcome,
    /// The customer's use in the meter's last period, as a share of its rate: 1.0 is all of it.
    pub quota_used: Option<f64>,
    /// Whether the response may be forwarded to the client, if it comes completely.
    pub is_for_client: bool,
    /// Whether the connection may serve another request.
    pub is_reusable: bool,
    /// For how long the backend keeps the connection open while it is idle, if the response says so.
    pub idle_timeout: Option<Duration>,
}

/// Who counts the attempts.
pub trait AttemptObserver {
    /// An attempt was written, or turned out not to have been.
    fn on_attempt(&self, event: AttemptEvent);
}

/// What became of the bytes of an attempt's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEvent {
    /// All of the request was written to a backend.
    Written,
    /// Nothing of a request reported as written before had been.
    NotWritten,
}
