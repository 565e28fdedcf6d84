//! Owns a node's control state: processes events one at a time and returns the actions for the host.

use crate::backends::Backends;
use crate::call::{Call, Reply};
use crate::clock::{Clock, EventGap};
use crate::confirmations::Confirmations;
use crate::consensus_host::OwnProposals;
use crate::contacts::Contacts;
use crate::event::{Action, Event, Options};
use crate::gossip::GossipSchedule;
use crate::isolation::Isolation;
use crate::known_leader::KnownLeader;
use crate::log_sync::LogSync;
use crate::membership::Membership;
use crate::outbox::Outbox;
use crate::peer_message::{Envelope, PeerMessage};
use crate::quota::Quota;
use crate::ring_rank::RingRank;
use crate::snapshots::Snapshots;
use crate::Millis;
use brassport_config_store::consensus::{self, Command, DurableState, Replica, ReplicatedState, VoterId};
use brassport_transport::peer_sampling::PartialView;
use brassport_types::{DiskId, Term};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// With at most this many known peers, a node sends changes to all of them. With more, it sends them to a sample of the
/// peers, which forward them.
pub(crate) const FULL_BROADCAST_PEERS: usize = 16;

/// The control state of one node.
#[derive(Debug)]
pub struct ControlPlane {
    pub(crate) options: Options,
    pub(crate) clock: Clock,
    pub(crate) outbox: Outbox,
    pub(crate) replica: Replica,
    pub(crate) own_proposals: OwnProposals,
    pub(crate) view: PartialView,
    pub(crate) contacts: Contacts,
    pub(crate) known_leader: KnownLeader,
    pub(crate) gossip: GossipSchedule,
    pub(crate) log_sync: LogSync,
    pub(crate) snapshots: Snapshots,
    pub(crate) membership: Membership,
    pub(crate) backends: Backends,
    pub(crate) confirmations: Confirmations,
    pub(crate) isolation: Isolation,
    pub(crate) quota: Quota,
    pub(crate) ring_rank: RingRank,
}

impl ControlPlane {
    /// Creates the state of a starting node, without a store until [`Event::StoreOpened`].
    pub fn new(options: Options, now: Millis) -> ControlPlane {
        let (ip, seed) = (options.node.ip, options.seed);
        ControlPlane {
            clock: Clock::new(now),
            outbox: Outbox::new(ip),
            replica: Replica::new(ip, DiskId::NONE, None, now),
            own_proposals: OwnProposals::default(),
            view: PartialView::new(ip, seed),
            contacts: Contacts::default(),
            known_leader: KnownLeader::default(),
            gossip: GossipSchedule::new(seed),
            log_sync: LogSync::default(),
            snapshots: Snapshots::default(),
            membership: Membership::new(&options.node),
            backends: Backends::default(),
            confirmations: Confirmations::new(seed),
            isolation: Isolation::default(),
            quota: Quota::default(),
            ring_rank: RingRank::default(),
            options,
        }
    }

