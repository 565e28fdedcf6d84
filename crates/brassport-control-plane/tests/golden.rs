//! Golden bytes: what processes say to one another as frames, what is lent, and what callers read and send, held against
//! fixtures in `tests/golden`. A change of names in the sources must not change one of them.

#[path = "../../brassport-transport/tests/common/fixture.rs"]
mod fixture;
#[path = "../../brassport-transport/tests/common/hex.rs"]
mod hex;

use brassport_config_store::consensus::{Chosen, Entry, Message, Recovered, State, VoterId};
use brassport_control_plane::backends::{Backend, Stage, RANGES};
use brassport_control_plane::call::{Call, Reply};
use brassport_control_plane::peer_message::{Envelope, PeerMessage};
use brassport_control_plane::ring_position::Rank;
use brassport_control_plane::{Action, Chunk, Control, Event, Millis, SnapshotId, Start, Survive};
use brassport_quota::{Loan, Use};
use brassport_transport::frame;
use brassport_transport::views::Member;
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

fn member(ip: Ipv4Addr, disk: u64) -> Member {
    Member { ip, life: 0x0102_0304_0506_0708, zone: "zone-a".to_owned(), disk, counted: disk > 0 }
}

fn backend(stage: Stage) -> Backend {
    Backend {
        id: "i-7f3a".to_owned(),
        service: "search".to_owned(),
        address: "10.0.3.4:8080".parse().expect("an address"),
        zone: "zone-b".to_owned(),
        version: "1.4.2".to_owned(),
        capacity: 24,
        stage,
        count: 70_000,
        warming_ms: 1_500,
        age_ms: 250,
    }
}

fn voter(disk: u64) -> VoterId {
    VoterId { ip: Ipv4Addr::new(10, 0, 0, disk as u8), disk }
}

fn document(version: u32) -> Arc<Vec<u8>> {
    Arc::new(format!("{{\"version\":\"{version:08x}\",\"services\":[],\"hosts\":[]}}").into_bytes())
}

/// Each kind of entry.
fn entries() -> Vec<Entry> {
    vec![
        Entry::Nothing,
        Entry::Voters { voters: vec![voter(1), voter(2), voter(3)], slots: 5 },
        Entry::Replace { built_on: 4, body: document(5) },
        Entry::Change { built_on: 5, body: Arc::new(br#"{"version":"00000006","put":{}}"#.to_vec()) },
    ]
}

/// The variant's name; one that is new does not compile here until it has a case in [`peer_messages`] too.
fn name_of(message: &PeerMessage) -> &'static str {
    match message {
        PeerMessage::Gossip(..) => "gossip",
        PeerMessage::Consensus(..) => "consensus",
        PeerMessage::Fetch(..) => "fetch",
        PeerMessage::Entries(..) => "entries",
        PeerMessage::Snapshot(..) => "snapshot",
        PeerMessage::FetchSnapshot(..) => "fetch_snapshot",
        PeerMessage::Ranges(..) => "ranges",
        PeerMessage::Backends(..) => "backends",
        PeerMessage::Confirmed(..) => "confirmed",
        PeerMessage::Bootstrap(..) => "bootstrap",
        PeerMessage::Join(..) => "join",
        PeerMessage::Leaving(..) => "leaving",
        PeerMessage::Released => "released",
        PeerMessage::Used(..) => "used",
        PeerMessage::Lent(..) => "lent",
        PeerMessage::AskRank(..) => "ask_rank",
        PeerMessage::Rank(..) => "rank",
    }
}
/// Arms of [`name_of`].
const VARIANTS: usize = 17;

fn consensus_name(message: &Message) -> &'static str {
    match message {
        Message::Prepare { .. } => "prepare",
        Message::Promise { .. } => "promise",
        Message::Refuse { .. } => "refuse",
        Message::Accept { .. } => "accept",
        Message::Accepted { .. } => "accepted",
        Message::Lead { .. } => "lead",
        Message::Transfer { .. } => "transfer",
        Message::Follow { .. } => "follow",
    }
}
/// Arms of [`consensus_name`].
const CONSENSUS_VARIANTS: usize = 8;

