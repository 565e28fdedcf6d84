//! Distributes committed entries to all nodes: the leader sends them, receivers forward them, and a node that lacks
//! entries fetches them from a peer with a higher index.

mod dissemination;
mod fetch;

use crate::contacts::Contacts;
use crate::Millis;
use brassport_config_store::consensus::CommittedEntry;
use brassport_types::LogIndex;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Interval between two requests for entries to the same peer: about one round trip including the response.
const FETCH_INTERVAL_MS: Millis = 120;
/// Sent entries are considered lost after this time plus the time that their bytes take on a slow link.
const IN_FLIGHT_MS: Millis = 100;
/// Bandwidth of the slowest supported link (2 Mbit/s), in bytes per millisecond.
const SLOW_LINK_BYTES_PER_MS: Millis = 250;

/// Entries, or the first chunk of a snapshot, sent to a peer that requested the entries after `index`.
#[derive(Debug)]
struct InFlight {
    index: LogIndex,
    /// When they are considered lost.
    deadline: Millis,
}

/// Entries to be sent to some peers a second time.
#[derive(Debug)]
struct Retransmission {
    due: Millis,
    to: Vec<Ipv4Addr>,
    entries: Vec<CommittedEntry>,
}

/// The fetches and transfers of log entries, by peer.
#[derive(Debug, Default)]
pub(crate) struct LogSync {
    fetched_at: BTreeMap<Ipv4Addr, Millis>,
    in_flight: BTreeMap<Ipv4Addr, InFlight>,
    retransmission: Option<Retransmission>,
}

impl LogSync {
    /// Forgets the transfers to peers that are no longer among the contacts.
    pub(crate) fn expire(&mut self, contacts: &Contacts) {
        self.in_flight.retain(|ip, _| contacts.contains(*ip));
    }

    /// Allows the next fetch from a peer at once.
    pub(crate) fn allow_fetch(&mut self, from: Ipv4Addr) {
        self.fetched_at.remove(&from);
    }

    /// Returns whether a fetch from a peer is allowed now; if so, records it.
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

/// The total size of entries, in bytes.
fn size(entries: &[CommittedEntry]) -> usize {
    entries.iter().map(|committed| committed.entry.estimated_size()).sum()
}
