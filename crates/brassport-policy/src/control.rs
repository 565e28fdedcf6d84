//! The gateway: its events, and what the other files decide put together, in the terms of `interface.rs`.

use crate::admission::{Account, Admission, CHANCE_FLOOR};
use crate::ceilings::Ceiling;
use crate::choice::{Fleet, Wanted};
use crate::interface::*;
use crate::life::{Open, PATIENCE};
use crate::room::Room;
use brassport_policy_stats::{
    remove_and_shrink, ClassPrior, ClassStatistics, CyclicCursor, RejectionCounts, TrustedKeyMap,
    UntrustedKeyMap,
};
use oorandom::Rand64;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

// All constants of the decisions are dimensionless; times and rates come from the settings.

/// Part of a meter period, on average, after which one whom the coin refused ought to try again.
const COME_BACK: f64 = 0.3;
/// A customer idle for so many times its burst's filling time is forgotten.
const IDLE_FILLS: f64 = 20.0;
/// Customers that are looked at for that at each request.
const SWEEP: usize = 4;
/// Weight of a new sample in averages over requests and answers: about the last 20 of them.
const SAMPLE: f64 = 0.1;
/// The timer's token for another look at the server list; those of requests are in `life.rs`.
const LIST: u64 = 2;

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Customer {
    pub plan: usize,
    seen: Millis,
    pub account: Account,
    /// This gateway's share of the ceiling's store.
    pub ceiling: Ceiling,
    /// Attempts out, and requests that wait for one of them to end.
    pub open: u32,
    pub held: VecDeque<RequestId>,
}

/// The decisions of one gateway.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) settings: Settings,
    rng: Rand64,
    pub(crate) born: Millis,
    pub(crate) now: Millis,
    pub(crate) customers: UntrustedKeyMap<CustomerId, Box<Customer>>,
    pub(crate) admission: Admission,
    sweep: CyclicCursor<SWEEP>,
    pub(crate) tally: RejectionCounts,
    pub(crate) requests: TrustedKeyMap<RequestId, Open>,
    pub(crate) fleet: Fleet,
    /// Recent share of each class in the offered requests, and its answers' mean time.
    pub(crate) kinds: ClassStatistics,
    pub(crate) room: Room,
    pub(crate) retry_budget: f64,
    /// Whether another gateway has taken this one's place: its ceilings and cold turns are that one's.
    pub(crate) retired: bool,
}

/// The worth of each class, and the time that an answer to it is taken to need before there was one.
fn kinds(settings: &Settings) -> impl Iterator<Item = ClassPrior> + Clone + '_ {
    settings
        .classes
        .iter()
        .map(|class| ClassPrior { value: class.worth, response_ms: class.aim / (2.0 * PATIENCE) })
}

impl Gateway {
    /// A gateway that starts at `now` with an empty server list.
    ///
    /// # Errors
    /// Names the first setting that makes no sense.
    pub fn new(settings: Settings, seed: u64, now: Millis) -> Result<Gateway, InvalidSetting> {
        settings.validate()?;
        Ok(Gateway {
            rng: Rand64::new(u128::from(seed)),
            born: now,
            now,
            customers: UntrustedKeyMap::default(),
            admission: Admission::new(&settings),
            sweep: CyclicCursor::default(),
            tally: RejectionCounts::new(now),
            requests: TrustedKeyMap::default(),
            fleet: Fleet::new(&settings.classes),
            kinds: ClassStatistics::new(kinds(&settings)),
            room: Room::new(now, settings.tuning.start),
            retry_budget: 1.0,
            retired: false,
            settings,
        })
    }

