//! The door: the single owner of the decision module. It keeps the module's clock and timers and the
//! requests in flight, hands events in, and carries actions out in order. It decides nothing.

use crate::body;
use crate::clock::Clock;
use crate::deadline::ResettableDeadline;
use crate::hooks::{RequestEnd, RequestHooks};
use crate::log;
use crate::mutants::mutant;
use crate::network::Network;
use crate::upstream::{AttemptResult, UpstreamPool, UpstreamRequest};
use brassport_policy::{Action, AttemptEnd, CustomerId, Event, Gateway, InvalidSetting, Millis, Outcome};
use brassport_policy::{Request, RequestId, ServerId, Settings};
use hyper::Response;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::{oneshot, Notify};

/// Until when a request that is still coming is due: it ends by its pace or by standing still before that.
const FAR: Duration = Duration::from_secs(24 * 3600);

/// The final answer to a client.
pub enum RequestOutcome {
    Served(Response<body::ResponseBody>),
    /// Trying again is harmless; after so long, if that is not nought.
    Rejected(Millis),
    Failed,
}

/// What tells customers' use where backends tell none: their meter on this side.
pub trait UsageMeter {
    /// Counts an attempt that a backend took up.
    fn record(&mut self, now: Millis, customer: CustomerId, units: f64);

    /// The customer's use in the last finished period, as a share of its plan's rate.
    fn reading(&mut self, now: Millis, customer: CustomerId, plan: usize) -> Option<f64>;

    /// Goes on with other settings; a plan keeps its index.
    fn apply_settings(&mut self, settings: &Settings);
}

/// The module's clock: milliseconds since the start, never running backwards.
pub struct PolicyClock<C> {
    clock: C,
    start: Instant,
    /// Unix time at the start. It is read once, so that a moment told twice is the same moment both times.
    start_unix: Millis,
}

impl<C: Clock> PolicyClock<C> {
    /// A clock that begins now, or goes on from where another process's was, which began at this Unix time.
    fn new(clock: C, before: Option<(Millis, Millis)>) -> PolicyClock<C> {
        let (now_ms, start_unix) = before.unwrap_or((0.0, clock.unix().as_secs_f64() * 1000.0));
        let since = Duration::try_from_secs_f64(now_ms / 1000.0).unwrap_or_default();
        let start = clock.now().checked_sub(since).unwrap_or_else(|| clock.now());
        PolicyClock { clock, start, start_unix }
    }
    /// The module's time.
    pub fn now(&self) -> Millis {
        self.millis(self.clock.now())
    }
    fn millis(&self, at: Instant) -> Millis {
        at.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }
    fn instant(&self, at: Millis) -> Instant {
        let since = Duration::try_from_secs_f64(at / 1000.0).unwrap_or_default();
        self.start.checked_add(since).unwrap_or_else(|| self.clock.now())
    }
    /// The module's time at this Unix time.
    pub fn at_unix(&self, unix: Millis) -> Millis {
        unix - self.start_unix
    }
    /// Unix time at its start.
    pub fn start_unix(&self) -> Millis {
        self.start_unix
    }
    /// The wall clock, as the time since 1970-01-01 UTC.
    pub fn unix(&self) -> Duration {
        self.clock.unix()
    }
}

/// A request that awaits its answer or the ends of its attempts.
struct InFlight {
    request: Request,
    /// Its client's name for it.
    name: String,
    message: Rc<UpstreamRequest>,
    /// When its client gives up; for one that is still coming far away.
    due: Rc<ResettableDeadline>,
    /// `None` once it is answered or its client has gone.
    answer: Option<oneshot::Sender<RequestOutcome>>,
    /// A backend's answer that tells of a failure and is for the client if no attempt does better.
    failure: Option<Response<body::ResponseBody>>,
    attempts: Vec<Attempt>,
}

/// An attempt of a request, out until its end also when it was called off.
struct Attempt {
    /// To call it off; `None` once that was done.
    cancel: Option<oneshot::Sender<()>>,
    is_out: bool,
}

