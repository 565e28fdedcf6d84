//! Settings that change while the gateway runs.

use brassport_policy::*;

fn class(retry_safety: RetrySafety) -> Class {
    Class { value: 1.0, latency_target: 1000.0, deadline: 4000.0, late_value_fraction: 0.0, retry_safety }
}

/// One class for each retry safety.
fn settings(retry_safety: &[RetrySafety], max_attempts: u32) -> Settings {
    Settings {
        classes: retry_safety.iter().copied().map(class).collect(),
        plans: vec![Plan { rate: 100.0, burst: 200.0, ..Plan::default() }],
        max_attempts,
        meter_period: 500.0,
        ..Settings::default()
    }
}

fn request(id: RequestId, class: usize) -> Request {
    Request {
        id,
        customer: 7,
        plan: 0,
        class,
        units: 1.0,
        customer_gateways: 1,
        first_gateway: 0,
        expires_in: 4000.0,
        is_client_retry: false,
    }
}

fn ready(id: ServerId) -> ServerEntry {
    ServerEntry { id, zone: 0, cell: 0, capacity: 1.0, lifecycle: Lifecycle::Ready, launched_at: None }
}

fn gateway(settings: Settings) -> Gateway {
    let mut gateway = Gateway::new(settings, 1, 0.0).expect("the settings are valid");
    let entries = (0..4).map(ready).collect();
    gateway.handle(0.0, Event::Servers { kind: ListKind::Full, entries }, &mut Vec::new());
    gateway
}

fn handle(gateway: &mut Gateway, now: Millis, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    gateway.handle(now, event, &mut actions);
    actions.retain(|action| !matches!(action, Action::SetTimer { .. } | Action::Log(_)));
    actions
}

fn end(request: RequestId, attempt: u8, outcome: Outcome) -> Event {
    Event::AttemptEnd(AttemptEnd { request, attempt, outcome, elapsed: 5.0, finished: false, used: None })
}

fn is_sent(actions: &[Action]) -> bool {
    matches!(actions, [Action::Send { .. }])
}

#[test]
fn a_request_keeps_the_class_settings_of_its_arrival() {
    let mut gateway = gateway(settings(&[RetrySafety::Idempotent, RetrySafety::NonIdempotent], 4));
    assert!(is_sent(&handle(&mut gateway, 1.0, Event::Request(request(1, 0)))));
    assert!(is_sent(&handle(&mut gateway, 2.0, Event::Request(request(2, 1)))));
    let swapped = settings(&[RetrySafety::NonIdempotent, RetrySafety::Idempotent], 4);
    handle(&mut gateway, 3.0, Event::Settings(Box::new(swapped)));
    assert!(
        is_sent(&handle(&mut gateway, 4.0, end(1, 0, Outcome::Reset))),
        "the request was idempotent when it arrived"
    );
    assert_eq!(
        handle(&mut gateway, 5.0, end(2, 0, Outcome::Reset)),
        [Action::Fail(2)],
        "the request was not idempotent when it arrived"
    );
    assert!(is_sent(&handle(&mut gateway, 6.0, Event::Request(request(3, 0)))));
    assert_eq!(
        handle(&mut gateway, 7.0, end(3, 0, Outcome::Reset)),
        [Action::Fail(3)],
        "the request arrived after the change"
    );
}

#[test]
fn fewer_attempts_apply_at_once_and_more_to_new_requests() {
    let mut gateway = gateway(settings(&[RetrySafety::Idempotent], 3));
    handle(&mut gateway, 1.0, Event::Request(request(1, 0)));
    handle(&mut gateway, 2.0, Event::Settings(Box::new(settings(&[RetrySafety::Idempotent], 1))));
    assert_eq!(handle(&mut gateway, 3.0, end(1, 0, Outcome::Reset)), [Action::Fail(1)]);
    handle(&mut gateway, 4.0, Event::Request(request(2, 0)));
    handle(&mut gateway, 5.0, Event::Settings(Box::new(settings(&[RetrySafety::Idempotent], 3))));
    assert_eq!(handle(&mut gateway, 6.0, end(2, 0, Outcome::Reset)), [Action::Fail(2)]);
}

#[test]
fn an_added_class_is_served_and_settings_that_drop_one_are_ignored() {
    let mut gateway = gateway(settings(&[RetrySafety::Idempotent], 3));
    let rejected = [Action::Reject { request: 1, retry_after: 0.0 }];
    assert_eq!(handle(&mut gateway, 1.0, Event::Request(request(1, 1))), rejected);
    handle(
        &mut gateway,
        2.0,
        Event::Settings(Box::new(settings(&[RetrySafety::Idempotent, RetrySafety::NonIdempotent], 3))),
    );
    assert!(is_sent(&handle(&mut gateway, 3.0, Event::Request(request(2, 1)))));
    handle(&mut gateway, 4.0, Event::Settings(Box::new(settings(&[RetrySafety::Idempotent], 3))));
    assert!(is_sent(&handle(&mut gateway, 5.0, Event::Request(request(3, 1)))));
    assert_eq!(handle(&mut gateway, 6.0, end(2, 0, Outcome::Reset)), [Action::Fail(2)]);
}

/// Submits 60 requests per second for 2 s, of a customer with a rate limit of 10 units per second and a burst
/// of 10 units, and calls `change` before each. Returns the number of requests sent.
fn sent_with_changes(change: impl Fn(&mut Gateway, Millis)) -> usize {
    let mut limited = settings(&[RetrySafety::Idempotent], 1);
    let plan = &mut limited.plans[0];
    (plan.hard_limit_rate, plan.hard_limit_burst) = (10.0, 10.0);
    let mut gateway = gateway(limited.clone());
    let mut sent = 0;
    for n in 0..120 {
        let now = 5000.0 + f64::from(n) * 1000.0 / 60.0;
        change(&mut gateway, now);
        let actions = handle(&mut gateway, now, Event::Request(request(1 + n as u64, 0)));
        if is_sent(&actions) {
            sent += 1;
            handle(&mut gateway, now + 1.0, end(1 + n as u64, 0, Outcome::Ok));
        }
    }
    sent
}

#[test]
fn new_settings_do_not_refill_a_rate_limit() {
    let mut same = settings(&[RetrySafety::Idempotent], 1);
    let plan = &mut same.plans[0];
    (plan.hard_limit_rate, plan.hard_limit_burst) = (10.0, 10.0);
    let without = sent_with_changes(|_, _| ());
    let with = sent_with_changes(|gateway, now| {
        handle(gateway, now, Event::Settings(Box::new(same.clone())));
    });
    assert!((20..=31).contains(&without), "{without}");
    assert_eq!(with, without);
}
