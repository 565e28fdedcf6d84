//! Actions that a replica requests from its host, and the outcomes of commands.

use super::{CommittedEntry, Message, Record, ReplicatedState};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// An action that a replica requests from its host. The host executes actions in the order in which they are returned.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Send a message to the machine at this address.
    Send(Ipv4Addr, Message),
    /// Write a record to disk. When it is synced, or the write has failed, call
    /// [`Replica::on_persisted`](super::Replica::on_persisted) with the number of the write.
    Persist(u64, Record),
    /// An entry was applied to the state; `None` if a snapshot replaced the state.
    Applied(Option<CommittedEntry>),
    /// Respond to the command submitted under this number.
    Respond(u64, Outcome),
    /// Fetch the committed entries that this replica lacks from the machine at this address.
    FetchLog(Ipv4Addr),
}

/// The outcome of a command.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The command is committed. A repeated request may have been committed earlier.
    Committed,
    /// The command builds on a version, or changes a voter set, other than the current one. It will never be committed.
    VersionConflict,
    /// The request is invalid, for the given reason. It will never be committed.
    Invalid(String),
    /// This replica can't tell whether the command is, or will be, committed.
    Unknown,
    /// The newest committed state, in response to a read.
    Current(Arc<ReplicatedState>),
}
