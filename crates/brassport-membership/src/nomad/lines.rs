//! Cuts a stream of bytes into lines of a bounded length.

/// A line is longer than allowed; the stream cannot be followed any further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TooLong;

/// The bytes of the line that has begun.
#[derive(Debug)]
pub struct Lines {
    begun: Vec<u8>,
    most: usize,
}

impl Lines {
    /// Lines of `most` bytes at the most, without their end.
    pub fn new(most: usize) -> Lines {
        Lines { begun: Vec::new(), most }
    }

    /// Takes in bytes and calls `each` for every whole line that is not empty.
    ///
    /// # Errors
    /// A line is too long. No byte of it is held any longer.
    pub fn push(&mut self, mut bytes: &[u8], mut each: impl FnMut(&[u8])) -> Result<(), TooLong> {
        loop {
            let end = bytes.iter().position(|byte| *byte == b'\n');
            let part = &bytes[..end.unwrap_or(bytes.len())];
            // Guards the memory against a line without an end.
            if self.begun.len() + part.len() > self.most {
                self.begun = Vec::new();
                return Err(TooLong);
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

    /// Bytes held of a line that has not ended.
    pub fn held(&self) -> usize {
        self.begun.len()
    }
}
