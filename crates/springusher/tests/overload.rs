//! Overload within the quotas.

mod common;

use common::*;
use springusher::*;

/// Asks `count` times at once and returns how many went out and how many were refused.
fn burst(host: &mut Host, count: usize, class: usize) -> (usize, usize) {
    let replies: Vec<_> = (0..count).map(|_| host.ask(1, 3, class).1).collect();
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
        let (id, actions) = host.ask(1, 3, class);
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
fn overload_ends_in_early_refusals() {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    let out = answered_after(&mut host, &[0], 900.0, 20.0)[0];
    assert!(out > 0 && out < 100, "{out} of 1000 let in though all answers are late");
}

#[test]
fn low_worth_is_refused_before_high_worth() {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    let out = answered_after(&mut host, &[0, 1], 900.0, 20.0);
    assert!(out[0] > 2 * out[1], "{out:?} of high and low worth let in");
}

#[test]
fn a_surge_is_bounded_before_its_late_answers_are_in() {
    let servers: Vec<_> = (1..=4).map(server).collect();
    let mut host = Host::new(settings(), &servers);
    answered_after(&mut host, &[0], 50.0, 5.0);
    let (out, refused) = burst(&mut host, 1000, 0);
    assert!(out > 8 && out < 60, "{out} out at once, {refused} refused");
}

#[test]
fn with_full_queues_few_of_thousands_of_retries_are_let_in() {
    let servers: Vec<_> = (1..=4).map(server).collect();
    let mut host = Host::new(Settings { max_attempts: 1, ..settings() }, &servers);
    let mut out = 0;
    for step in 0..20_000 {
        host.now += 1.0;
        let (id, actions) = host.ask(1, 3, 0);
        if !sends(&actions).is_empty() {
            out += u32::from(step > 10_000);
            host.end(id, 0, Outcome::Full, None);
        }
    }
    assert!(out > 0 && out < 300, "{out} of 10000 sent to full queues");
}

#[test]
fn a_surge_that_has_passed_does_not_keep_the_door_closed() {
    let mut host = Host::new(settings(), &[server(1), server(2)]);
    let mut taken = Vec::new();
    for _ in 0..30 {
        let (id, actions) = host.ask(1, 3, 1);
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
        let (id, actions) = host.ask(1, 3, 0);
        out += sends(&actions).len();
        host.end(id, 0, Outcome::Ok, None);
    }
    assert_eq!(out, 50);
}

#[test]
fn long_answers_alone_do_not_shut_the_door() {
    let servers: Vec<_> = (1..=8).map(server).collect();
    let mut host = Host::new(settings(), &servers);
    // 2.5 s in a jam are learned as the time of an answer; every new try would be past its aim of 1 s.
    answered_after(&mut host, &[0], 2500.0, 60.0);
    host.now += 5000.0;
    // Two gateways, eight servers: an own part of eight attempts makes no queue.
    assert!(burst(&mut host, 50, 0).0 >= 6);
}
