//! The calls that are decoded, the replies, and the messages that a leader sends.

use super::machine::Machine;
use super::messages::name_of;
use super::*;

fn decoded(method: &str, path: &str, base_version: Option<&str>, body: &str) -> Result<Call, String> {
    Call::decode(method, path, base_version, body.as_bytes().to_vec()).map_err(|fault| fault.to_string())
}

const HEARTBEAT: &str = r#"{"address":"10.0.3.4:8080","details":{"service":"search","version":"1.4.2","zone":"zone-b","capacity":24},"status":{"state":"ready","callCount":7,"warmupLeftS":1.5}}"#;

#[test]
fn calls_are_decoded() {
    let heartbeat = Backend { call_count: 7, age_ms: 0, ..backend(BackendState::Ready) };
    assert_eq!(
        decoded("POST", "/Servers.CheckIn/i-7f3a", None, HEARTBEAT),
        Ok(Call::Heartbeat(heartbeat.clone()))
    );
    let draining = HEARTBEAT.replace("\"ready\"", "\"emptying\"");
    let expected = Call::Heartbeat(Backend { state: BackendState::Draining, ..heartbeat });
    assert_eq!(decoded("POST", "/Servers.CheckIn/i-7f3a", None, &draining), Ok(expected));
    let minimal =
        r#"{"address":"10.0.3.4:8080","details":{"service":"s"},"status":{"state":"ready","callCount":0}}"#;
    let Ok(Call::Heartbeat(minimal)) = decoded("POST", "/Servers.CheckIn/x", None, minimal) else {
        panic!("a heartbeat without optional fields is valid");
    };
    assert_eq!((minimal.zone.as_str(), minimal.version.as_str()), ("", ""));
    assert_eq!((minimal.capacity, minimal.warmup_left_ms), (1, 0));
    let deregistration = decoded("POST", "/Servers.SignOff/i-7f3a", None, "");
    assert_eq!(deregistration, Ok(Call::Deregister("i-7f3a".to_owned())));
    for (name, scope) in [("Config.Replace", ChangeScope::Full), ("Config.Change", ChangeScope::Partial)] {
        let body = Arc::new(b"{}".to_vec());
        let put = decoded("POST", &format!("/{name}"), Some("0000001f"), "{}");
        assert_eq!(put, Ok(Call::Configure(ConfigurationRequest { scope, base_version: 31, body })));
    }
    assert_eq!(decoded("GET", "/Config.Read", None, ""), Ok(Call::ReadConfiguration));
    assert_eq!(decoded("GET", "/Status?x=1", None, ""), Ok(Call::Status));
}

#[test]
fn malformed_calls_are_rejected_with_the_golden_text() {
    let altered = |from: &str, to: &str| HEARTBEAT.replace(from, to);
    let cases = [
        ("unknown call", "GET", "/Servers.CheckIn/x", None, String::new()),
        ("without a name", "POST", "/Servers.CheckIn", None, HEARTBEAT.to_owned()),
        ("without X-Built-On", "POST", "/Config.Replace", None, String::new()),
        ("bad X-Built-On", "POST", "/Config.Change", Some("xyz"), String::new()),
        ("state", "POST", "/Servers.CheckIn/x", None, altered("\"ready\"", "\"well\"")),
        ("no JSON", "POST", "/Servers.CheckIn/x", None, "{".to_owned()),
        ("no address", "POST", "/Servers.CheckIn/x", None, altered("address", "at")),
        ("bad address", "POST", "/Servers.CheckIn/x", None, altered("10.0.3.4:8080", "here")),
        ("no details", "POST", "/Servers.CheckIn/x", None, altered("details", "detail")),
        ("no service", "POST", "/Servers.CheckIn/x", None, altered("service", "services")),
        ("no status", "POST", "/Servers.CheckIn/x", None, altered("status", "stat")),
        ("no state", "POST", "/Servers.CheckIn/x", None, altered("\"state\"", "\"stage\"")),
        ("no callCount", "POST", "/Servers.CheckIn/x", None, altered("callCount", "count")),
        ("bad callCount", "POST", "/Servers.CheckIn/x", None, altered(":7,", ":-7,")),
        ("bad capacity", "POST", "/Servers.CheckIn/x", None, altered(":24", ":\"24\"")),
    ];
    let rejected = |(name, method, path, base_version, body): (&str, &str, &str, Option<&str>, String)| {
        let error = decoded(method, path, base_version, &body).expect_err(name);
        (name.to_owned(), error)
    };
    GOLDEN.same_lines("call_faults", &cases.map(rejected));
}

fn put(scope: ChangeScope, base_version: u32, body: &str) -> Call {
    let body = Arc::new(body.as_bytes().to_vec());
    Call::Configure(ConfigurationRequest { scope, base_version, body })
}

