//! One connection to a backend in trouble: whose answer is whose, what counts as whole, and which connection is never used
//! again.

use brassport_proxy::body::UpstreamBody;
use brassport_proxy::upstream::{ConnectionError, UpstreamConnection};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::Request;
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What a backend does with its side of the connection, one after another; behind the last it is silent.
#[derive(Clone, Copy)]
enum Does {
    Sends(&'static str),
    Resets,
    Closes,
}

/// A backend that does what it is told as soon as it has read so many bytes, and takes no more bytes than it has room for.
struct Backend {
    steps: VecDeque<Does>,
    after: usize,
    room: usize,
    read: usize,
}

impl Backend {
    fn new(after: usize, room: usize, steps: &[Does]) -> Backend {
        Backend { steps: steps.iter().copied().collect(), after, room, read: 0 }
    }
}

impl AsyncRead for Backend {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read < self.after {
            return Poll::Pending;
        }
        // A connection that was closed stays so.
        if let Some(Does::Closes) = self.steps.front() {
            return Poll::Ready(Ok(()));
        }
        match self.steps.pop_front() {
            None | Some(Does::Closes) => Poll::Pending,
            Some(Does::Resets) => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            Some(Does::Sends(text)) => {
                to.put_slice(text.as_bytes());
                Poll::Ready(Ok(()))
            }
        }
    }
}

impl AsyncWrite for Backend {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let taken = bytes.len().min(self.room - self.read);
        self.read += taken;
        match taken {
            0 => Poll::Pending,
            _ => Poll::Ready(Ok(taken)),
        }
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Runs to its end what never has to wait for anybody else.
fn run<T>(work: impl Future<Output = T>) -> T {
    let mut work = Box::pin(work);
    let waker = futures_util::task::noop_waker();
    let mut context = Context::from_waker(&waker);
    let ended = (0..1_000).find_map(|_| match work.as_mut().poll(&mut context) {
        Poll::Ready(ended) => Some(ended),
        Poll::Pending => None,
    });
    ended.expect("it ends")
}

fn request(body: usize) -> Request<UpstreamBody> {
    let body = Full::new(Bytes::from(vec![b'x'; body]));
    Request::post("/").header("host", "b").body(body.into()).expect("a request")
}

const ROOM: usize = 1 << 20;
const WHOLE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";

#[test]
fn a_connection_that_brought_a_whole_answer_serves_again() {
    run(async {
        let mut connection =
            UpstreamConnection::handshake(Backend::new(1, ROOM, &[Does::Sends(WHOLE)])).await.unwrap();
        let answer = connection.exchange(request(3), 100).await.unwrap();
        assert_eq!(&answer.body()[..], b"hello");
        assert!(connection.is_reusable().await);
    });
}

#[test]
fn one_with_bytes_behind_the_answer_does_not() {
    run(async {
        let surplus =
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n!";
        let mut connection =
            UpstreamConnection::handshake(Backend::new(1, ROOM, &[Does::Sends(surplus)])).await.unwrap();
        let answer = connection.exchange(request(3), 100).await.unwrap();
        assert_eq!(&answer.body()[..], b"hello", "the first answer is whole");
        assert!(!connection.is_reusable().await);
    });
}

#[test]
fn nor_one_whose_surplus_answer_comes_while_it_is_idle() {
    run(async {
        let steps = [Does::Sends(WHOLE), Does::Sends(WHOLE)];
        let mut connection = UpstreamConnection::handshake(Backend::new(1, ROOM, &steps)).await.unwrap();
        connection.exchange(request(3), 100).await.unwrap();
        assert!(!connection.is_reusable().await);
    });
}

/// The backend answers a long request before it has read all of it, and reads on: bytes of the rest are due on the
/// connection, so nothing else may go there.
#[test]
fn nor_one_that_answered_with_the_rest_of_a_body_still_owed() {
    run(async {
        let early = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nearly";
        let mut connection =
            UpstreamConnection::handshake(Backend::new(4_000, 5_000, &[Does::Sends(early)])).await.unwrap();
        let answer = connection.exchange(request(300_000), 100).await.unwrap();
        assert_eq!(&answer.body()[..], b"early");
        assert!(!connection.is_reusable().await);
    });
}

#[test]
fn an_answer_without_length_is_whole_at_the_end_of_its_connection() {
    run(async {
        let steps = [Does::Sends("HTTP/1.1 200 OK\r\n\r\nall of "), Does::Sends("it"), Does::Closes];
        let mut connection = UpstreamConnection::handshake(Backend::new(1, ROOM, &steps)).await.unwrap();
        let answer = connection.exchange(request(3), 100).await.unwrap();
        assert_eq!(&answer.body()[..], b"all of it");
        assert!(!connection.is_reusable().await);
    });
}

#[test]
fn and_is_not_when_it_is_reset_on_the_way() {
    run(async {
        let steps = [Does::Sends("HTTP/1.1 200 OK\r\n\r\nall of "), Does::Resets];
        let mut connection = UpstreamConnection::handshake(Backend::new(1, ROOM, &steps)).await.unwrap();
        assert_eq!(connection.exchange(request(3), 100).await.unwrap_err(), ConnectionError::Interrupted);
        assert!(!connection.is_reusable().await);
    });
}

#[test]
fn a_request_that_was_written_and_reset_is_never_said_to_be_unsent() {
    run(async {
        let mut connection =
            UpstreamConnection::handshake(Backend::new(1, ROOM, &[Does::Resets])).await.unwrap();
        assert_eq!(connection.exchange(request(3), 100).await.unwrap_err(), ConnectionError::Interrupted);
        assert!(!connection.is_reusable().await);
    });
}

#[test]
fn one_on_a_connection_that_was_closed_before_it_is() {
    run(async {
        let mut connection =
            UpstreamConnection::handshake(Backend::new(0, ROOM, &[Does::Closes])).await.unwrap();
        assert!(!connection.is_reusable().await);
        assert_eq!(connection.exchange(request(3), 100).await.unwrap_err(), ConnectionError::Unsent);
    });
}
