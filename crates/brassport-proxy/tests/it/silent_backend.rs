//! A backend that pauses in the middle of a long response, on simulated time and in-memory connections.

use crate::common::{AttemptCount, TestProtocol};
use brassport_proxy::body::ResponseBody;
use brassport_proxy::clock::Clock;
use brassport_proxy::deadline::ResettableDeadline;
use brassport_proxy::network::{Listener, Network, Tcp};
use brassport_proxy::upstream::{
    AttemptOwner, AttemptTarget, RequestBody, UpstreamPool, UpstreamRequest, UsedConnections,
};
use http_body_util::BodyExt;
use hyper::body::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, Response, Uri};
use std::cell::RefCell;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_case::test_case;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::UdpSocket;
use tokio::sync::Semaphore;
use tokio::task::{spawn_local, LocalSet};

const LONG: Duration = Duration::from_secs(600);
const PIPE_BYTES: usize = 64 * 1024;
const FIRST: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n";
const LAST: &[u8] = b"4\r\nlast\r\n0\r\n\r\n";

/// tokio's clock, which is paused in these tests and advances when nothing else is left to do.
#[derive(Clone, Copy)]
struct PausedClock;

impl Clock for PausedClock {
    type Sleep = tokio::time::Sleep;

    fn now(&self) -> Instant {
        tokio::time::Instant::now().into_std()
    }

    fn sleep_until(&self, at: Instant) -> Self::Sleep {
        tokio::time::sleep_until(at.into())
    }

    fn unix_time(&self) -> Duration {
        Duration::ZERO
    }
}

/// A network whose every connection leads to a backend that pauses for this long in its response.
#[derive(Clone, Copy)]
struct PausingBackend(Duration);

impl PausingBackend {
    async fn respond(self, mut stream: DuplexStream) -> io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(stream.read_u8().await?);
        }
        stream.write_all(FIRST).await?;
        tokio::time::sleep(self.0).await;
        stream.write_all(LAST).await?;
        pending().await
    }
}

struct NoListener;

impl Listener for NoListener {
    type Stream = DuplexStream;

    async fn accept(&self) -> io::Result<DuplexStream> {
        pending().await
    }
}

impl Network for PausingBackend {
    type Stream = DuplexStream;
    type Listener = NoListener;
    type Datagrams = UdpSocket;

    async fn listen(&self, _: SocketAddr) -> io::Result<NoListener> {
        Ok(NoListener)
    }

    async fn connect(&self, _: SocketAddr) -> io::Result<DuplexStream> {
        let (near, far) = tokio::io::duplex(PIPE_BYTES);
        spawn_local(self.respond(far));
        Ok(near)
    }

    async fn datagrams(&self, address: SocketAddr) -> io::Result<UdpSocket> {
        Tcp.datagrams(address).await
    }
}

/// A client that reads the response as it comes.
#[derive(Default)]
struct Reader {
    response: RefCell<Option<Response<ResponseBody>>>,
}

impl AttemptOwner for Reader {
    fn may_send(&self) -> bool {
        true
    }

    fn forward(&self, response: Response<ResponseBody>) {
        self.response.replace(Some(response));
    }
}

impl Reader {
    /// The body, or `None` if it is incomplete.
    async fn read(&self) -> Option<Bytes> {
        let response = loop {
            if let Some(response) = self.response.take() {
                break response;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        };
        Some(response.into_body().collect().await.ok()?.to_bytes())
    }
}

/// Guards against responses that are cut while their backend works: a pause of 15 s ended them, long before the deadline
/// of the client and the timeout of the route. A backend that stays silent must not occupy the client for ever either.
#[test_case(18, 50, Some(18); "a pause within the deadline")]
#[test_case(49, 50, Some(49); "a pause up to the deadline")]
#[test_case(70, 50, None; "a pause beyond the deadline")]
#[test_case(10, 1, Some(10); "a short pause after the deadline")]
#[test_case(18, 1, None; "a long pause after the deadline")]
#[tokio::test(start_paused = true)]
async fn a_pause_of_the_backend_ends_a_response_only_after_its_deadline(
    pause_s: u64,
    deadline_s: u64,
    complete_after_s: Option<u64>,
) {
    let test = async {
        let network = PausingBackend(Duration::from_secs(pause_s));
        let (written, descriptors) = (Rc::new(AttemptCount::default()), Arc::new(Semaphore::new(16)));
        let protocol = Rc::new(TestProtocol);
        let pool = UpstreamPool::new(PausedClock, network, descriptors, LONG, LONG, written, protocol);
        pool.upsert(1, "n1", SocketAddr::from(([127, 0, 0, 1], 1)), true);
        let (method, uri, headers) = (Method::POST, Uri::from_static("/job"), HeaderMap::new());
        let body = RequestBody::Complete(Bytes::new());
        let request = UpstreamRequest { method, uri, headers, body };
        let start = PausedClock.now();
        let deadline = ResettableDeadline::new(start + Duration::from_secs(deadline_s));
        let used_connections = &UsedConnections::default();
        let target = AttemptTarget { backend: 1, request: &request, deadline: &deadline, used_connections };
        let reader = Reader::default();
        let (_, body) = tokio::join!(pool.attempt(target, &reader, pending::<()>()), reader.read());
        let took_s = (PausedClock.now() - start).as_secs();
        assert_eq!(body.is_some().then_some(took_s), complete_after_s, "{body:?} after {took_s} s");
    };
    LocalSet::new().run_until(test).await;
}
