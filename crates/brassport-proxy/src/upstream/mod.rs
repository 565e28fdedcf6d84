//! The backends: where they are, the idle connections to them, and the attempts.

use crate::body::upload::UploadProgress;
use crate::body::{BodySender, ResponseBody, StreamedBody, UpstreamBody, MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use crate::clock::Clock;
use crate::deadline::ResettableDeadline;
use crate::mutants::mutant;
use crate::network::Network;
use crate::protocol::{AttemptEvent, AttemptObserver, UpstreamProtocol};
use brassport_policy::{Outcome, ServerId};
use http_body_util::Full;
use hyper::body::{Body, Bytes, Incoming};
use hyper::header::HeaderMap;
use hyper::{Method, Request, Response, Uri};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

mod connection;

pub use connection::{ConnectionError, UpstreamConnection};

/// How long an answer of unknown length is held back to see whether it is short.
const HELD_FOR: Duration = Duration::from_millis(50);
/// How long either side of an answer that has begun may stand still.
const STANDSTILL: Duration = Duration::from_secs(15);
/// Part of the backends' idle time after which a connection is closed: they may close theirs earlier than
/// they say, and a request that crosses that is lost.
const IDLE_PART: f64 = 0.5;
const SWEEP: Duration = Duration::from_secs(1);

/// A client's request as it goes on to a backend.
pub struct UpstreamRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: RequestBody,
}

/// The body of a request.
pub enum RequestBody {
    Complete(Bytes),
    Streaming(StreamingUpload),
}

/// One that is still coming: it goes on once.
pub struct StreamingUpload {
    pub body: RefCell<Option<UpstreamBody>>,
    pub progress: Rc<UploadProgress>,
    /// How long its client waits once all of it has come.
    pub client_timeout: Duration,
}

/// How an attempt ended.
pub struct AttemptResult {
    pub outcome: Outcome,
    /// The customer's use in the meter's last period, as a share of its rate.
    pub used: Option<f64>,
    /// The answer, if it is one for the client and has not been passed on yet.
    pub answer: Option<Response<ResponseBody>>,
    /// When the first bytes of a long answer came.
    pub begun: Option<Instant>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, used: None, answer: None, begun: None }
    }
}

struct Pooled<S: AsyncRead + AsyncWrite + Unpin + 'static> {
    connection: UpstreamConnection<S>,
    since: Instant,
    /// For how long its backend keeps it idle, if an answer on it told.
    keeps: Option<Duration>,
    _descriptor: OwnedSemaphorePermit,
}

struct Backend<S: AsyncRead + AsyncWrite + Unpin + 'static> {
    name: Rc<str>,
    /// `None`: it is in the list and nowhere to be reached.
    address: Option<SocketAddr>,
    ready: bool,
    /// The one used last stands at the end.
    idle: Vec<Pooled<S>>,
}

pub struct UpstreamPool<C, N: Network> {
    clock: C,
    network: N,
    known: RefCell<BTreeMap<ServerId, Backend<N::Stream>>>,
    descriptors: Arc<Semaphore>,
    connect_timeout: Cell<Duration>,
    keep_idle: Cell<Duration>,
    /// Whether another process is in this one's place: it keeps connections, this one none.
    keeps_none: Cell<bool>,
    counts: Rc<dyn AttemptObserver>,
    protocol: Rc<dyn UpstreamProtocol>,
}

impl<C: Clock, N: Network> UpstreamPool<C, N> {
    pub fn new(
        clock: C,
        network: N,
        descriptors: Arc<Semaphore>,
        connect_timeout: Duration,
        idle_timeout: Duration,
        counts: Rc<dyn AttemptObserver>,
        protocol: Rc<dyn UpstreamProtocol>,
    ) -> UpstreamPool<C, N> {
        UpstreamPool {
            clock,
            network,
            known: RefCell::default(),
            descriptors,
            connect_timeout: Cell::new(connect_timeout),
            keep_idle: Cell::new(idle_timeout.mul_f64(IDLE_PART)),
            keeps_none: Cell::new(false),
            counts,
            protocol,
        }
    }

