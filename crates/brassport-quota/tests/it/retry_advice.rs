//! When rejected clients are advised to retry: each later than the one before, so that they don't return at one moment.

use brassport_quota::{NodeQuotas, RateLimit, TenantId, Term};

const LIMIT: RateLimit = RateLimit { rate_per_s: 100.0, burst: 50.0 };
const QUOTA_SHARES: u32 = 10;

/// The advice, in milliseconds, to those of so many requests at one moment that are rejected.
fn advice(node: &mut NodeQuotas, now: u64, count: usize) -> Vec<u64> {
    (0..count).filter_map(|_| node.try_acquire(now, TenantId(7), LIMIT, QUOTA_SHARES).err()).collect()
}

#[test]
fn each_rejected_client_is_advised_to_retry_later_than_the_one_before() {
    let mut node = NodeQuotas::default();
    let waits = advice(&mut node, 1_000, 8);
    assert!(waits.len() >= 4, "{waits:?}");
    assert!(waits.windows(2).all(|pair| pair[0] < pair[1] || pair[1] == 1_200), "{waits:?}");
    // Twice the time that this node's part of the rate takes for one: 2 x 10 / 100 s.
    assert_eq!(waits[1] - waits[0], 200, "{waits:?}");
}

#[test]
fn advice_has_an_upper_bound_however_many_are_rejected() {
    let mut node = NodeQuotas::default();
    let waits = advice(&mut node, 1_000, 500);
    assert_eq!(waits.iter().max(), Some(&1_200));
}

#[test]
fn advice_is_short_again_after_a_burst_of_rejections() {
    let mut node = NodeQuotas::default();
    advice(&mut node, 1_000, 500);
    let waits = advice(&mut node, 5_000, 20);
    assert!(waits.first().is_some_and(|first| *first <= 450), "{waits:?}");
}

#[test]
fn the_first_rejected_client_waits_less_while_a_coordinator_answers() {
    const NOW: u64 = 100_000;
    // A share that takes far longer for one request than either advice.
    let slow = RateLimit { rate_per_s: 1.0, burst: 0.0 };
    let first_advice = |mut node: NodeQuotas, now: u64| {
        (0..10)
            .find_map(|_| node.try_acquire(now, TenantId(7), slow, QUOTA_SHARES).err())
            .expect("a rejection")
    };
    assert_eq!(first_advice(NodeQuotas::default(), NOW), 450);
    let with_coordinator = |answered_at: u64| {
        let mut node = NodeQuotas::default();
        let (number, _) = node.next_report(answered_at);
        node.apply_grants(answered_at, Term::ZERO, number, &[]);
        node
    };
    assert_eq!(first_advice(with_coordinator(NOW - 899), NOW), 60);
    assert_eq!(first_advice(with_coordinator(NOW - 900), NOW), 450);
}
