//! The host of the control plane: the one owner of its state, which executes its actions.

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

/// After so many calls, those whose callers have given up are forgotten.
const CALLS_BETWEEN_SWEEPS: u64 = 64;

/// The control plane with what its actions go to.
pub(super) struct ControlHost {
    control: ControlPlane,
    /// The control plane's times are milliseconds from here.
    start: Instant,
    /// Stands on each message that this node sends.
    sender: Sender,
    links: Rc<Links>,
    store: StoreHandle,
    data_plane: Rc<SystemDataPlane>,
    calls: PendingCalls,
}

/// Who sends this node's messages.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sender {
    pub(super) ip: Ipv4Addr,
    pub(super) incarnation: Incarnation,
}

/// Where the control plane's actions go.
pub(super) struct Targets {
    pub(super) links: Rc<Links>,
    pub(super) store: StoreHandle,
    pub(super) data_plane: Rc<SystemDataPlane>,
}

impl ControlHost {
    /// The control plane's time is 0 at `start`.
    pub(super) fn new(
        control: ControlPlane,
        start: Instant,
        sender: Sender,
        targets: Targets,
    ) -> ControlHost {
        let Targets { links, store, data_plane } = targets;
        ControlHost { control, start, sender, links, store, data_plane, calls: PendingCalls::default() }
    }

    /// Hands over an event, and executes the actions that follow.
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

    /// A frame came from another node. What can't be decoded is of another release, or of nobody: it is dropped.
    pub(super) fn on_frame(&mut self, bytes: &[u8]) {
        if let Some(envelope) = frame::decode::<Envelope>(bytes) {
            self.handle(Event::PeerMessage(envelope));
        }
    }

    /// A backend or an operator called.
    pub(super) fn on_call(&mut self, PendingCall { call, reply_to }: PendingCall) {
        let number = self.calls.insert(reply_to);
        self.handle(Event::Call(number, call));
        self.calls.sweep(number);
    }

    /// Reports to the coordinator what tenants use here.
    pub(super) fn report_usage(&mut self) {
        self.data_plane.set_ring_position(self.control.ring_position());
        let (number, usage) = self.data_plane.report_usage();
        if !usage.is_empty() {
            self.handle(Event::UsageReported(number, usage));
        }
    }

    /// Whether the cluster can do without this node, which is shutting down.
    pub(super) fn is_released(&self) -> bool {
        self.control.may_shut_down()
    }
}

/// Calls that await their replies, by number.
#[derive(Default)]
struct PendingCalls {
    last: u64,
    reply_to: HashMap<u64, oneshot::Sender<Reply>>,
}

impl PendingCalls {
    fn insert(&mut self, reply_to: oneshot::Sender<Reply>) -> u64 {
        self.last += 1;
        self.reply_to.insert(self.last, reply_to);
        self.last
    }

    fn respond(&mut self, number: u64, reply: Reply) {
        if let Some(reply_to) = self.reply_to.remove(&number) {
            // The caller may have given up.
            let _ = reply_to.send(reply);
        }
    }

    /// Guards the memory against calls that are never answered.
    fn sweep(&mut self, number: u64) {
        if number.is_multiple_of(CALLS_BETWEEN_SWEEPS) {
            self.reply_to.retain(|_, reply_to| !reply_to.is_closed());
        }
    }
}
