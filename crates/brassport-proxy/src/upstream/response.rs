//! Reads the body of a response: completely if it is short, else forwarded as it arrives.

use super::connection::{ConnectionError, UpstreamConnection};
use crate::body::{BodySender, MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use crate::clock::Clock;
use hyper::body::{Body, Bytes, Incoming};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};

/// How long a response of unknown length is held back to see whether it is short: one that breaks off before it is
/// forwarded can still be retried.
const BUFFER_TIMEOUT: Duration = Duration::from_millis(50);
/// How long either side of a response that has begun may stall.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Whether a response may be forwarded before all of it has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Forwarding {
    /// It serves the client: once it is known to be long it is forwarded as it arrives.
    WhileArriving,
    /// It may yet be replaced by that of another attempt: it is read completely.
    OnceComplete,
}

/// The body of a response, as far as it was read.
pub(super) enum ReceivedBody {
    /// All of it.
    Complete(Bytes),
    /// The first bytes of a long one, and the rest, which is still to come.
    Partial { first: Bytes, rest: Incoming },
}

/// Reads the body of a response until it is complete or known to be long.
///
/// # Errors
/// It was cut short, or is longer than any body may be.
pub(super) async fn receive<S: AsyncRead + AsyncWrite + Unpin + 'static>(
    clock: &impl Clock,
    connection: &mut UpstreamConnection<S>,
    forwarding: Forwarding,
    body: Incoming,
) -> Result<ReceivedBody, ConnectionError> {
    let hint = body.size_hint();
    let is_short = hint.upper().is_some_and(|most| most <= MAX_BUFFERED_BYTES as u64);
    if forwarding == Forwarding::OnceComplete || is_short {
        return connection.collect(body, MAX_BUFFERED_BYTES).await.map(ReceivedBody::Complete);
    }
    match hint.exact() {
        // Guards against a length that makes no sense.
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
            // With nothing to forward there is nothing to gain.
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

/// Forwards a response as it arrives, for as long as its client takes it. Returns whether all of it came, and its
/// connection may be used again. Otherwise `sender` is dropped unfinished, and the client sees that the response is
/// incomplete.
pub(super) async fn forward<S: AsyncRead + AsyncWrite + Unpin + 'static>(
    clock: &impl Clock,
    connection: &mut UpstreamConnection<S>,
    first: Bytes,
    mut rest: Incoming,
    sender: BodySender,
) -> bool {
    let mut next = Some(first);
    while let Some(bytes) = next {
        // Guards against a client that takes nothing and keeps a backend's connection.
        if clock.timeout(STALL_TIMEOUT, sender.send(bytes)).await != Some(true) {
            return false;
        }
        let more = clock.timeout(STALL_TIMEOUT, connection.next_chunk(&mut rest));
        next = tokio::select! {
            biased;
            more = more => match more {
                Some(Ok(next)) => next,
                Some(Err(_)) | None => return false,
            },
            // Guards against a backend that works on, and says nothing meanwhile, for a client that has left.
            () = sender.closed() => return false,
        };
    }
    let _ = clock.timeout(STALL_TIMEOUT, sender.finish()).await;
    true
}
