//! What the generator allocates on its hot path. Alone in its process, as the count is the process's.

use brassport_lab::sockets::load::{send, Load};
use brassport_lab::sockets::process::Process;
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::net::SocketAddr;
use std::process::Command;
use std::time::Duration;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Allocations of a run, and its requests.
fn run(doors: Vec<SocketAddr>, length: Duration) -> (f64, f64) {
    let load = Load { skew: 0.9, connections: 50, ..Load::new(doors, 1000.0, length) };
    let region = Region::new(ALLOCATOR);
    let measured = send(load).expect("it answers");
    assert_eq!(measured.served, measured.requests);
    let change = region.change();
    ((change.allocations + change.reallocations) as f64, measured.requests as f64)
}

#[test]
fn a_request_more_allocates_next_to_nothing() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_brassport-lab"));
    command.args(["nodes", "--count", "2", "--work-ms", "1"]);
    let (_nodes, at) = Process::helper(command).expect("it starts");
    let (short, few) = run(at.clone(), Duration::from_millis(500));
    let (long, many) = run(at, Duration::from_millis(2500));
    let each = (long - short) / (many - few);
    println!("{each:.4} allocations for a request");
    // A channel's block for some dozens of requests, and now and then a connection more.
    assert!(each < 0.2, "{each} allocations for a request");
}
