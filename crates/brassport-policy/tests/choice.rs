//! The choice of server at sizes where not every server is weighed, through the module's one entry.

use brassport_policy::{
    Action, AttemptEnd, Class, Effect, Event, Gateway, Lifecycle, ListKind, Millis, Outcome, Plan,
};
use brassport_policy::{Request, ServerEntry, ServerId, Settings};
use std::collections::BTreeMap;

const COLD_FOR: Millis = 10_000.0;
const COLD_FROM: f64 = 0.3;

fn settings() -> Settings {
    Settings {
        classes: vec![Class {
            worth: 1.0,
            aim: 500.0,
            deadline: 2000.0,
            late_share: 0.0,
            effect: Effect::Free,
        }],
        plans: vec![Plan::default()],
        max_attempts: 3,
        cold_from: COLD_FROM,
        cold_for: COLD_FOR,
        tip_multiple: 2.0,
        tip_after: 3000.0,
        max_retry_after: 500.0,
        ..Settings::default()
    }
}

fn line(id: ServerId) -> ServerEntry {
    ServerEntry { id, zone: 0, cell: 0, share: 1.0, lifecycle: Lifecycle::Ready, launched: None }
}

struct Door {
    gateway: Gateway,
    next: u64,
    actions: Vec<Action>,
}

impl Door {
    fn new(seed: u64, entries: Vec<ServerEntry>) -> Door {
        Door::of(settings(), seed, entries)
    }

    fn of(settings: Settings, seed: u64, entries: Vec<ServerEntry>) -> Door {
        let gateway = Gateway::new(settings, seed, 0.0).expect("the settings make sense");
        let mut door = Door { gateway, next: 0, actions: Vec::new() };
        door.list(0.0, ListKind::Full, entries);
        door
    }

    fn list(&mut self, now: Millis, kind: ListKind, entries: Vec<ServerEntry>) {
        self.gateway.handle(now, Event::Servers { kind, entries }, &mut self.actions);
        self.actions.clear();
    }

    /// Where a new request goes; `None` if it is refused.
    fn ask(&mut self, now: Millis) -> Option<(u64, ServerId)> {
        self.next += 1;
        let request = Request {
            id: self.next,
            customer: 1,
            plan: 0,
            class: 0,
            units: 1.0,
            spread: 1,
            first: 0,
            expires_in: 2000.0,
            repeat: false,
        };
        self.gateway.handle(now, Event::Request(request), &mut self.actions);
        let sent = self.actions.drain(..).find_map(|action| match action {
            Action::Send { request, server, .. } => Some((request, server)),
            _ => None,
        });
        sent
    }

    fn end(&mut self, now: Millis, request: u64, outcome: Outcome) -> Vec<Action> {
        let finished = outcome == Outcome::Ok;
        let end = AttemptEnd { request, attempt: 0, outcome, elapsed: 20.0, finished, used: None };
        self.gateway.handle(now, Event::AttemptEnd(end), &mut self.actions);
        self.actions.drain(..).collect()
    }
}

#[test]
fn of_many_idle_servers_no_one_gets_much_more_than_its_part() {
    let mut door = Door::new(1, (0..1000).map(line).collect());
    let mut sent = BTreeMap::new();
    for number in 0..20_000u64 {
        let now = number as f64;
        if let Some((request, server)) = door.ask(now) {
            *sent.entry(server).or_insert(0u32) += 1;
            door.end(now + 0.5, request, Outcome::Ok);
        }
    }
    let total: u32 = sent.values().sum();
    let most = *sent.values().max().expect("some were sent");
    assert!(total > 15_000, "{total} of 20,000 were sent on");
    // The most of a thousand counts round 20 is near 36 if each draw is by itself.
    assert!(most < 48, "one server of a thousand got {most} of {total}");
    assert!(sent.len() > 990, "{} servers got something", sent.len());
}

