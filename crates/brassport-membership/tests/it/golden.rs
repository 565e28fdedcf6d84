//! The bytes of what the membership list sends over the control socket, against committed fixtures: states, explanations and
//! sources. The table, reports and updates have no serialized form.
//!
//! The fixtures lie in `tests/golden/`. They are written only with `GOLDEN_WRITE=1`, and the test that writes one fails.

use brassport_membership::book::{Book, Entry, Explanation, Moment, Report, Source, SourceNow, State, Word};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;
use std::fs;
use std::path::Path;

/// The committed bytes of a fixture; with `GOLDEN_WRITE=1` they become `made`, and the test fails.
fn fixture(name: &str, made: &[u8]) -> Vec<u8> {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var_os("GOLDEN_WRITE").is_some_and(|value| value == "1") {
        fs::create_dir_all(path.parent().expect("it lies in a folder")).expect("the folder is made");
        fs::write(&path, made).expect("the fixture is written");
        panic!("wrote {}: look at it, commit it, and run without GOLDEN_WRITE", path.display());
    }
    fs::read(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Compares text with its fixture line by line, so that the first line that differs is named.
fn same_text(name: &str, made: &str) -> String {
    let committed = String::from_utf8(fixture(name, made.as_bytes())).expect("the fixture is text");
    for (number, (made, committed)) in made.lines().zip(committed.lines()).enumerate() {
        assert_eq!(made, committed, "{name}, line {}", number + 1);
    }
    assert_eq!(made, committed, "{name}");
    committed
}

/// One value in its form in JSON.
struct Case {
    name: String,
    text: String,
    /// Reads a text, which has to give the value, and encodes what was read.
    again: Box<dyn Fn(&str) -> String>,
}

fn json<T: Serialize + DeserializeOwned + PartialEq + Debug + 'static>(name: &str, value: T) -> Case {
    let encode = |value: &T| serde_json::to_string(value).expect("plain data has a form in JSON");
    let text = encode(&value);
    let again = move |text: &str| {
        let read: T = serde_json::from_str(text).unwrap_or_else(|error| panic!("{text}: {error}"));
        assert_eq!(read, value);
        encode(&read)
    };
    Case { name: name.into(), text, again: Box::new(again) }
}

/// Compares all cases with a fixture of lines `name: text`, then reads and encodes what the fixture holds.
fn same_cases(name: &str, cases: &[Case]) {
    let made: String = cases.iter().map(|case| format!("{}: {}\n", case.name, case.text)).collect();
    let committed = same_text(name, &made);
    for (line, case) in committed.lines().zip(cases) {
        let text = line.strip_prefix(&format!("{}: ", case.name)).expect("the line has its name");
        assert_eq!((case.again)(text), text, "{}", case.name);
    }
}

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
    same_cases("tells.txt", &cases);
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
    let mut cases: Vec<Case> = Vec::new();
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
    same_cases("book.txt", &cases);
}
