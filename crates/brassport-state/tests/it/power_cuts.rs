//! Tests of restarts after power cuts, disk errors and file damage.

use crate::campaign::{cut_every_operation, cut_file_creation, flip_bits, Counts, FILE};
use crate::disk::{Disk, Fault};
use crate::draw::durable;
use brassport_state::files::Files;
use brassport_state::model::{Action, Change, Lifecycle};
use brassport_state::store::{Batch, ChangeError, Store, StoreError};
use std::io::ErrorKind;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

fn add(id: &str, name: &str) -> Change {
    let endpoint = "127.0.0.1:9000".parse().expect("a valid address");
    let action =
        Action::AddNode { name: name.into(), endpoint, zone: String::new(), group: 0, size: 1.0, warm: true };
    Change { id: id.into(), who: "test".into(), at_ms: 0, seen: None, action }
}

fn drain(id: &str, name: &str) -> Change {
    Change { action: Action::DrainNode { name: name.into() }, ..add(id, name) }
}

/// Returns a disk with a state of one node, `a`, at revision 1.
fn disk_with_one_node() -> Disk {
    let disk = Disk::default();
    Store::create(&disk, FILE).expect("the state can be created");
    Store::open(&disk, FILE).expect("the state opens").apply(add("1", "a")).expect("the change is made");
    disk
}

#[test]
fn every_cut_of_500_histories_leaves_the_old_state_or_the_new_one() {
    const SEEDS: u64 = 500;
    let next = AtomicU64::new(0);
    let work = || {
        let mut counts = Counts::default();
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= SEEDS {
                return counts;
            }
            cut_every_operation(seed, &mut counts).unwrap_or_else(|problem| panic!("{problem}"));
        }
    };
    let counts = thread::scope(|scope| {
        let workers: Vec<_> = (0..4).map(|_| scope.spawn(work)).collect();
        workers
            .into_iter()
            .map(|worker| worker.join().expect("no violation"))
            .fold(Counts::default(), Counts::plus)
    });
    println!("{counts:?}");
    assert_eq!(counts.histories, SEEDS);
    assert!(counts.recovered_old > 1000 && counts.recovered_new > 1000, "{counts:?}");
}

#[test]
fn a_file_is_created_atomically() {
    let mut counts = Counts::default();
    for seed in 0..50 {
        cut_file_creation(seed, &mut counts).unwrap_or_else(|problem| panic!("{problem}"));
    }
    assert!(counts.cuts > 500, "{counts:?}");
}

#[test]
fn a_flipped_bit_is_reported_as_damage_or_changes_no_content() {
    let damaged: u64 =
        (0..4).map(|seed| flip_bits(seed, 400).unwrap_or_else(|problem| panic!("{problem}"))).sum();
    // Undetected flips are in pages that are not referenced.
    assert!(damaged > 100, "{damaged} of 1600 flips were detected");
}

#[test]
fn after_a_failed_operation_all_changes_are_rejected_until_a_restart() {
    let initial = disk_with_one_node();
    let restart = |disk: &Disk| -> Result<Store, StoreError> { Store::open(disk, FILE) };
    let uninterrupted = initial.copy();
    let mut store = restart(&uninterrupted).expect("the state opens");
    let first = uninterrupted.operations();
    store.apply(drain("2", "a")).expect("the change is made");
    let last = uninterrupted.operations();
    assert!(last > first + 2);
    for kind in [ErrorKind::Other, ErrorKind::StorageFull, ErrorKind::ReadOnlyFilesystem] {
        for at in first..last {
            let disk = initial.copy();
            let mut store = restart(&disk).expect("the state opens");
            disk.schedule_fault(at, Fault::Error(kind));
            let rejected = store.apply(drain("2", "a"));
            assert!(
                matches!(rejected, Err(ChangeError::Store(StoreError::Io { .. }))),
                "{kind:?} {at} {rejected:?}"
            );
            // The disk works again, but the store still rejects all changes.
            let again = store.apply(drain("3", "a"));
            assert!(
                matches!(again, Err(ChangeError::Store(StoreError::Broken { .. }))),
                "{kind:?} {at} {again:?}"
            );
            assert!(store.first_write_error().is_some());
            assert_eq!(store.state().nodes["a"].lifecycle, Lifecycle::Ready, "the state is unchanged");
            drop(store);
            // After a restart the change was made or not. Requested again with the same id, it is made at most once.
            let mut store = restart(&disk).unwrap_or_else(|error| panic!("{kind:?} {at}: {error}"));
            store.apply(drain("2", "a")).expect("the change is made");
            assert_eq!(store.state().revision, 2);
        }
    }
}

