//! The bytes of what the membership list sends over the control socket, against committed fixtures: states, explanations and
//! sources. The table, reports and updates have no serialized form.
//!
//! The fixtures lie in `tests/golden/`. They are written only with `GOLDEN_WRITE=1`, and the test that writes one fails.

use brassport_golden::{json, Fixtures, JsonCase};
use brassport_membership::book::{Book, Entry, Explanation, Moment, Report, Source, SourceNow, State, Word};

const GOLDEN: Fixtures = Fixtures::of(env!("CARGO_MANIFEST_DIR"));

fn at(ms: u64) -> Moment {
    Moment { monotonic: ms, unix: 1_700_000_000_000 + ms }
}

fn node(id: &str, port: u16, state: State, note: &str) -> Entry {
    let ready = Entry::ready(id, ([192, 0, 2, 1], port).into());
    Entry { state, note: note.into(), revision: u64::from(port), boot_ms: 1_700_000_000_000.5, ..ready }
}

#[test]
fn states_explanations_and_sources_keep_their_bytes() {
    let mut cases = Vec::new();
    for state in [State::Ready, State::Draining, State::Gone] {
        let variant = match state {
            State::Ready => "Ready",
            State::Draining => "Draining",
            State::Gone => "Gone",
        };
        cases.push(json(&format!("State::{variant}"), state));
    }
    let word = Word {
        source: "nomad".into(),
        says: State::Draining,
        note: "\"leaving\" \u{e9}".into(),
        revision: u64::MAX,
        age_ms: 5,
        address: Some("[2001:db8::1]:80".parse().expect("an address")),
        boot_ms: 1_700_000_000_000.5,
    };
    let bare = Word { address: None, boot_ms: 0.0, note: String::new(), ..word.clone() };
    let why = Explanation {
        id: "a".into(),
        state: State::Draining,
        address: word.address,
        because: "'nomad' says draining".into(),
        age_ms: 7,
        words: vec![word.clone(), bare.clone()],
    };
    cases.push(json("Word", word));
    cases.push(json("Word, bare", bare));
    cases.push(json("Explanation, bare", Explanation { address: None, words: vec![], ..why.clone() }));
    cases.push(json("Explanation", why));
    let source = SourceNow { name: "nomad".into(), told: true, heard_ms: Some(12), nodes: 3 };
    cases.push(json("SourceNow, silent", SourceNow { told: false, heard_ms: None, ..source.clone() }));
    cases.push(json("SourceNow", source));
    GOLDEN.same_cases("tells.txt", &cases);
}

/// A list with every kind of source: its explanations of nodes that are listed for different reasons, and of one that went.
#[test]
fn explanations_of_all_kinds_of_sources_keep_their_bytes() {
    let mut book = Book::new(vec![
        Source::advisory("last-known"),
        Source::authority("nomad"),
        Source::lists_only("dns"),
        Source::as_told("discovery"),
    ]);
    let known = vec![node("a", 1, State::Ready, "heard 5 s ago"), node("z", 9, State::Ready, "")];
    book.take(at(0), 0, Report::whole(known));
    let nomad = vec![
        node("a", 1, State::Ready, ""),
        node("b", 2, State::Draining, "eligible: no"),
        node("c", 3, State::Gone, "stopped"),
        Entry { address: None, ..node("d", 4, State::Ready, "no port") },
        node("e", 1, State::Ready, "the address of a"),
        node("f", 6, State::Ready, ""),
    ];
    book.take(at(10), 1, Report::whole(nomad));
    book.take(
        at(20),
        2,
        Report::whole(vec![node("a", 1, State::Ready, ""), node("b2", 2, State::Ready, "")]),
    );
    book.take(at(30), 3, Report::whole(vec![node("g", 7, State::Ready, ""), node("c", 3, State::Ready, "")]));
    book.take(at(40), 1, Report::changes(vec![node("f", 6, State::Gone, "killed")]));
    let mut cases: Vec<JsonCase> = Vec::new();
    let mut explain = |book: &Book, now: Moment| {
        for id in ["a", "b", "b2", "c", "d", "e", "f", "g", "z", "none"] {
            cases.push(json(&format!("{id} at {}", now.monotonic), book.explain(id, now)));
        }
    };
    explain(&book, at(45));
    let rest = vec![node("a", 1, State::Ready, ""), node("c", 3, State::Gone, "stopped")];
    book.take(at(50), 1, Report::whole(rest));
    explain(&book, at(60));
    cases.push(json("sources", book.sources(at(60))));
    for (id, address, because) in book.drained() {
        cases.push(json("drained", (id.to_string(), address, because.to_string())));
    }
    GOLDEN.same_cases("book.txt", &cases);
}
