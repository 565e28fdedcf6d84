//! One attempt of a request at one backend, from acquiring a connection to releasing or closing it.
//!
//! The steps in order: [`acquire`](Exchange::acquire) a connection, [`take_request`](Exchange::take_request) if the
//! request still has to be sent, [`send`](Exchange::send) it, [`receive`](Exchange::receive) the response,
//! [`release`](Exchange::release) the connection. A step that fails returns the [`Outcome`] of the attempt.

use super::connection::ConnectionError;
use super::pool::{ConnectionId, PooledConnection, UpstreamPool, UsedConnections};
use super::request::UpstreamRequest;
use super::response::{self, ReceiveMode, ReceivedBody};
use crate::body::{ResponseBody, StreamedBody, UpstreamBody};
use crate::clock::Clock;
use crate::deadline::ResettableDeadline;
use crate::mutants::mutant;
use crate::network::Network;
use crate::protocol::{AttemptEvent, AttemptTrace, NotRunEvidence, ResponseClassification};
use brassport_policy::{Outcome, ServerId};
use http_body_util::Full;
use hyper::body::{Body, Bytes, Incoming};
use hyper::http::response::Parts;
use hyper::{Request, Response};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Instant;

/// The request, the backend and the deadline of an attempt.
pub struct AttemptTarget<'a> {
    /// The backend that the policy selected.
    pub backend: ServerId,
    /// The request to send.
    pub request: &'a UpstreamRequest,
    /// When the attempt times out.
    pub deadline: &'a ResettableDeadline,
    /// The connections of the request's earlier attempts.
    pub used_connections: &'a UsedConnections,
}

/// The caller's side of an attempt.
pub trait AttemptOwner {
    /// Whether the request still has to be sent. Called once, immediately before its first byte.
    fn may_send(&self) -> bool;

    /// Receives a long response after its first bytes have arrived. Called at most once. After this call, neither the
    /// deadline nor cancellation ends the attempt; it ends when the client or the backend ends the transfer, or by the
    /// stall timeout, which for the backend is not earlier than the deadline.
    fn forward(&self, response: Response<ResponseBody>);
}

/// The result of an attempt.
pub struct AttemptResult {
    /// The outcome that is reported to the policy.
    pub outcome: Outcome,
    /// The connection that carried the request, and why the request cannot have run.
    pub trace: AttemptTrace,
    /// The customer's usage in the last metering period as a fraction of its rate limit; `None` if the response does
    /// not report it.
    pub quota_used: Option<f64>,
    /// The response; `None` if it is not for the client or was already passed to [`AttemptOwner::forward`].
    pub response: Option<Response<ResponseBody>>,
    /// When streaming of a long response began; `None` if the response was not streamed.
    pub streaming_since: Option<Instant>,
}

impl AttemptResult {
    /// A result without a response.
    fn new(outcome: Outcome, evidence: Option<NotRunEvidence>) -> AttemptResult {
        let trace = AttemptTrace { connection: None, evidence };
        AttemptResult { outcome, trace, quota_used: None, response: None, streaming_since: None }
    }
}

/// Why an attempt has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptFailure {
    /// The attempt was skipped before the first byte: the backend or the client is gone, or a limit forbids it.
    Skipped,
    /// No connection was established.
    NotConnected,
    /// The connection was closed before the first byte.
    Unsent,
    /// The connection was lost after the first byte: the backend may have begun to run the request, also if the request
    /// was not complete.
    Interrupted,
}

impl AttemptFailure {
    fn outcome(self) -> Outcome {
        match self {
            AttemptFailure::Skipped => Outcome::NotSent,
            AttemptFailure::NotConnected | AttemptFailure::Unsent => Outcome::NoConnection,
            AttemptFailure::Interrupted => reset(),
        }
    }

    fn evidence(self) -> Option<NotRunEvidence> {
        match self {
            AttemptFailure::Skipped => Some(NotRunEvidence::Skipped),
            AttemptFailure::NotConnected => Some(NotRunEvidence::NotConnected),
            AttemptFailure::Unsent => Some(NotRunEvidence::Unsent),
            AttemptFailure::Interrupted => None,
        }
    }
}

impl From<AttemptFailure> for AttemptResult {
    fn from(failure: AttemptFailure) -> AttemptResult {
        AttemptResult::new(failure.outcome(), failure.evidence())
    }
}

