//! Leadership of a single replica, step by step: a candidate leads only once its own promise is on disk, and a leader
//! evaluates a command only after a majority has responded since the command was submitted.

use crate::harness::scenarios;
use brassport_config_store::consensus::{Action, LogIndex, Message, Term};

#[test]
fn a_candidate_leads_after_its_own_promise_and_evaluates_after_a_quorum() {
    let first_term = scenarios::one_voter_step_by_step();
    assert!(!first_term.leads_before_own_promise, "leads before its own promise is synced");
    assert!(first_term.leads_after_own_promise, "does not lead although its own promise is synced");
    assert!(!first_term.evaluates_before_quorum, "evaluates a command before a majority has responded");
    assert!(
        first_term.evaluates_after_quorum,
        "does not evaluate a command although a majority has responded"
    );
}

/// A voter change that was submitted before another one was committed is rejected: the resulting sets may differ by two
/// voters, and then their majorities need not intersect, as those of [0, 1, 2] and [0, 1, 4].
#[test]
fn a_change_of_voters_overtaken_by_another_is_rejected() {
    let [first, second] = scenarios::two_changes_at_once();
    assert_eq!(first, Some(brassport_config_store::consensus::Outcome::Committed));
    assert_eq!(second, Some(brassport_config_store::consensus::Outcome::VersionConflict));
}

/// Repeated delivery of one heartbeat does not reset the election timer: the follower campaigns nevertheless.
#[test]
fn a_duplicated_heartbeat_does_not_keep_a_lost_leader_alive() {
    let (mut follower, leader) = scenarios::follower_of_three();
    let term = Term::new(1, leader.disk);
    let heartbeat = Message::Heartbeat { term, index: LogIndex(1), heartbeat: 9 };
    let mut has_campaigned = false;
    for now in (100..2_000).step_by(50) {
        let mut actions = follower.step(now, leader, heartbeat.clone());
        actions.extend(follower.tick(now + 1));
        has_campaigned |=
            actions.iter().any(|action| matches!(action, Action::Send(_, Message::Prepare { .. })));
    }
    assert!(has_campaigned);
}

/// Repeated delivery of one heartbeat response does not preserve the quorum: the leader steps down.
#[test]
fn a_duplicated_response_does_not_keep_a_leader_without_quorum() {
    let (mut leader, other, term) = scenarios::leader_of_three();
    let response = Message::HeartbeatResponse { term, index: LogIndex(1), heartbeat: 1 };
    for now in (400..2_000).step_by(50) {
        leader.step(now, other, response.clone());
        leader.tick(now + 1);
    }
    assert!(!leader.is_leader());
}
