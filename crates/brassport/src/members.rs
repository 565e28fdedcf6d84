//! The book of nodes of a running front door: takes in what the sources report, and tells the door what follows.

use crate::clock::Clock;
use crate::discovery::ListReader;
use crate::door::Door;
use crate::network::Network;
use brassport_membership::book::{Book, Moment, Report, Source};
use brassport_policy::ListKind;
use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::time::Instant;

/// The book and its reader.
pub struct Members<C: Clock, N: Network> {
    clock: C,
    start: Instant,
    book: RefCell<Book>,
    settled: Cell<bool>,
    /// The platform's discovery is the only source: its word is passed on even where it says nothing new.
    as_told: bool,
    door: Rc<Door<C, N>>,
}

impl<C: Clock, N: Network> Members<C, N> {
    pub fn new(clock: C, sources: Vec<Source>, door: Rc<Door<C, N>>) -> Members<C, N> {
        let start = clock.now();
        let as_told = matches!(&sources[..], [only] if only.as_told);
        let (book, settled) = (RefCell::new(Book::new(sources)), Cell::new(false));
        Members { clock, start, book, settled, as_told, door }
    }

    /// Takes in what a source reports, by its place among the sources.
    pub fn take(&self, source: usize, report: Report) {
        let mut book = self.book.borrow_mut();
        let mut update = book.take(self.now(), source, report);
        // From here on what is not listed is not there: the door may hold a list of an earlier time.
        if book.is_settled() && !self.settled.replace(true) && !update.whole {
            update = book.whole();
        }
        drop(book);
        // Most of what Nomad writes changes nothing for the door.
        if !update.whole && update.nodes.is_empty() && !self.as_told {
            return;
        }
        let kind = if update.whole { ListKind::Full } else { ListKind::Delta };
        self.door.servers(kind, &update.nodes);
    }

    pub fn book(&self) -> Ref<'_, Book> {
        self.book.borrow()
    }

    pub fn now(&self) -> Moment {
        let monotonic = self.clock.now().saturating_duration_since(self.start).as_millis() as u64;
        Moment { monotonic, unix: self.clock.unix_time().as_millis() as u64 }
    }
}

/// A source whose place among the sources is this.
pub struct Place<C: Clock, N: Network>(pub Rc<Members<C, N>>, pub usize);

impl<C: Clock, N: Network> ListReader for Place<C, N> {
    fn take(&self, report: Report) {
        self.0.take(self.1, report);
    }
}
