//! Positions in the replicated log, and terms of leadership.

use crate::DiskId;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, AddAssign, Sub};

/// The position of an entry in the replicated log. The first entry has index 1; 0 stands before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// The index before this one; that before 0 is 0.
    pub fn previous(self) -> LogIndex {
        LogIndex(self.0.saturating_sub(1))
    }

    /// How many entries this index is ahead of another; 0 if it is behind.
    pub fn saturating_sub(self, other: LogIndex) -> u64 {
        self.0.saturating_sub(other.0)
    }
}

impl Add<u64> for LogIndex {
    type Output = LogIndex;

    /// The index so many entries later.
    ///
    /// # Panics
    /// On overflow, where overflow checks are on.
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

    /// How many entries this index is ahead of another that is not behind it.
    ///
    /// # Panics
    /// If the other is ahead, where overflow checks are on; see [`LogIndex::saturating_sub`].
    fn sub(self, other: LogIndex) -> u64 {
        self.0 - other.0
    }
}

impl fmt::Display for LogIndex {
    /// The plain decimal number.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A period of leadership. Terms are ordered by their number first; the candidate's disk makes sure that no two
/// leaders ever have the same term.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(from = "(u64, DiskId)", into = "(u64, DiskId)")]
pub struct Term {
    /// How often leadership was sought before, as far as the candidate knew, and once more.
    pub number: u64,
    /// The disk of the candidate.
    pub disk: DiskId,
}

impl Term {
    /// The term before any leader.
    pub const ZERO: Term = Term { number: 0, disk: DiskId::NONE };

    /// A term by its number and the candidate's disk.
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
    /// The number and the disk, both decimal, in parentheses.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "({}, {})", self.number, self.disk.0)
    }
}
