//! Hand-over: a gateway replaces another one and continues from its state.

use brassport_policy::*;
use proptest::prelude::*;

const MAX_BYTES: usize = 1 << 20;

fn settings() -> Settings {
    let class = |retry_safety| Class {
        value: 1.0,
        latency_target: 1000.0,
        deadline: 4000.0,
        late_value_fraction: 0.0,
        retry_safety,
    };
    let plan = Plan { rate: 20.0, burst: 40.0, max_in_flight: 2, ..Plan::default() };
    Settings {
        classes: vec![class(RetrySafety::Idempotent), class(RetrySafety::NonIdempotent)],
        plans: vec![plan, Plan { max_in_flight: 0, hard_limit_rate: 10.0, hard_limit_burst: 10.0, ..plan }],
        max_attempts: 3,
        meter_period: 500.0,
        warm_up_start_fraction: 0.24,
        warm_up_duration: 18_000.0,
        collapse_load: 2.0,
        collapse_after: 3000.0,
        ..Settings::default()
    }
}

fn request(id: RequestId, customer: CustomerId, plan: usize) -> Request {
    Request {
        id,
        customer,
        plan,
        class: 0,
        units: 1.0,
        customer_gateways: 1,
        first_gateway: 0,
        expires_in: 4000.0,
        is_client_retry: false,
    }
}

/// A list of servers in warm-up, with the lowest identifiers, and of warm servers.
fn servers(warming_up: u32, warm: u32) -> Event {
    let entry = |id| ServerEntry {
        id,
        zone: 0,
        cell: 0,
        capacity: 1.0,
        lifecycle: Lifecycle::Ready,
        launched_at: (id < warming_up).then_some(-1.0),
    };
    Event::Servers { kind: ListKind::Full, entries: (0..warming_up + warm).map(entry).collect() }
}

fn gateway() -> Gateway {
    Gateway::new(settings(), 1, 0.0).expect("the settings are valid")
}

/// Passes an event to the gateway, and returns the resulting actions except timers.
fn handle(gateway: &mut Gateway, now: Millis, event: Event) -> Vec<Action> {
    let mut actions = Vec::new();
    gateway.handle(now, event, &mut actions);
    actions.retain(|action| !matches!(action, Action::SetTimer { .. }));
    actions
}

fn sent_to(actions: &[Action]) -> Option<ServerId> {
    actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(*server),
        _ => None,
    })
}

fn end(request: RequestId) -> Event {
    let (attempt, outcome) = (0, Outcome::Ok);
    Event::AttemptEnd(AttemptEnd { request, attempt, outcome, elapsed: 5.0, finished: true, used: None })
}

/// Replaces a gateway that has attempts of these customers in flight.
fn successor_of(old: &mut Gateway, now: Millis, in_flight: Vec<CustomerId>) -> Gateway {
    let state = old.handover_state(MAX_BYTES);
    handle(old, now, Event::Retire);
    let mut new = gateway();
    assert_eq!(handle(&mut new, now, Event::ApplyHandover { state, in_flight }), []);
    new
}

/// Submits `count` requests of a customer with a rate limit to each of the gateways, every 20 ms from `from`
/// on. Returns the number of requests sent.
fn sent_within_rate_limit(
    gateways: &mut [&mut Gateway],
    from: Millis,
    count: u64,
    first: RequestId,
) -> usize {
    let mut sent = 0;
    for n in 0..count {
        let now = from + 20.0 * n as f64;
        for gateway in gateways.iter_mut() {
            let actions = handle(gateway, now, Event::Request(request(first + n, 7, 1)));
            if sent_to(&actions).is_some() {
                sent += 1;
                handle(gateway, now + 1.0, end(first + n));
            }
        }
    }
    sent
}

#[test]
fn a_rate_limit_is_spent_by_one_of_the_two_gateways() {
    for steps_before in [0, 10, 30, 60] {
        let mut old = gateway();
        handle(&mut old, 0.0, servers(0, 4));
        let before = sent_within_rate_limit(&mut [&mut old], 2000.0, steps_before, 1);
        let at = 2000.0 + 20.0 * steps_before as f64;
        let mut new = successor_of(&mut old, at, Vec::new());
        let after = sent_within_rate_limit(&mut [&mut old, &mut new], at, 100 - steps_before, 1000);
        // The burst of ten, and ten per second over two seconds.
        assert!(before + after <= 31, "{before} and {after}");
        assert!(before + after >= 20, "{before} and {after}: the rate limit is lost");
    }
}

#[test]
fn after_a_failed_handover_rate_limits_start_empty() {
    let mut old = gateway();
    handle(&mut old, 0.0, servers(0, 4));
    let before = sent_within_rate_limit(&mut [&mut old], 1900.0, 5, 1);
    let mut new = successor_of(&mut old, 2000.0, Vec::new());
    let spent = sent_within_rate_limit(&mut [&mut new], 2000.0, 20, 10);
    drop(new);
    handle(&mut old, 2400.0, Event::Resume);
    let after = sent_within_rate_limit(&mut [&mut old], 2400.0, 30, 1000);
    // The burst of ten, and ten per second over 1.1 s.
    assert!(before > 0 && spent > 0 && after > 0, "{before}, {spent}, {after}");
    assert!(before + spent + after <= 22, "{before}, {spent}, {after}");
}

