//! The interface to the host: the options of a node, the events that it processes, and the actions that it returns.

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

/// The options of a node.
#[derive(Debug, Clone)]
pub struct Options {
    /// The node's own peer record. Its disk is set when the store opens.
    pub node: PeerRecord,
    /// Addresses of the nodes to contact at the start, and from time to time afterwards.
    pub seeds: Vec<Ipv4Addr>,
    /// Whether the whole cluster starts for the first time, so that the log must be bootstrapped.
    pub first_start: bool,
    /// The simultaneous losses that the set of voters must tolerate.
    pub fault_tolerance: FaultTolerance,
    /// Interval between heartbeats of a backend, in milliseconds.
    pub heartbeat_interval_ms: Millis,
    /// Seed of the node's random number generators.
    pub seed: u64,
}

/// An input to the control plane.
#[derive(Debug)]
pub enum Event {
    /// Time has passed. The host sends a tick about every 60 ms.
    Tick,
    /// A message from another node.
    PeerMessage(Envelope),
    /// A call of a backend or of the operator. [`Action::Respond`] carries the same number.
    Call(u64, Call),
    /// The store is open: its disk ID and the state read from it.
    StoreOpened(DiskId, DurableState),
    /// The record with this number is durable (`true`), or could not be written (`false`).
    Persisted(u64, bool),
    /// The data plane's usage counts, with the number of the report.
    UsageReported(u32, Vec<UsageReport>),
    /// The seeds in the settings have changed to these.
    SeedsChanged(Vec<Ipv4Addr>),
    /// The process was asked to shut down. It may exit once
    /// [`ControlPlane::may_shut_down`](crate::ControlPlane::may_shut_down) is true.
    Shutdown,
}

/// An output of the control plane, to be executed by the host.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a message to the node at this address.
    Send(Ipv4Addr, PeerMessage),
    /// Write a record to the store and sync it, then report [`Event::Persisted`] with this number.
    Persist(u64, Record),
    /// Reply to the call with this number.
    Respond(u64, Reply),
    /// The replicated state has advanced to this one.
    StateAdvanced(Arc<ReplicatedState>),
    /// A backend is new, or its record has changed. Of a backend that drains or has terminated, only the name and the
    /// state may be known.
    BackendChanged(Backend),
    /// The backend with this ID was removed from the endpoint table: its lease expired, or no node confirmed it after
    /// this node had been isolated.
    BackendExpired(String),
    /// The leader's response to a usage report.
    QuotaGranted(GrantResponse),
}
