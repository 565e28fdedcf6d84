//! The positions of nodes on the ring of backends. They must be spaced evenly within each zone, because nodes prefer
//! backends of their own zone: otherwise some backends of a zone would be idle.

use crate::sim::{script, Sim};
use test_case::test_case;

/// Maximum gap between neighbours on the ring, as a multiple of the even gap. Above it, backends are idle.
const MAX_GAP: f64 = 1.6;
/// The maximum while a terminated node still has its rank.
const MAX_GAP_WITH_VACANT_RANK: f64 = 2.1;

/// The positions of the running nodes, by zone.
fn by_zone(sim: &Sim, zones: usize) -> Vec<Vec<f64>> {
    let mut positions = vec![Vec::new(); zones];
    for (number, machine) in sim.machines.iter().enumerate() {
        if let Some(control) = &machine.control {
            positions[number % zones].push(control.ring_position());
        }
    }
    positions
}

/// The widest gap between neighbours on the ring, as a multiple of the even gap.
fn widest_gap(mut positions: Vec<f64>) -> f64 {
    positions.sort_by(f64::total_cmp);
    let first_again = positions.first().map(|first| first + 1.0);
    let next = positions.iter().skip(1).copied().chain(first_again);
    let widest = positions.iter().zip(next).map(|(this, next)| next - this).fold(0.0, f64::max);
    widest * positions.len() as f64
}

/// Runs a scenario, and checks that the nodes of each zone are spaced evenly on the ring at its end.
fn assert_even(disks: usize, plain: usize, zones: usize, more: &str, max_gap: f64) {
    let names = &["a", "b", "c", "d"][..zones].join(" ");
    let text = format!("machines {disks} disks, {plain} plain, zones {names}\nseed 7\n{more}\n");
    let mut sim = Sim::new(script::parse(&text).expect("a valid scenario"));
    sim.run();
    for (zone, positions) in by_zone(&sim, zones).into_iter().enumerate() {
        let nodes = positions.len();
        let widest = widest_gap(positions);
        assert!(
            widest <= max_gap,
            "zone {zone} of {nodes} nodes has a gap of {widest:.1} times the even one"
        );
    }
}

#[test_case(3, 9, 3, ""; "12 nodes")]
#[test_case(8, 58, 4, "link 3mbit\n"; "66 nodes with narrow links")]
#[test_case(8, 88, 4, "link 2mbit\n"; "96 nodes with narrow links")]
#[test_case(8, 88, 4, "link 2mbit\nat 3 loss 5%\n"; "96 nodes with narrow links and loss")]
#[test_case(8, 192, 4, "link 2mbit\n"; "200 nodes with narrow links")]
fn nodes_of_each_zone_are_spaced_evenly(disks: usize, plain: usize, zones: usize, more: &str) {
    assert_even(disks, plain, zones, &format!("{more}lasts 10s"), MAX_GAP);
}

/// How long a terminated node keeps its rank, in seconds.
const RANK_LEASE_S: u32 = 30;

#[test_case("at 8 kill leader\nlasts 9s"; "there is no leader")]
#[test_case("at 8 kill leader\nlasts 11s"; "the next leader rebuilds its registry")]
#[test_case("at 8 kill leader\nlasts 16s"; "the next leader assigns ranks")]
#[test_case("at 8 kill 20 24 28\nat 9.5 start 20 24 28\nlasts 14s"; "nodes restart")]
#[test_case("at 8 kill core\nat 9 start core\nlasts 14s"; "the whole core has restarted")]
fn a_change_of_leader_or_a_restart_moves_no_node_far(more: &str) {
    assert_even(8, 88, 4, &format!("link 2mbit\n{more}"), MAX_GAP_WITH_VACANT_RANK);
}

#[test]
fn terminated_nodes_leave_no_gap() {
    let last = 9 + RANK_LEASE_S + 6;
    assert_even(8, 88, 4, &format!("link 2mbit\nat 8 kill 20 24 28 32\nlasts {last}s"), MAX_GAP);
}