impl<C: Clock, N: Network> UpstreamPool<C, N> {
    /// Executes one attempt. When this completes, the attempt has ended and its connection is closed or back in the
    /// pool. The attempt is cancelled when `cancelled` completes.
    pub async fn attempt(
        &self,
        target: AttemptTarget<'_>,
        owner: &impl AttemptOwner,
        cancelled: impl Future,
    ) -> AttemptResult {
        let AttemptTarget { request, deadline, .. } = target;
        let progress = Progress::default();
        let exchange = Exchange { pool: self, target, owner, progress: &progress };
        let running = exchange.run();
        #[cfg(not(feature = "mutants"))]
        let mut running = std::pin::pin!(running);
        // Boxed, so that the mutant `KeepTimedOutAttempt` can leak the exchange.
        #[cfg(feature = "mutants")]
        let mut running = Box::pin(running);
        // The exchange owns the connection. If another branch completes first, the exchange is dropped and its socket
        // closed before this function returns and the policy is notified.
        let ended = tokio::select! {
            biased;
            _ = cancelled => Outcome::Cancelled,
            result = &mut running => return progress.traced(result),
            () = deadline.passed(&self.clock) => Outcome::TimedOut,
            () = request.stalled(&self.clock) => Outcome::TimedOut,
        };
        if progress.streaming_since.get().is_some() {
            return progress.traced(running.await);
        }
        #[cfg(feature = "mutants")]
        if mutant!(KeepTimedOutAttempt) && ended == Outcome::TimedOut {
            std::mem::forget(running);
        }
        progress.traced(progress.interrupted(ended))
    }
}

/// The progress of an exchange, which determines the outcome if it times out or is cancelled.
#[derive(Default)]
struct Progress {
    /// Whether bytes of the request may have been written.
    is_written: Cell<bool>,
    /// When streaming of the response began; `None` before that.
    streaming_since: Cell<Option<Instant>>,
    /// The connection that the request is sent on; `None` before that.
    connection: Cell<Option<ConnectionId>>,
}

impl Progress {
    /// The result of an attempt that was cancelled or timed out.
    fn interrupted(&self, ended: Outcome) -> AttemptResult {
        match ended {
            _ if self.is_written.get() => AttemptResult::new(ended, None),
            Outcome::Cancelled => AttemptFailure::Skipped.into(),
            _ => AttemptFailure::NotConnected.into(),
        }
    }

    /// Adds the connection to a result.
    fn traced(&self, mut result: AttemptResult) -> AttemptResult {
        result.trace.connection = self.connection.get();
        result
    }
}

/// Executes the steps of an attempt.
struct Exchange<'a, C, N: Network, O> {
    pool: &'a UpstreamPool<C, N>,
    target: AttemptTarget<'a>,
    owner: &'a O,
    progress: &'a Progress,
}

