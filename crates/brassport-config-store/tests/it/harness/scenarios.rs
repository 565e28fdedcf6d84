//! Scenarios of a single replica, driven step by step into states that few seeds of the simulation reach.

use brassport_config_store::consensus::*;
use std::net::Ipv4Addr;

fn ip(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, machine as u8 + 1)
}

/// What a voter of three does in its first term, observed before and after each condition is met.
#[derive(Debug, Clone, Copy)]
pub struct FirstTerm {
    pub leads_before_own_promise: bool,
    pub leads_after_own_promise: bool,
    pub evaluates_before_quorum: bool,
    pub evaluates_after_quorum: bool,
}

/// Advances the clock until a voter campaigns. Returns the term that it asks the others to promise.
fn campaign_term(replica: &mut Replica) -> Option<Term> {
    let mut term = None;
    for now in [100, 200, 300] {
        for action in replica.tick(now) {
            if let Action::Send(_, Message::Prepare { term: prepared }) = action {
                term = Some(prepared);
            }
        }
    }
    term
}

/// Makes one voter of three campaign, lead and read.
pub fn one_voter_step_by_step() -> FirstTerm {
    let id = |node: usize| VoterId { ip: ip(node), disk: DiskId(node as u64 + 1) };
    let state = ReplicatedState::initial((0..3).map(id).collect(), 4);
    let found = DurableState { promised: Term::new(0, DiskId(0)), state, accepted: None };
    let mut replica = Replica::new(ip(0), DiskId(1), Some(found), 0);
    let term = campaign_term(&mut replica).expect("the first voter in the agreed order campaigns");
    let promise = Message::Promise { term, index: LogIndex(1), accepted: None };
    let mut actions = replica.step(301, id(1), promise.clone());
    actions.extend(replica.step(302, id(2), promise));
    let leads_before_own_promise = replica.is_leader();
    let write = actions.iter().find_map(|action| match action {
        Action::Persist(number, Record::Promised(_)) => Some(*number),
        _ => None,
    });
    replica.on_persisted(303, write.expect("the candidate writes its own promise"), true);
    let leads_after_own_promise = replica.is_leader();
    let responds = |actions: &[Action]| actions.iter().any(|action| matches!(action, Action::Respond(9, _)));
    let read_actions = replica.submit(304, 9, Command::Read);
    let heartbeat = read_actions.iter().find_map(|action| match action {
        Action::Send(_, Message::Heartbeat { heartbeat, .. }) => Some(*heartbeat),
        _ => None,
    });
    let heartbeat = heartbeat.expect("the leader sends a heartbeat");
    let evaluates_before_quorum = responds(&read_actions);
    let evaluates_after_quorum = responds(&replica.step(
        305,
        id(1),
        Message::HeartbeatResponse { term, index: LogIndex(1), heartbeat },
    ));
    FirstTerm {
        leads_before_own_promise,
        leads_after_own_promise,
        evaluates_before_quorum,
        evaluates_after_quorum,
    }
}

/// Submits two voter changes to a single leading voter at once, each of which adds another machine. Returns the
/// outcomes.
pub fn two_changes_at_once() -> [Option<Outcome>; 2] {
    let id = |node: usize| VoterId { ip: ip(node), disk: DiskId(node as u64 + 1) };
    let state = ReplicatedState::initial(vec![id(0)], 4);
    let mut replica = Replica::new(
        ip(0),
        DiskId(1),
        Some(DurableState { promised: Term::new(0, DiskId(0)), state, accepted: None }),
        0,
    );
    let mut outcomes = [None, None];
    let mut actions = Vec::new();
    // A single voter leads as soon as its promise is synced.
    for now in 100..400 {
        let mut more = if now % 50 == 0 { replica.tick(now) } else { Vec::new() };
        for action in actions.drain(..) {
            match action {
                Action::Persist(number, _) => more.extend(replica.on_persisted(now, number, true)),
                Action::Respond(number @ 3..=4, outcome) => outcomes[number as usize - 3] = Some(outcome),
                // The voter that was added accepts the proposal.
                Action::Send(to, Message::Accept { term, index, .. }) if to == ip(3) => {
                    more.extend(replica.step(now, id(3), Message::Accepted { term, index }));
                }
                Action::Send(to, Message::Heartbeat { term, index, heartbeat }) if to == ip(3) => {
                    more.extend(replica.step(
                        now,
                        id(3),
                        Message::HeartbeatResponse { term, index, heartbeat },
                    ));
                }
                _ => {}
            }
        }
        if now == 152 {
            for new in [3, 4] {
                let command = Command::ChangeVoters { voters: vec![id(0), id(new)], quota_shares: 4 };
                more.extend(replica.submit(now, new as u64, command));
            }
        }
        actions = more;
    }
    outcomes
}

fn replica_of_three(node: usize) -> Replica {
    let id = |node: usize| VoterId { ip: ip(node), disk: DiskId(node as u64 + 1) };
    let state = ReplicatedState::initial((0..3).map(id).collect(), 4);
    Replica::new(
        ip(node),
        DiskId(node as u64 + 1),
        Some(DurableState { promised: Term::new(0, DiskId(0)), state, accepted: None }),
        0,
    )
}

/// The replica of the second of three voters, and the identity of the first.
pub fn follower_of_three() -> (Replica, VoterId) {
    (replica_of_three(1), VoterId { ip: ip(0), disk: DiskId(1) })
}

/// The replica of the first of three voters, which leads from 300 ms on, the identity of the second, and the term.
pub fn leader_of_three() -> (Replica, VoterId, Term) {
    let (mut replica, other) = (replica_of_three(0), VoterId { ip: ip(1), disk: DiskId(2) });
    let mut leading_term = None;
    for now in (50..=300).step_by(50) {
        let mut actions = replica.tick(now);
        while let Some(action) = actions.pop() {
            match action {
                Action::Send(to, Message::Prepare { term }) if to == other.ip => {
                    leading_term = Some(term);
                    actions.extend(replica.step(
                        now,
                        other,
                        Message::Promise { term, index: LogIndex(1), accepted: None },
                    ));
                }
                Action::Persist(number, _) => actions.extend(replica.on_persisted(now, number, true)),
                _ => {}
            }
        }
    }
    assert!(replica.is_leader());
    (replica, other, leading_term.expect("the replica has campaigned"))
}
