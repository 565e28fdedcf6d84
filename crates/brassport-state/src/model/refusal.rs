//! Why a change is rejected.

use std::fmt;

/// Why a change was rejected. The state is as it was.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// The change is not valid; the text says what of it.
    Invalid(String),
    /// A node of that name exists already.
    Exists(String),
    /// No node has that name.
    NoSuchNode(String),
    /// The node was changed since the requester saw it.
    Conflict {
        /// The node.
        name: String,
        /// The revision that the node has.
        revision: u64,
    },
    /// The id was used for another change.
    IdUsed {
        /// The id.
        id: String,
        /// The revision of that other change.
        revision: u64,
    },
}

impl Refusal {
    /// The reason as a fixed code, for programs.
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
