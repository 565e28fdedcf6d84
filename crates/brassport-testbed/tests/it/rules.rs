//! Each rule passes a sound history, and shows red on one that breaks just this rule.

use brassport_testbed::configuration::Plan;
use brassport_testbed::history::{
    Attempt, AttemptOutcome, FaultWindow, History, ObservedVersion, ProcessStart, Run, SubmittedConfiguration,
};
use brassport_testbed::http::Failure;
use brassport_testbed::rules::{
    ready_node_catches_up, ready_node_is_not_stale, version_never_goes_back, ALL, CATCH_UP_S,
};
use std::net::{Ipv4Addr, SocketAddrV4};

const NODE: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(127, 64, 1, 1), 12_000);

fn attempt(id: &str, path: &str, is_safe: bool, sent: f64, status: u16) -> Attempt {
    let is_success = status == 200;
    let outcome = AttemptOutcome::Answer {
        status,
        seal: is_success.then(|| format!("seal-{id}")),
        id: is_success.then(|| id.to_owned()),
        is_complete: is_success,
    };
    Attempt {
        id: id.into(),
        tenant: Some("reed".into()),
        host: "site.example".into(),
        path: path.into(),
        is_safe,
        node: NODE,
        sent,
        ended: Some((sent + 0.1, outcome)),
    }
}

fn run(id: &str, service: &str, at: f64) -> Run {
    Run {
        at,
        id: id.into(),
        service: service.into(),
        customer: Some("reed".into()),
        has_key: false,
        seal: format!("seal-{id}"),
        work_s: 0.02,
        ended: Some(at + 0.02),
    }
}

/// Two configurations, and a request of each kind.
fn sound() -> History {
    let first = Plan::first(1);
    let second = first.next(3);
    let mut open = attempt("open", "/open/1", true, 1.5, 200);
    open.tenant = None;
    let mut open_run = run("open", "alder", 1.55);
    open_run.customer = None;
    History {
        runs: vec![
            run("goods", "alder", 1.05),
            run("order", "cedar", 1.15),
            run("fresh", "birch", 1.25),
            open_run,
            run("fresh3", "birch", 4.55),
        ],
        attempts: vec![
            attempt("goods", "/goods/1", true, 1.0, 200),
            attempt("order", "/orders/1", false, 1.1, 200),
            attempt("fresh", "/fresh-1/1", true, 1.2, 200),
            attempt("refused", "/orders/2", false, 1.3, 503),
            open,
            attempt("fresh3", "/fresh-3/1", true, 4.5, 200),
        ],
        requests: Vec::new(),
        read_back: Some(second.as_read()),
        sent: vec![
            SubmittedConfiguration { plan: first, at: 0.5, acknowledged: Some(0.9) },
            SubmittedConfiguration { plan: second, at: 4.0, acknowledged: Some(4.2) },
        ],
        fault_windows: Vec::new(),
        observed_versions: Vec::new(),
        process_starts: Vec::new(),
        end: 8.0,
    }
}

/// Just this rule is broken by what is altered.
fn breaks(rule: &str, alter: impl FnOnce(&mut History)) {
    let mut history = sound();
    alter(&mut history);
    let violation: Vec<&str> =
        ALL.iter().filter(|(_, rule)| rule(&history).is_err()).map(|(name, _)| *name).collect();
    assert_eq!(violation, [rule]);
}

#[test]
fn valid_history_violates_no_rule() {
    for (name, rule) in ALL {
        assert_eq!(rule(&sound()), Ok(()), "{name}");
    }
    for (name, rule) in ALL {
        assert_eq!(rule(&History::default()), Ok(()), "{name}, of nothing");
    }
}

#[test]
fn second_run_of_a_non_idempotent_attempt_is_reported_and_of_an_idempotent_one_not() {
    breaks("an unsafe try runs once", |history| history.runs.push(run("order", "cedar", 1.2)));
    let mut history = sound();
    history.runs.push(run("goods", "birch", 1.1));
    assert!(ALL.iter().all(|(_, rule)| rule(&history).is_ok()));
}

#[test]
fn run_without_an_attempt_is_reported() {
    breaks("an unsafe try runs once", |history| history.runs.push(run("other", "cedar", 1.2)));
}

#[test]
fn run_of_a_rejected_attempt_is_reported() {
    for status in [408, 421, 429, 503] {
        breaks("what was refused never ran", |history| {
            history.attempts[3] = attempt("refused", "/orders/2", false, 1.3, status);
            history.runs.push(run("refused", "cedar", 1.35));
        });
    }
}

