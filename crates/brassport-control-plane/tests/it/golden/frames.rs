//! The encoding of each peer message and of its parts.

use super::messages::*;
use super::*;

#[test]
fn peer_messages_match_the_golden_frames() {
    let messages = peer_messages();
    let covered: BTreeSet<&str> = messages.iter().map(|(_, message)| name_of(message)).collect();
    assert_eq!(covered.len(), VARIANTS, "a variant has no case");
    let consensus = consensus_messages();
    let covered: BTreeSet<&str> = consensus.iter().map(|(_, message)| consensus_name(message)).collect();
    assert_eq!(covered.len(), CONSENSUS_VARIANTS, "a variant of the consensus messages has no case");
    let cases: Vec<(String, String)> = messages
        .into_iter()
        .map(|(of, message)| {
            let name = format!("{} {of}", name_of(&message)).trim().to_owned();
            encoded_case(&name, &Envelope { from: MACHINE, incarnation: INCARNATION, message })
        })
        .collect();
    GOLDEN.same_lines("peer_messages", &cases);
}

#[test]
fn parts_of_messages_match_the_golden_bytes() {
    let id = SnapshotId { index: LogIndex(1), digest: 2 };
    let mut cases = vec![
        encoded_case("member with a disk", &member(MACHINE, 77)),
        encoded_case("member without a disk", &member(OTHER, 0)),
        encoded_case("snapshot id", &id),
        encoded_case("chunk", &SnapshotChunk { id, total: 3, offset: 0, bytes: b"abc".to_vec() }),
        encoded_case("rank", &Rank { before: 0, nodes: 1 }),
        encoded_case("use", &usage(7, 6, 5, 4)),
        encoded_case("loan", &grant(7, 6, 5)),
    ];
    for state in
        [BackendState::Ready, BackendState::Unresponsive, BackendState::Draining, BackendState::Terminated]
    {
        let name = match state {
            BackendState::Ready => "ready",
            BackendState::Unresponsive => "silent",
            BackendState::Draining => "emptying",
            BackendState::Terminated => "gone",
        };
        cases.push(encoded_case(&format!("backend {name}"), &backend(state)));
    }
    GOLDEN.same_lines("message_parts", &cases);
}

/// Records from processes of an older version have no age.
#[test]
fn a_backend_without_an_age_is_decoded() {
    let bytes = frame::encode(&backend(BackendState::Ready));
    let mut fields: BTreeMap<String, ciborium::Value> = frame::decode(&bytes).expect("a map");
    assert!(fields.remove("age_ms").is_some());
    let decoded: Backend = frame::decode(&frame::encode(&fields)).expect("a backend");
    assert_eq!(decoded, Backend { age_ms: 0, ..backend(BackendState::Ready) });
}
