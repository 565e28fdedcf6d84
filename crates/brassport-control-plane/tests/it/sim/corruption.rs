//! A snapshot that is corrupted in flight.

use super::{ip, HEARTBEAT_INTERVAL_MS};
use brassport_config_store::consensus::ReplicatedState;
use brassport_control_plane::peer_message::{Envelope, PeerMessage};
use brassport_control_plane::{ControlPlane, Event, FaultTolerance, Options, SnapshotChunk, SnapshotId};
use brassport_transport::peer_sampling::PeerRecord;
use brassport_types::{DiskId, Incarnation, LogIndex};
use sha2::{Digest, Sha256};

/// Whether a node installs a snapshot that was corrupted in flight and can still be decoded.
pub fn is_corrupt_snapshot_installed() -> bool {
    let node = PeerRecord {
        ip: ip(0),
        incarnation: Incarnation(1),
        zone: "a".to_owned(),
        disk: DiskId::NONE,
        is_core: false,
    };
    let options = Options {
        node,
        seeds: vec![ip(1)],
        first_start: false,
        fault_tolerance: FaultTolerance::machines(1),
        heartbeat_interval_ms: HEARTBEAT_INTERVAL_MS,
        seed: 1,
    };
    let mut control = ControlPlane::new(options, 0);
    let bytes = |quota_shares: u32| {
        let state = ReplicatedState { index: LogIndex(9), quota_shares, ..ReplicatedState::empty() };
        let mut bytes = Vec::new();
        ciborium::into_writer(&state, &mut bytes).expect("the state can be encoded");
        bytes
    };
    let (sound, corrupt) = (bytes(4), bytes(5));
    let digest: u128 =
        Sha256::digest(&sound).iter().take(16).fold(0, |all, byte| all << 8 | u128::from(*byte));
    let id = SnapshotId { index: LogIndex(9), digest };
    let total = corrupt.len() as u64;
    let chunk = SnapshotChunk { id, total, offset: 0, bytes: corrupt };
    let message = PeerMessage::SnapshotChunk(chunk);
    let envelope = Envelope { from: ip(1), incarnation: Incarnation(1), message };
    control.handle(10, Event::PeerMessage(envelope));
    control.state().index == LogIndex(9)
}
