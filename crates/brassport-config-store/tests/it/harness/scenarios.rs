//! Single replicas, driven step by step to moments that the seeds would seldom meet.

use brassport_config_store::consensus::*;
use std::net::Ipv4Addr;

fn ip(machine: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, machine as u8 + 1)
}

/// What one voter of three does, step by step, where the seeds would seldom meet the moment.
#[derive(Debug, Clone, Copy)]
pub struct FirstTerm {
    pub leads_before_own_promise: bool,
    pub leads_after_own_promise: bool,
    pub evaluates_before_quorum: bool,
    pub evaluates_after_quorum: bool,
}

/// Lets a voter campaign. Returns the term that it asks the others to promise.
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

/// Lets one voter of three campaign, lead and read.
pub fn one_voter_step_by_step() -> FirstTerm {
    let id = |one: usize| VoterId { ip: ip(one), disk: DiskId(one as u64 + 1) };
    let state = ReplicatedState::genesis((0..3).map(id).collect(), 4);
    let found = DurableState { promised: Term::new(0, DiskId(0)), state, accepted: None };
    let mut replica = Replica::new(ip(0), DiskId(1), Some(found), 0);
    let term = campaign_term(&mut replica).expect("the first in the order stands");
    let promise = Message::Promise { term, index: LogIndex(1), accepted: None };
    let mut actions = replica.step(301, id(1), promise.clone());
    actions.extend(replica.step(302, id(2), promise));
    let leads_before_own_promise = replica.is_leader();
    let write = actions.iter().find_map(|action| match action {
        Action::Persist(number, Record::Promised(_)) => Some(*number),
        _ => None,
    });
    replica.on_persisted(303, write.expect("it writes its own promise"), true);
    let leads_after_own_promise = replica.is_leader();
    let answers = |actions: &[Action]| actions.iter().any(|action| matches!(action, Action::Respond(9, _)));
    let actions_of_read = replica.submit(304, 9, Command::Read);
    let heartbeat = actions_of_read.iter().find_map(|action| match action {
        Action::Send(_, Message::Heartbeat { heartbeat, .. }) => Some(*heartbeat),
        _ => None,
    });
    let heartbeat = heartbeat.expect("it asks the others");
    let evaluates_before_quorum = answers(&actions_of_read);
    let evaluates_after_quorum = answers(&replica.step(
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

/// A voter that is alone leads, and two changes are submitted at once, each of which would let another machine in.
/// What it answers to both.
pub fn two_changes_at_once() -> [Option<Outcome>; 2] {
    let id = |one: usize| VoterId { ip: ip(one), disk: DiskId(one as u64 + 1) };
    let state = ReplicatedState::genesis(vec![id(0)], 4);
    let mut replica = Replica::new(
        ip(0),
        DiskId(1),
        Some(DurableState { promised: Term::new(0, DiskId(0)), state, accepted: None }),
        0,
    );
    let mut answers = [None, None];
    let mut actions = Vec::new();
    // Alone it leads as soon as its promise is synced.
    for now in 100..400 {
        let mut more = if now % 50 == 0 { replica.tick(now) } else { Vec::new() };
        for action in actions.drain(..) {
            match action {
                Action::Persist(number, _) => more.extend(replica.on_persisted(now, number, true)),
                Action::Respond(number @ 3..=4, outcome) => answers[number as usize - 3] = Some(outcome),
                // The one that was added accepts what is proposed.
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
    answers
}

fn of_three(one: usize) -> Replica {
    let id = |one: usize| VoterId { ip: ip(one), disk: DiskId(one as u64 + 1) };
    let state = ReplicatedState::genesis((0..3).map(id).collect(), 4);
    Replica::new(
        ip(one),
        DiskId(one as u64 + 1),
        Some(DurableState { promised: Term::new(0, DiskId(0)), state, accepted: None }),
        0,
    )
}

/// The second of three voters, and who the first is.
pub fn follower_of_three() -> (Replica, VoterId) {
    (of_three(1), VoterId { ip: ip(0), disk: DiskId(1) })
}

/// The first of three voters, which leads from 300 ms on; who the second is; and the term.
pub fn leader_of_three() -> (Replica, VoterId, Term) {
    let (mut replica, other) = (of_three(0), VoterId { ip: ip(1), disk: DiskId(2) });
    let mut led = None;
    for now in (50..=300).step_by(50) {
        let mut actions = replica.tick(now);
        while let Some(action) = actions.pop() {
            match action {
                Action::Send(to, Message::Prepare { term }) if to == other.ip => {
                    led = Some(term);
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
    (replica, other, led.expect("it has campaigned"))
}
