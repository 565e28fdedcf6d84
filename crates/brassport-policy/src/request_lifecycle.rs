//! The life cycle of a request: queued or sent, retried, and closed by exactly one final answer.
//!
//! A request goes through these phases: it is opened with a deadline timer; admitted (`policy.rs`) and
//! dispatched, or queued while its customer has all the attempts in flight that its plan allows; reviewed by
//! a timer when an attempt is slow; and at the end of each attempt retried, answered or given up. A retry
//! needs a class that allows a second run, the settings' number of attempts, time within the latency target,
//! and the retry budget.

use crate::admission::{Conditions, IndexedPlan};
use crate::concurrency_limit::Timeliness;
use crate::interface::*;
use crate::policy::Gateway;
use brassport_policy_stats::AttemptHandle;

/// Time, in mean response times, after which an attempt in flight is slow and may get another one.
pub const SLOW_ATTEMPT: f64 = 3.0;
/// Part of the latency target within which another attempt or a queued request must start to be of use.
const USEFUL_START: f64 = 0.5;

/// A timer's token is the request, shifted by 2 bits, and one of these kinds.
const DEADLINE_TIMER: u64 = 0;
const REVIEW_TIMER: u64 = 1;

/// Whether a request's body is complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Body {
    /// All of it has come.
    Complete,
    /// It is still coming and forwarded as it comes: the request has one attempt, and no deadline yet.
    Uploading,
}

/// An attempt of a request.
#[derive(Debug)]
pub struct Attempt {
    /// Its server's line of the list when it was sent.
    pub to: ServerEntry,
    sent: Millis,
    /// Once its server has all of it; until then it counts as in flight for nobody.
    handle: Option<AttemptHandle>,
    in_flight: bool,
    /// Whether it has counted as late while it was in flight.
    pub overdue: bool,
    /// Whether it may have had its effect.
    pub may_have_run: bool,
}

/// A request without its final answer, or with attempts in flight.
#[derive(Debug)]
pub struct OpenRequest {
    /// The request.
    pub request: Request,
    /// Its class by the settings when it came.
    pub class: Class,
    max_attempts: u32,
    body: Body,
    /// When the client's first attempt came, as far as it shows.
    pub arrived: Millis,
    /// Its attempts, in the order of their sends.
    pub attempts: Vec<Attempt>,
    is_queued: bool,
    /// Whether it has its final answer.
    is_answered: bool,
}

impl OpenRequest {
    /// The first attempt that may have had its effect.
    pub fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run)
    }

    fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }
}

