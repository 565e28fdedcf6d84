//! A connection to a faulty backend: which responses are complete, and which connections must not be reused.

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
use test_case::test_case;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// One action of a backend on its side of the connection. After the last step, the backend sends nothing.
#[derive(Clone, Copy)]
enum Step {
    Sends(&'static str),
    Resets,
    Closes,
}

/// A backend that executes its steps after it has read `starts_after` bytes, and reads at most `max_bytes`.
struct Backend {
    steps: VecDeque<Step>,
    starts_after: usize,
    max_bytes: usize,
    read: usize,
}

impl Backend {
    fn new(starts_after: usize, max_bytes: usize, steps: &[Step]) -> Backend {
        Backend { steps: steps.iter().copied().collect(), starts_after, max_bytes, read: 0 }
    }
}

impl AsyncRead for Backend {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read < self.starts_after {
            return Poll::Pending;
        }
        // A closed connection stays closed.
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
        let taken = bytes.len().min(self.max_bytes - self.read);
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

/// Runs a future that only polls this module's backend, which needs no wakeups.
fn run<T>(work: impl Future<Output = T>) -> T {
    let mut work = Box::pin(work);
    let waker = futures_util::task::noop_waker();
    let mut context = Context::from_waker(&waker);
    let ended = (0..1_000).find_map(|_| match work.as_mut().poll(&mut context) {
        Poll::Ready(ended) => Some(ended),
        Poll::Pending => None,
    });
    ended.expect("the future completes within 1000 polls")
}

/// A request with a body of this many bytes.
fn request(body_bytes: usize) -> Request<UpstreamBody> {
    let body = Full::new(Bytes::from(vec![b'x'; body_bytes]));
    Request::post("/").header("host", "b").body(body.into()).expect("a valid request")
}

/// A limit that the backend never reaches.
const UNLIMITED: usize = 1 << 20;
const COMPLETE: &str = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhello";

#[test]
fn a_connection_is_reusable_after_a_complete_response() {
    run(async {
        let mut connection =
            UpstreamConnection::handshake(Backend::new(1, UNLIMITED, &[Step::Sends(COMPLETE)]))
                .await
                .unwrap();
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
            UpstreamConnection::handshake(Backend::new(1, UNLIMITED, &[Step::Sends(surplus)])).await.unwrap();
        let response = connection.exchange(request(3), 100).await.unwrap();
        assert_eq!(&response.body()[..], b"hello", "the first response must be complete");
        assert!(!connection.is_reusable().await);
    });
}

#[test]
fn a_connection_with_an_unsolicited_response_while_idle_is_not_reusable() {
    run(async {
        let steps = [Step::Sends(COMPLETE), Step::Sends(COMPLETE)];
        let mut connection = UpstreamConnection::handshake(Backend::new(1, UNLIMITED, &steps)).await.unwrap();
        connection.exchange(request(3), 100).await.unwrap();
        assert!(!connection.is_reusable().await);
    });
}

/// The backend responds to a long request before it has read all of it. The remainder of the request is still
/// unwritten, so no other request may be sent on the connection.
#[test]
fn a_connection_with_an_incompletely_written_request_is_not_reusable() {
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
        let mut connection = UpstreamConnection::handshake(Backend::new(1, UNLIMITED, &steps)).await.unwrap();
        let response = connection.exchange(request(3), 100).await.unwrap();
        assert_eq!(&response.body()[..], b"all of it");
        assert!(!connection.is_reusable().await);
    });
}

#[test]
fn a_response_without_length_is_incomplete_after_a_reset() {
    run(async {
        let steps = [Step::Sends("HTTP/1.1 200 OK\r\n\r\nall of "), Step::Resets];
        let mut connection = UpstreamConnection::handshake(Backend::new(1, UNLIMITED, &steps)).await.unwrap();
        assert_eq!(connection.exchange(request(3), 100).await.unwrap_err(), ConnectionError::Interrupted);
        assert!(!connection.is_reusable().await);
    });
}

#[test]
fn a_request_that_was_written_and_reset_is_never_reported_as_unsent() {
    run(async {
        let mut connection =
            UpstreamConnection::handshake(Backend::new(1, UNLIMITED, &[Step::Resets])).await.unwrap();
        assert_eq!(connection.exchange(request(3), 100).await.unwrap_err(), ConnectionError::Interrupted);
        assert!(!connection.is_reusable().await);
    });
}

#[test]
fn a_request_on_a_closed_connection_is_reported_as_unsent() {
    run(async {
        let mut connection =
            UpstreamConnection::handshake(Backend::new(0, UNLIMITED, &[Step::Closes])).await.unwrap();
        assert!(!connection.is_reusable().await);
        assert_eq!(connection.exchange(request(3), 100).await.unwrap_err(), ConnectionError::Unsent);
    });
}

/// A socket that takes this many bytes and then fails to write. It receives nothing.
struct FailingSocket {
    bytes_left: usize,
}

impl AsyncRead for FailingSocket {
    fn poll_read(self: Pin<&mut Self>, _: &mut Context<'_>, _: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Poll::Pending
    }
}

impl AsyncWrite for FailingSocket {
    fn poll_write(mut self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let taken = bytes.len().min(self.bytes_left);
        self.bytes_left -= taken;
        Poll::Ready(if taken > 0 { Ok(taken) } else { Err(io::ErrorKind::BrokenPipe.into()) })
    }
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

#[test_case(0 => ConnectionError::Unsent; "no byte was written")]
#[test_case(1 => ConnectionError::Interrupted; "one byte was written")]
fn a_request_whose_write_fails_is_unsent_only_before_its_first_byte(bytes_left: usize) -> ConnectionError {
    run(async {
        let mut connection = UpstreamConnection::handshake(FailingSocket { bytes_left }).await.unwrap();
        connection.exchange(request(3), 100).await.unwrap_err()
    })
}
