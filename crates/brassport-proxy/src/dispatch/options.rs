//! The options of a dispatcher, the usage meter interface, and the outcome of a request.

use crate::body::ResponseBody;
use crate::hooks::{RequestEnd, RequestHooks};
use brassport_policy::{CustomerId, Millis, Settings};
use hyper::Response;
use std::rc::Rc;

/// The final outcome of a request for its client.
pub enum RequestOutcome {
    /// The response of a backend.
    Served(Response<ResponseBody>),
    /// The request was rejected. It has not run and may safely be retried. The value is the suggested retry delay in
    /// milliseconds; 0 means no suggestion.
    Rejected(Millis),
    /// The request failed. It may have run.
    Failed,
}

impl RequestOutcome {
    /// The outcome as it is reported to hooks.
    pub(super) fn end(&self) -> RequestEnd {
        match self {
            RequestOutcome::Served(_) => RequestEnd::Served,
            RequestOutcome::Rejected(wait_ms) => RequestEnd::Rejected(*wait_ms),
            RequestOutcome::Failed => RequestEnd::Failed,
        }
    }
}

/// Measures the usage of customers locally, for backends that do not report it. No I/O.
pub trait UsageMeter {
    /// Records an attempt that a backend may have run, with its cost in units.
    fn record(&mut self, now: Millis, customer: CustomerId, units: f64);

    /// The customer's usage in the last complete metering period, as a fraction of the rate of its plan.
    fn reading(&mut self, now: Millis, customer: CustomerId, plan: usize) -> Option<f64>;

    /// Replaces the settings. Plans keep their indexes.
    fn apply_settings(&mut self, settings: &Settings);
}

/// The options of a dispatcher.
pub struct DispatcherOptions {
    /// The usage meter; `None` if backends report usage.
    pub meter: Option<Box<dyn UsageMeter>>,
    /// Callbacks at the phases of each request.
    pub hooks: Option<Rc<dyn RequestHooks>>,
    /// Called with the customer of the request when an attempt has ended, before the policy is notified.
    pub on_attempt_end: Box<dyn Fn(CustomerId)>,
    /// The policy clock of the process that this one replaces: its current time and the Unix time of its start, both in
    /// milliseconds. `None` if this process does not replace another one.
    pub inherited_clock: Option<(Millis, Millis)>,
}
