//! The record of one incarnation of a backend, and the order of its copies.

use super::DIGEST_RANGES;
use crate::Millis;
use brassport_types::fnv1a_32;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Lease of a ready backend. It is long, because the node that receives the heartbeats reports when they stop; the
/// lease matters only if that node is lost as well.
const READY_LEASE_MS: Millis = 900_000;
/// Lease of an unresponsive or draining backend, from which few further calls are expected.
const DEPARTING_LEASE_MS: Millis = 40_000;
/// How long the termination of an incarnation is remembered, so that a late copy does not revive it.
const TERMINATED_LEASE_MS: Millis = 30_000;
/// The digest of a ready backend's record changes only once in this many calls, so that heartbeats without other
/// changes do not each trigger a repair.
const DIGEST_CALLS: u64 = 128;

/// The state of a backend. With equal call counts, a later variant overrides an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BackendState {
    /// It accepts requests.
    Ready,
    /// Its heartbeats have stopped, according to the node that received the last one.
    #[serde(rename = "Silent")]
    Unresponsive,
    /// It completes its current requests; no new ones may be sent to it.
    #[serde(rename = "Emptying")]
    Draining,
    /// It has deregistered.
    #[serde(rename = "Gone")]
    Terminated,
}

impl BackendState {
    /// How long a record in this state is kept without a call of its backend, in milliseconds.
    pub(super) fn lease_ms(self) -> Millis {
        match self {
            BackendState::Ready => READY_LEASE_MS,
            BackendState::Unresponsive | BackendState::Draining => DEPARTING_LEASE_MS,
            BackendState::Terminated => TERMINATED_LEASE_MS,
        }
    }
}

/// The departure of a backend, as nodes notify each other of it: a tenth of the size of its complete record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "DepartureRow", into = "DepartureRow")]
pub struct Departure {
    /// The name of the incarnation.
    pub id: String,
    /// Its state, which is not [`BackendState::Ready`].
    pub state: BackendState,
    /// Number of calls that the backend has made to the control plane.
    pub call_count: u64,
    /// Milliseconds from the backend's last call to the time when this notification was made.
    pub age_ms: u32,
}

/// Name, code of the state, call count and age.
type DepartureRow = (String, u8, u64, u32);

/// A departure has no state with this code.
#[derive(Debug)]
pub struct UnknownState(u8);

impl fmt::Display for UnknownState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no state of a departure has the code {}", self.0)
    }
}

impl TryFrom<DepartureRow> for Departure {
    type Error = UnknownState;

    fn try_from((id, code, call_count, age_ms): DepartureRow) -> Result<Departure, UnknownState> {
        let states = [BackendState::Unresponsive, BackendState::Draining, BackendState::Terminated];
        let state = states.into_iter().find(|state| *state as u8 == code).ok_or(UnknownState(code))?;
        Ok(Departure { id, state, call_count, age_ms })
    }
}

impl From<Departure> for DepartureRow {
    fn from(departure: Departure) -> DepartureRow {
        let Departure { id, state, call_count, age_ms } = departure;
        (id, state as u8, call_count, age_ms)
    }
}

impl From<Departure> for Backend {
    fn from(departure: Departure) -> Backend {
        let Departure { id, state, call_count, age_ms } = departure;
        Backend { call_count, age_ms, ..Backend::without_details(id, state) }
    }
}

/// One incarnation of a backend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The name of this incarnation. It changes with every start of the backend.
    pub id: String,
    /// The name of its service.
    pub service: String,
    /// The address on which it accepts requests.
    pub address: SocketAddrV4,
    /// The zone it runs in; empty if unknown.
    pub zone: String,
    /// The version of its software; empty if unknown.
    pub version: String,
    /// Number of requests that it handles concurrently, at least 1.
    pub capacity: u32,
    /// Its state as of `call_count`.
    #[serde(rename = "stage")]
    pub state: BackendState,
    /// Number of calls that the backend has made to the control plane.
    #[serde(rename = "count")]
    pub call_count: u64,
    /// Remaining warm-up in milliseconds when this copy was made.
    #[serde(rename = "warming_ms")]
    pub warmup_left_ms: u32,
    /// Milliseconds from the backend's last call to the time when this copy was made. It makes all copies expire at the
    /// same time.
    #[serde(default)]
    pub age_ms: u32,
}

impl Backend {
    /// A record of which only the name and the state are known.
    pub(super) fn without_details(id: String, state: BackendState) -> Backend {
        Backend {
            id,
            service: String::new(),
            address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
            zone: String::new(),
            version: String::new(),
            capacity: 1,
            state,
            call_count: 0,
            warmup_left_ms: 0,
            age_ms: 0,
        }
    }

    /// Whether the service, the address and the other details are known.
    pub(super) fn has_details(&self) -> bool {
        !self.service.is_empty()
    }

    /// The departure that this record states; `None` if the backend is ready.
    pub(crate) fn departure(&self) -> Option<Departure> {
        let (id, state, call_count, age_ms) = (self.id.clone(), self.state, self.call_count, self.age_ms);
        (state != BackendState::Ready).then_some(Departure { id, state, call_count, age_ms })
    }

    /// Whether this copy is newer than another copy for the same backend: termination overrides all other states, then
    /// the call count decides, then the state.
    pub(super) fn is_newer_than(&self, other: &Backend) -> bool {
        let order = |copy: &Backend| (copy.state == BackendState::Terminated, copy.call_count, copy.state);
        order(self) > order(other)
    }

    /// The digest by which nodes compare their tables: 64-bit FNV-1a over the name, the state and, of a ready backend,
    /// the coarse call count and the port. No node needs the details of a backend that is not ready.
    pub(super) fn digest(&self) -> u64 {
        let (coarse_count, port) = match self.state {
            BackendState::Ready => (self.call_count / DIGEST_CALLS, self.address.port()),
            BackendState::Unresponsive | BackendState::Draining | BackendState::Terminated => (0, 0),
        };
        let numbers = [coarse_count, self.state as u64, u64::from(port)];
        let bytes = self.id.bytes().chain(numbers.into_iter().flat_map(u64::to_be_bytes));
        mix(bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        }))
    }

    /// The digest of the name alone.
    pub(crate) fn name_digest(&self) -> u64 {
        mix(u64::from(fnv1a_32(&self.id)))
    }

    /// The index of the table range that the record belongs to.
    pub(super) fn range(&self) -> usize {
        self.name_digest() as usize % DIGEST_RANGES
    }
}

/// The first round of MurmurHash3's 64-bit finalizer. With FNV alone, similar names have similar low bits.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}
