//! Compares the state file and the encoding of every kind of row with committed fixtures: data of an earlier version
//! reads to the expected model, and the same model is encoded the same way.

use crate::fixture::{Folder, GOLDEN};
use brassport_golden::json;
use brassport_state::known::{KnownList, KnownNode};
use brassport_state::model::{Action, Change, Lifecycle, NewNode, Node, Refusal, State};
use brassport_state::store::{Batch, ChangeError, Done, Entry, Sent, Store, StoreError};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::io::{Error, ErrorKind};
use std::path::Path;

const STORE: &str = "state.redb";

fn new_node(name: &str, endpoint: &str, zone: &str, group: u16, size: f64) -> NewNode {
    let endpoint = endpoint.parse().expect("a valid address");
    NewNode { name: name.into(), endpoint, zone: zone.into(), group, size }
}

fn add(name: &str, endpoint: &str, zone: &str, group: u16, size: f64, warm: bool) -> Action {
    let endpoint = endpoint.parse().expect("a valid address");
    Action::AddNode { name: name.into(), endpoint, zone: zone.into(), group, size, warm }
}

fn action_name(action: &Action) -> &'static str {
    match action {
        Action::AddNode { .. } => "AddNode",
        Action::DrainNode { .. } => "DrainNode",
        Action::ResumeNode { .. } => "ResumeNode",
        Action::RemoveNode { .. } => "RemoveNode",
        Action::ImportNodes { .. } => "ImportNodes",
        Action::SetPlan { .. } => "SetPlan",
    }
}

fn lifecycle_name(lifecycle: Lifecycle) -> &'static str {
    match lifecycle {
        Lifecycle::Ready => "Ready",
        Lifecycle::Draining => "Draining",
    }
}

/// Every kind of action, in an order in which each is valid.
fn actions() -> Vec<Action> {
    let list = vec![
        new_node("attic-1", "192.0.2.1:9001", "north", 3, 2.5),
        new_node("attic-2", "[2001:db8::2]:9002", "", 0, 1.0),
        new_node("attic-3", "192.0.2.3:9003", "south", 65_535, 0.1),
    ];
    vec![
        add("attic-1", "192.0.2.1:9001", "north", 3, 2.5, false),
        add("attic-2", "[2001:db8::2]:9002", "", 0, 1.0, true),
        add("cellar-1", "192.0.2.9:9009", "", 1, 1_000_000.0, false),
        Action::DrainNode { name: "attic-1".into() },
        Action::DrainNode { name: "attic-2".into() },
        Action::ResumeNode { name: "attic-2".into() },
        Action::RemoveNode { name: "cellar-1".into() },
        Action::ImportNodes { nodes: list },
        Action::SetPlan { studio: 7, plan: Some("gold".into()) },
        Action::SetPlan { studio: u64::MAX, plan: Some("silver:2".into()) },
        Action::SetPlan { studio: 8, plan: Some("gone".into()) },
        Action::SetPlan { studio: 8, plan: None },
    ]
}

/// A change for each action. The fifth has an earlier wall-clock time than the fourth; the sixth has the node revision
/// that its requester read.
fn changes() -> Vec<Change> {
    let change = |(number, action): (usize, Action)| Change {
        id: format!("change-{number}"),
        who: if number % 2 == 0 { "asha".into() } else { "user:bo@site".into() },
        at_ms: if number == 4 { 1_700_000_000_000 } else { 1_700_000_001_000 + number as u64 },
        seen: (number == 5).then_some(5),
        action,
    };
    actions().into_iter().enumerate().map(change).collect()
}

fn sent(number: u64) -> Sent {
    Sent {
        request: format!("request-{number}"),
        class: "edit \"quoted\" \u{e9}".into(),
        studio: u64::MAX - number,
        node: "attic-1".into(),
        at_ms: 1_700_000_002_000 + number,
    }
}

