//! The task of one attempt, from the policy's selection of a backend to the report of the attempt's end.

use super::dispatcher::{Dispatcher, State};
use super::options::RequestOutcome;
use crate::body::ResponseBody;
use crate::clock::Clock;
use crate::deadline::ResettableDeadline;
use crate::mutants::mutant;
use crate::network::Network;
use crate::upstream::{AttemptOwner, AttemptResult, AttemptTarget, UpstreamRequest, UsedConnections};
use brassport_policy::{AttemptEnd, CustomerId, Event, Millis, Outcome, RequestId, ServerId};
use hyper::Response;
use std::rc::Rc;
use tokio::sync::oneshot;

/// One attempt of a request.
pub(super) struct AttemptTask<C: Clock, N: Network> {
    pub(super) dispatcher: Rc<Dispatcher<C, N>>,
    pub(super) id: RequestId,
    /// The index of the attempt among the attempts of its request; 0 is the first.
    pub(super) number: u8,
    pub(super) backend: ServerId,
    pub(super) message: Rc<UpstreamRequest>,
    pub(super) deadline: Rc<ResettableDeadline>,
    pub(super) used_connections: Rc<UsedConnections>,
}

impl<C: Clock, N: Network> AttemptTask<C, N> {
    /// Executes the attempt and reports its end. A message on `cancelled` cancels it.
    pub(super) async fn run(self, cancelled: oneshot::Receiver<()>) {
        let sent_at = self.dispatcher.clock.now();
        let backend_name = self.before_attempt().await;
        // A dropped sender is not a cancellation.
        let cancelled = async {
            if cancelled.await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        let target = AttemptTarget {
            backend: self.backend,
            request: &self.message,
            deadline: &self.deadline,
            used_connections: &self.used_connections,
        };
        let result = self.dispatcher.pool.attempt(target, &self, cancelled).await;
        self.finish(sent_at, backend_name.as_deref(), result);
    }

    /// Waits for the work that the hooks request before the attempt. Returns the name of the backend, or `None` if
    /// there are no hooks. Whether the backend still accepts requests and the client still waits is checked afterwards,
    /// before the first byte.
    async fn before_attempt(&self) -> Option<Rc<str>> {
        let (name, wait) = {
            let state = self.dispatcher.state.borrow();
            let hooks = state.requests.hooks()?;
            let name = self.dispatcher.pool.backend_name(self.backend);
            let wait = hooks.before_attempt(self.id, &name);
            (name, wait)
        };
        if let Some(wait) = wait {
            wait.await;
        }
        Some(name)
    }

    /// Whether the host's limits allow this attempt. If they do not and this is the first attempt, the request is
    /// rejected.
    fn is_within_limits(&self) -> bool {
        let state = &mut *self.dispatcher.state.borrow_mut();
        let permission = state.requests.hooks().map_or(Ok(()), |hooks| hooks.may_send(self.id, self.number));
        if let (Err(wait_ms), 0) = (permission, self.number) {
            state.requests.resolve(self.id, RequestOutcome::Rejected(wait_ms));
        }
        permission.is_ok()
    }

    /// Reports the end of the attempt to its request and the hooks, then to the program, then to the policy.
    fn finish(&self, sent_at: Millis, backend_name: Option<&str>, result: AttemptResult) {
        let now = self.dispatcher.clock.now();
        let elapsed = self.elapsed(sent_at, now, &result);
        // The callback and the policy are called below, when the state is no longer borrowed.
        let Some(ended) = self.record_end(now, elapsed, backend_name, result) else { return };
        if let Some(customer) = ended.customer {
            (self.dispatcher.on_attempt_end)(customer);
        }
        self.dispatcher.handle(Event::AttemptEnd(ended.report));
    }

    /// Records the end in the state. Returns `None` only if the mutant `LeakInFlight` drops it.
    fn record_end(
        &self,
        now: Millis,
        elapsed: Millis,
        backend_name: Option<&str>,
        mut result: AttemptResult,
    ) -> Option<EndedAttempt> {
        let state = &mut *self.dispatcher.state.borrow_mut();
        if mutant!(LeakInFlight) && state.requests.get(self.id).is_some_and(|request| !request.is_awaited()) {
            return None;
        }
        self.deliver(state, &mut result);
        let report = AttemptEnd {
            request: self.id,
            attempt: self.number,
            outcome: result.outcome,
            elapsed,
            finished: !state.requests.is_awaited(self.id),
            used: self.meter(state, now, &result),
        };
        if let (Some(hooks), Some(name)) = (state.requests.hooks(), backend_name) {
            hooks.on_attempt_end(name, &report, &result.trace);
        }
        let customer = state.requests.get(self.id).map(|in_flight| in_flight.request.customer);
        state.requests.remove_if_finished(self.id);
        Some(EndedAttempt { report, customer })
    }

    /// The time in milliseconds from the last byte of the request to the complete response, or to the first bytes of a
    /// streamed response; 0 if the request was not sent completely.
    fn elapsed(&self, sent_at: Millis, now: Millis, result: &AttemptResult) -> Millis {
        if !self.message.is_complete() {
            return 0.0;
        }
        let clock = &self.dispatcher.clock;
        let sent_at = self.message.upload_completed_at().map_or(sent_at, |at| clock.millis(at));
        result.streaming_since.map_or(now, |since| clock.millis(since)) - sent_at
    }

    /// Passes a successful response to the client, or stores an error response, and marks the attempt as ended.
    fn deliver(&self, state: &mut State, result: &mut AttemptResult) {
        let response = result.response.take();
        match (response, result.outcome) {
            (Some(response), Outcome::Ok) => {
                state.requests.resolve(self.id, RequestOutcome::Served(response));
            }
            (Some(response), _) => {
                if let Some(in_flight) = state.requests.get_mut(self.id) {
                    in_flight.error_response = Some(response);
                }
            }
            (None, _) => {}
        }
        if let Some(in_flight) = state.requests.get_mut(self.id) {
            in_flight.end_attempt(self.number);
        }
    }

    /// Records the attempt with the usage meter. Returns the customer's usage: the value that the backend reported, or
    /// else the meter's reading.
    fn meter(&self, state: &mut State, now: Millis, result: &AttemptResult) -> Option<f64> {
        let State { meter, requests, .. } = state;
        let (Some(meter), Some(in_flight)) = (meter, requests.get(self.id)) else { return result.quota_used };
        let request = &in_flight.request;
        if !result.outcome.never_ran() {
            meter.record(now, request.customer, request.units);
        }
        result.quota_used.or_else(|| meter.reading(now, request.customer, request.plan))
    }
}

/// The end of an attempt, as recorded in the state.
struct EndedAttempt {
    report: AttemptEnd,
    /// The customer of the request; `None` if the request is no longer in the table.
    customer: Option<CustomerId>,
}

impl<C: Clock, N: Network> AttemptOwner for AttemptTask<C, N> {
    fn may_send(&self) -> bool {
        // The permission to serve may have expired since admission, while the process was suspended or partitioned from
        // the network. If there were earlier attempts, they may have run, so the request fails instead of being
        // rejected.
        if let Err(wait_ms) = self.dispatcher.may_serve() {
            let is_first = self.number == 0;
            let outcome = if is_first { RequestOutcome::Rejected(wait_ms) } else { RequestOutcome::Failed };
            self.dispatcher.state.borrow_mut().requests.resolve(self.id, outcome);
        }
        let is_awaited = self.dispatcher.state.borrow().requests.is_awaited(self.id);
        is_awaited && self.is_within_limits()
    }

    fn forward(&self, response: Response<ResponseBody>) {
        self.dispatcher.state.borrow_mut().requests.resolve(self.id, RequestOutcome::Served(response));
        self.dispatcher.handle(Event::ResponseStarted(self.id));
    }
}
