//! A dispatcher with scripted backends on the loopback interface.

use brassport_policy::{
    Class, Event, Lifecycle, ListKind, Outcome, Plan, Request, RetrySafety, ServerEntry, Settings,
};
use brassport_proxy::body::{BodyError, ProxiedBody, UpstreamBody};
use brassport_proxy::clock::SystemClock;
use brassport_proxy::dispatch::{Dispatcher, DispatcherOptions, PendingRequest, RequestOutcome};
use brassport_proxy::network::Tcp;
use brassport_proxy::protocol::{AttemptEvent, AttemptObserver, ResponseClassification, UpstreamProtocol};
use brassport_proxy::upstream::{RequestBody, StreamingUpload, UpstreamPool, UpstreamRequest};
use hyper::body::{Body, Bytes, Frame};
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, StatusCode, Uri};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};
use tokio::task::{spawn_local, LocalSet};

/// The timeout of requests; longer than [`TEST_TIMEOUT`], so that no test reaches it.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(60);
/// The maximum duration of a test; shorter than the stall timeouts of the proxy, so that no test passes by them.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// A protocol in which every response may be forwarded, unless the request has the header `forward-nothing`. The
/// response header `once` forbids reusing the connection; `keep` announces its idle timeout in milliseconds; status 503
/// states that the request has not run.
pub struct TestProtocol;

impl UpstreamProtocol for TestProtocol {
    fn add_attempt_headers(&self, headers: &mut HeaderMap, _: Duration, backend: &str) {
        headers.insert("host", HeaderValue::from_str(backend).expect("a valid header value"));
    }

    fn classify(&self, request: &HeaderMap, response: &Parts) -> ResponseClassification {
        let outcome = match response.status {
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE => Outcome::Overloaded,
            _ => Outcome::Error,
        };
        let timeout_ms = response
            .headers
            .get("keep")
            .map(|ms| ms.to_str().expect("an ASCII value").parse().expect("a number"));
        ResponseClassification {
            outcome,
            quota_used: None,
            is_for_client: outcome != Outcome::Overloaded && !request.contains_key("forward-nothing"),
            is_reusable: !response.headers.contains_key("once"),
            idle_timeout: timeout_ms.map(Duration::from_millis),
        }
    }
}

/// Counts the attempts that were written.
#[derive(Default)]
pub struct AttemptCount(pub Cell<i32>);

impl AttemptObserver for AttemptCount {
    fn on_attempt(&self, event: AttemptEvent) {
        match event {
            AttemptEvent::Written => self.0.set(self.0.get() + 1),
            AttemptEvent::NotWritten => self.0.set(self.0.get() - 1),
        }
    }
}

/// Backends that send the scripted responses in order, regardless of which backend receives a request.
#[derive(Default)]
pub struct Script {
    pub responses: RefCell<Vec<&'static str>>,
    /// The number of accepted connections.
    pub connections: Cell<u32>,
    /// The heads of the received requests, in lower case.
    pub heads: RefCell<Vec<String>>,
    /// The number of connections that the proxy has closed.
    pub closed: Cell<u32>,
    changed: Notify,
}

impl Script {
    async fn backend(self: Rc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        spawn_local(async move {
            loop {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                self.connections.set(self.connections.get() + 1);
                let script = self.clone();
                spawn_local(async move {
                    let mut head = Vec::new();
                    while let Ok(byte) = stream.read_u8().await {
                        head.push(byte);
                        if head.ends_with(b"\r\n\r\n") {
                            let text = String::from_utf8(std::mem::take(&mut head)).expect("valid UTF-8");
                            script.heads.borrow_mut().push(text.to_ascii_lowercase());
                            let response = script.responses.borrow_mut().remove(0);
                            stream.write_all(response.as_bytes()).await.expect("the response is written");
                            script.changed.notify_waiters();
                        }
                    }
                    script.closed.set(script.closed.get() + 1);
                    script.changed.notify_waiters();
                });
            }
        });
        address
    }

    /// Waits until at least `count` requests have been received.
    pub async fn requests_received(&self, count: usize) {
        while self.heads.borrow().len() < count {
            self.changed.notified().await;
        }
    }

    /// Waits until the proxy has closed at least `count` connections.
    pub async fn connections_closed(&self, count: u32) {
        while self.closed.get() < count {
            self.changed.notified().await;
        }
    }
}

/// A request class with this retry safety.
pub fn class(retry_safety: RetrySafety) -> Class {
    Class { value: 1.0, latency_target: 5000.0, deadline: 10_000.0, late_value_fraction: 0.5, retry_safety }
}

/// A request of the only class and plan, in the form in which programs pass it to the dispatcher.
pub fn policy_request() -> Request {
    Request {
        id: 0,
        customer: 7,
        plan: 0,
        class: 0,
        units: 1.0,
        customer_gateways: 1,
        first_gateway: 0,
        expires_in: 0.0,
        is_client_retry: false,
    }
}

