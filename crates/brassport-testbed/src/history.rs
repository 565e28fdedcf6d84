//! What everybody saw, on one clock.

use crate::configuration::Plan;
use crate::http::Failure;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Instant;

/// A request that a backend began to run.
#[derive(Debug, Clone, PartialEq)]
pub struct Run {
    /// Seconds since the beginning.
    pub at: f64,
    /// The client's identifier of the attempt.
    pub id: String,
    /// The backend's service.
    pub service: String,
    /// The tenant that the gateway named.
    pub customer: Option<String>,
    /// Whether a key came through.
    pub has_key: bool,
    /// What the backend stamps its answer with.
    pub seal: String,
    /// How many seconds the work takes when nothing cuts it short.
    pub work_s: f64,
    /// When it ended, by itself or cut short.
    pub ended: Option<f64>,
}

/// How an attempt ended for its client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete response came.
    Answer {
        /// Its status.
        status: u16,
        /// The stamp.
        seal: Option<String>,
        /// The id that it is for.
        id: Option<String>,
        /// Whether its body is what was to come.
        is_complete: bool,
    },
    /// None came.
    Failed(Failure),
}

/// One attempt of a client.
#[derive(Debug, Clone, PartialEq)]
pub struct Attempt {
    /// Its id.
    pub id: String,
    /// The tenant whose key went along.
    pub tenant: Option<String>,
    /// Where to.
    pub host: String,
    /// Where to.
    pub path: String,
    /// Whether it may run more than once.
    pub is_safe: bool,
    /// The node that it was sent to.
    pub node: SocketAddrV4,
    /// Seconds since the beginning, when it was sent.
    pub sent: f64,
    /// When it ended, and how.
    pub ended: Option<(f64, AttemptOutcome)>,
}

/// How a request ended for its client, after all its attempts.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// A 2xx with the stamp.
    Served,
    /// Refused with this status.
    Refused(u16),
    /// No answer, or one that is no promise.
    Failed(String),
}

/// One request of a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CompletedRequest {
    /// Whether it is within all quotas and allowed, so that it should be served.
    pub is_due: bool,
    /// How it ended.
    pub outcome: RequestOutcome,
}

/// A configuration that the operator sent.
#[derive(Debug, Clone, PartialEq)]
pub struct SubmittedConfiguration {
    /// All that it says.
    pub plan: Plan,
    /// When it was sent first.
    pub at: f64,
    /// When it was acknowledged.
    pub acknowledged: Option<f64>,
}

/// What was read back at the end.
#[derive(Debug, Clone, PartialEq)]
pub struct ReadBack {
    /// The version.
    pub version: u32,
    /// Its routes, in order.
    pub routes: Vec<ReadRoute>,
}

/// A route as it was read back.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadRoute {
    /// Its host.
    pub host: String,
    /// The prefix of its paths.
    pub path_prefix: String,
    /// The names of its services, in order.
    pub services: Vec<String>,
}

/// A span in which a node was killed, starting, frozen or just thawed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FaultWindow {
    /// Where the node's clients arrive.
    pub node: SocketAddrV4,
    /// Seconds since the beginning.
    pub from: f64,
    /// See `from`.
    pub until: f64,
}

/// The version that a node reported as its own.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ObservedVersion {
    /// The control address of the node.
    pub node: SocketAddrV4,
    /// Seconds since the beginning, when the queries began: first whether it is ready, then its version.
    pub began: f64,
    /// When the last response came.
    pub ended: f64,
    /// The version of the configuration that the node's own replica holds.
    pub version: u32,
    /// Whether the node reported ready just before.
    pub is_ready: bool,
}

/// A process of a node that was started after an earlier one had ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProcessStart {
    /// The control address of the node.
    pub node: SocketAddrV4,
    /// Seconds since the beginning.
    pub at: f64,
}

/// All of it.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct History {
    /// What ran.
    pub runs: Vec<Run>,
    /// What was tried.
    pub attempts: Vec<Attempt>,
    /// What was completed for.
    pub requests: Vec<CompletedRequest>,
    /// What the operator sent.
    pub sent: Vec<SubmittedConfiguration>,
    /// What it read at the end.
    pub read_back: Option<ReadBack>,
    /// What was done to nodes beyond planned work.
    pub fault_windows: Vec<FaultWindow>,
    /// The versions that nodes reported, in the order of the queries; only of plays that observe them.
    pub observed_versions: Vec<ObservedVersion>,
    /// The processes started anew in such plays.
    pub process_starts: Vec<ProcessStart>,
    /// When the last request was made.
    pub end: f64,
}

impl History {
    /// Whether a node was left alone from one moment to another.
    pub fn is_fault_free(&self, node: SocketAddrV4, from: f64, until: f64) -> bool {
        let overlaps = |one: &&FaultWindow| one.node == node && one.from <= until && from <= one.until;
        !self.fault_windows.iter().any(|one| overlaps(&one))
    }

    /// The newest configuration that was acknowledged.
    pub fn newest(&self) -> Option<&SubmittedConfiguration> {
        self.sent.iter().filter(|sent| sent.acknowledged.is_some()).max_by_key(|sent| sent.plan.version)
    }
}

/// The history while it is written.
#[derive(Debug)]
pub struct Recorder {
    start: Instant,
    history: RefCell<History>,
    last_id: Cell<u64>,
}

impl Recorder {
    /// An empty one that begins now.
    pub fn begin() -> Rc<Recorder> {
        Rc::new(Recorder { start: Instant::now(), history: RefCell::default(), last_id: Cell::new(0) })
    }

    /// Seconds since the beginning.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// An identifier that no other attempt has.
    pub fn new_id(&self) -> String {
        self.last_id.set(self.last_id.get() + 1);
        format!("{:08x}{:08x}", std::process::id(), self.last_id.get())
    }

    /// Notes that a node was disturbed from some moment until now.
    pub fn record_fault(&self, node: SocketAddrV4, from: f64) {
        let until = self.now();
        self.record(|history| history.fault_windows.push(FaultWindow { node, from, until }));
    }

    /// Records something.
    pub fn record<T>(&self, write: impl FnOnce(&mut History) -> T) -> T {
        write(&mut self.history.borrow_mut())
    }

    /// What has been recorded so far.
    pub fn history(&self) -> History {
        self.history.borrow().clone()
    }
}
