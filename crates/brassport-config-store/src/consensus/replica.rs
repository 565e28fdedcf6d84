//! One machine's replica of the log: what it promised and accepted, and the state that all entries led to. A machine
//! without a vote has one too, and only follows.

use super::campaign::Role;
use super::mutants::{is_active, Mutant};
use super::{
    AcceptedEntry, Action, Command, CommittedEntry, DiskId, Entry, LogIndex, Message, Millis, Record,
    ReplicatedState, Term, VoterId,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Entries, and bytes of them, that are kept for those who follow from an index on; beyond that they take a whole state.
const KEPT: usize = 256;
const KEPT_BYTES: usize = 512 * 1024;
/// A whole state is written each so many indexes, in the place of the entries that led there.
const SNAPSHOT: u64 = 64;
/// A leader that was heard so lately lives: nobody else is promised anything. Guards leadership against a voter that is
/// heard and does not hear.
const LIVES: Millis = 360;
/// Silence after which the first in the agreed order takes leadership, and so much later each one behind it.
const SILENCE: Millis = 420;
const STEP: Millis = 220;
/// As those two at a start, where nothing was heard yet: a leader that lives is heard within 120 ms.
const FIRST_SILENCE: Millis = 240;
const FIRST_STEP: Millis = 90;

/// What was found on disk.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct DurableState {
    /// The highest term promised.
    pub promised: Term,
    /// The state that the chosen entries led to.
    pub state: ReplicatedState,
    /// What was accepted at the next index.
    #[serde(rename = "open")]
    pub accepted: Option<AcceptedEntry>,
}

impl DurableState {
    /// What a new disk holds.
    pub fn empty() -> DurableState {
        DurableState { promised: Term::ZERO, state: ReplicatedState::empty(), accepted: None }
    }
}

/// A leader as it was heard last.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct HeardLeader {
    pub term: Term,
    pub ip: Ipv4Addr,
    /// The number of its latest heartbeat.
    pub heartbeat: u64,
    pub at: Millis,
}

/// One machine's copy of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Replica {
    pub(super) me: VoterId,
    pub(super) state: Arc<ReplicatedState>,
    pub(super) promised: Term,
    /// Accepted at the next index.
    accepted: Option<AcceptedEntry>,
    /// The latest entries, the newest last.
    kept: VecDeque<CommittedEntry>,
    kept_bytes: usize,
    /// The state at the last index that all replicas take a snapshot of.
    checkpoint: Option<Arc<ReplicatedState>>,
    /// The leader that was heard last.
    pub(super) heard: Option<HeardLeader>,
    /// Whether a leader was heard, or somebody stood, in this life.
    is_born: bool,
    /// Since when this voter would take leadership.
    pub(super) quiet_since: Millis,
    pub(super) role: Role,
    /// What may be said once a write is synced.
    writes: BTreeMap<u64, Vec<(Ipv4Addr, Message)>>,
    /// What is known to be on disk: the promise, and the latest acceptance.
    synced: (Term, (Term, LogIndex)),
    last_write: u64,
    /// Whether a write failed: the next one carries the whole state first.
    torn: bool,
    /// Whether this machine is about to end: then it campaigns no more.
    is_leaving: bool,
    pub(super) actions: Vec<Action>,
    pub(super) now: Millis,
}

impl Replica {
    /// A machine that starts. `disk` is the number that its disk was given; 0: it has none, and never votes.
    pub fn new(ip: Ipv4Addr, disk: DiskId, found: Option<DurableState>, now: Millis) -> Replica {
        let found = found.unwrap_or(DurableState::empty());
        Replica {
            me: VoterId { ip, disk },
            state: Arc::new(found.state),
            promised: found.promised,
            accepted: found.accepted,
            kept: VecDeque::new(),
            kept_bytes: 0,
            checkpoint: None,
            heard: None,
            is_born: false,
            quiet_since: now,
            role: Role::Follower,
            writes: BTreeMap::new(),
            synced: (found.promised, (Term::ZERO, LogIndex(0))),
            last_write: 0,
            torn: false,
            is_leaving: false,
            actions: Vec::new(),
            now,
        }
    }

