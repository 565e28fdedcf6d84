//! Overload within the quotas.

use crate::common::*;
use brassport_policy::*;

/// Asks `count` times at once and returns how many went out and how many were refused.
fn burst(host: &mut Host, count: usize, class: usize) -> (usize, usize) {
    let replies: Vec<_> = (0..count).map(|_| host.submit(1, 3, class).1).collect();
    let out = replies.iter().filter(|actions| !sends(actions).is_empty()).count();
    (out, replies.iter().filter(|actions| refused(actions)).count())
}

fn answer(host: &mut Host, request: RequestId, elapsed: f64) {
    let (outcome, finished, used) = (Outcome::Ok, true, None);
    host.event(Event::AttemptEnd(AttemptEnd { request, attempt: 0, outcome, elapsed, finished, used }));
}

/// Asks every 10 ms for `seconds`, classes in turn, each answer coming after `elapsed`; returns how many of
/// each class went out in the second half.
fn answered_after(host: &mut Host, classes: &[usize], elapsed: f64, seconds: f64) -> Vec<usize> {
    let mut out = vec![0; 3];
    let mut hand = std::collections::VecDeque::new();
    let half = host.now + seconds * 500.0;
    for step in 0..(seconds * 100.0) as usize {
        host.now += 10.0;
        while hand.front().is_some_and(|(_, at)| *at <= host.now) {
            let (id, _) = hand.pop_front().expect("not empty");
            answer(host, id, elapsed);
        }
        let class = classes[step % classes.len()];
        let (id, actions) = host.submit(1, 3, class);
        if !sends(&actions).is_empty() {
            out[class] += usize::from(host.now > half);
            hand.push_back((id, host.now + elapsed));
        }
    }
    host.now += elapsed;
    for (id, _) in hand {
        answer(host, id, elapsed);
    }
    out
}

#[test]
fn overload_leads_to_early_rejections() {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    let out = answered_after(&mut host, &[0], 900.0, 20.0)[0];
    assert!(out > 0 && out < 100, "{out} of 1000 let in though all answers are late");
}

#[test]
fn low_value_is_rejected_before_high_value() {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    let out = answered_after(&mut host, &[0, 1], 900.0, 20.0);
    assert!(out[0] > 2 * out[1], "{out:?} of high and low worth let in");
}

#[test]
fn a_surge_is_limited_before_its_late_responses_arrive() {
    let servers: Vec<_> = (1..=4).map(server).collect();
    let mut host = Host::new(settings(), &servers);
    answered_after(&mut host, &[0], 50.0, 5.0);
    let (out, refused) = burst(&mut host, 1000, 0);
    assert!(out > 8 && out < 60, "{out} out at once, {refused} refused");
}

#[test]
fn with_full_queues_few_of_thousands_of_retries_are_admitted() {
    let servers: Vec<_> = (1..=4).map(server).collect();
    let mut host = Host::new(Settings { max_attempts: 1, ..settings() }, &servers);
    let mut out = 0;
    for step in 0..20_000 {
        host.now += 1.0;
        let (id, actions) = host.submit(1, 3, 0);
        if !sends(&actions).is_empty() {
            out += u32::from(step > 10_000);
            host.end(id, 0, Outcome::Overloaded, None);
        }
    }
    assert!(out > 0 && out < 300, "{out} of 10000 sent to full queues");
}

#[test]
fn the_limit_recovers_after_a_surge() {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    let mut taken = Vec::new();
    for _ in 0..30 {
        let (id, actions) = host.submit(1, 3, 1);
        if !sends(&actions).is_empty() {
            taken.push(id);
        }
    }
    host.now += 3000.0;
    for id in taken {
        answer(&mut host, id, 3000.0);
    }
    let mut out = 0;
    for _ in 0..50 {
        host.now += 100.0;
        let (id, actions) = host.submit(1, 3, 0);
        out += sends(&actions).len();
        host.end(id, 0, Outcome::Ok, None);
    }
    assert_eq!(out, 50);
}