impl Gateway {
    /// Opens a request, and sets its deadline if its body is complete.
    pub(crate) fn open(&mut self, request: Request, body: Body, actions: &mut Vec<Action>) {
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

    fn set_deadline(&self, request: &Request, actions: &mut Vec<Action>) {
        // The answer must arrive before the client times out; two ticks of the host are the margin for its
        // way.
        let at = self.now + (request.expires_in - 2.0 * self.settings.tick).max(0.0);
        actions.push(Action::SetTimer { at, token: (request.id << 2) + DEADLINE_TIMER });
    }

    /// The body of a request is complete: its deadline and its server's work on it begin.
    pub(crate) fn upload_complete(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let open = self.requests.get_mut(&id).filter(|open| open.body == Body::Uploading);
        let Some(open) = open else { return };
        (open.body, open.arrived) = (Body::Complete, self.now);
        let request = open.request;
        self.set_deadline(&request, actions);
        self.attempt_started(id, actions);
    }

    /// A timer of a request fired.
    pub(crate) fn timer(&mut self, token: u64, actions: &mut Vec<Action>) {
        if token % 4 == DEADLINE_TIMER {
            self.give_up(token / 4, actions);
        } else {
            self.review(token / 4, actions);
        }
    }

    /// Sends the first attempt, or queues the request while its customer has all the attempts in flight that
    /// its plan allows. Rejects it if no server is available or the rate limit is exhausted.
    pub(crate) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let (request, aim) = (self.requests[&id].request, self.requests[&id].class.latency_target);
        let plan = self.settings.plans[request.plan];
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        if plan.max_in_flight > 0 && customer.in_flight >= plan.max_in_flight {
            customer.queue.push_back(id);
            if let Some(open) = self.requests.get_mut(&id) {
                open.is_queued = true;
            }
            actions.push(Action::SetTimer {
                at: self.now + USEFUL_START * aim,
                token: (id << 2) + REVIEW_TIMER,
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

    fn send(&mut self, id: RequestId, to: ServerId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(to) = self.balancer.entry(to) else { return };
        let sent = self.now;
        open.is_queued = false;
        open.attempts.push(Attempt {
            to,
            sent,
            handle: None,
            in_flight: true,
            overdue: false,
            may_have_run: true,
        });
        actions.push(Action::Send { request: id, server: to.id, expire_at: None });
        if open.body == Body::Complete {
            self.attempt_started(id, actions);
        }
    }

    /// The server of the last attempt has all of it: it counts as in flight, and is reviewed when it is slow.
    fn attempt_started(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = open.attempts.last_mut().filter(|attempt| attempt.in_flight) else { return };
        attempt.sent = self.now;
        attempt.handle = Some(self.balancer.start_attempt(self.now, attempt.to.id));
        if let Some(customer) = self.customers.get_mut(&open.request.customer) {
            customer.in_flight += 1;
        }
        let slow = SLOW_ATTEMPT * self.classes.response_ms(open.request.class);
        let slow = slow.min(USEFUL_START * open.class.latency_target);
        actions.push(Action::SetTimer { at: self.now + slow, token: (id << 2) + REVIEW_TIMER });
    }

    /// Whether another attempt is of use, and allowed by the class, the settings and the retry budget.
    fn may_retry(&self, open: &OpenRequest) -> bool {
        let (now, tick) = (self.now, self.settings.tick);
        let is_safe = match (open.class.retry_safety, open.may_have_run()) {
            (_, None) | (RetrySafety::Idempotent, _) => true,
            (RetrySafety::NonIdempotent, Some(_)) => false,
            (RetrySafety::Keyed { window, .. }, Some(first)) => now < first.sent + window - 2.0 * tick,
        };
        let has_budget = self.retry_budget >= 1.0;
        let is_free = self.settings.allow_hedging || !open.has_attempt_in_flight();
        is_safe && has_budget && is_free && self.has_attempts_left(open)
    }

    /// Whether another attempt is of use and within the number of attempts.
    fn has_attempts_left(&self, open: &OpenRequest) -> bool {
        let max_attempts = open.max_attempts.min(self.settings.max_attempts) as usize;
        open.attempts.len() < max_attempts && self.now < open.arrived + open.class.latency_target
    }

    /// An attempt has been slow, or a request queued for long: tries another server, or rejects in time.
    fn review(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let is_active =
            |open: &&mut OpenRequest| !open.is_answered && (open.is_queued || open.body == Body::Complete);
        let Some(open) = self.requests.get_mut(&id).filter(is_active) else { return };
        let due = self.now - self.settings.tuning.late_after_fraction * open.class.latency_target;
        let class = open.request.class;
        let last = open.attempts.last_mut();
        let late = last.filter(|last| last.in_flight && !last.overdue && last.sent <= due);
        if let Some(last) = late.filter(|last| self.balancer.is_representative(last.to.id)) {
            last.overdue = true;
            self.adapt(class, Timeliness::Late);
        }
        let open = &self.requests[&id];
        if open.is_queued {
            if self.now >= open.arrived + USEFUL_START * open.class.latency_target {
                self.reject(id, self.settings.max_retry_after, actions);
            }
        } else if open.attempts.last().is_some_and(|last| last.in_flight) {
            self.review_slow_attempt(id, actions);
        }
    }

    /// Starts another attempt beside a slow one. Where attempts may not run side by side, cancels one whose
    /// server is hung.
    fn review_slow_attempt(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let open = &self.requests[&id];
        let Some(last) = open.attempts.last() else { return };
        let (settings, mean) = (&self.settings, self.classes.mean_response_ms());
        let may_replace = settings.tuning.replaces_hung && settings.allow_cancel;
        let one_at_a_time =
            open.class.retry_safety == RetrySafety::Idempotent && !settings.allow_hedging && may_replace;
        if self.may_retry(open) {
            self.retry(id, actions);
        } else if one_at_a_time && self.has_attempts_left(open) {
            // It is cancelled first, and its end brings the next attempt, which is paid for here: of many
            // that hang at once no more are cancelled than may be retried.
            if self.retry_budget >= 1.0 && self.balancer.is_hung(last.to.id, self.now, mean) {
                actions.push(Action::Cancel { request: id, attempt: (open.attempts.len() - 1) as u8 });
                self.retry_budget -= 1.0;
            } else {
                let again = self.now + SLOW_ATTEMPT * mean / 2.0;
                actions.push(Action::SetTimer { at: again, token: (id << 2) + REVIEW_TIMER });
            }
        }
    }

    /// Sends another attempt; returns whether a server was available.
    fn retry(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(server) = self.choose(id) else { return false };
        self.retry_budget -= 1.0;
        self.send(id, server, actions);
        true
    }

    /// The end of an attempt: learns from it, and answers, retries or gives up.
    pub(crate) fn attempt_ended(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&end.request) else { return };
        let attempt = open.attempts.get_mut(usize::from(end.attempt));
        let Some(attempt) = attempt.filter(|attempt| attempt.in_flight) else { return };
        attempt.in_flight = false;
        attempt.may_have_run = !end.outcome.never_ran();
        let (server, sent, handle, request) = (attempt.to.id, attempt.sent, attempt.handle, open.request);
        open.is_answered |= end.finished;
        handle.into_iter().for_each(|handle| self.balancer.end_attempt(server, sent, handle));
        self.record_outcome(server, &end, actions);
        self.apply_reading(request.customer, end.used);
        let open = &self.requests[&end.request];
        if open.is_answered && end.outcome == Outcome::Ok {
            self.cancel_attempts(end.request, actions);
        } else if !open.is_answered && !open.has_attempt_in_flight() {
            self.retry_or_give_up(&end, actions);
        }
        self.forget_if_over(end.request);
        if handle.is_some() {
            self.release(request.customer, actions);
        }
    }

    /// Applies the meter reading that came with a response.
    fn apply_reading(&mut self, customer: CustomerId, used: Option<f64>) {
        if let (Some(used), Some(customer)) = (used, self.customers.get_mut(&customer)) {
            let plan = IndexedPlan { plan: &self.settings.plans[customer.plan], index: customer.plan };
            let conditions = Conditions { capacity: self.concurrency.fraction, now: self.now };
            self.admission.apply_reading(&mut customer.account, plan, used, conditions);
        }
    }

    fn retry_or_give_up(&mut self, end: &AttemptEnd, actions: &mut Vec<Action>) {
        // A cancelled attempt has paid for the next; one that was never sent costs nothing.
        let is_unsent = matches!(end.outcome, Outcome::Cancelled | Outcome::NotSent);
        self.retry_budget += if is_unsent { 1.0 } else { 0.0 };
        if !(self.may_retry(&self.requests[&end.request]) && self.retry(end.request, actions)) {
            self.give_up(end.request, actions);
        }
    }

    /// An attempt of the customer ended, here or at a gateway that this one replaced: the next queued request
    /// is sent.
    pub(crate) fn release(&mut self, customer: CustomerId, actions: &mut Vec<Action>) {
        let Some(customer) = self.customers.get_mut(&customer) else { return };
        customer.in_flight = customer.in_flight.saturating_sub(1);
        if let Some(next) = customer.queue.pop_front().filter(|next| self.requests.contains_key(next)) {
            self.dispatch(next, actions);
        }
    }

    /// The final answer without a response: a rejection if no attempt can have run, else a failure.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id).filter(|open| !open.is_answered) else { return };
        if open.may_have_run().is_none() {
            return self.reject(id, 0.0, actions);
        }
        actions.push(Action::Fail(id));
        self.cancel_attempts(id, actions);
        self.close(id);
    }

    /// The client disconnected: attempts without an effect are cancelled, others run to their end. Nothing
    /// follows.
    pub(crate) fn client_gone(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.requests.get(&id).is_some_and(|open| open.class.retry_safety == RetrySafety::Idempotent) {
            self.cancel_attempts(id, actions);
        }
        self.close(id);
    }

    /// Cancels the attempts in flight of a request, where that is allowed.
    fn cancel_attempts(&self, id: RequestId, actions: &mut Vec<Action>) {
        let attempts = self.requests[&id].attempts.iter().enumerate();
        let in_flight = attempts.filter(|(_, attempt)| attempt.in_flight);
        let cancels = in_flight.map(|(n, _)| Action::Cancel { request: id, attempt: n as u8 });
        actions.extend(cancels.filter(|_| self.settings.allow_cancel));
    }

    /// The final answer of a rejection, with advice to wait that long, as far as the settings allow.
    pub(crate) fn reject(&mut self, id: RequestId, wait: Millis, actions: &mut Vec<Action>) {
        let retry_after = wait.clamp(0.0, self.settings.max_retry_after);
        self.admission.retries.record_rejection();
        actions.push(Action::Reject { request: id, retry_after });
        self.close(id);
    }

    /// No answer is owed any more.
    pub(crate) fn close(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.is_answered = true;
        if let Some(customer) = self.customers.get_mut(&open.request.customer).filter(|_| open.is_queued) {
            customer.queue.retain(|other| *other != id);
        }
        self.forget_if_over(id);
    }

    fn forget_if_over(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| open.is_answered && !open.has_attempt_in_flight()) {
            self.requests.swap_remove(&id);
        }
    }
}
