//! A door before scripted backends, on loopback.

// Each test program uses some of it.
#![allow(dead_code)]

use brassport_policy::{
    Class, Effect, Event, Lifecycle, ListKind, Outcome, Plan, Request, ServerEntry, Settings,
};
use brassport_proxy::clock::SystemClock;
use brassport_proxy::dispatch::{Dispatcher, DispatcherOptions, PendingRequest, RequestOutcome};
use brassport_proxy::network::Tcp;
use brassport_proxy::protocol::{AttemptEvent, AttemptObserver, ResponseVerdict, UpstreamProtocol};
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
const PATIENCE: Duration = Duration::from_secs(60);
/// How long a test may take: less than any time-out of the door's.
const BOUND: Duration = Duration::from_secs(10);

/// Every answer is one for the client. `once` and `keep` in an answer's headers tell of its connection.
pub struct PassesAll;

impl UpstreamProtocol for PassesAll {
    fn annotate(&self, headers: &mut HeaderMap, _: Duration, backend: &str) {
        headers.insert("host", HeaderValue::from_str(backend).expect("a name"));
    }

    fn classify(&self, asked: &HeaderMap, answer: &Parts) -> ResponseVerdict {
        let outcome = if answer.status == StatusCode::OK { Outcome::Ok } else { Outcome::Error };
        let keeps =
            answer.headers.get("keep").map(|ms| ms.to_str().expect("text").parse().expect("a number"));
        ResponseVerdict {
            outcome,
            quota_used: None,
            is_for_client: !asked.contains_key("nothing-passes"),
            is_reusable: !answer.headers.contains_key("once"),
            idle_timeout: keeps.map(Duration::from_millis),
        }
    }
}

#[derive(Default)]
pub struct Counts(pub Cell<i32>);

impl AttemptObserver for Counts {
    fn on_attempt(&self, event: AttemptEvent) {
        match event {
            AttemptEvent::Written => {
                self.0.set(self.0.get() + 1);
            }
            AttemptEvent::NotWritten => {
                self.0.set(self.0.get() - 1);
            }
        }
    }
}

/// Backends that give the answers of one script in their order, whichever of them is asked.
#[derive(Default)]
pub struct Script {
    pub answers: RefCell<Vec<&'static str>>,
    pub connections: Cell<u32>,
    /// The heads of the requests that came.
    pub heads: RefCell<Vec<String>>,
    /// Connections that the door has closed.
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
                            let answer = script.answers.borrow_mut().remove(0);
                            stream.write_all(answer.as_bytes()).await.expect("written");
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
    pub async fn has_come(&self, requests: usize) {
        while self.heads.borrow().len() < requests {
            self.changed.notified().await;
        }
    }

    /// Waits until the door has closed so many connections.
    pub async fn has_closed(&self, connections: u32) {
        while self.closed.get() < connections {
            self.changed.notified().await;
        }
    }
}

pub struct Site {
    pub door: Rc<Dispatcher<SystemClock, Tcp>>,
    pub script: Rc<Script>,
    pub counts: Rc<Counts>,
    pub released: Rc<RefCell<Vec<u64>>>,
}

impl Site {
    pub async fn new(effect: Effect, answers: &[&'static str]) -> Site {
        let script = Rc::new(Script { answers: RefCell::new(answers.to_vec()), ..Script::default() });
        let (counts, released) = (Rc::new(Counts::default()), Rc::new(RefCell::new(Vec::new())));
        let class = Class { worth: 1.0, aim: 5000.0, deadline: 10_000.0, late_share: 0.5, effect };
        let (classes, plans) = (vec![class], vec![Plan::default()]);
        let settings = Settings { classes, plans, max_attempts: 2, may_cancel: true, ..Settings::default() };
        let long = Duration::from_secs(60);
        let descriptors = Arc::new(Semaphore::new(16));
        let backends =
            UpstreamPool::new(SystemClock, Tcp, descriptors, long, long, counts.clone(), Rc::new(PassesAll));
        let backends = Rc::new(backends);
        let told = released.clone();
        let host = DispatcherOptions {
            meter: None,
            hooks: None,
            on_release: Box::new(move |customer| told.borrow_mut().push(customer)),
            inherited_clock: None,
        };
        let door =
            Dispatcher::new(SystemClock, settings, 1, host, backends.clone()).expect("settings that hold");
        let mut entries = Vec::new();
        for id in 1..=2 {
            backends.upsert(id, &format!("n{id}"), script.clone().backend().await, true);
            let lifecycle = Lifecycle::Ready;
            entries.push(ServerEntry { id, zone: 0, cell: 0, share: 1.0, lifecycle, launched: None });
        }
        door.handle(Event::Servers { kind: ListKind::Full, entries });
        spawn_local(door.clone().run_timers());
        Site { door, script, counts, released }
    }

    /// Takes a request in; dropped, its client has left.
    pub fn admit(&self, headers: HeaderMap) -> PendingRequest<SystemClock, Tcp> {
        let request = Request {
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
        let (method, uri, body) =
            (Method::POST, Uri::from_static("/job"), RequestBody::Complete(Bytes::new()));
        let message = UpstreamRequest { method, uri, headers, body };
        let pending = self.door.admit(request, self.door.generate_id(), message, PATIENCE);
        pending.expect("a name of its own")
    }

    pub async fn ask(&self, headers: HeaderMap) -> RequestOutcome {
        self.admit(headers).outcome().await
    }

    pub async fn served(&self) -> StatusCode {
        match self.ask(HeaderMap::new()).await {
            RequestOutcome::Served(answer) => answer.status(),
            RequestOutcome::Rejected(_) => panic!("refused"),
            RequestOutcome::Failed => panic!("failed"),
        }
    }
}

pub async fn bounded(test: impl Future<Output = ()>) {
    let test = tokio::time::timeout(BOUND, test);
    LocalSet::new().run_until(test).await.expect("it ends");
}