fn peer_messages() -> Vec<(&'static str, PeerMessage)> {
    let id = SnapshotId { index: 300, digest: 0x0011_2233_4455_6677_8899_aabb_ccdd_eeff };
    let chunk = Chunk { id, total: 70_000, offset: 32_768, bytes: vec![0, 1, 0x7f, 0x80, 0xff] };
    let mut ranges = [0; RANGES];
    for (place, range) in (0_u32..).zip(&mut ranges) {
        *range = place.wrapping_mul(0x1234_5677);
    }
    let indexed = |(index, entry)| Chosen { index, entry };
    let chosen: Vec<Chosen> = (7..).zip(entries()).map(indexed).collect();
    let stages = [Stage::Ready, Stage::Silent, Stage::Emptying, Stage::Gone];
    let members = vec![(member(OTHER, 0), 120), (member(MACHINE, 9), 8_999)];
    let mut messages = vec![
        ("alone", PeerMessage::Gossip(member(MACHINE, 0), 0, 0, None, Vec::new(), true)),
        (
            "with members",
            PeerMessage::Gossip(
                member(MACHINE, 77),
                300,
                u64::MAX,
                Some(((4, 77), OTHER, 350)),
                members,
                false,
            ),
        ),
        ("", PeerMessage::Fetch(299)),
        ("none", PeerMessage::Entries(Vec::new())),
        ("each kind", PeerMessage::Entries(chosen)),
        ("", PeerMessage::Snapshot(chunk)),
        ("", PeerMessage::FetchSnapshot(id, 65_536)),
        ("", PeerMessage::Ranges(ranges)),
        ("each stage", PeerMessage::Backends(stages.map(backend).to_vec(), None)),
        ("to be confirmed", PeerMessage::Backends(vec![backend(Stage::Gone)], Some(1 << 40))),
        ("", PeerMessage::Confirmed(1 << 40, 300)),
        ("", PeerMessage::Bootstrap(10)),
        ("", PeerMessage::Join(0xfeed_0000_0000_0001, 12)),
        ("", PeerMessage::Leaving(0xfeed_0000_0000_0002, 13)),
        ("", PeerMessage::Released),
        ("", PeerMessage::Used(8, vec![Use(0x811c_9dc5, 100_000, 99_000, 12), Use(1, 0, 0, 0)])),
        ("", PeerMessage::Lent((4, 77), 8, vec![Loan(0x811c_9dc5, 12, 250), Loan(1, 0, 0)])),
        ("", PeerMessage::AskRank("zone-a".to_owned())),
        ("", PeerMessage::Rank((4, 77), Rank { before: 2, doors: 300 })),
    ];
    messages.extend(
        consensus_messages().into_iter().map(|(name, message)| (name, PeerMessage::Consensus(77, message))),
    );
    messages
}

fn consensus_messages() -> Vec<(&'static str, Message)> {
    let (term, index) = ((4, 77), 300);
    let entry = Entry::Replace { built_on: 4, body: document(5) };
    vec![
        ("prepare", Message::Prepare { term }),
        ("promise, nothing open", Message::Promise { term, index, open: None }),
        ("promise, open", Message::Promise { term, index, open: Some(((3, 9), entry.clone())) }),
        ("refuse", Message::Refuse { term }),
        ("accept", Message::Accept { term, index, entry }),
        ("accepted", Message::Accepted { term, index }),
        ("lead", Message::Lead { term, index, heartbeat: 1_000 }),
        ("transfer", Message::Transfer { term, to: voter(3) }),
        ("follow", Message::Follow { term, index, heartbeat: 1_000 }),
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
            framed(&name, &Envelope(MACHINE, 0x0102_0304_0506_0708, message))
        })
        .collect();
    fixture::check(PACKAGE, "peer_messages", &cases);
}

#[test]
fn each_part_of_a_message_has_its_bytes() {
    let id = SnapshotId { index: 1, digest: 2 };
    let mut cases = vec![
        framed("member with a disk", &member(MACHINE, 77)),
        framed("member without a disk", &member(OTHER, 0)),
        framed("snapshot id", &id),
        framed("chunk", &Chunk { id, total: 3, offset: 0, bytes: b"abc".to_vec() }),
        framed("rank", &Rank { before: 0, doors: 1 }),
        framed("use", &Use(7, 6, 5, 4)),
        framed("loan", &Loan(7, 6, 5)),
    ];
    for stage in [Stage::Ready, Stage::Silent, Stage::Emptying, Stage::Gone] {
        let name = match stage {
            Stage::Ready => "ready",
            Stage::Silent => "silent",
            Stage::Emptying => "emptying",
            Stage::Gone => "gone",
        };
        cases.push(framed(&format!("backend {name}"), &backend(stage)));
    }
    fixture::check(PACKAGE, "message_parts", &cases);
}

/// A record of an older process says nothing of its age.
#[test]
fn a_backend_without_an_age_is_read() {
    let bytes = frame::encode(&backend(Stage::Ready));
    let mut fields: BTreeMap<String, ciborium::Value> = frame::decode(&bytes).expect("a map");
    assert!(fields.remove("age_ms").is_some());
    let read: Backend = frame::decode(&frame::encode(&fields)).expect("a backend");
    assert_eq!(read, Backend { age_ms: 0, ..backend(Stage::Ready) });
}

/// A machine with what it asked of its host; its disk keeps all at once.
struct Machine {
    control: Control,
    now: Millis,
    sent: Vec<(Ipv4Addr, PeerMessage)>,
    replies: BTreeMap<u64, Reply>,
}

