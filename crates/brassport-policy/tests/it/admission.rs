//! Quota admission: the admission probability and what it follows.

use crate::common::*;
use brassport_policy::*;

/// Asks at `rate` a second for `seconds`, with the meter telling `used`, and returns how many went out.
fn ask_for(host: &mut Host, rate: f64, seconds: f64, class: usize, used: f64) -> f64 {
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
    assert_eq!(ask_for(&mut host, 5.0, 20.0, 0, 0.5), 100.0);
}

/// Asks every 25 ms for 30 s, classes in turn, under a meter that sums half seconds up and tells of each
/// one period later; returns how many of each class went out in the last 20 s.
fn ask_four_times_the_quota(classes: &[usize], spread: u32) -> Vec<f64> {
    let mut host = Host::new(settings(), &[server(1)]);
    host.spread = spread;
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
    let sent = ask_four_times_the_quota(&[0], 2)[0];
    assert!((150.0..220.0).contains(&sent), "{sent} of 800 sent on, the quota is 200");
}

#[test]
fn the_quota_holds_behind_a_single_gateway() {
    let sent = ask_four_times_the_quota(&[0], 1)[0];
    assert!((150.0..240.0).contains(&sent), "{sent} of 800 sent on, the quota is 200");
}

#[test]
fn remote_usage_counts_against_the_quota() {
    let mut host = Host::new(settings(), &[server(1)]);
    ask_for(&mut host, 10.0, 10.0, 0, 4.0);
    let sent = ask_for(&mut host, 10.0, 20.0, 0, 4.0);
    assert!(sent < 100.0, "{sent} of 200 sent on though others use four times the quota");
    assert!(sent > 0.0, "the floor lets some through");
}

#[test]
fn the_lowest_value_is_rejected_first() {
    let sent = ask_four_times_the_quota(&[0, 1, 1, 1], 2);
    assert!(sent[0] > 120.0 && sent[1] < 60.0, "{} of 200 of high worth, {} of 600 of low", sent[0], sent[1]);
}

/// A gateway of fifty, through all of which its customers' requests come.
fn one_of_fifty() -> Host {
    let servers: Vec<_> = (1..=40).map(server).collect();
    Host::new(Settings { gateways: 50, ..settings() }, &servers)
}

/// Such a customer submits one request, which is answered at once if admitted; returns whether it was.
fn let_in(host: &mut Host, id: RequestId, customer: CustomerId, used: Option<f64>) -> bool {
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
    let out = !sends(&host.event(Event::Request(request))).is_empty();
    if out {
        host.end(id, 0, Outcome::Ok, used);
    }
    out
}

/// It asks this one `rate` times a second for `seconds`, and the meter is silent; returns how many went out
/// of how many in the second half.
fn submit_to_one_of_fifty(rate: f64, seconds: f64) -> (f64, f64) {
    let mut host = one_of_fifty();
    let (mut sent, mut offered) = (0.0, 0.0);
    for id in 1..=(rate * seconds) as u64 {
        host.now += 1000.0 / rate;
        let out = let_in(&mut host, id, 1, None);
        if host.now > seconds * 500.0 {
            offered += 1.0;
            sent += f64::from(u8::from(out));
        }
    }
    (sent, offered)
}

#[test]
fn without_readings_local_load_times_the_gateways_reveals_a_heavy_customer() {
    // Its quota is 10 a second over fifty gateways: 0.2 a second here.
    let (sent, offered) = submit_to_one_of_fifty(2.0, 400.0);
    assert!(sent < 0.3 * offered && sent > 0.0, "{sent} of {offered} admitted at ten times the quota");
}

#[test]
fn a_customer_that_comes_rarely_is_admitted() {
    let (sent, offered) = submit_to_one_of_fifty(0.05, 2000.0);
    assert!(sent > 0.9 * offered, "{sent} of {offered} admitted at a quarter of the quota");
}

