//! The membership reconciler: the leader keeps the set of voters as it ought to be, by one agreed step at a time.
//!
//! - A machine of the core that has no vote asks the leader for one, again and again, and says how far it knows the log.
//!   It is let in once it has caught up.
//! - A voter that does not answer heartbeats goes, as soon as those who stay and those who wait to come in are enough to
//!   bear the losses that the system must survive. It goes *before* its successor comes: so a successor that is lost at
//!   once leaves no second silent voter behind.
//! - A voter that is about to end says so, and ends once a majority of those who stay knows all that it knows.
//!
//! Who decides here is the leader; what it decides is an entry of the log like any other.

use crate::control::ControlPlane;
use crate::peer_message::PeerMessage;
use crate::Millis;
use brassport_config_store::consensus::mutants::{is_active, Mutant};
use brassport_config_store::consensus::{Command, LogIndex, VoterId};
use brassport_transport::peer_sampling::PeerRecord;
use brassport_types::DiskId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// A voter that has not answered for so long is silent.
const SILENCE: Millis = 1_200;
/// One that has not answered for so long may be: nobody is let in until it has answered, or is silent.
const SUSPECT: Millis = 400;
/// A voter that fell silent and came back is borne with for twice as long each time, this many times at the most.
const MOST_DOUBLINGS: u32 = 3;
/// After so long without falling silent again it is a voter like the others.
const FORGIVEN: Millis = 60_000;
/// Between two requests for a vote, and between two of one that leaves.
const ASK_EVERY: Millis = 150;
/// Who asks for a vote has asked twice, so far apart at the least. Guards against a request that comes late.
const ASKED_TWICE: Millis = 90;
/// A request for a vote holds for so long, and that of one that leaves.
const REQUEST_HOLDS: Millis = 700;
/// Who waits for a vote has caught up if it lacks no more entries than this.
const CAUGHT_UP: u64 = 64;
/// The first seed waits so long for others of the core before it begins the log without itself.
const MEET: Millis = 150;

/// What may be lost at once with all rules kept.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FaultTolerance {
    /// Machines of the core.
    pub machines: usize,
    /// Whole zones.
    pub zones: usize,
    /// Whole regions.
    pub regions: usize,
    /// The region of each zone.
    pub region_of: BTreeMap<String, String>,
}

impl FaultTolerance {
    /// So many machines of the core, and no zone.
    pub fn machines(machines: usize) -> FaultTolerance {
        FaultTolerance { machines, ..FaultTolerance::default() }
    }

    /// Whether voters in these zones keep a majority over each loss that is to be borne. A voter whose zone is not known
    /// stands in one of its own.
    pub fn is_borne_by(&self, zones: &[Option<&str>]) -> bool {
        let lost_with_zones = largest_groups(zones.iter().copied(), self.zones);
        let region = |zone: &Option<&str>| zone.and_then(|zone| self.region_of.get(zone)).map(String::as_str);
        let lost_with_regions = largest_groups(zones.iter().map(region), self.regions);
        let most = self.machines.max(lost_with_zones).max(lost_with_regions);
        zones.len() > most && zones.len() - most > zones.len() / 2
    }
}

/// How many voters stand in the so many largest groups together.
fn largest_groups<'a>(names: impl Iterator<Item = Option<&'a str>>, groups: usize) -> usize {
    let (mut sizes, mut unknown) = (BTreeMap::<&str, usize>::new(), 0);
    for name in names {
        match name {
            Some(name) => *sizes.entry(name).or_default() += 1,
            None => unknown += 1,
        }
    }
    let mut sizes: Vec<usize> = sizes.into_values().chain(std::iter::repeat_n(1, unknown)).collect();
    sizes.sort_unstable();
    sizes.into_iter().rev().take(groups).sum()
}

/// A machine that asks for a vote.
#[derive(Debug, Clone, Copy)]
struct Joiner {
    disk: DiskId,
    index: LogIndex,
    first: Millis,
    last: Millis,
}

/// A voter that says that it ends.
#[derive(Debug, Clone, Copy)]
struct Leaver {
    disk: DiskId,
    at: Millis,
}

/// How often a voter fell silent and came back, and when it last fell silent.
#[derive(Debug, Clone, Copy)]
struct Flaps {
    count: u32,
    at: Millis,
}

