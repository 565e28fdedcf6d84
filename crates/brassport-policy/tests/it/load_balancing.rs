//! Load balancing in fleets of any size, mostly larger ones whose servers are sampled.

use crate::common::instance::{server, settings, Instance};
use brassport_policy::{
    Action, AttemptEnd, Event, Lifecycle, ListKind, Outcome, ServerEntry, ServerId, Settings,
};
use std::collections::BTreeMap;

#[test]
fn idle_servers_get_similar_load() {
    let mut instance = Instance::new(1, (0..1000).map(server).collect());
    let mut sent = BTreeMap::new();
    for number in 0..20_000u64 {
        let now = number as f64;
        if let Some((request, server)) = instance.submit(now) {
            *sent.entry(server).or_insert(0u32) += 1;
            instance.end(now + 0.5, request, Outcome::Ok);
        }
    }
    let total: u32 = sent.values().sum();
    let most = *sent.values().max().expect("some were sent");
    assert!(total > 15_000, "{total} of 20,000 were sent");
    // With independent draws the maximum of a thousand counts with mean 20 is near 36.
    assert!(most < 48, "one server of a thousand got {most} of {total}");
    assert!(sent.len() > 990, "{} servers got requests", sent.len());
}

/// Number of sends to each server from the gateway `ordinal` of `gateways`; each request is answered after 10
/// ms.
fn sends_by_server(gateways: u32, ordinal: u32, entries: &[ServerEntry]) -> BTreeMap<ServerId, u32> {
    let settings = Settings { gateways, ordinal, ..settings() };
    let mut instance = Instance::with_settings(settings, u64::from(ordinal), entries.to_vec());
    let mut sent = BTreeMap::new();
    for number in 0..2500u64 {
        let now = number as f64 * 20.0;
        if let Some((request, server)) = instance.submit(now) {
            // Not counted until the gateway has learned the response time.
            *sent.entry(server).or_insert(0) += u32::from(number >= 1000);
            instance.end(now + 10.0, request, Outcome::Ok);
        }
    }
    sent
}

#[test]
fn many_gateways_share_a_large_fleet_evenly_and_few_use_all_of_it() {
    let entries: Vec<ServerEntry> = (0..1000).map(server).collect();
    let mut shared: BTreeMap<ServerId, (u32, u32)> = BTreeMap::new();
    for ordinal in 0..50 {
        // The order of the list must make no difference.
        let mut listed = entries.clone();
        listed.rotate_left(17 * ordinal as usize);
        let sent = sends_by_server(50, ordinal, &listed);
        // Four fiftieths of a thousand servers are 80, with partial overlap at both ends of the arc.
        assert!((75..=82).contains(&sent.len()), "gateway {ordinal} sends to {} servers", sent.len());
        for (server, count) in sent {
            let known = shared.entry(server).or_default();
            *known = (known.0 + 1, known.1 + count);
        }
    }
    assert_eq!(shared.len(), 1000, "some servers have no gateway");
    assert!(shared.values().all(|(instances, _)| (3..=6).contains(instances)), "{shared:?}");
    let mean = shared.values().map(|(_, count)| f64::from(*count)).sum::<f64>() / 1000.0;
    let most = shared.values().map(|(_, count)| *count).max().expect("some were sent");
    assert!(f64::from(most) < 1.6 * mean, "{most} at one, {mean} on average");
    assert!(sends_by_server(4, 1, &entries).len() > 700, "one of four gateways does not use the whole fleet");
}

#[test]
fn one_of_a_hundred_gateways_uses_few_of_sixty_servers_and_all_are_used_evenly() {
    let entries: Vec<ServerEntry> = (0..60).map(server).collect();
    let mut shared: BTreeMap<ServerId, u32> = BTreeMap::new();
    for ordinal in 0..100 {
        let sent = sends_by_server(100, ordinal, &entries);
        // Eight, one for the attempt in flight, and partial overlap at both ends of the arc. With more
        // servers each would get requests so rarely that its connection would have been closed, with a
        // handshake for nearly every request.
        assert!((7..=11).contains(&sent.len()), "gateway {ordinal} sends to {} servers", sent.len());
        sent.into_iter().for_each(|(server, count)| *shared.entry(server).or_default() += count);
    }
    let mean = f64::from(shared.values().sum::<u32>()) / 60.0;
    let most = shared.values().copied().max().expect("some were sent");
    assert_eq!(shared.len(), 60, "some servers have no gateway");
    assert!(f64::from(most) < 1.5 * mean, "{most} at one, {mean} on average");
    // The same applies after the loss of a zone, and three gateways use all of thirty servers.
    let used = sends_by_server(100, 50, &entries[..30]).len();
    assert!((7..=11).contains(&used), "{used} servers of the thirty that are left are used");
    assert_eq!(sends_by_server(3, 1, &entries[..30]).len(), 30);
}

