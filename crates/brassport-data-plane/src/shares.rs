//! What a tenant may make at this door: counted before each attempt, in front of which the decision module has let the
//! request pass.

use brassport_policy::{CustomerId, Millis, Settings};
use brassport_proxy::clock::Clock;
use brassport_proxy::door::Meter;
use brassport_quota::{Borrower, QuotaGrant, RateLimit, TenantId, UsageReport, PERIOD};
use brassport_types::Term;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// Stands for requests without a tenant.
pub const NOBODY: TenantId = TenantId::NONE;

/// Limits of all tenants at this door.
#[derive(Debug)]
pub struct Shares<C> {
    clock: C,
    start: Instant,
    borrower: RefCell<Borrower>,
    limits: RefCell<HashMap<TenantId, RateLimit>>,
    slots: Cell<u32>,
}

impl<C: Clock> Shares<C> {
    /// Nothing is lent yet.
    pub fn new(clock: C) -> Rc<Shares<C>> {
        let start = clock.now();
        Rc::new(Shares {
            clock,
            start,
            borrower: RefCell::default(),
            limits: RefCell::default(),
            slots: Cell::new(1),
        })
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> brassport_quota::Millis {
        self.clock.now().saturating_duration_since(self.start).as_millis() as brassport_quota::Millis
    }

    /// Other limits hold from now on.
    pub fn settle(&self, limits: HashMap<TenantId, RateLimit>, slots: u32) {
        self.limits.replace(limits);
        self.slots.set(slots.max(1));
    }

    /// Parts that limits are cut into.
    pub fn slots(&self) -> u32 {
        self.slots.get()
    }

    /// Counts a request that came.
    pub fn offered(&self, tenant: TenantId) {
        self.borrower.borrow_mut().offered(self.now(), tenant);
    }

    /// Whether a tenant makes about all that it may: a refusal is for that.
    pub fn is_over(&self, tenant: TenantId) -> bool {
        let (limit, now) = (self.limit(tenant), self.now());
        let borrower = self.borrower.borrow();
        let much =
            borrower.reading(now, tenant).is_some_and(|sent| f64::from(sent) >= 0.8 * limit.rate_per_s);
        limit.rate_per_s > 0.0 && (much || borrower.refused_lately(now, tenant))
    }

    /// Whether some tenant has little left here.
    pub fn is_urgent(&self) -> bool {
        self.borrower.borrow().is_urgent()
    }

    /// The next report to the lender.
    pub fn report(&self) -> (u32, Vec<UsageReport>) {
        self.borrower.borrow_mut().report(self.now())
    }

    /// Takes in what was lent.
    pub fn apply_grants(&self, term: Term, number: u32, loans: &[QuotaGrant]) {
        self.borrower.borrow_mut().apply_grants(self.now(), term, number, loans);
    }

    fn limit(&self, tenant: TenantId) -> RateLimit {
        self.limits.borrow().get(&tenant).copied().unwrap_or(RateLimit { rate_per_s: 0.0, burst: 0.0 })
    }

    /// Counts an attempt that goes out whatever is left.
    pub(crate) fn take_anyway(&self, tenant: TenantId) {
        if tenant != NOBODY {
            self.borrower.borrow_mut().take_anyway(self.now(), tenant);
        }
    }

    /// Takes one attempt of a tenant's share.
    ///
    /// # Errors
    /// Nothing is left of it; how long to wait.
    pub(crate) fn take(&self, tenant: TenantId) -> Result<(), brassport_quota::Millis> {
        if tenant == NOBODY {
            return Ok(());
        }
        let limit = self.limit(tenant);
        self.borrower.borrow_mut().take(self.now(), tenant, limit, self.slots.get())
    }
}

/// The tenant that a customer of the module stands for.
pub(crate) fn tenant(customer: CustomerId) -> TenantId {
    u32::try_from(customer).map_or(NOBODY, TenantId)
}

/// The reading of the doors' counts as the module's meter.
pub struct Readings<C> {
    /// Where they come in.
    pub shares: Rc<Shares<C>>,
    /// Of each plan, requests a second.
    pub rates: Vec<f64>,
}

impl<C: Clock> Meter for Readings<C> {
    fn count(&mut self, _: Millis, _: CustomerId, _: f64) {}

    fn reading(&mut self, _: Millis, customer: CustomerId, plan: usize) -> Option<f64> {
        let rate = self.rates.get(plan).copied().filter(|rate| *rate > 0.0)?;
        let sent = self.shares.borrower.borrow().reading(self.shares.now(), tenant(customer))?;
        Some(f64::from(sent) / (rate * PERIOD as f64 / 1000.0))
    }

    fn settle(&mut self, settings: &Settings) {
        self.rates = settings.plans.iter().map(|plan| plan.rate).collect();
    }
}