const FIRST: &str = r#"{"version":"00000001","services":[{"name":"search","healthPath":"/ok"}],"hosts":[{"host":"A.example","paths":[{"name":"all","pathStart":"/","giveUpS":2.5,"service":"search","extra":[1]}]}],"customers":[{"name":"c","keys":["k"],"ratePerS":10,"burst":20}],"note":"kept"}"#;

#[test]
fn the_replies_of_a_leader_match_the_golden_text() {
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
    GOLDEN.same_lines("leader_replies", &cases);
}

#[test]
fn a_heartbeat_from_another_zone_is_redirected_to_a_node_there() {
    let mut machine = Machine::leading();
    machine.control.set_control_port(8_381);
    let near = PeerRecord { zone: "zone-b".to_owned(), ..member(OTHER, 0) };
    machine.take(message_from(OTHER, gossip(near, 0, false)));
    machine.call(1, Call::Heartbeat(backend(BackendState::Ready)));
    GOLDEN.same_lines("beat_elsewhere", &[("beat".to_owned(), machine.reply(1))]);
}

#[test]
fn the_replies_of_a_follower_match_the_golden_text() {
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
    follower.take(message_from(OTHER, PeerMessage::Gossip(gossip)));
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
    GOLDEN.same_lines("other_replies", &cases.map(|(name, reply)| (name.to_owned(), reply)));
}

#[test]
fn a_leader_rejects_a_configuration_while_the_core_forms() {
    let mut machine = Machine::new(MACHINE, vec![MACHINE], true);
    machine.control = ControlPlane::new(options(MACHINE, vec![MACHINE], true, 1), 0);
    machine.take(Event::StoreOpened(DiskId(77), DurableState::empty()));
    machine.run(3_500);
    machine.call(1, put(ChangeScope::Full, 0, FIRST));
    GOLDEN.same_lines("meeting_replies", &[("replace".to_owned(), machine.reply(1))]);
}

#[test]
fn the_status_has_the_same_fields() {
    let mut machine = Machine::leading();
    machine.call(1, put(ChangeScope::Full, 0, FIRST));
    machine.call(2, Call::Heartbeat(backend(BackendState::Ready)));
    machine.take(message_from(OTHER, gossip(member(OTHER, 0), 1, false)));
    machine.call(3, Call::Status);
    let mut fresh = Machine::new(OTHER, vec![MACHINE], false);
    fresh.call(1, Call::Status);
    // The first of several chunks of a snapshot.
    let id = SnapshotId { index: LogIndex(300), digest: 5 };
    let chunk = SnapshotChunk { id, total: 70_000, offset: 0, bytes: vec![7; 32_768] };
    fresh.take(message_from(MACHINE, PeerMessage::SnapshotChunk(chunk)));
    fresh.call(2, Call::Status);
    let cases = [
        ("a leader with a backend and a door", machine.reply(3)),
        ("a door that knows nothing", fresh.reply(1)),
        ("a door that takes a snapshot", fresh.reply(2)),
    ];
    GOLDEN.same_lines("status", &cases.map(|(name, reply)| (name.to_owned(), reply)));
}

/// The messages that a leader builds from its own state: gossip, records of differing ranges, entries, a snapshot with
/// its digest, a rank, and a quota grant.
#[test]
fn the_messages_of_a_leader_match_the_golden_frames() {
    let mut machine = Machine::leading();
    machine.call(1, put(ChangeScope::Full, 0, FIRST));
    machine.call(2, Call::Heartbeat(backend(BackendState::Ready)));
    machine.run(1_000);
    machine.sent.clear();
    let requests = [
        gossip(member(OTHER, 0), 0, true),
        PeerMessage::TableDigests([0; DIGEST_RANGES]),
        PeerMessage::BackendRecords(
            vec![Backend { id: "i-2".to_owned(), ..backend(BackendState::Ready) }],
            Some(9),
        ),
        PeerMessage::FetchEntries(LogIndex(1)),
        PeerMessage::UsageReport(3, vec![usage(TenantId::of_name("c").0, 5, 5, 4)]),
        PeerMessage::RankRequest("zone-a".to_owned()),
        PeerMessage::FetchEntries(LogIndex(0)),
    ];
    for message in requests {
        machine.take(message_from(OTHER, message));
    }
    // This node never had index 1 as an entry, so it answers the last request with a snapshot.
    let mut cases = Vec::new();
    for (number, (to, message)) in machine.sent.iter().enumerate() {
        cases.push(encoded_case(&format!("{number} {} to {to}", name_of(message)), message));
    }
    GOLDEN.same_lines("leader_sends", &cases);
}
