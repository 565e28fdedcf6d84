//! The data path's links to the other processes of an upgrade: the successor, which takes over from this process, and
//! the predecessor, from which this process took over.

use super::link::Sender;
use super::protocol::Message;
use hyper::body::Bytes;
use std::cell::{Cell, RefCell};
use std::os::fd::OwnedFd;
use tokio::sync::Notify;

/// Progress of the handover from this process to its successor.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum HandoverState {
    #[default]
    NotStarted,
    /// The successor is about to serve: new connections wait in the backlog of the listening socket.
    Offered,
    /// The successor serves: this process accepts no connections, and closes each connection after its response.
    Complete,
}

/// The links to the successor and the predecessor, and the progress of the handover.
#[derive(Debug, Default)]
pub struct Neighbors {
    successor: RefCell<Option<Sender>>,
    predecessor: RefCell<Option<Sender>>,
    state: Cell<HandoverState>,
    /// Number of descriptors that the successor may use instead of this process.
    lent: Cell<usize>,
    changed: Notify,
}

impl Neighbors {
    pub fn set_successor(&self, successor: Option<Sender>) {
        self.successor.replace(successor);
    }

    pub fn set_predecessor(&self, predecessor: Option<Sender>) {
        self.predecessor.replace(predecessor);
    }

    pub fn state(&self) -> HandoverState {
        self.state.get()
    }

    pub fn is_complete(&self) -> bool {
        self.state.get() == HandoverState::Complete
    }

    pub fn set_state(&self, state: HandoverState) {
        self.state.set(state);
        self.changed.notify_waiters();
    }

    /// Waits until the state satisfies the condition.
    pub async fn until(&self, condition: impl Fn(HandoverState) -> bool) {
        loop {
            let changed = self.changed.notified();
            if condition(self.state.get()) {
                return;
            }
            changed.await;
        }
    }

    /// Hands a client connection over, with the bytes read that are not used yet and the number of its requests so
    /// far.
    pub fn hand_over_client(&self, socket: OwnedFd, read: Bytes, request_count: u32) {
        if let Some(successor) = &*self.successor.borrow() {
            successor.send(Message::Client { read: read.to_vec(), asked: request_count }, Some(socket));
            self.lend(1);
        }
    }

    pub fn lend(&self, descriptors: usize) {
        self.lent.set(self.lent.get() + descriptors);
    }

    /// Takes back all descriptors that were lent, after the successor's end, and returns their number.
    pub fn reclaim_lent(&self) -> usize {
        self.lent.take()
    }

    pub fn notify_successor(&self, message: impl FnOnce() -> Message) {
        if let Some(successor) = &*self.successor.borrow() {
            successor.send(message(), None);
        }
    }

    /// Sends a message to the successor and the predecessor.
    pub fn notify_all(&self, message: &Message) {
        self.notify_successor(|| message.clone());
        if let Some(predecessor) = &*self.predecessor.borrow() {
            predecessor.send(message.clone(), None);
        }
    }
}
