//! One voter, step by step: it holds leadership only once its own promise is on disk, and judges only once a majority has
//! answered since it was asked.

mod common;

#[test]
fn the_duty_waits_for_the_own_promise_and_a_judgement_for_a_majority() {
    let [early, held, unsure, sure] = common::one_voter_step_by_step();
    assert!(!early, "it holds leadership before its own promise is synced");
    assert!(held, "with it, it does");
    assert!(!unsure, "it judges before a majority has answered");
    assert!(sure, "with that, it does");
}

/// Of [0, 1, 2] and [0, 1, 4] majorities need not meet: a change that was asked for while another was open is refused.
#[test]
fn a_change_of_voters_that_was_overtaken_by_another_is_refused() {
    let [first, second] = common::two_changes_at_once();
    assert_eq!(first, Some(config_store::consensus::Outcome::Taken));
    assert_eq!(second, Some(config_store::consensus::Outcome::Outdated));
}
