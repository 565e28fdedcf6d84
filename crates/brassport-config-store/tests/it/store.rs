//! A voter's store: what was synced is found again, whatever came behind it; what is none of this format is refused by name.

use brassport_config_store::consensus::{
    AcceptedEntry, CommittedEntry, DiskId, DurableState, Entry, LogIndex, Record, Replica, ReplicatedState,
    Term, VoterId,
};
use brassport_config_store::store::{Store, StoreError, FILE_NAME};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// A folder of its own, taken away at the end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let folder =
            std::env::temp_dir().join(format!("brassport_config_store-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        Folder(folder)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn open(folder: &Path) -> (Store, DurableState) {
    Store::open(folder, DiskId(77)).expect("the store opens")
}

fn voters() -> Vec<VoterId> {
    (1..4).map(|one| VoterId { ip: [10, 0, 0, one].into(), disk: DiskId(u64::from(one)) }).collect()
}

fn whole() -> Record {
    let state = ReplicatedState::genesis(voters(), 4);
    Record::Snapshot(DurableState { promised: Term::new(1, DiskId(1)), state, accepted: None })
}

fn word(version: u32, base_version: u32) -> Entry {
    let text = format!("{{\"version\":\"{version:08x}\",\"services\":[],\"hosts\":[]}}");
    Entry::Replace { base_version, body: Arc::new(text.into_bytes()) }
}

fn accepted(term: u64, index: u64, entry: Entry) -> Record {
    Record::Accepted { term: Term::new(term, DiskId(1)), index: LogIndex(index), entry }
}

#[test]
fn a_new_store_is_empty_and_keeps_its_disk_number() {
    let folder = Folder::new("new");
    let (store, found) = open(&folder.0);
    assert_eq!((store.disk(), found.state.index, found.promised), (DiskId(77), LogIndex(0), Term::ZERO));
    drop(store);
    assert_eq!(
        Store::open(&folder.0, DiskId(99)).expect("again").0.disk(),
        DiskId(77),
        "the number that it was given first"
    );
}

#[test]
fn the_last_acceptance_is_open_and_all_before_it_committed() {
    let folder = Folder::new("accepted");
    let (mut store, _) = open(&folder.0);
    for record in [
        whole(),
        accepted(2, 2, word(5, 0)),
        Record::Promised(Term::new(4, DiskId(1))),
        accepted(4, 3, word(9, 5)),
    ] {
        store.append(&record).expect("kept");
    }
    drop(store);
    let (_, found) = open(&folder.0);
    assert_eq!((found.state.index, found.state.version()), (LogIndex(2), 5));
    assert_eq!(found.accepted, Some(AcceptedEntry { term: Term::new(4, DiskId(1)), entry: word(9, 5) }));
    assert_eq!(found.promised, Term::new(4, DiskId(1)));
    // And a replica goes on from there.
    let replica = Replica::new([10, 0, 0, 1].into(), DiskId(1), Some(found), 0);
    assert!(replica.is_voter());
}

#[test]
fn a_committed_entry_replaces_an_accepted_one() {
    let folder = Folder::new("chosen");
    let (mut store, _) = open(&folder.0);
    let chosen = Record::Committed(CommittedEntry { index: LogIndex(2), entry: word(7, 0) });
    for record in [whole(), accepted(2, 2, word(5, 0)), chosen] {
        store.append(&record).expect("kept");
    }
    drop(store);
    let (_, found) = open(&folder.0);
    assert_eq!((found.state.index, found.state.version(), found.accepted), (LogIndex(2), 7, None));
}

#[test]
fn a_snapshot_replaces_all_before_it() {
    let folder = Folder::new("whole");
    let (mut store, _) = open(&folder.0);
    for record in [whole(), accepted(2, 2, word(5, 0))] {
        store.append(&record).expect("kept");
    }
    let mut state = ReplicatedState::genesis(voters(), 4);
    state.apply(&word(5, 0));
    let open_entry = Some(AcceptedEntry { term: Term::new(3, DiskId(2)), entry: word(6, 5) });
    let record = Record::Snapshot(DurableState {
        promised: Term::new(9, DiskId(3)),
        state: state.clone(),
        accepted: open_entry.clone(),
    });
    store.append(&record).expect("kept");
    drop(store);
    assert_eq!(
        open(&folder.0).1,
        DurableState { promised: Term::new(9, DiskId(3)), state, accepted: open_entry }
    );
}

#[test]
fn a_torn_tail_loses_only_what_was_not_synced() {
    let folder = Folder::new("torn");
    let (mut store, _) = open(&folder.0);
    store.append(&whole()).expect("kept");
    store.append(&accepted(2, 2, word(5, 0))).expect("kept");
    // As a loss of power leaves it: the files as they are now, with something torn behind.
    let copy = Folder::new("torn-copy");
    for file in std::fs::read_dir(&folder.0).expect("the folder") {
        let file = file.expect("a file");
        let mut bytes = std::fs::read(file.path()).expect("its bytes");
        if file.file_name().to_string_lossy().ends_with("-wal") {
            bytes.extend(std::iter::repeat_n(0x5a, 3_000));
        }
        std::fs::write(copy.0.join(file.file_name()), bytes).expect("the copy");
    }
    let (_, found) = open(&copy.0);
    assert_eq!(found.accepted, Some(AcceptedEntry { term: Term::new(2, DiskId(1)), entry: word(5, 0) }));
}

#[test]
fn an_unsupported_format_is_rejected_with_file_and_help() {
    let folder = Folder::new("format");
    drop(open(&folder.0));
    let file = rusqlite::Connection::open(folder.0.join(FILE_NAME)).expect("the file");
    file.execute("UPDATE meta SET value = x'1863' WHERE key = 'format'", []).expect("another format");
    drop(file);
    let fault = Store::open(&folder.0, DiskId(1)).expect_err("it is refused");
    assert!(matches!(fault, StoreError::UnsupportedFormat { found: 99, .. }), "{fault}");
    assert!(fault.to_string().contains(FILE_NAME), "{fault}");
    let help = miette::Diagnostic::help(&fault).expect("a way out").to_string();
    assert!(help.contains("move the file away"), "{help}");
}

#[test]
fn a_file_that_is_no_store_is_rejected_and_left_unchanged() {
    let folder = Folder::new("no-store");
    std::fs::write(folder.0.join(FILE_NAME), b"something else altogether, of some length").expect("a file");
    assert!(Store::open(&folder.0, DiskId(1)).is_err());
    let bytes = std::fs::read(folder.0.join(FILE_NAME)).expect("still there");
    assert_eq!(&bytes[..9], b"something");
}

#[test]
fn after_a_failed_write_only_a_snapshot_is_accepted() {
    let folder = Folder::new("refused");
    let (mut store, _) = Store::open_with_limit(&folder.0, DiskId(77), 96 << 10).expect("the store opens");
    store.append(&whole()).expect("kept");
    let large = Entry::Change { base_version: 0, body: Arc::new(vec![b'x'; 200 << 10]) };
    assert!(matches!(store.append(&accepted(2, 2, large)), Err(StoreError::Sqlite(_))), "the disk is full");
    assert!(store.append(&accepted(2, 3, word(6, 5))).is_err(), "it would stand on a gap");
    store.append(&whole()).expect("all anew");
    store.append(&accepted(2, 2, word(5, 0))).expect("kept again");
    drop(store);
    assert_eq!(
        open(&folder.0).1.accepted,
        Some(AcceptedEntry { term: Term::new(2, DiskId(1)), entry: word(5, 0) })
    );
}

/// A file of the format before: its state is read, and orders that it remembers under short digests count as forgotten.
#[test]
fn a_store_of_format_1_is_migrated_once() {
    let folder = Folder::new("converted");
    let (mut store, _) = open(&folder.0);
    store.append(&whole()).expect("it is kept");
    store.append(&accepted(1, 2, word(5, 0))).expect("it is kept");
    store.append(&accepted(1, 3, word(9, 5))).expect("it is kept");
    let found = store.recover().expect("it can be read");
    drop(store);
    make_format_1(&folder.0, &found.state);
    let (store, converted) = open(&folder.0);
    let state = converted.state;
    assert_eq!((state.version(), state.index, &state.voters), (5, LogIndex(2), &voters()));
    assert_eq!((state.forgotten_up_to, state.applied_requests.len()), (5, 0));
    assert_eq!(store.disk(), DiskId(77), "it is the same disk");
    drop(store);
    assert_eq!(open(&folder.0).1.state, state, "and it is converted once");
}

/// Writes a state as format 1 had it, with nothing behind it.
fn make_format_1(folder: &Path, state: &ReplicatedState) {
    use ciborium::Value;
    let mut bytes = Vec::new();
    ciborium::into_writer(state, &mut bytes).expect("a state can be written");
    let mut fields: Vec<(Value, Value)> = match ciborium::from_reader(&bytes[..]) {
        Ok(Value::Map(fields)) => fields,
        other => panic!("a state is a map: {other:?}"),
    };
    fields.retain(|(key, _)| key.as_text() != Some("forgotten") && key.as_text() != Some("taken"));
    let taken = state.applied_requests.keys().map(|version| (Value::from(*version), Value::from(u64::MAX)));
    fields.push((Value::from("taken"), Value::Map(taken.collect())));
    let (mut old, mut format) = (Vec::new(), Vec::new());
    ciborium::into_writer(&Value::Map(fields), &mut old).expect("it can be written");
    ciborium::into_writer(&1_u32, &mut format).expect("it can be written");
    let file = rusqlite::Connection::open(folder.join(FILE_NAME)).expect("the file opens");
    file.execute("INSERT OR REPLACE INTO state VALUES (1, ?1)", [old]).expect("it is kept");
    file.execute("DELETE FROM log", []).expect("it is kept");
    file.execute("UPDATE meta SET value = ?1 WHERE key = 'format'", [format]).expect("it is kept");
}

/// The cause of an error is at hand for whoever handles it by its kind.
#[test]
fn errors_of_disk_and_folder_have_their_source() {
    use std::error::Error;
    let missing = Path::new("/nonexistent/folder");
    let error = Store::open(missing, DiskId(1)).expect_err("there is no folder");
    let source = error.source().expect("the disk's error is its source");
    assert!(source.is::<rusqlite::Error>(), "{source}");
    let folder =
        StoreError::SyncFolder { folder: missing.to_owned(), error: std::io::Error::other("no disk") };
    assert!(folder.source().is_some_and(|source| source.is::<std::io::Error>()));
    let format = StoreError::UnsupportedFormat { file: missing.to_owned(), found: 9 };
    assert!(format.source().is_none());
}
