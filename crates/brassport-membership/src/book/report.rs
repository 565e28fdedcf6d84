//! What sources report, and what the policy is notified of in turn.

use super::entry::Entry;
use crate::table::Id;
use std::collections::BTreeMap;
use std::net::IpAddr;

/// A source of reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Source {
    /// Its name, for people.
    pub name: String,
    /// Whether its reports count against others'; if not it only fills in until the others have reported.
    pub authority: bool,
    /// Whether its lines are passed through unchanged, even two at one address: the platform's discovery.
    pub as_told: bool,
    /// Whether it reports which nodes there are and no more: neither their starts nor their drains.
    pub lists_only: bool,
}

impl Source {
    /// A source whose reports count.
    pub fn authority(name: &str) -> Source {
        Source { name: name.into(), authority: true, as_told: false, lists_only: false }
    }

    /// A source whose lines are passed through unchanged.
    pub fn as_told(name: &str) -> Source {
        Source { as_told: true, ..Source::authority(name) }
    }

    /// A source that reports which nodes there are and no more.
    pub fn lists_only(name: &str) -> Source {
        Source { lists_only: true, ..Source::authority(name) }
    }

    /// A source that fills in until the others have reported.
    pub fn advisory(name: &str) -> Source {
        Source { authority: false, ..Source::authority(name) }
    }
}

/// What holds now according to a source.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Whether these are all nodes that it lists; else these are the ones that changed.
    pub whole: bool,
    /// The nodes.
    pub entries: Vec<Entry>,
    /// Nodes that it lists no longer.
    pub withdrawn: Vec<Id>,
}

impl Report {
    /// All nodes that a source lists.
    pub fn whole(entries: Vec<Entry>) -> Report {
        Report { whole: true, entries, withdrawn: Vec::new() }
    }

    /// What has changed.
    pub fn changes(entries: Vec<Entry>) -> Report {
        Report { whole: false, entries, withdrawn: Vec::new() }
    }

    /// Removes the address from each node for which `check` gives a reason against it, and notes that reason: the node
    /// is listed, and nothing is sent to it.
    pub fn shut_out<E: std::fmt::Display>(&mut self, check: impl Fn(IpAddr) -> Result<(), E>) {
        for entry in &mut self.entries {
            if let Some(Err(reason)) = entry.address.map(|address| check(address.ip())) {
                entry.address = None;
                entry.note = reason.to_string();
            }
        }
    }
}

/// What the policy is to be notified of.
#[derive(Debug, Clone, PartialEq)]
pub struct Update {
    /// Whether these are all nodes; else these are the ones that changed.
    pub whole: bool,
    /// The nodes.
    pub nodes: Vec<Entry>,
}

/// What becomes of a node that a report repeats unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Unchanged {
    /// It is left out: the policy knows it.
    Omit,
    /// It is in the update again, as its source is passed through unchanged.
    Repeat,
}

/// An update under construction.
pub(super) struct UpdateBuilder {
    /// Whether the update replaces all that was known.
    is_full: bool,
    unchanged: Unchanged,
    nodes: Vec<Entry>,
    positions: BTreeMap<Id, usize>,
}

impl UpdateBuilder {
    /// An update that answers a report. It is full if the report is, and is passed through.
    pub(super) fn new(report: &Report, unchanged: Unchanged) -> UpdateBuilder {
        let is_full = report.whole && unchanged == Unchanged::Repeat;
        UpdateBuilder { is_full, unchanged, nodes: Vec::new(), positions: BTreeMap::new() }
    }

    /// Adds a node that is as it was, if such are repeated.
    pub(super) fn put_unchanged(&mut self, entry: &Entry) {
        if self.unchanged == Unchanged::Repeat {
            self.put(entry.clone());
        }
    }

    /// Adds a node, at the position of its earlier entry in this update if there is one.
    pub(super) fn put(&mut self, entry: Entry) {
        match self.positions.get(&entry.id) {
            Some(position) => self.nodes[*position] = entry,
            None => {
                self.positions.insert(entry.id.clone(), self.nodes.len());
                self.nodes.push(entry);
            }
        }
    }

    /// Adds a node that is no longer listed; a full update says so by leaving it out.
    pub(super) fn remove(&mut self, entry: Entry) {
        if !self.is_full {
            self.put(entry);
        }
    }

    pub(super) fn finish(self) -> Update {
        Update { whole: self.is_full, nodes: self.nodes }
    }
}
