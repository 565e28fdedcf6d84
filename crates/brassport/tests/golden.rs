//! Golden bytes: what this crate writes and reads must not change by a byte. Each case is built in code, encoded and
//! compared with a fixture in `tests/golden`; what can be decoded is decoded from the fixture and encoded again.
//! `GOLDEN_WRITE=1` writes the fixtures anew, and fails.

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

use common::{reserve, target, temporary, with_operators, Front};

const GOLDEN: Fixtures = Fixtures::of(env!("CARGO_MANIFEST_DIR"));

/// One line for each case.
fn lines(cases: &[(String, String)]) -> String {
    cases.iter().map(|(name, value)| format!("{name}: {value}\n")).collect()
}

/// What stands in a fixture behind the name.
fn case<'a>(fixture: &'a str, name: &str) -> &'a str {
    let line = fixture.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
    line.unwrap_or_else(|| panic!("no case {name}"))
}

fn write_json(value: &impl serde::Serialize) -> String {
    serde_json::to_string(value).expect("JSON")
}

// Upgrades.

const STATES: [State; 3] = [State::Ready, State::Draining, State::Gone];

fn state_word(state: State) -> &'static str {
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

fn entries() -> Vec<Entry> {
    let entry = |(number, state): (usize, State)| Entry {
        address: (state != State::Gone).then(|| SocketAddr::from(([127, 0, 0, 1], 9000 + number as u16))),
        zone: if number == 0 { "a".into() } else { String::new() },
        group: number as u64,
        size: 1.25 * number as f64,
        boot_ms: 1_700_000_000_000.5,
        revision: 7,
        note: "it is not told".into(),
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
    offer.bans.disable("s-0", Some(5.5)).expect("known");
    offer.bans.disable("s-1", None).expect("known");
    offer.bans.disable("s-2", Some(6.0)).expect("known");
    offer.bans.enable("s-2", 100.25).expect("known");
    offer
}

/// Each message; whoever adds one is made to add it here.
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
    let place = |message: &Message| match message {
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
    let places: BTreeSet<_> = all.iter().map(|(_, message)| place(message)).collect();
    assert_eq!(places.len(), 9);
    all.map(|(name, message)| (name.to_string(), message)).into()
}

#[test]
fn messages_of_an_upgrade() {
    let cases: Vec<_> =
        messages().iter().map(|(name, message)| (name.clone(), write_json(message))).collect();
    let fixture = GOLDEN.same_text("handover-messages.txt", &lines(&cases));
    for (name, message) in messages() {
        let text = case(&fixture, &name);
        let read: Message = serde_json::from_str(text).expect("sound");
        assert_eq!(read, message, "{name}");
        assert_eq!(write_json(&read), text, "{name}");
    }
}

#[test]
fn nodes_of_an_upgrade_are_read_as_they_were_told() {
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
        let listed: Listed = serde_json::from_str(case(&fixture, &entry.id)).expect("sound");
        assert_eq!(Entry::from(listed), Entry { note: String::new(), ..entry });
    }
}

#[test]
fn bans_as_an_upgrade_hands_them_over() {
    let mut offer = empty_offer();
    let mut cases = vec![("none".to_string(), write_json(&offer.bans))];
    let mut note = |name: &str, offer: &Offer| cases.push((name.to_string(), write_json(&offer.bans)));
    offer.bans.remember("n2");
    offer.bans.remember("n1");
    note("two heard", &offer);
    offer.bans.disable("n1", Some(5.5)).expect("known");
    note("one out", &offer);
    offer.bans.disable("n2", None).expect("known");
    note("both out", &offer);
    offer.bans.enable("n1", 100.0).expect("known");
    note("one back", &offer);
    offer.bans.enable("n2", 200.0).expect("known");
    note("both back", &offer);
    let fixture = GOLDEN.same_text("bans.txt", &lines(&cases));
    for (name, text) in &cases {
        let mut offer = empty_offer();
        offer.bans = serde_json::from_str(case(&fixture, name)).expect("sound");
        assert_eq!(write_json(&offer.bans), *text, "{name}");
    }
    assert_eq!(offer.bans, serde_json::from_str(case(&fixture, "both back")).expect("sound"));
}