    /// Other times hold from now on, for what begins from now on.
    pub fn set_timeouts(&self, connect_timeout: Duration, idle_timeout: Duration) {
        self.connect_timeout.set(connect_timeout);
        self.keep_idle.set(idle_timeout.mul_f64(IDLE_PART));
    }

    /// Notes what a backend is called, where it is and whether it takes new requests.
    pub fn upsert(&self, id: ServerId, name: &str, address: SocketAddr, ready: bool) {
        self.note(id, name, Some(address), ready);
    }

    /// Notes a backend that is in the list and nowhere to be reached.
    pub fn upsert_unreachable(&self, id: ServerId, name: &str) {
        self.note(id, name, None, false);
    }

    fn note(&self, id: ServerId, name: &str, address: Option<SocketAddr>, ready: bool) {
        let mut known = self.known.borrow_mut();
        let new = || Backend { name: name.into(), address, ready, idle: Vec::new() };
        let backend = known.entry(id).or_insert_with(new);
        if *backend.name != *name {
            backend.name = name.into();
        }
        let kept = backend.address.filter(|_| mutant!(KeepOldAddress));
        let address = address.map(|address| kept.unwrap_or(address));
        if backend.address != address || !ready {
            backend.idle.clear();
        }
        (backend.address, backend.ready) = (address, ready);
    }

    /// Forgets the backends that `keep` does not name.
    pub fn retain(&self, keep: impl Fn(ServerId) -> bool) {
        self.known.borrow_mut().retain(|id, _| keep(*id));
    }

    pub fn any_ready(&self) -> bool {
        self.known.borrow().values().any(|backend| backend.ready)
    }

    /// Keeps idle connections no more, or again.
    pub fn keep_idle(&self, keep: bool) {
        self.keeps_none.set(!keep);
        self.known.borrow_mut().values_mut().for_each(|backend| backend.idle.clear());
    }

    /// Closes the idle connection that has been so for the longest time; false if there is none.
    pub fn evict_idle(&self) -> bool {
        let mut known = self.known.borrow_mut();
        let idle = known.values_mut().filter(|backend| !backend.idle.is_empty());
        let Some(backend) = idle.min_by_key(|backend| backend.idle[0].since) else { return false };
        backend.idle.remove(0);
        true
    }

    /// Closes connections that have been idle for long or that the other side has closed.
    pub async fn sweep(&self) {
        loop {
            self.clock.sleep(SWEEP).await;
            let take = |(id, backend): (&ServerId, &mut Backend<N::Stream>)| {
                (*id, backend.address, std::mem::take(&mut backend.idle))
            };
            let parked: Vec<_> = self.known.borrow_mut().iter_mut().map(take).collect();
            for (id, address, idle) in parked {
                // What is nowhere has no idle connections.
                let Some(address) = address else { continue };
                for mut pooled in idle {
                    if self.may_idle(&pooled) && pooled.connection.is_reusable().await {
                        self.park(id, address, pooled);
                    }
                }
            }
        }
    }

    /// One attempt. It is over, and its socket closed or idle again, when this returns. `wanted` tells
    /// whether the request still waits for an answer, `cancel` calls the attempt off. An answer that is long goes to
    /// `pass_on` when it begins; from there on neither time nor cancel ends the attempt.
    pub async fn attempt(
        &self,
        id: ServerId,
        message: &UpstreamRequest,
        due: &ResettableDeadline,
        cancel: impl Future,
        wanted: impl Fn() -> bool,
        pass_on: impl FnOnce(Response<ResponseBody>),
    ) -> AttemptResult {
        let (written, begun) = (Cell::new(false), Cell::new(None));
        let marks = Marks { written: &written, begun: &begun };
        let exchange = self.exchange(id, message, due, wanted, pass_on, marks);
        #[cfg(not(feature = "mutants"))]
        let mut exchange = std::pin::pin!(exchange);
        // On the heap, for the mutant that keeps it.
        #[cfg(feature = "mutants")]
        let mut exchange = Box::pin(exchange);
        // The exchange owns the connection: whichever branch ends first, the others are dropped, and the
        // socket closed, before this returns and the module hears of it.
        let ended = tokio::select! {
            biased;
            _ = cancel => Outcome::Cancelled,
            end = &mut exchange => return end,
            () = due.over(&self.clock) => Outcome::TimedOut,
            () = message.stands_still(&self.clock) => Outcome::TimedOut,
        };
        if begun.get().is_some() {
            return exchange.await;
        }
        #[cfg(feature = "mutants")]
        if mutant!(KeepTimedOutAttempt) && ended == Outcome::TimedOut {
            std::mem::forget(exchange);
        }
        match (written.get() && message.is_whole(), ended) {
            (true, ended) => ended.into(),
            (false, Outcome::Cancelled) => Outcome::Moot.into(),
            (false, _) => Outcome::NoConnection.into(),
        }
    }

