//! The clients' connections as such: how far each has come, which of them to close, and how.

use crate::clock::Clock;
use crate::mutants::mutant;
use hyper::body::Bytes;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::sync::Notify;

/// How long all of a request may take to come, from the connection's start or its own first byte: a client
/// that has not asked by then is owed an end within 3 s.
const ASKING: Duration = Duration::from_millis(2500);
/// How long a connection may stand idle behind an answer, what is long when there are many or room is short,
/// and how long it may in any case: its client may not have got all of the answer yet.
const IDLE: Duration = Duration::from_secs(10);
const LONG_IDLE: Duration = Duration::from_secs(2);
const LEAST_IDLE: Duration = Duration::from_millis(300);
/// A client that has sent nothing for that long is not about to.
const SHY: Duration = Duration::from_millis(100);
/// How long a client may take nothing of an answer.
const STANDSTILL: Duration = Duration::from_secs(15);
/// Most of a head that is looked at.
const HEAD_LIMIT: usize = 16 * 1024;
/// Room for the next one that is kept.
const HEAD_KEPT: usize = 1024;
/// How long what a client is still sending is read, so that it finds the answer it was given before.
const LINGER: Duration = Duration::from_millis(2000);

/// What a connection is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No whole request has come on it yet.
    New,
    /// A request is in flight.
    Open,
    /// Answered, with nothing of a further request.
    Idle,
    /// Some of a further request has come.
    Asking,
    /// What came made no sense; the answer that says so is the last.
    Last,
    /// It was told to close.
    Leaving,
}

#[derive(Debug)]
struct State {
    stage: Cell<ConnectionPhase>,
    since: Cell<Instant>,
    /// Requests so far.
    asked: Cell<u32>,
    dismiss: Notify,
    /// Whether bytes of an answer wait to be written, and when some were taken last.
    unwritten: Cell<bool>,
    taken: Cell<Instant>,
    /// What has come of a request's head, as it came.
    head: RefCell<Vec<u8>>,
}

impl State {
    fn leave(&self) {
        self.stage.set(ConnectionPhase::Leaving);
        self.dismiss.notify_one();
    }
    fn overdue(&self, many: bool, now: Instant) -> bool {
        let most = match self.stage.get() {
            ConnectionPhase::New | ConnectionPhase::Asking => ASKING,
            ConnectionPhase::Idle if many && self.asked.get() <= 1 => LEAST_IDLE,
            ConnectionPhase::Idle if many => LONG_IDLE,
            ConnectionPhase::Idle | ConnectionPhase::Last => IDLE,
            // Guards against clients that ask for long answers and take nothing.
            ConnectionPhase::Open if self.unwritten.get() => {
                return now.saturating_duration_since(self.taken.get()) >= STANDSTILL
            }
            ConnectionPhase::Open | ConnectionPhase::Leaving => return false,
        };
        now.saturating_duration_since(self.since.get()) >= most
    }
}

/// All connections of clients, in the order in which they came.
#[derive(Debug)]
pub struct ConnectionRegistry<C> {
    clock: C,
    all: RefCell<BTreeMap<u64, Rc<State>>>,
    last: Cell<u64>,
}

impl<C: Clock> ConnectionRegistry<C> {
    pub fn new(clock: C) -> ConnectionRegistry<C> {
        ConnectionRegistry { clock, all: RefCell::default(), last: Cell::new(0) }
    }

    pub fn enter(self: &Rc<Self>) -> DownstreamConnection<C> {
        let number = self.last.get() + 1;
        self.last.set(number);
        let state = Rc::new(State {
            stage: Cell::new(ConnectionPhase::New),
            since: Cell::new(self.clock.now()),
            asked: Cell::new(0),
            dismiss: Notify::new(),
            unwritten: Cell::new(false),
            taken: Cell::new(self.clock.now()),
            head: RefCell::default(),
        });
        self.all.borrow_mut().insert(number, state.clone());
        DownstreamConnection { all: self.clone(), number, state }
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.all.borrow().len()
    }

