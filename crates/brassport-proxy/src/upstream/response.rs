//! Checks the head of a response and reads its body: a short one is buffered, a long one is streamed to the client.

use super::connection::{ConnectionError, UpstreamConnection};
use crate::body::{BodySender, MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use crate::clock::Clock;
use crate::deadline::ResettableDeadline;
use hyper::body::{Body, Bytes, Incoming};
use hyper::ext::ReasonPhrase;
use hyper::http::response::Parts;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};

/// How long a response of unknown length is buffered before it is streamed. A request whose response breaks off before
/// any of it was forwarded can still be retried.
const BUFFER_TIMEOUT: Duration = Duration::from_millis(50);
/// Maximum time without progress of a streamed response: on the client's side, and on the backend's side after the
/// deadline of the request.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Whether the head of a response contains the status line of another one. A backend may send the beginning of a surplus
/// response and break it off; the first line of the next response then continues a line of the surplus head, and the
/// result has the status of one response and the headers of the other.
pub(super) fn contains_second_status_line(head: &Parts) -> bool {
    let in_reason =
        head.extensions.get::<ReasonPhrase>().is_some_and(|reason| has_status_line(reason.as_bytes()));
    in_reason || head.headers.values().any(|value| has_status_line(value.as_bytes()))
}

/// Whether the text contains `HTTP/1.x` and a status code.
fn has_status_line(text: &[u8]) -> bool {
    const VERSION: &[u8] = b"HTTP/1.";
    const LENGTH: usize = b"HTTP/1.1 200".len();
    text.windows(LENGTH).any(|line| {
        let is_digit = |at: usize| line[at].is_ascii_digit();
        line.starts_with(VERSION) && line[8] == b' ' && [7, 9, 10, 11].into_iter().all(is_digit)
    })
}

/// Whether a response may be forwarded before it is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ReceiveMode {
    /// The response is final: a long one is streamed to the client.
    MayStream,
    /// The response may be replaced by that of another attempt, so it is always buffered.
    Buffer,
}

/// The part of a response's body that has been read.
pub(super) enum ReceivedBody {
    /// The complete body.
    Complete(Bytes),
    /// The first bytes of a long body, and the unread remainder.
    Partial { first: Bytes, rest: Incoming },
}

/// Reads the body of a response until it is complete or known to exceed the buffer limit.
///
/// # Errors
/// The body was truncated, or exceeds the limit of buffered bodies or of all bodies.
pub(super) async fn receive<S: AsyncRead + AsyncWrite + Unpin + 'static>(
    clock: &impl Clock,
    connection: &mut UpstreamConnection<S>,
    mode: ReceiveMode,
    body: Incoming,
) -> Result<ReceivedBody, ConnectionError> {
    let hint = body.size_hint();
    let is_short = hint.upper().is_some_and(|most| most <= MAX_BUFFERED_BYTES as u64);
    if mode == ReceiveMode::Buffer || is_short {
        return connection.collect(body, MAX_BUFFERED_BYTES).await.map(ReceivedBody::Complete);
    }
    match hint.exact() {
        // An implausible length is treated as a broken response.
        Some(length) if length > MAX_BODY_BYTES => Err(ConnectionError::Interrupted),
        Some(_) => Ok(ReceivedBody::Partial { first: Bytes::new(), rest: body }),
        None => receive_unknown_length(clock, connection, body).await,
    }
}

async fn receive_unknown_length<S: AsyncRead + AsyncWrite + Unpin + 'static>(
    clock: &impl Clock,
    connection: &mut UpstreamConnection<S>,
    mut body: Incoming,
) -> Result<ReceivedBody, ConnectionError> {
    let mut first = Vec::new();
    let until: Instant = clock.now() + BUFFER_TIMEOUT;
    while first.len() <= MAX_BUFFERED_BYTES {
        let next = match clock.timeout_at(until, connection.next_chunk(&mut body)).await {
            Some(next) => next?,
            // Nothing has been received that could be forwarded, so streaming would have no benefit yet.
            None if first.is_empty() => connection.next_chunk(&mut body).await?,
            None => break,
        };
        match next {
            Some(bytes) => first.extend_from_slice(&bytes),
            None => return Ok(ReceivedBody::Complete(first.into())),
        }
    }
    Ok(ReceivedBody::Partial { first: first.into(), rest: body })
}

/// Streams a response to the client. Returns whether the response was forwarded completely, so that its connection can
/// be reused. Otherwise `sender` is dropped without `finish`, and the client detects that the response is incomplete.
///
/// Before its deadline, a request may still be worked on by a backend that sends nothing.
pub(super) async fn forward<S: AsyncRead + AsyncWrite + Unpin + 'static>(
    clock: &impl Clock,
    connection: &mut UpstreamConnection<S>,
    first: Bytes,
    mut rest: Incoming,
    sender: BodySender,
    deadline: &ResettableDeadline,
) -> bool {
    let mut next = Some(first);
    while let Some(bytes) = next {
        // A client that does not read must not occupy a backend's connection indefinitely.
        if clock.timeout(STALL_TIMEOUT, sender.send(bytes)).await != Some(true) {
            return false;
        }
        let until = deadline.at().max(clock.now() + STALL_TIMEOUT);
        let more = clock.timeout_at(until, connection.next_chunk(&mut rest));
        next = tokio::select! {
            biased;
            more = more => match more {
                Some(Ok(next)) => next,
                Some(Err(_)) | None => return false,
            },
            // Detects a disconnected client while the backend sends nothing, so that the backend stops working.
            () = sender.closed() => return false,
        };
    }
    let _ = clock.timeout(STALL_TIMEOUT, sender.finish()).await;
    true
}
