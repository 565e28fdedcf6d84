//! Encodes bodies as byte strings (`#[serde(with = "bytes")]`). By default serde encodes a `Vec<u8>` as a list of
//! numbers.

use serde::{de, Deserializer, Serializer};
use std::fmt;
use std::sync::Arc;

/// Serializes a body as one byte string.
pub fn serialize<S: Serializer>(body: &Arc<Vec<u8>>, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(body)
}

/// Deserializes a body from one byte string.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<Vec<u8>>, D::Error> {
    struct Body;
    impl<'de> de::Visitor<'de> for Body {
        type Value = Arc<Vec<u8>>;
        fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            f.write_str("bytes")
        }
        fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Self::Value, E> {
            Ok(Arc::new(bytes.to_vec()))
        }
        fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<Self::Value, E> {
            Ok(Arc::new(bytes))
        }
    }
    deserializer.deserialize_byte_buf(Body)
}
