//! The latest committed entries, kept so that a replica that lags behind can be sent entries in place of a snapshot.

use super::{CommittedEntry, LogIndex};
use std::collections::VecDeque;

/// How many entries are retained. At 13,000 changes a day they reach back 28 minutes, longer than a machine takes to
/// restart; who lags further takes a snapshot.
const RETAINED_ENTRIES: usize = 256;
/// How many bytes of entries are retained: half a megabyte, so that large bodies do not fill the memory.
const RETAINED_BYTES: usize = 512 * 1024;

/// The latest committed entries, the newest last.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct RetainedEntries {
    entries: VecDeque<CommittedEntry>,
    bytes: usize,
}

impl RetainedEntries {
    /// Adds the newest entry, and drops the oldest that exceed the bounds.
    pub fn push(&mut self, entry: CommittedEntry) {
        self.bytes += entry.entry.estimated_size();
        self.entries.push_back(entry);
        while self.entries.len() > RETAINED_ENTRIES || self.bytes > RETAINED_BYTES {
            let Some(oldest) = self.entries.pop_front() else { break };
            self.bytes -= oldest.entry.estimated_size();
        }
    }

    /// Drops all: a snapshot took their place.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    /// The entries after an index, where `last` is the last one applied; `None` if some are no longer retained.
    pub fn after(&self, index: LogIndex, last: LogIndex) -> Option<Vec<CommittedEntry>> {
        let first = self.entries.front().map_or(last + 1, |entry| entry.index);
        (index + 1 >= first && index <= last)
            .then(|| self.entries.iter().filter(|entry| entry.index > index).cloned().collect())
    }
}
