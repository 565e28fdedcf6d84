//! The calls of backends: heartbeats and deregistrations.

use super::{Backend, BackendState, MergeOutcome, Source};
use crate::call::Reply;
use crate::control_plane::ControlPlane;
use crate::event::Action;
use std::net::Ipv4Addr;
use std::sync::Arc;

impl ControlPlane {
    /// Sets the port that backends call on every node, and enables redirects of backends to nodes of their own zone.
    pub fn set_control_port(&mut self, control_port: u16) {
        self.backends.control_port = Some(control_port);
    }

    /// Handles a heartbeat. The heartbeat of a draining backend is answered once a majority of the core has its record.
    pub(crate) fn on_heartbeat(&mut self, call: u64, heartbeat: Backend) {
        let now = self.clock.now();
        let (id, is_draining) = (heartbeat.id.clone(), heartbeat.state == BackendState::Draining);
        let outcome = self.backends.table.merge(now, heartbeat, Source::Backend);
        // The table does not add a record whose lease has already expired; such a heartbeat gets no reply.
        let Some(record) = self.backends.table.get(now, &id) else { return };
        if outcome == MergeOutcome::Changed {
            self.outbox.push(Action::BackendChanged(record.clone()));
            self.disseminate(&record.id);
        }
        if is_draining {
            self.confirm_by_core(call, record);
        } else {
            self.acknowledge_heartbeat(call, &record);
        }
    }

    /// Handles a deregistration. It is answered once a majority of the core has the record.
    pub(crate) fn on_deregister(&mut self, call: u64, id: &str) {
        let record = self.backends.table.terminate(self.clock.now(), id);
        self.outbox.push(Action::BackendChanged(record.clone()));
        self.disseminate(&record.id);
        self.confirm_by_core(call, record);
    }

    /// Acknowledges a heartbeat. A backend of another zone is redirected to a node of its own zone for the next
    /// heartbeats.
    fn acknowledge_heartbeat(&mut self, call: u64, record: &Backend) {
        let Some(body) = self.redirect_body(record) else { return self.outbox.respond_done(call) };
        self.backends.table.stop_monitoring(&record.id);
        self.outbox.respond(call, Reply::Done(Arc::new(body)));
    }

    /// The reply body that redirects a backend of another zone to a node in that zone, or `None`. The digest of the
    /// backend's name selects the node, so that backends spread over the nodes of the zone.
    fn redirect_body(&self, record: &Backend) -> Option<Vec<u8>> {
        let port = self.backends.control_port.filter(|_| record.zone != self.options.node.zone)?;
        let of_zone = self.view.peers().filter(|peer| peer.zone == record.zone);
        let peers: Vec<Ipv4Addr> = of_zone.map(|peer| peer.ip).collect();
        let ip = peers.get(record.name_digest() as usize % peers.len().max(1))?;
        Some(format!("{{\"reportTo\":\"{ip}:{port}\"}}").into_bytes())
    }
}
