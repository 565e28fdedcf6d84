//! The rate limits of tenants on this node: the limits of the configuration and the grants of the quota coordinator.
//! Each attempt is charged to its tenant's quota before it is sent, after the policy has admitted the request.

use brassport_policy::{CustomerId, Millis, Settings};
use brassport_proxy::clock::Clock;
use brassport_proxy::dispatch;
use brassport_quota::{NodeQuotas, QuotaGrant, RateLimit, TenantId, UsageReport, METER_PERIOD_MS};
use brassport_types::Term;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Instant;

/// The tenant id of requests without a tenant, which have no limit.
pub const NO_TENANT: TenantId = TenantId::NONE;

/// The fraction of its rate limit from which a tenant counts as being at its limit. It is below 1 because readings lag
/// by one metering period.
const NEAR_LIMIT: f64 = 0.8;

/// The quotas of all tenants on this node.
#[derive(Debug)]
pub struct TenantQuotas<C> {
    clock: C,
    start: Instant,
    node_quotas: RefCell<NodeQuotas>,
    limits: RefCell<HashMap<TenantId, RateLimit>>,
    shares: Cell<u32>,
}

impl<C: Clock> TenantQuotas<C> {
    /// Creates quotas without limits or grants, and with a single share.
    pub fn new(clock: C) -> Rc<TenantQuotas<C>> {
        let start = clock.now();
        Rc::new(TenantQuotas {
            clock,
            start,
            node_quotas: RefCell::default(),
            limits: RefCell::default(),
            shares: Cell::new(1),
        })
    }

    /// The time in milliseconds since these quotas were created.
    pub fn now(&self) -> brassport_quota::Millis {
        self.clock.now().saturating_duration_since(self.start).as_millis() as brassport_quota::Millis
    }

    /// Replaces the limits and the number of equal shares into which each limit is divided.
    pub fn set_limits(&self, limits: HashMap<TenantId, RateLimit>, shares: u32) {
        self.limits.replace(limits);
        self.shares.set(shares.max(1));
    }

    /// The number of shares; at least 1.
    pub fn shares(&self) -> u32 {
        self.shares.get()
    }

    /// Counts an incoming request, regardless of its outcome.
    pub fn record_offered(&self, tenant: TenantId) {
        if tenant != NO_TENANT {
            self.node_quotas.borrow_mut().record_offered(self.now(), tenant);
        }
    }

    /// Whether a tenant used at least 80 % of its limit in the last meter period, or was rejected on this node within
    /// the last two periods, so that a rejection is attributed to the limit. Always false for a tenant without a limit.
    pub fn is_exhausted(&self, tenant: TenantId) -> bool {
        let (limit, now) = (self.limit(tenant), self.now());
        let node_quotas = self.node_quotas.borrow();
        let is_near = node_quotas
            .meter_reading(now, tenant)
            .is_some_and(|sent| f64::from(sent) >= NEAR_LIMIT * limit.rate_per_s);
        limit.rate_per_s > 0.0 && (is_near || node_quotas.rejected_recently(now, tenant))
    }

    /// Whether some tenant can send fewer than two further requests on this node before the next grant, so that usage
    /// has to be reported without delay.
    pub fn is_urgent(&self) -> bool {
        self.node_quotas.borrow().is_report_urgent()
    }

    /// Creates the next usage report to the quota coordinator. Returns the number of the report and its entries.
    pub fn report_usage(&self) -> (u32, Vec<UsageReport>) {
        self.node_quotas.borrow_mut().next_report(self.now())
    }

    /// Applies the grants of the quota coordinator in response to the report with this number.
    pub fn apply_grants(&self, term: Term, number: u32, grants: &[QuotaGrant]) {
        self.node_quotas.borrow_mut().apply_grants(self.now(), term, number, grants);
    }

    fn limit(&self, tenant: TenantId) -> RateLimit {
        self.limits.borrow().get(&tenant).copied().unwrap_or(RateLimit { rate_per_s: 0.0, burst: 0.0 })
    }

    /// Charges one attempt to a tenant's quota even if it is exhausted; later attempts compensate for the overdraft.
    pub(crate) fn force_acquire(&self, tenant: TenantId) {
        if tenant != NO_TENANT {
            self.node_quotas.borrow_mut().force_acquire(self.now(), tenant);
        }
    }

    /// Charges one attempt to a tenant's quota.
    ///
    /// # Errors
    /// The quota is exhausted. The error is the suggested retry delay in milliseconds.
    pub(crate) fn try_acquire(&self, tenant: TenantId) -> Result<(), brassport_quota::Millis> {
        if tenant == NO_TENANT {
            return Ok(());
        }
        let limit = self.limit(tenant);
        self.node_quotas.borrow_mut().try_acquire(self.now(), tenant, limit, self.shares.get())
    }
}

/// The tenant with this customer id in the policy.
pub(crate) fn tenant_of(customer: CustomerId) -> TenantId {
    u32::try_from(customer).map_or(NO_TENANT, TenantId)
}

/// The usage meter of the policy: the usage of tenants over all nodes, as reported by the quota coordinator.
#[derive(Debug)]
pub(crate) struct UsageMeter<C> {
    quotas: Rc<TenantQuotas<C>>,
    /// The rate limit of each plan, by index; 0 means no limit.
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
    /// Does nothing: usage is recorded when the quota is charged.
    fn record(&mut self, _: Millis, _: CustomerId, _: f64) {}

    fn reading(&mut self, _: Millis, customer: CustomerId, plan: usize) -> Option<f64> {
        let rate = self.rates_per_s.get(plan).copied().filter(|rate| *rate > 0.0)?;
        let sent = self.quotas.node_quotas.borrow().meter_reading(self.quotas.now(), tenant_of(customer))?;
        Some(f64::from(sent) / (rate * METER_PERIOD_MS as f64 / 1000.0))
    }

    fn apply_settings(&mut self, settings: &Settings) {
        self.rates_per_s = rates_per_s(settings);
    }
}
