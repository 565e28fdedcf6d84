//! A dispatcher with scripted backends: which responses are forwarded to the client, and which connections are reused.

use crate::common::{bounded, TestProxy};
use brassport_policy::RetrySafety;
use brassport_proxy::dispatch::RequestOutcome;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::StatusCode;
use std::time::Duration;
use test_case::test_case;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const NOT_RUN: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nfault";

#[tokio::test]
async fn the_error_response_of_the_last_attempt_is_forwarded_if_the_protocol_allows_it() {
    bounded(async {
        let proxy = TestProxy::new(RetrySafety::NonIdempotent, &[ERROR, ERROR]).await;
        assert_eq!(proxy.served().await, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!((proxy.written.0.get(), proxy.dispatcher.in_flight()), (1, 0));
        assert_eq!(*proxy.ended_attempts.borrow(), [7], "one attempt of customer 7 has ended");
        let mut headers = HeaderMap::new();
        headers.insert("forward-nothing", HeaderValue::from_static("1"));
        assert!(matches!(proxy.request(headers).await, RequestOutcome::Failed));
    })
    .await;
}

#[tokio::test]
async fn a_successful_retry_replaces_an_error_response() {
    bounded(async {
        let proxy = TestProxy::new(RetrySafety::Idempotent, &[ERROR, OK]).await;
        assert_eq!(proxy.served().await, StatusCode::OK);
        assert_eq!((proxy.written.0.get(), proxy.dispatcher.in_flight()), (2, 0));
        assert!(
            proxy.script.heads.borrow().iter().all(|head| head.contains("host: n")),
            "each attempt must have the header of its backend"
        );
    })
    .await;
}

#[tokio::test]
async fn a_connection_is_reused_only_if_its_response_allows_it_and_for_half_of_the_announced_idle_timeout() {
    const NOT_REUSABLE: &str = "HTTP/1.1 200 OK\r\nOnce: 1\r\nContent-Length: 0\r\n\r\n";
    const IDLE_TIMEOUT_2_S: &str = "HTTP/1.1 200 OK\r\nKeep: 2000\r\nContent-Length: 0\r\n\r\n";
    bounded(async {
        let proxy = TestProxy::new(RetrySafety::Idempotent, &[NOT_REUSABLE; 3]).await;
        for connections in 1..=3 {
            assert_eq!(proxy.served().await, StatusCode::OK);
            assert_eq!(proxy.script.connections.get(), connections, "no connection may be reused");
        }
        let proxy = TestProxy::new(RetrySafety::Idempotent, &[OK; 8]).await;
        for _ in 0..8 {
            assert_eq!(proxy.served().await, StatusCode::OK);
        }
        assert!(proxy.script.connections.get() <= 2, "at most one connection per backend");
        let proxy = TestProxy::new(RetrySafety::Idempotent, &[IDLE_TIMEOUT_2_S; 8]).await;
        for _ in 0..4 {
            assert_eq!(proxy.served().await, StatusCode::OK);
        }
        let before = proxy.script.connections.get();
        assert!(before <= 2, "at most one connection per backend");
        tokio::time::sleep(Duration::from_millis(1050)).await;
        assert_eq!(proxy.served().await, StatusCode::OK);
        assert_eq!(proxy.script.connections.get(), before + 1, "the idle connections have expired");
    })
    .await;
}

#[tokio::test]
async fn a_surplus_rejection_on_the_connection_of_an_attempt_does_not_reject_its_retry() {
    bounded(async {
        let proxy = TestProxy::with_backends(1, RetrySafety::NonIdempotent, &[OK, NOT_RUN, OK, OK]).await;
        assert_eq!(proxy.served().await, StatusCode::OK);
        assert_eq!(proxy.served().await, StatusCode::OK);
        assert_eq!(proxy.script.connections.get(), 2, "the retry must be sent on another connection");
        assert_eq!(proxy.served().await, StatusCode::OK);
        assert_eq!(proxy.script.connections.get(), 2, "another request may use the connection");
    })
    .await;
}

#[test_case("HTTP/1.1 503 Service UnavHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"; "in the status line")]
#[test_case("HTTP/1.1 503 Busy\r\nNote: aHTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n"; "in a header")]
#[test_case("HTTP/1.1 200 OK\r\nNote: HTTP/1.1 500 Fault\r\nContent-Length: 0\r\n\r\n"; "behind a success")]
#[tokio::test]
async fn a_request_whose_response_continues_the_head_of_a_surplus_one_may_have_run(response: &'static str) {
    bounded(async {
        let proxy = TestProxy::new(RetrySafety::NonIdempotent, &[response, OK]).await;
        assert!(matches!(proxy.request(HeaderMap::new()).await, RequestOutcome::Failed));
        assert_eq!(proxy.written.0.get(), 1, "the request must not be retried");
        proxy.script.connections_closed(1).await;
    })
    .await;
}

#[tokio::test]
async fn a_header_that_names_a_protocol_version_is_no_second_status_line() {
    const VERSION: &str =
        "HTTP/1.1 200 HTTP/1.1\r\nNote: HTTP/1.1 2x0, HTTP/1.1\r\nContent-Length: 0\r\n\r\n";
    bounded(async {
        let proxy = TestProxy::new(RetrySafety::NonIdempotent, &[VERSION]).await;
        assert_eq!(proxy.served().await, StatusCode::OK);
    })
    .await;
}

#[tokio::test]
async fn a_request_whose_connection_is_lost_during_its_upload_may_have_run() {
    const NO_RESPONSE: &str = "no response\r\n\r\n";
    bounded(async {
        let proxy = TestProxy::new(RetrySafety::NonIdempotent, &[NO_RESPONSE]).await;
        assert!(matches!(proxy.admit_incomplete().outcome().await, RequestOutcome::Failed));
        assert_eq!(proxy.script.heads.borrow().len(), 1, "the upload must not be retried");
    })
    .await;
}
