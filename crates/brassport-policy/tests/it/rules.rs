//! Rules that every sequence of decisions must keep: final answers, safe retries, draining, warm-up and rate
//! limits.

use crate::common::*;
use brassport_policy::*;

#[test]
fn a_request_without_a_response_fails_before_its_client_times_out() {
    let mut host = Host::new(settings(), &[server(1)]);
    let (_, actions) = host.submit(1, 3, 1);
    assert_eq!(sends(&actions), [1]);
    let actions = host.run_timers(4000.0);
    assert!(is_failed(&actions) && !is_rejected(&actions));
}

#[test]
fn an_unsafe_request_that_may_have_run_is_neither_retried_nor_rejected() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut host = Host::new(settings(), &[server(1), server(2)]);
        let (id, _) = host.submit(1, 3, 1);
        let actions = host.end(id, 0, outcome, None);
        assert!(sends(&actions).is_empty() && !is_rejected(&actions) && is_failed(&actions), "{outcome:?}");
    }
}

#[test]
fn an_unsafe_request_that_never_ran_is_retried_at_another_server() {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    let (id, first) = host.submit(1, 3, 1);
    let again = sends(&host.end(id, 0, Outcome::Overloaded, None));
    assert_eq!(again.len(), 1);
    assert_ne!(again, sends(&first));
}

#[test]
fn a_keyed_request_that_may_have_run_is_retried_in_its_scope_and_window() {
    let other_zone = ServerEntry { zone: 1, ..server(2) };
    let mut host = Host::new(settings(), &[server(1), other_zone]);
    let (id, first) = host.submit(1, 3, 2);
    assert_eq!(sends(&first), [1]);
    let again = sends(&host.end(id, 0, Outcome::Reset, None));
    assert!(again.iter().all(|server| *server == 1), "sent to another zone: {again:?}");
    let (id, _) = host.submit(1, 3, 2);
    host.now += 1600.0;
    assert!(
        sends(&host.end(id, 0, Outcome::Reset, None)).is_empty(),
        "sent again after the deduplication window"
    );
}

#[test]
fn a_server_gets_nothing_once_it_is_listed_as_draining() {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    let entries = vec![ServerEntry { lifecycle: Lifecycle::Draining, ..server(1) }];
    host.event(Event::Servers { kind: ListKind::Delta, entries });
    for _ in 0..50 {
        let (id, actions) = host.submit(1, 3, 0);
        assert_eq!(sends(&actions), [2]);
        host.end(id, 0, Outcome::Ok, None);
    }
}

#[test]
fn a_server_in_warm_up_gets_less_than_its_ramp_allows_in_any_window() {
    let warming_up = ServerEntry { launched_at: Some(0.0), ..server(9) };
    let mut host = Host::new(settings(), &[server(1), server(2), server(3), warming_up]);
    let (mut to_warming_up, mut to_warm) = (0, 0);
    let mut in_flight = std::collections::VecDeque::new();
    for _ in 0..300 {
        host.now += 10.0;
        let (id, actions) = host.submit(1, 3, 0);
        for target in sends(&actions) {
            if target == 9 {
                to_warming_up += 1;
            } else {
                to_warm += 1;
            }
        }
        if sends(&actions) == [9] {
            // The server in warm-up responds at once, and seems better than the busy warm servers.
            host.end(id, 0, Outcome::Ok, None);
            continue;
        }
        in_flight.push_back(id);
        if in_flight.len() > 12 {
            let oldest = in_flight.pop_front().expect("not empty");
            host.end(oldest, 0, Outcome::Ok, None);
        }
    }
    assert!(to_warming_up > 0, "no turn in warm-up");
    // The three warm servers got `to_warm`. The capacity rises from 0.25 to 0.48; twice that is the collapse
    // load.
    assert!(
        f64::from(to_warming_up) < 2.0 * 0.48 * f64::from(to_warm) / 3.0,
        "{to_warming_up} sent to the server in warm-up, {to_warm} to the warm ones"
    );
}

