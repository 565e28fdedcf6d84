//! The host of the control plane: it owns the control plane, passes events to it, and executes the actions it returns.

use super::SystemDataPlane;
use crate::listeners::PendingCall;
use crate::store_thread::StoreHandle;
use brassport_control_plane::call::Reply;
use brassport_control_plane::peer_message::Envelope;
use brassport_control_plane::{Action, ControlPlane, Event};
use brassport_transport::frame;
use brassport_transport::links::Links;
use brassport_types::{Incarnation, Millis};
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;

/// The number of calls between two removals of abandoned calls.
const CALLS_BETWEEN_SWEEPS: u64 = 64;

/// The control plane, and the targets of its actions.
pub(super) struct ControlHost {
    control: ControlPlane,
    /// The origin of the control plane's time, which is counted in milliseconds.
    start: Instant,
    /// The address and the incarnation of this node, which are part of the envelope of each message that it sends.
    sender: Sender,
    links: Rc<Links>,
    store: StoreHandle,
    data_plane: Rc<SystemDataPlane>,
    calls: PendingCalls,
}

/// Identifies a node as the sender of a message.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sender {
    pub(super) ip: Ipv4Addr,
    pub(super) incarnation: Incarnation,
}

/// The targets of the actions of the control plane.
pub(super) struct Targets {
    pub(super) links: Rc<Links>,
    pub(super) store: StoreHandle,
    pub(super) data_plane: Rc<SystemDataPlane>,
}

impl ControlHost {
    /// Creates a host; the time of the control plane is 0 at `start`.
    pub(super) fn new(
        control: ControlPlane,
        start: Instant,
        sender: Sender,
        targets: Targets,
    ) -> ControlHost {
        let Targets { links, store, data_plane } = targets;
        ControlHost { control, start, sender, links, store, data_plane, calls: PendingCalls::default() }
    }

    /// Passes an event to the control plane, and executes the actions it returns.
    pub(super) fn handle(&mut self, event: Event) {
        let now = self.start.elapsed().as_millis() as Millis;
        for action in self.control.handle(now, event) {
            self.execute(action);
        }
    }

    fn execute(&mut self, action: Action) {
        match action {
            Action::Send(to, message) => {
                let Sender { ip, incarnation } = self.sender;
                self.links.send(to, frame::encode(&Envelope { from: ip, incarnation, message }));
            }
            Action::Persist(number, record) => self.store.persist(number, record),
            Action::Respond(number, reply) => self.calls.respond(number, reply),
            Action::StateAdvanced(state) => {
                self.data_plane.set_ring_position(self.control.ring_position());
                self.data_plane.apply_state(&state);
            }
            Action::BackendChanged(backend) => self.data_plane.update_backend(&backend),
            Action::BackendExpired(id) => self.data_plane.expire_backend(&id),
            Action::QuotaGranted(response) => {
                self.data_plane.apply_grants(response.term, response.report, &response.grants);
            }
        }
    }

    /// Handles a frame from another node. A frame that cannot be decoded is dropped: it comes from an incompatible
    /// release, or not from a node.
    pub(super) fn on_frame(&mut self, bytes: &[u8]) {
        if let Some(envelope) = frame::decode::<Envelope>(bytes) {
            self.handle(Event::PeerMessage(envelope));
        }
    }

    /// Handles a call of a backend or an operator.
    pub(super) fn on_call(&mut self, PendingCall { call, reply_to }: PendingCall) {
        let number = self.calls.insert(reply_to);
        self.handle(Event::Call(number, call));
        self.calls.sweep(number);
    }

    /// Reports the usage of tenants on this node to the quota coordinator.
    pub(super) fn report_usage(&mut self) {
        self.data_plane.set_ring_position(self.control.ring_position());
        let (number, usage) = self.data_plane.report_usage();
        if !usage.is_empty() {
            self.handle(Event::UsageReported(number, usage));
        }
    }

    /// Whether the cluster no longer depends on this node, which is shutting down.
    pub(super) fn is_released(&self) -> bool {
        self.control.may_shut_down()
    }
}

/// Calls that await a reply, by number.
#[derive(Default)]
struct PendingCalls {
    /// The number of the latest call.
    last_number: u64,
    reply_to: HashMap<u64, oneshot::Sender<Reply>>,
}

impl PendingCalls {
    fn insert(&mut self, reply_to: oneshot::Sender<Reply>) -> u64 {
        self.last_number += 1;
        self.reply_to.insert(self.last_number, reply_to);
        self.last_number
    }

    fn respond(&mut self, number: u64, reply: Reply) {
        if let Some(reply_to) = self.reply_to.remove(&number) {
            // Sending fails if the caller has disconnected or timed out.
            let _ = reply_to.send(reply);
        }
    }

    /// Removes abandoned calls at each multiple of [`CALLS_BETWEEN_SWEEPS`]: calls that are never answered would otherwise
    /// accumulate in memory.
    fn sweep(&mut self, number: u64) {
        if number.is_multiple_of(CALLS_BETWEEN_SWEEPS) {
            self.reply_to.retain(|_, reply_to| !reply_to.is_closed());
        }
    }
}
