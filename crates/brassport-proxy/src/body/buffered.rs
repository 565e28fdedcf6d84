//! Reads the body of a client's request into memory, up to the buffer limit.

use super::data_rate::DataRateMonitor;
use super::{MAX_BODY_BYTES, MAX_BUFFERED_BYTES};
use crate::clock::Clock;
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Incoming};
use std::fmt;
use std::time::Duration;

/// Why reading a request body failed. The cause is on the client's side. Nothing has been sent to a backend, so the
/// client may safely retry the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// The connection was lost before the end of the body, or the received bytes are not valid HTTP.
    Incomplete,
    /// The body arrived below the minimum data rate (see [`data_rate`](super::data_rate)).
    TooSlow,
    /// The declared length exceeds [`MAX_BODY_BYTES`].
    TooLong,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ReadError::Incomplete => "the body is incomplete",
            ReadError::TooSlow => "the body arrived below the minimum data rate",
            ReadError::TooLong => "the declared body length exceeds the limit",
        })
    }
}

impl std::error::Error for ReadError {}

/// The result of [`read_body`].
#[derive(Debug, PartialEq, Eq)]
pub enum ReadBody {
    /// The complete body.
    Complete(Bytes),
    /// The first bytes of a body that exceeds the buffer limit; the remainder has not been read.
    Partial(Bytes),
}

/// Reads a body to its end, or until more than [`MAX_BUFFERED_BYTES`] have been received, and enforces the minimum
/// data rate.
///
/// # Errors
/// The body was truncated, arrived too slowly, or declares a length beyond [`MAX_BODY_BYTES`].
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
            // Most bodies arrive in a single chunk and are not copied.
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

/// Returns the next bytes of a body, or `None` at its end.
async fn next_chunk<C: Clock>(
    clock: &C,
    body: &mut Incoming,
    data_rate: &mut DataRateMonitor,
) -> Result<Option<Bytes>, ReadError> {
    loop {
        let (since, read_timeout) = (clock.now(), data_rate.read_timeout());
        if read_timeout == Duration::ZERO {
            return Err(ReadError::TooSlow);
        }
        let frame = match clock.timeout(read_timeout, body.frame()).await {
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
