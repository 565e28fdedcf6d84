//! Metrics: the number of requests by class and result, and of those still pending. No I/O.
//!
//! Each request has one [`RequestTracker`], which counts its result exactly once, on every code path. At any moment
//! `received = completed + rejected + failed + pending` holds for each class.

use crate::protocol::{AttemptEvent, AttemptObserver};
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::rc::Rc;

/// The result of a request, from its client's view.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestResult {
    Completed,
    Rejected,
    Failed,
}

impl From<StatusCode> for RequestResult {
    fn from(status: StatusCode) -> RequestResult {
        match status {
            StatusCode::OK => RequestResult::Completed,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => RequestResult::Rejected,
            _ => RequestResult::Failed,
        }
    }
}

/// The request counts of one class, since the start of the process.
#[derive(Debug, Default)]
struct Counts {
    received: Cell<u64>,
    completed: Cell<u64>,
    rejected: Cell<u64>,
    failed: Cell<u64>,
}

impl Counts {
    fn pending(&self) -> u64 {
        self.received.get() - self.completed.get() - self.rejected.get() - self.failed.get()
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// All metrics that the gateway counts.
#[derive(Debug, Default)]
pub struct Metrics {
    /// By class name: a class that is removed and added again continues its counts.
    classes: RefCell<BTreeMap<String, Rc<Counts>>>,
    /// Attempts whose request was written completely to a backend.
    attempts: Cell<u64>,
    reloads: Cell<u64>,
    reload_errors: Cell<u64>,
}

/// Metrics of the list of backends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BackendCounts {
    /// Backends in the list.
    pub members: usize,
    /// Listed backends that get no new requests now.
    pub unavailable: usize,
}

impl Metrics {
    /// Registers a class, whose counts are exported from then on, even while they are 0.
    pub fn register_class(&self, name: &str) {
        self.classes.borrow_mut().entry(name.to_string()).or_default();
    }

    /// Starts tracking a request of this class, at the arrival of its head.
    pub fn start_request(&self, class: &str) -> RequestTracker {
        let mut classes = self.classes.borrow_mut();
        let counts = match classes.get(class) {
            Some(counts) => counts.clone(),
            None => classes.entry(class.to_string()).or_default().clone(),
        };
        RequestTracker { state: Rc::new(State { counts, stage: Cell::new(Stage::Receiving) }) }
    }

    /// Counts a reload of the configuration, which was applied or rejected.
    pub fn record_reload(&self, is_applied: bool) {
        increment(if is_applied { &self.reloads } else { &self.reload_errors });
    }

    /// The current value of all metrics, one line each.
    pub fn render(&self, list: BackendCounts) -> String {
        let mut text = String::new();
        // Writing to a string never fails.
        let _ = self.write(&mut text, list);
        text
    }

