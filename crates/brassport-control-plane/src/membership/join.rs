//! Requests to become a voter.

use super::REQUEST_INTERVAL_MS;
use crate::control_plane::ControlPlane;
use crate::gossip::Exchange;
use crate::peer_message::PeerMessage;
use brassport_config_store::consensus::VoterId;
use brassport_types::{DiskId, LogIndex};
use std::net::Ipv4Addr;

impl ControlPlane {
    /// Sends a join request to the leader if this is a core node without a vote that is not shutting down. While it
    /// knows no leader, gossips with the other core nodes in turn to discover the leader.
    pub(crate) fn request_vote(&mut self) {
        let node = &self.options.node;
        let (disk, now) = (node.disk, self.clock.now());
        let leader = self.leader().map(|(_, ip)| ip);
        let is_eligible = node.is_core && disk.is_some() && !self.membership.own.is_shutting_down;
        let has_vote = self.replica.is_voter() && leader.is_some();
        if !is_eligible || has_vote || now < self.membership.own.sent_at + REQUEST_INTERVAL_MS {
            return;
        }
        self.membership.own.sent_at = now;
        self.membership.own.turn += 1;
        if let Some(ip) = leader {
            let index = self.replica.state().index;
            return self.outbox.send(ip, PeerMessage::JoinRequest(disk, index));
        }
        let others = self.core_peers();
        let turn = self.membership.own.turn % others.len().max(1);
        if let Some(ip) = others.get(turn).copied() {
            self.gossip_to(ip, Exchange::Begin);
        }
    }

    /// Handles a join request: the leader records it and sends the entries that the node lacks; another node replies
    /// with gossip that names the leader.
    pub(crate) fn on_join_request(&mut self, from: Ipv4Addr, disk: DiskId, index: LogIndex) {
        if !self.replica.is_leader() {
            return self.gossip_to(from, Exchange::Notify);
        }
        self.membership.record_join(self.clock.now(), VoterId { ip: from, disk }, index);
        self.send_entries(from, index);
        self.reconcile_voters();
    }
}
