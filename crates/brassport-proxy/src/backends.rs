//! The backends: where they are, the idle connections to them, and the attempts.

use crate::bodies::upload::Progress;
use crate::bodies::{Answer, Coming, Outgoing, Pieces, HELD_LIMIT, LIMIT};
use crate::clock::Clock;
use crate::connection::{Connection, Failure};
use crate::due::Due;
use crate::mutants::mutant;
use crate::network::Network;
use crate::protocol::{AttemptCounts, Protocol};
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

/// How long an answer of unknown length is held back to see whether it is short.
const HELD_FOR: Duration = Duration::from_millis(50);
/// How long either side of an answer that has begun may stand still.
const STANDSTILL: Duration = Duration::from_secs(15);
/// Part of the backends' idle time after which a connection is closed: they may close theirs earlier than
/// they say, and a request that crosses that is lost.
const IDLE_PART: f64 = 0.5;
const SWEEP: Duration = Duration::from_secs(1);

/// A client's request as it goes on to a backend.
pub struct Message {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Carried,
}

/// The body of a request.
pub enum Carried {
    Whole(Bytes),
    Coming(Uploading),
}

/// One that is still coming: it goes on once.
pub struct Uploading {
    pub body: RefCell<Option<Outgoing>>,
    pub progress: Rc<Progress>,
    /// How long its client waits once all of it has come.
    pub patience: Duration,
}

/// How an attempt ended.
pub struct End {
    pub outcome: Outcome,
    /// The customer's use in the meter's last period, as a share of its rate.
    pub used: Option<f64>,
    /// The answer, if it is one for the client and has not been passed on yet.
    pub answer: Option<Response<Answer>>,
    /// When the first bytes of a long answer came.
    pub begun: Option<Instant>,
}

impl From<Outcome> for End {
    fn from(outcome: Outcome) -> End {
        End { outcome, used: None, answer: None, begun: None }
    }
}

struct Pooled<S: AsyncRead + AsyncWrite + Unpin + 'static> {
    connection: Connection<S>,
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

pub struct Backends<C, N: Network> {
    clock: C,
    network: N,
    known: RefCell<BTreeMap<ServerId, Backend<N::Stream>>>,
    descriptors: Arc<Semaphore>,
    connect_timeout: Cell<Duration>,
    keep_idle: Cell<Duration>,
    /// Whether another process is in this one's place: it keeps connections, this one none.
    keeps_none: Cell<bool>,
    counts: Rc<dyn AttemptCounts>,
    protocol: Rc<dyn Protocol>,
}

