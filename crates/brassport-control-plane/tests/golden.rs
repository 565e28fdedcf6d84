//! Golden bytes: what processes say to one another as frames, what is lent, and what callers read and send, held against
//! fixtures in `tests/golden`. A change of names in the sources must not change one of them.

#[path = "../../brassport-transport/tests/common/fixture.rs"]
mod fixture;
#[path = "../../brassport-transport/tests/common/hex.rs"]
mod hex;

use brassport_config_store::consensus::{
    AcceptedEntry, ChangeScope, CommittedEntry, ConfigurationRequest, DurableState, Entry, Message, VoterId,
};
use brassport_control_plane::backends::{Backend, BackendState, RANGES};
use brassport_control_plane::call::{Call, Reply};
use brassport_control_plane::peer_message::{Envelope, Gossip, GrantResponse, LeaderHint, PeerMessage};
use brassport_control_plane::ring_rank::Rank;
use brassport_control_plane::{
    Action, ControlPlane, Event, FaultTolerance, Millis, Options, SnapshotChunk, SnapshotId,
};
use brassport_quota::{QuotaGrant, UsageReport};
use brassport_transport::frame;
use brassport_transport::peer_sampling::{AgedRecord, PeerRecord};
use brassport_types::{DiskId, Incarnation, LogIndex, TenantId, Term};
use hex::hex;
use serde::{de::DeserializeOwned, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Debug;
use std::net::Ipv4Addr;
use std::sync::Arc;

const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");
const MACHINE: Ipv4Addr = Ipv4Addr::new(10, 0, 1, 7);
const OTHER: Ipv4Addr = Ipv4Addr::new(10, 0, 2, 9);

/// The frame of a value; what is read from it is equal and has the same frame.
fn framed<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) -> (String, String) {
    let bytes = frame::encode(value);
    let read: T = frame::decode(&bytes).expect("the frame can be read");
    assert_eq!(&read, value, "{name}");
    assert_eq!(frame::encode(&read), bytes, "{name}");
    (name.to_owned(), hex(&bytes))
}

const INCARNATION: Incarnation = Incarnation(0x0102_0304_0506_0708);

fn member(ip: Ipv4Addr, disk: u64) -> PeerRecord {
    let (zone, disk) = ("zone-a".to_owned(), DiskId(disk));
    PeerRecord { ip, incarnation: INCARNATION, zone, disk, is_core: disk.is_some() }
}

fn backend(state: BackendState) -> Backend {
    Backend {
        id: "i-7f3a".to_owned(),
        service: "search".to_owned(),
        address: "10.0.3.4:8080".parse().expect("an address"),
        zone: "zone-b".to_owned(),
        version: "1.4.2".to_owned(),
        capacity: 24,
        state,
        call_count: 70_000,
        warmup_left_ms: 1_500,
        age_ms: 250,
    }
}

fn voter(disk: u64) -> VoterId {
    VoterId { ip: Ipv4Addr::new(10, 0, 0, disk as u8), disk: DiskId(disk) }
}

fn document(version: u32) -> Arc<Vec<u8>> {
    Arc::new(format!("{{\"version\":\"{version:08x}\",\"services\":[],\"hosts\":[]}}").into_bytes())
}

