//! Stand-ins for backends.

use crate::header::{CUSTOMER, EXPECT_SERVER, NOT_RUN, SERVER_ID, SERVER_SEAL, TIME_LEFT, TRY_ID, WORK};
use crate::history::{Journal, Run};
use crate::http;
use crate::site::{DRAIN, REPORT_EVERY};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::header::AUTHORIZATION;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::{spawn_local, JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};

/// How long a beat is waited for.
const BEAT_PATIENCE: Duration = Duration::from_secs(1);
/// How often a backend says that it is emptying before it ends anyway.
const GOODBYES: usize = 12;
/// How long it serves on beyond the time that the doors have.
const A_LITTLE_MORE: Duration = Duration::from_millis(400);

/// What a backend is.
#[derive(Debug, Clone)]
pub struct Kind {
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
struct Inside {
    id: String,
    kind: Kind,
    journal: Rc<Journal>,
    slots: Semaphore,
    waiting: Cell<usize>,
    is_leaving: Cell<bool>,
    runs: Cell<u64>,
}

/// A backend in this process. Dropped, it crashes.
pub struct Backend {
    inside: Rc<Inside>,
    at: SocketAddrV4,
    controls: Vec<SocketAddrV4>,
    beats: Rc<Beats>,
    server: JoinHandle<()>,
    beating: JoinHandle<()>,
}

/// Where beats go, and how many went.
struct Beats {
    count: Cell<u64>,
    door: Cell<usize>,
    report_to: Cell<Option<SocketAddrV4>>,
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.server.abort();
        self.beating.abort();
    }
}

impl Backend {
    /// Begins a life: listens, and checks in with the doors at these addresses.
    ///
    /// # Errors
    /// No port is to be had.
    pub async fn start(
        kind: Kind,
        controls: Vec<SocketAddrV4>,
        journal: Rc<Journal>,
    ) -> std::io::Result<Backend> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let at = match listener.local_addr()? {
            SocketAddr::V4(at) => at,
            SocketAddr::V6(_) => return Err(std::io::ErrorKind::AddrNotAvailable.into()),
        };
        let number = journal.new_id();
        let inside = Rc::new(Inside {
            id: format!("i-{}", &number[8..]),
            slots: Semaphore::new(kind.capacity),
            kind,
            journal,
            waiting: Cell::new(0),
            is_leaving: Cell::new(false),
            runs: Cell::new(0),
        });
        let beats = Rc::new(Beats {
            count: Cell::new(0),
            door: Cell::new(usize::from(at.port()) % controls.len().max(1)),
            report_to: Cell::new(None),
        });
        let server = spawn_local(serve(listener, inside.clone()));
        let beating = spawn_local(beat_for_good(inside.clone(), beats.clone(), at, controls.clone()));
        Ok(Backend { inside, at, controls, beats, server, beating })
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.inside.id
    }

    /// Its service.
    pub fn service(&self) -> &str {
        &self.inside.kind.service
    }

    /// Ends as planned: says so until it is acknowledged, serves on, signs off, ends. Whether it was acknowledged.
    pub async fn leave(self) -> bool {
        self.beating.abort();
        let mut is_acknowledged = false;
        for _ in 0..GOODBYES {
            let told = beat(&self.inside, &self.beats, self.at, &self.controls, "emptying");
            is_acknowledged = told.await;
            if is_acknowledged {
                break;
            }
            sleep(Duration::from_millis(300)).await;
        }
        sleep(DRAIN + A_LITTLE_MORE).await;
        self.inside.is_leaving.set(true);
        for at in &self.controls {
            let path = format!("/Servers.SignOff/{}", self.inside.id);
            let answer = http::call(*at, "POST", &path, &[], Vec::new(), BEAT_PATIENCE).await;
            if answer.is_ok_and(|answer| answer.status / 100 == 2) {
                break;
            }
        }
        is_acknowledged
    }

    /// Ends without a word.
    pub fn crash(self) {}
}

async fn beat_for_good(inside: Rc<Inside>, beats: Rc<Beats>, at: SocketAddrV4, controls: Vec<SocketAddrV4>) {
    loop {
        let since = Instant::now();
        let is_told = beat(&inside, &beats, at, &controls, "ready").await;
        let pause = if is_told { REPORT_EVERY } else { Duration::from_millis(200) };
        sleep(pause.saturating_sub(since.elapsed())).await;
    }
}

