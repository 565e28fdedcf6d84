//! The lender's side: a store for each tenant, out of which doors get requests ahead, and the reading of each period.

use crate::mutants::{is_active, Mutant};
use crate::{Incarnation, Millis, QuotaGrant, RateLimit, TenantId, UsageReport, LENT, PERIOD, STORE_DEPTH};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// A door that was not heard for so long is none of those that are there.
const LOST: Millis = 4_000;
/// A new lender owes so many seconds of the rate: the last one may have lent until it was sure of itself no more, up to
/// 600 ms behind the last word of a majority, and no new one comes sooner than 360 ms behind that.
const TAKE_OVER: f64 = 0.3;

#[derive(Debug)]
struct Door {
    incarnation: Incarnation,
    heard: Millis,
    /// Requests of each tenant that it had sent on.
    sent: BTreeMap<TenantId, u64>,
}

#[derive(Debug)]
struct Tenant {
    /// Requests that may be lent now.
    store: f64,
    filled: Millis,
    /// Sent in the period that runs, and in the last whole one.
    now_sent: u32,
    sent: u32,
}

/// What the holder of the duty counts and lends.
#[derive(Debug, Default)]
pub struct Lender {
    since: Option<Millis>,
    doors: BTreeMap<Ipv4Addr, Door>,
    tenants: BTreeMap<TenantId, Tenant>,
    period: Millis,
}

impl Lender {
    /// Begins to lend; what an earlier lender lent is out.
    pub fn begin(&mut self, now: Millis) {
        *self = Lender { since: Some(now), period: now, ..Lender::default() };
    }

    /// Lends no more.
    pub fn end(&mut self) {
        *self = Lender::default();
    }

    /// Doors that were heard lately.
    pub fn doors(&self, now: Millis) -> usize {
        self.doors.values().filter(|door| now < door.heard + LOST).count()
    }

    /// Takes in a door's report and says what it may have ahead.
    pub fn lend(
        &mut self,
        now: Millis,
        (ip, incarnation): (Ipv4Addr, Incarnation),
        used: &[UsageReport],
        limit: impl Fn(TenantId) -> Option<RateLimit>,
    ) -> Vec<QuotaGrant> {
        let Some(since) = self.since else { return Vec::new() };
        self.roll(now);
        // Of a door that was not known what it did before is not of this period.
        let is_new = !self.doors.contains_key(&ip);
        let door =
            self.doors.entry(ip).or_insert_with(|| Door { incarnation, heard: now, sent: BTreeMap::new() });
        if door.incarnation != incarnation {
            (door.incarnation, door.sent) = (incarnation, BTreeMap::new());
        }
        door.heard = now;
        let mut loans = Vec::with_capacity(used.len());
        for told in used {
            let Some(limit) = limit(told.tenant).filter(|limit| limit.rate_per_s > 0.0) else { continue };
            let before = std::mem::replace(door.sent.entry(told.tenant).or_default(), told.sent);
            let sent = told.sent.saturating_sub(before) as u32;
            let tenant = self.tenants.entry(told.tenant).or_insert_with(|| Tenant {
                store: if is_active(Mutant::FullStore) {
                    STORE_DEPTH * limit.depth()
                } else {
                    -TAKE_OVER * LENT * limit.rate_per_s
                },
                filled: since,
                now_sent: 0,
                sent: 0,
            });
            tenant.now_sent += if is_new { 0 } else { sent };
            let seconds = now.saturating_sub(tenant.filled) as f64 / 1000.0;
            tenant.store =
                (tenant.store + LENT * limit.rate_per_s * seconds).min(STORE_DEPTH * limit.depth());
            tenant.filled = now;
            let ahead = f64::from(told.wanted).min(tenant.store.floor()).max(0.0);
            tenant.store -= if is_active(Mutant::LentTwice) { 0.0 } else { ahead };
            loans.push(QuotaGrant { tenant: told.tenant, requests: ahead as u16, sent_by_all: tenant.sent });
        }
        loans
    }

    /// Ends the period that is over, and forgets doors that are gone for good.
    fn roll(&mut self, now: Millis) {
        if now < self.period + PERIOD {
            return;
        }
        self.period = now;
        for tenant in self.tenants.values_mut() {
            (tenant.sent, tenant.now_sent) = (tenant.now_sent, 0);
        }
        self.doors.retain(|_, door| now < door.heard + 10 * LOST);
    }
}