/// Creates a dispatcher with backends `n1`, `n2` etc. at these addresses, and runs its timers.
pub fn dispatcher_with_backends(
    addresses: &[SocketAddr],
    settings: Settings,
    written: Rc<AttemptCount>,
    on_attempt_end: impl Fn(u64) + 'static,
) -> Rc<Dispatcher<SystemClock, Tcp>> {
    let (long, descriptors) = (Duration::from_secs(60), Arc::new(Semaphore::new(16)));
    let pool = UpstreamPool::new(SystemClock, Tcp, descriptors, long, long, written, Rc::new(TestProtocol));
    let pool = Rc::new(pool);
    let on_attempt_end = Box::new(on_attempt_end);
    let options = DispatcherOptions { meter: None, hooks: None, on_attempt_end, inherited_clock: None };
    let dispatcher = Dispatcher::new(SystemClock, settings, 1, options, pool.clone());
    let dispatcher = dispatcher.expect("valid settings");
    let mut entries = Vec::new();
    for (id, address) in (1..).zip(addresses) {
        pool.upsert(id, &format!("n{id}"), *address, true);
        let lifecycle = Lifecycle::Ready;
        entries.push(ServerEntry { id, zone: 0, cell: 0, capacity: 1.0, lifecycle, launched_at: None });
    }
    dispatcher.handle(Event::Servers { kind: ListKind::Full, entries });
    spawn_local(dispatcher.clone().run_timers());
    dispatcher
}

/// A dispatcher with scripted backends; two, unless stated otherwise.
pub struct TestProxy {
    pub dispatcher: Rc<Dispatcher<SystemClock, Tcp>>,
    pub script: Rc<Script>,
    /// The attempts that were written.
    pub written: Rc<AttemptCount>,
    /// The customer of each attempt that has ended.
    pub ended_attempts: Rc<RefCell<Vec<u64>>>,
}

impl TestProxy {
    pub async fn new(retry_safety: RetrySafety, responses: &[&'static str]) -> TestProxy {
        TestProxy::with_backends(2, retry_safety, responses).await
    }

    /// The same, with this many backends.
    pub async fn with_backends(
        count: usize,
        retry_safety: RetrySafety,
        responses: &[&'static str],
    ) -> TestProxy {
        let script = Rc::new(Script { responses: RefCell::new(responses.to_vec()), ..Script::default() });
        let (written, ended_attempts) = (Rc::new(AttemptCount::default()), Rc::new(RefCell::new(Vec::new())));
        let (classes, plans) = (vec![class(retry_safety)], vec![Plan::default()]);
        let settings =
            Settings { classes, plans, max_attempts: 2, allow_cancel: true, ..Settings::default() };
        let mut addresses = Vec::new();
        for _ in 0..count {
            addresses.push(script.clone().backend().await);
        }
        let ended = ended_attempts.clone();
        let on_attempt_end = move |customer| ended.borrow_mut().push(customer);
        let dispatcher = dispatcher_with_backends(&addresses, settings, written.clone(), on_attempt_end);
        TestProxy { dispatcher, script, written, ended_attempts }
    }

    /// Admits a request. Dropping the returned value simulates a client that disconnects.
    pub fn admit(&self, headers: HeaderMap) -> PendingRequest<SystemClock, Tcp> {
        self.admit_with(headers, RequestBody::Complete(Bytes::new()))
    }

    /// Admits a request whose client never sends the end of its body.
    pub fn admit_incomplete(&self) -> PendingRequest<SystemClock, Tcp> {
        self.admit_with(HeaderMap::new(), incomplete_body())
    }

    fn admit_with(&self, headers: HeaderMap, body: RequestBody) -> PendingRequest<SystemClock, Tcp> {
        let message = UpstreamRequest { method: Method::POST, uri: Uri::from_static("/job"), headers, body };
        let id = self.dispatcher.generate_id();
        let pending = self.dispatcher.admit(policy_request(), id, message, CLIENT_TIMEOUT);
        pending.expect("a unique name")
    }

    /// Admits a request and waits for its outcome.
    pub async fn request(&self, headers: HeaderMap) -> RequestOutcome {
        self.admit(headers).outcome().await
    }

    /// Sends a request that has to be served, and returns the status of its response.
    pub async fn served(&self) -> StatusCode {
        match self.request(HeaderMap::new()).await {
            RequestOutcome::Served(response) => response.status(),
            RequestOutcome::Rejected(_) => panic!("the request was rejected"),
            RequestOutcome::Failed => panic!("the request failed"),
        }
    }
}

/// The body of a request whose client never sends its end.
pub fn incomplete_body() -> RequestBody {
    let body: UpstreamBody = ProxiedBody::Streaming(Box::pin(StalledBody(Some(Bytes::from("first")))));
    RequestBody::Streaming(StreamingUpload {
        body: RefCell::new(Some(body)),
        progress: Rc::default(),
        client_timeout: CLIENT_TIMEOUT,
    })
}

/// A body that has a first chunk and never ends.
struct StalledBody(Option<Bytes>);

impl Body for StalledBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        self.0.take().map_or(Poll::Pending, |first| Poll::Ready(Some(Ok(Frame::data(first)))))
    }
}

/// Runs a test with a timeout.
pub async fn bounded(test: impl Future<Output = ()>) {
    let test = tokio::time::timeout(TEST_TIMEOUT, test);
    LocalSet::new().run_until(test).await.expect("the test must end before its timeout");
}