/// One beat, at the address that was asked for or at a door; on a failure the next door's turn has come.
async fn beat(
    inside: &Inside,
    beats: &Beats,
    at: SocketAddrV4,
    controls: &[SocketAddrV4],
    state: &str,
) -> bool {
    beats.count.set(beats.count.get() + 1);
    let body = serde_json::json!({
        "address": at.to_string(),
        "details": {"service": inside.kind.service, "version": "v1", "zone": inside.kind.zone,
            "capacity": inside.kind.capacity},
        "status": {"state": state, "callCount": beats.count.get(), "warmupLeftS": 0},
    });
    let to = beats.report_to.take().unwrap_or_else(|| controls[beats.door.get() % controls.len()]);
    let path = format!("/Servers.CheckIn/{}", inside.id);
    let headers = [("content-type", "application/json")];
    match http::call(to, "POST", &path, &headers, body.to_string().into_bytes(), BEAT_PATIENCE).await {
        Ok(answer) if answer.status / 100 == 2 && answer.body.len() <= 4096 => {
            let said: serde_json::Value = serde_json::from_slice(&answer.body).unwrap_or_default();
            beats.report_to.set(said["reportTo"].as_str().and_then(|text| text.parse().ok()));
            true
        }
        _ => {
            beats.door.set(beats.door.get() + 1);
            false
        }
    }
}

async fn serve(listener: TcpListener, inside: Rc<Inside>) {
    // Dropped with this task, so that a crash closes them all.
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        while connections.try_join_next().is_some() {}
        let inside = inside.clone();
        connections.spawn_local(async move {
            let service = service_fn(move |request| {
                let inside = inside.clone();
                async move { Ok::<_, Infallible>(inside.answer(request).await) }
            });
            // Its callers may go as they like.
            let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
        });
    }
}

/// A place in the queue; given back when dropped, also with its connection.
struct Place<'a>(&'a Cell<usize>);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Work on a request; dropped, it has ended, by itself or with its connection.
struct Work<'a> {
    journal: &'a Journal,
    place: usize,
}

impl Drop for Work<'_> {
    fn drop(&mut self) {
        let now = self.journal.now();
        self.journal.note(|history| history.runs[self.place].ended = Some(now));
    }
}

impl Inside {
    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() == "/health" {
            return self.say(if self.is_leaving.get() { 503 } else { 200 }, "", Bytes::new());
        }
        let (head, body) = request.into_parts();
        let text =
            |name: &str| head.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
        let Some(id) = text(TRY_ID) else { return self.not_run(400, "") };
        if text(EXPECT_SERVER).is_some_and(|expected| expected != self.id) {
            return self.not_run(421, &id);
        }
        let left = text(TIME_LEFT).and_then(|text| text.parse().ok()).unwrap_or(2000);
        // A body that does not come whole is no request.
        let Ok(body) = body.collect().await else { return self.not_run(400, &id) };
        let body = body.to_bytes();
        let is_full = self.slots.available_permits() == 0 && self.waiting.get() >= self.kind.queue;
        if is_full {
            return self.not_run(503, &id);
        }
        let slot = {
            self.waiting.set(self.waiting.get() + 1);
            let _place = Place(&self.waiting);
            timeout(Duration::from_millis(left), self.slots.acquire()).await
        };
        let Ok(Ok(_slot)) = slot else { return self.not_run(503, &id) };
        self.runs.set(self.runs.get() + 1);
        let seal = format!("{}.{}", self.id, self.runs.get());
        let work =
            text(WORK).and_then(|text| text.parse().ok()).map_or(self.kind.work, Duration::from_millis);
        let run = Run {
            at: self.journal.now(),
            id: id.clone(),
            service: self.kind.service.clone(),
            customer: text(CUSTOMER),
            has_key: head.headers.contains_key(AUTHORIZATION),
            seal: seal.clone(),
            work_s: work.as_secs_f64(),
            ended: None,
        };
        let place = self.journal.note(|history| {
            history.runs.push(run);
            history.runs.len() - 1
        });
        let _work = Work { journal: &self.journal, place };
        sleep(work).await;
        let mut whole = id.clone().into_bytes();
        whole.push(b'\n');
        whole.extend_from_slice(&body);
        let mut answer = self.say(200, &id, Bytes::from(whole));
        answer.headers_mut().insert(SERVER_SEAL, seal.parse().expect("digits and dots"));
        answer
    }

    fn not_run(&self, status: u16, id: &str) -> Response<Full<Bytes>> {
        let mut answer = self.say(status, id, Bytes::new());
        answer.headers_mut().insert(NOT_RUN, "1".parse().expect("a digit"));
        answer
    }

    fn say(&self, status: u16, id: &str, body: Bytes) -> Response<Full<Bytes>> {
        let mut builder = Response::builder().status(status).header(SERVER_ID, &self.id);
        if !id.is_empty() {
            builder = builder.header(TRY_ID, id);
        }
        builder.body(Full::new(body)).expect("the id came as a header")
    }
}
