//! Frames: one value each, encoded as CBOR (RFC 8949).

use serde::{de::DeserializeOwned, Serialize};

/// Longest frame that links carry, in bytes. The complete replicated state of a large site has some hundred kilobytes; a
/// length above this one is no frame's.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Capacity of a new frame, in bytes: most messages fit without another allocation.
const INITIAL_CAPACITY_BYTES: usize = 256;

/// The bytes of a value.
///
/// The value's `Serialize` must not fail of itself: a failure ends the frame early, and the receiver rejects it.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(INITIAL_CAPACITY_BYTES);
    // To write to a vector can't fail.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes
}

/// The value of a frame; `None` if the bytes are not of this type. Bytes behind the value are ignored.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