    /// The disk is there: its number, and what was found on it.
    pub fn attach_store(&mut self, now: Millis, disk: DiskId, found: DurableState) -> Vec<Action> {
        self.now = now;
        self.me.disk = disk;
        self.promised = self.promised.max(found.promised);
        self.synced.0 = found.promised;
        if found.state.index >= self.state.index && found.state.index > LogIndex(0) {
            (self.state, self.accepted) = (Arc::new(found.state), found.accepted);
            self.kept.clear();
            self.kept_bytes = 0;
            self.actions.push(Action::Applied(None));
        } else if self.state.index > LogIndex(0) {
            self.write_whole();
        }
        self.quiet_since = now;
        self.done()
    }

    /// Begins the log, with this voter alone. Only one machine may ever be told to.
    pub fn bootstrap(&mut self, now: Millis, quota_shares: u32) -> Vec<Action> {
        self.now = now;
        if self.state.index == LogIndex(0) && self.me.disk.is_some() {
            self.state = Arc::new(ReplicatedState::genesis(vec![self.me], quota_shares));
            self.write_whole();
            self.actions.push(Action::Applied(None));
            self.quiet_since = now.saturating_sub(SILENCE);
        }
        self.done()
    }

    /// The state that the log has led to, as far as it is known here.
    pub fn state(&self) -> &Arc<ReplicatedState> {
        &self.state
    }

    /// Who this is.
    pub fn id(&self) -> VoterId {
        self.me
    }

    /// The live leader, if one is known.
    pub fn leader(&self, now: Millis) -> Option<(Term, Ipv4Addr)> {
        match &self.role {
            Role::Leader(leading) => Some((leading.term, self.me.ip)),
            _ => self.heard.filter(|heard| now < heard.at + 2 * SILENCE).map(|heard| (heard.term, heard.ip)),
        }
    }

    /// This machine is about to end: it campaigns no more, and hands leadership over if it leads.
    pub fn leave(&mut self, now: Millis) -> Vec<Action> {
        self.is_leaving = true;
        self.transfer_leadership(now)
    }

    /// Whether this machine has a vote, as far as it knows.
    pub fn is_voter(&self) -> bool {
        self.me.disk.is_some() && self.state.voters.contains(&self.me)
    }

    /// The entries from behind an index on; `None` if they are no longer kept.
    pub fn entries_after(&self, index: LogIndex) -> Option<Vec<CommittedEntry>> {
        let first = self.kept.front().map_or(self.state.index + 1, |chosen| chosen.index);
        (index + 1 >= first && index <= self.state.index)
            .then(|| self.kept.iter().filter(|chosen| chosen.index > index).cloned().collect())
    }

    /// The state at the last index that every replica takes a snapshot of, if this one has gone by it: all have the same.
    pub fn checkpoint(&self) -> Option<Arc<ReplicatedState>> {
        self.checkpoint.clone()
    }

    /// Takes in entries that are known to be chosen.
    pub fn append_committed(&mut self, now: Millis, entries: Vec<CommittedEntry>) -> Vec<Action> {
        self.now = now;
        for chosen in entries {
            if chosen.index == self.state.index + 1 {
                self.overtaken(chosen.index, &chosen.entry);
                self.advance(chosen.entry);
            }
        }
        self.review_campaign();
        self.done()
    }

    /// Takes in a whole state that is known to be chosen; an older one than this is passed over.
    pub fn install_snapshot(&mut self, now: Millis, state: ReplicatedState) -> Vec<Action> {
        self.now = now;
        if state.index > self.state.index {
            self.overtaken(state.index, &Entry::Noop);
            self.state = Arc::new(state);
            (self.accepted, self.kept_bytes) = (None, 0);
            self.kept.clear();
            if self.me.disk.is_some() {
                self.write_whole();
            }
            self.actions.push(Action::Applied(None));
        }
        self.review_campaign();
        self.done()
    }

    /// A write is synced, or failed: then nothing is said of it, ever.
    pub fn on_persisted(&mut self, now: Millis, number: u64, synced: bool) -> Vec<Action> {
        self.now = now;
        let said = self.writes.remove(&number).unwrap_or_default();
        if synced {
            for (to, message) in said {
                match &message {
                    Message::Promise { term, .. } => self.synced.0 = self.synced.0.max(*term),
                    Message::Accepted { term, index } => self.synced.1 = (*term, *index),
                    _ => {}
                }
                self.send(to, message);
            }
        } else {
            self.torn = true;
        }
        self.done()
    }

