//! Golden tests: the formats that this crate writes and reads must not change by a byte. Each case is built in code,
//! encoded and compared with a fixture in `tests/golden`; formats that can be decoded are decoded from the fixture and
//! encoded again. With `GOLDEN_WRITE=1` the tests rewrite the fixtures, and fail.

mod common;

use brassport::clock::SystemClock;
use brassport::config::{self, Config, Names, Precedence};
use brassport::discovery::{DiscoveryWatch, LastRevision, List, ListSink};
use brassport::network::Tcp;
use brassport::run::active_settings::ActiveSettings;
use brassport::run::admin::{self, AdminHandle, Call, Reply};
use brassport::run::handover::link::Link;
use brassport::run::handover::protocol::{Listed, Message, Offer, VERSION};
use brassport::run::handover::{socket_path, take_over};
use brassport::run::metrics::{BackendCounts, Metrics, RequestResult};
use brassport_golden::{hex, unhex, Fixtures};
use brassport_membership::book::{Entry, Report, State};
use brassport_policy::{Class, Plan, RetrySafety, Scope, Settings};
use brassport_proxy::protocol::{AttemptEvent, AttemptObserver};
use hyper::StatusCode;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tokio::task::LocalSet;

use common::{reserve, target, temporary_dir, with_admin_listener, Gateway};

const GOLDEN: Fixtures = Fixtures::of(env!("CARGO_MANIFEST_DIR"));

/// The text of a fixture with one line, `name: value`, for each case.
fn lines(cases: &[(String, String)]) -> String {
    cases.iter().map(|(name, value)| format!("{name}: {value}\n")).collect()
}

/// The value of the case `name` in a fixture.
fn case<'a>(fixture: &'a str, name: &str) -> &'a str {
    let line = fixture.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    line.unwrap_or_else(|| panic!("no case {name}"))
}

fn write_json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("valid JSON")
}

// The handover protocol between the processes of an upgrade.

const STATES: [State; 3] = [State::Ready, State::Draining, State::Gone];

fn state_name(state: State) -> &'static str {
    match state {
        State::Ready => "ready",
        State::Draining => "draining",
        State::Gone => "gone",
    }
}

fn names() -> Names {
    Names {
        classes: vec!["preview".into(), "submit".into(), "store".into()],
        plans: vec!["starter".into(), "großer".into()],
        zones: vec!["a".into(), "b".into()],
    }
}

fn settings() -> Settings {
    let class = |effect| Class {
        value: 1.5,
        latency_target: 800.0,
        deadline: 4000.0,
        late_value_fraction: 0.25,
        retry_safety: effect,
    };
    let plan = Plan { rate: 20.0, burst: 40.0, value_factor: 1.0, ..Plan::default() };
    Settings {
        classes: vec![
            class(RetrySafety::Idempotent),
            class(RetrySafety::NonIdempotent),
            class(RetrySafety::Keyed { scope: Scope::Zone, window: 1500.0 }),
        ],
        plans: vec![plan, Plan { max_in_flight: 2, hard_limit_rate: 10.0, hard_limit_burst: 12.5, ..plan }],
        meter_period: 500.0,
        ..Settings::default()
    }
}

/// One backend in each state.
fn entries() -> Vec<Entry> {
    let entry = |(number, state): (usize, State)| Entry {
        address: (state != State::Gone).then(|| SocketAddr::from(([127, 0, 0, 1], 9000 + number as u16))),
        zone: if number == 0 { "a".into() } else { String::new() },
        group: number as u64,
        size: 1.25 * number as f64,
        boot_ms: 1_700_000_000_000.5,
        revision: 7,
        note: "not handed over".into(),
        ..Entry { state, ..Entry::ready(&format!("s-{number}"), ([127, 0, 0, 1], 1).into()) }
    };
    STATES.into_iter().enumerate().map(entry).collect()
}

fn empty_offer() -> Offer {
    Offer {
        now_ms: 0.0,
        start_unix_ms: 0.0,
        bans: Default::default(),
        listed: Vec::new(),
        last_revision: None,
        config_text: String::new(),
        active_settings: ActiveSettings::default(),
        policy_state: String::new(),
        in_flight: Vec::new(),
        descriptors: 0,
    }
}

fn full_offer() -> Offer {
    let mut offer = Offer {
        now_ms: 12_345.5,
        start_unix_ms: 1_700_000_000_000.25,
        listed: entries().iter().map(Listed::from).collect(),
        last_revision: Some(LastRevision { agent: ([127, 0, 0, 1], 8600).into(), revision: 7 }),
        config_text: "{\"listen\": \"127.0.0.1:80\"}\n".into(),
        active_settings: ActiveSettings::new(names(), settings()),
        policy_state: "{\"form\":3}".into(),
        in_flight: vec![1, 1, u64::MAX],
        descriptors: 512,
        ..empty_offer()
    };
    for name in ["s-0", "s-1", "s-2", "s-3"] {
        offer.bans.remember(name);
    }
    offer.bans.disable("s-0", Some(5.5)).expect("the backend is known");
    offer.bans.disable("s-1", None).expect("the backend is known");
    offer.bans.disable("s-2", Some(6.0)).expect("the backend is known");
    offer.bans.enable("s-2", 100.25).expect("the backend is known");
    offer
}

