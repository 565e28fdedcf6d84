//! Maps by whether their keys are trusted, and incremental iteration over them.

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;
use std::array::IntoIter;
use std::hash::{BuildHasher, Hash};
use std::iter::Flatten;

/// A map whose keys clients may choose: its hash is keyed, so that they cannot provoke collisions.
pub type UntrustedKeyMap<K, V> = IndexMap<K, V>;
/// A map whose keys this program or the operator assigns: a fast hash without a key.
pub type TrustedKeyMap<K, V> = IndexMap<K, V, FxBuildHasher>;

/// Capacity up to which a map is never shrunk, in entries.
const MIN_SHRINK_CAPACITY: usize = 64;

/// Removes an entry, and returns memory once a map holds less than a quarter of its capacity.
pub fn remove_and_shrink<K: Hash + Eq, V, S: BuildHasher>(map: &mut IndexMap<K, V, S>, key: &K) -> Option<V> {
    let value = map.swap_remove(key);
    if map.capacity() > MIN_SHRINK_CAPACITY && map.len() < map.capacity() / 4 {
        map.shrink_to(2 * map.len());
    }
    value
}

/// A cursor that cycles through a map, `STEP` entries at a time, while the map changes.
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
        // Backwards: `swap_remove` moves the last entry to a removed one's index, so none is skipped, and entries
        // appended meanwhile cannot delay the end of the cycle.
        for slot in &mut found {
            self.index = self.index.min(map.len()).checked_sub(1).unwrap_or(map.len().saturating_sub(1));
            let Some((key, value)) = map.get_index(self.index) else { break };
            *slot = matches(value).then_some(*key);
        }
        found.into_iter().flatten()
    }
}
