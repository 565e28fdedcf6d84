//! Memory of each server, customer and open request, and that it is returned. A binary of its own, as the allocations
//! that are counted are the process's.

use brassport_policy::{
    Action, AttemptEnd, Class, Event, Gateway, Lifecycle, ListKind, Millis, Outcome, Plan, Request,
    RetrySafety, ServerEntry, Settings,
};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const NODES: u32 = 10_000;
const CUSTOMERS: u64 = 200_000;
const OPEN: u64 = 20_000;

struct Instance {
    gateway: Gateway,
    actions: Vec<Action>,
    now: Millis,
    next: u64,
    sent: Vec<u64>,
}

impl Instance {
    fn submit(&mut self, customer: u64) {
        self.next += 1;
        let request = Request {
            id: self.next,
            customer,
            plan: usize::from(customer >= CUSTOMERS),
            class: 0,
            units: 1.0,
            customer_gateways: 3,
            first_gateway: 0,
            expires_in: 3000.0,
            is_client_retry: false,
        };
        self.gateway.handle(self.now, Event::Request(request), &mut self.actions);
        let sent = self.actions.drain(..).filter_map(|action| match action {
            Action::Send { request, .. } => Some(request),
            _ => None,
        });
        self.sent.extend(sent);
    }

    fn answer(&mut self) {
        for request in std::mem::take(&mut self.sent) {
            let (outcome, used) = (Outcome::Ok, Some(0.5));
            let end = AttemptEnd { request, attempt: 0, outcome, elapsed: 20.0, finished: true, used };
            self.gateway.handle(self.now, Event::AttemptEnd(end), &mut self.actions);
            self.actions.clear();
        }
    }

    fn list_servers(&mut self) {
        let line = |id| ServerEntry {
            id,
            zone: 0,
            cell: 0,
            capacity: 1.0,
            lifecycle: Lifecycle::Ready,
            launched_at: None,
        };
        let entries: Vec<ServerEntry> = (0..NODES).map(line).collect();
        self.gateway.handle(1.0, Event::Servers { kind: ListKind::Full, entries }, &mut self.actions);
        self.actions.clear();
    }

    /// Of two customers without a quota, so that it is the requests that are counted.
    fn submit_many(&mut self) {
        for number in 0..OPEN {
            self.now += 0.01;
            self.submit(CUSTOMERS + number % 2);
        }
    }

    fn submit_for_each_customer(&mut self) {
        for number in 0..CUSTOMERS {
            self.now += 0.2;
            self.submit(number);
            self.answer();
            self.sent.reserve(8);
        }
    }

    /// All but one are idle for longer than their buckets take to fill; each of its requests checks four.
    fn expire_idle_customers(&mut self) {
        self.now += 30.0 * 5000.0;
        for _ in 0..CUSTOMERS {
            self.now += 1.0;
            self.submit(7);
            self.answer();
        }
    }
}

fn settings() -> Settings {
    Settings {
        gateways: 3,
        classes: vec![Class {
            value: 1.0,
            latency_target: 500.0,
            deadline: 3000.0,
            late_value_fraction: 0.0,
            retry_safety: RetrySafety::Idempotent,
        }],
        plans: vec![Plan { rate: 1.0, burst: 5.0, value_factor: 1.0, ..Plan::default() }, Plan::default()],
        meter_period: 500.0,
        max_attempts: 4,
        max_retry_after: 500.0,
        ..Settings::default()
    }
}

#[test]
fn memory_per_entry_is_bounded_and_is_returned() {
    let region = Region::new(ALLOCATOR);
    let used = || {
        let change = region.change();
        change.bytes_allocated as f64 - change.bytes_deallocated as f64
    };
    let gateway = Gateway::new(settings(), 1, 0.0).expect("the settings make sense");
    let room = (Vec::with_capacity(16), Vec::with_capacity(OPEN as usize * 2));
    let mut instance = Instance { gateway, actions: room.0, now: 1.0, next: 0, sent: room.1 };
    let empty = used();
    instance.list_servers();
    let with_nodes = used();
    let node = (with_nodes - empty) / f64::from(NODES);

    instance.submit_many();
    let open = instance.sent.len();
    let request = (used() - with_nodes) / open as f64;
    assert!(open > OPEN as usize / 3, "only {open} of {OPEN} were let in");
    instance.now += 20.0;
    instance.answer();
    instance.sent.reserve(OPEN as usize * 2);

    let before = used();
    instance.submit_for_each_customer();
    let customer = (used() - before) / CUSTOMERS as f64;

    instance.expire_idle_customers();
    let left = (used() - before) / (customer * CUSTOMERS as f64);
    println!(
        "bytes for a node {node:.0}, an open request {request:.0}, a customer {customer:.0}; left {left:.3}"
    );
    assert!(node < 700.0, "{node} bytes for a node");
    assert!(request < 900.0, "{request} bytes for an open request");
    assert!(customer < 700.0, "{customer} bytes for a customer");
    assert!(left < 0.05, "{left} of the customers' memory is not given back");
}
