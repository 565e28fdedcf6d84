//! Why a request gets no response of a backend, and what its client gets instead.

use brassport_proxy::body::{ReadError, ResponseBody};
use brassport_proxy::responses::{plain_text, retry_later};
use hyper::{Response, StatusCode};

/// Advice on waiting, in milliseconds, where there is no better.
const DEFAULT_RETRY_AFTER_MS: f64 = 150.0;
/// Advice of a node that has no configuration, or not yet one with this service.
const UNCONFIGURED_RETRY_AFTER_MS: f64 = 600.0;

/// Why a request gets no response of a backend.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Rejection {
    /// Its framing can be read in two ways.
    AmbiguousFraming,
    /// A header that has one value has two.
    DuplicateHeader,
    /// The node's configuration has nothing to serve it with yet.
    NotConfigured,
    /// No route has its host and path.
    NoRoute,
    /// The route needs a tenant's key, and this is none.
    UnknownKey,
    /// The length that its head declares is beyond the limit.
    LengthBeyondLimit,
    /// The body did not come as it has to.
    Body(BodyFault),
    /// Another request of the same id is in flight.
    DuplicateRequest,
    /// The tenant's quota is exhausted; nothing ran.
    QuotaExhausted { retry_after_ms: f64 },
    /// The policy has no capacity for it; nothing ran.
    NoCapacity { retry_after_ms: f64 },
    /// No connection could be spared for it.
    NoConnection,
    /// No backend responded before its deadline; it may have run.
    NoResponse,
}

/// What was wrong with a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyFault {
    /// It broke off, or its coding is invalid.
    Malformed,
    /// It is longer than any request may be.
    TooLong,
    /// It came too slowly.
    TooSlow,
}

impl From<ReadError> for BodyFault {
    fn from(problem: ReadError) -> BodyFault {
        match problem {
            ReadError::Incomplete => BodyFault::Malformed,
            ReadError::TooLong => BodyFault::TooLong,
            ReadError::TooSlow => BodyFault::TooSlow,
        }
    }
}

impl Rejection {
    /// The response.
    pub(crate) fn into_response(self) -> Response<ResponseBody> {
        let (status, line) = match self {
            Rejection::AmbiguousFraming => {
                (StatusCode::BAD_REQUEST, "Transfer-Encoding beside something else")
            }
            Rejection::DuplicateHeader => (StatusCode::BAD_REQUEST, "a header stands there twice"),
            Rejection::NoRoute => (StatusCode::NOT_FOUND, "no route leads there"),
            Rejection::UnknownKey => (StatusCode::UNAUTHORIZED, "the key is not known"),
            Rejection::LengthBeyondLimit => {
                (StatusCode::PAYLOAD_TOO_LARGE, "the body is longer than the limits allow")
            }
            Rejection::Body(fault) => fault.response(),
            Rejection::DuplicateRequest => (StatusCode::CONFLICT, "a request of this id is open"),
            Rejection::NoResponse => (StatusCode::GATEWAY_TIMEOUT, "no answer of a backend"),
            Rejection::NotConfigured => {
                return retry_later(StatusCode::SERVICE_UNAVAILABLE, UNCONFIGURED_RETRY_AFTER_MS)
            }
            Rejection::QuotaExhausted { retry_after_ms } => {
                return retry_later(StatusCode::TOO_MANY_REQUESTS, advice(retry_after_ms))
            }
            Rejection::NoCapacity { retry_after_ms } => {
                return retry_later(StatusCode::SERVICE_UNAVAILABLE, advice(retry_after_ms))
            }
            Rejection::NoConnection => {
                return retry_later(StatusCode::SERVICE_UNAVAILABLE, DEFAULT_RETRY_AFTER_MS)
            }
        };
        plain_text(status, line)
    }
}

impl BodyFault {
    fn response(self) -> (StatusCode, &'static str) {
        match self {
            BodyFault::Malformed => (StatusCode::BAD_REQUEST, "the body is broken"),
            BodyFault::TooLong => (StatusCode::PAYLOAD_TOO_LARGE, "the body is too long"),
            BodyFault::TooSlow => (StatusCode::REQUEST_TIMEOUT, "the body did not come"),
        }
    }
}

/// The policy's advice, if it has one.
fn advice(retry_after_ms: f64) -> f64 {
    if retry_after_ms > 0.0 {
        retry_after_ms
    } else {
        DEFAULT_RETRY_AFTER_MS
    }
}
