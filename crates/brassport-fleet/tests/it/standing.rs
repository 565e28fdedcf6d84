//! One gateway instance's right to act: when it starts to run, and how grants and extensions prolong it.

use brassport_fleet::standing::{DenialReason, Standing};

#[test]
fn a_right_runs_from_its_request() {
    let mut standing = Standing::default();
    let requested_at = standing.ask(100);
    standing.granted(900, requested_at, 1000);
    assert_eq!(standing.may_act(1099), Ok(()));
    assert_eq!(standing.may_act(1100), Err(DenialReason::RanOut));
}

#[test]
fn an_overtaken_answer_does_not_shorten_the_right() {
    let mut standing = Standing::default();
    standing.granted(60, 50, 1000);
    standing.granted(70, 10, 1000);
    assert_eq!(standing.until(), Some(1050));
}

#[test]
fn a_voters_extension_neither_starts_nor_revives_a_right() {
    let mut standing = Standing::default();
    standing.extended(15, 10, 1000);
    assert_eq!(standing.may_act(20), Err(DenialReason::NotYet));
    standing.granted(20, 20, 100);
    standing.extended(119, 119, 100);
    assert_eq!(standing.until(), Some(219));
    // Requested before the right expired, but answered after.
    standing.extended(219, 218, 100);
    assert_eq!(standing.until(), Some(219));
}