impl<C: Clock, N: Network, O: AttemptOwner> Exchange<'_, C, N, O> {
    async fn run(&self) -> AttemptResult {
        self.steps().await.unwrap_or_else(AttemptResult::from)
    }

    async fn steps(&self) -> Result<AttemptResult, AttemptFailure> {
        let address = self.pool.ready_address(self.target.backend).ok_or(AttemptFailure::Skipped)?;
        let mut pooled = self.acquire(address).await?;
        let request = self.take_request(address)?;
        self.progress.connection.set(Some(pooled.id));
        self.target.used_connections.insert(pooled.id);
        let (head, body) = self.send(&mut pooled, request).await?.into_parts();
        if response::contains_second_status_line(&head) {
            return Err(AttemptFailure::Interrupted);
        }
        let classification = self.pool.protocol.classify(&self.target.request.headers, &head);
        let (result, is_complete) = self.receive(&mut pooled, classification, head, body).await?;
        if is_complete {
            self.release(address, pooled, classification).await;
        }
        Ok(result)
    }

    /// Acquires a connection to the backend, an idle one from the pool or a new one.
    async fn acquire(&self, address: SocketAddr) -> Result<PooledConnection<N::Stream>, AttemptFailure> {
        let start = self.pool.clock.now();
        let AttemptTarget { backend, used_connections, .. } = self.target;
        let pooled = self.pool.acquire(backend, address, used_connections).await;
        let pooled = pooled.ok_or(AttemptFailure::NotConnected)?;
        // Taking longer than the connect timeout means that the process was suspended. A drain of the backend may have
        // been announced in the meantime, so pending events are processed first.
        if self.pool.clock.now().saturating_duration_since(start) > self.pool.connect_timeout() {
            tokio::task::yield_now().await;
        }
        Ok(pooled)
    }

    /// Returns the request, provided that it still has to be sent to this address.
    fn take_request(&self, address: SocketAddr) -> Result<Request<UpstreamBody>, AttemptFailure> {
        let AttemptTarget { backend, request, deadline, .. } = &self.target;
        // While the connection was being established, the backend may have begun to drain, terminated or changed its
        // address, and the request may have been answered.
        let is_ready = self.pool.ready_address(*backend) == Some(address);
        if !is_ready || !(self.owner.may_send() || mutant!(SendBehindAnswer)) {
            return Err(AttemptFailure::Skipped);
        }
        let time_left = deadline.at().saturating_duration_since(self.pool.clock.now());
        let name = self.pool.backend_name(*backend);
        // A streamed body cannot be sent to a second backend.
        request.for_attempt(time_left, &*self.pool.protocol, &name).ok_or(AttemptFailure::Skipped)
    }

    /// Sends the request and waits for the head of its response.
    async fn send(
        &self,
        pooled: &mut PooledConnection<N::Stream>,
        request: Request<UpstreamBody>,
    ) -> Result<Response<Incoming>, AttemptFailure> {
        self.progress.is_written.set(true);
        // An upload is counted when it is complete.
        let is_counted = self.target.request.is_complete();
        if is_counted {
            self.pool.observer.on_attempt(AttemptEvent::Written);
        }
        let sent = pooled.connection.send(request).await;
        if is_counted && matches!(sent, Err(ConnectionError::Unsent)) {
            self.pool.observer.on_attempt(AttemptEvent::NotWritten);
        }
        sent.map_err(|error| match error {
            ConnectionError::Unsent => AttemptFailure::Unsent,
            ConnectionError::Interrupted => AttemptFailure::Interrupted,
        })
    }

    /// Reads the response, or streams it to the client. Returns the result, and whether the response was received
    /// completely.
    async fn receive(
        &self,
        pooled: &mut PooledConnection<N::Stream>,
        classification: ResponseClassification,
        head: Parts,
        body: Incoming,
    ) -> Result<(AttemptResult, bool), AttemptFailure> {
        let may_stream = classification.is_for_client && head.status.is_success();
        let mode = if may_stream { ReceiveMode::MayStream } else { ReceiveMode::Buffer };
        let received = response::receive(&self.pool.clock, &mut pooled.connection, mode, body).await;
        let evidence = classification.outcome.never_ran().then_some(NotRunEvidence::Stated);
        let mut result = AttemptResult::new(classification.outcome, evidence);
        result.quota_used = classification.quota_used;
        match received.map_err(|_| AttemptFailure::Interrupted)? {
            ReceivedBody::Complete(bytes) => {
                let response = || Response::from_parts(head, Full::new(bytes).into());
                result.response = classification.is_for_client.then(response);
                Ok((result, true))
            }
            ReceivedBody::Partial { first, rest } => {
                result.streaming_since = Some(self.pool.clock.now());
                self.progress.streaming_since.set(result.streaming_since);
                let is_complete = self.forward(pooled, head, first, rest).await;
                Ok((result, is_complete))
            }
        }
    }

    async fn forward(
        &self,
        pooled: &mut PooledConnection<N::Stream>,
        head: Parts,
        first: Bytes,
        rest: Incoming,
    ) -> bool {
        let length = rest.size_hint().exact().map(|left| left + first.len() as u64);
        let (sender, body) = StreamedBody::new(length);
        self.owner.forward(Response::from_parts(head, ResponseBody::Streaming(body)));
        let deadline = self.target.deadline;
        response::forward(&self.pool.clock, &mut pooled.connection, first, rest, sender, deadline).await
    }

    /// Returns the connection to the pool if it can be used for another request; otherwise closes it.
    async fn release(
        &self,
        address: SocketAddr,
        mut pooled: PooledConnection<N::Stream>,
        classification: ResponseClassification,
    ) {
        // A connection on which a request is still being uploaded cannot be used for another one.
        let may_be_idle =
            classification.is_reusable && self.pool.keeps_idle() && self.target.request.is_complete();
        if may_be_idle && pooled.connection.is_reusable().await {
            pooled.idle_since = self.pool.clock.now();
            pooled.idle_timeout = classification.idle_timeout.or(pooled.idle_timeout);
            self.pool.release(self.target.backend, address, pooled);
        }
    }
}

/// The outcome of an attempt whose connection was lost after the backend may have begun to run the request.
fn reset() -> Outcome {
    if mutant!(RetryAfterReset) {
        Outcome::NoConnection
    } else {
        Outcome::Reset
    }
}
