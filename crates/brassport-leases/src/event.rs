//! Inputs of a [`Task`](crate::Task), and the actions that it returns to the host.

use crate::lease::Lease;
use serde::{Deserialize, Serialize};

/// An input to [`Task::handle`](crate::Task::handle).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Whether this process should acquire and keep the lease if it can.
    Wants(bool),
    /// The lease is to be handed over to the named instance.
    HandOver(String),
    /// An act under the last permit has started (`true`) or ended (`false`). The lease is not released during an act.
    Acting(bool),
    /// The replicated state contains this lease for the task.
    Seen {
        /// The version of the replicated state, which rises with every change.
        version: u64,
        /// The lease in that version.
        lease: Lease,
    },
    /// The number of times that the fleet was recovered from the loss of a majority.
    Recovered(u64),
    /// The outcome of the last request.
    Answer(Outcome),
}

/// The outcome of a request to change the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The change is committed.
    Taken {
        /// The version that the change made.
        version: u64,
    },
    /// Another change was committed before it.
    Refused,
    /// It is unknown whether the change is committed; it may still be committed later.
    Unknown,
}

/// An action that the host must perform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Propose a change of the lease to the replicated state, which must reject it if the lease's version is not `seen`.
    Publish {
        /// The version of the lease that the change is based on; 0 if there was none.
        seen: u64,
        /// The new lease.
        lease: Lease,
    },
}

/// The reason why a process may not act.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NoPermitReason {
    /// Another process holds the lease; the name of its instance.
    HeldBy(String),
    /// An earlier holder's permit may still be valid.
    Waits,
    /// This process may request the lease, or has requested it, but the request is not committed yet.
    Asks,
    /// This process is not meant to hold the lease.
    NotWanted,
}
