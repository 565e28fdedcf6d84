//! A voter's store: synced records are recovered, whatever follows them on disk, and files of another format are
//! rejected with an error that names the file.

use brassport_config_store::consensus::{
    AcceptedEntry, CommittedEntry, DiskId, DurableState, Entry, LogIndex, Record, Replica, ReplicatedState,
    Term, VoterId,
};
use brassport_config_store::store::{Store, StoreError, FILE_NAME};
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// A temporary folder, which is removed when dropped.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        let folder =
            std::env::temp_dir().join(format!("brassport_config_store-{}-{name}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        TempFolder(folder)
    }
}

impl Drop for TempFolder {
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

fn snapshot() -> Record {
    let state = ReplicatedState::initial(voters(), 4);
    Record::Snapshot(DurableState { promised: Term::new(1, DiskId(1)), state, accepted: None })
}

fn replace_entry(version: u32, base_version: u32) -> Entry {
    let text = format!("{{\"version\":\"{version:08x}\",\"services\":[],\"hosts\":[]}}");
    Entry::Replace { base_version, body: Arc::new(text.into_bytes()) }
}

fn accepted(term: u64, index: u64, entry: Entry) -> Record {
    Record::Accepted { term: Term::new(term, DiskId(1)), index: LogIndex(index), entry }
}

#[test]
fn a_new_store_is_empty_and_keeps_its_disk_number() {
    let folder = TempFolder::new("new");
    let (store, found) = open(&folder.0);
    assert_eq!((store.disk(), found.state.index, found.promised), (DiskId(77), LogIndex(0), Term::ZERO));
    drop(store);
    assert_eq!(
        Store::open(&folder.0, DiskId(99)).expect("the store opens again").0.disk(),
        DiskId(77),
        "the number assigned when the store was created"
    );
}

#[test]
fn the_last_acceptance_is_open_and_all_before_it_committed() {
    let folder = TempFolder::new("accepted");
    let (mut store, _) = open(&folder.0);
    for record in [
        snapshot(),
        accepted(2, 2, replace_entry(5, 0)),
        Record::Promised(Term::new(4, DiskId(1))),
        accepted(4, 3, replace_entry(9, 5)),
    ] {
        store.append(&record).expect("the record is stored");
    }
    drop(store);
    let (_, found) = open(&folder.0);
    assert_eq!((found.state.index, found.state.version()), (LogIndex(2), 5));
    assert_eq!(
        found.accepted,
        Some(AcceptedEntry { term: Term::new(4, DiskId(1)), entry: replace_entry(9, 5) })
    );
    assert_eq!(found.promised, Term::new(4, DiskId(1)));
    // A replica can start from the recovered state.
    let replica = Replica::new([10, 0, 0, 1].into(), DiskId(1), Some(found), 0);
    assert!(replica.is_voter());
}

#[test]
fn a_committed_entry_replaces_an_accepted_one() {
    let folder = TempFolder::new("committed");
    let (mut store, _) = open(&folder.0);
    let committed = Record::Committed(CommittedEntry { index: LogIndex(2), entry: replace_entry(7, 0) });
    for record in [snapshot(), accepted(2, 2, replace_entry(5, 0)), committed] {
        store.append(&record).expect("the record is stored");
    }
    drop(store);
    let (_, found) = open(&folder.0);
    assert_eq!((found.state.index, found.state.version(), found.accepted), (LogIndex(2), 7, None));
}

#[test]
fn a_snapshot_replaces_all_before_it() {
    let folder = TempFolder::new("snapshot");
    let (mut store, _) = open(&folder.0);
    for record in [snapshot(), accepted(2, 2, replace_entry(5, 0))] {
        store.append(&record).expect("the record is stored");
    }
    let mut state = ReplicatedState::initial(voters(), 4);
    state.apply(&replace_entry(5, 0));
    let accepted_entry = Some(AcceptedEntry { term: Term::new(3, DiskId(2)), entry: replace_entry(6, 5) });
    let record = Record::Snapshot(DurableState {
        promised: Term::new(9, DiskId(3)),
        state: state.clone(),
        accepted: accepted_entry.clone(),
    });
    store.append(&record).expect("the record is stored");
    drop(store);
    assert_eq!(
        open(&folder.0).1,
        DurableState { promised: Term::new(9, DiskId(3)), state, accepted: accepted_entry }
    );
}

#[test]
fn a_torn_tail_loses_only_what_was_not_synced() {
    let folder = TempFolder::new("torn");
    let (mut store, _) = open(&folder.0);
    store.append(&snapshot()).expect("the record is stored");
    store.append(&accepted(2, 2, replace_entry(5, 0))).expect("the record is stored");
    // Simulates a loss of power: copies the files as they are, and appends an incomplete write to the write-ahead log.
    let copy = TempFolder::new("torn-copy");
    for file in std::fs::read_dir(&folder.0).expect("the folder can be read") {
        let file = file.expect("the file can be listed");
        let mut bytes = std::fs::read(file.path()).expect("the file can be read");
        if file.file_name().to_string_lossy().ends_with("-wal") {
            bytes.extend(std::iter::repeat_n(0x5a, 3_000));
        }
        std::fs::write(copy.0.join(file.file_name()), bytes).expect("the copy can be written");
    }
    let (_, found) = open(&copy.0);
    assert_eq!(
        found.accepted,
        Some(AcceptedEntry { term: Term::new(2, DiskId(1)), entry: replace_entry(5, 0) })
    );
}

#[test]
fn an_unsupported_format_is_rejected_with_file_and_help() {
    let folder = TempFolder::new("format");
    drop(open(&folder.0));
    let file = rusqlite::Connection::open(folder.0.join(FILE_NAME)).expect("the file opens");
    file.execute("UPDATE meta SET value = x'1863' WHERE key = 'format'", []).expect("the format is changed");
    drop(file);
    let error = Store::open(&folder.0, DiskId(1)).expect_err("the file is rejected");
    assert!(matches!(error, StoreError::UnsupportedFormat { found: 99, .. }), "{error}");
    assert!(error.to_string().contains(FILE_NAME), "{error}");
    let help = miette::Diagnostic::help(&error).expect("the error has a hint").to_string();
    assert!(help.contains("move the file away"), "{help}");
}

#[test]
fn a_file_that_is_no_store_is_rejected_and_left_unchanged() {
    let folder = TempFolder::new("no-store");
    std::fs::write(folder.0.join(FILE_NAME), b"something else altogether, of some length")
        .expect("the file can be written");
    assert!(Store::open(&folder.0, DiskId(1)).is_err());
    let bytes = std::fs::read(folder.0.join(FILE_NAME)).expect("the file still exists");
    assert_eq!(&bytes[..9], b"something");
}

#[test]
fn after_a_failed_write_only_a_snapshot_is_accepted() {
    let folder = TempFolder::new("failed-write");
    let (mut store, _) = Store::open_with_limit(&folder.0, DiskId(77), 96 << 10).expect("the store opens");
    store.append(&snapshot()).expect("the record is stored");
    let large = Entry::Change { base_version: 0, body: Arc::new(vec![b'x'; 200 << 10]) };
    assert!(matches!(store.append(&accepted(2, 2, large)), Err(StoreError::Sqlite(_))), "the disk is full");
    assert!(store.append(&accepted(2, 3, replace_entry(6, 5))).is_err(), "the record would leave a gap");
    store.append(&snapshot()).expect("a snapshot is accepted");
    store.append(&accepted(2, 2, replace_entry(5, 0))).expect("records are accepted again");
    drop(store);
    assert_eq!(
        open(&folder.0).1.accepted,
        Some(AcceptedEntry { term: Term::new(2, DiskId(1)), entry: replace_entry(5, 0) })
    );
}

/// The migration keeps the state, and marks the requests that are identified by short digests as forgotten.
#[test]
fn a_store_of_format_1_is_migrated_once() {
    let folder = TempFolder::new("migrated");
    let (mut store, _) = open(&folder.0);
    store.append(&snapshot()).expect("the record is stored");
    store.append(&accepted(1, 2, replace_entry(5, 0))).expect("the record is stored");
    store.append(&accepted(1, 3, replace_entry(9, 5))).expect("the record is stored");
    let found = store.recover().expect("the store can be read");
    drop(store);
    rewrite_as_format_1(&folder.0, &found.state);
    let (store, migrated) = open(&folder.0);
    let state = migrated.state;
    assert_eq!((state.version(), state.index, &state.voters), (5, LogIndex(2), &voters()));
    assert_eq!((state.forgotten_up_to, state.applied_requests.len()), (5, 0));
    assert_eq!(store.disk(), DiskId(77), "the disk number is unchanged");
    drop(store);
    assert_eq!(open(&folder.0).1.state, state, "the file is not migrated again");
}

/// Rewrites a store as format 1, with the given state and an empty log.
fn rewrite_as_format_1(folder: &Path, state: &ReplicatedState) {
    use ciborium::Value;
    let mut bytes = Vec::new();
    ciborium::into_writer(state, &mut bytes).expect("the state can be encoded");
    let mut fields: Vec<(Value, Value)> = match ciborium::from_reader(&bytes[..]) {
        Ok(Value::Map(fields)) => fields,
        other => panic!("the state is not a map: {other:?}"),
    };
    fields.retain(|(key, _)| key.as_text() != Some("forgotten") && key.as_text() != Some("taken"));
    let taken = state.applied_requests.keys().map(|version| (Value::from(*version), Value::from(u64::MAX)));
    fields.push((Value::from("taken"), Value::Map(taken.collect())));
    let (mut old, mut format) = (Vec::new(), Vec::new());
    ciborium::into_writer(&Value::Map(fields), &mut old).expect("the value can be encoded");
    ciborium::into_writer(&1_u32, &mut format).expect("the value can be encoded");
    let file = rusqlite::Connection::open(folder.join(FILE_NAME)).expect("the file opens");
    file.execute("INSERT OR REPLACE INTO state VALUES (1, ?1)", [old]).expect("the row is written");
    file.execute("DELETE FROM log", []).expect("the row is written");
    file.execute("UPDATE meta SET value = ?1 WHERE key = 'format'", [format]).expect("the row is written");
}

/// `Error::source` gives access to the underlying error.
#[test]
fn errors_of_disk_and_folder_have_their_source() {
    use std::error::Error;
    let missing = Path::new("/nonexistent/folder");
    let error = Store::open(missing, DiskId(1)).expect_err("the folder does not exist");
    let source = error.source().expect("the error of SQLite is the source");
    assert!(source.is::<rusqlite::Error>(), "{source}");
    let folder =
        StoreError::SyncFolder { folder: missing.to_owned(), error: std::io::Error::other("no disk") };
    assert!(folder.source().is_some_and(|source| source.is::<std::io::Error>()));
    let format = StoreError::UnsupportedFormat { file: missing.to_owned(), found: 9 };
    assert!(format.source().is_none());
}