struct Inner {
    gateway: Gateway,
    requests: BTreeMap<RequestId, InFlight>,
    /// The names of those.
    names: BTreeSet<String>,
    last: RequestId,
    alarms: BinaryHeap<Reverse<(Instant, u64)>>,
    meter: Option<Box<dyn UsageMeter>>,
    hooks: Option<Rc<dyn RequestHooks>>,
    unnamed: u64,
}

/// What the door's host brings.
pub struct DispatcherOptions {
    pub meter: Option<Box<dyn UsageMeter>>,
    pub hooks: Option<Rc<dyn RequestHooks>>,
    /// Told of each attempt that has ended, before the module is: whose request it was for.
    pub on_release: Box<dyn Fn(CustomerId)>,
    /// The clock of the process whose place this one takes: its time, and the Unix time of its start.
    pub inherited_clock: Option<(Millis, Millis)>,
}

pub struct Dispatcher<C: Clock, N: Network> {
    clock: PolicyClock<C>,
    backends: Rc<UpstreamPool<C, N>>,
    inner: RefCell<Inner>,
    sooner: Notify,
    released: Box<dyn Fn(CustomerId)>,
}

impl<C: Clock, N: Network> Dispatcher<C, N> {
    pub fn new(
        clock: C,
        settings: Settings,
        seed: u64,
        host: DispatcherOptions,
        backends: Rc<UpstreamPool<C, N>>,
    ) -> Result<Rc<Dispatcher<C, N>>, InvalidSetting> {
        let clock = PolicyClock::new(clock, host.inherited_clock);
        let inner = Inner {
            gateway: Gateway::new(settings, seed, clock.now())?,
            requests: BTreeMap::new(),
            names: BTreeSet::new(),
            last: 0,
            alarms: BinaryHeap::new(),
            meter: host.meter,
            hooks: host.hooks,
            unnamed: 0,
        };
        Ok(Rc::new(Dispatcher {
            clock,
            backends,
            inner: RefCell::new(inner),
            sooner: Notify::new(),
            released: host.on_release,
        }))
    }

    /// Takes a request in; `expires_in` and the id are filled in here. Its client waits for so long, from now or from
    /// when all of it has come. Guards against a second effect: `None` if one of the same name is in flight, until the
    /// last of its attempts has ended.
    pub fn admit(
        self: &Rc<Self>,
        mut request: Request,
        name: String,
        message: UpstreamRequest,
        patience: Duration,
    ) -> Option<PendingRequest<C, N>> {
        let (answer, receiver) = oneshot::channel();
        let mut inner = self.inner.borrow_mut();
        if !inner.names.insert(name.clone()) {
            return None;
        }
        inner.last += 1;
        if mutant!(CeilingUnshared) {
            request.spread = 1;
        }
        request.id = inner.last;
        request.expires_in = patience.as_secs_f64() * 1000.0;
        let uploading = !message.is_whole();
        let due =
            Rc::new(ResettableDeadline::new(self.clock.clock.now() + if uploading { FAR } else { patience }));
        let message = Rc::new(message);
        if let Some(hooks) = &inner.hooks {
            hooks.admitted(&name, &request);
        }
        let (answer, failure, attempts) = (Some(answer), None, Vec::new());
        let flight = InFlight { request, name, message, due: due.clone(), answer, failure, attempts };
        inner.requests.insert(request.id, flight);
        drop(inner);
        self.handle(if uploading { Event::Upload(request) } else { Event::Request(request) });
        Some(PendingRequest { door: self.clone(), id: request.id, due, answer: receiver })
    }

    /// All of a request has come and gone on: its time begins.
    fn whole(self: &Rc<Self>, request: RequestId) {
        if let Some(flight) = self.inner.borrow().requests.get(&request) {
            let patience =
                Duration::try_from_secs_f64(flight.request.expires_in / 1000.0).unwrap_or_default();
            flight.due.set(self.clock.clock.now() + patience);
        }
        self.handle(Event::Whole(request));
    }

    /// Whether the host lets this door act now; if not, how long clients are to wait.
    pub fn may_act(&self) -> Result<(), Millis> {
        self.inner.borrow().hooks.as_ref().map_or(Ok(()), |hooks| hooks.may_act())
    }

