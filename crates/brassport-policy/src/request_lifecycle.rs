//! Lifecycle of a request: queued or sent, retried, and completed with exactly one final answer.
//!
//! A request is opened with a deadline timer and admitted (`policy.rs`). It is then sent, or queued while its
//! customer has the maximum number of attempts in flight. A timer checks for slow attempts. At the end of
//! each attempt the request is retried, completed, failed or rejected. A retry requires that the class allows
//! it, the maximum number of attempts is not reached, the latency target has not passed, and the retry budget
//! is not empty.

use crate::admission::{Conditions, IndexedPlan};
use crate::concurrency_limit::Timeliness;
use crate::interface::*;
use crate::policy::Gateway;
use brassport_policy_stats::AttemptHandle;

/// Time after which an attempt in flight is slow and may be hedged, in mean response times.
pub const SLOW_ATTEMPT: f64 = 3.0;
/// Fraction of the latency target after which a queued request is rejected and an attempt counts as slow at
/// the latest: what starts later is unlikely to meet the target.
const LATEST_START: f64 = 0.5;

/// Kinds of request timers. A timer token is the request identifier, shifted by 2 bits, plus the kind.
const DEADLINE_TIMER: u64 = 0;
const PROGRESS_TIMER: u64 = 1;

/// Whether a request's body is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    /// The body has been received completely.
    Complete,
    /// The body is still being received, and forwarded at the same time: the request has a single attempt,
    /// and no deadline yet.
    Uploading,
}

/// One attempt of a request.
#[derive(Debug)]
pub struct Attempt {
    /// The server's list entry at the time of the send.
    pub server: ServerEntry,
    sent: Millis,
    /// Present once the request has been sent completely; until then the attempt does not count as in flight
    /// for its server and customer.
    handle: Option<AttemptHandle>,
    in_flight: bool,
    /// Whether the attempt has counted as late while it was in flight.
    pub overdue: bool,
    /// Whether the server may have executed the request.
    pub may_have_run: bool,
}

/// A request that has no final answer yet, or has attempts in flight.
#[derive(Debug)]
pub struct OpenRequest {
    /// The request as it arrived.
    pub request: Request,
    /// The request's class, by the settings at its arrival.
    pub class: Class,
    max_attempts: u32,
    body: Body,
    /// Estimated time of the client's first attempt, or of the end of the upload.
    pub arrived: Millis,
    /// Attempts in the order of their sends.
    pub attempts: Vec<Attempt>,
    is_queued: bool,
    /// Whether the request has its final answer, or does not need one: its response is streamed or its client
    /// has disconnected.
    is_answered: bool,
}

impl OpenRequest {
    /// Returns the first attempt that the server may have executed.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run)
    }

    fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

impl Gateway {
    /// Opens a request, and sets its deadline timer if its body is complete.
    pub(crate) fn open_request(&mut self, request: Request, body: Body, actions: &mut Vec<Action>) {
        let open = OpenRequest {
            request,
            class: self.settings.classes[request.class],
            max_attempts: if body == Body::Uploading { 1 } else { self.settings.max_attempts },
            body,
            arrived: self.now,
            attempts: Vec::new(),
            is_queued: false,
            is_answered: false,
        };
        self.requests.insert(request.id, open);
        if body == Body::Complete {
            self.set_deadline(&request, actions);
        }
    }

    /// Sets the deadline timer of a request.
    fn set_deadline(&self, request: &Request, actions: &mut Vec<Action>) {
        // The answer must reach the client before its timeout, with a margin of two ticks of the host.
        let at = self.now + (request.expires_in - 2.0 * self.settings.tick).max(0.0);
        actions.push(Action::SetTimer { at, token: (request.id << 2) + DEADLINE_TIMER });
    }

    /// Handles the end of an upload: the deadline starts, and the attempt counts as in flight from now on.
    pub(crate) fn upload_complete(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let open = self.requests.get_mut(&id).filter(|open| open.body == Body::Uploading);
        let Some(open) = open else { return };
        (open.body, open.arrived) = (Body::Complete, self.now);
        let request = open.request;
        self.set_deadline(&request, actions);
        self.attempt_started(id, actions);
    }

