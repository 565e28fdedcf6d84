//! What an emulated site is made of.

use brassport_policy::{Class, Millis, Plan, RetrySafety, Settings};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Who decides at each front door.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// The decision module.
    Module,
    /// Each node in turn, no quotas.
    RoundRobin,
    /// The node with the fewest own attempts in flight, no quotas.
    LeastInFlight,
    /// The same, and each front door admits an even share of each quota by a token bucket of its own.
    EvenShare,
    /// The node with the fewest attempts in flight of all front doors, and each quota by one token bucket for all of them:
    /// what is admitted where all is known. No real front door can see that.
    Informed,
}

/// What goes wrong with part of the nodes, at a third of the time that is measured.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// Nothing.
    None,
    /// This part of the nodes dies at once; the list says so two seconds later.
    Die(f64),
    /// The list tells this part of the nodes to drain; they are gone five seconds later.
    Drain(f64),
    /// This part of the nodes stands still for five seconds; the list says nothing.
    Freeze(f64),
    /// This part of the nodes dies at once and is back, cold, three seconds later.
    Restart(f64),
    /// This part of the front doors dies at once, with all that they know, and is back at once.
    Doors(f64),
}

impl Fault {
    /// The part of the nodes that it takes.
    pub fn part(self) -> f64 {
        match self {
            Fault::None | Fault::Doors(_) => 0.0,
            Fault::Die(part) | Fault::Drain(part) | Fault::Freeze(part) | Fault::Restart(part) => part,
        }
    }
}

impl FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Fault, String> {
        if text == "none" {
            return Ok(Fault::None);
        }
        let wrong = || {
            format!(
                "fault {text:?}: write none, or die, drain, freeze, restart or doors with a part, as die:0.3"
            )
        };
        let (kind, part) = text.split_once(':').ok_or_else(wrong)?;
        let part: f64 = part.parse().map_err(|_| wrong())?;
        if !(part > 0.0 && part < 1.0) {
            return Err(format!("fault {text:?}: the part must be above 0 and below 1"));
        }
        match kind {
            "die" => Ok(Fault::Die(part)),
            "drain" => Ok(Fault::Drain(part)),
            "freeze" => Ok(Fault::Freeze(part)),
            "restart" => Ok(Fault::Restart(part)),
            "doors" => Ok(Fault::Doors(part)),
            _ => Err(wrong()),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::None => write!(f, "none"),
            Fault::Die(part) => write!(f, "die:{part}"),
            Fault::Drain(part) => write!(f, "drain:{part}"),
            Fault::Freeze(part) => write!(f, "freeze:{part}"),
            Fault::Restart(part) => write!(f, "restart:{part}"),
            Fault::Doors(part) => write!(f, "doors:{part}"),
        }
    }
}

/// A site, its load and its trouble.
#[derive(Debug, Clone, PartialEq)]
pub struct Site {
    /// Front doors.
    pub doors: u32,
    /// Nodes.
    pub nodes: u32,
    /// Customers.
    pub customers: u32,
    /// Units that are asked for by first tries, as a multiple of what the nodes can do.
    pub load: f64,
    /// All quotas together, as a multiple of what the nodes can do.
    pub quota: f64,
    /// Exponent of Zipf's law for the customers' shares of the load; 0: all alike.
    pub skew: f64,
    /// Each customer's ceiling, in multiples of its quota; 0: none.
    pub ceiling: f64,
    /// Part of the customers that are heavy.
    pub heavy: f64,
    /// What one that is heavy asks for, in multiples of another's load.
    pub heavier: f64,
    /// Front doors through which one customer's requests come; 0: all.
    pub spread: u32,
    /// Zones in which doors and nodes stand in turn. A fault takes nodes zone by zone.
    pub zones: u32,
    /// By how much the load is multiplied for a sixth of the measured time, from its middle on.
    pub surge: f64,
    /// Further tries of a client that was refused.
    pub retries: u32,
    /// Mean time of one request on a node.
    pub work_ms: f64,
    /// Time that is measured. Some of it passes first, unmeasured.
    pub seconds: f64,
    /// What goes wrong.
    pub fault: Fault,
    /// Who decides.
    pub policy: Policy,
    /// What nodes, ways, clients and plans are like.
    pub model: Model,
}

