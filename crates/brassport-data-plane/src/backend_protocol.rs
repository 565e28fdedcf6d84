//! The protocol of the gateway's backends: the headers of an attempt, and what the head of a response says of it.

use brassport_policy::Outcome;
use brassport_proxy::protocol::{ResponseClassification, UpstreamProtocol};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_ENCODING};
use hyper::http::response::Parts;
use hyper::StatusCode;
use std::cell::RefCell;
use std::time::Duration;

/// The client's name for its request; every response carries it back.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-try-id");
/// How many milliseconds the client still waits.
pub const TIME_LEFT_MS: HeaderName = HeaderName::from_static("x-time-left-ms");
/// The backend that is addressed: any other responds with 421.
pub const EXPECTED_BACKEND: HeaderName = HeaderName::from_static("x-expect-server");
/// The tenant, as the gateway has authenticated it.
pub const TENANT: HeaderName = HeaderName::from_static("x-customer");
/// The backend has not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
/// The backend's signature of a response that it made.
const SEAL: HeaderName = HeaderName::from_static("x-server-seal");

/// The protocol, with what it has learned of a service's backends.
#[derive(Debug, Default)]
pub struct BackendProtocol {
    /// Ids of backends whose address another one has.
    displaced: RefCell<Vec<String>>,
}

impl BackendProtocol {
    /// Ids of backends in whose place another one responded, since the last call.
    pub fn take_displaced(&self) -> Vec<String> {
        self.displaced.take()
    }

    /// The address is another incarnation's: the one that was addressed has terminated, and nothing ran.
    fn misdirected(&self, request: &HeaderMap, verdict: Verdict) -> ResponseClassification {
        let backend = request.get(EXPECTED_BACKEND).and_then(|id| id.to_str().ok());
        self.displaced.borrow_mut().extend(backend.map(str::to_owned));
        verdict.withhold(Outcome::NoConnection)
    }
}

impl UpstreamProtocol for BackendProtocol {
    fn add_attempt_headers(&self, headers: &mut HeaderMap, left: Duration, backend: &str) {
        if let Ok(left) = HeaderValue::from_str(&left.as_millis().to_string()) {
            headers.insert(TIME_LEFT_MS, left);
        }
        if let Ok(backend) = HeaderValue::from_str(backend) {
            headers.insert(EXPECTED_BACKEND, backend);
        }
    }

    fn classify(&self, request: &HeaderMap, response: &Parts) -> ResponseClassification {
        // Guards against the late response to another request in the place of this one's.
        if response.headers.get(REQUEST_ID) != request.get(REQUEST_ID) {
            return untrusted();
        }
        let verdict = Verdict { keep_alive: keep_alive(&response.headers) };
        match response.status {
            StatusCode::MISDIRECTED_REQUEST => self.misdirected(request, verdict),
            _ if response.headers.contains_key(NOT_RUN) => verdict.withhold(Outcome::Full),
            // Guards against bytes that are not the backend's: a backend seals its responses, and no coding is requested of it.
            status if status.is_success() => {
                if response.headers.contains_key(SEAL) && !response.headers.contains_key(CONTENT_ENCODING) {
                    verdict.forward(Outcome::Ok)
                } else {
                    untrusted()
                }
            }
            // To a client these promise that nothing ran; a backend that doesn't say so promises nothing.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT => {
                verdict.withhold(Outcome::Error)
            }
            status if status.is_server_error() => verdict.forward(Outcome::Error),
            _ => verdict.forward(Outcome::Ok),
        }
    }
}

/// The judgement of a response that is this request's; its connection is reusable.
struct Verdict {
    keep_alive: Option<Duration>,
}

impl Verdict {
    /// The response may go to the client.
    fn forward(self, outcome: Outcome) -> ResponseClassification {
        ResponseClassification {
            outcome,
            quota_used: None,
            is_for_client: true,
            is_reusable: true,
            idle_timeout: self.keep_alive,
        }
    }

    /// The response says something to the gateway alone.
    fn withhold(self, outcome: Outcome) -> ResponseClassification {
        ResponseClassification { is_for_client: false, ..self.forward(outcome) }
    }
}

/// The judgement of a response of which nothing can be believed: the request may have run.
fn untrusted() -> ResponseClassification {
    ResponseClassification {
        outcome: Outcome::Reset,
        quota_used: None,
        is_for_client: false,
        is_reusable: false,
        idle_timeout: None,
    }
}

/// How long the backend keeps an idle connection, if it says so.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