#[test]
fn the_arc_widens_with_the_attempts_in_flight() {
    let settings = Settings { gateways: 100, ordinal: 7, ..settings() };
    let mut instance = Instance::with_settings(settings, 3, (0..60).map(server).collect());
    let mut in_flight = Vec::new();
    for number in 0..4000u64 {
        let now = number as f64 * 20.0;
        in_flight.extend(instance.submit(now).map(|(request, server)| (now, request, server)));
        // Up to thirty requests stay in flight, while responses are reported in time.
        if number % 4 == 3 || in_flight.len() > 30 {
            let (_, request, _) = in_flight.remove(0);
            instance.end(now + 1.0, request, Outcome::Ok);
        }
        if in_flight.len() > 24 {
            break;
        }
    }
    let used: std::collections::BTreeSet<ServerId> = in_flight.iter().map(|(_, _, server)| *server).collect();
    assert!(used.len() >= 16, "{} attempts in flight at {} servers", in_flight.len(), used.len());
}

#[test]
fn a_gateway_whose_arc_fails_sends_to_other_servers() {
    let settings = Settings { gateways: 50, ordinal: 3, max_attempts: 1, ..settings() };
    let mut instance = Instance::with_settings(settings, 5, (0..1000).map(server).collect());
    let own: std::collections::BTreeSet<ServerId> =
        sends_by_server(50, 3, &(0..1000).map(server).collect::<Vec<_>>()).into_keys().collect();
    let (mut to_others, mut late) = (0, 0);
    for number in 0..3000u64 {
        let now = number as f64 * 5.0;
        let Some((request, server)) = instance.submit(now) else { continue };
        let outcome = if own.contains(&server) { Outcome::NoConnection } else { Outcome::Ok };
        to_others += u32::from(outcome == Outcome::Ok);
        late += u32::from(outcome == Outcome::Ok && number > 2000);
        instance.end(now + 2.0, request, outcome);
    }
    assert!(
        to_others > 1000 && late > 400,
        "{to_others} of 3,000 were sent to servers that respond, {late} of the last 1,000"
    );
}

#[test]
fn a_server_of_ten_times_the_capacity_gets_about_ten_times_the_load() {
    let mut entries: Vec<ServerEntry> = (0..200).map(server).collect();
    entries[7].capacity = 10.0;
    let mut instance = Instance::new(2, entries);
    let (mut large, mut open, mut total) = (0u32, std::collections::VecDeque::new(), 0u32);
    // 150 requests are always in flight, so that the fleet is busy and capacities matter.
    for number in 0..20_000u64 {
        let now = number as f64;
        if let Some((request, server)) = instance.submit(now) {
            large += u32::from(server == 7);
            total += 1;
            open.push_back(request);
        }
        if open.len() > 150 {
            let first = open.pop_front().expect("there are 150");
            instance.end(now + 0.1, first, Outcome::Ok);
        }
    }
    let fraction = f64::from(large) / f64::from(total);
    // The server has 10 of 209 units of capacity, or 0.048.
    assert!((0.03..0.08).contains(&fraction), "{fraction} of {total}");
}

#[test]
fn draining_and_removed_servers_are_never_chosen() {
    let mut instance = Instance::new(3, (0..500).map(server).collect());
    for round in 0..5u32 {
        let now = f64::from(round) * 1000.0;
        let removed: Vec<ServerEntry> = (0..500)
            .filter(|id| id % 5 == round)
            .map(|id| ServerEntry {
                lifecycle: if id % 2 == 0 { Lifecycle::Draining } else { Lifecycle::Removed },
                ..server(id)
            })
            .collect();
        instance.apply_list(now, ListKind::Delta, removed);
        for number in 0..300 {
            let at = now + 1.0 + f64::from(number);
            if let Some((request, server)) = instance.submit(at) {
                assert!(server % 5 > round, "server {server} is not ready in round {round}");
                instance.end(at + 0.5, request, Outcome::Ok);
            }
        }
    }
    // All servers are draining or removed by now.
    assert_eq!(instance.submit(6000.0), None);
    instance.apply_list(6001.0, ListKind::Delta, vec![server(3)]);
    assert_eq!(instance.submit(6002.0).expect("one is back").1, 3);
}

