//! Why a change is refused, and why an update from another instance is not applied.

use super::MAX_CHANGE_BYTES;
use serde::{Deserialize, Serialize};

/// Why a change is refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// A required field is empty: `id`, `author`, `reason` or `matter`, as named.
    Incomplete(String),
    /// The change is larger than [`MAX_CHANGE_BYTES`].
    TooLarge {
        /// The size of the change as JSON.
        bytes: usize,
    },
    /// Another change has the same identifier.
    IdUsed {
        /// The version that the other change made.
        version: u64,
    },
    /// The key has been changed since the author of the change read it.
    Conflict {
        /// The current version of the key.
        version: u64,
    },
}

impl std::fmt::Display for Refusal {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refusal::Incomplete(field) => {
                write!(f, "the change has no {field}: say it, others will want to know")
            }
            Refusal::TooLarge { bytes } => {
                write!(f, "the change takes {bytes} bytes, {MAX_CHANGE_BYTES} at most")
            }
            Refusal::IdUsed { version } => {
                write!(f, "version {version} has the same id and says something else: use another id")
            }
            Refusal::Conflict { version } => {
                write!(f, "version {version} has changed it since: look at that one, then publish anew")
            }
        }
    }
}

impl std::error::Error for Refusal {}

/// Why an update from another instance is not applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// Versions between this state and the update are missing.
    Gap {
        /// The version of this state.
        have: u64,
        /// The first version that was offered.
        next: u64,
    },
    /// A version has different digests on both sides: the sides belong to different fleets, or a directory was copied or
    /// restored incorrectly.
    Fork {
        /// The version with different digests.
        version: u64,
    },
    /// The offered state is older than this one.
    Stale {
        /// The version of this state.
        have: u64,
        /// The version that was offered.
        offered: u64,
    },
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Fault::Gap { have, next } => write!(f, "version {next} does not follow version {have}"),
            Fault::Fork { version } => write!(
                f,
                "version {version} differs from the one told: this directory belongs to another fleet, or to a past that \
                 was recovered from; move it away and join anew"
            ),
            Fault::Stale { have, offered } => write!(f, "version {offered} is told where {have} is known"),
        }
    }
}

impl std::error::Error for Fault {}
