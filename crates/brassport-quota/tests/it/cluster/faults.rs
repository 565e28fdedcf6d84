//! Fault injection for the simulated cluster.

use super::{Cluster, LeaderTerm, Node};
use brassport_quota::{Incarnation, NodeQuotas};

/// Longest time after its last contact with a majority for which a coordinator continues to grant.
const MAX_GRANTING_WITHOUT_MAJORITY_MS: u64 = 600;
/// Shortest time after that contact in which another coordinator takes over.
const MIN_TAKEOVER_MS: u64 = 360;

impl Cluster {
    pub(super) fn inject_fault(&mut self) {
        let node = self.draw(self.nodes.len() as u64) as usize;
        match self.draw(7) {
            0 => self.nodes[node].restart(),
            1 => self.nodes[node].is_partitioned = true,
            2 => self.nodes.iter_mut().for_each(|node| node.is_partitioned = false),
            // The deposed coordinator continues to grant until its lease has expired, while the new one
            // starts at the earliest possible time.
            3 | 4 => self.change_leader(MAX_GRANTING_WITHOUT_MAJORITY_MS - MIN_TAKEOVER_MS),
            6 => {
                // All nodes and the coordinator at the same time.
                self.nodes.iter_mut().for_each(Node::restart);
                self.change_leader(0);
            }
            _ => {}
        }
    }

    fn change_leader(&mut self, overlap_ms: u64) {
        let now = self.now;
        let deposed = self.leaders.last_mut().expect("a cluster starts with a leader");
        deposed.granting_until = now + overlap_ms;
        let number = deposed.number + 1;
        self.leaders.push(LeaderTerm::start(now, number));
    }
}

impl Node {
    /// Starts another incarnation of the node, which loses its granted requests and gets a new base share.
    fn restart(&mut self) {
        self.quotas = NodeQuotas::default();
        self.incarnation = Incarnation(self.incarnation.0 + 1_000);
    }
}
