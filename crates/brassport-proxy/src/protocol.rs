//! The seam to a program's protocol: what its attempts say, what answers tell of them, and who counts them.

use brassport_policy::Outcome;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use std::time::Duration;

/// What a program says to a backend and reads from its answers, where the two programs differ.
pub trait Protocol: 'static {
    /// Fills in what an attempt says: how long the client still waits, and which backend is meant.
    fn address(&self, headers: &mut HeaderMap, left: Duration, backend: &str);

    /// What the head of an answer to a request with these headers says of its attempt.
    fn judge(&self, asked: &HeaderMap, answer: &Parts) -> Judged;
}

/// What the head of an answer says.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Judged {
    pub outcome: Outcome,
    /// The customer's use in the meter's last period, as a share of its rate.
    pub used: Option<f64>,
    /// Whether the answer is one for the client, if it comes whole.
    pub passes: bool,
    /// Whether the connection may serve another request.
    pub reusable: bool,
    /// For how long the backend keeps it idle, if the answer tells.
    pub keeps: Option<Duration>,
}

/// Who counts the attempts.
pub trait AttemptCounts {
    /// An attempt was written whole to a backend.
    fn attempt_written(&self);

    /// It turned out that nothing of one was.
    fn attempt_unwritten(&self);
}
