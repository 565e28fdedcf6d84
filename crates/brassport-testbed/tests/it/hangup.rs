//! SIGHUP at the start of a process.

use crate::common::{gateway_program, ONE_SITE_AT_A_TIME};
use brassport_testbed::node::{Node, StartMode};
use brassport_testbed::play::block_on;
use brassport_testbed::site::{Layout, Site};
use std::time::Duration;
use test_case::test_case;
use tokio::time::sleep;

/// Number of starts.
const STARTS: usize = 20;
/// Time in which a node that a SIGHUP ends would end.
const SETTLE: Duration = Duration::from_millis(20);

/// Guards against a finding of the soak: a SIGHUP before the program's first instruction ended a node, since only the
/// starter of a process can have it ignored there.
#[test_case(Duration::ZERO; "at once")]
#[test_case(Duration::from_millis(1); "after 1 ms")]
#[test_case(Duration::from_millis(3); "after 3 ms")]
fn a_node_survives_a_hangup_in_the_moment_of_its_start(pause: Duration) {
    block_on(async {
        let _one = ONE_SITE_AT_A_TIME.lock().await;
        let layout = Layout { counted: 1, others: 0, program: gateway_program().into(), has_relays: false };
        let mut site = Site::new(&layout).expect("free ports");
        site.nodes[0].set_start_mode(StartMode::HangupIgnored);
        for start in 0..STARTS {
            site.start(0).expect("it starts");
            sleep(pause).await;
            site.nodes[0].reload();
            sleep(SETTLE).await;
            assert!(!site.nodes[0].has_exited(), "start {start}: {}", site.nodes[0].last_exit());
            Node::kill(&mut site.nodes[0]);
        }
    })
    .expect("a runtime");
}