#[test]
fn success_with_missing_or_foreign_seal_id_or_body_is_reported() {
    let rule = "a success carries seal and id";
    let alter = |history: &mut History, wrong: AttemptOutcome| history.attempts[0].ended = Some((1.1, wrong));
    let answer = |seal: Option<&str>, id: Option<&str>, is_complete| AttemptOutcome::Answer {
        status: 200,
        seal: seal.map(str::to_owned),
        id: id.map(str::to_owned),
        is_complete,
    };
    breaks(rule, |history| alter(history, answer(None, Some("goods"), true)));
    breaks(rule, |history| alter(history, answer(Some("seal-order"), Some("goods"), true)));
    breaks(rule, |history| alter(history, answer(Some("seal-goods"), Some("order"), true)));
    breaks(rule, |history| alter(history, answer(Some("seal-goods"), None, true)));
    breaks(rule, |history| alter(history, answer(Some("seal-goods"), Some("goods"), false)));
}

#[test]
fn key_at_a_backend_is_reported() {
    breaks("no key reaches a backend", |history| history.runs[0].has_key = true);
}

#[test]
fn wrong_tenant_and_run_without_a_key_are_reported() {
    let rule = "the tenant is named right";
    breaks(rule, |history| history.runs[0].customer = Some("oak".into()));
    breaks(rule, |history| history.runs[0].customer = None);
    breaks(rule, |history| history.runs[3].customer = Some("oak".into()));
    breaks(rule, |history| {
        history.attempts[0].tenant = None;
        history.runs[0].customer = None;
    });
}

#[test]
fn run_at_a_service_that_no_configuration_allows_yet_is_reported() {
    let rule = "a request runs where a configuration allows";
    breaks(rule, |history| history.runs[0].service = "cedar".into());
    // Orders go to birch by the second configuration only.
    breaks(rule, |history| history.runs[1].service = "birch".into());
}

#[test]
fn tenant_above_its_quota_is_reported_and_one_at_it_not() {
    // (10 x 5 + 5) x 1.1 + 20 = 80.5 in five seconds; three of its requests are there.
    let more = |history: &mut History, count: usize| {
        for number in 0..count {
            let (id, at) = (format!("more{number}"), 1.4 + number as f64 * 0.03);
            history.attempts.push(attempt(&id, "/goods/2", true, at, 200));
            history.runs.push(run(&id, "alder", at));
        }
    };
    breaks("no tenant is above its quota", |history| more(history, 77));
    let mut history = sound();
    more(&mut history, 76);
    assert!(ALL.iter().all(|(_, rule)| rule(&history).is_ok()));
}

#[test]
fn older_missing_or_foreign_read_back_is_reported() {
    let rule = "what was acknowledged is read back";
    breaks(rule, |history| history.read_back = Some(history.sent[0].plan.as_read()));
    breaks(rule, |history| history.read_back = None);
    breaks(rule, |history| {
        if let Some(read) = &mut history.read_back {
            read.routes.pop();
        }
    });
}

#[test]
fn route_in_force_late_or_serving_nobody_is_reported() {
    let rule = "a new route is in force in time";
    breaks(rule, |history| history.attempts.push(attempt("late", "/fresh-3/2", true, 6.3, 404)));
    breaks(rule, |history| {
        history.attempts.pop();
        history.runs.pop();
    });
    // Within the two seconds it may be missing at a node.
    let mut history = sound();
    history.attempts.push(attempt("early", "/fresh-3/2", true, 6.1, 404));
    assert!(ALL.iter().all(|(_, rule)| rule(&history).is_ok()));
}

/// Eight safe requests whose clients leave 0.1 s behind their start; each run would take 2 s and ends at `ended`.
fn left_by_eight(history: &mut History, ended: impl Fn(usize) -> Option<f64>) {
    for number in 0..8 {
        let (id, at) = (format!("left-{number}"), 2.0);
        let mut left = attempt(&id, "/goods/1", true, at - 0.05, 200);
        left.ended = Some((at + 0.1, AttemptOutcome::Failed(Failure::Silence)));
        history.attempts.push(left);
        history.runs.push(Run { work_s: 2.0, ended: ended(number), ..run(&id, "alder", at) });
    }
}

#[test]
fn work_for_departed_clients_is_reported() {
    let rule = "work ends with its client";
    breaks(rule, |history| left_by_eight(history, |_| Some(4.0)));
    breaks(rule, |history| left_by_eight(history, |_| None));
    breaks(rule, |history| left_by_eight(history, |number| Some(if number < 3 { 4.0 } else { 2.11 })));
}

