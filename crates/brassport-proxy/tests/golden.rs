//! Golden bytes: what this crate writes to clients and backends by itself must not change by a byte. Each case goes over
//! a socket or is built in code, and is compared with a fixture in `tests/golden`. `GOLDEN_WRITE=1` writes the
//! fixtures anew, and fails.

mod common;

use brassport_policy::{Class, Effect, Event, Lifecycle, ListKind, Plan, ServerEntry, Settings};
use brassport_proxy::body::{ResponseBody, StreamedBody};
use brassport_proxy::clock::{Clock, SystemClock};
use brassport_proxy::date::DateHeader;
use brassport_proxy::dispatch::{Dispatcher, DispatcherOptions, RequestOutcome};
use brassport_proxy::downstream::{serve, DownstreamService};
use brassport_proxy::downstream::{ConnectionRegistry, DownstreamConnection};
use brassport_proxy::network::Tcp;
use brassport_proxy::responses::{forwarded_headers, has_ambiguous_length, plain_text, retry_later};
use brassport_proxy::upstream::{RequestBody, UpstreamPool, UpstreamRequest};
use common::{bounded, Counts, PassesAll};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, StatusCode, Uri};
use std::cell::Cell;
use std::future::{pending, Future};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::task::spawn_local;

/// The fixture of this name, which the text must equal.
fn golden(name: &str, text: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
    if std::env::var("GOLDEN_WRITE").is_ok_and(|value| value == "1") {
        std::fs::write(&path, text).expect("the fixture can be written");
        panic!("wrote {name}: run again without GOLDEN_WRITE");
    }
    let fixture = std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("fixture {name}: {error}"));
    for (number, (is, was)) in text.lines().zip(fixture.lines()).enumerate() {
        assert_eq!(is, was, "{name}, line {}", number + 1);
    }
    assert_eq!(text, fixture, "{name}");
}

/// One line for each case.
fn lines(cases: &[(String, String)]) -> String {
    cases.iter().map(|(name, value)| format!("{name}: {value}\n")).collect()
}

fn plain(bytes: &[u8]) -> String {
    bytes.escape_ascii().to_string()
}

// Headers.

#[test]
fn dates() {
    let date = DateHeader::default();
    let seconds =
        [0.0, 0.999, 1.0, 784_111_777.0, 951_782_400.0, 1_709_164_799.9, 4_102_444_800.0, 253_402_300_799.0];
    let cases = seconds.map(|second| {
        let value = date.value(Duration::from_secs_f64(second));
        (second.to_string(), plain(value.as_bytes()))
    });
    golden("dates.txt", &lines(&cases));
}

#[test]
fn what_of_the_headers_goes_on() {
    let all = [
        ("host", "a"),
        ("connection", "keep-alive, X-Hop , x-kept,, bad name"),
        ("connection", "close"),
        ("x-hop", "1"),
        ("x-kept", "2"),
        ("keep-alive", "timeout=5"),
        ("proxy-connection", "x"),
        ("te", "trailers"),
        ("trailer", "x-t"),
        ("transfer-encoding", "chunked"),
        ("upgrade", "h2c"),
        ("expect", "100-continue"),
        ("content-length", "5"),
        ("content-type", "text/plain"),
        ("cookie", "a=b"),
        ("cookie", "c=d"),
        ("own", "x"),
        ("date", "then"),
        ("proxy-authorization", "basic"),
    ];
    let mut headers = HeaderMap::new();
    for (name, value) in all {
        headers.append(HeaderName::from_static(name), HeaderValue::from_static(value));
    }
    let (own, kept) = ([HeaderName::from_static("own")], [HeaderName::from_static("x-kept")]);
    let cases = [
        ("nothing own, nothing kept", forwarded_headers(headers.clone(), &[], &[])),
        ("own", forwarded_headers(headers.clone(), &own, &[])),
        ("own and kept", forwarded_headers(headers, &own, &kept)),
        ("none", forwarded_headers(HeaderMap::new(), &own, &kept)),
    ];
    let written = cases.map(|(name, headers)| {
        let headers: Vec<_> =
            headers.iter().map(|(name, value)| format!("{name}={}", plain(value.as_bytes()))).collect();
        (name.to_string(), headers.join(" | "))
    });
    golden("headers.txt", &lines(&written));
}

