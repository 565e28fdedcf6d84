//! The membership book of a running gateway: merges the reports of all sources and passes the result to the core.

use crate::clock::Clock;
use crate::discovery::ListSink;
use crate::gateway_core::GatewayCore;
use crate::network::Network;
use brassport_membership::book::{Book, Moment, Report, Source};
use brassport_policy::ListKind;
use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// The book, and the core that gets its updates.
pub struct Membership<C: Clock, N: Network> {
    clock: C,
    start: Instant,
    book: RefCell<Book>,
    settled: Cell<bool>,
    /// Whether the platform's discovery is the only source: its reports are passed on even if they change nothing.
    is_platform_only: bool,
    core: Rc<GatewayCore<C, N>>,
}

impl<C: Clock, N: Network> Membership<C, N> {
    pub fn new(clock: C, sources: Vec<Source>, core: Rc<GatewayCore<C, N>>) -> Membership<C, N> {
        let start = clock.now();
        let is_platform_only = matches!(&sources[..], [only] if only.as_told);
        let (book, settled) = (RefCell::new(Book::new(sources)), Cell::new(false));
        Membership { clock, start, book, settled, is_platform_only, core }
    }

    /// Applies a report of a source, given by its index among the sources.
    pub fn apply(&self, source: usize, report: Report) {
        let mut book = self.book.borrow_mut();
        let mut update = book.take(self.now(), source, report);
        // Once each authoritative source has reported a full list, the whole book replaces the cached list: a backend
        // that it lacks no longer exists.
        if book.is_settled() && !self.settled.replace(true) && !update.whole {
            update = book.whole();
        }
        drop(book);
        // Most of Nomad's events change nothing that concerns the gateway.
        if !update.whole && update.nodes.is_empty() && !self.is_platform_only {
            return;
        }
        let kind = if update.whole { ListKind::Full } else { ListKind::Delta };
        self.core.update_backends(kind, &update.nodes);
    }

    pub fn book(&self) -> Ref<'_, Book> {
        self.book.borrow()
    }

    pub fn now(&self) -> Moment {
        let monotonic = self.clock.now().saturating_duration_since(self.start).as_millis() as u64;
        Moment { monotonic, unix: self.clock.unix_time().as_millis() as u64 }
    }
}

/// Passes on the reports of the source at index `source`.
pub struct SourceSink<C: Clock, N: Network> {
    pub membership: Rc<Membership<C, N>>,
    pub source: usize,
}

impl<C: Clock, N: Network> ListSink for SourceSink<C, N> {
    fn apply(&self, report: Report) {
        self.membership.apply(self.source, report);
    }
}
