//! The chain's core itself, explored exhaustively within bounds: every order of what may happen to three and four voters.
//!
//! More of it: `cargo test --release -p brassport-config-store --test it model_checking:: -- --ignored --nocapture --test-threads 1`

use crate::harness::model::{explore, walk, Sizes, CALM};
use std::time::Instant;
use test_case::test_case;

fn nothing_breaks(sizes: Sizes, least: usize) {
    let since = Instant::now();
    let (explored, broken) = explore(sizes, None);
    let whole = if explored.depth < sizes.depth { "all of it" } else { "all up to that depth" };
    let took = since.elapsed().as_secs_f64();
    println!("{} states, depth {}, {whole}, {took:.1} s: {sizes:?}", explored.states, explored.depth);
    assert!(broken.is_none(), "{broken:?}");
    assert!(explored.states > least, "little was explored: {explored:?}");
}

const HELD: Sizes = Sizes { is_held: true, ..CALM };

#[test_case(Sizes { depth: 10, ..CALM }; "the first in the agreed order leads")]
#[test_case(HELD; "the leader falls silent with a proposal open")]
#[test_case(Sizes { doubles: 1, depth: 10, ..HELD }; "a message is duplicated")]
fn one_entry_is_committed_at_an_index_in_any_order_of_events(sizes: Sizes) {
    nothing_breaks(sizes, 4_000);
}

#[test_case(Sizes { crashes: 1, depth: 10, ..HELD }; "a voter crashes between a write and its sync")]
#[test_case(Sizes { refusals: 1, depth: 11, ..HELD }; "a write fails")]
#[test_case(Sizes { reads: 1, depth: 11, ..HELD }; "a read")]
#[test_case(Sizes { words: 2, depth: 11, ..HELD }; "two writes race")]
#[test_case(Sizes { wipes: 1, changes: 2, depth: 9, ..HELD }; "a disk is lost and the new one added")]
#[test_case(Sizes { voters: 4, depth: 10, ..HELD }; "four voters")]
#[test_case(Sizes { hand_overs: 1, laters: 1, depth: 11, ..HELD }; "leadership is transferred with a proposal open")]
#[test_case(Sizes { spares: 1, departures: 1, changes: 2, depth: 9, ..HELD }; "one of three leaves and its successor is added")]
#[test_case(Sizes { voters: 2, spares: 2, departures: 1, changes: 3, depth: 9, ..HELD }; "two add two and one leaves in between")]
fn one_entry_is_committed_at_an_index_under_faults(sizes: Sizes) {
    nothing_breaks(sizes, 4_000);
}

#[test]
fn no_random_walk_breaks_an_invariant() {
    let more = Sizes { words: 3, laters: 5, laters_each: 3, reads: 2, depth: 80, ..HELD };
    let sizes = Sizes { crashes: 2, wipes: 1, refusals: 1, changes: 2, doubles: 1, ..more };
    let broken = walk(Sizes { spares: 1, departures: 1, changes: 4, hand_overs: 2, ..sizes }, None, 2_000)
        .or_else(|| walk(sizes, None, 2_000));
    assert!(broken.is_none(), "{broken:?}");
}

#[test]
#[ignore = "minutes, and gigabytes"]
fn the_full_exploration_breaks_no_invariant() {
    for sizes in [
        Sizes { depth: 22, ..CALM },
        Sizes { doubles: 1, ..HELD },
        Sizes { reads: 1, ..HELD },
        Sizes { crashes: 1, depth: 15, ..HELD },
        Sizes { refusals: 1, depth: 17, ..HELD },
        Sizes { words: 2, depth: 17, ..HELD },
        Sizes { words: 2, reads: 1, depth: 15, ..HELD },
        Sizes { crashes: 2, depth: 12, ..HELD },
        Sizes { wipes: 1, changes: 2, depth: 12, ..HELD },
        Sizes { laters: 4, laters_each: 2, depth: 15, ..HELD },
        Sizes { voters: 4, depth: 14, ..HELD },
        Sizes { hand_overs: 1, ..HELD },
        Sizes { spares: 1, departures: 1, changes: 2, depth: 12, ..HELD },
        Sizes { spares: 1, departures: 1, wipes: 1, changes: 3, depth: 9, ..HELD },
        Sizes { voters: 2, spares: 2, departures: 1, changes: 3, depth: 12, ..HELD },
    ] {
        nothing_breaks(sizes, 100_000);
    }
}
