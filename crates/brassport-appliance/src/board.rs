//! What the console shows, kept from what the door's hooks tell. No I/O, and bounded: the oldest go first.

use crate::protocol::{Counts, Event, NodeRow, RequestRow, StudioRow};
use brassport::hooks::RequestEnd;
use brassport_policy::{AttemptEnd, CustomerId, Millis, Outcome, Request, RequestId, Settings};
use brassport_state::model::{Lifecycle, Node, State};
use std::collections::{BTreeMap, VecDeque};

/// Studios that are remembered, and how many of them, of requests and of events are shown.
const STUDIOS: usize = 4096;
/// Nodes that are remembered; of more, those that have nothing of ours are forgotten: with nodes from sources, every
/// node of a rolling update has a new name.
const NODES: usize = 8192;
const SHOWN_STUDIOS: usize = 200;
const SHOWN_REQUESTS: usize = 200;
const EVENTS: usize = 200;
/// Weight of a new answer in a node's mean.
const SAMPLE: f64 = 0.1;

#[derive(Debug, Default)]
struct NodeNow {
    in_flight: u32,
    served: u64,
    troubled: u64,
    turned_away: u64,
    answer_ms: Option<f64>,
    last: Option<(Outcome, Millis)>,
}

#[derive(Debug, Default)]
struct Studio {
    plan: usize,
    counts: Counts,
    used: Option<(f64, Millis)>,
    refused: Option<(&'static str, Millis)>,
    seen: Millis,
}

#[derive(Debug)]
struct Open {
    name: String,
    class: usize,
    customer: CustomerId,
    since: Millis,
    node: Option<String>,
    attempts: u32,
    answered: bool,
}

/// The board. Times are milliseconds of one monotonic clock.
#[derive(Debug, Default)]
pub struct Board {
    nodes: BTreeMap<String, NodeNow>,
    studios: BTreeMap<CustomerId, Studio>,
    requests: BTreeMap<RequestId, Open>,
    pub classes: Vec<Counts>,
    events: VecDeque<Event>,
    next_event: u64,
}

/// How an attempt's end is called.
pub fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "answered",
        Outcome::Error => "error",
        Outcome::Overloaded => "turned away",
        Outcome::TimedOut => "timed out",
        Outcome::NoConnection => "no connection",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "called off",
        Outcome::NotSent => "not sent",
    }
}

impl Board {
    pub fn new(classes: usize) -> Board {
        Board { classes: vec![Counts::default(); classes], ..Board::default() }
    }