    /// The plan that the host knows of this customer.
    pub fn plan_of(&self, customer: CustomerId) -> Option<usize> {
        self.inner.borrow().hooks.as_ref()?.plan_of(customer)
    }

    /// The module's limit on attempts out, and its room.
    pub fn capacity(&self) -> (f64, f64) {
        self.inspect(Gateway::room)
    }

    /// Looks at the module.
    pub fn inspect<T>(&self, look: impl FnOnce(&Gateway) -> T) -> T {
        look(&self.inner.borrow().gateway)
    }

    /// The module's clock.
    pub fn clock(&self) -> &PolicyClock<C> {
        &self.clock
    }

    /// Whose attempts are out: each customer as often as there are.
    pub fn attempts_in_flight(&self) -> Vec<CustomerId> {
        let out = |flight: &InFlight| {
            let attempts = flight.attempts.iter().filter(|attempt| attempt.is_out).count();
            std::iter::repeat_n(flight.request.customer, attempts)
        };
        self.inner.borrow().requests.values().flat_map(out).collect()
    }

    /// A name for a request whose client gave it none; no client can give it.
    pub fn generate_id(&self) -> String {
        let mut inner = self.inner.borrow_mut();
        inner.unnamed += 1;
        format!("~{}", inner.unnamed)
    }

    /// How many requests await their answer or the end of an attempt.
    pub fn in_flight(&self) -> usize {
        let inner = self.inner.borrow();
        inner.requests.len().max(inner.names.len())
    }

    /// Fails all that is still in flight, as the program has to end.
    pub fn fail_all(self: &Rc<Self>) {
        let inner = &mut *self.inner.borrow_mut();
        for (request, flight) in &mut inner.requests {
            if let Some(answer) = flight.answer.take() {
                let _ = answer.send(RequestOutcome::Failed);
                if let Some(hooks) = &inner.hooks {
                    hooks.answered(*request, RequestEnd::Failed);
                }
            }
        }
    }

    /// Other settings hold from now on; a class or a plan keeps its index.
    pub fn apply_settings(self: &Rc<Self>, settings: Settings) {
        if let Some(meter) = &mut self.inner.borrow_mut().meter {
            meter.apply_settings(&settings);
        }
        self.handle(Event::Settings(Box::new(settings)));
    }

    /// Wakes the module when its timers are due.
    pub async fn run_timers(self: Rc<Self>) {
        loop {
            let next = self.inner.borrow().alarms.peek().map(|Reverse((at, _))| *at);
            match next {
                None => self.sooner.notified().await,
                Some(_) if mutant!(Spin) => tokio::task::yield_now().await,
                Some(at) if at > self.clock.clock.now() => tokio::select! {
                    biased;
                    () = self.clock.clock.sleep_until(at) => {}
                    () = self.sooner.notified() => {}
                },
                Some(_) => {
                    let due = self.inner.borrow_mut().alarms.pop();
                    if let Some(Reverse((_, token))) = due {
                        self.handle(Event::Timer(token));
                    }
                }
            }
        }
    }

    /// Hands an event in, and carries out what follows from it.
    pub fn handle(self: &Rc<Self>, event: Event) {
        let inner = &mut *self.inner.borrow_mut();
        let mut actions = Vec::new();
        inner.gateway.handle(self.clock.now(), event, &mut actions);
        for action in actions {
            self.carry_out(inner, action);
        }
    }