#[test]
fn errors_of_invalid_files_name_the_problem_or_the_remedy() {
    let message = |disk: &Disk| Store::open(disk, FILE).expect_err("the file is invalid").to_string();
    assert!(message(&Disk::default()).contains("`init`"));
    let disk = Disk::default();
    disk.put(FILE, Vec::new());
    assert!(message(&disk).contains("is empty"));
    assert_eq!(disk.bytes(FILE), b"", "the file is left unchanged");
    disk.put(FILE, b"not a state at all".repeat(1000));
    assert!(message(&disk).contains("is damaged"));
    let valid = disk_with_one_node();
    let mut bytes = valid.bytes(FILE);
    bytes.truncate(bytes.len() / 2);
    disk.put(FILE, bytes);
    assert!(message(&disk).contains("is damaged"));
    assert!(matches!(Store::create(&valid, FILE), Err(StoreError::Exists { .. })));
    assert_eq!(Store::open(&valid, FILE).expect("the state opens").state().nodes.len(), 1);
}

#[test]
fn a_file_of_a_newer_version_is_rejected() {
    let disk = Disk::default();
    let database = redb::Builder::new()
        .create_with_backend(disk.create(FILE).expect("the file can be created"))
        .expect("a new database");
    let transaction = database.begin_write().expect("the transaction begins");
    let facts: redb::TableDefinition<&str, u64> = redb::TableDefinition::new("facts");
    transaction.open_table(facts).expect("the table opens").insert("format", 2).expect("the row is inserted");
    transaction.commit().expect("the commit succeeds");
    drop(database);
    let error = Store::open(&disk, FILE).expect_err("the format is too new");
    assert!(matches!(error, StoreError::Newer { format: 2, .. }), "{error}");
}

#[test]
fn a_change_requested_twice_is_made_once_and_its_id_is_rejected_for_another() {
    let disk = disk_with_one_node();
    let mut store = Store::open(&disk, FILE).expect("the state opens");
    let done = store.apply(drain("2", "a")).expect("the change is made");
    drop(store);
    let mut store = Store::open(&disk, FILE).expect("the state opens");
    let again = store.apply(drain("2", "a")).expect("the repeated change is accepted");
    assert_eq!((done.revision, done.repeated, again.revision, again.repeated), (2, false, 2, true));
    assert!(
        matches!(store.apply(drain("2", "b")), Err(ChangeError::Refused(refusal)) if refusal.code() == "id_used")
    );
    assert_eq!(store.history(u64::MAX, 10).expect("the file can be read").len(), 2);
}

#[test]
fn the_history_keeps_its_order_when_the_wall_clock_is_set_back_by_a_day() {
    let disk = disk_with_one_node();
    let mut store = Store::open(&disk, FILE).expect("the state opens");
    let day = 86_400_000;
    store.apply(Change { at_ms: 2 * day, ..drain("2", "a") }).expect("the change is made");
    store.apply(Change { at_ms: day, ..add("3", "b") }).expect("the change is made");
    let history = store.history(u64::MAX, 10).expect("the file can be read");
    let order: Vec<_> = history.iter().map(|entry| (entry.revision, entry.clock_set_back)).collect();
    assert_eq!(order, [(3, true), (2, false), (1, false)]);
    assert_eq!(store.history(3, 1).expect("the file can be read")[0].revision, 2);
}

#[test]
fn requests_in_flight_at_the_cut_are_unfinished_until_they_are_cleared() {
    let disk = disk_with_one_node();
    let mut store = Store::open(&disk, FILE).expect("the state opens");
    let sent = |request: &str| brassport_state::store::Sent {
        request: request.into(),
        class: "job-submit".into(),
        studio: 7,
        node: "a".into(),
        at_ms: 1,
    };
    store
        .write(&Batch { sending: vec![sent("r1"), sent("r2")], ..Batch::default() })
        .expect("the batch is written");
    store.write(&Batch { ended: vec!["r1".into()], ..Batch::default() }).expect("the batch is written");
    drop(store);
    let mut store = Store::open(&disk, FILE).expect("the state opens");
    let unfinished = store.unfinished().expect("the file can be read");
    assert_eq!(unfinished.iter().map(|(_, sent)| sent.request.as_str()).collect::<Vec<_>>(), ["r2"]);
    assert_eq!(store.unfinished_count(), 1);
    store
        .write(&Batch { clear_unfinished: Some(unfinished[0].0), ..Batch::default() })
        .expect("the batch is written");
    assert_eq!(store.unfinished_count(), 0);
    let copy = Disk::default();
    store.snapshot().and_then(|snapshot| snapshot.copy_to(&copy, FILE)).expect("the snapshot is copied");
    assert_eq!(durable(&Store::open(&copy, FILE).expect("the state opens")), durable(&store));
}
