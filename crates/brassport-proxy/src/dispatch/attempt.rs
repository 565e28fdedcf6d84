//! The task of one attempt: from the policy's choice of a backend to the report of its end.

use super::dispatcher::{Dispatcher, State};
use super::options::RequestOutcome;
use crate::body::ResponseBody;
use crate::clock::Clock;
use crate::deadline::ResettableDeadline;
use crate::mutants::mutant;
use crate::network::Network;
use crate::upstream::{AttemptOwner, AttemptResult, AttemptTarget, UpstreamRequest};
use brassport_policy::{AttemptEnd, CustomerId, Event, Millis, Outcome, RequestId, ServerId};
use hyper::Response;
use std::rc::Rc;
use tokio::sync::oneshot;

/// One attempt of a request.
pub(super) struct AttemptTask<C: Clock, N: Network> {
    pub(super) dispatcher: Rc<Dispatcher<C, N>>,
    pub(super) id: RequestId,
    /// Its number among the request's attempts, from 0.
    pub(super) number: u8,
    pub(super) backend: ServerId,
    pub(super) message: Rc<UpstreamRequest>,
    pub(super) deadline: Rc<ResettableDeadline>,
}

impl<C: Clock, N: Network> AttemptTask<C, N> {
    /// Executes the attempt and reports its end.
    pub(super) async fn run(self, cancelled: oneshot::Receiver<()>) {
        let sent_at = self.dispatcher.clock.now();
        let backend_name = self.before_attempt().await;
        // A sender that is dropped without a call cancels nothing.
        let cancelled = async {
            if cancelled.await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        let target =
            AttemptTarget { backend: self.backend, request: &self.message, deadline: &self.deadline };
        let result = self.dispatcher.pool.attempt(target, &self, cancelled).await;
        self.finish(sent_at, backend_name.as_deref(), result);
    }

    /// Waits for what the hooks want to be done first. Returns the backend's name, if there are hooks. Whether the
    /// backend still takes requests and the client still waits is checked after this, before the first byte.
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

    /// Whether the host's limits have room for this attempt. A first attempt without room is rejected here.
    fn is_within_limits(&self) -> bool {
        let state = &mut *self.dispatcher.state.borrow_mut();
        let room = state.requests.hooks().map_or(Ok(()), |hooks| hooks.may_send(self.id, self.number));
        if let (Err(wait_ms), 0) = (room, self.number) {
            state.requests.answer(self.id, RequestOutcome::Rejected(wait_ms));
        }
        room.is_ok()
    }

    /// Reports the attempt's end: to its request and the hooks, to the program, then to the policy.
    fn finish(&self, sent_at: Millis, backend_name: Option<&str>, result: AttemptResult) {
        let now = self.dispatcher.clock.now();
        let elapsed = self.elapsed(sent_at, now, &result);
        // The state is borrowed up to here: the program and the policy are called without.
        let Some(ended) = self.record_end(now, elapsed, backend_name, result) else { return };
        if let Some(customer) = ended.customer {
            (self.dispatcher.on_attempt_end)(customer);
        }
        self.dispatcher.handle(Event::AttemptEnd(ended.report));
    }

    /// Records the end in the state. `None` if a mutant loses it.
    fn record_end(
        &self,
        now: Millis,
        elapsed: Millis,
        backend_name: Option<&str>,
        mut result: AttemptResult,
    ) -> Option<EndedAttempt> {
        let state = &mut *self.dispatcher.state.borrow_mut();
        if mutant!(LeakInFlight) && state.requests.get(self.id).is_some_and(|one| !one.is_awaited()) {
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
            hooks.on_attempt_end(name, &report);
        }
        let customer = state.requests.get(self.id).map(|in_flight| in_flight.request.customer);
        state.requests.remove_if_over(self.id);
        Some(EndedAttempt { report, customer })
    }

    /// How long the backend took, in milliseconds, up to the first bytes of a long response. Its work begins with the
    /// last byte that it gets.
    fn elapsed(&self, sent_at: Millis, now: Millis, result: &AttemptResult) -> Millis {
        let clock = &self.dispatcher.clock;
        let sent_at = self.message.upload_completed_at().map_or(sent_at, |at| clock.millis(at));
        result.streaming_since.map_or(now, |since| clock.millis(since)) - sent_at
    }

    /// Gives the response to the client, or keeps one that reports a failure, and marks the attempt as ended.
    fn deliver(&self, state: &mut State, result: &mut AttemptResult) {
        let response = result.response.take();
        match (response, result.outcome) {
            (Some(response), Outcome::Ok) => {
                state.requests.answer(self.id, RequestOutcome::Served(response));
            }
            (Some(response), _) => {
                if let Some(in_flight) = state.requests.get_mut(self.id) {
                    in_flight.failure = Some(response);
                }
            }
            (None, _) => {}
        }
        if let Some(in_flight) = state.requests.get_mut(self.id) {
            in_flight.end_attempt(self.number);
        }
    }

    /// Records the attempt with the meter. Returns the customer's use: as the backend reported it, else as metered.
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

/// An attempt whose end is recorded.
struct EndedAttempt {
    report: AttemptEnd,
    /// The customer of its request, if that is still in the table.
    customer: Option<CustomerId>,
}

impl<C: Clock, N: Network> AttemptOwner for AttemptTask<C, N> {
    fn may_send(&self) -> bool {
        // Guards against a standstill, or a partition, in which the right to act ran out. Earlier attempts may have run.
        if let Err(wait_ms) = self.dispatcher.may_serve() {
            let is_first = self.number == 0;
            let outcome = if is_first { RequestOutcome::Rejected(wait_ms) } else { RequestOutcome::Failed };
            self.dispatcher.state.borrow_mut().requests.answer(self.id, outcome);
        }
        let is_awaited = self.dispatcher.state.borrow().requests.is_awaited(self.id);
        is_awaited && self.is_within_limits()
    }

    fn forward(&self, response: Response<ResponseBody>) {
        self.dispatcher.state.borrow_mut().requests.answer(self.id, RequestOutcome::Served(response));
        self.dispatcher.handle(Event::Started(self.id));
    }
}
