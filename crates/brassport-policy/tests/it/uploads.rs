//! Uploads: requests that are forwarded while their bodies are still being received.

use brassport_policy::*;

/// A gateway with four servers and a limit on a customer's attempts in flight; 0: no limit.
fn gateway(max_in_flight: u32) -> Gateway {
    let class = Class {
        value: 1.0,
        latency_target: 1000.0,
        deadline: 4000.0,
        late_value_fraction: 0.0,
        retry_safety: RetrySafety::NonIdempotent,
    };
    let settings = Settings {
        classes: vec![class],
        plans: vec![Plan { rate: 100.0, burst: 200.0, max_in_flight, ..Plan::default() }],
        max_attempts: 4,
        meter_period: 500.0,
        allow_cancel: true,
        ..Settings::default()
    };
    let mut gateway = Gateway::new(settings, 1, 0.0).expect("the settings are valid");
    let ready = |id| ServerEntry {
        id,
        zone: 0,
        cell: 0,
        capacity: 1.0,
        lifecycle: Lifecycle::Ready,
        launched_at: None,
    };
    let entries = (0..4).map(ready).collect();
    gateway.handle(0.0, Event::Servers { kind: ListKind::Full, entries }, &mut Vec::new());
    gateway
}

fn request(id: RequestId) -> Request {
    Request {
        id,
        customer: 7,
        plan: 0,
        class: 0,
        units: 1.0,
        customer_gateways: 1,
        first_gateway: 0,
        expires_in: 2000.0,
        is_client_retry: false,
    }
}

/// Passes an event to the gateway. Returns the resulting actions except timers and log lines, and the time
/// and token of each timer.
fn handle(gateway: &mut Gateway, now: Millis, event: Event) -> (Vec<Action>, Vec<(Millis, u64)>) {
    let mut actions = Vec::new();
    gateway.handle(now, event, &mut actions);
    let timers = actions.iter().filter_map(|action| match action {
        Action::SetTimer { at, token } => Some((*at, *token)),
        _ => None,
    });
    let timers = timers.collect();
    actions.retain(|action| !matches!(action, Action::SetTimer { .. } | Action::Log(_)));
    (actions, timers)
}

fn end(request: RequestId, outcome: Outcome) -> Event {
    Event::AttemptEnd(AttemptEnd { request, attempt: 0, outcome, elapsed: 5.0, finished: false, used: None })
}

#[test]
fn the_deadline_begins_with_the_last_byte() {
    let mut gateway = gateway(0);
    let (sent, timers) = handle(&mut gateway, 100.0, Event::Upload(request(1)));
    assert!(matches!(sent[..], [Action::Send { request: 1, .. }]));
    assert_eq!(timers, [], "no timer is set before the upload is complete");
    let (nothing, timers) = handle(&mut gateway, 90_000.0, Event::UploadComplete(1));
    assert_eq!(nothing, []);
    let last = timers.iter().map(|(at, _)| *at).fold(0.0, f64::max);
    assert_eq!(last, 90_000.0 + 2000.0 - 2.0, "the client's timeout less two ticks");
    for (at, token) in timers {
        let (actions, _) = handle(&mut gateway, at, Event::Timer(token));
        assert_eq!(actions.contains(&Action::Fail(1)), at == last, "{actions:?} at {at}");
    }
    assert_eq!(
        handle(&mut gateway, 93_000.0, Event::UploadComplete(1)),
        (vec![], vec![]),
        "the request is complete"
    );
}

#[test]
fn an_upload_has_one_attempt_whatever_its_outcome() {
    for (outcome, is_complete, answer) in [
        (Outcome::Overloaded, false, Action::Reject { request: 1, retry_after: 0.0 }),
        (Outcome::NoConnection, false, Action::Reject { request: 1, retry_after: 0.0 }),
        (Outcome::Overloaded, true, Action::Reject { request: 1, retry_after: 0.0 }),
        (Outcome::Reset, true, Action::Fail(1)),
    ] {
        let mut gateway = gateway(0);
        handle(&mut gateway, 100.0, Event::Upload(request(1)));
        if is_complete {
            handle(&mut gateway, 200.0, Event::UploadComplete(1));
        }
        assert_eq!(
            handle(&mut gateway, 300.0, end(1, outcome)).0,
            [answer],
            "{outcome:?}, complete: {is_complete}"
        );
    }
}

#[test]
fn an_upload_is_in_flight_from_its_last_byte_on() {
    let mut gateway = gateway(1);
    handle(&mut gateway, 100.0, Event::Upload(request(1)));
    let (sent, _) = handle(&mut gateway, 200.0, Event::Request(request(2)));
    assert!(
        matches!(sent[..], [Action::Send { request: 2, .. }]),
        "the other upload is incomplete: {sent:?}"
    );
    handle(&mut gateway, 300.0, end(2, Outcome::Ok));
    handle(&mut gateway, 400.0, Event::UploadComplete(1));
    assert_eq!(
        handle(&mut gateway, 500.0, Event::Request(request(3))).0,
        [],
        "an attempt is in flight: the request is queued"
    );
    let (ended, _) = handle(&mut gateway, 600.0, end(1, Outcome::Reset));
    assert!(matches!(ended[..], [Action::Fail(1), Action::Send { request: 3, .. }]), "{ended:?}");
}

#[test]
fn an_incomplete_upload_releases_no_slot_of_another_request() {
    let mut gateway = gateway(1);
    handle(&mut gateway, 100.0, Event::Upload(request(1)));
    handle(&mut gateway, 200.0, Event::Request(request(2)));
    handle(&mut gateway, 300.0, Event::ClientDisconnected(1));
    handle(&mut gateway, 301.0, end(1, Outcome::NoConnection));
    assert_eq!(
        handle(&mut gateway, 400.0, Event::Request(request(3))).0,
        [],
        "the second request is still in flight"
    );
}

#[test]
fn slow_uploads_do_not_lower_the_limit() {
    let mut gateway = gateway(0);
    let before = gateway.capacity();
    for id in 1..200 {
        handle(&mut gateway, 100.0 + id as f64, Event::Upload(request(id)));
    }
    assert_eq!(gateway.capacity(), before);
    let (sent, _) = handle(&mut gateway, 9000.0, Event::Request(request(500)));
    assert!(
        matches!(sent[..], [Action::Send { request: 500, .. }]),
        "incomplete uploads do not occupy servers: {sent:?}"
    );
}
