use brassport_policy_stats::{CyclicCursor, UntrustedKeyMap};
use proptest::prelude::*;
use std::collections::BTreeSet;

proptest! {
    #[test]
    fn a_cycle_visits_every_entry_that_stays(
        stay in 1usize..40,
        changes in prop::collection::vec((any::<bool>(), 100u32..140), 0..60),
    ) {
        let mut map: UntrustedKeyMap<u32, bool> = (0..stay as u32).map(|key| (key, true)).collect();
        let (mut cursor, mut visited) = (CyclicCursor::<4>::default(), BTreeSet::new());
        // Others come and go meanwhile; 100 at the most are there, so that a cycle has 25 steps.
        let mut changes = changes.into_iter();
        for _ in 0..2 * 25 {
            for (comes, key) in changes.by_ref().take(1) {
                if comes { map.insert(key, false); } else { map.swap_remove(&key); }
            }
            visited.extend(cursor.next_matching(&map, |stays| *stays));
        }
        prop_assert_eq!(visited.len(), stay);
    }
}
