//! Each message and its parts have their frames.

use super::messages::*;
use super::*;

#[test]
fn each_peer_message_has_its_frame() {
    let messages = peer_messages();
    let covered: BTreeSet<&str> = messages.iter().map(|(_, message)| name_of(message)).collect();
    assert_eq!(covered.len(), VARIANTS, "a variant has no case");
    let consensus = consensus_messages();
    let covered: BTreeSet<&str> = consensus.iter().map(|(_, message)| consensus_name(message)).collect();
    assert_eq!(covered.len(), CONSENSUS_VARIANTS, "a variant of consensus has no case");
    let cases: Vec<(String, String)> = messages
        .into_iter()
        .map(|(of, message)| {
            let name = format!("{} {of}", name_of(&message)).trim().to_owned();
            framed(&name, &Envelope { from: MACHINE, incarnation: INCARNATION, message })
        })
        .collect();
    GOLDEN.same_lines("peer_messages", &cases);
}

#[test]
fn each_part_of_a_message_has_its_bytes() {
    let id = SnapshotId { index: LogIndex(1), digest: 2 };
    let mut cases = vec![
        framed("member with a disk", &member(MACHINE, 77)),
        framed("member without a disk", &member(OTHER, 0)),
        framed("snapshot id", &id),
        framed("chunk", &SnapshotChunk { id, total: 3, offset: 0, bytes: b"abc".to_vec() }),
        framed("rank", &Rank { before: 0, nodes: 1 }),
        framed("use", &usage(7, 6, 5, 4)),
        framed("loan", &grant(7, 6, 5)),
    ];
    for stage in
        [BackendState::Ready, BackendState::Unresponsive, BackendState::Draining, BackendState::Terminated]
    {
        let name = match stage {
            BackendState::Ready => "ready",
            BackendState::Unresponsive => "silent",
            BackendState::Draining => "emptying",
            BackendState::Terminated => "gone",
        };
        cases.push(framed(&format!("backend {name}"), &backend(stage)));
    }
    GOLDEN.same_lines("message_parts", &cases);
}

/// A record of an older process has no age.
#[test]
fn a_backend_without_an_age_is_read() {
    let bytes = frame::encode(&backend(BackendState::Ready));
    let mut fields: BTreeMap<String, ciborium::Value> = frame::decode(&bytes).expect("a map");
    assert!(fields.remove("age_ms").is_some());
    let read: Backend = frame::decode(&frame::encode(&fields)).expect("a backend");
    assert_eq!(read, Backend { age_ms: 0, ..backend(BackendState::Ready) });
}
