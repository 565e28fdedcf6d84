//! What a replica wants its host to do, and the outcomes of commands.

use super::{CommittedEntry, Message, Record, ReplicatedState};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// What a replica wants its host to do.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a message to a machine.
    Send(Ipv4Addr, Message),
    /// Write a record to disk; once it is synced, call [`Replica::on_persisted`](super::Replica::on_persisted) with the number.
    Persist(u64, Record),
    /// An entry was applied to the state; `None`: a snapshot was installed.
    Applied(Option<CommittedEntry>),
    /// The command with this number has its outcome.
    Respond(u64, Outcome),
    /// This replica lacks committed entries: fetch them from that machine.
    FetchLog(Ipv4Addr),
}

/// What became of a command.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It is committed, or was before.
    Committed,
    /// It builds on a version that is not the current one, and will never be in force.
    VersionConflict,
    /// It is invalid and will never be in force; why.
    Invalid(String),
    /// Whether it will be in force is not known, or this replica can't tell.
    Unknown,
    /// To a read: the newest state.
    Current(Arc<ReplicatedState>),
}
