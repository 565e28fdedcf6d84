//! The one owner of this machine's control state: takes events in, one after another, and says what is to be done.

use crate::backends::{Backend, News, Stage, Table};
use crate::call::{Call, Reply};
use crate::confirmations::Confirmations;
use crate::gossip::SPEAKS;
use crate::isolation::Doubt;
use crate::log_updates::OnItsWay;
use crate::membership::{Membership, Survive};
use crate::peer_message::{Envelope, PeerMessage};
use crate::ring_position::{OwnRank, Ranks};
use crate::snapshots::Snapshots;
use crate::Millis;
use brassport_config_store::consensus::{self, Command, Record, Recovered, Replica, State, Term};
use brassport_quota::{Lender, Limit, Loan, TenantId, Use};
use brassport_transport::views::{Member, Views};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// A door that tells its changes to all whom it knows, up to so many; with more it tells some, who tell on.
pub(crate) const ALL: usize = 16;
/// Word of a leader holds for so long without a new one.
const LEADER_TOLD: Millis = 1_800;
/// A machine that was not asked for so long stood still.
const STILL: Millis = 700;

/// What a machine knows at its start.
#[derive(Debug, Clone)]
pub struct Start {
    /// What it says of itself; its disk is told later.
    pub member: Member,
    /// Addresses to begin with.
    pub seeds: Vec<Ipv4Addr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// What may be lost at once.
    pub survive: Survive,
    /// Between two beats of a backend.
    pub beat_ms: Millis,
    /// Draws.
    pub seed: u64,
}

/// What happens to a machine.
#[derive(Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A message came.
    PeerMessage(Envelope),
    /// Somebody calls; the answer goes with the number.
    Call(u64, Call),
    /// The disk is there: its number and what was found on it.
    Disk(u64, Recovered),
    /// A write is synced, or failed.
    Written(u64, bool),
    /// The data plane's counts, for the lender.
    Used(u32, Vec<Use>),
    /// Other addresses to begin with.
    Seeds(Vec<Ipv4Addr>),
    /// The process is to end.
    Leave,
}

/// What a machine asks of its host.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send this.
    Send(Ipv4Addr, PeerMessage),
    /// Keep this, then say so.
    Write(u64, Record),
    /// Answer a call.
    Reply(u64, Reply),
    /// The state of the log has moved on.
    Configuration(Arc<State>),
    /// A backend is new, or changed.
    Backend(Backend),
    /// A backend was not heard of for long.
    Dropped(String),
    /// What is lent upon a report.
    Lent(Term, u32, Vec<Loan>),
}

/// The control state of one machine.
#[derive(Debug)]
pub struct Control {
    pub(crate) start: Start,
    pub(crate) now: Millis,
    pub(crate) born: Millis,
    pub(crate) replica: Replica,
    pub(crate) views: Views,
    pub(crate) table: Table,
    pub(crate) lender: Lender,
    pub(crate) lends: bool,
    pub(crate) limits: BTreeMap<TenantId, Limit>,
    pub(crate) ranks: Ranks,
    pub(crate) own_rank: OwnRank,
    /// Whom a machine without a vote takes for the leader, and when that was heard.
    pub(crate) told: Option<(Term, Ipv4Addr, Millis)>,
    /// Where this system's doors are called by backends; beats are asked for near where they come from.
    pub(crate) control_port: Option<u16>,
    pub(crate) gossiped: Millis,
    pub(crate) exchanges: u64,
    pub(crate) turn: usize,
    pub(crate) fetched: BTreeMap<Ipv4Addr, Millis>,
    /// When the table was compared with another's last.
    pub(crate) repaired: Option<Millis>,
    /// When each machine was heard last, by its own words.
    pub(crate) heard: BTreeMap<Ipv4Addr, Millis>,
    /// The log index that each machine told last.
    pub(crate) indexes: BTreeMap<Ipv4Addr, u64>,
    /// Entries to tell a second time: when, to whom.
    pub(crate) retell: Option<(Millis, Vec<Ipv4Addr>, Vec<consensus::Chosen>)>,
    pub(crate) confirmations: Confirmations,
    /// Numbers of what this machine asks of consensus for itself.
    pub(crate) own: BTreeSet<u64>,
    pub(crate) last_own: u64,
    pub(crate) begun: Option<Ipv4Addr>,
    pub(crate) membership: Membership,
    pub(crate) snapshots: Snapshots,
    /// When this machine last stood still.
    pub(crate) stood_still: Option<Millis>,
    /// Whether this machine hears none of the core.
    pub(crate) is_isolated: bool,
    pub(crate) doubt: Option<Doubt>,
    /// What went to machines that asked for entries.
    pub(crate) on_their_way: BTreeMap<Ipv4Addr, OnItsWay>,
    pub(crate) actions: Vec<Action>,
}

