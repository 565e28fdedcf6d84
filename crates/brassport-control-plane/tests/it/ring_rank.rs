//! Which backends the nodes send to: together all of them, and those of a zone all of them too, as the
//! backends of the own zone are chosen first.

use crate::sim::{script, Sim};
use test_case::test_case;

/// A gap between neighbours on the ring, in parts of an even one, above which backends lie idle.
const WIDEST: f64 = 1.6;
/// The same while the rank of one node that terminated is kept for it.
const WIDEST_WITH_A_HOLE: f64 = 2.1;

/// The positions of the nodes that run, by zone.
fn by_zone(sim: &Sim, zones: usize) -> Vec<Vec<f64>> {
    let mut positions = vec![Vec::new(); zones];
    for (number, machine) in sim.machines.iter().enumerate() {
        if let Some(control) = &machine.control {
            positions[number % zones].push(control.ring_position());
        }
    }
    positions
}

/// The widest gap between neighbours on the ring, in parts of an even one.
fn widest_gap(mut positions: Vec<f64>) -> f64 {
    positions.sort_by(f64::total_cmp);
    let first_again = positions.first().map(|first| first + 1.0);
    let next = positions.iter().skip(1).copied().chain(first_again);
    let widest = positions.iter().zip(next).map(|(this, next)| next - this).fold(0.0, f64::max);
    widest * positions.len() as f64
}

/// Plays a scenario; at its end the nodes of each zone are spread evenly over the ring.
fn assert_even(disks: usize, plain: usize, zones: usize, more: &str, most: f64) {
    let names = &["a", "b", "c", "d"][..zones].join(" ");
    let text = format!("machines {disks} disks, {plain} plain, zones {names}\nseed 7\n{more}\n");
    let mut sim = Sim::new(script::parse(&text).expect("it makes sense"));
    sim.run();
    for (zone, positions) in by_zone(&sim, zones).into_iter().enumerate() {
        let nodes = positions.len();
        let widest = widest_gap(positions);
        assert!(widest <= most, "zone {zone} of {nodes} nodes has a gap of {widest:.1} even ones");
    }
}

#[test_case(3, 9, 3, ""; "12 nodes")]
#[test_case(8, 58, 4, "link 3mbit\n"; "66 nodes with narrow links")]
#[test_case(8, 88, 4, "link 2mbit\n"; "96 nodes with narrow links")]
#[test_case(8, 88, 4, "link 2mbit\nat 3 loss 5%\n"; "96 nodes with narrow links and loss")]
#[test_case(8, 192, 4, "link 2mbit\n"; "200 nodes with narrow links")]
fn nodes_of_each_zone_are_spread_evenly(disks: usize, plain: usize, zones: usize, more: &str) {
    assert_even(disks, plain, zones, &format!("{more}lasts 10s"), WIDEST);
}

/// How long a node that terminated keeps its rank, in s.
const FORGOTTEN: u32 = 30;

#[test_case("at 8 kill leader\nlasts 9s"; "there is no leader")]
#[test_case("at 8 kill leader\nlasts 11s"; "the next leader learns them")]
#[test_case("at 8 kill leader\nlasts 16s"; "the next leader tells them")]
#[test_case("at 8 kill 20 24 28\nat 9.5 start 20 24 28\nlasts 14s"; "nodes restart")]
#[test_case("at 8 kill core\nat 9 start core\nlasts 14s"; "the whole core has restarted")]
fn a_change_of_leader_or_a_restart_moves_no_node_far(more: &str) {
    assert_even(8, 88, 4, &format!("link 2mbit\n{more}"), WIDEST_WITH_A_HOLE);
}

#[test]
fn nodes_that_terminated_leave_no_gap() {
    let last = 9 + FORGOTTEN + 6;
    assert_even(8, 88, 4, &format!("link 2mbit\nat 8 kill 20 24 28 32\nlasts {last}s"), WIDEST);
}
