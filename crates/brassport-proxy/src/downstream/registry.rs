//! All client connections: which of them to close when descriptors or time run out.

use super::phase::{
    ConnectionPhase, ConnectionState, Crowding, CROWDED_IDLE_TIMEOUT, MIN_IDLE, SILENT_AFTER,
};
use crate::clock::Clock;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

/// Room for the next head that a connection keeps while it is idle.
const IDLE_HEAD_CAPACITY: usize = 1024;

/// All client connections, in the order in which they were accepted. It owns their states, not their sockets.
#[derive(Debug)]
pub struct ConnectionRegistry<C> {
    clock: C,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    last_number: Cell<u64>,
}

/// Connections that may be closed for others: of one phase, with at most so many requests, in it for so long.
struct Candidates {
    phase: ConnectionPhase,
    max_requests: u32,
    least: Duration,
}

/// The order in which connections are closed for others. Guards against crowds that send one request and stay: they use
/// what newcomers need, and are back at once.
const CLOSING_ORDER: [Candidates; 6] = [
    // Had its last response.
    Candidates { phase: ConnectionPhase::Final, max_requests: u32::MAX, least: SILENT_AFTER },
    // Had time to send a request and did not.
    Candidates { phase: ConnectionPhase::New, max_requests: 0, least: SILENT_AFTER },
    // Idle for long.
    Candidates { phase: ConnectionPhase::Idle, max_requests: u32::MAX, least: CROWDED_IDLE_TIMEOUT },
    // Idle, and sent one request only.
    Candidates { phase: ConnectionPhase::Idle, max_requests: 1, least: MIN_IDLE },
    // Just accepted.
    Candidates { phase: ConnectionPhase::New, max_requests: 0, least: Duration::ZERO },
    // Any idle one.
    Candidates { phase: ConnectionPhase::Idle, max_requests: u32::MAX, least: MIN_IDLE },
];

impl<C: Clock> ConnectionRegistry<C> {
    /// A registry without connections.
    pub fn new(clock: C) -> ConnectionRegistry<C> {
        ConnectionRegistry { clock, connections: RefCell::default(), last_number: Cell::new(0) }
    }

    /// Registers a connection; it is removed when the handle is dropped.
    pub fn register(self: &Rc<Self>) -> DownstreamConnection<C> {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let state = Rc::new(ConnectionState::new(self.clock.now()));
        self.connections.borrow_mut().insert(number, state.clone());
        DownstreamConnection { registry: self.clone(), number, state }
    }

    /// How many connections there are.
    pub fn count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// How many were requested to close and have not closed yet.
    pub fn closing_count(&self) -> usize {
        let connections = self.connections.borrow();
        connections.values().filter(|state| state.phase.get() == ConnectionPhase::Closing).count()
    }

    /// Closes the connection whose client has the least use for it; false if there is none that may be closed.
    pub fn close_least_useful(&self) -> bool {
        let chosen = CLOSING_ORDER.iter().find_map(|candidates| self.longest(candidates));
        if let Some(state) = &chosen {
            state.request_close();
        }
        chosen.is_some()
    }

    /// The candidate that has been in its phase for the longest time.
    fn longest(&self, candidates: &Candidates) -> Option<Rc<ConnectionState>> {
        let (connections, now) = (self.connections.borrow(), self.clock.now());
        let fits = |state: &&Rc<ConnectionState>| {
            state.phase.get() == candidates.phase && state.request_count.get() <= candidates.max_requests
        };
        let longest = connections.values().filter(fits).min_by_key(|state| state.since.get())?;
        let is_due = now.saturating_duration_since(longest.since.get()) >= candidates.least;
        is_due.then(|| longest.clone())
    }

    /// Closes the connections whose time is up; beyond `crowd_threshold` connections an idle one has less time. Guards
    /// against clients that are kept out by connections of their own: a load balancer before this process may allow
    /// only so many, and a crowd that sends one request and stays, that opens a connection each time or that closes
    /// late fills them up, long before descriptors run out here. Costs a client in a crowd that sends rarely: it has to
    /// connect again.
    pub fn close_overdue(&self, crowd_threshold: usize) {
        let (connections, now) = (self.connections.borrow(), self.clock.now());
        let crowding = if connections.len() > crowd_threshold { Crowding::Many } else { Crowding::Few };
        for state in connections.values().filter(|state| state.is_overdue(crowding, now)) {
            state.request_close();
        }
    }
}

