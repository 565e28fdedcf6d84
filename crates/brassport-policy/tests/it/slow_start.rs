//! Slow start: turns of servers that are warming up.

use crate::common::instance::{server, Instance, WARM_UP_DURATION, WARM_UP_START_FRACTION};
use brassport_policy::{Lifecycle, ListKind, Millis, Outcome, ServerEntry, ServerId};
use std::collections::BTreeMap;

/// Maximum number of sends to a server in warm-up in any 3 s, relative to its share: the rate of a warm
/// server, times the fraction of its capacity that the server has. The server collapses at 2.
fn max_relative_load(servers: u32, warming_up: u32, seed: u64) -> f64 {
    let entries =
        (0..servers).map(|id| ServerEntry { launched_at: (id < warming_up).then_some(0.0), ..server(id) });
    let mut instance = Instance::new(seed, entries.collect());
    let rate = f64::from(servers) * 5.0;
    let mut sent: BTreeMap<ServerId, Vec<Millis>> = BTreeMap::new();
    let mut now = 0.0;
    while now < 9000.0 {
        now += 1000.0 / rate;
        if let Some((request, server)) = instance.submit(now) {
            sent.entry(server).or_default().push(now);
            instance.end(now, request, Outcome::Ok);
        }
    }
    let mut worst = 0.0f64;
    for times in (0..warming_up).filter_map(|id| sent.get(&id)) {
        for (first, &from) in times.iter().enumerate() {
            let within = times[first..].iter().filter(|at| **at < from + 3000.0).count() as f64;
            let capacity_fraction =
                WARM_UP_START_FRACTION + (1.0 - WARM_UP_START_FRACTION) * from / WARM_UP_DURATION;
            // The server's share of the requests in 3 s; one request is subtracted for the edges of the
            // window.
            worst = worst.max((within - 1.0) / (rate / f64::from(servers) * 3.0 * capacity_fraction));
        }
    }
    worst
}

#[test]
fn servers_in_warm_up_get_their_turns_and_no_more_at_any_fleet_size() {
    for (servers, warming_up) in [(10, 1), (10, 5), (10, 10), (200, 1), (200, 100), (200, 200), (1000, 1000)]
    {
        let worst = max_relative_load(servers, warming_up, 5);
        assert!(worst < 2.0, "{warming_up} of {servers} in warm-up: {worst:.2} of their capacity");
        assert!(worst > 0.5, "{warming_up} of {servers} in warm-up: only {worst:.2} of their capacity");
    }
}

#[test]
fn a_server_that_drains_and_returns_in_warm_up_gets_no_additional_turns() {
    let warming_up = |id| ServerEntry { launched_at: Some(0.0), ..server(id) };
    let mut instance =
        Instance::new(6, (0..100).map(|id| if id == 0 { warming_up(0) } else { server(id) }).collect());
    let mut to_warming_up = 0;
    for number in 0..3000u64 {
        let now = number as f64;
        // The list drains the server and adds it again, with a duplicate entry.
        if number % 10 == 0 {
            let draining = ServerEntry { lifecycle: Lifecycle::Draining, ..warming_up(0) };
            instance.apply_list(now, ListKind::Delta, vec![draining]);
            instance.apply_list(now, ListKind::Delta, vec![warming_up(0), warming_up(0)]);
        }
        if let Some((request, server)) = instance.submit(now) {
            to_warming_up += u32::from(server == 0);
            instance.end(now, request, Outcome::Ok);
        }
    }
    // A hundredth of 3,000 requests would be the load of a warm server, and this one has at most half of its
    // capacity. Guards against a new random start of the turns at each of the 300 returns.
    assert!(to_warming_up <= 30, "{to_warming_up} sent to the server in warm-up");
}

#[test]
fn servers_removed_in_warm_up_leave_no_state() {
    let warming_up = |id| ServerEntry { launched_at: Some(0.0), ..server(id) };
    let mut instance = Instance::new(8, (0..50).map(warming_up).collect());
    let mut early = 0;
    for round in 0..4000u32 {
        let now = f64::from(round);
        let draining = ServerEntry { lifecycle: Lifecycle::Draining, ..warming_up(round % 50) };
        instance.apply_list(now, ListKind::Delta, vec![draining]);
        instance.apply_list(now, ListKind::Delta, vec![warming_up(round % 50)]);
        if let Some((request, _)) = instance.submit(now) {
            instance.end(now, request, Outcome::Ok);
        }
        if round == 200 {
            early = format!("{:?}", instance.gateway).len();
        }
    }
    // Entries for the ends of warm-ups remain until then: 4,000 entries of about 30 characters. Guards
    // against turns that are scheduled twice, whose number would double with each turn.
    let late = format!("{:?}", instance.gateway).len();
    assert!(late < early + 4000 * 60, "{early} characters grew to {late}");
}

#[test]
fn a_warm_up_ends_in_time_also_for_a_launch_in_the_future() {
    let mut entries: Vec<ServerEntry> = (0..2).map(server).collect();
    entries[0].launched_at = Some(0.0);
    entries[1].launched_at = Some(5000.0);
    let mut instance = Instance::new(7, entries);
    let mut sent = [0u32; 2];
    for number in 0..6 {
        let (_, server) = instance.submit(16_000.0 + f64::from(number)).expect("both are warm");
        sent[server as usize] += 1;
    }
    // Without responses the attempts in flight alone determine the choice.
    assert_eq!(sent, [3, 3]);
}
