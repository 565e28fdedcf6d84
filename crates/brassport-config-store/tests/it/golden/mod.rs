//! Golden tests: encodings of messages, records and states, and texts of documents and errors, are compared with
//! fixtures in `tests/golden`. Two of the fixtures are store files, of format 2 and of format 1.

mod documents;
mod store;
mod validation_errors;

use brassport_config_store::configuration::Idempotency;
use brassport_config_store::consensus::{
    AcceptedEntry, ChangeScope, CommittedEntry, DiskId, DurableState, Entry, LogIndex, Message, Record,
    ReplicatedState, RequestDigest, Term, VoterId, REMEMBERED_REQUESTS,
};
use brassport_golden::hex;
use brassport_golden::Fixtures;
use serde::{de::DeserializeOwned, Serialize};
use std::collections::BTreeSet;
use std::fmt::Debug;
use std::sync::Arc;

const GOLDEN: Fixtures = Fixtures::of(env!("CARGO_MANIFEST_DIR"));
const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");
const TERM: Term = Term::new(4, DiskId(77));

fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to a vector can't fail");
    bytes
}

/// The CBOR encoding of a value, in hexadecimal. Asserts that the decoded value is equal and has the same encoding.
fn encoded<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) -> (String, String) {
    let bytes = encode(value);
    let read: T = ciborium::from_reader(&bytes[..]).expect("the bytes can be decoded");
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

/// A document with every field that an operator may set, and with unknown fields.
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

/// The name of a variant. The match is exhaustive, so that a new variant can't be added without a case in [`entries`].
/// The names are keys of the fixture, and older than those of the variants.
fn entry_name(entry: &Entry) -> &'static str {
    match entry {
        Entry::Noop => "nothing",
        Entry::Voters { .. } => "voters",
        Entry::Replace { .. } => "replace",
        Entry::Change { .. } => "change",
    }
}
/// Number of variants in [`entry_name`].
const ENTRIES: usize = 4;

fn entries() -> Vec<Entry> {
    let voters = voters();
    vec![Entry::Noop, Entry::Voters { voters, quota_shares: 5 }, replace(0, DOCUMENT), change(5, CHANGE)]
}

/// Like [`entry_name`], for [`messages`].
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
/// Number of variants in [`message_name`].
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

/// Like [`entry_name`], for [`records`].
fn record_name(record: &Record) -> &'static str {
    match record {
        Record::Promised(_) => "promised",
        Record::Committed(_) => "chosen",
        Record::Accepted { .. } => "accepted",
        Record::Snapshot(_) => "whole",
    }
}
/// Number of variants in [`record_name`].
const RECORDS: usize = 4;

/// The state after all of [`entries`]: two versions, and a change of voters and quota shares.
fn state() -> ReplicatedState {
    let mut state = ReplicatedState::initial(voters(), 4);
    entries().iter().for_each(|entry| state.apply(entry));
    assert_eq!((state.index, state.version(), state.quota_shares), (LogIndex(5), 6, 5));
    state
}

/// A state that has forgotten the oldest of its requests.
fn state_with_forgotten_requests() -> ReplicatedState {
    let mut state = ReplicatedState::initial(vec![voter(1)], 1);
    for version in 1..=REMEMBERED_REQUESTS as u32 + 3 {
        state.apply(&replace(version - 1, &minimal_document(version)));
    }
    assert_eq!((state.forgotten_up_to, state.applied_requests.len()), (3, REMEMBERED_REQUESTS));
    state
}

fn minimal_document(version: u32) -> String {
    format!("{{\"version\":\"{version:08x}\",\"services\":[],\"hosts\":[]}}")
}

fn records() -> Vec<Record> {
    let (accepted_entry, entry) =
        (Some(accepted(TERM, entries().remove(1))), replace(6, &minimal_document(7)));
    vec![
        Record::Promised(TERM),
        Record::Committed(CommittedEntry { index: LogIndex(6), entry: entry.clone() }),
        Record::Accepted { term: TERM, index: LogIndex(6), entry },
        Record::Snapshot(DurableState { promised: TERM, state: state(), accepted: accepted_entry }),
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
fn messages_match_their_golden_encodings() {
    GOLDEN.same_lines("messages", &numbered(&messages(), message_name, MESSAGES));
}

#[test]
fn entries_match_their_golden_encodings() {
    GOLDEN.same_lines("entries", &numbered(&entries(), entry_name, ENTRIES));
}

#[test]
fn records_match_their_golden_encodings() {
    GOLDEN.same_lines("records", &numbered(&records(), record_name, RECORDS));
}

#[test]
fn states_and_digests_match_their_golden_encodings() {
    let digest = RequestDigest::of(ChangeScope::Full, 4, b"body");
    assert_eq!(format!("{digest:?}"), hex(&encode(&digest))[2..], "the digest is encoded as its bytes");
    let cases = [
        encoded("nothing", &ReplicatedState::empty()),
        encoded("genesis", &ReplicatedState::initial(voters(), 4)),
        encoded("two versions", &state()),
        encoded("orders forgotten", &state_with_forgotten_requests()),
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
    GOLDEN.same_lines("states", &cases);
}