/// The servers that one of so many gateways sends to, each ask answered at once.
fn reached(gateways: u32, ordinal: u32, entries: &[ServerEntry]) -> BTreeMap<ServerId, u32> {
    let settings = Settings { gateways, ordinal, ..settings() };
    let mut door = Door::of(settings, u64::from(ordinal), entries.to_vec());
    let mut sent = BTreeMap::new();
    for number in 0..2500u64 {
        let now = number as f64 * 20.0;
        if let Some((request, server)) = door.ask(now) {
            // The first answers teach it what an answer takes.
            *sent.entry(server).or_insert(0) += u32::from(number >= 1000);
            door.end(now + 10.0, request, Outcome::Ok);
        }
    }
    sent
}

#[test]
fn many_gateways_share_the_servers_of_a_great_fleet_evenly_and_few_gateways_use_them_all() {
    let entries: Vec<ServerEntry> = (0..1000).map(line).collect();
    let mut shared: BTreeMap<ServerId, (u32, u32)> = BTreeMap::new();
    for ordinal in 0..50 {
        // The order in which the list names them is nothing to go by.
        let mut listed = entries.clone();
        listed.rotate_left(17 * ordinal as usize);
        let sent = reached(50, ordinal, &listed);
        // Four of fifty parts of a thousand servers, and one cut at either end.
        assert!((75..=82).contains(&sent.len()), "gateway {ordinal} sends to {} servers", sent.len());
        for (server, count) in sent {
            let known = shared.entry(server).or_default();
            *known = (known.0 + 1, known.1 + count);
        }
    }
    assert_eq!(shared.len(), 1000, "some servers have no gateway");
    assert!(shared.values().all(|(doors, _)| (3..=6).contains(doors)), "{shared:?}");
    let mean = shared.values().map(|(_, count)| f64::from(*count)).sum::<f64>() / 1000.0;
    let most = shared.values().map(|(_, count)| *count).max().expect("some were sent");
    assert!(f64::from(most) < 1.6 * mean, "{most} at one, {mean} on average");
    assert!(reached(4, 1, &entries).len() > 700, "one of four gateways is kept from a part of the fleet");
}

#[test]
fn one_of_a_hundred_gateways_before_sixty_servers_keeps_to_a_few_and_all_serve_alike() {
    let entries: Vec<ServerEntry> = (0..60).map(line).collect();
    let mut shared: BTreeMap<ServerId, u32> = BTreeMap::new();
    for ordinal in 0..100 {
        let sent = reached(100, ordinal, &entries);
        // Eight, one for what is in hand, and one cut at either end: with more, each would be met so rarely that
        // its connection has been closed meanwhile, at a handshake for nearly every request of the fleet.
        assert!((7..=11).contains(&sent.len()), "gateway {ordinal} sends to {} servers", sent.len());
        sent.into_iter().for_each(|(server, count)| *shared.entry(server).or_default() += count);
    }
    let mean = f64::from(shared.values().sum::<u32>()) / 60.0;
    let most = shared.values().copied().max().expect("some were sent");
    assert_eq!(shared.len(), 60, "some servers have no gateway");
    assert!(f64::from(most) < 1.5 * mean, "{most} at one, {mean} on average");
    // So they do with a zone lost, and three doors go on using all of as many.
    let met = reached(100, 50, &entries[..30]).len();
    assert!((7..=11).contains(&met), "{met} servers of the thirty that are left");
    assert_eq!(reached(3, 1, &entries[..30]).len(), 30);
}

#[test]
fn a_gateway_of_a_hundred_with_much_in_hand_sends_to_more_servers() {
    let settings = Settings { gateways: 100, ordinal: 7, ..settings() };
    let mut door = Door::of(settings, 3, (0..60).map(line).collect());
    let mut out = Vec::new();
    for number in 0..4000u64 {
        let now = number as f64 * 20.0;
        out.extend(door.ask(now).map(|(request, server)| (now, request, server)));
        // Up to thirty stay in hand, for as long as answers are timely.
        if number % 4 == 3 || out.len() > 30 {
            let (_, request, _) = out.remove(0);
            door.end(now + 1.0, request, Outcome::Ok);
        }
        if out.len() > 24 {
            break;
        }
    }
    let met: std::collections::BTreeSet<ServerId> = out.iter().map(|(_, _, server)| *server).collect();
    assert!(met.len() >= 16, "{} attempts in hand at {} servers", out.len(), met.len());
}

