//! The one owner of this machine's control state: takes events in, one after another, and says what is to be done.

use crate::backends::{Backend, BackendState, MergeOutcome, Table};
use crate::call::{Call, Reply};
use crate::confirmations::Confirmations;
use crate::gossip::SPEAKS;
use crate::isolation::Doubt;
use crate::log_updates::OnItsWay;
use crate::membership::{FaultTolerance, Membership};
use crate::peer_message::{Envelope, GrantResponse, PeerMessage};
use crate::ring_position::{OwnRank, Ranks};
use crate::snapshots::Snapshots;
use crate::Millis;
use brassport_config_store::consensus::{
    self, Command, CommittedEntry, DurableState, Record, Replica, ReplicatedState,
};
use brassport_quota::{Lender, RateLimit, UsageReport};
use brassport_transport::peer_sampling::{PartialView, PeerRecord};
use brassport_types::{DiskId, Incarnation, LogIndex, TenantId, Term};
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// A door that tells its changes to all whom it knows, up to so many; with more it tells some, who tell on.
pub(crate) const ALL: usize = 16;
/// Word of a leader holds for so long without a new one.
const LEADER_TOLD: Millis = 1_800;
/// A machine that was not asked for so long stood still.
const STILL: Millis = 700;

/// What a node is told at its start.
#[derive(Debug, Clone)]
pub struct Options {
    /// What the node tells of itself. Its disk is filled in once the store is open.
    pub node: PeerRecord,
    /// Addresses of the nodes to contact first.
    pub seeds: Vec<Ipv4Addr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// The losses that the voters must tolerate.
    pub fault_tolerance: FaultTolerance,
    /// Milliseconds between two heartbeats of a backend.
    pub heartbeat_interval_ms: Millis,
    /// Seed of the node's random choices.
    pub seed: u64,
}

/// Something that happens to a node.
#[derive(Debug)]
pub enum Event {
    /// Time passed. To be sent every 60 ms or so.
    Tick,
    /// A message came from another node.
    PeerMessage(Envelope),
    /// A backend or the operator calls. [`Action::Respond`] repeats the number.
    Call(u64, Call),
    /// The store is open: the disk, and what was found on it.
    StoreOpened(DiskId, DurableState),
    /// The record with this number is on disk (`true`), or could not be written.
    Persisted(u64, bool),
    /// The data plane's usage counts, with the number of the report.
    UsageReported(u32, Vec<UsageReport>),
    /// The settings name other seeds.
    SeedsChanged(Vec<Ipv4Addr>),
    /// The process is to shut down.
    Shutdown,
}

/// What a node asks of its host.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message to a node.
    Send(Ipv4Addr, PeerMessage),
    /// Write a record to disk; then report [`Event::Persisted`] with the number.
    Persist(u64, Record),
    /// Answer the call with this number.
    Respond(u64, Reply),
    /// The replicated state has advanced.
    StateAdvanced(Arc<ReplicatedState>),
    /// A backend is new, or has changed.
    BackendChanged(Backend),
    /// Nothing was heard of the backend with this id for longer than its lease.
    BackendExpired(String),
    /// The leader's answer to a usage report.
    QuotaGranted(GrantResponse),
}

/// The control state of one machine.
#[derive(Debug)]
pub struct ControlPlane {
    pub(crate) options: Options,
    pub(crate) now: Millis,
    pub(crate) born: Millis,
    pub(crate) replica: Replica,
    pub(crate) views: PartialView,
    pub(crate) table: Table,
    pub(crate) lender: Lender,
    pub(crate) lends: bool,
    pub(crate) limits: BTreeMap<TenantId, RateLimit>,
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
    pub(crate) indexes: BTreeMap<Ipv4Addr, LogIndex>,
    /// Entries to tell a second time: when, to whom.
    pub(crate) retell: Option<(Millis, Vec<Ipv4Addr>, Vec<CommittedEntry>)>,
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

impl ControlPlane {
    /// A machine that starts.
    pub fn new(options: Options, now: Millis) -> ControlPlane {
        let (ip, seed) = (options.node.ip, options.seed);
        ControlPlane {
            now,
            born: now,
            replica: Replica::new(ip, DiskId::NONE, None, now),
            views: PartialView::new(ip, seed),
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
            membership: Membership::of(&options.node),
            snapshots: Snapshots::default(),
            stood_still: None,
            is_isolated: false,
            doubt: None,
            on_their_way: BTreeMap::new(),
            actions: Vec::new(),
            options,
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
            Event::PeerMessage(Envelope { from, incarnation, message }) => {
                self.hear(from, incarnation, message)
            }
            Event::Call(number, call) => self.call(number, call),
            Event::StoreOpened(disk, found) => {
                self.options.node.disk = disk;
                let done = self.replica.attach_store(now, disk, found);
                self.carry_out(done);
            }
            Event::Persisted(number, synced) => {
                let done = self.replica.on_persisted(now, number, synced);
                self.carry_out(done);
            }
            Event::UsageReported(number, used) => match self.leader() {
                Some((term, ip)) if ip == self.options.node.ip => {
                    let loans = self.lend(ip, self.options.node.incarnation, &used);
                    self.actions.push(Action::QuotaGranted(GrantResponse {
                        term,
                        report: number,
                        grants: loans,
                    }));
                }
                Some((_, ip)) => self.send(ip, PeerMessage::UsageReport(number, used)),
                None => {}
            },
            Event::SeedsChanged(seeds) => self.options.seeds = seeds,
            Event::Shutdown => self.leave(),
        }
        self.watch_leadership();
        std::mem::take(&mut self.actions)
    }

