//! Events that a gateway handles, and actions that it returns.

use super::{CustomerId, ListKind, Millis, RequestId, ServerEntry, ServerId, Settings};

/// A client's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Unique among all requests of this gateway.
    pub id: RequestId,
    /// The customer (tenant) whose quota the request counts against.
    pub customer: CustomerId,
    /// Index of the customer's plan in the settings.
    pub plan: usize,
    /// Index of the request's class in the settings.
    pub class: usize,
    /// Units that the request takes from the quota, not negative.
    pub units: f64,
    /// Number of gateways that may receive this customer's requests; 0 counts as 1.
    pub customer_gateways: u32,
    /// Ordinal of the first of these gateways; the others follow it, modulo the number of all gateways.
    pub first_gateway: u32,
    /// Time until the client abandons this request, in milliseconds.
    pub expires_in: Millis,
    /// Whether the client marked the request as its own retry; always false if clients do not mark retries.
    pub is_client_retry: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The server responded successfully.
    Ok,
    /// The server returned an error; the attempt may have run.
    Error,
    /// The server was at capacity and rejected the attempt; it never ran.
    Overloaded,
    /// No response in time; the attempt may have run, or may still be running.
    TimedOut,
    /// No connection could be established; the attempt never ran.
    NoConnection,
    /// The connection was reset; the attempt may have run.
    Reset,
    /// The gateway cancelled the attempt; it may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Overloaded | Outcome::NoConnection | Outcome::NotSent)
    }
}

/// The end of one attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptEnd {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Index of the attempt among the request's attempts, in the order of their sends, from 0.
    pub attempt: u8,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time since the send, in milliseconds.
    pub elapsed: Millis,
    /// Whether the request has been answered, with this attempt's response or before.
    pub finished: bool,
    /// Meter reading in the response: the customer's usage over all gateways in the last meter period that is
    /// complete, as a multiple of its quota. `None`: the response had no reading.
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

/// An event that a gateway handles.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The server list, or changes to it.
    Servers {
        /// How the entries relate to the present list.
        kind: ListKind,
        /// Entries of the list, one per server.
        entries: Vec<ServerEntry>,
    },
    /// A complete request arrived. The gateway returns exactly one final answer to it.
    Request(Request),
    /// A request arrived whose body is still being received, and is forwarded at the same time. Such a
    /// request gets one attempt only.
    Upload(Request),
    /// The body of an [`Event::Upload`] request is complete and forwarded: the request's deadline starts.
    UploadComplete(RequestId),
    /// An attempt ended.
    AttemptEnd(AttemptEnd),
    /// A streamed response started: the host forwards it to the client and does not expect a final answer.
    ResponseStarted(RequestId),
    /// The client disconnected: the host does not expect a final answer.
    ClientDisconnected(RequestId),
    /// A timer expired; carries the token of its [`Action::SetTimer`].
    Timer(u64),
    /// New settings. Classes and plans keep their indices: there may be more of them, but not fewer. Invalid
    /// settings are ignored.
    Settings(Box<Settings>),
    /// Continue from the state of another gateway with the same settings. Must precede the first request.
    ApplyHandover {
        /// The other gateway's [`Gateway::handover_state`](crate::Gateway::handover_state).
        state: String,
        /// The customer of each attempt that is still in flight at the other gateway.
        in_flight: Vec<CustomerId>,
    },
    /// An attempt of this customer that was in flight at the replaced gateway ended.
    PredecessorAttemptEnded(CustomerId),
    /// Another gateway replaces this one: it alone now spends the rate limits and the turns of servers in
    /// warm-up.
    Retire,
    /// The replacement failed: this gateway spends rate limits and turns again.
    Resume,
}

/// An action that a gateway requires of its host.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of the request to the server.
    Send {
        /// The request to send.
        request: RequestId,
        /// The server to send it to.
        server: ServerId,
        /// When the attempt times out; `None`: when the request does.
        expire_at: Option<Millis>,
    },
    /// Final answer: the request is rejected; a retry is safe.
    Reject {
        /// The request to answer.
        request: RequestId,
        /// How long the client should wait before it retries, in milliseconds; 0: do not say.
        retry_after: Millis,
    },
    /// Final answer: the request failed; an attempt may have run.
    Fail(RequestId),
    /// Cancel an attempt.
    Cancel {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// Index of the attempt among the request's attempts, in the order of their sends, from 0.
        attempt: u8,
    },
    /// Set a timer.
    SetTimer {
        /// When the timer expires.
        at: Millis,
        /// To be returned in [`Event::Timer`].
        token: u64,
    },
    /// Request the server list, and subscribe to its changes.
    WatchServers,
    /// Write a line to the operator's log.
    Log(String),
}