impl Default for Site {
    fn default() -> Site {
        Site {
            doors: 3,
            nodes: 10,
            customers: 100,
            load: 0.5,
            quota: 1.0,
            skew: 0.0,
            ceiling: CEILING,
            heavy: 0.0,
            heavier: 1.0,
            spread: 0,
            zones: 1,
            surge: 1.0,
            retries: 3,
            work_ms: 100.0,
            seconds: 20.0,
            fault: Fault::None,
            policy: Policy::Module,
            model: Model::default(),
        }
    }
}

/// A time that is drawn.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Work {
    /// Log-normal round the site's mean, with this coefficient of variation.
    LogNormal(f64),
    /// Even, from the mean less this part of it to the mean and this part.
    Even(f64),
}

/// A class of requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Kind {
    /// Its part of the load; those of all classes are 1 together.
    pub share: f64,
    /// What an answer is worth.
    pub worth: f64,
    /// Answers within this are in time.
    pub aim: Millis,
    /// How often a request may run.
    pub effect: RetrySafety,
}

/// The plans of customers.
#[derive(Debug, Clone, PartialEq)]
pub enum Plans {
    /// These, in turn by the customer's number: each one's quota and load in multiples of the mean, and whether it has
    /// the site's ceiling.
    Several(Vec<(f64, bool)>),
    /// The three plans of the seeded simulation, in turn by the customer's number.
    Simulated,
}

/// What nodes, ways, clients and plans are like.
#[derive(Debug, Clone, PartialEq)]
pub struct Model {
    /// Requests that a node runs side by side.
    pub workers: u32,
    /// Requests that wait for their turn on a node.
    pub queue: usize,
    /// Times of requests on a warm node.
    pub work: Work,
    /// One way between a client and a front door, least and most.
    pub client_ms: (Millis, Millis),
    /// One way between a front door and a node, least and most.
    pub node_ms: (Millis, Millis),
    /// How long after its end a period of the meter is told.
    pub meter_delay: Millis,
    /// Part of the clients that wait as `Retry-After` says.
    pub honour: f64,
    /// The wait of the others, and of all where it says nothing: least and most.
    pub impatient_ms: (Millis, Millis),
    /// Whether a further try comes through the next front door of the set, not through one that is drawn.
    pub next_door: bool,
    /// Whether clients mark further tries as such.
    pub marks: bool,
    /// Classes of requests.
    pub kinds: Vec<Kind>,
    /// How long clients wait over all their tries, as front doors are told.
    pub deadline: Millis,
    /// How long they wait: least and most.
    pub patience: (Millis, Millis),
    /// By how much longer the list's news take to reach front doors.
    pub news_late: Millis,
    /// Longest advice on waiting.
    pub max_retry_after: Millis,
    /// Part of the measured time that passes first, unmeasured.
    pub settle: f64,
    /// The plans.
    pub plans: Plans,
}

impl Default for Model {
    fn default() -> Model {
        Model {
            workers: 2,
            queue: 16,
            work: Work::LogNormal(0.8),
            client_ms: (0.4, 1.1),
            node_ms: (0.1, 0.6),
            meter_delay: 100.0,
            honour: 0.7,
            impatient_ms: (50.0, 400.0),
            next_door: false,
            marks: true,
            kinds: vec![
                Kind { share: 0.6, worth: 3.0, aim: 500.0, effect: RetrySafety::Idempotent },
                Kind { share: 0.4, worth: 2.0, aim: 1000.0, effect: RetrySafety::NonIdempotent },
            ],
            deadline: 3000.0,
            patience: (3000.0, 3000.0),
            news_late: 0.0,
            max_retry_after: 2000.0,
            settle: 0.25,
            plans: Plans::Several(vec![(1.0, true)]),
        }
    }
}

