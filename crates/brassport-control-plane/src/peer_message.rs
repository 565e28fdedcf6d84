//! Messages between the nodes of the cluster. To keep them small on the wire, enum variants have one-letter names and
//! most structs are encoded as arrays without field names.

use crate::backends::{Backend, Departure, RecordHashes, DIGEST_RANGES};
use crate::ring_rank::Rank;
use crate::snapshots::{SnapshotChunk, SnapshotId};
use brassport_config_store::consensus::{CommittedEntry, Message};
use brassport_quota::{QuotaGrant, UsageReport};
use brassport_transport::peer_sampling::{AgedRecord, PeerRecord};
use brassport_types::{DiskId, Incarnation, LogIndex, Term};
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use std::net::Ipv4Addr;

/// A message and its sender.
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Envelope {
    /// The sender's address.
    pub from: Ipv4Addr,
    /// The incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// The message.
    pub message: PeerMessage,
}

/// A message from one node to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// One side of a gossip exchange.
    #[serde(rename = "h")]
    Gossip(Gossip),
    /// A consensus message between voters, with the sender's disk.
    #[serde(rename = "c")]
    Consensus(DiskId, Message),
    /// Requests the committed entries after this index.
    #[serde(rename = "f")]
    FetchEntries(LogIndex),
    /// Consecutive committed entries.
    #[serde(rename = "n")]
    Entries(Vec<CommittedEntry>),
    /// A chunk of a snapshot, sent where entries are no longer retained or exceed the message size.
    #[serde(rename = "s")]
    SnapshotChunk(SnapshotChunk),
    /// Requests the chunk of a snapshot at this byte offset.
    #[serde(rename = "k")]
    FetchSnapshotChunk(SnapshotId, u64),
    /// The digests of the ranges of the sender's endpoint table. The receiver answers with the records of the ranges
    /// whose digests differ, as far as they fit into one answer. Sent for peers of a release without
    /// [`RecordHashes`](PeerMessage::RecordHashes).
    #[serde(rename = "r")]
    TableDigests([u32; DIGEST_RANGES]),
    /// Records of backends. If a number is given, the receiver confirms them under that number.
    #[serde(rename = "b")]
    BackendRecords(Vec<Backend>, Option<u64>),
    /// Departures of backends, pushed in place of complete records when many backends leave at once.
    #[serde(rename = "x")]
    Departures(Vec<Departure>),
    /// A departure that the receiver confirms under this number.
    #[serde(rename = "y")]
    ConfirmDeparture(u64, Departure),
    /// The hashes of the sender's records. The receiver answers with the records that the sender lacks.
    #[serde(rename = "v")]
    RecordHashes(RecordHashes),
    /// The answer to [`RecordHashes`](PeerMessage::RecordHashes).
    #[serde(rename = "w")]
    LackingRecords(LackingRecords),
    /// The records with this number were merged, by a node that has applied the log up to this index.
    #[serde(rename = "a")]
    RecordsConfirmed(u64, LogIndex),
    /// Bootstraps the log with this number of quota shares. The first seed sends it to only one node.
    #[serde(rename = "g")]
    Bootstrap(u32),
    /// A core node asks the leader to become a voter: its disk, and the index up to which it has applied the log.
    #[serde(rename = "j")]
    JoinRequest(DiskId, LogIndex),
    /// A voter is about to shut down: its disk, and the index up to which it has applied the log.
    #[serde(rename = "e")]
    LeaveRequest(DiskId, LogIndex),
    /// The response to [`LeaveRequest`](PeerMessage::LeaveRequest): the voter may shut down.
    #[serde(rename = "d")]
    LeaveGranted,
    /// The number of a usage report and a node's usage counts, sent to the leader.
    #[serde(rename = "u")]
    UsageReport(u32, Vec<UsageReport>),
    /// The response to a usage report.
    #[serde(rename = "l")]
    QuotaGrant(GrantResponse),
    /// A node in this zone requests its rank within the zone from the leader.
    #[serde(rename = "p")]
    RankRequest(String),
    /// The response to [`RankRequest`](PeerMessage::RankRequest), with the leader's term.
    #[serde(rename = "q")]
    RankResponse(Term, Rank),
}

/// One side of a gossip exchange.
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Gossip {
    /// The sender's own record.
    pub sender: PeerRecord,
    /// The index up to which the sender has applied the log.
    pub index: LogIndex,
    /// The digest of the sender's endpoint table.
    pub table_digest: u64,
    /// The leader as known to the sender; `None` if it knows none.
    pub leader: Option<LeaderHint>,
    /// A sample of the sender's partial view.
    pub peers: Vec<AgedRecord>,
    /// Whether the receiver must reply with its own side of the exchange.
    pub wants_reply: bool,
}

/// The records that a node lacks, as far as they fit into one answer.
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct LackingRecords {
    /// The departures.
    pub departures: Vec<Departure>,
    /// The records of backends that do not leave.
    pub records: Vec<Backend>,
    /// Whether the answer contains all records that the node lacks.
    pub is_complete: bool,
}

/// The leader as known to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct LeaderHint {
    /// The leader's term.
    pub term: Term,
    /// The leader's address.
    pub ip: Ipv4Addr,
    /// Milliseconds since the leader was last known to be alive.
    pub age_ms: u32,
}

/// The leader's response to a usage report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct GrantResponse {
    /// The leader's term.
    pub term: Term,
    /// The number of the usage report.
    pub report: u32,
    /// One grant for each reported tenant.
    pub grants: Vec<QuotaGrant>,
}
