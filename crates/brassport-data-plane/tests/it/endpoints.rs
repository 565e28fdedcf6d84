//! The endpoint list: the changes of a service's backends of which the policy is notified.

use brassport_control_plane::backends::{Backend, BackendState};
use brassport_data_plane::endpoints::{ChangeKind, EndpointChange, EndpointList};
use brassport_policy::Lifecycle;
use std::net::{Ipv4Addr, SocketAddrV4};

fn backend(id: &str, state: BackendState) -> Backend {
    Backend {
        id: id.to_owned(),
        service: "search".to_owned(),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 8_000),
        zone: "a".to_owned(),
        version: String::new(),
        capacity: 8,
        state,
        call_count: 1,
        warmup_left_ms: 0,
        age_ms: 0,
    }
}

/// A list of these backends without pending changes.
fn list(backends: &[(&str, BackendState)]) -> EndpointList {
    let mut list = EndpointList::default();
    backends.iter().for_each(|(id, state)| list.update(&backend(id, *state)));
    list.take_changes();
    list
}

fn lifecycles(changes: &[EndpointChange]) -> Vec<(&str, Lifecycle)> {
    changes.iter().map(|change| (change.backend.id.as_str(), change.lifecycle)).collect()
}

#[test]
fn a_change_is_notified_once() {
    let mut list = EndpointList::default();
    list.update(&backend("i-1", BackendState::Ready));
    let changes = list.take_changes();
    assert_eq!((changes.len(), changes[0].kind), (1, ChangeKind::Added));
    list.update(&Backend { call_count: 2, ..backend("i-1", BackendState::Ready) });
    assert!(list.take_changes().is_empty(), "a heartbeat is not a change");
    list.update(&backend("i-1", BackendState::Draining));
    let changes = list.take_changes();
    assert_eq!(lifecycles(&changes), [("i-1", Lifecycle::Draining)]);
    assert_eq!(changes[0].kind, ChangeKind::Updated);
}

#[test]
fn a_terminated_backend_is_removed_and_counts_as_added_when_it_reappears() {
    let mut list = list(&[("i-1", BackendState::Ready)]);
    list.update(&backend("i-1", BackendState::Terminated));
    assert_eq!(lifecycles(&list.take_changes()), [("i-1", Lifecycle::Removed)]);
    list.update(&backend("i-1", BackendState::Terminated));
    assert!(list.take_changes().is_empty(), "a terminated backend that is not listed must be ignored");
    list.update(&backend("i-1", BackendState::Ready));
    assert_eq!(list.take_changes()[0].kind, ChangeKind::Added);
}

#[test]
fn an_expired_backend_is_removed() {
    let mut list = list(&[("i-1", BackendState::Ready)]);
    list.expire("i-2");
    assert!(list.take_changes().is_empty());
    list.expire("i-1");
    assert_eq!(lifecycles(&list.take_changes()), [("i-1", Lifecycle::Removed)]);
}

#[test]
fn late_heartbeats_do_not_restore_a_displaced_backend() {
    let mut list = list(&[("i-1", BackendState::Ready)]);
    list.mark_displaced("i-1");
    assert_eq!(lifecycles(&list.take_changes()), [("i-1", Lifecycle::Removed)]);
    list.update(&Backend { call_count: 9, ..backend("i-1", BackendState::Ready) });
    assert!(list.take_changes().is_empty());
}

#[test]
fn unresponsive_backends_drain_while_most_are_ready() {
    let mut list = list(&[("i-1", BackendState::Ready), ("i-2", BackendState::Ready)]);
    list.update(&backend("i-2", BackendState::Unresponsive));
    assert_eq!(lifecycles(&list.take_changes()), [("i-2", Lifecycle::Draining)]);
}

#[test]
fn missing_heartbeats_are_ignored_while_most_backends_miss_them() {
    let ready = BackendState::Ready;
    let mut list = list(&[("i-1", ready), ("i-2", ready), ("i-3", ready)]);
    list.update(&backend("i-2", BackendState::Unresponsive));
    assert_eq!(lifecycles(&list.take_changes()), [("i-2", Lifecycle::Draining)]);
    list.update(&backend("i-3", BackendState::Unresponsive));
    assert_eq!(lifecycles(&list.take_changes()), [("i-2", Lifecycle::Ready)], "both must be ready again");
}

#[test]
fn backends_whose_ids_have_the_same_hash_get_different_server_ids() {
    // A server id is the 32-bit FNV-1a hash of the backend's id. The hashes of these two ids collide.
    let mut list = EndpointList::default();
    list.update(&backend("costarring", BackendState::Ready));
    list.update(&backend("liquid", BackendState::Ready));
    let server_ids: Vec<u32> = list.take_changes().iter().map(|change| change.server).collect();
    assert_eq!(server_ids.len(), 2);
    assert_eq!(server_ids[1], server_ids[0].wrapping_add(1));
}
