//! What a [`Task`](crate::Task) is notified of and what it has the host do.

use crate::lease::Lease;
use serde::{Deserialize, Serialize};

/// An input to [`Task::handle`](crate::Task::handle).
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Whether this process is to acquire and keep the lease if it can.
    Wants(bool),
    /// The lease is to be handed over to this instance.
    HandOver(String),
    /// An act under the last permit has started, or has ended. The lease is not released in between.
    Acting(bool),
    /// The replicated state has this lease for the task.
    Seen {
        /// The version of the replicated state, which rises with every change.
        version: u64,
        /// The lease in that version.
        lease: Lease,
    },
    /// How many times the fleet was recovered from the loss of a majority.
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
    /// Whether the change is committed is not known: it may yet be.
    Unknown,
}

/// What the host is to do.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Action {
    /// Propose a change of the lease to the replicated state, which has to reject it if its version is another one.
    Publish {
        /// The version that the change is made against; 0 if there was none.
        seen: u64,
        /// The lease as it is to become.
        lease: Lease,
    },
}

/// Why a process may not act.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NoPermitReason {
    /// Another process has the lease: the name of its instance.
    HeldBy(String),
    /// An earlier holder's permit may still run.
    Waits,
    /// The fleet has not committed this process's request yet.
    Asks,
    /// This process is not to have the lease.
    NotWanted,
}
