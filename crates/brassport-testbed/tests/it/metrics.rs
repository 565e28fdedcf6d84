//! What a node's counters say of clients that leave.

use crate::common::{send_at, Serving};
use brassport_testbed::clients::RequestSpec;
use brassport_testbed::http;
use brassport_testbed::play::block_on;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// How long counters may take to say so.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// The figure of a line of the counters; nought if there is no such line.
fn figure(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|figure| figure.parse().ok()).unwrap_or(0)
}

#[test]
fn departed_client_and_its_cancelled_attempt_are_counted() {
    block_on(async {
        let serving = Serving::start().await;
        let node = &serving.site.nodes[0];
        let key = serving.operator.plan.as_ref().and_then(|plan| plan.key("elm")).expect("elm has a key");
        let spec = RequestSpec::idempotent("/open/")
            .with_key(Some(("elm".to_owned(), key.to_owned())))
            .with_work(Duration::from_secs(2))
            .leaving_after(Duration::from_millis(100));
        send_at(node.front(), 1, &serving.recorder, &spec).await;
        let counted = [
            "brassport_requests_total{service=\"alder\",verdict=\"client_left\"}",
            "brassport_attempts_total{service=\"alder\",outcome=\"cancelled\"}",
            "brassport_attempts_called_off_after_client_left_total{service=\"alder\"}",
        ];
        let since = Instant::now();
        loop {
            let answer = http::call(node.metrics(), "GET", "/metrics", &[], Vec::new(), CALL_TIMEOUT).await;
            let text = String::from_utf8(answer.expect("an answer").body.to_vec()).expect("text");
            let figures = counted.map(|name| figure(&text, name));
            if figures == [1; 3] {
                assert_eq!(figure(&text, "brassport_attempts_abandoned_total{service=\"alder\"}"), 0);
                break;
            }
            assert!(since.elapsed() < CALL_TIMEOUT, "{figures:?}\n{text}");
            sleep(Duration::from_millis(50)).await;
        }
        let other = http::call(node.metrics(), "GET", "/other", &[], Vec::new(), CALL_TIMEOUT).await;
        assert_eq!(other.expect("an answer").status, 404);
    })
    .expect("a runtime");
}
