//! What one source has told of each of its rows, and which of two tellings goes before the other.
//!
//! The source numbers its changes with one rising index, as Raft does. A list of index `i` tells every row as it was
//! at `i`; an event of index `i` tells one row as it became at `i`. From that follows, for any order and repetition:
//! - an event counts if it is newer than what is known of its row, by an event or by the last whole list;
//! - a list that is fresh replaces all that is not newer than itself, and what it lacks is gone;
//! - a list that is stale drops nothing. Of what it names, only what was written later than is known counts;
//! - a list behind the newest one is passed over. A source that tells nothing else for [`Rules::behind_for`] has been
//!   restored, and its numbers begin anew: then its list counts, but a row that was held back or gone stays so until
//!   the source writes it again. So it is if its lists lack for that long what its events told;
//! - an empty list counts once it has been told for [`Rules::empty_for`] by answers that are fresh.

use crate::mutants::mutant;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Milliseconds of a monotonic clock, since any fixed start.
pub type Millis = u64;

/// A row's name.
pub type Id = Arc<str>;

/// What a row says.
pub trait Fact: Clone + PartialEq {
    /// Whether it holds something back: it must not be lost to an older word.
    fn holds_back(&self) -> bool;

    /// Whether it tells of another life than `old` under the same name: what was said of the old one is over.
    fn is_another_life(&self, old: &Self) -> bool {
        let _ = old;
        false
    }
}

/// How long is waited before a strange answer is believed, and how much is remembered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rules {
    /// So long a source must tell lists that are behind before its numbers count as begun anew.
    pub behind_for: Millis,
    /// So long a source must tell an empty list, as its first or after rows, before it counts.
    pub empty_for: Millis,
    /// Rows that are gone and still remembered, at the most; the oldest are forgotten.
    pub most_gone: usize,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules { behind_for: 10_000, empty_for: 5_000, most_gone: 4096 }
    }
}

/// Whether whoever answers vouches for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It is the newest state there is, or as good as that.
    Fresh,
    /// It may be behind: its absences prove nothing.
    Stale,
}

/// What became of a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// All of it counts.
    Whole,
    /// It was stale: what it has that is newer counts.
    Newer,
    /// It is behind what was told before: none of it counts yet.
    Behind,
    /// It is empty, which is not believed yet.
    Empty,
    /// The source was restored: all of it counts, and the numbers begin anew.
    Anew,
}

/// One row.
#[derive(Debug, Clone, PartialEq)]
pub struct Row<V> {
    /// `None`: gone.
    pub told: Option<V>,
    /// The source's index when it wrote this.
    pub revision: u64,
    /// Since when it says this.
    pub at: Millis,
    /// When this revision was told.
    heard: Millis,
    /// Outlived a restore: only a word written later than this counts.
    held_until: Option<u64>,
}

/// The rows of one source.
#[derive(Debug, Clone)]
pub struct Table<V> {
    rules: Rules,
    rows: BTreeMap<Id, Row<V>>,
    /// Rows that are gone, by the index at which they went.
    gone: BTreeSet<(u64, Id)>,
    /// Of rows that are not known, nothing at or below this counts as news: they may have been forgotten.
    floor: u64,
    /// Of the newest whole list.
    index: Option<u64>,
    behind_since: Option<Millis>,
    empty_since: Option<Millis>,
}

impl<V: Fact> Table<V> {
    /// A table of nothing.
    pub fn new(rules: Rules) -> Table<V> {
        Table {
            rules,
            rows: BTreeMap::new(),
            gone: BTreeSet::new(),
            floor: 0,
            index: None,
            behind_since: None,
            empty_since: None,
        }
    }

    /// The index of the newest whole list; `None` before there was one.
    pub fn index(&self) -> Option<u64> {
        self.index
    }

    /// A row that is there.
    pub fn get(&self, id: &str) -> Option<&V> {
        self.row(id)?.told.as_ref()
    }

    /// A row, there or gone.
    pub fn row(&self, id: &str) -> Option<&Row<V>> {
        self.rows.get(id)
    }

    /// The rows that are there.
    pub fn living(&self) -> impl Iterator<Item = (&Id, &V)> {
        self.rows.iter().filter_map(|(id, row)| Some((id, row.told.as_ref()?)))
    }

    /// How many are there.
    pub fn len(&self) -> usize {
        self.rows.len() - self.gone.len()
    }

    /// Whether none is there.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Rows remembered, there or gone.
    pub fn remembered(&self) -> usize {
        self.rows.len()
    }

    /// Takes in one row as it became at `revision`, `None` if it went. Whether that changed anything.
    pub fn tell(&mut self, now: Millis, id: &str, revision: u64, told: Option<V>) -> bool {
        let known = self.rows.get(id);
        let least = known.map_or(self.floor, |row| row.revision).max(self.index.unwrap_or(0));
        if revision <= least && !mutant!(TakeOldEvents) {
            return false;
        }
        if known.is_none() && told.is_none() {
            // Guards against an older word on a row that went before it was known.
            self.put(id.into(), Row { told: None, revision, at: now, heard: now, held_until: None });
            return false;
        }
        let changed = known.is_none_or(|row| row.told != told);
        let at = known.filter(|_| !changed).map_or(now, |row| row.at);
        self.put(id.into(), Row { told, revision, at, heard: now, held_until: None });
        changed
    }

