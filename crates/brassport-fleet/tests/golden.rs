//! The bytes of what a fleet agrees on and of what its doors write down, against committed fixtures: changes, versions and
//! their digests, grants, lines of a record and audits.
//!
//! The fixtures lie in `tests/golden/`. They are written only with `GOLDEN_WRITE=1`, and the test that writes one fails.

use brassport_fleet::audit::{Audit, Lost, Question, Sent, Span};
use brassport_fleet::clocks::{Mark, Moment};
use brassport_fleet::grants::{Answer, Ask, Grants, Open, Terms};
use brassport_fleet::record::{self, At, Chain, Line, What};
use brassport_fleet::shared::{self, Catch, Change, Done, Entry, Process, Refusal, Shared, Slot};
use brassport_fleet::standing::{Standing, Why};
use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::{json as object, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::fmt::Write as _;
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

/// Every matter, changes with and without what they may leave out, a body of each form of JSON, a body taken away, a fence.
fn changes() -> Vec<Change> {
    let change = |id: &str, matter: &str, key: &str, body: Value| {
        Change::new(id, "asha", "disk \"7\" \u{e9}", matter, key, body)
    };
    vec![
        change("c-1", shared::DOOR, "d1", object!({"alone": true, "process": u64::MAX})),
        Change {
            at_ms: 1_700_000_000_000,
            seen: Some(0),
            fence: true,
            ..change("c-2", shared::BAN, "node-7", true.into())
        },
        change("c-3", shared::SETTINGS, "front", "listen = \"[::]:80\"\n".into()),
        change("c-4", shared::STRICTNESS, shared::SETTINGS, "strict".into()),
        Change { seen: Some(2), ..change("c-5", shared::BAN, "node-7", Value::Null) },
        Change {
            seen: Some(0),
            ..change("c-6", shared::LEASE, "task-1", object!({"held": true, "holder": "i1", "token": 1}))
        },
        change("c-7", "a newer matter", "", object!([1, -2, 2.5, "x", null, false, {"of": {}}])),
        Change { fence: true, ..change("c-8", shared::DOOR, "d2", object!({"process": 9})) },
    ]
}

fn built() -> Shared {
    let mut state = Shared::default();
    for change in changes() {
        state.apply(&change).expect("it is taken");
    }
    state
}

fn refusals() -> Vec<Refusal> {
    vec![
        Refusal::Incomplete("reason".into()),
        Refusal::TooLarge { bytes: 262_145 },
        Refusal::IdUsed { version: 4 },
        Refusal::Conflict { version: 5 },
    ]
}

#[test]
fn changes_and_the_versions_that_they_make_have_their_bytes_and_digests() {
    let mut cases = Vec::new();
    let mut state = Shared::default();
    for (number, change) in changes().into_iter().enumerate() {
        let done = state.apply(&change).expect("it is taken");
        cases.push(json(&format!("Change {number}"), change));
        cases.push(json(&format!("Done {number}"), done));
    }
    for entry in state.recent().cloned() {
        cases.push(json(&format!("Entry {}", entry.version), entry));
    }
    cases.push(json("Done, repeated", state.apply(&changes()[0]).expect("it was taken")));
    cases.push(json("Slot", Slot { version: 3, body: object!({"a": 1}) }));
    cases.push(json("Slot, taken away", Slot { version: 5, body: Value::Null }));
    for process in [Process::default(), Process { process: 7, alone: true }] {
        cases.push(json("Process", process));
    }
    for refusal in refusals() {
        let variant = match &refusal {
            Refusal::Incomplete(_) => "Incomplete",
            Refusal::TooLarge { .. } => "TooLarge",
            Refusal::IdUsed { .. } => "IdUsed",
            Refusal::Conflict { .. } => "Conflict",
        };
        cases.push(json(&format!("Refusal::{variant}"), refusal.clone()));
        cases.push(json(&format!("Result, refused {variant}"), Err::<Done, _>(refusal)));
    }
    cases.push(json("Result, done", Ok::<_, Refusal>(Done { version: 9, repeated: true })));
    same_cases("shared.txt", &cases);
}

/// The whole state is what a snapshot of the log holds and what one who is far behind takes.
#[test]
fn the_whole_state_and_what_brings_one_up_to_date_have_their_bytes() {
    let variant = |catch: &Catch| match catch {
        Catch::Changes(_) => "Changes",
        Catch::Whole(_) => "Whole",
    };
    let state = built();
    // The changes at hand are no part of the form: the state that is read has none.
    let text = serde_json::to_string(&state).expect("plain data has a form in JSON");
    let read: Shared = serde_json::from_str(&text).expect("it is read");
    assert_eq!((read.version(), read.digest(), read.fenced()), (8, state.digest(), 8));
    let mut cases = vec![json("Shared, empty", Shared::default()), json("Shared", read.clone())];
    let begin = state.since(0, "").expect("changes");
    let behind = state.recent().nth(5).expect("the sixth").clone();
    let last = state.since(6, &behind.digest).expect("changes");
    let none = state.since(8, state.digest()).expect("no changes");
    let whole = Catch::Whole(Box::new(read));
    for (number, catch) in [begin, last, none, whole].into_iter().enumerate() {
        let mut follower = Shared::default();
        if number != 1 && number != 2 {
            follower.catch_up(catch.clone()).expect("it fits");
            assert_eq!((follower.version(), follower.digest()), (8, state.digest()));
        }
        cases.push(json(&format!("Catch::{} {number}", variant(&catch)), catch));
    }
    same_cases("catch.txt", &cases);
}

/// A committed log of changes is followed, version by version and digest by digest.
#[test]
fn a_committed_log_is_followed_to_the_same_state() {
    let state = built();
    let line = |entry: &Entry| serde_json::to_string(entry).expect("plain data has a form in JSON") + "\n";
    let committed = same_text("log.jsonl", &state.recent().map(line).collect::<String>());
    let read = |line: &str| serde_json::from_str::<Entry>(line).expect("it is read");
    let mut follower = Shared::default();
    follower.catch_up(Catch::Changes(committed.lines().map(read).collect())).expect("each version fits");
    assert_eq!(follower, state);
    assert_eq!(follower.bans(), BTreeSet::new());
    let doors: Vec<_> = follower.doors().collect();
    let (first, second) = (Process { process: u64::MAX, alone: true }, Process { process: 9, alone: false });
    assert_eq!(doors, [("d1", first), ("d2", second)]);
}

/// What may stand against a fence.
fn opens() -> Vec<Open> {
    vec![
        Open::Door { door: "d1".into(), version: Some(7), ms: 12 },
        Open::Door { door: "d1".into(), version: None, ms: 12 },
        Open::Earlier { door: "d2".into(), ms: 0 },
        Open::Voter { voter: 3, door: "d1".into() },
    ]
}

#[test]
fn questions_for_a_right_their_answers_and_what_stands_against_a_fence_have_their_bytes() {
    let mut cases = vec![
        json("Terms, default", Terms::default()),
        json("Terms", Terms { length: 1, drift_permille: 2, silence: 3, leave: 4, bring_up: u64::MAX }),
        json("Ask", Ask { door: "d1".into(), process: u64::MAX, version: 8, had_one: true }),
    ];
    let answers = [
        Answer::Granted { length: 3000 },
        Answer::Behind { need: 8 },
        Answer::Wait { ms: 0 },
        Answer::Replaced,
        Answer::Unknown,
    ];
    for answer in answers {
        let variant = match answer {
            Answer::Granted { .. } => "Granted",
            Answer::Behind { .. } => "Behind",
            Answer::Wait { .. } => "Wait",
            Answer::Replaced => "Replaced",
            Answer::Unknown => "Unknown",
        };
        cases.push(json(&format!("Answer::{variant}"), answer));
    }
    for open in opens() {
        let variant = match &open {
            Open::Door { .. } => "Door",
            Open::Earlier { .. } => "Earlier",
            Open::Voter { .. } => "Voter",
        };
        cases.push(json(&format!("Open::{variant}"), open.clone()));
        cases.push(json(&format!("fence, {variant}"), Some(vec![open])));
    }
    // What a ledger itself says, so that the fields are filled as before.
    let (state, voters) = (built(), BTreeSet::from([2, 3]));
    let mut grants = Grants::new(Terms::default(), 1000);
    grants.note(1000, &state);
    let asks = [("d1", u64::MAX, 8), ("d1", u64::MAX, 2), ("d1", 1, 8), ("d2", 9, 8), ("d3", 1, 8)];
    for (door, process, version) in asks {
        let ask = Ask { door: door.into(), process, version, had_one: false };
        let answer = grants.ask(1500, &ask, &state, &voters);
        cases.push(json(&format!("{door} {process} {version} asks"), answer));
    }
    cases.push(json("fence, early", grants.fence(1600, 9, &state, &voters)));
    cases.push(json("fence, late", grants.fence(90_000, 9, &state, &voters)));
    same_cases("grants.txt", &cases);
}

/// A door's right is never serialized; what it tells is compared as text.
#[test]
fn a_right_comes_and_ends_as_it_did() {
    let name = |why: Why| match why {
        Why::NotYet => "NotYet",
        Why::RanOut => "RanOut",
        Why::Behind => "Behind",
        Why::Replaced => "Replaced",
        Why::Unknown => "Unknown",
    };
    let mut standing = Standing::default();
    let mut made = String::new();
    let mut note = |what: &str, now: u64, standing: &Standing| {
        let may = standing.may_act(now).map_or_else(name, |()| "may act");
        let until = standing.until().map_or("none".into(), |until| until.to_string());
        writeln!(made, "{what}: at {now} {may}, until {until}").expect("text takes it");
    };
    note("new", 0, &standing);
    let asked = standing.ask(100);
    standing.granted(300, asked, 1000);
    note("granted", 400, &standing);
    standing.left(1000, 900, 500);
    note("left", 1399, &standing);
    note("ran out", 1400, &standing);
    for why in [Why::NotYet, Why::RanOut, Why::Behind, Why::Replaced, Why::Unknown] {
        standing.refused(why);
        note("refused", 1400, &standing);
    }
    same_text("standing.txt", &made);
}

fn whats() -> Vec<What> {
    vec![
        What::Began { door: "d\"1\"".into(), program: "0.2.0".into() },
        What::Clock(Mark { by: "i1".into(), said_ms: 1_700_000_000_004, took_ms: 4 }),
        What::Acts { version: 3, digest: "ab".repeat(32), from_admission: 1 },
        What::Unsafe { request: "r-1".into(), node: "node-7".into(), version: 3 },
        What::Stopped { why: "its right ran out".into(), from_admission: 20 },
        What::WentOn { from_admission: 20 },
        What::Lost { lines: 2 },
        What::Acts { version: u64::MAX, digest: String::new(), from_admission: 31 },
        What::Unknown,
    ]
}

fn what_name(what: &What) -> &'static str {
    match what {
        What::Began { .. } => "Began",
        What::Acts { .. } => "Acts",
        What::Stopped { .. } => "Stopped",
        What::WentOn { .. } => "WentOn",
        What::Unsafe { .. } => "Unsafe",
        What::Clock(_) => "Clock",
        What::Lost { .. } => "Lost",
        What::Unknown => "Unknown",
    }
}

