//! The phases of a client connection and their timeouts.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Maximum time to receive the head of a request, from the start of the connection or from the first byte of the
/// request. Clients are guaranteed that an incomplete request ends within 3 s, and this timeout is below that.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// Maximum idle time after a response.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum idle time while there are many connections. In the eviction order, a connection that has been idle for
/// longer counts as unused.
pub(super) const REDUCED_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum idle time of a connection with a single request while there are many connections. No connection is closed
/// for being idle sooner than this, as its client may not have received the complete response yet.
pub(super) const MIN_IDLE: Duration = Duration::from_millis(300);
/// A client that has sent nothing for this long, on a new connection or after the final response, is unlikely to send a
/// request soon.
pub(super) const SILENT_AFTER: Duration = Duration::from_millis(100);
/// Maximum time during which a client reads none of the pending bytes of a response.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// The phase of a client connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No complete request has been received yet.
    New,
    /// A request is in flight.
    Active,
    /// The last request has its response, and no byte of the next one has been received.
    Idle,
    /// Part of the next request has been received.
    Receiving,
    /// The final response has been sent.
    Final,
    /// The connection's task was requested to close it.
    Closing,
}

impl ConnectionPhase {
    /// Whether bytes received in this phase belong to the head of a request.
    pub(super) fn is_before_request(self) -> bool {
        matches!(self, ConnectionPhase::New | ConnectionPhase::Idle | ConnectionPhase::Receiving)
    }
}

/// Which timeouts apply to idle connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum IdleTimeouts {
    Normal,
    /// Shortened timeouts, while there are many client connections.
    Reduced,
}

/// The state of one client connection, written by its task and its stream and read by the registry.
#[derive(Debug)]
pub(super) struct ConnectionState {
    pub(super) phase: Cell<ConnectionPhase>,
    /// When the current phase began; for a request in flight, when its first byte was received.
    pub(super) since: Cell<Instant>,
    /// The number of requests on the connection so far.
    pub(super) request_count: Cell<u32>,
    pub(super) close_requested: Notify,
    /// Whether bytes of a response are waiting to be written.
    pub(super) has_unwritten: Cell<bool>,
    /// When the socket last accepted bytes of a response.
    pub(super) last_write: Cell<Instant>,
    /// The raw bytes received of a request's head.
    pub(super) head: RefCell<Vec<u8>>,
}

impl ConnectionState {
    pub(super) fn new(now: Instant) -> ConnectionState {
        ConnectionState {
            phase: Cell::new(ConnectionPhase::New),
            since: Cell::new(now),
            request_count: Cell::new(0),
            close_requested: Notify::new(),
            has_unwritten: Cell::new(false),
            last_write: Cell::new(now),
            head: RefCell::default(),
        }
    }

    /// Requests the task of the connection to close it.
    pub(super) fn request_close(&self) {
        self.phase.set(ConnectionPhase::Closing);
        self.close_requested.notify_one();
    }

    /// Whether the connection has exceeded the timeout of its phase.
    pub(super) fn is_overdue(&self, idle_timeouts: IdleTimeouts, now: Instant) -> bool {
        let timeout = match (self.phase.get(), idle_timeouts) {
            (ConnectionPhase::New | ConnectionPhase::Receiving, _) => REQUEST_TIMEOUT,
            (ConnectionPhase::Idle, IdleTimeouts::Reduced) if self.request_count.get() <= 1 => MIN_IDLE,
            (ConnectionPhase::Idle, IdleTimeouts::Reduced) => REDUCED_IDLE_TIMEOUT,
            (ConnectionPhase::Idle | ConnectionPhase::Final, _) => IDLE_TIMEOUT,
            // Clients that request long responses and do not read them would otherwise keep their connections open
            // indefinitely.
            (ConnectionPhase::Active, _) if self.has_unwritten.get() => {
                return now.saturating_duration_since(self.last_write.get()) >= STALL_TIMEOUT
            }
            (ConnectionPhase::Active | ConnectionPhase::Closing, _) => return false,
        };
        now.saturating_duration_since(self.since.get()) >= timeout
    }
}
