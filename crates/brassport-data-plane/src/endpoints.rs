//! The endpoint list of one service: the backends as the control plane last reported them, and which changes the policy
//! and the connections have yet to be notified of. No I/O.

use brassport_control_plane::backends::{Backend, BackendState};
use brassport_policy::{Lifecycle, ServerId};
use brassport_types::fnv1a_32;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The backends of one service by id.
#[derive(Debug, Default)]
pub struct EndpointList {
    endpoints: BTreeMap<String, Endpoint>,
}

#[derive(Debug)]
struct Endpoint {
    server: ServerId,
    backend: Backend,
    notified: Option<Notified>,
    /// Another incarnation responds at its address.
    is_displaced: bool,
}

/// What was notified of an endpoint last.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Notified {
    lifecycle: Lifecycle,
    address: SocketAddr,
}

/// Whether an endpoint was notified of before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Novelty {
    /// This is the first change of it.
    New,
    /// It changes.
    Existing,
}

/// A change of one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointChange {
    /// Its number for the policy.
    pub server: ServerId,
    /// The backend.
    pub backend: Backend,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its state for the policy.
    pub lifecycle: Lifecycle,
    /// Whether it is new.
    pub novelty: Novelty,
}

impl EndpointList {
    /// Adds or replaces a backend; one that has terminated and was never listed is passed over.
    pub fn update(&mut self, backend: &Backend) {
        if let Some(endpoint) = self.endpoints.get_mut(&backend.id) {
            endpoint.backend = backend.clone();
        } else if backend.state != BackendState::Terminated {
            let endpoint = Endpoint {
                server: self.free_number(&backend.id),
                backend: backend.clone(),
                notified: None,
                is_displaced: false,
            };
            self.endpoints.insert(backend.id.clone(), endpoint);
        }
    }

    /// Marks a backend as terminated, as the control plane has lost it.
    pub fn expire(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.backend.state = BackendState::Terminated;
        }
    }

    /// Marks a backend whose address another incarnation has, whatever the control plane reports of it from now on.
    pub fn mark_displaced(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.is_displaced = true;
        }
    }

    /// The changes since the last call. Endpoints that have terminated are forgotten with it; a displaced one stays, as
    /// its late heartbeats would bring it back.
    pub fn take_changes(&mut self) -> Vec<EndpointChange> {
        let heartbeats = self.heartbeats();
        let changes = self.endpoints.values_mut().filter_map(|one| one.take_change(heartbeats)).collect();
        self.endpoints.retain(|_, one| one.is_displaced || !one.is_removed());
        changes
    }

    /// With most backends unresponsive it is the heartbeats that do not come through.
    fn heartbeats(&self) -> Heartbeats {
        let count = |state| {
            self.endpoints.values().filter(|one| one.backend.state == state && !one.is_displaced).count()
        };
        if count(BackendState::Unresponsive) <= count(BackendState::Ready) {
            Heartbeats::Trusted
        } else {
            Heartbeats::Distrusted
        }
    }

    /// The same at every node unless two ids have the same hash.
    fn free_number(&self, id: &str) -> ServerId {
        let mut number = fnv1a_32(id);
        while self.endpoints.values().any(|other| other.server == number) {
            number = number.wrapping_add(1);
        }
        number
    }
}

/// Whether missing heartbeats say something of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Heartbeats {
    Trusted,
    Distrusted,
}

impl Endpoint {
    fn take_change(&mut self, heartbeats: Heartbeats) -> Option<EndpointChange> {
        let address = SocketAddr::from(self.backend.address);
        let lifecycle = self.lifecycle(heartbeats);
        let before = self.notified.replace(Notified { lifecycle, address });
        (before != self.notified).then(|| EndpointChange {
            server: self.server,
            backend: self.backend.clone(),
            address,
            lifecycle,
            novelty: if before.is_none() { Novelty::New } else { Novelty::Existing },
        })
    }

    fn lifecycle(&self, heartbeats: Heartbeats) -> Lifecycle {
        match self.backend.state {
            _ if self.is_displaced => Lifecycle::Removed,
            BackendState::Ready => Lifecycle::Ready,
            BackendState::Unresponsive if heartbeats == Heartbeats::Distrusted => Lifecycle::Ready,
            BackendState::Unresponsive | BackendState::Draining => Lifecycle::Draining,
            BackendState::Terminated => Lifecycle::Removed,
        }
    }

    fn is_removed(&self) -> bool {
        self.notified.is_some_and(|notified| notified.lifecycle == Lifecycle::Removed)
    }
}
