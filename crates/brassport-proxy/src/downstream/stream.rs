//! A client's socket that records reads and writes as phases of its connection.

use super::registry::DownstreamConnection;
use crate::clock::Clock;
use crate::mutants::mutant;
use hyper::body::Bytes;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};

/// Most bytes of a head that are kept as they came.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// How long what a client is still sending is read, so that it finds the response it was given before.
const LINGER_TIMEOUT: Duration = Duration::from_millis(2000);
/// Bytes that are read at once while lingering.
const LINGER_BUFFER_BYTES: usize = 16 * 1024;

/// A client's socket. It records the first byte after a response, the bytes of heads, and when the client takes bytes.
pub struct MeteredStream<C: Clock, S> {
    stream: S,
    /// What another process has read from it, which is read first.
    buffered: Bytes,
    connection: Rc<DownstreamConnection<C>>,
}

impl<C: Clock, S: AsyncRead + AsyncWrite + Unpin> MeteredStream<C, S> {
    /// A socket of this connection, from which `buffered` was read already.
    pub fn new(stream: S, buffered: Bytes, connection: Rc<DownstreamConnection<C>>) -> MeteredStream<C, S> {
        MeteredStream { stream, buffered, connection }
    }

    /// The socket itself.
    pub fn into_stream(self) -> S {
        self.stream
    }

    /// Ends the sending, then reads what still comes until the client ends too, for 2 s at most. Guards against a
    /// response that is lost: closing a socket with bytes unread resets the connection.
    pub async fn linger(mut self) {
        let clock = self.connection.clock().clone();
        let drain = async {
            self.stream.shutdown().await?;
            let mut bytes = vec![0; LINGER_BUFFER_BYTES];
            while self.stream.read(&mut bytes).await? > 0 {}
            Ok::<_, io::Error>(())
        };
        // Only the end matters, however it comes.
        let _ = clock.timeout(LINGER_TIMEOUT, drain).await;
    }
}

impl<C: Clock, S: AsyncRead + Unpin> AsyncRead for MeteredStream<C, S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = if self.buffered.is_empty() {
            Pin::new(&mut self.stream).poll_read(context, buffer)
        } else {
            let fits = self.buffered.len().min(buffer.remaining());
            buffer.put_slice(&self.buffered.split_to(fits));
            Poll::Ready(Ok(()))
        };
        if buffer.filled().len() > before {
            self.connection.record_read(&buffer.filled()[before..], MAX_HEAD_BYTES);
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
        self.connection.set_unwritten(true);
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.connection.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.connection.set_unwritten(true);
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, bytes);
        self.connection.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes once nothing is left to be written.
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        self.connection.set_unwritten(flushed.is_pending());
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