    /// A message came from a voter.
    pub fn step(&mut self, now: Millis, from: VoterId, message: Message) -> Vec<Action> {
        self.now = now;
        self.handle(from, message);
        self.done()
    }

    /// Asks something of the leader, which is this machine; the answer comes with the number.
    pub fn submit(&mut self, now: Millis, number: u64, command: Command) -> Vec<Action> {
        self.now = now;
        self.enqueue(number, command);
        self.done()
    }

    /// Time passed. To be called every 50 ms or so.
    pub fn tick(&mut self, now: Millis) -> Vec<Action> {
        // Guards against a machine that stood still and believes what it knew before.
        if now > self.now + SILENCE {
            (self.heard, self.quiet_since) = (None, now);
        }
        self.now = now;
        if self.is_voter() && !self.is_leaving && matches!(self.role, Role::Follower) {
            let order = self.state.voters.iter().position(|voter| *voter == self.me).unwrap_or_default();
            let alone = self.state.voters.len() == 1;
            let (silence, step) = if self.is_born { (SILENCE, STEP) } else { (FIRST_SILENCE, FIRST_STEP) };
            let wait = if alone { 0 } else { silence + step * order as Millis };
            if now >= self.quiet_since + wait {
                self.is_born = true;
                self.campaign();
            }
        }
        self.tick_candidate();
        self.tick_leader();
        self.done()
    }

