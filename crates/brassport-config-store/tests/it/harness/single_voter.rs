//! A cluster of a single voter, to test the behaviour of one replica.

use brassport_config_store::consensus::{
    Action, ChangeScope, Command, ConfigurationRequest, DiskId, DurableState, Outcome, Replica,
    ReplicatedState, Term, VoterId, REMEMBERED_REQUESTS,
};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// The only voter of a cluster, which leads, and whose writes are synced at once.
pub struct SingleVoter {
    pub replica: Replica,
    pub now: u64,
    last_command: u64,
}

pub const VOTER: VoterId = VoterId { ip: Ipv4Addr::new(10, 0, 0, 1), disk: DiskId(7) };

impl SingleVoter {
    pub fn new() -> SingleVoter {
        SingleVoter::from(ReplicatedState::initial(vec![VOTER], 4))
    }

    pub fn from(state: ReplicatedState) -> SingleVoter {
        SingleVoter::recovered(DurableState { promised: Term::new(0, DiskId(0)), state, accepted: None })
    }

    pub fn recovered(found: DurableState) -> SingleVoter {
        let replica = Replica::new(VOTER.ip, VOTER.disk, Some(found), 0);
        let mut voter = SingleVoter { replica, now: 0, last_command: 0 };
        while !voter.replica.is_leader() {
            voter.now += 50;
            let actions = voter.replica.tick(voter.now);
            voter.execute(actions);
        }
        voter
    }

    fn execute(&mut self, mut actions: Vec<Action>) -> Vec<(u64, Outcome)> {
        let mut outcomes = Vec::new();
        while let Some(action) = (!actions.is_empty()).then(|| actions.remove(0)) {
            match action {
                Action::Persist(number, _) => {
                    actions.extend(self.replica.on_persisted(self.now, number, true));
                }
                Action::Respond(number, outcome) => outcomes.push((number, outcome)),
                _ => {}
            }
        }
        outcomes
    }

    pub fn put(&mut self, base_version: u32, body: &Arc<Vec<u8>>) -> Outcome {
        self.last_command += 1;
        let command = Command::Configure(ConfigurationRequest {
            scope: ChangeScope::Full,
            base_version,
            body: body.clone(),
        });
        let actions = self.replica.submit(self.now, self.last_command, command);
        let mut outcomes = self.execute(actions);
        assert_eq!(outcomes.len(), 1, "one request has one outcome");
        outcomes.remove(0).1
    }
}

pub fn body(version: u32, note: &str) -> Arc<Vec<u8>> {
    let text = format!(
        "{{\"version\":\"{version:08x}\",\"note\":\"{note}\",\"services\":[],\"limits\":{{}},\"customers\":[],\"hosts\":[]}}"
    );
    Arc::new(text.into_bytes())
}

/// Submits more requests than are remembered, and then each of them again. Returns the first violation: a repeated
/// request that is rejected, or one that is remembered and gets an unknown outcome.
pub fn forgotten_request_rejected() -> Option<String> {
    let mut leader = SingleVoter::new();
    let forgotten = 100;
    let versions = 1..=(REMEMBERED_REQUESTS as u32 + forgotten);
    let bodies: Vec<(u32, Arc<Vec<u8>>)> =
        versions.map(|version| (version - 1, body(version, "a"))).collect();
    for (base_version, body) in &bodies {
        assert_eq!(leader.put(*base_version, body), Outcome::Committed);
    }
    let violation = bodies.iter().find_map(|(base_version, body)| {
        let outcome = leader.put(*base_version, body);
        let expected = if *base_version >= forgotten { Outcome::Committed } else { Outcome::Unknown };
        (outcome != expected).then(|| format!("repeated request on version {base_version}: {outcome:?}"))
    });
    let other = leader.put(300, &body(900, "b"));
    violation.or_else(|| {
        (other != Outcome::VersionConflict).then(|| format!("different request on version 300: {other:?}"))
    })
}
