//! The leader as gossip names it, for a node that does not vote.

use crate::peer_message::LeaderHint;
use crate::Millis;
use brassport_types::Term;
use std::net::Ipv4Addr;

/// A hint holds for so many milliseconds after the leader was heard: some four gossip exchanges.
const HINT_LEASE_MS: Millis = 1_800;

#[derive(Debug, Clone, Copy)]
struct Hint {
    term: Term,
    ip: Ipv4Addr,
    heard_at: Millis,
}

/// The newest hint about the leader.
#[derive(Debug, Default)]
pub(crate) struct KnownLeader {
    hint: Option<Hint>,
}

impl KnownLeader {
    /// Takes a hint, if it is of a higher term or of a later time than the one known.
    pub(crate) fn merge(&mut self, hint: LeaderHint, now: Millis) {
        let LeaderHint { term, ip, age_ms } = hint;
        let heard_at = now.saturating_sub(Millis::from(age_ms));
        let is_newer = self
            .hint
            .is_none_or(|known| term > known.term || (term == known.term && heard_at > known.heard_at));
        if is_newer {
            self.hint = Some(Hint { term, ip, heard_at });
        }
    }

    /// The leader, while the hint holds.
    pub(crate) fn current(&self, now: Millis) -> Option<(Term, Ipv4Addr)> {
        self.hint.filter(|hint| now < hint.heard_at + HINT_LEASE_MS).map(|hint| (hint.term, hint.ip))
    }

    /// When this leader was heard, if the hint is of it.
    pub(crate) fn heard_at(&self, leader: Ipv4Addr) -> Option<Millis> {
        self.hint.filter(|hint| hint.ip == leader).map(|hint| hint.heard_at)
    }
}