impl<C: Clock, N: Network> Backends<C, N> {
    pub fn new(
        clock: C,
        network: N,
        descriptors: Arc<Semaphore>,
        connect_timeout: Duration,
        idle_timeout: Duration,
        counts: Rc<dyn AttemptCounts>,
        protocol: Rc<dyn Protocol>,
    ) -> Backends<C, N> {
        Backends {
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
    pub fn settle(&self, connect_timeout: Duration, idle_timeout: Duration) {
        self.connect_timeout.set(connect_timeout);
        self.keep_idle.set(idle_timeout.mul_f64(IDLE_PART));
    }

    /// Notes what a backend is called, where it is and whether it takes new requests.
    pub fn put(&self, id: ServerId, name: &str, address: SocketAddr, ready: bool) {
        self.note(id, name, Some(address), ready);
    }

    /// Notes a backend that is in the list and nowhere to be reached.
    pub fn put_nowhere(&self, id: ServerId, name: &str) {
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
    pub fn shed_idle(&self) -> bool {
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
                    if self.may_idle(&pooled) && pooled.connection.is_usable().await {
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
        message: &Message,
        due: &Due,
        cancel: impl Future,
        wanted: impl Fn() -> bool,
        pass_on: impl FnOnce(Response<Answer>),
    ) -> End {
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
        message: &Message,
        due: &Due,
        wanted: impl Fn() -> bool,
        pass_on: impl FnOnce(Response<Answer>),
        marks: Marks<'_>,
    ) -> End {
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
            self.counts.attempt_written();
        }
        let answer = match pooled.connection.begin(request).await {
            Ok(answer) => answer,
            Err(Failure::Unsent) => {
                if is_whole {
                    self.counts.attempt_unwritten();
                }
                return Outcome::NoConnection.into();
            }
            // It broke before its last byte: it never ran.
            Err(Failure::Broken) if !message.is_whole() => return Outcome::NoConnection.into(),
            Err(Failure::Broken) if mutant!(RetryAfterReset) => return Outcome::NoConnection.into(),
            Err(Failure::Broken) => return Outcome::Reset.into(),
        };
        let (head, body) = answer.into_parts();
        let judged = self.protocol.judge(&message.headers, &head);
        let mut end = End { used: judged.used, ..judged.outcome.into() };
        let may_be_long = judged.passes && head.status.is_success();
        match self.body(&mut pooled.connection, may_be_long, body).await {
            Ok(Held::Whole(bytes)) => {
                end.answer = judged.passes.then(|| Response::from_parts(head, Full::new(bytes).into()));
            }
            Ok(Held::Long(first, rest)) => {
                marks.begun.set(Some(self.clock.now()));
                end.begun = marks.begun.get();
                let length = rest.size_hint().exact().map(|left| left + first.len() as u64);
                let (to, coming) = Coming::new(length);
                pass_on(Response::from_parts(head, Answer::Coming(coming)));
                if !self.pump(&mut pooled.connection, first, rest, to).await {
                    return end;
                }
            }
            Err(_) if mutant!(RetryAfterReset) => return Outcome::NoConnection.into(),
            Err(_) => return Outcome::Reset.into(),
        }
        let is_free = judged.reusable && !self.keeps_none.get() && message.is_whole();
        if is_free && pooled.connection.is_usable().await {
            pooled.since = self.clock.now();
            pooled.keeps = judged.keeps.or(pooled.keeps);
            self.park(id, address, pooled);
        }
        end
    }

    /// The body of an answer, or what has come of it once it turns out to be long. Only what serves a client may be.
    async fn body(
        &self,
        connection: &mut Connection<N::Stream>,
        may_be_long: bool,
        mut body: Incoming,
    ) -> Result<Held, Failure> {
        let hint = body.size_hint();
        if !may_be_long || hint.upper().is_some_and(|most| most <= HELD_LIMIT as u64) {
            return connection.collect(body, HELD_LIMIT).await.map(Held::Whole);
        }
        let mut first = Vec::new();
        if let Some(length) = hint.exact() {
            // Guards against a length that makes no sense.
            if length > LIMIT {
                return Err(Failure::Broken);
            }
            return Ok(Held::Long(Bytes::new(), body));
        }
        let until = self.clock.now() + HELD_FOR;
        while first.len() <= HELD_LIMIT {
            match self.clock.timeout_at(until, connection.next(&mut body)).await {
                Some(Ok(Some(bytes))) => first.extend_from_slice(&bytes),
                Some(Ok(None)) => return Ok(Held::Whole(first.into())),
                Some(Err(failure)) => return Err(failure),
                // With nothing to pass on there is nothing to gain.
                None if first.is_empty() => match connection.next(&mut body).await? {
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
        connection: &mut Connection<N::Stream>,
        first: Bytes,
        mut rest: Incoming,
        to: Pieces,
    ) -> bool {
        let mut next = Some(first);
        while let Some(bytes) = next {
            // Guards against a client that takes nothing and keeps a backend's connection.
            if self.clock.timeout(STANDSTILL, to.write(bytes)).await != Some(true) {
                return false;
            }
            let more = self.clock.timeout(STANDSTILL, connection.next(&mut rest));
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
            if self.may_idle(&pooled) && pooled.connection.is_usable().await {
                return Some(pooled);
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<Pooled<N::Stream>> {
        let descriptor = loop {
            match self.descriptors.clone().try_acquire_owned() {
                Ok(descriptor) => break descriptor,
                Err(_) if self.shed_idle() => {}
                Err(_) => return None,
            }
        };
        // Guards against a machine that is cut off: its connections never come up.
        let open = async { Connection::over(self.network.connect(address).await?).await };
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

impl Message {
    /// Whether all of it has come and gone on, or is at hand.
    pub fn is_whole(&self) -> bool {
        match &self.body {
            Carried::Whole(_) => true,
            Carried::Coming(upload) => upload.progress.whole().is_some(),
        }
    }

    /// When the last of it went on, if it went on as it came.
    pub fn whole_at(&self) -> Option<Instant> {
        match &self.body {
            Carried::Whole(_) => None,
            Carried::Coming(upload) => upload.progress.whole(),
        }
    }

    async fn stands_still(&self, clock: &impl Clock) {
        match &self.body {
            Carried::Whole(_) => std::future::pending().await,
            Carried::Coming(upload) => upload.progress.stands_still(clock).await,
        }
    }

    /// The request to this backend, for a client that waits so long; `None` if it has gone on before and is not at
    /// hand.
    fn to_send(&self, left: Duration, protocol: &dyn Protocol, backend: &str) -> Option<Request<Outgoing>> {
        let (body, left) = match &self.body {
            Carried::Whole(bytes) => (Full::new(bytes.clone()).into(), left),
            Carried::Coming(upload) => (upload.body.take()?, upload.patience),
        };
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        protocol.address(request.headers_mut(), left, backend);
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
    use crate::protocol::Judged;
    use hyper::header::HeaderValue;
    use hyper::http::response::Parts;

    struct Deadline;

    impl Protocol for Deadline {
        fn address(&self, headers: &mut HeaderMap, left: Duration, backend: &str) {
            let said = format!("{}u for {backend}", left.as_micros());
            headers.insert("x-deadline", HeaderValue::from_str(&said).expect("a header's value"));
        }
        fn judge(&self, _: &HeaderMap, _: &Parts) -> Judged {
            unreachable!("nothing is answered")
        }
    }

    #[test]
    fn a_body_that_goes_on_as_it_comes_goes_on_once() {
        let body = RefCell::new(Some(Outgoing::Whole(Full::new(Bytes::from_static(b"the first of it")))));
        let upload = Uploading { body, progress: Rc::default(), patience: Duration::from_millis(480) };
        let (method, uri, headers) = (Method::POST, Uri::from_static("/job"), HeaderMap::new());
        let message = Message { method, uri, headers, body: Carried::Coming(upload) };
        let first = message.to_send(Duration::from_secs(9), &Deadline, "n7").expect("it is at hand");
        assert_eq!(first.headers()["x-deadline"], "480000u for n7", "its client's time begins later");
        assert!(message.to_send(Duration::from_secs(9), &Deadline, "n7").is_none());
        assert!(!message.is_whole());
    }
}
