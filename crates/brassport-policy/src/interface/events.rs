//! Events that a gateway handles, and actions that it returns.

use super::{CustomerId, ListKind, Millis, RequestId, ServerEntry, ServerId, Settings};

/// A client's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Its identifier.
    pub id: RequestId,
    /// Its customer.
    pub customer: CustomerId,
    /// The customer's plan, by index.
    pub plan: usize,
    /// Its class, by index.
    pub class: usize,
    /// Units that it takes from the quota, not below 0.
    pub units: f64,
    /// Number of gateways through which this customer's requests may come; 0 counts as 1.
    pub spread: u32,
    /// The first of these gateways, by ordinal; the others follow it, modulo the number of gateways.
    pub first: u32,
    /// Time until the client gives this attempt up, in milliseconds.
    pub expires_in: Millis,
    /// Whether the client marked it as a retry of its own; false where clients mark nothing.
    pub repeat: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server returned an error; it may have run.
    Error,
    /// The server was full and rejected it; it never ran.
    Full,
    /// No response in time; it may have run, or run still.
    TimedOut,
    /// No connection; it never ran.
    NoConnection,
    /// The connection was reset; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::NoConnection | Outcome::Moot)
    }
}

/// The end of one attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts, counted from 0 in the order of their sends.
    pub attempt: u8,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent, in milliseconds.
    pub elapsed: Millis,
    /// Whether the request is answered, by this outcome or before.
    pub finished: bool,
    /// The meter reading that came with the response: the customer's usage over all gateways in the meter's
    /// last finished period, as a multiple of its quota.
    pub used: Option<f64>,
}

impl AttemptEnd {
    /// Time from the send to the end, in milliseconds; 0 if `elapsed` is negative or not finite.
    pub fn elapsed_ms(&self) -> Millis {
        if self.elapsed.is_finite() {
            self.elapsed.max(0.0)
        } else {
            0.0
        }
    }
}

/// What happens to a gateway.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The server list, or changes to it.
    Servers {
        /// What it is.
        kind: ListKind,
        /// Its lines.
        entries: Vec<ServerEntry>,
    },
    /// A request arrived; exactly one final answer is owed.
    Request(Request),
    /// A request arrived whose body is still coming and is forwarded as it comes: it has one attempt.
    Upload(Request),
    /// The body of such a request is complete and forwarded: its deadline begins.
    Whole(RequestId),
    /// An attempt ended.
    AttemptEnd(AttemptEnd),
    /// A streamed response began; the attempt belongs to the client from here, and no answer is owed any
    /// more.
    Started(RequestId),
    /// The client disconnected; no answer is owed any more.
    ClientGone(RequestId),
    /// A timer that this gateway set fired.
    Timer(u64),
    /// New settings. A class or plan keeps its index; there may be more of them, and not fewer. Invalid ones
    /// are ignored.
    Settings(Box<Settings>),
    /// Continue in place of another gateway under the same settings, before any request came.
    Inherit {
        /// The other one's hand-over state: [`Gateway::heritage`](crate::Gateway::heritage).
        learned: String,
        /// The customer of each attempt that is still in flight there.
        out: Vec<CustomerId>,
    },
    /// An attempt of this customer that was in flight at the gateway that this one replaced has ended.
    Released(CustomerId),
    /// Another gateway replaces this one: from here on it spends the rate limits and the turns of servers in
    /// warm-up.
    HandOver,
    /// It does not: they are this gateway's again.
    TakeBack,
}

/// What a gateway requires of its host.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of the request to the server.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// When the attempt times out; `None`: when the client does.
        expire_at: Option<Millis>,
    },
    /// Final answer: rejected; a retry is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client should wait, in milliseconds; 0: no advice.
        retry_after: Millis,
    },
    /// Final answer: failed; an attempt may have run.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which of its attempts, counted from 0 in the order of their sends.
        attempt: u8,
    },
    /// Set a timer.
    Timer {
        /// When it is due.
        at: Millis,
        /// Comes back in [`Event::Timer`].
        token: u64,
    },
    /// Request the server list and its changes.
    FollowServers,
    /// A log line for operators.
    Log(String),
}
