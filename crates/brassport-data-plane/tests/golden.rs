//! Golden text: the counters' page, what an attempt says to a backend, and what clients are answered, byte by byte, held
//! against fixtures in `tests/golden`. Times and lengths of waits that differ from run to run stand there as `#`.

#[path = "../../brassport-transport/tests/common/fixture.rs"]
mod fixture;

use brassport_config_store::consensus::{Entry, ReplicatedState, VoterId};
use brassport_control_plane::backends::{Backend, BackendState};
use brassport_data_plane::metrics::{RequestCounters, ABANDONED_AFTER_MS};
use brassport_data_plane::wire::{BackendProtocol, CUSTOMER, EXPECT_SERVER, TIME_LEFT, TRY_ID};
use brassport_data_plane::{front, DataPlane, Options};
use brassport_policy::{Figures, Outcome};
use brassport_proxy::clock::SystemClock;
use brassport_proxy::hooks::Verdict;
use brassport_proxy::network::Tcp;
use brassport_proxy::protocol::Protocol;
use brassport_proxy::shutdown::Shutdown;
use brassport_types::DiskId;
use hyper::header::{HeaderMap, HeaderValue};
use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::timeout;

const PACKAGE: &str = env!("CARGO_MANIFEST_DIR");

/// The name of an outcome; one that is new does not compile here until it is in [`OUTCOMES`] too.
fn name_of(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Full => "full",
        Outcome::TimedOut => "timed out",
        Outcome::NoConnection => "no connection",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::Moot => "moot",
    }
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Full,
    Outcome::TimedOut,
    Outcome::NoConnection,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::Moot,
];

fn page(counters: &RequestCounters, figures: &Figures) -> String {
    let mut text = String::new();
    counters.write("search", figures, &mut text);
    text
}

#[test]
fn the_counters_page_has_the_same_lines() {
    let none = Figures {
        known: 0,
        ready: 0,
        ejected: 0,
        in_flight: 0,
        room_limit: 0.0,
        room_part: 0.0,
        no_room: 0,
        no_server: 0,
    };
    let figures = Figures {
        known: 9,
        ready: 8,
        ejected: 7,
        in_flight: 6,
        room_limit: 12.345,
        room_part: 0.98765,
        no_room: 5,
        no_server: 4,
    };
    let mut cases = vec![("nothing yet".to_owned(), page(&RequestCounters::default(), &none))];
    // Each count is another number, so that no two can change places.
    let counters = RequestCounters::default();
    let verdicts = [Verdict::Served, Verdict::Refused(0.0), Verdict::Failed, Verdict::Left];
    for (times, verdict) in (11..).zip(verdicts) {
        (0..times).for_each(|_| counters.answered(verdict));
    }
    for (times, outcome) in (21..).zip(OUTCOMES) {
        (0..times).for_each(|_| counters.attempt_ended(outcome, None));
    }
    (0..31).for_each(|_| counters.no_share.increment());
    for outcome in OUTCOMES {
        counters.attempt_ended(outcome, Some(ABANDONED_AFTER_MS));
        counters.attempt_ended(outcome, Some(ABANDONED_AFTER_MS + 1));
    }
    cases.push(("all counts".to_owned(), page(&counters, &figures)));
    for outcome in OUTCOMES {
        let counters = RequestCounters::default();
        counters.attempt_ended(outcome, Some(0));
        let counted = |line: &&str| line.ends_with(" 1");
        let lines: Vec<String> = page(&counters, &none).lines().filter(counted).map(str::to_owned).collect();
        cases.push((format!("one {}", name_of(outcome)), lines.join("\n")));
    }
    fixture::check(PACKAGE, "metrics", &cases);
}

