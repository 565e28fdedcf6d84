//! Tenants' limits are cut into as many quota shares as there are nodes, before the first of them has a request: fewer parts
//! would let all nodes together make more than a limit allows.

use crate::sim::{script, Sim};
use test_case::test_case;

#[test_case(3, 9; "12 nodes")]
#[test_case(8, 58; "66 nodes")]
#[test_case(8, 88; "96 nodes")]
#[test_case(8, 192; "200 nodes")]
fn quota_shares_cover_all_nodes_before_there_is_traffic(disks: usize, plain: usize) {
    let text =
        format!("machines {disks} disks, {plain} plain, zones a b c d\nseed 3\nlink 2mbit\nlasts 8s\n");
    let mut sim = Sim::new(script::parse(&text).expect("it makes sense"));
    sim.run();
    for machine in &sim.machines {
        let parts = machine.control.as_ref().expect("it runs").state().quota_shares;
        assert_eq!(parts as usize, disks + plain);
    }
}
