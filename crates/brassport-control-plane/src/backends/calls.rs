//! What backends call: heartbeats and deregistrations.

use super::{Backend, BackendState, MergeOutcome, Source};
use crate::call::Reply;
use crate::control_plane::ControlPlane;
use crate::event::Action;
use std::net::Ipv4Addr;
use std::sync::Arc;

impl ControlPlane {
    /// The port that backends call on every node: from here on a backend is redirected to a node of its own zone.
    pub fn set_control_port(&mut self, control_port: u16) {
        self.backends.control_port = Some(control_port);
    }

    /// A backend sends a heartbeat. A draining one is answered once a majority of the core knows that it drains.
    pub(crate) fn on_heartbeat(&mut self, call: u64, heartbeat: Backend) {
        let now = self.clock.now();
        let (id, is_draining) = (heartbeat.id.clone(), heartbeat.state == BackendState::Draining);
        let outcome = self.backends.table.merge(now, heartbeat, Source::Backend);
        // An expired heartbeat of an unknown backend has no record, and no answer.
        let Some(record) = self.backends.table.get(now, &id) else { return };
        if outcome == MergeOutcome::Changed {
            self.outbox.push(Action::BackendChanged(record.clone()));
            self.disseminate(std::slice::from_ref(&record));
        }
        if is_draining {
            self.confirm_by_core(call, record);
        } else {
            self.acknowledge_heartbeat(call, &record);
        }
    }

    /// A backend has ended: answered once a majority of the core knows.
    pub(crate) fn on_deregister(&mut self, call: u64, id: &str) {
        let record = self.backends.table.terminate(self.clock.now(), id);
        self.outbox.push(Action::BackendChanged(record.clone()));
        self.disseminate(std::slice::from_ref(&record));
        self.confirm_by_core(call, record);
    }

    /// Acknowledges a heartbeat, and names a node of the backend's own zone for the next ones.
    fn acknowledge_heartbeat(&mut self, call: u64, record: &Backend) {
        let Some(body) = self.nearer_node(record) else { return self.outbox.respond_done(call) };
        self.backends.table.release_heartbeat(&record.id);
        self.outbox.respond(call, Reply::Done(Arc::new(body)));
    }

    /// The body that sends a backend of another zone to a node there. Each backend has its own, by its name, so that they
    /// spread over the nodes.
    fn nearer_node(&self, record: &Backend) -> Option<Vec<u8>> {
        let port = self.backends.control_port.filter(|_| record.zone != self.options.node.zone)?;
        let of_zone = self.view.peers().filter(|peer| peer.zone == record.zone);
        let peers: Vec<Ipv4Addr> = of_zone.map(|peer| peer.ip).collect();
        let ip = peers.get(record.name_digest() as usize % peers.len().max(1))?;
        Some(format!("{{\"reportTo\":\"{ip}:{port}\"}}").into_bytes())
    }
}
