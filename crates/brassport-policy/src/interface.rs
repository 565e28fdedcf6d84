//! The interface of the decision module: settings, events, actions and outcomes. It decides nothing.

use serde::{Deserialize, Serialize};
use std::fmt;

/// A moment of the host's monotonic clock, or a span of it, in milliseconds.
pub type Millis = f64;
/// Names a request; never repeated, and below 2^62.
pub type RequestId = u64;
/// Names a server; the same at every gateway, without meaning otherwise.
pub type ServerId = u32;
/// Names a customer.
pub type CustomerId = u64;

/// Which servers drop a repeat of a keyed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Scope {
    /// Every server.
    All,
    /// The servers of one zone.
    Zone,
    /// The servers of one cell.
    Cell,
}

/// What a second run of a request does.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum Effect {
    /// Safe to repeat.
    Free,
    /// Carries a key: servers of `scope` drop repeats for `window` after the first attempt that may have run.
    Keyed {
        /// Where repeats are dropped.
        scope: Scope,
        /// For how long.
        window: Millis,
    },
    /// Must never run twice.
    Once,
}

/// A class of requests.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Class {
    /// Worth of one request.
    pub worth: f64,
    /// Answers within this earn the full worth.
    pub aim: Millis,
    /// The client's total wait over all its tries.
    pub deadline: Millis,
    /// Share of the worth that an answer past the aim still earns.
    pub late_share: f64,
    /// What a repeat does.
    pub effect: Effect,
}

/// A plan; its quota holds for each customer over all gateways together.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Plan {
    /// Quota, units a second; 0: none.
    pub rate: f64,
    /// Burst, units.
    pub burst: f64,
    /// Attempts of one customer out at once; 0: no such quota.
    pub open: u32,
    /// Factor on the worth.
    pub price: f64,
    /// Share of its worth that a request served beyond the quota earns.
    pub over_worth: f64,
    /// Share of its worth that a try sent on beyond the quota costs.
    pub over_cost: f64,
    /// Hard ceiling, units a second; 0: none.
    pub ceiling_rate: f64,
    /// Size of the ceiling's store, units.
    pub ceiling_burst: f64,
    /// Units by which that store may be overdrawn.
    pub ceiling_slack: f64,
}

impl Plan {
    /// Time in which every store of a customer fills.
    pub fn filling(&self) -> Millis {
        let fill = |burst: f64, rate: f64| if rate > 0.0 { burst / rate * 1000.0 } else { 0.0 };
        fill(self.burst, self.rate).max(fill(self.ceiling_burst, self.ceiling_rate))
    }
}

/// What a gateway is told at its start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// Number of gateways.
    pub gateways: u32,
    /// Which of them this gateway is, from 0.
    pub ordinal: u32,
    /// Zone of this gateway.
    pub zone: u16,
    /// Classes, by index.
    pub classes: Vec<Class>,
    /// Plans, by index.
    pub plans: Vec<Plan>,
    /// Most units one request counts.
    pub max_units: f64,
    /// Period over which the meter sums use; 0: no meter.
    pub meter_period: Millis,
    /// Most attempts a request may have.
    pub max_attempts: u32,
    /// Whether two attempts of one request may be out at once.
    pub may_duplicate: bool,
    /// Whether attempts may be cancelled.
    pub may_cancel: bool,
    /// Longest advice on waiting that a client honours; 0: advice is not passed on.
    pub max_retry_after: Millis,
    /// Sends to a draining or gone server must stop within this.
    pub drain_grace: Millis,
    /// A server starts at this share of its capacity or above.
    pub cold_from: f64,
    /// A server is warm no later than this after its start.
    pub cold_for: Millis,
    /// A cold server sent more than this multiple of its present capacity ...
    pub tip_multiple: f64,
    /// ... for this long collapses.
    pub tip_after: Millis,
    /// Spacing between two calls of the host.
    pub tick: Millis,
    /// Whether the server list comes only to gateways that ask for it.
    pub list_on_request: bool,
    /// What a site's own ways ask for; most have no need of it.
    #[serde(default)]
    pub tuning: Tuning,
}

/// Figures of the decisions that hang on what a site's links cost and how its work takes time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Tuning {
    /// A server of another zone weighs so many times its wait; 1: zones are alike.
    pub far: f64,
    /// An answer that took more than this part of the wanted time, or is out for longer, is late: work queues. Between
    /// what work takes on an idle server and 1.
    pub late: f64,
    /// Part of what the quotas admit that a new gateway has room for, until answers tell.
    pub start: f64,
    /// Further attempts for each first one: the retry budget.
    pub retry_share: f64,
    /// Most further attempts that are saved up, beside one for each server.
    pub retries: f64,
    /// Whether an attempt whose server is silent is given up for one at another, while its client waits.
    #[serde(default = "yes")]
    pub replaces_silent: bool,
}

fn yes() -> bool {
    true
}