// Answers to clients.

/// The system's clock, on whose wall it is always the same second.
#[derive(Clone, Copy)]
struct Standing;

impl Clock for Standing {
    type Sleep = tokio::time::Sleep;

    fn now(&self) -> Instant {
        SystemClock.now()
    }

    fn sleep_until(&self, at: Instant) -> tokio::time::Sleep {
        SystemClock.sleep_until(at)
    }

    fn unix(&self) -> Duration {
        Duration::from_millis(784_111_777_250)
    }
}

/// Gives each path an answer of its own.
struct Desk {
    connections: Rc<ConnectionRegistry<Standing>>,
    date: DateHeader,
    serves: Cell<bool>,
}

/// Waits of refusals, in milliseconds.
const WAITS: [f64; 9] = [0.0, -1.0, f64::NAN, 0.4, 0.5, 1.0, 500.0, 1234.5678, 86_400_000.0];

const STATUSES: [StatusCode; 8] = [
    StatusCode::OK,
    StatusCode::BAD_REQUEST,
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::CONFLICT,
    StatusCode::PAYLOAD_TOO_LARGE,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
    StatusCode::GATEWAY_TIMEOUT,
];

fn coming(length: Option<u64>, pieces: &'static [&'static str]) -> Response<ResponseBody> {
    let (to, body) = StreamedBody::new(length);
    spawn_local(async move {
        for piece in pieces {
            let _ = to.write(Bytes::from_static(piece.as_bytes())).await;
        }
        to.end().await;
    });
    Response::new(ResponseBody::Streaming(body))
}

impl DownstreamService for Desk {
    type Clock = Standing;
    type Network = Tcp;
    type RequestContext = ();

    fn clock(&self) -> &Standing {
        &Standing
    }
    fn connections(&self) -> &Rc<ConnectionRegistry<Standing>> {
        &self.connections
    }
    fn date(&self) -> &DateHeader {
        &self.date
    }
    fn on_request(&self, _: &Request<Incoming>) {}
    async fn respond(
        &self,
        request: Request<Incoming>,
        client: &DownstreamConnection<Standing>,
        (): &(),
    ) -> Result<Response<ResponseBody>, Response<ResponseBody>> {
        if has_ambiguous_length(request.headers(), client) {
            return Err(plain_text(StatusCode::BAD_REQUEST, "ambiguous"));
        }
        let (kind, number) = request.uri().path().trim_start_matches('/').split_once('/').unwrap_or_default();
        let number: usize = number.parse().unwrap_or_default();
        match kind {
            "text" => Ok(plain_text(STATUSES[number], "a line of text")),
            "last" => Err(plain_text(STATUSES[number], "a line of text")),
            "empty" => Ok(plain_text(STATUSES[number], "")),
            "wait" => Ok(retry_later(StatusCode::TOO_MANY_REQUESTS, WAITS[number])),
            "out" => Err(retry_later(StatusCode::SERVICE_UNAVAILABLE, WAITS[number])),
            "long" => Ok(coming(Some(10), &["hello", "world"])),
            "endless" => Ok(coming(None, &["hello", "world!"])),
            "dated" => {
                let mut response =
                    Response::new(ResponseBody::Complete(Full::new(Bytes::from_static(b"dated"))));
                let date = HeaderValue::from_static("Thu, 01 Jan 1970 00:00:00 GMT");
                response.headers_mut().insert("date", date);
                Ok(response)
            }
            _ => Ok(plain_text(StatusCode::NOT_FOUND, "nothing")),
        }
    }
    fn overload_response(&self) -> Response<ResponseBody> {
        retry_later(StatusCode::SERVICE_UNAVAILABLE, 250.0)
    }
    fn on_response((): &(), _: StatusCode) {}
    fn on_stream_end((): &(), _: bool) {}
    fn evict_idle(&self) -> bool {
        false
    }
    fn is_serving(&self) -> bool {
        self.serves.get()
    }
    fn closing(&self) -> impl Future<Output = ()> {
        pending()
    }
}

