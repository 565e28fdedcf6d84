//! Bodies of messages: held whole while they are short, passed through piece by piece beyond that.

pub mod pace;
pub mod upload;

use crate::clock::Clock;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use pace::TransferPace;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc;

/// Most bytes of a body that is held whole, either way.
pub const MAX_BUFFERED_BYTES: usize = 64 * 1024;
/// Most bytes of any body.
pub const MAX_BODY_BYTES: u64 = 256 << 20;
/// Pieces of an answer that wait for the client to take them.
const WAITING: usize = 1;

/// A body that did not come whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyError;

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the body did not come whole")
    }
}

impl std::error::Error for BodyError {}

/// A body that is at hand, or one of which more comes.
pub enum ProxiedBody<B> {
    Complete(Full<Bytes>),
    Streaming(B),
}

/// The body of a request to a backend.
pub type UpstreamBody = ProxiedBody<Pin<Box<dyn Body<Data = Bytes, Error = BodyError>>>>;
/// The body of an answer to a client.
pub type ResponseBody = ProxiedBody<StreamedBody>;

impl<B> From<Full<Bytes>> for ProxiedBody<B> {
    fn from(body: Full<Bytes>) -> ProxiedBody<B> {
        ProxiedBody::Complete(body)
    }
}

impl<B: Body<Data = Bytes, Error = BodyError> + Unpin> Body for ProxiedBody<B> {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            ProxiedBody::Complete(body) => Pin::new(body).poll_frame(context).map_err(|never| match never {}),
            ProxiedBody::Streaming(body) => Pin::new(body).poll_frame(context),
        }
    }
    fn is_end_stream(&self) -> bool {
        match self {
            ProxiedBody::Complete(body) => body.is_end_stream(),
            ProxiedBody::Streaming(body) => body.is_end_stream(),
        }
    }
    fn size_hint(&self) -> SizeHint {
        match self {
            ProxiedBody::Complete(body) => body.size_hint(),
            ProxiedBody::Streaming(body) => body.size_hint(),
        }
    }
}

enum Piece {
    Bytes(Bytes),
    /// All has come. Without it the body is broken.
    End,
}

/// An answer of which more comes.
pub struct StreamedBody {
    pieces: mpsc::Receiver<Piece>,
    /// Bytes that are still to come, where that is known.
    left: Option<u64>,
    is_over: bool,
    at_end: Option<Box<dyn FnOnce(bool)>>,
}

impl StreamedBody {
    /// A body of this length, if that is known, and the side that it is written to.
    pub fn new(length: Option<u64>) -> (BodySender, StreamedBody) {
        let (to, pieces) = mpsc::channel(WAITING);
        (BodySender(to), StreamedBody { pieces, left: length, is_over: false, at_end: None })
    }

    /// What is to be done once all has been taken, and told so, or once nobody takes it any more.
    pub fn at_end(&mut self, end: impl FnOnce(bool) + 'static) {
        self.at_end = Some(Box::new(end));
    }

    fn end(&mut self, whole: bool) {
        self.is_over = true;
        if let Some(end) = self.at_end.take() {
            end(whole);
        }
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let this = self.get_mut();
        if this.is_over {
            return Poll::Ready(None);
        }
        let piece = std::task::ready!(this.pieces.poll_recv(context));
        Poll::Ready(match piece {
            Some(Piece::Bytes(bytes)) => {
                if let Some(left) = &mut this.left {
                    *left = left.saturating_sub(bytes.len() as u64);
                    // Whoever writes it asks for no more once the length is there.
                    if *left == 0 {
                        this.end(true);
                    }
                }
                Some(Ok(Frame::data(bytes)))
            }
            Some(Piece::End) => {
                this.end(true);
                None
            }
            None => {
                this.end(false);
                Some(Err(BodyError))
            }
        })
    }
    fn is_end_stream(&self) -> bool {
        self.is_over
    }
    fn size_hint(&self) -> SizeHint {
        self.left.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        self.end(false);
    }
}

/// The writing side of a [`Coming`]; dropped before [`end`](Pieces::end) the body is broken, and its client can tell.
pub struct BodySender(mpsc::Sender<Piece>);

impl BodySender {
    /// Writes on once there is room; false if nobody takes it any more.
    pub async fn write(&self, bytes: Bytes) -> bool {
        bytes.is_empty() || self.0.send(Piece::Bytes(bytes)).await.is_ok()
    }

    /// Ready once nobody takes it any more.
    pub async fn abandoned(&self) {
        self.0.closed().await;
    }

    /// All is written.
    pub async fn end(self) {
        let _ = self.0.send(Piece::End).await;
    }
}

/// Why a body was not read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    Incomplete,
    TooSlow,
    TooLong,
}

/// What has come of a body that is read until it is known whether it is long.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadBody {
    Complete(Bytes),
    /// The first of it.
    Partial(Bytes),
}

