//! Quota admission: which requests are admitted, by quota, meter readings and class.

use crate::common::*;
use brassport_policy::*;

/// Submits `rate` requests per second for `seconds`; each response carries the meter reading `used`. Returns
/// the number of requests sent.
fn submit_at(host: &mut Host, rate: f64, seconds: f64, class: usize, used: f64) -> f64 {
    let mut sent = 0.0;
    for _ in 0..(rate * seconds) as u32 {
        host.now += 1000.0 / rate;
        let (id, actions) = host.submit(1, 0, class);
        if !sends(&actions).is_empty() {
            sent += 1.0;
            host.end(id, 0, Outcome::Ok, Some(used));
        }
    }
    sent
}

#[test]
fn a_customer_within_its_quota_is_never_rejected() {
    let mut host = Host::new(settings(), &[server(1)]);
    assert_eq!(submit_at(&mut host, 5.0, 20.0, 0, 0.5), 100.0);
}

/// Submits a request every 25 ms for 30 s, of each class in turn. The meter sums usage over half seconds and
/// reports it one period later. Returns the number of requests of each class that were sent in the last 20 s.
fn offer_four_times_the_quota(classes: &[usize], customer_gateways: u32) -> Vec<f64> {
    let mut host = Host::new(settings(), &[server(1)]);
    host.customer_gateways = customer_gateways;
    let mut periods = [0.0; 62];
    let mut sent = vec![0.0; 3];
    for step in 0..1200 {
        host.now += 25.0;
        let period = (host.now / 500.0) as usize;
        let class = classes[step % classes.len()];
        let (id, actions) = host.submit(1, 0, class);
        if !sends(&actions).is_empty() {
            periods[period] += 1.0;
            sent[class] += f64::from(u8::from(host.now > 10_000.0));
            host.end(id, 0, Outcome::Ok, (period >= 2).then(|| periods[period - 2] / 5.0));
        }
    }
    sent
}

#[test]
fn a_customer_at_four_times_its_quota_gets_about_its_quota() {
    let sent = offer_four_times_the_quota(&[0], 2)[0];
    assert!((150.0..220.0).contains(&sent), "{sent} of 800 sent, the quota is 200");
}

#[test]
fn the_quota_holds_behind_a_single_gateway() {
    let sent = offer_four_times_the_quota(&[0], 1)[0];
    assert!((150.0..240.0).contains(&sent), "{sent} of 800 sent, the quota is 200");
}

#[test]
fn remote_usage_counts_against_the_quota() {
    let mut host = Host::new(settings(), &[server(1)]);
    submit_at(&mut host, 10.0, 10.0, 0, 4.0);
    let sent = submit_at(&mut host, 10.0, 20.0, 0, 4.0);
    assert!(sent < 100.0, "{sent} of 200 sent although usage is four times the quota");
    assert!(sent > 0.0, "the minimum probability admits some requests");
}

#[test]
fn the_lowest_value_is_rejected_first() {
    let sent = offer_four_times_the_quota(&[0, 1, 1, 1], 2);
    assert!(
        sent[0] > 120.0 && sent[1] < 60.0,
        "{} of 200 of high value, {} of 600 of low value sent",
        sent[0],
        sent[1]
    );
}

/// One of fifty gateways. The customers' requests come through all of them.
fn one_of_fifty() -> Host {
    let servers: Vec<_> = (1..=40).map(server).collect();
    Host::new(Settings { gateways: 50, ..settings() }, &servers)
}

/// Submits one request of a customer that uses fifty gateways, and answers it at once if it is sent. Returns
/// whether it is sent.
fn submit_one_of_fifty(host: &mut Host, id: RequestId, customer: CustomerId, used: Option<f64>) -> bool {
    let (units, expires_in) = (1.0, 4000.0);
    let request = Request {
        id,
        customer,
        plan: 0,
        class: 0,
        units,
        customer_gateways: 50,
        first_gateway: 0,
        expires_in,
        is_client_retry: false,
    };
    let is_sent = !sends(&host.event(Event::Request(request))).is_empty();
    if is_sent {
        host.end(id, 0, Outcome::Ok, used);
    }
    is_sent
}

