//! Servers that fail, hang or slow down, as one gateway can see them.

use crate::common::*;
use brassport_policy::*;
use std::collections::BTreeMap;

/// Asks every 20 ms for a while, with some requests in hand at a time; `answer` tells for a server and
/// the number of its attempt how that ends, `None` for never. Returns the sends to each server.
fn run(
    host: &mut Host,
    rounds: usize,
    answer: impl Fn(ServerId, usize) -> Option<Outcome>,
) -> BTreeMap<ServerId, usize> {
    run_with(host, rounds, 3, answer)
}

fn run_with(
    host: &mut Host,
    rounds: usize,
    in_hand: usize,
    answer: impl Fn(ServerId, usize) -> Option<Outcome>,
) -> BTreeMap<ServerId, usize> {
    let mut sent = BTreeMap::new();
    let mut hand = std::collections::VecDeque::new();
    for _ in 0..rounds {
        host.now += 20.0;
        let (id, actions) = host.submit(1, 3, 1);
        for target in sends(&actions) {
            *sent.entry(target).or_insert(0) += 1;
            if let Some(outcome) = answer(target, sent[&target]) {
                hand.push_back((id, outcome));
            }
        }
        if hand.len() > in_hand {
            let (id, outcome) = hand.pop_front().expect("not empty");
            host.end(id, 0, outcome, None);
        }
    }
    sent
}

fn fleet() -> Host {
    let servers: Vec<_> = (1..=6).map(server).collect();
    Host::new(settings(), &servers)
}

#[test]
fn a_hung_server_gets_no_new_attempts() {
    let servers: Vec<_> = (1..=3).map(server).collect();
    let mut host = Host::new(Settings { gateways: 1, ..settings() }, &servers);
    run_with(&mut host, 40, 9, |_, _| Some(Outcome::Ok));
    let sent = run_with(&mut host, 600, 9, |server, _| (server != 1).then_some(Outcome::Ok));
    assert!(sent[&1] <= 7 && sent[&2] > 100, "{sent:?}");
}

#[test]
fn a_server_that_fails_fast_attracts_no_load() {
    let sent =
        run(&mut fleet(), 600, |server, _| Some(if server == 1 { Outcome::Error } else { Outcome::Ok }));
    assert!(sent[&1] < 40, "{sent:?}");
}

#[test]
fn a_server_that_fails_half_of_its_attempts_gets_fewer() {
    let flaky = |server, n: usize| Some(if server == 1 && n % 2 == 0 { Outcome::Error } else { Outcome::Ok });
    let sent = run(&mut fleet(), 600, flaky);
    let others = sent.values().sum::<usize>() - sent[&1];
    assert!(sent[&1] * 2 < others / 5, "{sent:?}");
}

#[test]
fn a_fleet_that_is_slow_as_a_whole_is_not_ejected() {
    let mut host = fleet();
    run(&mut host, 60, |_, _| Some(Outcome::Error));
    let (_, actions) = host.submit(1, 3, 1);
    assert_eq!(sends(&actions).len(), 1);
}

#[test]
fn ejection_and_return_are_logged() {
    let mut host = fleet();
    run(&mut host, 2000, |server, n| Some(if server == 1 && n < 4 { Outcome::Error } else { Outcome::Ok }));
    let lines: Vec<_> = host.actions.iter().filter(|action| matches!(action, Action::Log(_))).collect();
    assert!(
        format!("{lines:?}").contains("ejected") && format!("{lines:?}").contains("answers again"),
        "{lines:?}"
    );
}

#[test]
fn requests_are_rejected_without_a_server() {
    let mut host = Host::new(settings(), &[]);
    assert!(refused(&host.submit(1, 3, 1).1));
}

#[test]
fn a_server_that_recovered_is_used_again() {
    let mut host = fleet();
    run(&mut host, 300, |server, n| Some(if server == 1 && n < 40 { Outcome::Error } else { Outcome::Ok }));
    let sent = run(&mut host, 3000, |_, _| Some(Outcome::Ok));
    assert!(sent[&1] > 100, "{sent:?}");
}

