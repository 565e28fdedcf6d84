//! A cluster of the model: machines with their disks, and the messages in flight between them.

use super::{ip, number, Budget, Cluster, Machine, Packet, Sizes, TICK_MS};
use brassport_config_store::consensus::*;
use std::collections::{BTreeMap, BTreeSet};

impl Cluster {
    /// The state that the exploration starts from.
    pub(super) fn initial(sizes: Sizes) -> Cluster {
        let mut cluster = Cluster::without_messages(sizes);
        if sizes.starts_with_leader {
            cluster.machines[0].ticks = 1;
            let now = cluster.now(0);
            let actions = cluster.machines[0].replica.tick(now);
            cluster.execute(0, actions);
            // Syncs all writes and delivers all messages, in a fixed order, until none is in flight.
            while let Some(envelope) = cluster.sync_all().in_flight.pop_first() {
                cluster.deliver(envelope);
            }
            cluster.sync_all();
        }
        cluster
    }

    /// Syncs all pending writes.
    pub(super) fn sync_all(&mut self) -> &mut Cluster {
        while let Some(node) = self.machines.iter().position(|machine| !machine.writes.is_empty()) {
            self.sync(node, false);
        }
        self
    }

    pub(super) fn sync(&mut self, node: usize, ignores_gap: bool) {
        let (number, record) = self.machines[node].writes.remove(0);
        let durable = self.machines[node].append(record, ignores_gap);
        let now = self.now(node);
        let actions = self.machines[node].replica.on_persisted(now, number, durable);
        self.execute(node, actions);
    }

    /// Whether faults of disks are still possible. Without them, a slow write has the same effect as a slow message,
    /// and writes can be synced at once.
    pub(super) fn has_disk_faults_left(&self) -> bool {
        let budget = &self.budget;
        budget.crashes + budget.wipes + budget.write_failures > 0
    }