    /// The state that the log led to, as far as it is known here.
    pub fn state(&self) -> &Arc<ReplicatedState> {
        self.replica.state()
    }

    /// The doors known here.
    pub fn views(&self) -> &PartialView {
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
        if to != self.options.node.ip {
            self.actions.push(Action::Send(to, message));
        }
    }

    /// The machines whose word counts: the voters, or those of the core that are known while there are none.
    pub(crate) fn core(&self) -> Vec<Ipv4Addr> {
        let voters = &self.replica.state().voters;
        if !voters.is_empty() {
            return voters.iter().map(|voter| voter.ip).collect();
        }
        let own = self.options.node.is_core.then_some(self.options.node.ip);
        self.views.peers().filter(|member| member.is_core).map(|member| member.ip).chain(own).collect()
    }

    fn tick(&mut self) {
        let done = self.replica.tick(self.now);
        self.carry_out(done);
        self.views.expire(self.now);
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
        let after = 2 * self.options.heartbeat_interval_ms + self.options.heartbeat_interval_ms * 7 / 10;
        let silent = self.table.silent(self.now, after);
        for backend in silent {
            self.actions.push(Action::BackendChanged(backend.clone()));
            self.spread(vec![backend], None);
        }
        let dropped = self.table.expire(self.now).into_iter().map(Action::BackendExpired);
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

    fn hear(&mut self, from: Ipv4Addr, incarnation: Incarnation, message: PeerMessage) {
        self.end_isolation(from);
        self.heard.insert(from, self.now);
        match message {
            PeerMessage::Gossip(gossip) => self.receive_gossip(gossip),
            PeerMessage::Consensus(disk, message) => {
                let done = self.replica.step(self.now, consensus::VoterId { ip: from, disk }, message);
                self.carry_out(done);
            }
            PeerMessage::FetchEntries(index) => self.send_entries(from, index),
            PeerMessage::Entries(entries) => self.receive_entries(from, entries),
            PeerMessage::SnapshotChunk(chunk) => self.receive_chunk(from, chunk),
            PeerMessage::FetchSnapshotChunk(id, offset) => self.continue_snapshot(from, id, offset),
            PeerMessage::TableDigests(theirs) => {
                let records = self.table.differing(self.now, &theirs);
                if !records.is_empty() {
                    self.send(from, PeerMessage::BackendRecords(records, None));
                }
            }
            PeerMessage::BackendRecords(records, number) => self.receive_backends(from, records, number),
            PeerMessage::RecordsConfirmed(number, index) => self.confirmed(number, from, index),
            PeerMessage::JoinRequest(disk, index) => self.join_asked_by(from, disk, index),
            PeerMessage::LeaveRequest(disk, index) => self.left_by(from, disk, index),
            PeerMessage::LeaveGranted => self.released(),
            PeerMessage::Bootstrap(slots) => {
                if self.options.first_start && self.options.node.disk.is_some() {
                    let done = self.replica.bootstrap(self.now, slots);
                    self.carry_out(done);
                }
            }
            PeerMessage::UsageReport(number, used) => {
                if let Some((term, ip)) = self.replica.leader(self.now) {
                    if ip == self.options.node.ip {
                        let loans = self.lend(from, incarnation, &used);
                        let response = GrantResponse { term, report: number, grants: loans };
                        self.send(from, PeerMessage::QuotaGrant(response));
                    }
                }
            }
            PeerMessage::RankRequest(zone) => self.rank_asked_by(from, zone),
            PeerMessage::RankResponse(term, rank) => self.rank_told(term, rank),
            PeerMessage::QuotaGrant(response) => self.actions.push(Action::QuotaGranted(response)),
        }
    }

    fn call(&mut self, number: u64, call: Call) {
        match call {
            Call::Heartbeat(record) => {
                let (id, emptying) = (record.id.clone(), record.state == BackendState::Draining);
                let news = self.table.hear(self.now, record, true);
                let Some(record) = self.table.told(self.now, &id) else { return };
                if news == MergeOutcome::Changed {
                    self.actions.push(Action::BackendChanged(record.clone()));
                    self.spread(vec![record.clone()], None);
                }
                if emptying {
                    self.confirm_by_core(number, record);
                } else {
                    self.take_beat(number, &record);
                }
            }
            Call::Deregister(id) => {
                let record = self.table.sign_off(self.now, &id);
                self.actions.push(Action::BackendChanged(record.clone()));
                self.spread(vec![record.clone()], None);
                self.confirm_by_core(number, record);
            }
            Call::Configure(request) => self.ask_leader(number, Command::Configure(request)),
            Call::ReadConfiguration => self.ask_leader(number, Command::Read),
            Call::Status => {
                let status = self.status().to_string().into_bytes();
                self.reply(number, Reply::Done(Arc::new(status)));
            }
        }
    }

    pub(crate) fn done(&mut self, number: u64) {
        self.actions.push(Action::Respond(number, Reply::Done(Arc::new(b"{}".to_vec()))));
    }

    pub(crate) fn reply(&mut self, number: u64, reply: Reply) {
        self.actions.push(Action::Respond(number, reply));
    }
}