    /// What an action names and is no longer in flight was answered meanwhile: it is passed over.
    fn carry_out(self: &Rc<Self>, inner: &mut Inner, action: Action) {
        match action {
            Action::Send { request, server, expire_at } => {
                let Some(flight) = inner.requests.get_mut(&request) else { return };
                let due = match expire_at.map(|at| self.clock.instant(at)) {
                    Some(at) if at < flight.due.at() => Rc::new(ResettableDeadline::new(at)),
                    _ => flight.due.clone(),
                };
                let (cancel, cancelled) = oneshot::channel();
                let number = flight.attempts.len() as u8;
                flight.attempts.push(Attempt { cancel: Some(cancel), is_out: true });
                let attempt =
                    self.clone().attempt(request, number, server, flight.message.clone(), due, cancelled);
                tokio::task::spawn_local(attempt);
            }
            Action::Refuse { request, retry_after } => {
                inner.answer(request, RequestOutcome::Rejected(retry_after))
            }
            Action::Fail(request) => {
                let flight = inner.requests.get_mut(&request);
                let failure = flight.and_then(|flight| flight.failure.take());
                inner.answer(request, failure.map_or(RequestOutcome::Failed, RequestOutcome::Served));
            }
            Action::Cancel { request, attempt } => {
                let flight = inner.requests.get_mut(&request);
                let attempt = flight.and_then(|flight| flight.attempts.get_mut(usize::from(attempt)));
                if let Some(cancel) = attempt.and_then(|attempt| attempt.cancel.take()) {
                    let _ = cancel.send(());
                }
            }
            Action::Timer { at, token } => {
                let at = self.clock.instant(at);
                if inner.alarms.peek().is_none_or(|Reverse((first, _))| at < *first) {
                    self.sooner.notify_one();
                }
                inner.alarms.push(Reverse((at, token)));
            }
            // The program follows the list from its start, whoever asks.
            Action::FollowServers => {}
            Action::Log(text) => log::line(text),
        }
    }

    /// Whether the host's limits have room for an attempt; a first one without is refused here.
    fn may_send(&self, request: RequestId, attempt: u8) -> bool {
        let inner = &mut *self.inner.borrow_mut();
        let room = inner.hooks.as_ref().map_or(Ok(()), |hooks| hooks.may_send(request, attempt));
        match room {
            Ok(()) => true,
            Err(wait) => {
                if attempt == 0 {
                    inner.answer(request, RequestOutcome::Rejected(wait));
                }
                false
            }
        }
    }

    async fn attempt(
        self: Rc<Self>,
        request: RequestId,
        attempt: u8,
        server: ServerId,
        message: Rc<UpstreamRequest>,
        due: Rc<ResettableDeadline>,
        cancelled: oneshot::Receiver<()>,
    ) {
        let sent = self.clock.now();
        let (node, wait) = {
            let inner = self.inner.borrow();
            match &inner.hooks {
                None => (None, None),
                Some(hooks) => {
                    let node = self.backends.name(server);
                    let wait = hooks.before_attempt(request, &node);
                    (Some(node), wait)
                }
            }
        };
        // Whether the node still takes requests and the client still waits is looked at behind this.
        if let Some(wait) = wait {
            wait.await;
        }
        let wanted = || {
            // Guards against a standstill, or a cut, in which the right to act ran out. What went out before may have run.
            if let Err(wait) = self.may_act() {
                let answer =
                    if attempt == 0 { RequestOutcome::Rejected(wait) } else { RequestOutcome::Failed };
                self.inner.borrow_mut().answer(request, answer);
            }
            let waits =
                self.inner.borrow().requests.get(&request).is_some_and(|flight| flight.answer.is_some());
            waits && self.may_send(request, attempt)
        };
        // A sender that is dropped without a word cancels nothing.
        let cancel = async {
            if cancelled.await.is_err() {
                std::future::pending::<()>().await;
            }
        };
        // Whoever waits has the answer from here on: its end is the client's business and the backend's.
        let pass_on = |answer| {
            self.inner.borrow_mut().answer(request, RequestOutcome::Served(answer));
            self.handle(Event::Started(request));
        };
        let AttemptResult { outcome, mut used, answer, begun } =
            self.backends.attempt(server, &message, &due, cancel, wanted, pass_on).await;
        let now = self.clock.now();
        // The server's work begins with the last byte that it gets.
        let sent = message.whole_at().map_or(sent, |whole| self.clock.millis(whole));
        let elapsed = begun.map_or(now, |begun| self.clock.millis(begun)) - sent;
        let mut inner = self.inner.borrow_mut();
        if mutant!(LeakInFlight) && inner.requests.get(&request).is_some_and(|flight| flight.answer.is_none())
        {
            return;
        }
        if let Some(answer) = answer {
            if outcome == Outcome::Ok {
                inner.answer(request, RequestOutcome::Served(answer));
            } else if let Some(flight) = inner.requests.get_mut(&request) {
                flight.failure = Some(answer);
            }
        }
        let mut finished = true;
        if let Some(flight) = inner.requests.get_mut(&request) {
            flight.attempts[usize::from(attempt)].is_out = false;
            finished = flight.answer.is_none();
        }
        let Inner { meter, requests, .. } = &mut *inner;
        if let (Some(meter), Some(flight)) = (meter, requests.get(&request)) {
            let (customer, units) = (flight.request.customer, flight.request.units);
            if !outcome.never_ran() {
                meter.record(now, customer, units);
            }
            used = used.or_else(|| meter.reading(now, customer, flight.request.plan));
        }
        let end = AttemptEnd { request, attempt, outcome, elapsed, finished, used };
        if let (Some(hooks), Some(node)) = (&inner.hooks, &node) {
            hooks.attempt_ended(node, &end);
        }
        let customer = inner.requests.get(&request).map(|flight| flight.request.customer);
        inner.forget_if_over(request);
        drop(inner);
        if let Some(customer) = customer {
            (self.released)(customer);
        }
        self.handle(Event::AttemptEnd(end));
    }
}