/// A gateway of fifty that has met 400 customers who ask for so many times their quota. The other gateways are like it:
/// readings tell of as large a part of that as is admitted here.
fn one_that_knows_its_plan(load: f64) -> Host {
    let mut host = one_of_fifty();
    let mut part = 1.0;
    for customer in 1..=400 {
        host.now += 5.0;
        let out = let_in(&mut host, customer, customer, Some(load * part));
        part += 0.05 * (f64::from(u8::from(out)) - part);
    }
    host
}

/// Late answers to customers without a quota, until there is hardly any room.
fn fill_the_servers(host: &mut Host) {
    for _ in 0..15 {
        let (request, actions) = host.submit(9_999, 3, 0);
        host.now += 200.0;
        assert!(!sends(&actions).is_empty(), "little is in hand");
        let (attempt, outcome, elapsed, finished, used) = (0, Outcome::Ok, 900.0, true, None);
        host.event(Event::AttemptEnd(AttemptEnd { request, attempt, outcome, elapsed, finished, used }));
    }
}

/// How many of 200 new customers, class by class in turn, are rejected over quota: these are advised
/// to retry within a meter period, those without capacity later.
fn over_quota_by_class(host: &mut Host, classes: &[usize]) -> Vec<usize> {
    let mut refused = vec![0; 3];
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
        let coin =
            |action: &Action| matches!(action, Action::Reject { retry_after, .. } if *retry_after < 400.0);
        refused[class] += usize::from(actions.iter().any(coin));
        if !sends(&actions).is_empty() {
            host.end(customer, 0, Outcome::Ok, None);
        }
    }
    refused
}

#[test]
fn typical_usage_of_a_plan_applies_to_its_next_customer() {
    let next_ones = |used| 200 - over_quota_by_class(&mut one_that_knows_its_plan(used), &[0])[0];
    let (calm, full, heavy) = (next_ones(0.2), next_ones(1.0), next_ones(4.0));
    assert!(calm > 195, "{calm} of 200 let in where the others are calm");
    assert!(full > 180, "{full} of 200 let in where the others use their quota and no more");
    assert!(heavy < 150, "{heavy} of 200 let in where the others use four times their quota");
}

#[test]
fn without_capacity_customers_without_readings_are_rejected_first() {
    let roomy = over_quota_by_class(&mut one_that_knows_its_plan(2.5), &[0])[0];
    let mut host = one_that_knows_its_plan(2.5);
    fill_the_servers(&mut host);
    let short = over_quota_by_class(&mut host, &[0])[0];
    assert!(
        roomy < 60 && short > roomy + 30,
        "{roomy} of 200 refused by the coin with room, {short} without"
    );
}

/// What the lowest class is admitted of, as a function of the load of customers nobody has met: all while the plan's
/// customers ask for little more than their quotas and leave their stores, less the more they ask for.
#[test]
fn the_lowest_class_gets_what_the_highest_leaves_of_the_quota() {
    let parts: Vec<[f64; 2]> = [0.3, 0.8, 1.3, 2.0, 4.0]
        .into_iter()
        .map(|used| {
            let refused = over_quota_by_class(&mut one_that_knows_its_plan(used), &[0, 1]);
            [0, 1].map(|class| 1.0 - refused[class] as f64 / 100.0)
        })
        .collect();
    println!("high and low worth let in at 0.3, 0.8, 1.3, 2 and 4 quotas: {parts:.2?}");
    assert!(parts[..3].iter().all(|part| part[1] > 0.9), "a prior alone refuses nobody: {parts:?}");
    assert!(
        parts[3][1] > 0.5 && parts[4][1] < 0.5,
        "far beyond the quota the low class goes first: {parts:?}"
    );
    assert!(parts.windows(2).all(|next| next[1][1] <= next[0][1] + 0.05), "{parts:?}");
    assert!(parts.iter().all(|[high, low]| high + 0.05 >= *low && *high > 0.5), "{parts:?}");
}

#[test]
fn a_retry_past_its_latency_target_takes_no_quota() {
    let mut host = Host::new(settings(), &[server(1)]);
    for _ in 0..3 {
        host.now += 500.0;
        let (id, _) = host.submit(1, 0, 0);
        host.end(id, 0, Outcome::Ok, Some(0.5));
    }
    // First attempts have 4 s; one with 2.9 s left has tried for longer than the latency target of a second.
    assert!(refused(&host.submit_retry(1, 0, 2900.0)));
    assert!(!refused(&host.submit_retry(1, 0, 3900.0)));
}

