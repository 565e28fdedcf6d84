//! One voter of a fleet, without I/O but for its disk: the consensus engine, the state that its log builds, and, while it
//! leads, the ledger of doors' rights. The runtime and the tests' simulation drive the same code.

use crate::log::{Disk, Log};
use brassport_fleet::grants::{Answer, Ask, FenceBlocker, Grants, Terms};
use brassport_fleet::shared::{Change, Done, Refusal, Shared};
use brassport_fleet::Millis;
use brassport_state::log::{Image, Write};
use oorandom::Rand32;
use protobuf::Message as _;
use raft::prelude::{ConfChange, ConfChangeType, Entry, EntryType, Message, MessageType};
use raft::{Config, RawNode, StateRole};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Between two ticks, milliseconds.
pub const TICK: Millis = 50;
/// Ticks without a leader until an instance stands for election, at the least; up to twice as many at the most.
const ELECTION: usize = 10;
/// Ticks between two words of the leader.
const HEARTBEAT: usize = 2;
/// Entries in the log from which on they give way to a snapshot.
const COMPACT: usize = 1000;
/// How long a question may wait for the majority's word, and a change for its place in the log.
const WAIT: Millis = 2000;
/// The matter of instances: their addresses, by number.
pub const INSTANCE: &str = "instance";

/// What is in the log.
#[derive(Debug, Serialize, Deserialize)]
struct Proposal {
    /// Who waits for it: the instance and its number for it.
    waiter: (u64, u64),
    change: Change,
}

/// What an instance says to who asked it.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// A change is agreed on, or refused by all alike.
    Published(Result<Done, Refusal>),
    /// The leader's answer to a door.
    Asked(Answer),
    /// Another leads, or none is known; of a change nothing was done.
    NotLeading,
    /// Whether the change was taken is not known: ask again by the same id.
    Unknown,
}

/// What is to be done.
#[derive(Debug, Default)]
pub struct Output {
    /// To other instances, by number.
    pub messages: Vec<(u64, Vec<u8>)>,
    /// By the number that the question was given.
    pub replies: Vec<(u64, Reply)>,
    /// The shared state has changed.
    pub changed: bool,
}

/// What a person wants to know of an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    pub id: u64,
    pub term: u64,
    pub leader: Option<u64>,
    pub voters: Vec<u64>,
    pub version: u64,
    pub digest: String,
    /// Doors as the leader knows them: version, and for how long they may act, in milliseconds. Empty elsewhere.
    pub doors: BTreeMap<String, (Option<u64>, Millis)>,
    /// Entries in the log behind its snapshot.
    pub log: usize,
}

/// A voter.
pub struct Instance<D: Disk> {
    id: u64,
    terms: Terms,
    raft: RawNode<Log>,
    disk: D,
    random: Rand32,
    drawn: (u64, StateRole),
    shared: Shared,
    applied: u64,
    /// The log is to give way to a snapshot now.
    compacts: bool,
    next: u64,
    /// Changes that wait for their place, with the term and the moment in which they were given.
    changes: BTreeMap<u64, (u64, Millis)>,
    /// Doors' questions that wait for the majority's word, by the round that asks for it.
    rounds: BTreeMap<u64, (Millis, Vec<(u64, Ask)>)>,
    gathered: Vec<(u64, Ask)>,
    /// Rounds that a majority confirmed, with how far the log has to be applied before they are answered.
    confirmed: Vec<(u64, u64)>,
    /// While it leads: the term, and the ledger.
    grants: Option<(u64, Grants)>,
    /// When it last had word of a leader, or a majority confirmed that it is one. Not later: one that lost its majority is
    /// still leader to itself for a while, and doors could not go on by its leave in time.
    heard: Millis,
    ticked: Millis,
}

