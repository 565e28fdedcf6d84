//! The leader's changes to the set of voters.

use crate::control_plane::ControlPlane;
use crate::Millis;
use brassport_config_store::consensus::mutants::{is_active, Mutant};
use brassport_config_store::consensus::{Command, VoterId};
use std::net::Ipv4Addr;

/// A voter that has not responded for this long is suspect. No voter is added until it responds, or is unresponsive.
const SUSPECT_MS: Millis = 400;
/// A joining node has caught up if it lacks at most this many entries.
const CAUGHT_UP_ENTRIES: u64 = 64;
/// How long a leader must have led before it increases the number of quota shares. By then, nodes that started together
/// have discovered each other.
const SETTLED_MS: Millis = 1_500;

/// A change of the set of voters by one voter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    /// The voter lost its disk, and thus its promises; the node requests to join with another disk.
    RemoveWiped(VoterId),
    /// The voter does not respond.
    RemoveUnresponsive(VoterId),
    /// The voter is shutting down.
    RemoveLeaving(VoterId),
    /// The joining node has caught up.
    Add(VoterId),
}

impl Change {
    /// The set of voters after the change.
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
    /// Whether the current voters tolerate the required losses.
    pub(crate) fn is_fault_tolerant(&self) -> bool {
        let zones = self.membership.zones_of(self.replica.state().voters.iter());
        self.options.fault_tolerance.is_met_by(&zones)
    }

    /// Proposes the next change of the set of voters, if one is due, and a higher number of quota shares if there are
    /// more nodes than shares.
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

    /// The number of nodes known to this one. Partial views are bounded, and only nodes with traffic report usage, but
    /// every node requests its rank from the leader.
    fn known_nodes(&self) -> u32 {
        let reporting = self.quota.reporting_nodes(self.clock.now());
        (self.view.len() + 1).max(reporting).max(self.ring_rank.registered_nodes()) as u32
    }

    /// The change with the highest priority.
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

    /// The removal of an unresponsive or leaving voter, if it is dispensable.
    fn departing_voter(&self) -> Option<Change> {
        let voters = &self.replica.state().voters;
        let unresponsive = self.unresponsive_voter().filter(|voter| self.is_dispensable(*voter));
        let leaving = || {
            let first = voters.iter().copied().find(|voter| self.membership.is_leaving(*voter));
            first.filter(|voter| self.is_dispensable(*voter))
        };
        unresponsive.map(Change::RemoveUnresponsive).or_else(|| leaving().map(Change::RemoveLeaving))
    }

    /// The voter that has not responded for the longest time, among those over their timeout.
    fn unresponsive_voter(&self) -> Option<VoterId> {
        if is_active(Mutant::SilentStays) {
            return None;
        }
        let is_unresponsive =
            |voter: &&VoterId| self.unresponsive_ms(**voter) >= self.membership.response_timeout_ms(**voter);
        let voters = self.replica.state().voters.iter().filter(is_unresponsive);
        voters.max_by_key(|voter| self.unresponsive_ms(**voter)).copied()
    }

    /// How long a voter has not responded, in ms.
    fn unresponsive_ms(&self, voter: VoterId) -> Millis {
        self.replica.unresponsive_for(voter, self.clock.now()).unwrap_or_default()
    }

    /// Whether the other voters, together with the nodes that can join, tolerate the required losses. If the current
    /// voters do not tolerate these losses either, it is sufficient that the number of voters does not decrease.
    pub(super) fn is_dispensable(&self, voter: VoterId) -> bool {
        let voters = &self.replica.state().voters;
        let joining: Vec<VoterId> = self.caught_up_candidates().collect();
        let after: Vec<&VoterId> = voters.iter().filter(|other| **other != voter).chain(&joining).collect();
        let zones = self.membership.zones_of(after.iter().copied());
        self.options.fault_tolerance.is_met_by(&zones)
            || (!self.is_fault_tolerant() && after.len() >= voters.len())
    }

    /// The joining nodes that have caught up and whose address has no vote yet.
    fn caught_up_candidates(&self) -> impl Iterator<Item = VoterId> + '_ {
        let state = self.replica.state();
        let has_vote = |ip: Ipv4Addr| state.voters.iter().any(|voter| voter.ip == ip);
        self.membership
            .joining()
            .filter(move |(voter, index)| !has_vote(voter.ip) && *index + CAUGHT_UP_ENTRIES >= state.index)
            .map(|(voter, _)| voter)
    }

    fn joining_voter(&self) -> Option<Change> {
        let is_suspect = |voter: &VoterId| {
            (SUSPECT_MS..self.membership.response_timeout_ms(*voter)).contains(&self.unresponsive_ms(*voter))
        };
        let may_wait = !is_active(Mutant::SuccessorFirst);
        if may_wait && self.replica.state().voters.iter().any(is_suspect) {
            return None;
        }
        self.caught_up_candidates().next().map(Change::Add)
    }
}