#[test]
fn terms_as_an_upgrade_hands_them_over() {
    let first = ActiveSettings::new(names(), settings());
    let fewer =
        Names { classes: vec!["store".into(), "new".into()], plans: vec!["new".into()], zones: Vec::new() };
    let mut other = settings();
    other.classes.truncate(2);
    other.plans.truncate(1);
    let changed = first.reloaded(&fewer, &other).expect("few names");
    let all = [("none", ActiveSettings::default()), ("first", first), ("changed", changed)];
    let cases = all.clone().map(|(name, terms)| (name.to_string(), write_json(&terms)));
    let fixture = GOLDEN.same_text("terms.txt", &lines(&cases));
    for (name, terms) in all {
        let read: ActiveSettings = serde_json::from_str(case(&fixture, name)).expect("sound");
        assert_eq!(read, terms, "{name}");
        assert_eq!(write_json(&read), case(&fixture, name), "{name}");
    }
}

fn on_one_thread<T>(work: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, work)
}

/// One frame as it comes off the socket.
async fn frame_from(stream: &mut UnixStream) -> Vec<u8> {
    let mut frame = vec![0; 5];
    stream.read_exact(&mut frame).await.expect("a head");
    let length = u32::from_le_bytes([frame[0], frame[1], frame[2], frame[3]]) as usize;
    frame.resize(5 + length, 0);
    stream.read_exact(&mut frame[5..]).await.expect("a message");
    frame
}

fn some_socket() -> OwnedFd {
    TcpListener::bind("127.0.0.1:0").expect("a port").into()
}

#[test]
fn frames_of_an_upgrade_with_a_socket_and_without() {
    on_one_thread(async {
        let mut cases = Vec::new();
        let mut written = Vec::new();
        for (name, message) in messages() {
            for with_socket in [false, true] {
                let (one, mut other) = UnixStream::pair().expect("a pair");
                let link = Link::new(one);
                link.sender().send(message.clone(), with_socket.then(some_socket));
                let name = format!("{name}, socket {with_socket}");
                cases.push((name.clone(), hex(&frame_from(&mut other).await)));
                written.push((name, message.clone(), with_socket));
            }
        }
        let fixture = GOLDEN.same_text("handover-frames.hex", &lines(&cases));
        for (name, message, with_socket) in written {
            let (mut one, other) = UnixStream::pair().expect("a pair");
            let mut link = Link::new(other);
            let mut frame = unhex(case(&fixture, &name));
            assert_eq!(frame[4], u8::from(with_socket));
            // Plain bytes bring no socket.
            frame[4] = 0;
            one.write_all(&frame).await.expect("written");
            let (read, socket) = link.receive().await.expect("a message");
            assert_eq!((read, socket.is_none()), (message, true), "{name}");
        }
    });
}

#[test]
fn what_a_new_process_says_to_the_old_one() {
    on_one_thread(async {
        let path = std::env::temp_dir().join(format!("golden-handover-{}.sock", std::process::id()));
        let _ = std::fs::remove_file(&path);
        let listener = tokio::net::UnixListener::bind(&path).expect("it listens");
        let old = async {
            let (mut stream, _) = listener.accept().await.expect("a call");
            let asked = frame_from(&mut stream).await;
            let mut link = Link::new(stream);
            let offer = Offer { active_settings: ActiveSettings::new(names(), settings()), ..full_offer() };
            link.sender().send(Message::Offer(Box::new(offer)), Some(some_socket()));
            let (took, _) = link.receive().await.expect("a word");
            link.sender().send(Message::Go, None);
            (hex(&asked), write_json(&took))
        };
        let ((asked, took), taken) = tokio::join!(old, take_over(&path, &SystemClock));
        std::fs::remove_file(&path).expect("it was there");
        assert_eq!(*taken.expect("the place").offer, full_offer());
        GOLDEN.same_text("handover-taker.txt", &lines(&[("asked".into(), asked), ("took".into(), took)]));
    });
}

#[test]
fn where_a_process_listens_for_its_successor() {
    let at = |address: &str, folder: Option<&str>| {
        let place = socket_path(address.parse().expect("an address"), folder.map(PathBuf::from));
        (address.to_string(), place.map_or("nowhere".into(), |path| path.display().to_string()))
    };
    let cases = [
        at("127.0.0.1:8080", Some("/run/door")),
        at("[::1]:80", Some("/run/door")),
        at("0.0.0.0:80", Some("")),
        at("10.0.0.1:80", None),
    ];
    GOLDEN.same_text("handover-place.txt", &lines(&cases));
}

