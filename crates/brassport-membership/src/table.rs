//! The rows of one source, and which of two updates of a row takes precedence.
//!
//! The source numbers its changes with one rising index, as Raft does. A list of index `i` has every row as it was
//! at `i`; an event of index `i` has one row as it became at `i`. From that follows, for any order and repetition:
//! - an event applies if it is newer than what is known of its row, by an event or by the last full list;
//! - a list that is fresh replaces all that is not newer than itself, and what it lacks is removed;
//! - a list that is stale removes nothing. Of what it names, only what was written later than is known applies;
//! - a list behind the newest one is ignored. A source that sends nothing else for [`Rules::behind_for`] has been
//!   restored, and its index begins anew: then its list applies, but a row that was restrictive or removed stays so until
//!   the source writes it again. So it is if its lists lack for that long what its events brought;
//! - an empty list applies once it has been sent for [`Rules::empty_for`] by answers that are fresh.

use crate::mutants::mutant;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// Milliseconds of a monotonic clock, since any fixed start.
pub type Millis = u64;

/// The name of a row, or of a node.
pub type Id = Arc<str>;

/// The value of a row.
pub trait Value: Clone + PartialEq {
    /// Whether it restricts what may be sent to a node: it must not be lost to an older value.
    fn is_restrictive(&self) -> bool;

    /// Whether it is of a later incarnation than `old` under the same name: what `old` restricted is over.
    fn is_new_incarnation(&self, old: &Self) -> bool {
        let _ = old;
        false
    }
}

/// The delays before a suspicious answer is accepted, and how much is remembered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rules {
    /// For how long, in milliseconds, a source must send lists that are behind before its index counts as begun anew.
    pub behind_for: Millis,
    /// For how long, in milliseconds, a source must send an empty list, as its first or after rows, before it applies.
    pub empty_for: Millis,
    /// Most rows that are removed and still remembered; the oldest are forgotten.
    pub max_removed: usize,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules { behind_for: 10_000, empty_for: 5_000, max_removed: 4096 }
    }
}

/// Whether the server that answers vouches for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Freshness {
    /// It is the newest state there is, or as good as that.
    Fresh,
    /// It may be behind: its absences prove nothing.
    Stale,
}

/// The outcome of a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// All of it applies.
    Whole,
    /// It was stale: what it has that is newer applies.
    Newer,
    /// It is behind what was known before: none of it applies yet.
    Behind,
    /// It is empty, which is not accepted yet.
    Empty,
    /// The source was restored: all of it applies, and the index begins anew.
    Anew,
}

/// A row of a list.
#[derive(Debug, Clone, PartialEq)]
pub struct ListRow<V> {
    /// The row's name.
    pub id: Id,
    /// The source's index when it last wrote the row.
    pub revision: u64,
    /// The row's value.
    pub value: V,
}

/// What is known of a row.
#[derive(Debug, Clone, PartialEq)]
pub struct Row<V> {
    /// `None`: removed.
    pub value: Option<V>,
    /// The source's index when it wrote this.
    pub revision: u64,
    /// Since when it has this value.
    pub since_ms: Millis,
    /// When this revision arrived.
    arrived_ms: Millis,
    /// Retained over a restore: only a value written later than this revision applies.
    retained_until: Option<u64>,
}

impl<V> Row<V> {
    fn new(now: Millis, revision: u64, value: Option<V>) -> Row<V> {
        Row { value, revision, since_ms: now, arrived_ms: now, retained_until: None }
    }
}

/// The rows of one source.
#[derive(Debug, Clone)]
pub struct Table<V> {
    rules: Rules,
    rows: BTreeMap<Id, Row<V>>,
    /// Rows that are removed, by the index at which they were.
    removed: BTreeSet<(u64, Id)>,
    /// Of rows that are not known, nothing at or below this index applies: they may have been forgotten.
    floor: u64,
    /// Of the newest full list.
    index: Option<u64>,
    behind_since: Option<Millis>,
    empty_since: Option<Millis>,
}

