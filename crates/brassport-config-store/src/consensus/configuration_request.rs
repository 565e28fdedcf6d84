//! An operator's request to change the configuration, and the digest that identifies it. A repeated request has the
//! same digest on every machine and in every process.

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use std::fmt;
use std::sync::Arc;

/// Length of a digest in bytes: the first 128 bits of SHA-256, enough to make accidental collisions negligible.
const DIGEST_BYTES: usize = 16;

/// The part of the configuration that a request replaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ChangeScope {
    /// The complete configuration (`Config.Replace`).
    Full,
    /// Named items (`Config.Change`).
    Partial,
}

/// An operator's request to replace or change the configuration of a given version.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConfigurationRequest {
    /// The part of the configuration that the request replaces.
    pub scope: ChangeScope,
    /// The version that the request builds on.
    pub base_version: u32,
    /// The body as the operator sent it.
    pub body: Arc<Vec<u8>>,
}

impl ConfigurationRequest {
    /// The digest that identifies this request.
    pub fn digest(&self) -> RequestDigest {
        RequestDigest::of(self.scope, self.base_version, &self.body)
    }
}

/// The digest of a request's scope, base version and body.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// Computes the digest of a request; `body` is the body as the operator sent it.
    pub fn of(scope: ChangeScope, base_version: u32, body: &[u8]) -> RequestDigest {
        let mut hasher = Sha256::new();
        hasher.update([u8::from(scope == ChangeScope::Full)]);
        hasher.update(base_version.to_be_bytes());
        hasher.update(body);
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hasher.finalize()[..DIGEST_BYTES]);
        RequestDigest(digest)
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl Serialize for RequestDigest {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for RequestDigest {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<RequestDigest, D::Error> {
        struct Bytes;
        impl de::Visitor<'_> for Bytes {
            type Value = RequestDigest;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{DIGEST_BYTES} bytes")
            }
            fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<RequestDigest, E> {
                bytes.try_into().map(RequestDigest).map_err(|_| E::invalid_length(bytes.len(), &self))
            }
        }
        deserializer.deserialize_bytes(Bytes)
    }
}
