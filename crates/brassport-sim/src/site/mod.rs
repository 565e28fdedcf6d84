//! The simulated site: front doors, nodes, discovery and clients on one kernel, the faults of a script, and the
//! loop that goes from event to event.

mod checks;
mod doors;
mod events;
mod faults;

use crate::agent::{Agent, Entry, Registry};
use crate::api::Api;
use crate::client::{Clients, Totals};
use crate::dns::Dns;
use crate::door::Process;
use crate::drawn::{draw, Drawn};
use crate::kernel::{Host, Kernel, Nanos, Notice, Script, Wires, MS};
use crate::meter::{Meter, CEILING};
use crate::node::{Node, CORES, WORK};
use crate::oracle::Oracle;
use crate::places::{agent_addresses, node_address};
use crate::random::Random;
use crate::scenario::{Fault, RequestPlan, Scenario, QUIET_MS};
use crate::script::Kind;
use crate::trace::Trace;
use brassport_checkers::{Counts, Figures, Violation};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

struct DoorHost {
    host: Host,
    process: Option<Process>,
    wall: Rc<Cell<i64>>,
    known: Value,
    /// It was told to end.
    terminated: bool,
    moved: usize,
    starts: u64,
    turns_before: u64,
}

/// How a run ended.
#[derive(Debug)]
pub struct Report {
    /// The first broken rule.
    pub violation: Option<Violation>,
    /// The request's history, where the rule is about one.
    pub history: Vec<(Nanos, String)>,
    /// Over every wire event of the run.
    pub digest: u64,
    /// What the run did.
    pub counts: Counts,
    /// What clients saw.
    pub clients: Totals,
    /// Units that nodes took beyond the customers' token buckets.
    pub over_quota: f64,
    /// Virtual time that it took.
    pub virtual_time: Nanos,
    /// Events that were carried out.
    pub events: u64,
}

/// A site in a run.
pub struct Site {
    kernel: Kernel,
    scenario: Scenario,
    figures: Figures,
    random: Random,
    doors: Vec<DoorHost>,
    /// Yeses of doors to staff: which door, which node, and whether it is out.
    said: Rc<RefCell<Vec<(Host, String, bool)>>>,
    nodes: Vec<Node>,
    agents: Vec<Agent>,
    api: Option<Api>,
    dns: Option<Dns>,
    registry: Registry,
    clients: Clients,
    meter: Meter,
    oracle: Oracle,
    trace: Trace,
    /// Notices and events for scripted machines that stand still.
    held: BTreeMap<Host, VecDeque<Held>>,
    told: BTreeMap<u64, (usize, u64)>,
    events: u64,
}

enum Held {
    Notice(Notice),
    Script(Script),
}

/// Plays a script to its end, or to the first broken rule.
pub fn run(scenario: &Scenario, trace: Trace) -> (Report, Trace) {
    let mut site = Site::build(scenario, trace);
    site.play();
    let violation = site.oracle.judge.violation().cloned();
    let request = violation.as_ref().and_then(|violation| violation.request.clone());
    let history = request.map(|id| site.oracle.judge.history(&id)).unwrap_or_default();
    let report = Report {
        violation,
        history,
        digest: site.trace.digest(),
        counts: site.oracle.judge.counts,
        clients: std::mem::take(&mut site.clients.totals),
        over_quota: site.meter.over_quota,
        virtual_time: site.kernel.now(),
        events: site.events,
    };
    let trace = std::mem::take(&mut site.trace);
    (report, trace)
}

