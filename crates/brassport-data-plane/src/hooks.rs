//! What one service's door tells of its requests: it counts them, and takes first attempts from the tenant's share.

use crate::metrics::RequestCounters;
use crate::shares::{tenant, Shares, NOBODY};
use brassport_policy::{AttemptEnd, Millis, Request, RequestId};
use brassport_proxy::clock::Clock;
use brassport_proxy::hooks::{Hooks, Verdict};
use brassport_quota::TenantId;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

/// A request that awaits its answer or the ends of its attempts.
#[derive(Debug)]
struct InFlight {
    tenant: TenantId,
    /// When its client left without an answer.
    client_left: Option<brassport_quota::Millis>,
}

/// The hooks of one service's door.
#[derive(Debug)]
pub struct ServiceHooks<C> {
    shares: Rc<Shares<C>>,
    counters: Rc<RequestCounters>,
    in_flight: RefCell<HashMap<RequestId, InFlight>>,
}

impl<C: Clock> ServiceHooks<C> {
    /// Hooks that take from these shares and count here.
    pub fn new(shares: Rc<Shares<C>>, counters: Rc<RequestCounters>) -> ServiceHooks<C> {
        ServiceHooks { shares, counters, in_flight: RefCell::default() }
    }
}

impl<C: Clock> Hooks for ServiceHooks<C> {
    fn admitted(&self, _: &str, request: &Request) {
        let in_flight = InFlight { tenant: tenant(request.customer), client_left: None };
        self.in_flight.borrow_mut().insert(request.id, in_flight);
    }

    fn may_send(&self, request: RequestId, attempt: u8) -> Result<(), Millis> {
        let tenant = self.in_flight.borrow().get(&request).map_or(NOBODY, |one| one.tenant);
        if attempt > 0 {
            // The module has given the one before up for it: it counts, and is made up for by those that come next.
            self.shares.take_anyway(tenant);
            return Ok(());
        }
        self.shares.take(tenant).map_err(|wait| {
            self.counters.no_share.increment();
            wait as Millis
        })
    }

    fn attempt_ended(&self, _: &str, end: &AttemptEnd) {
        let client_left = self.in_flight.borrow().get(&end.request).and_then(|one| one.client_left);
        let since = client_left.map(|at| self.shares.now().saturating_sub(at));
        self.counters.attempt_ended(end.outcome, since);
    }

    fn answered(&self, request: RequestId, verdict: Verdict) {
        self.counters.answered(verdict);
        if verdict == Verdict::Left {
            if let Some(one) = self.in_flight.borrow_mut().get_mut(&request) {
                one.client_left = Some(self.shares.now());
            }
        }
    }

    fn departed(&self, request: RequestId) {
        self.in_flight.borrow_mut().remove(&request);
    }
}