#[test]
fn a_gateway_whose_own_servers_all_fail_sends_to_the_others() {
    let settings = Settings { gateways: 50, ordinal: 3, max_attempts: 1, ..settings() };
    let mut door = Door::of(settings, 5, (0..1000).map(line).collect());
    let own: std::collections::BTreeSet<ServerId> =
        reached(50, 3, &(0..1000).map(line).collect::<Vec<_>>()).into_keys().collect();
    let (mut to_others, mut late) = (0, 0);
    for number in 0..3000u64 {
        let now = number as f64 * 5.0;
        let Some((request, server)) = door.ask(now) else { continue };
        let outcome = if own.contains(&server) { Outcome::NoConnection } else { Outcome::Ok };
        to_others += u32::from(outcome == Outcome::Ok);
        late += u32::from(outcome == Outcome::Ok && number > 2000);
        door.end(now + 2.0, request, outcome);
    }
    assert!(
        to_others > 1000 && late > 400,
        "{to_others} of 3,000 went to servers that answer, {late} of the last"
    );
}

#[test]
fn a_server_ten_times_larger_gets_about_ten_times_as_much() {
    let mut entries: Vec<ServerEntry> = (0..200).map(line).collect();
    entries[7].share = 10.0;
    let mut door = Door::new(2, entries);
    let (mut large, mut open, mut total) = (0u32, std::collections::VecDeque::new(), 0u32);
    // 150 in hand all the time, so that the fleet is busy and its sizes matter.
    for number in 0..20_000u64 {
        let now = number as f64;
        if let Some((request, server)) = door.ask(now) {
            large += u32::from(server == 7);
            total += 1;
            open.push_back(request);
        }
        if open.len() > 150 {
            let first = open.pop_front().expect("there are 150");
            door.end(now + 0.1, first, Outcome::Ok);
        }
    }
    let part = f64::from(large) / f64::from(total);
    // 10 of 209.
    assert!((0.03..0.08).contains(&part), "{part} of {total}");
}

#[test]
fn what_drains_or_has_gone_is_never_chosen_of_however_many() {
    let mut door = Door::new(3, (0..500).map(line).collect());
    for round in 0..5u32 {
        let now = f64::from(round) * 1000.0;
        let off: Vec<ServerEntry> = (0..500)
            .filter(|id| id % 5 == round)
            .map(|id| ServerEntry {
                lifecycle: if id % 2 == 0 { Lifecycle::Draining } else { Lifecycle::Gone },
                ..line(id)
            })
            .collect();
        door.list(now, ListKind::Delta, off);
        for number in 0..300 {
            let at = now + 1.0 + f64::from(number);
            if let Some((request, server)) = door.ask(at) {
                assert!(server % 5 > round, "server {server} of {round} was told off");
                door.end(at + 0.5, request, Outcome::Ok);
            }
        }
    }
    // All five parts are off by now.
    assert_eq!(door.ask(6000.0), None);
    door.list(6001.0, ListKind::Delta, vec![line(3)]);
    assert_eq!(door.ask(6002.0).expect("one is back").1, 3);
}

#[test]
fn with_all_but_one_ejected_the_one_is_found() {
    let mut door = Door::new(4, (0..100).map(line).collect());
    let mut now = 0.0;
    // Every server but 42 fails until it is ejected.
    let mut wrong_in_a_row = 0;
    while wrong_in_a_row < 30 && now < 100_000.0 {
        now += 0.1;
        let Some((request, server)) = door.ask(now) else { continue };
        if server == 42 {
            wrong_in_a_row += 1;
            door.end(now, request, Outcome::Ok);
        } else {
            wrong_in_a_row = 0;
            let mut last = server;
            let mut attempt = 0;
            // Its further attempts are answered as their servers would.
            let mut actions = door.end(now, request, Outcome::Full);
            while let Some(to) = actions.iter().find_map(|action| match action {
                Action::Send { server, .. } => Some(*server),
                _ => None,
            }) {
                assert_ne!(to, last, "the same server again");
                (last, attempt) = (to, attempt + 1);
                let outcome = if to == 42 { Outcome::Ok } else { Outcome::Full };
                let end =
                    AttemptEnd { request, attempt, outcome, elapsed: 1.0, finished: to == 42, used: None };
                door.gateway.handle(now, Event::AttemptEnd(end), &mut door.actions);
                actions = door.actions.drain(..).collect();
            }
        }
    }
    assert_eq!(wrong_in_a_row, 30, "of the servers that are not ejected only one is left");
}

