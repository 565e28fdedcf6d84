//! Codec of the simulator's wire format: converts frames, records and settings to and from the types of
//! [`crate::interface`], without decisions.
//!
//! All numbers are big-endian. A frame to the adapter contains the clock and event records of
//! [`EVENT_RECORD_BYTES`] bytes each; a frame from the adapter contains action records of
//! [`ACTION_RECORD_BYTES`] bytes each. Both end with a tail of texts and lists, to which records refer by
//! offset.

mod event;
mod frame;
mod reply;
mod settings;

pub use event::WireEvent;
pub use frame::Batch;
pub use reply::Reply;
pub use settings::parse_settings;

use std::fmt;
use std::io;

/// Size of an event record, in bytes.
pub const EVENT_RECORD_BYTES: usize = 48;
/// Size of an action record, in bytes.
pub const ACTION_RECORD_BYTES: usize = 24;

/// An error while reading or decoding the input.
#[derive(Debug)]
pub enum WireError {
    /// The input could not be read.
    Io(io::Error),
    /// The input violates the format; the text describes the violation.
    Malformed(String),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Io(error) => write!(f, "cannot read the input: {error}"),
            WireError::Malformed(text) => write!(f, "malformed input: {text}"),
        }
    }
}

impl std::error::Error for WireError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            WireError::Io(error) => Some(error),
            WireError::Malformed(_) => None,
        }
    }
}

fn malformed<T>(text: impl Into<String>) -> Result<T, WireError> {
    Err(WireError::Malformed(text.into()))
}
