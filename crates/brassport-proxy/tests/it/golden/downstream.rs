//! The bytes of responses sent to clients.

use super::{lines, printable, GOLDEN};
use crate::common::bounded;
use brassport_proxy::body::{ResponseBody, StreamedBody};
use brassport_proxy::clock::{Clock, SystemClock};
use brassport_proxy::date::DateHeader;
use brassport_proxy::downstream::{serve, ConnectionRegistry, DownstreamConnection, DownstreamService};
use brassport_proxy::network::Tcp;
use brassport_proxy::responses::{has_ambiguous_length, plain_text, retry_later};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use std::cell::Cell;
use std::future::{pending, Future};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Semaphore};
use tokio::task::spawn_local;

/// The system clock with a constant wall-clock time.
#[derive(Clone, Copy)]
struct FixedWallClock;

impl Clock for FixedWallClock {
    type Sleep = tokio::time::Sleep;

    fn now(&self) -> Instant {
        SystemClock.now()
    }

    fn sleep_until(&self, at: Instant) -> tokio::time::Sleep {
        SystemClock.sleep_until(at)
    }

    fn unix_time(&self) -> Duration {
        Duration::from_millis(784_111_777_250)
    }
}

/// A service that selects the response by the path of the request.
struct TestService {
    connections: Rc<ConnectionRegistry<FixedWallClock>>,
    date: DateHeader,
    is_serving: Cell<bool>,
}

/// Retry delays of rejections, in milliseconds.
const WAITS_MS: [f64; 9] = [0.0, -1.0, f64::NAN, 0.4, 0.5, 1.0, 500.0, 1234.5678, 86_400_000.0];

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

fn streamed(length: Option<u64>, chunks: &'static [&'static str]) -> Response<ResponseBody> {
    let (sender, body) = StreamedBody::new(length);
    spawn_local(async move {
        for chunk in chunks {
            let _ = sender.send(Bytes::from_static(chunk.as_bytes())).await;
        }
        sender.finish().await;
    });
    Response::new(ResponseBody::Streaming(body))
}

impl DownstreamService for TestService {
    type Clock = FixedWallClock;
    type Network = Tcp;
    type RequestContext = ();

    fn clock(&self) -> &FixedWallClock {
        &FixedWallClock
    }
    fn connections(&self) -> &Rc<ConnectionRegistry<FixedWallClock>> {
        &self.connections
    }
    fn date(&self) -> &DateHeader {
        &self.date
    }
    fn on_request(&self, _: &Request<Incoming>) {}
    async fn respond(
        &self,
        request: Request<Incoming>,
        client: &DownstreamConnection<FixedWallClock>,
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
            "wait" => Ok(retry_later(StatusCode::TOO_MANY_REQUESTS, WAITS_MS[number])),
            "out" => Err(retry_later(StatusCode::SERVICE_UNAVAILABLE, WAITS_MS[number])),
            "long" => Ok(streamed(Some(10), &["hello", "world"])),
            "endless" => Ok(streamed(None, &["hello", "world!"])),
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
        self.is_serving.get()
    }
    fn closing(&self) -> impl Future<Output = ()> {
        pending()
    }
}

/// Starts a service with `free` available descriptors out of `total`.
async fn start_service(free: usize, total: usize) -> (Rc<TestService>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let at = listener.local_addr().expect("an address");
    let connections = Rc::new(ConnectionRegistry::new(FixedWallClock));
    let service =
        Rc::new(TestService { connections, date: DateHeader::default(), is_serving: Cell::new(true) });
    let (_, adopted) = mpsc::unbounded_channel();
    let descriptors = Arc::new(Semaphore::new(free));
    spawn_local(serve(Rc::new(listener), service.clone(), descriptors, total, adopted));
    (service, at)
}

/// Sends a request and returns all bytes of the response. The request must cause the service to close the connection
/// after the response, as a client that shuts down its sending direction earlier may be treated as disconnected.
async fn exchange(at: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(at).await.expect("the service listens");
    stream.write_all(request).await.expect("the request is written");
    let mut response = Vec::new();
    // If the service rejects a request before it has read all of it, the connection may end with a reset.
    let _ = stream.read_to_end(&mut response).await;
    printable(&response)
}

fn request_to(path: &str) -> Vec<u8> {
    format!("GET {path} HTTP/1.1\r\nHost: desk\r\nConnection: close\r\n\r\n").into_bytes()
}

/// The raw bytes of requests, with the names of their cases.
const RAW_REQUESTS: [(&str, &[u8]); 11] = [
            ("kept open, two calls", b"GET /text/0 HTTP/1.1\r\nHost: d\r\n\r\nGET /wait/6 HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n"),
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
];

/// The paths of all responses of the service.
fn paths() -> Vec<String> {
    let mut paths = Vec::new();
    for number in 0..STATUSES.len() {
        paths.extend(["text", "last", "empty"].map(|kind| format!("/{kind}/{number}")));
    }
    for number in 0..WAITS_MS.len() {
        paths.extend(["wait", "out"].map(|kind| format!("/{kind}/{number}")));
    }
    paths.extend(["/long/", "/endless/", "/dated/", "/"].map(String::from));
    paths
}

#[tokio::test]
async fn the_bytes_of_responses_to_clients_are_unchanged() {
    bounded(async {
        let (service, at) = start_service(64, 64).await;
        let mut cases = Vec::new();
        for path in paths() {
            cases.push((path.clone(), exchange(at, &request_to(&path)).await));
        }
        for (name, bytes) in RAW_REQUESTS {
            cases.push((name.to_string(), exchange(at, bytes).await));
        }
        let long = format!("GET / HTTP/1.1\r\nX-Long: {}\r\n\r\n", "x".repeat(16 * 1024));
        cases.push(("a long head".into(), exchange(at, long.as_bytes()).await));
        service.is_serving.set(false);
        for path in ["/text/0", "/long/", "/endless/"] {
            let request = format!("GET {path} HTTP/1.1\r\nHost: d\r\n\r\n");
            cases.push((format!("{path} of one that leaves"), exchange(at, request.as_bytes()).await));
        }
        GOLDEN.same_text("answers.txt", &lines(&cases));
    })
    .await;
}

#[tokio::test]
async fn the_bytes_of_the_overload_response_are_unchanged() {
    bounded(async {
        // The only available descriptor is reserved for attempts.
        let (_service, at) = start_service(1, 4).await;
        let request = b"GET /text/0 HTTP/1.1\r\nHost: d\r\n\r\n";
        GOLDEN
            .same_text("answers-crowded.txt", &lines(&[("turned away".into(), exchange(at, request).await)]));
    })
    .await;
}
