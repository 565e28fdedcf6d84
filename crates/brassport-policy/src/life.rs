//! The life of a request: its attempts one after another, until one final answer.

use crate::control::Gateway;
use crate::interface::*;
use brassport_policy_stats::AttemptHandle;

/// An attempt out for so many mean answer times may get a further one.
pub const PATIENCE: f64 = 3.0;
/// The part of the wanted time within which a further attempt or a held request must start to be of use.
const USEFUL: f64 = 0.5;

const DEADLINE: u64 = 0;
const REVIEW: u64 = 1;

#[derive(Debug)]
pub struct Attempt {
    pub to: ServerEntry,
    sent: Millis,
    /// Once its server has all of it; until then it is out for nobody.
    ticket: Option<AttemptHandle>,
    out: bool,
    pub overdue: bool,
    pub may_have_run: bool,
}

/// A request without its final answer, or with attempts that are still out.
#[derive(Debug)]
pub struct Open {
    pub request: Request,
    /// Its class as it was when it came, and most attempts that it may have.
    pub class: Class,
    most: u32,
    /// Whether some of it is still coming: it has no deadline yet, and no server has begun it.
    uploading: bool,
    /// When the client's first try came, as far as it shows.
    pub arrived: Millis,
    pub attempts: Vec<Attempt>,
    held: bool,
    done: bool,
}

impl Open {
    /// The first attempt that may have had its effect.
    pub fn ran(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run)
    }

    /// Whether an attempt is out.
    fn is_out(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.out)
    }
}

impl Gateway {
    /// Takes up a request and sees to its deadline.
    pub(crate) fn open(&mut self, request: Request, uploading: bool, actions: &mut Vec<Action>) {
        let (class, arrived, attempts) = (self.settings.classes[request.class], self.now, Vec::new());
        let most = if uploading { 1 } else { self.settings.max_attempts };
        let open = Open { request, class, most, uploading, arrived, attempts, held: false, done: false };
        self.requests.insert(request.id, open);
        if !uploading {
            self.begin(&request, actions);
        }
    }

    fn begin(&self, request: &Request, actions: &mut Vec<Action>) {
        // Answer before the client gives up; two calls of the host are the margin for the way back.
        let at = self.now + (request.expires_in - 2.0 * self.settings.tick).max(0.0);
        actions.push(Action::Timer { at, token: (request.id << 2) + DEADLINE });
    }

