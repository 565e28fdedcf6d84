//! The request hooks of one service: they count requests and attempts, and charge attempts to the tenant's quota.

use crate::metrics::RequestCounters;
use crate::tenant_quotas::{tenant_of, TenantQuotas, NO_TENANT};
use brassport_policy::{AttemptEnd, Millis, Request, RequestId};
use brassport_proxy::clock::Clock;
use brassport_proxy::hooks::{RequestEnd, RequestHooks};
use brassport_proxy::protocol::AttemptTrace;
use brassport_proxy::upstream::ConnectionId;
use brassport_quota::TenantId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// A request that awaits its response or the ends of its attempts.
#[derive(Debug)]
struct InFlight {
    tenant: TenantId,
    /// The request id; `None` unless the ends of attempts are logged.
    name: Option<Box<str>>,
    /// When the client disconnected without a response, in the time of [`TenantQuotas::now`]; `None` if it did not.
    client_left_ms: Option<brassport_quota::Millis>,
}

/// The hooks for the dispatcher of one service.
#[derive(Debug)]
pub(crate) struct ServiceHooks<C> {
    quotas: Rc<TenantQuotas<C>>,
    counters: Rc<RequestCounters>,
    in_flight: RefCell<HashMap<RequestId, InFlight>>,
}

impl<C: Clock> ServiceHooks<C> {
    /// Creates hooks that charge to these quotas and increment these counters.
    pub(crate) fn new(quotas: Rc<TenantQuotas<C>>, counters: Rc<RequestCounters>) -> ServiceHooks<C> {
        ServiceHooks { quotas, counters, in_flight: RefCell::default() }
    }
}

impl<C: Clock> RequestHooks for ServiceHooks<C> {
    fn on_admitted(&self, name: &str, request: &Request) {
        let name = log::log_enabled!(log::Level::Debug).then(|| name.into());
        let in_flight = InFlight { tenant: tenant_of(request.customer), name, client_left_ms: None };
        self.in_flight.borrow_mut().insert(request.id, in_flight);
    }

    fn may_send(&self, request: RequestId, attempt: u8) -> Result<(), Millis> {
        let tenant = self.in_flight.borrow().get(&request).map_or(NO_TENANT, |in_flight| in_flight.tenant);
        if attempt > 0 {
            // The policy has replaced the previous attempt by this one, so skipping this one would fail the request.
            self.quotas.force_acquire(tenant);
            return Ok(());
        }
        self.quotas.try_acquire(tenant).map_err(|wait_ms| {
            self.counters.quota_exhausted.increment();
            wait_ms as Millis
        })
    }

    fn on_attempt_end(&self, backend: &str, end: &AttemptEnd, trace: &AttemptTrace) {
        if let Some(evidence) = trace.evidence {
            self.counters.record_not_run(evidence);
        }
        let in_flight = self.in_flight.borrow();
        let request = in_flight.get(&end.request);
        if let Some(name) = request.and_then(|request| request.name.as_deref()) {
            log_attempt_end(name, backend, end, trace);
        }
        let client_left_ms = request.and_then(|request| request.client_left_ms);
        let since_client_left_ms = client_left_ms.map(|at| self.quotas.now().saturating_sub(at));
        self.counters.record_attempt(end.outcome, since_client_left_ms);
    }

    fn on_request_end(&self, request: RequestId, end: RequestEnd) {
        self.counters.record_request(end);
        if end == RequestEnd::ClientLeft {
            if let Some(in_flight) = self.in_flight.borrow_mut().get_mut(&request) {
                in_flight.client_left_ms = Some(self.quotas.now());
            }
        }
    }

    fn on_request_removed(&self, request: RequestId) {
        self.in_flight.borrow_mut().remove(&request);
    }
}

/// Logs the end of an attempt with all that decides whether its request may be retried or rejected.
fn log_attempt_end(name: &str, backend: &str, end: &AttemptEnd, trace: &AttemptTrace) {
    let connection = trace.connection.map(|ConnectionId(number)| number);
    log::debug!(
        "attempt ended request={name} attempt={attempt} backend={backend} connection={connection:?} \
         outcome={outcome:?} evidence={evidence:?}",
        attempt = end.attempt,
        outcome = end.outcome,
        evidence = trace.evidence,
    );
}
