//! Frames: values as CBOR.

use serde::{de::DeserializeOwned, Serialize};

/// Most bytes of a frame: a whole state of a large site has some hundred kilobytes.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// A value's bytes.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    // A vector takes all that is written to it.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes
}

/// The value; `None` if the bytes are none of its kind.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
