//! The endpoint list of one service: the backends as last reported by the control plane, and the changes of which the
//! policy and the connection pool have not been notified yet. No I/O.

use brassport_control_plane::backends::{Backend, BackendState};
use brassport_policy::{Lifecycle, ServerId};
use brassport_types::fnv1a_32;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The backends of one service, by id.
#[derive(Debug, Default)]
pub struct EndpointList {
    endpoints: BTreeMap<String, Endpoint>,
}

#[derive(Debug)]
struct Endpoint {
    server: ServerId,
    backend: Backend,
    /// The state in the last notification; `None` before the first one.
    notified: Option<NotifiedState>,
    /// Whether another incarnation has responded at the address of the backend.
    is_displaced: bool,
}

/// The state of an endpoint that was last notified.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct NotifiedState {
    lifecycle: Lifecycle,
    address: SocketAddr,
}

/// The kind of an endpoint change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeKind {
    /// The first notification of the endpoint.
    Added,
    /// A change of an endpoint that was notified before.
    Updated,
}

/// A change of one endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointChange {
    /// The id of the endpoint in the policy.
    pub server: ServerId,
    /// The backend as reported by the control plane.
    pub backend: Backend,
    /// The address on which the backend listens.
    pub address: SocketAddr,
    /// The state of the endpoint for the policy.
    pub lifecycle: Lifecycle,
    /// Whether the endpoint is new.
    pub kind: ChangeKind,
}

impl EndpointList {
    /// Adds or updates a backend. A terminated backend that is not listed is ignored.
    pub fn update(&mut self, backend: &Backend) {
        if let Some(endpoint) = self.endpoints.get_mut(&backend.id) {
            endpoint.backend = backend.clone();
        } else if backend.state != BackendState::Terminated {
            let endpoint = Endpoint {
                server: self.unused_server_id(&backend.id),
                backend: backend.clone(),
                notified: None,
                is_displaced: false,
            };
            self.endpoints.insert(backend.id.clone(), endpoint);
        }
    }

    /// Marks a backend as terminated because its record has expired in the control plane.
    pub fn expire(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.backend.state = BackendState::Terminated;
        }
    }

    /// Marks a backend as displaced: another incarnation has its address. Later reports of the control plane do not
    /// change this.
    pub fn mark_displaced(&mut self, id: &str) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.is_displaced = true;
        }
    }

    /// Returns the changes since the last call, and removes endpoints that have terminated. Displaced endpoints are
    /// kept, as delayed heartbeats would otherwise add them again.
    pub fn take_changes(&mut self) -> Vec<EndpointChange> {
        let heartbeats = self.heartbeats();
        let changes =
            self.endpoints.values_mut().filter_map(|endpoint| endpoint.take_change(heartbeats)).collect();
        self.endpoints.retain(|_, endpoint| endpoint.is_displaced || !endpoint.is_removed());
        changes
    }

    /// Missing heartbeats do not count as failures if more backends are unresponsive than ready: it is then more likely
    /// that the heartbeats are being lost than that the backends have failed.
    fn heartbeats(&self) -> Heartbeats {
        let count = |state| {
            let is_counted = |endpoint: &&Endpoint| endpoint.backend.state == state && !endpoint.is_displaced;
            self.endpoints.values().filter(is_counted).count()
        };
        if count(BackendState::Unresponsive) <= count(BackendState::Ready) {
            Heartbeats::Trusted
        } else {
            Heartbeats::Distrusted
        }
    }

    /// An unused server id, derived from the hash of the backend's id. It is the same on every node unless hashes
    /// collide.
    fn unused_server_id(&self, id: &str) -> ServerId {
        let mut server_id = fnv1a_32(id);
        while self.endpoints.values().any(|other| other.server == server_id) {
            server_id = server_id.wrapping_add(1);
        }
        server_id
    }
}

/// Whether missing heartbeats are taken as a failure of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Heartbeats {
    Trusted,
    Distrusted,
}

impl Endpoint {
    fn take_change(&mut self, heartbeats: Heartbeats) -> Option<EndpointChange> {
        let address = SocketAddr::from(self.backend.address);
        let lifecycle = self.lifecycle(heartbeats);
        let before = self.notified.replace(NotifiedState { lifecycle, address });
        (before != self.notified).then(|| EndpointChange {
            server: self.server,
            backend: self.backend.clone(),
            address,
            lifecycle,
            kind: if before.is_none() { ChangeKind::Added } else { ChangeKind::Updated },
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
