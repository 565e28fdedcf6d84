//! One HTTP/1.1 connection to a peer. Whoever holds it drives it: no task of its own stands behind it, so
//! dropping it has closed the socket.

use crate::body::UpstreamBody;
use crate::mutants::mutant;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body, Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Most bytes of an answer's head.
const HEAD_LIMIT: usize = 16 * 1024;

/// Why an exchange brought no whole answer.
#[derive(Debug, PartialEq, Eq)]
pub enum ConnectionError {
    /// No byte of the request was written.
    Unsent,
    /// The connection broke, or the answer is not one of HTTP, after some of it may have been written.
    Interrupted,
}

/// What hyper has to be polled for.
type Driver<S> = http1::Connection<TokioIo<Watched<S>>, UpstreamBody>;

/// A connection over a stream of the network's.
pub struct UpstreamConnection<S: AsyncRead + AsyncWrite + Unpin + 'static> {
    sender: SendRequest<UpstreamBody>,
    /// `None` once it is over.
    driver: Option<Driver<S>>,
    /// Whether bytes wait that the peer had no room for.
    owes: Rc<Cell<bool>>,
}

/// A stream that notes whether its peer took all that was written.
struct Watched<S> {
    stream: S,
    owes: Rc<Cell<bool>>,
}

impl<S: AsyncWrite + Unpin> Watched<S> {
    fn note(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        self.owes.set(written.is_pending());
        written
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Watched<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, to)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Watched<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.note(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.note(written)
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
    /// A connection that is up, at its start.
    ///
    /// # Errors
    /// hyper takes no such stream.
    pub async fn handshake(stream: S) -> io::Result<UpstreamConnection<S>> {
        // Guards the memory against heads that do not end.
        let mut builder = http1::Builder::new();
        builder.max_buf_size(HEAD_LIMIT);
        let owes = Rc::new(Cell::new(false));
        let watched = Watched { stream, owes: owes.clone() };
        let (sender, driver) = builder.handshake(TokioIo::new(watched)).await.map_err(io::Error::other)?;
        Ok(UpstreamConnection { sender, driver: Some(driver), owes })
    }

    /// Sends one request and waits for its whole answer, of `most` bytes at the most.
    ///
    /// # Errors
    /// There is no whole answer; how much of the request may have been written.
    pub async fn exchange(
        &mut self,
        request: Request<impl Into<UpstreamBody>>,
        most: usize,
    ) -> Result<Response<Bytes>, ConnectionError> {
        let (head, body) = self.send(request).await?.into_parts();
        Ok(Response::from_parts(head, self.collect(body, most).await?))
    }

    /// The whole body of an answer that has begun, of `most` bytes at the most.
    ///
    /// # Errors
    /// The body was cut short, or is longer.
    pub async fn collect(&mut self, body: Incoming, most: usize) -> Result<Bytes, ConnectionError> {
        let driver = &mut self.driver;
        if body.size_hint().lower() > most as u64 {
            return Err(ConnectionError::Interrupted);
        }
        let mut collected = pin!(drive(driver, Limited::new(body, most).collect()));
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

    /// Sends one request and waits for the head of its answer.
    ///
    /// # Errors
    /// As [`exchange`](Connection::exchange).
    pub async fn send(
        &mut self,
        request: Request<impl Into<UpstreamBody>>,
    ) -> Result<Response<Incoming>, ConnectionError> {
        let UpstreamConnection { sender, driver, .. } = self;
        let request = request.map(Into::into);
        // hyper hands a request back only if it never began to write it.
        let answer = sender.try_send_request(request);
        drive(driver, answer).await.map_err(|mut error| match error.take_message() {
            Some(_) => ConnectionError::Unsent,
            None => ConnectionError::Interrupted,
        })
    }

    /// The whole body of an answer that has begun, of `most` bytes at the most; `None` if it is longer.
    ///
    /// # Errors
    /// The body was cut short.
    pub async fn read_to_end(
        &mut self,
        body: Incoming,
        most: usize,
    ) -> Result<Option<Bytes>, ConnectionError> {
        match drive_on(&mut self.driver, Limited::new(body, most).collect()).await {
            Ok(body) => Ok(Some(body.to_bytes())),
            Err(error) if error.is::<LengthLimitError>() => Ok(None),
            Err(_) => Err(ConnectionError::Interrupted),
        }
    }

    /// What comes next of a body that has begun; `None` at its end.
    ///
    /// # Errors
    /// The body was cut short.
    pub async fn next_chunk(&mut self, body: &mut Incoming) -> Result<Option<Bytes>, ConnectionError> {
        loop {
            match drive_on(&mut self.driver, body.frame()).await {
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

    /// Whether the connection stands and can take a request. Guards against sending into a connection
    /// that the peer has closed while it was idle: polling it sees the end that has come in meanwhile. Nor is one of use on
    /// which the rest of an earlier request is still due: a peer may answer before it has read all of it.
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
        self.driver.is_some() && self.sender.is_ready() && !self.owes.get()
    }
}

/// As [`drive`], taking in all that has come before others have their turn: hyper hands a body on in steps, and
/// between two of them its task would stand behind the others. Guards news against requests that came later.
async fn drive_on<S: AsyncRead + AsyncWrite + Unpin + 'static, T>(
    driver: &mut Option<Driver<S>>,
    work: impl Future<Output = T>,
) -> T {
    const STEPS: u32 = 4;
    let mut work = pin!(drive(driver, work));
    poll_fn(|context| {
        (0..STEPS).map(|_| work.as_mut().poll(context)).find(Poll::is_ready).unwrap_or(Poll::Pending)
    })
    .await
}

/// Waits for `work`, which the connection has to be driven for.
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
