//! Decoder of frames of event records.

use super::event::{decode, WireEvent};
use super::{malformed, WireError, EVENT_RECORD_BYTES};
use std::io::Read;

/// Size of a frame header, which contains the clock and the length of the rest, in bytes.
const HEADER_BYTES: usize = 12;
/// Maximum length in a frame header, in bytes; a greater length is treated as corrupt.
const MAX_FRAME_BYTES: u32 = 1 << 30;

/// A frame of event records.
#[derive(Debug)]
pub struct Batch {
    /// Time of the events on the host's clock, in milliseconds.
    pub clock: f64,
    /// Number of event records in the frame.
    pub count: usize,
    body: Vec<u8>,
}

impl Batch {
    /// Reads one frame; `None` at the end of the input.
    ///
    /// # Errors
    /// Fails on a read error, and on a frame that is truncated or has inconsistent lengths.
    pub fn read(input: &mut impl Read) -> Result<Option<Batch>, WireError> {
        let mut header = Vec::with_capacity(HEADER_BYTES);
        input.by_ref().take(HEADER_BYTES as u64).read_to_end(&mut header).map_err(WireError::Io)?;
        if header.is_empty() {
            return Ok(None);
        }
        let (clock, length) = decode_header(&header)?;
        let mut body = Vec::new();
        input.by_ref().take(u64::from(length)).read_to_end(&mut body).map_err(WireError::Io)?;
        if body.len() < length as usize {
            return malformed(format!("frame cut short after {} of {length} bytes", body.len()));
        }
        let count = Record(&body).u32(0) as usize;
        if count > (body.len() - 4) / EVENT_RECORD_BYTES {
            return malformed(format!("{count} records do not fit a frame of {length} bytes"));
        }
        Ok(Some(Batch { clock, count, body }))
    }

    /// Decodes the record at `index`.
    ///
    /// # Errors
    /// Fails on an unknown code, a number that is not finite, or a reference outside the tail.
    ///
    /// # Panics
    /// If `index` is not below `count`.
    pub fn event(&self, index: usize) -> Result<(u16, WireEvent), WireError> {
        let start = 4 + index * EVENT_RECORD_BYTES;
        let tail = &self.body[4 + self.count * EVENT_RECORD_BYTES..];
        decode(&self.body[start..start + EVENT_RECORD_BYTES], tail)
    }
}

/// Decodes the clock, and the length of the rest of the frame in bytes.
fn decode_header(header: &[u8]) -> Result<(f64, u32), WireError> {
    if header.len() < HEADER_BYTES {
        return malformed(format!("frame header cut short after {} of 16 bytes", header.len()));
    }
    let header = Record(header);
    let clock = header.f64(0);
    let length = header.u32(8);
    if !clock.is_finite() {
        return malformed("the clock is not a finite number");
    }
    if !(4..=MAX_FRAME_BYTES).contains(&length) {
        return malformed(format!("frame length {length} is outside 4 to {MAX_FRAME_BYTES}"));
    }
    Ok((clock, length))
}

/// Reads big-endian fields from a slice whose length has been checked; panics on an offset outside of it.
pub(super) struct Record<'a>(pub(super) &'a [u8]);

impl Record<'_> {
    /// The `N` bytes at offset `at`.
    fn take<const N: usize>(&self, at: usize) -> [u8; N] {
        let mut bytes = [0; N];
        bytes.copy_from_slice(&self.0[at..at + N]);
        bytes
    }

    pub(super) fn u8(&self, at: usize) -> u8 {
        self.0[at]
    }

    pub(super) fn u16(&self, at: usize) -> u16 {
        u16::from_be_bytes(self.take(at))
    }

    pub(super) fn u32(&self, at: usize) -> u32 {
        u32::from_be_bytes(self.take(at))
    }

    pub(super) fn u64(&self, at: usize) -> u64 {
        u64::from_be_bytes(self.take(at))
    }

    pub(super) fn f32(&self, at: usize) -> f64 {
        f64::from(f32::from_be_bytes(self.take(at)))
    }

    pub(super) fn f64(&self, at: usize) -> f64 {
        f64::from_be_bytes(self.take(at))
    }

    /// Returns the part of the tail that the reference at offset `at` refers to. A reference consists of an
    /// offset in bytes and a length in units of `unit` bytes. `what` names the field in errors.
    pub(super) fn tail<'t>(
        &self,
        at: usize,
        unit: usize,
        tail: &'t [u8],
        what: &str,
    ) -> Result<&'t [u8], WireError> {
        let (from, length) = (self.u32(at) as usize, self.u32(at + 4) as usize);
        match from.checked_add(length.saturating_mul(unit)).and_then(|end| tail.get(from..end)) {
            Some(slice) => Ok(slice),
            None => {
                malformed(format!("{what}: reference {from}+{length} lies outside a tail of {}", tail.len()))
            }
        }
    }
}
