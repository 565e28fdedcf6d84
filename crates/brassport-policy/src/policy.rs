//! The gateway: its state, its events, and admission of a request by quota and capacity together.

use crate::admission::{Account, Conditions, QuotaAdmission, MIN_PROBABILITY};
use crate::concurrency_limit::{ConcurrencyLimit, Timeliness};
use crate::interface::*;
use crate::load_balancer::{LoadBalancer, Selection};
use crate::rate_limit::RateLimitShare;
use crate::request_lifecycle::{Body, OpenRequest, SLOW_ATTEMPT};
use crate::server::MeanResponse;
use brassport_policy_stats::{
    remove_and_shrink, ClassPrior, ClassStatistics, CyclicCursor, RejectionCounts, TrustedKeyMap,
    UntrustedKeyMap,
};
use oorandom::Rand64;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

// All constants of the decisions are dimensionless; times and rates come from the settings.

/// Mean time, in meter periods, after which a client that is over its quota is advised to retry.
const RETRY_AFTER_PERIODS: f64 = 0.3;
/// A customer is forgotten when idle for so many times what its buckets take to fill.
const MAX_IDLE_REFILLS: f64 = 20.0;
/// Least time that a customer's buckets are taken to fill in, in milliseconds.
const MIN_REFILL_MS: Millis = 1000.0;
/// Customers that are checked for that at each request.
const EXPIRY_STEP: usize = 4;
/// Weight of a sample in averages over requests and responses: about the last 20 count.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Time until a server list that could not be read is requested again, in milliseconds.
const LIST_RETRY_MS: Millis = 1000.0;
/// Token of the timer for that; those of requests are in `request_lifecycle.rs`.
const LIST_TIMER: u64 = 2;

/// The state of one customer.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Customer {
    pub plan: usize,
    seen: Millis,
    pub account: Account,
    /// This gateway's share of the customer's rate limit.
    #[serde(rename = "ceiling")]
    pub rate_limit: RateLimitShare,
    /// Attempts in flight.
    #[serde(rename = "open")]
    pub in_flight: u32,
    /// Requests that wait for one of those to end.
    #[serde(rename = "held")]
    pub queue: VecDeque<RequestId>,
}

/// The decisions of one gateway: a state machine that takes [`Event`]s and returns [`Action`]s.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) settings: Settings,
    rng: Rand64,
    /// Since when it observes arrivals and fills rate limits.
    pub(crate) started_at: Millis,
    pub(crate) now: Millis,
    pub(crate) customers: UntrustedKeyMap<CustomerId, Box<Customer>>,
    pub(crate) admission: QuotaAdmission,
    expiry: CyclicCursor<EXPIRY_STEP>,
    pub(crate) rejections: RejectionCounts,
    pub(crate) requests: TrustedKeyMap<RequestId, OpenRequest>,
    pub(crate) balancer: LoadBalancer,
    pub(crate) classes: ClassStatistics,
    pub(crate) concurrency: ConcurrencyLimit,
    /// Retries that the retry budget allows at present.
    pub(crate) retry_budget: f64,
    /// Whether another gateway has replaced this one, and spends its rate limits and turns of servers in
    /// warm-up.
    pub(crate) retired: bool,
}

/// What came of admission.
enum Verdict {
    Admitted,
    OverQuota,
    NoCapacity,
}

fn class_priors(settings: &Settings) -> impl Iterator<Item = ClassPrior> + Clone + '_ {
    let prior = |class: &Class| ClassPrior {
        value: class.value,
        response_ms: class.latency_target / (2.0 * SLOW_ATTEMPT),
    };
    settings.classes.iter().map(prior)
}