fn at(number: u64) -> At {
    At { process: 7, steady_ms: 10 * number, wall_ms: 1_700_000_000_000 + 10 * number }
}

#[test]
fn a_committed_record_is_read_and_written_again_in_the_same_bytes() {
    let mut chain = Chain::default();
    let lines = whats().into_iter().enumerate();
    let made: String = lines.map(|(number, what)| chain.add(at(number as u64), what)).collect();
    let committed = same_text("record.jsonl", &made);
    let (lines, fault, sound, end) = record::read(&committed);
    assert_eq!((fault, sound, end), (None, committed.len(), chain));
    assert_eq!(lines.iter().map(|line| line.what.clone()).collect::<Vec<_>>(), whats());
    let mut again = Chain::default();
    let text: String = lines.iter().map(|line| again.add(line.at, line.what.clone())).collect();
    assert_eq!(text, committed);
    assert_eq!(record::by_process(&committed), [(7, committed.as_str())]);
}

#[test]
fn each_part_of_a_line_has_its_form() {
    let mut cases = vec![json("At", at(1)), json("Mark", Mark { by: "i1".into(), said_ms: 5, took_ms: 4 })];
    for (number, what) in whats().into_iter().enumerate() {
        cases.push(json(&format!("What::{}", what_name(&what)), what.clone()));
        let line = Line { number: number as u64, before: "cd".repeat(32), at: at(2), what };
        cases.push(json(&format!("Line {number}"), line));
    }
    same_cases("lines.txt", &cases);
}