    fn write(&self, out: &mut String, list: BackendCounts) -> fmt::Result {
        let mut pending = 0;
        for (name, counts) in self.classes.borrow().iter() {
            writeln!(out, "balancer.completed.{name}={}", counts.completed.get())?;
            writeln!(out, "balancer.rejected.{name}={}", counts.rejected.get())?;
            writeln!(out, "balancer.failed.{name}={}", counts.failed.get())?;
            pending += counts.pending();
        }
        writeln!(out, "balancer.upstream_requests={}", self.attempts.get())?;
        writeln!(out, "balancer.pending={pending}")?;
        writeln!(out, "balancer.members={}", list.members)?;
        writeln!(out, "balancer.members_unavailable={}", list.unavailable)?;
        writeln!(out, "balancer.config_reloads={}", self.reloads.get())?;
        writeln!(out, "balancer.config_reload_errors={}", self.reload_errors.get())
    }
}

impl AttemptObserver for Metrics {
    fn on_attempt(&self, event: AttemptEvent) {
        match event {
            AttemptEvent::Written => {
                increment(&self.attempts);
            }
            AttemptEvent::NotWritten => {
                self.attempts.set(self.attempts.get() - 1);
            }
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The request is not complete: it is not counted yet.
    Receiving,
    Pending,
    Finished,
}

/// Counts one request. A received request that is dropped without a result counts as failed: its client disconnected,
/// and otherwise it would stay pending for ever.
#[derive(Debug)]
pub struct RequestTracker {
    state: Rc<State>,
}

#[derive(Debug)]
struct State {
    counts: Rc<Counts>,
    stage: Cell<Stage>,
}

impl State {
    fn mark_received(&self) {
        if self.stage.get() == Stage::Receiving {
            self.stage.set(Stage::Pending);
            increment(&self.counts.received);
        }
    }
}

impl RequestTracker {
    /// Records that the whole request was received.
    pub fn mark_received(&self) {
        self.state.mark_received();
    }

    /// A callback to call once the whole request was received.
    pub fn received_callback(&self) -> impl FnOnce() + 'static {
        let state = self.state.clone();
        move || state.mark_received()
    }

    /// Records the request's result. Only the first call counts.
    pub fn finish(&self, result: RequestResult) {
        if self.state.stage.get() == Stage::Finished {
            return;
        }
        self.mark_received();
        self.state.stage.set(Stage::Finished);
        let counts = &self.state.counts;
        increment(match result {
            RequestResult::Completed => &counts.completed,
            RequestResult::Rejected => &counts.rejected,
            RequestResult::Failed => &counts.failed,
        });
    }
}

impl Drop for RequestTracker {
    fn drop(&mut self) {
        // A request that was never received completely is not counted.
        if self.state.stage.get() == Stage::Pending {
            self.finish(RequestResult::Failed);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn value_of(metrics: &Metrics, name: &str) -> u64 {
        let text = metrics.render(BackendCounts { members: 9, unavailable: 2 });
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix('='));
        line.unwrap_or_else(|| panic!("no {name} in\n{text}")).parse().expect("a number")
    }

    #[test]
    fn a_request_is_pending_until_its_first_result() {
        let metrics = Metrics::default();
        let tracker = metrics.start_request("preview");
        assert_eq!(value_of(&metrics, "balancer.pending"), 0, "the request is not complete");
        tracker.mark_received();
        assert_eq!(value_of(&metrics, "balancer.pending"), 1);
        tracker.finish(RequestResult::Completed);
        tracker.finish(RequestResult::Failed);
        drop(tracker);
        assert_eq!(value_of(&metrics, "balancer.completed.preview"), 1);
        assert_eq!(value_of(&metrics, "balancer.failed.preview"), 0);
        assert_eq!(value_of(&metrics, "balancer.pending"), 0);
    }

    #[test]
    fn a_request_whose_client_disconnected_counts_as_failed() {
        let metrics = Metrics::default();
        let tracker = metrics.start_request("preview");
        tracker.received_callback()();
        assert_eq!(value_of(&metrics, "balancer.pending"), 1);
        drop(tracker);
        drop(metrics.start_request("preview"));
        assert_eq!(value_of(&metrics, "balancer.pending"), 0);
        assert_eq!(value_of(&metrics, "balancer.failed.preview"), 1, "only the request that was received");
    }

    #[test]
    fn a_rejection_before_the_request_is_complete_counts() {
        let metrics = Metrics::default();
        metrics.start_request("submit").finish(RequestResult::from(StatusCode::TOO_MANY_REQUESTS));
        metrics.start_request("submit").finish(RequestResult::from(StatusCode::SERVICE_UNAVAILABLE));
        metrics.start_request("submit").finish(RequestResult::from(StatusCode::CONFLICT));
        assert_eq!(value_of(&metrics, "balancer.rejected.submit"), 2);
        assert_eq!(value_of(&metrics, "balancer.failed.submit"), 1);
    }

    #[test]
    fn metrics_without_requests() {
        let metrics = Metrics::default();
        metrics.register_class("preview");
        metrics.on_attempt(AttemptEvent::Written);
        metrics.record_reload(true);
        metrics.record_reload(false);
        metrics.record_reload(false);
        for (name, value) in [
            ("balancer.completed.preview", 0),
            ("balancer.rejected.preview", 0),
            ("balancer.failed.preview", 0),
            ("balancer.upstream_requests", 1),
            ("balancer.members", 9),
            ("balancer.members_unavailable", 2),
            ("balancer.config_reloads", 1),
            ("balancer.config_reload_errors", 2),
        ] {
            assert_eq!(value_of(&metrics, name), value, "{name}");
        }
    }
}
