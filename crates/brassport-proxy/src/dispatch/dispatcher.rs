//! The owner of the policy: passes events to it and executes the resulting actions.

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

/// The provisional deadline of a request that is still being uploaded. The minimum data rate and the stall timeout end
/// an upload long before it.
const UPLOAD_DEADLINE: Duration = Duration::from_secs(24 * 3600);

/// The mutable state of a dispatcher.
pub(super) struct State {
    pub(super) policy: Gateway,
    pub(super) requests: RequestTable,
    /// The timers of the policy with their tokens; the earliest is on top.
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
    /// Creates a dispatcher whose policy has no backends. The program has to spawn
    /// [`run_timers`](Dispatcher::run_timers).
    ///
    /// # Errors
    /// The policy rejects a setting.
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

    /// Admits a request to the policy; its `expires_in` and `id` are set here. The client waits for `timeout`, starting
    /// now or, for an upload, when the request has been received completely. Returns `None` if a request of the same
    /// name is in flight, up to the end of its last attempt, so that a duplicate cannot take effect twice.
    pub fn admit(
        self: &Rc<Self>,
        mut request: Request,
        name: String,
        message: UpstreamRequest,
        timeout: Duration,
    ) -> Option<PendingRequest<C, N>> {
        request.id = self.state.borrow_mut().requests.reserve(&name)?;
        if mutant!(CeilingUnshared) {
            request.customer_gateways = 1;
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

    /// Starts the deadline of an upload, which has been received and forwarded completely.
    pub(super) fn upload_completed(self: &Rc<Self>, id: RequestId) {
        if let Some(in_flight) = self.state.borrow().requests.get(id) {
            let timeout = duration(in_flight.request.expires_in);
            in_flight.deadline.reset(self.clock.base().now() + timeout);
        }
        self.handle(Event::UploadComplete(id));
    }

    /// Passes an event to the policy and executes the resulting actions.
    pub fn handle(self: &Rc<Self>, event: Event) {
        let state = &mut *self.state.borrow_mut();
        let mut actions = Vec::new();
        state.policy.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.execute(state, action);
        }
    }

    /// Executes an action. Actions for requests that are no longer in flight are ignored.
    fn execute(self: &Rc<Self>, state: &mut State, action: Action) {
        match action {
            Action::Send { request, server, expire_at } => self.send(state, request, server, expire_at),
            Action::Reject { request, retry_after } => {
                state.requests.resolve(request, RequestOutcome::Rejected(retry_after));
            }
            Action::Fail(request) => {
                let error_response =
                    state.requests.get_mut(request).and_then(|in_flight| in_flight.error_response.take());
                let outcome = error_response.map_or(RequestOutcome::Failed, RequestOutcome::Served);
                state.requests.resolve(request, outcome);
            }
            Action::Cancel { request, attempt } => {
                if let Some(in_flight) = state.requests.get_mut(request) {
                    in_flight.cancel_attempt(attempt);
                }
            }
            Action::SetTimer { at, token } => self.set_timer(state, at, token),
            // Programs subscribe to the server list at startup, regardless of this action.
            Action::WatchServers => {}
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
        let task = AttemptTask {
            dispatcher: self.clone(),
            id,
            number,
            backend,
            message: in_flight.message.clone(),
            deadline,
            used_connections: in_flight.used_connections.clone(),
        };
        tokio::task::spawn_local(task.run(cancelled));
    }

    fn set_timer(&self, state: &mut State, at: Millis, token: u64) {
        let at = self.clock.instant(at);
        if state.timers.peek().is_none_or(|Reverse((earliest, _))| at < *earliest) {
            self.earlier_timer.notify_one();
        }
        state.timers.push(Reverse((at, token)));
    }

    /// Notifies the policy when its timers expire. Never completes; the program spawns it and aborts it with its other
    /// tasks.
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

    /// Replaces the settings. Classes and plans must keep their indexes.
    pub fn apply_settings(self: &Rc<Self>, settings: Settings) {
        if let Some(meter) = &mut self.state.borrow_mut().meter {
            meter.apply_settings(&settings);
        }
        self.handle(Event::Settings(Box::new(settings)));
    }

    /// Fails all requests in flight, as the program is about to exit.
    pub fn fail_all(self: &Rc<Self>) {
        self.state.borrow_mut().requests.fail_all();
    }
}

/// Accessors for the program.
impl<C: Clock, N: Network> Dispatcher<C, N> {
    /// Checks whether the host currently allows this gateway instance to serve requests.
    ///
    /// # Errors
    /// The instance may not serve. The error is the suggested retry delay for clients, in milliseconds.
    pub fn may_serve(&self) -> Result<(), Millis> {
        self.state.borrow().requests.hooks().map_or(Ok(()), |hooks| hooks.may_serve())
    }

    /// The index of the plan that the host sets for this customer; `None` to use the request's plan.
    pub fn plan_override(&self, customer: CustomerId) -> Option<usize> {
        self.state.borrow().requests.hooks()?.plan_override(customer)
    }

    /// The policy's limit on attempts in flight, and the fraction of the quota-admitted load that fits into it (0 to
    /// 1).
    pub fn capacity(&self) -> (f64, f64) {
        self.inspect(Gateway::capacity)
    }

    /// Calls `read` with the policy. `read` must not call the dispatcher.
    pub fn inspect<T>(&self, read: impl FnOnce(&Gateway) -> T) -> T {
        read(&self.state.borrow().policy)
    }

    /// The policy's clock.
    pub fn clock(&self) -> &PolicyClock<C> {
        &self.clock
    }

    /// The customer of each attempt in flight; a customer is listed once per attempt.
    pub fn attempts_in_flight(&self) -> Vec<CustomerId> {
        self.state.borrow().requests.attempts_in_flight()
    }

    /// Generates a name for a request without a client-supplied id. It starts with `~`, which programs must not accept
    /// in client-supplied ids.
    pub fn generate_id(&self) -> String {
        self.state.borrow_mut().requests.generate_name()
    }

    /// The number of requests that await their outcome or the end of an attempt.
    pub fn in_flight(&self) -> usize {
        self.state.borrow().requests.count()
    }
}
