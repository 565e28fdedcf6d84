//! A wrapper of a client's socket that records reads and writes in the state of its connection.

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

/// Maximum number of raw bytes kept of a head.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum time to keep reading from a client after the final response, so that the client can receive the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(2000);
/// Size of the read buffer while lingering.
const LINGER_BUFFER_BYTES: usize = 16 * 1024;

/// A client's socket. It records the first byte after a response, the raw bytes of heads, and the progress of writes.
pub struct MeteredStream<C: Clock, S> {
    stream: S,
    /// Bytes that another process has read from the socket; they are returned before new ones are read.
    buffered: Bytes,
    connection: Rc<DownstreamConnection<C>>,
}

impl<C: Clock, S: AsyncRead + AsyncWrite + Unpin> MeteredStream<C, S> {
    /// Wraps the socket of a connection. `buffered` are bytes that were already read from it.
    pub fn new(stream: S, buffered: Bytes, connection: Rc<DownstreamConnection<C>>) -> MeteredStream<C, S> {
        MeteredStream { stream, buffered, connection }
    }

    /// Returns the wrapped socket.
    pub fn into_stream(self) -> S {
        self.stream
    }

    /// Shuts down the sending direction, then reads and discards data until the client closes the connection, for at
    /// most 2 s. Closing a socket with unread bytes would reset the connection, and the client could lose the response.
    pub async fn linger(mut self) {
        let clock = self.connection.clock().clone();
        let drain = async {
            self.stream.shutdown().await?;
            let mut bytes = vec![0; LINGER_BUFFER_BYTES];
            while self.stream.read(&mut bytes).await? > 0 {}
            Ok::<_, io::Error>(())
        };
        // The result is irrelevant: the connection is closed in any case.
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
        // hyper flushes when it has no more bytes to write.
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        self.connection.set_unwritten(flushed.is_pending());
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
