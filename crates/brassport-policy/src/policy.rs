//! The gateway state machine: handles events, and admits requests by customer quota and server capacity.

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

// The constants that affect decisions on requests are dimensionless; times and rates come from the settings.

/// Mean retry-after time of a rejection over quota, in meter periods.
const RETRY_AFTER_PERIODS: f64 = 0.3;
/// A customer is removed after it has been idle for this many refill times of its token buckets.
const MAX_IDLE_REFILLS: f64 = 20.0;
/// Lower bound of the refill time of a customer's token buckets, in milliseconds.
const MIN_REFILL_MS: Millis = 1000.0;
/// Number of customers that each request checks for idleness.
const CUSTOMERS_CHECKED_PER_REQUEST: usize = 4;
/// Weight of a sample in moving averages over requests and responses: about the last 20 samples count.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Delay before a failed request for the server list is repeated, in milliseconds.
const LIST_RETRY_MS: Millis = 1000.0;
/// Token of the timer for the server list. `request_lifecycle.rs` has the tokens of request timers.
const LIST_TIMER: u64 = 2;

/// State of one customer.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Customer {
    pub plan: usize,
    #[serde(rename = "seen")]
    last_seen: Millis,
    pub account: Account,
    /// This gateway's share of the customer's rate limit.
    #[serde(rename = "ceiling")]
    pub rate_limit: RateLimitShare,
    /// Number of the customer's attempts in flight.
    #[serde(rename = "open")]
    pub in_flight: u32,
    /// Requests that wait until one of these attempts ends.
    #[serde(rename = "held")]
    pub queue: VecDeque<RequestId>,
}

/// Decision logic of one gateway: a state machine that handles [`Event`]s and returns [`Action`]s.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) settings: Settings,
    rng: Rand64,
    /// When the gateway started to observe arrivals and to fill rate limits.
    pub(crate) started_at: Millis,
    pub(crate) now: Millis,
    pub(crate) customers: UntrustedKeyMap<CustomerId, Box<Customer>>,
    pub(crate) admission: QuotaAdmission,
    expiry: CyclicCursor<CUSTOMERS_CHECKED_PER_REQUEST>,
    pub(crate) rejections: RejectionCounts,
    pub(crate) requests: TrustedKeyMap<RequestId, OpenRequest>,
    pub(crate) balancer: LoadBalancer,
    pub(crate) classes: ClassStatistics,
    pub(crate) concurrency: ConcurrencyLimit,
    /// Number of retries that the retry budget allows at present.
    pub(crate) retry_budget: f64,
    /// Whether another gateway has replaced this one, and alone spends the rate limits and the turns of
    /// servers in warm-up.
    pub(crate) retired: bool,
}

/// Result of admission control for one request.
enum Admission {
    Admitted,
    OverQuota,
    NoCapacity,
}

/// Value and assumed response time of each class, before any response was measured.
fn class_priors(settings: &Settings) -> impl Iterator<Item = ClassPrior> + Clone + '_ {
    let prior = |class: &Class| ClassPrior {
        value: class.value,
        response_ms: class.latency_target / (2.0 * SLOW_ATTEMPT),
    };
    settings.classes.iter().map(prior)
}

impl Gateway {
    /// Creates a gateway that starts at `now` with an empty server list. `seed` determines all its random
    /// draws.
    ///
    /// # Errors
    /// Returns the first setting that is out of range.
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

