//! The owner of the policy: events in, actions out.

use super::attempt::AttemptTask;
use super::clock::{duration, PolicyClock};
use super::options::{DispatcherOptions, RequestOutcome, UsageMeter};
use super::pending::PendingRequest;
use super::requests::{InFlight, RequestTable};
use crate::clock::Clock;
use crate::deadline::ResettableDeadline;
use crate::log;
use crate::mutants::mutant;
use crate::network::Network;
use crate::upstream::{UpstreamPool, UpstreamRequest};
use brassport_policy::{Action, CustomerId, Event, Gateway, InvalidSetting, Millis, Request, RequestId};
use brassport_policy::{ServerId, Settings};
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, Notify};

/// The deadline of a request that is still being uploaded: it ends by its pace, or by stalling, before that.
const UPLOAD_DEADLINE: Duration = Duration::from_secs(24 * 3600);

/// What a dispatcher keeps between two events.
pub(super) struct State {
    pub(super) policy: Gateway,
    pub(super) requests: RequestTable,
    /// The policy's timers, the earliest first, with their tokens.
    timers: BinaryHeap<Reverse<(Instant, u64)>>,
    pub(super) meter: Option<Box<dyn UsageMeter>>,
}

/// The owner of the policy and of all requests in flight.
pub struct Dispatcher<C: Clock, N: Network> {
    pub(super) clock: PolicyClock<C>,
    pub(super) pool: Rc<UpstreamPool<C, N>>,
    pub(super) state: RefCell<State>,
    /// Notified when the earliest timer changes.
    earlier_timer: Notify,
    pub(super) on_attempt_end: Box<dyn Fn(CustomerId)>,
}

impl<C: Clock, N: Network> Dispatcher<C, N> {
    /// A dispatcher without requests, whose policy knows no backends. The program runs
    /// [`run_timers`](Dispatcher::run_timers).
    ///
    /// # Errors
    /// The policy does not accept a setting.
    pub fn new(
        clock: C,
        settings: Settings,
        seed: u64,
        options: DispatcherOptions,
        pool: Rc<UpstreamPool<C, N>>,
    ) -> Result<Rc<Dispatcher<C, N>>, InvalidSetting> {
        let clock = PolicyClock::new(clock, options.inherited_clock);
        let state = State {
            policy: Gateway::new(settings, seed, clock.now())?,
            requests: RequestTable::new(options.hooks),
            timers: BinaryHeap::new(),
            meter: options.meter,
        };
        Ok(Rc::new(Dispatcher {
            clock,
            pool,
            state: RefCell::new(state),
            earlier_timer: Notify::new(),
            on_attempt_end: options.on_attempt_end,
        }))
    }

    /// Admits a request to the policy; its `expires_in` and id are filled in here. Its client waits for `timeout`, from
    /// now or from when all of it has come. Guards against a second effect: `None` if a request of the same name is in
    /// flight, until the last of its attempts has ended.
    pub fn admit(
        self: &Rc<Self>,
        mut request: Request,
        name: String,
        message: UpstreamRequest,
        timeout: Duration,
    ) -> Option<PendingRequest<C, N>> {
        request.id = self.state.borrow_mut().requests.reserve(&name)?;
        if mutant!(CeilingUnshared) {
            request.spread = 1;
        }
        request.expires_in = timeout.as_secs_f64() * 1000.0;
        let is_upload = !message.is_complete();
        let time_left = if is_upload { UPLOAD_DEADLINE } else { timeout };
        let deadline = Rc::new(ResettableDeadline::new(self.clock.base().now() + time_left));
        let (client, outcome) = oneshot::channel();
        let in_flight = InFlight::new(request, name, Rc::new(message), deadline.clone(), client);
        self.state.borrow_mut().requests.insert(in_flight);
        self.handle(if is_upload { Event::Upload(request) } else { Event::Request(request) });
        Some(PendingRequest::new(self.clone(), request.id, deadline, outcome))
    }

    /// All of a request has come and been forwarded: its client's time begins.
    pub(super) fn upload_completed(self: &Rc<Self>, id: RequestId) {
        if let Some(in_flight) = self.state.borrow().requests.get(id) {
            let timeout = duration(in_flight.request.expires_in);
            in_flight.deadline.reset(self.clock.base().now() + timeout);
        }
        self.handle(Event::Whole(id));
    }