/// Cases of every variant of [`Message`]. A new variant does not compile until it is numbered here, and the test then
/// fails until it has a case.
fn messages() -> Vec<(String, Message)> {
    let all = [
        ("ask", Message::Ask { version: VERSION }),
        ("empty offer", Message::Offer(Box::new(empty_offer()))),
        ("full offer", Message::Offer(Box::new(full_offer()))),
        ("took", Message::Took),
        ("go", Message::Go),
        ("client", Message::Client { read: b"GET /\xff".to_vec(), asked: 3 }),
        ("quiet client", Message::Client { read: Vec::new(), asked: 0 }),
        ("descriptors", Message::Descriptors(17)),
        ("released", Message::Released(u64::MAX)),
        ("ban", Message::Ban { node: "s-\"1\"".into(), boot_ms: Some(5.5) }),
        ("ban of one not listed", Message::Ban { node: "s-1".into(), boot_ms: None }),
        ("call back", Message::CallBack { node: "s-1".into(), at_ms: 1_700_000_000_000.25 }),
    ];
    let variant = |message: &Message| match message {
        Message::Ask { .. } => 0,
        Message::Offer(_) => 1,
        Message::Took => 2,
        Message::Go => 3,
        Message::Client { .. } => 4,
        Message::Descriptors(_) => 5,
        Message::Released(_) => 6,
        Message::Ban { .. } => 7,
        Message::CallBack { .. } => 8,
    };
    let variants: BTreeSet<_> = all.iter().map(|(_, message)| variant(message)).collect();
    assert_eq!(variants.len(), 9);
    all.map(|(name, message)| (name.to_string(), message)).into()
}

#[test]
fn handover_messages() {
    let cases: Vec<_> =
        messages().iter().map(|(name, message)| (name.clone(), write_json(message))).collect();
    let fixture = GOLDEN.same_text("handover-messages.txt", &lines(&cases));
    for (name, message) in messages() {
        let text = case(&fixture, &name);
        let read: Message = serde_json::from_str(text).expect("decode the fixture");
        assert_eq!(read, message, "{name}");
        assert_eq!(write_json(&read), text, "{name}");
    }
}

#[test]
fn handover_of_listed_backends_preserves_all_fields_but_the_note() {
    let fixture = GOLDEN.same_text(
        "handover-listed.txt",
        &lines(
            &entries()
                .iter()
                .map(|entry| (entry.id.to_string(), write_json(&Listed::from(entry))))
                .collect::<Vec<_>>(),
        ),
    );
    for entry in entries() {
        let listed: Listed = serde_json::from_str(case(&fixture, &entry.id)).expect("decode the fixture");
        assert_eq!(Entry::from(listed), Entry { note: String::new(), ..entry });
    }
}

#[test]
fn handover_of_bans() {
    let mut offer = empty_offer();
    let mut cases = vec![("none".to_string(), write_json(&offer.bans))];
    let mut add_case = |name: &str, offer: &Offer| cases.push((name.to_string(), write_json(&offer.bans)));
    offer.bans.remember("n2");
    offer.bans.remember("n1");
    add_case("two heard", &offer);
    offer.bans.disable("n1", Some(5.5)).expect("the backend is known");
    add_case("one out", &offer);
    offer.bans.disable("n2", None).expect("the backend is known");
    add_case("both out", &offer);
    offer.bans.enable("n1", 100.0).expect("the backend is known");
    add_case("one back", &offer);
    offer.bans.enable("n2", 200.0).expect("the backend is known");
    add_case("both back", &offer);
    let fixture = GOLDEN.same_text("bans.txt", &lines(&cases));
    for (name, text) in &cases {
        let mut offer = empty_offer();
        offer.bans = serde_json::from_str(case(&fixture, name)).expect("decode the fixture");
        assert_eq!(write_json(&offer.bans), *text, "{name}");
    }
    assert_eq!(offer.bans, serde_json::from_str(case(&fixture, "both back")).expect("decode the fixture"));
}

#[test]
fn handover_of_names_and_settings() {
    let first = ActiveSettings::new(names(), settings());
    let new_names =
        Names { classes: vec!["store".into(), "new".into()], plans: vec!["new".into()], zones: Vec::new() };
    let mut new_settings = settings();
    new_settings.classes.truncate(2);
    new_settings.plans.truncate(1);
    let changed = first.reloaded(&new_names, &new_settings).expect("names within the limit");
    let all = [("none", ActiveSettings::default()), ("first", first), ("changed", changed)];
    let cases = all.clone().map(|(name, settings)| (name.to_string(), write_json(&settings)));
    let fixture = GOLDEN.same_text("terms.txt", &lines(&cases));
    for (name, settings) in all {
        let read: ActiveSettings = serde_json::from_str(case(&fixture, name)).expect("decode the fixture");
        assert_eq!(read, settings, "{name}");
        assert_eq!(write_json(&read), case(&fixture, name), "{name}");
    }
}

/// Runs a future to completion on a current-thread runtime with a `LocalSet`.
fn block_on_local<T>(future: impl std::future::Future<Output = T>) -> T {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build the runtime");
    LocalSet::new().block_on(&runtime, future)
}

/// Reads one frame: the length of the body in 4 bytes, little-endian; a byte that is 1 if a socket is attached; the
/// body.
async fn read_frame(stream: &mut UnixStream) -> Vec<u8> {
    let mut frame = vec![0; 5];
    stream.read_exact(&mut frame).await.expect("read the frame header");
    let length = u32::from_le_bytes([frame[0], frame[1], frame[2], frame[3]]) as usize;
    frame.resize(5 + length, 0);
    stream.read_exact(&mut frame[5..]).await.expect("read the frame body");
    frame
}

fn listening_socket() -> OwnedFd {
    TcpListener::bind("127.0.0.1:0").expect("bind a free port").into()
}

