//! No cold node is sent more than its budget, and ceilings are kept over all doors.

use crate::event::{Nanos, Node};
use crate::rule::{Rule, Verdict};
use std::collections::{BTreeMap, VecDeque};

/// What a site's settings say of its nodes and ceilings.
#[derive(Debug, Clone, Copy)]
pub struct Figures {
    /// Requests of mean work that a warm node does in a second.
    pub node_per_s: f64,
    /// What of that a node can do when it has just started, and how long it takes to be warm.
    pub cold_from: f64,
    pub cold_for: Nanos,
    /// The time over which a cold node's requests are counted.
    pub fall_after: Nanos,
    pub tip_multiple: f64,
    /// Requests beyond the budget that chance may bring.
    pub tip_slack: f64,
    pub drain_grace: Nanos,
    pub max_attempts: usize,
    /// Units a second of a ceiling, its store, and by how much that may be overdrawn.
    pub ceiling_rate: f64,
    pub ceiling_burst: f64,
    pub ceiling_slack: f64,
}

impl Figures {
    /// What a node that started then can do now, as a share of its capacity.
    pub fn warmth(&self, since: Nanos, now: Nanos) -> f64 {
        let ramp = ((now - since) as f64 / self.cold_for as f64).min(1.0);
        self.cold_from + (1.0 - self.cold_from) * ramp
    }
}

#[derive(Debug)]
struct ColdNode {
    since: Nanos,
    uid: String,
    /// When each request came, and whether its door had been told of the start.
    arrivals: VecDeque<(Nanos, bool)>,
}

/// Nodes that are cold, and customers' ceilings.
#[derive(Debug)]
pub struct Load {
    figures: Figures,
    cold: BTreeMap<Node, ColdNode>,
    ceilings: BTreeMap<u64, (f64, Nanos)>,
}

impl Load {
    pub fn new(figures: Figures) -> Load {
        Load { figures, cold: BTreeMap::new(), ceilings: BTreeMap::new() }
    }

    /// A cold node has started.
    pub fn node_started(&mut self, node: Node, uid: &str, now: Nanos) {
        self.cold.insert(node, ColdNode { since: now, uid: uid.into(), arrivals: VecDeque::new() });
    }

    /// A request came whole to a node; `knows_start` says by the node's uid whether its door had been told of the start.
    pub fn arrived(
        &mut self,
        node: Node,
        now: Nanos,
        knows_start: impl FnOnce(&str) -> bool,
        verdict: &mut Verdict,
    ) {
        let figures = self.figures;
        let Some(cold) = self.cold.get_mut(&node) else { return };
        if now > cold.since + figures.cold_for {
            self.cold.remove(&node);
            return;
        }
        let told = knows_start(&cold.uid);
        cold.arrivals.push_back((now, told));
        while cold.arrivals.front().is_some_and(|(at, _)| at + figures.fall_after < now) {
            cold.arrivals.pop_front();
        }
        let came = cold.arrivals.len();
        let told = cold.arrivals.iter().filter(|(_, told)| *told).count();
        let capacity = figures.node_per_s * figures.warmth(cold.since, now);
        let budget = figures.tip_multiple * capacity * figures.fall_after as f64 / 1e9 + figures.tip_slack;
        if came as f64 > budget && 3 * told >= 2 * came {
            let what = format!("cold node {}: {came} requests in its span, {budget:.1} fit", node.0);
            verdict.break_rule(Rule::Cold, now, None, what);
        }
    }

    /// A request of a customer with a ceiling came whole to a node for the first time.
    pub fn used(&mut self, id: &str, customer: u64, now: Nanos, verdict: &mut Verdict) {
        let figures = self.figures;
        let (store, since) = self.ceilings.entry(customer).or_insert((figures.ceiling_burst, now));
        let filled = *store + (now - *since) as f64 / 1e9 * figures.ceiling_rate;
        *store = filled.min(figures.ceiling_burst) - 1.0;
        *since = now;
        let least = -figures.ceiling_slack - 0.15 * figures.ceiling_rate;
        if *store < least {
            let what =
                format!("customer {customer}: the ceiling's store is at {store:.2}, {least:.2} is the least");
            verdict.break_rule(Rule::Ceiling, now, Some(id), what);
        }
    }
}
