//! One HTTP/1.1 connection to a peer. Whoever owns it drives it: it has no task of its own, so dropping it has closed
//! the socket.

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

/// Most bytes of a response's head.
const HEAD_LIMIT: usize = 16 * 1024;

/// Why an exchange brought no complete response. Its source is upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionError {
    /// No byte of the request was written.
    Unsent,
    /// The connection broke, or the response is not HTTP, after some of the request may have been written.
    Interrupted,
}

impl ConnectionError {
    /// Whether the request can't have run, so that sending it again is safe whatever its effect. A backend can't run a
    /// request of which it has not got the last byte.
    pub fn is_retryable(self, request_was_complete: bool) -> bool {
        match self {
            ConnectionError::Unsent => true,
            ConnectionError::Interrupted => !request_was_complete,
        }
    }
}

impl fmt::Display for ConnectionError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ConnectionError::Unsent => "the request was not sent",
            ConnectionError::Interrupted => "the connection broke before the response was complete",
        })
    }
}

impl std::error::Error for ConnectionError {}

/// The part of hyper that has to be polled.
type Driver<S> = http1::Connection<TokioIo<TrackedStream<S>>, UpstreamBody>;

/// A connection to a peer, for one request at a time.
pub struct UpstreamConnection<S: AsyncRead + AsyncWrite + Unpin + 'static> {
    sender: SendRequest<UpstreamBody>,
    /// `None` once the connection has ended.
    driver: Option<Driver<S>>,
    /// Whether bytes wait that the peer had no room for.
    has_unwritten: Rc<Cell<bool>>,
}

/// A stream that records whether its peer took all that was written.
struct TrackedStream<S> {
    stream: S,
    has_unwritten: Rc<Cell<bool>>,
}

impl<S: AsyncWrite + Unpin> TrackedStream<S> {
    fn record(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.has_unwritten.set(written.is_pending());
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
    /// A connection over a stream that was just established.
    ///
    /// # Errors
    /// hyper refuses the handshake.
    pub async fn handshake(stream: S) -> io::Result<UpstreamConnection<S>> {
        // Guards the memory against heads that do not end.
        let mut builder = http1::Builder::new();
        builder.max_buf_size(HEAD_LIMIT);
        let has_unwritten = Rc::new(Cell::new(false));
        let tracked = TrackedStream { stream, has_unwritten: has_unwritten.clone() };
        let (sender, driver) = builder.handshake(TokioIo::new(tracked)).await.map_err(io::Error::other)?;
        Ok(UpstreamConnection { sender, driver: Some(driver), has_unwritten })
    }

    /// Sends one request and waits for its complete response, of `max_bytes` at most.
    ///
    /// # Errors
    /// There is no complete response; whether some of the request may have been written.
    pub async fn exchange(
        &mut self,
        request: Request<impl Into<UpstreamBody>>,
        max_bytes: usize,
    ) -> Result<Response<Bytes>, ConnectionError> {
        let (head, body) = self.send(request).await?.into_parts();
        Ok(Response::from_parts(head, self.collect(body, max_bytes).await?))
    }

    /// The complete body of a response that has begun, of `max_bytes` at most.
    ///
    /// # Errors
    /// The body was cut short, or is longer.
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
        // Guards against serving a body that was cut short: an error of the body is a broken connection.
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
        let UpstreamConnection { sender, driver, .. } = self;
        let request = request.map(Into::into);
        // hyper hands a request back only if it never began to write it.
        let response = sender.try_send_request(request);
        drive(driver, response).await.map_err(|mut error| match error.take_message() {
            Some(_) => ConnectionError::Unsent,
            None => ConnectionError::Interrupted,
        })
    }

    /// The complete body of a response that has begun, of `max_bytes` at most; `None` if it is longer.
    ///
    /// # Errors
    /// The body was cut short.
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

    /// The next bytes of a body that has begun; `None` at its end. Trailers are dropped.
    ///
    /// # Errors
    /// The body was cut short.
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

    /// Whether the connection is alive and can take another request. Guards against sending into a connection that the
    /// peer has closed while it was idle: polling it sees the end that has come in meanwhile. Nor is one reusable on which
    /// the rest of an earlier request is still to be written: a peer may respond before it has read all of it.
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
        self.driver.is_some() && self.sender.is_ready() && !self.has_unwritten.get()
    }
}

/// As [`drive`], reading all that has come before other tasks run: hyper returns a body in steps, and between two of
/// them this task would wait behind the others. Guards a membership update that came first against being applied after
/// requests that came later.
async fn drive_eagerly<S: AsyncRead + AsyncWrite + Unpin + 'static, T>(
    driver: &mut Option<Driver<S>>,
    work: impl Future<Output = T>,
) -> T {
    /// A bound, so that a peer that sends without end does not keep the other tasks waiting.
    const MAX_POLLS: u32 = 4;
    let mut work = pin!(drive(driver, work));
    poll_fn(|context| {
        (0..MAX_POLLS).map(|_| work.as_mut().poll(context)).find(Poll::is_ready).unwrap_or(Poll::Pending)
    })
    .await
}

/// Waits for `work`, for which the connection has to be driven.
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
