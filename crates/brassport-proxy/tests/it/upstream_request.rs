//! A client's request as its attempts send it.

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

/// Writes the time left and the backend's name.
struct Deadline;

impl UpstreamProtocol for Deadline {
    fn add_attempt_headers(&self, headers: &mut HeaderMap, time_left: Duration, backend: &str) {
        let text = format!("{}u for {backend}", time_left.as_micros());
        headers.insert("x-deadline", HeaderValue::from_str(&text).expect("a header's value"));
    }

    fn classify(&self, _: &HeaderMap, _: &Parts) -> ResponseClassification {
        unreachable!("nothing is answered")
    }
}

#[test]
fn a_body_that_is_forwarded_as_it_arrives_is_sent_once() {
    let body = RefCell::new(Some(UpstreamBody::Complete(Full::new(Bytes::from_static(b"the first of it")))));
    let upload =
        StreamingUpload { body, progress: Rc::default(), client_timeout: Duration::from_millis(480) };
    let (method, uri, headers) = (Method::POST, Uri::from_static("/job"), HeaderMap::new());
    let request = UpstreamRequest { method, uri, headers, body: RequestBody::Streaming(upload) };
    let first = request.for_attempt(Duration::from_secs(9), &Deadline, "n7").expect("it is in memory");
    assert_eq!(first.headers()["x-deadline"], "480000u for n7", "its client's time begins later");
    assert!(request.for_attempt(Duration::from_secs(9), &Deadline, "n7").is_none());
    assert!(!request.is_complete());
}