    /// Notes an event and hands it back with its number.
    pub fn event(&mut self, at_ms: u64, text: String) -> Event {
        self.next_event += 1;
        let event = Event { number: self.next_event, at_ms, text };
        if self.events.len() == EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event.clone());
        event
    }

    pub fn admitted(&mut self, now: Millis, name: &str, request: &Request) {
        if !self.studios.contains_key(&request.customer) && self.studios.len() >= STUDIOS {
            let oldest = self.studios.iter().min_by(|a, b| a.1.seen.total_cmp(&b.1.seen));
            if let Some(oldest) = oldest.map(|(customer, _)| *customer) {
                self.studios.remove(&oldest);
            }
        }
        let studio = self.studios.entry(request.customer).or_default();
        (studio.plan, studio.seen) = (request.plan, now);
        let open = Open {
            name: name.to_string(),
            class: request.class,
            customer: request.customer,
            since: now,
            node: None,
            attempts: 0,
            answered: false,
        };
        self.requests.insert(request.id, open);
    }

    pub fn sending(&mut self, request: RequestId, node: &str) {
        if let Some(open) = self.requests.get_mut(&request) {
            open.attempts += 1;
            open.node = Some(node.to_string());
            if self.nodes.len() >= NODES && !self.nodes.contains_key(node) {
                self.nodes.retain(|_, node| node.in_flight > 0);
            }
            self.nodes.entry(node.to_string()).or_default().in_flight += 1;
        }
    }

    /// What a request is, for the record of those that may have run.
    pub fn describe(&self, request: RequestId) -> Option<(&str, usize, CustomerId)> {
        self.requests.get(&request).map(|open| (open.name.as_str(), open.class, open.customer))
    }

    pub fn attempt_ended(&mut self, now: Millis, name: &str, end: &AttemptEnd) {
        if let Some(used) = end.used {
            let customer = self.requests.get(&end.request).map(|open| open.customer);
            if let Some(studio) = customer.and_then(|customer| self.studios.get_mut(&customer)) {
                studio.used = Some((used, now));
            }
        }
        let node = self.nodes.entry(name.to_string()).or_default();
        node.in_flight = node.in_flight.saturating_sub(1);
        node.last = Some((end.outcome, now));
        match end.outcome {
            Outcome::Ok => {
                node.served += 1;
                let mean = node.answer_ms.get_or_insert(end.elapsed);
                *mean += SAMPLE * (end.elapsed - *mean);
            }
            Outcome::Overloaded => node.turned_away += 1,
            Outcome::Cancelled | Outcome::NotSent => {}
            _ => node.troubled += 1,
        }
    }

    pub fn answered(&mut self, now: Millis, request: RequestId, verdict: RequestEnd) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        open.answered = true;
        let studio = self.studios.entry(open.customer).or_default();
        for counts in [&mut studio.counts, &mut self.classes[open.class]] {
            match verdict {
                RequestEnd::Served => counts.served += 1,
                RequestEnd::Rejected(_) => counts.refused += 1,
                RequestEnd::Failed => counts.failed += 1,
                RequestEnd::ClientLeft => counts.left += 1,
            }
        }
        if let RequestEnd::Rejected(_) = verdict {
            // The module does not say why; what shows is whether a node was asked, and the studio's use.
            let over = studio.used.is_some_and(|(used, at)| used > 0.9 && now - at < 2500.0);
            let why = match (open.attempts, over) {
                (0, true) => "at its quota",
                (0, false) => "no room or node",
                _ => "nodes full",
            };
            studio.refused = Some((why, now));
        }
    }

    pub fn departed(&mut self, request: RequestId) {
        self.requests.remove(&request);
    }

    /// Forgets the nodes that are no more; one with an attempt out stays until that has ended.
    pub fn listed(&mut self, state: &State) {
        self.nodes.retain(|name, node| state.nodes.contains_key(name) || node.in_flight > 0);
    }

    pub fn node_rows(
        &self,
        now: Millis,
        unix_ms: u64,
        listed: &BTreeMap<String, Node>,
        settings: &Settings,
    ) -> Vec<NodeRow> {
        let idle = NodeNow::default();
        let row = |(name, listed): (&String, &Node)| {
            let node = self.nodes.get(name).unwrap_or(&idle);
            let age = listed.launched_ms.map(|at| unix_ms.saturating_sub(at) as f64);
            let warmth = age.map_or(1.0, |age| {
                let share = if settings.warm_up_duration > 0.0 {
                    (age / settings.warm_up_duration).min(1.0)
                } else {
                    1.0
                };
                settings.warm_up_start_fraction + (1.0 - settings.warm_up_start_fraction) * share
            });
            NodeRow {
                name: name.clone(),
                endpoint: listed.endpoint.to_string(),
                lifecycle: listed.lifecycle,
                revision: listed.revision,
                warmth,
                in_flight: node.in_flight,
                served: node.served,
                troubled: node.troubled,
                turned_away: node.turned_away,
                answer_ms: node.answer_ms,
                last: node.last.map(|(outcome, at)| (outcome_name(outcome).to_string(), (now - at) as u64)),
            }
        };
        let mut rows: Vec<NodeRow> = listed.iter().map(row).collect();
        // Removed from the list with work still out there.
        for (name, node) in self.nodes.iter().filter(|(name, _)| !listed.contains_key(*name)) {
            rows.push(NodeRow {
                name: name.clone(),
                endpoint: "removed".into(),
                lifecycle: Lifecycle::Draining,
                revision: 0,
                warmth: 0.0,
                in_flight: node.in_flight,
                served: node.served,
                troubled: node.troubled,
                turned_away: node.turned_away,
                answer_ms: node.answer_ms,
                last: None,
            });
        }
        rows
    }

    /// Those that were seen last.
    pub fn studio_rows(&self, now: Millis, plans: &[String]) -> Vec<StudioRow> {
        let mut studios: Vec<_> = self.studios.iter().collect();
        studios.sort_by(|a, b| b.1.seen.total_cmp(&a.1.seen));
        studios.truncate(SHOWN_STUDIOS);
        studios.sort_by_key(|(customer, _)| **customer);
        let row = |(customer, studio): (&CustomerId, &Studio)| StudioRow {
            studio: format!("{customer:016x}"),
            plan: plans.get(studio.plan).cloned().unwrap_or_default(),
            used: studio.used.filter(|(_, at)| now - at < 2500.0).map(|(used, _)| used),
            counts: studio.counts,
            last_refusal: studio.refused.map(|(why, at)| (why.to_string(), (now - at) as u64)),
        };
        studios.into_iter().map(row).collect()
    }

    /// The oldest first.
    pub fn request_rows(&self, now: Millis, classes: &[String]) -> Vec<RequestRow> {
        let waiting = self.requests.values().filter(|open| !open.answered).take(SHOWN_REQUESTS);
        let row = |open: &Open| RequestRow {
            name: open.name.clone(),
            class: classes.get(open.class).cloned().unwrap_or_default(),
            studio: format!("{:016x}", open.customer),
            node: open.node.clone(),
            attempts: open.attempts,
            age_ms: (now - open.since) as u64,
        };
        waiting.map(row).collect()
    }

    pub fn events(&self) -> Vec<Event> {
        self.events.iter().cloned().collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn request(id: RequestId, customer: CustomerId) -> Request {
        Request {
            id,
            customer,
            plan: 0,
            class: 0,
            units: 1.0,
            customer_gateways: 1,
            first_gateway: 0,
            expires_in: 1000.0,
            is_client_retry: false,
        }
    }

    fn end(request: RequestId, outcome: Outcome, used: Option<f64>) -> AttemptEnd {
        AttemptEnd { request, attempt: 0, outcome, elapsed: 20.0, finished: true, used }
    }

    #[test]
    fn a_request_is_counted_once_for_its_class_its_studio_and_its_node() {
        let mut board = Board::new(1);
        board.admitted(0.0, "r", &request(1, 7));
        board.sending(1, "a");
        assert_eq!(board.request_rows(5.0, &["frame".into()])[0].node.as_deref(), Some("a"));
        assert_eq!(board.nodes["a"].in_flight, 1);
        board.answered(10.0, 1, RequestEnd::Served);
        board.attempt_ended(10.0, "a", &end(1, Outcome::Ok, Some(0.5)));
        board.departed(1);
        assert_eq!(board.classes[0], Counts { served: 1, ..Counts::default() });
        assert_eq!((board.nodes["a"].in_flight, board.nodes["a"].served), (0, 1));
        let studio = &board.studio_rows(10.0, &["standard".into()])[0];
        assert_eq!((studio.counts.served, studio.used), (1, Some(0.5)));
        assert!(board.requests.is_empty());
    }

    #[test]
    fn why_a_studio_was_refused_shows_from_its_use() {
        let mut board = Board::new(1);
        let why = |board: &Board| board.studio_rows(10.0, &[])[0].last_refusal.clone().map(|(why, _)| why);
        board.admitted(0.0, "r1", &request(1, 7));
        board.answered(0.0, 1, RequestEnd::Rejected(0.0));
        assert_eq!(why(&board).as_deref(), Some("no room or node"));
        board.admitted(0.0, "r2", &request(2, 7));
        board.sending(2, "a");
        board.attempt_ended(1.0, "a", &end(2, Outcome::Ok, Some(1.2)));
        board.admitted(2.0, "r3", &request(3, 7));
        board.answered(2.0, 3, RequestEnd::Rejected(100.0));
        assert_eq!(why(&board).as_deref(), Some("at its quota"));
    }

    #[test]
    fn the_board_stays_within_its_bounds() {
        let mut board = Board::new(1);
        for number in 0..2 * STUDIOS as u64 {
            board.admitted(number as f64, "r", &request(number, number));
            board.answered(number as f64, number, RequestEnd::Failed);
            board.departed(number);
            board.event(0, String::new());
        }
        assert_eq!((board.studios.len(), board.events.len(), board.requests.len()), (STUDIOS, EVENTS, 0));
        assert!(!board.studios.contains_key(&0) && board.studios.contains_key(&(2 * STUDIOS as u64 - 1)));
        assert_eq!(board.events().last().map(|event| event.number), Some(2 * STUDIOS as u64));
    }
}