#[test]
fn a_reading_that_is_not_finite_is_ignored() {
    let mut host = Host::new(settings(), &[server(1)]);
    assert_eq!(ask_for(&mut host, 5.0, 5.0, 0, f64::NAN), 25.0);
    ask_for(&mut host, 10.0, 10.0, 0, 4.0);
    ask_for(&mut host, 10.0, 1.0, 0, f64::NAN);
    let sent = ask_for(&mut host, 10.0, 20.0, 0, 4.0);
    assert!(sent < 100.0, "{sent} of 200 sent on though others use four times the quota");
}

#[test]
fn a_surge_is_assumed_at_the_other_gateways_too() {
    // Two gateways share a quota of 5 units a second with a burst of 10; no reading has come yet.
    let sent = |spread: u32| {
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
                customer_gateways: spread,
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
    assert!(shared < alone, "{shared} sent on of a surge through four gateways, {alone} through one");
    assert!(shared > 0);
}

#[test]
fn a_client_over_its_quota_is_advised_when_to_retry() {
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
        assert!(id < 400 || !waits.is_empty(), "nothing was refused");
    }
    assert!(waits.iter().all(|wait| (50.0..=500.0).contains(wait)), "{waits:?}");
    let spread = waits.iter().copied().fold(0.0, f64::max) - waits.iter().copied().fold(500.0, f64::min);
    assert!(spread > 50.0, "all get the same advice");
}

#[test]
fn rare_customers_are_not_estimated_as_heavy_by_their_active_periods() {
    // Each asks once in two thousand seconds or less, of a quota of four in that time. A reading that comes behind the
    // half second in which it did tells of a thousand times its quota, as it seems.
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
    host.spread = 3;
    let (mut sent, mut offered) = (0, 0);
    for number in 0..12_000u64 {
        host.now = 1000.0 + number as f64 * 200.0;
        let (id, actions) = host.submit(number % 10_000, 0, 0);
        let goes = actions.iter().any(|action| matches!(action, Action::Send { .. }));
        if number >= 6000 {
            (sent, offered) = (sent + u32::from(goes), offered + 1);
        }
        if goes {
            let period = |now: f64| (now / 500.0).floor();
            let sent = period(host.now);
            host.now += 150.0;
            let used = if period(host.now) > sent { 1000.0 } else { 0.0 };
            host.end(id, 0, Outcome::Ok, Some(used));
        }
        host.actions.clear();
    }
    assert!(sent > 9 * offered / 10, "{sent} of {offered} were sent on");
}

#[test]
fn a_customer_that_comes_late_has_used_its_burst_as_its_plan_does() {
    // How many of fifty that come a minute after many of their plan are admitted twice at once.
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
    let (calm, heavy) = (twice(0.2), twice(4.0));
    assert!(calm > 30, "{calm} of 50 let in twice where the plan's others leave their stores full");
    assert!(heavy < 15, "{heavy} of 50 let in twice where the plan's others spend theirs");
}

#[test]
fn retries_do_not_make_a_light_customer_a_heavy_one() {
    // It asks for three fifths of its share of the quota here, and each request comes back three times, as it was
    // refused by others.
    let mut host = one_of_fifty();
    let (mut sent, mut offered) = (0, 0);
    for step in 0..1600u64 {
        host.now += 2083.0;
        let (repeat, units, expires_in) = (step % 4 > 0, 1.0, 4000.0);
        let request = Request {
            id: step,
            customer: 1,
            plan: 0,
            class: 0,
            units,
            customer_gateways: 50,
            first_gateway: 0,
            expires_in,
            is_client_retry: repeat,
        };
        let out = !sends(&host.event(Event::Request(request))).is_empty();
        if out {
            host.end(step, 0, Outcome::Ok, None);
        }
        if step >= 800 && !repeat {
            (sent, offered) = (sent + u32::from(out), offered + 1);
        }
    }
    assert!(sent > 9 * offered / 10, "{sent} of {offered} first attempts admitted");
}