/// Guards a server in warm-up against runs of turns: drawn independently they came, in one day of several thousand, often
/// enough within its span to tip it over.
#[test]
fn a_server_in_warm_up_gets_its_share_in_every_interval_and_no_run_of_turns() {
    let settings = settings();
    for seed in 0..20 {
        let mut servers: Vec<_> = (1..=6).map(server).collect();
        servers[5].launched_at = Some(0.0);
        let mut host = Host::new(settings.clone(), &servers);
        host.gateway = Gateway::new(settings.clone(), seed, 0.0).expect("the settings make sense");
        host.event(Event::Servers { kind: ListKind::Full, entries: servers });
        let mut turns: Vec<(f64, f64)> = Vec::new();
        for _ in 0..480 {
            host.now += 20.0;
            let warmth = settings.warm_up_start_fraction
                + (1.0 - settings.warm_up_start_fraction) * host.now / settings.warm_up_duration;
            let (id, actions) = host.submit(1, 3, 1);
            let sent = sends(&actions).iter().filter(|target| **target == 6).count();
            turns.push((warmth / (5.0 + warmth), sent as f64));
            host.end(id, 0, Outcome::Ok, None);
        }
        for (at, span) in turns.windows(60).enumerate() {
            let part: f64 = span.iter().map(|(part, _)| part).sum();
            let sent: f64 = span.iter().map(|(_, sent)| sent).sum();
            assert!(
                (sent - part).abs() <= 2.0,
                "seed {seed}, from {at}: {sent} turns, its part is {part:.1}"
            );
        }
    }
}

/// The attempts that were cancelled, by request.
fn cancelled(actions: &[Action]) -> Vec<(RequestId, u8)> {
    let one = |action: &Action| match action {
        Action::Cancel { request, attempt } => Some((*request, *attempt)),
        _ => None,
    };
    actions.iter().filter_map(one).collect()
}

/// A host of twenty servers that respond in 50 ms; then ten requests are in flight at as many, and all of these hang.
fn host_with_hung_attempts() -> (Host, Vec<RequestId>) {
    let servers: Vec<_> = (1..=20).map(server).collect();
    let mut host = Host::new(settings(), &servers);
    let mut out = Vec::new();
    for n in 0..30 {
        host.now += if n < 20 { 50.0 } else { 0.0 };
        let (id, actions) = host.submit(1, 3, 0);
        if sends(&actions).is_empty() {
            continue;
        }
        match n {
            0..20 => drop(host.end(id, 0, Outcome::Ok, None)),
            _ => out.push(id),
        }
    }
    (host, out)
}

#[test]
fn of_many_hung_attempts_only_those_with_a_retry_are_cancelled() {
    let (mut host, out) = host_with_hung_attempts();
    assert!(out.len() >= 8, "{} are out", out.len());
    let until = host.now + 600.0;
    let mut again = 0;
    while host.now < until {
        let next = host.now + 20.0;
        // A host reports the ends after all that one turn cancelled.
        for (id, attempt) in cancelled(&host.run_timers(next)) {
            let actions = host.end(id, attempt, Outcome::Cancelled, None);
            assert!(!failed(&actions) && !refused(&actions), "{id} was cancelled in vain");
            assert_eq!(sends(&actions).len(), 1, "{id} goes again");
            again += 1;
        }
    }
    assert!((1..out.len()).contains(&again), "{again} of {} went again: the budget bounds them", out.len());

    // Each first attempt adds to the budget: those that still wait go again in their turn.
    let before = again;
    for _ in 0..10 {
        let (id, actions) = host.submit(1, 3, 0);
        if !sends(&actions).is_empty() {
            host.end(id, 0, Outcome::Ok, None);
        }
        let next = host.now + 20.0;
        for (id, attempt) in cancelled(&host.run_timers(next)) {
            let actions = host.end(id, attempt, Outcome::Cancelled, None);
            again += sends(&actions).len();
        }
    }
    assert!(again > before, "nothing goes again though the budget has grown");
}
