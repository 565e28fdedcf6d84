//! Repeated and competing requests: which are acknowledged, which are rejected, and which get an unknown outcome.

use crate::harness::single_voter::{body, forgotten_request_rejected, SingleVoter, VOTER};
use brassport_config_store::consensus::{
    AcceptedEntry, Action, ChangeScope, Command, DiskId, DurableState, Entry, LogIndex, Message, Outcome,
    Record, Replica, ReplicatedState, RequestDigest, Term, VoterId,
};
use std::net::Ipv4Addr;

#[test]
fn a_request_is_identified_by_scope_base_version_and_body() {
    let digest = RequestDigest::of(ChangeScope::Full, 5, b"{}");
    assert_eq!(digest, RequestDigest::of(ChangeScope::Full, 5, b"{}"));
    for other in [
        RequestDigest::of(ChangeScope::Partial, 5, b"{}"),
        RequestDigest::of(ChangeScope::Full, 6, b"{}"),
        RequestDigest::of(ChangeScope::Full, 5, b"{} "),
    ] {
        assert_ne!(digest, other);
    }
}

#[test]
fn of_two_requests_for_one_version_one_is_committed() {
    let mut leader = SingleVoter::new();
    let (one, other) = (body(5, "one"), body(5, "other"));
    assert_eq!(leader.put(0, &one), Outcome::Committed);
    assert_eq!(leader.put(0, &other), Outcome::VersionConflict);
    assert_eq!(leader.put(0, &one), Outcome::Committed, "a repeated request is acknowledged again");
    assert_eq!(leader.put(5, &body(7, "next")), Outcome::Committed);
    assert_eq!(
        leader.put(0, &one),
        Outcome::Committed,
        "a repeated request is acknowledged after a newer one"
    );
    assert_eq!(leader.put(0, &other), Outcome::VersionConflict);
}

#[test]
fn a_forgotten_request_is_never_rejected() {
    assert_eq!(forgotten_request_rejected(), None);
}

#[test]
fn a_snapshot_carries_the_applied_requests() {
    let mut leader = SingleVoter::new();
    let first = body(5, "one");
    assert_eq!(leader.put(0, &first), Outcome::Committed);
    assert_eq!(leader.put(5, &body(6, "two")), Outcome::Committed);
    let mut bytes = Vec::new();
    ciborium::into_writer(&**leader.replica.state(), &mut bytes).expect("the state can be encoded");
    let state: ReplicatedState = ciborium::from_reader(&bytes[..]).expect("the state can be decoded");
    let mut later = SingleVoter::from(state);
    assert_eq!(later.put(0, &first), Outcome::Committed);
    assert_eq!(later.put(0, &body(5, "other")), Outcome::VersionConflict);
}

/// A leader fails after its entry was committed and before it responds. The next leader, which recovers the entry as
/// accepted and adopts it, acknowledges the repeated request.
#[test]
fn the_next_leader_acknowledges_what_its_predecessor_committed() {
    let request = body(5, "one");
    let entry = Entry::Replace { base_version: 0, body: request.clone() };
    let found = DurableState {
        promised: Term::new(1, DiskId(1)),
        state: ReplicatedState::initial(vec![VOTER], 4),
        accepted: Some(AcceptedEntry { term: Term::new(1, DiskId(1)), entry }),
    };
    let mut next = SingleVoter::recovered(found);
    assert_eq!(next.put(0, &request), Outcome::Committed);
    assert_eq!(next.put(0, &body(5, "other")), Outcome::VersionConflict);
}

/// A leader that shuts down names a successor, answers later commands with an unknown outcome, and campaigns no more.
#[test]
fn a_leaving_leader_names_its_successor_and_evaluates_nothing_more() {
    let other = VoterId { ip: Ipv4Addr::new(10, 0, 0, 2), disk: DiskId(8) };
    let found = DurableState {
        promised: Term::new(0, DiskId(0)),
        state: ReplicatedState::initial(vec![VOTER, other], 4),
        accepted: None,
    };
    let mut leader = Replica::new(VOTER.ip, VOTER.disk, Some(found), 0);
    let mut now = 0;
    while !leader.is_leader() {
        now += 50;
        let mut actions = leader.tick(now);
        while let Some(action) = actions.pop() {
            match action {
                Action::Send(_, Message::Prepare { term }) => {
                    let promise = Message::Promise { term, index: LogIndex(1), accepted: None };
                    actions.extend(leader.step(now, other, promise));
                }
                Action::Persist(number, Record::Promised(_)) => {
                    actions.extend(leader.on_persisted(now, number, true));
                }
                _ => {}
            }
        }
    }
    let actions = leader.leave(now);
    let successor = actions.iter().find_map(|action| match action {
        Action::Send(_, Message::TransferLeadership { to, .. }) => Some(*to),
        _ => None,
    });
    assert_eq!(successor, Some(other));
    assert!(!leader.is_leader());
    let response = leader.submit(now, 1, Command::Read);
    assert_eq!(response, [Action::Respond(1, Outcome::Unknown)]);
    for later in 1..40 {
        assert!(leader.tick(now + later * 50).iter().all(|action| !matches!(action, Action::Send(..))));
    }
}
