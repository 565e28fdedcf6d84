//! The shared state: the result of applying the changes in the fleet's replicated log in order.
//!
//! Keys are grouped into *matters*, such as bans of nodes, settings, and members of the fleet. A change sets or removes one
//! key of one matter. The set of matters is open: an older program keeps and forwards matters that a newer one introduced.
//! Every applied change makes one version, whose digest covers all versions before it. Two instances with the same version and
//! digest have the same state.

mod catch_up;
mod change;
mod digest;
mod error;

pub use catch_up::Update;
pub use change::{Change, Done, Entry, Process, Slot, BAN, DOOR, LEASE, SETTINGS, STRICTNESS};
pub use digest::hexadecimal;
pub use error::{Fault, Refusal};

use crate::mutants::mutant;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The maximum size of a change as JSON, in bytes. The settings of a large site take tens of thousands of bytes.
pub const MAX_CHANGE_BYTES: usize = 256 * 1024;
/// The number of latest changes kept for replicas that are behind; a replica further behind gets a snapshot.
const RECENT_CHANGES_KEPT: usize = 1024;
/// The number of change identifiers kept to recognize repeated changes.
const CHANGE_IDS_KEPT: usize = 4096;

/// The shared state at one version.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Shared {
    version: u64,
    digest: String,
    /// The version of the last change with a fence.
    fenced: u64,
    slots: BTreeMap<String, BTreeMap<String, Slot>>,
    /// The version and the content digest of the latest changes, by change identifier.
    #[serde(rename = "names")]
    ids: BTreeMap<String, (u64, String)>,
    /// The identifiers in `ids`, oldest first.
    #[serde(rename = "names_order")]
    ids_by_age: VecDeque<String>,
    /// The latest changes; not part of a snapshot.
    #[serde(skip)]
    recent: VecDeque<Entry>,
}

impl Shared {
    /// The current version: the number of changes applied so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The digest over all versions up to the current one; empty at version 0.
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// The version of the last change with a fence, 0 without one: the leader grants no right to a gateway instance
    /// with an older version.
    pub fn fenced(&self) -> u64 {
        self.fenced
    }

    /// The value of a key; `None` if it was never set or has been removed.
    pub fn get(&self, matter: &str, key: &str) -> Option<&Slot> {
        self.slots.get(matter)?.get(key).filter(|slot| !slot.body.is_null())
    }

    /// The keys of a matter with their values, in order of key, without removed ones.
    pub fn all(&self, matter: &str) -> impl Iterator<Item = (&str, &Slot)> {
        let slots = self.slots.get(matter).into_iter().flatten();
        slots.filter(|(_, slot)| !slot.body.is_null()).map(|(key, slot)| (key.as_str(), slot))
    }

    /// All matters, including those whose values have all been removed.
    pub fn matters(&self) -> impl Iterator<Item = &str> {
        self.slots.keys().map(String::as_str)
    }

    /// Whether gateway instances must have changes of this matter within a time limit or stop acting. By default only
    /// bans are strict; operators set others through the matter [`STRICTNESS`].
    pub fn is_strict(&self, matter: &str) -> bool {
        match self.get(STRICTNESS, matter).and_then(|slot| slot.body.as_str()) {
            Some(strictness) => strictness == "strict",
            None => matter == BAN,
        }
    }

    /// Applies a change, unless it was applied before.
    ///
    /// # Errors
    /// The reason for a refusal; the state is then unchanged.
    pub fn apply(&mut self, change: &Change) -> Result<Done, Refusal> {
        if let Some(field) = change.missing_field() {
            return Err(Refusal::Incomplete(field.into()));
        }
        let bytes = digest::encode(change).len();
        if bytes > MAX_CHANGE_BYTES {
            return Err(Refusal::TooLarge { bytes });
        }
        let content = digest::of_content(change);
        if let Some(done) = self.applied_before(change, &content)? {
            return Ok(done);
        }
        let current = self.slots.get(&change.matter).and_then(|keys| keys.get(&change.key));
        let current = current.map_or(0, |slot| slot.version);
        if change.seen.is_some_and(|seen| seen != current) && !mutant!(ConflictIgnored) {
            return Err(Refusal::Conflict { version: current });
        }
        self.append(change);
        self.remember_id(change, content);
        Ok(Done { version: self.version, repeated: false })
    }

    /// The result of a change that was applied before; `None` if it is new.
    fn applied_before(&self, change: &Change, content: &str) -> Result<Option<Done>, Refusal> {
        match self.ids.get(&change.id).filter(|_| !mutant!(IdIgnored)) {
            Some((version, applied)) if applied == content => {
                Ok(Some(Done { version: *version, repeated: true }))
            }
            Some((version, _)) => Err(Refusal::IdUsed { version: *version }),
            None => Ok(None),
        }
    }

    /// Makes the next version from a change that has been checked.
    fn append(&mut self, change: &Change) {
        self.version += 1;
        self.digest = digest::of_version(&self.digest, change);
        if change.fence {
            self.fenced = self.version;
        }
        let slot = Slot { version: self.version, body: change.body.clone() };
        self.slots.entry(change.matter.clone()).or_default().insert(change.key.clone(), slot);
        let entry = Entry { version: self.version, digest: self.digest.clone(), change: change.clone() };
        self.recent.push_back(entry);
        if self.recent.len() > RECENT_CHANGES_KEPT {
            self.recent.pop_front();
        }
    }

    /// Stores the identifier of the change that made the current version.
    fn remember_id(&mut self, change: &Change, content: String) {
        // Lease updates are conditional on the lease's last version, so a repeated one is refused without its identifier. If
        // these identifiers were kept, frequent renewals would evict those of the operators' changes.
        let is_new = !change.is_lease_update()
            && self.ids.insert(change.id.clone(), (self.version, content)).is_none();
        if is_new {
            self.ids_by_age.push_back(change.id.clone());
        }
        if self.ids_by_age.len() > CHANGE_IDS_KEPT {
            self.ids_by_age.pop_front().and_then(|oldest| self.ids.remove(&oldest));
        }
    }

    /// The latest changes, oldest first; at most 1024, and none from before the last snapshot that was applied.
    pub fn recent(&self) -> impl Iterator<Item = &Entry> {
        self.recent.iter()
    }

    /// The version and digest that gateway instances act on: those of the last change of any matter except leases. If
    /// that change is not among the recent ones, the current version and digest.
    pub fn acted_under(&self) -> (u64, &str) {
        let others = self.slots.iter().filter(|(matter, _)| *matter != LEASE);
        let last = others.flat_map(|(_, keys)| keys.values()).map(|slot| slot.version).max().unwrap_or(0);
        let entry = self.recent.iter().find(|entry| entry.version == last);
        entry.map_or((self.version, &self.digest), |entry| (last, &entry.digest))
    }

    /// The version of the last change of a strict matter, 0 without one.
    pub fn last_strict(&self) -> u64 {
        let strict = self.slots.iter().filter(|(matter, _)| self.is_strict(matter));
        strict.flat_map(|(_, keys)| keys.values()).map(|slot| slot.version).max().unwrap_or(0)
    }

    /// The members of the fleet, each with the process that currently owns its name.
    pub fn doors(&self) -> impl Iterator<Item = (&str, Process)> {
        let process = |slot: &Slot| serde_json::from_value(slot.body.clone()).unwrap_or_default();
        self.all(DOOR).map(move |(door, slot)| (door, process(slot)))
    }

    /// The names of all banned nodes.
    pub fn bans(&self) -> BTreeSet<String> {
        self.all(BAN).map(|(node, _)| node.to_string()).collect()
    }
}
