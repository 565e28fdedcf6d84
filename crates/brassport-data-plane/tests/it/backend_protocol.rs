//! The protocol of backends: the headers of an attempt, against the fixture `headers`, and the judgement of a response's head:
//! which responses are the client's, which prove that nothing ran, and which connections can't be reused.

use crate::GOLDEN;
use brassport_data_plane::backend_protocol::{
    BackendProtocol, EXPECTED_BACKEND, REQUEST_ID, TENANT, TIME_LEFT_MS,
};
use brassport_policy::Outcome;
use brassport_proxy::protocol::{ResponseClassification, UpstreamProtocol};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::Response;
use std::time::Duration;
use test_case::test_case;

fn request() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("x-try-id", HeaderValue::from_static("9c41"));
    headers.insert("x-expect-server", HeaderValue::from_static("i-7f3a"));
    headers
}

fn response(status: u16, headers: &[(&'static str, &'static str)]) -> Parts {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    response.body(()).expect("a response").into_parts().0
}

fn judge(status: u16, headers: &[(&'static str, &'static str)]) -> ResponseClassification {
    BackendProtocol::default().classify(&request(), &response(status, headers))
}

const ID: (&str, &str) = ("x-try-id", "9c41");
const SEAL: (&str, &str) = ("x-server-seal", "3e1b.07");
const NOT_RUN: (&str, &str) = ("x-not-run", "1");

#[test_case(200, &[ID, SEAL] => (Outcome::Ok, true, true); "a success with seal and id is forwarded")]
#[test_case(404, &[ID, SEAL] => (Outcome::Ok, true, true); "a backend's 404 is forwarded")]
#[test_case(500, &[ID, SEAL] => (Outcome::Error, true, true); "a 500 ran and is forwarded unless a retry does better")]
#[test_case(504, &[ID] => (Outcome::Error, true, true); "a 504 at the deadline ran")]
#[test_case(200, &[ID] => (Outcome::Reset, false, false); "a success without a seal is untrusted")]
#[test_case(200, &[ID, SEAL, ("content-encoding", "gzip")] => (Outcome::Reset, false, false); "a coding that was not requested is untrusted")]
#[test_case(200, &[("x-try-id", "77aa"), SEAL] => (Outcome::Reset, false, false); "the response to another request is untrusted")]
#[test_case(200, &[SEAL] => (Outcome::Reset, false, false); "a response without an id is untrusted")]
#[test_case(503, &[("x-try-id", "77aa"), NOT_RUN] => (Outcome::Reset, false, false); "another request's rejection is untrusted")]
#[test_case(503, &[ID, NOT_RUN] => (Outcome::Full, false, true); "a 503 marked as not run never ran")]
#[test_case(429, &[ID, NOT_RUN] => (Outcome::Full, false, true); "a 429 marked as not run never ran")]
#[test_case(503, &[ID] => (Outcome::Error, false, true); "a plain 503 may have run and is not forwarded")]
#[test_case(429, &[ID] => (Outcome::Error, false, true); "a plain 429 may have run and is not forwarded")]
#[test_case(421, &[ID] => (Outcome::NoConnection, false, true); "a 421 of another incarnation never ran")]
fn a_response_is_judged_by_its_head(
    status: u16,
    headers: &[(&'static str, &'static str)],
) -> (Outcome, bool, bool) {
    let judged = judge(status, headers);
    (judged.outcome, judged.is_for_client, judged.is_reusable)
}

#[test]
fn status_421_reports_the_addressed_incarnation_as_displaced() {
    let protocol = BackendProtocol::default();
    protocol.classify(&request(), &response(421, &[ID]));
    assert_eq!(protocol.take_displaced(), ["i-7f3a"]);
    assert!(protocol.take_displaced().is_empty(), "they are reported once");
}

#[test_case("timeout=5, max=100" => Some(Duration::from_secs(5)))]
#[test_case("max=100,timeout=12" => Some(Duration::from_secs(12)))]
#[test_case("timeout=soon" => None)]
fn keep_alive_announces_the_idle_timeout(keep_alive: &'static str) -> Option<Duration> {
    judge(200, &[ID, SEAL, ("keep-alive", keep_alive)]).idle_timeout
}

#[test]
fn an_attempt_carries_the_time_left_and_the_expected_backend() {
    let mut headers = request();
    BackendProtocol::default().add_attempt_headers(&mut headers, Duration::from_micros(1_499_900), "i-0001");
    assert_eq!(headers["x-time-left-ms"], "1499");
    assert_eq!(headers["x-expect-server"], "i-0001");
}

#[test]
fn headers_have_pinned_names() {
    let mut headers = HeaderMap::new();
    headers.insert("x-expect-server", HeaderValue::from_static("another"));
    BackendProtocol::default().add_attempt_headers(&mut headers, Duration::from_micros(1_499_900), "i-0001");
    let mut lines: Vec<String> =
        headers.iter().map(|(name, value)| format!("{name}: {}", value.to_str().expect("text"))).collect();
    lines.sort();
    let cases = [
        ("try id", REQUEST_ID.to_string()),
        ("time left", TIME_LEFT_MS.to_string()),
        ("expect server", EXPECTED_BACKEND.to_string()),
        ("customer", TENANT.to_string()),
        ("an attempt's own", lines.join("\n")),
    ];
    GOLDEN.same_lines("headers", &cases.map(|(name, text)| (name.to_owned(), text)));
}
