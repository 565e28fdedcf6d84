//! A dispatcher before scripted backends, on loopback.

use brassport_policy::{
    Class, Effect, Event, Lifecycle, ListKind, Outcome, Plan, Request, ServerEntry, Settings,
};
use brassport_proxy::clock::SystemClock;
use brassport_proxy::dispatch::{Dispatcher, DispatcherOptions, PendingRequest, RequestOutcome};
use brassport_proxy::network::Tcp;
use brassport_proxy::protocol::{AttemptEvent, AttemptObserver, ResponseClassification, UpstreamProtocol};
use brassport_proxy::upstream::{RequestBody, UpstreamPool, UpstreamRequest};
use hyper::body::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, StatusCode, Uri};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};
use tokio::task::{spawn_local, LocalSet};

/// How long clients wait: no test runs into it.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(60);
/// How long a test may take: less than any time-out of the proxy's.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Every response is one for the client, unless the request has `forward-nothing`. `once` and `keep` in a response's
/// headers describe its connection.
pub struct ForwardsAll;

impl UpstreamProtocol for ForwardsAll {
    fn add_attempt_headers(&self, headers: &mut HeaderMap, _: Duration, backend: &str) {
        headers.insert("host", HeaderValue::from_str(backend).expect("a name"));
    }

    fn classify(&self, request: &HeaderMap, response: &Parts) -> ResponseClassification {
        let outcome = if response.status == StatusCode::OK { Outcome::Ok } else { Outcome::Error };
        let timeout_ms =
            response.headers.get("keep").map(|ms| ms.to_str().expect("text").parse().expect("a number"));
        ResponseClassification {
            outcome,
            quota_used: None,
            is_for_client: !request.contains_key("forward-nothing"),
            is_reusable: !response.headers.contains_key("once"),
            idle_timeout: timeout_ms.map(Duration::from_millis),
        }
    }
}

/// Attempts that were written.
#[derive(Default)]
pub struct Counts(pub Cell<i32>);

impl AttemptObserver for Counts {
    fn on_attempt(&self, event: AttemptEvent) {
        match event {
            AttemptEvent::Written => self.0.set(self.0.get() + 1),
            AttemptEvent::NotWritten => self.0.set(self.0.get() - 1),
        }
    }
}

/// Backends that give the responses of one script in their order, whichever of them is called.
#[derive(Default)]
pub struct Script {
    pub responses: RefCell<Vec<&'static str>>,
    pub connections: Cell<u32>,
    /// The heads of the requests that came.
    pub heads: RefCell<Vec<String>>,
    /// Connections that the proxy has closed.
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
                            let text = String::from_utf8(std::mem::take(&mut head)).expect("text");
                            script.heads.borrow_mut().push(text.to_ascii_lowercase());
                            let response = script.responses.borrow_mut().remove(0);
                            stream.write_all(response.as_bytes()).await.expect("written");
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

    /// Waits until so many requests have come.
    pub async fn requests_received(&self, requests: usize) {
        while self.heads.borrow().len() < requests {
            self.changed.notified().await;
        }
    }

    /// Waits until the proxy has closed so many connections.
    pub async fn connections_closed(&self, connections: u32) {
        while self.closed.get() < connections {
            self.changed.notified().await;
        }
    }
}

/// A class of requests with this effect.
pub fn class(effect: Effect) -> Class {
    Class { worth: 1.0, aim: 5000.0, deadline: 10_000.0, late_share: 0.5, effect }
}

/// A request of the only class and plan, as a program hands it in.
pub fn policy_request() -> Request {
    Request {
        id: 0,
        customer: 7,
        plan: 0,
        class: 0,
        units: 1.0,
        spread: 1,
        first: 0,
        expires_in: 0.0,
        repeat: false,
    }
}

/// A dispatcher before backends at these addresses, which are called n1, n2 and so on. Its timers run.
pub fn dispatcher_before(
    addresses: &[SocketAddr],
    settings: Settings,
    counts: Rc<Counts>,
    on_attempt_end: impl Fn(u64) + 'static,
) -> Rc<Dispatcher<SystemClock, Tcp>> {
    let (long, descriptors) = (Duration::from_secs(60), Arc::new(Semaphore::new(16)));
    let pool = UpstreamPool::new(SystemClock, Tcp, descriptors, long, long, counts, Rc::new(ForwardsAll));
    let pool = Rc::new(pool);
    let on_attempt_end = Box::new(on_attempt_end);
    let options = DispatcherOptions { meter: None, hooks: None, on_attempt_end, inherited_clock: None };
    let dispatcher = Dispatcher::new(SystemClock, settings, 1, options, pool.clone());
    let dispatcher = dispatcher.expect("settings that hold");
    let mut entries = Vec::new();
    for (id, address) in (1..).zip(addresses) {
        pool.upsert(id, &format!("n{id}"), *address, true);
        let lifecycle = Lifecycle::Ready;
        entries.push(ServerEntry { id, zone: 0, cell: 0, share: 1.0, lifecycle, launched: None });
    }
    dispatcher.handle(Event::Servers { kind: ListKind::Full, entries });
    spawn_local(dispatcher.clone().run_timers());
    dispatcher
}

/// A dispatcher before two scripted backends, and what they and its observers have seen.
pub struct TestProxy {
    pub dispatcher: Rc<Dispatcher<SystemClock, Tcp>>,
    pub script: Rc<Script>,
    pub counts: Rc<Counts>,
    pub released: Rc<RefCell<Vec<u64>>>,
}

impl TestProxy {
    pub async fn new(effect: Effect, responses: &[&'static str]) -> TestProxy {
        let script = Rc::new(Script { responses: RefCell::new(responses.to_vec()), ..Script::default() });
        let (counts, released) = (Rc::new(Counts::default()), Rc::new(RefCell::new(Vec::new())));
        let (classes, plans) = (vec![class(effect)], vec![Plan::default()]);
        let settings = Settings { classes, plans, max_attempts: 2, may_cancel: true, ..Settings::default() };
        let addresses = [script.clone().backend().await, script.clone().backend().await];
        let recorded = released.clone();
        let on_attempt_end = move |customer| recorded.borrow_mut().push(customer);
        let dispatcher = dispatcher_before(&addresses, settings, counts.clone(), on_attempt_end);
        TestProxy { dispatcher, script, counts, released }
    }

    /// Admits a request; dropped, its client has left.
    pub fn admit(&self, headers: HeaderMap) -> PendingRequest<SystemClock, Tcp> {
        let (method, uri, body) =
            (Method::POST, Uri::from_static("/job"), RequestBody::Complete(Bytes::new()));
        let message = UpstreamRequest { method, uri, headers, body };
        let id = self.dispatcher.generate_id();
        let pending = self.dispatcher.admit(policy_request(), id, message, CLIENT_TIMEOUT);
        pending.expect("a name of its own")
    }

    /// The outcome of one request.
    pub async fn request(&self, headers: HeaderMap) -> RequestOutcome {
        self.admit(headers).outcome().await
    }

    /// The status of the response to a request that is served.
    pub async fn served(&self) -> StatusCode {
        match self.request(HeaderMap::new()).await {
            RequestOutcome::Served(response) => response.status(),
            RequestOutcome::Rejected(_) => panic!("rejected"),
            RequestOutcome::Failed => panic!("failed"),
        }
    }
}

/// Runs a test with a bound on its time.
pub async fn bounded(test: impl Future<Output = ()>) {
    let test = tokio::time::timeout(TEST_TIMEOUT, test);
    LocalSet::new().run_until(test).await.expect("it ends");
}