#[test]
fn handover_frames_with_and_without_a_socket() {
    block_on_local(async {
        let mut cases = Vec::new();
        let mut sent = Vec::new();
        for (name, message) in messages() {
            for with_socket in [false, true] {
                let (local, mut remote) = UnixStream::pair().expect("create a socket pair");
                let link = Link::new(local);
                link.sender().send(message.clone(), with_socket.then(listening_socket));
                let name = format!("{name}, socket {with_socket}");
                cases.push((name.clone(), hex(&read_frame(&mut remote).await)));
                sent.push((name, message.clone(), with_socket));
            }
        }
        let fixture = GOLDEN.same_text("handover-frames.hex", &lines(&cases));
        for (name, message, with_socket) in sent {
            let (mut remote, local) = UnixStream::pair().expect("create a socket pair");
            let mut link = Link::new(local);
            let mut frame = unhex(case(&fixture, &name));
            assert_eq!(frame[4], u8::from(with_socket));
            // The fixture holds bytes alone: no socket is attached to this write.
            frame[4] = 0;
            remote.write_all(&frame).await.expect("write to the socket");
            let (read, socket) = link.receive().await.expect("read a message");
            assert_eq!((read, socket.is_none()), (message, true), "{name}");
        }
    });
}

#[test]
fn handover_frames_sent_by_the_new_process() {
    block_on_local(async {
        let path = std::env::temp_dir().join(format!("golden-handover-{}.sock", std::process::id()));
        let _ = std::fs::remove_file(&path);
        let listener = tokio::net::UnixListener::bind(&path).expect("bind the handover socket");
        let old_process = async {
            let (mut stream, _) = listener.accept().await.expect("accept a connection");
            let ask = read_frame(&mut stream).await;
            let mut link = Link::new(stream);
            let offer = Offer { active_settings: ActiveSettings::new(names(), settings()), ..full_offer() };
            link.sender().send(Message::Offer(Box::new(offer)), Some(listening_socket()));
            let (took, _) = link.receive().await.expect("read a message");
            link.sender().send(Message::Go, None);
            (hex(&ask), write_json(&took))
        };
        let ((ask, took), taken) = tokio::join!(old_process, take_over(&path, &SystemClock));
        std::fs::remove_file(&path).expect("remove the Unix socket");
        assert_eq!(*taken.expect("take over from the old process").offer, full_offer());
        GOLDEN.same_text("handover-taker.txt", &lines(&[("asked".into(), ask), ("took".into(), took)]));
    });
}

#[test]
fn path_of_the_handover_socket() {
    let at = |address: &str, dir: Option<&str>| {
        let path = socket_path(address.parse().expect("valid socket address"), dir.map(PathBuf::from));
        (address.to_string(), path.map_or("nowhere".into(), |path| path.display().to_string()))
    };
    let cases = [
        at("127.0.0.1:8080", Some("/run/door")),
        at("[::1]:80", Some("/run/door")),
        at("0.0.0.0:80", Some("")),
        at("10.0.0.1:80", None),
    ];
    GOLDEN.same_text("handover-place.txt", &lines(&cases));
}

// Metrics.

#[test]
fn text_of_the_metrics_page() {
    let metrics = Metrics::default();
    let mut page = format!("# nothing yet\n{}", metrics.render(BackendCounts::default()));
    metrics.register_class("preview");
    metrics.register_class("a class, named");
    let all = [RequestResult::Completed, RequestResult::Rejected, RequestResult::Failed];
    for (times, result) in all.into_iter().enumerate() {
        match result {
            RequestResult::Completed | RequestResult::Rejected | RequestResult::Failed => {}
        }
        (0..=times).for_each(|_| metrics.start_request("submit").finish(result));
    }
    let pending = [metrics.start_request("preview"), metrics.start_request("submit")];
    pending.iter().for_each(|tracker| tracker.mark_received());
    let incomplete = metrics.start_request("preview");
    (0..5).for_each(|_| metrics.on_attempt(AttemptEvent::Written));
    metrics.on_attempt(AttemptEvent::NotWritten);
    metrics.record_reload(true);
    (0..3).for_each(|_| metrics.record_reload(false));
    page += "# some of all\n";
    page += &metrics.render(BackendCounts { members: 12, unavailable: 3 });
    drop((pending, incomplete));
    page += "# those who were pending have gone\n";
    page += &metrics.render(BackendCounts { members: 12, unavailable: 3 });
    GOLDEN.same_text("metrics.txt", &page);
}

#[test]
fn outcome_counted_for_each_status_code() {
    let result_name =
        |status: u16| match RequestResult::from(StatusCode::from_u16(status).expect("valid status code")) {
            RequestResult::Completed => "completed",
            RequestResult::Rejected => "rejected",
            RequestResult::Failed => "failed",
        };
    let cases = [200, 201, 204, 304, 400, 404, 408, 409, 413, 429, 431, 500, 502, 503, 504];
    GOLDEN.same_text(
        "metrics-statuses.txt",
        &lines(&cases.map(|status| (status.to_string(), result_name(status).to_string()))),
    );
}

// The admin listener.

/// Replaces the value of the `Date` header by `...`.
fn without_date(response: &str) -> String {
    let redacted = |line: &str| match line.strip_prefix("date: ") {
        Some(date) if date.len() == 31 && date.ends_with(" GMT\r\n") => "date: ...\r\n".to_string(),
        _ => line.to_string(),
    };
    response.split_inclusive('\n').map(redacted).collect()
}

/// Sends bytes, shuts down writing and returns the whole response, escaped to one line.
fn response_after_shutdown(at: SocketAddr, request: &[u8]) -> String {
    response_line(at, request, true)
}

/// Sends bytes and returns the whole response, escaped to one line. `shut_down` tells whether to shut down writing.
fn response_line(at: SocketAddr, request: &[u8], shut_down: bool) -> String {
    let mut stream = TcpStream::connect(at).expect("connect");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("set the read timeout");
    stream.write_all(request).expect("write to the socket");
    if shut_down {
        let _ = stream.shutdown(Shutdown::Write);
    }
    let mut response = Vec::new();
    // A server that rejects a request before reading all of it may reset the connection.
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        response.extend_from_slice(&buffer[..count]);
    }
    without_date(&String::from_utf8(response).expect("valid UTF-8")).escape_debug().to_string()
}

