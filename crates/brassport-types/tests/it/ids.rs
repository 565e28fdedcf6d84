//! Tests of the identifiers of disks, incarnations and tenants.

use crate::cbor;
use brassport_types::{DiskId, Incarnation, TenantId};

#[test]
fn identifiers_are_encoded_as_plain_numbers() {
    assert_eq!(cbor(&DiskId(77)), cbor(&77_u64));
    assert_eq!(cbor(&Incarnation(u64::MAX)), cbor(&u64::MAX));
    assert_eq!(cbor(&TenantId(5)), cbor(&5_u32));
    assert_eq!(serde_json::to_string(&DiskId(77)).expect("the identifier can be encoded as JSON"), "77");
}

#[test]
fn a_tenant_is_identified_by_the_fnv_1a_hash_of_its_name() {
    assert_eq!(TenantId::of_name(""), TenantId(0x811c_9dc5));
    assert_eq!(TenantId::of_name("a"), TenantId(0xe40c_292c));
    assert_eq!(TenantId::of_name("foobar"), TenantId(0xbf9c_f968));
}

#[test]
fn a_machine_without_a_disk_has_the_disk_id_none() {
    assert!(DiskId::NONE.is_none());
    assert!(DiskId(1).is_some());
    assert_eq!(DiskId(0xab).to_string(), "00000000000000ab");
}
