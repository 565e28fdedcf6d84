//! What one service's policy host reports of its requests: they are counted, and attempts take from the tenant's quota.

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
    /// When its client left without a response, in the quotas' time.
    client_left_ms: Option<brassport_quota::Millis>,
}

/// The hooks of one service's policy host.
#[derive(Debug)]
pub(crate) struct ServiceHooks<C> {
    quotas: Rc<TenantQuotas<C>>,
    counters: Rc<RequestCounters>,
    in_flight: RefCell<HashMap<RequestId, InFlight>>,
}

impl<C: Clock> ServiceHooks<C> {
    /// Hooks that take from these quotas and count here.
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
        let tenant = self.in_flight.borrow().get(&request).map_or(NO_TENANT, |one| one.tenant);
        if attempt > 0 {
            // The policy has given up the attempt before for this one: rejecting it now would lose the request.
            self.quotas.force_take(tenant);
            return Ok(());
        }
        self.quotas.take(tenant).map_err(|wait_ms| {
            self.counters.quota_exhausted.increment();
            wait_ms as Millis
        })
    }

    fn on_attempt_end(&self, _: &str, end: &AttemptEnd) {
        let client_left_ms = self.in_flight.borrow().get(&end.request).and_then(|one| one.client_left_ms);
        let since_ms = client_left_ms.map(|at| self.quotas.now().saturating_sub(at));
        self.counters.record_attempt(end.outcome, since_ms);
    }

    fn on_request_end(&self, request: RequestId, verdict: RequestEnd) {
        self.counters.record_verdict(verdict);
        if verdict == RequestEnd::ClientLeft {
            if let Some(one) = self.in_flight.borrow_mut().get_mut(&request) {
                one.client_left_ms = Some(self.quotas.now());
            }
        }
    }

    fn on_request_removed(&self, request: RequestId) {
        self.in_flight.borrow_mut().remove(&request);
    }
}