    pub(super) fn without_messages(sizes: Sizes) -> Cluster {
        let id = |node: usize| VoterId { ip: ip(node), disk: DiskId(10 + node as u64) };
        let state = ReplicatedState::initial((0..sizes.voters).map(id).collect(), 4);
        let machines = (0..sizes.voters + sizes.spares).map(|node| {
            let state = if node < sizes.voters { state.clone() } else { ReplicatedState::empty() };
            let durable = DurableState { promised: Term::new(0, DiskId(0)), state, accepted: None };
            let disk = id(node).disk;
            let replica = Replica::new(ip(node), disk, Some(durable.clone()), 0);
            Machine {
                replica,
                disk,
                durable,
                has_gap: false,
                writes: Vec::new(),
                ticks: 0,
                has_departed: false,
            }
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
            budget: Budget {
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

    pub(super) fn now(&self, node: usize) -> Millis {
        Millis::from(self.machines[node].ticks) * TICK_MS
    }

    pub(super) fn id(&self, node: usize) -> VoterId {
        VoterId { ip: ip(node), disk: self.machines[node].disk }
    }

    pub(super) fn execute(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(number(to), self.id(node), message),
                Action::FetchLog(from) if !self.machines[number(from)].has_departed => {
                    self.in_flight.insert((number(from), self.id(node), Packet::Fetch));
                }
                Action::FetchLog(_) => {}
                Action::Persist(number, record) => self.machines[node].writes.push((number, record)),
                Action::Applied(Some(CommittedEntry { index, entry })) => {
                    let first = self.committed.entry(index).or_insert_with(|| entry.clone());
                    if *first != entry {
                        self.violation = Some("two entries are committed at one index");
                    }
                }
                Action::Applied(None) => {}
                Action::Respond(number, outcome) => self.on_response(number, outcome),
            }
        }
        if let (true, Some((term, _))) =
            (self.machines[node].replica.is_leader(), self.machines[node].replica.leader(self.now(node)))
        {
            self.leaders.insert(term);
        }
        if self.rejected.iter().any(|digest| self.committed_requests().any(|committed| committed == *digest))
        {
            self.violation = Some("a rejected request is committed");
        }
    }

    /// Removes a machine for good: its pending writes and the messages in flight to it are lost.
    pub(super) fn depart(&mut self, node: usize) {
        self.machines[node].has_departed = true;
        self.machines[node].writes.clear();
        self.in_flight.retain(|(to, ..)| *to != node);
    }

    /// Sends a message. Of the heartbeats, and of the heartbeat responses, of one term between two machines only the
    /// newest stays in flight: an older one carries less information.
    pub(super) fn send(&mut self, to: usize, from: VoterId, message: Message) {
        if self.machines[to].has_departed {
            return;
        }
        let heartbeat_term = |message: &Message| match message {
            Message::Heartbeat { term, .. } => Some((true, *term)),
            Message::HeartbeatResponse { term, .. } => Some((false, *term)),
            _ => None,
        };
        if heartbeat_term(&message).is_some() {
            self.in_flight.retain(|(receiver, sender, packet)| {
                let is_older = matches!(
                    packet,
                    Packet::Consensus(older) if heartbeat_term(older) == heartbeat_term(&message)
                );
                !(*receiver == to && *sender == from && is_older)
            });
        }
        self.in_flight.insert((to, from, Packet::Consensus(message)));
    }

    /// Digests of all committed requests.
    pub(super) fn committed_requests(&self) -> impl Iterator<Item = RequestDigest> + '_ {
        self.committed.values().filter_map(|entry| match entry {
            Entry::Replace { base_version, body } => {
                Some(RequestDigest::of(ChangeScope::Full, *base_version, body))
            }
            _ => None,
        })
    }

    pub(super) fn on_response(&mut self, number: u64, outcome: Outcome) {
        match (outcome, self.submitted.get(&number).copied(), self.reads.get(&number).copied()) {
            (Outcome::Committed, Some(digest), _) => {
                if !self.committed_requests().any(|committed| committed == digest) {
                    self.violation = Some("a request is acknowledged and not committed");
                }
                self.acknowledged.insert(digest, number as u32);
            }
            (Outcome::VersionConflict | Outcome::Invalid(_), Some(digest), _) => {
                self.rejected.insert(digest);
            }
            (Outcome::Current(state), _, Some(newest)) if state.version() < newest => {
                self.violation = Some("a read returns less than was acknowledged before it");
            }
            _ => {}
        }
    }

    pub(super) fn crash(&mut self, node: usize, synced_writes: usize) {
        let machine = &mut self.machines[node];
        let writes: Vec<_> = machine.writes.drain(..).take(synced_writes).collect();
        for (_, record) in writes {
            machine.append(record, false);
        }
        machine.has_gap = false;
        let (disk, durable) = (machine.disk, machine.durable.clone());
        let now = self.now(node);
        self.machines[node].replica = Replica::new(ip(node), disk, Some(durable), now);
    }

    /// The voter change that a leader has to propose: a lost disk is removed before the new disk of its machine is
    /// added.
    pub(super) fn change_due(&self, node: usize) -> Option<Vec<VoterId>> {
        let voters = &self.machines[node].replica.state().voters;
        let live = (0..self.machines.len()).filter(|other| !self.machines[*other].has_departed);
        let ids: Vec<VoterId> = live.map(|other| self.id(other)).collect();
        let has_departed = |voter: &&VoterId| !ids.iter().any(|id| id.ip == voter.ip);
        let lost = |id: &&VoterId| voters.iter().any(|voter| voter.ip == id.ip && voter.disk != id.disk);
        let mut changed = voters.clone();
        if let Some(wiped) = ids.iter().find(lost) {
            changed.retain(|voter| voter.ip != wiped.ip);
            return Some(changed);
        }
        // As in the voter reconciler, a departed machine is removed before its successor is added.
        let new = ids.iter().find(|id| !voters.contains(id));
        if let Some(departed) = voters.iter().find(has_departed).filter(|_| new.is_some()) {
            changed.retain(|voter| voter != departed);
            return Some(changed);
        }
        changed.push(*new?);
        changed.sort();
        Some(changed)
    }
}

impl Machine {
    /// Appends a record like a store, and returns whether it was stored. After a failed write only a snapshot is
    /// accepted.
    pub(super) fn append(&mut self, record: Record, ignores_gap: bool) -> bool {
        if self.has_gap && !matches!(record, Record::Snapshot(_)) && !ignores_gap {
            return false;
        }
        self.has_gap = false;
        match record {
            Record::Promised(term) => self.durable.promised = self.durable.promised.max(term),
            Record::Accepted { term, index, entry } => {
                self.durable.promised = self.durable.promised.max(term);
                self.commit_before(index);
                self.durable.accepted = Some(AcceptedEntry { term, entry });
            }
            Record::Committed(CommittedEntry { index, entry }) => {
                self.commit_before(index);
                self.durable.accepted = None;
                self.durable.state.apply(&entry);
            }
            Record::Snapshot(snapshot) => self.durable = snapshot,
        }
        true
    }

    /// Commits the accepted entry before `index`: a record at an index implies that the entries before it are
    /// committed.
    pub(super) fn commit_before(&mut self, index: LogIndex) {
        while self.durable.state.index + 1 < index {
            let Some(AcceptedEntry { entry: before, .. }) = self.durable.accepted.take() else { break };
            self.durable.state.apply(&before);
        }
    }
}
