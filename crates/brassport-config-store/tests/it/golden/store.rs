//! Golden rows of a store, and golden texts of its errors.

use super::{change, encode, minimal_document, replace, state, GOLDEN, PACKAGE, TERM};
use brassport_config_store::consensus::{
    AcceptedEntry, CommittedEntry, DiskId, DurableState, Entry, LogIndex, Record, Term,
};
use brassport_config_store::store::{Store, StoreError, FILE_NAME};
use brassport_golden::hex;
use rusqlite::types::Value as Cell;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// A temporary folder, which is removed when dropped.
struct TempFolder(PathBuf);

impl TempFolder {
    fn new(name: &str) -> TempFolder {
        static MADE: AtomicU32 = AtomicU32::new(0);
        let number = MADE.fetch_add(1, Ordering::Relaxed);
        let name = format!("brassport_config_store-golden-{}-{number}-{name}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("the folder can be created");
        TempFolder(folder)
    }

    /// A temporary folder that contains a copy of a fixture as its store.
    fn with(fixture: &str) -> TempFolder {
        let folder = TempFolder::new(fixture);
        std::fs::copy(golden(fixture), folder.0.join(FILE_NAME)).expect("the fixture exists");
        folder
    }
}

impl Drop for TempFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn golden(name: &str) -> PathBuf {
    Path::new(PACKAGE).join("tests/golden").join(name)
}

/// The definitions and all rows of a store's tables.
fn rows(folder: &Path) -> Vec<Vec<Cell>> {
    let file = rusqlite::Connection::open(folder.join(FILE_NAME)).expect("the file opens");
    let mut rows = Vec::new();
    for query in [
        "SELECT name, sql FROM sqlite_schema ORDER BY name",
        "SELECT key, value FROM meta ORDER BY key",
        "SELECT only_one, value FROM state",
        "SELECT place, epoch, entry, chosen FROM log ORDER BY place",
    ] {
        let mut statement = file.prepare(query).expect("the table exists");
        let columns = statement.column_count();
        let found = statement.query_map([], |row| (0..columns).map(|column| row.get(column)).collect());
        rows.extend(found.expect("the query succeeds").map(|row| row.expect("the row can be read")));
    }
    rows
}

const STORE: &str = "store-2.sqlite";
const OLD_STORE: &str = "store-1.sqlite";
const DISK: DiskId = DiskId(0xfeed_0000_0000_0001);

/// The records of the fixture: a snapshot at index 5, two more versions, a no-op, and an accepted change.
fn appended() -> Vec<Record> {
    let accepted = |term, index, entry| Record::Accepted { term, index: LogIndex(index), entry };
    let last = r#"{"version":"00000009","put":{"services":[{"name":"late"}]}}"#;
    vec![
        Record::Snapshot(DurableState { promised: Term::new(1, DiskId(1)), state: state(), accepted: None }),
        accepted(Term::new(2, DISK), 6, replace(6, &minimal_document(7))),
        Record::Committed(CommittedEntry {
            index: LogIndex(7),
            entry: change(7, r#"{"version":"00000008","put":{"services":[{"name":"s"}]}}"#),
        }),
        accepted(Term::new(3, DISK), 8, Entry::Noop),
        Record::Promised(Term::new(5, DiskId(2))),
        accepted(Term::new(6, DISK), 9, change(8, last)),
    ]
}

fn expected() -> DurableState {
    let mut state = state();
    let mut accepted_entry = None;
    for record in appended() {
        match record {
            Record::Committed(CommittedEntry { entry, .. }) => {
                if let Some(AcceptedEntry { entry: before, .. }) = accepted_entry.take() {
                    state.apply(&before);
                }
                state.apply(&entry);
            }
            Record::Accepted { term, entry, .. } => {
                if let Some(AcceptedEntry { entry: before, .. }) =
                    accepted_entry.replace(AcceptedEntry { term, entry })
                {
                    state.apply(&before);
                }
            }
            Record::Promised(_) | Record::Snapshot(_) => {}
        }
    }
    DurableState { promised: Term::new(6, DISK), state, accepted: accepted_entry }
}

/// Writes the records of the fixture to a new store.
fn write_store(folder: &Path) {
    let (mut store, _) = Store::open(folder, DISK).expect("the new store opens");
    appended().iter().for_each(|record| store.append(record).expect("the record is stored"));
}

/// Writes a store of format 1, whose state identifies requests by digests of 64 bits.
fn write_old_store(folder: &Path) {
    use ciborium::Value;
    write_store(folder);
    let mut fields: Vec<(Value, Value)> = match ciborium::from_reader(&encode(&state())[..]) {
        Ok(Value::Map(fields)) => fields,
        other => panic!("the state is not a map: {other:?}"),
    };
    fields.retain(|(key, _)| key.as_text() != Some("forgotten") && key.as_text() != Some("taken"));
    let taken =
        state().applied_requests.into_keys().map(|version| (Value::from(version), Value::from(u64::MAX)));
    fields.push((Value::from("taken"), Value::Map(taken.collect())));
    let file = rusqlite::Connection::open(folder.join(FILE_NAME)).expect("the file opens");
    let state = encode(&Value::Map(fields));
    file.execute("INSERT OR REPLACE INTO state VALUES (1, ?1)", [state]).expect("the row is written");
    file.execute("UPDATE meta SET value = ?1 WHERE key = 'format'", [encode(&1_u32)])
        .expect("the row is written");
}

/// Writes a store as a fixture, with its write-ahead log merged, if `GOLDEN_WRITE=1` requests it. Returns whether it
/// did.
fn write_if_requested(name: &str, write: fn(&Path)) -> bool {
    let is_requested = std::env::var("GOLDEN_WRITE").is_ok_and(|value| value == "1");
    if is_requested {
        let folder = TempFolder::new("written");
        write(&folder.0);
        let file = rusqlite::Connection::open(folder.0.join(FILE_NAME)).expect("the file opens");
        file.pragma_update(None, "journal_mode", "delete").expect("the write-ahead log is merged");
        drop(file);
        std::fs::copy(folder.0.join(FILE_NAME), golden(name)).expect("the fixture can be written");
    }
    is_requested
}

#[test]
fn a_store_in_service_is_recovered_unchanged_and_written_the_same() {
    assert!(
        !write_if_requested(STORE, write_store),
        "the fixture was written, as requested by GOLDEN_WRITE=1; run again without it"
    );
    let folder = TempFolder::with(STORE);
    let (store, found) = Store::open(&folder.0, DiskId(99)).expect("the fixture opens");
    assert_eq!(store.disk(), DISK);
    drop(store);
    assert_eq!(found, expected());
    assert_eq!((found.state.index, found.state.version(), found.state.forgotten_up_to), (LogIndex(8), 8, 0));
    let fresh = TempFolder::new("fresh");
    write_store(&fresh.0);
    let (written, kept) = (rows(&fresh.0), rows(&TempFolder::with(STORE).0));
    assert!(kept.len() >= 3 + 3 + 1 + 4, "some table has no rows: {}", kept.len());
    assert_eq!(written, kept);
    assert_eq!(rows(&folder.0), kept, "opening a store does not change its rows");
}

#[test]
fn a_store_of_format_1_is_migrated_to_the_same_rows() {
    // If this writes the fixture, the comparison at the end writes its fixture too, and fails.
    write_if_requested(OLD_STORE, write_old_store);
    let folder = TempFolder::with(OLD_STORE);
    let (_, found) = Store::open(&folder.0, DiskId(99)).expect("the fixture opens");
    let DurableState { mut state, accepted, .. } = expected();
    state.applied_requests.retain(|version, _| *version > 6);
    state.forgotten_up_to = 6;
    assert_eq!(found, DurableState { promised: Term::new(6, DISK), state, accepted });
    let cases: Vec<(String, String)> = rows(&folder.0)
        .into_iter()
        .enumerate()
        .map(|(number, row)| (format!("row {number}"), row.iter().map(cell).collect::<Vec<_>>().join(" | ")))
        .collect();
    GOLDEN.same_lines("converted", &cases);
}

fn cell(cell: &Cell) -> String {
    match cell {
        Cell::Null => "null".to_owned(),
        Cell::Integer(number) => number.to_string(),
        Cell::Real(number) => number.to_string(),
        Cell::Text(text) => text.split_whitespace().collect::<Vec<_>>().join(" "),
        Cell::Blob(bytes) => hex(bytes),
    }
}

/// The name of a variant. The match is exhaustive, so that a new variant can't be added without a case below.
fn error_name(error: &StoreError) -> &'static str {
    match error {
        StoreError::UnsupportedFormat { .. } => "format",
        StoreError::Corrupt { .. } => "corrupt",
        StoreError::SyncFolder { .. } => "folder",
        StoreError::Sqlite(_) => "disk",
    }
}

#[test]
fn store_errors_match_their_golden_texts() {
    let changed = |sql: &str| {
        let folder = TempFolder::with(STORE);
        let file = rusqlite::Connection::open(folder.0.join(FILE_NAME)).expect("the file opens");
        file.execute(sql, []).expect("the store is changed");
        drop(file);
        let error = Store::open(&folder.0, DiskId(99)).expect_err("the store is rejected");
        (error, folder.0.clone())
    };
    let with_gap = || {
        let folder = TempFolder::new("gap");
        let (mut store, _) = Store::open_with_limit(&folder.0, DISK, 64 << 10).expect("the new store opens");
        let large =
            Record::Committed(CommittedEntry { index: LogIndex(1), entry: replace(0, &" ".repeat(1 << 20)) });
        let full = store.append(&large).expect_err("the file is full");
        (full, store.append(&Record::Promised(TERM)).expect_err("the log has a gap"), folder.0.clone())
    };
    let (full, after_gap, folder_with_gap) = with_gap();
    let error = std::io::Error::new(std::io::ErrorKind::PermissionDenied, "not allowed");
    let missing = PathBuf::from("FOLDER");
    let cases = [
        ("other format", changed("UPDATE meta SET value = x'1863' WHERE key = 'format'")),
        ("no number", changed("DELETE FROM meta WHERE key = 'disk'")),
        ("a gap", changed("UPDATE log SET place = place + 100")),
        ("a bad entry", changed("UPDATE log SET entry = x'60'")),
        ("full", (full, folder_with_gap.clone())),
        ("behind a gap", (after_gap, folder_with_gap)),
        ("folder", (StoreError::SyncFolder { folder: missing.clone(), error }, missing)),
    ];
    let covered: BTreeSet<&str> = cases.iter().map(|(_, (error, _))| error_name(error)).collect();
    assert_eq!(covered.len(), 4, "a variant has no case");
    let text = |(name, (error, folder)): (&str, (StoreError, PathBuf))| {
        let help = miette::Diagnostic::help(&error).map(|help| help.to_string()).unwrap_or_default();
        let text = error.to_string().replace(&folder.display().to_string(), "FOLDER");
        (name.to_owned(), format!("{text}\n{help}"))
    };
    GOLDEN.same_lines("store_faults", &cases.map(text));
}
