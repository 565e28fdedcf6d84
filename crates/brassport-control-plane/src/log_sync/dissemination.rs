//! Newly committed entries, from node to node: every node has each soon, and no link carries it often.

use super::{size, Retransmission};
use crate::control_plane::{ControlPlane, FULL_BROADCAST_PEERS};
use crate::gossip::Exchange;
use crate::peer_message::PeerMessage;
use crate::Millis;
use brassport_config_store::consensus::CommittedEntry;
use std::net::Ipv4Addr;

/// Entries up to so many bytes are sent at once; of longer ones it is said that they are there, and who lacks them fetches
/// them.
const MAX_PUSHED_BYTES: usize = 8 * 1024;
/// In a large cluster the leader sends short entries to so many peers, who forward them.
const LEADER_FANOUT: usize = 8;
/// All others in a large cluster send to so many. Of long entries the leader too: one behind the other they would fill its
/// link while those who have them are idle.
const FORWARD_FANOUT: usize = 3;
/// Entries are sent a second time so many ms later. Guards against a node that misses the first, and then an exchange.
const RETRANSMIT_AFTER_MS: Millis = 120;

impl ControlPlane {
    /// Entries were committed: the leader sends them to those who have no vote, and who hears of them forwards them.
    pub(crate) fn disseminate_entries(&mut self, entries: Vec<CommittedEntry>) {
        let is_short = !entries.is_empty() && size(&entries) <= MAX_PUSHED_BYTES;
        let Some(fanout) = self.entry_fanout(is_short) else { return };
        let voters: Vec<Ipv4Addr> = self.replica.state().voters.iter().map(|voter| voter.ip).collect();
        let to = self.view.sample(fanout, |peer| !voters.contains(&peer.ip));
        let entries = if is_short { entries } else { Vec::new() };
        self.push_entries(&to, &entries);
        let to = match (self.replica.is_leader(), self.is_small_cluster()) {
            (true, true) => to,
            // Others than those who were sent to first: some peers nobody drew.
            (true, false) => self.view.sample(fanout, |_| true),
            (false, _) => self.view.sample(1, |_| true),
        };
        let due = self.clock.now() + RETRANSMIT_AFTER_MS;
        self.log_sync.retransmission = Some(Retransmission { due, to, entries });
    }

    /// To how many peers entries go; `None`: this node sends none on, as the leader reaches all.
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

    /// Sends entries; without any, gossip says how far the log is known here.
    fn push_entries(&mut self, to: &[Ipv4Addr], entries: &[CommittedEntry]) {
        for ip in to {
            if entries.is_empty() {
                self.gossip_to(*ip, Exchange::Notify);
            } else {
                self.outbox.send(*ip, PeerMessage::Entries(entries.to_vec()));
            }
        }
    }

    /// Sends the latest entries a second time, once that is due.
    pub(crate) fn retransmit_entries(&mut self) {
        let now = self.clock.now();
        if let Some(again) = self.log_sync.retransmission.take_if(|again| now >= again.due) {
            self.push_entries(&again.to, &again.entries);
        }
    }
}