impl<V: Value> Table<V> {
    /// A table without rows.
    pub fn new(rules: Rules) -> Table<V> {
        Table {
            rules,
            rows: BTreeMap::new(),
            removed: BTreeSet::new(),
            floor: 0,
            index: None,
            behind_since: None,
            empty_since: None,
        }
    }

    /// The index of the newest full list; `None` before there was one.
    pub fn index(&self) -> Option<u64> {
        self.index
    }

    /// The value of a row that is present.
    pub fn get(&self, id: &str) -> Option<&V> {
        self.row(id)?.value.as_ref()
    }

    /// A row, present or removed.
    pub fn row(&self, id: &str) -> Option<&Row<V>> {
        self.rows.get(id)
    }

    /// The rows that are present.
    pub fn present(&self) -> impl Iterator<Item = (&Id, &V)> {
        self.rows.iter().filter_map(|(id, row)| Some((id, row.value.as_ref()?)))
    }

    /// How many rows are present.
    pub fn len(&self) -> usize {
        self.rows.len() - self.removed.len()
    }

    /// Whether none is present.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// How many rows are remembered, present or removed.
    pub fn remembered(&self) -> usize {
        self.rows.len()
    }

    /// Applies an event: one row as it became at `revision`, `None` if it was removed. Whether that changed anything.
    pub fn apply(&mut self, now: Millis, id: &str, revision: u64, value: Option<V>) -> bool {
        let known = self.rows.get(id);
        let least = known.map_or(self.floor, |row| row.revision).max(self.index.unwrap_or(0));
        if revision <= least && !mutant!(TakeOldEvents) {
            return false;
        }
        if known.is_none() && value.is_none() {
            // Guards against an older value of a row that was removed before it was known.
            self.put(id.into(), Row::new(now, revision, None));
            return false;
        }
        let changed = known.is_none_or(|row| row.value != value);
        let since_ms = known.filter(|_| !changed).map_or(now, |row| row.since_ms);
        self.put(id.into(), Row { since_ms, ..Row::new(now, revision, value) });
        changed
    }

    /// Counts a row that is present as removed from now on, until it is written again: nothing needs its value.
    pub fn forget(&mut self, now: Millis, id: &str) {
        if let Some((id, row)) = self.rows.get_key_value(id).filter(|(_, row)| row.value.is_some()) {
            let (id, revision, retained_until) = (id.clone(), row.revision, row.retained_until);
            self.put(id, Row { retained_until, ..Row::new(now, revision, None) });
        }
    }

    /// Applies a list of all rows at `index`. The names of the rows that changed are added to `changed`.
    pub fn apply_list(
        &mut self,
        now: Millis,
        index: u64,
        freshness: Freshness,
        rows: Vec<ListRow<V>>,
        changed: &mut Vec<Id>,
    ) -> Taken {
        if freshness == Freshness::Stale && !mutant!(DropOnStaleAbsence) {
            for ListRow { id, revision, value } in rows {
                if self.apply(now, &id, revision, Some(value)) {
                    changed.push(id);
                }
            }
            return Taken::Newer;
        }
        let is_behind = self.index.is_some_and(|newest| index < newest) && !mutant!(TrustLowerIndex);
        let is_restored =
            if is_behind { self.was_behind_for_long(now) } else { self.lacks_old_events(now, index) };
        if is_behind && !is_restored {
            return Taken::Behind;
        }
        if rows.is_empty() && !self.accepts_empty(now) {
            return Taken::Empty;
        }
        if is_restored {
            self.begin_anew(index);
        }
        (self.behind_since, self.empty_since) = (None, None);
        self.index = Some(index);
        self.replace(now, index, rows, changed);
        if is_restored {
            Taken::Anew
        } else {
            Taken::Whole
        }
    }

