//! How far a client connection has come, and how long it may stay there.

use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How long all of a request may take to arrive, from the connection's start or its own first byte: a client that has
/// not sent it by then is owed an end within 3 s.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);
/// How long a connection may be idle after a response.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The same where connections are many; beyond it a connection counts as idle for long.
pub(super) const CROWDED_IDLE_TIMEOUT: Duration = Duration::from_secs(2);
/// The same for one that has had a single request. No connection is closed sooner for being idle: its client may not
/// have received all of the response yet.
pub(super) const MIN_IDLE: Duration = Duration::from_millis(300);
/// A client that has sent nothing for that long is not about to.
pub(super) const SILENT_AFTER: Duration = Duration::from_millis(100);
/// How long a client may read nothing of a response.
const STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// How far a client connection has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// No complete request has come on it yet.
    New,
    /// A request is in flight.
    Active,
    /// Answered, with no byte of a further request.
    Idle,
    /// Some of a further request has come.
    Receiving,
    /// It has had its last response.
    Final,
    /// Its task was requested to close it.
    Closing,
}

impl ConnectionPhase {
    /// Whether bytes that come now belong to the head of a request.
    pub(super) fn is_before_request(self) -> bool {
        matches!(self, ConnectionPhase::New | ConnectionPhase::Idle | ConnectionPhase::Receiving)
    }
}

/// Whether client connections are many, so that idle ones have less time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Crowding {
    Few,
    Many,
}

/// The state of one client connection: written by its task and its stream, read by the registry.
#[derive(Debug)]
pub(super) struct ConnectionState {
    pub(super) phase: Cell<ConnectionPhase>,
    /// When the phase began; for a request in flight, when its first byte came.
    pub(super) since: Cell<Instant>,
    /// Requests so far.
    pub(super) request_count: Cell<u32>,
    pub(super) close_requested: Notify,
    /// Whether bytes of a response wait to be written.
    pub(super) has_unwritten: Cell<bool>,
    /// When the client's side last took bytes of a response.
    pub(super) last_write: Cell<Instant>,
    /// What has come of a request's head, as it came.
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

    /// Requests the connection's task to close it.
    pub(super) fn request_close(&self) {
        self.phase.set(ConnectionPhase::Closing);
        self.close_requested.notify_one();
    }

    /// Whether the time of its phase is up.
    pub(super) fn is_overdue(&self, crowding: Crowding, now: Instant) -> bool {
        let timeout = match (self.phase.get(), crowding) {
            (ConnectionPhase::New | ConnectionPhase::Receiving, _) => REQUEST_TIMEOUT,
            (ConnectionPhase::Idle, Crowding::Many) if self.request_count.get() <= 1 => MIN_IDLE,
            (ConnectionPhase::Idle, Crowding::Many) => CROWDED_IDLE_TIMEOUT,
            (ConnectionPhase::Idle | ConnectionPhase::Final, _) => IDLE_TIMEOUT,
            // Guards against clients that request long responses and read nothing of them.
            (ConnectionPhase::Active, _) if self.has_unwritten.get() => {
                return now.saturating_duration_since(self.last_write.get()) >= STALL_TIMEOUT
            }
            (ConnectionPhase::Active | ConnectionPhase::Closing, _) => return false,
        };
        now.saturating_duration_since(self.since.get()) >= timeout
    }
}