/// What a machine keeps of requests for votes.
#[derive(Debug, Default)]
pub(crate) struct Membership {
    joiners: BTreeMap<Ipv4Addr, Joiner>,
    leavers: BTreeMap<Ipv4Addr, Leaver>,
    flaps: BTreeMap<Ipv4Addr, Flaps>,
    zones: BTreeMap<Ipv4Addr, String>,
    asked: Millis,
    turn: usize,
    /// Whether this machine is about to end, and whether it may.
    leaves: bool,
    is_released: bool,
}

impl Membership {
    /// What a machine knows at its start: its own zone.
    pub(crate) fn of(member: &PeerRecord) -> Membership {
        let mut membership = Membership::default();
        membership.note_zone(member);
        membership
    }

    /// A machine of the core tells in which zone it stands.
    pub(crate) fn note_zone(&mut self, member: &PeerRecord) {
        if member.is_core {
            self.zones.insert(member.ip, member.zone.clone());
        }
    }

    /// A machine asks for a vote.
    fn asked_by(&mut self, now: Millis, from: Ipv4Addr, disk: DiskId, index: LogIndex) {
        let fresh = Joiner { disk, index, first: now, last: now };
        let joiner = self.joiners.entry(from).or_insert(fresh);
        if joiner.disk != disk || now >= joiner.last + REQUEST_HOLDS {
            *joiner = fresh;
        }
        (joiner.index, joiner.last) = (index, now);
    }

    fn forget_old(&mut self, now: Millis) {
        self.joiners.retain(|_, joiner| now < joiner.last + REQUEST_HOLDS);
        self.leavers.retain(|_, leaver| now < leaver.at + REQUEST_HOLDS);
        self.flaps.retain(|_, flaps| now < flaps.at + FORGIVEN);
    }

    /// Machines that have asked twice and do not leave.
    fn asking(&self) -> impl Iterator<Item = (VoterId, LogIndex)> + '_ {
        let has_asked_twice = |joiner: &Joiner| joiner.last >= joiner.first + ASKED_TWICE;
        self.joiners
            .iter()
            .filter(move |(ip, joiner)| has_asked_twice(joiner) && !self.leavers.contains_key(*ip))
            .map(|(ip, joiner)| (VoterId { ip: *ip, disk: joiner.disk }, joiner.index))
    }

    fn zones<'a>(&'a self, voters: impl Iterator<Item = &'a VoterId>) -> Vec<Option<&'a str>> {
        voters.map(|voter| self.zones.get(&voter.ip).map(String::as_str)).collect()
    }

    /// For how long a voter may be silent.
    fn patience(&self, voter: VoterId) -> Millis {
        SILENCE << self.flaps.get(&voter.ip).map_or(0, |flaps| flaps.count.min(MOST_DOUBLINGS))
    }

    fn fell_silent(&mut self, now: Millis, voter: VoterId) {
        let flaps = self.flaps.entry(voter.ip).or_insert(Flaps { count: 0, at: now });
        (flaps.count, flaps.at) = (flaps.count + 1, now);
    }
}

/// What is to be changed about the voters.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    /// Its disk was lost: it has forgotten its promises, and asks under another number.
    Wiped(VoterId),
    /// It does not answer.
    Silent(VoterId),
    /// It is about to end.
    Leaves(VoterId),
    /// It has caught up, and gets a vote.
    Joins(VoterId),
}

impl ControlPlane {
    /// The first seed of the very first start says who begins the log: itself, or the first of the core that it meets.
    /// Nobody else ever does, so there is one beginning.
    pub(crate) fn bootstrap_log(&mut self) {
        let member = &self.options.node;
        let is_first = self.options.first_start && self.options.seeds.first() == Some(&member.ip);
        if !is_first || self.replica.state().index > LogIndex(0) || self.now < MEET {
            return;
        }
        if self.begun.is_none() {
            let of_core = |disk: DiskId, counted: bool| disk.is_some() && counted;
            let others = self
                .views
                .peers()
                .filter(|member| of_core(member.disk, member.is_core))
                .map(|member| member.ip);
            let own = of_core(member.disk, member.is_core).then_some(member.ip);
            // Its own disk may not be open yet: with a disk to come it waits for that.
            self.begun = if member.is_core { own } else { others.min() };
        }
        let slots = self.views.len() as u32 + 1;
        match self.begun {
            Some(ip) if ip == self.options.node.ip => {
                let done = self.replica.bootstrap(self.now, slots);
                self.carry_out(done);
            }
            Some(ip) => self.send(ip, PeerMessage::Bootstrap(slots)),
            None => {}
        }
    }

