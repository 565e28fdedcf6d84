//! What an attempt says to a backend, and what the answer's head says of it.

use brassport_policy::Outcome;
use brassport_proxy::protocol::{Judged, Protocol};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_ENCODING};
use hyper::http::response::Parts;
use hyper::StatusCode;
use std::cell::RefCell;
use std::time::Duration;

/// Names the client's try; every answer carries it back.
pub const TRY_ID: HeaderName = HeaderName::from_static("x-try-id");
/// How many milliseconds the client still waits.
pub const TIME_LEFT: HeaderName = HeaderName::from_static("x-time-left-ms");
/// The backend that is meant: any other answers 421.
pub const EXPECT_SERVER: HeaderName = HeaderName::from_static("x-expect-server");
/// The tenant, as the system knows it.
pub const CUSTOMER: HeaderName = HeaderName::from_static("x-customer");
/// The backend has not run the request.
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");
/// The backend's mark on what it made.
const SEAL: HeaderName = HeaderName::from_static("x-server-seal");

/// The protocol of the gateway's backends.
#[derive(Debug, Default)]
pub struct BackendProtocol {
    /// Backends in whose place another one answered.
    displaced: RefCell<Vec<String>>,
}

impl BackendProtocol {
    /// Backends in whose place another one answered since this was asked last.
    pub fn displaced(&self) -> Vec<String> {
        self.displaced.take()
    }
}

impl Protocol for BackendProtocol {
    fn address(&self, headers: &mut HeaderMap, left: Duration, backend: &str) {
        if let Ok(left) = HeaderValue::from_str(&left.as_millis().to_string()) {
            headers.insert(TIME_LEFT, left);
        }
        if let Ok(backend) = HeaderValue::from_str(backend) {
            headers.insert(EXPECT_SERVER, backend);
        }
    }

    fn judge(&self, asked: &HeaderMap, answer: &Parts) -> Judged {
        let spoilt = |outcome| Judged { outcome, used: None, passes: false, reusable: false, keeps: None };
        // Guards against the answer to another request: one that came late, in the place of this one's.
        if answer.headers.get(TRY_ID) != asked.get(TRY_ID) {
            return spoilt(Outcome::Reset);
        }
        let keeps = keep_alive(&answer.headers);
        let told = |outcome, passes| Judged { outcome, used: None, passes, reusable: true, keeps };
        match answer.status {
            // What stands at the address is another life: this one is over.
            StatusCode::MISDIRECTED_REQUEST => {
                let named = asked.get(EXPECT_SERVER).and_then(|name| name.to_str().ok());
                self.displaced.borrow_mut().extend(named.map(str::to_owned));
                told(Outcome::NoConnection, false)
            }
            _ if answer.headers.contains_key(NOT_RUN) => told(Outcome::Full, false),
            // Guards against bytes that are not the backend's own: they carry its seal, and no coding was asked for.
            status if status.is_success() => {
                let sealed = answer.headers.contains_key(SEAL);
                let own = sealed && !answer.headers.contains_key(CONTENT_ENCODING);
                if own {
                    told(Outcome::Ok, true)
                } else {
                    spoilt(Outcome::Reset)
                }
            }
            // These promise that nothing ran; a backend that says so without its mark promises nothing.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::REQUEST_TIMEOUT => {
                told(Outcome::Error, false)
            }
            status if status.is_server_error() => told(Outcome::Error, true),
            _ => told(Outcome::Ok, true),
        }
    }
}

/// How long the backend keeps an idle connection, if it says so.
fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