/// Sends to cold servers against what the rule allows: a warm server's rate for its warmth, times the multiple.
fn most_at_cold(servers: u32, cold: u32, seed: u64) -> f64 {
    let entries = (0..servers).map(|id| ServerEntry { launched: (id < cold).then_some(0.0), ..line(id) });
    let mut door = Door::new(seed, entries.collect());
    let rate = f64::from(servers) * 5.0;
    let mut sent: BTreeMap<ServerId, Vec<Millis>> = BTreeMap::new();
    let mut now = 0.0;
    while now < 9000.0 {
        now += 1000.0 / rate;
        if let Some((request, server)) = door.ask(now) {
            sent.entry(server).or_default().push(now);
            door.end(now, request, Outcome::Ok);
        }
    }
    let mut worst = 0.0f64;
    for times in (0..cold).filter_map(|id| sent.get(&id)) {
        for (first, &from) in times.iter().enumerate() {
            let within = times[first..].iter().filter(|at| **at < from + 3000.0).count() as f64;
            let warmth = COLD_FROM + (1.0 - COLD_FROM) * from / COLD_FOR;
            // What its part of all that is asked for would be in that time, with one request for the edges.
            worst = worst.max((within - 1.0) / (rate / f64::from(servers) * 3.0 * warmth));
        }
    }
    worst
}

#[test]
fn cold_servers_have_their_turns_and_no_more_in_small_fleets_and_great_ones() {
    for (servers, cold) in [(10, 1), (10, 5), (10, 10), (200, 1), (200, 100), (200, 200), (1000, 1000)] {
        let worst = most_at_cold(servers, cold, 5);
        assert!(worst < 2.0, "{cold} of {servers} cold: {worst:.2} of their capacity");
        assert!(worst > 0.5, "{cold} of {servers} cold: they got {worst:.2} of their capacity");
    }
}

#[test]
fn a_cold_server_that_drains_and_comes_back_has_no_turns_twice() {
    let cold = |id| ServerEntry { launched: Some(0.0), ..line(id) };
    let mut door = Door::new(6, (0..100).map(|id| if id == 0 { cold(0) } else { line(id) }).collect());
    let mut at_cold = 0;
    for number in 0..3000u64 {
        let now = number as f64;
        // The list tells it off and on again, and repeats itself.
        if number % 10 == 0 {
            let off = ServerEntry { lifecycle: Lifecycle::Draining, ..cold(0) };
            door.list(now, ListKind::Delta, vec![off]);
            door.list(now, ListKind::Delta, vec![cold(0), cold(0)]);
        }
        if let Some((request, server)) = door.ask(now) {
            at_cold += u32::from(server == 0);
            door.end(now, request, Outcome::Ok);
        }
    }
    // A hundredth of 3,000, at most half warm; each of 300 returns draws where its turns begin.
    assert!(at_cold <= 30, "{at_cold} went to the cold server");
}

#[test]
fn servers_that_come_and_go_while_cold_leave_nothing_behind() {
    let cold = |id| ServerEntry { launched: Some(0.0), ..line(id) };
    let mut door = Door::new(8, (0..50).map(cold).collect());
    let mut early = 0;
    for round in 0..4000u32 {
        let now = f64::from(round);
        let off = ServerEntry { lifecycle: Lifecycle::Draining, ..cold(round % 50) };
        door.list(now, ListKind::Delta, vec![off]);
        door.list(now, ListKind::Delta, vec![cold(round % 50)]);
        if let Some((request, _)) = door.ask(now) {
            door.end(now, request, Outcome::Ok);
        }
        if round == 200 {
            early = format!("{:?}", door.gateway).len();
        }
    }
    // What is planned for the end of a cold time stays until then: 4,000 lines of some 30 characters. A turn that
    // is planned twice would plan itself again, twice.
    let late = format!("{:?}", door.gateway).len();
    assert!(late < early + 4000 * 60, "{early} characters grew to {late}");
}

