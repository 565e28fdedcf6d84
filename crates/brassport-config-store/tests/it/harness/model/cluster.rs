//! A cluster: machines with their disks, and what is on its way between them.

use super::{ip, number, Budget, Cluster, Machine, Packet, Sizes, TICK_MS};
use brassport_config_store::consensus::*;
use std::collections::{BTreeMap, BTreeSet};

impl Cluster {
    /// The state that all is explored from.
    pub(super) fn begin(sizes: Sizes) -> Cluster {
        let mut cluster = Cluster::at_rest(sizes);
        if sizes.starts_with_leader {
            cluster.machines[0].ticks = 1;
            let now = cluster.now(0);
            let actions = cluster.machines[0].replica.tick(now);
            cluster.execute(0, actions);
            // All is synced and arrives, in one order, until nothing is on its way.
            while let Some(envelope) = cluster.settle().in_flight.pop_first() {
                cluster.arrive(envelope);
            }
            cluster.settle();
        }
        cluster
    }

    /// All that is written is synced.
    pub(super) fn settle(&mut self) -> &mut Cluster {
        while let Some(one) = self.machines.iter().position(|machine| !machine.writes.is_empty()) {
            self.sync(one, false);
        }
        self
    }

    pub(super) fn sync(&mut self, one: usize, ignores_gap: bool) {
        let (number, record) = self.machines[one].writes.remove(0);
        let durable = self.machines[one].append(record, ignores_gap);
        let now = self.now(one);
        let actions = self.machines[one].replica.on_persisted(now, number, durable);
        self.execute(one, actions);
    }

    /// Where nothing can happen to a disk any more, a write that takes long is no other than a message that does.
    pub(super) fn has_faults(&self) -> bool {
        let left = &self.left;
        left.crashes + left.wipes + left.write_failures > 0
    }

    pub(super) fn at_rest(sizes: Sizes) -> Cluster {
        let id = |one: usize| VoterId { ip: ip(one), disk: DiskId(10 + one as u64) };
        let state = ReplicatedState::genesis((0..sizes.voters).map(id).collect(), 4);
        let machines = (0..sizes.voters + sizes.spares).map(|one| {
            let state = if one < sizes.voters { state.clone() } else { ReplicatedState::empty() };
            let durable = DurableState { promised: Term::new(0, DiskId(0)), state, accepted: None };
            let disk = id(one).disk;
            let replica = Replica::new(ip(one), disk, Some(durable.clone()), 0);
            Machine { replica, disk, durable, has_gap: false, writes: Vec::new(), ticks: 0, is_gone: false }
        });
        Cluster {
            machines: machines.collect(),
            in_flight: BTreeSet::new(),
            committed: BTreeMap::new(),
            configurations: 0,
            submitted: BTreeMap::new(),
            reads: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            rejected: BTreeSet::new(),
            left: Budget {
                ticks: sizes.ticks,
                reads: sizes.reads,
                crashes: sizes.crashes,
                wipes: sizes.wipes,
                write_failures: sizes.write_failures,
                duplicates: sizes.duplicates,
                changes: sizes.changes,
                departures: sizes.departures,
                transfers: sizes.transfers,
            },
            leaders: BTreeSet::new(),
            violation: None,
        }
    }

    pub(super) fn now(&self, one: usize) -> Millis {
        Millis::from(self.machines[one].ticks) * TICK_MS
    }

    pub(super) fn id(&self, one: usize) -> VoterId {
        VoterId { ip: ip(one), disk: self.machines[one].disk }
    }

