//! The actions that an event leads to, in order.

use crate::call::Reply;
use crate::event::Action;
use crate::peer_message::PeerMessage;
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Actions to be handed to the host.
#[derive(Debug)]
pub(crate) struct Outbox {
    own_ip: Ipv4Addr,
    actions: Vec<Action>,
}

impl Outbox {
    pub(crate) fn new(own_ip: Ipv4Addr) -> Outbox {
        Outbox { own_ip, actions: Vec::new() }
    }

    /// Sends a message; one to this node itself is dropped.
    pub(crate) fn send(&mut self, to: Ipv4Addr, message: PeerMessage) {
        if to != self.own_ip {
            self.actions.push(Action::Send(to, message));
        }
    }

    /// Answers a call.
    pub(crate) fn respond(&mut self, call: u64, reply: Reply) {
        self.actions.push(Action::Respond(call, reply));
    }

    /// Answers a call that has no more to say than that it is done.
    pub(crate) fn respond_done(&mut self, call: u64) {
        self.respond(call, Reply::Done(Arc::new(b"{}".to_vec())));
    }

    pub(crate) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn extend(&mut self, actions: impl IntoIterator<Item = Action>) {
        self.actions.extend(actions);
    }

    /// Puts an action before all that the event has led to.
    pub(crate) fn push_front(&mut self, action: Action) {
        self.actions.insert(0, action);
    }

    /// All actions, in order; the outbox is empty then.
    pub(crate) fn drain(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
