//! The protocol between the gateway and its backends: the headers of attempts and the classification of responses.

use brassport_policy::Outcome;
use brassport_proxy::protocol::{ResponseClassification, UpstreamProtocol};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_ENCODING};
use hyper::http::response::Parts;
use hyper::StatusCode;
use std::cell::RefCell;
use std::time::Duration;

/// The request id chosen by the client. Every response of a backend must repeat it.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-try-id");
/// The client's remaining time in milliseconds.
pub const TIME_LEFT_MS: HeaderName = HeaderName::from_static("x-time-left-ms");
/// The id of the selected backend; a backend with another id responds with 421.
pub const EXPECTED_BACKEND: HeaderName = HeaderName::from_static("x-expect-server");
/// The name of the authenticated tenant.
pub const TENANT: HeaderName = HeaderName::from_static("x-customer");
/// Present in a response if the backend has not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
/// The signature that a backend adds to its responses.
const SIGNATURE: HeaderName = HeaderName::from_static("x-server-seal");

/// The protocol of the backends of one service. It also collects the ids of displaced backends, i.e. of those whose
/// address has been taken over by another backend.
#[derive(Debug, Default)]
pub struct BackendProtocol {
    /// Ids of backends at whose address another backend has responded.
    displaced: RefCell<Vec<String>>,
}

impl BackendProtocol {
    /// Returns the ids of backends at whose address another backend has responded since the last call.
    pub fn take_displaced(&self) -> Vec<String> {
        self.displaced.take()
    }

    /// Handles a 421: another incarnation has the address. The expected backend has terminated, so the request has not
    /// run.
    fn misdirected(&self, request: &HeaderMap, response: TrustedResponse) -> ResponseClassification {
        let backend = request.get(EXPECTED_BACKEND).and_then(|id| id.to_str().ok());
        self.displaced.borrow_mut().extend(backend.map(str::to_owned));
        response.withhold(Outcome::NoConnection)
    }
}

impl UpstreamProtocol for BackendProtocol {
    fn add_attempt_headers(&self, headers: &mut HeaderMap, time_left: Duration, backend: &str) {
        if let Ok(time_left_ms) = HeaderValue::from_str(&time_left.as_millis().to_string()) {
            headers.insert(TIME_LEFT_MS, time_left_ms);
        }
        if let Ok(backend) = HeaderValue::from_str(backend) {
            headers.insert(EXPECTED_BACKEND, backend);
        }
    }

    fn classify(&self, request: &HeaderMap, response: &Parts) -> ResponseClassification {
        // A different id means that this is a late response to another request.
        if response.headers.get(REQUEST_ID) != request.get(REQUEST_ID) {
            return untrusted();
        }
        let trusted = TrustedResponse { idle_timeout: announced_idle_timeout(&response.headers) };
        match response.status {
            StatusCode::MISDIRECTED_REQUEST => self.misdirected(request, trusted),
            _ if response.headers.contains_key(NOT_RUN) => trusted.withhold(Outcome::Overloaded),
            // A successful response must be the backend's own: signed, and without a content coding, as none was
            // requested.
            status if status.is_success() => {
                if response.headers.contains_key(SIGNATURE)
                    && !response.headers.contains_key(CONTENT_ENCODING)
                {
                    trusted.forward(Outcome::Ok)
                } else {
                    untrusted()
                }
            }
            // Clients take these statuses as a guarantee that the request has not run. Without the header `x-not-run`
            // the backend gives no such guarantee, so the response is not forwarded.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT => {
                trusted.withhold(Outcome::Error)
            }
            status if status.is_server_error() => trusted.forward(Outcome::Error),
            _ => trusted.forward(Outcome::Ok),
        }
    }
}

/// A response that belongs to the request, so that its connection is reusable.
struct TrustedResponse {
    /// The idle timeout that the backend announces.
    idle_timeout: Option<Duration>,
}

impl TrustedResponse {
    /// Classifies the response as one that may be forwarded to the client.
    fn forward(self, outcome: Outcome) -> ResponseClassification {
        ResponseClassification {
            outcome,
            quota_used: None,
            is_for_client: true,
            is_reusable: true,
            idle_timeout: self.idle_timeout,
        }
    }

    /// Classifies the response as one for the gateway only.
    fn withhold(self, outcome: Outcome) -> ResponseClassification {
        ResponseClassification { is_for_client: false, ..self.forward(outcome) }
    }
}

/// The classification of a response that cannot be trusted: the request may have run, and the connection is closed.
fn untrusted() -> ResponseClassification {
    ResponseClassification {
        outcome: Outcome::Reset,
        quota_used: None,
        is_for_client: false,
        is_reusable: false,
        idle_timeout: None,
    }
}

/// The idle timeout announced by the `Keep-Alive` header, if there is one.
fn announced_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
