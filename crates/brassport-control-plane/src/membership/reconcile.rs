//! The leader's changes of the set of voters.

use crate::control_plane::ControlPlane;
use crate::Millis;
use brassport_config_store::consensus::mutants::{is_active, Mutant};
use brassport_config_store::consensus::{Command, VoterId};
use std::net::Ipv4Addr;

/// A voter that has not answered for so many ms is suspect: nobody is let in until it has answered, or is unresponsive.
const SUSPECT_MS: Millis = 400;
/// Who requests a vote has caught up if it lacks no more entries than this.
const CAUGHT_UP_ENTRIES: u64 = 64;
/// Quota shares are cut anew for more nodes once the leader has led for so many ms: by then those who start together have
/// met.
const SETTLED_MS: Millis = 1_500;

/// A change of the set of voters by one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    /// Its disk was lost: it has forgotten its promises, and requests a vote under another disk.
    RemoveWiped(VoterId),
    /// It does not answer.
    RemoveUnresponsive(VoterId),
    /// It is shutting down.
    RemoveLeaving(VoterId),
    /// It has caught up.
    Add(VoterId),
}

impl Change {
    /// The voters after the change.
    fn apply(self, voters: &[VoterId]) -> Vec<VoterId> {
        match self {
            Change::RemoveWiped(voter) | Change::RemoveUnresponsive(voter) | Change::RemoveLeaving(voter) => {
                voters.iter().copied().filter(|other| *other != voter).collect()
            }
            Change::Add(voter) => {
                let mut voters = [voters, &[voter]].concat();
                voters.sort();
                voters
            }
        }
    }
}

impl ControlPlane {
    /// Whether the voters tolerate all losses that are required.
    pub(crate) fn is_fault_tolerant(&self) -> bool {
        let zones = self.membership.zones_of(self.replica.state().voters.iter());
        self.options.fault_tolerance.is_tolerated_by(&zones)
    }

    /// Changes the set of voters by one, if it is not as it ought to be; cuts quota shares anew with it, or for more nodes.
    pub(crate) fn reconcile_voters(&mut self) {
        let now = self.clock.now();
        self.membership.expire(now);
        if !self.replica.is_leader() || self.own_proposals.is_pending() {
            return;
        }
        let change = self.next_change();
        if let Some(Change::RemoveUnresponsive(voter)) = change {
            self.membership.record_flap(now, voter);
        }
        let state = self.replica.state();
        let quota_shares = state.quota_shares.max(self.known_nodes());
        let is_growth = quota_shares > state.quota_shares && self.replica.has_led_for(now, SETTLED_MS);
        if change.is_none() && !is_growth {
            return;
        }
        let voters = change.map_or_else(|| state.voters.clone(), |change| change.apply(&state.voters));
        let number = self.own_proposals.begin();
        let actions = self.replica.submit(now, number, Command::ChangeVoters { voters, quota_shares });
        self.execute(actions);
    }

    /// How many nodes there are, as far as it is known here. Views are partial, and only nodes with traffic report usage:
    /// those that asked for ranks are all.
    fn known_nodes(&self) -> u32 {
        let reporting = self.quota.reporting_nodes(self.clock.now());
        (self.view.len() + 1).max(reporting).max(self.ring_rank.registered_nodes()) as u32
    }

    /// The change that is due first.
    fn next_change(&self) -> Option<Change> {
        if is_active(Mutant::SuccessorFirst) {
            return self.wiped_voter().or_else(|| self.joining_voter()).or_else(|| self.departing_voter());
        }
        self.wiped_voter().or_else(|| self.departing_voter()).or_else(|| self.joining_voter())
    }

    fn wiped_voter(&self) -> Option<Change> {
        let has_other_disk = |voter: &&VoterId| {
            self.membership.joining().any(|(other, _)| other.ip == voter.ip && other.disk != voter.disk)
        };
        self.replica.state().voters.iter().find(has_other_disk).copied().map(Change::RemoveWiped)
    }

    /// A voter that is unresponsive or leaves, where the others and those who wait for a vote are enough.
    fn departing_voter(&self) -> Option<Change> {
        let voters = &self.replica.state().voters;
        let unresponsive = self.unresponsive_voter().filter(|voter| self.can_do_without(*voter));
        let leaving = || {
            let first = voters.iter().copied().find(|voter| self.membership.is_leaving(*voter));
            first.filter(|voter| self.can_do_without(*voter))
        };
        unresponsive.map(Change::RemoveUnresponsive).or_else(|| leaving().map(Change::RemoveLeaving))
    }

    /// The voter that has not answered for the longest time, if that is too long.
    fn unresponsive_voter(&self) -> Option<VoterId> {
        if is_active(Mutant::SilentStays) {
            return None;
        }
        let is_unresponsive =
            |voter: &&VoterId| self.silence(**voter) >= self.membership.response_timeout_ms(**voter);
        let voters = self.replica.state().voters.iter().filter(is_unresponsive);
        voters.max_by_key(|voter| self.silence(**voter)).copied()
    }

    /// For how long a voter has not answered.
    fn silence(&self, voter: VoterId) -> Millis {
        self.replica.unresponsive_for(voter, self.clock.now()).unwrap_or_default()
    }

    /// Whether the set without this voter, filled up by those who wait for a vote, tolerates all losses, or is at the least
    /// as large as it is now.
    pub(super) fn can_do_without(&self, voter: VoterId) -> bool {
        let voters = &self.replica.state().voters;
        let joining: Vec<VoterId> = self.caught_up().collect();
        let after: Vec<&VoterId> = voters.iter().filter(|other| **other != voter).chain(&joining).collect();
        let zones = self.membership.zones_of(after.iter().copied());
        self.options.fault_tolerance.is_tolerated_by(&zones)
            || (!self.is_fault_tolerant() && after.len() >= voters.len())
    }

    /// Those who wait for a vote and know enough of the log.
    fn caught_up(&self) -> impl Iterator<Item = VoterId> + '_ {
        let state = self.replica.state();
        let has_vote = |ip: Ipv4Addr| state.voters.iter().any(|voter| voter.ip == ip);
        self.membership
            .joining()
            .filter(move |(voter, index)| !has_vote(voter.ip) && *index + CAUGHT_UP_ENTRIES >= state.index)
            .map(|(voter, _)| voter)
    }

    fn joining_voter(&self) -> Option<Change> {
        let is_suspect = |voter: &VoterId| {
            (SUSPECT_MS..self.membership.response_timeout_ms(*voter)).contains(&self.silence(*voter))
        };
        let may_wait = !is_active(Mutant::SuccessorFirst);
        if may_wait && self.replica.state().voters.iter().any(is_suspect) {
            return None;
        }
        self.caught_up().next().map(Change::Add)
    }
}
