//! How committed entries reach every node: the leader disseminates them, who hears of them forwards them, and who lacks
//! some fetches them from a peer that knows more.

mod dissemination;
mod fetch;

use crate::contacts::Contacts;
use crate::Millis;
use brassport_config_store::consensus::CommittedEntry;
use brassport_types::LogIndex;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Between two requests for entries to one peer, in ms: about a round trip with the peer's answer.
const FETCH_INTERVAL_MS: Millis = 120;
/// What was sent counts as lost after so many ms, and later by as many as its bytes take on a slow link.
const IN_FLIGHT_MS: Millis = 100;
/// The slowest link that is planned for (2 Mbit/s), in bytes a millisecond.
const SLOW_LINK_BYTES_PER_MS: Millis = 250;

/// Entries, or a first chunk, that went to a peer which asked for all behind an index.
#[derive(Debug)]
struct InFlight {
    index: LogIndex,
    /// From here on they count as lost.
    deadline: Millis,
}

/// Entries to be sent a second time.
#[derive(Debug)]
struct Retransmission {
    due: Millis,
    to: Vec<Ipv4Addr>,
    entries: Vec<CommittedEntry>,
}

/// What was fetched and sent of the log.
#[derive(Debug, Default)]
pub(crate) struct LogSync {
    fetched_at: BTreeMap<Ipv4Addr, Millis>,
    in_flight: BTreeMap<Ipv4Addr, InFlight>,
    retransmission: Option<Retransmission>,
}

impl LogSync {
    /// Forgets what was sent to peers that are not heard any more.
    pub(crate) fn expire(&mut self, contacts: &Contacts) {
        self.in_flight.retain(|ip, _| contacts.contains(*ip));
    }

    /// The next fetch from a peer may go out at once.
    pub(crate) fn allow_fetch(&mut self, from: Ipv4Addr) {
        self.fetched_at.remove(&from);
    }

    /// Whether a fetch from a peer may go out now; if so it is noted.
    fn begin_fetch(&mut self, from: Ipv4Addr, now: Millis) -> bool {
        if self.fetched_at.get(&from).is_some_and(|at| now < at + FETCH_INTERVAL_MS) {
            return false;
        }
        self.fetched_at.insert(from, now);
        true
    }

    fn is_in_flight(&self, to: Ipv4Addr, index: LogIndex, now: Millis) -> bool {
        self.in_flight.get(&to).is_some_and(|sent| sent.index == index && now < sent.deadline)
    }

    fn record_sent(&mut self, to: Ipv4Addr, index: LogIndex, bytes: usize, now: Millis) {
        let deadline = now + IN_FLIGHT_MS + bytes as Millis / SLOW_LINK_BYTES_PER_MS;
        self.in_flight.insert(to, InFlight { index, deadline });
    }
}

/// The bytes of entries together.
fn size(entries: &[CommittedEntry]) -> usize {
    entries.iter().map(|committed| committed.entry.estimated_size()).sum()
}