/// Reads a body to its end, or until more than [`HELD_LIMIT`] has come, as long as it keeps pace.
///
/// # Errors
/// It broke off, came too slowly or will be too long for anybody.
pub async fn read_body<C: Clock>(
    clock: &C,
    body: &mut Incoming,
    pace: &mut TransferPace,
) -> Result<ReadBody, ReadError> {
    if body.size_hint().lower() > MAX_BODY_BYTES {
        return Err(ReadError::TooLong);
    }
    let mut first = Bytes::new();
    let mut all = Vec::new();
    loop {
        match next(clock, body, pace).await? {
            None if all.is_empty() => return Ok(ReadBody::Complete(first)),
            None => return Ok(ReadBody::Complete(all.into())),
            // Most bodies are one piece, and need no copy.
            Some(bytes) if first.is_empty() && all.is_empty() => first = bytes,
            Some(bytes) => {
                if all.is_empty() {
                    all.extend_from_slice(&std::mem::take(&mut first));
                }
                all.extend_from_slice(&bytes);
                if all.len() > MAX_BUFFERED_BYTES {
                    return Ok(ReadBody::Partial(all.into()));
                }
            }
        }
    }
}

/// The next bytes of a body; `None` at its end.
async fn next<C: Clock>(
    clock: &C,
    body: &mut Incoming,
    pace: &mut TransferPace,
) -> Result<Option<Bytes>, ReadError> {
    loop {
        let (asked, patience) = (clock.now(), pace.patience());
        if patience == Duration::ZERO {
            return Err(ReadError::TooSlow);
        }
        let frame = match clock.timeout(patience, body.frame()).await {
            None => return Err(ReadError::TooSlow),
            Some(None) => return Ok(None),
            Some(Some(frame)) => frame.map_err(|_| ReadError::Incomplete)?,
        };
        // Trailers are nobody's here.
        if let Ok(bytes) = frame.into_data() {
            pace.came(clock.now().saturating_duration_since(asked), bytes.len());
            return Ok(Some(bytes));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::cell::Cell;
    use std::future::Future;
    use std::rc::Rc;

    async fn taken(mut body: StreamedBody, ended: &Rc<Cell<Option<bool>>>) -> (Vec<u8>, bool) {
        let ended = ended.clone();
        body.at_end(move |whole| ended.set(Some(whole)));
        let mut all = Vec::new();
        let mut body = ResponseBody::Streaming(body);
        loop {
            match body.frame().await {
                None => return (all, true),
                Some(Err(BodyError)) => return (all, false),
                Some(Ok(frame)) => all.extend_from_slice(&frame.into_data().expect("data")),
            }
        }
    }

    #[tokio::test]
    async fn an_answer_that_is_dropped_half_way_is_broken_whether_or_not_its_length_is_known() {
        for length in [None, Some(10)] {
            let ended = Rc::default();
            let (to, body) = StreamedBody::new(length);
            let write = async move {
                assert!(to.write(Bytes::from_static(b"12345")).await);
            };
            let ((), (all, whole)) = tokio::join!(write, taken(body, &ended));
            assert_eq!((&all[..], whole, ended.get()), (&b"12345"[..], false, Some(false)), "{length:?}");
        }
    }

    #[tokio::test]
    async fn an_answer_ends_at_its_length_or_where_it_is_told_to() {
        for length in [None, Some(10)] {
            let ended = Rc::default();
            let (to, body) = StreamedBody::new(length);
            let write = async move {
                for piece in [&b"123"[..], b"", b"4567890"] {
                    assert!(to.write(Bytes::from_static(piece)).await);
                }
                to.end().await;
            };
            let ((), (all, whole)) = tokio::join!(write, taken(body, &ended));
            assert_eq!((&all[..], whole, ended.get()), (&b"1234567890"[..], true, Some(true)), "{length:?}");
        }
    }

    #[tokio::test]
    async fn who_takes_no_more_is_told_to_the_writer_and_counts_as_no_end() {
        let (to, mut body) = StreamedBody::new(Some(10));
        let ended = Rc::new(Cell::new(None));
        let told = ended.clone();
        body.at_end(move |whole| told.set(Some(whole)));
        drop(body);
        assert!(!to.write(Bytes::from_static(b"1")).await);
        assert_eq!(ended.get(), Some(false));
    }

    #[tokio::test]
    async fn a_writer_waits_for_a_client_that_takes_nothing() {
        let (to, _body) = StreamedBody::new(None);
        let mut written = 0;
        loop {
            let mut write = std::pin::pin!(to.write(Bytes::from_static(b"x")));
            let is_ready =
                std::future::poll_fn(|context| Poll::Ready(write.as_mut().poll(context).is_ready()));
            if !is_ready.await {
                break;
            }
            written += 1;
        }
        assert_eq!(written, WAITING);
    }
}
