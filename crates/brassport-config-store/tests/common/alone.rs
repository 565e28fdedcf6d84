//! A voter that is alone, for what one replica shows by itself.

// Each test file has a use for a part of this.
#![allow(dead_code)]

use brassport_config_store::consensus::{
    Action, Command, Outcome, Recovered, Replica, State, VoterId, REMEMBERED_ORDERS,
};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// A voter that is alone: it leads, and what it writes is synced at once.
pub struct Alone {
    pub replica: Replica,
    pub now: u64,
    next: u64,
}

pub const ME: VoterId = VoterId { ip: Ipv4Addr::new(10, 0, 0, 1), disk: 7 };

impl Alone {
    pub fn new() -> Alone {
        Alone::from(State::genesis(vec![ME], 4))
    }

    pub fn from(state: State) -> Alone {
        Alone::recovered(Recovered { promised: (0, 0), state, open: None })
    }

    pub fn recovered(found: Recovered) -> Alone {
        let replica = Replica::new(ME.ip, ME.disk, Some(found), 0);
        let mut alone = Alone { replica, now: 0, next: 0 };
        while !alone.replica.leads() {
            alone.now += 50;
            let actions = alone.replica.tick(alone.now);
            alone.carry_out(actions);
        }
        alone
    }

    fn carry_out(&mut self, mut actions: Vec<Action>) -> Vec<(u64, Outcome)> {
        let mut answers = Vec::new();
        while let Some(action) = (!actions.is_empty()).then(|| actions.remove(0)) {
            match action {
                Action::Write(number, _) => actions.extend(self.replica.written(self.now, number, true)),
                Action::Answer(number, outcome) => answers.push((number, outcome)),
                _ => {}
            }
        }
        answers
    }

    pub fn put(&mut self, built_on: u32, body: &Arc<Vec<u8>>) -> Outcome {
        self.next += 1;
        let command = Command::Put { is_whole: true, built_on, body: body.clone() };
        let actions = self.replica.ask(self.now, self.next, command);
        let mut answers = self.carry_out(actions);
        assert_eq!(answers.len(), 1, "one answer to one order");
        answers.remove(0).1
    }
}

pub fn body(version: u32, note: &str) -> Arc<Vec<u8>> {
    let text = format!(
        "{{\"version\":\"{version:08x}\",\"note\":\"{note}\",\"services\":[],\"limits\":{{}},\"customers\":[],\"hosts\":[]}}"
    );
    Arc::new(text.into_bytes())
}

/// Takes more orders than are remembered and sends each of them again. What is wrong, if anything: one that is refused, or
/// that has no clear answer although it is remembered.
pub fn orders_of_long_ago_refused() -> Option<String> {
    let mut leader = Alone::new();
    let beyond = 100;
    let versions = 1..=(REMEMBERED_ORDERS as u32 + beyond);
    let bodies: Vec<(u32, Arc<Vec<u8>>)> =
        versions.map(|version| (version - 1, body(version, "a"))).collect();
    for (built_on, body) in &bodies {
        assert_eq!(leader.put(*built_on, body), Outcome::Taken);
    }
    let wrong = bodies.iter().find_map(|(built_on, body)| {
        let answer = leader.put(*built_on, body);
        let expected = if *built_on >= beyond { Outcome::Taken } else { Outcome::Open };
        (answer != expected).then(|| format!("on top of {built_on}: {answer:?}"))
    });
    let other = leader.put(300, &body(900, "b"));
    wrong.or_else(|| (other != Outcome::Outdated).then(|| format!("another order: {other:?}")))
}