#[test]
fn headers_have_the_same_names() {
    let mut headers = HeaderMap::new();
    headers.insert("x-expect-server", HeaderValue::from_static("another"));
    BackendProtocol::default().address(&mut headers, Duration::from_micros(1_499_900), "i-0001");
    let mut lines: Vec<String> =
        headers.iter().map(|(name, value)| format!("{name}: {}", value.to_str().expect("text"))).collect();
    lines.sort();
    let cases = [
        ("try id", TRY_ID.to_string()),
        ("time left", TIME_LEFT.to_string()),
        ("expect server", EXPECT_SERVER.to_string()),
        ("customer", CUSTOMER.to_string()),
        ("an attempt's own", lines.join("\n")),
    ];
    fixture::check(PACKAGE, "headers", &cases.map(|(name, text)| (name.to_owned(), text)));
}

const CONFIGURATION: &str = r#"{"version":"00000001","services":[{"name":"search"},{"name":"none"}],
 "limits":{"maxBodyBytes":64},
 "customers":[{"name":"acme","keys":["k1"]},{"name":"tight","keys":["k2"],"ratePerS":0.001,"burst":0}],
 "hosts":[{"host":"shop.example","paths":[
  {"name":"all","pathStart":"/","kind":"safe","giveUpS":5,"service":"search","tries":1},
  {"name":"open","pathStart":"/open/","kind":"unsafe","giveUpS":5,"service":"search","tries":1,"public":true},
  {"name":"silent","pathStart":"/silent/","giveUpS":0.5,"service":"search","tries":1},
  {"name":"none","pathStart":"/none/","giveUpS":0.2,"service":"none","public":true}]}]}"#;

/// What a backend was sent: each head with its body.
type Sent = Rc<RefCell<Vec<String>>>;

/// A head, and the body that its Content-Length tells.
async fn message(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&bytes).to_lowercase();
    let length = head.split("content-length: ").nth(1).and_then(|text| text.split('\r').next()?.parse().ok());
    for _ in 0..length.unwrap_or(0) {
        bytes.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&bytes).into_owned())
}