impl Site {
    pub(super) fn build(scenario: &Scenario, trace: Trace) -> Site {
        let seed = scenario.seed;
        let mut random = Random::new(seed, 2);
        let Drawn { latency, meter_late } = draw(scenario, &mut random);
        let wires = Wires {
            latency,
            small_window: scenario.small_window,
            lost: scenario.lost,
            twice: scenario.lost / 2.0,
        };
        let kernel = Kernel::new(scenario.ties.into(), Random::new(seed, 3), Random::new(seed, 6), wires);
        let figures = Figures {
            node_per_s: CORES as f64 * 2e9 / (WORK.0 + WORK.1) as f64,
            cold_from: 0.15,
            cold_for: 18_000 * MS,
            fall_after: 3_000 * MS,
            tip_multiple: 1.5,
            tip_slack: 2.0,
            drain_grace: 500 * MS,
            max_attempts: 4,
            ceiling_rate: CEILING[0],
            ceiling_burst: CEILING[1],
            ceiling_slack: CEILING[2],
        };
        let nodes: Vec<Node> = (0..scenario.nodes)
            .map(|number| {
                let uid = format!("s-{number:08x}");
                Node::start(&kernel, Host(100 + number as u32), node_address(number), uid, None)
            })
            .collect();
        let told = nodes.iter().filter(|node| is_told(scenario, node));
        let entries = told.map(|node| Entry {
            uid: node.uid.clone(),
            address: node.address,
            state: "ready",
            boot_ms: 0.0,
        });
        let registry = Registry::new(entries.collect());
        let agents = (0..scenario.doors)
            .map(|door| Agent::start(&kernel, Host(200 + door as u32), agent_addresses(door)))
            .collect();
        let doors = (0..scenario.doors)
            .map(|door| {
                let host = Host(door as u32);
                kernel.add_machine(host, true);
                DoorHost {
                    host,
                    process: None,
                    wall: Rc::default(),
                    known: registry.whole(1),
                    terminated: false,
                    moved: 0,
                    starts: 0,
                    turns_before: 0,
                }
            })
            .collect();
        let requests = with_surges(scenario);
        let clients = Clients::start(&kernel, scenario.doors, requests, Random::new(seed, 4));
        let mut site = Site {
            kernel,
            scenario: scenario.clone(),
            figures,
            random,
            doors,
            nodes,
            agents,
            api: None,
            dns: None,
            registry,
            clients,
            meter: Meter::new(figures, meter_late),
            said: Rc::default(),
            oracle: Oracle::new(figures),
            trace,
            held: BTreeMap::new(),
            told: BTreeMap::new(),
            events: 0,
        };
        if scenario.nomad {
            let api = Api::start(&site.kernel);
            site.nodes.iter().for_each(|node| api.change(&node.uid, node.address, "ready", None));
            site.api = Some(api);
        }
        if let Some(ttl) = scenario.dns {
            let mut dns = Dns::start(&site.kernel, ttl, scenario.is_untrue());
            site.nodes.iter().for_each(|node| dns.begin_with(&node.uid, node.address));
            site.dns = Some(dns);
        }
        for door in 0..scenario.doors {
            site.start_door(door);
        }
        for (number, fault) in scenario.faults.iter().enumerate() {
            site.plan(fault.at() * MS, Kind::FaultBegins, 0, number as u64);
        }
        for second in 1..=(scenario.busy_ms() + QUIET_MS) / 1000 {
            site.plan(second * 1000 * MS, Kind::Tick, 0, second);
        }
        site
    }

    pub(super) fn plan(&self, at: Nanos, kind: Kind, whose: u64, which: u64) {
        self.kernel.plan(at, Script { kind: kind as u32, whose, which });
    }

    pub(super) fn play(&mut self) {
        let end = (self.scenario.busy_ms() + QUIET_MS) * MS;
        self.turn_doors();
        loop {
            self.observe();
            if self.oracle.judge.violation().is_some() {
                return;
            }
            match self.kernel.step(end) {
                None => break,
                Some(script) => {
                    self.events += 1;
                    if let Some(script) = script {
                        self.script(script);
                    }
                }
            }
            while let Some((host, notice)) = self.kernel.notice() {
                self.notice(host, notice);
            }
            self.turn_doors();
            self.check_descriptors();
        }
        self.check_served();
        self.check_quiet();
    }

    pub(super) fn observe(&mut self) {
        let passed = self.kernel.passed();
        if passed.is_empty() {
            self.oracle.watch(&self.kernel, passed);
            return;
        }
        for (now, passed) in &passed {
            self.trace.wire(*now, passed);
        }
        self.oracle.watch(&self.kernel, passed);
    }
}

/// Whether discovery tells of a node: where there is DNS too, every second node stands there alone.
fn is_told(scenario: &Scenario, node: &Node) -> bool {
    scenario.dns.is_none() || node.host.0 % 2 == 0
}

/// The requests of a script and those of its surges.
fn with_surges(scenario: &Scenario) -> Vec<RequestPlan> {
    let mut requests = scenario.requests.clone();
    for (number, fault) in scenario.faults.iter().enumerate() {
        let Fault::Surge { at, plan, for_ms, requests: more } = *fault else { continue };
        let mut random = Random::new(scenario.seed, 100 + number as u64);
        for _ in 0..more {
            requests.push(RequestPlan {
                at_us: at * 1000 + random.between(0, for_ms * 1000),
                client: random.index(4),
                customer: plan + 3 * random.between(0, 3),
                unsafe_to_repeat: random.chance(0.46),
                body: random.index(300),
                patience_ms: random.between(2000, 4000),
                leaves_us: None,
                leaves_rudely: false,
                retries: 1,
            });
        }
    }
    requests
}
