//! Sample messages of each kind.

use super::*;

/// A log entry of each kind.
pub fn entries() -> Vec<Entry> {
    vec![
        Entry::Noop,
        Entry::Voters { voters: vec![voter(1), voter(2), voter(3)], quota_shares: 5 },
        Entry::Replace { base_version: 4, body: document(5) },
        Entry::Change { base_version: 5, body: Arc::new(br#"{"version":"00000006","put":{}}"#.to_vec()) },
    ]
}

/// The name of a message's variant in the fixtures. The exhaustive match requires a new variant to be added here; add a
/// case to [`peer_messages`] as well.
pub fn name_of(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Gossip(..) => "gossip",
        PeerMessage::Consensus(..) => "consensus",
        PeerMessage::FetchEntries(..) => "fetch",
        PeerMessage::Entries(..) => "entries",
        PeerMessage::SnapshotChunk(..) => "snapshot",
        PeerMessage::FetchSnapshotChunk(..) => "fetch_snapshot",
        PeerMessage::TableDigests(..) => "ranges",
        PeerMessage::BackendRecords(..) => "backends",
        PeerMessage::Departures(..) => "departures",
        PeerMessage::ConfirmDeparture(..) => "confirm_departure",
        PeerMessage::RecordHashes(..) => "hashes",
        PeerMessage::LackingRecords(..) => "lacking",
        PeerMessage::RecordsConfirmed(..) => "confirmed",
        PeerMessage::Bootstrap(..) => "bootstrap",
        PeerMessage::JoinRequest(..) => "join",
        PeerMessage::LeaveRequest(..) => "leaving",
        PeerMessage::LeaveGranted => "released",
        PeerMessage::UsageReport(..) => "used",
        PeerMessage::QuotaGrant(..) => "lent",
        PeerMessage::RankRequest(..) => "ask_rank",
        PeerMessage::RankResponse(..) => "rank",
    }
}
/// Number of arms in [`name_of`].
pub const VARIANTS: usize = 21;

pub fn consensus_name(message: &Message) -> &'static str {
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
/// Number of arms in [`consensus_name`].
pub const CONSENSUS_VARIANTS: usize = 8;

pub fn peer_messages() -> Vec<(&'static str, PeerMessage)> {
    let consensus = |(name, message)| (name, PeerMessage::Consensus(DiskId(77), message));
    let mut messages = gossip_messages();
    messages.extend(log_messages());
    messages.extend(table_messages());
    messages.extend(leader_messages());
    messages.extend(consensus_messages().into_iter().map(consensus));
    messages
}

pub fn gossip_messages() -> Vec<(&'static str, PeerMessage)> {
    let members = vec![
        AgedRecord { peer: member(OTHER, 0), age_ms: 120 },
        AgedRecord { peer: member(MACHINE, 9), age_ms: 8_999 },
    ];
    vec![
        ("alone", gossip(member(MACHINE, 0), 0, true)),
        (
            "with members",
            PeerMessage::Gossip(Gossip {
                sender: member(MACHINE, 77),
                index: LogIndex(300),
                table_digest: u64::MAX,
                leader: Some(LeaderHint { term: TERM, ip: OTHER, age_ms: 350 }),
                peers: members,
                wants_reply: false,
            }),
        ),
    ]
}

pub fn log_messages() -> Vec<(&'static str, PeerMessage)> {
    let id = SnapshotId { index: LogIndex(300), digest: 0x0011_2233_4455_6677_8899_aabb_ccdd_eeff };
    let chunk = SnapshotChunk { id, total: 70_000, offset: 32_768, bytes: vec![0, 1, 0x7f, 0x80, 0xff] };
    let indexed = |(index, entry)| CommittedEntry { index: LogIndex(index), entry };
    let committed: Vec<CommittedEntry> = (7..).zip(entries()).map(indexed).collect();
    vec![
        ("", PeerMessage::FetchEntries(LogIndex(299))),
        ("none", PeerMessage::Entries(Vec::new())),
        ("each kind", PeerMessage::Entries(committed)),
        ("", PeerMessage::SnapshotChunk(chunk)),
        ("", PeerMessage::FetchSnapshotChunk(id, 65_536)),
    ]
}

pub fn table_messages() -> Vec<(&'static str, PeerMessage)> {
    let mut ranges = [0; DIGEST_RANGES];
    for (place, range) in (0_u32..).zip(&mut ranges) {
        *range = place.wrapping_mul(0x1234_5677);
    }
    let states =
        [BackendState::Ready, BackendState::Unresponsive, BackendState::Draining, BackendState::Terminated];
    vec![
        ("", PeerMessage::TableDigests(ranges)),
        ("each stage", PeerMessage::BackendRecords(states.map(backend).to_vec(), None)),
        (
            "to be confirmed",
            PeerMessage::BackendRecords(vec![backend(BackendState::Terminated)], Some(1 << 40)),
        ),
        ("", PeerMessage::Departures(departures())),
        ("", PeerMessage::ConfirmDeparture(1 << 40, departures().remove(1))),
        ("", PeerMessage::RecordHashes(record_hashes())),
        (
            "",
            PeerMessage::LackingRecords(LackingRecords {
                departures: departures(),
                records: vec![backend(BackendState::Ready)],
                is_complete: false,
            }),
        ),
        ("", PeerMessage::RecordsConfirmed(1 << 40, LogIndex(300))),
    ]
}

fn departures() -> Vec<Departure> {
    let states = [BackendState::Unresponsive, BackendState::Draining, BackendState::Terminated];
    let departure = |state| Departure { id: "i-7f3a".to_owned(), state, call_count: 8, age_ms: 40 };
    states.map(departure).to_vec()
}

/// The hashes of a table with one record in each range.
fn record_hashes() -> RecordHashes {
    let mut by_range: [Vec<u32>; DIGEST_RANGES] = Default::default();
    for (place, hashes) in (0_u32..).zip(&mut by_range) {
        hashes.push(place.wrapping_mul(0x1234_5677));
    }
    RecordHashes::messages(&by_range).remove(0)
}

pub fn leader_messages() -> Vec<(&'static str, PeerMessage)> {
    vec![
        ("", PeerMessage::Bootstrap(10)),
        ("", PeerMessage::JoinRequest(DiskId(0xfeed_0000_0000_0001), LogIndex(12))),
        ("", PeerMessage::LeaveRequest(DiskId(0xfeed_0000_0000_0002), LogIndex(13))),
        ("", PeerMessage::LeaveGranted),
        ("", PeerMessage::UsageReport(8, vec![usage(0x811c_9dc5, 100_000, 99_000, 12), usage(1, 0, 0, 0)])),
        (
            "",
            PeerMessage::QuotaGrant(GrantResponse {
                term: TERM,
                report: 8,
                grants: vec![grant(0x811c_9dc5, 12, 250), grant(1, 0, 0)],
            }),
        ),
        ("", PeerMessage::RankRequest("zone-a".to_owned())),
        ("", PeerMessage::RankResponse(TERM, Rank { before: 2, nodes: 300 })),
    ]
}

pub fn consensus_messages() -> Vec<(&'static str, Message)> {
    let (term, index) = (TERM, LogIndex(300));
    let entry = Entry::Replace { base_version: 4, body: document(5) };
    let accepted = AcceptedEntry { term: Term::new(3, DiskId(9)), entry: entry.clone() };
    vec![
        ("prepare", Message::Prepare { term }),
        ("promise, nothing open", Message::Promise { term, index, accepted: None }),
        ("promise, open", Message::Promise { term, index, accepted: Some(accepted) }),
        ("refuse", Message::Reject { term }),
        ("accept", Message::Accept { term, index, entry }),
        ("accepted", Message::Accepted { term, index }),
        ("lead", Message::Heartbeat { term, index, heartbeat: 1_000 }),
        ("transfer", Message::TransferLeadership { term, to: voter(3) }),
        ("follow", Message::HeartbeatResponse { term, index, heartbeat: 1_000 }),
    ]
}