#[test]
fn work_ending_in_time_or_at_a_killed_node_is_not_reported() {
    let rules = || ALL.iter().map(|(_, rule)| rule);
    let mut in_time = sound();
    left_by_eight(&mut in_time, |number| Some(if number < 2 { 4.0 } else { 2.2 }));
    assert!(rules().all(|rule| rule(&in_time).is_ok()), "a quarter is borne");
    let mut killed = sound();
    left_by_eight(&mut killed, |_| Some(4.0));
    killed.fault_windows.push(FaultWindow { node: NODE, from: 0.5, until: 1.0 });
    assert!(rules().all(|rule| rule(&killed).is_ok()), "the door was killed 1.1 s before");
}

#[test]
fn missing_response_is_reported_except_at_a_killed_node() {
    let lose = |history: &mut History| {
        history.attempts[1].ended = Some((1.3, AttemptOutcome::Failed(Failure::Closed)));
    };
    breaks("what a backend ran is answered", lose);
    let mut unread = sound();
    lose(&mut unread);
    unread.runs.retain(|run| run.id != "order");
    assert!(ALL.iter().all(|(_, rule)| rule(&unread).is_ok()), "no backend had it");
    let mut killed = sound();
    lose(&mut killed);
    killed.fault_windows.push(FaultWindow { node: NODE, from: 1.25, until: 2.0 });
    assert!(ALL.iter().all(|(_, rule)| rule(&killed).is_ok()));
}

/// Versions that a node reports one second after the other, with whether it is ready.
fn observing(reports: &[(u32, bool)]) -> History {
    let mut history = sound();
    history.observed_versions = reports
        .iter()
        .enumerate()
        .map(|(second, (version, is_ready))| ObservedVersion {
            node: NODE,
            began: second as f64,
            ended: second as f64 + 0.1,
            version: *version,
            is_ready: *is_ready,
        })
        .collect();
    history
}

fn restarted(mut history: History, at: f64) -> History {
    history.process_starts.push(ProcessStart { node: NODE, at });
    history
}

#[test]
fn version_going_back_within_a_process_is_reported() {
    assert!(version_never_goes_back(&observing(&[(1, true), (3, true), (3, false)])).is_ok());
    assert!(version_never_goes_back(&observing(&[(3, true), (1, true)])).is_err());
    assert!(version_never_goes_back(&observing(&[(3, true), (1, false)])).is_err());
    let restarted_before = restarted(observing(&[(1, true), (3, true), (1, false)]), 0.5);
    assert!(version_never_goes_back(&restarted_before).is_err());
    let restarted_between = restarted(observing(&[(3, true), (1, false), (3, true)]), 0.5);
    assert!(version_never_goes_back(&restarted_between).is_ok());
}

#[test]
fn restarted_node_ready_with_an_older_version_is_reported() {
    let catching_up = restarted(observing(&[(3, true), (1, false), (3, true)]), 0.5);
    assert!(ready_node_is_not_stale(&catching_up).is_ok());
    let stale = restarted(observing(&[(3, true), (1, false), (1, true)]), 0.5);
    assert!(ready_node_is_not_stale(&stale).is_err());
}

#[test]
fn restarted_node_that_stays_stale_beyond_the_catch_up_time_is_reported() {
    let stale = observing(&[(3, true), (1, false), (1, true)]);
    let began = stale.observed_versions[2].began;
    assert!(ready_node_catches_up(&restarted(stale.clone(), 0.5)).is_ok());
    assert!(ready_node_catches_up(&restarted(stale, began - CATCH_UP_S - 0.1)).is_err());
}

#[test]
fn query_across_a_restart_is_attributed_to_no_process() {
    let across = restarted(observing(&[(3, true), (1, true), (3, true)]), 1.05);
    assert!(version_never_goes_back(&across).is_ok() && ready_node_is_not_stale(&across).is_ok());
    let behind_it = restarted(observing(&[(3, true), (1, true), (1, true)]), 1.05);
    assert!(ready_node_is_not_stale(&behind_it).is_err());
    // What it reported counts all the same.
    let newer_across = restarted(observing(&[(1, true), (3, true), (1, true)]), 1.05);
    assert!(ready_node_is_not_stale(&newer_across).is_err());
}

#[test]
fn history_without_observed_versions_is_rejected() {
    assert!(version_never_goes_back(&sound()).is_err());
    assert!(ready_node_is_not_stale(&sound()).is_err());
    assert!(ready_node_catches_up(&sound()).is_err());
}
