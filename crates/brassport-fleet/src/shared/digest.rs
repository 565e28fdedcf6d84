//! Digests of changes and of the versions that they make.

use super::Change;
use serde::Serialize;
use sha2::{Digest as _, Sha256};

/// Serializes a value as JSON, the form over which digests are computed.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("plain data serializes as JSON")
}

/// The digest of a change's content, independent of the time at which it was accepted.
pub(super) fn of_content(change: &Change) -> String {
    hexadecimal(&Sha256::digest(encode(&Change { at_ms: 0, ..change.clone() })))
}

/// The digest of the version that `change` makes, where `before` is the digest of the version before.
pub(super) fn of_version(before: &str, change: &Change) -> String {
    let mut hasher = Sha256::new();
    hasher.update(before.as_bytes());
    hasher.update(encode(change));
    hexadecimal(&hasher.finalize())
}

/// Formats each byte as two lower-case hexadecimal digits.
pub fn hexadecimal(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