/// One client connection among all; it is removed from the registry when this is dropped.
pub struct DownstreamConnection<C: Clock> {
    registry: Rc<ConnectionRegistry<C>>,
    number: u64,
    state: Rc<ConnectionState>,
}

impl<C: Clock> DownstreamConnection<C> {
    /// Sets the phase. A connection that was requested to close leaves [`ConnectionPhase::Closing`] by this if it
    /// turns out to be in use.
    pub fn set_phase(&self, phase: ConnectionPhase) {
        // A request's time begins with its first byte, not when all of its head is there.
        let has_begun = matches!(self.phase(), ConnectionPhase::New | ConnectionPhase::Receiving)
            && phase == ConnectionPhase::Active;
        if !has_begun {
            self.state.since.set(self.registry.clock.now());
        }
        if phase == ConnectionPhase::Active {
            self.state.request_count.set(self.state.request_count.get().saturating_add(1));
        }
        if phase == ConnectionPhase::Idle {
            let head = &mut *self.state.head.borrow_mut();
            head.clear();
            head.shrink_to(IDLE_HEAD_CAPACITY);
        }
        self.state.phase.set(phase);
    }

    /// The phase as it is now.
    pub fn phase(&self) -> ConnectionPhase {
        self.state.phase.get()
    }

    /// Continues a connection on which another process has had so many requests.
    pub fn resume(&self, request_count: u32) {
        self.state.request_count.set(request_count);
        self.set_phase(ConnectionPhase::Idle);
    }

    /// How many requests it has had.
    pub fn request_count(&self) -> u32 {
        self.state.request_count.get()
    }

    /// Whether neither a request nor a response is in flight on it: what was read is all of its state.
    pub fn is_between_requests(&self) -> bool {
        self.phase().is_before_request() && !self.state.has_unwritten.get()
    }

    /// Whether the head that came last is complete and has no header of this name in the bytes as they came: hyper
    /// removes some headers. False if that is unclear, as for a head that came in one read with another. Once per
    /// head: the bytes are dropped.
    pub fn head_lacks(&self, name: &[u8]) -> bool {
        let head = self.state.head.take();
        // Empty lines before a request are no part of it (RFC 9112, section 2.2).
        let begin = head.iter().position(|byte| !byte.is_ascii_whitespace()).unwrap_or(head.len());
        for line in head[begin..].split(|byte| *byte == b'\n').map(|line| line.trim_ascii_end()) {
            let field = line.split(|byte| *byte == b':').next().unwrap_or_default();
            if line.is_empty() {
                return true;
            }
            if field.trim_ascii().eq_ignore_ascii_case(name) {
                return false;
            }
        }
        false
    }

    /// The time since the first byte of the request that is coming in.
    pub fn request_age(&self) -> Duration {
        self.registry.clock.now().saturating_duration_since(self.state.since.get())
    }

    /// Ready once the connection is to close. Guards against closing it on a request that came between the registry's
    /// choice and this task's turn.
    pub async fn close_requested(&self) {
        loop {
            self.state.close_requested.notified().await;
            if self.phase() == ConnectionPhase::Closing {
                return;
            }
        }
    }

    pub(super) fn clock(&self) -> &C {
        &self.registry.clock
    }

    /// Records bytes that were read, as far as they belong to a head; of those at most so many are kept.
    pub(super) fn record_read(&self, bytes: &[u8], max_head_bytes: usize) {
        let phase = self.phase();
        if phase == ConnectionPhase::Idle {
            self.set_phase(ConnectionPhase::Receiving);
        }
        if phase.is_before_request() {
            let mut head = self.state.head.borrow_mut();
            let kept = max_head_bytes.saturating_sub(head.len()).min(bytes.len());
            head.extend_from_slice(&bytes[..kept]);
        }
    }

    /// Records whether bytes of a response wait to be written.
    pub(super) fn set_unwritten(&self, has_unwritten: bool) {
        self.state.has_unwritten.set(has_unwritten);
    }

    /// Records when bytes were last written.
    pub(super) fn record_write<T>(&self, written: &Poll<T>) {
        if written.is_ready() {
            self.state.last_write.set(self.registry.clock.now());
        }
    }
}

impl<C: Clock> Drop for DownstreamConnection<C> {
    fn drop(&mut self) {
        self.registry.connections.borrow_mut().remove(&self.number);
    }
}