/// Faults of a record are encoded and never read; the rest are words that other instances and people are told.
#[test]
fn refusals_and_faults_say_what_they_said() {
    let mut lines: Vec<String> = refusals().iter().map(|refusal| format!("Refusal: {refusal}")).collect();
    lines.extend(opens().iter().map(|open| format!("Open: {open}")));
    for fault in [
        shared::Fault::Gap { have: 3, next: 5 },
        shared::Fault::Fork { version: 3 },
        shared::Fault::Stale { have: 3, told: 2 },
    ] {
        let variant = match &fault {
            shared::Fault::Gap { .. } => "Gap",
            shared::Fault::Fork { .. } => "Fork",
            shared::Fault::Stale { .. } => "Stale",
        };
        lines.push(format!("shared::Fault::{variant}: {fault}"));
    }
    for fault in [
        record::Fault::Cut { line: 1 },
        record::Fault::Garbled { line: 2 },
        record::Fault::Broken { line: 3 },
    ] {
        let variant = match &fault {
            record::Fault::Cut { .. } => "Cut",
            record::Fault::Garbled { .. } => "Garbled",
            record::Fault::Broken { .. } => "Broken",
        };
        let text = serde_json::to_string(&fault).expect("plain data has a form in JSON");
        lines.push(format!("record::Fault::{variant}: {text} {fault}"));
    }
    same_text("messages.txt", &(lines.join("\n") + "\n"));
}

