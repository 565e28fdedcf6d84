//! Tests of a node's quotas: which grants are applied, what is reported, and when a report is urgent.

use brassport_quota::{
    Millis, NodeQuotas, QuotaGrant, RateLimit, TenantId, Term, UsageReport, GRANT_TIMEOUT_MS, METER_PERIOD_MS,
};
use brassport_types::DiskId;

const TENANT: TenantId = TenantId(7);
const LIMIT: RateLimit = RateLimit { rate_per_s: 100.0, burst: 84.0 };
const QUOTA_SHARES: u32 = 10;
const TERM: Term = Term::new(3, DiskId(1));

fn grant(requests: u16) -> Vec<QuotaGrant> {
    vec![QuotaGrant { tenant: TENANT, requests, sent_by_all: 40 }]
}

/// Returns a node whose base share is used up, and the number of its pending report.
fn exhausted(now: Millis) -> (NodeQuotas, u32) {
    let mut node = NodeQuotas::default();
    assert!(admitted_requests(&mut node, now) >= 1);
    let (number, _) = node.next_report(now);
    (node, number)
}

/// Makes requests until one is rejected, and returns the number of those before it.
fn admitted_requests(node: &mut NodeQuotas, now: Millis) -> usize {
    (0..1_000).take_while(|_| node.try_acquire(now, TENANT, LIMIT, QUOTA_SHARES).is_ok()).count()
}

#[test]
fn granted_requests_are_spent_once() {
    let (mut node, number) = exhausted(1_000);
    node.apply_grants(1_010, TERM, number, &grant(2));
    assert_eq!(admitted_requests(&mut node, 1_010), 2);
    assert_eq!(admitted_requests(&mut node, 1_010), 0);
}

#[test]
fn a_duplicate_response_grants_nothing() {
    let (mut node, number) = exhausted(1_000);
    node.apply_grants(1_010, TERM, number, &grant(2));
    node.apply_grants(1_011, TERM, number, &grant(2));
    assert_eq!(admitted_requests(&mut node, 1_011), 2);
}

#[test]
fn a_grant_later_than_its_timeout_is_ignored() {
    let (mut node, number) = exhausted(1_000);
    node.apply_grants(1_000 + GRANT_TIMEOUT_MS, TERM, number, &grant(2));
    assert_eq!(node.meter_reading(1_000 + GRANT_TIMEOUT_MS, TENANT), None);
    let (mut node, number) = exhausted(1_000);
    node.apply_grants(1_000 + GRANT_TIMEOUT_MS - 1, TERM, number, &grant(2));
    assert_eq!(node.meter_reading(1_000 + GRANT_TIMEOUT_MS - 1, TENANT), Some(40));
}

#[test]
fn a_grant_of_a_lower_term_is_ignored() {
    let (mut node, number) = exhausted(1_000);
    node.apply_grants(1_001, TERM, number, &grant(0));
    let (number, _) = node.next_report(1_002);
    node.apply_grants(1_003, Term::new(2, DiskId(9)), number, &grant(2));
    assert_eq!(admitted_requests(&mut node, 1_003), 0);
}

#[test]
fn a_lowered_limit_caps_the_prefetched_requests() {
    let (mut node, number) = exhausted(1_000);
    node.apply_grants(1_001, TERM, number, &grant(3));
    let lowered = RateLimit { rate_per_s: 10.0, burst: 4.0 };
    let admitted = (0..10).filter(|_| node.try_acquire(1_001, TENANT, lowered, QUOTA_SHARES).is_ok()).count();
    assert_eq!(admitted, 1);
}

#[test]
fn a_forced_request_is_deducted_from_later_grants() {
    let (mut node, number) = exhausted(1_000);
    node.force_acquire(1_001, TENANT);
    node.apply_grants(1_002, TERM, number, &grant(3));
    assert_eq!(admitted_requests(&mut node, 1_002), 2);
}

#[test]
fn without_a_limit_every_request_is_admitted_and_counted() {
    let mut node = NodeQuotas::default();
    let unlimited = RateLimit { rate_per_s: 0.0, burst: 0.0 };
    for _ in 0..500 {
        node.record_offered(1_000, TENANT);
        assert_eq!(node.try_acquire(1_000, TENANT, unlimited, QUOTA_SHARES), Ok(()));
    }
    let (_, usage) = node.next_report(1_000);
    assert_eq!(usage, [UsageReport { tenant: TENANT, offered: 500, sent: 500, wanted: 0 }]);
}

#[test]
fn unchanged_counts_are_reported_once() {
    let mut node = NodeQuotas::default();
    node.record_offered(1_000, TENANT);
    assert_eq!(
        node.next_report(1_000),
        (1, vec![UsageReport { tenant: TENANT, offered: 1, sent: 0, wanted: 0 }])
    );
    assert_eq!(node.next_report(1_400), (2, Vec::new()));
}

#[test]
fn the_account_of_an_idle_tenant_is_removed() {
    let mut node = NodeQuotas::default();
    node.record_offered(1_000, TENANT);
    node.next_report(61_001);
    node.record_offered(61_002, TENANT);
    let (_, usage) = node.next_report(61_003);
    assert_eq!(usage[0].offered, 1);
}

#[test]
fn a_report_is_urgent_while_a_share_is_almost_used_up() {
    let mut node = NodeQuotas::default();
    assert!(!node.is_report_urgent());
    admitted_requests(&mut node, 1_000);
    assert!(node.is_report_urgent());
    node.next_report(1_000);
    assert!(!node.is_report_urgent());
}

#[test]
fn readings_and_rejections_are_valid_for_two_meter_periods() {
    let (mut node, number) = exhausted(1_000);
    node.apply_grants(1_000, TERM, number, &grant(0));
    let (valid, expired) = (1_000 + 2 * METER_PERIOD_MS - 1, 1_000 + 2 * METER_PERIOD_MS);
    assert_eq!((node.meter_reading(valid, TENANT), node.meter_reading(expired, TENANT)), (Some(40), None));
    assert!(node.rejected_recently(valid, TENANT) && !node.rejected_recently(expired, TENANT));
}
