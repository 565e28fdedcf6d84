//! The request hooks of one service: they count requests and attempts, and charge attempts to the tenant's quota.

use crate::metrics::RequestCounters;
use crate::tenant_quotas::{tenant_of, TenantQuotas, NO_TENANT};
use brassport_policy::{AttemptEnd, Millis, Request, RequestId};
use brassport_proxy::clock::Clock;
use brassport_proxy::hooks::{RequestEnd, RequestHooks};
use brassport_quota::TenantId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// A request that awaits its response or the ends of its attempts.
#[derive(Debug)]
struct InFlight {
    tenant: TenantId,
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
    fn on_admitted(&self, _: &str, request: &Request) {
        let in_flight = InFlight { tenant: tenant_of(request.customer), client_left_ms: None };
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

    fn on_attempt_end(&self, _: &str, end: &AttemptEnd) {
        let client_left_ms =
            self.in_flight.borrow().get(&end.request).and_then(|in_flight| in_flight.client_left_ms);
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