impl Default for Tuning {
    /// Zones are nearly alike, work takes a small part of the wanted time, and hundreds may be born at once, of which none
    /// knows of the others.
    fn default() -> Self {
        Tuning {
            far: 1.1,
            late: 0.35,
            start: 0.5,
            retry_share: 0.15,
            retries: MOST_FIGURE,
            replaces_silent: true,
        }
    }
}

impl Default for Settings {
    /// One gateway, no classes, no plans, nothing allowed but a single attempt.
    fn default() -> Self {
        Settings {
            gateways: 1,
            ordinal: 0,
            zone: 0,
            classes: Vec::new(),
            plans: Vec::new(),
            max_units: 1.0,
            meter_period: 0.0,
            max_attempts: 1,
            may_duplicate: false,
            may_cancel: false,
            max_retry_after: 0.0,
            drain_grace: 0.0,
            cold_from: 1.0,
            cold_for: 0.0,
            tip_multiple: 1.0,
            tip_after: 0.0,
            tick: 1.0,
            list_on_request: false,
            tuning: Tuning::default(),
        }
    }
}

/// A setting that makes no sense.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidSetting {
    /// The field, as `plans[2].rate`.
    pub field: String,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl fmt::Display for InvalidSetting {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "setting {}: {}", self.field, self.problem)
    }
}

impl std::error::Error for InvalidSetting {}

/// No time, rate or worth is greater, and sums of such numbers stay exact enough.
const MOST_FIGURE: f64 = 1e12;

impl Settings {
    /// Whether a request is of a class and a plan that there is, and for units that make sense.
    pub fn know(&self, request: &Request) -> bool {
        let known = request.class < self.classes.len() && request.plan < self.plans.len();
        known && request.units.is_finite() && request.units >= 0.0
    }

    /// Whether a gateway can go on under these after the others: they make sense and are short of no class or plan.
    pub fn go_on_from(&self, others: &Settings) -> bool {
        let keeps = self.classes.len() >= others.classes.len() && self.plans.len() >= others.plans.len();
        keeps && self.validate().is_ok()
    }

    /// Checks every figure for sense.
    ///
    /// # Errors
    /// Names the first field that is out of its range.
    pub fn validate(&self) -> Result<(), InvalidSetting> {
        let wrong = |field: String, problem| Err(InvalidSetting { field, problem });
        if self.gateways == 0 {
            return wrong("gateways".into(), "must be at least 1");
        }
        if self.max_attempts == 0 {
            return wrong("max_attempts".into(), "must be at least 1");
        }
        let mut figures = vec![
            ("max_units".into(), self.max_units, true),
            ("meter_period".into(), self.meter_period, false),
            ("max_retry_after".into(), self.max_retry_after, false),
            ("drain_grace".into(), self.drain_grace, false),
            ("cold_from".into(), self.cold_from, false),
            ("cold_for".into(), self.cold_for, false),
            ("tip_multiple".into(), self.tip_multiple, false),
            ("tip_after".into(), self.tip_after, false),
            ("tick".into(), self.tick, false),
            ("tuning.far".into(), self.tuning.far, true),
            ("tuning.late".into(), self.tuning.late, true),
            ("tuning.start".into(), self.tuning.start, true),
            ("tuning.retry_share".into(), self.tuning.retry_share, false),
            ("tuning.retries".into(), self.tuning.retries, false),
        ];
        for (i, class) in self.classes.iter().enumerate() {
            figures.push((format!("classes[{i}].worth"), class.worth, false));
            figures.push((format!("classes[{i}].aim"), class.aim, true));
            figures.push((format!("classes[{i}].deadline"), class.deadline, true));
            figures.push((format!("classes[{i}].late_share"), class.late_share, false));
            if let Effect::Keyed { window, .. } = class.effect {
                figures.push((format!("classes[{i}].effect.window"), window, false));
            }
        }
        for (i, plan) in self.plans.iter().enumerate() {
            figures.push((format!("plans[{i}].rate"), plan.rate, false));
            figures.push((format!("plans[{i}].burst"), plan.burst, plan.rate > 0.0));
            figures.push((format!("plans[{i}].price"), plan.price, false));
            figures.push((format!("plans[{i}].over_worth"), plan.over_worth, false));
            figures.push((format!("plans[{i}].over_cost"), plan.over_cost, false));
            figures.push((format!("plans[{i}].ceiling_rate"), plan.ceiling_rate, false));
            figures.push((format!("plans[{i}].ceiling_burst"), plan.ceiling_burst, false));
            figures.push((format!("plans[{i}].ceiling_slack"), plan.ceiling_slack, false));
        }
        for (field, value, above_zero) in figures {
            if !(0.0..=MOST_FIGURE).contains(&value) {
                return wrong(field, "must be a finite number, not below 0, and 1e12 at the most");
            }
            if above_zero && value == 0.0 {
                return wrong(field, "must be above 0");
            }
        }
        Ok(())
    }
}

