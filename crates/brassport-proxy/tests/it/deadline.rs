//! A deadline that is changed while a task waits for it.

use brassport_proxy::clock::SystemClock;
use brassport_proxy::deadline::ResettableDeadline;
use std::time::{Duration, Instant};

#[tokio::test]
async fn a_waiting_task_follows_changes_of_the_deadline_in_both_directions() {
    let start = Instant::now();
    let deadline = ResettableDeadline::new(start + Duration::from_secs(3600));
    let wait = async {
        deadline.passed(&SystemClock).await;
        assert!(
            Instant::now() >= start + Duration::from_millis(30),
            "the wait ended before the final deadline"
        );
    };
    let change = async {
        deadline.reset(start + Duration::from_millis(1));
        deadline.reset(start + Duration::from_millis(30));
    };
    tokio::join!(wait, change);
}