/// Replies to admin commands in the place of the data path, and records them. The backend `gone` is unknown; commands
/// for the backend `silent` get no reply.
fn data_path(mut admin: AdminHandle, received: std::sync::mpsc::Sender<String>) {
    while let Some(command) = admin.commands.blocking_recv() {
        let (record, reply) = match command.call {
            Call::Metrics => ("figures".to_string(), Some(Reply::Metrics("a=1\nb=2\n".into()))),
            Call::Disable(name) if name == "gone" => (format!("disable {name}"), Some(Reply::UnknownNode)),
            Call::Disable(name) if name == "silent" => (format!("disable {name}"), None),
            Call::Disable(name) => (format!("disable {name}"), Some(Reply::Done)),
            Call::Enable(name) => (format!("enable {name}"), Some(Reply::Done)),
            Call::Ban(name) => (format!("ban {name}"), Some(Reply::Done)),
        };
        match reply {
            None | Some(Reply::Metrics(_) | Reply::Done | Reply::UnknownNode) => {}
        }
        let _ = received.send(record);
        if let Some(reply) = reply {
            let _ = command.reply.send(reply);
        }
    }
}

#[test]
fn responses_of_the_admin_listener() {
    let address = reserve();
    let is_denied = Arc::new(AtomicBool::new(false));
    let handle = admin::listen(address, is_denied.clone()).expect("bind the admin listener");
    let ready = handle.ready.clone();
    let (received, commands) = std::sync::mpsc::channel();
    std::thread::spawn(move || data_path(handle, received));
    let mut cases = Vec::new();
    let mut add_case = |name: &str, request: &[u8]| {
        cases.push((name.to_string(), response_after_shutdown(address, request)));
        commands.try_iter().for_each(|command| cases.push((format!("{name}, heard"), command)));
    };
    let head = |line: &str| format!("{line} HTTP/1.1\r\nHost: admin\r\n\r\n").into_bytes();
    add_case("not ready", &head("GET /-/ready"));
    ready.store(true, Ordering::Relaxed);
    add_case("ready", &head("GET /-/ready"));
    add_case("ready by HTTP/1.0", b"GET /-/ready HTTP/1.0\r\n\r\n");
    is_denied.store(true, Ordering::Relaxed);
    add_case("kept from acting", &head("GET /-/ready"));
    is_denied.store(false, Ordering::Relaxed);
    for line in [
        "HEAD /-/ready",
        "POST /-/ready",
        "GET /-/metrics",
        "GET /-/metrics?a=b",
        "HEAD /-/metrics",
        "PUT /-/metrics",
        "PUT /-/backends/s-1/disable",
        "PUT /-/backends/s-1/enable",
        "PUT /-/backends/a/b%20c/enable",
        "PUT /-/backends/gone/disable",
        "PUT /-/backends/silent/disable",
        "GET /-/backends/s-1/disable",
        "PUT /-/backends//disable",
        "PUT /-/backends/s-1/ban",
        "PUT /-/backends/s-1",
        "GET /-/nothing",
        "GET /",
        "OPTIONS *",
    ] {
        add_case(line, &head(line));
    }
    add_case(
        "a short body",
        b"PUT /-/backends/s-1/disable HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello",
    );
    add_case(
        "a broken body",
        b"PUT /-/backends/s-1/disable HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhello",
    );
    let long = "PUT /-/backends/s-1/disable HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n";
    add_case("a long body", format!("{long}{}", "x".repeat(20_000)).as_bytes());
    add_case("no HTTP", b"hello\r\n\r\n");
    add_case("another version", b"GET /-/ready HTTP/3.7\r\n\r\n");
    GOLDEN.same_text("admin.txt", &lines(&cases));
}

#[test]
fn admin_address_in_use() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    let at = listener.local_addr().expect("local address");
    let error = admin::listen(at, Arc::default()).expect_err("the port must be in use");
    GOLDEN.same_text("admin-refused.txt", &(error.replace(&at.to_string(), "ADDRESS") + "\n"));
}

// Configuration.

/// A valid configuration with every key and one class of each kind.
fn sample() -> Value {
    let class = |name: &str, semantics: &str, group: &str| {
        json!({"name": name, "semantics": semantics, "group": group, "dedupWindow": 5000.0, "worth": 1.5,
               "slo": 1000.0, "deadline": 4000.0, "lateShare": 0.25})
    };
    json!({
        "listen": "127.0.0.1:8080", "admin_addr": "127.0.0.1:8081", "discovery": "127.0.0.1:8600",
        "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": {"rev": 3, "all": true, "targets": [
            {"uid": "s-1", "endpoint": "127.0.0.1:9000", "az": "a", "pod_group": 2, "state": "ready",
             "capacity_hint": 1.5, "boot_ms": 1000.5}]},
        "settings": {
            "areas": ["a", "b"], "balancers": 2, "ordinal": 1, "zone": 1, "tick": 4.0, "registryMode": "pushed",
            "bounds": {"cancel": true, "connIdle": 15000.0, "connectTimeout": 250.5, "maxAttempts": 4,
                       "maxRetryAfter": 500.0, "mayDuplicate": false, "retryAfter": true},
            "rules": {"cold": 18000.0, "coldFrom": 0.24, "fall": 3000.0, "stopSendingWithin": 500.0,
                      "tipMultiple": 2.0},
            "familyInfo": {"mostUnits": 3.0, "usePeriod": 500.0},
            "classes": [class("free", "free", "all"), class("once", "single_shot", "all"),
                        class("all", "guarded", "all"), class("zone", "guarded", "zone"),
                        class("cell", "guarded", "cell")],
            "plans": [{"name": "starter", "unitsPerS": 100.0, "storeSize": 200.0, "concurrency": 3, "price": 1.5,
                       "excessWorth": 0.125, "overrunCost": 0.75, "neverOverRate": 10.0, "capDepth": 20.0,
                       "tolerance": 2.0}],
        },
    })
}