impl Machine {
    fn new(ip: Ipv4Addr, seeds: Vec<Ipv4Addr>, first_start: bool) -> Machine {
        let member = Member { disk: 0, counted: first_start, ..member(ip, 0) };
        let start =
            Start { member, seeds, first_start, survive: Survive::machines(0), beat_ms: 1_500, seed: 5 };
        let control = Control::new(start, 0);
        Machine { control, now: 0, sent: Vec::new(), replies: BTreeMap::new() }
    }

    /// One that leads alone.
    fn leading() -> Machine {
        let mut machine = Machine::new(MACHINE, vec![MACHINE], true);
        let nothing = Recovered { promised: (0, 0), state: State::nothing(), open: None };
        machine.take(Event::Disk(77, nothing));
        machine.run(8_000);
        assert!(machine.control.leader().is_some(), "it leads");
        machine
    }

    fn take(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for action in self.control.handle(self.now, event) {
                match action {
                    Action::Write(number, _) => events.insert(0, Event::Written(number, true)),
                    Action::Send(to, message) => self.sent.push((to, message)),
                    Action::Reply(number, reply) => drop(self.replies.insert(number, reply)),
                    Action::Configuration(_) | Action::Backend(_) | Action::Dropped(_) | Action::Lent(..) => {
                    }
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
        Reply::At(ip) => format!("at {ip}"),
        Reply::Invalid(why) => format!("invalid {why}"),
        Reply::Outdated => "outdated".to_owned(),
        Reply::NotNow(why) => format!("not now {why}"),
    }
}

fn decoded(method: &str, path: &str, built_on: Option<&str>, body: &str) -> Result<Call, String> {
    Call::decode(method, path, built_on, body.as_bytes().to_vec()).map_err(|fault| fault.to_string())
}

const BEAT: &str = r#"{"address":"10.0.3.4:8080","details":{"service":"search","version":"1.4.2","zone":"zone-b","capacity":24},"status":{"state":"ready","callCount":7,"warmupLeftS":1.5}}"#;

#[test]
fn calls_are_read_from_the_same_words() {
    let check_in = Backend { count: 7, age_ms: 0, ..backend(Stage::Ready) };
    assert_eq!(decoded("POST", "/Servers.CheckIn/i-7f3a", None, BEAT), Ok(Call::CheckIn(check_in.clone())));
    let emptying = BEAT.replace("\"ready\"", "\"emptying\"");
    let expected = Call::CheckIn(Backend { stage: Stage::Emptying, ..check_in });
    assert_eq!(decoded("POST", "/Servers.CheckIn/i-7f3a", None, &emptying), Ok(expected));
    let least =
        r#"{"address":"10.0.3.4:8080","details":{"service":"s"},"status":{"state":"ready","callCount":0}}"#;
    let Ok(Call::CheckIn(least)) = decoded("POST", "/Servers.CheckIn/x", None, least) else {
        panic!("a beat that says the least is one");
    };
    assert_eq!((least.zone.as_str(), least.version.as_str()), ("", ""));
    assert_eq!((least.capacity, least.warming_ms), (1, 0));
    let sign_off = decoded("POST", "/Servers.SignOff/i-7f3a", None, "");
    assert_eq!(sign_off, Ok(Call::SignOff("i-7f3a".to_owned())));
    for (name, is_whole) in [("Config.Replace", true), ("Config.Change", false)] {
        let body = Arc::new(b"{}".to_vec());
        let put = decoded("POST", &format!("/{name}"), Some("0000001f"), "{}");
        assert_eq!(put, Ok(Call::Put { is_whole, built_on: 31, body }));
    }
    assert_eq!(decoded("GET", "/Config.Read", None, ""), Ok(Call::Read));
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
    let refused = |(name, method, path, built_on, body): (&str, &str, &str, Option<&str>, String)| {
        let fault = decoded(method, path, built_on, &body).expect_err(name);
        (name.to_owned(), fault)
    };
    fixture::check(PACKAGE, "call_faults", &cases.map(refused));
}

fn put(is_whole: bool, built_on: u32, body: &str) -> Call {
    Call::Put { is_whole, built_on, body: Arc::new(body.as_bytes().to_vec()) }
}

const FIRST: &str = r#"{"version":"00000001","services":[{"name":"search","healthPath":"/ok"}],"hosts":[{"host":"A.example","paths":[{"name":"all","pathStart":"/","giveUpS":2.5,"service":"search","extra":[1]}]}],"customers":[{"name":"c","keys":["k"],"ratePerS":10,"burst":20}],"note":"kept"}"#;

#[test]
fn callers_of_a_leader_are_answered_in_the_same_words() {
    let mut machine = Machine::leading();
    machine.call(1, put(true, 0, FIRST));
    machine.call(2, put(true, 0, FIRST));
    machine.call(3, put(true, 0, &FIRST.replace("00000001", "00000002")));
    machine.call(4, put(false, 1, r#"{"version":"00000002","put":{"services":[{"name":"more"}]}}"#));
    machine.call(5, put(true, 2, r#"{"version":"00000002","services":3}"#));
    machine.call(6, put(true, 2, "no json"));
    machine.call(7, Call::Read);
    machine.call(8, Call::CheckIn(backend(Stage::Ready)));
    machine
        .call(9, Call::CheckIn(Backend { stage: Stage::Emptying, count: 70_001, ..backend(Stage::Ready) }));
    machine.call(10, Call::SignOff("i-7f3a".to_owned()));
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
    let near = Member { zone: "zone-b".to_owned(), ..member(OTHER, 0) };
    let gossip = PeerMessage::Gossip(near, 0, 0, None, Vec::new(), false);
    machine.take(Event::PeerMessage(Envelope(OTHER, 1, gossip)));
    machine.call(1, Call::CheckIn(backend(Stage::Ready)));
    fixture::check(PACKAGE, "beat_elsewhere", &[("beat".to_owned(), machine.reply(1))]);
}

#[test]
fn callers_of_others_are_answered_in_the_same_words() {
    let mut alone = Machine::new(MACHINE, vec![OTHER], false);
    alone.call(1, put(true, 0, FIRST));
    alone.call(2, Call::Read);
    let mut follower = Machine::new(MACHINE, vec![OTHER], false);
    let leader = Some(((4, 77), OTHER, 0));
    let gossip = PeerMessage::Gossip(member(OTHER, 77), 0, 0, leader, Vec::new(), false);
    follower.take(Event::PeerMessage(Envelope(OTHER, 1, gossip)));
    follower.call(1, put(true, 0, FIRST));
    follower.call(2, Call::SignOff("i-7f3a".to_owned()));
    follower.run(1_000);
    follower.run(1_000);
    follower.call(3, Call::SignOff("i-0000".to_owned()));
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
    let nothing = Recovered { promised: (0, 0), state: State::nothing(), open: None };
    let member = Member { disk: 0, counted: true, ..member(MACHINE, 0) };
    let survive = Survive::machines(1);
    let start = Start { member, seeds: vec![MACHINE], first_start: true, survive, beat_ms: 1_500, seed: 5 };
    machine.control = Control::new(start, 0);
    machine.take(Event::Disk(77, nothing));
    machine.run(3_500);
    machine.call(1, put(true, 0, FIRST));
    fixture::check(PACKAGE, "meeting_replies", &[("replace".to_owned(), machine.reply(1))]);
}

#[test]
fn the_status_has_the_same_fields() {
    let mut machine = Machine::leading();
    machine.call(1, put(true, 0, FIRST));
    machine.call(2, Call::CheckIn(backend(Stage::Ready)));
    let gossip = PeerMessage::Gossip(member(OTHER, 0), 1, 0, None, Vec::new(), false);
    machine.take(Event::PeerMessage(Envelope(OTHER, 1, gossip)));
    machine.call(3, Call::Status);
    let mut fresh = Machine::new(OTHER, vec![MACHINE], false);
    fresh.call(1, Call::Status);
    // A first chunk of a snapshot that is longer.
    let id = SnapshotId { index: 300, digest: 5 };
    let chunk = Chunk { id, total: 70_000, offset: 0, bytes: vec![7; 32_768] };
    fresh.take(Event::PeerMessage(Envelope(MACHINE, 1, PeerMessage::Snapshot(chunk))));
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
    machine.call(1, put(true, 0, FIRST));
    machine.call(2, Call::CheckIn(backend(Stage::Ready)));
    machine.run(1_000);
    machine.sent.clear();
    let asked = [
        PeerMessage::Gossip(member(OTHER, 0), 0, 0, None, Vec::new(), true),
        PeerMessage::Ranges([0; RANGES]),
        PeerMessage::Backends(vec![Backend { id: "i-2".to_owned(), ..backend(Stage::Ready) }], Some(9)),
        PeerMessage::Fetch(1),
        PeerMessage::Used(3, vec![Use(brassport_quota::tenant_id("c"), 5, 5, 4)]),
        PeerMessage::AskRank("zone-a".to_owned()),
        PeerMessage::Fetch(0),
    ];
    for message in asked {
        machine.take(Event::PeerMessage(Envelope(OTHER, 1, message)));
    }
    // What stands at index 1 was never here as an entry: the last answer is a snapshot.
    let mut cases = Vec::new();
    for (number, (to, message)) in machine.sent.iter().enumerate() {
        cases.push(framed(&format!("{number} {} to {to}", name_of(message)), message));
    }
    fixture::check(PACKAGE, "leader_sends", &cases);
}
