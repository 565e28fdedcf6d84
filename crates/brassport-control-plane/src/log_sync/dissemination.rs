//! Sends newly committed entries from node to node, so that every node has them soon and each link carries them only a
//! few times.

use super::{size, Retransmission};
use crate::control_plane::{ControlPlane, FULL_BROADCAST_PEERS};
use crate::gossip::Exchange;
use crate::peer_message::PeerMessage;
use crate::Millis;
use brassport_config_store::consensus::CommittedEntry;
use std::net::Ipv4Addr;

/// Entries of up to this many bytes in total are pushed. Longer ones are only announced by gossip, and nodes that lack
/// them fetch them.
const MAX_PUSHED_BYTES: usize = 8 * 1024;
/// In a large cluster, the leader pushes short entries to this many peers, which forward them.
const LEADER_FANOUT: usize = 8;
/// In a large cluster, the other nodes send entries to this many peers, and so does the leader with long entries:
/// sending them to more peers would saturate its link while the nodes that already have them are idle.
const FORWARD_FANOUT: usize = 3;
/// Delay before entries are sent a second time, for nodes that missed the first message and then a gossip exchange.
const RETRANSMIT_AFTER_MS: Millis = 120;

impl ControlPlane {
    /// Sends newly committed entries to peers that do not vote. In a small cluster only the leader sends them; in a
    /// large one the receivers forward them.
    pub(crate) fn disseminate_entries(&mut self, entries: Vec<CommittedEntry>) {
        let is_short = !entries.is_empty() && size(&entries) <= MAX_PUSHED_BYTES;
        let Some(fanout) = self.entry_fanout(is_short) else { return };
        let voters: Vec<Ipv4Addr> = self.replica.state().voters.iter().map(|voter| voter.ip).collect();
        let to = self.view.sample(fanout, |peer| !voters.contains(&peer.ip));
        let entries = if is_short { entries } else { Vec::new() };
        self.push_entries(&to, &entries);
        let to = match (self.replica.is_leader(), self.is_small_cluster()) {
            (true, true) => to,
            // A second sample reaches peers that were not in the first one.
            (true, false) => self.view.sample(fanout, |_| true),
            (false, _) => self.view.sample(1, |_| true),
        };
        let due = self.clock.now() + RETRANSMIT_AFTER_MS;
        self.log_sync.retransmission = Some(Retransmission { due, to, entries });
    }

    /// The number of peers to send entries to; `None` if this node sends none because the leader reaches all nodes.
    fn entry_fanout(&self, is_short: bool) -> Option<usize> {
        match (self.replica.is_leader(), self.is_small_cluster()) {
            (true, true) => Some(FULL_BROADCAST_PEERS),
            (true, false) if is_short => Some(LEADER_FANOUT),
            (false, true) => None,
            (_, false) => Some(FORWARD_FANOUT),
        }
    }

    fn is_small_cluster(&self) -> bool {
        self.view.len() <= FULL_BROADCAST_PEERS
    }

    /// Sends entries; if there are none, announces this node's log index by gossip.
    fn push_entries(&mut self, to: &[Ipv4Addr], entries: &[CommittedEntry]) {
        for ip in to {
            if entries.is_empty() {
                self.gossip_to(*ip, Exchange::Notify);
            } else {
                self.outbox.send(*ip, PeerMessage::Entries(entries.to_vec()));
            }
        }
    }

    /// Sends the latest entries a second time when the retransmission is due.
    pub(crate) fn retransmit_entries(&mut self) {
        let now = self.clock.now();
        if let Some(again) = self.log_sync.retransmission.take_if(|again| now >= again.due) {
            self.push_entries(&again.to, &again.entries);
        }
    }
}
