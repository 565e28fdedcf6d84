//! The body of a long request that is streamed to a backend while it is being received from the client.

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

/// Maximum time without progress of an upload, on either side.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// The progress of an upload, shared with the attempt, the dispatcher and the client's connection.
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
    /// When the last byte was forwarded; `None` if the upload is not complete.
    pub fn completed_at(&self) -> Option<Instant> {
        self.completed_at.get()
    }

    /// Sets the callback for when the last byte is forwarded. A later callback replaces an earlier one.
    pub fn on_complete(&self, callback: impl FnOnce() + 'static) {
        self.on_complete.replace(Some(Box::new(callback)));
    }

    /// Completes when the upload has made no progress for 15 s; never after the upload is complete. This handles a
    /// backend that accepts a request but stops reading its body, as the request's deadline starts only at the last
    /// byte.
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

/// A pending wait for the client's next bytes.
struct ClientWait<C: Clock> {
    since: Instant,
    /// Boxed, so that [`Upload`] is `Unpin`.
    timeout: Pin<Box<C::Sleep>>,
}

/// The body of an upload: the bytes that were buffered before it exceeded the buffer limit, followed by the rest as it
/// is received. Enforces the minimum data rate.
pub struct Upload<C: Clock> {
    clock: C,
    first: Bytes,
    rest: Incoming,
    data_rate: DataRateMonitor,
    waiting: Option<ClientWait<C>>,
    progress: Rc<UploadProgress>,
}

// No field is pinned in place; the timer is boxed.
impl<C: Clock> Unpin for Upload<C> {}

impl<C: Clock> Upload<C> {
    /// Creates a body from the buffered `first` bytes and the `rest`, and returns it with its progress.
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
        // hyper does not poll a body again after `is_end_stream` has returned true.
        if self.is_end_stream() {
            self.progress.complete(self.clock.now());
        }
    }

    /// Ends the wait for the client and records the received bytes.
    fn received(&mut self, bytes: usize) {
        let now = self.clock.now();
        let waited = self.waiting.take().map(|wait| now.saturating_duration_since(wait.since));
        self.data_rate.record(waited.unwrap_or_default(), bytes);
    }

    /// Polls the timeout of the wait for the client's next bytes. Fails if the client is below the minimum data rate.
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