    /// Whether the voters bear all losses that are to be borne.
    pub(crate) fn bears_losses(&self) -> bool {
        let zones = self.membership.zones(self.replica.state().voters.iter());
        self.options.fault_tolerance.is_borne_by(&zones)
    }

    /// Changes the set of voters by one, if it is not as it ought to be.
    pub(crate) fn reconcile_voters(&mut self) {
        self.membership.forget_old(self.now);
        if !self.replica.is_leader() || !self.own.is_empty() {
            return;
        }
        let change = self.next_change();
        let state = self.replica.state().clone();
        let mut voters = state.voters.clone();
        match change {
            Some(Change::Wiped(voter) | Change::Leaves(voter)) => voters.retain(|other| *other != voter),
            Some(Change::Silent(voter)) => {
                self.membership.fell_silent(self.now, voter);
                voters.retain(|other| *other != voter);
            }
            Some(Change::Joins(voter)) => {
                voters.push(voter);
                voters.sort();
            }
            None => {}
        }
        // PartialView are partial, and only doors with traffic report to the lender: those that asked for ranks are all.
        let known = (self.views.len() + 1).max(self.lender.doors(self.now)).max(self.ranks.len()) as u32;
        let slots = state.quota_shares.max(known);
        // Parts are cut anew with the voters, or once those who start together have met.
        let met = slots > state.quota_shares && self.replica.has_led_for(self.now, 1_500);
        if change.is_some() || met {
            self.ask_for_voters(voters, slots);
        }
    }

    fn ask_for_voters(&mut self, voters: Vec<VoterId>, quota_shares: u32) {
        self.last_own += 1;
        self.own.insert(self.last_own);
        let done =
            self.replica.submit(self.now, self.last_own, Command::ChangeVoters { voters, quota_shares });
        self.carry_out(done);
    }

    /// The change that is due first.
    fn next_change(&self) -> Option<Change> {
        if is_active(Mutant::SuccessorFirst) {
            return self.wiped_voter().or_else(|| self.joining_voter()).or_else(|| self.departing_voter());
        }
        self.wiped_voter().or_else(|| self.departing_voter()).or_else(|| self.joining_voter())
    }

    fn wiped_voter(&self) -> Option<Change> {
        let voters = &self.replica.state().voters;
        let asks_anew = |voter: &&VoterId| {
            self.membership.asking().any(|(other, _)| other.ip == voter.ip && other.disk != voter.disk)
        };
        voters.iter().find(asks_anew).copied().map(Change::Wiped)
    }

    /// A voter that is silent or ends, where the others and those who wait for a vote are enough.
    fn departing_voter(&self) -> Option<Change> {
        let voters = &self.replica.state().voters;
        let silence = |voter: &VoterId| self.replica.unresponsive_for(*voter, self.now).unwrap_or_default();
        let silent = voters
            .iter()
            .filter(|voter| silence(voter) >= self.membership.patience(**voter))
            .filter(|_| !is_active(Mutant::SilentStays))
            .max_by_key(|voter| silence(voter))
            .map(|voter| Change::Silent(*voter));
        let leaves = |voter: &&VoterId| {
            self.membership.leavers.get(&voter.ip).is_some_and(|leaver| leaver.disk == voter.disk)
        };
        let leaving = voters.iter().find(leaves).map(|voter| Change::Leaves(*voter));
        silent.into_iter().chain(leaving).find(|change| match change {
            Change::Silent(voter) | Change::Leaves(voter) => self.can_do_without(*voter),
            _ => false,
        })
    }

    /// Whether the set without this voter, filled up by those who wait for a vote, bears all losses, or is at the least as
    /// large as it is now.
    fn can_do_without(&self, voter: VoterId) -> bool {
        let voters = &self.replica.state().voters;
        let joiners: Vec<VoterId> = self.caught_up().collect();
        let after: Vec<&VoterId> = voters.iter().filter(|other| **other != voter).chain(&joiners).collect();
        let zones = self.membership.zones(after.iter().copied());
        self.options.fault_tolerance.is_borne_by(&zones)
            || (!self.bears_losses() && after.len() >= voters.len())
    }