    /// Processes one event. The host must execute the returned actions in order.
    ///
    /// `now` is in milliseconds on the host's monotonic clock. A time earlier than that of the previous event is
    /// treated as equal to it.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        if self.clock.advance(now) == EventGap::Stall {
            self.backends.table.renew_all(now);
        }
        self.detect_isolation();
        match event {
            Event::Tick => self.tick(),
            Event::PeerMessage(envelope) => self.on_envelope(envelope),
            Event::Call(number, call) => self.on_call(number, call),
            Event::StoreOpened(disk, found) => self.on_store_opened(disk, found),
            Event::Persisted(number, is_synced) => self.on_persisted(number, is_synced),
            Event::UsageReported(number, usage) => self.on_own_usage(number, usage),
            Event::SeedsChanged(seeds) => self.options.seeds = seeds,
            Event::Shutdown => self.begin_shutdown(),
        }
        self.push_changes_when_due();
        self.follow_leadership();
        self.outbox.drain()
    }

    /// The replicated state after the last entry that this node has applied.
    pub fn state(&self) -> &Arc<ReplicatedState> {
        self.replica.state()
    }

    /// The leader and its term, from this node's replica or from gossip, whichever has the higher term.
    pub fn leader(&self) -> Option<(Term, Ipv4Addr)> {
        let now = self.clock.now();
        let known = self.replica.leader(now).into_iter().chain(self.known_leader.current(now));
        known.max_by_key(|(term, _)| *term)
    }

    /// The voters; while no voters are known, all known core nodes, this one included if it belongs to the core.
    pub(crate) fn core(&self) -> Vec<Ipv4Addr> {
        let voters = &self.replica.state().voters;
        if !voters.is_empty() {
            return voters.iter().map(|voter| voter.ip).collect();
        }
        let own = self.options.node.is_core.then_some(self.options.node.ip);
        self.view.peers().filter(|peer| peer.is_core).map(|peer| peer.ip).chain(own).collect()
    }

    /// The nodes of [`core`](Self::core) except this one.
    pub(crate) fn core_peers(&self) -> Vec<Ipv4Addr> {
        let mut core = self.core();
        core.retain(|ip| *ip != self.options.node.ip);
        core
    }

    /// Runs the periodic work. The order of the steps affects the timing of the protocol, which the simulation
    /// scenarios measure.
    fn tick(&mut self) {
        let now = self.clock.now();
        let actions = self.replica.tick(now);
        self.execute(actions);
        self.view.expire(now);
        self.contacts.expire(now);
        self.log_sync.expire(&self.contacts);
        self.gossip_when_due();
        self.expire_backends();
        self.push_changes();
        self.backends.repair.refill();
        self.retransmit_entries();
        self.maintain_snapshots();
        self.drop_quarantined();
        self.review_confirmations();
        self.bootstrap_log();
        self.request_vote();
        self.reconcile_voters();
        self.continue_shutdown();
        self.request_rank();
    }

    fn on_store_opened(&mut self, disk: DiskId, found: DurableState) {
        self.options.node.disk = disk;
        let actions = self.replica.attach_store(self.clock.now(), disk, found);
        self.execute(actions);
    }

    fn on_persisted(&mut self, number: u64, is_synced: bool) {
        let actions = self.replica.on_persisted(self.clock.now(), number, is_synced);
        self.execute(actions);
    }

    fn on_envelope(&mut self, envelope: Envelope) {
        let Envelope { from, incarnation, message } = envelope;
        self.end_isolation(from);
        self.contacts.record(from, self.clock.now());
        match message {
            PeerMessage::Gossip(gossip) => self.on_gossip(gossip),
            PeerMessage::Consensus(disk, message) => self.on_consensus(VoterId { ip: from, disk }, message),
            PeerMessage::FetchEntries(index) => self.send_entries(from, index),
            PeerMessage::Entries(entries) => self.on_entries(from, entries),
            PeerMessage::SnapshotChunk(chunk) => self.on_chunk(from, &chunk),
            PeerMessage::FetchSnapshotChunk(id, offset) => self.on_fetch_chunk(from, id, offset),
            PeerMessage::TableDigests(digests) => self.on_table_digests(from, &digests),
            PeerMessage::BackendRecords(records, number) => self.on_records(from, records, number),
            PeerMessage::Departures(departures) => self.on_departures(from, departures, None),
            PeerMessage::ConfirmDeparture(number, departure) => {
                self.on_departures(from, vec![departure], Some(number));
            }
            PeerMessage::RecordHashes(hashes) => self.on_record_hashes(from, &hashes),
            PeerMessage::LackingRecords(lacking) => self.on_lacking_records(lacking),
            PeerMessage::RecordsConfirmed(number, index) => self.on_records_confirmed(number, from, index),
            PeerMessage::Bootstrap(quota_shares) => self.on_bootstrap(quota_shares),
            PeerMessage::JoinRequest(disk, index) => self.on_join_request(from, disk, index),
            PeerMessage::LeaveRequest(disk, index) => self.on_leave_request(from, disk, index),
            PeerMessage::LeaveGranted => self.on_leave_granted(),
            PeerMessage::UsageReport(report, usage) => self.on_peer_usage(from, incarnation, report, &usage),
            PeerMessage::QuotaGrant(response) => self.outbox.push(Action::QuotaGranted(response)),
            PeerMessage::RankRequest(zone) => self.on_rank_request(from, zone),
            PeerMessage::RankResponse(term, rank) => self.ring_rank.assign(term, rank),
        }
    }

    fn on_consensus(&mut self, from: VoterId, message: consensus::Message) {
        let actions = self.replica.step(self.clock.now(), from, message);
        self.execute(actions);
    }

    fn on_call(&mut self, number: u64, call: Call) {
        match call {
            Call::Heartbeat(heartbeat) => self.on_heartbeat(number, heartbeat),
            Call::Deregister(id) => self.on_deregister(number, &id),
            Call::Configure(request) => self.submit(number, Command::Configure(request)),
            Call::ReadConfiguration => self.submit(number, Command::Read),
            Call::Status => {
                let status = self.status().to_string().into_bytes();
                self.outbox.respond(number, Reply::Done(Arc::new(status)));
            }
        }
    }
}
