//! What tenants may send through this node: the rate limits of the configuration, and the grants of the quota's coordinator.
//! A tenant's quota is taken before each attempt, behind the policy's admission of its request.

use brassport_policy::{CustomerId, Millis, Settings};
use brassport_proxy::clock::Clock;
use brassport_proxy::dispatch;
use brassport_quota::{NodeQuotas, QuotaGrant, RateLimit, TenantId, UsageReport, METER_PERIOD_MS};
use brassport_types::Term;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// Requests without a tenant; they have no limit.
pub const NO_TENANT: TenantId = TenantId::NONE;

/// From this part of its rate on, a tenant is taken to be at its limit: readings lag by a period.
const NEAR_LIMIT: f64 = 0.8;

/// The quotas of all tenants at this node.
#[derive(Debug)]
pub struct TenantQuotas<C> {
    clock: C,
    start: Instant,
    borrower: RefCell<NodeQuotas>,
    limits: RefCell<HashMap<TenantId, RateLimit>>,
    shares: Cell<u32>,
}

impl<C: Clock> TenantQuotas<C> {
    /// No limits, no grants, and one share.
    pub fn new(clock: C) -> Rc<TenantQuotas<C>> {
        let start = clock.now();
        Rc::new(TenantQuotas {
            clock,
            start,
            borrower: RefCell::default(),
            limits: RefCell::default(),
            shares: Cell::new(1),
        })
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> brassport_quota::Millis {
        self.clock.now().saturating_duration_since(self.start).as_millis() as brassport_quota::Millis
    }

    /// Replaces the limits, and the number of equal shares that they are cut into.
    pub fn set_limits(&self, limits: HashMap<TenantId, RateLimit>, shares: u32) {
        self.limits.replace(limits);
        self.shares.set(shares.max(1));
    }

    /// The number of shares; 1 at the least.
    pub fn shares(&self) -> u32 {
        self.shares.get()
    }

    /// Counts a request that came, whatever becomes of it.
    pub fn record_offered(&self, tenant: TenantId) {
        if tenant != NO_TENANT {
            self.borrower.borrow_mut().record_offered(self.now(), tenant);
        }
    }

    /// Whether a tenant sends about all that it may, so that a rejection is for its limit.
    pub fn is_exhausted(&self, tenant: TenantId) -> bool {
        let (limit, now) = (self.limit(tenant), self.now());
        let borrower = self.borrower.borrow();
        let is_near = borrower
            .meter_reading(now, tenant)
            .is_some_and(|sent| f64::from(sent) >= NEAR_LIMIT * limit.rate_per_s);
        limit.rate_per_s > 0.0 && (is_near || borrower.rejected_recently(now, tenant))
    }

    /// Whether some tenant has little left here: its usage is to be reported without delay.
    pub fn is_urgent(&self) -> bool {
        self.borrower.borrow().is_report_urgent()
    }

    /// The next report to the coordinator, and its number.
    pub fn report_usage(&self) -> (u32, Vec<UsageReport>) {
        self.borrower.borrow_mut().next_report(self.now())
    }

    /// Applies the coordinator's grants upon the report of this number.
    pub fn apply_grants(&self, term: Term, number: u32, grants: &[QuotaGrant]) {
        self.borrower.borrow_mut().apply_grants(self.now(), term, number, grants);
    }

    fn limit(&self, tenant: TenantId) -> RateLimit {
        self.limits.borrow().get(&tenant).copied().unwrap_or(RateLimit { rate_per_s: 0.0, burst: 0.0 })
    }

    /// Takes one attempt of a tenant's quota, also where nothing is left: those that come next make up for it.
    pub(crate) fn force_take(&self, tenant: TenantId) {
        if tenant != NO_TENANT {
            self.borrower.borrow_mut().force_acquire(self.now(), tenant);
        }
    }

    /// Takes one attempt of a tenant's quota.
    ///
    /// # Errors
    /// Nothing is left; in how many milliseconds there may be.
    pub(crate) fn take(&self, tenant: TenantId) -> Result<(), brassport_quota::Millis> {
        if tenant == NO_TENANT {
            return Ok(());
        }
        let limit = self.limit(tenant);
        self.borrower.borrow_mut().try_acquire(self.now(), tenant, limit, self.shares.get())
    }
}

/// The tenant that a customer of the policy stands for.
pub(crate) fn tenant_of(customer: CustomerId) -> TenantId {
    u32::try_from(customer).map_or(NO_TENANT, TenantId)
}

/// The policy's meter: the tenants' usage over all nodes, as the coordinator reports it.
#[derive(Debug)]
pub(crate) struct UsageMeter<C> {
    quotas: Rc<TenantQuotas<C>>,
    /// Of each plan, by index; 0 is no limit.
    rates_per_s: Vec<f64>,
}

impl<C> UsageMeter<C> {
    pub(crate) fn new(quotas: Rc<TenantQuotas<C>>, settings: &Settings) -> UsageMeter<C> {
        UsageMeter { quotas, rates_per_s: rates_per_s(settings) }
    }
}

fn rates_per_s(settings: &Settings) -> Vec<f64> {
    settings.plans.iter().map(|plan| plan.rate).collect()
}

impl<C: Clock> dispatch::UsageMeter for UsageMeter<C> {
    /// The quota counts where it is taken.
    fn record(&mut self, _: Millis, _: CustomerId, _: f64) {}

    fn reading(&mut self, _: Millis, customer: CustomerId, plan: usize) -> Option<f64> {
        let rate = self.rates_per_s.get(plan).copied().filter(|rate| *rate > 0.0)?;
        let sent = self.quotas.borrower.borrow().meter_reading(self.quotas.now(), tenant_of(customer))?;
        Some(f64::from(sent) / (rate * METER_PERIOD_MS as f64 / 1000.0))
    }

    fn apply_settings(&mut self, settings: &Settings) {
        self.rates_per_s = rates_per_s(settings);
    }
}