    /// Those who wait for a vote and know enough of the log.
    fn caught_up(&self) -> impl Iterator<Item = VoterId> + '_ {
        let state = self.replica.state();
        let has_vote = |ip: Ipv4Addr| state.voters.iter().any(|voter| voter.ip == ip);
        self.membership
            .asking()
            .filter(move |(voter, index)| !has_vote(voter.ip) && *index + CAUGHT_UP >= state.index)
            .map(|(voter, _)| voter)
    }

    fn joining_voter(&self) -> Option<Change> {
        let voters = &self.replica.state().voters;
        let may_be_silent = |voter: &VoterId| {
            let silence = self.replica.unresponsive_for(*voter, self.now).unwrap_or_default();
            (SUSPECT..self.membership.patience(*voter)).contains(&silence)
        };
        if voters.iter().any(may_be_silent) && !is_active(Mutant::SuccessorFirst) {
            return None;
        }
        let first = self.caught_up().next();
        first.map(Change::Joins)
    }

    /// A machine of the core without a vote asks the leader for one; while it knows no leader, others of the core who leads.
    /// One that is about to end never asks.
    pub(crate) fn ask_for_vote(&mut self) {
        let member = &self.options.node;
        let (me, disk, now) = (member.ip, member.disk, self.now);
        let leader = self.leader().map(|(_, ip)| ip);
        let waits = !self.replica.is_voter() || leader.is_none();
        let is_of_core = member.is_core && disk.is_some() && !self.membership.leaves;
        if !is_of_core || !waits || now < self.membership.asked + ASK_EVERY {
            return;
        }
        self.membership.asked = now;
        self.membership.turn += 1;
        if let Some(ip) = leader {
            return self.send(ip, PeerMessage::JoinRequest(disk, self.replica.state().index));
        }
        let others: Vec<Ipv4Addr> = self.core().into_iter().filter(|ip| *ip != me).collect();
        let turn = self.membership.turn % others.len().max(1);
        if let Some(ip) = others.get(turn).copied() {
            self.gossip_to(ip, true);
        }
    }

    /// A machine asks for a vote: it is told what it lacks, or who leads.
    pub(crate) fn join_asked_by(&mut self, from: Ipv4Addr, disk: DiskId, index: LogIndex) {
        if !self.replica.is_leader() {
            return self.gossip_to(from, false);
        }
        self.membership.asked_by(self.now, from, disk, index);
        self.send_entries(from, index);
        self.reconcile_voters();
    }

    /// This machine is about to end: it hands leadership over, and gives its vote back where the others can do without it.
    pub(crate) fn leave(&mut self) {
        self.membership.leaves = true;
        self.keep_leaving();
    }

    /// Whether this machine, which is about to end, may: it has no vote, or all that it knows is known to enough others.
    pub fn is_released(&self) -> bool {
        self.membership.is_released || self.options.node.disk.is_none() || !self.options.node.is_core
    }

    pub(crate) fn keep_leaving(&mut self) {
        if !self.membership.leaves || self.is_released() {
            return;
        }
        let done = self.replica.leave(self.now);
        self.carry_out(done);
        if self.now < self.membership.asked + ASK_EVERY && self.membership.asked > 0 {
            return;
        }
        self.membership.asked = self.now;
        let index = self.replica.state().index;
        match self.leader() {
            Some((_, ip)) if ip != self.options.node.ip => {
                self.send(ip, PeerMessage::LeaveRequest(self.options.node.disk, index));
            }
            _ => {}
        }
    }

    /// A voter says that it ends, and how far it knows the log.
    pub(crate) fn left_by(&mut self, from: Ipv4Addr, disk: DiskId, index: LogIndex) {
        if !self.replica.is_leader() {
            return;
        }
        let leaver = VoterId { ip: from, disk };
        self.membership.leavers.insert(from, Leaver { disk, at: self.now });
        if is_active(Mutant::ReleasedUnasked) {
            self.send(from, PeerMessage::LeaveGranted);
        }
        let voters = self.replica.state().voters.clone();
        let has_vote = voters.contains(&leaver);
        if has_vote && self.can_do_without(leaver) {
            return self.reconcile_voters();
        }
        let others: BTreeSet<VoterId> = voters.into_iter().filter(|voter| *voter != leaver).collect();
        if self.replica.is_known_to_majority_of(&others, index) {
            self.send(from, PeerMessage::LeaveGranted);
        }
    }

    pub(crate) fn released(&mut self) {
        self.membership.is_released = self.membership.leaves;
    }
}
