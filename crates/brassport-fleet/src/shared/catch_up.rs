//! Updates for replicas that are behind, and the detection of forks.

use super::{digest, Entry, Fault, Shared};
use crate::mutants::mutant;
use serde::{Deserialize, Serialize};

/// An update that brings a replica up to date.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The changes that the replica lacks, in order of version; empty if it is up to date.
    Changes(Vec<Entry>),
    /// The complete state, for a replica that is too far behind for changes.
    #[serde(rename = "Whole")]
    Snapshot(Box<Shared>),
}

impl Shared {
    /// The update for a replica that has this version and digest.
    ///
    /// # Errors
    /// [`Fault::Fork`] if this replica has another digest for that version, and [`Fault::Stale`] if the other replica is ahead
    /// of this one.
    pub fn since(&self, version: u64, digest: &str) -> Result<Update, Fault> {
        if version == self.version {
            return if digest == self.digest {
                Ok(Update::Changes(Vec::new()))
            } else {
                Err(Fault::Fork { version })
            };
        }
        let first = self.recent.front().map_or(self.version + 1, |entry| entry.version);
        if version > self.version {
            return Err(Fault::Stale { have: version, offered: self.version });
        }
        if version + 1 < first {
            return Ok(Update::Snapshot(Box::new(self.clone())));
        }
        let before = self.recent.iter().find(|entry| entry.version == version);
        if before.is_some_and(|entry| entry.digest != digest) {
            return Err(Fault::Fork { version });
        }
        Ok(Update::Changes(self.recent.iter().filter(|entry| entry.version > version).cloned().collect()))
    }

    /// Applies an update. For changes, the digest of each version is recomputed and must match the one in the update.
    ///
    /// # Errors
    /// The first fault in the update; the changes before it remain applied.
    pub fn catch_up(&mut self, update: Update) -> Result<(), Fault> {
        match update {
            Update::Changes(entries) => entries.iter().try_for_each(|entry| self.follow(entry)),
            Update::Snapshot(snapshot) => {
                if snapshot.version < self.version && !mutant!(StaleSnapshot) {
                    return Err(Fault::Stale { have: self.version, offered: snapshot.version });
                }
                if snapshot.version == self.version && snapshot.digest != self.digest {
                    return Err(Fault::Fork { version: self.version });
                }
                *self = *snapshot;
                Ok(())
            }
        }
    }

    /// Applies the change that made one version, unless this replica already has that version.
    fn follow(&mut self, entry: &Entry) -> Result<(), Fault> {
        if entry.version <= self.version {
            let applied = self.recent.iter().find(|applied| applied.version == entry.version);
            return match applied {
                Some(applied) if applied.digest != entry.digest => {
                    Err(Fault::Fork { version: entry.version })
                }
                _ => Ok(()),
            };
        }
        if entry.version != self.version + 1 {
            return Err(Fault::Gap { have: self.version, next: entry.version });
        }
        if digest::of_version(&self.digest, &entry.change) != entry.digest && !mutant!(ChainUnchecked) {
            return Err(Fault::Fork { version: entry.version });
        }
        self.apply(&entry.change).map_err(|_| Fault::Fork { version: entry.version })?;
        Ok(())
    }
}