#[test]
fn a_retired_gateway_sends_nothing_to_servers_in_warm_up() {
    let mut old = gateway();
    handle(&mut old, 0.0, servers(3, 1));
    let mut new = successor_of(&mut old, 100.0, Vec::new());
    let (mut by_old, mut by_new) = (0, 0);
    for n in 0..400 {
        let now = 100.0 + f64::from(n);
        for (gateway, count) in [(&mut old, &mut by_old), (&mut new, &mut by_new)] {
            let id = 1 + n as u64;
            let server = sent_to(&handle(gateway, now, Event::Request(request(id, id, 0))));
            *count += usize::from(server.is_some_and(|server| server < 3));
            handle(gateway, now, end(id));
        }
    }
    assert_eq!(by_old, 0);
    assert!(by_new > 20, "{by_new} of 400 sent to three servers in warm-up of four");
}

#[test]
fn attempts_in_flight_at_the_predecessor_count_until_they_end() {
    let mut old = gateway();
    handle(&mut old, 0.0, servers(0, 4));
    for id in [1, 2] {
        assert!(sent_to(&handle(&mut old, 1000.0, Event::Request(request(id, 7, 0)))).is_some());
    }
    let mut new = successor_of(&mut old, 1001.0, vec![7, 7]);
    assert_eq!(
        sent_to(&handle(&mut new, 1002.0, Event::Request(request(1, 7, 0)))),
        None,
        "both attempts are still in flight at the predecessor"
    );
    assert!(
        sent_to(&handle(&mut new, 1003.0, Event::PredecessorAttemptEnded(7))).is_some(),
        "the queued request is sent"
    );
    assert_eq!(sent_to(&handle(&mut new, 1004.0, Event::Request(request(2, 7, 0)))), None);
}

#[test]
fn an_ejected_server_stays_ejected() {
    let mut old = gateway();
    handle(&mut old, 0.0, servers(0, 1));
    for id in 1..9 {
        let now = 1000.0 + id as f64;
        if sent_to(&handle(&mut old, now, Event::Request(request(id, id, 0)))).is_some() {
            let (attempt, outcome) = (0, Outcome::Error);
            let failed =
                AttemptEnd { request: id, attempt, outcome, elapsed: 5.0, finished: true, used: None };
            handle(&mut old, now, Event::AttemptEnd(failed));
        }
    }
    assert!(old.is_ejected(0, 1010.0));
    let new = successor_of(&mut old, 1010.0, Vec::new());
    assert!(new.is_ejected(0, 1010.0));
}

#[test]
fn an_invalid_state_is_not_applied_and_the_gateway_starts_without() {
    let mut old = gateway();
    handle(&mut old, 0.0, servers(1, 3));
    let valid = old.handover_state(MAX_BYTES);
    let other_version = valid.replacen("\"form\":", "\"form\":9", 1);
    assert!(valid != other_version);
    assert_eq!(old.handover_state(valid.len() - 1), "", "a truncated state is useless");
    assert_eq!(old.handover_state(valid.len()), valid);
    for state in ["", "{}", &valid[..valid.len() / 2], &other_version] {
        let mut new = gateway();
        let actions =
            handle(&mut new, 10.0, Event::ApplyHandover { state: state.into(), in_flight: vec![7] });
        assert!(matches!(&actions[..], [Action::Log(line)] if line.contains("not taken")), "{actions:?}");
        handle(&mut new, 10.0, servers(0, 2));
        assert!(sent_to(&handle(&mut new, 2000.0, Event::Request(request(1, 7, 0)))).is_some());
    }
}

/// A state without the parts that a hand-over changes: the new gateway adds entries to the queue of warm-up
/// ends, and attempts in flight and queued requests are not handed over.
fn comparable(text: &str) -> serde_json::Value {
    let mut value: serde_json::Value = serde_json::from_str(text).expect("JSON");
    value["now"] = serde_json::Value::Null;
    value["fleet"].as_object_mut().expect("a fleet").remove("warming");
    for customer in value["customers"].as_object_mut().expect("customers").values_mut() {
        customer.as_object_mut().expect("one").retain(|key, _| key != "open" && key != "held");
    }
    value
}

proptest! {
    /// A successor reads any state, and its own state is the same.
    #[test]
    fn any_state_round_trips(
        seed in any::<u64>(),
        steps in prop::collection::vec((0u8..6, 1u16..400, 0u64..5), 1..120),
    ) {
        println!("seed {seed}");
        let mut old = Gateway::new(settings(), seed, 0.0).expect("the settings are valid");
        handle(&mut old, 0.0, servers(2, 3));
        let (mut now, mut id, mut open) = (0.0, 0, Vec::new());
        for (what, time, customer) in steps {
            now += f64::from(time);
            if what < 4 {
                id += 1;
                let offered = request(id, customer, usize::from(what % 2));
                if sent_to(&handle(&mut old, now, Event::Request(offered))).is_some() {
                    open.push(id);
                }
            } else if let Some(done) = open.pop() {
                let used = (what == 5).then_some(f64::from(time) / 200.0);
                let (attempt, outcome) = (0, if time % 3 == 0 { Outcome::Error } else { Outcome::Ok });
                let end = AttemptEnd { request: done, attempt, outcome, elapsed: 5.0, finished: true, used };
                handle(&mut old, now, Event::AttemptEnd(end));
            }
        }
        for done in open {
            handle(&mut old, now, end(done));
        }
        let state = old.handover_state(MAX_BYTES);
        let mut new = gateway();
        let actions = handle(&mut new, now, Event::ApplyHandover { state: state.clone(), in_flight: Vec::new() });
        prop_assert_eq!(actions, []);
        prop_assert!(comparable(&new.handover_state(MAX_BYTES)) == comparable(&state));
    }
}
