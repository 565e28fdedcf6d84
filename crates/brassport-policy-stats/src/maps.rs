//! Maps with trusted or untrusted keys, and incremental iteration over them.

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;
use std::array::IntoIter;
use std::hash::{BuildHasher, Hash};
use std::iter::Flatten;

/// A map whose keys clients may choose. Its hash is randomly keyed, so that clients cannot provoke
/// collisions.
pub type UntrustedKeyMap<K, V> = IndexMap<K, V>;
/// A map whose keys this program or the operator assigns. Its hash is fast and not keyed.
pub type TrustedKeyMap<K, V> = IndexMap<K, V, FxBuildHasher>;

/// Maps with at most this capacity are not shrunk.
const MAX_UNSHRUNK_CAPACITY: usize = 64;

/// Removes an entry and returns its value. Shrinks the map once less than a quarter of its capacity is used.
pub fn remove_and_shrink<K: Hash + Eq, V, S: BuildHasher>(map: &mut IndexMap<K, V, S>, key: &K) -> Option<V> {
    let value = map.swap_remove(key);
    if map.capacity() > MAX_UNSHRUNK_CAPACITY && map.len() < map.capacity() / 4 {
        map.shrink_to(2 * map.len());
    }
    value
}

/// A cursor that cycles through a map, `STEP` entries at a time. The map may change between the steps.
#[derive(Debug, Clone, Default)]
pub struct CyclicCursor<const STEP: usize> {
    index: usize,
}

impl<const STEP: usize> CyclicCursor<STEP> {
    /// Visits the next `STEP` entries and returns the keys of those that match.
    pub fn next_matching<K: Copy, V, S>(
        &mut self,
        map: &IndexMap<K, V, S>,
        matches: impl Fn(&V) -> bool,
    ) -> Flatten<IntoIter<Option<K>, STEP>> {
        let mut found = [None; STEP];
        // Iterates backwards: `swap_remove` moves the last entry to the index of the removed one, so that no
        // entry is skipped, and entries that are appended during a cycle don't extend it.
        for slot in &mut found {
            self.index = self.index.min(map.len()).checked_sub(1).unwrap_or(map.len().saturating_sub(1));
            let Some((key, value)) = map.get_index(self.index) else { break };
            *slot = matches(value).then_some(*key);
        }
        found.into_iter().flatten()
    }
}
