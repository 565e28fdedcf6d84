//! Operators, who write on top of a version and read, and the reconciler of voters.

use super::{body, ip, Simulation, SubmittedWrite};
use brassport_checkers::versions::{self, Answered, Operation};
use brassport_config_store::consensus::*;

impl Simulation {
    /// What the leader's keeper does: lets machines in whose disk is new, one step at a time.
    pub(super) fn reconcile_voters(&mut self) {
        let now = self.now;
        let Some(leader) = (0..self.machines.len()).find(|one| self.leads(*one)) else { return };
        let Some(replica) = &self.machines[leader].replica else { return };
        let state = replica.state().clone();
        let mut voters = state.voters.clone();
        let ids: Vec<VoterId> = (0..self.machines.len())
            .filter(|one| self.machines[*one].replica.is_some() && now >= self.machines[*one].frozen_until)
            .map(|one| VoterId { ip: ip(one), disk: self.machines[one].disk })
            .collect();
        let strange = |id: &&VoterId| voters.iter().any(|voter| voter.ip == id.ip && voter.disk != id.disk);
        if let Some(wiped) = ids.iter().find(strange).copied() {
            voters.retain(|voter| voter.ip != wiped.ip);
        } else if let Some(new) = ids.iter().find(|id| !voters.contains(id)) {
            voters.push(*new);
            voters.sort();
        } else {
            return;
        }
        let number = 1 << 60;
        if let Some(replica) = &mut self.machines[leader].replica {
            let actions = replica.submit(
                now,
                number,
                Command::ChangeVoters { voters, quota_shares: state.quota_shares },
            );
            self.execute(leader, actions);
        }
    }

    pub(super) fn submit(&mut self) {
        // Submitted to anybody who believes to lead: there may be several.
        let leaders: Vec<usize> = (0..self.machines.len()).filter(|one| self.leads(*one)).collect();
        if leaders.is_empty() {
            return;
        }
        let one = leaders[self.draw(leaders.len() as u64) as usize];
        let now = self.now;
        self.next_call += 1;
        let number = self.next_call;
        if self.draw(5) == 0 {
            self.begin_call(number, versions::Asked::Read);
            if let Some(replica) = &mut self.machines[one].replica {
                let actions = replica.submit(now, number, Command::Read);
                self.execute(one, actions);
            }
            return;
        }
        // Most build on what the operator believes to be newest; some on something older: a race.
        let any = self.draw(self.machines.len() as u64) as usize;
        let known = self.machines[any].replica.as_ref().map_or(0, |replica| replica.state().version());
        let again = self.draw(8) == 0;
        let (version, base_version) = match self.submitted_writes.values().last().filter(|_| again) {
            Some(last) => (last.version, last.base_version),
            None => {
                self.last_version += 1 + self.draw(3) as u32;
                (self.last_version, known)
            }
        };
        let body = body(version);
        let digest = RequestDigest::of(ChangeScope::Full, base_version, &body);
        self.submitted_writes.insert(number, SubmittedWrite { digest, version, base_version });
        self.begin_call(number, versions::Asked::Write { version, built_on: base_version });
        if let Some(replica) = &mut self.machines[one].replica {
            let command =
                Command::Configure(ConfigurationRequest { scope: ChangeScope::Full, base_version, body });
            let actions = replica.submit(now, number, command);
            self.execute(one, actions);
        }
    }

    pub(super) fn begin_call(&mut self, number: u64, asked: versions::Asked) {
        // Until there is an answer none is known to come.
        let operation = Operation { began: self.now, ended: Millis::MAX, asked, answered: Answered::Open };
        self.history.insert(number, operation);
    }

    pub(super) fn answered(&mut self, number: u64, outcome: Outcome) {
        let Some(operation) = self.history.get_mut(&number) else { return };
        operation.ended = self.now;
        operation.answered = match outcome {
            Outcome::Committed => Answered::Taken,
            Outcome::VersionConflict => Answered::Outdated,
            Outcome::Invalid(_) => Answered::Invalid,
            Outcome::Unknown => Answered::Open,
            Outcome::Current(state) => Answered::Newest(state.version()),
        };
        if let (Answered::Taken, Some(write)) = (operation.answered, self.submitted_writes.get(&number)) {
            self.acknowledged_writes.push((write.digest, write.version));
            self.acknowledged += 1;
        }
    }
}