    /// How many were told to close and have not yet.
    pub fn leaving(&self) -> usize {
        self.all.borrow().values().filter(|state| state.stage.get() == ConnectionPhase::Leaving).count()
    }

    /// Closes the connection whose client has the least use for it: one that has had its last answer, else
    /// one that had time to ask and did not, else
    /// one idle for long, else one idle that asked only once, else one still new, else any idle one. False if
    /// there is none.
    pub fn shed(&self) -> bool {
        let (all, now) = (self.all.borrow(), self.clock.now());
        let longest = |stage, most_asked, least| {
            let fits = |state: &&Rc<State>| state.stage.get() == stage && state.asked.get() <= most_asked;
            let longest = all.values().filter(fits).min_by_key(|state| state.since.get());
            longest.filter(|state| now.saturating_duration_since(state.since.get()) >= least)
        };
        // Guards against crowds that ask once and stay: they hold what newcomers need, and are back at once.
        let chosen = longest(ConnectionPhase::Last, u32::MAX, SHY)
            .or_else(|| longest(ConnectionPhase::New, 0, SHY))
            .or_else(|| longest(ConnectionPhase::Idle, u32::MAX, LONG_IDLE))
            .or_else(|| longest(ConnectionPhase::Idle, 1, LEAST_IDLE))
            .or_else(|| longest(ConnectionPhase::New, 0, Duration::ZERO))
            .or_else(|| longest(ConnectionPhase::Idle, u32::MAX, LEAST_IDLE));
        if let Some(state) = chosen {
            state.leave();
        }
        chosen.is_some()
    }

    /// Closes the connections whose time is up. Guards against clients that are kept out by connections of
    /// their own: what is in front of here may hold only so many, and a crowd that asks once and stays, that
    /// comes with a new connection each time or that closes late fills them up, long before descriptors run
    /// out here. Beyond `few` connections, an idle one has less time. Hurts a client in a crowd that asks
    /// rarely: it has to connect anew.
    pub fn sweep(&self, few: usize) {
        let (all, now) = (self.all.borrow(), self.clock.now());
        let many = all.len() > few;
        for state in all.values().filter(|state| state.overdue(many, now)) {
            state.leave();
        }
    }
}

/// One client's connection among all; it is taken off when this is dropped.
pub struct DownstreamConnection<C: Clock> {
    all: Rc<ConnectionRegistry<C>>,
    number: u64,
    state: Rc<State>,
}

impl<C: Clock> DownstreamConnection<C> {
    /// Notes a new stage. What was told to close stays so only until it turns out to be in use.
    pub fn stage(&self, stage: ConnectionPhase) {
        // A request's time begins with its first byte, not when all of its head is there.
        let begun = matches!(self.at(), ConnectionPhase::New | ConnectionPhase::Asking)
            && stage == ConnectionPhase::Open;
        if !begun {
            self.state.since.set(self.all.clock.now());
        }
        if stage == ConnectionPhase::Open {
            self.state.asked.set(self.state.asked.get().saturating_add(1));
        }
        if stage == ConnectionPhase::Idle {
            let head = &mut *self.state.head.borrow_mut();
            head.clear();
            head.shrink_to(HEAD_KEPT);
        }
        self.state.stage.set(stage);
    }
    pub fn at(&self) -> ConnectionPhase {
        self.state.stage.get()
    }
    /// Goes on with a connection that another process has had so many requests on.
    pub fn go_on(&self, asked: u32) {
        self.state.asked.set(asked);
        self.stage(ConnectionPhase::Idle);
    }
    fn took(&self, written: &Poll<io::Result<usize>>) {
        if written.is_ready() {
            self.state.taken.set(self.all.clock.now());
        }
    }
    /// How many requests it has had.
    pub fn asked(&self) -> u32 {
        self.state.asked.get()
    }
    /// Whether no request is under way on it and no answer: all that is known of it is what was read.
    pub fn is_quiet(&self) -> bool {
        matches!(self.at(), ConnectionPhase::New | ConnectionPhase::Idle | ConnectionPhase::Asking)
            && !self.state.unwritten.get()
    }
    /// Whether the head that came last, as it came, is whole and has no such header: hyper takes some out. Of one that
    /// came with another in one piece it is not known.
    pub fn came_without(&self, name: &[u8]) -> bool {
        let head = self.state.head.take();
        // Empty lines before a request are no part of it (RFC 9112, section 2.2).
        let begin = head.iter().position(|byte| !byte.is_ascii_whitespace()).unwrap_or(head.len());
        for line in head[begin..].split(|byte| *byte == b'\n').map(|line| line.trim_ascii_end()) {
            let named = line.split(|byte| *byte == b':').next().unwrap_or_default();
            if line.is_empty() {
                return true;
            }
            if named.trim_ascii().eq_ignore_ascii_case(name) {
                return false;
            }
        }
        false
    }
    /// How long the request that is coming in has been waited for.
    pub fn request_age(&self) -> Duration {
        self.all.clock.now().saturating_duration_since(self.state.since.get())
    }
    /// Waits until the connection is to close. Guards against closing it on a request that came meanwhile.
    pub async fn dismissed(&self) {
        loop {
            self.state.dismiss.notified().await;
            if self.at() == ConnectionPhase::Leaving {
                return;
            }
        }
    }
}

