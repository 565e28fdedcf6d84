//! Due times of a periodic task.

use brassport_leases::schedule::{due, Due};

#[test]
fn a_due_time_is_started_once_and_those_without_a_holder_are_counted_as_missed() {
    assert_eq!(due(10_500, 1000, 0), Some(Due { at_ms: 10_000, missed: 0 }));
    assert_eq!(due(10_500, 1000, 10_000), None);
    assert_eq!(due(11_000, 1000, 10_000), Some(Due { at_ms: 11_000, missed: 0 }));
    assert_eq!(due(14_999, 1000, 10_000), Some(Due { at_ms: 14_000, missed: 3 }));
}
