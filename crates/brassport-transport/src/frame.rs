//! Frames. Each contains one value, encoded as CBOR (RFC 8949).

use serde::{de::DeserializeOwned, Serialize};

/// Maximum length of a frame in bytes. The complete replicated state of a large site has several hundred kilobytes; a
/// longer length is treated as corrupt.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Initial capacity of a frame's buffer in bytes: most messages fit without reallocation.
const INITIAL_CAPACITY_BYTES: usize = 256;

/// Encodes a value as a frame.
///
/// The `Serialize` implementation of the value must not fail: an error truncates the frame, and the receiver rejects
/// it.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(INITIAL_CAPACITY_BYTES);
    // Writing to a vector can't fail.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes
}

/// Decodes the value of a frame; `None` if the bytes are not a valid value of this type. Bytes after the value are
/// ignored.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}
