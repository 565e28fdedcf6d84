//! Responses that a program makes itself, which headers of a message are forwarded, and which requests can't be
//! trusted.

use crate::body::ResponseBody;
use crate::clock::Clock;
use crate::downstream::DownstreamConnection;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};

/// Headers of one connection (RFC 9110, section 7.6.1), which are not forwarded.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
    header::CONTENT_LENGTH,
];

/// A response with a line of text.
pub fn plain_text(status: StatusCode, line: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(Bytes::from_static(line.as_bytes())).into());
    *response.status_mut() = status;
    response
}

/// A rejection without a body, with `Retry-After` in seconds if the wait, in milliseconds, is positive.
pub fn retry_later(status: StatusCode, wait_ms: f64) -> Response<ResponseBody> {
    let mut response = plain_text(status, "");
    if wait_ms > 0.0 {
        if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", wait_ms / 1000.0)) {
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
    }
    response
}

/// The headers of a message that are forwarded: all but those of one connection, those that `Connection` names, and the
/// program's `own`. What `Connection` names and is in `kept` is forwarded all the same: a client can't remove it.
pub fn forwarded_headers(mut headers: HeaderMap, own: &[HeaderName], kept: &[HeaderName]) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|names| names.split(',').filter_map(|name| name.trim().parse().ok()))
        .filter(|name| !kept.contains(name))
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP).chain(own) {
        headers.remove(name);
    }
    headers
}

/// Whether the length of a request can't be trusted. Guards against a request smuggled in another's body (RFC 9112,
/// section 6.3): hyper removes a Content-Length that stands beside a Transfer-Encoding, and reads the last coding alone.
pub fn has_ambiguous_length<C: Clock>(headers: &HeaderMap, client: &DownstreamConnection<C>) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    codings.next().is_some_and(|coding| {
        let chunked = coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked");
        !chunked || codings.next().is_some() || !client.head_lacks(b"content-length")
    })
}