impl Control {
    /// A machine that starts.
    pub fn new(start: Start, now: Millis) -> Control {
        let (ip, seed) = (start.member.ip, start.seed);
        Control {
            now,
            born: now,
            replica: Replica::new(ip, 0, None, now),
            views: Views::new(ip, seed),
            table: Table::default(),
            lender: Lender::default(),
            lends: false,
            limits: BTreeMap::new(),
            ranks: Ranks::default(),
            own_rank: OwnRank::default(),
            told: None,
            control_port: None,
            gossiped: 0,
            exchanges: 0,
            turn: seed as usize % 7,
            fetched: BTreeMap::new(),
            repaired: None,
            heard: BTreeMap::new(),
            indexes: BTreeMap::new(),
            retell: None,
            confirmations: Confirmations::new(seed),
            own: BTreeSet::new(),
            last_own: 1 << 62,
            begun: None,
            membership: Membership::of(&start.member),
            snapshots: Snapshots::default(),
            stood_still: None,
            is_isolated: false,
            doubt: None,
            on_their_way: BTreeMap::new(),
            actions: Vec::new(),
            start,
        }
    }

    /// The port that backends call on every door: from here on they are told of a door of their own zone.
    pub fn call_near(&mut self, control_port: u16) {
        self.control_port = Some(control_port);
    }

