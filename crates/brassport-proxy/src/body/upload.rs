//! The body of a long request that is forwarded to a backend while it arrives from its client.

use super::data_rate::DataRateMonitor;
use super::BodyError;
use crate::clock::Clock;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// How long an upload may stall, on either side.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// How far an upload has come, for those who do not read it: the attempt, the dispatcher, the client's connection.
#[derive(Default)]
pub struct UploadProgress {
    bytes: Cell<u64>,
    completed_at: Cell<Option<Instant>>,
    on_complete: RefCell<Option<Box<dyn FnOnce()>>>,
}

impl fmt::Debug for UploadProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes, complete at {:?}", self.bytes.get(), self.completed_at.get())
    }
}

impl UploadProgress {
    /// When its last byte was forwarded, once it has been.
    pub fn completed_at(&self) -> Option<Instant> {
        self.completed_at.get()
    }

    /// Registers a call for the moment when the last byte is forwarded; a later registration replaces an earlier one.
    pub fn on_complete(&self, callback: impl FnOnce() + 'static) {
        self.on_complete.replace(Some(Box::new(callback)));
    }

    /// Ready once nothing has moved for 15 s; never once the upload is complete. Guards against a backend that accepts
    /// a request and reads no more of it, as there is no deadline before the last byte.
    pub async fn stalled(&self, clock: &impl Clock) {
        loop {
            let before = self.bytes.get();
            clock.sleep(STALL_TIMEOUT).await;
            if self.completed_at.get().is_some() {
                return std::future::pending().await;
            }
            if self.bytes.get() == before {
                return;
            }
        }
    }

    fn complete(&self, now: Instant) {
        if self.completed_at.get().is_none() {
            self.completed_at.set(Some(now));
            if let Some(callback) = self.on_complete.take() {
                callback();
            }
        }
    }
}

/// A wait for the client's next bytes.
struct ClientWait<C: Clock> {
    since: Instant,
    /// On the heap, so that the body stays `Unpin`.
    timeout: Pin<Box<C::Sleep>>,
}

/// The body: what was read before it was known to be long, and what still comes, as long as it keeps pace.
pub struct Upload<C: Clock> {
    clock: C,
    first: Bytes,
    rest: Incoming,
    data_rate: DataRateMonitor,
    waiting: Option<ClientWait<C>>,
    progress: Rc<UploadProgress>,
}

// Its timer is on the heap.
impl<C: Clock> Unpin for Upload<C> {}

impl<C: Clock> Upload<C> {
    /// A body of these first bytes and this rest, and its progress.
    pub fn new(
        clock: C,
        first: Bytes,
        rest: Incoming,
        data_rate: DataRateMonitor,
    ) -> (Upload<C>, Rc<UploadProgress>) {
        let progress = Rc::new(UploadProgress::default());
        (Upload { clock, first, rest, data_rate, waiting: None, progress: progress.clone() }, progress)
    }

    fn forwarded(&self, bytes: u64) {
        self.progress.bytes.set(self.progress.bytes.get() + bytes);
        // hyper does not poll a body again that says that it has ended.
        if self.is_end_stream() {
            self.progress.complete(self.clock.now());
        }
    }

    /// Ends the wait for the client's bytes, of which so many came.
    fn received(&mut self, bytes: usize) {
        let now = self.clock.now();
        let waited = self.waiting.take().map(|wait| now.saturating_duration_since(wait.since));
        self.data_rate.record(waited.unwrap_or_default(), bytes);
    }

    /// Waits for the client's next bytes, as long as its pace allows: an error once it is too slow.
    fn poll_timeout(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let (clock, data_rate) = (&self.clock, &self.data_rate);
        let wait = self.waiting.get_or_insert_with(|| {
            let since = clock.now();
            ClientWait { since, timeout: Box::pin(clock.sleep_until(since + data_rate.read_timeout())) }
        });
        wait.timeout.as_mut().poll(context).map(|()| Some(Err(BodyError)))
    }
}

impl<C: Clock> Body for Upload<C> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        if !this.first.is_empty() {
            let first = std::mem::take(&mut this.first);
            this.forwarded(first.len() as u64);
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        loop {
            match Pin::new(&mut this.rest).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers are not forwarded.
                    let Ok(bytes) = frame.into_data() else { continue };
                    this.received(bytes.len());
                    this.forwarded(bytes.len() as u64);
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(BodyError))),
                Poll::Ready(None) => {
                    this.progress.complete(this.clock.now());
                    return Poll::Ready(None);
                }
                Poll::Pending => return this.poll_timeout(context),
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_empty() && self.rest.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let (first, rest) = (self.first.len() as u64, self.rest.size_hint());
        match rest.exact() {
            Some(rest) => SizeHint::with_exact(first + rest),
            None => SizeHint::default(),
        }
    }
}
