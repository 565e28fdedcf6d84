//! The body of a response that is streamed to the client while it is being received from a backend.

use super::BodyError;
use hyper::body::{Body, Bytes, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// Maximum number of chunks of a response that are buffered for the client. One chunk lets the backend send while the
/// client reads, and limits the memory used by a client that does not read.
pub const MAX_PENDING_CHUNKS: usize = 1;

enum Chunk {
    Data(Bytes),
    /// The body is complete. If the channel closes without it, the body is incomplete.
    End,
}

/// The reading side of a streamed response body, polled by the client's connection.
pub struct StreamedBody {
    chunks: mpsc::Receiver<Chunk>,
    /// The number of bytes not yet read; `None` if the length of the body is unknown.
    remaining: Option<u64>,
    has_ended: bool,
    on_end: Option<Box<dyn FnOnce(bool)>>,
}

impl StreamedBody {
    /// Creates a body and its writing side. `length` is the length in bytes; `None` if it is unknown.
    pub fn new(length: Option<u64>) -> (BodySender, StreamedBody) {
        let (sender, chunks) = mpsc::channel(MAX_PENDING_CHUNKS);
        (BodySender(sender), StreamedBody { chunks, remaining: length, has_ended: false, on_end: None })
    }

    /// Sets the callback for the end of this body. It is called once: with `true` when the complete body has been read,
    /// with `false` if the body was truncated or the reader was dropped. A later callback replaces an earlier one.
    pub fn on_end(&mut self, callback: impl FnOnce(bool) + 'static) {
        self.on_end = Some(Box::new(callback));
    }

    fn end(&mut self, is_complete: bool) {
        self.has_ended = true;
        if let Some(callback) = self.on_end.take() {
            callback(is_complete);
        }
    }

    fn received(&mut self, bytes: Bytes) -> Frame<Bytes> {
        if let Some(remaining) = &mut self.remaining {
            *remaining = remaining.saturating_sub(bytes.len() as u64);
            // hyper stops polling when the declared length has been read, so `Chunk::End` would never be received.
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
        if this.has_ended {
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
        self.has_ended
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

/// The writing side of a [`StreamedBody`]. If it is dropped without a call of [`finish`](BodySender::finish), the body
/// is incomplete and the client can detect this.
pub struct BodySender(mpsc::Sender<Chunk>);

impl BodySender {
    /// Writes a chunk as soon as the buffer has space. Returns false if the reader was dropped.
    pub async fn send(&self, bytes: Bytes) -> bool {
        bytes.is_empty() || self.0.send(Chunk::Data(bytes)).await.is_ok()
    }

    /// Completes when the reader has been dropped.
    pub async fn closed(&self) {
        self.0.closed().await;
    }

    /// Marks the body as complete.
    pub async fn finish(self) {
        // Sending fails only if the reader was dropped; the end marker is not needed then.
        let _ = self.0.send(Chunk::End).await;
    }
}