// The figures.

#[test]
fn the_page_of_figures() {
    let figures = Metrics::default();
    let mut page = format!("# nothing yet\n{}", figures.render(BackendCounts::default()));
    figures.register_class("preview");
    figures.register_class("a class, named");
    let all = [RequestResult::Completed, RequestResult::Rejected, RequestResult::Failed];
    for (times, ended) in all.into_iter().enumerate() {
        match ended {
            RequestResult::Completed | RequestResult::Rejected | RequestResult::Failed => {}
        }
        (0..=times).for_each(|_| figures.start_request("submit").finish(ended));
    }
    let pending = [figures.start_request("preview"), figures.start_request("submit")];
    pending.iter().for_each(|tracker| tracker.mark_received());
    let coming = figures.start_request("preview");
    (0..5).for_each(|_| figures.on_attempt(AttemptEvent::Written));
    figures.on_attempt(AttemptEvent::NotWritten);
    figures.record_reload(true);
    (0..3).for_each(|_| figures.record_reload(false));
    page += "# some of all\n";
    page += &figures.render(BackendCounts { members: 12, unavailable: 3 });
    drop((pending, coming));
    page += "# those who were pending have gone\n";
    page += &figures.render(BackendCounts { members: 12, unavailable: 3 });
    GOLDEN.same_text("metrics.txt", &page);
}

#[test]
fn how_each_status_counts() {
    let ended = |status: u16| match RequestResult::from(StatusCode::from_u16(status).expect("a status")) {
        RequestResult::Completed => "completed",
        RequestResult::Rejected => "rejected",
        RequestResult::Failed => "failed",
    };
    let cases = [200, 201, 204, 304, 400, 404, 408, 409, 413, 429, 431, 500, 502, 503, 504];
    GOLDEN.same_text(
        "metrics-statuses.txt",
        &lines(&cases.map(|status| (status.to_string(), ended(status).to_string()))),
    );
}

// The operators' listener.

/// Hides the moment of an answer.
fn without_date(answer: &str) -> String {
    let hidden = |line: &str| match line.strip_prefix("date: ") {
        Some(date) if date.len() == 31 && date.ends_with(" GMT\r\n") => "date: ...\r\n".to_string(),
        _ => line.to_string(),
    };
    answer.split_inclusive('\n').map(hidden).collect()
}

/// The whole answer to some bytes of one who then says no more, in one line.
fn asked(at: SocketAddr, call: &[u8]) -> String {
    answered(at, call, true)
}

fn answered(at: SocketAddr, call: &[u8], ends: bool) -> String {
    let mut stream = TcpStream::connect(at).expect("it listens");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a time-out");
    stream.write_all(call).expect("written");
    if ends {
        let _ = stream.shutdown(Shutdown::Write);
    }
    let mut answer = Vec::new();
    // One that turns a call away before it has come may end by a reset.
    let mut piece = [0; 4096];
    while let Ok(count @ 1..) = stream.read(&mut piece) {
        answer.extend_from_slice(&piece[..count]);
    }
    without_date(&String::from_utf8(answer).expect("text")).escape_debug().to_string()
}

