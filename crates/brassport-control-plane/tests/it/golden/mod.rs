//! Golden tests: the encoding of peer messages and the texts of calls and replies, compared with the fixtures in
//! `tests/golden`. Renaming items in the sources must not change any of them. The names of the cases match those in the
//! fixtures.

mod frames;
mod machine;
mod messages;
mod replies;

use brassport_config_store::consensus::{
    AcceptedEntry, ChangeScope, CommittedEntry, ConfigurationRequest, DurableState, Entry, Message, VoterId,
};
use brassport_control_plane::backends::{Backend, BackendState, Departure, RecordHashes, DIGEST_RANGES};
use brassport_control_plane::call::{Call, Reply};
use brassport_control_plane::peer_message::{
    Envelope, Gossip, GrantResponse, LackingRecords, LeaderHint, PeerMessage,
};
use brassport_control_plane::ring_rank::Rank;
use brassport_control_plane::{
    Action, ControlPlane, Event, FaultTolerance, Millis, Options, SnapshotChunk, SnapshotId,
};
use brassport_golden::hex;
use brassport_golden::Fixtures;
use brassport_quota::{QuotaGrant, UsageReport};
use brassport_transport::frame;
use brassport_transport::peer_sampling::{AgedRecord, PeerRecord};
use brassport_types::{DiskId, Incarnation, LogIndex, TenantId, Term};
use serde::{de::DeserializeOwned, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::net::Ipv4Addr;
use std::sync::Arc;

const GOLDEN: Fixtures = Fixtures::of(env!("CARGO_MANIFEST_DIR"));
const MACHINE: Ipv4Addr = Ipv4Addr::new(10, 0, 1, 7);
const OTHER: Ipv4Addr = Ipv4Addr::new(10, 0, 2, 9);

/// Encodes a value, checks that it survives a round trip, and returns the case's name and the bytes in hexadecimal.
fn encoded_case<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    name: &str,
    value: &T,
) -> (String, String) {
    let bytes = frame::encode(value);
    let decoded: T = frame::decode(&bytes).expect("the frame can be decoded");
    assert_eq!(&decoded, value, "{name}");
    assert_eq!(frame::encode(&decoded), bytes, "{name}");
    (name.to_owned(), hex(&bytes))
}

const INCARNATION: Incarnation = Incarnation(0x0102_0304_0506_0708);

fn member(ip: Ipv4Addr, disk: u64) -> PeerRecord {
    let (zone, disk) = ("zone-a".to_owned(), DiskId(disk));
    PeerRecord { ip, incarnation: INCARNATION, zone, disk, is_core: disk.is_some() }
}

fn backend(state: BackendState) -> Backend {
    Backend {
        id: "i-7f3a".to_owned(),
        service: "search".to_owned(),
        address: "10.0.3.4:8080".parse().expect("an address"),
        zone: "zone-b".to_owned(),
        version: "1.4.2".to_owned(),
        capacity: 24,
        state,
        call_count: 70_000,
        warmup_left_ms: 1_500,
        age_ms: 250,
    }
}

fn voter(disk: u64) -> VoterId {
    VoterId { ip: Ipv4Addr::new(10, 0, 0, disk as u8), disk: DiskId(disk) }
}

fn document(version: u32) -> Arc<Vec<u8>> {
    Arc::new(format!("{{\"version\":\"{version:08x}\",\"services\":[],\"hosts\":[]}}").into_bytes())
}

const TERM: Term = Term::new(4, DiskId(77));

/// Gossip of a node that knows neither peers nor backends.
fn gossip(sender: PeerRecord, index: u64, wants_reply: bool) -> PeerMessage {
    let (index, peers) = (LogIndex(index), Vec::new());
    PeerMessage::Gossip(Gossip { sender, index, table_digest: 0, leader: None, peers, wants_reply })
}

fn usage(tenant: u32, offered: u64, sent: u64, wanted: u16) -> UsageReport {
    UsageReport { tenant: TenantId(tenant), offered, sent, wanted }
}

fn grant(tenant: u32, requests: u16, sent_by_all: u32) -> QuotaGrant {
    QuotaGrant { tenant: TenantId(tenant), requests, sent_by_all }
}

/// The event of a message from another node.
fn message_from(from: Ipv4Addr, message: PeerMessage) -> Event {
    Event::PeerMessage(Envelope { from, incarnation: Incarnation(1), message })
}

fn options(ip: Ipv4Addr, seeds: Vec<Ipv4Addr>, first_start: bool, machines: usize) -> Options {
    let node = PeerRecord { is_core: first_start, ..member(ip, 0) };
    let fault_tolerance = FaultTolerance::machines(machines);
    Options { node, seeds, first_start, fault_tolerance, heartbeat_interval_ms: 1_500, seed: 5 }
}