    pub(super) fn done(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    pub(super) fn handle(&mut self, from: VoterId, message: Message) {
        match message {
            Message::Prepare { term } => self.prepare(from, term),
            Message::Accept { term, index, entry } => self.accept(from, term, index, entry),
            Message::Heartbeat { term, index, heartbeat } => self.heartbeat(from, term, index, heartbeat),
            Message::Promise { term, index, accepted } => self.promise(from, term, index, accepted),
            Message::Accepted { term, index } => self.accepted(from, term, index),
            Message::HeartbeatResponse { term, index, heartbeat } => {
                self.followed(from, term, heartbeat, index)
            }
            Message::TransferLeadership { term, to } => self.transferred(from, term, to),
            Message::Reject { term } => self.refused(term),
        }
    }

    /// Sends a message; one to this machine itself is taken in at once.
    pub(super) fn send(&mut self, to: Ipv4Addr, message: Message) {
        if to == self.me.ip {
            self.handle(self.me, message);
        } else {
            self.actions.push(Action::Send(to, message));
        }
    }

    fn write(&mut self, record: Record, said: Vec<(Ipv4Addr, Message)>) {
        if std::mem::take(&mut self.torn)
            && !matches!(record, Record::Snapshot(_))
            && !is_active(Mutant::TornIgnored)
        {
            // Guards against a gap on disk: what failed to be written is part of this.
            self.write_whole();
        }
        self.last_write += 1;
        let early = if is_active(Mutant::SaidUnsynced) { said.clone() } else { Vec::new() };
        early.into_iter().for_each(|(to, message)| self.send(to, message));
        self.writes.insert(self.last_write, said);
        self.actions.push(Action::Persist(self.last_write, record));
    }

    fn write_whole(&mut self) {
        let state = ReplicatedState::clone(&self.state);
        let whole = DurableState { promised: self.promised, state, accepted: self.accepted.clone() };
        self.write(Record::Snapshot(whole), Vec::new());
    }

    /// Somebody wants leadership.
    fn prepare(&mut self, from: VoterId, term: Term) {
        if self.me.disk.is_none() {
            return;
        }
        let held = match &self.role {
            Role::Leader(leading) => leading.has_quorum(self.now, &self.state) && from.ip != self.me.ip,
            _ => self.heard.is_some_and(|heard| self.now < heard.at + LIVES && heard.ip != from.ip),
        };
        let below = term < self.promised && !is_active(Mutant::PromiseBroken);
        if below || (term > self.promised && held) {
            return self.send(from.ip, Message::Reject { term: self.promised });
        }
        let promise = Message::Promise { term, index: self.state.index, accepted: self.accepted.clone() };
        if term > self.promised {
            self.promised = term;
            if from.ip != self.me.ip {
                self.step_down();
                self.quiet_since = self.now;
            }
            self.write(Record::Promised(term), vec![(from.ip, promise)]);
        } else if self.synced.0 >= term {
            // Asked again: what is synced may be said again.
            self.send(from.ip, promise);
        } else if !self.waits(|said| matches!(said, Message::Promise { term: under, .. } if *under == term)) {
            self.write(Record::Promised(term), vec![(from.ip, promise)]);
        }
    }

    /// Whether such a message waits for a write.
    fn waits(&self, like: impl Fn(&Message) -> bool) -> bool {
        self.writes.values().flatten().any(|(_, waiting)| like(waiting))
    }

    /// The leader wants an entry accepted.
    fn accept(&mut self, from: VoterId, term: Term, index: LogIndex, entry: Entry) {
        if self.me.disk.is_none() {
            return;
        }
        if term < self.promised && !is_active(Mutant::PromiseBroken) {
            return self.send(from.ip, Message::Reject { term: self.promised });
        }
        self.hear_leader(term, from.ip, 0);
        if index > self.state.index + 1 {
            return self.actions.push(Action::FetchLog(from.ip));
        }
        if index <= self.state.index {
            // It is chosen, and the leader does not know that yet. Under its own term it can be nothing else.
            return;
        }
        let said = Message::Accepted { term, index };
        let same = self.accepted.as_ref().is_some_and(|held| held.term == term && held.entry == entry);
        if same && self.synced.1 == (term, index) {
            return self.send(from.ip, said);
        }
        if same && self.waits(|waiting| *waiting == said) {
            return;
        }
        self.promised = term;
        self.accepted = Some(AcceptedEntry { term, entry: entry.clone() });
        self.write(Record::Accepted { term, index, entry }, vec![(from.ip, said)]);
    }

    /// The leader lives, and tells how far the log is chosen.
    fn heartbeat(&mut self, from: VoterId, term: Term, index: LogIndex, heartbeat: u64) {
        if term < self.promised && !is_active(Mutant::PromiseBroken) {
            return self.send(from.ip, Message::Reject { term: self.promised });
        }
        self.hear_leader(term, from.ip, heartbeat);
        if index == self.state.index + 1 {
            if let Some(AcceptedEntry { entry, .. }) = self.accepted.take_if(|held| held.term == term) {
                self.advance_open(entry);
            }
        }
        if index > self.state.index {
            self.actions.push(Action::FetchLog(from.ip));
        }
        self.send(from.ip, Message::HeartbeatResponse { term, index: self.state.index, heartbeat });
    }

    /// A leader says something. Only a heartbeat that was not heard before shows that it lives: an old one may come late, or
    /// twice.
    fn hear_leader(&mut self, term: Term, ip: Ipv4Addr, heartbeat: u64) {
        self.is_born = true;
        if ip == self.me.ip {
            return;
        }
        if self.role.term().is_some_and(|own| own < term) {
            self.step_down();
        }
        let is_news = self.heard.is_none_or(|heard| (term, heartbeat) > (heard.term, heard.heartbeat));
        if is_news {
            self.heard = Some(HeardLeader { term, ip, heartbeat, at: self.now });
            self.quiet_since = self.now;
        }
    }

    /// What was accepted here is chosen: it is on disk already, or on its way there.
    fn advance_open(&mut self, entry: Entry) {
        self.accepted = None;
        self.moved(entry);
    }

    /// An entry is chosen, whatever was accepted here.
    pub(super) fn advance(&mut self, entry: Entry) {
        let index = self.state.index + 1;
        let held = self.accepted.take().is_some_and(|held| held.entry == entry);
        if self.me.disk.is_some() && !held {
            self.write(Record::Committed(CommittedEntry { index, entry: entry.clone() }), Vec::new());
        }
        self.moved(entry);
    }

    fn moved(&mut self, entry: Entry) {
        Arc::make_mut(&mut self.state).apply(&entry);
        let chosen = CommittedEntry { index: self.state.index, entry };
        self.kept_bytes += chosen.entry.size();
        self.kept.push_back(chosen.clone());
        while self.kept.len() > KEPT || self.kept_bytes > KEPT_BYTES {
            let Some(oldest) = self.kept.pop_front() else { break };
            self.kept_bytes -= oldest.entry.size();
        }
        self.actions.push(Action::Applied(Some(chosen)));
        if !self.state.index.0.is_multiple_of(SNAPSHOT) {
            return;
        }
        self.checkpoint = Some(self.state.clone());
        if self.me.disk.is_some() {
            self.write_whole();
        }
    }
}