impl Gateway {
    /// A gateway that starts at `now` with an empty server list. All its random draws follow from `seed`.
    ///
    /// # Errors
    /// Names the first setting that is out of range.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Result<Gateway, InvalidSetting> {
        settings.validate()?;
        Ok(Gateway {
            rng: Rand64::new(u128::from(seed)),
            started_at: now,
            now,
            customers: UntrustedKeyMap::default(),
            admission: QuotaAdmission::new(&settings),
            expiry: CyclicCursor::default(),
            rejections: RejectionCounts::new(now),
            requests: TrustedKeyMap::default(),
            balancer: LoadBalancer::new(&settings.classes),
            classes: ClassStatistics::new(class_priors(&settings)),
            concurrency: ConcurrencyLimit::new(now, settings.tuning.initial_admitted_fraction),
            retry_budget: 1.0,
            retired: false,
            settings,
        })
    }

    /// Handles one event at `now`, and appends the actions that the host must execute, in order. A `now`
    /// before that of an earlier event counts as that one.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Request(request) => self.arrive(request, Body::Complete, actions),
            Event::Upload(request) => self.arrive(request, Body::Uploading, actions),
            Event::UploadComplete(request) => self.upload_complete(request, actions),
            Event::AttemptEnd(end) => self.attempt_ended(end, actions),
            Event::ResponseStarted(request) => self.close(request),
            Event::ClientDisconnected(request) => self.client_gone(request, actions),
            Event::Timer(token) if token % 4 == LIST_TIMER => actions.push(Action::WatchServers),
            Event::Timer(token) => self.timer(token, actions),
            Event::Servers { kind, entries } => self.apply_server_list(kind, entries, actions),
            Event::Settings(settings) => self.reconfigure(*settings),
            Event::ApplyHandover { state, in_flight } => {
                actions.extend(self.inherit(&state, &in_flight).map(Action::Log));
            }
            Event::PredecessorAttemptEnded(customer) => self.release(customer, actions),
            Event::Retire => self.retired = true,
            Event::Resume => self.take_back(),
        }
    }

    /// Applies new settings, unless they are out of range or drop a class or plan. Statistics stay.
    fn reconfigure(&mut self, settings: Settings) {
        if !settings.can_replace(&self.settings) {
            return;
        }
        self.classes.reconfigure(class_priors(&settings));
        self.admission.reconfigure(&settings);
        self.balancer.reconfigure(&settings);
        self.settings = settings;
    }

    /// The hand-over failed. What the other gateway spent is not known, so the rate limits start empty.
    fn take_back(&mut self) {
        (self.retired, self.started_at) = (false, self.now);
        let customers = self.customers.values_mut();
        customers.for_each(|customer| customer.rate_limit = RateLimitShare::new(self.now));
    }

    fn arrive(&mut self, request: Request, body: Body, actions: &mut Vec<Action>) {
        let expires_in = if request.expires_in.is_finite() { request.expires_in.max(0.0) } else { 0.0 };
        if self.requests.contains_key(&request.id) {
            return;
        }
        if !self.settings.is_valid_request(&request) {
            return actions.push(Action::Reject { request: request.id, retry_after: 0.0 });
        }
        self.open(Request { expires_in, ..request }, body, actions);
        self.expire_customers(actions);
        let elapsed = self.record_arrival(&request, expires_in);
        match self.admit(&request, elapsed) {
            Verdict::Admitted => self.dispatch(request.id, actions),
            Verdict::OverQuota => {
                // Spread out, so that rejected clients do not retry together.
                let periods = RETRY_AFTER_PERIODS * self.settings.meter_period;
                let wait = periods * (0.5 + self.rng.rand_float());
                self.reject(request.id, wait, actions);
            }
            Verdict::NoCapacity => {
                self.rejections.no_capacity += 1;
                self.reject(request.id, self.settings.max_retry_after, actions);
            }
        }
    }

    /// Counts an arrival. Returns how long its client has been trying, as far as a retry's remaining time
    /// shows.
    fn record_arrival(&mut self, request: &Request, expires_in: Millis) -> Millis {
        let bounds = (self.settings.classes[request.class].deadline, self.settings.tick);
        let elapsed =
            self.classes.elapsed_before_retry(request.class, request.is_client_retry, expires_in, bounds);
        if let Some(open) = self.requests.get_mut(&request.id) {
            open.arrived -= elapsed;
        }
        self.classes.record_arrival(request.class, SAMPLE_WEIGHT / 2.0);
        elapsed
    }

    /// Admits a request with the probability that its customer's quota and the servers' capacity leave to its
    /// class: classes of the lowest value are rejected first. One random draw decides for both, so that a
    /// request is over quota or beyond capacity but never counted for both.
    fn admit(&mut self, request: &Request, elapsed: Millis) -> Verdict {
        let class = self.settings.classes[request.class];
        let by_quota = self.quota_probability(request);
        let response = self.classes.response_ms(request.class);
        let capacity = self.capacity_fraction(request.class, class.latency_target);
        // The floor shrinks with the capacity: a fixed part of thousands of retries a second would sustain an
        // overload.
        let by_class = |capacity: f64| {
            let fraction = self.classes.admitted_fraction(by_quota * capacity, request.class);
            fraction.max(MIN_PROBABILITY * capacity)
        };
        let (quota, both, draw) = (by_class(1.0), by_class(capacity), self.rng.rand_float());
        // Guards against a retry past its latency target that takes quota for the value of a late response. A
        // long response time alone is no reason: with nothing sent it would never be measured shorter.
        let is_late = elapsed > 0.0 && elapsed + response > class.latency_target;
        let value = if is_late { class.late_value_fraction.min(1.0) } else { 1.0 };
        if by_quota <= 0.0 || draw >= quota * value {
            Verdict::OverQuota
        } else if draw >= both * value {
            Verdict::NoCapacity
        } else {
            Verdict::Admitted
        }
    }

    /// The fraction of what the quotas admit that there is capacity for. Idle servers always have some.
    fn capacity_fraction(&mut self, class: usize, latency_target: Millis) -> f64 {
        let in_flight = self.balancer.in_flight_within_target(class, self.now);
        let all = self.balancer.in_flight();
        let idle = self.concurrency.idle_allowance(self.now, latency_target, all);
        let is_idle = idle.is_some_and(|idle| self.rng.rand_float() < idle);
        if is_idle {
            1.0
        } else {
            self.concurrency.admitted_fraction(in_flight)
        }
    }

    /// The admission probability that the customer's quota leaves to the request.
    fn quota_probability(&mut self, request: &Request) -> f64 {
        let (now, plan) = (self.now, &self.settings.plans[request.plan]);
        let customer = self.customers.entry(request.customer).or_insert_with(|| {
            Box::new(Customer {
                plan: request.plan,
                seen: now,
                account: Account::new(plan, request.customer_gateways, self.started_at),
                rate_limit: RateLimitShare::new(self.started_at),
                in_flight: 0,
                queue: VecDeque::new(),
            })
        });
        (customer.seen, customer.plan) = (now, request.plan);
        let conditions = Conditions { capacity: self.concurrency.fraction, now };
        self.admission.probability(&mut customer.account, plan, request, conditions)
    }

    /// Adapts the concurrency limit to one response, or one overdue.
    pub(crate) fn adapt(&mut self, class: usize, response: Timeliness) {
        let in_flight = self.balancer.in_flight_within_target(class, self.now);
        self.concurrency.adapt(self.now, self.settings.classes[class].latency_target, in_flight, response);
    }

    /// At each request: forgets those of a few customers that have been idle for long enough that all their
    /// buckets are full. Once a second: logs rejections that are not due to a quota.
    fn expire_customers(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let idle = self.expiry.next_matching(&self.customers, |customer| {
            let refill = self.settings.plans[customer.plan].refill_time().max(MIN_REFILL_MS);
            let is_idle = now >= customer.seen + MAX_IDLE_REFILLS * refill;
            is_idle && customer.in_flight == 0 && customer.queue.is_empty()
        });
        for id in idle {
            remove_and_shrink(&mut self.customers, &id);
        }
        let lines = self.rejections.take_log_lines(now, self.concurrency.fraction);
        actions.extend(lines.into_iter().map(Action::Log));
    }

    /// Chooses the server for the next attempt of a request.
    pub(crate) fn choose(&mut self, request: RequestId) -> Option<ServerId> {
        let open = &self.requests[&request];
        let selection = Selection {
            settings: &self.settings,
            now: self.now,
            mean_response: self.classes.mean_response_ms(),
            retry_safety: open.class.retry_safety,
            ran_at: open.may_have_run().map(|attempt| attempt.to),
            tried: &|id| open.attempts.iter().any(|attempt| attempt.to.id == id),
            retired: self.retired,
        };
        self.balancer.choose(&selection, &mut self.rng)
    }

    /// Learns from the end of an attempt: the capacity, its server's state, and the class's response time.
    pub(crate) fn record_outcome(&mut self, id: ServerId, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let open = &self.requests[&end.request];
        let (class, was_overdue) = (open.request.class, open.attempts[usize::from(end.attempt)].overdue);
        let means = MeanResponse {
            overall: self.classes.mean_response_ms(),
            class: self.classes.response_ms(class).max(1.0),
        };
        let aim = self.settings.classes[class].latency_target;
        match end.outcome {
            _ if !self.balancer.is_representative(id) => {}
            // An attempt that was overdue has counted as late; past its latency target it does so again.
            Outcome::Ok | Outcome::Overloaded | Outcome::TimedOut
                if !was_overdue || end.elapsed_ms() > aim =>
            {
                if end.outcome == Outcome::Overloaded {
                    self.concurrency.server_full_at = self.now;
                }
                let is_timely = end.outcome == Outcome::Ok
                    && end.elapsed_ms() <= self.settings.tuning.late_after_fraction * aim;
                self.adapt(class, if is_timely { Timeliness::Timely } else { Timeliness::Late });
            }
            _ => {}
        }
        actions.extend(self.balancer.record_outcome(self.now, id, end, means).map(Action::Log));
        if end.outcome == Outcome::Ok {
            self.classes.record_response(class, end.elapsed_ms(), SAMPLE_WEIGHT / 5.0);
        }
    }

    /// Applies the server list or changes to it.
    fn apply_server_list(&mut self, kind: ListKind, entries: Vec<ServerEntry>, actions: &mut Vec<Action>) {
        match kind {
            _ if !self.settings.list_on_request => {}
            ListKind::Cached => actions.push(Action::WatchServers),
            ListKind::Failed => {
                actions.push(Action::SetTimer { at: self.now + LIST_RETRY_MS, token: LIST_TIMER });
            }
            _ => {}
        }
        if kind != ListKind::Failed {
            self.balancer.apply_list(&self.settings, self.now, (kind, entries), &mut self.rng);
            self.concurrency.set_servers(self.balancer.ready(), self.settings.gateways);
        }
    }
}
