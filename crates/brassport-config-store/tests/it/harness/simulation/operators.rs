//! Operators, who submit configurations and read, and the voter reconciler.

use super::{body, ip, Simulation, SubmittedWrite};
use brassport_checkers::versions::{self, Answered, Operation};
use brassport_config_store::consensus::*;

impl Simulation {
    /// Acts as the voter reconciler of the leader: replaces lost disks and adds machines, one voter change at a time.
    pub(super) fn reconcile_voters(&mut self) {
        let now = self.now;
        let Some(leader) = (0..self.machines.len()).find(|node| self.leads(*node)) else { return };
        let Some(replica) = &self.machines[leader].replica else { return };
        let state = replica.state().clone();
        let mut voters = state.voters.clone();
        let ids: Vec<VoterId> = (0..self.machines.len())
            .filter(|node| self.machines[*node].replica.is_some() && now >= self.machines[*node].frozen_until)
            .map(|node| VoterId { ip: ip(node), disk: self.machines[node].disk })
            .collect();
        let has_new_disk =
            |id: &&VoterId| voters.iter().any(|voter| voter.ip == id.ip && voter.disk != id.disk);
        if let Some(wiped) = ids.iter().find(has_new_disk).copied() {
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

    /// Submits a read or a configuration to one of the machines that believe to lead, of which there may be several.
    pub(super) fn submit(&mut self) {
        let leaders: Vec<usize> = (0..self.machines.len()).filter(|node| self.leads(*node)).collect();
        if leaders.is_empty() {
            return;
        }
        let node = leaders[self.draw(leaders.len() as u64) as usize];
        let now = self.now;
        self.last_call += 1;
        let number = self.last_call;
        if self.draw(5) == 0 {
            self.begin_call(number, versions::Asked::Read);
            if let Some(replica) = &mut self.machines[node].replica {
                let actions = replica.submit(now, number, Command::Read);
                self.execute(node, actions);
            }
            return;
        }
        // The configuration builds on the version known to a random machine, which may be outdated, as with competing
        // operators.
        let machine = self.draw(self.machines.len() as u64) as usize;
        let known = self.machines[machine].replica.as_ref().map_or(0, |replica| replica.state().version());
        let is_repeated = self.draw(8) == 0;
        let (version, base_version) = match self.submitted_writes.values().last().filter(|_| is_repeated) {
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
        if let Some(replica) = &mut self.machines[node].replica {
            let command =
                Command::Configure(ConfigurationRequest { scope: ChangeScope::Full, base_version, body });
            let actions = replica.submit(now, number, command);
            self.execute(node, actions);
        }
    }

    pub(super) fn begin_call(&mut self, number: u64, asked: versions::Asked) {
        // The outcome is open until there is a response.
        let operation = Operation { began: self.now, ended: Millis::MAX, asked, answered: Answered::Open };
        self.history.insert(number, operation);
    }

    pub(super) fn on_response(&mut self, number: u64, outcome: Outcome) {
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
