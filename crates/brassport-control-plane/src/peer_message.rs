//! Messages between the nodes of the cluster. On the wire, variants have names of one letter and structs are rows: names
//! would weigh more than what they stand for.

use crate::backends::{Backend, RANGES};
use crate::ring_rank::Rank;
use crate::snapshots::{SnapshotChunk, SnapshotId};
use brassport_config_store::consensus::{CommittedEntry, Message};
use brassport_quota::{QuotaGrant, UsageReport};
use brassport_transport::peer_sampling::{AgedRecord, PeerRecord};
use brassport_types::{DiskId, Incarnation, LogIndex, Term};
use serde::{Deserialize, Serialize};
use serde_tuple::{Deserialize_tuple, Serialize_tuple};
use std::net::Ipv4Addr;

/// A message with its sender.
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
    /// A message between voters, with the sender's disk.
    #[serde(rename = "c")]
    Consensus(DiskId, Message),
    /// Requests the entries behind this index.
    #[serde(rename = "f")]
    FetchEntries(LogIndex),
    /// Committed entries, one behind the other.
    #[serde(rename = "n")]
    Entries(Vec<CommittedEntry>),
    /// A chunk of a snapshot, as the entries are no longer kept, or are too long.
    #[serde(rename = "s")]
    SnapshotChunk(SnapshotChunk),
    /// Requests the chunk of a snapshot at this byte offset.
    #[serde(rename = "k")]
    FetchSnapshotChunk(SnapshotId, u64),
    /// The digests of the sender's table of backends, by range: requests the records of those that differ.
    #[serde(rename = "r")]
    TableDigests([u32; RANGES]),
    /// Records of backends; with a number, a confirmation is wanted.
    #[serde(rename = "b")]
    BackendRecords(Vec<Backend>, Option<u64>),
    /// The records with this number were merged, by a node that knows the log up to this index.
    #[serde(rename = "a")]
    RecordsConfirmed(u64, LogIndex),
    /// Begin the log with this number of quota shares. The first seed sends it to one node only.
    #[serde(rename = "g")]
    Bootstrap(u32),
    /// A node of the core requests a vote from the leader; its disk, and how far it knows the log.
    #[serde(rename = "j")]
    JoinRequest(DiskId, LogIndex),
    /// A voter is about to shut down; its disk, and how far it knows the log.
    #[serde(rename = "e")]
    LeaveRequest(DiskId, LogIndex),
    /// The answer to [`LeaveRequest`](PeerMessage::LeaveRequest): the voter may shut down.
    #[serde(rename = "d")]
    LeaveGranted,
    /// A node's usage counts, to the leader, with the number of the report.
    #[serde(rename = "u")]
    UsageReport(u32, Vec<UsageReport>),
    /// The answer to a usage report.
    #[serde(rename = "l")]
    QuotaGrant(GrantResponse),
    /// A node of this zone requests its rank there from the leader.
    #[serde(rename = "p")]
    RankRequest(String),
    /// The answer to [`RankRequest`](PeerMessage::RankRequest), with the leader's term.
    #[serde(rename = "q")]
    RankResponse(Term, Rank),
}

/// One side of a gossip exchange.
#[derive(Debug, Clone, PartialEq, Serialize_tuple, Deserialize_tuple)]
pub struct Gossip {
    /// The sender.
    pub sender: PeerRecord,
    /// How far it knows the log.
    pub index: LogIndex,
    /// The digest of its table of backends.
    pub table_digest: u64,
    /// The leader that it knows.
    pub leader: Option<LeaderHint>,
    /// A sample of its partial view.
    pub peers: Vec<AgedRecord>,
    /// Whether the receiver is to answer with its own side of the exchange.
    pub wants_reply: bool,
}

/// Who leads, as a node knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct LeaderHint {
    /// The leader's term.
    pub term: Term,
    /// The leader's address.
    pub ip: Ipv4Addr,
    /// Milliseconds since the leader was heard.
    pub age_ms: u32,
}

/// What the leader grants upon a usage report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct GrantResponse {
    /// The leader's term.
    pub term: Term,
    /// The number of the report that is answered.
    pub report: u32,
    /// The grants, one for each tenant reported.
    pub grants: Vec<QuotaGrant>,
}