#[test]
fn a_rate_limit_share_fills_from_the_start_and_is_never_exceeded() {
    let mut host = Host::new(settings(), &[server(1)]);
    let mut sent = 0.0;
    for step in 1..=4000 {
        host.now = f64::from(step) * 2.0;
        let (id, actions) = host.submit(1, 1, 0);
        if !sends(&actions).is_empty() {
            sent += 1.0;
            host.end(id, 0, Outcome::Ok, Some(0.1));
        }
        // Half of the rate limit's 20 units per second, as the customer uses two gateways.
        assert!(sent <= 10.0 * host.now / 1000.0, "{sent} sent after {} ms", host.now);
    }
    assert!(sent > 50.0);
}

#[test]
fn a_request_submitted_twice_is_sent_and_answered_once() {
    let mut host = Host::new(settings(), &[server(1), server(2), server(3), server(4)]);
    let (id, first) = host.submit(1, 3, 1);
    let request = Request {
        id,
        customer: 1,
        plan: 3,
        class: 1,
        units: 1.0,
        customer_gateways: 2,
        first_gateway: 0,
        expires_in: 4000.0,
        is_client_retry: false,
    };
    assert_eq!(sends(&first).len(), 1);
    assert!(host.event(Event::Request(request)).is_empty());
    host.end(id, 0, Outcome::Reset, None);
    let finals =
        host.actions.iter().filter(|action| matches!(action, Action::Fail(_) | Action::Reject { .. }));
    assert_eq!(finals.count(), 1);
}

#[test]
fn requests_beyond_the_concurrency_quota_are_queued_until_an_attempt_ends() {
    let mut host = Host::new(settings(), &[server(1), server(2), server(3), server(4), server(5)]);
    let (first, _) = host.submit(1, 2, 0);
    host.submit(1, 2, 0);
    let (third, actions) = host.submit(1, 2, 0);
    assert!(sends(&actions).is_empty() && !is_rejected(&actions));
    let actions = host.end(first, 0, Outcome::Ok, None);
    assert!(actions.iter().any(|action| matches!(action, Action::Send { request, .. } if *request == third)));
}

#[test]
fn settings_out_of_range_are_named() {
    let broken: [(&str, Settings); 4] = [
        ("gateways", Settings { gateways: 0, ..settings() }),
        ("max_attempts", Settings { max_attempts: 0, ..settings() }),
        ("meter_period", Settings { meter_period: f64::NAN, ..settings() }),
        ("plans[0].rate", Settings { plans: vec![Plan { rate: -1.0, ..Plan::default() }], ..settings() }),
    ];
    for (field, settings) in broken {
        assert_eq!(Gateway::new(settings, 1, 0.0).expect_err(field).field, field);
    }
}

/// Submits five requests at each of two hundred gateways, to ten servers of which `warming_up` were just
/// launched. Returns the numbers of requests sent to servers in warm-up and to warm servers.
fn sends_of_two_hundred(warming_up: u32) -> (usize, usize) {
    let fleet: Vec<_> = (0..10)
        .map(|id| ServerEntry { launched_at: (id < warming_up).then_some(100.0), ..server(id) })
        .collect();
    let (mut to_warming_up, mut to_warm) = (0, 0);
    for ordinal in 0..200 {
        let settings = Settings { gateways: 200, ordinal, ..settings() };
        let mut gateway = Gateway::new(settings, u64::from(ordinal), 0.0).expect("the settings are valid");
        let mut actions = Vec::new();
        gateway.handle(100.0, Event::Servers { kind: ListKind::Full, entries: fleet.clone() }, &mut actions);
        for id in 1..=5 {
            let (customer, plan, class, units, customer_gateways) = (id, 3, 0, 1.0, 200);
            let (expires_in, is_client_retry) = (4000.0, false);
            let request = Request {
                id,
                customer,
                plan,
                class,
                units,
                customer_gateways,
                first_gateway: 0,
                expires_in,
                is_client_retry,
            };
            gateway.handle(100.0, Event::Request(request), &mut actions);
        }
        let targets = sends(&actions);
        to_warming_up += targets.iter().filter(|id| **id < warming_up).count();
        to_warm += targets.iter().filter(|id| **id >= warming_up).count();
    }
    (to_warming_up, to_warm)
}

