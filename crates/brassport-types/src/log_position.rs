//! Positions in the replicated log, and leadership terms.

use crate::DiskId;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign, Sub};

/// The position of an entry in the replicated log. The first entry has index 1; 0 is the position before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// Returns the previous index; 0 for index 0.
    pub fn previous(self) -> LogIndex {
        LogIndex(self.0.saturating_sub(1))
    }

    /// Returns the number of entries from `other` to this index; 0 if this index is lower.
    pub fn saturating_sub(self, other: LogIndex) -> u64 {
        self.0.saturating_sub(other.0)
    }
}

impl Add<u64> for LogIndex {
    type Output = LogIndex;

    /// Returns the index that is this number of entries later.
    ///
    /// # Panics
    /// On overflow, if overflow checks are enabled.
    fn add(self, entries: u64) -> LogIndex {
        LogIndex(self.0 + entries)
    }
}

impl AddAssign<u64> for LogIndex {
    fn add_assign(&mut self, entries: u64) {
        self.0 += entries;
    }
}

impl Sub<LogIndex> for LogIndex {
    type Output = u64;

    /// Returns the number of entries from `other`, which must not be higher, to this index.
    ///
    /// # Panics
    /// If `other` is higher and overflow checks are enabled; see [`LogIndex::saturating_sub`].
    fn sub(self, other: LogIndex) -> u64 {
        self.0 - other.0
    }
}

impl fmt::Display for LogIndex {
    /// Writes the decimal number.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A leadership term. Terms are ordered by number and then by the candidate's disk, which ensures that no two
/// leaders have the same term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, DiskId)", into = "(u64, DiskId)")]
pub struct Term {
    /// One more than the highest number that the candidate knew when it started its campaign.
    pub number: u64,
    /// Identity of the candidate's disk.
    pub disk: DiskId,
}

impl Term {
    /// The term before the first leader.
    pub const ZERO: Term = Term { number: 0, disk: DiskId::NONE };

    /// Creates a term from its number and the candidate's disk.
    pub const fn new(number: u64, disk: DiskId) -> Term {
        Term { number, disk }
    }
}

impl From<(u64, DiskId)> for Term {
    fn from((number, disk): (u64, DiskId)) -> Term {
        Term { number, disk }
    }
}

impl From<Term> for (u64, DiskId) {
    fn from(term: Term) -> (u64, DiskId) {
        (term.number, term.disk)
    }
}

impl fmt::Display for Term {
    /// Writes the number and the disk in parentheses, both as decimal numbers.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "({}, {})", self.number, self.disk.0)
    }
}
