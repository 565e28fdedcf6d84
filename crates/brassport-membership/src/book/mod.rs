//! One membership list from the reports of several sources, each line with the rule that decided it.
//!
//! A source puts its own updates in order (with a [`Table`](crate::table::Table), or as its protocol says) and reports
//! what holds now. Between sources these rules hold, in this order:
//! 1. *Gone or draining takes effect at once*, if an authoritative source reports it of this incarnation of the node,
//!    whatever others report. A report of a later start ([`Entry::boot_ms`]) is another incarnation.
//! 2. A node is listed as long as one authoritative source lists it. A source that no longer lists it has nothing
//!    more to say of it.
//! 3. What an advisory source lists (a list kept from an earlier run) counts until each authoritative source has
//!    reported a full list, and never against one.
//! 4. Address, zone, group and size come from the first source that lists the node, in the order of the
//!    configuration. A node that moves to another address without another start counts as started now.
//! 5. Of two nodes at one address the one that started later owns it, then the one with the greater name; the other
//!    is draining. Sources whose lists are passed through unchanged are exempt from that among their own lines.
//! 6. A source that only lists ([`Source::lists_only`]: DNS) reports no starts and no drains. Another source's node owns
//!    an address before its node, however late that came. What another source reported of a node at an address, that it
//!    is draining, gone or moved away, stands, also when that source withdraws the node, for as long as only such
//!    sources list one there; it ends when another source lists a ready node there, or when nothing is listed there any
//!    more.
//! 7. What an advisory source reports to drain stays draining until an authority that does not only list says otherwise.
//!
//! The work of a change does not grow with the number of nodes.

mod departures;
mod drains;
mod entry;
mod explanation;
mod merge;
mod ownership;
mod report;
mod sources;

pub use entry::{Entry, Moment, State};
pub use explanation::{Explanation, Hold, SourceNow, Word};
pub use report::{Report, Source, Update};

use crate::table::Id;
use departures::{Departed, Departures};
use drains::DrainMemory;
use explanation::Reason;
use merge::{Listing, Merge};
use ownership::Addresses;
use report::{Unchanged, UpdateBuilder};
use sources::Sources;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The membership list, and what each source reported of it.
pub struct Book {
    sources: Sources,
    list: BTreeMap<Id, Listing>,
    addresses: Addresses,
    departures: Departures,
    drains: DrainMemory,
    change_count: u64,
}

impl Book {
    /// An empty list of these sources; the first takes precedence over the others where they disagree on a node's
    /// address, zone, group or size.
    pub fn new(sources: Vec<Source>) -> Book {
        Book {
            sources: Sources::new(sources),
            list: BTreeMap::new(),
            addresses: Addresses::default(),
            departures: Departures::default(),
            drains: DrainMemory::default(),
            change_count: 0,
        }
    }

    /// How many changes of the list there were, so that a reader can see whether anything is new.
    pub fn changes(&self) -> u64 {
        self.change_count
    }

    /// Applies a report of the source at this position among [`Book::new`]'s. The update is full if the report is, and
    /// comes from the only source, which is passed through unchanged.
    ///
    /// # Panics
    /// If there is no source at this position.
    pub fn take(&mut self, now: Moment, source: usize, report: Report) -> Update {
        // Guards the platform's discovery against any change in what the policy is notified of.
        let unchanged = self.sources.unchanged(source);
        if self.sources.any_lists_only() {
            self.drains.record(now, self.sources.table(source), &report);
        }
        let mut update = UpdateBuilder::new(&report, unchanged);
        let affected = self.sources.apply(now, source, report);
        let (mut seen, mut neighbours) = (BTreeSet::new(), BTreeSet::new());
        for id in affected {
            if seen.insert(id.clone()) {
                self.evaluate(now, &id, &mut neighbours, &mut update);
            }
        }
        // Who shares an address with a node that changed is evaluated once more, which moves no address.
        if unchanged == Unchanged::Omit {
            for id in std::mem::take(&mut neighbours) {
                self.evaluate(now, &id, &mut neighbours, &mut update);
            }
        }
        update.finish()
    }

    /// Drains that are remembered: the node's name, its address, and what was reported.
    pub fn drained(&self) -> impl Iterator<Item = (&Id, SocketAddr, &str)> {
        self.drains.iter().map(|(address, drain)| (&drain.id, *address, drain.because.as_str()))
    }

    /// All that is listed, for a reader that begins with it.
    pub fn whole(&self) -> Update {
        Update { whole: true, nodes: self.nodes().cloned().collect() }
    }

    /// The nodes listed.
    pub fn nodes(&self) -> impl Iterator<Item = &Entry> {
        self.list.values().map(|listing| &listing.entry)
    }

    /// The nodes listed, each with whether an authority lists it (else only a list of an earlier run), and with what
    /// keeps requests from it.
    pub fn listed(&self) -> impl Iterator<Item = (&Entry, bool, Hold)> {
        let hold = |listing: &Listing| match &listing.reason {
            _ if listing.entry.state == State::Ready => Hold::Nothing,
            Reason::Reported(source, _) if !self.sources.table(*source).source.lists_only => Hold::Drain,
            _ => Hold::Other,
        };
        self.list.iter().map(move |(id, listing)| (&listing.entry, self.sources.is_listed(id), hold(listing)))
    }