/// Answers each call as its words ask for, and notes it.
fn data_path(mut operators: AdminHandle, heard: std::sync::mpsc::Sender<String>) {
    while let Some(command) = operators.commands.blocking_recv() {
        let (noted, reply) = match command.call {
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
        let _ = heard.send(noted);
        if let Some(reply) = reply {
            let _ = command.reply.send(reply);
        }
    }
}

#[test]
fn the_operators_answers() {
    let free = reserve();
    let out = Arc::new(AtomicBool::new(false));
    let operators = admin::listen(free, out.clone()).expect("it listens");
    let ready = operators.ready.clone();
    let (heard, told) = std::sync::mpsc::channel();
    std::thread::spawn(move || data_path(operators, heard));
    let mut cases = Vec::new();
    let mut ask = |name: &str, call: &[u8]| {
        cases.push((name.to_string(), asked(free, call)));
        told.try_iter().for_each(|call| cases.push((format!("{name}, heard"), call)));
    };
    let head = |line: &str| format!("{line} HTTP/1.1\r\nHost: admin\r\n\r\n").into_bytes();
    ask("not ready", &head("GET /-/ready"));
    ready.store(true, Ordering::Relaxed);
    ask("ready", &head("GET /-/ready"));
    ask("ready by HTTP/1.0", b"GET /-/ready HTTP/1.0\r\n\r\n");
    out.store(true, Ordering::Relaxed);
    ask("kept from acting", &head("GET /-/ready"));
    out.store(false, Ordering::Relaxed);
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
        ask(line, &head(line));
    }
    ask("a short body", b"PUT /-/backends/s-1/disable HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello");
    ask(
        "a broken body",
        b"PUT /-/backends/s-1/disable HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhello",
    );
    let long = "PUT /-/backends/s-1/disable HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n";
    ask("a long body", format!("{long}{}", "x".repeat(20_000)).as_bytes());
    ask("no HTTP", b"hello\r\n\r\n");
    ask("another version", b"GET /-/ready HTTP/3.7\r\n\r\n");
    GOLDEN.same_text("admin.txt", &lines(&cases));
}

#[test]
fn operators_who_cannot_be_heard() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = taken.local_addr().expect("an address");
    let error = admin::listen(at, Arc::default()).expect_err("it is taken");
    GOLDEN.same_text("admin-refused.txt", &(error.replace(&at.to_string(), "ADDRESS") + "\n"));
}

// Configurations.

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

/// The same text whatever order maps have in this build.
fn text_of(value: &Value) -> String {
    match value {
        Value::Object(map) => {
            let mut all: Vec<_> = map.iter().collect();
            all.sort_by_key(|(name, _)| *name);
            let all: Vec<_> =
                all.iter().map(|(name, value)| format!("{}:{}", write_json(name), text_of(value))).collect();
            format!("{{{}}}", all.join(","))
        }
        Value::Array(all) => format!("[{}]", all.iter().map(text_of).collect::<Vec<_>>().join(",")),
        other => other.to_string(),
    }
}

/// Every place in a configuration below its top, as a JSON pointer.
fn places(value: &Value, at: &str, all: &mut Vec<String>) {
    let mut below = |name: String, value: &Value| {
        let at = format!("{at}/{name}");
        all.push(at.clone());
        places(value, &at, all);
    };
    match value {
        Value::Object(map) => {
            let mut map: Vec<_> = map.iter().collect();
            map.sort_by_key(|(name, _)| *name);
            map.into_iter().for_each(|(name, value)| below(name.clone(), value));
        }
        Value::Array(list) => {
            // The first of a list stands for all of it.
            list.iter().take(1).for_each(|value| below("0".into(), value));
        }
        _ => {}
    }
}