/// Submits `rate` requests per second of such a customer to one gateway for `seconds`, without meter
/// readings. Returns the numbers of requests sent and submitted in the second half.
fn submit_to_one_of_fifty(rate: f64, seconds: f64) -> (f64, f64) {
    let mut host = one_of_fifty();
    let (mut sent, mut offered) = (0.0, 0.0);
    for id in 1..=(rate * seconds) as u64 {
        host.now += 1000.0 / rate;
        let is_sent = submit_one_of_fifty(&mut host, id, 1, None);
        if host.now > seconds * 500.0 {
            offered += 1.0;
            sent += f64::from(u8::from(is_sent));
        }
    }
    (sent, offered)
}

#[test]
fn without_readings_local_load_times_the_gateways_reveals_a_heavy_customer() {
    // The quota of 10 per second is 0.2 per second at each of fifty gateways.
    let (sent, offered) = submit_to_one_of_fifty(2.0, 400.0);
    assert!(sent < 0.3 * offered && sent > 0.0, "{sent} of {offered} admitted at ten times the quota");
}

#[test]
fn a_customer_with_rare_requests_is_admitted() {
    let (sent, offered) = submit_to_one_of_fifty(0.05, 2000.0);
    assert!(sent > 0.9 * offered, "{sent} of {offered} admitted at a quarter of the quota");
}

/// One of fifty gateways after requests of 400 customers whose offered load is `load` times their quota. The
/// other gateways behave alike: readings report `load`, times the fraction that is admitted here.
fn host_with_plan_usage(load: f64) -> Host {
    let mut host = one_of_fifty();
    let mut admitted_fraction = 1.0;
    for customer in 1..=400 {
        host.now += 5.0;
        let is_sent = submit_one_of_fifty(&mut host, customer, customer, Some(load * admitted_fraction));
        admitted_fraction += 0.05 * (f64::from(u8::from(is_sent)) - admitted_fraction);
    }
    host
}

/// Ends requests without a quota late, until hardly any capacity is left.
fn reduce_capacity(host: &mut Host) {
    for _ in 0..15 {
        let (request, actions) = host.submit(9_999, 3, 0);
        host.now += 200.0;
        assert!(!sends(&actions).is_empty(), "rejected with few requests in flight");
        let (attempt, outcome, elapsed, finished, used) = (0, Outcome::Ok, 900.0, true, None);
        host.event(Event::AttemptEnd(AttemptEnd { request, attempt, outcome, elapsed, finished, used }));
    }
}

/// Submits one request of each of 200 new customers, of each class in turn. Returns the number of rejections
/// over quota by class. These have a retry-after time below the meter period of 500 ms; rejections for lack
/// of capacity have a longer one.
fn over_quota_by_class(host: &mut Host, classes: &[usize]) -> Vec<usize> {
    let mut rejected = vec![0; 3];
    for customer in 1001..=1200u64 {
        host.now += 5.0;
        let class = classes[customer as usize % classes.len()];
        let request = Request {
            id: customer,
            customer,
            plan: 0,
            class,
            units: 1.0,
            customer_gateways: 50,
            first_gateway: 0,
            expires_in: 4000.0,
            is_client_retry: false,
        };
        let actions = host.event(Event::Request(request));
        let is_over_quota =
            |action: &Action| matches!(action, Action::Reject { retry_after, .. } if *retry_after < 400.0);
        rejected[class] += usize::from(actions.iter().any(is_over_quota));
        if !sends(&actions).is_empty() {
            host.end(customer, 0, Outcome::Ok, None);
        }
    }
    rejected
}

#[test]
fn typical_usage_of_a_plan_applies_to_its_next_customer() {
    let admitted = |used| 200 - over_quota_by_class(&mut host_with_plan_usage(used), &[0])[0];
    let (low, full, heavy) = (admitted(0.2), admitted(1.0), admitted(4.0));
    assert!(low > 195, "{low} of 200 admitted although the plan's usage is low");
    assert!(full > 180, "{full} of 200 admitted although the plan's usage is within the quota");
    assert!(heavy < 150, "{heavy} of 200 admitted although the plan's usage is four times the quota");
}