    /// Hands an event to the policy, and executes the actions that follow from it.
    pub fn handle(self: &Rc<Self>, event: Event) {
        let state = &mut *self.state.borrow_mut();
        let mut actions = Vec::new();
        state.policy.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.execute(state, action);
        }
    }

    /// Executes an action. One for a request that is no longer in flight was overtaken by its outcome: it is dropped.
    fn execute(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send { request, server, expire_at } => self.send(state, request, server, expire_at),
            Action::Refuse { request, retry_after } => {
                state.requests.answer(request, RequestOutcome::Rejected(retry_after));
            }
            Action::Fail(request) => {
                let failure = state.requests.get_mut(request).and_then(|one| one.failure.take());
                let outcome = failure.map_or(RequestOutcome::Failed, RequestOutcome::Served);
                state.requests.answer(request, outcome);
            }
            Action::Cancel { request, attempt } => {
                if let Some(in_flight) = state.requests.get_mut(request) {
                    in_flight.cancel_attempt(attempt);
                }
            }
            Action::Timer { at, token } => self.set_timer(state, at, token),
            // The program follows the list from its start, whether or not the policy wants it.
            Action::FollowServers => {}
            Action::Log(text) => log::write_line(text),
        }
    }

    fn send(self: &Rc<Self>, state: &mut State, id: RequestId, backend: ServerId, expire_at: Option<Millis>) {
        let Some(in_flight) = state.requests.get_mut(id) else { return };
        let deadline = match expire_at.map(|at| self.clock.instant(at)) {
            Some(at) if at < in_flight.deadline.at() => Rc::new(ResettableDeadline::new(at)),
            _ => in_flight.deadline.clone(),
        };
        let (number, cancelled) = in_flight.add_attempt();
        let message = in_flight.message.clone();
        let task = AttemptTask { dispatcher: self.clone(), id, number, backend, message, deadline };
        tokio::task::spawn_local(task.run(cancelled));
    }

    fn set_timer(&self, state: &mut State, at: Millis, token: u64) {
        let at = self.clock.instant(at);
        if state.timers.peek().is_none_or(|Reverse((earliest, _))| at < *earliest) {
            self.earlier_timer.notify_one();
        }
        state.timers.push(Reverse((at, token)));
    }

    /// Notifies the policy when its timers expire. Never ready: the program spawns it, and drops it with its other tasks.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.state.borrow().timers.peek().map(|Reverse((at, _))| *at);
            match next {
                None => self.earlier_timer.notified().await,
                Some(_) if mutant!(Spin) => tokio::task::yield_now().await,
                Some(at) if at > self.clock.base().now() => tokio::select! {
                    biased;
                    () = self.clock.base().sleep_until(at) => {}
                    () = self.earlier_timer.notified() => {}
                },
                Some(_) => {
                    let expired = self.state.borrow_mut().timers.pop();
                    if let Some(Reverse((_, token))) = expired {
                        self.handle(Event::Timer(token));
                    }
                }
            }
        }
    }

    /// Applies other settings from now on; a class or a plan keeps its index.
    pub fn apply_settings(self: &Rc<Self>, settings: Settings) {
        if let Some(meter) = &mut self.state.borrow_mut().meter {
            meter.apply_settings(&settings);
        }
        self.handle(Event::Settings(Box::new(settings)));
    }

    /// Fails all that is still in flight, as the program has to end.
    pub fn fail_all(self: &Rc<Self>) {
        self.state.borrow_mut().requests.fail_all();
    }
}

/// What a program reads of it.
impl<C: Clock, N: Network> Dispatcher<C, N> {
    /// Whether the host lets this gateway instance act now.
    ///
    /// # Errors
    /// It does not; how many milliseconds clients are to wait.
    pub fn may_serve(&self) -> Result<(), Millis> {
        self.state.borrow().requests.hooks().map_or(Ok(()), |hooks| hooks.may_serve())
    }

    /// The plan that the host has for this customer, by index.
    pub fn plan_override(&self, customer: CustomerId) -> Option<usize> {
        self.state.borrow().requests.hooks()?.plan_override(customer)
    }

    /// The policy's limit on attempts in flight, and the part of what the quotas admit that it has room for, from 0 to 1.
    pub fn capacity(&self) -> (f64, f64) {
        self.inspect(Gateway::room)
    }

    /// Reads from the policy. `read` must not call the dispatcher.
    pub fn inspect<T>(&self, read: impl FnOnce(&Gateway) -> T) -> T {
        read(&self.state.borrow().policy)
    }

    /// The policy's clock.
    pub fn clock(&self) -> &PolicyClock<C> {
        &self.clock
    }

    /// The customers of the attempts in flight: each as often as it has one.
    pub fn attempts_in_flight(&self) -> Vec<CustomerId> {
        self.state.borrow().requests.attempts_in_flight()
    }

    /// A name for a request to which its client gave none; no client can give it.
    pub fn generate_id(&self) -> String {
        self.state.borrow_mut().requests.generate_name()
    }

    /// How many requests await their outcome or the end of an attempt.
    pub fn in_flight(&self) -> usize {
        self.state.borrow().requests.count()
    }
}
