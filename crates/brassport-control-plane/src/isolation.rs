//! A node that was isolated from the core comes back with an endpoint table of long ago: backends whose end was
//! acknowledged meanwhile are still live in it. Where the core was lost besides, nobody else may remember their end.
//!
//! So its live backends are quarantined when it hears the core again, but for those whose heartbeats came to it just now.
//! It sends them to nobody, and uses them on, until another node confirms them. What nobody confirms is dropped: a
//! backend that lives calls some node within one heartbeat interval.

use crate::contacts::CONTACT_MS;
use crate::control_plane::{ControlPlane, FULL_BROADCAST_PEERS};
use crate::event::Action;
use crate::gossip::Exchange;
use crate::Millis;
use brassport_config_store::consensus::mutants::{is_active, Mutant};
use std::net::Ipv4Addr;

/// So long after the isolation the quarantined is dropped, once the table was compared with a peer's, in ms.
const DROP_AFTER_MS: Millis = 500;
/// The same in a large cluster, where each node sends to few others.
const DROP_AFTER_IN_LARGE_CLUSTER_MS: Millis = 2_000;
/// The same without any comparison.
const DROP_DEADLINE_MS: Millis = 2_500;

/// Quarantine after an isolation.
#[derive(Debug)]
struct Quarantine {
    since: Millis,
    is_compared: bool,
}

/// Whether this node is isolated from the core, or was of late.
#[derive(Debug, Default)]
pub(crate) struct Isolation {
    is_isolated: bool,
    quarantine: Option<Quarantine>,
}

impl Isolation {
    /// Notes whether the core is heard. Whether an isolation begins.
    fn observe(&mut self, is_core_heard: bool) -> bool {
        let begins = !self.is_isolated && !is_core_heard;
        self.is_isolated |= begins;
        begins
    }

    /// The core is heard again.
    fn end(&mut self, now: Millis) {
        self.is_isolated = false;
        self.quarantine = Some(Quarantine { since: now, is_compared: false });
    }

    /// The endpoint table was compared with a peer's.
    pub(crate) fn record_comparison(&mut self) {
        if let Some(quarantine) = &mut self.quarantine {
            quarantine.is_compared = true;
        }
    }

    /// Ends the quarantine when that is due. Whether it did.
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
    /// Whether other nodes of the core are known and none of them was heard of late.
    pub(crate) fn is_core_unheard(&self) -> bool {
        let (now, others) = (self.clock.now(), self.core_peers());
        !others.is_empty()
            && !self.clock.is_within_start(CONTACT_MS)
            && !others.iter().any(|ip| self.contacts.is_in_contact(*ip, now))
    }

    /// Begins an isolation when none of the core is heard: from then on this node sends only the live backends whose
    /// heartbeats it receives, so that two that were partitioned together do not confirm each other's.
    pub(crate) fn detect_isolation(&mut self) {
        let is_core_heard = !self.is_core_unheard() || is_active(Mutant::IsolationTrusted);
        if self.isolation.observe(is_core_heard) {
            self.quarantine_backends();
        }
    }

    /// A peer is heard: if it is the first of the core for long, the live backends are quarantined.
    pub(crate) fn end_isolation(&mut self, from: Ipv4Addr) {
        if !self.isolation.is_isolated || !self.core().contains(&from) {
            return;
        }
        self.quarantine_backends();
        let now = self.clock.now();
        self.isolation.end(now);
        // Tables are compared at once. Others may have been isolated as well, with live backends in quarantine: each sends
        // those that it receives heartbeats of.
        self.backends.repair.reset();
        self.gossip_to(from, Exchange::Begin);
        let received = self.backends.table.received_here(now, self.heartbeats_since());
        if !received.is_empty() {
            self.disseminate(&received);
        }
    }

    fn quarantine_backends(&mut self) {
        let since = self.heartbeats_since();
        self.backends.table.quarantine(since);
    }

    /// A heartbeat that came here since then shows that its backend lives: it is no older than an interval and a quarter,
    /// which allows for a late one.
    fn heartbeats_since(&self) -> Millis {
        let window = self.options.heartbeat_interval_ms + self.options.heartbeat_interval_ms / 4;
        // Heartbeats that were missed in a stall were renewed: none of them shows anything.
        if self.clock.is_within_resumption(window) {
            return Millis::MAX;
        }
        self.clock.now().saturating_sub(window)
    }

    /// Drops what is still quarantined, once that is due.
    pub(crate) fn drop_quarantined(&mut self) {
        if self.isolation.end_quarantine(self.clock.now(), self.view.len()) {
            let dropped = self.backends.table.drop_quarantined();
            self.outbox.extend(dropped.into_iter().map(Action::BackendExpired));
        }
    }
}