/// The JSON text with sorted keys: the order of `serde_json`'s maps depends on its features in this build.
fn text_of(value: &Value) -> String {
    match value {
        Value::Object(map) => {
            let mut fields: Vec<_> = map.iter().collect();
            fields.sort_by_key(|(name, _)| *name);
            let fields: Vec<_> = fields
                .iter()
                .map(|(name, value)| format!("{}:{}", write_json(name), text_of(value)))
                .collect();
            format!("{{{}}}", fields.join(","))
        }
        Value::Array(items) => format!("[{}]", items.iter().map(text_of).collect::<Vec<_>>().join(",")),
        other => other.to_string(),
    }
}

/// Collects the JSON pointers of everything below `value`, whose own pointer is `at`.
fn collect_pointers(value: &Value, at: &str, all: &mut Vec<String>) {
    let mut visit = |name: String, value: &Value| {
        let at = format!("{at}/{name}");
        all.push(at.clone());
        collect_pointers(value, &at, all);
    };
    match value {
        Value::Object(map) => {
            let mut map: Vec<_> = map.iter().collect();
            map.sort_by_key(|(name, _)| *name);
            map.into_iter().for_each(|(name, value)| visit(name.clone(), value));
        }
        Value::Array(list) => {
            // The first element represents all elements of the array.
            list.iter().take(1).for_each(|value| visit("0".into(), value));
        }
        _ => {}
    }
}

/// One line with everything in a parsed configuration.
fn config_line(config: &Config) -> String {
    let known = config.cached_list.is_some();
    format!(
        "listen {}, admin {:?}, discovery {:?}, {} sources, seed {:x}, sockets {}, memory {}, known {known}, names {}, \
         settings {}, connect {:?}, idle {:?}, local meter {}, assumed {:?}, text of {} bytes",
        config.listen,
        config.admin.map(|at| at.to_string()),
        config.discovery.map(|at| at.to_string()),
        config.sources.len(),
        config.seed,
        config.max_descriptors,
        config.memory_bytes,
        write_json(&config.names),
        write_json(&config.settings),
        config.connect_timeout,
        config.idle_timeout,
        config.local_meter,
        config.request_defaults.map(|defaults| defaults.plan),
        config.text.len(),
    )
}

/// The result of parsing a configuration: an error message, or `taken: ` and the configuration.
fn parsed_with(text: &str, precedence: Precedence, environment: &[(&str, &str)]) -> String {
    let variable = |name: &str| {
        let found = environment.iter().find(|(other, _)| *other == name);
        found.map(|(_, value)| value.to_string())
    };
    config::parse(text, precedence, variable)
        .map_or_else(|error| error, |config| format!("taken: {}", config_line(&config)))
}

/// As `parsed_with`, with the environment taking precedence and no variable set.
fn parsed(value: &Value) -> String {
    parsed_with(&text_of(value), Precedence::Environment, &[])
}

/// The sample configuration with another value at a JSON pointer.
fn sample_with(pointer: &str, value: Value) -> Value {
    let mut config = sample();
    *config.pointer_mut(pointer).unwrap_or_else(|| panic!("no {pointer} in the sample configuration")) =
        value;
    config
}

#[test]
fn valid_configurations() {
    let environment = [
        ("BALANCER_LISTEN", "10.0.0.1:1"),
        ("BALANCER_DISCOVERY", "10.0.0.1:2"),
        ("BALANCER_ADMIN_ADDR", "10.0.0.1:3"),
    ];
    let text = text_of(&sample());
    let mut without_addresses = sample();
    for name in ["listen", "admin_addr", "discovery"] {
        without_addresses.as_object_mut().expect("JSON object").remove(name);
    }
    let cases = [
        ("sample", parsed(&sample())),
        ("environment first", parsed_with(&text, Precedence::Environment, &environment)),
        ("file first", parsed_with(&text, Precedence::File, &environment)),
        (
            "addresses by the environment",
            parsed_with(&text_of(&without_addresses), Precedence::File, &environment),
        ),
        ("lists on request", parsed(&sample_with("/settings/registryMode", json!("on_request")))),
        ("no advice", parsed(&sample_with("/settings/bounds/retryAfter", json!(false)))),
        (
            "unknown fields",
            parsed(&sample_with("/limits", json!({"memory_mb": 1, "sockets": 2, "cores": 3}))),
        ),
    ];
    assert!(cases.iter().all(|(_, result)| result.starts_with("taken: ")), "{cases:?}");
    GOLDEN.same_text("config.txt", &lines(&cases.map(|(name, result)| (name.to_string(), result))));
}

/// The results of parsing the sample configuration with one key missing, null or of another type.
fn wrong_types() -> Vec<(String, String)> {
    let mut pointers = Vec::new();
    collect_pointers(&sample(), "", &mut pointers);
    let mut cases = Vec::new();
    for pointer in &pointers {
        let (parent, name) = pointer.rsplit_once('/').expect("JSON pointer");
        let mut config = sample();
        if let Some(map) = config.pointer_mut(parent).and_then(Value::as_object_mut) {
            map.remove(name);
            cases.push((format!("without {pointer}"), parsed(&config)));
        }
        cases.push((format!("null {pointer}"), parsed(&sample_with(pointer, Value::Null))));
        cases.push((format!("a word {pointer}"), parsed(&sample_with(pointer, json!("?")))));
        cases.push((format!("a negative {pointer}"), parsed(&sample_with(pointer, json!(-1)))));
        cases.push((format!("a list {pointer}"), parsed(&sample_with(pointer, json!([])))));
    }
    for (name, text) in [("nothing", ""), ("a list", "[]"), ("no JSON", "{"), ("null", "null")] {
        cases.push((name.to_string(), parsed_with(text, Precedence::Environment, &[])));
    }
    cases
}

