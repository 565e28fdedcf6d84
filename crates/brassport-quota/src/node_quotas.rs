//! A node's side: for each tenant a bucket of its own, and requests that the coordinator granted ahead.

use crate::account::Account;
use crate::mutants::{is_active, Mutant};
use crate::retry_advice::CoordinatorContact;
use crate::{Millis, QuotaGrant, RateLimit, TenantId, Term, UsageReport, GRANT_TIMEOUT_MS, METER_PERIOD_MS};
use std::collections::BTreeMap;

/// A tenant without a request for so long is forgotten, so that the table holds those in use alone.
const ACCOUNT_IDLE_TIMEOUT_MS: Millis = 60_000;
/// Reports that may be answered still: enough for the grants' time-out at the host's report period, and a bound on memory
/// where no coordinator answers. The oldest is given up for a new one.
const MAX_PENDING_REPORTS: usize = 8;
/// A coordinator that answered within this time is taken to be there.
const COORDINATOR_CONTACT_MS: Millis = 900;

/// One node's counts and shares of all tenants.
///
/// The host calls [`NodeQuotas::try_acquire`] for each request, sends [`NodeQuotas::next_report`] to the coordinator at its period and at once
/// when [`NodeQuotas::is_report_urgent`] says so, and passes the answer to [`NodeQuotas::apply_grants`].
#[derive(Debug, Default)]
pub struct NodeQuotas {
    accounts: BTreeMap<TenantId, Account>,
    /// The highest term that granted here. A coordinator of a lower one is deposed: its grants are rejected.
    term: Term,
    /// When each report without an answer was sent, by its number.
    pending_reports: BTreeMap<u32, Millis>,
    last_report: u32,
    last_grant: Option<Millis>,
    is_urgent: bool,
}

impl NodeQuotas {
    /// Counts a request that came.
    pub fn record_offered(&mut self, now: Millis, tenant: TenantId) {
        self.account(now, tenant).record_offered();
    }

    fn account(&mut self, now: Millis, tenant: TenantId) -> &mut Account {
        let account = self.accounts.entry(tenant).or_default();
        account.touch(now);
        account
    }

    /// Takes one request out of this node's part of the limit, which is divided into `quota_shares` equal ones.
    ///
    /// # Errors
    /// The part is used up: the milliseconds after which the client should retry.
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
            account.count_unlimited();
            return Ok(());
        }
        let share = limit.share(if is_active(Mutant::UndividedBase) { 1 } else { quota_shares });
        account.refill(now, &share);
        let result = match account.try_spend(&share) {
            true => Ok(()),
            false => Err(account.reject(now, &share, contact)),
        };
        let is_low = account.is_low();
        self.is_urgent |= is_low;
        result
    }

    fn coordinator_contact(&self, now: Millis) -> CoordinatorContact {
        match self.last_grant {
            Some(at) if now < at + COORDINATOR_CONTACT_MS => CoordinatorContact::Recent,
            _ => CoordinatorContact::Lost,
        }
    }

    /// Counts a request that passes in any case; those that come next make up for it.
    pub fn force_acquire(&mut self, now: Millis, tenant: TenantId) {
        self.account(now, tenant).force_acquire();
    }

    /// Whether some tenant has little left here, so that the next report should be sent at once.
    pub fn is_report_urgent(&self) -> bool {
        self.is_urgent
    }

    /// Whether a request of the tenant was rejected here within the last two meter periods.
    pub fn rejected_recently(&self, now: Millis, tenant: TenantId) -> bool {
        let rejected = self.accounts.get(&tenant).and_then(Account::last_rejection);
        rejected.is_some_and(|at| now < at + 2 * METER_PERIOD_MS)
    }

    /// What all nodes sent of a tenant in the last complete meter period; none if nothing fresh is known of it.
    pub fn meter_reading(&self, now: Millis, tenant: TenantId) -> Option<u32> {
        self.accounts.get(&tenant)?.reading(now)
    }

    /// The next report to the coordinator, with its number. It names the tenants whose counts changed or that want grants.
    pub fn next_report(&mut self, now: Millis) -> (u32, Vec<UsageReport>) {
        self.is_urgent = false;
        self.accounts.retain(|_, account| !account.is_idle(now, ACCOUNT_IDLE_TIMEOUT_MS));
        self.last_report = self.last_report.wrapping_add(1);
        self.pending_reports.insert(self.last_report, now);
        while self.pending_reports.len() > MAX_PENDING_REPORTS {
            self.pending_reports.pop_first();
        }
        let usage =
            self.accounts.iter_mut().filter_map(|(tenant, account)| account.report(*tenant)).collect();
        (self.last_report, usage)
    }

    /// Adds what a coordinator granted upon the report of this number.
    ///
    /// Ignored are: a second answer to a report, one later than [`GRANT_TIMEOUT_MS`], and one of a lower term than an
    /// earlier answer had. A coordinator has debited what it granted, so that to ignore it can't exceed the limit.
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
