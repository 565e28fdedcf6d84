//! Compares encoded usage reports, encoded grants and the hash that identifies a tenant with the fixtures in
//! `tests/golden`. The names of the cases must not change, as the fixtures contain them.

use brassport_golden::hex;
use brassport_golden::Fixtures;
use brassport_quota::{
    Incarnation, NodeQuotas, QuotaCoordinator, QuotaGrant, RateLimit, TenantId, Term, UsageReport,
};
use brassport_types::DiskId;
use serde::{de::DeserializeOwned, Serialize};
use std::fmt::Debug;

const GOLDEN: Fixtures = Fixtures::of(env!("CARGO_MANIFEST_DIR"));

fn encoded<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) -> (String, String) {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).expect("writing to a vector does not fail");
    let decoded: T = ciborium::from_reader(&bytes[..]).expect("the encoded value can be decoded");
    assert_eq!(&decoded, value, "{name}");
    (name.to_owned(), hex(&bytes))
}

fn usage(tenant: TenantId, offered: u64, sent: u64, wanted: u16) -> UsageReport {
    UsageReport { tenant, offered, sent, wanted }
}

fn grant(tenant: TenantId, requests: u16, sent_by_all: u32) -> QuotaGrant {
    QuotaGrant { tenant, requests, sent_by_all }
}

#[test]
fn reports_and_grants_keep_their_bytes() {
    let cases = [
        encoded("use", &usage(TenantId(0x811c_9dc5), 100_000, 99_000, 12)),
        encoded("largest use", &usage(TenantId(u32::MAX), u64::MAX, u64::MAX, u16::MAX)),
        encoded("loan", &grant(TenantId(0x811c_9dc5), 12, 250)),
        encoded("largest loan", &grant(TenantId(u32::MAX), u16::MAX, u32::MAX)),
    ];
    GOLDEN.same_lines("messages", &cases);
}

/// Messages contain the hash, so that nodes of different versions must compute the same one.
#[test]
fn tenant_ids_keep_their_hashes() {
    let names = ["", "a", "acme", "Acme", "öl", "a name of some length, with spaces"];
    let cases = names.map(|name| (name.to_owned(), format!("{:08x}", TenantId::of_name(name).0)));
    GOLDEN.same_lines("tenants", &cases);
}

/// Runs a fixed sequence of requests, reports and grants between a node and a coordinator.
#[test]
fn an_exchange_of_reports_and_grants_keeps_its_bytes() {
    let (tenant, limit) = (TenantId::of_name("acme"), RateLimit { rate_per_s: 100.0, burst: 100.0 });
    let (mut node, mut coordinator) = (NodeQuotas::default(), QuotaCoordinator::default());
    coordinator.activate(0);
    let mut cases = Vec::new();
    for step in 1..=6_u64 {
        let now = step * 400;
        for _ in 0..40 {
            node.record_offered(now, tenant);
            let _ = node.try_acquire(now, tenant, limit, 4);
        }
        let (number, usage) = node.next_report(now);
        let grants = coordinator.grant(now, ([10, 0, 0, 1].into(), Incarnation(1)), &usage, |_| Some(limit));
        node.apply_grants(now, Term::new(1, DiskId(1)), number, &grants);
        cases.push(encoded(&format!("report {step}"), &usage));
        cases.push(encoded(&format!("loans {step}"), &grants));
    }
    GOLDEN.same_lines("exchange", &cases);
}
