//! Slow start: turns of servers that are warming up.

use crate::common::instance::{line, Instance, COLD_FOR, COLD_FROM};
use brassport_policy::{Lifecycle, ListKind, Millis, Outcome, ServerEntry, ServerId};
use std::collections::BTreeMap;

/// Sends to servers in warm-up relative to what the rule allows: a warm server's rate for its warmth, times the multiple.
fn most_at_cold(servers: u32, cold: u32, seed: u64) -> f64 {
    let entries = (0..servers).map(|id| ServerEntry { launched_at: (id < cold).then_some(0.0), ..line(id) });
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
    for times in (0..cold).filter_map(|id| sent.get(&id)) {
        for (first, &from) in times.iter().enumerate() {
            let within = times[first..].iter().filter(|at| **at < from + 3000.0).count() as f64;
            let warmth = COLD_FROM + (1.0 - COLD_FROM) * from / COLD_FOR;
            // What its part of all that is offered for would be in that time, with one request for the edges.
            worst = worst.max((within - 1.0) / (rate / f64::from(servers) * 3.0 * warmth));
        }
    }
    worst
}

#[test]
fn servers_in_warm_up_get_their_turns_and_no_more_at_any_fleet_size() {
    for (servers, cold) in [(10, 1), (10, 5), (10, 10), (200, 1), (200, 100), (200, 200), (1000, 1000)] {
        let worst = most_at_cold(servers, cold, 5);
        assert!(worst < 2.0, "{cold} of {servers} cold: {worst:.2} of their capacity");
        assert!(worst > 0.5, "{cold} of {servers} cold: they got {worst:.2} of their capacity");
    }
}

#[test]
fn a_server_that_drains_and_returns_in_warm_up_gets_no_turns_twice() {
    let cold = |id| ServerEntry { launched_at: Some(0.0), ..line(id) };
    let mut instance =
        Instance::new(6, (0..100).map(|id| if id == 0 { cold(0) } else { line(id) }).collect());
    let mut at_cold = 0;
    for number in 0..3000u64 {
        let now = number as f64;
        // The list removes and adds it again, and repeats itself.
        if number % 10 == 0 {
            let off = ServerEntry { lifecycle: Lifecycle::Draining, ..cold(0) };
            instance.list(now, ListKind::Delta, vec![off]);
            instance.list(now, ListKind::Delta, vec![cold(0), cold(0)]);
        }
        if let Some((request, server)) = instance.submit(now) {
            at_cold += u32::from(server == 0);
            instance.end(now, request, Outcome::Ok);
        }
    }
    // A hundredth of 3,000, at most half warm; each of 300 returns draws where its turns begin.
    assert!(at_cold <= 30, "{at_cold} went to the cold server");
}

#[test]
fn servers_removed_in_warm_up_leave_no_state() {
    let cold = |id| ServerEntry { launched_at: Some(0.0), ..line(id) };
    let mut instance = Instance::new(8, (0..50).map(cold).collect());
    let mut early = 0;
    for round in 0..4000u32 {
        let now = f64::from(round);
        let off = ServerEntry { lifecycle: Lifecycle::Draining, ..cold(round % 50) };
        instance.list(now, ListKind::Delta, vec![off]);
        instance.list(now, ListKind::Delta, vec![cold(round % 50)]);
        if let Some((request, _)) = instance.submit(now) {
            instance.end(now, request, Outcome::Ok);
        }
        if round == 200 {
            early = format!("{:?}", instance.gateway).len();
        }
    }
    // What is planned for the end of a warm-up stays until then: 4,000 lines of some 30 characters. A turn that
    // is planned twice would plan itself again, twice.
    let late = format!("{:?}", instance.gateway).len();
    assert!(late < early + 4000 * 60, "{early} characters grew to {late}");
}

#[test]
fn a_warm_up_ends_in_time_also_for_a_launch_in_the_future() {
    let mut entries: Vec<ServerEntry> = (0..2).map(line).collect();
    entries[0].launched_at = Some(0.0);
    entries[1].launched_at = Some(5000.0);
    let mut instance = Instance::new(7, entries);
    let mut sent = [0u32; 2];
    for number in 0..6 {
        let (_, server) = instance.submit(16_000.0 + f64::from(number)).expect("both are warm");
        sent[server as usize] += 1;
    }
    // None is answered, so that what is in hand alone tells between them.
    assert_eq!(sent, [3, 3]);
}