fn known_list() -> KnownList {
    let node = |endpoint: &str, draining| KnownNode {
        endpoint: endpoint.parse().expect("a valid address"),
        zone: if draining { "north".into() } else { String::new() },
        group: if draining { u64::MAX } else { 0 },
        size: if draining { 2.5 } else { 0.0 },
        started_ms: if draining { 1_700_000_000_000.5 } else { 0.0 },
        draining,
        last_listed_ms: 1_700_000_003_000,
    };
    let list = [("dns:attic-1", node("192.0.2.1:9001", true)), ("spare", node("[2001:db8::7]:9007", false))];
    list.into_iter().map(|(name, node)| (name.to_string(), node)).collect()
}

/// Writes a state with every kind of row. The first two requests are of an earlier run, the third is in flight.
fn write_store(folder: &Folder) {
    let files = folder.directory();
    Store::create(&files, STORE).expect("the state can be created");
    let mut store = Store::open(&files, STORE).expect("the state opens");
    for change in changes() {
        store.apply(change).expect("the change is made");
    }
    store
        .write(&Batch { sending: vec![sent(1), sent(2)], ..Batch::default() })
        .expect("the batch is written");
    drop(store);
    let mut store = Store::open(&files, STORE).expect("the state opens again");
    let batch = Batch { sending: vec![sent(3), sent(4)], known: Some(known_list()), ..Batch::default() };
    store.write(&batch).expect("the batch is written");
    store
        .write(&Batch { ended: vec!["request-4".into()], ..Batch::default() })
        .expect("the batch is written");
}

fn expected_state() -> State {
    let node = |endpoint: &str, zone: &str, group, size, lifecycle, launched_ms, revision| Node {
        endpoint: endpoint.parse().expect("a valid address"),
        zone: zone.into(),
        group,
        size,
        lifecycle,
        launched_ms,
        revision,
    };
    use Lifecycle::{Draining, Ready};
    let nodes = [
        ("attic-1", node("192.0.2.1:9001", "north", 3, 2.5, Draining, Some(1_700_000_001_000), 4)),
        ("attic-2", node("[2001:db8::2]:9002", "", 0, 1.0, Ready, None, 6)),
        ("attic-3", node("192.0.2.3:9003", "south", 65_535, 0.1, Ready, Some(1_700_000_001_007), 8)),
    ];
    State {
        revision: 12,
        nodes: nodes.into_iter().map(|(name, node)| (name.to_string(), node)).collect(),
        plans: BTreeMap::from([(7, "gold".to_string()), (u64::MAX, "silver:2".to_string())]),
    }
}

fn expected_history() -> Vec<Entry> {
    let entry = |(number, change): (usize, Change)| Entry {
        revision: number as u64 + 1,
        clock_set_back: number == 4,
        change,
    };
    changes().into_iter().enumerate().map(entry).rev().collect()
}

/// Returns all rows of a state file as text, in stored order.
fn rows(file: &Path) -> String {
    let database = Database::open(file).expect("redb opens the file");
    let transaction = database.begin_read().expect("the file can be read");
    let mut names: Vec<String> = transaction
        .list_tables()
        .expect("the tables can be listed")
        .map(|table| redb::TableHandle::name(&table).to_string())
        .collect();
    names.sort();
    let mut text = format!("tables: {}\n", names.join(" "));
    macro_rules! dump {
        ($($name:literal: $key:ty => $value:ty, $show:expr;)*) => {$(
            let definition = TableDefinition::<$key, $value>::new($name);
            let table = transaction.open_table(definition).expect("the table exists");
            for row in table.iter().expect("the rows can be read") {
                let (key, value) = row.expect("the row can be read");
                let value: String = $show(value.value());
                writeln!(text, "{} {:?}: {value}", $name, key.value()).expect("writing to a string succeeds");
            }
        )*};
    }
    let bytes = |bytes: &[u8]| String::from_utf8(bytes.to_vec()).expect("the row is UTF-8");
    dump!(
        "facts": &str => u64, |value: u64| value.to_string();
        "history": u64 => &[u8], bytes;
        "ids": &str => u64, |value: u64| value.to_string();
        "in_hand": &str => &[u8], bytes;
        "known": &str => &[u8], bytes;
        "nodes": &str => &[u8], bytes;
        "plans": u64 => &str, |value: &str| value.to_string();
        "unfinished": u64 => &[u8], bytes;
    );
    text
}

