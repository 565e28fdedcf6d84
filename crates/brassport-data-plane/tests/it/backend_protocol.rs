//! The backend protocol: the headers of an attempt, compared with the fixture `headers`, and the classification of a
//! response by its head: whether it may be forwarded to the client, whether the request has run, and whether the
//! connection may be reused.

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
    response.body(()).expect("a valid response").into_parts().0
}

fn classify(status: u16, headers: &[(&'static str, &'static str)]) -> ResponseClassification {
    BackendProtocol::default().classify(&request(), &response(status, headers))
}

const ID: (&str, &str) = ("x-try-id", "9c41");
const SIGNATURE: (&str, &str) = ("x-server-seal", "3e1b.07");
const NOT_RUN: (&str, &str) = ("x-not-run", "1");

#[test_case(200, &[ID, SIGNATURE] => (Outcome::Ok, true, true); "a signed success with the request's id is forwarded")]
#[test_case(404, &[ID, SIGNATURE] => (Outcome::Ok, true, true); "a backend's 404 is forwarded")]
#[test_case(500, &[ID, SIGNATURE] => (Outcome::Error, true, true); "a 500 is an error and may be forwarded")]
#[test_case(504, &[ID] => (Outcome::Error, true, true); "a 504 is an error and may be forwarded")]
#[test_case(200, &[ID] => (Outcome::Reset, false, false); "a success without a signature is untrusted")]
#[test_case(200, &[ID, SIGNATURE, ("content-encoding", "gzip")] => (Outcome::Reset, false, false); "a content coding that was not requested is untrusted")]
#[test_case(200, &[("x-try-id", "77aa"), SIGNATURE] => (Outcome::Reset, false, false); "the response to another request is untrusted")]
#[test_case(200, &[SIGNATURE] => (Outcome::Reset, false, false); "a response without an id is untrusted")]
#[test_case(503, &[("x-try-id", "77aa"), NOT_RUN] => (Outcome::Reset, false, false); "the rejection of another request is untrusted")]
#[test_case(503, &[ID, NOT_RUN] => (Outcome::Overloaded, false, true); "a 503 marked as not run did not run")]
#[test_case(429, &[ID, NOT_RUN] => (Outcome::Overloaded, false, true); "a 429 marked as not run did not run")]
#[test_case(503, &[ID] => (Outcome::Error, false, true); "an unmarked 503 may have run and is not forwarded")]
#[test_case(429, &[ID] => (Outcome::Error, false, true); "an unmarked 429 may have run and is not forwarded")]
#[test_case(421, &[ID] => (Outcome::NoConnection, false, true); "a 421 of another incarnation did not run")]
fn a_response_is_classified_by_its_head(
    status: u16,
    headers: &[(&'static str, &'static str)],
) -> (Outcome, bool, bool) {
    let classification = classify(status, headers);
    (classification.outcome, classification.is_for_client, classification.is_reusable)
}

#[test]
fn status_421_reports_the_addressed_incarnation_as_displaced() {
    let protocol = BackendProtocol::default();
    protocol.classify(&request(), &response(421, &[ID]));
    assert_eq!(protocol.take_displaced(), ["i-7f3a"]);
    assert!(protocol.take_displaced().is_empty(), "a displaced backend must be reported only once");
}

#[test_case("timeout=5, max=100" => Some(Duration::from_secs(5)))]
#[test_case("max=100,timeout=12" => Some(Duration::from_secs(12)))]
#[test_case("timeout=soon" => None)]
fn keep_alive_announces_the_idle_timeout(keep_alive: &'static str) -> Option<Duration> {
    classify(200, &[ID, SIGNATURE, ("keep-alive", keep_alive)]).idle_timeout
}

#[test]
fn an_attempt_carries_the_time_left_and_the_expected_backend() {
    let mut headers = request();
    BackendProtocol::default().add_attempt_headers(&mut headers, Duration::from_micros(1_499_900), "i-0001");
    assert_eq!(headers["x-time-left-ms"], "1499");
    assert_eq!(headers["x-expect-server"], "i-0001");
}

#[test]
fn the_names_of_the_headers_are_unchanged() {
    let mut headers = HeaderMap::new();
    headers.insert("x-expect-server", HeaderValue::from_static("another"));
    BackendProtocol::default().add_attempt_headers(&mut headers, Duration::from_micros(1_499_900), "i-0001");
    let mut lines: Vec<String> = headers
        .iter()
        .map(|(name, value)| format!("{name}: {}", value.to_str().expect("an ASCII value")))
        .collect();
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
