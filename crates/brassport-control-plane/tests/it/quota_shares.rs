//! Rate limits are divided into as many quota shares as there are nodes, before any node has traffic. With fewer
//! shares, the nodes together could exceed a tenant's limit.

use crate::sim::{script, Sim};
use test_case::test_case;

#[test_case(3, 9; "12 nodes")]
#[test_case(8, 58; "66 nodes")]
#[test_case(8, 88; "96 nodes")]
#[test_case(8, 192; "200 nodes")]
fn quota_shares_cover_all_nodes_before_there_is_traffic(disks: usize, plain: usize) {
    let text =
        format!("machines {disks} disks, {plain} plain, zones a b c d\nseed 3\nlink 2mbit\nlasts 8s\n");
    let mut sim = Sim::new(script::parse(&text).expect("a valid scenario"));
    sim.run();
    for machine in &sim.machines {
        let shares = machine.control.as_ref().expect("a running process").state().quota_shares;
        assert_eq!(shares as usize, disks + plain);
    }
}