    /// Takes one event and appends what is to be done, in order.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Request(request) => self.arrive(request, false, actions),
            Event::Upload(request) => self.arrive(request, true, actions),
            Event::Whole(request) => self.whole(request, actions),
            Event::AttemptEnd(end) => self.attempt_ended(end, actions),
            Event::Started(request) => self.close(request),
            Event::ClientGone(request) => self.abandon(request, actions),
            Event::Timer(token) if token % 4 == LIST => actions.push(Action::FollowServers),
            Event::Timer(token) => self.timer(token, actions),
            Event::Servers { kind, entries } => self.roster(kind, entries, actions),
            Event::Settings(settings) if settings.go_on_from(&self.settings) => self.settle(*settings),
            Event::Settings(_) => {}
            Event::Inherit { learned, out } => actions.extend(self.inherit(&learned, &out).map(Action::Log)),
            Event::Released(customer) => self.release(customer, actions),
            Event::HandOver => self.retired = true,
            // What the other has spent meanwhile is not known: the ceilings fill from now on.
            Event::TakeBack => {
                (self.retired, self.born) = (false, self.now);
                self.customers.values_mut().for_each(|customer| customer.ceiling = Ceiling::new(self.now));
            }
        }
    }

    /// Goes on under other settings: what was learned of classes, plans, customers and servers stays.
    fn settle(&mut self, settings: Settings) {
        self.kinds.reconfigure(kinds(&settings));
        self.admission.settle(&settings);
        self.fleet.settle(&settings);
        self.settings = settings;
    }

    fn arrive(&mut self, request: Request, uploading: bool, actions: &mut Vec<Action>) {
        let expires_in = if request.expires_in.is_finite() { request.expires_in.max(0.0) } else { 0.0 };
        if self.requests.contains_key(&request.id) {
            return;
        }
        if !self.settings.know(&request) {
            return actions.push(Action::Refuse { request: request.id, retry_after: 0.0 });
        }
        self.open(Request { expires_in, ..request }, uploading, actions);
        self.sweep(actions);
        let class = self.settings.classes[request.class];
        // A further try with less time left than first tries get shows how long its client has been trying.
        let bounds = (class.deadline, self.settings.tick);
        let waited = self.kinds.elapsed_before_retry(request.class, request.repeat, expires_in, bounds);
        if let Some(open) = self.requests.get_mut(&request.id) {
            open.arrived -= waited;
        }
        self.kinds.record_arrival(request.class, SAMPLE / 2.0);
        let share = self.quota(&request);
        let (answer, flight) =
            (self.kinds.response_ms(request.class), self.fleet.young(request.class, self.now));
        let idle = self.room.idle(self.now, class.aim, self.fleet.in_hand());
        let is_idle = idle.is_some_and(|idle| self.rng.rand_float() < idle);
        let open = if is_idle { 1.0 } else { self.room.open(flight) };
        // The floor shrinks with the room: of thousands of retries a second, a fixed part would feed a jam.
        let chance =
            |open: f64| self.kinds.admitted_fraction(share * open, request.class).max(CHANCE_FLOOR * open);
        let (quota, room, coin) = (chance(1.0), chance(open), self.rng.rand_float());
        // Guards against a further try past its aim that takes quota for the worth of a late answer. A long
        // answer time alone is no ground: with nothing sent none would shorten it again.
        let late = if waited > 0.0 && waited + answer > class.aim { class.late_share.min(1.0) } else { 1.0 };
        if share <= 0.0 || coin >= quota * late {
            let wait = COME_BACK * self.settings.meter_period * (0.5 + self.rng.rand_float());
            self.refuse(request.id, wait, actions);
        } else if coin >= room * late {
            self.tally.no_capacity += 1;
            self.refuse(request.id, self.settings.max_retry_after, actions);
        } else {
            self.dispatch(request.id, actions);
        }
    }

    /// The chance that the customer's quota leaves to the request.
    fn quota(&mut self, request: &Request) -> f64 {
        let (now, plan) = (self.now, &self.settings.plans[request.plan]);
        let customer = self.customers.entry(request.customer).or_insert_with(|| {
            Box::new(Customer {
                plan: request.plan,
                seen: now,
                account: Account::new(plan, request.spread, self.born),
                ceiling: Ceiling::new(self.born),
                open: 0,
                held: VecDeque::new(),
            })
        });
        (customer.seen, customer.plan) = (now, request.plan);
        self.admission.chance(&mut customer.account, plan, request, (self.room.part, now))
    }

    /// Takes in one answer, or one overdue.
    pub(crate) fn adapt(&mut self, class: usize, timely: bool) {
        let young = self.fleet.young(class, self.now);
        self.room.adapt(self.now, self.settings.classes[class].aim, young, timely);
    }

    /// At each request: forgets those of a few customers that have been idle long enough for every store of
    /// theirs to be full again. Once a second: reports refusals that are not the coin's.
    fn sweep(&mut self, actions: &mut Vec<Action>) {
        let now = self.now;
        let idle = self.sweep.next_matching(&self.customers, |customer| {
            let full = self.settings.plans[customer.plan].filling().max(1000.0);
            now >= customer.seen + IDLE_FILLS * full && customer.open == 0 && customer.held.is_empty()
        });
        for id in idle {
            remove_and_shrink(&mut self.customers, &id);
        }
        actions.extend(self.tally.report(now, self.room.part).into_iter().map(Action::Log));
    }

    /// Picks the server with the least expected wait, as far as own work and answers tell.
    pub(crate) fn choose(&mut self, request: RequestId) -> Option<ServerId> {
        let (settings, now, mean) = (&self.settings, self.now, self.kinds.mean_response_ms());
        let open = &self.requests[&request];
        let wanted = Wanted {
            settings,
            now,
            mean,
            effect: open.class.effect,
            home: open.ran().map(|attempt| attempt.to),
            tried: &|id| open.attempts.iter().any(|attempt| attempt.to.id == id),
            retired: self.retired,
        };
        self.fleet.choose(&wanted, &mut self.rng)
    }

    /// Learns from the end of an attempt. One that was overdue has counted: past its aim it does so again.
    pub(crate) fn judge(&mut self, id: ServerId, end: &AttemptEnd, actions: &mut Vec<Action>) {
        let open = &self.requests[&end.request];
        let (class, counted) = (open.request.class, open.attempts[usize::from(end.attempt)].overdue);
        let (mean, aim) = (self.kinds.response_ms(class).max(1.0), self.settings.classes[class].aim);
        match end.outcome {
            _ if !self.fleet.is_telling(id) => {}
            Outcome::Ok | Outcome::Full | Outcome::TimedOut if !counted || end.time() > aim => {
                self.room.full_at = if end.outcome == Outcome::Full { self.now } else { self.room.full_at };
                self.adapt(
                    class,
                    end.outcome == Outcome::Ok && end.time() <= self.settings.tuning.late * aim,
                );
            }
            _ => {}
        }
        let means = (self.kinds.mean_response_ms(), mean);
        actions.extend(self.fleet.judge(self.now, id, end, means).map(Action::Log));
        if end.outcome == Outcome::Ok {
            self.kinds.record_response(class, end.time(), SAMPLE / 5.0);
        }
    }

    /// Follows the server list. A server that drains or is gone gets nothing from this moment on.
    fn roster(&mut self, kind: ListKind, entries: Vec<ServerEntry>, actions: &mut Vec<Action>) {
        match kind {
            _ if !self.settings.list_on_request => {}
            ListKind::Cached => actions.push(Action::FollowServers),
            ListKind::Failed => actions.push(Action::Timer { at: self.now + 1000.0, token: LIST }),
            _ => {}
        }
        if kind != ListKind::Failed {
            self.fleet.list(&self.settings, self.now, (kind, entries), &mut self.rng);
            self.room.ready(self.fleet.ready(), self.settings.gateways);
        }
    }
}
