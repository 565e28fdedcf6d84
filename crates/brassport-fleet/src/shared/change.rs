//! Changes, their matters, and what they make of the state.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The matter of doors: the members of the fleet, each with its current process.
pub const DOOR: &str = "door";
/// The matter of bans, by node.
pub const BAN: &str = "ban";
/// The matter of settings: a proxy's complete configuration as text.
pub const SETTINGS: &str = "settings";
/// The matter of leases, by task: the owners of the fleet's singleton roles. Doors do not act on it.
pub const LEASE: &str = "lease";
/// The matter that sets for other matters whether doors must have them in time: "strict" or "lax".
pub const STRICTNESS: &str = "strictness";

/// A change that somebody submits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Its identifier, chosen by its author; repeated under one identifier it is applied once.
    pub id: String,
    /// Who wants it, for people.
    pub author: String,
    /// Why, for people.
    pub reason: String,
    /// Wall clock of the instance that accepted it, in Unix milliseconds; for people.
    #[serde(default)]
    pub at_ms: u64,
    /// The matter that it is of, such as [`BAN`].
    pub matter: String,
    /// The key within the matter.
    pub key: String,
    /// The new value of the key; `null` removes it.
    pub body: Value,
    /// The version of this matter and key that its author saw, 0 if there was none. If it is another one by now, the change
    /// is refused.
    #[serde(default)]
    pub seen: Option<u64>,
    /// No door may act on an older version once this one is reported as in force.
    #[serde(default)]
    pub fence: bool,
}

impl Change {
    /// A change against any version, without a fence.
    pub fn new(id: &str, author: &str, reason: &str, matter: &str, key: &str, body: Value) -> Change {
        let (id, author, reason) = (id.into(), author.into(), reason.into());
        let (matter, key) = (matter.into(), key.into());
        Change { id, author, reason, at_ms: 0, matter, key, body, seen: None, fence: false }
    }

    /// Whether it renews or transfers a lease against that lease's last version.
    pub(super) fn is_lease_update(&self) -> bool {
        self.matter == LEASE && self.seen.is_some()
    }

    /// The first required field that is empty.
    pub(super) fn missing_field(&self) -> Option<&'static str> {
        let required =
            [("id", &self.id), ("author", &self.author), ("reason", &self.reason), ("matter", &self.matter)];
        required.into_iter().find(|(_, text)| text.trim().is_empty()).map(|(name, _)| name)
    }
}

/// A door's current process: the body of a change of the matter [`DOOR`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Process {
    /// The number that the process drew at its start.
    pub process: u64,
    /// All earlier processes of the name are known to have ended. A process may claim it if it owns the lock of its
    /// predecessor's directory, the predecessor had a right or was alone, and its entry is the one that this change replaces
    /// ([`Change::seen`]): if another came in between, from a copy of the directory, the change is refused.
    #[serde(default)]
    pub alone: bool,
}

/// A change that was applied.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The version that it made.
    pub version: u64,
    /// SHA-256, in hexadecimal, over the digest before it and the change.
    pub digest: String,
    /// The change.
    pub change: Change,
}

/// The value of one matter and key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Slot {
    /// The version that set it last.
    pub version: u64,
    /// The value; `null` once it is removed, while the version is kept.
    pub body: Value,
}

/// The outcome of a change that is in the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The version that it made.
    pub version: u64,
    /// Whether it was in the state before.
    pub repeated: bool,
}
