//! The cost of the decision module alone: processor time for each request, on one thread, in steady state.
//!
//! Requests come at a rate that is given, evenly spaced on a virtual clock, and are answered a fixed time later. What
//! is measured is the processor time of the calls, over all events of a request: its arrival, the end of its attempt,
//! its timers. Each play is one block of requests behind a warm-up; the seed orders customers and servers.

use super::{number, whole, Backend, Outcome};
use crate::study::Level;
use brassport_policy::{
    Action, AttemptEnd, Class, Event, Gateway, Lifecycle, ListKind, Plan, Request, RetrySafety,
};
use brassport_policy::{ServerEntry, Settings};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Requests behind the warm-up. Of more the clock's grain and a disturbance weigh less.
const BLOCK: u64 = 20_000;
const BLOCK_AT_5000: u64 = 4_000;
/// Time from a send to its answer.
const ANSWER_MS: f64 = 20.0;

#[derive(Debug)]
pub struct Decisions;

#[derive(Debug)]
struct Setup {
    nodes: u32,
    customers: u32,
    rate: f64,
    cold: f64,
}

fn setup(parameters: &[(String, Level)]) -> Result<Setup, String> {
    let mut setup = Setup { nodes: 10, customers: 1000, rate: 5000.0, cold: 0.0 };
    for (key, level) in parameters {
        match key.as_str() {
            "nodes" => setup.nodes = whole(key, level, 1, 100_000)?,
            "customers" => setup.customers = whole(key, level, 1, 10_000_000)?,
            "rate" => setup.rate = number(key, level, 1.0, 1_000_000.0)?,
            "cold" => setup.cold = number(key, level, 0.0, 1.0)?,
            _ => return Err(format!("no parameter {key}")),
        }
    }
    Ok(setup)
}

/// Processor time of this thread, in microseconds.
fn processor_us() -> f64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    time.tv_sec as f64 * 1e6 + time.tv_nsec as f64 / 1e3
}

impl Backend for Decisions {
    fn name(&self) -> &'static str {
        "decisions"
    }

    fn parameters(&self) -> &'static [(&'static str, &'static str)] {
        &[
            ("nodes", "nodes"),
            ("customers", "customers, all alike"),
            ("rate", "requests a second"),
            ("cold", "part of the nodes that are cold all the time"),
        ]
    }

    fn measures(&self) -> &'static [(&'static str, &'static str)] {
        &[
            ("cpu_us", "processor time of the decisions for one request, microseconds"),
            ("events", "events handled for one request"),
            ("sent", "requests that were sent on, in parts of all"),
            ("list_ms", "processor time of taking the whole list, milliseconds"),
            ("delta_us", "processor time of taking one changed line, microseconds"),
        ]
    }

    fn is_deterministic(&self) -> bool {
        false
    }

    fn check(&self, parameters: &[(String, Level)]) -> Result<(), String> {
        setup(parameters).map(drop)
    }

    fn play(&self, parameters: &[(String, Level)], seed: u64) -> anyhow::Result<Outcome> {
        let setup = setup(parameters).expect("checked with the study");
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let settings = Settings {
            classes: vec![Class {
                value: 1.0,
                latency_target: 500.0,
                deadline: 3000.0,
                late_value_fraction: 0.0,
                retry_safety: RetrySafety::Idempotent,
            }],
            // Quotas of twice what is asked for: the coin is set and tossed, and lets all through.
            plans: vec![Plan {
                rate: 2.0 * setup.rate / f64::from(setup.customers),
                burst: 20.0 + 4.0 * setup.rate / f64::from(setup.customers),
                value_factor: 1.0,
                ..Plan::default()
            }],
            meter_period: 500.0,
            max_attempts: 4,
            allow_cancel: true,
            max_retry_after: 500.0,
            warm_up_start_fraction: 0.3,
            warm_up_duration: 1e12,
            collapse_load: 2.0,
            collapse_after: 3000.0,
            tick: 4.0,
            ..Settings::default()
        };
        let mut gateway = Gateway::new(settings, seed, 0.0).expect("these settings make sense");
        let mut actions = Vec::new();
        let cold = (f64::from(setup.nodes) * setup.cold).round() as u32;
        let line = |id: u32| ServerEntry {
            id,
            zone: 0,
            cell: 0,
            capacity: 1.0,
            lifecycle: Lifecycle::Ready,
            launched_at: (id < cold).then_some(0.0),
        };
        let entries: Vec<ServerEntry> = (0..setup.nodes).map(line).collect();
        let begun = processor_us();
        gateway.handle(0.0, Event::Servers { kind: ListKind::Full, entries }, &mut actions);
        let list_ms = (processor_us() - begun) / 1000.0;
        // What is due: time in nanoseconds, a number to part ties, and the event's kind.
        let mut due: BinaryHeap<Reverse<(u64, u64, Due)>> = BinaryHeap::new();
        let gap = 1000.0 / setup.rate;
        let block = if setup.nodes >= 1000 { BLOCK_AT_5000 } else { BLOCK };
        let warm_up = block / 4;
        let (mut planned, mut spent, mut events, mut sent) = (0, 0.0, 0u64, 0u64);
        for number in 0..warm_up + block {
            let now = 1.0 + number as f64 * gap;
            let mut batch = Vec::new();
            while let Some(Reverse((at, _, _))) = due.peek() {
                if *at as f64 / 1e6 > now {
                    break;
                }
                let Some(Reverse((at, _, what))) = due.pop() else { break };
                batch.push((at as f64 / 1e6, what.event()));
            }
            let request = Request {
                id: number + 1,
                customer: u64::from(random.random_range(0..setup.customers)),
                plan: 0,
                class: 0,
                units: 1.0,
                customer_gateways: 1,
                first_gateway: 0,
                expires_in: 3000.0,
                is_client_retry: false,
            };
            batch.push((now, Event::Request(request)));
            let handled = batch.len() as u64;
            let begun = processor_us();
            for (at, event) in batch {
                gateway.handle(at, event, &mut actions);
            }
            let took = processor_us() - begun;
            if number >= warm_up {
                spent += took;
                events += handled;
            }
            for action in actions.drain(..) {
                planned += 1;
                match action {
                    Action::Send { request, .. } => {
                        sent += u64::from(number >= warm_up);
                        due.push(Reverse((((now + ANSWER_MS) * 1e6) as u64, planned, Due::Answer(request))));
                    }
                    Action::SetTimer { at, token } => {
                        due.push(Reverse(((at * 1e6) as u64, planned, Due::Timer(token))))
                    }
                    _ => {}
                }
            }
        }
        let now = 2.0 + (warm_up + block) as f64 * gap;
        let changed = ServerEntry { lifecycle: Lifecycle::Draining, ..line(setup.nodes - 1) };
        let begun = processor_us();
        gateway.handle(now, Event::Servers { kind: ListKind::Delta, entries: vec![changed] }, &mut actions);
        let delta_us = processor_us() - begun;
        let requests = block as f64;
        let values =
            vec![spent / requests, events as f64 / requests, sent as f64 / requests, list_ms, delta_us];
        Ok(Outcome { values, broken: Vec::new() })
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Answer(u64),
    Timer(u64),
}

impl Due {
    fn event(self) -> Event {
        match self {
            Due::Timer(token) => Event::Timer(token),
            Due::Answer(request) => Event::AttemptEnd(AttemptEnd {
                request,
                attempt: 0,
                outcome: brassport_policy::Outcome::Ok,
                elapsed: ANSWER_MS,
                finished: true,
                used: Some(0.5),
            }),
        }
    }
}
