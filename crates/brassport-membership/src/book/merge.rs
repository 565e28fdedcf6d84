//! What the sources together say of one node, apart from its neighbours.

use super::drains::DrainMemory;
use super::entry::{Entry, Moment, State};
use super::explanation::Reason;
use super::sources::{SourceEntry, Sources};
use crate::mutants::mutant;
use crate::table::{Id, Millis};

/// A node as it is listed.
#[derive(Debug, Clone)]
pub(super) struct Listing {
    pub(super) entry: Entry,
    pub(super) reason: Reason,
    /// Since when it has its state, on the monotonic clock.
    pub(super) since_ms: Millis,
    /// It moved to another address without a reported start: the Unix time in milliseconds at which it did, which counts
    /// as its start.
    moved_unix_ms: Option<f64>,
}

/// The merge of one node's entries.
pub(super) struct Merge<'a> {
    pub(super) now: Moment,
    pub(super) id: &'a Id,
    pub(super) sources: &'a Sources,
    pub(super) drains: &'a DrainMemory,
    /// How the node was listed before.
    pub(super) previous: Option<&'a Listing>,
}

/// The entry that the others are merged into.
struct Base<'a> {
    from: SourceEntry<'a>,
    /// No authority lists the node, and not each has reported yet.
    is_provisional: bool,
}

impl Merge<'_> {
    /// What the sources together say of the node; `None` if none lists it.
    pub(super) fn run(&self) -> Option<Listing> {
        let base = self.base()?;
        let position = base.from.position;
        // A source that only lists knows when it saw a node first, and not when that started.
        let only_listed = self.authoritative().all(|reported| reported.source.lists_only);
        let reason =
            if base.is_provisional { Reason::KeptUntilSettled(position) } else { Reason::Listed(position) };
        let entry = self.merged_entry(&base, only_listed);
        let mut listing = Listing { entry, reason, since_ms: self.now.monotonic, moved_unix_ms: None };
        self.apply_strictest_state(&base, only_listed, &mut listing);
        if listing.entry.state == State::Ready && listing.entry.address.is_none() {
            listing.entry.state = State::Draining;
            listing.reason = Reason::NoAddress(position);
        }
        if listing.entry.state == State::Ready && only_listed {
            self.apply_remembered_drain(&mut listing);
        }
        // What is passed through unchanged keeps its own start, too.
        if !base.from.source.as_told {
            self.apply_move(&mut listing);
        }
        Some(listing)
    }

    fn authoritative(&self) -> impl Iterator<Item = SourceEntry<'_>> {
        self.sources.authoritative(self.id)
    }

    fn base(&self) -> Option<Base<'_>> {
        if let Some(from) = self.authoritative().next() {
            return Some(Base { from, is_provisional: false });
        }
        if self.sources.is_settled() {
            return None;
        }
        self.sources.entries(self.id).next().map(|from| Base { from, is_provisional: true })
    }

    /// The base's entry, ready, with the latest start of those that report one, and an address if any has one.
    fn merged_entry(&self, base: &Base, only_listed: bool) -> Entry {
        let mut entry = base.from.entry.clone();
        entry.state = State::Ready;
        if !base.is_provisional {
            let starts = self.authoritative().filter(|reported| only_listed || !reported.source.lists_only);
            entry.boot_ms = starts.map(|reported| reported.entry.boot_ms).fold(0.0, f64::max);
        }
        if entry.address.is_none() {
            // What one source reports no address for, or one that is denied, another may.
            entry.address = self.authoritative().find_map(|reported| reported.entry.address);
        }
        entry
    }

    /// The strictest state of all sources on this incarnation; of equals the first.
    fn apply_strictest_state(&self, base: &Base, only_listed: bool, listing: &mut Listing) {
        let settled = self.sources.is_settled();
        let entry = &mut listing.entry;
        for SourceEntry { position, source, entry: other } in self.sources.entries(self.id) {
            let is_base = position == base.from.position;
            let is_earlier = other.boot_ms > 0.0 && other.boot_ms < entry.boot_ms;
            // A drain of an earlier run counts until a source that reports drains lists the node.
            let is_overruled =
                !source.authority && !is_base && (other.state == State::Ready || settled || !only_listed);
            let is_ignored = is_earlier || is_overruled || (mutant!(FirstSourceWins) && !is_base);
            if other.state > entry.state && !is_ignored {
                entry.state = other.state;
                listing.reason = Reason::Reported(position, other.state);
            }
        }
    }

    fn apply_remembered_drain(&self, listing: &mut Listing) {
        let drain = listing.entry.address.and_then(|address| self.drains.applying(self.now, address));
        if let Some(drain) = drain {
            listing.entry.state = State::Draining;
            listing.reason = Reason::RememberedDrain(drain.because.clone());
        }
    }

    /// Counts a node that moved to another address without another start as started now.
    fn apply_move(&self, listing: &mut Listing) {
        let Some(previous) = self.previous else { return };
        let entry = &mut listing.entry;
        listing.moved_unix_ms = previous.moved_unix_ms;
        let moved = previous.entry.address.is_some() && previous.entry.address != entry.address;
        let started_since = previous.moved_unix_ms.is_none_or(|moved_ms| moved_ms < entry.boot_ms);
        if moved && entry.boot_ms <= previous.entry.boot_ms {
            // Guards against work for a warm node that reaches one that is warming up at the new address.
            listing.moved_unix_ms = Some(self.now.unix as f64);
        } else if started_since {
            listing.moved_unix_ms = None;
        }
        if let Some(moved_ms) = listing.moved_unix_ms {
            entry.boot_ms = moved_ms;
        }
    }
}
