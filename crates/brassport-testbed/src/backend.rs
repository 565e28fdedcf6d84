//! Stand-ins for backends.

use crate::header::{CUSTOMER, EXPECT_SERVER, NOT_RUN, SERVER_ID, SERVER_SEAL, TIME_LEFT, TRY_ID, WORK_MS};
use crate::heartbeat::{BackendState, Heartbeats, Registration};
use crate::history::{Recorder, Run};
use crate::site::DRAIN_TIME;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::header::AUTHORIZATION;
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, SemaphorePermit};
use tokio::task::{spawn_local, JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};

/// How often a backend says that it is emptying before it ends anyway.
const MAX_DRAIN_REPORTS: usize = 12;
/// How long it serves on beyond the time that the nodes have.
const DRAIN_MARGIN: Duration = Duration::from_millis(400);

/// What a backend is.
#[derive(Debug, Clone)]
pub struct BackendSpec {
    /// Its service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Requests that it runs at once.
    pub capacity: usize,
    /// Requests that may wait beside these.
    pub queue: usize,
    /// How long each takes.
    pub work: Duration,
}

/// The part that requests meet.
struct RequestHandler {
    id: String,
    spec: BackendSpec,
    recorder: Rc<Recorder>,
    slots: Semaphore,
    waiting: Cell<usize>,
    is_terminating: Cell<bool>,
    runs: Cell<u64>,
}

/// A backend in this process. Dropped, it crashes.
pub struct Backend {
    handler: Rc<RequestHandler>,
    heartbeats: Rc<Heartbeats>,
    server: JoinHandle<()>,
    heartbeat_task: JoinHandle<()>,
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.server.abort();
        self.heartbeat_task.abort();
    }
}

impl Backend {
    /// Starts an incarnation: listens, and checks in with the nodes at these addresses.
    ///
    /// # Errors
    /// No port is to be had.
    pub async fn start(
        spec: BackendSpec,
        controls: Vec<SocketAddrV4>,
        recorder: Rc<Recorder>,
    ) -> std::io::Result<Backend> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let at = match listener.local_addr()? {
            SocketAddr::V4(at) => at,
            SocketAddr::V6(_) => return Err(std::io::ErrorKind::AddrNotAvailable.into()),
        };
        let number = recorder.new_id();
        let handler = Rc::new(RequestHandler {
            id: format!("i-{}", &number[8..]),
            slots: Semaphore::new(spec.capacity),
            spec,
            recorder,
            waiting: Cell::new(0),
            is_terminating: Cell::new(false),
            runs: Cell::new(0),
        });
        let registration = Registration {
            id: handler.id.clone(),
            service: handler.spec.service.clone(),
            zone: handler.spec.zone.clone(),
            capacity: handler.spec.capacity,
            address: at,
        };
        let heartbeats = Rc::new(Heartbeats::new(registration, controls));
        let server = spawn_local(serve(listener, handler.clone()));
        let sender = heartbeats.clone();
        let heartbeat_task = spawn_local(async move { sender.run().await });
        Ok(Backend { handler, heartbeats, server, heartbeat_task })
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.handler.id
    }

    /// Its service.
    pub fn service(&self) -> &str {
        &self.handler.spec.service
    }

    /// Ends as planned: says so until it is acknowledged, serves on, signs off, ends. Whether it was acknowledged.
    pub async fn drain(self) -> bool {
        self.heartbeat_task.abort();
        let mut is_acknowledged = false;
        for _ in 0..MAX_DRAIN_REPORTS {
            is_acknowledged = self.heartbeats.send(BackendState::Draining).await;
            if is_acknowledged {
                break;
            }
            sleep(Duration::from_millis(300)).await;
        }
        sleep(DRAIN_TIME + DRAIN_MARGIN).await;
        self.handler.is_terminating.set(true);
        self.heartbeats.sign_off().await;
        is_acknowledged
    }

    /// Terminates without notice, as in a crash.
    pub fn crash(self) {}
}

