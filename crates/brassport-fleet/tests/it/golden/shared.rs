//! Changes, versions, digests and what brings a replica up to date.

use super::GOLDEN;
use brassport_fleet::shared::{self, Change, Done, Entry, Process, Refusal, Shared, Slot, Update};
use brassport_golden::json;
use serde_json::{json as object, Value};
use std::collections::BTreeSet;

/// Every matter, changes with and without what they may leave out, a body of each form of JSON, a body taken away, a fence.
pub fn changes() -> Vec<Change> {
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

pub fn built() -> Shared {
    let mut state = Shared::default();
    for change in changes() {
        state.apply(&change).expect("it is taken");
    }
    state
}

pub fn refusals() -> Vec<Refusal> {
    vec![
        Refusal::Incomplete("reason".into()),
        Refusal::TooLarge { bytes: 262_145 },
        Refusal::IdUsed { version: 4 },
        Refusal::Conflict { version: 5 },
    ]
}

#[test]
fn changes_and_their_versions_keep_their_bytes_and_digests() {
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
    GOLDEN.same_cases("shared.txt", &cases);
}

/// The complete state is what a snapshot of the log has and what a replica far behind applies.
#[test]
fn snapshots_and_catch_up_keep_their_bytes() {
    let variant = |catch: &Update| match catch {
        Update::Changes(_) => "Changes",
        Update::Snapshot(_) => "Whole",
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
    let snapshot = Update::Snapshot(Box::new(read));
    for (number, catch) in [begin, last, none, snapshot].into_iter().enumerate() {
        let mut follower = Shared::default();
        if number != 1 && number != 2 {
            follower.catch_up(catch.clone()).expect("it fits");
            assert_eq!((follower.version(), follower.digest()), (8, state.digest()));
        }
        cases.push(json(&format!("Catch::{} {number}", variant(&catch)), catch));
    }
    GOLDEN.same_cases("catch.txt", &cases);
}

/// A committed log of changes is followed, version by version and digest by digest.
#[test]
fn a_committed_log_is_replayed_to_the_same_state() {
    let state = built();
    let line = |entry: &Entry| serde_json::to_string(entry).expect("plain data has a form in JSON") + "\n";
    let committed = GOLDEN.same_text("log.jsonl", &state.recent().map(line).collect::<String>());
    let read = |line: &str| serde_json::from_str::<Entry>(line).expect("it is read");
    let mut follower = Shared::default();
    follower.catch_up(Update::Changes(committed.lines().map(read).collect())).expect("each version fits");
    assert_eq!(follower, state);
    assert_eq!(follower.bans(), BTreeSet::new());
    let doors: Vec<_> = follower.doors().collect();
    let (first, second) = (Process { process: u64::MAX, alone: true }, Process { process: 9, alone: false });
    assert_eq!(doors, [("d1", first), ("d2", second)]);
}
