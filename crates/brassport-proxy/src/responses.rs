//! Answers of a program's own, what of a message's headers goes on, and which requests can't be trusted.

use crate::body::ResponseBody;
use crate::clock::Clock;
use crate::downstream::DownstreamConnection;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Response, StatusCode};

/// Headers that speak of one connection and go no further.
const OF_ONE_CONNECTION: [HeaderName; 9] = [
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

/// A line of text.
pub fn plain_text(status: StatusCode, line: &'static str) -> Response<ResponseBody> {
    let mut response = Response::new(Full::new(Bytes::from_static(line.as_bytes())).into());
    *response.status_mut() = status;
    response
}

/// Not now; in so many milliseconds, if that is not nought.
pub fn retry_later(status: StatusCode, wait: f64) -> Response<ResponseBody> {
    let mut response = plain_text(status, "");
    if wait > 0.0 {
        if let Ok(seconds) = HeaderValue::from_str(&format!("{:.3}", wait / 1000.0)) {
            response.headers_mut().insert(header::RETRY_AFTER, seconds);
        }
    }
    response
}

/// What of a message's headers goes on to the other side: all but those of one connection, those that it names as such,
/// and the program's `own`. Of what it names as such, `kept` goes on all the same.
pub fn forwarded_headers(mut headers: HeaderMap, own: &[HeaderName], kept: &[HeaderName]) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|names| names.split(',').filter_map(|name| name.trim().parse().ok()))
        .filter(|name| !kept.contains(name))
        .collect();
    for name in named.iter().chain(&OF_ONE_CONNECTION).chain(own) {
        headers.remove(name);
    }
    headers
}

/// Whether the length of a request can't be trusted. Guards against a request hidden in another's body (RFC 9112, section
/// 6.3): hyper takes out a Content-Length that stands beside a Transfer-Encoding, and looks at the last coding alone.
pub fn has_ambiguous_length<C: Clock>(headers: &HeaderMap, client: &DownstreamConnection<C>) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    codings.next().is_some_and(|coding| {
        let chunked = coding.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked");
        !chunked || codings.next().is_some() || !client.came_without(b"content-length")
    })
}
