//! The hashes of single records, by which a node pulls the records that it lacks from a peer.

use super::DIGEST_RANGES;
use serde_tuple::{Deserialize_tuple, Serialize_tuple};

/// Length of a hash on the wire, in bytes.
const HASH_BYTES: usize = size_of::<u32>();
/// Maximum number of hashes in a message of several ranges, so that it fits into a datagram.
const MAX_HASHES: usize = 270;

/// The hashes of all records of some ranges of a node's table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize_tuple, Deserialize_tuple)]
pub struct RecordHashes {
    /// The ranges, one bit for each.
    ranges: u16,
    /// The hashes, each in network byte order.
    #[serde(with = "crate::byte_string")]
    hashes: Vec<u8>,
}

impl RecordHashes {
    /// Divides the hashes of a table into messages, each of one or more ranges.
    pub fn messages(by_range: &[Vec<u32>; DIGEST_RANGES]) -> Vec<RecordHashes> {
        let mut messages: Vec<RecordHashes> = Vec::new();
        for (range, hashes) in by_range.iter().enumerate() {
            match messages.last_mut() {
                Some(message) if message.len() + hashes.len() <= MAX_HASHES => message.add(range, hashes),
                _ => {
                    let mut message = RecordHashes { ranges: 0, hashes: Vec::new() };
                    message.add(range, hashes);
                    messages.push(message);
                }
            }
        }
        messages
    }

    fn len(&self) -> usize {
        self.hashes.len() / HASH_BYTES
    }

    fn add(&mut self, range: usize, hashes: &[u32]) {
        self.ranges |= 1 << range;
        self.hashes.extend(hashes.iter().flat_map(|hash| hash.to_be_bytes()));
    }

    /// Whether the message contains the hashes of this range.
    pub(super) fn has_range(&self, range: usize) -> bool {
        self.ranges & (1 << range) != 0
    }

    /// The hashes. Bytes after the last complete hash are ignored.
    pub(super) fn hashes(&self) -> impl Iterator<Item = u32> + '_ {
        self.hashes
            .chunks_exact(HASH_BYTES)
            .map(|hash| hash.iter().fold(0, |all, byte| all << 8 | u32::from(*byte)))
    }
}
