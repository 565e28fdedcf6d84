//! The latest committed entries, retained so that a lagging replica can be sent entries instead of a snapshot.

use super::{CommittedEntry, LogIndex};
use std::collections::VecDeque;

/// Maximum number of retained entries. At 13,000 changes a day they cover 28 minutes, longer than a machine takes to
/// restart; a replica that lags further takes a snapshot.
const MAX_RETAINED_ENTRIES: usize = 256;
/// Maximum estimated size of the retained entries: half a megabyte, so that large bodies do not exhaust the memory.
const MAX_RETAINED_BYTES: usize = 512 * 1024;

/// The latest committed entries, newest last.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct RetainedEntries {
    entries: VecDeque<CommittedEntry>,
    bytes: usize,
}

impl RetainedEntries {
    /// Adds the newest entry and drops the oldest entries that exceed the limits.
    pub fn push(&mut self, entry: CommittedEntry) {
        self.bytes += entry.entry.estimated_size();
        self.entries.push_back(entry);
        while self.entries.len() > MAX_RETAINED_ENTRIES || self.bytes > MAX_RETAINED_BYTES {
            let Some(oldest) = self.entries.pop_front() else { break };
            self.bytes -= oldest.entry.estimated_size();
        }
    }

    /// Drops all entries, when a snapshot replaces them.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.bytes = 0;
    }

    /// The entries after `index`, where `last` is the index of the last applied entry; `None` if some are no longer
    /// retained, or `index` is beyond `last`.
    pub fn after(&self, index: LogIndex, last: LogIndex) -> Option<Vec<CommittedEntry>> {
        let first = self.entries.front().map_or(last + 1, |entry| entry.index);
        (index + 1 >= first && index <= last)
            .then(|| self.entries.iter().filter(|entry| entry.index > index).cloned().collect())
    }
}
