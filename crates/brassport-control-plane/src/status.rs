//! A node's view of the cluster, for operators: the voters, the leader, the applied version, and the nodes that lag
//! behind. It contains no API keys.

use crate::backends::BackendState;
use crate::control_plane::ControlPlane;
use serde_json::{json, Value};

impl ControlPlane {
    /// The status as JSON. The log index of another node is the one that it reported last; a node from which no message
    /// was received for 12 s is omitted.
    pub fn status(&self) -> Value {
        let (state, node) = (self.replica.state(), &self.options.node);
        let count = |state| self.backends.table.count(state);
        json!({
            "ip": node.ip,
            "zone": node.zone,
            "version": state.document.version().to_string(),
            "index": state.index,
            "votes": self.replica.is_voter(),
            "leader": self.leader().map(|(term, ip)| json!({ "ip": ip, "term": term.number })),
            "voters": self.voter_status(),
            "parts": state.quota_shares,
            "snapshot": self.snapshots.progress(),
            "doors": self.node_status(),
            "backends": {
                "ready": count(BackendState::Ready),
                "silent": count(BackendState::Unresponsive),
                "emptying": count(BackendState::Draining),
            },
        })
    }

    fn voter_status(&self) -> Vec<Value> {
        let voters = self.replica.state().voters.iter();
        voters.map(|voter| json!({ "ip": voter.ip, "disk": voter.disk.to_string() })).collect()
    }

    fn node_status(&self) -> Vec<Value> {
        let (now, own_index) = (self.clock.now(), self.replica.state().index);
        let node = |(ip, last_seen_at)| {
            let index = self.contacts.index(ip);
            json!({
                "ip": ip,
                "zone": self.view.peer(ip).map(|peer| peer.zone.as_str()),
                "index": index,
                "behind": index.map(|index| own_index.saturating_sub(index)),
                "heardMsAgo": now.saturating_sub(last_seen_at),
            })
        };
        self.contacts.iter().map(node).collect()
    }
}
