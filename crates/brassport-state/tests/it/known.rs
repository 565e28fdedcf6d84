//! Tests of how the age of a row in the last-known list determines its use.

use brassport_state::known::{KnownNode, RowUse, IGNORED_AFTER_MS, REWRITE_AFTER_MS, SLOW_START_AFTER_MS};

fn node(last_listed_ms: u64) -> KnownNode {
    KnownNode {
        endpoint: "127.0.0.1:9000".parse().expect("a valid address"),
        zone: String::new(),
        group: 0,
        size: 1.0,
        started_ms: 5_000.0,
        draining: false,
        last_listed_ms,
    }
}

#[test]
fn an_old_node_is_in_slow_start_and_a_very_old_one_is_not_used() {
    let last_listed_ms = 1_000_000;
    let row_use = |age: u64| node(last_listed_ms).row_use(last_listed_ms + age);
    assert_eq!(row_use(SLOW_START_AFTER_MS), RowUse::AsStored);
    assert_eq!(row_use(SLOW_START_AFTER_MS + 1), RowUse::SlowStart);
    assert_eq!(row_use(IGNORED_AFTER_MS + 1), RowUse::Ignored);
    assert_eq!(node(last_listed_ms).assumed_start_ms(last_listed_ms + SLOW_START_AFTER_MS), 5_000.0);
    let late = last_listed_ms + SLOW_START_AFTER_MS + 1;
    assert_eq!(node(last_listed_ms).assumed_start_ms(late), late as f64, "the node counts as started now");
}

#[test]
fn a_row_dated_in_the_future_starts_slowly_from_now_and_a_drain_does_not_expire() {
    let future_row = node(9_000_000);
    assert_eq!(future_row.row_use(8_000_000), RowUse::SlowStart);
    assert_eq!(future_row.assumed_start_ms(8_000_000), 8_000_000.0, "the start time is never later than now");
    let draining = KnownNode { draining: true, ..node(1) };
    assert_eq!(
        draining.row_use(1 + 2 * IGNORED_AFTER_MS),
        RowUse::AsStored,
        "a drain stays in force regardless of its row's age"
    );
}

#[test]
fn an_unchanged_row_is_written_again_only_when_it_has_aged() {
    assert!(node(1000 + REWRITE_AFTER_MS - 1).can_reuse(&node(1000)));
    assert!(!node(1000 + REWRITE_AFTER_MS).can_reuse(&node(1000)));
    assert!(!KnownNode { draining: true, ..node(1000) }.can_reuse(&node(1000)));
}
