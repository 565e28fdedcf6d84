//! Golden bytes: what voters say to one another and keep on disk, and what becomes of an operator's document, held against
//! fixtures in `tests/golden`. Two of them are stores as a voter left them, of format 2 and of format 1.

use crate::fixture;
use crate::hex::hex;
use brassport_config_store::configuration::{
    difference, Document, Idempotency, ValidationError, ValidationErrors, Version,
};
use brassport_config_store::consensus::{
    AcceptedEntry, ChangeScope, CommittedEntry, DiskId, DurableState, Entry, LogIndex, Message, Record,
    ReplicatedState, RequestDigest, Term, VoterId, REMEMBERED_REQUESTS,
};
use brassport_config_store::store::{Store, StoreError, FILE_NAME};
use rusqlite::types::Value as Cell;
use serde::{de::DeserializeOwned, Serialize};
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;

const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");
const TERM: Term = Term::new(4, DiskId(77));

fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("a vector takes all");
    bytes
}

/// The CBOR of a value; what is read from it is equal and has the same bytes.
fn encoded<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) -> (String, String) {
    let bytes = encode(value);
    let read: T = ciborium::from_reader(&bytes[..]).expect("the bytes can be read");
    assert_eq!(&read, value, "{name}");
    assert_eq!(encode(&read), bytes, "{name}");
    (name.to_owned(), hex(&bytes))
}

fn voter(number: u8) -> VoterId {
    VoterId { ip: [10, 0, 0, number].into(), disk: DiskId(0xfeed_0000_0000_0000 | u64::from(number)) }
}

fn voters() -> Vec<VoterId> {
    (1..4).map(voter).collect()
}

/// A document with each part that an operator may write, and with fields that nobody here knows.
const DOCUMENT: &str = r#"{ "version": "00000005", "note": {"by": "ops", "at": [1, 2.5, 1e3]},
 "services": [{"name": "search", "healthPath": "/ok", "maxConnections": 7, "protocol": "h1", "tls": true, "owner": "x"}, {"name": "pay"}],
 "limits": {"maxHeaderBytes": 4096, "maxBodyBytes": 0, "headerWaitS": 1.5, "idleWaitS": 9, "other": null},
 "customers": [{"name": "acme", "keys": ["k1", "k2"], "rank": 2, "ratePerS": 12.5, "burst": 30}, {"name": "solo"}],
 "hosts": [{"host": "Shop.Example:443", "paths": [
  {"name": "all", "pathStart": "/", "kind": "safe", "giveUpS": 2.5, "goalS": 0.5, "rank": 1, "service": "search", "tries": 3, "public": true},
  {"name": "split", "pathStart": "/pay/", "kind": "unsafe", "giveUpS": 600, "split": [{"service": "pay", "weight": 3}, {"service": "search", "weight": 0}]}]}] }"#;
const CHANGE: &str = r#"{"version":"00000006","put":{"services":[{"name":"pay","tls":true},{"name":"new"}],"hosts":[{"host":"api.example","paths":[{"name":"api","pathStart":"/v1/","giveUpS":1,"service":"new"}]}],"limits":{"idleWaitS":4}},"remove":{"routes":["split"],"customers":["solo","none"]}}"#;

fn replace(base_version: u32, body: &str) -> Entry {
    Entry::Replace { base_version, body: Arc::new(body.as_bytes().to_vec()) }
}

fn change(base_version: u32, body: &str) -> Entry {
    Entry::Change { base_version, body: Arc::new(body.as_bytes().to_vec()) }
}

fn accepted(term: Term, entry: Entry) -> AcceptedEntry {
    AcceptedEntry { term, entry }
}

/// The name of a kind; one that is new does not compile here until it has a case in [`entries`] too.
fn entry_name(entry: &Entry) -> &'static str {
    match entry {
        Entry::Noop => "nothing",
        Entry::Voters { .. } => "voters",
        Entry::Replace { .. } => "replace",
        Entry::Change { .. } => "change",
    }
}
/// Arms of [`entry_name`].
const ENTRIES: usize = 4;

fn entries() -> Vec<Entry> {
    let voters = voters();
    vec![Entry::Noop, Entry::Voters { voters, quota_shares: 5 }, replace(0, DOCUMENT), change(5, CHANGE)]
}

