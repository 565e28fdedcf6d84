//! Explores the transition function exhaustively: processes acquire, renew and release the lease, are suspended and restart,
//! over links that lose, delay and duplicate messages, with clocks that drift apart by a bounded amount.
//!
//! To explore more: cargo test --release -p brassport-leases --test it model:: -- --ignored --nocapture

use crate::fleet::{Fleet, Sizes, DUPLICATES, HAND_OVERS, LOSSES, RESTARTS, SMALL};
use stateright::{Checker, Model};

/// Explores all states and returns their number.
fn explore(sizes: Sizes) -> usize {
    let threads = std::thread::available_parallelism().map_or(2, usize::from);
    let checker = Fleet { sizes }.checker().threads(threads).spawn_bfs().join();
    println!("{} states, depth {}: {sizes:?}", checker.unique_state_count(), checker.max_depth());
    checker.assert_properties();
    checker.unique_state_count()
}

#[test]
fn no_two_processes_have_a_permit_at_once_in_any_order_of_events() {
    assert!(explore(SMALL) > 10_000, "too few states were explored");
}

#[test]
#[ignore = "takes minutes and gigabytes of memory"]
fn no_two_processes_have_a_permit_at_once_with_duplicates_restarts_hand_overs_losses_or_more_requests() {
    for sizes in [DUPLICATES, RESTARTS, HAND_OVERS, LOSSES, Sizes { requests: 3, ..SMALL }] {
        explore(sizes);
    }
}
