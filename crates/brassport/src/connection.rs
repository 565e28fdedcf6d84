//! One HTTP/1.1 connection to a peer. Whoever holds it drives it: no task of its own stands behind it, so
//! dropping it has closed the socket.

use crate::mutants::mutant;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Bytes};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::future::{poll_fn, Future};
use std::io;
use std::pin::{pin, Pin};
use std::task::Poll;
use tokio::io::{AsyncRead, AsyncWrite};

/// Most bytes of an answer's head.
const HEAD_LIMIT: usize = 16 * 1024;

/// Why an exchange brought no whole answer.
#[derive(Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was written.
    Unsent,
    /// The connection broke, or the answer is not one of HTTP, after some of it may have been written.
    Broken,
}

/// What hyper has to be polled for.
type Driver<S> = http1::Connection<TokioIo<S>, Full<Bytes>>;

/// A connection over a stream of the network's.
pub struct Connection<S: AsyncRead + AsyncWrite + Unpin + 'static> {
    sender: SendRequest<Full<Bytes>>,
    /// `None` once it is over.
    driver: Option<Driver<S>>,
}

impl<S: AsyncRead + AsyncWrite + Unpin + 'static> Connection<S> {
    pub async fn over(stream: S) -> io::Result<Connection<S>> {
        // Guards the memory against heads that do not end.
        let mut builder = http1::Builder::new();
        builder.max_buf_size(HEAD_LIMIT);
        let (sender, driver) = builder.handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        Ok(Connection { sender, driver: Some(driver) })
    }

    /// Sends one request and waits for its whole answer, of `most` bytes at the most.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        most: usize,
    ) -> Result<Response<Bytes>, Failure> {
        let Connection { sender, driver } = self;
        // hyper hands a request back only if it never began to write it.
        let answer = sender.try_send_request(request);
        let answer = drive(driver, answer).await.map_err(|mut error| match error.take_message() {
            Some(_) => Failure::Unsent,
            None => Failure::Broken,
        })?;
        let (head, body) = answer.into_parts();
        if body.size_hint().lower() > most as u64 {
            return Err(Failure::Broken);
        }
        let mut collected = pin!(drive(driver, Limited::new(body, most).collect()));
        if mutant!(ReleaseHalfRead) {
            let first = poll_fn(|context| Poll::Ready(collected.as_mut().poll(context))).await;
            return match first {
                Poll::Ready(Ok(body)) => Ok(Response::from_parts(head, body.to_bytes())),
                _ => Ok(Response::from_parts(head, Bytes::new())),
            };
        }
        let body = collected.await;
        // Guards against serving a body that was cut short: an error of the body is a broken connection.
        let body = body.map_err(|_| Failure::Broken)?.to_bytes();
        Ok(Response::from_parts(head, body))
    }

    /// Whether the connection stands and can take a request. Guards against sending into a connection
    /// that the peer has closed while it was idle: polling it sees the end that has come in meanwhile.
    pub async fn is_usable(&mut self) -> bool {
        poll_fn(|context| {
            if let Some(driver) = &mut self.driver {
                if Pin::new(driver).poll(context).is_ready() {
                    self.driver = None;
                }
            }
            Poll::Ready(())
        })
        .await;
        self.driver.is_some() && self.sender.is_ready()
    }
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
