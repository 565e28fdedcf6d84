//! Changes to the shared state, the matters that they belong to, and their results.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The matter of the fleet's members: each gateway instance with its current process, a [`Process`].
pub const DOOR: &str = "door";
/// The matter of banned nodes, by node.
pub const BAN: &str = "ban";
/// The matter of settings: a proxy's complete configuration, as text.
pub const SETTINGS: &str = "settings";
/// The matter of leases, by task: the holders of the tasks that run once in the fleet. Gateway instances do not act on
/// it.
pub const LEASE: &str = "lease";
/// The matter that sets the strictness of other matters, by matter: "strict" if gateway instances must have its changes
/// within [`crate::grants::Terms::strict_grace`] or stop acting, else "lax".
pub const STRICTNESS: &str = "strictness";

/// A change to one key, as its author submits it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// The identifier, chosen by the author. A change that is submitted again with the same identifier is applied once.
    pub id: String,
    /// The author; informational.
    pub author: String,
    /// The reason for the change; informational.
    pub reason: String,
    /// Wall-clock time of the instance that accepted the change, in Unix milliseconds; informational.
    #[serde(default)]
    pub at_ms: u64,
    /// The matter that the key belongs to, such as [`BAN`].
    pub matter: String,
    /// The key within the matter.
    pub key: String,
    /// The new value of the key; `null` removes it.
    pub body: Value,
    /// The version of this matter and key that the author read, 0 if the key was not set. If the current version differs, the
    /// change is refused. `None`: the change applies to any version.
    #[serde(default)]
    pub seen: Option<u64>,
    /// Whether the change has a fence: once the fence is reported to hold, no gateway instance acts on an older
    /// version.
    #[serde(default)]
    pub fence: bool,
}

impl Change {
    /// A change that applies to any version and has no fence.
    pub fn new(id: &str, author: &str, reason: &str, matter: &str, key: &str, body: Value) -> Change {
        let (id, author, reason) = (id.into(), author.into(), reason.into());
        let (matter, key) = (matter.into(), key.into());
        Change { id, author, reason, at_ms: 0, matter, key, body, seen: None, fence: false }
    }

    /// Whether the change renews or transfers a lease, conditional on that lease's last version.
    pub(super) fn is_lease_update(&self) -> bool {
        self.matter == LEASE && self.seen.is_some()
    }

    /// The name of the first required field that is empty.
    pub(super) fn missing_field(&self) -> Option<&'static str> {
        let required =
            [("id", &self.id), ("author", &self.author), ("reason", &self.reason), ("matter", &self.matter)];
        required.into_iter().find(|(_, text)| text.trim().is_empty()).map(|(name, _)| name)
    }
}

/// A gateway instance's current process: the body of a change of the matter [`DOOR`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Process {
    /// The process's identifier: a random number drawn at its start.
    pub process: u64,
    /// Whether all earlier processes with the gateway instance's name are known to have ended. A process may claim this
    /// if it owns the lock of its predecessor's directory, the predecessor had a right or was alone itself, and the
    /// predecessor's entry is the one that this change replaces ([`Change::seen`]). If another process, started from a
    /// copy of the directory, has registered in between, the change is refused.
    #[serde(default)]
    pub alone: bool,
}

/// A change that was applied.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The version that the change made.
    pub version: u64,
    /// SHA-256 over the digest of the version before and the change, in hexadecimal.
    pub digest: String,
    /// The change.
    pub change: Change,
}

/// The value of one matter and key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Slot {
    /// The last version that set or removed the value.
    pub version: u64,
    /// The value; `null` after its removal, which keeps the version.
    pub body: Value,
}

/// The result of submitting a change that is part of the state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The version that the change made.
    pub version: u64,
    /// Whether the change had already been applied by an earlier submission.
    pub repeated: bool,
}
