//! One HTTP/1.1 connection to a server. It is polled by its owner's calls and has no background task, so dropping it
//! closes the socket immediately.

use crate::body::UpstreamBody;
use crate::mutants::mutant;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::fmt;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum size of a response's head.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Why an exchange returned no complete response. The cause is upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionError {
    /// No byte of the request was written.
    Unsent,
    /// The connection was lost, or the response is invalid or too long, after part of the request may have been
    /// written.
    Interrupted,
}

impl fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ConnectionError::Unsent => "the request was not sent",
            ConnectionError::Interrupted => "no complete response was received on the connection",
        })
    }
}

impl std::error::Error for ConnectionError {}

/// hyper's connection future, which must be polled to make progress.
type Driver<S> = http1::Connection<TokioIo<TrackedStream<S>>, UpstreamBody>;

/// A connection to a server, for one request at a time.
pub struct UpstreamConnection<S: AsyncRead + AsyncWrite + Unpin + 'static> {
    sender: SendRequest<UpstreamBody>,
    /// `None` after the connection has ended.
    driver: Option<Driver<S>>,
    writes: Rc<WriteProgress>,
}

/// What was written to a stream.
#[derive(Debug, Default)]
struct WriteProgress {
    /// Whether the last write is blocked because the peer's receive buffer is full.
    is_blocked: Cell<bool>,
    /// Number of bytes written since the stream was established.
    bytes: Cell<u64>,
}

/// A stream that records its writes.
struct TrackedStream<S> {
    stream: S,
    writes: Rc<WriteProgress>,
}

impl<S: AsyncWrite + Unpin> TrackedStream<S> {
    fn record(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.writes.is_blocked.set(written.is_pending());
        if let Poll::Ready(Ok(bytes)) = written {
            self.writes.bytes.set(self.writes.bytes.get() + bytes as u64);
        }
        written
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for TrackedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, to)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for TrackedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin + 'static> UpstreamConnection<S> {
    /// Creates a connection over a newly established stream.
    ///
    /// # Errors
    /// The HTTP client cannot be initialized.
    pub async fn handshake(stream: S) -> io::Result<UpstreamConnection<S>> {
        // Limits the memory used by an endless head.
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let writes = Rc::new(WriteProgress::default());
        let tracked = TrackedStream { stream, writes: writes.clone() };
        let (sender, driver) = builder.handshake(TokioIo::new(tracked)).await.map_err(io::Error::other)?;
        Ok(UpstreamConnection { sender, driver: Some(driver), writes })
    }

    /// Sends one request and waits for its complete response, whose body may have at most `max_bytes`.
    ///
    /// # Errors
    /// No complete response was received. The error says whether part of the request may have been written.
    pub async fn exchange(
        &mut self,
        request: Request<impl Into<UpstreamBody>>,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, ConnectionError> {
        let (head, body) = self.send(request).await?.into_parts();
        Ok(Response::from_parts(head, self.collect(body, max_bytes).await?))
    }

    /// Reads the complete body of a response, of at most `max_bytes`.
    ///
    /// # Errors
    /// The body was truncated, or is longer than `max_bytes`.
    pub async fn collect(&mut self, body: Incoming, max_bytes: usize) -> Result<Bytes, ConnectionError> {
        let driver = &mut self.driver;
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(ConnectionError::Interrupted);
        }
        let mut collected = pin!(drive(driver, Limited::new(body, max_bytes).collect()));
        if mutant!(ReleaseHalfRead) {
            let first = poll_fn(|context| Poll::Ready(collected.as_mut().poll(context))).await;
            return match first {
                Poll::Ready(Ok(body)) => Ok(body.to_bytes()),
                _ => Ok(Bytes::new()),
            };
        }
        // Any error of the body is reported, so that a truncated body is never served.
        Ok(collected.await.map_err(|_| ConnectionError::Interrupted)?.to_bytes())
    }

    /// Sends one request and waits for the head of its response.
    ///
    /// # Errors
    /// As [`exchange`](UpstreamConnection::exchange).
    pub async fn send(
        &mut self,
        request: Request<impl Into<UpstreamBody>>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        let UpstreamConnection { sender, driver, writes } = self;
        let written_before = writes.bytes.get();
        let response = sender.try_send_request(request.map(Into::into));
        drive(driver, response).await.map_err(|_| match writes.bytes.get() == written_before {
            true => ConnectionError::Unsent,
            false => ConnectionError::Interrupted,
        })
    }

    /// Reads the complete body of a response, of at most `max_bytes`. Returns `None` if it is longer.
    ///
    /// # Errors
    /// The body was truncated.
    pub async fn read_to_end(
        &mut self,
        body: Incoming,
        max_bytes: usize,
    ) -> Result<Option<Bytes>, ConnectionError> {
        match drive_eagerly(&mut self.driver, Limited::new(body, max_bytes).collect()).await {
            Ok(body) => Ok(Some(body.to_bytes())),
            Err(error) if error.is::<LengthLimitError>() => Ok(None),
            Err(_) => Err(ConnectionError::Interrupted),
        }
    }

    /// Reads the next bytes of a body; `None` at its end. Trailers are dropped.
    ///
    /// # Errors
    /// The body was truncated.
    pub async fn next_chunk(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, ConnectionError> {
        loop {
            match drive_eagerly(&mut self.driver, body.frame()).await {
                None => return Ok(None),
                Some(Err(_)) => return Err(ConnectionError::Interrupted),
                Some(Ok(frame)) => {
                    if let Ok(bytes) = frame.into_data() {
                        return Ok(Some(bytes));
                    }
                }
            }
        }
    }

    /// Whether the connection is open and can be used for another request. Polls the connection, which detects that the
    /// peer has closed it while it was idle. A connection is also not reusable while part of an earlier request is
    /// still unwritten, as a peer may respond before it has read the complete request.
    pub async fn is_reusable(&mut self) -> bool {
        poll_fn(|context| {
            if let Some(driver) = &mut self.driver {
                if Pin::new(driver).poll(context).is_ready() {
                    self.driver = None;
                }
            }
            Poll::Ready(())
        })
        .await;
        self.driver.is_some() && self.sender.is_ready() && !self.writes.is_blocked.get()
    }
}

/// Like [`drive`], but polls repeatedly to read all received data before other tasks run. hyper returns a body in
/// several steps, and without this the task would wait behind other tasks between two steps. A membership update would
/// then be applied after requests that were received later.
async fn drive_eagerly<S: AsyncRead + AsyncWrite + Unpin + 'static, T>(
    driver: &mut Option<Driver<S>>,
    work: impl Future<Output = T>,
) -> T {
    /// Limits the polls, so that a peer that sends continuously does not starve other tasks.
    const MAX_POLLS: u32 = 4;
    let mut work = pin!(drive(driver, work));
    poll_fn(|context| {
        (0..MAX_POLLS).map(|_| work.as_mut().poll(context)).find(Poll::is_ready).unwrap_or(Poll::Pending)
    })
    .await
}

/// Polls the connection while waiting for `work`.
async fn drive<S: AsyncRead + AsyncWrite + Unpin + 'static, T>(
    driver: &mut Option<Driver<S>>,
    work: impl Future<Output = T>,
) -> T {
    let mut work = pin!(work);
    poll_fn(|context| {
        if let Some(running) = driver {
            if Pin::new(running).poll(context).is_ready() {
                *driver = None;
            }
        }
        work.as_mut().poll(context)
    })
    .await
}