#[test]
fn without_capacity_customers_without_readings_are_rejected_first() {
    let with_capacity = over_quota_by_class(&mut host_with_plan_usage(2.5), &[0])[0];
    let mut host = host_with_plan_usage(2.5);
    reduce_capacity(&mut host);
    let without_capacity = over_quota_by_class(&mut host, &[0])[0];
    assert!(
        with_capacity < 60 && without_capacity > with_capacity + 30,
        "{with_capacity} of 200 rejected over quota with capacity, {without_capacity} without"
    );
}

/// The admitted fraction of the lowest class, for customers without readings, depends on the plan's typical
/// load: all is admitted up to a little above the quota, where the bursts are not used up, and less at higher
/// loads.
#[test]
fn the_lowest_class_gets_what_the_highest_leaves_of_the_quota() {
    let fractions: Vec<[f64; 2]> = [0.3, 0.8, 1.3, 2.0, 4.0]
        .into_iter()
        .map(|used| {
            let rejected = over_quota_by_class(&mut host_with_plan_usage(used), &[0, 1]);
            [0, 1].map(|class| 1.0 - rejected[class] as f64 / 100.0)
        })
        .collect();
    println!("fractions of high and low value at 0.3, 0.8, 1.3, 2 and 4 times the quota: {fractions:.2?}");
    assert!(
        fractions[..3].iter().all(|fraction| fraction[1] > 0.9),
        "all are admitted near the quota: {fractions:?}"
    );
    assert!(
        fractions[3][1] > 0.5 && fractions[4][1] < 0.5,
        "far beyond the quota the low class is rejected first: {fractions:?}"
    );
    assert!(fractions.windows(2).all(|next| next[1][1] <= next[0][1] + 0.05), "{fractions:?}");
    assert!(fractions.iter().all(|[high, low]| high + 0.05 >= *low && *high > 0.5), "{fractions:?}");
}

#[test]
fn a_retry_past_its_latency_target_takes_no_quota() {
    let mut host = Host::new(settings(), &[server(1)]);
    for _ in 0..3 {
        host.now += 500.0;
        let (id, _) = host.submit(1, 0, 0);
        host.end(id, 0, Outcome::Ok, Some(0.5));
    }
    // Clients time out after 4 s. With 2.9 s left the first attempt was 1.1 s ago, beyond the latency target
    // of 1 s.
    assert!(is_rejected(&host.submit_retry(1, 0, 2900.0)));
    assert!(!is_rejected(&host.submit_retry(1, 0, 3900.0)));
}

#[test]
fn a_reading_that_is_not_finite_is_ignored() {
    let mut host = Host::new(settings(), &[server(1)]);
    assert_eq!(submit_at(&mut host, 5.0, 5.0, 0, f64::NAN), 25.0);
    submit_at(&mut host, 10.0, 10.0, 0, 4.0);
    submit_at(&mut host, 10.0, 1.0, 0, f64::NAN);
    let sent = submit_at(&mut host, 10.0, 20.0, 0, 4.0);
    assert!(sent < 100.0, "{sent} of 200 sent although usage is four times the quota");
}

#[test]
fn a_surge_is_assumed_at_the_other_gateways_too() {
    // Without any reading: at the other gateways as many units are assumed beyond their share of the quota.
    let sent = |customer_gateways: u32| {
        let mut host = Host::new(settings(), &[server(1)]);
        let mut sent = 0;
        for id in 1..=40 {
            host.now += 10.0;
            let request = Request {
                id,
                customer: 1,
                plan: 0,
                class: 0,
                units: 1.0,
                customer_gateways,
                first_gateway: 0,
                expires_in: 4000.0,
                is_client_retry: false,
            };
            if !sends(&host.event(Event::Request(request))).is_empty() {
                sent += 1;
                host.end(id, 0, Outcome::Ok, None);
            }
        }
        sent
    };
    let (alone, shared) = (sent(1), sent(4));
    assert!(shared < alone, "{shared} sent in a surge through four gateways, {alone} through one");
    assert!(shared > 0);
}

