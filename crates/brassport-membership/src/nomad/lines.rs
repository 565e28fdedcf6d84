//! Splits a stream of bytes into lines of a bounded length.

use std::fmt;

/// A line is longer than allowed; the stream cannot be followed any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LineTooLong {
    /// The most bytes of a line, without its end.
    pub max_bytes: usize,
}

impl fmt::Display for LineTooLong {
    fn fmt(&self, to: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(to, "a line is longer than {} bytes", self.max_bytes)
    }
}

impl std::error::Error for LineTooLong {}

/// The bytes of the line that has begun.
#[derive(Debug)]
pub struct Lines {
    begun: Vec<u8>,
    max_bytes: usize,
}

impl Lines {
    /// Lines of at most `max_bytes`, without their end.
    pub fn new(max_bytes: usize) -> Lines {
        Lines { begun: Vec::new(), max_bytes }
    }

    /// Appends bytes and calls `each` for every complete line that is not empty.
    ///
    /// # Errors
    /// A line is too long. No byte of it is buffered any longer.
    pub fn push(&mut self, mut bytes: &[u8], mut each: impl FnMut(&[u8])) -> Result<(), LineTooLong> {
        loop {
            let end = bytes.iter().position(|byte| *byte == b'\n');
            let part = &bytes[..end.unwrap_or(bytes.len())];
            // Guards the memory against a line without an end.
            if self.begun.len() + part.len() > self.max_bytes {
                self.begun = Vec::new();
                return Err(LineTooLong { max_bytes: self.max_bytes });
            }
            let Some(end) = end else {
                self.begun.extend_from_slice(part);
                return Ok(());
            };
            if self.begun.is_empty() {
                if !part.is_empty() {
                    each(part);
                }
            } else {
                self.begun.extend_from_slice(part);
                each(&self.begun);
                self.begun.clear();
            }
            bytes = &bytes[end + 1..];
        }
    }

    /// Bytes buffered of a line that has not ended.
    pub fn buffered_bytes(&self) -> usize {
        self.begun.len()
    }
}