/// Whether an error message contains the name of a Rust type.
fn names_a_type(line: &str) -> bool {
    line.contains("struct ") || line.contains("enum ")
}

#[test]
fn configurations_with_missing_keys_or_wrong_types() {
    let cases: Vec<_> = wrong_types().into_iter().filter(|(_, result)| !names_a_type(result)).collect();
    GOLDEN.same_text("config-misshapen.txt", &lines(&cases));
}

/// Error messages that contain the name of a Rust type, in a fixture of their own: they alone may change when the type
/// is renamed.
#[test]
fn configurations_with_wrong_types_reported_by_rust_type() {
    let cases: Vec<_> = wrong_types().into_iter().filter(|(_, result)| names_a_type(result)).collect();
    GOLDEN.same_text("config-misshapen-by-type.txt", &lines(&cases));
}

#[test]
fn configurations_with_invalid_values() {
    let invalid = [("BALANCER_LISTEN", "nowhere"), ("BALANCER_ADMIN_ADDR", "1.2.3.4")];
    let mut cases = vec![
        ("environment".to_string(), parsed_with(&text_of(&sample()), Precedence::Environment, &invalid)),
        ("environment, one".into(), parsed_with(&text_of(&sample()), Precedence::Environment, &invalid[1..])),
        ("too great a number".into(), parsed(&sample_with("/seed", json!("1ffffffffffffffff")))),
        ("no number".into(), parsed(&sample_with("/seed", json!("0x12")))),
    ];
    let plan = sample()["settings"]["plans"][0].clone();
    for (pointer, value) in [
        ("/settings/classes", json!([])),
        ("/settings/plans", json!([])),
        ("/settings/plans", json!([plan, plan])),
        ("/settings/classes/1/name", json!("free")),
        ("/settings/classes/2/name", json!("")),
        ("/settings/plans/0/name", json!("")),
        ("/settings/plans/0/unitsPerS", json!(-1.0)),
        ("/settings/plans/0/storeSize", json!(0.0)),
        ("/settings/classes/0/slo", json!(0)),
        ("/settings/classes/3/dedupWindow", json!(1e13)),
        ("/settings/balancers", json!(0)),
        ("/settings/bounds/maxAttempts", json!(0)),
        ("/settings/bounds/connectTimeout", json!(0)),
        ("/settings/bounds/connectTimeout", json!(-1.5)),
        ("/settings/bounds/connectTimeout", json!(1e300)),
        ("/settings/bounds/connIdle", json!(0)),
        ("/settings/bounds/connIdle", json!(-2)),
        ("/settings/zone", json!(65_536)),
        ("/settings/registryMode", json!("Pushed")),
        ("/settings/classes/0/semantics", json!("once")),
        ("/settings/classes/0/group", json!("Zone")),
        ("/limits/memory_mb", json!(1.5)),
    ] {
        let result = parsed(&sample_with(pointer, value.clone()));
        cases.push((
            format!("{pointer} {}", text_of(&value).len()),
            format!("{} -> {result}", text_of(&value)),
        ));
    }
    assert!(cases.iter().all(|(_, result)| !result.contains("taken: ")), "{cases:?}");
    GOLDEN.same_text("config-senseless.txt", &lines(&cases));
}

// Discovery.

fn entry_line(entry: &Entry) -> String {
    let Entry { id, address, zone, group, size, boot_ms, state, revision, note } = entry;
    let (address, state) = (address.map(|at| at.to_string()), state_name(*state));
    format!(
        "[{id} at {address:?}, zone '{zone}', group {group}, size {size}, boot {boot_ms}, {state}, rev {revision}, '{note}']"
    )
}

fn report_line(report: &Report) -> String {
    let entries: Vec<_> = report.entries.iter().map(entry_line).collect();
    format!("whole {}, {} withdrawn, {}", report.whole, report.withdrawn.len(), entries.join(" "))
}

