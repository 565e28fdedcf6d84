//! The faults of the simulated cluster.

use super::{Cluster, LeaderTerm, Node};
use brassport_quota::{Incarnation, NodeQuotas};

/// A coordinator that no majority answers lends on for so long at the most, and no other begins sooner.
const DEPOSED_GRANTS_MS: u64 = 600;
const SOONEST_TAKEOVER_MS: u64 = 360;

impl Cluster {
    pub(super) fn inject_fault(&mut self) {
        let node = self.draw(self.nodes.len() as u64) as usize;
        match self.draw(7) {
            0 => self.nodes[node].restart(),
            1 => self.nodes[node].is_partitioned = true,
            2 => self.nodes.iter_mut().for_each(|node| node.is_partitioned = false),
            // The deposed coordinator goes on until it is sure of its lease no more; the new one begins no sooner than it may.
            3 | 4 => self.change_leader(DEPOSED_GRANTS_MS - SOONEST_TAKEOVER_MS),
            6 => {
                // All at one moment, the coordinator too.
                self.nodes.iter_mut().for_each(Node::restart);
                self.change_leader(0);
            }
            _ => {}
        }
    }

    fn change_leader(&mut self, deposed_grants_ms: u64) {
        let now = self.now;
        let deposed = self.leaders.last_mut().expect("a cluster begins with a leader");
        deposed.grants_until = now + deposed_grants_ms;
        let number = deposed.number + 1;
        self.leaders.push(LeaderTerm::begin(now, number));
    }
}

impl Node {
    /// Another incarnation: what the node was granted is lost, and it has its base again.
    fn restart(&mut self) {
        self.borrower = NodeQuotas::default();
        self.incarnation = Incarnation(self.incarnation.0 + 1_000);
    }
}
