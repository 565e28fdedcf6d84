//! Partial views: merging, eviction, expiry and sampling.

use crate::harness::peer_record;
use brassport_transport::peer_sampling::{AgedRecord, PartialView, PeerRecord, MAX_AGE_MS, MAX_PEERS};
use brassport_types::Incarnation;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

const OWN_IP: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 9);
const NOW: u64 = 100_000;

fn aged(peer: PeerRecord, age_ms: u32) -> AgedRecord {
    AgedRecord { peer, age_ms }
}

fn view_of(peers: impl IntoIterator<Item = u8>) -> PartialView {
    let mut view = PartialView::new(OWN_IP, 5);
    for number in peers {
        view.merge(NOW, aged(peer_record(number), 100));
    }
    view
}

#[test]
fn a_view_never_contains_the_node_itself() {
    assert!(view_of([9]).is_empty());
}

#[test]
fn the_younger_of_two_records_wins() {
    let mut view = view_of([1]);
    let zoned = |zone: &str| PeerRecord { zone: zone.to_owned(), ..peer_record(1) };
    assert!(!view.merge(NOW, aged(zoned("older"), 101)));
    assert!(!view.merge(NOW, aged(zoned("as old"), 100)));
    assert_eq!(view.peer(peer_record(1).ip), Some(&peer_record(1)));
    assert!(!view.merge(NOW, aged(zoned("younger"), 99)));
    assert_eq!(view.peer(peer_record(1).ip), Some(&zoned("younger")));
    assert_eq!(view.age(peer_record(1).ip, NOW + 1), Some(100));
}

#[test]
fn merge_reports_a_new_node_or_incarnation() {
    let mut view = view_of([]);
    assert!(view.merge(NOW, aged(peer_record(1), 100)));
    assert!(!view.merge(NOW, aged(peer_record(1), 50)));
    let restarted = PeerRecord { incarnation: Incarnation(1), ..peer_record(1) };
    assert!(view.merge(NOW, aged(restarted, 20)));
}

#[test]
fn records_expire_beyond_their_maximum_age() {
    let mut view = PartialView::new(OWN_IP, 5);
    assert!(!view.merge(NOW, aged(peer_record(1), MAX_AGE_MS as u32 + 1)));
    assert!(view.merge(NOW, aged(peer_record(1), MAX_AGE_MS as u32)));
    view.expire(NOW);
    assert_eq!(view.len(), 1);
    view.expire(NOW + 1);
    assert!(view.is_empty());
}

#[test]
fn a_full_view_evicts_one_record_at_random() {
    let mut kept = BTreeMap::<Ipv4Addr, usize>::new();
    for seed in 0..200 {
        let mut view = PartialView::new(OWN_IP, seed);
        for number in 10..10 + MAX_PEERS as u8 + 10 {
            view.merge(NOW, aged(peer_record(number), 100));
            assert!(view.len() <= MAX_PEERS);
        }
        assert_eq!(view.len(), MAX_PEERS);
        view.peers().for_each(|peer| *kept.entry(peer.ip).or_default() += 1);
    }
    // Every record, whether merged early or late, is evicted from some views and kept in most.
    assert_eq!(kept.len(), MAX_PEERS + 10);
    assert!(kept.values().all(|views| (100..200).contains(views)), "{kept:?}");
}

#[test]
fn samples_contain_distinct_matching_peers() {
    let mut view = view_of(1..9);
    for _ in 0..100 {
        let drawn: BTreeSet<Ipv4Addr> = view.sample(3, |peer| peer.is_core).into_iter().collect();
        assert_eq!(drawn.len(), 3);
        assert!(!drawn.contains(&peer_record(1).ip), "peer 1 is not a core node");
    }
    assert_eq!(view.sample(100, |_| true).len(), 8);
    assert!(view.sample(3, |_| false).is_empty());
}

#[test]
fn a_shuffle_excludes_the_partner_and_updates_ages() {
    let mut view = view_of(1..4);
    for _ in 0..100 {
        let records = view.shuffle_sample(NOW + 250, peer_record(1).ip);
        assert_eq!(records.len(), 2);
        assert!(records.iter().all(|record| record.peer.ip != peer_record(1).ip && record.age_ms == 350));
    }
}