    /// Handles a request timer.
    pub(crate) fn handle_timer(&mut self, token: u64, actions: &mut Vec<Action>) {
        if token % 4 == DEADLINE_TIMER {
            self.end_without_response(token / 4, actions);
        } else {
            self.check_progress(token / 4, actions);
        }
    }

    /// Sends the first attempt, or queues the request while its customer has the maximum number of attempts
    /// in flight. Rejects the request if no server is available or the rate limit is exhausted.
    pub(crate) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let (request, latency_target) = (self.requests[&id].request, self.requests[&id].class.latency_target);
        let plan = self.settings.plans[request.plan];
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        if plan.max_in_flight > 0 && customer.in_flight >= plan.max_in_flight {
            customer.queue.push_back(id);
            if let Some(open) = self.requests.get_mut(&id) {
                open.is_queued = true;
            }
            actions.push(Action::SetTimer {
                at: self.now + LATEST_START * latency_target,
                token: (id << 2) + PROGRESS_TIMER,
            });
            return;
        }
        let Some(server) = self.choose(id) else {
            self.rejections.no_server += 1;
            return self.reject(id, self.settings.max_retry_after, actions);
        };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        let limited = customer.rate_limit.try_take(&self.settings, &request, self.now).err();
        if self.retired && plan.hard_limit_rate > 0.0 || limited.is_some() {
            let retry_after = limited.map_or(self.settings.max_retry_after, |limited| limited.retry_after);
            return self.reject(id, retry_after, actions);
        }
        customer.account.record_send(&plan, request.units, self.now);
        let tuning = &self.settings.tuning;
        let servers = self.balancer.len() as f64;
        self.retry_budget =
            (self.retry_budget + tuning.retry_ratio).min(servers).min(tuning.max_retry_budget);
        self.send(id, server, actions);
    }

    /// Sends an attempt to a server.
    fn send(&mut self, id: RequestId, server: ServerId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(server) = self.balancer.entry(server) else { return };
        let sent = self.now;
        open.is_queued = false;
        open.attempts.push(Attempt {
            server,
            sent,
            handle: None,
            in_flight: true,
            overdue: false,
            may_have_run: true,
        });
        actions.push(Action::Send { request: id, server: server.id, expire_at: None });
        if open.body == Body::Complete {
            self.attempt_started(id, actions);
        }
    }

    /// Marks the last attempt, now sent completely, as in flight, and sets a timer to check whether it is
    /// slow.
    fn attempt_started(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = open.attempts.last_mut().filter(|attempt| attempt.in_flight) else { return };
        attempt.sent = self.now;
        attempt.handle = Some(self.balancer.start_attempt(self.now, attempt.server.id));
        if let Some(customer) = self.customers.get_mut(&open.request.customer) {
            customer.in_flight += 1;
        }
        let slow = SLOW_ATTEMPT * self.classes.response_ms(open.request.class);
        let slow = slow.min(LATEST_START * open.class.latency_target);
        actions.push(Action::SetTimer { at: self.now + slow, token: (id << 2) + PROGRESS_TIMER });
    }

    /// Whether another attempt is useful, and allowed by the class, the settings and the retry budget.
    fn may_retry(&self, open: &OpenRequest) -> bool {
        let (now, tick) = (self.now, self.settings.tick);
        let is_safe = match (open.class.retry_safety, open.first_possible_run()) {
            (_, None) | (RetrySafety::Idempotent, _) => true,
            (RetrySafety::NonIdempotent, Some(_)) => false,
            (RetrySafety::Keyed { window, .. }, Some(first)) => now < first.sent + window - 2.0 * tick,
        };
        let has_budget = self.retry_budget >= 1.0;
        let may_overlap = self.settings.allow_hedging || !open.has_attempt_in_flight();
        is_safe && has_budget && may_overlap && self.has_attempts_left(open)
    }

    /// Whether the request has attempts left and its latency target has not passed.
    fn has_attempts_left(&self, open: &OpenRequest) -> bool {
        let max_attempts = open.max_attempts.min(self.settings.max_attempts) as usize;
        open.attempts.len() < max_attempts && self.now < open.arrived + open.class.latency_target
    }

    /// Handles a progress timer: sends another attempt if one is slow, or rejects a request queued for too
    /// long.
    fn check_progress(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let is_active =
            |open: &&mut OpenRequest| !open.is_answered && (open.is_queued || open.body == Body::Complete);
        let Some(open) = self.requests.get_mut(&id).filter(is_active) else { return };
        let due = self.now - self.settings.tuning.late_after_fraction * open.class.latency_target;
        let class = open.request.class;
        let last = open.attempts.last_mut();
        let late = last.filter(|last| last.in_flight && !last.overdue && last.sent <= due);
        if let Some(last) = late.filter(|last| self.balancer.is_representative(last.server.id)) {
            last.overdue = true;
            self.adapt(class, Timeliness::Late);
        }
        let open = &self.requests[&id];
        if open.is_queued {
            if self.now >= open.arrived + LATEST_START * open.class.latency_target {
                self.reject(id, self.settings.max_retry_after, actions);
            }
        } else if open.attempts.last().is_some_and(|last| last.in_flight) {
            self.handle_slow_attempt(id, actions);
        }
    }

    /// Sends another attempt in parallel to a slow one. If attempts may not run in parallel, cancels an
    /// attempt whose server is hung.
    fn handle_slow_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let open = &self.requests[&id];
        let Some(last) = open.attempts.last() else { return };
        let (settings, mean) = (&self.settings, self.classes.mean_response_ms());
        let may_replace = settings.tuning.replaces_hung && settings.allow_cancel;
        let one_at_a_time =
            open.class.retry_safety == RetrySafety::Idempotent && !settings.allow_hedging && may_replace;
        if self.may_retry(open) {
            self.retry(id, actions);
        } else if one_at_a_time && self.has_attempts_left(open) {
            // The end of the cancelled attempt triggers the retry. The retry budget is charged now, at the
            // cancellation, so that if many attempts hang at once, no more of them are cancelled than may be
            // retried.
            if self.retry_budget >= 1.0 && self.balancer.is_hung(last.server.id, self.now, mean) {
                actions.push(Action::Cancel { request: id, attempt: (open.attempts.len() - 1) as u8 });
                self.retry_budget -= 1.0;
            } else {
                let again = self.now + SLOW_ATTEMPT * mean / 2.0;
                actions.push(Action::SetTimer { at: again, token: (id << 2) + PROGRESS_TIMER });
            }
        }
    }

    /// Sends another attempt. Returns whether a server was available.
    fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(server) = self.choose(id) else { return false };
        self.retry_budget -= 1.0;
        self.send(id, server, actions);
        true
    }

    /// Handles the end of an attempt: updates the statistics, and completes, retries, fails or rejects the
    /// request.
    pub(crate) fn attempt_ended(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&end.request) else { return };
        let attempt = open.attempts.get_mut(usize::from(end.attempt));
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight) else { return };
        attempt.in_flight = false;
        attempt.may_have_run = !end.outcome.never_ran();
        let (server, sent, handle, request) = (attempt.server.id, attempt.sent, attempt.handle, open.request);
        open.is_answered |= end.finished;
        handle.into_iter().for_each(|handle| self.balancer.end_attempt(server, sent, handle));
        self.record_outcome(server, &end, actions);
        self.apply_reading(request.customer, end.used);
        let open = &self.requests[&end.request];
        if open.is_answered && end.outcome == Outcome::Ok {
            self.cancel_attempts(end.request, actions);
        } else if !open.is_answered && !open.has_attempt_in_flight() {
            self.retry_or_end(&end, actions);
        }
        self.remove_if_complete(end.request);
        if handle.is_some() {
            self.release_slot(request.customer, actions);
        }
    }

    /// Applies the meter reading in a response.
    fn apply_reading(&mut self, customer: CustomerId, used: Option<f64>) {
        if let (Some(used), Some(customer)) = (used, self.customers.get_mut(&customer)) {
            let plan = IndexedPlan { plan: &self.settings.plans[customer.plan], index: customer.plan };
            let conditions = Conditions { capacity: self.concurrency.fraction, now: self.now };
            self.admission.apply_reading(&mut customer.account, plan, used, conditions);
        }
    }

    /// Retries a request after the end of its only attempt in flight, or gives the final answer.
    fn retry_or_end(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        // Refunds the retry budget, which the retry below charges again: a cancelled attempt was charged for
        // its retry at the cancellation, and an attempt that was never sent costs nothing.
        let is_unsent = matches!(end.outcome, Outcome::Cancelled | Outcome::NotSent);
        self.retry_budget += if is_unsent { 1.0 } else { 0.0 };
        if !(self.may_retry(&self.requests[&end.request]) && self.retry(end.request, actions)) {
            self.end_without_response(end.request, actions);
        }
    }

    /// Releases the slot of a customer's attempt that ended, here or at a gateway that this one replaced, and
    /// sends the customer's next queued request.
    pub(crate) fn release_slot(&mut self, customer: CustomerId, actions: &mut Vec<Action>) {
        let Some(customer) = self.customers.get_mut(&customer) else { return };
        customer.in_flight = customer.in_flight.saturating_sub(1);
        if let Some(next) = customer.queue.pop_front().filter(|next| self.requests.contains_key(next)) {
            self.dispatch(next, actions);
        }
    }

    /// Gives the final answer to a request without a response: a rejection if no attempt can have run,
    /// otherwise a failure.
    fn end_without_response(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id).filter(|open| !open.is_answered) else { return };
        if open.first_possible_run().is_none() {
            return self.reject(id, 0.0, actions);
        }
        actions.push(Action::Fail(id));
        self.cancel_attempts(id, actions);
        self.close(id);
    }

    /// Handles a client's disconnect: cancels idempotent attempts and lets others run to their end. The
    /// request is not retried.
    pub(crate) fn client_disconnected(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.requests.get(&id).is_some_and(|open| open.class.retry_safety == RetrySafety::Idempotent) {
            self.cancel_attempts(id, actions);
        }
        self.close(id);
    }

    /// Cancels the attempts in flight of a request, if the settings allow it.
    fn cancel_attempts(&self, id: RequestId, actions: &mut Vec<Action>) {
        let attempts = self.requests[&id].attempts.iter().enumerate();
        let in_flight = attempts.filter(|(_, attempt)| attempt.in_flight);
        let cancels = in_flight.map(|(n, _)| Action::Cancel { request: id, attempt: n as u8 });
        actions.extend(cancels.filter(|_| self.settings.allow_cancel));
    }

    /// Rejects a request; that is its final answer. `wait` is the retry-after time, limited by the settings.
    pub(crate) fn reject(&mut self, id: RequestId, wait: Millis, actions: &mut Vec<Action>) {
        let retry_after = wait.clamp(0.0, self.settings.max_retry_after);
        self.admission.retries.record_rejection();
        actions.push(Action::Reject { request: id, retry_after });
        self.close(id);
    }

    /// Marks a request as answered, and removes it unless it has attempts in flight.
    pub(crate) fn close(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.is_answered = true;
        if let Some(customer) = self.customers.get_mut(&open.request.customer).filter(|_| open.is_queued) {
            customer.queue.retain(|other| *other != id);
        }
        self.remove_if_complete(id);
    }

    /// Removes a request that is answered and has no attempts in flight.
    fn remove_if_complete(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| open.is_answered && !open.has_attempt_in_flight()) {
            self.requests.swap_remove(&id);
        }
    }
}
