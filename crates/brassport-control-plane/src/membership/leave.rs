//! The graceful shutdown of a voter.

use super::REQUEST_INTERVAL_MS;
use crate::control_plane::ControlPlane;
use crate::peer_message::PeerMessage;
use brassport_config_store::consensus::mutants::{is_active, Mutant};
use brassport_config_store::consensus::VoterId;
use brassport_types::{DiskId, LogIndex};
use std::collections::BTreeSet;
use std::net::Ipv4Addr;

impl ControlPlane {
    /// Begins the shutdown of this node: transfers leadership, and asks to leave the set of voters.
    pub(crate) fn begin_shutdown(&mut self) {
        self.membership.own.is_shutting_down = true;
        self.continue_shutdown();
    }

    /// Whether this node may shut down: it can't be a voter, or the leader has granted its request to leave.
    pub fn may_shut_down(&self) -> bool {
        let node = &self.options.node;
        self.membership.own.is_leave_granted || node.disk.is_none() || !node.is_core
    }

    /// Repeats the leave request until it is granted.
    pub(crate) fn continue_shutdown(&mut self) {
        if !self.membership.own.is_shutting_down || self.may_shut_down() {
            return;
        }
        let now = self.clock.now();
        let actions = self.replica.leave(now);
        self.execute(actions);
        let sent_at = self.membership.own.sent_at;
        if sent_at > 0 && now < sent_at + REQUEST_INTERVAL_MS {
            return;
        }
        self.membership.own.sent_at = now;
        // A leader that shuts down does not grant its own request: it asks its successor.
        if let Some((_, leader)) = self.leader().filter(|(_, ip)| *ip != self.options.node.ip) {
            let (disk, index) = (self.options.node.disk, self.replica.state().index);
            self.outbox.send(leader, PeerMessage::LeaveRequest(disk, index));
        }
    }

    /// Handles the leave request of a voter that has applied the log up to `index`. The leader removes the voter if it
    /// is dispensable; otherwise it grants the request once a majority of the other voters has applied the log up to
    /// the same index.
    pub(crate) fn on_leave_request(&mut self, from: Ipv4Addr, disk: DiskId, index: LogIndex) {
        if !self.replica.is_leader() {
            return;
        }
        let leaver = VoterId { ip: from, disk };
        self.membership.record_leave(self.clock.now(), leaver);
        if is_active(Mutant::ReleasedUnasked) {
            self.outbox.send(from, PeerMessage::LeaveGranted);
        }
        let voters = &self.replica.state().voters;
        if voters.contains(&leaver) && self.is_dispensable(leaver) {
            return self.reconcile_voters();
        }
        let others: BTreeSet<VoterId> = voters.iter().copied().filter(|voter| *voter != leaver).collect();
        if self.replica.is_known_to_majority_of(&others, index) {
            self.outbox.send(from, PeerMessage::LeaveGranted);
        }
    }

    /// Handles the leader's grant. Ignored unless this node is shutting down.
    pub(crate) fn on_leave_granted(&mut self) {
        self.membership.own.is_leave_granted = self.membership.own.is_shutting_down;
    }
}
