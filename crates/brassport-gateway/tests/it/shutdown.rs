//! Tests of the state machine of the graceful shutdown, with times passed in as arguments.

use brassport_gateway::node::shutdown::{
    GracefulShutdown, Progress, Step, TerminateSignal, DEREGISTRATION_DELAY, FINAL_RESPONSE_TIME,
};
use std::time::{Duration, Instant};
use test_case::test_case;

const INCOMPLETE: Progress = Progress { connections_closed: false, released_by_cluster: false };
const COMPLETE: Progress = Progress { connections_closed: true, released_by_cluster: true };
const MILLISECOND: Duration = Duration::from_millis(1);

fn started(grace_s: f64) -> (GracefulShutdown, Instant) {
    let (mut shutdown, now) = (GracefulShutdown::new(grace_s), Instant::now());
    shutdown.start(now);
    (shutdown, now)
}

#[test]
fn no_step_is_due_before_sigterm() {
    let mut shutdown = GracefulShutdown::new(6.0);
    assert_eq!(shutdown.accepts_signal(), TerminateSignal::Accepted);
    assert_eq!(shutdown.step(Instant::now() + Duration::from_secs(60), COMPLETE), Step::Wait);
}

#[test]
fn listeners_close_after_the_deregistration_delay() {
    let (mut shutdown, now) = started(6.0);
    assert_eq!(shutdown.accepts_signal(), TerminateSignal::Ignored);
    assert_eq!(shutdown.step(now + DEREGISTRATION_DELAY - MILLISECOND, COMPLETE), Step::Wait);
    assert_eq!(shutdown.step(now + DEREGISTRATION_DELAY, COMPLETE), Step::CloseListeners);
    assert_eq!(shutdown.step(now + DEREGISTRATION_DELAY, COMPLETE), Step::Exit);
}

#[test]
fn draining_lasts_until_connections_are_closed_and_the_cluster_has_released_the_node() {
    let (mut shutdown, now) = started(6.0);
    assert_eq!(shutdown.step(now + DEREGISTRATION_DELAY, INCOMPLETE), Step::CloseListeners);
    let later = now + Duration::from_secs(4);
    assert_eq!(shutdown.step(later, Progress { connections_closed: true, ..INCOMPLETE }), Step::Wait);
    assert_eq!(shutdown.step(later, Progress { released_by_cluster: true, ..INCOMPLETE }), Step::Wait);
    assert_eq!(shutdown.step(later, COMPLETE), Step::Exit);
}

#[test]
fn requests_in_flight_fail_before_the_grace_period_ends() {
    let (mut shutdown, now) = started(6.0);
    assert_eq!(shutdown.step(now + DEREGISTRATION_DELAY, INCOMPLETE), Step::CloseListeners);
    let deadline = now + Duration::from_secs(6) - FINAL_RESPONSE_TIME;
    assert_eq!(shutdown.step(deadline - MILLISECOND, INCOMPLETE), Step::Wait);
    assert_eq!(shutdown.step(deadline, INCOMPLETE), Step::FailInFlight);
}

#[test]
fn a_short_grace_period_limits_the_deregistration_delay_to_its_half() {
    let (mut shutdown, now) = started(2.0);
    assert_eq!(shutdown.step(now + Duration::from_millis(999), INCOMPLETE), Step::Wait);
    assert_eq!(shutdown.step(now + Duration::from_secs(1), INCOMPLETE), Step::CloseListeners);
}

/// Guards against requests that are failed while their backend is still at work before the last sixth of a short grace
/// period.
#[test_case(3.0, 2_500; "of 3 s")]
#[test_case(2.0, 1_667; "of 2 s")]
#[test_case(0.5, 417; "of the shortest length")]
fn a_short_grace_period_fails_requests_only_in_its_last_sixth(grace_s: f64, deadline_ms: u64) {
    let (mut shutdown, now) = started(grace_s);
    assert_eq!(shutdown.step(now + shutdown.grace() / 2, INCOMPLETE), Step::CloseListeners);
    let deadline = now + Duration::from_millis(deadline_ms);
    assert_eq!(shutdown.step(deadline - MILLISECOND, INCOMPLETE), Step::Wait);
    assert_eq!(shutdown.step(deadline, INCOMPLETE), Step::FailInFlight);
    assert!(deadline + shutdown.final_response_time() <= now + shutdown.grace() + MILLISECOND);
}

#[test]
fn the_grace_period_is_clamped_to_its_bounds() {
    let grace = |seconds| GracefulShutdown::new(seconds).grace();
    assert_eq!((grace(0.0), grace(1e9)), (Duration::from_millis(500), Duration::from_secs(600)));
    let (mut shutdown, now) = started(0.0);
    assert_eq!(shutdown.step(now + Duration::from_millis(250), INCOMPLETE), Step::CloseListeners);
    assert_eq!(shutdown.step(now + Duration::from_millis(417), INCOMPLETE), Step::FailInFlight);
}

#[test]
fn a_second_sigterm_does_not_restart_the_grace_period() {
    let (mut shutdown, now) = started(6.0);
    shutdown.start(now + Duration::from_secs(5));
    assert_eq!(shutdown.step(now + DEREGISTRATION_DELAY, INCOMPLETE), Step::CloseListeners);
}
