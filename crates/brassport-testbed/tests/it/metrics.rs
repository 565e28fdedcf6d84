//! What a door's counters say of clients that leave.

use crate::common::Serving;
use brassport_testbed::clients::{Client, Platform, Wish};
use brassport_testbed::http;
use brassport_testbed::play::block_on;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How long counters may take to say so.
const PATIENCE: Duration = Duration::from_secs(5);

/// The figure of a line of the counters; nought if there is no such line.
fn figure(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|figure| figure.parse().ok()).unwrap_or(0)
}

#[test]
fn a_client_that_leaves_is_counted_and_so_is_the_attempt_that_is_called_off() {
    block_on(async {
        let serving = Serving::start().await;
        let door = &serving.site.doors[0];
        let key = serving.operator.plan.as_ref().and_then(|plan| plan.key("elm")).expect("elm has a key");
        let wish = Wish {
            path_start: "/open/".into(),
            is_safe: true,
            tenant: Some(("elm".to_owned(), key.to_owned())),
            is_due: false,
            work: Some(Duration::from_secs(2)),
            leaves_after: Some(Duration::from_millis(100)),
        };
        let mut client = Client::new(1, Platform::watch(&[]), serving.journal.clone());
        client.only = Some(door.front());
        client.ask(&wish).await;
        let counted = [
            "brassport_requests_total{service=\"alder\",verdict=\"client_left\"}",
            "brassport_attempts_total{service=\"alder\",outcome=\"cancelled\"}",
            "brassport_attempts_called_off_after_client_left_total{service=\"alder\"}",
        ];
        let since = Instant::now();
        loop {
            let answer = http::call(door.metrics(), "GET", "/metrics", &[], Vec::new(), PATIENCE).await;
            let text = String::from_utf8(answer.expect("an answer").body.to_vec()).expect("text");
            let figures = counted.map(|name| figure(&text, name));
            if figures == [1; 3] {
                assert_eq!(figure(&text, "brassport_attempts_abandoned_total{service=\"alder\"}"), 0);
                break;
            }
            assert!(since.elapsed() < PATIENCE, "{figures:?}\n{text}");
            sleep(Duration::from_millis(50)).await;
        }
        let other = http::call(door.metrics(), "GET", "/other", &[], Vec::new(), PATIENCE).await;
        assert_eq!(other.expect("an answer").status, 404);
    })
    .expect("a runtime");
}
