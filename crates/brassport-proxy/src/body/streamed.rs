//! The body of a response that is forwarded to its client while it arrives from a backend.

use super::BodyError;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// Chunks of a response that wait for its client to take them: one keeps both sides busy and bounds the memory of a
/// client that takes nothing.
pub const MAX_PENDING_CHUNKS: usize = 1;

enum Chunk {
    Data(Bytes),
    /// All has come. Without it the body is incomplete.
    End,
}

/// The reading side of a response that is forwarded as it arrives. Its client's connection reads it.
pub struct StreamedBody {
    chunks: mpsc::Receiver<Chunk>,
    /// Bytes that are still to come, where the length is known.
    remaining: Option<u64>,
    is_over: bool,
    on_end: Option<Box<dyn FnOnce(bool)>>,
}

impl StreamedBody {
    /// A body of this many bytes, if the length is known, and its writing side.
    pub fn new(length: Option<u64>) -> (BodySender, StreamedBody) {
        let (sender, chunks) = mpsc::channel(MAX_PENDING_CHUNKS);
        (BodySender(sender), StreamedBody { chunks, remaining: length, is_over: false, on_end: None })
    }

    /// Registers a call for the end of this body: with `true` once all of it has been read, with `false` once it broke
    /// off or nobody reads it any more. It is made once; a later registration replaces an earlier one.
    pub fn on_end(&mut self, callback: impl FnOnce(bool) + 'static) {
        self.on_end = Some(Box::new(callback));
    }

    fn end(&mut self, is_complete: bool) {
        self.is_over = true;
        if let Some(callback) = self.on_end.take() {
            callback(is_complete);
        }
    }

    fn received(&mut self, bytes: Bytes) -> Frame<Bytes> {
        if let Some(remaining) = &mut self.remaining {
            *remaining = remaining.saturating_sub(bytes.len() as u64);
            // hyper polls no more once the declared length is there: the end would never be seen.
            if *remaining == 0 {
                self.end(true);
            }
        }
        Frame::data(bytes)
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
        Poll::Ready(match std::task::ready!(this.chunks.poll_recv(context)) {
            Some(Chunk::Data(bytes)) => Some(Ok(this.received(bytes))),
            Some(Chunk::End) => {
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
        self.remaining.map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        self.end(false);
    }
}

/// The writing side of a [`StreamedBody`]. Dropped before [`finish`](BodySender::finish) the body is incomplete, and
/// its client can tell.
pub struct BodySender(mpsc::Sender<Chunk>);

impl BodySender {
    /// Writes a chunk once there is room for it; false if nobody reads the body any more.
    pub async fn send(&self, bytes: Bytes) -> bool {
        bytes.is_empty() || self.0.send(Chunk::Data(bytes)).await.is_ok()
    }

    /// Ready once nobody reads the body any more.
    pub async fn closed(&self) {
        self.0.closed().await;
    }

    /// Marks the body as complete.
    pub async fn finish(self) {
        // A reader that has left needs no end.
        let _ = self.0.send(Chunk::End).await;
    }
}