/// Period of the meter.
pub const PERIOD: Millis = 500.0;
/// How long a node is cold.
pub const COLD_FOR: Millis = 10_000.0;
/// Its share of its speed at its start.
pub const COLD_FROM: f64 = 0.3;
/// A quota's burst, in seconds of the quota.
pub const BURST_S: f64 = 4.0;
/// The ceiling's rate, in multiples of the quota's.
pub const CEILING: f64 = 2.0;
/// Its store, in seconds of the quota.
pub const CEILING_BURST_S: f64 = 8.0;
/// By how much that may be overdrawn, in parts of it.
pub const CEILING_SLACK: f64 = 0.1;

impl Site {
    /// Units a second that all nodes can do.
    pub fn capacity(&self) -> f64 {
        f64::from(self.nodes) * f64::from(self.model.workers) * 1000.0 / self.work_ms
    }

    /// Units a second that one customer may use.
    pub fn rate_of(&self, customer: u32) -> f64 {
        self.plan(self.plan_of(customer)).rate
    }

    /// The sum of all quotas, units a second.
    pub fn quotas(&self) -> f64 {
        match &self.model.plans {
            Plans::Several(plans) if plans.len() == 1 => self.quota * self.capacity(),
            _ => (0..self.customers).map(|customer| self.rate_of(customer)).sum(),
        }
    }

    /// Time that passes before the figures count.
    pub fn settle_ms(&self) -> Millis {
        self.seconds * 1000.0 * self.model.settle
    }

    /// When it ends.
    pub fn end_ms(&self) -> Millis {
        self.settle_ms() + self.seconds * 1000.0
    }

    /// When the fault strikes.
    pub fn fault_ms(&self) -> Millis {
        self.settle_ms() + self.seconds * 1000.0 / 3.0
    }

    /// Units of first tries a second at a time.
    pub fn load_at(&self, now: Millis) -> f64 {
        let part = (now - self.settle_ms()) / (self.seconds * 1000.0);
        let surge = if (0.5..2.0 / 3.0).contains(&part) { self.surge } else { 1.0 };
        self.load * surge * self.capacity()
    }

    /// Through how many front doors a customer's requests come, and the first of them; the others follow it, round.
    pub fn doors_of(&self, customer: u32) -> (u32, u32) {
        match (&self.model.plans, self.spread) {
            (Plans::Simulated, _) => ((1 + customer / 3 % 3).min(self.doors), customer % self.doors),
            (Plans::Several(_), 0) => (self.doors, 0),
            (Plans::Several(_), spread) => {
                (spread.min(self.doors), customer.wrapping_mul(2_654_435_761) % self.doors)
            }
        }
    }

    /// How many customers are heavy; they have the first numbers.
    pub fn heavy_ones(&self) -> u32 {
        (f64::from(self.customers) * self.heavy).round() as u32
    }

    /// The part of the load that heavy customers ask for.
    pub fn heavy_load(&self) -> f64 {
        let heavy = f64::from(self.heavy_ones()) * self.heavier;
        heavy / (heavy + f64::from(self.customers - self.heavy_ones()))
    }

    /// The index of a customer's plan.
    pub fn plan_of(&self, customer: u32) -> usize {
        customer as usize % self.plan_count()
    }

    fn plan_count(&self) -> usize {
        match &self.model.plans {
            Plans::Several(plans) => plans.len(),
            Plans::Simulated => brassport_sim::PLAN_RATES.len(),
        }
    }

    /// A customer's quota and load in multiples of the mean, and the most of any customer's.
    pub fn weight_of(&self, customer: u32) -> (f64, f64) {
        match &self.model.plans {
            Plans::Several(plans) => {
                (plans[self.plan_of(customer)].0, plans.iter().map(|plan| plan.0).fold(0.0, f64::max))
            }
            Plans::Simulated => (1.0, 1.0),
        }
    }