/// Each kind of entry.
fn entries() -> Vec<Entry> {
    vec![
        Entry::Noop,
        Entry::Voters { voters: vec![voter(1), voter(2), voter(3)], quota_shares: 5 },
        Entry::Replace { base_version: 4, body: document(5) },
        Entry::Change { base_version: 5, body: Arc::new(br#"{"version":"00000006","put":{}}"#.to_vec()) },
    ]
}

/// The variant's name; one that is new does not compile here until it has a case in [`peer_messages`] too.
fn name_of(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Gossip(..) => "gossip",
        PeerMessage::Consensus(..) => "consensus",
        PeerMessage::FetchEntries(..) => "fetch",
        PeerMessage::Entries(..) => "entries",
        PeerMessage::SnapshotChunk(..) => "snapshot",
        PeerMessage::FetchSnapshotChunk(..) => "fetch_snapshot",
        PeerMessage::TableDigests(..) => "ranges",
        PeerMessage::BackendRecords(..) => "backends",
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
/// Arms of [`name_of`].
const VARIANTS: usize = 17;

fn consensus_name(message: &Message) -> &'static str {
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
/// Arms of [`consensus_name`].
const CONSENSUS_VARIANTS: usize = 8;

fn peer_messages() -> Vec<(&'static str, PeerMessage)> {
    let id = SnapshotId { index: LogIndex(300), digest: 0x0011_2233_4455_6677_8899_aabb_ccdd_eeff };
    let chunk = SnapshotChunk { id, total: 70_000, offset: 32_768, bytes: vec![0, 1, 0x7f, 0x80, 0xff] };
    let mut ranges = [0; RANGES];
    for (place, range) in (0_u32..).zip(&mut ranges) {
        *range = place.wrapping_mul(0x1234_5677);
    }
    let indexed = |(index, entry)| CommittedEntry { index: LogIndex(index), entry };
    let chosen: Vec<CommittedEntry> = (7..).zip(entries()).map(indexed).collect();
    let stages =
        [BackendState::Ready, BackendState::Unresponsive, BackendState::Draining, BackendState::Terminated];
    let members = vec![
        AgedRecord { peer: member(OTHER, 0), age_ms: 120 },
        AgedRecord { peer: member(MACHINE, 9), age_ms: 8_999 },
    ];
    let mut messages = vec![
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
        ("", PeerMessage::FetchEntries(LogIndex(299))),
        ("none", PeerMessage::Entries(Vec::new())),
        ("each kind", PeerMessage::Entries(chosen)),
        ("", PeerMessage::SnapshotChunk(chunk)),
        ("", PeerMessage::FetchSnapshotChunk(id, 65_536)),
        ("", PeerMessage::TableDigests(ranges)),
        ("each stage", PeerMessage::BackendRecords(stages.map(backend).to_vec(), None)),
        (
            "to be confirmed",
            PeerMessage::BackendRecords(vec![backend(BackendState::Terminated)], Some(1 << 40)),
        ),
        ("", PeerMessage::RecordsConfirmed(1 << 40, LogIndex(300))),
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
        ("", PeerMessage::RankResponse(TERM, Rank { before: 2, doors: 300 })),
    ];
    messages.extend(
        consensus_messages()
            .into_iter()
            .map(|(name, message)| (name, PeerMessage::Consensus(DiskId(77), message))),
    );
    messages
}

const TERM: Term = Term::new(4, DiskId(77));

/// Gossip of a node that knows no other and no backend.
fn gossip(sender: PeerRecord, index: u64, wants_reply: bool) -> PeerMessage {
    let (index, peers) = (LogIndex(index), Vec::new());
    PeerMessage::Gossip(Gossip { sender, index, table_digest: 0, leader: None, peers, wants_reply })
}

fn usage(tenant: u32, offered: u64, sent: u64, wanted: u16) -> UsageReport {
    UsageReport { tenant: TenantId(tenant), offered, sent, wanted }
}

fn grant(tenant: u32, requests: u16, sent_by_all: u32) -> QuotaGrant {
    QuotaGrant { tenant: TenantId(tenant), requests, sent_by_all }
}

/// A message from another node.
fn from(from: Ipv4Addr, message: PeerMessage) -> Event {
    Event::PeerMessage(Envelope { from, incarnation: Incarnation(1), message })
}

fn options(ip: Ipv4Addr, seeds: Vec<Ipv4Addr>, first_start: bool, machines: usize) -> Options {
    let node = PeerRecord { is_core: first_start, ..member(ip, 0) };
    let fault_tolerance = FaultTolerance::machines(machines);
    Options { node, seeds, first_start, fault_tolerance, heartbeat_interval_ms: 1_500, seed: 5 }
}

fn consensus_messages() -> Vec<(&'static str, Message)> {
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

#[test]
fn each_message_between_processes_has_its_frame() {
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
    fixture::check(PACKAGE, "peer_messages", &cases);
}

#[test]
fn each_part_of_a_message_has_its_bytes() {
    let id = SnapshotId { index: LogIndex(1), digest: 2 };
    let mut cases = vec![
        framed("member with a disk", &member(MACHINE, 77)),
        framed("member without a disk", &member(OTHER, 0)),
        framed("snapshot id", &id),
        framed("chunk", &SnapshotChunk { id, total: 3, offset: 0, bytes: b"abc".to_vec() }),
        framed("rank", &Rank { before: 0, doors: 1 }),
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
    fixture::check(PACKAGE, "message_parts", &cases);
}

/// A record of an older process says nothing of its age.
#[test]
fn a_backend_without_an_age_is_read() {
    let bytes = frame::encode(&backend(BackendState::Ready));
    let mut fields: BTreeMap<String, ciborium::Value> = frame::decode(&bytes).expect("a map");
    assert!(fields.remove("age_ms").is_some());
    let read: Backend = frame::decode(&frame::encode(&fields)).expect("a backend");
    assert_eq!(read, Backend { age_ms: 0, ..backend(BackendState::Ready) });
}

/// A machine with what it asked of its host; its disk keeps all at once.
struct Machine {
    control: ControlPlane,
    now: Millis,
    sent: Vec<(Ipv4Addr, PeerMessage)>,
    replies: BTreeMap<u64, Reply>,
}

impl Machine {
    fn new(ip: Ipv4Addr, seeds: Vec<Ipv4Addr>, first_start: bool) -> Machine {
        let control = ControlPlane::new(options(ip, seeds, first_start, 0), 0);
        Machine { control, now: 0, sent: Vec::new(), replies: BTreeMap::new() }
    }

    /// One that leads alone.
    fn leading() -> Machine {
        let mut machine = Machine::new(MACHINE, vec![MACHINE], true);
        machine.take(Event::StoreOpened(DiskId(77), DurableState::empty()));
        machine.run(8_000);
        assert!(machine.control.leader().is_some(), "it leads");
        machine
    }

    fn take(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.control.handle(self.now, event) {
                match action {
                    Action::Persist(number, _) => events.insert(0, Event::Persisted(number, true)),
                    Action::Send(to, message) => self.sent.push((to, message)),
                    Action::Respond(number, reply) => drop(self.replies.insert(number, reply)),
                    Action::StateAdvanced(_)
                    | Action::BackendChanged(_)
                    | Action::BackendExpired(_)
                    | Action::QuotaGranted(_) => {}
                }
            }
        }
    }

    fn run(&mut self, millis: Millis) {
        let until = self.now + millis;
        while self.now < until {
            self.now += 50;
            self.take(Event::Tick);
        }
    }

    fn call(&mut self, number: u64, call: Call) {
        self.take(Event::Call(number, call));
    }

    fn reply(&self, number: u64) -> String {
        self.replies.get(&number).map_or_else(|| "none".to_owned(), told)
    }
}

/// A reply as one line.
fn told(reply: &Reply) -> String {
    match reply {
        Reply::Done(body) => format!("done {}", String::from_utf8_lossy(body)),
        Reply::Redirect(ip) => format!("at {ip}"),
        Reply::Invalid(why) => format!("invalid {why}"),
        Reply::VersionConflict => "outdated".to_owned(),
        Reply::Unavailable(why) => format!("not now {why}"),
    }
}

fn decoded(method: &str, path: &str, base_version: Option<&str>, body: &str) -> Result<Call, String> {
    Call::decode(method, path, base_version, body.as_bytes().to_vec()).map_err(|fault| fault.to_string())
}

const BEAT: &str = r#"{"address":"10.0.3.4:8080","details":{"service":"search","version":"1.4.2","zone":"zone-b","capacity":24},"status":{"state":"ready","callCount":7,"warmupLeftS":1.5}}"#;

#[test]
fn calls_are_read_from_the_same_words() {
    let check_in = Backend { call_count: 7, age_ms: 0, ..backend(BackendState::Ready) };
    assert_eq!(decoded("POST", "/Servers.CheckIn/i-7f3a", None, BEAT), Ok(Call::Heartbeat(check_in.clone())));
    let emptying = BEAT.replace("\"ready\"", "\"emptying\"");
    let expected = Call::Heartbeat(Backend { state: BackendState::Draining, ..check_in });
    assert_eq!(decoded("POST", "/Servers.CheckIn/i-7f3a", None, &emptying), Ok(expected));
    let least =
        r#"{"address":"10.0.3.4:8080","details":{"service":"s"},"status":{"state":"ready","callCount":0}}"#;
    let Ok(Call::Heartbeat(least)) = decoded("POST", "/Servers.CheckIn/x", None, least) else {
        panic!("a beat that says the least is one");
    };
    assert_eq!((least.zone.as_str(), least.version.as_str()), ("", ""));
    assert_eq!((least.capacity, least.warmup_left_ms), (1, 0));
    let sign_off = decoded("POST", "/Servers.SignOff/i-7f3a", None, "");
    assert_eq!(sign_off, Ok(Call::Deregister("i-7f3a".to_owned())));
    for (name, scope) in [("Config.Replace", ChangeScope::Full), ("Config.Change", ChangeScope::Partial)] {
        let body = Arc::new(b"{}".to_vec());
        let put = decoded("POST", &format!("/{name}"), Some("0000001f"), "{}");
        assert_eq!(put, Ok(Call::Configure(ConfigurationRequest { scope, base_version: 31, body })));
    }
    assert_eq!(decoded("GET", "/Config.Read", None, ""), Ok(Call::ReadConfiguration));
    assert_eq!(decoded("GET", "/Status?x=1", None, ""), Ok(Call::Status));
}

#[test]
fn faulty_calls_are_refused_in_the_same_words() {
    let beat = |from: &str, to: &str| BEAT.replace(from, to);
    let cases = [
        ("unknown call", "GET", "/Servers.CheckIn/x", None, String::new()),
        ("without a name", "POST", "/Servers.CheckIn", None, BEAT.to_owned()),
        ("without X-Built-On", "POST", "/Config.Replace", None, String::new()),
        ("bad X-Built-On", "POST", "/Config.Change", Some("xyz"), String::new()),
        ("state", "POST", "/Servers.CheckIn/x", None, beat("\"ready\"", "\"well\"")),
        ("no JSON", "POST", "/Servers.CheckIn/x", None, "{".to_owned()),
        ("no address", "POST", "/Servers.CheckIn/x", None, beat("address", "at")),
        ("bad address", "POST", "/Servers.CheckIn/x", None, beat("10.0.3.4:8080", "here")),
        ("no details", "POST", "/Servers.CheckIn/x", None, beat("details", "detail")),
        ("no service", "POST", "/Servers.CheckIn/x", None, beat("service", "services")),
        ("no status", "POST", "/Servers.CheckIn/x", None, beat("status", "stat")),
        ("no state", "POST", "/Servers.CheckIn/x", None, beat("\"state\"", "\"stage\"")),
        ("no callCount", "POST", "/Servers.CheckIn/x", None, beat("callCount", "count")),
        ("bad callCount", "POST", "/Servers.CheckIn/x", None, beat(":7,", ":-7,")),
        ("bad capacity", "POST", "/Servers.CheckIn/x", None, beat(":24", ":\"24\"")),
    ];
    let refused = |(name, method, path, base_version, body): (&str, &str, &str, Option<&str>, String)| {
        let fault = decoded(method, path, base_version, &body).expect_err(name);
        (name.to_owned(), fault)
    };
    fixture::check(PACKAGE, "call_faults", &cases.map(refused));
}

fn put(scope: ChangeScope, base_version: u32, body: &str) -> Call {
    let body = Arc::new(body.as_bytes().to_vec());
    Call::Configure(ConfigurationRequest { scope, base_version, body })
}

const FIRST: &str = r#"{"version":"00000001","services":[{"name":"search","healthPath":"/ok"}],"hosts":[{"host":"A.example","paths":[{"name":"all","pathStart":"/","giveUpS":2.5,"service":"search","extra":[1]}]}],"customers":[{"name":"c","keys":["k"],"ratePerS":10,"burst":20}],"note":"kept"}"#;

#[test]
fn callers_of_a_leader_are_answered_in_the_same_words() {
    let mut machine = Machine::leading();
    machine.call(1, put(ChangeScope::Full, 0, FIRST));
    machine.call(2, put(ChangeScope::Full, 0, FIRST));
    machine.call(3, put(ChangeScope::Full, 0, &FIRST.replace("00000001", "00000002")));
    machine.call(
        4,
        put(ChangeScope::Partial, 1, r#"{"version":"00000002","put":{"services":[{"name":"more"}]}}"#),
    );
    machine.call(5, put(ChangeScope::Full, 2, r#"{"version":"00000002","services":3}"#));
    machine.call(6, put(ChangeScope::Full, 2, "no json"));
    machine.call(7, Call::ReadConfiguration);
    machine.call(8, Call::Heartbeat(backend(BackendState::Ready)));
    machine.call(
        9,
        Call::Heartbeat(Backend {
            state: BackendState::Draining,
            call_count: 70_001,
            ..backend(BackendState::Ready)
        }),
    );
    machine.call(10, Call::Deregister("i-7f3a".to_owned()));
    machine.run(1_500);
    let names = [
        "replaced",
        "the same again",
        "outdated",
        "changed",
        "wrong type",
        "no JSON",
        "read",
        "beat",
        "emptying",
        "sign-off",
    ];
    let cases: Vec<(String, String)> =
        (1..).zip(names).map(|(number, name)| (name.to_owned(), machine.reply(number))).collect();
    fixture::check(PACKAGE, "leader_replies", &cases);
}

#[test]
fn a_beat_from_another_zone_is_sent_to_a_door_there() {
    let mut machine = Machine::leading();
    machine.control.call_near(8_381);
    let near = PeerRecord { zone: "zone-b".to_owned(), ..member(OTHER, 0) };
    machine.take(from(OTHER, gossip(near, 0, false)));
    machine.call(1, Call::Heartbeat(backend(BackendState::Ready)));
    fixture::check(PACKAGE, "beat_elsewhere", &[("beat".to_owned(), machine.reply(1))]);
}

#[test]
fn callers_of_others_are_answered_in_the_same_words() {
    let mut alone = Machine::new(MACHINE, vec![OTHER], false);
    alone.call(1, put(ChangeScope::Full, 0, FIRST));
    alone.call(2, Call::ReadConfiguration);
    let mut follower = Machine::new(MACHINE, vec![OTHER], false);
    let gossip = Gossip {
        sender: member(OTHER, 77),
        index: LogIndex(0),
        table_digest: 0,
        leader: Some(LeaderHint { term: TERM, ip: OTHER, age_ms: 0 }),
        peers: Vec::new(),
        wants_reply: false,
    };
    follower.take(from(OTHER, PeerMessage::Gossip(gossip)));
    follower.call(1, put(ChangeScope::Full, 0, FIRST));
    follower.call(2, Call::Deregister("i-7f3a".to_owned()));
    follower.run(1_000);
    follower.run(1_000);
    follower.call(3, Call::Deregister("i-0000".to_owned()));
    let cases = [
        ("replace without a leader", alone.reply(1)),
        ("read without a leader", alone.reply(2)),
        ("replace at a follower", follower.reply(1)),
        ("sign-off that the core does not confirm", follower.reply(2)),
        ("sign-off of one cut off", follower.reply(3)),
    ];
    fixture::check(PACKAGE, "other_replies", &cases.map(|(name, reply)| (name.to_owned(), reply)));
}

#[test]
fn a_core_that_still_meets_takes_no_order() {
    let mut machine = Machine::new(MACHINE, vec![MACHINE], true);
    machine.control = ControlPlane::new(options(MACHINE, vec![MACHINE], true, 1), 0);
    machine.take(Event::StoreOpened(DiskId(77), DurableState::empty()));
    machine.run(3_500);
    machine.call(1, put(ChangeScope::Full, 0, FIRST));
    fixture::check(PACKAGE, "meeting_replies", &[("replace".to_owned(), machine.reply(1))]);
}

#[test]
fn the_status_has_the_same_fields() {
    let mut machine = Machine::leading();
    machine.call(1, put(ChangeScope::Full, 0, FIRST));
    machine.call(2, Call::Heartbeat(backend(BackendState::Ready)));
    machine.take(from(OTHER, gossip(member(OTHER, 0), 1, false)));
    machine.call(3, Call::Status);
    let mut fresh = Machine::new(OTHER, vec![MACHINE], false);
    fresh.call(1, Call::Status);
    // A first chunk of a snapshot that is longer.
    let id = SnapshotId { index: LogIndex(300), digest: 5 };
    let chunk = SnapshotChunk { id, total: 70_000, offset: 0, bytes: vec![7; 32_768] };
    fresh.take(from(MACHINE, PeerMessage::SnapshotChunk(chunk)));
    fresh.call(2, Call::Status);
    let cases = [
        ("a leader with a backend and a door", machine.reply(3)),
        ("a door that knows nothing", fresh.reply(1)),
        ("a door that takes a snapshot", fresh.reply(2)),
    ];
    fixture::check(PACKAGE, "status", &cases.map(|(name, reply)| (name.to_owned(), reply)));
}

/// What a machine makes of its own: gossip, ranges, entries, snapshots with their digests, ranks, loans.
#[test]
fn a_leader_sends_the_same_frames() {
    let mut machine = Machine::leading();
    machine.call(1, put(ChangeScope::Full, 0, FIRST));
    machine.call(2, Call::Heartbeat(backend(BackendState::Ready)));
    machine.run(1_000);
    machine.sent.clear();
    let asked = [
        gossip(member(OTHER, 0), 0, true),
        PeerMessage::TableDigests([0; RANGES]),
        PeerMessage::BackendRecords(
            vec![Backend { id: "i-2".to_owned(), ..backend(BackendState::Ready) }],
            Some(9),
        ),
        PeerMessage::FetchEntries(LogIndex(1)),
        PeerMessage::UsageReport(3, vec![usage(TenantId::of_name("c").0, 5, 5, 4)]),
        PeerMessage::RankRequest("zone-a".to_owned()),
        PeerMessage::FetchEntries(LogIndex(0)),
    ];
    for message in asked {
        machine.take(from(OTHER, message));
    }
    // What stands at index 1 was never here as an entry: the last answer is a snapshot.
    let mut cases = Vec::new();
    for (number, (to, message)) in machine.sent.iter().enumerate() {
        cases.push(framed(&format!("{number} {} to {to}", name_of(message)), message));
    }
    fixture::check(PACKAGE, "leader_sends", &cases);
}
