//! What identifies an operator's order: the same order sent again has the same digest, on every machine and in every life.

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use std::fmt;

/// Bytes of a digest that are kept: 128 bits of SHA-256.
const KEPT_BYTES: usize = 16;

/// A digest of an order: the method, the version it builds on, and its body.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderDigest([u8; KEPT_BYTES]);

impl OrderDigest {
    /// The digest of an order as it was sent; `is_whole`: it replaces the configuration.
    pub fn of(is_whole: bool, built_on: u32, body: &[u8]) -> OrderDigest {
        let mut hasher = Sha256::new();
        hasher.update([u8::from(is_whole)]);
        hasher.update(built_on.to_be_bytes());
        hasher.update(body);
        let mut kept = [0; KEPT_BYTES];
        kept.copy_from_slice(&hasher.finalize()[..KEPT_BYTES]);
        OrderDigest(kept)
    }
}

impl fmt::Debug for OrderDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl Serialize for OrderDigest {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for OrderDigest {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<OrderDigest, D::Error> {
        struct Bytes;
        impl de::Visitor<'_> for Bytes {
            type Value = OrderDigest;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{KEPT_BYTES} bytes")
            }
            fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<OrderDigest, E> {
                bytes.try_into().map(OrderDigest).map_err(|_| E::invalid_length(bytes.len(), &self))
            }
        }
        from.deserialize_bytes(Bytes)
    }
}
