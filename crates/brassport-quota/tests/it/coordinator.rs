//! Tests of the coordinator: what it grants, and how it counts nodes and requests per period.

use brassport_quota::{
    Incarnation, Millis, QuotaCoordinator, QuotaGrant, RateLimit, TenantId, UsageReport, METER_PERIOD_MS,
};
use std::net::Ipv4Addr;

const TENANT: TenantId = TenantId(7);
const LIMIT: RateLimit = RateLimit { rate_per_s: 100.0, burst: 84.0 };
const NODE: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 1);
const OTHER_NODE: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);

fn coordinator() -> QuotaCoordinator {
    let mut coordinator = QuotaCoordinator::default();
    coordinator.activate(0);
    coordinator
}

/// Reports the forwarded and wanted requests of a node, and returns the grant.
fn report(
    coordinator: &mut QuotaCoordinator,
    now: Millis,
    from: (Ipv4Addr, u64),
    sent: u64,
    wanted: u16,
) -> QuotaGrant {
    let usage = [UsageReport { tenant: TENANT, offered: sent, sent, wanted }];
    let grants = coordinator.grant(now, (from.0, Incarnation(from.1)), &usage, |_| Some(LIMIT));
    assert_eq!(grants.len(), 1);
    grants[0]
}

#[test]
fn an_inactive_coordinator_grants_nothing() {
    let usage = [UsageReport { tenant: TENANT, offered: 1, sent: 1, wanted: 1 }];
    let mut coordinator = QuotaCoordinator::default();
    assert!(coordinator.grant(9_000, (NODE, Incarnation(1)), &usage, |_| Some(LIMIT)).is_empty());
    coordinator.activate(0);
    coordinator.deactivate();
    assert!(coordinator.grant(9_000, (NODE, Incarnation(1)), &usage, |_| Some(LIMIT)).is_empty());
}

#[test]
fn a_new_coordinator_pays_off_its_takeover_debt_first() {
    let mut coordinator = coordinator();
    assert_eq!(report(&mut coordinator, 300, (NODE, 1), 0, 10).requests, 0);
    // 54 tokens per second for the 100 ms after the debt of 300 ms.
    assert_eq!(report(&mut coordinator, 400, (NODE, 1), 0, 10).requests, 5);
}

#[test]
fn granted_requests_are_not_available_to_other_nodes() {
    let mut coordinator = coordinator();
    // The bucket's depth is 30: 0.3 of the sum of the burst, 84, and the tolerance, 16.
    assert_eq!(report(&mut coordinator, 9_000, (NODE, 1), 0, 20).requests, 20);
    assert_eq!(report(&mut coordinator, 9_000, (OTHER_NODE, 2), 0, 20).requests, 10);
    assert_eq!(report(&mut coordinator, 9_000, (OTHER_NODE, 2), 0, 20).requests, 0);
}

#[test]
fn a_tenant_without_a_limit_gets_no_grant() {
    let usage = [UsageReport { tenant: TENANT, offered: 1, sent: 1, wanted: 1 }];
    let mut coordinator = coordinator();
    assert!(coordinator.grant(9_000, (NODE, Incarnation(1)), &usage, |_| None).is_empty());
    let unlimited = RateLimit { rate_per_s: 0.0, burst: 10.0 };
    assert!(coordinator.grant(9_000, (NODE, Incarnation(1)), &usage, |_| Some(unlimited)).is_empty());
}

#[test]
fn a_reading_is_the_sum_over_all_nodes_in_the_last_complete_period() {
    let mut coordinator = coordinator();
    // The first report of each node is left out of the reading.
    report(&mut coordinator, 100, (NODE, 1), 500, 0);
    report(&mut coordinator, 100, (OTHER_NODE, 2), 900, 0);
    report(&mut coordinator, 400, (NODE, 1), 510, 0);
    assert_eq!(report(&mut coordinator, 400, (OTHER_NODE, 2), 907, 0).sent_by_all, 0);
    assert_eq!(report(&mut coordinator, METER_PERIOD_MS, (NODE, 1), 511, 0).sent_by_all, 17);
    assert_eq!(report(&mut coordinator, 2 * METER_PERIOD_MS, (NODE, 1), 511, 0).sent_by_all, 1);
}

#[test]
fn the_counts_of_another_incarnation_of_a_node_start_at_zero() {
    let mut coordinator = coordinator();
    report(&mut coordinator, 100, (NODE, 1), 500, 0);
    report(&mut coordinator, 400, (NODE, 9), 3, 0);
    assert_eq!(report(&mut coordinator, METER_PERIOD_MS, (NODE, 9), 3, 0).sent_by_all, 3);
}

#[test]
fn nodes_are_live_until_their_timeout() {
    let mut coordinator = coordinator();
    report(&mut coordinator, 100, (NODE, 1), 0, 0);
    report(&mut coordinator, 1_100, (OTHER_NODE, 2), 0, 0);
    assert_eq!(coordinator.live_nodes(1_100), 2);
    assert_eq!(coordinator.live_nodes(4_100), 1);
    assert_eq!(coordinator.live_nodes(5_100), 0);
}
