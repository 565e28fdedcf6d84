//! Drains that a source reported at an address, and does not report any more.

use super::entry::{Entry, Moment, State};
use super::explanation::after_colon;
use super::report::{Report, Source};
use super::sources::SourceTable;
use crate::mutants::mutant;
use crate::table::{Id, Millis};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Most addresses whose drains are remembered. Bounds the memory where nodes come and go under new addresses.
const MAX_REMEMBERED: usize = 4096;
/// How long a drain is remembered while nothing is listed at its address: as long as a list that is behind may still
/// arrive, an hour, the longest lifetime of a record of DNS.
const RETENTION_MS: Millis = 3_600_000;

/// A drain or termination reported at an address, by a source that does not list a node there any more.
#[derive(Debug, Clone)]
pub(super) struct RememberedDrain {
    pub(super) id: Id,
    pub(super) because: String,
    at_ms: Millis,
    /// A node of a source that only lists is at this address: the drain applies to it.
    is_in_effect: bool,
}

/// The remembered drains, by address.
#[derive(Default)]
pub(super) struct DrainMemory(BTreeMap<SocketAddr, RememberedDrain>);

impl DrainMemory {
    pub(super) fn iter(&self) -> impl Iterator<Item = (&SocketAddr, &RememberedDrain)> {
        self.0.iter()
    }

    /// The drain that applies to a node at this address whose sources only list.
    pub(super) fn applying(&self, now: Moment, address: SocketAddr) -> Option<&RememberedDrain> {
        self.0
            .get(&address)
            .filter(|drain| drain.is_in_effect || now.monotonic.saturating_sub(drain.at_ms) < RETENTION_MS)
    }

    /// The drain at this address applies to a listed node from now on, and does not expire.
    pub(super) fn set_in_effect(&mut self, address: SocketAddr) {
        if let Some(drain) = self.0.get_mut(&address) {
            drain.is_in_effect = true;
        }
    }

    /// Nothing is listed at this address any more: what is listed there next is another node.
    pub(super) fn address_vacated(&mut self, address: SocketAddr) {
        if self.0.get(&address).is_some_and(|drain| drain.is_in_effect) {
            self.0.remove(&address);
        }
    }

    /// Remembers the drains that a report is about to remove from its source's table, and forgets those that it ends.
    pub(super) fn record(&mut self, now: Moment, table: &SourceTable, report: &Report) {
        if table.source.lists_only || mutant!(ForgetDrains) {
            return;
        }
        let mut noted = withdrawn_drains(now, table, report);
        for entry in &report.entries {
            self.record_entry(now, table, entry, &mut noted);
        }
        for (address, drain) in noted {
            let is_in_effect = self.0.get(&address).is_some_and(|known| known.is_in_effect);
            self.0.insert(address, RememberedDrain { is_in_effect, ..drain });
        }
        self.evict();
    }

    fn record_entry(
        &mut self,
        now: Moment,
        table: &SourceTable,
        entry: &Entry,
        noted: &mut Vec<(SocketAddr, RememberedDrain)>,
    ) {
        let SourceTable { source, rows, .. } = table;
        let before = rows.get(&entry.id).and_then(|known| known.entry.address);
        if let Some(left) = before.filter(|left| Some(*left) != entry.address && source.authority) {
            let because = format!("'{}' moved '{}' away from there", source.name, entry.id);
            noted.push((left, RememberedDrain::new(now, &entry.id, because)));
        }
        match entry.state {
            // Of an advisory source a drain is all that is ever reported of it.
            State::Draining if !source.authority => noted.extend(drain_of(now, source, entry)),
            State::Gone => noted.extend(drain_of(now, source, entry)),
            State::Ready if source.authority => {
                if let Some(address) = entry.address {
                    self.0.remove(&address);
                }
            }
            _ => {}
        }
    }

    /// Evicts the oldest beyond the bound, those in effect last.
    fn evict(&mut self) {
        while self.0.len() > MAX_REMEMBERED {
            let oldest = self.0.iter().min_by_key(|(_, drain)| (drain.is_in_effect, drain.at_ms));
            let Some(address) = oldest.map(|(address, _)| *address) else { return };
            self.0.remove(&address);
        }
    }
}

impl RememberedDrain {
    fn new(now: Moment, id: &Id, because: String) -> RememberedDrain {
        RememberedDrain { id: id.clone(), because, at_ms: now.monotonic, is_in_effect: false }
    }
}

/// The drains of the nodes that a report withdraws.
fn withdrawn_drains(now: Moment, table: &SourceTable, report: &Report) -> Vec<(SocketAddr, RememberedDrain)> {
    let rows = &table.rows;
    let named: BTreeSet<&Id> = report.entries.iter().map(|entry| &entry.id).collect();
    let absent = rows.iter().filter(|(id, _)| report.whole && !named.contains(id));
    let withdrawn = report.withdrawn.iter().filter_map(|id| rows.get_key_value(id));
    withdrawn.chain(absent).filter_map(|(_, known)| drain_of(now, &table.source, &known.entry)).collect()
}

/// The drain that an entry reports, if it does and has an address.
fn drain_of(now: Moment, source: &Source, entry: &Entry) -> Option<(SocketAddr, RememberedDrain)> {
    let Entry { id, address, state, note, .. } = entry;
    if *state == State::Ready {
        return None;
    }
    let because = format!("'{}' said {} of '{id}' there{}", source.name, state.as_str(), after_colon(note));
    Some(((*address)?, RememberedDrain::new(now, id, because)))
}
