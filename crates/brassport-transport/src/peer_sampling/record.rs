//! What a node states of itself, as it is passed on. On the wire each is a row: names of fields would weigh more than what
//! they hold.

use brassport_types::{DiskId, Incarnation};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// What a node states of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PeerRow", into = "PeerRow")]
pub struct PeerRecord {
    /// Its address.
    pub ip: Ipv4Addr,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: String,
    /// Its disk, if it may vote; else [`DiskId::NONE`].
    pub disk: DiskId,
    /// Whether it belongs to the core: its loss counts against what the system survives (`counted` in the settings).
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

/// A peer record as it is passed on, with its age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(PeerRecord, u32)", into = "(PeerRecord, u32)")]
pub struct AgedRecord {
    /// The record.
    pub peer: PeerRecord,
    /// Milliseconds since its node made it. Time on the way is not counted.
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
