//! Peer records: the self-description of a node. On the wire, a record is an array without field names, because the
//! names would be longer than the values.

use brassport_types::{DiskId, Incarnation};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// The self-description of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PeerRow", into = "PeerRow")]
pub struct PeerRecord {
    /// The address of the node, which identifies it.
    pub ip: Ipv4Addr,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The name of its zone.
    pub zone: String,
    /// Its disk if it may vote; otherwise [`DiskId::NONE`].
    pub disk: DiskId,
    /// Whether it belongs to the core, the nodes that may vote (`counted` in the settings). Losses of core nodes count
    /// against the tolerated number of losses.
    pub is_core: bool,
}

type PeerRow = (u32, Incarnation, String, DiskId, bool);

impl From<PeerRow> for PeerRecord {
    fn from((ip, incarnation, zone, disk, is_core): PeerRow) -> PeerRecord {
        PeerRecord { ip: Ipv4Addr::from(ip), incarnation, zone, disk, is_core }
    }
}

impl From<PeerRecord> for PeerRow {
    fn from(peer: PeerRecord) -> PeerRow {
        (u32::from(peer.ip), peer.incarnation, peer.zone, peer.disk, peer.is_core)
    }
}

/// A peer record with its age, as forwarded between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(PeerRecord, u32)", into = "(PeerRecord, u32)")]
pub struct AgedRecord {
    /// The record of the peer.
    pub peer: PeerRecord,
    /// Milliseconds since the peer created the record, without the time in transit.
    pub age_ms: u32,
}

impl From<(PeerRecord, u32)> for AgedRecord {
    fn from((peer, age_ms): (PeerRecord, u32)) -> AgedRecord {
        AgedRecord { peer, age_ms }
    }
}

impl From<AgedRecord> for (PeerRecord, u32) {
    fn from(aged: AgedRecord) -> (PeerRecord, u32) {
        (aged.peer, aged.age_ms)
    }
}