/// A backend that answers by the path, with the try's id and its seal.
async fn backend(listener: TcpListener, sent: Sent) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let sent = sent.clone();
        spawn_local(async move {
            while let Some(text) = message(&mut stream).await {
                let id =
                    text.lines().find(|line| line.to_lowercase().starts_with("x-try-id")).unwrap_or_default();
                let status = match text.split(' ').nth(1).unwrap_or_default() {
                    "/404" => "404 Not Found",
                    "/500" => "500 Internal Server Error",
                    "/silent/" => return tokio::time::sleep(Duration::from_secs(5)).await,
                    _ => "200 OK",
                };
                let answer = format!("HTTP/1.1 {status}\r\n{id}\r\nX-Server-Seal: 3e1b.07\r\nX-Customer: spoof\r\nX-More: kept\r\nKeep-Alive: timeout=5\r\nContent-Length: 4\r\n\r\nbody");
                sent.borrow_mut().push(text);
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Figures that differ from run to run, as `#`.
fn steady(text: &str, ports: &[u16]) -> String {
    let mut text = text.to_owned();
    for port in ports {
        text = text.replace(&format!(":{port}"), ":PORT");
    }
    let varies = ["date: ", "x-time-left-ms: ", "retry-after: "];
    let line = |line: &str| {
        let lower = line.to_lowercase();
        match varies.iter().find(|name| lower.starts_with(**name)) {
            Some(name) => format!("{}#", &line[..name.len()]),
            None => line.to_owned(),
        }
    };
    text.split("\r\n").map(line).collect::<Vec<_>>().join("\r\n")
}

async fn exchange(at: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(at).await.expect("it listens");
    stream.write_all(request.as_bytes()).await.expect("sent");
    let mut text = String::new();
    let read = timeout(Duration::from_secs(10), stream.read_to_string(&mut text)).await;
    read.expect("in time").expect("text");
    text
}

fn request(line: &str, headers: &str, body: &str) -> String {
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!("{line} HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n{headers}{length}\r\n{body}")
}

async fn served() -> (Vec<(String, String)>, Vec<(String, String)>) {
    let options = Options {
        zone: "a".to_owned(),
        zones: vec!["a".to_owned()],
        descriptors: 64,
        drain_ms: 2_000.0,
        retry: (0.1, 10.0),
        seed: 5,
    };
    let data_plane = DataPlane::new(SystemClock, Tcp, options);
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let at = listener.local_addr().expect("it has one");
    spawn_local(front::serve(listener, data_plane.clone(), Rc::new(Shutdown::default())));
    let mut answers = Vec::new();
    let early = exchange(at, &request("GET /", "", "")).await;
    let found = early.to_lowercase().contains("retry-after: 0.600");
    assert!(found, "the advice before there is a configuration is 600 ms: {early}");
    answers.push(("no configuration yet".to_owned(), steady(&early, &[at.port()])));
    let mut state = ReplicatedState::genesis(vec![VoterId { ip: Ipv4Addr::LOCALHOST, disk: DiskId(1) }], 1);
    let body = Arc::new(CONFIGURATION.as_bytes().to_vec());
    state.apply(&Entry::Replace { base_version: 0, body });
    assert_eq!(state.version(), 1, "the configuration is sound");
    data_plane.apply_state(&Arc::new(state));
    let behind = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a port");
    let port = behind.local_addr().expect("it has one").port();
    let sent = Sent::default();
    spawn_local(backend(behind, sent.clone()));
    data_plane.backend(&Backend {
        id: "i-7f3a".to_owned(),
        service: "search".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, port),
        zone: "a".to_owned(),
        version: String::new(),
        capacity: 8,
        state: BackendState::Ready,
        call_count: 1,
        warmup_left_ms: 0,
        age_ms: 0,
    });
    const KEY: &str = "Authorization: Bearer k1\r\nX-Try-Id: 9c41\r\nX-Time-Left-Ms: 4000\r\n";
    let own = format!("{KEY}X-Customer: spoof\r\nX-Expect-Server: spoof\r\nX-More: kept\r\nTE: trailers\r\n");
    let long = "x".repeat(65);
    let requests = [
        ("served", request("GET /a?b=c", &own, "")),
        ("served with a body", request("POST /a", KEY, "words")),
        ("public route", request("GET /open/a", "X-Try-Id: 9c42\r\n", "")),
        ("a backend's 404", request("GET /404", KEY, "")),
        ("a backend's 500", request("GET /500", KEY, "")),
        ("unknown key", request("GET /", "Authorization: Bearer no\r\n", "")),
        ("no key", request("GET /", "", "")),
        ("unknown host", request("GET /", KEY, "").replace("shop", "other")),
        ("header twice", request("GET /", &format!("{KEY}X-Try-Id: again\r\n"), "")),
        ("too long", request("POST /a", KEY, &long)),
        ("two lengths", request("POST /a", &format!("{KEY}Transfer-Encoding: chunked\r\n"), "0\r\n\r\n")),
        (
            "broken body",
            request("POST /a", &format!("{KEY}Transfer-Encoding: chunked\r\n"), "").to_owned() + "zz\r\n",
        ),
        ("no backend", request("GET /none/", "", "")),
        ("no answer of a backend", request("GET /silent/", KEY, "")),
    ];
    for (name, text) in requests {
        answers.push((name.to_owned(), steady(&exchange(at, &text).await, &[at.port()])));
    }
    let attempts = sent.take();
    const TIGHT: &str = "Authorization: Bearer k2\r\nX-Time-Left-Ms: 400\r\n";
    // Some come through first, as the rule has a slack.
    let mut over = String::new();
    for _ in 0..40 {
        over = exchange(at, &request("GET /", TIGHT, "")).await;
        if over.starts_with("HTTP/1.1 429") {
            break;
        }
    }
    answers.push(("beyond the tenant's limit".to_owned(), steady(&over, &[at.port()])));
    let attempt = |(number, text): (usize, &String)| (format!("attempt {number}"), steady(text, &[port]));
    let attempts = attempts.iter().enumerate().map(attempt).collect();
    (answers, attempts)
}

#[test]
fn clients_and_backends_are_told_the_same_bytes() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let (answers, sent) = LocalSet::new().block_on(&runtime, served());
    // Both are written before either fails.
    let both: Vec<(String, String)> = answers.into_iter().chain(sent).collect();
    fixture::check(PACKAGE, "front", &both);
}