    /// All of a request has come: its time begins, and its server's work on it.
    pub(crate) fn whole(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&id).filter(|open| open.uploading) else { return };
        (open.uploading, open.arrived) = (false, self.now);
        let request = open.request;
        self.begin(&request, actions);
        self.begun(id, actions);
    }

    /// A timer of a request went off.
    pub(crate) fn timer(&mut self, token: u64, actions: &mut Vec<Action>) {
        if token % 4 == DEADLINE {
            self.give_up(token / 4, actions);
        } else {
            self.review(token / 4, actions);
        }
    }

    /// Sends a first attempt, or holds the request while its customer has all the attempts out it may have.
    pub(crate) fn dispatch(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let (request, aim) = (self.requests[&id].request, self.requests[&id].class.aim);
        let plan = self.settings.plans[request.plan];
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        if plan.open > 0 && customer.open >= plan.open {
            customer.held.push_back(id);
            if let Some(open) = self.requests.get_mut(&id) {
                open.held = true;
            }
            actions.push(Action::Timer { at: self.now + USEFUL * aim, token: (id << 2) + REVIEW });
            return;
        }
        let Some(server) = self.choose(id) else {
            self.tally.no_server += 1;
            return self.refuse(id, self.settings.max_retry_after, actions);
        };
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        let room = customer.ceiling.take(&self.settings, &request, self.now);
        if self.retired && plan.ceiling_rate > 0.0 || room.is_err() {
            return self.refuse(id, room.err().unwrap_or(self.settings.max_retry_after), actions);
        }
        customer.account.sent(&plan, request.units, self.now);
        let (share, most) = (self.settings.tuning.retry_share, self.settings.tuning.retries);
        self.retry_budget = (self.retry_budget + share).min(self.fleet.len() as f64).min(most);
        self.send(id, server, actions);
    }

    fn send(&mut self, id: RequestId, to: ServerId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(to) = self.fleet.entry(to) else { return };
        let sent = self.now;
        open.held = false;
        open.attempts.push(Attempt { to, sent, ticket: None, out: true, overdue: false, may_have_run: true });
        actions.push(Action::Send { request: id, server: to.id, expire_at: None });
        if !open.uploading {
            self.begun(id, actions);
        }
    }

    /// The server of the last attempt has all of it.
    fn begun(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = open.attempts.last_mut().filter(|attempt| attempt.out) else { return };
        (attempt.sent, attempt.ticket) = (self.now, Some(self.fleet.begin(self.now, attempt.to.id)));
        if let Some(customer) = self.customers.get_mut(&open.request.customer) {
            customer.open += 1;
        }
        let patience = (PATIENCE * self.kinds.response_ms(open.request.class)).min(USEFUL * open.class.aim);
        actions.push(Action::Timer { at: self.now + patience, token: (id << 2) + REVIEW });
    }

    /// Whether a further attempt is allowed by the class, the settings and the retry budget, and of use.
    fn may_try_again(&self, open: &Open) -> bool {
        let (now, tick) = (self.now, self.settings.tick);
        let licensed = match (open.class.effect, open.ran()) {
            (_, None) | (Effect::Free, _) => true,
            (Effect::Once, Some(_)) => false,
            (Effect::Keyed { window, .. }, Some(first)) => now < first.sent + window - 2.0 * tick,
        };
        let paid = self.retry_budget >= 1.0;
        licensed && paid && (self.settings.may_duplicate || !open.is_out()) && self.has_more(open)
    }

    /// Whether a further attempt of the request is of use and within its number.
    fn has_more(&self, open: &Open) -> bool {
        let most = open.most.min(self.settings.max_attempts) as usize;
        open.attempts.len() < most && self.now < open.arrived + open.class.aim
    }

    /// An attempt has been out for long, or a request held: tries another server, or gives up in time.
    fn review(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let waits = |open: &&mut Open| !open.done && (open.held || !open.uploading);
        let Some(open) = self.requests.get_mut(&id).filter(waits) else { return };
        let due = self.now - self.settings.tuning.late * open.class.aim;
        let class = open.request.class;
        let late = open.attempts.last_mut().filter(|last| last.out && !last.overdue && last.sent <= due);
        if let Some(last) = late.filter(|last| self.fleet.is_telling(last.to.id)) {
            last.overdue = true;
            self.adapt(class, false);
        }
        let open = &self.requests[&id];
        if open.held {
            if self.now >= open.arrived + USEFUL * open.class.aim {
                self.refuse(id, self.settings.max_retry_after, actions);
            }
            return;
        }
        let Some(last) = open.attempts.last().filter(|last| last.out) else { return };
        let (settings, mean) = (&self.settings, self.kinds.mean_response_ms());
        let may_replace = settings.tuning.replaces_silent && settings.may_cancel;
        let one_at_a_time = open.class.effect == Effect::Free && !settings.may_duplicate && may_replace;
        if self.may_try_again(open) {
            self.further(id, actions);
        } else if one_at_a_time && self.has_more(open) {
            // The attempt is given up first, and its end brings the next one, which is paid for here: of many
            // that are silent at once no more are given up than may go again.
            if self.retry_budget >= 1.0 && self.fleet.is_silent(last.to.id, self.now, mean) {
                actions.push(Action::Cancel { request: id, attempt: (open.attempts.len() - 1) as u8 });
                self.retry_budget -= 1.0;
            } else {
                let again = self.now + PATIENCE * mean / 2.0;
                actions.push(Action::Timer { at: again, token: (id << 2) + REVIEW });
            }
        }
    }

    fn further(&mut self, id: RequestId, actions: &mut Vec<Action>) -> bool {
        let Some(server) = self.choose(id) else { return false };
        self.retry_budget -= 1.0;
        self.send(id, server, actions);
        true
    }

    pub(crate) fn attempt_ended(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get_mut(&end.request) else { return };
        let Some(attempt) = open.attempts.get_mut(usize::from(end.attempt)) else { return };
        if !attempt.out {
            return;
        }
        attempt.out = false;
        attempt.may_have_run = !end.outcome.never_ran();
        let (server, sent, ticket, request) = (attempt.to.id, attempt.sent, attempt.ticket, open.request);
        open.done |= end.finished;
        ticket.into_iter().for_each(|ticket| self.fleet.end(server, sent, ticket));
        self.judge(server, &end, actions);
        if let (Some(used), Some(customer)) = (end.used, self.customers.get_mut(&request.customer)) {
            let plan = (&self.settings.plans[customer.plan], customer.plan);
            self.admission.read(&mut customer.account, plan, used, (self.room.part, self.now));
        }
        let open = &self.requests[&end.request];
        if open.done && end.outcome == Outcome::Ok {
            self.call_off(end.request, actions);
        } else if !open.done && !open.is_out() {
            // One that was given up has paid for the next; one that never went out costs nothing.
            let unsent = matches!(end.outcome, Outcome::Cancelled | Outcome::Moot);
            self.retry_budget += if unsent { 1.0 } else { 0.0 };
            if !(self.may_try_again(open) && self.further(end.request, actions)) {
                self.give_up(end.request, actions);
            }
        }
        self.forget_if_over(end.request);
        if ticket.is_some() {
            self.release(request.customer, actions);
        }
    }

    /// An attempt of the customer is over, here or elsewhere: one that waits for that may go.
    pub(crate) fn release(&mut self, customer: CustomerId, actions: &mut Vec<Action>) {
        let Some(customer) = self.customers.get_mut(&customer) else { return };
        customer.open = customer.open.saturating_sub(1);
        if let Some(next) = customer.held.pop_front().filter(|next| self.requests.contains_key(next)) {
            self.dispatch(next, actions);
        }
    }

    /// Final answer without an answer of a server: a refusal where nothing can have run, else a failure.
    fn give_up(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.requests.get(&id).filter(|open| !open.done) else { return };
        if open.ran().is_none() {
            return self.refuse(id, 0.0, actions);
        }
        actions.push(Action::Fail(id));
        self.call_off(id, actions);
        self.close(id);
    }

    /// The client left: what has no effect is called off, all else runs to its end. Nothing follows.
    pub(crate) fn abandon(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if self.requests.get(&id).is_some_and(|open| open.class.effect == Effect::Free) {
            self.call_off(id, actions);
        }
        self.close(id);
    }

    /// Cancels the attempts of a request that are still out, where that is allowed.
    fn call_off(&self, id: RequestId, actions: &mut Vec<Action>) {
        let out = self.requests[&id].attempts.iter().enumerate().filter(|(_, attempt)| attempt.out);
        let cancels = out.map(|(n, _)| Action::Cancel { request: id, attempt: n as u8 });
        actions.extend(cancels.filter(|_| self.settings.may_cancel));
    }

    pub(crate) fn refuse(&mut self, id: RequestId, wait: Millis, actions: &mut Vec<Action>) {
        let retry_after = wait.clamp(0.0, self.settings.max_retry_after);
        self.admission.returns.record_rejection();
        actions.push(Action::Refuse { request: id, retry_after });
        self.close(id);
    }

    pub(crate) fn close(&mut self, id: RequestId) {
        let Some(open) = self.requests.get_mut(&id) else { return };
        open.done = true;
        if let Some(customer) = self.customers.get_mut(&open.request.customer).filter(|_| open.held) {
            customer.held.retain(|other| *other != id);
        }
        self.forget_if_over(id);
    }

    fn forget_if_over(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|open| open.done && !open.is_out()) {
            self.requests.swap_remove(&id);
        }
    }
}
