//! A voter that is alone, for what one replica shows by itself.

use brassport_config_store::consensus::{
    Action, ChangeScope, Command, ConfigurationRequest, DiskId, DurableState, Outcome, Replica,
    ReplicatedState, Term, VoterId, REMEMBERED_REQUESTS,
};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// A voter that is alone: it leads, and what it writes is synced at once.
pub struct Alone {
    pub replica: Replica,
    pub now: u64,
    next: u64,
}

pub const ME: VoterId = VoterId { ip: Ipv4Addr::new(10, 0, 0, 1), disk: DiskId(7) };

impl Alone {
    pub fn new() -> Alone {
        Alone::from(ReplicatedState::genesis(vec![ME], 4))
    }

    pub fn from(state: ReplicatedState) -> Alone {
        Alone::recovered(DurableState { promised: Term::new(0, DiskId(0)), state, accepted: None })
    }

    pub fn recovered(found: DurableState) -> Alone {
        let replica = Replica::new(ME.ip, ME.disk, Some(found), 0);
        let mut alone = Alone { replica, now: 0, next: 0 };
        while !alone.replica.is_leader() {
            alone.now += 50;
            let actions = alone.replica.tick(alone.now);
            alone.execute(actions);
        }
        alone
    }

    fn execute(&mut self, mut actions: Vec<Action>) -> Vec<(u64, Outcome)> {
        let mut answers = Vec::new();
        while let Some(action) = (!actions.is_empty()).then(|| actions.remove(0)) {
            match action {
                Action::Persist(number, _) => {
                    actions.extend(self.replica.on_persisted(self.now, number, true));
                }
                Action::Respond(number, outcome) => answers.push((number, outcome)),
                _ => {}
            }
        }
        answers
    }

    pub fn put(&mut self, base_version: u32, body: &Arc<Vec<u8>>) -> Outcome {
        self.next += 1;
        let command = Command::Configure(ConfigurationRequest {
            scope: ChangeScope::Full,
            base_version,
            body: body.clone(),
        });
        let actions = self.replica.submit(self.now, self.next, command);
        let mut answers = self.execute(actions);
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
pub fn forgotten_request_rejected() -> Option<String> {
    let mut leader = Alone::new();
    let beyond = 100;
    let versions = 1..=(REMEMBERED_REQUESTS as u32 + beyond);
    let bodies: Vec<(u32, Arc<Vec<u8>>)> =
        versions.map(|version| (version - 1, body(version, "a"))).collect();
    for (base_version, body) in &bodies {
        assert_eq!(leader.put(*base_version, body), Outcome::Committed);
    }
    let wrong = bodies.iter().find_map(|(base_version, body)| {
        let answer = leader.put(*base_version, body);
        let expected = if *base_version >= beyond { Outcome::Committed } else { Outcome::Unknown };
        (answer != expected).then(|| format!("on top of {base_version}: {answer:?}"))
    });
    let other = leader.put(300, &body(900, "b"));
    wrong.or_else(|| (other != Outcome::VersionConflict).then(|| format!("another order: {other:?}")))
}