impl<D: Disk> Instance<D> {
    /// An instance that starts at `now` from what its disk held.
    ///
    /// # Errors
    /// What it held makes no sense.
    pub fn new(
        id: u64,
        terms: Terms,
        image: &Image,
        disk: D,
        seed: u64,
        now: Millis,
    ) -> Result<Instance<D>, String> {
        let log = Log::read(image)?;
        let metadata = log.snapshot_at_hand().get_metadata().clone();
        let data = log.snapshot_at_hand().get_data();
        let shared = if data.is_empty() {
            Shared::default()
        } else {
            serde_json::from_slice(data).map_err(|error| format!("the snapshot makes no sense: {error}"))?
        };
        let config = Config {
            id,
            election_tick: ELECTION,
            heartbeat_tick: HEARTBEAT,
            applied: metadata.index,
            max_size_per_msg: 1 << 20,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raft = RawNode::new(&config, log, &logger)
            .map_err(|error| format!("the log makes no sense: {error}"))?;
        let mut instance = Instance {
            id,
            terms,
            raft,
            disk,
            random: Rand32::new(seed),
            drawn: (u64::MAX, StateRole::Follower),
            shared,
            applied: metadata.index,
            compacts: false,
            next: 0,
            changes: BTreeMap::new(),
            rounds: BTreeMap::new(),
            gathered: Vec::new(),
            confirmed: Vec::new(),
            grants: None,
            // It may have let doors go on before it was restarted, or have heard of a leader just now.
            heard: now,
            ticked: now,
        };
        instance.draw();
        Ok(instance)
    }

    /// The engine draws its patience from the system; here it comes from the seed, so that a run can be played again.
    fn draw(&mut self) {
        let raft = &mut self.raft.raft;
        if self.drawn != (raft.term, raft.state) {
            self.drawn = (raft.term, raft.state);
            raft.set_randomized_election_timeout(
                self.random.rand_range(ELECTION as u32..2 * ELECTION as u32) as usize,
            );
        }
    }

    pub fn shared(&self) -> &Shared {
        &self.shared
    }

    pub fn id(&self) -> u64 {
        self.id
    }

    /// When it last had word of a leader, or was one.
    pub fn heard_at(&self) -> Millis {
        self.heard
    }

    pub fn leader(&self) -> Option<u64> {
        Some(self.raft.raft.leader_id).filter(|leader| *leader != 0)
    }

    pub fn is_leader(&self) -> bool {
        self.grants.is_some()
    }

    pub fn term(&self) -> u64 {
        self.raft.raft.term
    }

    pub fn status(&self, now: Millis) -> Status {
        let doors = self.grants.iter().flat_map(|(_, grants)| grants.doors(now));
        Status {
            id: self.id,
            term: self.term(),
            leader: self.leader(),
            voters: self.raft.store().voters().voters.clone(),
            version: self.shared.version(),
            digest: self.shared.digest().to_string(),
            doors: doors.map(|(door, version, ms)| (door.to_string(), (version, ms))).collect(),
            log: self.raft.store().length(),
        }
    }

    /// Time has passed.
    ///
    /// # Errors
    /// The disk failed: this instance must not go on.
    pub fn tick(&mut self, now: Millis) -> Result<Output, String> {
        // One that stood still counts the ticks that it missed as one: others' words may lie in its queue.
        if now >= self.ticked + TICK {
            self.ticked = now;
            self.raft.tick();
        }
        let mut output = Output::default();
        let late = |since: &Millis| now >= since + WAIT;
        let term = self.term();
        let changes = std::mem::take(&mut self.changes);
        let (over, waiting) = changes.into_iter().partition(|(_, (begun, at))| late(at) || *begun != term);
        self.changes = waiting;
        let unknown = |(number, _)| (number, Reply::Unknown);
        output.replies.extend(BTreeMap::into_iter(over).map(unknown));
        let rounds = std::mem::take(&mut self.rounds);
        let (over, waiting): (BTreeMap<_, _>, _) = rounds.into_iter().partition(|(_, (at, _))| late(at));
        self.rounds = waiting;
        for (_, (_, asks)) in over {
            output.replies.extend(asks.into_iter().map(|(number, _)| (number, Reply::NotLeading)));
        }
        self.go_on(now, output)
    }

    /// Another instance says this.
    ///
    /// # Errors
    /// As [`Instance::tick`].
    pub fn step(&mut self, now: Millis, message: &[u8]) -> Result<Output, String> {
        if let Ok(message) = Message::parse_from_bytes(message) {
            let is_leaders = matches!(
                message.get_msg_type(),
                MessageType::MsgHeartbeat | MessageType::MsgAppend | MessageType::MsgSnapshot
            );
            if is_leaders && message.term >= self.term() {
                self.heard = now;
            }
            // A message that the engine does not take, of a stranger or of an earlier term, is no fault of this instance.
            let _ = self.raft.step(message);
        }
        self.go_on(now, Output::default())
    }

    /// A change is to be agreed on; `number` names the reply.
    ///
    /// # Errors
    /// As [`Instance::tick`].
    pub fn publish(&mut self, now: Millis, number: u64, change: Change) -> Result<Output, String> {
        let mut output = Output::default();
        self.next += 1;
        let proposal = Proposal { waiter: (self.id, number), change };
        let data = serde_json::to_vec(&proposal).map_err(|error| error.to_string())?;
        if self.grants.is_none() || self.raft.propose(Vec::new(), data).is_err() {
            output.replies.push((number, Reply::NotLeading));
        } else {
            self.changes.insert(number, (self.term(), now));
        }
        self.go_on(now, output)
    }

    /// A voter comes or goes.
    ///
    /// # Errors
    /// It does not lead, or another change of voters is under way; or as [`Instance::tick`], with `true`.
    pub fn change_voters(&mut self, now: Millis, id: u64, comes: bool) -> Result<Output, (bool, String)> {
        let voters = &self.raft.store().voters().voters;
        if !comes && voters == &vec![id] {
            return Err((false, "the last voter cannot leave".into()));
        }
        let kind = if comes { ConfChangeType::AddNode } else { ConfChangeType::RemoveNode };
        let mut change = ConfChange::default();
        (change.node_id, change.change_type) = (id, kind);
        self.raft.propose_conf_change(Vec::new(), change).map_err(|error| (false, error.to_string()))?;
        self.go_on(now, Output::default()).map_err(|error| (true, error))
    }

    /// A door asks for its right; `number` names the reply.
    ///
    /// # Errors
    /// As [`Instance::tick`].
    pub fn ask(&mut self, now: Millis, number: u64, ask: Ask) -> Result<Output, String> {
        let mut output = Output::default();
        if self.grants.is_some() {
            self.gathered.push((number, ask));
        } else {
            output.replies.push((number, Reply::NotLeading));
        }
        self.go_on(now, output)
    }

    /// Lets a door go on for so long from its question, if this voter has heard of no leader for long.
    pub fn leave(&self, now: Millis) -> Option<Millis> {
        (self.grants.is_none() && now >= self.heard + self.terms.silence).then_some(self.terms.extension)
    }

    /// This voter took this leader's word that was sent at `sent`, as of the same term.
    pub fn heard_by(&mut self, sent: Millis, voter: u64, term: u64) {
        if let Some((leading, grants)) = &mut self.grants {
            if *leading == term {
                grants.heard(sent, voter);
            }
        }
    }

    fn others(&self) -> BTreeSet<u64> {
        self.raft.store().voters().voters.iter().copied().filter(|voter| *voter != self.id).collect()
    }

    /// What stands against the word that no door acts on an older version; `None` where this one does not lead.
    pub fn fence(&self, now: Millis, version: u64) -> Option<Vec<FenceBlocker>> {
        let (_, grants) = self.grants.as_ref()?;
        Some(grants.fence(now, version, &self.shared, &self.others()))
    }

    /// Carries out what the engine wants, until it wants nothing more.
    fn go_on(&mut self, now: Millis, mut output: Output) -> Result<Output, String> {
        self.draw();
        // One question to the majority at a time; what comes meanwhile goes with the next.
        if self.rounds.is_empty() && !self.gathered.is_empty() && self.grants.is_some() {
            self.next += 1;
            self.rounds.insert(self.next, (now, std::mem::take(&mut self.gathered)));
            self.raft.read_index(self.next.to_be_bytes().to_vec());
        }
        while self.raft.has_ready() {
            let mut ready = self.raft.ready();
            output.messages.extend(ready.take_messages().into_iter().map(addressed));
            let log = self.raft.mut_store();
            let mut write = log.take(ready.snapshot(), ready.entries(), ready.hs());
            let image = ready.snapshot();
            if image.get_metadata().index > 0 {
                self.applied = image.get_metadata().index;
                self.shared = serde_json::from_slice(image.get_data()).unwrap_or_default();
                output.changed = true;
            }
            if write != Write::default() {
                self.disk.write(&std::mem::take(&mut write))?;
            }
            // Told only once the vote and the entries are on disk.
            output.messages.extend(ready.take_persisted_messages().into_iter().map(addressed));
            let committed = ready.take_committed_entries();
            self.apply(now, committed, &mut output)?;
            let states = ready.take_read_states();
            let mut light = self.raft.advance(ready);
            output.messages.extend(light.take_messages().into_iter().map(addressed));
            if let Some(commit) = light.commit_index() {
                // It may be lost: the leader tells it anew.
                let _ = self.raft.mut_store().commit(commit);
            }
            let committed = light.take_committed_entries();
            self.apply(now, committed, &mut output)?;
            self.raft.advance_apply_to(self.applied);
            self.lead(now);
            self.confirmed.extend(states.into_iter().map(|state| {
                let round = state.request_ctx.as_slice().try_into().map_or(0, u64::from_be_bytes);
                (state.index, round)
            }));
            let applied = self.applied;
            for (_, round) in
                self.confirmed.extract_if(.., |(index, _)| *index <= applied).collect::<Vec<_>>()
            {
                self.answer(now, round, &mut output);
            }
            self.draw();
        }
        if self.raft.store().length() >= COMPACT || std::mem::take(&mut self.compacts) {
            let state = serde_json::to_vec(&self.shared).map_err(|error| error.to_string())?;
            let applied = self.applied;
            if let Some(write) = self.raft.mut_store().compact(applied, state) {
                self.disk.write(&write)?;
            }
        }
        self.lead(now);
        Ok(output)
    }

    /// Begins or ends to lead.
    fn lead(&mut self, now: Millis) {
        let (leads, term) = (self.raft.raft.state == StateRole::Leader, self.term());
        if !leads {
            self.grants = None;
        } else if self.grants.as_ref().is_none_or(|(leading, _)| *leading != term) {
            self.grants = Some((term, Grants::new(self.terms, now)));
            self.heard = now;
        }
        if let Some((_, grants)) = &mut self.grants {
            grants.note(now, &self.shared);
        }
        if self.grants.is_none() {
            // Whoever asked goes to the new leader.
            let asks = std::mem::take(&mut self.gathered);
            self.rounds.entry(0).or_insert((0, Vec::new())).1.extend(asks);
            self.rounds.retain(|_, (_, asks)| !asks.is_empty());
        }
    }

    fn apply(&mut self, now: Millis, entries: Vec<Entry>, output: &mut Output) -> Result<(), String> {
        for entry in entries {
            self.applied = entry.index;
            if entry.get_entry_type() != EntryType::EntryNormal {
                let change = ConfChange::parse_from_bytes(&entry.data).map_err(|error| error.to_string())?;
                let voters = self.raft.apply_conf_change(&change).map_err(|error| error.to_string())?;
                self.raft.mut_store().set_voters(voters);
                // A new voter takes only a snapshot that names it.
                self.compacts = true;
                output.changed = true;
                continue;
            }
            // An empty entry begins a leader's term; one of a newer program in a form of its own is passed over by all.
            let Ok(proposal) = serde_json::from_slice::<Proposal>(&entry.data) else { continue };
            let done = self.shared.apply(&proposal.change);
            output.changed |= done.as_ref().is_ok_and(|done| !done.repeated);
            if proposal.waiter.0 == self.id && self.changes.remove(&proposal.waiter.1).is_some() {
                output.replies.push((proposal.waiter.1, Reply::Published(done)));
            }
        }
        if let Some((_, grants)) = &mut self.grants {
            grants.note(now, &self.shared);
        }
        Ok(())
    }

    /// A majority confirmed that this one leads, behind the questions of this round.
    fn answer(&mut self, now: Millis, round: u64, output: &mut Output) {
        let Some((_, asks)) = self.rounds.remove(&round) else { return };
        self.heard = now;
        let voters = self.others();
        for (number, ask) in asks {
            let reply = match &mut self.grants {
                Some((_, grants)) => Reply::Asked(grants.ask(now, &ask, &self.shared, &voters)),
                None => Reply::NotLeading,
            };
            output.replies.push((number, reply));
        }
    }
}

fn addressed(message: Message) -> (u64, Vec<u8>) {
    (message.to, message.write_to_bytes().expect("a message in memory has a form"))
}
