//! Serialized changes, versions and updates of replicas, and the digests of versions.

use super::GOLDEN;
use brassport_fleet::shared::{self, Change, Done, Entry, Process, Refusal, Shared, Slot, Update};
use brassport_golden::json;
use serde_json::{json as object, Value};
use std::collections::BTreeSet;

/// Changes of every matter, with and without optional fields, with a body of each JSON type, a removal, and fences.
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

/// The state after [`changes`].
pub fn built() -> Shared {
    let mut state = Shared::default();
    for change in changes() {
        state.apply(&change).expect("the change is valid");
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
        let done = state.apply(&change).expect("the change is valid");
        cases.push(json(&format!("Change {number}"), change));
        cases.push(json(&format!("Done {number}"), done));
    }
    for entry in state.recent().cloned() {
        cases.push(json(&format!("Entry {}", entry.version), entry));
    }
    cases.push(json("Done, repeated", state.apply(&changes()[0]).expect("the change is valid")));
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

/// The complete state is the content of a log snapshot and the update for a replica that is far behind.
#[test]
fn snapshots_and_catch_up_keep_their_bytes() {
    let variant = |update: &Update| match update {
        Update::Changes(_) => "Changes",
        Update::Snapshot(_) => "Whole",
    };
    let state = built();
    // The recent changes are not serialized, so a deserialized state has none.
    let text = serde_json::to_string(&state).expect("plain data serializes as JSON");
    let read: Shared = serde_json::from_str(&text).expect("the text is a state");
    assert_eq!((read.version(), read.digest(), read.fenced()), (8, state.digest(), 8));
    let mut cases = vec![json("Shared, empty", Shared::default()), json("Shared", read.clone())];
    let all = state.since(0, "").expect("the same history");
    let behind = state.recent().nth(5).expect("there are eight changes").clone();
    let last = state.since(6, &behind.digest).expect("the same history");
    let none = state.since(8, state.digest()).expect("the same history");
    let snapshot = Update::Snapshot(Box::new(read));
    for (number, update) in [all, last, none, snapshot].into_iter().enumerate() {
        let mut follower = Shared::default();
        if number != 1 && number != 2 {
            follower.catch_up(update.clone()).expect("the update applies to an empty state");
            assert_eq!((follower.version(), follower.digest()), (8, state.digest()));
        }
        cases.push(json(&format!("Catch::{} {number}", variant(&update)), update));
    }
    GOLDEN.same_cases("catch.txt", &cases);
}

/// Each change of a committed log makes the version and digest that the log has for it.
#[test]
fn a_committed_log_is_replayed_to_the_same_state() {
    let state = built();
    let line = |entry: &Entry| serde_json::to_string(entry).expect("plain data serializes as JSON") + "\n";
    let committed = GOLDEN.same_text("log.jsonl", &state.recent().map(line).collect::<String>());
    let read = |line: &str| serde_json::from_str::<Entry>(line).expect("the line is an entry");
    let mut follower = Shared::default();
    follower
        .catch_up(Update::Changes(committed.lines().map(read).collect()))
        .expect("each entry follows the one before");
    assert_eq!(follower, state);
    assert_eq!(follower.bans(), BTreeSet::new());
    let doors: Vec<_> = follower.doors().collect();
    let (first, second) = (Process { process: u64::MAX, alone: true }, Process { process: 9, alone: false });
    assert_eq!(doors, [("d1", first), ("d2", second)]);
}
