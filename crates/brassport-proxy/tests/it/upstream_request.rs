//! Building the request of an attempt from a client's request.

use brassport_proxy::body::UpstreamBody;
use brassport_proxy::protocol::{ResponseClassification, UpstreamProtocol};
use brassport_proxy::upstream::{RequestBody, StreamingUpload, UpstreamRequest};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Uri};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// A protocol that writes the remaining time and the name of the backend into `x-deadline`.
struct DeadlineProtocol;

impl UpstreamProtocol for DeadlineProtocol {
    fn add_attempt_headers(&self, headers: &mut HeaderMap, time_left: Duration, backend: &str) {
        let text = format!("{}u for {backend}", time_left.as_micros());
        headers.insert("x-deadline", HeaderValue::from_str(&text).expect("a valid header value"));
    }

    fn classify(&self, _: &HeaderMap, _: &Parts) -> ResponseClassification {
        unreachable!("the test has no responses")
    }
}

#[test]
fn a_streamed_body_is_sent_only_once() {
    let body = RefCell::new(Some(UpstreamBody::Complete(Full::new(Bytes::from_static(b"the first bytes")))));
    let upload =
        StreamingUpload { body, progress: Rc::default(), client_timeout: Duration::from_millis(480) };
    let (method, uri, headers) = (Method::POST, Uri::from_static("/job"), HeaderMap::new());
    let request = UpstreamRequest { method, uri, headers, body: RequestBody::Streaming(upload) };
    let first =
        request.for_attempt(Duration::from_secs(9), &DeadlineProtocol, "n7").expect("the body is unused");
    assert_eq!(first.headers()["x-deadline"], "480000u for n7", "the client timeout starts after the upload");
    assert!(request.for_attempt(Duration::from_secs(9), &DeadlineProtocol, "n7").is_none());
    assert!(!request.is_complete());
}
