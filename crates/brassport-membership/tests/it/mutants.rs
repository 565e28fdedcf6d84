//! The tests of the rules between sources can fail: a list that breaks one is detected.

use brassport_membership::book::{Book, Entry, Moment, Report, Source, State};
use brassport_membership::mutants::{choose, Mutant};

/// Whether a drain that the second source reports is in the list.
fn a_drain_of_the_second_source_applies() -> bool {
    let at = Moment { monotonic: 0, unix: 0 };
    let node = |state| Entry { state, ..Entry::ready("a", ([127, 0, 0, 1], 1).into()) };
    let mut book = Book::new(vec![Source::authority("first"), Source::authority("second")]);
    book.take(at, 0, Report::whole(vec![node(State::Ready)]));
    book.take(at, 1, Report::whole(vec![node(State::Draining)]));
    let is_draining = book.nodes().all(|entry| entry.state == State::Draining);
    is_draining
}

#[test]
fn first_source_wins_is_detected() {
    assert!(a_drain_of_the_second_source_applies());
    choose(Some(Mutant::FirstSourceWins));
    assert!(!a_drain_of_the_second_source_applies());
    choose(None);
}