impl Inner {
    /// Passes the final answer on, unless there was one before.
    fn answer(&mut self, request: RequestId, answer: RequestOutcome) {
        let Some(flight) = self.requests.get_mut(&request) else { return };
        if let Some(client) = flight.answer.take() {
            if let Some(hooks) = &self.hooks {
                hooks.answered(
                    request,
                    match answer {
                        RequestOutcome::Served(_) => RequestEnd::Served,
                        RequestOutcome::Rejected(wait) => RequestEnd::Rejected(wait),
                        RequestOutcome::Failed => RequestEnd::Failed,
                    },
                );
            }
            let _ = client.send(answer);
        }
        self.forget_if_over(request);
    }

    fn forget_if_over(&mut self, request: RequestId) {
        let over = |flight: &InFlight| {
            flight.answer.is_none() && flight.attempts.iter().all(|attempt| !attempt.is_out)
        };
        if self.requests.get(&request).is_some_and(over) {
            if let Some(flight) = self.requests.remove(&request) {
                self.names.remove(&flight.name);
                if let Some(hooks) = &self.hooks {
                    hooks.departed(request);
                }
            }
        }
    }
}

/// A client's claim to its answer. Dropped before that has come, it tells the module that the client left.
pub struct PendingRequest<C: Clock, N: Network> {
    door: Rc<Dispatcher<C, N>>,
    id: RequestId,
    due: Rc<ResettableDeadline>,
    answer: oneshot::Receiver<RequestOutcome>,
}

impl<C: Clock, N: Network> PendingRequest<C, N> {
    /// What is to be done once all of the request has come and gone on.
    pub fn completion_callback(&self) -> impl FnOnce() + 'static {
        let (door, id) = (self.door.clone(), self.id);
        move || door.whole(id)
    }

    /// The final answer. Guards against a request that nothing answers: it fails when it is due.
    pub async fn outcome(mut self) -> RequestOutcome {
        let due = self.due.clone();
        let door = self.door.clone();
        let late = due.over(&door.clock.clock);
        tokio::select! {
            biased;
            answer = &mut self.answer => answer.unwrap_or(RequestOutcome::Failed),
            () = late => RequestOutcome::Failed,
        }
    }
}

impl<C: Clock, N: Network> Drop for PendingRequest<C, N> {
    fn drop(&mut self) {
        let mut inner = self.door.inner.borrow_mut();
        let Some(flight) = inner.requests.get_mut(&self.id) else { return };
        if flight.answer.take().is_none() {
            return;
        }
        if let Some(hooks) = &inner.hooks {
            hooks.answered(self.id, RequestEnd::ClientLeft);
        }
        inner.forget_if_over(self.id);
        drop(inner);
        self.door.handle(Event::ClientGone(self.id));
    }
}
