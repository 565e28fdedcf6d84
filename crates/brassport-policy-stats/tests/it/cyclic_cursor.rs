use brassport_policy_stats::{CyclicCursor, UntrustedKeyMap};
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    #[test]
    fn a_cycle_visits_every_permanent_entry(
        permanent in 1usize..40,
        changes in prop::collection::vec((any::<bool>(), 100u32..140), 0..60),
    ) {
        let mut map: UntrustedKeyMap<u32, bool> = (0..permanent as u32).map(|key| (key, true)).collect();
        let (mut cursor, mut visited) = (CyclicCursor::<4>::default(), BTreeSet::new());
        // Keys from 100 on are inserted and removed during the cycles. The map has at most 100 entries, so
        // that a cycle has at most 25 steps of 4 entries.
        let mut changes = changes.into_iter();
        for _ in 0..2 * 25 {
            for (is_inserted, key) in changes.by_ref().take(1) {
                if is_inserted { map.insert(key, false); } else { map.swap_remove(&key); }
            }
            visited.extend(cursor.next_matching(&map, |is_permanent| *is_permanent));
        }
        prop_assert_eq!(visited.len(), permanent);
    }
}