fn expect_store(store: &Store) {
    assert_eq!(store.state(), &expected_state());
    assert_eq!(store.known(), &known_list());
    assert_eq!(store.history(u64::MAX, 100).expect("the history can be read"), expected_history());
    let unfinished = store.unfinished().expect("the unfinished requests can be read");
    assert_eq!(unfinished, [(1, sent(1)), (2, sent(2)), (3, sent(3))]);
    assert_eq!(store.unfinished_count(), 3);
    assert_eq!(store.first_write_error(), None);
}

#[test]
fn a_committed_store_has_its_rows_and_opens_to_the_model_that_was_written() {
    let written = Folder::new("store-made");
    write_store(&written);
    let committed = GOLDEN.bytes(STORE, &fs::read(written.0.join(STORE)).expect("the state was written"));
    let folder = Folder::new("store-committed");
    fs::write(folder.0.join(STORE), committed).expect("the fixture can be copied");
    assert_eq!(rows(&folder.0.join(STORE)), rows(&written.0.join(STORE)));
    let files = folder.directory();
    let mut store = Store::open(&files, STORE).expect("the state opens");
    expect_store(&store);
    store
        .snapshot()
        .expect("a snapshot can be taken")
        .copy_to(&files, "copy.redb")
        .expect("the snapshot is copied");
    let repeated = store.apply(changes().remove(3)).expect("the repeated change is accepted");
    assert_eq!(repeated, Done { revision: 4, repeated: true });
    drop(store);
    expect_store(&Store::open(&files, "copy.redb").expect("the copy opens"));
    assert_eq!(rows(&folder.0.join(STORE)), rows(&folder.0.join("copy.redb")));
}

#[test]
fn a_store_that_is_written_afresh_has_the_committed_rows() {
    let folder = Folder::new("rows");
    write_store(&folder);
    GOLDEN.same_text("state.txt", &rows(&folder.0.join(STORE)));
}

#[test]
fn each_kind_of_row_has_the_committed_encoding() {
    let mut cases = Vec::new();
    for (number, action) in actions().into_iter().enumerate() {
        cases.push(json(&format!("Action::{} {number}", action_name(&action)), action));
    }
    for (number, change) in changes().into_iter().enumerate() {
        cases.push(json(&format!("Change {number}"), change));
    }
    for entry in expected_history() {
        cases.push(json(&format!("Entry {}", entry.revision), entry));
    }
    for lifecycle in [Lifecycle::Ready, Lifecycle::Draining] {
        cases.push(json(&format!("Lifecycle::{}", lifecycle_name(lifecycle)), lifecycle));
    }
    for (name, node) in expected_state().nodes {
        cases.push(json(&format!("Node {name}"), node));
    }
    cases.push(json("NewNode", new_node("attic-1", "192.0.2.1:9001", "north", 3, 2.5)));
    cases.push(json("Sent", sent(1)));
    for (name, node) in known_list() {
        cases.push(json(&format!("KnownNode {name}"), node));
    }
    cases.push(json("KnownList", known_list()));
    for repeated in [false, true] {
        cases.push(json(&format!("Done, repeated {repeated}"), Done { revision: 12, repeated }));
    }
    GOLDEN.same_cases("rows.txt", &cases);
}