#[test]
fn the_only_server_that_is_not_ejected_is_found() {
    let mut instance = Instance::new(4, (0..100).map(server).collect());
    let mut now = 0.0;
    // Every server but 42 fails until it is ejected.
    let mut consecutive = 0;
    while consecutive < 30 && now < 100_000.0 {
        now += 0.1;
        let Some((request, server)) = instance.submit(now) else { continue };
        if server == 42 {
            consecutive += 1;
            instance.end(now, request, Outcome::Ok);
        } else {
            consecutive = 0;
            let mut last = server;
            let mut attempt = 0;
            // Further attempts fail as well, unless they go to server 42.
            let mut actions = instance.end(now, request, Outcome::Overloaded);
            while let Some(to) = actions.iter().find_map(|action| match action {
                Action::Send { server, .. } => Some(*server),
                _ => None,
            }) {
                assert_ne!(to, last, "retried at the same server");
                (last, attempt) = (to, attempt + 1);
                let outcome = if to == 42 { Outcome::Ok } else { Outcome::Overloaded };
                let end =
                    AttemptEnd { request, attempt, outcome, elapsed: 1.0, finished: to == 42, used: None };
                instance.gateway.handle(now, Event::AttemptEnd(end), &mut instance.actions);
                actions = instance.actions.drain(..).collect();
            }
        }
    }
    assert_eq!(consecutive, 30, "only one server is left that is not ejected");
}

#[test]
fn the_only_server_of_the_zone_is_not_overloaded() {
    let mut entries: Vec<ServerEntry> = (0..5000).map(|id| ServerEntry { zone: 1, ..server(id) }).collect();
    entries[17].zone = 0;
    let mut instance = Instance::new(11, entries);
    let (mut near, mut all) = (0, BTreeMap::new());
    // Without responses the attempts in flight alone determine the choice.
    for number in 0..5000 {
        let Some((_, server)) = instance.submit(1.0 + f64::from(number) * 0.001) else { continue };
        near += u32::from(server == 17);
        *all.entry(server).or_insert(0u32) += 1;
    }
    assert!(all.values().sum::<u32>() > 4000, "{} of 5,000 were sent", all.values().sum::<u32>());
    assert!(near <= 4, "{near} at the only server of the zone");
    assert!(all.values().all(|count| *count <= 4), "{} at one server", all.values().max().expect("some"));
}

#[test]
fn frozen_servers_get_little_more_than_one_attempt_each() {
    let mut instance = Instance::new(12, (0..400).map(server).collect());
    let mut in_flight = std::collections::VecDeque::new();
    let (mut to_frozen, mut to_others) = (0u32, 0u32);
    for number in 0..20_000u64 {
        let now = number as f64;
        while in_flight.front().is_some_and(|(at, _)| *at <= now) {
            let (_, request) = in_flight.pop_front().expect("there is one");
            instance.end(now, request, Outcome::Ok);
        }
        let Some((request, server)) = instance.submit(now) else { continue };
        let is_frozen = server < 200 && now >= 2000.0;
        if is_frozen {
            to_frozen += 1;
        } else {
            to_others += u32::from(now >= 2000.0);
            in_flight.push_back((now + 20.0, request));
        }
    }
    assert!(to_others > 15_000, "{to_others} of 18,000 were sent to servers that respond");
    assert!(to_frozen < 2 * 200, "{to_frozen} were sent to 200 frozen servers");
}

#[test]
fn two_hundred_gateways_do_not_overload_the_same_servers() {
    let entries: Vec<ServerEntry> = (0..1000).map(server).collect();
    let mut sent = vec![0u32; 1000];
    // One meter period at low load: 25 requests at each gateway, 5 at each server on average.
    for ordinal in 0..200 {
        let settings = Settings { gateways: 200, ordinal, ..settings() };
        let mut instance = Instance::with_settings(settings, u64::from(ordinal), entries.clone());
        for number in 0..25 {
            let now = 1000.0 + f64::from(number) * 20.0;
            if let Some((request, server)) = instance.submit(now) {
                sent[server as usize] += 1;
                instance.end(now + 10.0, request, Outcome::Ok);
            }
        }
    }
    let (total, most) = (sent.iter().sum::<u32>(), *sent.iter().max().expect("there are servers"));
    println!("{total} sent, {most} at most to one server");
    assert!(total > 4000, "{total} of 5,000 were sent");
    // Independent random counts with mean 5 reach 16 in one of a hundred such periods.
    assert!(most <= 18, "{most} of {total} at one of 1,000 servers");
}
