//! The interface to the host: the settings of a node, the events it is given, and the actions it returns.

use crate::backends::Backend;
use crate::call::{Call, Reply};
use crate::membership::FaultTolerance;
use crate::peer_message::{Envelope, GrantResponse, PeerMessage};
use crate::Millis;
use brassport_config_store::consensus::{DurableState, Record, ReplicatedState};
use brassport_quota::UsageReport;
use brassport_transport::peer_sampling::PeerRecord;
use brassport_types::DiskId;
use std::net::Ipv4Addr;
use std::sync::Arc;

/// The settings of a node.
#[derive(Debug, Clone)]
pub struct Options {
    /// How the node describes itself to its peers. Its disk is filled in once the store is open.
    pub node: PeerRecord,
    /// Addresses of the nodes to contact first.
    pub seeds: Vec<Ipv4Addr>,
    /// Whether the complete cluster starts for the first time.
    pub first_start: bool,
    /// The losses that the voters must tolerate.
    pub fault_tolerance: FaultTolerance,
    /// Milliseconds between two heartbeats of a backend.
    pub heartbeat_interval_ms: Millis,
    /// Seed of the node's random choices.
    pub seed: u64,
}

/// Something that happens to a node.
#[derive(Debug)]
pub enum Event {
    /// Time passed. To be sent every 60 ms or so.
    Tick,
    /// A message came from another node.
    PeerMessage(Envelope),
    /// A backend or the operator calls. [`Action::Respond`] repeats the number.
    Call(u64, Call),
    /// The store is open: the disk, and what was found on it.
    StoreOpened(DiskId, DurableState),
    /// The record with this number is on disk (`true`), or could not be written.
    Persisted(u64, bool),
    /// The data plane's usage counts, under the number of the report.
    UsageReported(u32, Vec<UsageReport>),
    /// The settings name other seeds.
    SeedsChanged(Vec<Ipv4Addr>),
    /// The process is to shut down.
    Shutdown,
}

/// What the host is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message to a node.
    Send(Ipv4Addr, PeerMessage),
    /// Write a record to disk; then report [`Event::Persisted`] with the number.
    Persist(u64, Record),
    /// Answer the call with this number.
    Respond(u64, Reply),
    /// The replicated state has advanced.
    StateAdvanced(Arc<ReplicatedState>),
    /// A backend is new, or has changed.
    BackendChanged(Backend),
    /// The lease of the backend with this id has expired.
    BackendExpired(String),
    /// The leader's answer to a usage report.
    QuotaGranted(GrantResponse),
}