    /// Handles one event at time `now`, and appends the actions that the host must execute, in order. If
    /// `now` is before the time of an earlier event, that time is used instead.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Request(request) => self.handle_arrival(request, Body::Complete, actions),
            Event::Upload(request) => self.handle_arrival(request, Body::Uploading, actions),
            Event::UploadComplete(request) => self.upload_complete(request, actions),
            Event::AttemptEnd(end) => self.attempt_ended(end, actions),
            Event::ResponseStarted(request) => self.close(request),
            Event::ClientDisconnected(request) => self.client_disconnected(request, actions),
            Event::Timer(token) if token % 4 == LIST_TIMER => actions.push(Action::WatchServers),
            Event::Timer(token) => self.handle_timer(token, actions),
            Event::Servers { kind, entries } => self.apply_server_list(kind, entries, actions),
            Event::Settings(settings) => self.reconfigure(*settings),
            Event::ApplyHandover { state, in_flight } => {
                actions.extend(self.take_over(&state, &in_flight).map(Action::Log));
            }
            Event::PredecessorAttemptEnded(customer) => self.release_slot(customer, actions),
            Event::Retire => self.retired = true,
            Event::Resume => self.resume(),
        }
    }

    /// Applies new settings, unless they are out of range or remove a class or plan. Statistics are kept.
    fn reconfigure(&mut self, settings: Settings) {
        if !settings.can_replace(&self.settings) {
            return;
        }
        self.classes.reconfigure(class_priors(&settings));
        self.admission.reconfigure(&settings);
        self.balancer.reconfigure(&settings);
        self.settings = settings;
    }

    /// Resumes after a failed replacement. What the other gateway spent is unknown, so the rate limits start
    /// empty.
    fn resume(&mut self) {
        (self.retired, self.started_at) = (false, self.now);
        let customers = self.customers.values_mut();
        customers.for_each(|customer| customer.rate_limit = RateLimitShare::new(self.now));
    }

    /// Handles the arrival of a request: admits and dispatches it, or rejects it.
    fn handle_arrival(&mut self, request: Request, body: Body, actions: &mut Vec<Action>) {
        let expires_in = if request.expires_in.is_finite() { request.expires_in.max(0.0) } else { 0.0 };
        if self.requests.contains_key(&request.id) {
            return;
        }
        if !self.settings.is_valid_request(&request) {
            return actions.push(Action::Reject { request: request.id, retry_after: 0.0 });
        }
        self.open_request(Request { expires_in, ..request }, body, actions);
        self.expire_customers(actions);
        let elapsed = self.record_arrival(&request, expires_in);
        match self.admit(&request, elapsed) {
            Admission::Admitted => self.dispatch(request.id, actions),
            Admission::OverQuota => {
                // Jitter, so that rejected clients do not retry at the same time.
                let periods = RETRY_AFTER_PERIODS * self.settings.meter_period;
                let wait = periods * (0.5 + self.rng.rand_float());
                self.reject(request.id, wait, actions);
            }
            Admission::NoCapacity => {
                self.rejections.no_capacity += 1;
                self.reject(request.id, self.settings.max_retry_after, actions);
            }
        }
    }

    /// Records an arrival. Returns the time since the client's first attempt, in milliseconds, as estimated
    /// from the remaining time of a client retry; 0 for a first attempt.
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

    /// Admits a request with a probability that depends on its customer's quota, the servers' capacity and
    /// its class: classes of the lowest value are rejected first. One random draw decides on quota and
    /// capacity, so that a rejection counts for one of them only.
    fn admit(&mut self, request: &Request, elapsed: Millis) -> Admission {
        let class = self.settings.classes[request.class];
        let by_quota = self.quota_probability(request);
        let response = self.classes.response_ms(request.class);
        let capacity = self.capacity_fraction(request.class, class.latency_target);
        // The minimum probability is scaled with the capacity: a fixed fraction of thousands of retries per
        // second would sustain an overload.
        let by_class = |capacity: f64| {
            let fraction = self.classes.admitted_fraction(by_quota * capacity, request.class);
            fraction.max(MIN_PROBABILITY * capacity)
        };
        let (quota, both, draw) = (by_class(1.0), by_class(capacity), self.rng.rand_float());
        // A client retry that can only get a late response has the value of a late response, and must not
        // spend the quota at full value. A long mean response time alone does not count as late: if nothing
        // were sent, no shorter response time would ever be measured.
        let is_late = elapsed > 0.0 && elapsed + response > class.latency_target;
        let value = if is_late { class.late_value_fraction.min(1.0) } else { 1.0 };
        if by_quota <= 0.0 || draw >= quota * value {
            Admission::OverQuota
        } else if draw >= both * value {
            Admission::NoCapacity
        } else {
            Admission::Admitted
        }
    }

    /// Fraction of the requests within quota that the servers have capacity for, 0 to 1. It is 1 while
    /// servers are idle, even if the concurrency limit is reached.
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

    /// Admission probability of the request by its customer's quota, over all classes.
    fn quota_probability(&mut self, request: &Request) -> f64 {
        let (now, plan) = (self.now, &self.settings.plans[request.plan]);
        let customer = self.customers.entry(request.customer).or_insert_with(|| {
            Box::new(Customer {
                plan: request.plan,
                last_seen: now,
                account: Account::new(plan, request.customer_gateways, self.started_at),
                rate_limit: RateLimitShare::new(self.started_at),
                in_flight: 0,
                queue: VecDeque::new(),
            })
        });
        (customer.last_seen, customer.plan) = (now, request.plan);
        let conditions = Conditions { capacity: self.concurrency.fraction, now };
        self.admission.probability(&mut customer.account, plan, request, conditions)
    }

    /// Adapts the concurrency limit to a response, or to an attempt whose response is overdue.
    pub(crate) fn adapt(&mut self, class: usize, response: Timeliness) {
        let in_flight = self.balancer.in_flight_within_target(class, self.now);
        self.concurrency.adapt(self.now, self.settings.classes[class].latency_target, in_flight, response);
    }

    /// Checks a few customers, and removes those that have been idle until all their token buckets are full.
    /// Also logs, at most once per second, the rejections that are not due to a quota.
    fn expire_customers(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let idle = self.expiry.next_matching(&self.customers, |customer| {
            let refill = self.settings.plans[customer.plan].refill_time().max(MIN_REFILL_MS);
            let is_idle = now >= customer.last_seen + MAX_IDLE_REFILLS * refill;
            is_idle && customer.in_flight == 0 && customer.queue.is_empty()
        });
        for id in idle {
            remove_and_shrink(&mut self.customers, &id);
        }
        let lines = self.rejections.take_log_lines(now, self.concurrency.fraction);
        actions.extend(lines.into_iter().map(Action::Log));
    }

    /// Chooses the server for the next attempt of a request; `None` if no server is available.
    pub(crate) fn choose(&mut self, request: RequestId) -> Option<ServerId> {
        let open = &self.requests[&request];
        let selection = Selection {
            settings: &self.settings,
            now: self.now,
            mean_response: self.classes.mean_response_ms(),
            retry_safety: open.class.retry_safety,
            ran_at: open.first_possible_run().map(|attempt| attempt.server),
            tried: &|id| open.attempts.iter().any(|attempt| attempt.server.id == id),
            retired: self.retired,
        };
        self.balancer.choose(&selection, &mut self.rng)
    }

    /// Updates the statistics with the end of an attempt: the concurrency limit, the server's state, and the
    /// class's response time.
    pub(crate) fn record_outcome(&mut self, id: ServerId, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let open = &self.requests[&end.request];
        let (class, was_overdue) = (open.request.class, open.attempts[usize::from(end.attempt)].overdue);
        let means = MeanResponse {
            overall: self.classes.mean_response_ms(),
            class: self.classes.response_ms(class).max(1.0),
        };
        let latency_target = self.settings.classes[class].latency_target;
        match end.outcome {
            // The response times of the server do not reflect the fleet's capacity, so they must not affect
            // the limit.
            _ if !self.balancer.is_representative(id) => {}
            // An attempt that became overdue while in flight has already counted as late. It counts a second
            // time only if it ended after the latency target.
            Outcome::Ok | Outcome::Overloaded | Outcome::TimedOut
                if !was_overdue || end.elapsed_ms() > latency_target =>
            {
                if end.outcome == Outcome::Overloaded {
                    self.concurrency.server_overloaded_at = self.now;
                }
                let is_timely = end.outcome == Outcome::Ok
                    && end.elapsed_ms() <= self.settings.tuning.late_after_fraction * latency_target;
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
