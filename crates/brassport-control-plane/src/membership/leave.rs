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
    /// This node is to shut down: it transfers leadership, and gives its vote back where the others can do without it.
    pub(crate) fn begin_leaving(&mut self) {
        self.membership.own.is_leaving = true;
        self.continue_leaving();
    }

    /// Whether this node, which is to shut down, may: it has no vote, or all that it knows is known to enough others.
    pub fn may_shut_down(&self) -> bool {
        let node = &self.options.node;
        self.membership.own.is_leave_granted || node.disk.is_none() || !node.is_core
    }

    /// Repeats the request to leave until it is granted.
    pub(crate) fn continue_leaving(&mut self) {
        if !self.membership.own.is_leaving || self.may_shut_down() {
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
        // A leader that leaves is not its own judge: it asks the next one.
        if let Some((_, leader)) = self.leader().filter(|(_, ip)| *ip != self.options.node.ip) {
            let (disk, index) = (self.options.node.disk, self.replica.state().index);
            self.outbox.send(leader, PeerMessage::LeaveRequest(disk, index));
        }
    }

    /// A voter is shutting down, and says how far it knows the log. The leader removes it, or lets it go as it is once
    /// enough of the others know as much.
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
        if voters.contains(&leaver) && self.can_do_without(leaver) {
            return self.reconcile_voters();
        }
        let others: BTreeSet<VoterId> = voters.iter().copied().filter(|voter| *voter != leaver).collect();
        if self.replica.is_known_to_majority_of(&others, index) {
            self.outbox.send(from, PeerMessage::LeaveGranted);
        }
    }

    /// The leader grants the request to leave.
    pub(crate) fn on_leave_granted(&mut self) {
        self.membership.own.is_leave_granted = self.membership.own.is_leaving;
    }
}
