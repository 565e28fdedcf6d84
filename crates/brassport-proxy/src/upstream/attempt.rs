//! One attempt of a request at one backend, from taking a connection to returning or closing it.
//!
//! The steps, in order: [`acquire`](Exchange::acquire) a connection, [`take_request`](Exchange::take_request) if it is
//! still wanted, [`send`](Exchange::send) it, [`receive`](Exchange::receive) the response,
//! [`release`](Exchange::release) the connection. Whichever step fails says which [`Outcome`] that is.

use super::connection::ConnectionError;
use super::pool::{PooledConnection, UpstreamPool};
use super::request::UpstreamRequest;
use super::response::{self, Forwarding, ReceivedBody};
use crate::body::{ResponseBody, StreamedBody, UpstreamBody};
use crate::clock::Clock;
use crate::deadline::ResettableDeadline;
use crate::mutants::mutant;
use crate::network::Network;
use crate::protocol::{AttemptEvent, ResponseClassification};
use brassport_policy::{Outcome, ServerId};
use http_body_util::Full;
use hyper::body::{Body, Bytes, Incoming};
use hyper::http::response::Parts;
use hyper::{Request, Response};
use std::cell::Cell;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Instant;

/// What an attempt sends, where, and until when.
pub struct AttemptTarget<'a> {
    /// The backend that the policy chose.
    pub backend: ServerId,
    /// The request.
    pub request: &'a UpstreamRequest,
    /// When the attempt times out.
    pub deadline: &'a ResettableDeadline,
}

/// Who started an attempt.
pub trait AttemptOwner {
    /// Whether the request is still to be sent: called once, right before its first byte.
    fn may_send(&self) -> bool;

    /// Takes a long response whose first bytes have come. Called once at most; from here on neither deadline nor
    /// cancellation ends the attempt: its end is the client's business and the backend's.
    fn forward(&self, response: Response<ResponseBody>);
}

/// How an attempt ended.
pub struct AttemptResult {
    /// The outcome, for the policy.
    pub outcome: Outcome,
    /// The customer's use in the meter's last period, as a share of its rate, if the response reports it.
    pub quota_used: Option<f64>,
    /// The response, if it is one for the client and has not been forwarded yet.
    pub response: Option<Response<ResponseBody>>,
    /// When the first bytes of a long response came.
    pub streaming_since: Option<Instant>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> AttemptResult {
        AttemptResult { outcome, quota_used: None, response: None, streaming_since: None }
    }
}

impl<C: Clock, N: Network> UpstreamPool<C, N> {
    /// Executes one attempt. It is over, and its socket closed or idle again, when this is ready. `cancelled` calls it
    /// off.
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
        // On the heap, for the mutant that keeps it.
        #[cfg(feature = "mutants")]
        let mut running = Box::pin(running);
        // The exchange owns the connection: whichever branch ends first, the exchange is dropped, and the socket
        // closed, before this returns and the policy is notified.
        let ended = tokio::select! {
            biased;
            _ = cancelled => Outcome::Cancelled,
            result = &mut running => return result,
            () = deadline.passed(&self.clock) => Outcome::TimedOut,
            () = request.stalled(&self.clock) => Outcome::TimedOut,
        };
        if progress.streaming_since.get().is_some() {
            return running.await;
        }
        #[cfg(feature = "mutants")]
        if mutant!(KeepTimedOutAttempt) && ended == Outcome::TimedOut {
            std::mem::forget(running);
        }
        match (progress.is_written.get() && request.is_complete(), ended) {
            (true, ended) => ended.into(),
            (false, Outcome::Cancelled) => Outcome::Moot.into(),
            (false, _) => Outcome::NoConnection.into(),
        }
    }
}

/// How far an exchange has come, for the attempt that may end it from outside.
#[derive(Default)]
struct Progress {
    /// Whether bytes of the request may have been written.
    is_written: Cell<bool>,
    /// When a response began that is forwarded as it arrives.
    streaming_since: Cell<Option<Instant>>,
}

