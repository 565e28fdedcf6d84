//! Reasons for rejecting a change.

use std::fmt;

/// The reason for rejecting a change. A rejected change leaves the state unchanged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The change is invalid; the text describes the problem.
    Invalid(String),
    /// A node with this name exists already.
    Exists(String),
    /// No node has this name.
    NoSuchNode(String),
    /// The node has changed since the requester read it.
    Conflict {
        /// The node's name.
        name: String,
        /// The node's current revision.
        revision: u64,
    },
    /// The id was used before, for a different change.
    IdUsed {
        /// The id of the change.
        id: String,
        /// The revision of the earlier change.
        revision: u64,
    },
}

impl Refusal {
    /// A stable, machine-readable code of the reason.
    pub fn code(&self) -> &'static str {
        match self {
            Refusal::Invalid(_) => "invalid",
            Refusal::Exists(_) => "exists",
            Refusal::NoSuchNode(_) => "no_such_node",
            Refusal::Conflict { .. } => "conflict",
            Refusal::IdUsed { .. } => "id_used",
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refusal::Invalid(problem) => f.write_str(problem),
            Refusal::Exists(name) => write!(f, "a node named '{name}' is in the list already"),
            Refusal::NoSuchNode(name) => write!(f, "no node is named '{name}'; see `nodes list`"),
            Refusal::Conflict { name, revision } => {
                write!(f, "'{name}' was changed meanwhile (revision {revision}); look at it again")
            }
            Refusal::IdUsed { id, revision } => {
                write!(f, "the id '{id}' was used for another change (revision {revision}); choose a new one")
            }
        }
    }
}

impl std::error::Error for Refusal {}
