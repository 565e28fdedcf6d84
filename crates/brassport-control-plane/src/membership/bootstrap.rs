//! Bootstraps the log at the first start of a cluster.

use crate::control_plane::ControlPlane;
use crate::peer_message::PeerMessage;
use crate::Millis;
use brassport_types::LogIndex;
use std::net::Ipv4Addr;

/// How long the first seed waits for messages of core nodes before it chooses the node that bootstraps the log.
const CORE_DISCOVERY_MS: Millis = 150;

impl ControlPlane {
    /// At the first start of the cluster, the first seed chooses the node that bootstraps the log: itself, or the core
    /// node with the lowest address among those it knows. No other node does so, so that only one log is created.
    pub(crate) fn bootstrap_log(&mut self) {
        let is_first = self.options.first_start && self.options.seeds.first() == Some(&self.options.node.ip);
        let is_begun = self.replica.state().index > LogIndex(0);
        if !is_first || is_begun || self.clock.now() < CORE_DISCOVERY_MS {
            return;
        }
        if self.membership.bootstrap_node.is_none() {
            self.membership.bootstrap_node = self.choose_bootstrap_node();
        }
        let quota_shares = self.view.len() as u32 + 1;
        match self.membership.bootstrap_node {
            Some(ip) if ip == self.options.node.ip => self.begin_log(quota_shares),
            Some(ip) => self.outbox.send(ip, PeerMessage::Bootstrap(quota_shares)),
            None => {}
        }
    }

    fn choose_bootstrap_node(&self) -> Option<Ipv4Addr> {
        let node = &self.options.node;
        if node.is_core {
            // A core node bootstraps the log itself, and waits for its store to open.
            return node.disk.is_some().then_some(node.ip);
        }
        let of_core = self.view.peers().filter(|peer| peer.is_core && peer.disk.is_some());
        of_core.map(|peer| peer.ip).min()
    }

    /// Bootstraps the log after the first seed has chosen this node.
    pub(crate) fn on_bootstrap(&mut self, quota_shares: u32) {
        if self.options.first_start && self.options.node.disk.is_some() {
            self.begin_log(quota_shares);
        }
    }

    fn begin_log(&mut self, quota_shares: u32) {
        let actions = self.replica.bootstrap(self.clock.now(), quota_shares);
        self.execute(actions);
    }
}