    /// Takes one event in.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        if now > self.now + STILL {
            self.stood_still = Some(now);
            self.table.stood_still(now);
        }
        self.now = self.now.max(now);
        self.watch_isolation();
        match event {
            Event::Tick => self.tick(),
            Event::PeerMessage(Envelope(from, life, message)) => self.hear(from, life, message),
            Event::Call(number, call) => self.call(number, call),
            Event::Disk(disk, found) => {
                self.start.member.disk = disk;
                let done = self.replica.attach(now, disk, found);
                self.carry_out(done);
            }
            Event::Written(number, synced) => {
                let done = self.replica.written(now, number, synced);
                self.carry_out(done);
            }
            Event::Used(number, used) => match self.leader() {
                Some((term, ip)) if ip == self.start.member.ip => {
                    let loans = self.lend(ip, self.start.member.life, &used);
                    self.actions.push(Action::Lent(term, number, loans));
                }
                Some((_, ip)) => self.send(ip, PeerMessage::Used(number, used)),
                None => {}
            },
            Event::Seeds(seeds) => self.start.seeds = seeds,
            Event::Leave => self.leave(),
        }
        self.watch_leadership();
        std::mem::take(&mut self.actions)
    }

    /// The state that the log led to, as far as it is known here.
    pub fn state(&self) -> &Arc<State> {
        self.replica.state()
    }

    /// The doors known here.
    pub fn views(&self) -> &Views {
        &self.views
    }

    /// All backends known here, and for how long each is still slow from its start.
    pub fn backends(&self) -> impl Iterator<Item = (&Backend, Millis)> {
        self.table.all(self.now)
    }

    /// Who leads, as far as it is known here.
    pub fn leader(&self) -> Option<(Term, Ipv4Addr)> {
        let fresh = |(_, _, at): &(Term, Ipv4Addr, Millis)| self.now < at + LEADER_TOLD;
        let told = self.told.filter(fresh).map(|(term, ip, _)| (term, ip));
        // The higher term holds.
        self.replica.leader(self.now).into_iter().chain(told).max_by_key(|(term, _)| *term)
    }

    pub(crate) fn send(&mut self, to: Ipv4Addr, message: PeerMessage) {
        if to != self.start.member.ip {
            self.actions.push(Action::Send(to, message));
        }
    }

    /// The machines whose word counts: the voters, or those of the core that are known while there are none.
    pub(crate) fn core(&self) -> Vec<Ipv4Addr> {
        let voters = &self.replica.state().voters;
        if !voters.is_empty() {
            return voters.iter().map(|voter| voter.ip).collect();
        }
        let own = self.start.member.counted.then_some(self.start.member.ip);
        self.views.members().filter(|member| member.counted).map(|member| member.ip).chain(own).collect()
    }

    fn tick(&mut self) {
        let done = self.replica.tick(self.now);
        self.carry_out(done);
        self.views.age_out(self.now);
        let now = self.now;
        self.heard.retain(|_, at| now < *at + 10 * SPEAKS);
        let heard = &self.heard;
        self.indexes.retain(|ip, _| heard.contains_key(ip));
        self.on_their_way.retain(|ip, _| heard.contains_key(ip));
        let every = self.gossip_every();
        if self.exchanges == 0 || self.now >= self.gossiped + every {
            (self.gossiped, self.exchanges) = (self.now, self.exchanges + 1);
            self.gossip_next();
        }
        let after = 2 * self.start.beat_ms + self.start.beat_ms * 7 / 10;
        let silent = self.table.silent(self.now, after);
        for backend in silent {
            self.actions.push(Action::Backend(backend.clone()));
            self.spread(vec![backend], None);
        }
        let dropped = self.table.expire(self.now).into_iter().map(Action::Dropped);
        self.actions.extend(dropped);
        self.retell();
        self.tend_snapshots();
        self.tend_doubt();
        self.review_unconfirmed();
        self.bootstrap_log();
        self.ask_for_vote();
        self.reconcile_voters();
        self.keep_leaving();
        self.ask_for_rank();
    }

    fn hear(&mut self, from: Ipv4Addr, life: u64, message: PeerMessage) {
        self.end_isolation(from);
        self.heard.insert(from, self.now);
        match message {
            PeerMessage::Gossip(member, index, digest, leader, members, back) => {
                self.receive_gossip(member, (index, digest), leader, members, back);
            }
            PeerMessage::Consensus(disk, message) => {
                let done = self.replica.receive(self.now, consensus::VoterId { ip: from, disk }, message);
                self.carry_out(done);
            }
            PeerMessage::Fetch(index) => self.send_entries(from, index),
            PeerMessage::Entries(entries) => self.receive_entries(from, entries),
            PeerMessage::Snapshot(chunk) => self.receive_chunk(from, chunk),
            PeerMessage::FetchSnapshot(id, offset) => self.continue_snapshot(from, id, offset),
            PeerMessage::Ranges(theirs) => {
                let records = self.table.differing(self.now, &theirs);
                if !records.is_empty() {
                    self.send(from, PeerMessage::Backends(records, None));
                }
            }
            PeerMessage::Backends(records, number) => self.receive_backends(from, records, number),
            PeerMessage::Confirmed(number, index) => self.confirmed(number, from, index),
            PeerMessage::Join(disk, index) => self.join_asked_by(from, disk, index),
            PeerMessage::Leaving(disk, index) => self.left_by(from, disk, index),
            PeerMessage::Released => self.released(),
            PeerMessage::Bootstrap(slots) => {
                if self.start.first_start && self.start.member.disk != 0 {
                    let done = self.replica.bootstrap(self.now, slots);
                    self.carry_out(done);
                }
            }
            PeerMessage::Used(number, used) => {
                if let Some((term, ip)) = self.replica.leader(self.now) {
                    if ip == self.start.member.ip {
                        let loans = self.lend(from, life, &used);
                        self.send(from, PeerMessage::Lent(term, number, loans));
                    }
                }
            }
            PeerMessage::AskRank(zone) => self.rank_asked_by(from, zone),
            PeerMessage::Rank(term, rank) => self.rank_told(term, rank),
            PeerMessage::Lent(term, number, loans) => {
                self.actions.push(Action::Lent(term, number, loans));
            }
        }
    }

    fn call(&mut self, number: u64, call: Call) {
        match call {
            Call::CheckIn(record) => {
                let (id, emptying) = (record.id.clone(), record.stage == Stage::Emptying);
                let news = self.table.hear(self.now, record, true);
                let Some(record) = self.table.told(self.now, &id) else { return };
                if news == News::Changed {
                    self.actions.push(Action::Backend(record.clone()));
                    self.spread(vec![record.clone()], None);
                }
                if emptying {
                    self.confirm_by_core(number, record);
                } else {
                    self.take_beat(number, &record);
                }
            }
            Call::SignOff(id) => {
                let record = self.table.sign_off(self.now, &id);
                self.actions.push(Action::Backend(record.clone()));
                self.spread(vec![record.clone()], None);
                self.confirm_by_core(number, record);
            }
            Call::Put { is_whole, built_on, body } => {
                self.ask_leader(number, Command::Put { is_whole, built_on, body });
            }
            Call::Read => self.ask_leader(number, Command::Read),
            Call::Status => {
                let status = self.status().to_string().into_bytes();
                self.reply(number, Reply::Done(Arc::new(status)));
            }
        }
    }

    pub(crate) fn done(&mut self, number: u64) {
        self.actions.push(Action::Reply(number, Reply::Done(Arc::new(b"{}".to_vec()))));
    }

    pub(crate) fn reply(&mut self, number: u64, reply: Reply) {
        self.actions.push(Action::Reply(number, reply));
    }
}