fn told(config: &Config) -> String {
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

fn parsed_with(text: &str, precedence: Precedence, environment: &[(&str, &str)]) -> String {
    let variable = |name: &str| {
        let found = environment.iter().find(|(other, _)| *other == name);
        found.map(|(_, value)| value.to_string())
    };
    config::parse(text, precedence, variable)
        .map_or_else(|error| error, |config| format!("taken: {}", told(&config)))
}

fn parsed(value: &Value) -> String {
    parsed_with(&text_of(value), Precedence::Environment, &[])
}

fn with(place: &str, value: Value) -> Value {
    let mut config = sample();
    *config.pointer_mut(place).unwrap_or_else(|| panic!("{place}")) = value;
    config
}

#[test]
fn configurations_that_are_taken() {
    let both = [
        ("BALANCER_LISTEN", "10.0.0.1:1"),
        ("BALANCER_DISCOVERY", "10.0.0.1:2"),
        ("BALANCER_ADMIN_ADDR", "10.0.0.1:3"),
    ];
    let text = text_of(&sample());
    let mut bare = sample();
    for name in ["listen", "admin_addr", "discovery"] {
        bare.as_object_mut().expect("an object").remove(name);
    }
    let cases = [
        ("sample", parsed(&sample())),
        ("environment first", parsed_with(&text, Precedence::Environment, &both)),
        ("file first", parsed_with(&text, Precedence::File, &both)),
        ("addresses by the environment", parsed_with(&text_of(&bare), Precedence::File, &both)),
        ("lists on request", parsed(&with("/settings/registryMode", json!("on_request")))),
        ("no advice", parsed(&with("/settings/bounds/retryAfter", json!(false)))),
        ("unknown fields", parsed(&with("/limits", json!({"memory_mb": 1, "sockets": 2, "cores": 3})))),
    ];
    assert!(cases.iter().all(|(_, told)| told.starts_with("taken: ")), "{cases:?}");
    GOLDEN.same_text("config.txt", &lines(&cases.map(|(name, told)| (name.to_string(), told))));
}

/// What is said of a configuration in which one thing is missing, null or of another kind.
fn misshapen() -> Vec<(String, String)> {
    let mut all = Vec::new();
    places(&sample(), "", &mut all);
    let mut cases = Vec::new();
    for place in &all {
        let (above, name) = place.rsplit_once('/').expect("a pointer");
        let mut config = sample();
        if let Some(map) = config.pointer_mut(above).and_then(Value::as_object_mut) {
            map.remove(name);
            cases.push((format!("without {place}"), parsed(&config)));
        }
        cases.push((format!("null {place}"), parsed(&with(place, Value::Null))));
        cases.push((format!("a word {place}"), parsed(&with(place, json!("?")))));
        cases.push((format!("a negative {place}"), parsed(&with(place, json!(-1)))));
        cases.push((format!("a list {place}"), parsed(&with(place, json!([])))));
    }
    for (name, text) in [("nothing", ""), ("a list", "[]"), ("no JSON", "{"), ("null", "null")] {
        cases.push((name.to_string(), parsed_with(text, Precedence::Environment, &[])));
    }
    cases
}

/// Whether a line names a type of the source.
fn names_a_type(line: &str) -> bool {
    line.contains("struct ") || line.contains("enum ")
}

#[test]
fn configurations_of_another_shape() {
    let cases: Vec<_> = misshapen().into_iter().filter(|(_, told)| !names_a_type(told)).collect();
    GOLDEN.same_text("config-misshapen.txt", &lines(&cases));
}

/// Lines for staff that name a type of the source: apart, as they alone may change with that name.
#[test]
fn configurations_of_another_shape_by_type() {
    let cases: Vec<_> = misshapen().into_iter().filter(|(_, told)| names_a_type(told)).collect();
    GOLDEN.same_text("config-misshapen-by-type.txt", &lines(&cases));
}

#[test]
fn configurations_that_make_no_sense() {
    let bad = [("BALANCER_LISTEN", "nowhere"), ("BALANCER_ADMIN_ADDR", "1.2.3.4")];
    let mut cases = vec![
        ("environment".to_string(), parsed_with(&text_of(&sample()), Precedence::Environment, &bad)),
        ("environment, one".into(), parsed_with(&text_of(&sample()), Precedence::Environment, &bad[1..])),
        ("too great a number".into(), parsed(&with("/seed", json!("1ffffffffffffffff")))),
        ("no number".into(), parsed(&with("/seed", json!("0x12")))),
    ];
    let plan = sample()["settings"]["plans"][0].clone();
    for (place, value) in [
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
        let told = parsed(&with(place, value.clone()));
        cases.push((format!("{place} {}", text_of(&value).len()), format!("{} -> {told}", text_of(&value))));
    }
    assert!(cases.iter().all(|(_, told)| !told.contains("taken: ")), "{cases:?}");
    GOLDEN.same_text("config-senseless.txt", &lines(&cases));
}

// Discovery.

fn entry_line(entry: &Entry) -> String {
    let Entry { id, address, zone, group, size, boot_ms, state, revision, note } = entry;
    let (address, state) = (address.map(|at| at.to_string()), state_word(*state));
    format!(
        "[{id} at {address:?}, zone '{zone}', group {group}, size {size}, boot {boot_ms}, {state}, rev {revision}, '{note}']"
    )
}

fn report_line(report: &Report) -> String {
    let entries: Vec<_> = report.entries.iter().map(entry_line).collect();
    format!("whole {}, {} withdrawn, {}", report.whole, report.withdrawn.len(), entries.join(" "))
}

#[test]
fn lists_are_read_as_they_were() {
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
        let (text, told) =
            line.split_once(": ").and_then(|(_, rest)| rest.split_once(" -> ")).expect("a case");
        assert_eq!(read(text), told);
    }
}

