//! What the processes of the gateway say to one another. Variants are tuples, as their names would weigh more than what
//! they say.

use crate::backends::{Backend, RANGES};
use crate::ring_position::Rank;
use crate::snapshots::{Chunk, SnapshotId};
use brassport_config_store::consensus::{Chosen, LogIndex, Message, Term};
use brassport_quota::{Loan, Use};
use brassport_transport::views::{Aged, Member};
use serde::{Deserialize, Serialize};
use std::net::Ipv4Addr;

/// Who leads, under which term, and how many milliseconds ago it was heard.
pub type LeaderTold = (Term, Ipv4Addr, u32);

/// One thing said.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// A door tells of itself: its log index, the digest of its table, who leads, some members, and
    /// whether it wants the same back.
    #[serde(rename = "h")]
    Gossip(Member, LogIndex, u64, Option<LeaderTold>, Vec<Aged>, bool),
    /// Between voters; the number of the sender's disk.
    #[serde(rename = "c")]
    Consensus(u64, Message),
    /// The entries behind this index, please.
    #[serde(rename = "f")]
    Fetch(LogIndex),
    /// Entries that are chosen, from an index on.
    #[serde(rename = "n")]
    Entries(Vec<Chosen>),
    /// A part of a snapshot, as the entries are no longer kept, or are too long.
    #[serde(rename = "s")]
    Snapshot(Chunk),
    /// More of a snapshot, please, from this byte on.
    #[serde(rename = "k")]
    FetchSnapshot(SnapshotId, u64),
    /// The digests of a table's ranges: what differs, please.
    #[serde(rename = "r")]
    Ranges([u32; RANGES]),
    /// Records of backends; with a number, an answer is wanted.
    #[serde(rename = "b")]
    Backends(Vec<Backend>, Option<u64>),
    /// Records under this number were taken in, by one that knows the log up to this index.
    #[serde(rename = "a")]
    Confirmed(u64, LogIndex),
    /// Begin the log: only one machine is ever told.
    #[serde(rename = "g")]
    Bootstrap(u32),
    /// A machine of the core wants a vote; the number of its disk, and how far it knows the log.
    #[serde(rename = "j")]
    Join(u64, LogIndex),
    /// A voter is about to end; the number of its disk, and how far it knows the log.
    #[serde(rename = "e")]
    Leaving(u64, LogIndex),
    /// To one that is about to end: it may.
    #[serde(rename = "d")]
    Released,
    /// A door's counts, to the leader: number, counts.
    #[serde(rename = "u")]
    Used(u32, Vec<Use>),
    /// What is lent upon a report: term, number, loans.
    #[serde(rename = "l")]
    Lent(Term, u32, Vec<Loan>),
    /// A door of this zone asks the leader for its rank among the doors there.
    #[serde(rename = "p")]
    AskRank(String),
    /// The rank of the door that is told: term, rank.
    #[serde(rename = "q")]
    Rank(Term, Rank),
}

/// A message with its sender: address and life.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope(pub Ipv4Addr, pub u64, pub PeerMessage);
