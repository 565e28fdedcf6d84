//! The shared state: versions, digests, refused changes, and updates of replicas.

use brassport_fleet::shared::{Change, Fault, Refusal, Shared, Update, SETTINGS, STRICTNESS};
use serde_json::{json, Value};

fn ban(id: &str, node: &str, body: Value) -> Change {
    Change::new(id, "asha", "disk is failing", "ban", node, body)
}

/// A state after `count` bans, spread over seven nodes.
fn with(count: u64) -> Shared {
    let mut shared = Shared::default();
    for n in 0..count {
        shared.apply(&ban(&format!("c{n}"), &format!("n{}", n % 7), json!(true))).expect("a valid change");
    }
    shared
}

#[test]
fn a_repeated_change_is_applied_once_and_another_with_its_id_is_refused() {
    let mut shared = with(0);
    assert!(!shared.apply(&ban("a", "n", json!(true))).expect("valid").repeated);
    let repeated = Change { at_ms: 99, ..ban("a", "n", json!(true)) };
    assert!(shared.apply(&repeated).expect("valid").repeated, "independent of the time of acceptance");
    assert_eq!(shared.version(), 1);
    assert_eq!(shared.apply(&ban("a", "m", json!(true))), Err(Refusal::IdUsed { version: 1 }));
}

#[test]
fn the_second_of_two_changes_against_one_version_is_refused() {
    let mut shared = with(1);
    let seen = |id: &str| Change { seen: Some(1), ..ban(id, "n0", json!(null)) };
    assert_eq!(shared.apply(&seen("x")).expect("the first of the two").version, 2);
    assert_eq!(shared.apply(&seen("y")), Err(Refusal::Conflict { version: 2 }));
    assert_eq!(shared.bans().len(), 0);
}

#[test]
fn a_lifted_ban_does_not_return_with_an_older_state() {
    let (mut shared, mut late) = (with(1), with(1));
    shared.apply(&ban("off", "n0", json!(null))).expect("valid");
    let old = late.clone();
    let Ok(Update::Changes(changes)) = shared.since(late.version(), late.digest()) else {
        panic!("the replica lacks one change")
    };
    late.catch_up(Update::Changes(changes.clone())).expect("the changes follow its version");
    // The same changes are delivered again, then an older snapshot.
    late.catch_up(Update::Changes(changes)).expect("the changes are applied already");
    assert_eq!(late.catch_up(Update::Snapshot(Box::new(old))), Err(Fault::Stale { have: 2, offered: 1 }));
    assert!(late.bans().is_empty() && late.digest() == shared.digest());
}

#[test]
fn a_replica_far_behind_gets_a_snapshot_and_a_near_one_the_changes() {
    let shared = with(3000);
    let update_for =
        |behind: &Shared| shared.since(behind.version(), behind.digest()).expect("the same history");
    assert!(matches!(update_for(&with(100)), Update::Snapshot(_)));
    for from in [0, 100, 2500, 2999, 3000] {
        let mut behind = with(from);
        let update = update_for(&behind);
        behind.catch_up(update).expect("the update follows its version");
        assert_eq!((behind.version(), behind.digest()), (3000, shared.digest()), "from {from}");
        assert_eq!(behind.bans(), shared.bans());
    }
}

#[test]
fn a_fork_and_an_altered_change_are_detected() {
    let shared = with(5);
    let mut other = with(3);
    other.apply(&ban("z", "n9", json!(true))).expect("valid");
    assert_eq!(shared.since(4, other.digest()), Err(Fault::Fork { version: 4 }));
    other.apply(&ban("c4", "n4", json!(true))).expect("valid");
    assert_eq!(shared.since(5, other.digest()), Err(Fault::Fork { version: 5 }));
    let mut behind = with(3);
    let Ok(Update::Changes(mut changes)) = shared.since(3, behind.digest()) else {
        panic!("the replica lacks two changes")
    };
    changes[0].change.key = "n8".into();
    assert_eq!(behind.catch_up(Update::Changes(changes.clone())), Err(Fault::Fork { version: 4 }));
    assert_eq!(behind.catch_up(Update::Changes(changes[1..].to_vec())), Err(Fault::Gap { have: 3, next: 5 }));
    assert_eq!(behind.version(), 3);
}

#[test]
fn a_matter_of_a_newer_program_is_kept_and_forwarded() {
    let mut newer = with(1);
    let unknown = Change::new("d", "asha", "of a newer program", "dreams", "k", json!({ "of": [1, 2] }));
    newer.apply(&unknown).expect("valid");
    let mut older = with(1);
    let update = newer.since(1, older.digest()).expect("the same history");
    older.catch_up(update).expect("the update follows its version");
    assert_eq!(older.get("dreams", "k").map(|slot| &slot.body), Some(&json!({ "of": [1, 2] })));
}

#[test]
fn bans_are_strict_and_settings_lax_by_default() {
    let mut shared = with(2);
    assert_eq!(shared.last_strict(), 2);
    shared.apply(&Change::new("s", "asha", "new quota", SETTINGS, "", json!("{}"))).expect("valid");
    assert_eq!(shared.last_strict(), 2);
    shared
        .apply(&Change::new("t", "asha", "quotas count", STRICTNESS, SETTINGS, json!("strict")))
        .expect("valid");
    assert_eq!(shared.last_strict(), 3);
}

#[test]
fn an_incomplete_or_oversized_change_is_refused() {
    let mut shared = Shared::default();
    let without_reason = Change { reason: " ".into(), ..ban("a", "n", json!(true)) };
    assert_eq!(shared.apply(&without_reason), Err(Refusal::Incomplete("reason".into())));
    let large = ban("a", "n", json!("x".repeat(300_000)));
    assert!(matches!(shared.apply(&large), Err(Refusal::TooLarge { .. })));
    assert_eq!(shared.version(), 0);
}
