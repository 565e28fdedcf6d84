//! What a program brings to a dispatcher, and what it gets back for a request.

use crate::body::ResponseBody;
use crate::hooks::{RequestEnd, RequestHooks};
use brassport_policy::{CustomerId, Millis, Settings};
use hyper::Response;
use std::rc::Rc;

/// The final outcome of a request, for its client.
pub enum RequestOutcome {
    /// A backend's response.
    Served(Response<ResponseBody>),
    /// Rejected: it has not run, and sending it again is harmless, after so many milliseconds if that is not 0.
    Rejected(Millis),
    /// It failed, and may have run.
    Failed,
}

impl RequestOutcome {
    /// How the request ended, for hooks.
    pub(super) fn end(&self) -> RequestEnd {
        match self {
            RequestOutcome::Served(_) => RequestEnd::Served,
            RequestOutcome::Rejected(wait_ms) => RequestEnd::Rejected(*wait_ms),
            RequestOutcome::Failed => RequestEnd::Failed,
        }
    }
}

/// Measures customers' use on this side, where backends do not report it. No I/O.
pub trait UsageMeter {
    /// Records an attempt that a backend may have run.
    fn record(&mut self, now: Millis, customer: CustomerId, units: f64);

    /// The customer's use in the last finished period, as a share of its plan's rate.
    fn reading(&mut self, now: Millis, customer: CustomerId, plan: usize) -> Option<f64>;

    /// Applies other settings; a plan keeps its index.
    fn apply_settings(&mut self, settings: &Settings);
}

/// What a program brings to a dispatcher.
pub struct DispatcherOptions {
    /// The meter, where backends do not report use.
    pub meter: Option<Box<dyn UsageMeter>>,
    /// Called at the phases of each request.
    pub hooks: Option<Rc<dyn RequestHooks>>,
    /// Called for each attempt that has ended, before the policy is notified, with the request's customer.
    pub on_attempt_end: Box<dyn Fn(CustomerId)>,
    /// The policy clock of the process whose place this one takes: its time, and the Unix time of its start, both in
    /// milliseconds.
    pub inherited_clock: Option<(Millis, Millis)>,
}
