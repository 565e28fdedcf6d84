//! Reads the body of a client's request into memory, as far as it is short.

use super::data_rate::DataRateMonitor;
use super::{MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use crate::clock::Clock;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use std::fmt;
use std::time::Duration;

/// Why a request's body was not read. Its source is downstream; nothing has been sent to a backend, so that its client
/// may send the request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// The connection broke, or what came is not HTTP.
    Incomplete,
    /// It came more slowly than [`data_rate`](super::data_rate) allows.
    TooSlow,
    /// It declares more than [`MAX_BODY_BYTES`].
    TooLong,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReadError::Incomplete => "the body is incomplete",
            ReadError::TooSlow => "the body came too slowly",
            ReadError::TooLong => "the body is too long",
        })
    }
}

impl std::error::Error for ReadError {}

/// What [`read_body`] has read.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadBody {
    /// All of the body.
    Complete(Bytes),
    /// The first bytes of a long body; the rest is still to come.
    Partial(Bytes),
}

/// Reads a body to its end, or until more than [`MAX_BUFFERED_BYTES`] have come, as long as it keeps pace.
///
/// # Errors
/// The body broke off, came too slowly or declares a length that no body may have.
pub async fn read_body<C: Clock>(
    clock: &C,
    body: &mut Incoming,
    data_rate: &mut DataRateMonitor,
) -> Result<ReadBody, ReadError> {
    if body.size_hint().lower() > MAX_BODY_BYTES {
        return Err(ReadError::TooLong);
    }
    let mut first = Bytes::new();
    let mut all = Vec::new();
    loop {
        match next_chunk(clock, body, data_rate).await? {
            None if all.is_empty() => return Ok(ReadBody::Complete(first)),
            None => return Ok(ReadBody::Complete(all.into())),
            // Most bodies are one chunk, and need no copy.
            Some(bytes) if first.is_empty() && all.is_empty() => first = bytes,
            Some(bytes) => {
                if all.is_empty() {
                    all.extend_from_slice(&std::mem::take(&mut first));
                }
                all.extend_from_slice(&bytes);
                if all.len() > MAX_BUFFERED_BYTES {
                    return Ok(ReadBody::Partial(all.into()));
                }
            }
        }
    }
}

/// The next bytes of a body; `None` at its end.
async fn next_chunk<C: Clock>(
    clock: &C,
    body: &mut Incoming,
    data_rate: &mut DataRateMonitor,
) -> Result<Option<Bytes>, ReadError> {
    loop {
        let (since, time_left) = (clock.now(), data_rate.read_timeout());
        if time_left == Duration::ZERO {
            return Err(ReadError::TooSlow);
        }
        let frame = match clock.timeout(time_left, body.frame()).await {
            None => return Err(ReadError::TooSlow),
            Some(None) => return Ok(None),
            Some(Some(frame)) => frame.map_err(|_| ReadError::Incomplete)?,
        };
        // Trailers are not forwarded.
        if let Ok(bytes) = frame.into_data() {
            data_rate.record(clock.now().saturating_duration_since(since), bytes.len());
            return Ok(Some(bytes));
        }
    }
}
