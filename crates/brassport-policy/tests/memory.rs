//! Memory per server, customer and open request, and that the memory of idle customers is returned. A
//! separate binary, as it counts the allocations of its process.

use brassport_policy::{
    Action, AttemptEnd, Class, Event, Gateway, Lifecycle, ListKind, Millis, Outcome, Plan, Request,
    RetrySafety, ServerEntry, Settings,
};
use stats_alloc::{Region, StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

const SERVERS: u32 = 10_000;
const CUSTOMERS: u64 = 200_000;
const OPEN_REQUESTS: u64 = 20_000;

struct Instance {
    gateway: Gateway,
    actions: Vec<Action>,
    now: Millis,
    last_id: u64,
    sent: Vec<u64>,
}

impl Instance {
    fn submit(&mut self, customer: u64) {
        self.last_id += 1;
        let request = Request {
            id: self.last_id,
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

    /// Ends all attempts that were sent.
    fn end_attempts(&mut self) {
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
        let entries: Vec<ServerEntry> = (0..SERVERS).map(line).collect();
        self.gateway.handle(1.0, Event::Servers { kind: ListKind::Full, entries }, &mut self.actions);
        self.actions.clear();
    }

    /// Requests of two customers without a quota, so that only the memory of requests is counted.
    fn submit_many(&mut self) {
        for number in 0..OPEN_REQUESTS {
            self.now += 0.01;
            self.submit(CUSTOMERS + number % 2);
        }
    }

    fn submit_for_each_customer(&mut self) {
        for number in 0..CUSTOMERS {
            self.now += 0.2;
            self.submit(number);
            self.end_attempts();
            self.sent.reserve(8);
        }
    }

    /// All customers but one are idle until they expire; each request of the remaining one checks four
    /// customers.
    fn expire_idle_customers(&mut self) {
        self.now += 30.0 * 5000.0;
        for _ in 0..CUSTOMERS {
            self.now += 1.0;
            self.submit(7);
            self.end_attempts();
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
    let gateway = Gateway::new(settings(), 1, 0.0).expect("the settings are valid");
    let buffers = (Vec::with_capacity(16), Vec::with_capacity(OPEN_REQUESTS as usize * 2));
    let mut instance = Instance { gateway, actions: buffers.0, now: 1.0, last_id: 0, sent: buffers.1 };
    let empty = used();
    instance.list_servers();
    let with_servers = used();
    let server = (with_servers - empty) / f64::from(SERVERS);

    instance.submit_many();
    let open = instance.sent.len();
    let request = (used() - with_servers) / open as f64;
    assert!(open > OPEN_REQUESTS as usize / 3, "only {open} of {OPEN_REQUESTS} were sent");
    instance.now += 20.0;
    instance.end_attempts();
    instance.sent.reserve(OPEN_REQUESTS as usize * 2);

    let before = used();
    instance.submit_for_each_customer();
    let customer = (used() - before) / CUSTOMERS as f64;

    instance.expire_idle_customers();
    let left = (used() - before) / (customer * CUSTOMERS as f64);
    println!(
        "bytes per server {server:.0}, per open request {request:.0}, per customer {customer:.0}; not returned: {left:.3}"
    );
    assert!(server < 700.0, "{server} bytes per server");
    assert!(request < 900.0, "{request} bytes per open request");
    assert!(customer < 700.0, "{customer} bytes per customer");
    assert!(left < 0.05, "{left} of the customers' memory is not returned");
}
