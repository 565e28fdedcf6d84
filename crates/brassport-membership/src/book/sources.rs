//! What each source reported last, each in a table of its own.

use super::entry::{Entry, Moment, State};
use super::explanation::{SourceNow, Word};
use super::report::{Report, Source, Unchanged};
use crate::table::{Id, Millis};
use std::collections::{BTreeMap, BTreeSet};

/// A source's last entry for a node.
pub(super) struct Reported {
    pub(super) entry: Entry,
    /// When it was reported, on the monotonic clock.
    pub(super) at_ms: Millis,
}

/// One source and what it lists.
pub(super) struct SourceTable {
    pub(super) source: Source,
    pub(super) rows: BTreeMap<Id, Reported>,
    has_full_list: bool,
    last_report_ms: Option<Millis>,
}

/// A source's entry for a node, with the source's position in the configuration.
#[derive(Clone, Copy)]
pub(super) struct SourceEntry<'a> {
    pub(super) position: usize,
    pub(super) source: &'a Source,
    pub(super) entry: &'a Entry,
}

/// All sources, in the order of the configuration.
pub(super) struct Sources(Vec<SourceTable>);

impl Sources {
    pub(super) fn new(sources: Vec<Source>) -> Sources {
        let table = |source| SourceTable {
            source,
            rows: BTreeMap::new(),
            has_full_list: false,
            last_report_ms: None,
        };
        Sources(sources.into_iter().map(table).collect())
    }

    pub(super) fn table(&self, position: usize) -> &SourceTable {
        &self.0[position]
    }

    /// Whether a source's unchanged nodes are repeated: those of an only source that is passed through unchanged.
    pub(super) fn unchanged(&self, position: usize) -> Unchanged {
        if self.0.len() == 1 && self.0[position].source.as_told {
            Unchanged::Repeat
        } else {
            Unchanged::Omit
        }
    }

    pub(super) fn any_lists_only(&self) -> bool {
        self.0.iter().any(|table| table.source.lists_only)
    }

    /// Whether each authority has reported a full list.
    pub(super) fn is_settled(&self) -> bool {
        self.0.iter().all(|table| table.has_full_list || !table.source.authority)
    }

    /// What the sources report of a node, in their order.
    pub(super) fn entries<'a>(&'a self, id: &'a str) -> impl Iterator<Item = SourceEntry<'a>> + 'a {
        self.0.iter().enumerate().filter_map(move |(position, table)| {
            let entry = &table.rows.get(id)?.entry;
            Some(SourceEntry { position, source: &table.source, entry })
        })
    }

    /// What the authorities among the sources report of a node, in their order.
    pub(super) fn authoritative<'a>(&'a self, id: &'a str) -> impl Iterator<Item = SourceEntry<'a>> + 'a {
        self.entries(id).filter(|reported| reported.source.authority)
    }

    /// Whether an authority lists a node.
    pub(super) fn is_listed(&self, id: &str) -> bool {
        self.authoritative(id).next().is_some()
    }

    /// Whether an authority lists a node, and each that does only lists.
    pub(super) fn is_only_listed(&self, id: &str) -> bool {
        self.is_listed(id) && self.authoritative(id).all(|reported| reported.source.lists_only)
    }

    /// Whether no source that lists a node reports anything but that it is gone.
    pub(super) fn all_report_gone(&self, id: &str) -> bool {
        self.entries(id).all(|reported| reported.entry.state == State::Gone)
    }

    /// Whether the authorities that list a node report different states or addresses of it.
    pub(super) fn disagree(&self, id: &str) -> bool {
        let mut entries = self.authoritative(id).map(|reported| reported.entry);
        let Some(first) = entries.next() else { return false };
        entries.any(|other| other.state != first.state || other.address != first.address)
    }

    /// Applies a report. The nodes that it may change, in the order of the report; a node may stand twice.
    pub(super) fn apply(&mut self, now: Moment, position: usize, report: Report) -> Vec<Id> {
        let unchanged = self.unchanged(position);
        let table = &mut self.0[position];
        table.last_report_ms = Some(now.monotonic);
        let is_first_full = report.whole && !table.has_full_list;
        table.has_full_list |= report.whole;
        let mut affected = table.apply(now, report, unchanged);
        if is_first_full {
            // What was only listed by an advisory source until now may have to go.
            let advisory = self.0.iter().filter(|table| !table.source.authority);
            affected.extend(advisory.flat_map(|table| table.rows.keys().cloned()));
        }
        affected
    }

    /// Removes a node from all sources' tables.
    pub(super) fn forget(&mut self, id: &str) {
        for table in &mut self.0 {
            table.rows.remove(id);
        }
    }

    /// What each source says of a node, for people.
    pub(super) fn words(&self, id: &str, now: Moment) -> Vec<Word> {
        let word = |table: &SourceTable| {
            let Reported { entry, at_ms } = table.rows.get(id)?;
            Some(Word {
                source: table.source.name.clone(),
                says: entry.state,
                note: entry.note.clone(),
                revision: entry.revision,
                age_ms: now.monotonic.saturating_sub(*at_ms),
                address: entry.address,
                boot_ms: entry.boot_ms,
            })
        };
        self.0.iter().filter_map(word).collect()
    }

    /// How each source stands, for people.
    pub(super) fn status(&self, now: Moment) -> Vec<SourceNow> {
        let row = |table: &SourceTable| SourceNow {
            name: table.source.name.clone(),
            told: table.has_full_list,
            heard_ms: table.last_report_ms.map(|at| now.monotonic.saturating_sub(at)),
            nodes: table.rows.len(),
        };
        self.0.iter().map(row).collect()
    }
}

impl SourceTable {
    fn apply(&mut self, now: Moment, report: Report, unchanged: Unchanged) -> Vec<Id> {
        let Report { whole, entries, mut withdrawn } = report;
        if whole {
            let named: BTreeSet<&Id> = entries.iter().map(|entry| &entry.id).collect();
            withdrawn.extend(self.rows.keys().filter(|id| !named.contains(id)).cloned());
        }
        let mut affected = Vec::new();
        for entry in entries {
            match self.rows.get_mut(&entry.id) {
                Some(known) if known.entry.is_same(&entry) => {
                    // What changes nothing costs this comparison and no more.
                    if unchanged == Unchanged::Repeat {
                        affected.push(entry.id.clone());
                    }
                    (known.entry.revision, known.entry.note) = (entry.revision, entry.note);
                }
                _ => {
                    affected.push(entry.id.clone());
                    self.rows.insert(entry.id.clone(), Reported { entry, at_ms: now.monotonic });
                }
            }
        }
        for id in &withdrawn {
            self.rows.remove(id);
        }
        affected.append(&mut withdrawn);
        affected
    }
}
