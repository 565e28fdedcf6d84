//! The owner of the decision module before scripted backends: which answers reach the client, and which connections
//! serve again.

mod common;

use brassport_policy::Effect;
use brassport_proxy::dispatch::RequestOutcome;
use common::{bounded, Site};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::StatusCode;
use std::time::Duration;

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
const ERROR: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nfault";

#[tokio::test]
async fn the_failure_of_the_last_attempt_reaches_the_client_where_it_passes() {
    bounded(async {
        let site = Site::new(Effect::Once, &[ERROR, ERROR]).await;
        assert_eq!(site.served().await, StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!((site.counts.0.get(), site.door.in_flight()), (1, 0));
        assert_eq!(*site.released.borrow(), [7], "the customer of the attempt, once");
        let mut headers = HeaderMap::new();
        headers.insert("nothing-passes", HeaderValue::from_static("1"));
        assert!(matches!(site.ask(headers).await, RequestOutcome::Failed));
    })
    .await;
}

#[tokio::test]
async fn an_answer_that_serves_goes_before_a_failure_that_passes() {
    bounded(async {
        let site = Site::new(Effect::Free, &[ERROR, OK]).await;
        assert_eq!(site.served().await, StatusCode::OK);
        assert_eq!((site.counts.0.get(), site.door.in_flight()), (2, 0));
        assert!(site.script.heads.borrow().iter().all(|head| head.contains("host: n")), "each is addressed");
    })
    .await;
}

#[tokio::test]
async fn a_connection_serves_again_only_if_its_answer_lets_it_and_for_half_of_the_time_told() {
    const ONCE: &str = "HTTP/1.1 200 OK\r\nOnce: 1\r\nContent-Length: 0\r\n\r\n";
    const SHORT: &str = "HTTP/1.1 200 OK\r\nKeep: 2000\r\nContent-Length: 0\r\n\r\n";
    bounded(async {
        let site = Site::new(Effect::Free, &[ONCE; 3]).await;
        for connections in 1..=3 {
            assert_eq!(site.served().await, StatusCode::OK);
            assert_eq!(site.script.connections.get(), connections, "none serves again");
        }
        let site = Site::new(Effect::Free, &[OK; 8]).await;
        for _ in 0..8 {
            assert_eq!(site.served().await, StatusCode::OK);
        }
        assert!(site.script.connections.get() <= 2, "one to each backend");
        let site = Site::new(Effect::Free, &[SHORT; 8]).await;
        for _ in 0..4 {
            assert_eq!(site.served().await, StatusCode::OK);
        }
        let before = site.script.connections.get();
        assert!(before <= 2, "one to each backend");
        tokio::time::sleep(Duration::from_millis(1050)).await;
        assert_eq!(site.served().await, StatusCode::OK);
        assert_eq!(site.script.connections.get(), before + 1, "those are too old");
    })
    .await;
}
