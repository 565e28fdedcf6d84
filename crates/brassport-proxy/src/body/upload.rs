//! A request's body that goes on to a backend as it comes from its client.

use crate::body::pace::TransferPace;
use crate::body::BodyError;
use crate::clock::Clock;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// How long either side may stand still.
const STANDSTILL: Duration = Duration::from_secs(15);

/// How far an upload has come, for those who do not read it.
#[derive(Default)]
pub struct UploadProgress {
    bytes: Cell<u64>,
    whole: Cell<Option<Instant>>,
    at_whole: RefCell<Option<Box<dyn FnOnce()>>>,
}

impl fmt::Debug for UploadProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} bytes, whole at {:?}", self.bytes.get(), self.whole.get())
    }
}

impl UploadProgress {
    /// When its last byte went on, once it has.
    pub fn completed_at(&self) -> Option<Instant> {
        self.whole.get()
    }

    /// What is to be done then.
    pub fn on_complete(&self, then: impl FnOnce() + 'static) {
        self.at_whole.replace(Some(Box::new(then)));
    }

    /// Ready once nothing has moved for long. Guards against a backend that takes a request and reads no more of it,
    /// as there is no deadline before the last byte.
    pub async fn stands_still(&self, clock: &impl Clock) {
        loop {
            let before = self.bytes.get();
            clock.sleep(STANDSTILL).await;
            if self.whole.get().is_some() {
                return std::future::pending().await;
            }
            if self.bytes.get() == before {
                return;
            }
        }
    }
}

/// The body: what was read before, and what still comes, as long as it keeps pace.
pub struct Upload<C: Clock> {
    clock: C,
    first: Bytes,
    rest: Incoming,
    pace: TransferPace,
    /// Since when the client is waited for, and until when it may be.
    waiting: Option<(Instant, Pin<Box<C::Sleep>>)>,
    progress: Rc<UploadProgress>,
}

// Its timer is on the heap.
impl<C: Clock> Unpin for Upload<C> {}

impl<C: Clock> Upload<C> {
    pub fn new(
        clock: C,
        first: Bytes,
        rest: Incoming,
        pace: TransferPace,
    ) -> (Upload<C>, Rc<UploadProgress>) {
        let progress = Rc::new(UploadProgress::default());
        (Upload { clock, first, rest, pace, waiting: None, progress: progress.clone() }, progress)
    }

    fn went_on(&self, bytes: u64) {
        self.progress.bytes.set(self.progress.bytes.get() + bytes);
        if self.first.is_empty() && self.rest.is_end_stream() {
            self.complete();
        }
    }

    fn complete(&self) {
        if self.progress.whole.get().is_none() {
            self.progress.whole.set(Some(self.clock.now()));
            if let Some(then) = self.progress.at_whole.take() {
                then();
            }
        }
    }

    /// Ends the wait for the client, behind which so many bytes came.
    fn came(&mut self, bytes: usize) {
        let now = self.clock.now();
        let waited =
            self.waiting.take().map_or(Duration::ZERO, |(since, _)| now.saturating_duration_since(since));
        self.pace.came(waited, bytes);
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
            this.went_on(first.len() as u64);
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        loop {
            match Pin::new(&mut this.rest).poll_frame(context) {
                Poll::Ready(Some(Ok(frame))) => {
                    // Trailers are nobody's here.
                    let Ok(bytes) = frame.into_data() else { continue };
                    this.came(bytes.len());
                    this.went_on(bytes.len() as u64);
                    return Poll::Ready(Some(Ok(Frame::data(bytes))));
                }
                Poll::Ready(Some(Err(_))) => return Poll::Ready(Some(Err(BodyError))),
                Poll::Ready(None) => {
                    this.complete();
                    return Poll::Ready(None);
                }
                Poll::Pending => {
                    if this.waiting.is_none() {
                        let now = this.clock.now();
                        let until = Box::pin(this.clock.sleep_until(now + this.pace.patience()));
                        this.waiting = Some((now, until));
                    }
                    let Some((_, until)) = &mut this.waiting else { return Poll::Pending };
                    return until.as_mut().poll(context).map(|()| Some(Err(BodyError)));
                }
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