/// Two doors' records of which the second is cut and holds another digest of one version.
fn gathered() -> Audit {
    let mut chain = Chain::default();
    let lines = whats().into_iter().enumerate();
    let first: String = lines.map(|(number, what)| chain.add(at(number as u64), what)).collect();
    let mut chain = Chain::default();
    let acts = What::Acts { version: 3, digest: "other".into(), from_admission: 1 };
    let other = At { process: 8, ..at(5) };
    let second: String = [acts, What::Lost { lines: 1 }].map(|what| chain.add(other, what)).concat();
    let mut audit = Audit::default();
    audit.gather([("d1", first.as_str()), ("d2", &second[..second.len() - 5])].into_iter());
    audit.missing("d3", "no instance has any of it");
    audit
}

#[test]
fn audits_and_their_lines_have_their_forms() {
    let span = Span {
        door: "d1".into(),
        process: 7,
        version: 3,
        digest: "ab".into(),
        admissions: (1, Some(20)),
        steady_ms: (10, None),
        wall_ms: 1_700_000_000_000,
        began: Some(Moment { from_ms: -1, to_ms: 5 }),
        ended: Some("a newer version".into()),
    };
    let open =
        Span { admissions: (1, None), steady_ms: (10, Some(20)), began: None, ended: None, ..span.clone() };
    let sent = Sent {
        door: "d1".into(),
        request: "r-1".into(),
        node: "node-7".into(),
        version: 3,
        process: 7,
        steady_ms: 30,
        wall_ms: 1_700_000_000_030,
        at: Some(Moment { from_ms: 1, to_ms: 2 }),
    };
    let lost = Lost { process: 7, lines: 2, before_wall_ms: 9 };
    let whole = Audit {
        spans: vec![span.clone()],
        sent: vec![sent.clone()],
        unknown: BTreeMap::from([("d2".into(), "it is cut".into())]),
        clock: Some("i1".into()),
        lost: BTreeMap::from([("d1".into(), vec![lost.clone()])]),
        forks: vec![(3, "d1".into(), "d2".into())],
    };
    let question = Question { request: Some("r-1".into()), ..Question::default() };
    let cases = [
        json("Moment", Moment { from_ms: i64::MIN, to_ms: i64::MAX }),
        json("Span", span),
        json("Span, open", open),
        json("Sent", sent.clone()),
        json("Sent, no moment", Sent { at: None, ..sent }),
        json("Lost", lost),
        json("Audit, empty", Audit::default()),
        json("Audit", whole),
        json("Audit, gathered", gathered()),
        json("Audit, answered", gathered().answer(&question)),
    ];
    same_cases("audit.txt", &cases);
}

/// Forms that leave out what later versions added are read as before.
#[test]
fn forms_without_the_later_fields_are_read_as_before() {
    fn read<T: Serialize + DeserializeOwned>(text: &str) -> String {
        let value: T = serde_json::from_str(text).unwrap_or_else(|error| panic!("{text}: {error}"));
        serde_json::to_string(&value).expect("plain data has a form in JSON")
    }
    let change = r#"{"id":"c","author":"a","reason":"r","matter":"m","key":"k","body":null}"#;
    let process = r#"{"process":7}"#;
    let audit = r#"{"spans":[],"sent":[],"unknown":{},"forks":[]}"#;
    let what = r#"{"what":"dreamt","of":[1]}"#;
    let lines = [
        ("Change", change, read::<Change>(change)),
        ("Process", process, read::<Process>(process)),
        ("Audit", audit, read::<Audit>(audit)),
        ("What", what, read::<What>(what)),
    ];
    let made: String = lines.iter().map(|(name, old, new)| format!("{name}: {old}\n  now {new}\n")).collect();
    same_text("older.txt", &made);
}