    /// Whether the source's lists have been behind for long enough to count as restored; the first starts the time.
    fn was_behind_for_long(&mut self, now: Millis) -> bool {
        match self.behind_since {
            Some(since) => now.saturating_sub(since) >= self.rules.behind_for,
            None => {
                self.behind_since = Some(now);
                false
            }
        }
    }

    /// Whether a list of this index should have a row that an event brought so long ago that the source must have
    /// forgotten it.
    fn lacks_old_events(&self, now: Millis, index: u64) -> bool {
        self.rows
            .values()
            .any(|row| row.revision > index && now.saturating_sub(row.arrived_ms) >= self.rules.behind_for)
    }

    /// Whether an empty list is accepted; the first that is not starts the time. A first list that is empty is as
    /// suspicious as any: the reader may know nodes from an earlier run.
    fn accepts_empty(&mut self, now: Millis) -> bool {
        let is_expected = self.is_empty() && self.index.is_some();
        if is_expected || mutant!(TrustEmptyList) {
            return true;
        }
        let since = *self.empty_since.get_or_insert(now);
        now.saturating_sub(since) >= self.rules.empty_for
    }

    /// The source's index has begun anew at `index`. Guards a drained node against a server that was restored to
    /// a time before the drain: what is restrictive, and what was removed, stays so until the source writes it again.
    fn begin_anew(&mut self, index: u64) {
        self.removed.clear();
        self.floor = self.floor.min(index);
        for (id, row) in &mut self.rows {
            row.revision = row.revision.min(index);
            let is_retained = row.value.as_ref().is_none_or(Value::is_restrictive);
            row.retained_until = (is_retained && !mutant!(ReadyAgainAfterRestore)).then_some(index);
            if row.value.is_none() {
                self.removed.insert((row.revision, id.clone()));
            }
        }
    }

    fn replace(&mut self, now: Millis, index: u64, rows: Vec<ListRow<V>>, changed: &mut Vec<Id>) {
        let mut listed = BTreeSet::new();
        for row in rows {
            listed.insert(row.id.clone());
            self.replace_row(now, index, row, changed);
        }
        let lacks = |(id, row): (&Id, &Row<V>)| {
            (row.value.is_some() && row.revision <= index && !listed.contains(id)).then(|| id.clone())
        };
        let absent: Vec<Id> = self.rows.iter().filter_map(lacks).collect();
        for id in absent {
            changed.push(id.clone());
            self.put(id, Row::new(now, index, None));
        }
    }

    fn replace_row(&mut self, now: Millis, index: u64, row: ListRow<V>, changed: &mut Vec<Id>) {
        let ListRow { id, revision, value } = row;
        let known = self.rows.get(&id);
        let is_newer = known.is_some_and(|row| row.revision > index && !mutant!(TrustLowerIndex));
        let is_retained = known.is_some_and(|row| {
            let is_new = row.value.as_ref().is_some_and(|old| value.is_new_incarnation(old));
            row.retained_until.is_some_and(|until| revision <= until) && !is_new
        });
        if is_newer || is_retained {
            return;
        }
        let same = known.filter(|row| row.value.as_ref() == Some(&value));
        let since_ms = same.map_or(now, |row| row.since_ms);
        if same.is_none() {
            changed.push(id.clone());
        }
        self.put(id, Row { since_ms, ..Row::new(now, revision, Some(value)) });
    }

    fn put(&mut self, id: Id, row: Row<V>) {
        let (is_removed, revision) = (row.value.is_none(), row.revision);
        if let Some(old) = self.rows.insert(id.clone(), row).filter(|old| old.value.is_none()) {
            self.removed.remove(&(old.revision, id.clone()));
        }
        if is_removed {
            self.removed.insert((revision, id));
        }
        // Guards the memory: in a rolling update every node has a new name.
        while self.removed.len() > self.rules.max_removed {
            if let Some((revision, id)) = self.removed.pop_first() {
                self.rows.remove(&id);
                self.floor = self.floor.max(revision);
            }
        }
    }
}