#[test]
fn a_server_is_warm_once_its_time_is_over_and_one_whose_start_is_told_for_later_is_so_in_the_end() {
    let mut entries: Vec<ServerEntry> = (0..2).map(line).collect();
    entries[0].launched = Some(0.0);
    entries[1].launched = Some(5000.0);
    let mut door = Door::new(7, entries);
    let mut sent = [0u32; 2];
    for number in 0..6 {
        let (_, server) = door.ask(16_000.0 + f64::from(number)).expect("both are warm");
        sent[server as usize] += 1;
    }
    // None is answered, so that what is in hand alone tells between them.
    assert_eq!(sent, [3, 3]);
}

#[test]
fn the_only_server_of_the_own_zone_among_5000_is_not_run_over() {
    let mut entries: Vec<ServerEntry> = (0..5000).map(|id| ServerEntry { zone: 1, ..line(id) }).collect();
    entries[17].zone = 0;
    let mut door = Door::new(11, entries);
    let (mut near, mut all) = (0, BTreeMap::new());
    // Nothing is answered: what is out is all that there is to go by.
    for number in 0..5000 {
        let Some((_, server)) = door.ask(1.0 + f64::from(number) * 0.001) else { continue };
        near += u32::from(server == 17);
        *all.entry(server).or_insert(0u32) += 1;
    }
    assert!(all.values().sum::<u32>() > 4000, "{} of 5,000 were sent on", all.values().sum::<u32>());
    assert!(near <= 4, "{near} at the one near server");
    assert!(all.values().all(|count| *count <= 4), "{} at one server", all.values().max().expect("some"));
}

#[test]
fn half_of_a_fleet_that_freezes_in_one_instant_gets_little_more_than_one_attempt_each() {
    let mut door = Door::new(12, (0..400).map(line).collect());
    let mut out = std::collections::VecDeque::new();
    let (mut to_frozen, mut to_others) = (0u32, 0u32);
    for number in 0..20_000u64 {
        let now = number as f64;
        while out.front().is_some_and(|(at, _)| *at <= now) {
            let (_, request) = out.pop_front().expect("there is one");
            door.end(now, request, Outcome::Ok);
        }
        let Some((request, server)) = door.ask(now) else { continue };
        let is_frozen = server < 200 && now >= 2000.0;
        if is_frozen {
            to_frozen += 1;
        } else {
            to_others += u32::from(now >= 2000.0);
            out.push_back((now + 20.0, request));
        }
    }
    assert!(to_others > 15_000, "{to_others} of 18,000 went to servers that answer");
    assert!(to_frozen < 2 * 200, "{to_frozen} went to 200 frozen servers");
}

#[test]
fn two_hundred_gateways_that_know_nothing_of_each_other_do_not_herd() {
    let entries: Vec<ServerEntry> = (0..1000).map(line).collect();
    let mut sent = vec![0u32; 1000];
    // A meter period of a calm fleet: 25 requests at each gateway, 5 for each server on average.
    for ordinal in 0..200 {
        let settings = Settings { gateways: 200, ordinal, ..settings() };
        let mut door = Door::of(settings, u64::from(ordinal), entries.clone());
        for number in 0..25 {
            let now = 1000.0 + f64::from(number) * 20.0;
            if let Some((request, server)) = door.ask(now) {
                sent[server as usize] += 1;
                door.end(now + 10.0, request, Outcome::Ok);
            }
        }
    }
    let (total, most) = (sent.iter().sum::<u32>(), *sent.iter().max().expect("there are servers"));
    println!("{total} sent, {most} at most to one server");
    assert!(total > 4000, "{total} of 5,000 were sent on");
    // Counts drawn each by themselves (mean 5) reach 16 once in a hundred such periods.
    assert!(most <= 18, "{most} of {total} at one of 1,000 servers");
}