/// As [`entry_name`], for [`messages`].
fn message_name(message: &Message) -> &'static str {
    match message {
        Message::Prepare { .. } => "prepare",
        Message::Promise { .. } => "promise",
        Message::Reject { .. } => "refuse",
        Message::Accept { .. } => "accept",
        Message::Accepted { .. } => "accepted",
        Message::Heartbeat { .. } => "lead",
        Message::TransferLeadership { .. } => "transfer",
        Message::HeartbeatResponse { .. } => "follow",
    }
}
/// Arms of [`message_name`].
const MESSAGES: usize = 8;

fn messages() -> Vec<Message> {
    let (term, index, heartbeat) = (TERM, LogIndex(300), 1_000);
    let mut messages = vec![
        Message::Prepare { term },
        Message::Promise { term, index, accepted: None },
        Message::Reject { term },
        Message::Accepted { term, index },
        Message::Heartbeat { term, index, heartbeat },
        Message::TransferLeadership { term, to: voter(3) },
        Message::HeartbeatResponse { term, index, heartbeat },
    ];
    for entry in entries() {
        messages.push(Message::Promise {
            term,
            index,
            accepted: Some(accepted(Term::new(3, DiskId(9)), entry.clone())),
        });
        messages.push(Message::Accept { term, index, entry });
    }
    messages
}

/// As [`entry_name`], for [`records`].
fn record_name(record: &Record) -> &'static str {
    match record {
        Record::Promised(_) => "promised",
        Record::Committed(_) => "chosen",
        Record::Accepted { .. } => "accepted",
        Record::Snapshot(_) => "whole",
    }
}
/// Arms of [`record_name`].
const RECORDS: usize = 4;

/// What led to a state with two versions and other voters.
fn state() -> ReplicatedState {
    let mut state = ReplicatedState::genesis(voters(), 4);
    entries().iter().for_each(|entry| state.apply(entry));
    assert_eq!((state.index, state.version(), state.quota_shares), (LogIndex(5), 6, 5));
    state
}

/// A state that has forgotten some of its orders.
fn long_state() -> ReplicatedState {
    let mut state = ReplicatedState::genesis(vec![voter(1)], 1);
    for version in 1..=REMEMBERED_REQUESTS as u32 + 3 {
        state.apply(&replace(version - 1, &small(version)));
    }
    assert_eq!((state.forgotten_up_to, state.applied_requests.len()), (3, REMEMBERED_REQUESTS));
    state
}

fn small(version: u32) -> String {
    format!("{{\"version\":\"{version:08x}\",\"services\":[],\"hosts\":[]}}")
}

fn records() -> Vec<Record> {
    let (open, entry) = (Some(accepted(TERM, entries().remove(1))), replace(6, &small(7)));
    vec![
        Record::Promised(TERM),
        Record::Committed(CommittedEntry { index: LogIndex(6), entry: entry.clone() }),
        Record::Accepted { term: TERM, index: LogIndex(6), entry },
        Record::Snapshot(DurableState { promised: TERM, state: state(), accepted: open }),
    ]
}

fn numbered<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    values: &[T],
    name: fn(&T) -> &'static str,
    variants: usize,
) -> Vec<(String, String)> {
    let covered: BTreeSet<&str> = values.iter().map(name).collect();
    assert_eq!(covered.len(), variants, "a variant has no case");
    values
        .iter()
        .enumerate()
        .map(|(number, value)| encoded(&format!("{number} {}", name(value)), value))
        .collect()
}

#[test]
fn each_message_has_its_bytes() {
    fixture::check(PACKAGE, "messages", &numbered(&messages(), message_name, MESSAGES));
}

#[test]
fn each_entry_has_its_bytes() {
    fixture::check(PACKAGE, "entries", &numbered(&entries(), entry_name, ENTRIES));
}

#[test]
fn each_record_has_its_bytes() {
    fixture::check(PACKAGE, "records", &numbered(&records(), record_name, RECORDS));
}

#[test]
fn states_and_digests_have_their_bytes() {
    let digest = RequestDigest::of(ChangeScope::Full, 4, b"body");
    assert_eq!(format!("{digest:?}"), hex(&encode(&digest))[2..], "a digest is its bytes");
    let cases = [
        encoded("nothing", &ReplicatedState::empty()),
        encoded("genesis", &ReplicatedState::genesis(voters(), 4)),
        encoded("two versions", &state()),
        encoded("orders forgotten", &long_state()),
        encoded("digest of a whole one", &digest),
        encoded("digest of a change", &RequestDigest::of(ChangeScope::Partial, 4, b"body")),
        encoded("voter", &voter(1)),
        encoded("chosen", &CommittedEntry { index: LogIndex(9), entry: Entry::Noop }),
        encoded(
            "recovered",
            &DurableState { promised: TERM, state: ReplicatedState::empty(), accepted: None },
        ),
        encoded("kind safe", &Idempotency::Safe),
        encoded("kind unsafe", &Idempotency::Unsafe),
    ];
    fixture::check(PACKAGE, "states", &cases);
}

