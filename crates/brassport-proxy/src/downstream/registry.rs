//! The registry of client connections, which selects the connections to close on timeouts or for lack of descriptors.

use super::phase::{
    ConnectionPhase, ConnectionState, IdleTimeouts, MIN_IDLE, REDUCED_IDLE_TIMEOUT, SILENT_AFTER,
};
use crate::clock::Clock;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

/// Maximum capacity in bytes of the head buffer that a connection keeps while it is idle.
const IDLE_HEAD_CAPACITY: usize = 1024;

/// All client connections, in the order in which they were accepted. Owns their states, not their sockets.
#[derive(Debug)]
pub struct ConnectionRegistry<C> {
    clock: C,
    connections: RefCell<BTreeMap<u64, Rc<ConnectionState>>>,
    last_number: Cell<u64>,
}

/// A rule that selects connections to close when descriptors run short.
struct EvictionRule {
    phase: ConnectionPhase,
    /// The maximum number of requests that the connection has had.
    max_requests: u32,
    /// The minimum time that the connection has been in the phase.
    min_time: Duration,
}

/// The rules by which connections are closed to free descriptors, in order of preference. A crowd of clients that send
/// a single request, keep the connection open and reconnect at once when it is closed would otherwise use up the
/// descriptors that new clients need.
const EVICTION_ORDER: [EvictionRule; 6] = [
    // The final response was sent.
    EvictionRule { phase: ConnectionPhase::Final, max_requests: u32::MAX, min_time: SILENT_AFTER },
    // The client had time to send a request, but did not.
    EvictionRule { phase: ConnectionPhase::New, max_requests: 0, min_time: SILENT_AFTER },
    // Idle for a long time.
    EvictionRule { phase: ConnectionPhase::Idle, max_requests: u32::MAX, min_time: REDUCED_IDLE_TIMEOUT },
    // Idle after a single request.
    EvictionRule { phase: ConnectionPhase::Idle, max_requests: 1, min_time: MIN_IDLE },
    // Just accepted, without data.
    EvictionRule { phase: ConnectionPhase::New, max_requests: 0, min_time: Duration::ZERO },
    // Any other idle connection.
    EvictionRule { phase: ConnectionPhase::Idle, max_requests: u32::MAX, min_time: MIN_IDLE },
];

impl<C: Clock> ConnectionRegistry<C> {
    /// Creates an empty registry.
    pub fn new(clock: C) -> ConnectionRegistry<C> {
        ConnectionRegistry { clock, connections: RefCell::default(), last_number: Cell::new(0) }
    }

    /// Registers a connection. Dropping the returned handle removes it.
    pub fn register(self: &Rc<Self>) -> DownstreamConnection<C> {
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let state = Rc::new(ConnectionState::new(self.clock.now()));
        self.connections.borrow_mut().insert(number, state.clone());
        DownstreamConnection { registry: self.clone(), number, state }
    }

    /// The number of connections.
    pub fn count(&self) -> usize {
        self.connections.borrow().len()
    }

    /// The number of connections that were requested to close and are still open.
    pub fn closing_count(&self) -> usize {
        let connections = self.connections.borrow();
        connections.values().filter(|state| state.phase.get() == ConnectionPhase::Closing).count()
    }

    /// Closes the connection that its client is least likely to use again. Returns false if no connection may be
    /// closed.
    pub fn close_least_useful(&self) -> bool {
        let selected = EVICTION_ORDER.iter().find_map(|rule| self.longest_matching(rule));
        if let Some(state) = &selected {
            state.request_close();
        }
        selected.is_some()
    }

    /// The connection matching the rule that has been in its phase for the longest time.
    fn longest_matching(&self, rule: &EvictionRule) -> Option<Rc<ConnectionState>> {
        let (connections, now) = (self.connections.borrow(), self.clock.now());
        let matches = |state: &&Rc<ConnectionState>| {
            state.phase.get() == rule.phase && state.request_count.get() <= rule.max_requests
        };
        let longest = connections.values().filter(matches).min_by_key(|state| state.since.get())?;
        let is_due = now.saturating_duration_since(longest.since.get()) >= rule.min_time;
        is_due.then(|| longest.clone())
    }

    /// Closes the connections that have exceeded the timeout of their phase. With more than `reduced_idle_threshold`
    /// connections, shorter idle timeouts apply: a load balancer in front of this process may limit the number of
    /// connections, and clients that keep connections open after a single request, open a new connection for each
    /// request or close late would reach that limit long before descriptors run out here. The cost is that a client
    /// with infrequent requests has to reconnect.
    pub fn close_overdue(&self, reduced_idle_threshold: usize) {
        let (connections, now) = (self.connections.borrow(), self.clock.now());
        let is_reduced = connections.len() > reduced_idle_threshold;
        let idle_timeouts = if is_reduced { IdleTimeouts::Reduced } else { IdleTimeouts::Normal };
        for state in connections.values().filter(|state| state.is_overdue(idle_timeouts, now)) {
            state.request_close();
        }
    }
}

/// The handle of one registered client connection. Dropping it removes the connection from the registry.
pub struct DownstreamConnection<C: Clock> {
    registry: Rc<ConnectionRegistry<C>>,
    number: u64,
    state: Rc<ConnectionState>,
}

impl<C: Clock> DownstreamConnection<C> {
    /// Sets the phase. If the registry has requested to close the connection and a client's request is received after
    /// that, this ends [`ConnectionPhase::Closing`] and so cancels the request to close.
    pub fn set_phase(&self, phase: ConnectionPhase) {
        // The time of a request starts with its first byte, not with the end of its head.
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

    /// The current phase.
    pub fn phase(&self) -> ConnectionPhase {
        self.state.phase.get()
    }

    /// Initializes a connection that was handed over by another process, which has received `request_count` requests.
    pub fn resume(&self, request_count: u32) {
        self.state.request_count.set(request_count);
        self.set_phase(ConnectionPhase::Idle);
    }

    /// The number of requests received on the connection.
    pub fn request_count(&self) -> u32 {
        self.state.request_count.get()
    }

    /// Whether neither a request nor a response is in flight, so that the bytes read so far are the complete state of
    /// the connection.
    pub fn is_between_requests(&self) -> bool {
        self.phase().is_before_request() && !self.state.has_unwritten.get()
    }

    /// Whether the raw bytes of the last head are complete and do not contain this header. The raw bytes are checked
    /// because hyper removes some headers. Returns false if the result is uncertain, e.g. for a head that was received
    /// in one read together with another. Consumes the stored bytes, so it works only once per head.
    pub fn head_lacks(&self, name: &[u8]) -> bool {
        let head = self.state.head.take();
        // Empty lines before a request are ignored (RFC 9112, section 2.2).
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

    /// The time since the first byte of the current request.
    pub fn request_age(&self) -> Duration {
        self.registry.clock.now().saturating_duration_since(self.state.since.get())
    }

    /// Completes when the connection has to be closed. Ignores a request to close if a client's request was received
    /// after the registry selected the connection.
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

    /// Records received bytes if they belong to the head of a request; at most `max_head_bytes` of a head are kept.
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

    /// Records whether bytes of a response are waiting to be written.
    pub(super) fn set_unwritten(&self, has_unwritten: bool) {
        self.state.has_unwritten.set(has_unwritten);
    }

    /// Records the time of a write that did not block.
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
