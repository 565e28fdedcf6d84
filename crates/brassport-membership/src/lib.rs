//! Which nodes there are: the reports of several sources, merged into one membership list by stated rules.
//!
//! - [`table`] orders the updates of one source: lists and events, fresh and stale, old and new.
//! - [`book`] merges the sources into one list, and explains each of its lines.
//! - `nomad`, a feature, turns the answers of Nomad's API into such reports.
//!
//! Not for I/O or clocks: answers are bytes that the host brings, and time is an argument. It chooses no node for a
//! request: the policy does, among the nodes that the list offers it.
//!
//! ```
//! use brassport_membership::book::{Book, Entry, Moment, Report, Source, State};
//!
//! let mut book = Book::new(vec![Source::authority("nomad"), Source::authority("file")]);
//! let node = |state| Entry { state, ..Entry::ready("a", "127.0.0.1:9000".parse().unwrap()) };
//! let at = |ms| Moment { monotonic: ms, unix: 1_000_000 + ms };
//! book.take(at(0), 0, Report::whole(vec![node(State::Ready)]));
//! let update = book.take(at(10), 1, Report::changes(vec![node(State::Draining)]));
//! assert_eq!(update.nodes[0].state, State::Draining);
//! assert_eq!(book.explain("a", at(15)).unwrap().because, "'file' says draining");
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod book;
pub mod mutants;
#[cfg(feature = "nomad")]
pub mod nomad;
pub mod table;