/// A folder of its own, taken away at the end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        static MADE: AtomicU32 = AtomicU32::new(0);
        let number = MADE.fetch_add(1, Ordering::Relaxed);
        let name = format!("brassport_config_store-golden-{}-{number}-{name}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).expect("a folder");
        Folder(folder)
    }

    /// One with a copy of a fixture in it.
    fn with(fixture: &str) -> Folder {
        let folder = Folder::new(fixture);
        std::fs::copy(golden(fixture), folder.0.join(FILE_NAME)).expect("the fixture is there");
        folder
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn golden(name: &str) -> PathBuf {
    Path::new(PACKAGE).join("tests/golden").join(name)
}

/// All that stands in a store's tables, and how they are made.
fn rows(folder: &Path) -> Vec<Vec<Cell>> {
    let file = rusqlite::Connection::open(folder.join(FILE_NAME)).expect("the file opens");
    let mut rows = Vec::new();
    for query in [
        "SELECT name, sql FROM sqlite_schema ORDER BY name",
        "SELECT key, value FROM meta ORDER BY key",
        "SELECT only_one, value FROM state",
        "SELECT place, epoch, entry, chosen FROM log ORDER BY place",
    ] {
        let mut statement = file.prepare(query).expect("the table is there");
        let columns = statement.column_count();
        let found = statement.query_map([], |row| (0..columns).map(|column| row.get(column)).collect());
        rows.extend(found.expect("rows").map(|row| row.expect("a row")));
    }
    rows
}

const STORE: &str = "store-2.sqlite";
const OLD_STORE: &str = "store-1.sqlite";
const DISK: DiskId = DiskId(0xfeed_0000_0000_0001);

/// What a voter kept, one record after another: a snapshot at index 5, two more versions, and one that is open.
fn kept() -> Vec<Record> {
    let accepted = |term, index, entry| Record::Accepted { term, index: LogIndex(index), entry };
    let last = r#"{"version":"00000009","put":{"services":[{"name":"late"}]}}"#;
    vec![
        Record::Snapshot(DurableState { promised: Term::new(1, DiskId(1)), state: state(), accepted: None }),
        accepted(Term::new(2, DISK), 6, replace(6, &small(7))),
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
    let mut open = None;
    for record in kept() {
        match record {
            Record::Committed(CommittedEntry { entry, .. }) => {
                if let Some(AcceptedEntry { entry: before, .. }) = open.take() {
                    state.apply(&before);
                }
                state.apply(&entry);
            }
            Record::Accepted { term, entry, .. } => {
                if let Some(AcceptedEntry { entry: before, .. }) = open.replace(AcceptedEntry { term, entry })
                {
                    state.apply(&before);
                }
            }
            Record::Promised(_) | Record::Snapshot(_) => {}
        }
    }
    DurableState { promised: Term::new(6, DISK), state, accepted: open }
}

/// Writes the store anew, as this code does.
fn write_store(folder: &Path) {
    let (mut store, _) = Store::open(folder, DISK).expect("a new store");
    kept().iter().for_each(|record| store.append(record).expect("it is kept"));
}

/// Writes a store as format 1 had it: a state alone, whose orders stand under digests of 64 bits.
fn write_old_store(folder: &Path) {
    use ciborium::Value;
    write_store(folder);
    let mut fields: Vec<(Value, Value)> = match ciborium::from_reader(&encode(&state())[..]) {
        Ok(Value::Map(fields)) => fields,
        other => panic!("a state is a map: {other:?}"),
    };
    fields.retain(|(key, _)| key.as_text() != Some("forgotten") && key.as_text() != Some("taken"));
    let taken =
        state().applied_requests.into_keys().map(|version| (Value::from(version), Value::from(u64::MAX)));
    fields.push((Value::from("taken"), Value::Map(taken.collect())));
    let file = rusqlite::Connection::open(folder.join(FILE_NAME)).expect("the file opens");
    let state = encode(&Value::Map(fields));
    file.execute("INSERT OR REPLACE INTO state VALUES (1, ?1)", [state]).expect("it is kept");
    file.execute("UPDATE meta SET value = ?1 WHERE key = 'format'", [encode(&1_u32)]).expect("it is kept");
}

/// Writes a store as a fixture, with its write-ahead log taken in, if that is asked for; whether it was.
fn write_if_asked(name: &str, write: fn(&Path)) -> bool {
    let is_asked = std::env::var("GOLDEN_WRITE").is_ok_and(|value| value == "1");
    if is_asked {
        let folder = Folder::new("written");
        write(&folder.0);
        let file = rusqlite::Connection::open(folder.0.join(FILE_NAME)).expect("the file opens");
        file.pragma_update(None, "journal_mode", "delete").expect("the log is taken in");
        drop(file);
        std::fs::copy(folder.0.join(FILE_NAME), golden(name)).expect("the fixture can be written");
    }
    is_asked
}

#[test]
fn a_store_in_service_is_recovered_unchanged_and_written_the_same() {
    assert!(!write_if_asked(STORE, write_store), "written, as GOLDEN_WRITE=1 asks; run again without it");
    let folder = Folder::with(STORE);
    let (store, found) = Store::open(&folder.0, DiskId(99)).expect("the fixture opens");
    assert_eq!(store.disk(), DISK);
    drop(store);
    assert_eq!(found, expected());
    assert_eq!((found.state.index, found.state.version(), found.state.forgotten_up_to), (LogIndex(8), 8, 0));
    let fresh = Folder::new("fresh");
    write_store(&fresh.0);
    let (written, kept) = (rows(&fresh.0), rows(&Folder::with(STORE).0));
    assert!(kept.len() >= 3 + 3 + 1 + 4, "all tables have rows: {}", kept.len());
    assert_eq!(written, kept);
    assert_eq!(rows(&folder.0), kept, "nothing is written anew by opening it");
}

#[test]
fn a_store_of_format_1_is_migrated_to_the_same_rows() {
    // Where it writes, the check of the rows at the end writes too, and fails.
    write_if_asked(OLD_STORE, write_old_store);
    let folder = Folder::with(OLD_STORE);
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
    fixture::check(PACKAGE, "converted", &cases);
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

/// The kind of a store's fault; one that is new does not compile here until it has a case below too.
fn store_fault_name(fault: &StoreError) -> &'static str {
    match fault {
        StoreError::UnsupportedFormat { .. } => "format",
        StoreError::Corrupt { .. } => "spoilt",
        StoreError::SyncFolder { .. } => "folder",
        StoreError::Sqlite(_) => "disk",
    }
}

#[test]
fn store_errors_have_their_texts() {
    let changed = |sql: &str| {
        let folder = Folder::with(STORE);
        let file = rusqlite::Connection::open(folder.0.join(FILE_NAME)).expect("the file opens");
        file.execute(sql, []).expect("it is changed");
        drop(file);
        let fault = Store::open(&folder.0, DiskId(99)).expect_err("it is refused");
        (fault, folder.0.clone())
    };
    let torn = || {
        let folder = Folder::new("torn");
        let (mut store, _) = Store::open_with_limit(&folder.0, DISK, 64 << 10).expect("a new store");
        let large =
            Record::Committed(CommittedEntry { index: LogIndex(1), entry: replace(0, &" ".repeat(1 << 20)) });
        let full = store.append(&large).expect_err("it is full");
        (full, store.append(&Record::Promised(TERM)).expect_err("it is torn"), folder.0.clone())
    };
    let (full, behind, torn) = torn();
    let error = std::io::Error::new(std::io::ErrorKind::PermissionDenied, "not allowed");
    let at = PathBuf::from("FOLDER");
    let cases = [
        ("other format", changed("UPDATE meta SET value = x'1863' WHERE key = 'format'")),
        ("no number", changed("DELETE FROM meta WHERE key = 'disk'")),
        ("a gap", changed("UPDATE log SET place = place + 100")),
        ("a bad entry", changed("UPDATE log SET entry = x'60'")),
        ("full", (full, torn.clone())),
        ("behind a gap", (behind, torn)),
        ("folder", (StoreError::SyncFolder { folder: at.clone(), error }, at)),
    ];
    let covered: BTreeSet<&str> = cases.iter().map(|(_, (fault, _))| store_fault_name(fault)).collect();
    assert_eq!(covered.len(), 4, "a kind of fault has no case");
    let told = |(name, (fault, folder)): (&str, (StoreError, PathBuf))| {
        let help = miette::Diagnostic::help(&fault).map(|help| help.to_string()).unwrap_or_default();
        let text = fault.to_string().replace(&folder.display().to_string(), "FOLDER");
        (name.to_owned(), format!("{text}\n{help}"))
    };
    fixture::check(PACKAGE, "store_faults", &cases.map(told));
}

#[test]
fn documents_and_differences_have_their_texts() {
    let first = Document::empty().replace(DOCUMENT.as_bytes()).expect("it is sound");
    let changed = first.change(CHANGE.as_bytes()).expect("the change is sound");
    let text = |document: &Document| String::from_utf8(document.to_bytes()).expect("JSON is text");
    for document in [&first, &changed] {
        let read = Document::from_bytes(&document.to_bytes()).expect("it can be read");
        assert_eq!((&read, read.to_bytes()), (document, document.to_bytes()));
    }
    let differences = |older: &Document, newer: &Document| {
        difference(older.configuration(), newer.configuration())
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join("\n")
    };
    let cases = [
        ("empty", text(&Document::empty())),
        ("replaced", text(&first)),
        ("changed", text(&changed)),
        ("difference from nothing", differences(&Document::empty(), &first)),
        ("difference by the change", differences(&first, &changed)),
        ("difference back", differences(&changed, &first)),
    ];
    fixture::check(PACKAGE, "documents", &cases.map(|(name, text)| (name.to_owned(), text)));
    let parsed = first.configuration();
    assert_eq!((parsed.version, parsed.has_keys), (Version(5), true));
    let (search, pay) = (&parsed.services["search"], &parsed.services["pay"]);
    assert_eq!((search.health_path.as_str(), search.max_connections, search.tls), ("/ok", 7, true));
    assert_eq!(
        (pay.health_path.as_str(), pay.max_connections, pay.protocol.as_str()),
        ("/health", 100, "h1")
    );
    assert_eq!((parsed.limits.max_header_bytes, parsed.limits.max_body_bytes), (4096, 67_108_864));
    assert_eq!((parsed.limits.header_wait_s, parsed.limits.idle_wait_s), (1.5, 9.0));
    let acme = &parsed.tenants["acme"];
    assert_eq!((acme.keys.len(), acme.rank, acme.rate_per_s, acme.burst), (2, 2, 12.5, 30.0));
    let (all, split) = (&parsed.routes[0], &parsed.routes[1]);
    assert_eq!(
        (all.host.as_str(), all.path_prefix.as_str(), all.kind),
        ("shop.example", "/", Idempotency::Safe)
    );
    assert_eq!(
        (all.timeout_s, all.latency_target_s, all.rank, all.max_attempts, all.public),
        (2.5, 0.5, 1, 3, true)
    );
    assert_eq!(all.targets, [("search".to_owned(), 1)]);
    assert_eq!(
        (split.kind, split.latency_target_s, split.max_attempts, split.public),
        (Idempotency::Unsafe, 600.0, 1, false)
    );
    assert_eq!(split.targets, [("pay".to_owned(), 3)]);
}

/// The kind of a fault. Matches outside the package must have a last arm: a new kind fails the test when it comes up.
fn fault_name(fault: &ValidationError) -> &'static str {
    match fault {
        ValidationError::Unreadable { .. } => "unreadable",
        ValidationError::WrongType { .. } => "wrong type",
        ValidationError::Missing { .. } => "missing",
        ValidationError::BadValue { .. } => "bad value",
        ValidationError::StaleVersion { .. } => "old version",
        ValidationError::UnknownService { .. } => "unknown service",
        ValidationError::DuplicateLocation { .. } => "same place",
        ValidationError::DuplicateName { .. } => "same name",
        ValidationError::DuplicateKey { .. } => "shared key",
        ValidationError::NoTarget { .. } => "no target",
        other => panic!("a kind without a case: {other}"),
    }
}

#[test]
fn validation_errors_have_their_texts() {
    let base = Document::empty().replace(DOCUMENT.as_bytes()).expect("it is sound");
    let whole = |body: &str| base.replace(body.as_bytes());
    let route = |fields: &str| {
        whole(&format!(
            r#"{{"version":"00000009","services":[{{"name":"s"}}],"hosts":[{{"host":"h","paths":[{{{fields}}}]}}]}}"#
        ))
    };
    let with = |fields: &str| whole(&format!("{{\"version\":\"00000009\",{fields}}}"));
    let changed = |fields: &str| base.change(format!("{{\"version\":\"00000009\",{fields}}}").as_bytes());
    const R: &str = r#""name":"r","pathStart":"/","giveUpS":1,"service":"s""#;
    let cases: Vec<(&str, Result<Document, ValidationErrors>)> = vec![
        ("no JSON", whole("{\n \"version\": }")),
        ("cut off", whole("{\"version\":")),
        ("empty", whole("")),
        ("a list", whole("[]")),
        ("null", whole("null")),
        ("a number", whole("7")),
        ("no version", whole("{}")),
        ("version of the wrong type", whole(r#"{"version":5}"#)),
        ("bad version", whole(r#"{"version":"xyz"}"#)),
        ("old version", whole(r#"{"version":"00000005"}"#)),
        ("lists that are none", with(r#""services":{},"customers":"c","hosts":true"#)),
        ("items that are none", with(r#""services":[1],"customers":[null],"hosts":["h"],"limits":[]"#)),
        (
            "service",
            with(
                r#""services":[{},{"name":""},{"name":"a\u0001","healthPath":"x"},{"name":"b","healthPath":"/a b","maxConnections":-1,"tls":"yes","protocol":1}]"#,
            ),
        ),
        (
            "limits",
            with(r#""limits":{"maxHeaderBytes":"1","maxBodyBytes":-5,"headerWaitS":-1,"idleWaitS":-0.5}"#),
        ),
        (
            "tenant",
            with(
                r#""customers":[{},{"name":"t","keys":["", "x"],"rank":-1,"ratePerS":-1,"burst":-1},{"name":"u","keys":"k"}]"#,
            ),
        ),
        ("shared key", with(r#""customers":[{"name":"t","keys":["k","k"]},{"name":"u","keys":["k"]}]"#)),
        (
            "same name",
            with(r#""services":[{"name":"s"},{"name":"s"}],"customers":[{"name":"t"},{"name":"t"}]"#),
        ),
        (
            "host",
            with(r#""hosts":[{},{"host":""},{"host":3},{"host":"h","paths":{}},{"host":"g","paths":[3]}]"#),
        ),
        ("route without anything", route("")),
        (
            "route with bad values",
            route(r#""name":"","pathStart":"a","giveUpS":0,"goalS":0,"tries":0,"service":"s""#),
        ),
        (
            "route with more bad values",
            route(
                r#""name":"r","pathStart":"/a","giveUpS":601,"kind":"other","rank":"1","public":1,"service":"s""#,
            ),
        ),
        ("unknown service", route(&R.replace("\"s\"", "\"none\""))),
        ("unknown service of a split", route(&format!(r#"{R},"split":[{{"service":"none","weight":1}}]"#))),
        ("no target", route(&R.replace("\"s\"", "\"\""))),
        ("split without weights", route(&format!(r#"{R},"split":[{{"service":"s","weight":0}}]"#))),
        (
            "split with faults",
            route(&format!(r#"{R},"split":[{{}},{{"service":"s","weight":-1}},{{"service":""}}]"#)),
        ),
        (
            "same place",
            with(&format!(
                r#""services":[{{"name":"s"}}],"hosts":[{{"host":"h","paths":[{{{R}}}]}},{{"host":"H:80","paths":[{{{R}}}]}}]"#
            )),
        ),
        ("change that is no object", base.change(b"3")),
        ("change with old version", base.change(br#"{"version":"00000004"}"#)),
        ("put and remove of the wrong type", changed(r#""put":[],"remove":3"#)),
        ("put out of place", changed(r#""put":{"version":"1","routes":[]}"#)),
        (
            "put of items",
            changed(r#""put":{"services":[{},3,{"name":4},{"name":"a"},{"name":"a"}],"customers":{}}"#),
        ),
        (
            "put of hosts",
            changed(r#""put":{"hosts":[{},3,{"host":4},{"host":"h","paths":3},{"host":"h","paths":[{}]}]}"#),
        ),
        ("remove of no names", changed(r#""remove":{"services":"a","customers":[3]}"#)),
        ("remove of a service in use", changed(r#""remove":{"services":["search"]}"#)),
    ];
    let mut covered = BTreeSet::new();
    let mut told = Vec::new();
    for (name, result) in cases {
        let faults = result.err().unwrap_or_else(|| panic!("{name}: it is refused"));
        covered.extend(faults.iter().map(fault_name));
        let places: Vec<&str> = faults.iter().map(ValidationError::at).collect();
        told.push((name.to_owned(), faults.to_string()));
        told.push((format!("{name}, places"), places.join(", ")));
    }
    assert_eq!(covered.len(), 10, "each kind of fault has a case: {covered:?}");
    fixture::check(PACKAGE, "faults", &told);
}