    async fn exchange(
        &self,
        id: ServerId,
        message: &UpstreamRequest,
        due: &ResettableDeadline,
        wanted: impl Fn() -> bool,
        pass_on: impl FnOnce(Response<ResponseBody>),
        marks: Marks<'_>,
    ) -> AttemptResult {
        let Some(address) = self.ready_at(id) else { return Outcome::Moot.into() };
        let begun = self.clock.now();
        let mut pooled = match self.idle(id).await {
            Some(pooled) => pooled,
            None => match self.connect(address).await {
                Some(pooled) => pooled,
                None => return Outcome::NoConnection.into(),
            },
        };
        // Guards against a standstill of the program in which a drain was told: what came meanwhile is taken in first.
        if self.clock.now().saturating_duration_since(begun) > self.connect_timeout.get() {
            tokio::task::yield_now().await;
        }
        // Guards against sending to a backend that began to drain, went or moved while the connection came
        // up, and against sending for a request that was answered meanwhile.
        if self.ready_at(id) != Some(address) || !(wanted() || mutant!(SendBehindAnswer)) {
            return Outcome::Moot.into();
        }
        let left = due.at().saturating_duration_since(self.clock.now());
        // What has gone on can't go on a second time.
        let request = message.to_send(left, &*self.protocol, &self.name(id));
        let Some(request) = request else { return Outcome::Moot.into() };
        marks.written.set(true);
        let is_whole = message.is_whole();
        if is_whole {
            self.counts.on_attempt(AttemptEvent::Written);
        }
        let answer = match pooled.connection.send(request).await {
            Ok(answer) => answer,
            Err(ConnectionError::Unsent) => {
                if is_whole {
                    self.counts.on_attempt(AttemptEvent::NotWritten);
                }
                return Outcome::NoConnection.into();
            }
            // It broke before its last byte: it never ran.
            Err(ConnectionError::Interrupted) if !message.is_whole() => return Outcome::NoConnection.into(),
            Err(ConnectionError::Interrupted) if mutant!(RetryAfterReset) => {
                return Outcome::NoConnection.into()
            }
            Err(ConnectionError::Interrupted) => return Outcome::Reset.into(),
        };
        let (head, body) = answer.into_parts();
        let judged = self.protocol.classify(&message.headers, &head);
        let mut end = AttemptResult { used: judged.quota_used, ..judged.outcome.into() };
        let may_be_long = judged.is_for_client && head.status.is_success();
        match self.body(&mut pooled.connection, may_be_long, body).await {
            Ok(Held::Whole(bytes)) => {
                end.answer =
                    judged.is_for_client.then(|| Response::from_parts(head, Full::new(bytes).into()));
            }
            Ok(Held::Long(first, rest)) => {
                marks.begun.set(Some(self.clock.now()));
                end.begun = marks.begun.get();
                let length = rest.size_hint().exact().map(|left| left + first.len() as u64);
                let (to, coming) = StreamedBody::new(length);
                pass_on(Response::from_parts(head, ResponseBody::Streaming(coming)));
                if !self.pump(&mut pooled.connection, first, rest, to).await {
                    return end;
                }
            }
            Err(_) if mutant!(RetryAfterReset) => return Outcome::NoConnection.into(),
            Err(_) => return Outcome::Reset.into(),
        }
        let is_free = judged.is_reusable && !self.keeps_none.get() && message.is_whole();
        if is_free && pooled.connection.is_reusable().await {
            pooled.since = self.clock.now();
            pooled.keeps = judged.idle_timeout.or(pooled.keeps);
            self.park(id, address, pooled);
        }
        end
    }