/// The share that there is room for after 15 s in which one answer in `every` takes `slow` and the others about 50 ms.
fn room_with_one_late_in(every: u64, slow: u64, class: usize) -> f64 {
    let servers: Vec<_> = (1..=40).map(server).collect();
    let mut host = Host::new(Settings { max_attempts: 1, ..settings() }, &servers);
    let mut hand: std::collections::BTreeMap<(u64, RequestId), u64> = Default::default();
    let mut random = oorandom::Rand64::new(5);
    for now in 0..15_000 {
        host.run_timers(now as f64);
        while let Some(due) = hand.first_entry().filter(|due| due.key().0 <= now) {
            let ((_, id), elapsed) = (*due.key(), due.remove());
            answer(&mut host, id, elapsed as f64);
        }
        if random.rand_range(0..10) > 0 {
            continue;
        }
        let (id, actions) = host.submit(1, 3, class);
        if !sends(&actions).is_empty() {
            let elapsed = if random.rand_range(0..every) == 0 { slow } else { random.rand_range(20..80) };
            hand.insert((now + elapsed, id), elapsed);
        }
    }
    host.gateway.capacity().1
}

/// One in three is what is borne. A late one was counted when it was overdue and once more at its end: one answer in
/// five that takes its time, as work of very different sizes brings, lowered the limit to half, and rejected low value completely.
#[test]
fn a_late_response_counts_once() {
    for class in [0, 1] {
        let room = room_with_one_late_in(4, 605, class);
        assert!(room > 0.9, "room for {room} with one late answer in four of class {class}");
        let room = room_with_one_late_in(2, 605, class);
        assert!(room < 0.5, "room for {room} with every other answer late, class {class}");
    }
}

/// The capacity after some seconds in which servers up to `last` are warming up and late, and the others
/// answer soon.
fn room_with_late_cold_ones(servers: u32, last: u32) -> f64 {
    let cold = |id| ServerEntry { launched_at: (id <= last).then_some(0.0), ..server(id) };
    let servers: Vec<_> = (1..=servers).map(cold).collect();
    let mut host = Host::new(
        Settings { warm_up_start_fraction: 0.9, warm_up_duration: 60_000.0, max_attempts: 1, ..settings() },
        &servers,
    );
    let mut hand: std::collections::BTreeMap<(u64, RequestId), (RequestId, Millis)> = Default::default();
    for step in 0..1500u64 {
        let now = 10.0 * step as f64;
        host.run_timers(now);
        while let Some(due) = hand.first_entry().filter(|due| due.key().0 <= step) {
            let (id, elapsed) = due.remove();
            answer(&mut host, id, elapsed);
        }
        let (id, actions) = host.submit(1, 3, 0);
        if let Some(to) = sends(&actions).first() {
            let elapsed = if *to <= last { 900.0 } else { 30.0 };
            hand.insert((step + elapsed as u64 / 10, id), (id, elapsed));
        }
    }
    host.gateway.capacity().1
}

#[test]
fn late_servers_in_warm_up_do_not_lower_the_limit() {
    let room = room_with_late_cold_ones(40, 19);
    assert!(room > 0.9, "room for {room} with 21 servers that answer soon");
    // Where most are warming up no others show the capacity.
    let room = room_with_late_cold_ones(40, 40);
    assert!(room < 0.5, "room for {room} with nothing but late servers");
}

#[test]
fn long_responses_alone_do_not_close_the_limit() {
    let servers: Vec<_> = (1..=8).map(server).collect();
    let mut host = Host::new(settings(), &servers);
    // 2.5 s in an overload are learned as the response time; every new attempt would be past its target of 1 s.
    answered_after(&mut host, &[0], 2500.0, 60.0);
    host.now += 5000.0;
    // Two gateways, eight servers: an own part of eight attempts makes no queue.
    assert!(burst(&mut host, 50, 0).0 >= 6);
}