/// Keeps what it is told.
#[derive(Clone, Default)]
struct Notes(Rc<RefCell<Vec<String>>>);

impl ListSink for Notes {
    fn apply(&self, report: Report) {
        self.0.borrow_mut().push(report_line(&report));
    }
}

#[test]
fn what_the_agent_is_asked() {
    on_one_thread(async {
        let agent = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = agent.local_addr().expect("an address");
        let notes = Notes::default();
        let watch = DiscoveryWatch {
            clock: SystemClock,
            network: Tcp,
            sink: notes.clone(),
            last_revision: Rc::new(Cell::new(None)),
            retry_interval: None,
            max_list_bytes: 1 << 20,
            rejection_logged: Cell::new(false),
        };
        let (_moved, follows) = tokio::sync::watch::channel(address);
        tokio::task::spawn_local(watch.follow(follows));
        let (mut stream, _) = agent.accept().await.expect("a call");
        let mut cases = Vec::new();
        for (number, list) in [
            r#"{"rev":7,"all":true,"targets":[]}"#,
            r#"{"rev":8,"all":false,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:1","state":"draining"}]}"#,
            "",
        ]
        .into_iter()
        .enumerate()
        {
            let mut call = Vec::new();
            while !call.ends_with(b"\r\n\r\n") {
                call.push(stream.read_u8().await.expect("more of the call"));
            }
            let call = String::from_utf8(call).expect("text").replace(&address.to_string(), "AGENT");
            cases.push((format!("call {number}"), call.escape_debug().to_string()));
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{list}", list.len());
            stream.write_all(answer.as_bytes()).await.expect("written");
        }
        let noted = notes.0.borrow().clone();
        cases.extend(noted.into_iter().enumerate().map(|(number, told)| (format!("report {number}"), told)));
        GOLDEN.same_text("discovery-calls.txt", &lines(&cases));
    });
}

// The program on its sockets.

