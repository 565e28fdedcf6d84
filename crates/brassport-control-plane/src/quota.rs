//! Grants of tenants' rate limits. Only the leader grants them.

use crate::control_plane::{ControlPlane, FULL_BROADCAST_PEERS};
use crate::event::Action;
use crate::gossip::Exchange;
use crate::peer_message::{GrantResponse, PeerMessage};
use brassport_config_store::configuration::Configuration;
use brassport_quota::{QuotaCoordinator, QuotaGrant, RateLimit, UsageReport};
use brassport_types::{Incarnation, TenantId};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// The quota coordinator and the tenants' rate limits.
#[derive(Debug, Default)]
pub(crate) struct Quota {
    coordinator: QuotaCoordinator,
    is_granting: bool,
    limits: BTreeMap<TenantId, RateLimit>,
}

impl Quota {
    /// Applies the rate limits of a configuration.
    pub(crate) fn configure(&mut self, configuration: &Configuration) {
        let limit = |rate_per_s, burst| RateLimit { rate_per_s, burst };
        self.limits = configuration
            .tenants
            .values()
            .map(|tenant| (TenantId::of_name(&tenant.name), limit(tenant.rate_per_s, tenant.burst)))
            .collect();
    }

    /// The number of nodes that reported usage within the last 4 s.
    pub(crate) fn reporting_nodes(&self, now: crate::Millis) -> usize {
        self.coordinator.live_nodes(now)
    }
}

impl ControlPlane {
    /// Activates the quota coordinator when this node becomes leader, and deactivates it when its leadership ends.
    pub(crate) fn follow_leadership(&mut self) {
        let is_leader = self.replica.is_leader();
        let was_granting = std::mem::replace(&mut self.quota.is_granting, is_leader);
        if is_leader && !was_granting {
            self.quota.coordinator.activate(self.clock.now());
            self.ring_rank.reset_registry();
            // Announces the new leader to the known peers at once.
            for ip in self.view.sample(FULL_BROADCAST_PEERS, |_| true) {
                self.gossip_to(ip, Exchange::Notify);
            }
        } else if !is_leader && was_granting {
            self.quota.coordinator.deactivate();
        }
    }

    /// Handles a usage report of this node's data plane.
    pub(crate) fn on_own_usage(&mut self, report: u32, usage: Vec<UsageReport>) {
        let Some((term, leader)) = self.leader() else { return };
        if leader != self.options.node.ip {
            return self.outbox.send(leader, PeerMessage::UsageReport(report, usage));
        }
        let grants = self.grant_quota(leader, self.options.node.incarnation, &usage);
        self.outbox.push(Action::QuotaGranted(GrantResponse { term, report, grants }));
    }

    /// Handles a usage report of a peer. Ignored unless this node leads.
    pub(crate) fn on_peer_usage(
        &mut self,
        from: Ipv4Addr,
        incarnation: Incarnation,
        report: u32,
        usage: &[UsageReport],
    ) {
        let leader = self.replica.leader(self.clock.now());
        let Some((term, _)) = leader.filter(|(_, ip)| *ip == self.options.node.ip) else { return };
        let grants = self.grant_quota(from, incarnation, usage);
        self.outbox.send(from, PeerMessage::QuotaGrant(GrantResponse { term, report, grants }));
    }

    fn grant_quota(
        &mut self,
        node: Ipv4Addr,
        incarnation: Incarnation,
        usage: &[UsageReport],
    ) -> Vec<QuotaGrant> {
        let now = self.clock.now();
        // A leader that was stalled may have been replaced, so it grants only while a majority responds.
        if !self.replica.has_quorum(now) {
            return Vec::new();
        }
        let Quota { coordinator, limits, .. } = &mut self.quota;
        coordinator.grant(now, (node, incarnation), usage, |tenant| limits.get(&tenant).copied())
    }
}
