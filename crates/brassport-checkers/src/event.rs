//! The plain events of a history, in the order in which they were seen.

use std::net::SocketAddr;

/// Nanoseconds on the history's own clock.
pub type Nanos = u64;

/// A millisecond.
pub const MS: Nanos = 1_000_000;

/// A front door, by its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Door(pub u32);

/// A node, by its number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Node(pub u32);

/// A connection of a door's, as whoever wrote the history numbers them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Connection(pub u64);

/// A request as its client sent it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sent {
    /// When its last byte was written.
    pub at: Nanos,
    /// How long the client waits.
    pub patience: Nanos,
    /// Whether it must never run twice.
    pub unsafe_to_repeat: bool,
    /// The customer, and whether it has a ceiling.
    pub customer: u64,
    pub has_ceiling: bool,
}

/// The final answer to a request as it left the door.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    /// Whether it says when to come back.
    pub advised: bool,
    /// Whether its body is what a node made for this request.
    pub fits: bool,
}

/// One thing that was seen of a request. The name of the request stands beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// Its client has sent it; the same one again if its connection was closed on it.
    Sent(Sent),
    /// Its client left, or gave up, or lost its connection: no answer is owed.
    Left,
    /// It is whole at a door.
    Taken { door: Door, connection: Connection },
    /// The door's machine has learned that its client has gone.
    ClientGone,
    /// The door closed its client's connection on it.
    Closed,
    /// An attempt begins to be written; its first byte was written at `begun`.
    Begins { door: Door, connection: Connection, to: SocketAddr, begun: Nanos },
    /// The attempt of this number is written whole.
    Written { attempt: usize },
    /// The node's answer to it has come.
    Ended { attempt: usize, status: u16, never_ran: bool },
    /// Its connection is over.
    Over { attempt: usize },
    /// It is whole at a node.
    Arrived { node: Node, door: Option<Door> },
    /// A node has begun it: its effect has happened.
    Ran { node: Node },
    /// Part of its answer was written.
    AnswerBegins,
    /// Its final answer was written.
    Answered { door: Door, answer: Answer },
}
