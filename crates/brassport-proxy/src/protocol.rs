//! The seam to a program's protocol: what its attempts say, what answers tell of them, and who counts them.

use brassport_policy::Outcome;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use std::time::Duration;

/// What a program says to a backend and reads from its answers, where the two programs differ.
pub trait UpstreamProtocol: 'static {
    /// Fills in what an attempt says: how long the client still waits, and which backend is meant.
    fn annotate(&self, headers: &mut HeaderMap, left: Duration, backend: &str);

    /// What the head of an answer to a request with these headers says of its attempt.
    fn classify(&self, asked: &HeaderMap, answer: &Parts) -> ResponseVerdict;
}

/// What the head of an answer says.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseVerdict {
    pub outcome: Outcome,
    /// The customer's use in the meter's last period, as a share of its rate.
    pub quota_used: Option<f64>,
    /// Whether the answer is one for the client, if it comes whole.
    pub is_for_client: bool,
    /// Whether the connection may serve another request.
    pub is_reusable: bool,
    /// For how long the backend keeps it idle, if the answer tells.
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
