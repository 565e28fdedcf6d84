//! The leader according to gossip, for nodes that do not vote.

use crate::peer_message::LeaderHint;
use crate::Millis;
use brassport_types::Term;
use std::net::Ipv4Addr;

/// How long a hint is valid after the leader was last known to be alive, in ms: about four gossip exchanges.
const HINT_LEASE_MS: Millis = 1_800;

#[derive(Debug, Clone, Copy)]
struct Hint {
    term: Term,
    ip: Ipv4Addr,
    last_seen_at: Millis,
}

/// The latest hint about the leader.
#[derive(Debug, Default)]
pub(crate) struct KnownLeader {
    hint: Option<Hint>,
}

impl KnownLeader {
    /// Accepts a hint if it has a higher term than the known one, or the same term and a later time.
    pub(crate) fn merge(&mut self, hint: LeaderHint, now: Millis) {
        let LeaderHint { term, ip, age_ms } = hint;
        let last_seen_at = now.saturating_sub(Millis::from(age_ms));
        let is_newer = self.hint.is_none_or(|known| {
            term > known.term || (term == known.term && last_seen_at > known.last_seen_at)
        });
        if is_newer {
            self.hint = Some(Hint { term, ip, last_seen_at });
        }
    }

    /// The term and address of the leader, while the hint is valid.
    pub(crate) fn current(&self, now: Millis) -> Option<(Term, Ipv4Addr)> {
        self.hint.filter(|hint| now < hint.last_seen_at + HINT_LEASE_MS).map(|hint| (hint.term, hint.ip))
    }

    /// When this leader was last known to be alive; `None` if the hint names another node.
    pub(crate) fn last_seen_at(&self, leader: Ipv4Addr) -> Option<Millis> {
        self.hint.filter(|hint| hint.ip == leader).map(|hint| hint.last_seen_at)
    }
}
