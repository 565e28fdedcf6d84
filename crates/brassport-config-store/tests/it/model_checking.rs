//! Model checking of consensus: an exhaustive exploration, within bounds, of every order of events among two to four
//! voters.
//!
//! The full exploration:
//!
//! ```sh
//! cargo test --release -p brassport-config-store --test it model_checking:: -- --ignored --nocapture --test-threads 1
//! ```

use crate::harness::model::{explore, walk, Sizes, NO_FAULTS};
use std::time::Instant;
use test_case::test_case;

fn assert_no_violation(sizes: Sizes, min_states: usize) {
    let since = Instant::now();
    let (explored, violation) = explore(sizes, None);
    let extent = if explored.depth < sizes.depth { "complete" } else { "complete up to this depth" };
    let took = since.elapsed().as_secs_f64();
    println!("{} states, depth {}, {extent}, {took:.1} s: {sizes:?}", explored.states, explored.depth);
    assert!(violation.is_none(), "{violation:?}");
    assert!(explored.states > min_states, "too few states were explored: {explored:?}");
}

const WITH_LEADER: Sizes = Sizes { starts_with_leader: true, ..NO_FAULTS };

#[test_case(Sizes { depth: 10, ..NO_FAULTS }; "the first in the agreed order leads")]
#[test_case(WITH_LEADER; "the leader stops responding with a proposal pending")]
#[test_case(Sizes { duplicates: 1, depth: 10, ..WITH_LEADER }; "a message is duplicated")]
fn one_entry_is_committed_at_an_index_in_any_order_of_events(sizes: Sizes) {
    assert_no_violation(sizes, 4_000);
}

#[test_case(Sizes { crashes: 1, depth: 10, ..WITH_LEADER }; "a voter crashes between a write and its sync")]
#[test_case(Sizes { write_failures: 1, depth: 11, ..WITH_LEADER }; "a write fails")]
#[test_case(Sizes { reads: 1, depth: 11, ..WITH_LEADER }; "a read")]
#[test_case(Sizes { configurations: 2, depth: 11, ..WITH_LEADER }; "two writes race")]
#[test_case(Sizes { wipes: 1, changes: 2, depth: 9, ..WITH_LEADER }; "a disk is lost and the new one added")]
#[test_case(Sizes { voters: 4, depth: 10, ..WITH_LEADER }; "four voters")]
#[test_case(Sizes { transfers: 1, ticks: 1, depth: 11, ..WITH_LEADER }; "leadership is transferred with a proposal pending")]
#[test_case(Sizes { spares: 1, departures: 1, changes: 2, depth: 9, ..WITH_LEADER }; "one of three leaves and its successor is added")]
#[test_case(Sizes { voters: 2, spares: 2, departures: 1, changes: 3, depth: 9, ..WITH_LEADER }; "two add two and one leaves in between")]
fn one_entry_is_committed_at_an_index_under_faults(sizes: Sizes) {
    assert_no_violation(sizes, 4_000);
}

#[test]
fn no_random_walk_breaks_an_invariant() {
    let without_faults =
        Sizes { configurations: 3, ticks: 5, ticks_each: 3, reads: 2, depth: 80, ..WITH_LEADER };
    let sizes =
        Sizes { crashes: 2, wipes: 1, write_failures: 1, changes: 2, duplicates: 1, ..without_faults };
    let violation = walk(Sizes { spares: 1, departures: 1, changes: 4, transfers: 2, ..sizes }, None, 2_000)
        .or_else(|| walk(sizes, None, 2_000));
    assert!(violation.is_none(), "{violation:?}");
}

#[test]
#[ignore = "takes minutes and gigabytes of memory"]
fn the_full_exploration_breaks_no_invariant() {
    for sizes in [
        Sizes { depth: 22, ..NO_FAULTS },
        Sizes { duplicates: 1, ..WITH_LEADER },
        Sizes { reads: 1, ..WITH_LEADER },
        Sizes { crashes: 1, depth: 15, ..WITH_LEADER },
        Sizes { write_failures: 1, depth: 17, ..WITH_LEADER },
        Sizes { configurations: 2, depth: 17, ..WITH_LEADER },
        Sizes { configurations: 2, reads: 1, depth: 15, ..WITH_LEADER },
        Sizes { crashes: 2, depth: 12, ..WITH_LEADER },
        Sizes { wipes: 1, changes: 2, depth: 12, ..WITH_LEADER },
        Sizes { ticks: 4, ticks_each: 2, depth: 15, ..WITH_LEADER },
        Sizes { voters: 4, depth: 14, ..WITH_LEADER },
        Sizes { transfers: 1, ..WITH_LEADER },
        Sizes { spares: 1, departures: 1, changes: 2, depth: 12, ..WITH_LEADER },
        Sizes { spares: 1, departures: 1, wipes: 1, changes: 3, depth: 9, ..WITH_LEADER },
        Sizes { voters: 2, spares: 2, departures: 1, changes: 3, depth: 12, ..WITH_LEADER },
    ] {
        assert_no_violation(sizes, 100_000);
    }
}