#[test]
fn a_rejection_over_quota_has_a_retry_after_time() {
    let mut host = Host::new(settings(), &[server(1)]);
    let mut waits = Vec::new();
    for id in 1..=400 {
        host.now += 5.0;
        for action in host.submit(1, 0, 0).1 {
            match action {
                Action::Reject { retry_after, .. } => waits.push(retry_after),
                Action::Send { request, .. } => drop(host.end(request, 0, Outcome::Ok, Some(4.0))),
                _ => {}
            }
        }
        assert!(id < 400 || !waits.is_empty(), "nothing was rejected");
    }
    assert!(waits.iter().all(|wait| (50.0..=500.0).contains(wait)), "{waits:?}");
    let jitter = waits.iter().copied().fold(0.0, f64::max) - waits.iter().copied().fold(500.0, f64::min);
    assert!(jitter > 50.0, "all clients retry at the same time");
}

#[test]
fn rare_customers_are_not_estimated_as_heavy_by_their_active_periods() {
    // Each customer sends one request in 2,000 s or less, in which its quota is four. A reading for the half
    // second of a request reports a thousand times the quota.
    let mut settings = settings();
    settings.gateways = 10;
    settings.plans = vec![Plan {
        rate: 0.002,
        burst: 2.0,
        value_factor: 1.0,
        over_quota_cost_fraction: 1.0,
        ..Plan::default()
    }];
    let mut host = Host::new(settings, &(0..20).map(server).collect::<Vec<_>>());
    host.customer_gateways = 3;
    let (mut sent, mut offered) = (0, 0);
    for number in 0..12_000u64 {
        host.now = 1000.0 + number as f64 * 200.0;
        let (id, actions) = host.submit(number % 10_000, 0, 0);
        let is_sent = actions.iter().any(|action| matches!(action, Action::Send { .. }));
        if number >= 6000 {
            (sent, offered) = (sent + u32::from(is_sent), offered + 1);
        }
        if is_sent {
            let period = |now: f64| (now / 500.0).floor();
            let sent = period(host.now);
            host.now += 150.0;
            let used = if period(host.now) > sent { 1000.0 } else { 0.0 };
            host.end(id, 0, Outcome::Ok, Some(used));
        }
        host.actions.clear();
    }
    assert!(sent > 9 * offered / 10, "{sent} of {offered} were sent");
}

#[test]
fn the_burst_of_a_late_customer_is_assumed_used_as_by_its_plan() {
    // Number of fifty customers, a minute after the first requests of their plan's other customers, that have
    // two requests at once admitted.
    let twice = |used: f64| {
        let mut host = one_of_fifty();
        let mut twice = 0;
        for id in 1..=500u64 {
            host.now += if id == 401 { 60_000.0 } else { 5.0 };
            let (customer, units, expires_in) = (id.min(id / 2 + 201), 1.0, 4000.0);
            let request = Request {
                id,
                customer,
                plan: 0,
                class: 0,
                units,
                customer_gateways: 40,
                first_gateway: 0,
                expires_in,
                is_client_retry: false,
            };
            if !sends(&host.event(Event::Request(request))).is_empty() {
                host.end(id, 0, Outcome::Ok, (id <= 400).then_some(used));
                twice += u32::from(id > 400 && id % 2 == 1);
            }
        }
        twice
    };
    let (low, heavy) = (twice(0.2), twice(4.0));
    assert!(low > 30, "{low} of 50 admitted twice although the plan's usage is low");
    assert!(heavy < 15, "{heavy} of 50 admitted twice although the plan's usage is four times the quota");
}

#[test]
fn client_retries_do_not_count_as_offered_load() {
    // The customer offers three fifths of this gateway's share of its quota. Each request is retried three
    // times, as if other gateways had rejected it.
    let mut host = one_of_fifty();
    let (mut sent, mut offered) = (0, 0);
    for step in 0..1600u64 {
        host.now += 2083.0;
        let (is_client_retry, units, expires_in) = (step % 4 > 0, 1.0, 4000.0);
        let request = Request {
            id: step,
            customer: 1,
            plan: 0,
            class: 0,
            units,
            customer_gateways: 50,
            first_gateway: 0,
            expires_in,
            is_client_retry,
        };
        let is_sent = !sends(&host.event(Event::Request(request))).is_empty();
        if is_sent {
            host.end(step, 0, Outcome::Ok, None);
        }
        if step >= 800 && !is_client_retry {
            (sent, offered) = (sent + u32::from(is_sent), offered + 1);
        }
    }
    assert!(sent > 9 * offered / 10, "{sent} of {offered} first attempts admitted");
}