    /// The body of an answer, or what has come of it once it turns out to be long. Only what serves a client may be.
    async fn body(
        &self,
        connection: &mut UpstreamConnection<N::Stream>,
        may_be_long: bool,
        mut body: Incoming,
    ) -> Result<Held, ConnectionError> {
        let hint = body.size_hint();
        if !may_be_long || hint.upper().is_some_and(|most| most <= MAX_BUFFERED_BYTES as u64) {
            return connection.collect(body, MAX_BUFFERED_BYTES).await.map(Held::Whole);
        }
        let mut first = Vec::new();
        if let Some(length) = hint.exact() {
            // Guards against a length that makes no sense.
            if length > MAX_BODY_BYTES {
                return Err(ConnectionError::Interrupted);
            }
            return Ok(Held::Long(Bytes::new(), body));
        }
        let until = self.clock.now() + HELD_FOR;
        while first.len() <= MAX_BUFFERED_BYTES {
            match self.clock.timeout_at(until, connection.next_chunk(&mut body)).await {
                Some(Ok(Some(bytes))) => first.extend_from_slice(&bytes),
                Some(Ok(None)) => return Ok(Held::Whole(first.into())),
                Some(Err(failure)) => return Err(failure),
                // With nothing to pass on there is nothing to gain.
                None if first.is_empty() => match connection.next_chunk(&mut body).await? {
                    Some(bytes) => first.extend_from_slice(&bytes),
                    None => return Ok(Held::Whole(Bytes::new())),
                },
                None => break,
            }
        }
        Ok(Held::Long(first.into(), body))
    }

    /// Passes on what comes of an answer, for as long as its client takes it. Whether all of it came and its connection is of use.
    async fn pump(
        &self,
        connection: &mut UpstreamConnection<N::Stream>,
        first: Bytes,
        mut rest: Incoming,
        to: BodySender,
    ) -> bool {
        let mut next = Some(first);
        while let Some(bytes) = next {
            // Guards against a client that takes nothing and keeps a backend's connection.
            if self.clock.timeout(STANDSTILL, to.write(bytes)).await != Some(true) {
                return false;
            }
            let more = self.clock.timeout(STANDSTILL, connection.next_chunk(&mut rest));
            next = tokio::select! {
                biased;
                more = more => match more {
                    Some(Ok(next)) => next,
                    // `to` is dropped, and its client sees that the answer is not whole.
                    _ => return false,
                },
                // Guards against a backend that works on, and says nothing meanwhile, for a client that has left.
                () = to.abandoned() => return false,
            };
        }
        let _ = self.clock.timeout(STANDSTILL, to.end()).await;
        true
    }

    /// Whether a connection has not been idle for too long.
    fn may_idle(&self, pooled: &Pooled<N::Stream>) -> bool {
        let (most, age) = (self.keep_idle.get(), self.clock.now().saturating_duration_since(pooled.since));
        age < pooled.keeps.map_or(most, |keeps| most.min(keeps.mul_f64(IDLE_PART)))
    }

    /// What a backend is called; empty for one that is not known.
    pub fn name(&self, id: ServerId) -> Rc<str> {
        self.known.borrow().get(&id).map_or_else(|| Rc::from(""), |backend| backend.name.clone())
    }

    fn ready_at(&self, id: ServerId) -> Option<SocketAddr> {
        self.known.borrow().get(&id).filter(|backend| backend.ready)?.address
    }

