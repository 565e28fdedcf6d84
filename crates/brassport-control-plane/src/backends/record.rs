//! The record of one incarnation of a backend, and how two copies of it compare.

use super::RANGES;
use crate::Millis;
use brassport_types::fnv1a_32;
use serde::{Deserialize, Serialize};
use std::net::{Ipv4Addr, SocketAddrV4};

/// Lease of a record that takes requests, in ms. Long, because the node that received its heartbeats says when they stop;
/// the lease ends only a record whose node was lost too.
const READY_LEASE_MS: Millis = 900_000;
/// Lease of a record whose heartbeats are known to have stopped, or that is draining: little is expected of it.
const DEPARTING_LEASE_MS: Millis = 40_000;
/// For so many ms the end of an incarnation is remembered, so that no late copy revives it.
const TERMINATED_LEASE_MS: Millis = 30_000;
/// A heartbeat that only says that all is as before changes the digest once in so many calls. Guards the links against a
/// repair for each heartbeat.
const DIGEST_CALLS: u64 = 128;

/// The state of a backend; under the same call count a later variant overrides an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BackendState {
    /// It takes requests.
    Ready,
    /// Its heartbeats have stopped, as the node says that received the last.
    #[serde(rename = "Silent")]
    Unresponsive,
    /// It finishes its work; nothing new may be sent.
    #[serde(rename = "Emptying")]
    Draining,
    /// It has ended.
    #[serde(rename = "Gone")]
    Terminated,
}

impl BackendState {
    /// For how many milliseconds a record in this state holds without a call of its backend.
    pub(super) fn lease_ms(self) -> Millis {
        match self {
            BackendState::Ready => READY_LEASE_MS,
            BackendState::Unresponsive | BackendState::Draining => DEPARTING_LEASE_MS,
            BackendState::Terminated => TERMINATED_LEASE_MS,
        }
    }
}

/// One incarnation of a backend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Its name; every start has another.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// The version of its software.
    pub version: String,
    /// Requests that it handles at once.
    pub capacity: u32,
    /// Its state.
    #[serde(rename = "stage")]
    pub state: BackendState,
    /// How many calls it had made; it goes up with each.
    #[serde(rename = "count")]
    pub call_count: u64,
    /// For how many more milliseconds it is warming up, as of when this copy was made.
    #[serde(rename = "warming_ms")]
    pub warmup_left_ms: u32,
    /// Milliseconds since a call of its own renewed this, as of when this copy was made: copies expire at the same time
    /// wherever they went.
    #[serde(default)]
    pub age_ms: u32,
}

impl Backend {
    /// The end of a backend that this node never heard of.
    pub(super) fn terminated(id: &str) -> Backend {
        Backend {
            id: id.to_owned(),
            service: String::new(),
            address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            zone: String::new(),
            version: String::new(),
            capacity: 1,
            state: BackendState::Terminated,
            call_count: 0,
            warmup_left_ms: 0,
            age_ms: 0,
        }
    }

    /// Whether this copy is newer than another of the same backend: the end overrides all, then the call count decides,
    /// then the state.
    pub(super) fn is_newer_than(&self, other: &Backend) -> bool {
        let order = |copy: &Backend| (copy.state == BackendState::Terminated, copy.call_count, copy.state);
        order(self) > order(other)
    }

    /// What two nodes compare: FNV-1a (64 bits) over the name, the coarse call count, the state and the port.
    pub(super) fn digest(&self) -> u64 {
        let coarse_count = if self.state == BackendState::Ready { self.call_count / DIGEST_CALLS } else { 0 };
        let numbers = [coarse_count, self.state as u64, u64::from(self.address.port())];
        let bytes = self.id.bytes().chain(numbers.into_iter().flat_map(u64::to_be_bytes));
        mix(bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        }))
    }

    /// A digest of its name alone.
    pub(crate) fn name_digest(&self) -> u64 {
        mix(u64::from(fnv1a_32(&self.id)))
    }

    /// The range of the table that it belongs to.
    pub(super) fn range(&self) -> usize {
        self.name_digest() as usize % RANGES
    }
}

/// The first round of MurmurHash3's 64-bit finalizer: FNV alone leaves the low bits of similar names alike.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