/// A desk with so many descriptors, of so many in all.
async fn desk(descriptors: usize, in_all: usize) -> (Rc<Desk>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let connections = Rc::new(ConnectionRegistry::new(Standing));
    let desk = Rc::new(Desk { connections, date: DateHeader::default(), serves: Cell::new(true) });
    let (_, adopted) = mpsc::unbounded_channel();
    let descriptors = Arc::new(Semaphore::new(descriptors));
    spawn_local(serve(Rc::new(listener), desk.clone(), descriptors, in_all, adopted));
    (desk, at)
}

/// The whole answer to some bytes, which must be such that the connection closes behind it: a client that ends its
/// sending before it has its answer may be taken for gone.
async fn asked(at: SocketAddr, call: &[u8]) -> String {
    let mut stream = TcpStream::connect(at).await.expect("it listens");
    stream.write_all(call).await.expect("written");
    let mut answer = Vec::new();
    // One that turns a call away before it has come may end by a reset.
    let _ = stream.read_to_end(&mut answer).await;
    plain(&answer)
}

fn call(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: desk\r\nConnection: close\r\n\r\n").into_bytes()
}

#[tokio::test]
async fn answers_to_clients() {
    bounded(async {
        let (desk, at) = desk(64, 64).await;
        let mut paths = Vec::new();
        for number in 0..STATUSES.len() {
            paths.extend(["text", "last", "empty"].map(|kind| format!("/{kind}/{number}")));
        }
        for number in 0..WAITS.len() {
            paths.extend(["wait", "out"].map(|kind| format!("/{kind}/{number}")));
        }
        paths.extend(["/long/", "/endless/", "/dated/", "/"].map(String::from));
        let mut cases = Vec::new();
        for path in paths {
            cases.push((path.clone(), asked(at, &call(&path)).await));
        }
        for (name, bytes) in [
            ("kept open, two calls", &b"GET /text/0 HTTP/1.1\r\nHost: d\r\n\r\nGET /wait/6 HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n"[..]),
            ("nothing behind the last", b"GET /last/1 HTTP/1.1\r\nHost: d\r\n\r\nGET /text/0 HTTP/1.1\r\nHost: d\r\n\r\n"),
            ("head", b"HEAD /text/0 HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n"),
            ("an older version", b"GET /text/0 HTTP/1.0\r\n\r\n"),
            ("older, kept open", b"GET /text/0 HTTP/1.0\r\nConnection: keep-alive\r\n\r\nGET /text/1 HTTP/1.0\r\n\r\n"),
            ("older, without length", b"GET /endless/ HTTP/1.0\r\n\r\n"),
            (
                "two lengths",
                b"POST /text/0 HTTP/1.1\r\nHost: d\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            ),
            (
                "two codings",
                b"POST /text/0 HTTP/1.1\r\nHost: d\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
            ),
            (
                "one coding",
                b"POST /text/0 HTTP/1.1\r\nHost: d\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n0\r\n\r\n",
            ),
            ("no HTTP", b"hello\r\n\r\n"),
            ("a length that is none", b"POST / HTTP/1.1\r\nHost: d\r\nContent-Length: x\r\n\r\n"),
        ] {
            cases.push((name.to_string(), asked(at, bytes).await));
        }
        let long = format!("GET / HTTP/1.1\r\nX-Long: {}\r\n\r\n", "x".repeat(16 * 1024));
        cases.push(("a long head".into(), asked(at, long.as_bytes()).await));
        desk.serves.set(false);
        for path in ["/text/0", "/long/", "/endless/"] {
            let call = format!("GET {path} HTTP/1.1\r\nHost: d\r\n\r\n");
            cases.push((format!("{path} of one that leaves"), asked(at, call.as_bytes()).await));
        }
        golden("answers.txt", &lines(&cases));
    })
    .await;
}

#[tokio::test]
async fn answers_to_clients_of_a_crowd() {
    bounded(async {
        // The only descriptor that is free is kept for attempts.
        let (_desk, at) = desk(1, 4).await;
        let call = b"GET /text/0 HTTP/1.1\r\nHost: d\r\n\r\n";
        golden("answers-crowded.txt", &lines(&[("turned away".into(), asked(at, call).await)]));
    })
    .await;
}

// Requests to backends.

/// Takes one request after another off one connection, and answers each.
async fn backend(listener: TcpListener, heard: mpsc::UnboundedSender<Vec<u8>>) {
    loop {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut request = Vec::new();
        while let Ok(byte) = stream.read_u8().await {
            request.push(byte);
            let Some(end) = request.windows(4).position(|part| part == b"\r\n\r\n") else { continue };
            let (head, body) = request.split_at(end + 4);
            // Bodies here end with a stop.
            let has_body = plain(head).to_ascii_lowercase().contains("content-length: ");
            if has_body && !body.ends_with(b".") {
                continue;
            }
            let answer = if head.starts_with(b"HEAD ") { "" } else { "ok" };
            let _ = heard.send(std::mem::take(&mut request));
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{answer}");
            stream.write_all(answer.as_bytes()).await.expect("written");
        }
    }
}

#[tokio::test]
async fn requests_to_backends() {
    bounded(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("an address");
        let (heard, mut told) = mpsc::unbounded_channel();
        spawn_local(backend(listener, heard));
        let class =
            Class { worth: 1.0, aim: 5000.0, deadline: 10_000.0, late_share: 0.5, effect: Effect::Once };
        let settings = Settings { classes: vec![class], plans: vec![Plan::default()], ..Settings::default() };
        let long = Duration::from_secs(60);
        let (counts, descriptors) = (Rc::new(Counts::default()), Arc::new(Semaphore::new(16)));
        let backends =
            UpstreamPool::new(SystemClock, Tcp, descriptors, long, long, counts, Rc::new(PassesAll));
        let backends = Rc::new(backends);
        let host = DispatcherOptions {
            meter: None,
            hooks: None,
            on_release: Box::new(|_| ()),
            inherited_clock: None,
        };
        let door =
            Dispatcher::new(SystemClock, settings, 1, host, backends.clone()).expect("settings that hold");
        backends.upsert(1, "n1", at, true);
        let entry =
            ServerEntry { id: 1, zone: 0, cell: 0, share: 1.0, lifecycle: Lifecycle::Ready, launched: None };
        door.handle(Event::Servers { kind: ListKind::Full, entries: vec![entry] });
        spawn_local(door.clone().run_timers());
        let mut cases = Vec::new();
        for (name, method, uri, body) in [
            ("get", Method::GET, "/", ""),
            ("get with a query", Method::GET, "/a/b%20c?d=e&f", ""),
            ("head", Method::HEAD, "/x", ""),
            ("post", Method::POST, "/job", "the body."),
            ("put", Method::PUT, "/job/7", "\u{fc}ber."),
            ("delete", Method::DELETE, "/job/7", ""),
            ("a method of its own", Method::from_bytes(b"FETCH").expect("a method"), "/x", ""),
        ] {
            let mut headers = HeaderMap::new();
            headers.insert("x-one", HeaderValue::from_static("1"));
            headers.append("cookie", HeaderValue::from_static("a=b"));
            headers.append("cookie", HeaderValue::from_static("c=d"));
            let request = brassport_policy::Request {
                id: 0,
                customer: 7,
                plan: 0,
                class: 0,
                units: 1.0,
                spread: 1,
                first: 0,
                expires_in: 0.0,
                repeat: false,
            };
            let body = RequestBody::Complete(Bytes::from_static(body.as_bytes()));
            let message = UpstreamRequest { method, uri: Uri::from_static(uri), headers, body };
            let pending = door.admit(request, door.generate_id(), message, long).expect("a name of its own");
            let answer = match pending.outcome().await {
                RequestOutcome::Served(answer) => answer.status().to_string(),
                RequestOutcome::Rejected(wait) => format!("refused for {wait}"),
                RequestOutcome::Failed => "failed".to_string(),
            };
            let request = told.recv().await.expect("a request");
            cases.push((name.to_string(), format!("{} -> {answer}", plain(&request))));
        }
        golden("requests.txt", &lines(&cases));
    })
    .await;
}