/// Rows of versions that lacked some fields: they can be read, and are written back with all fields.
#[test]
fn rows_without_the_later_fields_are_read_as_before() {
    fn read<T: Serialize + DeserializeOwned>(text: &str) -> String {
        let value: T = serde_json::from_str(text).unwrap_or_else(|error| panic!("{text}: {error}"));
        serde_json::to_string(&value).expect("plain data can be encoded as JSON")
    }
    let node = r#"{"endpoint":"192.0.2.1:1","size":1.5,"lifecycle":"ready","revision":2}"#;
    let add = r#"{"action":"add_node","name":"a","endpoint":"192.0.2.1:1"}"#;
    let new = r#"{"name":"a","endpoint":"192.0.2.1:1"}"#;
    let change = r#"{"id":"i","who":"w","at_ms":3,"action":{"action":"drain_node","name":"a"}}"#;
    let entry = r#"{"revision":9,"id":"i","who":"w","at_ms":3,"action":{"action":"set_plan","studio":1}}"#;
    let known = r#"{"endpoint":"192.0.2.1:1","heard_ms":4}"#;
    let lines = [
        ("Node", node, read::<Node>(node)),
        ("Action", add, read::<Action>(add)),
        ("NewNode", new, read::<NewNode>(new)),
        ("Change", change, read::<Change>(change)),
        ("Entry", entry, read::<Entry>(entry)),
        ("KnownNode", known, read::<KnownNode>(known)),
    ];
    let text: String = lines.iter().map(|(name, old, new)| format!("{name}: {old}\n  now {new}\n")).collect();
    GOLDEN.same_text("older.txt", &text);
}

/// Returns the variant's name in the fixture. The match is exhaustive, so that a new variant must be added here.
fn refusal_name(refusal: &Refusal) -> &'static str {
    match refusal {
        Refusal::Invalid(_) => "Invalid",
        Refusal::Exists(_) => "Exists",
        Refusal::NoSuchNode(_) => "NoSuchNode",
        Refusal::Conflict { .. } => "Conflict",
        Refusal::IdUsed { .. } => "IdUsed",
    }
}

/// Like [`refusal_name`], for store errors.
fn store_error_name(error: &StoreError) -> &'static str {
    match error {
        StoreError::Missing { .. } => "Missing",
        StoreError::Exists { .. } => "Exists",
        StoreError::Empty { .. } => "Empty",
        StoreError::InUse { .. } => "InUse",
        StoreError::Newer { .. } => "Newer",
        StoreError::Corrupt { .. } => "Corrupt",
        StoreError::Io { .. } => "Io",
        StoreError::Broken { .. } => "Broken",
    }
}

#[test]
fn rejections_and_errors_have_the_committed_messages() {
    let name = || "attic-1".to_string();
    let refusals = [
        Refusal::Invalid("size of 'a': 0 is not above 0 and at most 1000000".into()),
        Refusal::Exists(name()),
        Refusal::NoSuchNode(name()),
        Refusal::Conflict { name: name(), revision: 7 },
        Refusal::IdUsed { id: "change-1".into(), revision: 2 },
    ];
    let mut text = String::new();
    for refusal in refusals {
        let variant = refusal_name(&refusal);
        writeln!(text, "Refusal::{variant}: {}: {refusal}", refusal.code())
            .expect("writing to a string succeeds");
        assert_eq!(ChangeError::Refused(refusal.clone()).to_string(), refusal.to_string());
    }
    let file = || "/state/state.redb".to_string();
    let io =
        |kind| StoreError::Io { doing: "write", file: file(), error: Error::new(kind, "the system says so") };
    let errors = [
        StoreError::Missing { file: file() },
        StoreError::Exists { file: file() },
        StoreError::Empty { file: file() },
        StoreError::InUse { file: file() },
        StoreError::Newer { file: file(), format: 2 },
        StoreError::Corrupt { file: file(), detail: "it ends too early".into() },
        io(ErrorKind::Other),
        io(ErrorKind::StorageFull),
        io(ErrorKind::QuotaExceeded),
        io(ErrorKind::ReadOnlyFilesystem),
        io(ErrorKind::PermissionDenied),
        StoreError::Broken { file: file(), first: "cannot write".into() },
    ];
    for error in errors {
        let variant = store_error_name(&error);
        writeln!(text, "StoreError::{variant}: {error}").expect("writing to a string succeeds");
        let message = error.to_string();
        assert_eq!(ChangeError::Store(error).to_string(), message);
    }
    GOLDEN.same_text("messages.txt", &text);
}
