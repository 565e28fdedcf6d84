//! What the head of a backend's answer says of an attempt: which answers are the client's, which prove that nothing ran, and
//! which connection is of no use any more.

use brassport_data_plane::wire::BackendProtocol;
use brassport_policy::Outcome;
use brassport_proxy::protocol::{Judged, Protocol};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::Response;
use std::time::Duration;
use test_case::test_case;

fn asked() -> HeaderMap {
    let mut headers = HeaderMap::new();
    headers.insert("x-try-id", HeaderValue::from_static("9c41"));
    headers.insert("x-expect-server", HeaderValue::from_static("i-7f3a"));
    headers
}

fn answer(status: u16, headers: &[(&'static str, &'static str)]) -> Parts {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    response.body(()).expect("a response").into_parts().0
}

fn judge(status: u16, headers: &[(&'static str, &'static str)]) -> Judged {
    BackendProtocol::default().judge(&asked(), &answer(status, headers))
}

const ID: (&str, &str) = ("x-try-id", "9c41");
const SEAL: (&str, &str) = ("x-server-seal", "3e1b.07");
const NOT_RUN: (&str, &str) = ("x-not-run", "1");

#[test_case(200, &[ID, SEAL] => (Outcome::Ok, true, true); "a success with seal and id is the client's")]
#[test_case(404, &[ID, SEAL] => (Outcome::Ok, true, true); "a backend's own 404 is the client's")]
#[test_case(500, &[ID, SEAL] => (Outcome::Error, true, true); "its own 500 ran, and is the client's if nothing does better")]
#[test_case(504, &[ID] => (Outcome::Error, true, true); "its 504 at the deadline ran")]
#[test_case(200, &[ID] => (Outcome::Reset, false, false); "a success without a seal is not the backend's")]
#[test_case(200, &[ID, SEAL, ("content-encoding", "gzip")] => (Outcome::Reset, false, false); "a coding was not asked for")]
#[test_case(200, &[("x-try-id", "77aa"), SEAL] => (Outcome::Reset, false, false); "the answer to another request is nobody's")]
#[test_case(200, &[SEAL] => (Outcome::Reset, false, false); "an answer without an id is nobody's")]
#[test_case(503, &[("x-try-id", "77aa"), NOT_RUN] => (Outcome::Reset, false, false); "nor does another's refusal prove anything")]
#[test_case(503, &[ID, NOT_RUN] => (Outcome::Full, false, true); "turned away: it never ran")]
#[test_case(429, &[ID, NOT_RUN] => (Outcome::Full, false, true); "turned away by a limit of its own")]
#[test_case(503, &[ID] => (Outcome::Error, false, true); "a plain 503 promises nothing, and must not reach the client as a promise")]
#[test_case(429, &[ID] => (Outcome::Error, false, true); "nor does a plain 429")]
#[test_case(421, &[ID] => (Outcome::NoConnection, false, true); "another life at the address: it never ran")]
fn an_answer_says(status: u16, headers: &[(&'static str, &'static str)]) -> (Outcome, bool, bool) {
    let judged = judge(status, headers);
    (judged.outcome, judged.passes, judged.reusable)
}

#[test]
fn whoever_answers_421_shows_that_the_life_that_was_meant_is_over() {
    let wire = BackendProtocol::default();
    wire.judge(&asked(), &answer(421, &[ID]));
    assert_eq!(wire.displaced(), ["i-7f3a"]);
    assert!(wire.displaced().is_empty(), "told once");
}

#[test_case("timeout=5, max=100" => Some(Duration::from_secs(5)))]
#[test_case("max=100,timeout=12" => Some(Duration::from_secs(12)))]
#[test_case("timeout=soon" => None)]
fn a_connection_is_kept_as_long_as_the_backend_says(keep_alive: &'static str) -> Option<Duration> {
    judge(200, &[ID, SEAL, ("keep-alive", keep_alive)]).keeps
}

#[test]
fn an_attempt_says_what_is_left_and_whom_it_means() {
    let mut headers = asked();
    BackendProtocol::default().address(&mut headers, Duration::from_micros(1_499_900), "i-0001");
    assert_eq!(headers["x-time-left-ms"], "1499");
    assert_eq!(headers["x-expect-server"], "i-0001");
}
