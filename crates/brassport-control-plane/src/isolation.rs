//! Detects isolation from the core, and quarantines outdated backend records afterwards.
//!
//! A node that was isolated from the core has an outdated endpoint table: it still lists backends as live whose
//! deregistration was acknowledged in the meantime. If the core was lost as well, no other node may have a record of
//! that deregistration.
//!
//! When a core node is in contact again, the node therefore quarantines its live backends, except those that sent it a
//! heartbeat very recently. It continues to use quarantined backends, but does not send their records to other nodes. A
//! record received from another node ends the quarantine of its backend. Backends that remain quarantined are dropped:
//! a live backend calls some node within one heartbeat interval.

use crate::contacts::CONTACT_MS;
use crate::control_plane::{ControlPlane, FULL_BROADCAST_PEERS};
use crate::event::Action;
use crate::gossip::Exchange;
use crate::Millis;
use brassport_config_store::consensus::mutants::{is_active, Mutant};
use std::net::Ipv4Addr;

/// How long after the isolation quarantined backends are dropped, if the table was compared with a peer's.
const DROP_AFTER_MS: Millis = 500;
/// The same as [`DROP_AFTER_MS`] for a large cluster, where each node sends records to only a few others.
const DROP_AFTER_IN_LARGE_CLUSTER_MS: Millis = 2_000;
/// How long after the isolation quarantined backends are dropped even without a comparison.
const DROP_DEADLINE_MS: Millis = 2_500;

/// The quarantine after an isolation.
#[derive(Debug)]
struct Quarantine {
    since: Millis,
    is_compared: bool,
}

/// Whether this node is isolated from the core, and the quarantine after an isolation.
#[derive(Debug, Default)]
pub(crate) struct Isolation {
    is_isolated: bool,
    quarantine: Option<Quarantine>,
}

impl Isolation {
    /// Records whether the core is reachable. Returns whether an isolation begins.
    fn observe(&mut self, is_core_reachable: bool) -> bool {
        let begins = !self.is_isolated && !is_core_reachable;
        self.is_isolated |= begins;
        begins
    }

    /// Ends the isolation and starts the quarantine.
    fn end(&mut self, now: Millis) {
        self.is_isolated = false;
        self.quarantine = Some(Quarantine { since: now, is_compared: false });
    }

    /// Records that the endpoint table was compared with a peer's.
    pub(crate) fn record_comparison(&mut self) {
        if let Some(quarantine) = &mut self.quarantine {
            quarantine.is_compared = true;
        }
    }

    /// Ends the quarantine when it is due. Returns whether it did.
    fn end_quarantine(&mut self, now: Millis, peers: usize) -> bool {
        let is_due = |quarantine: &mut Quarantine| {
            let after = match (quarantine.is_compared, peers <= FULL_BROADCAST_PEERS) {
                (true, true) => DROP_AFTER_MS,
                (true, false) => DROP_AFTER_IN_LARGE_CLUSTER_MS,
                (false, _) => DROP_DEADLINE_MS,
            };
            now >= quarantine.since + after
        };
        self.quarantine.take_if(is_due).is_some()
    }
}

impl ControlPlane {
    /// Whether other core nodes are known and none of them is in contact. False shortly after the start.
    pub(crate) fn is_core_unreachable(&self) -> bool {
        let (now, others) = (self.clock.now(), self.core_peers());
        !others.is_empty()
            && !self.clock.is_within_start(CONTACT_MS)
            && !others.iter().any(|ip| self.contacts.is_in_contact(*ip, now))
    }

    /// Begins an isolation when no core node is in contact. From then on, this node sends only those live backends
    /// whose heartbeats it receives, so that two nodes in the same partition do not confirm each other's outdated
    /// records.
    pub(crate) fn detect_isolation(&mut self) {
        let is_core_reachable = !self.is_core_unreachable() || is_active(Mutant::IsolationTrusted);
        if self.isolation.observe(is_core_reachable) {
            self.quarantine_backends();
        }
    }

    /// Ends the isolation if `from` is a core node, and quarantines the live backends.
    pub(crate) fn end_isolation(&mut self, from: Ipv4Addr) {
        if !self.isolation.is_isolated || !self.core().contains(&from) {
            return;
        }
        self.quarantine_backends();
        let now = self.clock.now();
        self.isolation.end(now);
        // Compares tables at once. Other nodes may have quarantined live backends after an isolation of their own, so
        // each node also sends the records of the backends that send it heartbeats.
        self.backends.repair.reset();
        self.gossip_to(from, Exchange::Begin);
        let received = self.backends.table.with_heartbeat_since(self.heartbeat_window_start());
        received.iter().for_each(|id| self.disseminate(id));
    }

    fn quarantine_backends(&mut self) {
        let since = self.heartbeat_window_start();
        self.backends.table.quarantine(since);
    }

    /// A heartbeat received since this time proves that its backend is live. The window is 1.25 heartbeat intervals,
    /// which allows for a late heartbeat.
    fn heartbeat_window_start(&self) -> Millis {
        let window = self.options.heartbeat_interval_ms + self.options.heartbeat_interval_ms / 4;
        // After a stall all heartbeat times were reset to the time of resumption, so they prove nothing.
        if self.clock.is_within_resumption(window) {
            return Millis::MAX;
        }
        self.clock.now().saturating_sub(window)
    }

    /// Drops the backends that are still quarantined, once the quarantine ends.
    pub(crate) fn drop_quarantined(&mut self) {
        if self.isolation.end_quarantine(self.clock.now(), self.view.len()) {
            let dropped = self.backends.table.drop_quarantined();
            self.outbox.extend(dropped.into_iter().map(Action::BackendExpired));
        }
    }
}