#[test]
fn hundreds_of_gateways_together_send_a_server_its_share_in_warm_up() {
    let (warming_up, warm) = sends_of_two_hundred(1);
    // The server has a quarter of its capacity, and collapses at twice that load.
    assert!(
        warming_up > 0 && (warming_up as f64) < 0.4 * warm as f64 / 9.0,
        "{warming_up} sent to the server in warm-up, {warm} to nine warm ones"
    );
}

#[test]
fn requests_beyond_the_capacity_of_a_fleet_in_warm_up_are_rejected() {
    let (_, usual) = sends_of_two_hundred(0);
    let (warming_up, _) = sends_of_two_hundred(10);
    // The servers have a quarter of their capacity, and collapse at half of it.
    assert!(
        warming_up > usual / 5 && warming_up < usual / 2,
        "{warming_up} sent to a fleet in warm-up, {usual} to a warm one"
    );
}

/// One of `gateways`, with four servers. A customer's rate limit over all gateways is 16 units per second,
/// with a burst of 64 units and a slack of 6.4. A request has at most `units`.
fn limited_gateway(gateways: u32, ordinal: u32, units: f64) -> Gateway {
    let class = Class {
        value: 1.0,
        latency_target: 500.0,
        deadline: 2000.0,
        late_value_fraction: 0.0,
        retry_safety: RetrySafety::Idempotent,
    };
    let settings = Settings {
        gateways,
        ordinal,
        classes: vec![class],
        plans: vec![Plan {
            hard_limit_rate: 16.0,
            hard_limit_burst: 64.0,
            hard_limit_slack: 6.4,
            ..Plan::default()
        }],
        max_units: units,
        ..Settings::default()
    };
    let mut instance = Gateway::new(settings, u64::from(ordinal), 0.0).expect("the settings are valid");
    let entries = (0..4).map(server).collect();
    instance.handle(0.0, Event::Servers { kind: ListKind::Full, entries }, &mut Vec::new());
    instance
}

/// Submits requests of one customer through `set` of `gateways`, from number `first` on, which share the rate
/// limit of [`limited_gateway`]: after an idle minute four requests at each gateway at once, then four per
/// second at each gateway for ten seconds. Each request has the maximum of `units`. Returns the units sent at
/// once and later.
fn sends_with_shared_limit(gateways: u32, (first, set): (u32, u32), units: f64) -> (f64, f64) {
    let mut instances: Vec<Gateway> =
        (0..set).map(|place| limited_gateway(gateways, (first + place) % gateways, units)).collect();
    let (mut at_once, mut later, mut id) = (0.0, 0.0, 0);
    for round in 0..44u32 {
        // Four at each gateway at once, then one at each gateway every 250 ms.
        let now = 60_000.0 + f64::from(round.saturating_sub(3)) * 250.0;
        for instance in &mut instances {
            id += 1;
            let request = Request {
                id,
                customer: 12_345,
                plan: 0,
                class: 0,
                units,
                customer_gateways: set,
                first_gateway: first,
                expires_in: 2000.0,
                is_client_retry: false,
            };
            let mut actions = Vec::new();
            instance.handle(now, Event::Request(request), &mut actions);
            let sent = actions.iter().filter(|action| matches!(action, Action::Send { .. })).count() as f64;
            *(if round < 4 { &mut at_once } else { &mut later }) += sent * units;
        }
    }
    (at_once, later)
}

#[test]
fn a_rate_limit_holds_and_is_usable_with_more_gateways_than_units() {
    let all = [1, 10, 70, 71, 100, 200, 1000].map(|gateways| (gateways, (0, gateways), 1.0));
    // Subsets of the gateways, some of which wrap around the last gateway, and requests of several units.
    let subsets = [(350, (0, 71), 1.0), (350, (300, 175), 1.0), (350, (349, 349), 1.0), (100, (90, 40), 4.0)];
    for (gateways, set, units) in all.into_iter().chain(subsets) {
        let (at_once, later) = sends_with_shared_limit(gateways, set, units);
        let what =
            format!("{gateways} gateways, set {set:?}, {units} units: {at_once} at once, {later} later");
        assert!(at_once <= 70.4 && at_once + later <= 70.4 + 16.0 * 10.1, "{what}");
        // Guards against shares smaller than one request, with which no request would ever be sent.
        assert!(at_once + later >= 20.0, "{what}");
    }
}