#[test]
fn decoding_of_discovery_lists() {
    let target =
        |rest: &str| format!(r#"{{"rev":9,"all":false,"targets":[{{"uid":"s-1","endpoint":{rest}}}]}}"#);
    let mut texts = vec![
        ("empty".to_string(), r#"{"rev":0,"all":true,"targets":[]}"#.to_string()),
        (
            "whole".into(),
            r#"{"rev":18446744073709551615,"all":true,"more":1,"targets":[
               {"uid":"s-1","endpoint":"127.0.0.1:9000","az":"a","model":"m","pod_group":18446744073709551615,
                "state":"ready","capacity_hint":1.5,"boot_ms":1000.5},
               {"uid":"s-2","endpoint":"[::1]:9000","az":"b","pod_group":0,"state":"gone","capacity_hint":0,"boot_ms":0}]}"#
                .replace(['\n'], ""),
        ),
        ("least".into(), target(r#""127.0.0.1:1","state":"ready""#)),
        ("no address".into(), target(r#""nowhere","state":"ready""#)),
    ];
    for word in ["ready", "draining", "gone", "Ready", "sleeping", ""] {
        texts.push((format!("state '{word}'"), target(&format!(r#""127.0.0.1:1","state":"{word}""#))));
    }
    for (name, rest) in [
        ("no state", r#""127.0.0.1:1""#),
        ("a null zone", r#""127.0.0.1:1","state":"ready","az":null"#),
        ("a negative group", r#""127.0.0.1:1","state":"ready","pod_group":-1"#),
        ("a null address", r#"null,"state":"ready""#),
        ("a state that is a number", r#""127.0.0.1:1","state":1"#),
    ] {
        texts.push((name.to_string(), target(rest)));
    }
    for text in ["", "{}", r#"{"rev":1}"#, r#"{"rev":1,"all":true}"#, r#"{"rev":-1,"all":true,"targets":[]}"#]
    {
        texts.push((format!("broken {}", text.len()), text.to_string()));
    }
    let read = |text: &str| match serde_json::from_str::<List>(text) {
        Ok(list) => report_line(&list.into_report()),
        Err(error) => format!("refused: {error}"),
    };
    let cases: Vec<_> =
        texts.into_iter().map(|(name, text)| (name, format!("{text} -> {}", read(&text)))).collect();
    let fixture = GOLDEN.same_text("discovery-lists.txt", &lines(&cases));
    for line in fixture.lines() {
        let (text, result) = line
            .split_once(": ")
            .and_then(|(_, rest)| rest.split_once(" -> "))
            .expect("a case of the fixture");
        assert_eq!(read(text), result);
    }
}

/// Records the reports that a watch delivers.
#[derive(Clone, Default)]
struct RecordedReports(Rc<RefCell<Vec<String>>>);

impl ListSink for RecordedReports {
    fn apply(&self, report: Report) {
        self.0.borrow_mut().push(report_line(&report));
    }
}

#[test]
fn requests_to_the_discovery_agent() {
    block_on_local(async {
        let agent = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("bind a free port");
        let address = agent.local_addr().expect("local address");
        let recorded = RecordedReports::default();
        let watch = DiscoveryWatch {
            clock: SystemClock,
            network: Tcp,
            sink: recorded.clone(),
            last_revision: Rc::new(Cell::new(None)),
            retry_interval: None,
            max_list_bytes: 1 << 20,
            rejection_logged: Cell::new(false),
        };
        let (_address_sender, address_receiver) = tokio::sync::watch::channel(address);
        tokio::task::spawn_local(watch.follow(address_receiver));
        let (mut stream, _) = agent.accept().await.expect("accept a connection");
        let mut cases = Vec::new();
        for (number, list) in [
            r#"{"rev":7,"all":true,"targets":[]}"#,
            r#"{"rev":8,"all":false,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:1","state":"draining"}]}"#,
            "",
        ]
        .into_iter()
        .enumerate()
        {
            let mut request = Vec::new();
            while !request.ends_with(b"\r\n\r\n") {
                request.push(stream.read_u8().await.expect("read the request"));
            }
            let request =
                String::from_utf8(request).expect("valid UTF-8").replace(&address.to_string(), "AGENT");
            cases.push((format!("call {number}"), request.escape_debug().to_string()));
            let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}", list.len());
            stream.write_all(response.as_bytes()).await.expect("write to the socket");
        }
        let reports = recorded.0.borrow().clone();
        cases.extend(
            reports.into_iter().enumerate().map(|(number, report)| (format!("report {number}"), report)),
        );
        GOLDEN.same_text("discovery-calls.txt", &lines(&cases));
    });
}

// The built program on its sockets.

/// Starts a backend that accepts a connection for each of `responses`, reads one request and sends the response.
/// Returns its address and the requests received, escaped to one line each.
fn scripted_backend(responses: &[&'static str]) -> (SocketAddr, std::sync::mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    let address = listener.local_addr().expect("local address");
    let (sender, requests) = std::sync::mpsc::channel();
    let responses = responses.to_vec();
    std::thread::spawn(move || {
        for response in responses {
            let (mut stream, _) = listener.accept().expect("accept a connection");
            let mut request = Vec::new();
            let mut byte = [0];
            loop {
                stream.read_exact(&mut byte).expect("read the request");
                request.push(byte[0]);
                let Some(end) = request.windows(4).position(|part| part == b"\r\n\r\n") else { continue };
                // A request other than GET ends with the full stop of its body.
                if request.starts_with(b"GET ") || request[end + 4..].ends_with(b".") {
                    break;
                }
            }
            let _ = sender.send(request.escape_ascii().to_string());
            stream.write_all(response.as_bytes()).expect("write to the socket");
        }
    });
    (address, requests)
}

/// Replaces the value of the `X-Deadline` header, the remaining time in microseconds, by `...`.
fn without_deadline(request: &str) -> String {
    let (before, rest) = request.split_once("x-deadline: ").expect("X-Deadline header of the attempt");
    let (deadline, after) = rest.split_once("u\\r\\n").expect("deadline in microseconds");
    assert!(deadline.bytes().all(|digit| digit.is_ascii_digit()), "{deadline}");
    format!("{before}x-deadline: ...u\\r\\n{after}")
}

/// A request with all required headers. The class is the first segment of the path; each line of `extra_headers` ends
/// with CRLF.
fn request(request_line: &str, extra_headers: &str, body: &str) -> String {
    let class = request_line.split(['/', ' ', '?']).nth(2).unwrap_or_default();
    format!(
        "{request_line} HTTP/1.1\r\nHost: door\r\nConnection: close\r\nX-Request-Id: r-1\r\nX-Class: {class}\r\nPlan: starter\r\n\
         Cookie: client=00000000b4d65521\r\nQuota-Info: units=1,spread=1,first=0\r\nX-Deadline: 4000m\r\n\
         {extra_headers}\r\n{body}"
    )
}

#[test]
fn messages_to_clients_and_backends() {
    const DONE: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\nUsage-Percent: 40\r\nX-One: 1\r\n\
        Date: Sun, 06 Nov 1994 08:49:37 GMT\r\nContent-Length: 4\r\n\r\ndone";
    const CHUNKED: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n\
        4\r\ndone\r\n0\r\n\r\n";
    const HEALTH: &[u8] = b"GET /healthz HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n";
    const SERVER_ERROR: &str = "HTTP/1.1 500 No\r\nConnection: close\r\nContent-Length: 5\r\n\r\nfault";
    let (backend, requests) = scripted_backend(&[DONE, DONE, CHUNKED, SERVER_ERROR]);
    let gateway = Gateway::with_backends(&[backend]);
    let at = gateway.address;
    let mut cases = Vec::new();
    let length = "Content-Length: 6\r\n";
    for (name, bytes) in [
        (
            "served",
            request("GET /preview-fetch/7?a=b%20c", "X-Two: 2\r\nConnection: X-Hop\r\nX-Hop: 3\r\n", ""),
        ),
        ("served with a body", request("POST /job-submit", length, "a job.")),
        ("served without length", request("GET /preview-fetch", "", "")),
        ("failed", request("POST /job-submit/8", length, "a job.")),
    ] {
        cases.push((name.to_string(), response_line(at, bytes.as_bytes(), false)));
        let request = requests.recv_timeout(Duration::from_secs(20)).expect("receive a request");
        cases.push((format!("{name}, to the node"), without_deadline(&request)));
    }
    cases.push(("healthy".into(), response_line(at, HEALTH, false)));
    let valid = request("GET /preview-fetch", "", "");
    for (original, invalid) in [
        ("X-Request-Id: r-1", "X-Request-Id: r 1"),
        ("X-Class: preview-fetch", "X-Class: job-submit"),
        ("preview-fetch", "nothing"),
        ("GET ", "DELETE "),
        ("client=", "customer="),
        ("Plan: starter", "Plan: none"),
        ("X-Deadline: 4000m", "X-Deadline: 4000"),
        ("units=1", "units=0"),
        ("Plan: starter", "Plan: starter\r\nPlan: starter"),
        ("Host: door", "Host: door\r\nTransfer-Encoding: chunked\r\nContent-Length: 5"),
        ("Host: door", "Host: door\r\nContent-Length: 300000000"),
        ("HTTP/1.1", "HTTP"),
    ] {
        assert!(valid.contains(original), "{original}");
        let name = format!("{} for {}", invalid.escape_debug(), original);
        cases.push((name, response_line(at, valid.replace(original, invalid).as_bytes(), false)));
    }
    drop(gateway);
    // With its only backend draining, the gateway rejects all requests.
    let known = common::target_list(&[target("s-1", backend, "draining")]);
    let gateway = Gateway::start(&common::config(reserve(), known));
    cases.push(("refused".into(), response_line(gateway.address, valid.as_bytes(), false)));
    cases.push(("unhealthy".into(), response_line(gateway.address, HEALTH, false)));
    GOLDEN.same_text("front-door.txt", &lines(&cases));
}

/// Replaces the values that differ between runs by fixed ones.
fn without_run_specific_values(mut offer: Offer, gateway: &Gateway, file: &str) -> Offer {
    assert!(offer.now_ms > 0.0 && offer.start_unix_ms > 1e12 && offer.descriptors > 0);
    assert_eq!(offer.config_text, file);
    (offer.now_ms, offer.start_unix_ms, offer.descriptors) = (0.0, 0.0, 0);
    offer.config_text = format!("the file of {}", gateway.address.ip());
    // The format of the policy state is tested where it is defined; here, only the names of the backends count.
    let policy_state: Value = serde_json::from_str(&offer.policy_state).expect("valid JSON");
    let backends: BTreeSet<_> =
        policy_state["fleet"]["servers"].as_object().expect("JSON object of servers").keys().collect();
    offer.policy_state = format!("{backends:?}");
    offer
}

#[test]
fn handover_frames_sent_by_the_old_process() {
    let known = common::target_list(&[
        target("s-1", ([127, 0, 0, 1], 9).into(), "ready"),
        target("s-2", ([127, 0, 0, 1], 9).into(), "draining"),
    ]);
    let (config, admin) = with_admin_listener(common::config(reserve(), known));
    let gateway = Gateway::start(&config);
    assert_eq!(common::admin_request(admin, "PUT", "/-/backends/s-1/disable").0, 200);
    let path = socket_path(gateway.address, Some(temporary_dir(&gateway.config_path)))
        .expect("handover socket path");
    let file = std::fs::read_to_string(&gateway.config_path).expect("read the configuration file");
    block_on_local(async {
        let mut stream = UnixStream::connect(&path).await.expect("connect to the handover socket");
        let ask = br#"{"Ask":{"version":1}}"#;
        let mut frame = (ask.len() as u32).to_le_bytes().to_vec();
        frame.push(0);
        frame.extend_from_slice(ask);
        stream.write_all(&frame).await.expect("write to the socket");
        let offered = read_frame(&mut stream).await;
        assert_eq!(offered[4], 1, "the offer must carry the listening socket");
        let offer = match serde_json::from_slice(&offered[5..]).expect("decode the message") {
            Message::Offer(offer) => *offer,
            other => panic!("{other:?}"),
        };
        assert_eq!(write_json(&Message::Offer(Box::new(offer.clone()))).as_bytes(), &offered[5..]);
        let offer = write_json(&without_run_specific_values(offer, &gateway, &file));
        let took = b"\x06\0\0\0\0\"Took\"";
        stream.write_all(took).await.expect("write to the socket");
        let go = hex(&read_frame(&mut stream).await);
        GOLDEN.same_text("handover-giver.txt", &lines(&[("offer".into(), offer), ("go".into(), go)]));
    });
}
