//! The leader lends shares of limits; nobody else does.

use crate::control::{ControlPlane, ALL};
use crate::ring_position::Ranks;
use brassport_quota::{QuotaGrant, UsageReport};
use brassport_types::Incarnation;
use std::net::Ipv4Addr;

impl ControlPlane {
    /// Begins to lend when it leads, and ends with it.
    pub(crate) fn watch_leadership(&mut self) {
        let holds = self.replica.is_leader();
        if holds && !self.lends {
            self.lender.begin(self.now);
            self.ranks = Ranks::default();
            // All whom it knows hear at once where to turn.
            for ip in self.views.sample(ALL, |_| true) {
                self.gossip_to(ip, false);
            }
        } else if !holds && self.lends {
            self.lender.end();
        }
        self.lends = holds;
    }

    pub(crate) fn lend(
        &mut self,
        ip: Ipv4Addr,
        incarnation: Incarnation,
        used: &[UsageReport],
    ) -> Vec<QuotaGrant> {
        // Guards against one that stood still and leads no more: it lends only while a majority answers.
        if !self.replica.has_quorum(self.now) {
            return Vec::new();
        }
        let limits = &self.limits;
        self.lender.lend(self.now, (ip, incarnation), used, |tenant| limits.get(&tenant).copied())
    }
}
