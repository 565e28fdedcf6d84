//! The graceful shutdown's state machine, step by step under a clock of its own.

use brassport_gateway::node::shutdown::{
    GracefulShutdown, Progress, Step, TerminateSignal, DEREGISTRATION, FINAL_RESPONSES,
};
use std::time::{Duration, Instant};

const BUSY: Progress = Progress { connections_closed: false, released_by_cluster: false };
const DONE: Progress = Progress { connections_closed: true, released_by_cluster: true };
const MILLISECOND: Duration = Duration::from_millis(1);

fn started(grace_s: f64) -> (GracefulShutdown, Instant) {
    let (mut shutdown, now) = (GracefulShutdown::new(grace_s), Instant::now());
    shutdown.start(now);
    (shutdown, now)
}

#[test]
fn nothing_is_due_before_the_signal() {
    let mut shutdown = GracefulShutdown::new(6.0);
    assert_eq!(shutdown.accepts_signal(), TerminateSignal::Accepted);
    assert_eq!(shutdown.step(Instant::now() + Duration::from_secs(60), DONE), Step::Wait);
}

#[test]
fn listeners_close_once_the_platform_has_deregistered_the_node() {
    let (mut shutdown, now) = started(6.0);
    assert_eq!(shutdown.accepts_signal(), TerminateSignal::Ignored);
    assert_eq!(shutdown.step(now + DEREGISTRATION - MILLISECOND, DONE), Step::Wait);
    assert_eq!(shutdown.step(now + DEREGISTRATION, DONE), Step::CloseListeners);
    assert_eq!(shutdown.step(now + DEREGISTRATION, DONE), Step::Exit);
}

#[test]
fn a_draining_node_waits_for_its_connections_and_for_the_cluster() {
    let (mut shutdown, now) = started(6.0);
    assert_eq!(shutdown.step(now + DEREGISTRATION, BUSY), Step::CloseListeners);
    let later = now + Duration::from_secs(4);
    assert_eq!(shutdown.step(later, Progress { connections_closed: true, ..BUSY }), Step::Wait);
    assert_eq!(shutdown.step(later, Progress { released_by_cluster: true, ..BUSY }), Step::Wait);
    assert_eq!(shutdown.step(later, DONE), Step::Exit);
}

#[test]
fn what_is_in_flight_fails_before_the_grace_period_ends() {
    let (mut shutdown, now) = started(6.0);
    assert_eq!(shutdown.step(now + DEREGISTRATION, BUSY), Step::CloseListeners);
    let deadline = now + Duration::from_secs(6) - FINAL_RESPONSES;
    assert_eq!(shutdown.step(deadline - MILLISECOND, BUSY), Step::Wait);
    assert_eq!(shutdown.step(deadline, BUSY), Step::FailInFlight);
}

#[test]
fn a_short_grace_period_is_halved_between_deregistration_and_draining() {
    let (mut shutdown, now) = started(2.0);
    assert_eq!(shutdown.step(now + Duration::from_millis(999), BUSY), Step::Wait);
    assert_eq!(shutdown.step(now + Duration::from_secs(1), BUSY), Step::CloseListeners);
    assert_eq!(shutdown.step(now + Duration::from_millis(1_300), BUSY), Step::FailInFlight);
}

#[test]
fn the_grace_period_is_held_to_its_bounds() {
    let grace = |seconds| GracefulShutdown::new(seconds).grace();
    assert_eq!((grace(0.0), grace(1e9)), (Duration::from_millis(500), Duration::from_secs(600)));
    // There is no time to deregister in: what is in flight fails at once.
    let (mut shutdown, now) = started(0.0);
    assert_eq!(shutdown.step(now, BUSY), Step::FailInFlight);
}

#[test]
fn a_second_signal_does_not_start_the_grace_period_anew() {
    let (mut shutdown, now) = started(6.0);
    shutdown.start(now + Duration::from_secs(5));
    assert_eq!(shutdown.step(now + DEREGISTRATION, BUSY), Step::CloseListeners);
}