/// Takes one request after another, of any connection, answers each as the script says, and keeps its bytes.
fn scripted(answers: &[&'static str]) -> (SocketAddr, std::sync::mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (heard, told) = std::sync::mpsc::channel();
    let answers = answers.to_vec();
    std::thread::spawn(move || {
        for answer in answers {
            let (mut stream, _) = listener.accept().expect("a connection");
            let mut request = Vec::new();
            let mut byte = [0];
            loop {
                stream.read_exact(&mut byte).expect("more of the request");
                request.push(byte[0]);
                let Some(end) = request.windows(4).position(|part| part == b"\r\n\r\n") else { continue };
                // Bodies here end with a stop.
                if request.starts_with(b"GET ") || request[end + 4..].ends_with(b".") {
                    break;
                }
            }
            let _ = heard.send(request.escape_ascii().to_string());
            stream.write_all(answer.as_bytes()).expect("written");
        }
    });
    (address, told)
}

/// Hides how long the client still waits, which is in microseconds.
fn without_wait(request: &str) -> String {
    let (before, rest) =
        request.split_once("x-deadline: ").expect("an attempt says how long its client waits");
    let (wait, behind) = rest.split_once("u\\r\\n").expect("microseconds");
    assert!(wait.bytes().all(|digit| digit.is_ascii_digit()), "{wait}");
    format!("{before}x-deadline: ...u\\r\\n{behind}")
}

fn call(line: &str, more: &str, body: &str) -> String {
    let class = line.split(['/', ' ', '?']).nth(2).unwrap_or_default();
    format!(
        "{line} HTTP/1.1\r\nHost: door\r\nConnection: close\r\nX-Request-Id: r-1\r\nX-Class: {class}\r\nPlan: starter\r\n\
         Cookie: client=00000000b4d65521\r\nQuota-Info: units=1,spread=1,first=0\r\nX-Deadline: 4000m\r\n\
         {more}\r\n{body}"
    )
}

#[test]
fn what_the_program_says_to_clients_and_nodes() {
    const DONE: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\nUsage-Percent: 40\r\nX-One: 1\r\n\
        Date: Sun, 06 Nov 1994 08:49:37 GMT\r\nContent-Length: 4\r\n\r\ndone";
    const ENDLESS: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n\
        4\r\ndone\r\n0\r\n\r\n";
    const HEALTH: &[u8] = b"GET /healthz HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n";
    const FAULT: &str = "HTTP/1.1 500 No\r\nConnection: close\r\nContent-Length: 5\r\n\r\nfault";
    let (node, heard) = scripted(&[DONE, DONE, ENDLESS, FAULT]);
    let front = Front::before(&[node]);
    let at = front.address;
    let mut cases = Vec::new();
    let length = "Content-Length: 6\r\n";
    for (name, request) in [
        ("served", call("GET /preview-fetch/7?a=b%20c", "X-Two: 2\r\nConnection: X-Hop\r\nX-Hop: 3\r\n", "")),
        ("served with a body", call("POST /job-submit", length, "a job.")),
        ("served without length", call("GET /preview-fetch", "", "")),
        ("failed", call("POST /job-submit/8", length, "a job.")),
    ] {
        cases.push((name.to_string(), answered(at, request.as_bytes(), false)));
        let request = heard.recv_timeout(Duration::from_secs(20)).expect("a request");
        cases.push((format!("{name}, to the node"), without_wait(&request)));
    }
    cases.push(("healthy".into(), answered(at, HEALTH, false)));
    let good = call("GET /preview-fetch", "", "");
    for (right, wrong) in [
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
        assert!(good.contains(right), "{right}");
        let name = format!("{} for {}", wrong.escape_debug(), right);
        cases.push((name, answered(at, good.replace(right, wrong).as_bytes(), false)));
    }
    drop(front);
    // No node takes anything.
    let known = common::list(&[target("s-1", node, "draining")]);
    let front = Front::start(&common::config(reserve(), known));
    cases.push(("refused".into(), answered(front.address, good.as_bytes(), false)));
    cases.push(("unhealthy".into(), answered(front.address, HEALTH, false)));
    GOLDEN.same_text("front-door.txt", &lines(&cases));
}

/// Replaces what differs from run to run by nothing.
fn settled(mut offer: Offer, front: &Front, file: &str) -> Offer {
    assert!(offer.now_ms > 0.0 && offer.start_unix_ms > 1e12 && offer.descriptors > 0);
    assert_eq!(offer.config_text, file);
    (offer.now_ms, offer.start_unix_ms, offer.descriptors) = (0.0, 0.0, 0);
    offer.config_text = format!("the file of {}", front.address.ip());
    // Its bytes are pinned where they are made; the names of nodes in it are made here.
    let learned: Value = serde_json::from_str(&offer.policy_state).expect("JSON");
    let nodes: BTreeSet<_> = learned["fleet"]["servers"].as_object().expect("nodes").keys().collect();
    offer.policy_state = format!("{nodes:?}");
    offer
}

#[test]
fn what_the_program_offers_to_its_successor() {
    let known = common::list(&[
        target("s-1", ([127, 0, 0, 1], 9).into(), "ready"),
        target("s-2", ([127, 0, 0, 1], 9).into(), "draining"),
    ]);
    let (config, admin) = with_operators(common::config(reserve(), known));
    let front = Front::start(&config);
    assert_eq!(common::operate(admin, "PUT", "/-/backends/s-1/disable").0, 200);
    let path = socket_path(front.address, Some(temporary(&front.file))).expect("a place");
    let file = std::fs::read_to_string(&front.file).expect("the file");
    on_one_thread(async {
        let mut stream = UnixStream::connect(&path).await.expect("it listens");
        let asked = br#"{"Ask":{"version":1}}"#;
        let mut frame = (asked.len() as u32).to_le_bytes().to_vec();
        frame.push(0);
        frame.extend_from_slice(asked);
        stream.write_all(&frame).await.expect("written");
        let offered = frame_from(&mut stream).await;
        assert_eq!(offered[4], 1, "it comes with a socket");
        let offer = match serde_json::from_slice(&offered[5..]).expect("a message") {
            Message::Offer(offer) => *offer,
            other => panic!("{other:?}"),
        };
        assert_eq!(write_json(&Message::Offer(Box::new(offer.clone()))).as_bytes(), &offered[5..]);
        let offer = write_json(&settled(offer, &front, &file));
        let took = b"\x06\0\0\0\0\"Took\"";
        stream.write_all(took).await.expect("written");
        let go = hex(&frame_from(&mut stream).await);
        GOLDEN.same_text("handover-giver.txt", &lines(&[("offer".into(), offer), ("go".into(), go)]));
    });
}
