//! Collects the actions that result from an event, in order.

use crate::call::Reply;
use crate::event::Action;
use crate::peer_message::PeerMessage;
use std::net::Ipv4Addr;
use std::sync::Arc;

/// The actions to be returned to the host.
#[derive(Debug)]
pub(crate) struct Outbox {
    own_ip: Ipv4Addr,
    actions: Vec<Action>,
}

impl Outbox {
    pub(crate) fn new(own_ip: Ipv4Addr) -> Outbox {
        Outbox { own_ip, actions: Vec::new() }
    }

    /// Sends a message. Messages to this node itself are dropped.
    pub(crate) fn send(&mut self, to: Ipv4Addr, message: PeerMessage) {
        if to != self.own_ip {
            self.actions.push(Action::Send(to, message));
        }
    }

    pub(crate) fn respond(&mut self, call: u64, reply: Reply) {
        self.actions.push(Action::Respond(call, reply));
    }

    /// Replies to a call with success and an empty JSON object.
    pub(crate) fn respond_done(&mut self, call: u64) {
        self.respond(call, Reply::Done(Arc::new(b"{}".to_vec())));
    }

    pub(crate) fn push(&mut self, action: Action) {
        self.actions.push(action);
    }

    pub(crate) fn extend(&mut self, actions: impl IntoIterator<Item = Action>) {
        self.actions.extend(actions);
    }

    /// Inserts an action before all others of this event.
    pub(crate) fn push_front(&mut self, action: Action) {
        self.actions.insert(0, action);
    }

    /// Removes and returns all actions, in order.
    pub(crate) fn drain(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }
}
