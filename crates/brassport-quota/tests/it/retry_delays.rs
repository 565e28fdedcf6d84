//! Tests of the retry delays of rejected clients. Each client must get a later retry time than the one
//! rejected before it, so that the clients don't all retry at the same time.

use brassport_quota::{NodeQuotas, RateLimit, TenantId, Term};

const LIMIT: RateLimit = RateLimit { rate_per_s: 100.0, burst: 50.0 };
const QUOTA_SHARES: u32 = 10;

/// Makes requests at the time `now` and returns the retry delays of the rejected ones, in milliseconds.
fn retry_delays(node: &mut NodeQuotas, now: u64, count: usize) -> Vec<u64> {
    (0..count).filter_map(|_| node.try_acquire(now, TenantId(7), LIMIT, QUOTA_SHARES).err()).collect()
}

#[test]
fn each_rejected_client_gets_a_later_retry_time_than_the_one_before() {
    let mut node = NodeQuotas::default();
    let delays = retry_delays(&mut node, 1_000, 8);
    assert!(delays.len() >= 4, "{delays:?}");
    assert!(delays.windows(2).all(|pair| pair[0] < pair[1] || pair[1] == 1_200), "{delays:?}");
    // The time for two requests at this node's share of the rate: 2 x 10 / 100 s.
    assert_eq!(delays[1] - delays[0], 200, "{delays:?}");
}

#[test]
fn retry_delays_have_an_upper_bound() {
    let mut node = NodeQuotas::default();
    let delays = retry_delays(&mut node, 1_000, 500);
    assert_eq!(delays.iter().max(), Some(&1_200));
}

#[test]
fn retry_delays_are_short_again_after_a_burst_of_rejections() {
    let mut node = NodeQuotas::default();
    retry_delays(&mut node, 1_000, 500);
    let delays = retry_delays(&mut node, 5_000, 20);
    assert!(delays.first().is_some_and(|first| *first <= 450), "{delays:?}");
}

#[test]
fn the_first_rejected_client_waits_less_while_a_coordinator_answers() {
    const NOW: u64 = 100_000;
    // At this rate a token takes far longer than either upper bound of the wait for a token.
    let slow_limit = RateLimit { rate_per_s: 1.0, burst: 0.0 };
    let first_delay = |mut node: NodeQuotas, now: u64| {
        (0..10)
            .find_map(|_| node.try_acquire(now, TenantId(7), slow_limit, QUOTA_SHARES).err())
            .expect("a rejection")
    };
    assert_eq!(first_delay(NodeQuotas::default(), NOW), 450);
    let with_coordinator = |answered_at: u64| {
        let mut node = NodeQuotas::default();
        let (number, _) = node.next_report(answered_at);
        node.apply_grants(answered_at, Term::ZERO, number, &[]);
        node
    };
    assert_eq!(first_delay(with_coordinator(NOW - 899), NOW), 60);
    assert_eq!(first_delay(with_coordinator(NOW - 900), NOW), 450);
}