    /// Nodes of which the sources report different things, in the order of their names.
    pub fn disputed(&self) -> impl Iterator<Item = &Id> {
        let differs = |id: &Id, listing: &Listing| {
            matches!(listing.reason, Reason::AddressOwnedBy(_) | Reason::RememberedDrain(_))
                || self.sources.disagree(id)
        };
        self.list.iter().filter(move |(id, listing)| differs(id, listing)).map(|(id, _)| id)
    }

    /// How many nodes are listed.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Why a node is listed as it is, or went. `None` if it was never listed, or went long ago.
    pub fn explain(&self, id: &str, now: Moment) -> Option<Explanation> {
        let Some(listing) = self.list.get(id) else {
            return self.departures.explain(id, now);
        };
        let note = match listing.reason {
            Reason::Reported(source, _) | Reason::NoAddress(source) => {
                self.sources.table(source).rows.get(id).map_or("", |reported| &reported.entry.note)
            }
            _ => "",
        };
        Some(Explanation {
            id: id.to_string(),
            state: listing.entry.state,
            address: listing.entry.address,
            because: listing.reason.sentence(&self.sources, note),
            age_ms: now.monotonic.saturating_sub(listing.since_ms),
            words: self.sources.words(id, now),
        })
    }

    /// The status of each source, in their order.
    pub fn sources(&self, now: Moment) -> Vec<SourceNow> {
        self.sources.status(now)
    }

    /// Whether each authoritative source has reported a full list.
    pub fn is_settled(&self) -> bool {
        self.sources.is_settled()
    }

    /// Lists a node anew as its sources report it; `neighbours` gains the others that this may concern.
    fn evaluate(&mut self, now: Moment, id: &Id, neighbours: &mut BTreeSet<Id>, update: &mut UpdateBuilder) {
        let previous = self.list.get(id);
        let before = previous.and_then(|listing| listing.entry.address);
        let mut merged = Merge { now, id, sources: &self.sources, drains: &self.drains, previous }.run();
        self.apply_address(id, before, merged.as_ref(), neighbours);
        if let Some(listing) = merged.as_mut().filter(|listing| listing.entry.state == State::Ready) {
            if let Some(owner) = self.addresses.owner_before(&listing.entry, &self.sources, &self.list) {
                listing.entry.state = State::Draining;
                listing.reason = Reason::AddressOwnedBy(owner);
            }
        }
        let is_gone = merged.as_ref().is_some_and(|listing| listing.entry.state == State::Gone);
        match merged {
            Some(listing) => self.publish(id, listing, update),
            None => self.remove(now, id, update),
        }
        if is_gone && self.sources.all_report_gone(id) {
            self.forget(now, id);
        }
    }

    /// Brings addresses and remembered drains in line with a node's merged listing.
    fn apply_address(
        &mut self,
        id: &Id,
        before: Option<SocketAddr>,
        merged: Option<&Listing>,
        neighbours: &mut BTreeSet<Id>,
    ) {
        let after = merged.filter(|listing| listing.entry.state != State::Gone);
        let after = after.and_then(|listing| listing.entry.address);
        let by_drain = merged.filter(|listing| matches!(listing.reason, Reason::RememberedDrain(_)));
        if let Some(address) = by_drain.and_then(|listing| listing.entry.address) {
            self.drains.set_in_effect(address);
        }
        if let Some(left) = before.filter(|address| Some(*address) != after) {
            self.addresses.remove(left, id);
            if self.addresses.is_vacant(left) {
                self.drains.address_vacated(left);
            }
            neighbours.extend(self.addresses.others_at(left, id).cloned());
        }
        if let Some(address) = after {
            self.addresses.insert(address, id);
            neighbours.extend(self.addresses.others_at(address, id).cloned());
        }
    }

    /// Lists the node so, and adds it to the update if that is new to the policy.
    fn publish(&mut self, id: &Id, mut listing: Listing, update: &mut UpdateBuilder) {
        let known = self.list.get(id);
        let is_same = known.is_some_and(|known| known.entry.is_same(&listing.entry));
        if let Some(known) = known.filter(|known| known.entry.state == listing.entry.state) {
            listing.since_ms = known.since_ms;
        }
        self.change_count += u64::from(!is_same);
        if is_same {
            update.put_unchanged(&listing.entry);
        } else {
            update.put(listing.entry.clone());
        }
        self.list.insert(id.clone(), listing);
    }

    /// Removes a node that no source lists any more.
    fn remove(&mut self, now: Moment, id: &Id, update: &mut UpdateBuilder) {
        let Some(mut listing) = self.list.remove(id) else { return };
        listing.entry.state = State::Gone;
        (listing.reason, listing.since_ms) = (Reason::NotListed, now.monotonic);
        self.change_count += 1;
        update.remove(listing.entry.clone());
        self.departures.push(Departed::new(listing, Vec::new(), &self.sources));
    }

    /// Guards the memory: every source reports the node gone, so no report has to be remembered against another's.
    fn forget(&mut self, now: Moment, id: &Id) {
        let words = self.sources.words(id, now);
        self.sources.forget(id);
        if let Some(listing) = self.list.remove(id) {
            self.departures.push(Departed::new(listing, words, &self.sources));
        }
    }
}