impl<C: Clock> Drop for DownstreamConnection<C> {
    fn drop(&mut self) {
        self.all.all.borrow_mut().remove(&self.number);
    }
}

/// A client's socket, which notes the first byte behind an answer as a stage of its connection.
pub struct MeteredStream<C: Clock, S> {
    stream: S,
    /// What another process has read from it.
    before: Bytes,
    connection: Rc<DownstreamConnection<C>>,
}

impl<C: Clock, S: AsyncRead + AsyncWrite + Unpin> MeteredStream<C, S> {
    pub fn new(stream: S, before: Bytes, connection: Rc<DownstreamConnection<C>>) -> MeteredStream<C, S> {
        MeteredStream { stream, before, connection }
    }

    pub fn into_stream(self) -> S {
        self.stream
    }

    /// Ends the sending, then reads what still comes until the client ends too, for a bounded time. Guards
    /// against an answer that is lost: closing a socket with bytes unread resets the connection.
    pub async fn linger(mut self) {
        let clock = self.connection.all.clock.clone();
        let drain = async {
            self.stream.shutdown().await?;
            let mut bytes = vec![0; 16 * 1024];
            while self.stream.read(&mut bytes).await? > 0 {}
            Ok::<_, io::Error>(())
        };
        // Its end is all that is waited for.
        let _ = clock.timeout(LINGER, drain).await;
    }
}

impl<C: Clock, S: AsyncRead + Unpin> AsyncRead for MeteredStream<C, S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = if self.before.is_empty() {
            Pin::new(&mut self.stream).poll_read(context, buffer)
        } else {
            let fits = self.before.len().min(buffer.remaining());
            buffer.put_slice(&self.before.split_to(fits));
            Poll::Ready(Ok(()))
        };
        if buffer.filled().len() > before {
            let stage = self.connection.at();
            if stage == ConnectionPhase::Idle {
                self.connection.stage(ConnectionPhase::Asking);
            }
            if matches!(stage, ConnectionPhase::New | ConnectionPhase::Idle | ConnectionPhase::Asking) {
                let mut head = self.connection.state.head.borrow_mut();
                let fits = HEAD_LIMIT.saturating_sub(head.len()).min(buffer.filled().len() - before);
                head.extend_from_slice(&buffer.filled()[before..before + fits]);
            }
        }
        read
    }
}

impl<C: Clock, S: AsyncWrite + Unpin> AsyncWrite for MeteredStream<C, S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if mutant!(AnswerTwice) && bytes.starts_with(b"HTTP/1.1 200") {
            let _ = Pin::new(&mut self.stream).poll_write(context, bytes);
        }
        self.connection.state.unwritten.set(true);
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.connection.took(&written);
        written
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.connection.state.unwritten.set(true);
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, bytes);
        self.connection.took(&written);
        written
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Asked for once nothing is left to be written.
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        self.connection.state.unwritten.set(flushed.is_pending());
        flushed
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