    /// A plan.
    pub fn plan(&self, index: usize) -> Plan {
        let Plans::Several(plans) = &self.model.plans else {
            let rate = brassport_sim::PLAN_RATES[index];
            let ceiling = if index == 2 { brassport_sim::CEILING } else { [0.0; 3] };
            return Plan {
                rate,
                burst: brassport_sim::BURST_S * rate,
                max_in_flight: if index == 1 { 4 } else { 0 },
                value_factor: 1.0,
                over_quota_cost_fraction: 0.8,
                hard_limit_rate: ceiling[0],
                hard_limit_burst: ceiling[1],
                hard_limit_slack: ceiling[2],
                ..Plan::default()
            };
        };
        let mean = plans.iter().map(|plan| plan.0).sum::<f64>() / plans.len() as f64;
        let (part, has_ceiling) = plans[index];
        let rate = self.quota * self.capacity() / f64::from(self.customers) * (part / mean);
        let ceiling_burst = (CEILING_BURST_S * rate).max(4.0);
        Plan {
            rate,
            burst: (BURST_S * rate).max(2.0),
            value_factor: 1.0,
            over_quota_value_fraction: 0.0,
            over_quota_cost_fraction: 0.0,
            hard_limit_rate: if has_ceiling { self.ceiling * rate } else { 0.0 },
            hard_limit_burst: ceiling_burst,
            hard_limit_slack: CEILING_SLACK * ceiling_burst,
            ..Plan::default()
        }
    }

    /// All plans.
    pub fn plans(&self) -> Vec<Plan> {
        (0..self.plan_count()).map(|index| self.plan(index)).collect()
    }

    /// What the front door `ordinal` is told at its start.
    pub fn settings(&self, ordinal: u32) -> Settings {
        let model = &self.model;
        let class = |&Kind { worth, aim, effect, .. }: &Kind| Class {
            value: worth,
            latency_target: aim,
            deadline: model.deadline,
            late_value_fraction: 0.0,
            retry_safety: effect,
        };
        Settings {
            gateways: self.doors,
            ordinal,
            zone: (ordinal % self.zones) as u16,
            classes: model.kinds.iter().map(class).collect(),
            plans: self.plans(),
            meter_period: PERIOD,
            max_attempts: 4,
            allow_cancel: true,
            max_retry_after: model.max_retry_after,
            drain_grace: 500.0,
            warm_up_start_fraction: COLD_FROM,
            warm_up_duration: COLD_FOR,
            collapse_load: 2.0,
            collapse_after: 3000.0,
            tick: 4.0,
            ..Settings::default()
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_set_of_front_doors_has_the_size_that_is_asked_for_and_sets_differ() {
        let site = Site { doors: 50, spread: 4, ..Site::default() };
        let firsts: std::collections::BTreeSet<u32> =
            (0..100).map(|customer| site.doors_of(customer).1).collect();
        assert!((0..100).all(|customer| site.doors_of(customer).0 == 4));
        assert!(firsts.len() > 30, "{firsts:?}");
        assert_eq!(Site { doors: 3, spread: 9, ..Site::default() }.doors_of(5).0, 3);
        assert_eq!(Site { doors: 7, ..Site::default() }.doors_of(5), (7, 0));
    }

    #[test]
    fn heavy_customers_ask_for_their_multiple() {
        let site = Site { customers: 400, heavy: 0.125, heavier: 5.0, ..Site::default() };
        assert_eq!(site.heavy_ones(), 50);
        assert!((site.heavy_load() - 250.0 / 600.0).abs() < 1e-12);
        assert_eq!(Site::default().heavy_load(), 0.0, "none are, unless it is asked for");
    }

    #[test]
    fn a_surge_lasts_for_a_sixth_of_the_time() {
        let site = Site { surge: 3.0, seconds: 60.0, ..Site::default() };
        let calm = site.load * site.capacity();
        let at = |second: f64| site.load_at(site.settle_ms() + second * 1000.0) / calm;
        assert_eq!([at(0.0), at(29.9), at(30.1), at(39.9), at(40.1)], [1.0, 1.0, 3.0, 3.0, 1.0]);
    }
}
