//! Digests of changes and of the versions that they make.

use super::Change;
use serde::Serialize;
use sha2::{Digest as _, Sha256};

/// The bytes of a value as JSON, as they are digested.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("plain data has a form in JSON")
}

/// The digest of a change's content, whenever it was accepted.
pub(super) fn of_content(change: &Change) -> String {
    hexadecimal(&Sha256::digest(encode(&Change { at_ms: 0, ..change.clone() })))
}

/// The digest of the version that a change makes after the version of this digest.
pub(super) fn of_version(before: &str, change: &Change) -> String {
    let mut hasher = Sha256::new();
    hasher.update(before.as_bytes());
    hasher.update(encode(change));
    hexadecimal(&hasher.finalize())
}

/// Bytes as text of two lower-case hexadecimal digits each.
pub fn hexadecimal(bytes: &[u8]) -> String {
    use std::fmt::Write;
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}
