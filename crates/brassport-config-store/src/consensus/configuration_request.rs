//! A request of the operator's to change the configuration, and the digest that identifies it: the same request sent again has
//! the same digest, on every machine and in every incarnation.

use serde::{de, Deserialize, Deserializer, Serialize, Serializer};
use sha2::{Digest, Sha256};
use std::fmt;
use std::sync::Arc;

/// Bytes of a digest: the first 128 bits of SHA-256, enough that no two requests ever meet by chance.
const DIGEST_BYTES: usize = 16;

/// How much of the configuration a request replaces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ChangeScope {
    /// All of it (`Config.Replace`).
    Full,
    /// Named items (`Config.Change`).
    Partial,
}

/// A configuration of the operator's, full or partial, on top of a version.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConfigurationRequest {
    /// How much it replaces.
    pub scope: ChangeScope,
    /// The version that it builds on.
    pub base_version: u32,
    /// The body as it was sent.
    pub body: Arc<Vec<u8>>,
}

impl ConfigurationRequest {
    /// What identifies this request.
    pub fn digest(&self) -> RequestDigest {
        RequestDigest::of(self.scope, self.base_version, &self.body)
    }
}

/// A digest of a request: its scope, the version that it builds on, and its body.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestDigest([u8; DIGEST_BYTES]);

impl RequestDigest {
    /// The digest of a request as it was sent.
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
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for RequestDigest {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<RequestDigest, D::Error> {
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
        from.deserialize_bytes(Bytes)
    }
}