impl Settings {
    /// Share of its full capacity that a server has so long after its start.
    pub(crate) fn warmth(&self, age: Millis) -> f64 {
        let ramp = if self.cold_for > 0.0 { (age / self.cold_for).clamp(0.0, 1.0) } else { 1.0 };
        self.cold_from + (1.0 - self.cold_from) * ramp
    }
}

/// State of a server as the list tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// Takes requests.
    Ready,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// One line of the server list.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The server.
    pub id: ServerId,
    /// Its zone.
    pub zone: u16,
    /// Its cell: servers that share which keys they have seen.
    pub cell: u16,
    /// Its size against the others'.
    pub share: f64,
    /// Its state.
    pub lifecycle: Lifecycle,
    /// Its latest start, if not long past.
    pub launched: Option<Millis>,
}

impl ServerEntry {
    /// Its size against others'; one that is not told is like most.
    pub fn size(&self) -> f64 {
        if self.share > 0.0 {
            self.share
        } else {
            1.0
        }
    }
}

/// What a server list is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines only.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as this gateway last held it, perhaps stale.
    Cached,
    /// A call for the list failed; the list held stays.
    Failed,
}

/// A client's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Its name.
    pub id: RequestId,
    /// Its customer.
    pub customer: CustomerId,
    /// The customer's plan, by index.
    pub plan: usize,
    /// Its class, by index.
    pub class: usize,
    /// Units it takes from the quota.
    pub units: f64,
    /// Number of gateways through which this customer's requests may come.
    pub spread: u32,
    /// The first of these gateways, by ordinal; the others follow it, round.
    pub first: u32,
    /// Time left before the client gives this try up.
    pub expires_in: Millis,
    /// Whether the client marked it as a further try of its own; false where clients mark nothing.
    pub repeat: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The server returned an error; it may have run.
    Error,
    /// Turned away unseen.
    Full,
    /// No answer in time; it may have run, or run still.
    TimedOut,
    /// No connection; it never ran.
    NoConnection,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether the outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::NoConnection | Outcome::Moot)
    }
}

/// The end of one attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptEnd {
    /// The request.
    pub request: RequestId,
    /// Which of its attempts, counted from 0 in the order of their sends.
    pub attempt: u8,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was sent.
    pub elapsed: Millis,
    /// Whether the request is finished, by this outcome or before.
    pub finished: bool,
    /// The customer's use over all gateways in the meter's last finished period, as a share of its rate.
    pub used: Option<f64>,
}

impl AttemptEnd {
    /// Time from the send to the end; a number that makes no sense is none.
    pub fn time(&self) -> Millis {
        if self.elapsed.is_finite() {
            self.elapsed.max(0.0)
        } else {
            0.0
        }
    }
}

/// What happens to a gateway.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The server list, or changes to it.
    Servers {
        /// What it is.
        kind: ListKind,
        /// Its lines.
        entries: Vec<ServerEntry>,
    },
    /// A request came in; exactly one final answer is owed.
    Request(Request),
    /// A request came in whose body is still coming, and is sent on as it comes: it has one attempt.
    Upload(Request),
    /// All of such a request has come and gone on: its time begins.
    Whole(RequestId),
    /// An attempt ended.
    AttemptEnd(AttemptEnd),
    /// A streamed answer began; the attempt is the client's from here.
    Started(RequestId),
    /// The client left; no answer is owed any more.
    ClientGone(RequestId),
    /// A timer that this gateway set.
    Timer(u64),
    /// Other settings hold from now on. A class or plan keeps its index; there may be more of them, and not fewer.
    Settings(Box<Settings>),
    /// Go on in the place of another gateway under the same settings, before any request came.
    Inherit {
        /// What that one had learned: [`Gateway::heritage`](crate::Gateway::heritage).
        learned: String,
        /// Customers of attempts that are still out there, each once for every such attempt.
        out: Vec<CustomerId>,
    },
    /// An attempt of this customer that was out where this gateway inherits from has ended.
    Released(CustomerId),
    /// Another gateway goes on in this one's place: from here on ceilings and turns of cold servers are spent there.
    HandOver,
    /// It does not: they are this gateway's again.
    TakeBack,
}

/// What a gateway asks of its host.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of the request to the server.
    Send {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// When to give the attempt up; `None`: when the client does.
        expire_at: Option<Millis>,
    },
    /// Final answer: refused; trying again is harmless.
    Refuse {
        /// The request.
        request: RequestId,
        /// How long the client ought to wait; 0: no advice.
        retry_after: Millis,
    },
    /// Final answer: failed; nothing is promised.
    Fail(RequestId),
    /// Stop waiting on an attempt.
    Cancel {
        /// The request.
        request: RequestId,
        /// Which of its attempts.
        attempt: u8,
    },
    /// Set a timer.
    Timer {
        /// When it is due.
        at: Millis,
        /// Comes back with it.
        token: u64,
    },
    /// Ask for the server list and its changes.
    FollowServers,
    /// A line for staff.
    Log(String),
}
