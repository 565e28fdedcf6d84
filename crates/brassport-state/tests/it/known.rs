//! How a row of the last-known list is used by its age.

use brassport_state::known::{KnownNode, Worth, FORGOTTEN_AFTER, GENTLE_AFTER, RENEWED_AFTER};

fn node(heard_ms: u64) -> KnownNode {
    KnownNode {
        endpoint: "127.0.0.1:9000".parse().expect("an address"),
        zone: String::new(),
        group: 0,
        size: 1.0,
        started_ms: 5_000.0,
        draining: false,
        heard_ms,
    }
}

#[test]
fn an_old_node_is_in_slow_start_and_a_very_old_one_is_not_used() {
    let heard = 1_000_000;
    let worth = |age: u64| node(heard).worth(heard + age);
    assert_eq!(worth(GENTLE_AFTER), Worth::Node);
    assert_eq!(worth(GENTLE_AFTER + 1), Worth::Gentle);
    assert_eq!(worth(FORGOTTEN_AFTER + 1), Worth::Forgotten);
    assert_eq!(node(heard).start(heard + GENTLE_AFTER), 5_000.0);
    let late = heard + GENTLE_AFTER + 1;
    assert_eq!(node(heard).start(late), late as f64, "as one that starts now");
}

#[test]
fn a_clock_set_back_makes_no_row_fresh_and_no_node_warm_up_for_long() {
    let set_back = node(9_000_000);
    assert_eq!(set_back.worth(8_000_000), Worth::Gentle);
    assert_eq!(set_back.start(8_000_000), 8_000_000.0, "never later than now");
    let draining = KnownNode { draining: true, ..node(1) };
    assert_eq!(draining.worth(1 + 2 * FORGOTTEN_AFTER), Worth::Node, "a drain outlives its row's age");
}

#[test]
fn an_unchanged_row_is_written_again_only_when_it_has_aged() {
    assert!(node(1000 + RENEWED_AFTER - 1).is_kept_by(&node(1000)));
    assert!(!node(1000 + RENEWED_AFTER).is_kept_by(&node(1000)));
    assert!(!KnownNode { draining: true, ..node(1000) }.is_kept_by(&node(1000)));
}
