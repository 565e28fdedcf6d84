//! The five rules over one history, checked as it goes on.

use crate::event::{Connection, Door, Nanos, Node, Seen};
use crate::lists::{List, Lists};
use crate::load::{Figures, Load};
use crate::requests::Requests;
use crate::rule::{Rule, Verdict, Violation};

/// What a run did, by the clients' answers and the wire.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    pub requests: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub attempts: u64,
    /// Refused at once with no advice and no attempt: the door could not connect to any node.
    pub crowded_out: u64,
    /// Nodes that a door was told to be off by other means than a list, over all doors and nodes.
    pub told_off: u64,
}

/// All checkers of the five rules.
#[derive(Debug)]
pub struct Judge {
    requests: Requests,
    pub lists: Lists,
    load: Load,
    verdict: Verdict,
    /// Figures of the run.
    pub counts: Counts,
}

impl Judge {
    /// A judge that knows the site's figures.
    pub fn new(figures: Figures) -> Judge {
        Judge {
            requests: Requests::new(figures.max_attempts),
            lists: Lists::new(figures.drain_grace),
            load: Load::new(figures),
            verdict: Verdict::default(),
            counts: Counts::default(),
        }
    }

    /// The first broken rule.
    pub fn violation(&self) -> Option<&Violation> {
        self.verdict.violation()
    }

    /// Notes a broken rule that somebody else saw; the first stands.
    pub fn break_rule(&mut self, rule: Rule, at: Nanos, request: Option<&str>, what: impl Into<String>) {
        self.verdict.break_rule(rule, at, request, what);
    }

    /// What was seen of a request, in order.
    pub fn history(&self, id: &str) -> Vec<(Nanos, String)> {
        self.requests.history(id)
    }

    /// The connections of a request's attempts, and when each began.
    pub fn attempts(&self, id: &str) -> Vec<(Door, Connection, Nanos)> {
        self.requests.attempts(id)
    }

    /// How many attempts of a request were seen: the number of the next one.
    pub fn attempts_of(&self, id: &str) -> usize {
        self.requests.attempts_of(id)
    }

    /// Takes in one thing that was seen of a request.
    pub fn see(&mut self, now: Nanos, id: &str, seen: Seen) {
        let (counts, verdict) = (&mut self.counts, &mut self.verdict);
        match seen {
            Seen::Arrived { node, door } => {
                let is_first = self.requests.see(now, id, seen, counts, verdict);
                let customer =
                    self.requests.customer_of(id).filter(|(_, has_ceiling)| *has_ceiling && is_first);
                if let Some((customer, _)) = customer {
                    self.load.used(id, customer, now, verdict);
                }
                let knows = |uid: &str| door.is_some_and(|door| self.lists.knows_start(door, uid));
                self.load.arrived(node, now, knows, verdict);
            }
            Seen::Begins { door, to, begun, .. } => {
                self.lists.begins(id, door, to, begun, verdict);
                self.requests.see(now, id, seen, counts, verdict);
            }
            seen => drop(self.requests.see(now, id, seen, counts, verdict)),
        }
    }

    /// It is this late: whatever was due before has to be answered, but where `is_silent` says that nothing arrives.
    pub fn pass_time(&mut self, now: Nanos, is_silent: impl Fn(Connection) -> bool) {
        self.requests.pass_time(now, is_silent, &mut self.verdict);
    }

    /// A process of a door starts, knowing this list.
    pub fn door_started(&mut self, door: Door, now: Nanos, known: Option<&List>) {
        self.requests.door_started(door);
        self.lists.door_started(door, now, known);
    }

    /// A door is about to be killed.
    pub fn door_killed(&mut self, door: Door, now: Nanos) {
        self.requests.door_killed(door, now);
    }

    /// A door's processes stand still, or go on.
    pub fn door_frozen(&mut self, door: Door, now: Nanos, frozen: bool) {
        self.requests.door_frozen(door, now, frozen);
    }

    /// A door was told by other means than a list that a node is to get nothing new.
    pub fn told_off(&mut self, door: Door, uid: &str, now: Nanos) {
        self.counts.told_off += u64::from(self.lists.told_off(door, uid, now));
    }

    /// A cold node has started.
    pub fn node_started(&mut self, node: Node, uid: &str, now: Nanos) {
        self.load.node_started(node, uid, now);
    }
}