/// The steps of an attempt.
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

    async fn steps(&self) -> Result<AttemptResult, Outcome> {
        let address = self.pool.ready_address(self.target.backend).ok_or(Outcome::Moot)?;
        let mut pooled = self.acquire(address).await?;
        let request = self.take_request(address)?;
        let (head, body) = self.send(&mut pooled, request).await?.into_parts();
        let verdict = self.pool.protocol.classify(&self.target.request.headers, &head);
        let (result, is_complete) = self.receive(&mut pooled, verdict, head, body).await?;
        if is_complete {
            self.release(address, pooled, verdict).await;
        }
        Ok(result)
    }

    /// A connection to the backend, idle or new.
    async fn acquire(&self, address: SocketAddr) -> Result<PooledConnection<N::Stream>, Outcome> {
        let began = self.pool.clock.now();
        let pooled = self.pool.acquire(self.target.backend, address).await.ok_or(Outcome::NoConnection)?;
        // Guards against a standstill of the program in which a drain was announced: what came meanwhile is handled
        // first.
        if self.pool.clock.now().saturating_duration_since(began) > self.pool.connect_timeout() {
            tokio::task::yield_now().await;
        }
        Ok(pooled)
    }

    /// The request, if it is still to be sent to this address.
    fn take_request(&self, address: SocketAddr) -> Result<Request<UpstreamBody>, Outcome> {
        let AttemptTarget { backend, request, deadline } = &self.target;
        // Guards against sending to a backend that began to drain, terminated or moved while the connection was
        // established, and against sending for a request that was answered meanwhile.
        let is_ready = self.pool.ready_address(*backend) == Some(address);
        if !is_ready || !(self.owner.may_send() || mutant!(SendBehindAnswer)) {
            return Err(Outcome::Moot);
        }
        let time_left = deadline.at().saturating_duration_since(self.pool.clock.now());
        let name = self.pool.backend_name(*backend);
        // A body that was streamed to one backend can't be sent to a second one.
        request.for_attempt(time_left, &*self.pool.protocol, &name).ok_or(Outcome::Moot)
    }

    /// Sends the request and waits for the head of its response.
    async fn send(
        &self,
        pooled: &mut PooledConnection<N::Stream>,
        request: Request<UpstreamBody>,
    ) -> Result<Response<Incoming>, Outcome> {
        self.progress.is_written.set(true);
        // An upload counts once it is complete.
        let is_counted = self.target.request.is_complete();
        if is_counted {
            self.pool.observer.on_attempt(AttemptEvent::Written);
        }
        let sent = pooled.connection.send(request).await;
        if is_counted && matches!(sent, Err(ConnectionError::Unsent)) {
            self.pool.observer.on_attempt(AttemptEvent::NotWritten);
        }
        sent.map_err(|error| match error.is_retryable(self.target.request.is_complete()) {
            true => Outcome::NoConnection,
            false => reset(),
        })
    }

    /// Reads the response, or forwards it as it arrives. Returns with the result whether all of the response came.
    async fn receive(
        &self,
        pooled: &mut PooledConnection<N::Stream>,
        verdict: ResponseClassification,
        head: Parts,
        body: Incoming,
    ) -> Result<(AttemptResult, bool), Outcome> {
        let serves = verdict.is_for_client && head.status.is_success();
        let forwarding = if serves { Forwarding::WhileArriving } else { Forwarding::OnceComplete };
        let received = response::receive(&self.pool.clock, &mut pooled.connection, forwarding, body).await;
        let mut result = AttemptResult { quota_used: verdict.quota_used, ..verdict.outcome.into() };
        match received.map_err(|_| reset())? {
            ReceivedBody::Complete(bytes) => {
                let response = || Response::from_parts(head, Full::new(bytes).into());
                result.response = verdict.is_for_client.then(response);
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
        response::forward(&self.pool.clock, &mut pooled.connection, first, rest, sender).await
    }

    /// Returns the connection to the pool if it may serve another request; else it is closed here.
    async fn release(
        &self,
        address: SocketAddr,
        mut pooled: PooledConnection<N::Stream>,
        verdict: ResponseClassification,
    ) {
        // Behind a request that is still being uploaded no other one can be sent.
        let may_be_idle = verdict.is_reusable && self.pool.keeps_idle() && self.target.request.is_complete();
        if may_be_idle && pooled.connection.is_reusable().await {
            pooled.idle_since = self.pool.clock.now();
            pooled.idle_timeout = verdict.idle_timeout.or(pooled.idle_timeout);
            self.pool.release(self.target.backend, address, pooled);
        }
    }
}

/// The outcome of a connection that broke after the backend may have begun to run the request.
fn reset() -> Outcome {
    if mutant!(RetryAfterReset) {
        Outcome::NoConnection
    } else {
        Outcome::Reset
    }
}