    /// A row that is there counts as gone from now on, until it is written again: nothing needs what it says.
    pub fn forget(&mut self, now: Millis, id: &str) {
        if let Some((id, row)) = self.rows.get_key_value(id).filter(|(_, row)| row.told.is_some()) {
            let (id, revision, held_until) = (id.clone(), row.revision, row.held_until);
            self.put(id, Row { told: None, revision, at: now, heard: now, held_until });
        }
    }

    /// Takes in a list of all rows at `index`, each with the revision of its last change. The names of the rows that
    /// changed are added to `changed`.
    pub fn tell_all(
        &mut self,
        now: Millis,
        index: u64,
        standing: Standing,
        rows: Vec<(Id, u64, V)>,
        changed: &mut Vec<Id>,
    ) -> Taken {
        if standing == Standing::Stale && !mutant!(DropOnStaleAbsence) {
            for (id, revision, value) in rows {
                if self.tell(now, &id, revision, Some(value)) {
                    changed.push(id);
                }
            }
            return Taken::Newer;
        }
        let behind = self.index.is_some_and(|newest| index < newest) && !mutant!(TrustLowerIndex);
        // A source that still does not list what its events told so long ago has forgotten it.
        let forgot =
            |row: &Row<V>| row.revision > index && now.saturating_sub(row.heard) >= self.rules.behind_for;
        let anew = match (behind, self.behind_since) {
            (false, _) => self.rows.values().any(forgot),
            (true, Some(since)) => now.saturating_sub(since) >= self.rules.behind_for,
            (true, None) => {
                self.behind_since = Some(now);
                false
            }
        };
        if behind && !anew {
            return Taken::Behind;
        }
        // A first list that is empty is as strange as any: the front door may know nodes from an earlier time.
        if rows.is_empty() && (!self.is_empty() || self.index.is_none()) && !mutant!(TrustEmptyList) {
            let since = *self.empty_since.get_or_insert(now);
            if now.saturating_sub(since) < self.rules.empty_for {
                return Taken::Empty;
            }
        }
        if anew {
            self.begin_anew(index);
        }
        (self.behind_since, self.empty_since) = (None, None);
        self.index = Some(index);
        self.replace(now, index, rows, changed);
        if anew {
            Taken::Anew
        } else {
            Taken::Whole
        }
    }

    /// The source's numbers have begun anew at `index`. Guards a drained node against a server that was restored to
    /// a time before the drain: what holds back, and what went, stays so until the source writes it again.
    fn begin_anew(&mut self, index: u64) {
        self.gone.clear();
        self.floor = self.floor.min(index);
        for (id, row) in &mut self.rows {
            row.revision = row.revision.min(index);
            let kept = row.told.as_ref().is_none_or(Fact::holds_back) && !mutant!(ReadyAgainAfterRestore);
            row.held_until = kept.then_some(index);
            if row.told.is_none() {
                self.gone.insert((row.revision, id.clone()));
            }
        }
    }

    fn replace(&mut self, now: Millis, index: u64, rows: Vec<(Id, u64, V)>, changed: &mut Vec<Id>) {
        let mut listed = BTreeSet::new();
        for (id, revision, value) in rows {
            listed.insert(id.clone());
            let known = self.rows.get(&id);
            let newer = known.is_some_and(|row| row.revision > index && !mutant!(TrustLowerIndex));
            let held = known.is_some_and(|row| {
                let another = row.told.as_ref().is_some_and(|old| value.is_another_life(old));
                row.held_until.is_some_and(|until| revision <= until) && !another
            });
            if newer || held {
                continue;
            }
            let same = known.filter(|row| row.told.as_ref() == Some(&value));
            let at = same.map_or(now, |row| row.at);
            if same.is_none() {
                changed.push(id.clone());
            }
            self.put(id, Row { told: Some(value), revision, at, heard: now, held_until: None });
        }
        let lacks = |(id, row): (&Id, &Row<V>)| {
            (row.told.is_some() && row.revision <= index && !listed.contains(id)).then(|| id.clone())
        };
        let absent: Vec<Id> = self.rows.iter().filter_map(lacks).collect();
        for id in absent {
            changed.push(id.clone());
            self.put(id, Row { told: None, revision: index, at: now, heard: now, held_until: None });
        }
    }

    fn put(&mut self, id: Id, row: Row<V>) {
        let (went, revision) = (row.told.is_none(), row.revision);
        if let Some(old) = self.rows.insert(id.clone(), row).filter(|old| old.told.is_none()) {
            self.gone.remove(&(old.revision, id.clone()));
        }
        if went {
            self.gone.insert((revision, id));
        }
        // Guards the memory: in a rolling update every node has a new name.
        while self.gone.len() > self.rules.most_gone {
            if let Some((revision, id)) = self.gone.pop_first() {
                self.rows.remove(&id);
                self.floor = self.floor.max(revision);
            }
        }
    }
}