    /// The warmest idle connection that still stands.
    async fn idle(&self, id: ServerId) -> Option<Pooled<N::Stream>> {
        loop {
            let mut pooled = self.known.borrow_mut().get_mut(&id)?.idle.pop()?;
            if self.may_idle(&pooled) && pooled.connection.is_reusable().await {
                return Some(pooled);
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<Pooled<N::Stream>> {
        let descriptor = loop {
            match self.descriptors.clone().try_acquire_owned() {
                Ok(descriptor) => break descriptor,
                Err(_) if self.evict_idle() => {}
                Err(_) => return None,
            }
        };
        // Guards against a machine that is cut off: its connections never come up.
        let open = async { UpstreamConnection::handshake(self.network.connect(address).await?).await };
        let opened = self.clock.timeout(self.connect_timeout.get(), open).await.and_then(Result::ok);
        if mutant!(LeakDescriptor) && opened.is_none() {
            std::mem::forget(descriptor);
            return None;
        }
        let connection = opened?;
        Some(Pooled { connection, since: self.clock.now(), keeps: None, _descriptor: descriptor })
    }

    fn park(&self, id: ServerId, address: SocketAddr, pooled: Pooled<N::Stream>) {
        let mut known = self.known.borrow_mut();
        if let Some(backend) =
            known.get_mut(&id).filter(|backend| backend.ready && backend.address == Some(address))
        {
            backend.idle.push(pooled);
        }
    }
}

impl UpstreamRequest {
    /// Whether all of it has come and gone on, or is at hand.
    pub fn is_whole(&self) -> bool {
        match &self.body {
            RequestBody::Complete(_) => true,
            RequestBody::Streaming(upload) => upload.progress.completed_at().is_some(),
        }
    }

    /// When the last of it went on, if it went on as it came.
    pub fn whole_at(&self) -> Option<Instant> {
        match &self.body {
            RequestBody::Complete(_) => None,
            RequestBody::Streaming(upload) => upload.progress.completed_at(),
        }
    }

    async fn stands_still(&self, clock: &impl Clock) {
        match &self.body {
            RequestBody::Complete(_) => std::future::pending().await,
            RequestBody::Streaming(upload) => upload.progress.stands_still(clock).await,
        }
    }

    /// The request to this backend, for a client that waits so long; `None` if it has gone on before and is not at
    /// hand.
    fn to_send(
        &self,
        left: Duration,
        protocol: &dyn UpstreamProtocol,
        backend: &str,
    ) -> Option<Request<UpstreamBody>> {
        let (body, left) = match &self.body {
            RequestBody::Complete(bytes) => (Full::new(bytes.clone()).into(), left),
            RequestBody::Streaming(upload) => (upload.body.take()?, upload.client_timeout),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        protocol.annotate(request.headers_mut(), left, backend);
        Some(request)
    }
}

/// How far an attempt has come.
struct Marks<'a> {
    /// Whether the request may have been written whole.
    written: &'a Cell<bool>,
    /// When an answer began that is passed on as it comes.
    begun: &'a Cell<Option<Instant>>,
}

enum Held {
    Whole(Bytes),
    /// What has come, and what still comes.
    Long(Bytes, Incoming),
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::protocol::ResponseVerdict;
    use hyper::header::HeaderValue;
    use hyper::http::response::Parts;

    struct Deadline;

    impl UpstreamProtocol for Deadline {
        fn annotate(&self, headers: &mut HeaderMap, left: Duration, backend: &str) {
            let said = format!("{}u for {backend}", left.as_micros());
            headers.insert("x-deadline", HeaderValue::from_str(&said).expect("a header's value"));
        }
        fn classify(&self, _: &HeaderMap, _: &Parts) -> ResponseVerdict {
            unreachable!("nothing is answered")
        }
    }

    #[test]
    fn a_body_that_goes_on_as_it_comes_goes_on_once() {
        let body =
            RefCell::new(Some(UpstreamBody::Complete(Full::new(Bytes::from_static(b"the first of it")))));
        let upload =
            StreamingUpload { body, progress: Rc::default(), client_timeout: Duration::from_millis(480) };
        let (method, uri, headers) = (Method::POST, Uri::from_static("/job"), HeaderMap::new());
        let message = UpstreamRequest { method, uri, headers, body: RequestBody::Streaming(upload) };
        let first = message.to_send(Duration::from_secs(9), &Deadline, "n7").expect("it is at hand");
        assert_eq!(first.headers()["x-deadline"], "480000u for n7", "its client's time begins later");
        assert!(message.to_send(Duration::from_secs(9), &Deadline, "n7").is_none());
        assert!(!message.is_whole());
    }
}
