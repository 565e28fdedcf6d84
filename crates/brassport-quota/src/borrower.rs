//! A door's side: for each tenant a bucket that fills at its base, and requests that it has ahead.

use crate::mutants::{is_active, Mutant};
use crate::{Millis, QuotaGrant, RateLimit, TenantId, Term, UsageReport, BASE, PATIENCE, PERIOD};
use std::collections::BTreeMap;

/// A tenant that did nothing here for so long is forgotten.
const IDLE: Millis = 60_000;
/// Reports whose answers may still come.
const ASKED: usize = 8;
/// Advice on waiting where the lender was asked and has answered by then; and where none has been heard of late, as
/// another must take the duty first.
const SOON: Millis = 60;
const NO_LENDER: Millis = 450;
/// Of those refused one behind the other each is advised to come so many shares of the rate later than the one before: the
/// others are for those who come meanwhile. Nobody is advised to wait longer than that.
const APART: f64 = 2.0;
const LONGEST: f64 = 1_200.0;
/// A lender that was heard so lately is there.
const HEARD: Millis = 900;

#[derive(Debug, Default)]
struct Account {
    offered: u64,
    sent: u64,
    /// Requests of the base that may go now.
    store: f64,
    filled: Option<Millis>,
    /// Requests ahead, and how many are asked for.
    ahead: f64,
    wanted: f64,
    /// What all doors sent in the last period, and when that was heard.
    reading: Option<(u32, Millis)>,
    seen: Millis,
    /// When a request was refused here last, and when the last one was advised to come back.
    refused: Option<Millis>,
    comes_back: f64,
    /// What the lender was told last.
    told: Option<UsageReport>,
}

/// What this door counts and holds.
#[derive(Debug, Default)]
pub struct Borrower {
    accounts: BTreeMap<TenantId, Account>,
    /// The highest term that granted here; lower ones are rejected.
    term: Term,
    /// When each of the latest reports went out, by number.
    asked: BTreeMap<u32, Millis>,
    last: u32,
    /// When a lender was heard last.
    heard: Option<Millis>,
    /// Whether some tenant has little left.
    urgent: bool,
}

impl Borrower {
    /// Counts a request that came.
    pub fn offered(&mut self, now: Millis, tenant: TenantId) {
        let account = self.account(now, tenant);
        account.offered += 1;
    }

    fn account(&mut self, now: Millis, tenant: TenantId) -> &mut Account {
        let account = self.accounts.entry(tenant).or_default();
        account.seen = now;
        account
    }

    /// Takes one request out of the share, or says in how many milliseconds there may be one again.
    ///
    /// # Errors
    /// The share is used up.
    pub fn take(
        &mut self,
        now: Millis,
        tenant: TenantId,
        limit: RateLimit,
        slots: u32,
    ) -> Result<(), Millis> {
        let has_lender = self.heard.is_some_and(|at| now < at + HEARD);
        let account = self.account(now, tenant);
        if limit.rate_per_s <= 0.0 {
            account.sent += 1;
            return Ok(());
        }
        let slots = if is_active(Mutant::WholeBase) { 1 } else { slots };
        let depth = limit.base_depth(slots);
        // A start has half of what it may hold: what an earlier life spent is not known.
        let filled = account.filled.get_or_insert_with(|| {
            account.store = (depth / 2.0).max(1.0);
            now
        });
        let seconds = now.saturating_sub(*filled) as f64 / 1000.0;
        *filled = now;
        let base = BASE * limit.rate_per_s / f64::from(slots.max(1));
        account.store = (account.store + base * seconds).min(depth);
        // A lower limit holds for what is ahead too.
        let most = limit.ahead(slots);
        account.ahead = account.ahead.min(most);
        let taken = if account.ahead >= 1.0 {
            account.ahead -= 1.0;
            true
        } else if account.store >= 1.0 {
            account.store -= 1.0;
            true
        } else {
            false
        };
        account.wanted = (most - account.ahead).max(0.0);
        let low = account.ahead < 1.0 && account.store < 2.0;
        let wait = (1.0 - account.store) / base.max(1e-6) * 1000.0;
        account.sent += u64::from(taken);
        if taken {
            self.urgent |= low;
            return Ok(());
        }
        account.refused = Some(now);
        let first = now as f64 + wait.clamp(1.0, if has_lender { SOON } else { NO_LENDER } as f64);
        let apart = APART * 1000.0 * f64::from(slots.max(1)) / limit.rate_per_s;
        let after_the_last = account.comes_back + apart;
        account.comes_back = first.max(after_the_last).min(now as f64 + LONGEST);
        let advice = (account.comes_back - now as f64).max(1.0) as Millis;
        self.urgent |= low;
        Err(advice)
    }

    /// Counts one that goes in any case; those that come next make up for it.
    pub fn take_anyway(&mut self, now: Millis, tenant: TenantId) {
        let account = self.account(now, tenant);
        account.sent += 1;
        account.ahead -= 1.0;
    }

    /// Whether some tenant has little left here: the lender is to be asked at once.
    pub fn is_urgent(&self) -> bool {
        self.urgent
    }

    /// Whether a request of the tenant was refused here within the last two periods.
    pub fn refused_lately(&self, now: Millis, tenant: TenantId) -> bool {
        let refused = self.accounts.get(&tenant).and_then(|account| account.refused);
        refused.is_some_and(|at| now < at + 2 * PERIOD)
    }

    /// What all doors sent of a tenant in the last whole period, if a report of it is fresh.
    pub fn reading(&self, now: Millis, tenant: TenantId) -> Option<u32> {
        let (sent, at) = self.accounts.get(&tenant)?.reading?;
        (now < at + 2 * PERIOD).then_some(sent)
    }

    /// The next report to the lender, with its number.
    pub fn report(&mut self, now: Millis) -> (u32, Vec<UsageReport>) {
        self.urgent = false;
        self.accounts.retain(|_, account| now <= account.seen + IDLE);
        self.last = self.last.wrapping_add(1);
        self.asked.insert(self.last, now);
        while self.asked.len() > ASKED {
            self.asked.pop_first();
        }
        let mut used = Vec::new();
        for (tenant, account) in &mut self.accounts {
            let told = UsageReport {
                tenant: *tenant,
                offered: account.offered,
                sent: account.sent,
                wanted: account.wanted as u16,
            };
            // What is as it was told needs no words.
            if account.told != Some(told) || told.wanted > 0 {
                account.told = Some(told);
                used.push(told);
            }
        }
        (self.last, used)
    }

    /// Takes in what was lent upon a report: once, in time, and under no lower epoch than before.
    pub fn apply_grants(&mut self, now: Millis, term: Term, number: u32, grants: &[QuotaGrant]) {
        let Some(asked) = self.asked.remove(&number) else { return };
        if term < self.term || now >= asked + PATIENCE {
            return;
        }
        (self.term, self.heard) = (term, Some(now));
        for QuotaGrant { tenant, requests: ahead, sent_by_all: sent } in grants {
            let Some(account) = self.accounts.get_mut(tenant) else { continue };
            account.ahead += f64::from(*ahead);
            account.wanted = (account.wanted - f64::from(*ahead)).max(0.0);
            account.reading = Some((*sent, now));
        }
    }
}