    pub(super) fn execute(&mut self, one: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(number(to), self.id(one), message),
                Action::FetchLog(from) if !self.machines[number(from)].is_gone => {
                    self.in_flight.insert((number(from), self.id(one), Packet::Fetch));
                }
                Action::FetchLog(_) => {}
                Action::Persist(number, record) => self.machines[one].writes.push((number, record)),
                Action::Applied(Some(CommittedEntry { index, entry })) => {
                    let first = self.committed.entry(index).or_insert_with(|| entry.clone());
                    if *first != entry {
                        self.violation = Some("two entries at one index");
                    }
                }
                Action::Applied(None) => {}
                Action::Respond(number, outcome) => self.answered(number, outcome),
            }
        }
        if let (true, Some((term, _))) =
            (self.machines[one].replica.is_leader(), self.machines[one].replica.leader(self.now(one)))
        {
            self.leaders.insert(term);
        }
        if self
            .rejected
            .iter()
            .any(|digest| self.committed_requests().any(|committed_requests| committed_requests == *digest))
        {
            self.violation = Some("a rejected request is in force");
        }
    }

    /// A machine goes for good: what was on its way to it, or would be, is lost.
    pub(super) fn depart(&mut self, one: usize) {
        self.machines[one].is_gone = true;
        self.machines[one].writes.clear();
        self.in_flight.retain(|(to, ..)| *to != one);
    }

    /// Puts a message on its way. Of heartbeats, and of answers to heartbeats, under one term only the newest stays: an older one
    /// says less.
    pub(super) fn send(&mut self, to: usize, from: VoterId, message: Message) {
        if self.machines[to].is_gone {
            return;
        }
        let under = |message: &Message| match message {
            Message::Heartbeat { term, .. } => Some((true, *term)),
            Message::HeartbeatResponse { term, .. } => Some((false, *term)),
            _ => None,
        };
        if under(&message).is_some() {
            self.in_flight.retain(|(at, by, packet)| {
                let same = matches!(packet, Packet::Consensus(older) if under(older) == under(&message));
                !(*at == to && *by == from && same)
            });
        }
        self.in_flight.insert((to, from, Packet::Consensus(message)));
    }

    /// Digests of all requests that are committed.
    pub(super) fn committed_requests(&self) -> impl Iterator<Item = RequestDigest> + '_ {
        self.committed.values().filter_map(|entry| match entry {
            Entry::Replace { base_version, body } => {
                Some(RequestDigest::of(ChangeScope::Full, *base_version, body))
            }
            _ => None,
        })
    }

    pub(super) fn answered(&mut self, number: u64, outcome: Outcome) {
        match (outcome, self.submitted.get(&number).copied(), self.reads.get(&number).copied()) {
            (Outcome::Committed, Some(digest), _) => {
                if !self.committed_requests().any(|committed_requests| committed_requests == digest) {
                    self.violation = Some("acknowledged and not committed");
                }
                self.acknowledged.insert(digest, number as u32);
            }
            (Outcome::VersionConflict | Outcome::Invalid(_), Some(digest), _) => {
                self.rejected.insert(digest);
            }
            (Outcome::Current(state), _, Some(newest)) if state.version() < newest => {
                self.violation = Some("a read is older than what was acknowledged");
            }
            _ => {}
        }
    }

    pub(super) fn crash(&mut self, one: usize, reached: usize) {
        let machine = &mut self.machines[one];
        let writes: Vec<_> = machine.writes.drain(..).take(reached).collect();
        for (_, record) in writes {
            machine.append(record, false);
        }
        machine.has_gap = false;
        let (disk, durable) = (machine.disk, machine.durable.clone());
        let now = self.now(one);
        self.machines[one].replica = Replica::new(ip(one), disk, Some(durable), now);
    }

    /// The change of voters that is due: a disk that was lost goes before the new one comes.
    pub(super) fn change_due(&self, one: usize) -> Option<Vec<VoterId>> {
        let voters = &self.machines[one].replica.state().voters;
        let live = (0..self.machines.len()).filter(|other| !self.machines[*other].is_gone);
        let ids: Vec<VoterId> = live.map(|other| self.id(other)).collect();
        let is_gone = |voter: &&VoterId| !ids.iter().any(|id| id.ip == voter.ip);
        let lost = |id: &&VoterId| voters.iter().any(|voter| voter.ip == id.ip && voter.disk != id.disk);
        let mut changed = voters.clone();
        if let Some(wiped) = ids.iter().find(lost) {
            changed.retain(|voter| voter.ip != wiped.ip);
            return Some(changed);
        }
        // As the reconciler does: one that is gone goes before its successor comes.
        let new = ids.iter().find(|id| !voters.contains(id));
        if let Some(gone) = voters.iter().find(is_gone).filter(|_| new.is_some()) {
            changed.retain(|voter| voter != gone);
            return Some(changed);
        }
        changed.push(*new?);
        changed.sort();
        Some(changed)
    }
}

impl Machine {
    /// Whether the store keeps a record; after one that failed it accepts nothing but a snapshot.
    pub(super) fn append(&mut self, record: Record, ignores_gap: bool) -> bool {
        if self.has_gap && !matches!(record, Record::Snapshot(_)) && !ignores_gap {
            return false;
        }
        self.has_gap = false;
        match record {
            Record::Promised(term) => self.durable.promised = self.durable.promised.max(term),
            Record::Accepted { term, index, entry } => {
                self.durable.promised = self.durable.promised.max(term);
                self.reach(index);
                self.durable.accepted = Some(AcceptedEntry { term, entry });
            }
            Record::Committed(CommittedEntry { index, entry }) => {
                self.reach(index);
                self.durable.accepted = None;
                self.durable.state.apply(&entry);
            }
            Record::Snapshot(snapshot) => self.durable = snapshot,
        }
        true
    }

    /// What stands before another was committed when that was written.
    pub(super) fn reach(&mut self, index: LogIndex) {
        while self.durable.state.index + 1 < index {
            let Some(AcceptedEntry { entry: before, .. }) = self.durable.accepted.take() else { break };
            self.durable.state.apply(&before);
        }
    }
}