async fn serve(listener: TcpListener, handler: Rc<RequestHandler>) {
    // Dropped with this task, so that a crash closes them all.
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        while connections.try_join_next().is_some() {}
        let handler = handler.clone();
        connections.spawn_local(async move {
            let service = service_fn(move |request| {
                let handler = handler.clone();
                async move { Ok::<_, Infallible>(handler.answer(request).await) }
            });
            // Its callers may go as they like.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// A reserved position in the queue; released when dropped, also with its connection.
struct QueueSlot<'a>(&'a Cell<usize>);

impl Drop for QueueSlot<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Work on a request; dropped, it has ended, by itself or with its connection.
struct RunGuard<'a> {
    recorder: &'a Recorder,
    index: usize,
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let now = self.recorder.now();
        self.recorder.record(|history| history.runs[self.index].ended = Some(now));
    }
}

fn text_of(head: &Parts, name: &str) -> Option<String> {
    head.headers.get(name)?.to_str().ok().map(str::to_owned)
}

impl RequestHandler {
    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() == "/health" {
            return self.response(if self.is_terminating.get() { 503 } else { 200 }, "", Bytes::new());
        }
        let (head, body) = request.into_parts();
        let Some(id) = text_of(&head, TRY_ID) else { return self.not_run(400, "") };
        if text_of(&head, EXPECT_SERVER).is_some_and(|expected| expected != self.id) {
            return self.not_run(421, &id);
        }
        // An incomplete body is no request.
        let Ok(body) = body.collect().await else { return self.not_run(400, &id) };
        let left = text_of(&head, TIME_LEFT).and_then(|text| text.parse().ok()).unwrap_or(2000);
        match self.acquire_slot(Duration::from_millis(left)).await {
            Some(_slot) => self.run(&head, &id, &body.to_bytes()).await,
            None => self.not_run(503, &id),
        }
    }

    /// Waits in the queue for a free slot; nothing if the queue is full, or the time is over.
    async fn acquire_slot(&self, limit: Duration) -> Option<SemaphorePermit<'_>> {
        if self.slots.available_permits() == 0 && self.waiting.get() >= self.spec.queue {
            return None;
        }
        self.waiting.set(self.waiting.get() + 1);
        let _queued = QueueSlot(&self.waiting);
        timeout(limit, self.slots.acquire()).await.ok()?.ok()
    }

    async fn run(&self, head: &Parts, id: &str, body: &Bytes) -> Response<Full<Bytes>> {
        self.runs.set(self.runs.get() + 1);
        let seal = format!("{}.{}", self.id, self.runs.get());
        let work_ms = text_of(head, WORK_MS).and_then(|text| text.parse().ok());
        let work = work_ms.map_or(self.spec.work, Duration::from_millis);
        let run = Run {
            at: self.recorder.now(),
            id: id.into(),
            service: self.spec.service.clone(),
            customer: text_of(head, CUSTOMER),
            has_key: head.headers.contains_key(AUTHORIZATION),
            seal: seal.clone(),
            work_s: work.as_secs_f64(),
            ended: None,
        };
        let index = self.recorder.record(|history| {
            history.runs.push(run);
            history.runs.len() - 1
        });
        let _run = RunGuard { recorder: &self.recorder, index };
        sleep(work).await;
        let content = [id.as_bytes(), b"\n", body].concat();
        let mut response = self.response(200, id, Bytes::from(content));
        response.headers_mut().insert(SERVER_SEAL, seal.parse().expect("digits and dots"));
        response
    }

    fn not_run(&self, status: u16, id: &str) -> Response<Full<Bytes>> {
        let mut answer = self.response(status, id, Bytes::new());
        answer.headers_mut().insert(NOT_RUN, "1".parse().expect("a digit"));
        answer
    }

    fn response(&self, status: u16, id: &str, body: Bytes) -> Response<Full<Bytes>> {
        let mut builder = Response::builder().status(status).header(SERVER_ID, &self.id);
        if !id.is_empty() {
            builder = builder.header(TRY_ID, id);
        }
        builder.body(Full::new(body)).expect("the id came as a header")
    }
}
