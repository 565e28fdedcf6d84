//! The shared state: what the fleet's replicated log says, one change after another.
//!
//! A change sets one key of one matter: a ban of a node, the settings, a door's membership. Matters are open: what a newer
//! program publishes is kept and forwarded by an older one. Every change that is applied makes one version, whose digest
//! covers all versions before it; two instances with the same version and digest have the same state.

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

/// The largest change, in bytes as JSON: settings of a large site take some tens of thousands.
pub const MAX_CHANGE_BYTES: usize = 256 * 1024;
/// Changes by which a replica that is behind can be brought up to date; one further behind gets a snapshot.
const RECENT_CHANGES_KEPT: usize = 1024;
/// Identifiers of changes that are kept, so that a repeated one is applied once.
const CHANGE_IDS_KEPT: usize = 4096;

/// The state, up to one version.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Shared {
    version: u64,
    digest: String,
    /// The version of the last change with a fence.
    fenced: u64,
    slots: BTreeMap<String, BTreeMap<String, Slot>>,
    /// The version and the content's digest of the latest changes, by identifier.
    #[serde(rename = "names")]
    ids: BTreeMap<String, (u64, String)>,
    /// The same identifiers, the oldest first.
    #[serde(rename = "names_order")]
    ids_by_age: VecDeque<String>,
    /// The latest changes, which are not part of a snapshot.
    #[serde(skip)]
    recent: VecDeque<Entry>,
}

impl Shared {
    /// The number of changes that were applied.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The digest over all versions up to this one; empty before the first.
    pub fn digest(&self) -> &str {
        &self.digest
    }

    /// The version of the last change with a fence: doors must not act on an older one.
    pub fn fenced(&self) -> u64 {
        self.fenced
    }

    /// The value of a matter and key, if there is one.
    pub fn get(&self, matter: &str, key: &str) -> Option<&Slot> {
        self.slots.get(matter)?.get(key).filter(|slot| !slot.body.is_null())
    }

    /// All values of a matter, by key.
    pub fn all(&self, matter: &str) -> impl Iterator<Item = (&str, &Slot)> {
        let slots = self.slots.get(matter).into_iter().flatten();
        slots.filter(|(_, slot)| !slot.body.is_null()).map(|(key, slot)| (key.as_str(), slot))
    }

    /// All matters, also those whose values were all removed.
    pub fn matters(&self) -> impl Iterator<Item = &str> {
        self.slots.keys().map(String::as_str)
    }

    /// Whether doors must have this matter in time or stop. Bans are so unless operators say otherwise.
    pub fn is_strict(&self, matter: &str) -> bool {
        match self.get(STRICTNESS, matter).and_then(|slot| slot.body.as_str()) {
            Some(strictness) => strictness == "strict",
            None => matter == BAN,
        }
    }

    /// Applies a change, once.
    ///
    /// # Errors
    /// Why it is refused; the state is unchanged.
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

    /// The outcome of a change that was applied before, if it was.
    fn applied_before(&self, change: &Change, content: &str) -> Result<Option<Done>, Refusal> {
        match self.ids.get(&change.id).filter(|_| !mutant!(IdIgnored)) {
            Some((version, applied)) if applied == content => {
                Ok(Some(Done { version: *version, repeated: true }))
            }
            Some((version, _)) => Err(Refusal::IdUsed { version: *version }),
            None => Ok(None),
        }
    }

    /// Makes the next version of a change that was checked.
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

    /// Keeps the identifier of the change that made this version.
    fn remember_id(&mut self, change: &Change, content: String) {
        // A lease is changed against its last version alone: repeated it is refused. If they were kept, renewals would push out
        // the identifiers of what people publish.
        let is_new = !change.is_lease_update()
            && self.ids.insert(change.id.clone(), (self.version, content)).is_none();
        if is_new {
            self.ids_by_age.push_back(change.id.clone());
        }
        if self.ids_by_age.len() > CHANGE_IDS_KEPT {
            self.ids_by_age.pop_front().and_then(|oldest| self.ids.remove(&oldest));
        }
    }

    /// The latest changes, the earliest first; at most 1024, and none from before a snapshot.
    pub fn recent(&self) -> impl Iterator<Item = &Entry> {
        self.recent.iter()
    }

    /// The version and the digest that doors act under: those of the last change of any matter but leases, if it is among the
    /// recent ones, and else the current ones.
    pub fn acted_under(&self) -> (u64, &str) {
        let others = self.slots.iter().filter(|(matter, _)| *matter != LEASE);
        let last = others.flat_map(|(_, keys)| keys.values()).map(|slot| slot.version).max().unwrap_or(0);
        let entry = self.recent.iter().find(|entry| entry.version == last);
        entry.map_or((self.version, &self.digest), |entry| (last, &entry.digest))
    }

    /// The version of the last change of a strict matter; 0 without one.
    pub fn last_strict(&self) -> u64 {
        let strict = self.slots.iter().filter(|(matter, _)| self.is_strict(matter));
        strict.flat_map(|(_, keys)| keys.values()).map(|slot| slot.version).max().unwrap_or(0)
    }

    /// The members of the fleet, each with the process that may act under its name.
    pub fn doors(&self) -> impl Iterator<Item = (&str, Process)> {
        let process = |slot: &Slot| serde_json::from_value(slot.body.clone()).unwrap_or_default();
        self.all(DOOR).map(move |(door, slot)| (door, process(slot)))
    }

    /// Nodes that are banned.
    pub fn bans(&self) -> BTreeSet<String> {
        self.all(BAN).map(|(node, _)| node.to_string()).collect()
    }
}
