//! One connection to a faulty backend: which response is whose, what counts as complete, and which connection is never
//! reused.

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

/// What a backend does with its side of the connection, one step after another; after the last it is silent.
#[derive(Clone, Copy)]
enum Step {
    Sends(&'static str),
    Resets,
    Closes,
}

/// A backend that executes its steps once it has read so many bytes, and reads no more bytes than it has room for.
struct Backend {
    steps: VecDeque<Step>,
    after: usize,
    room: usize,
    read: usize,
}

impl Backend {
    fn new(after: usize, room: usize, steps: &[Step]) -> Backend {
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
        if let Some(Step::Closes) = self.steps.front() {
            return Poll::Ready(Ok(()));
        }
        match self.steps.pop_front() {
            None | Some(Step::Closes) => Poll::Pending,
            Some(Step::Resets) => Poll::Ready(Err(io::ErrorKind::ConnectionReset.into())),
            Some(Step::Sends(text)) => {
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
const COMPLETE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";

#[test]
fn a_connection_is_reusable_after_a_complete_response() {
    run(async {
        let mut connection =
            UpstreamConnection::handshake(Backend::new(1, ROOM, &[Step::Sends(COMPLETE)])).await.unwrap();
        let response = connection.exchange(request(3), 100).await.unwrap();
        assert_eq!(&response.body()[..], b"hello");
        assert!(connection.is_reusable().await);
    });
}

#[test]
fn a_connection_with_bytes_after_the_response_is_not_reusable() {
    run(async {
        let surplus =
            "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n!";
        let mut connection =
            UpstreamConnection::handshake(Backend::new(1, ROOM, &[Step::Sends(surplus)])).await.unwrap();
        let response = connection.exchange(request(3), 100).await.unwrap();
        assert_eq!(&response.body()[..], b"hello", "the first response is complete");
        assert!(!connection.is_reusable().await);
    });
}

#[test]
fn a_connection_with_an_unsolicited_response_while_idle_is_not_reusable() {
    run(async {
        let steps = [Step::Sends(COMPLETE), Step::Sends(COMPLETE)];
        let mut connection = UpstreamConnection::handshake(Backend::new(1, ROOM, &steps)).await.unwrap();
        connection.exchange(request(3), 100).await.unwrap();
        assert!(!connection.is_reusable().await);
    });
}

/// The backend responds to a long request before it has read all of it, and reads on: the rest has still to be written
/// on the connection, so nothing else may be.
#[test]
fn a_connection_with_the_rest_of_a_request_unwritten_is_not_reusable() {
    run(async {
        let early = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nearly";
        let mut connection =
            UpstreamConnection::handshake(Backend::new(4_000, 5_000, &[Step::Sends(early)])).await.unwrap();
        let response = connection.exchange(request(300_000), 100).await.unwrap();
        assert_eq!(&response.body()[..], b"early");
        assert!(!connection.is_reusable().await);
    });
}

#[test]
fn a_response_without_length_is_complete_at_the_end_of_its_connection() {
    run(async {
        let steps = [Step::Sends("HTTP/1.1 200 OK\r\n\r\nall of "), Step::Sends("it"), Step::Closes];
        let mut connection = UpstreamConnection::handshake(Backend::new(1, ROOM, &steps)).await.unwrap();
        let response = connection.exchange(request(3), 100).await.unwrap();
        assert_eq!(&response.body()[..], b"all of it");
        assert!(!connection.is_reusable().await);
    });
}

#[test]
fn a_response_without_length_is_incomplete_after_a_reset() {
    run(async {
        let steps = [Step::Sends("HTTP/1.1 200 OK\r\n\r\nall of "), Step::Resets];
        let mut connection = UpstreamConnection::handshake(Backend::new(1, ROOM, &steps)).await.unwrap();
        assert_eq!(connection.exchange(request(3), 100).await.unwrap_err(), ConnectionError::Interrupted);
        assert!(!connection.is_reusable().await);
    });
}

#[test]
fn a_request_that_was_written_and_reset_is_never_reported_as_unsent() {
    run(async {
        let mut connection =
            UpstreamConnection::handshake(Backend::new(1, ROOM, &[Step::Resets])).await.unwrap();
        assert_eq!(connection.exchange(request(3), 100).await.unwrap_err(), ConnectionError::Interrupted);
        assert!(!connection.is_reusable().await);
    });
}

#[test]
fn a_request_on_a_connection_that_was_closed_before_is_reported_as_unsent() {
    run(async {
        let mut connection =
            UpstreamConnection::handshake(Backend::new(0, ROOM, &[Step::Closes])).await.unwrap();
        assert!(!connection.is_reusable().await);
        assert_eq!(connection.exchange(request(3), 100).await.unwrap_err(), ConnectionError::Unsent);
    });
}
