//! What a door advises those whom it refuses: each to come later than the one before, so that they don't all come at once.

use brassport_quota::{Borrower, RateLimit, TenantId};

const LIMIT: RateLimit = RateLimit { rate_per_s: 100.0, burst: 50.0 };
const SLOTS: u32 = 10;

/// What so many requests at one moment are advised, those that pass left out.
fn advice(door: &mut Borrower, now: u64, count: usize) -> Vec<u64> {
    (0..count).filter_map(|_| door.take(now, TenantId(7), LIMIT, SLOTS).err()).collect()
}

#[test]
fn each_one_refused_is_advised_to_come_later_than_the_one_before() {
    let mut door = Borrower::default();
    let waits = advice(&mut door, 1_000, 8);
    assert!(waits.len() >= 4, "{waits:?}");
    assert!(waits.windows(2).all(|pair| pair[0] < pair[1] || pair[1] == 1_200), "{waits:?}");
    // Twice the time that this door's part of the rate takes for one: 2 x 10 / 100 s.
    assert_eq!(waits[1] - waits[0], 200, "{waits:?}");
}

#[test]
fn nobody_is_advised_to_wait_longer_than_a_bound_however_many_come() {
    let mut door = Borrower::default();
    let waits = advice(&mut door, 1_000, 500);
    assert_eq!(waits.iter().max(), Some(&1_200));
}

#[test]
fn once_it_is_calm_again_the_advice_is_short() {
    let mut door = Borrower::default();
    advice(&mut door, 1_000, 500);
    let waits = advice(&mut door, 5_000, 20);
    assert!(waits.first().is_some_and(|first| *first <= 450), "{waits:?}");
}
