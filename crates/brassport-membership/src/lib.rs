//! Which nodes there are: what several sources report, merged into one list by stated rules.
//!
//! - [`table`] orders what one source tells: lists and events, fresh and stale, old and new.
//! - [`book`] merges the sources into one list, and explains each of its lines.
//! - `nomad`, a feature, turns the answers of Nomad's API into such reports.
//!
//! Nothing here does I/O or reads a clock, and nothing chooses a node for a request: the decision module does, among
//! the nodes that the book offers it.
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

pub mod book;
pub mod mutants;
#[cfg(feature = "nomad")]
pub mod nomad;
pub mod table;
