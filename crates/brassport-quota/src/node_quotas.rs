//! The node's part of the protocol: for each tenant a local token bucket, and requests granted by the
//! coordinator in advance.

use crate::account::Account;
use crate::mutants::{is_active, Mutant};
use crate::retry_delays::CoordinatorContact;
use crate::{Millis, QuotaGrant, RateLimit, TenantId, Term, UsageReport, GRANT_TIMEOUT_MS, METER_PERIOD_MS};
use std::collections::BTreeMap;

/// Time without requests after which a tenant's account is removed. Limits the table to the tenants in use.
const ACCOUNT_IDLE_TIMEOUT_MS: Millis = 60_000;
/// Maximum number of reports that wait for a response. It covers [`GRANT_TIMEOUT_MS`] at the host's report
/// period, and limits memory while no coordinator responds. A new report replaces the oldest one.
const MAX_PENDING_REPORTS: usize = 8;
/// Time after a coordinator's response for which it is considered reachable.
const COORDINATOR_CONTACT_TIMEOUT_MS: Millis = 900;

/// One node's quotas and counters of all tenants.
///
/// The host calls [`NodeQuotas::try_acquire`] for each request. It sends [`NodeQuotas::next_report`] to the
/// coordinator periodically, and immediately if [`NodeQuotas::is_report_urgent`] is true, and passes the
/// response to [`NodeQuotas::apply_grants`].
#[derive(Debug, Default)]
pub struct NodeQuotas {
    accounts: BTreeMap<TenantId, Account>,
    /// Highest term whose grants were applied. Grants of a lower term come from a deposed coordinator and are
    /// ignored.
    term: Term,
    /// Send times of the reports without a response, by report number.
    pending_reports: BTreeMap<u32, Millis>,
    last_report: u32,
    last_grant: Option<Millis>,
    is_report_urgent: bool,
}

impl NodeQuotas {
    /// Counts a received request.
    pub fn record_offered(&mut self, now: Millis, tenant: TenantId) {
        self.account(now, tenant).record_offered();
    }

    fn account(&mut self, now: Millis, tenant: TenantId) -> &mut Account {
        let account = self.accounts.entry(tenant).or_default();
        account.record_use(now);
        account
    }

    /// Takes one request from this node's share of the limit, which is divided into `quota_shares` equal
    /// shares.
    ///
    /// # Errors
    /// If nothing is left of the share: the retry delay for the client, in milliseconds.
    pub fn try_acquire(
        &mut self,
        now: Millis,
        tenant: TenantId,
        limit: RateLimit,
        quota_shares: u32,
    ) -> Result<(), Millis> {
        let contact = self.coordinator_contact(now);
        let account = self.account(now, tenant);
        if !limit.is_limited() {
            account.record_unlimited();
            return Ok(());
        }
        let share = limit.share(if is_active(Mutant::UndividedBase) { 1 } else { quota_shares });
        account.refill(now, &share);
        let result = match account.try_acquire(&share) {
            true => Ok(()),
            false => Err(account.reject(now, &share, contact)),
        };
        let is_low = account.is_low();
        self.is_report_urgent |= is_low;
        result
    }

    fn coordinator_contact(&self, now: Millis) -> CoordinatorContact {
        match self.last_grant {
            Some(at) if now < at + COORDINATOR_CONTACT_TIMEOUT_MS => CoordinatorContact::Recent,
            _ => CoordinatorContact::Lost,
        }
    }

    /// Takes one request even if nothing is left of the share. The excess is deducted from later grants.
    pub fn force_acquire(&mut self, now: Millis, tenant: TenantId) {
        self.account(now, tenant).force_acquire();
    }

    /// Returns whether the next report should be sent immediately: since the last report, some tenant had
    /// quota left for fewer than two further requests without a grant.
    pub fn is_report_urgent(&self) -> bool {
        self.is_report_urgent
    }

    /// Returns whether this node rejected a request of the tenant within the last two meter periods.
    pub fn rejected_recently(&self, now: Millis, tenant: TenantId) -> bool {
        let rejected = self.accounts.get(&tenant).and_then(Account::last_rejection);
        rejected.is_some_and(|at| now < at + 2 * METER_PERIOD_MS)
    }

    /// Returns the tenant's requests that all nodes forwarded in the last complete meter period; `None`
    /// without a reading from the last two periods.
    pub fn meter_reading(&self, now: Millis, tenant: TenantId) -> Option<u32> {
        self.accounts.get(&tenant)?.meter_reading(now)
    }

    /// Returns the number of the next report to the coordinator, and its entries: the tenants whose counts
    /// changed or that need grants.
    pub fn next_report(&mut self, now: Millis) -> (u32, Vec<UsageReport>) {
        self.is_report_urgent = false;
        self.accounts.retain(|_, account| !account.is_idle(now, ACCOUNT_IDLE_TIMEOUT_MS));
        self.last_report = self.last_report.wrapping_add(1);
        self.pending_reports.insert(self.last_report, now);
        while self.pending_reports.len() > MAX_PENDING_REPORTS {
            self.pending_reports.pop_first();
        }
        let usage =
            self.accounts.iter_mut().filter_map(|(tenant, account)| account.next_report(*tenant)).collect();
        (self.last_report, usage)
    }

    /// Adds the requests that a coordinator granted in response to the report with this number.
    ///
    /// Ignores a second response to a report, a response that arrives [`GRANT_TIMEOUT_MS`] after the report
    /// or later, and a response whose term is lower than that of an earlier one. Ignoring grants cannot lead
    /// to an excess over the limit, as the coordinator has already debited them.
    pub fn apply_grants(&mut self, now: Millis, term: Term, number: u32, grants: &[QuotaGrant]) {
        let Some(sent_at) = self.pending_reports.remove(&number) else { return };
        if term < self.term || now >= sent_at + GRANT_TIMEOUT_MS {
            return;
        }
        self.term = term;
        self.last_grant = Some(now);
        for grant in grants {
            if let Some(account) = self.accounts.get_mut(&grant.tenant) {
                account.apply_grant(now, grant);
            }
        }
    }
}
