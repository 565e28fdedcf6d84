//! What has to hold of the history of a fleet. Each checker names what it saw, and can fail.

use crate::event::{Answer, Connection, Door, Nanos, Node, Seen, Sent};
use crate::{figures_without_cold_nodes, Judge};
use brassport_fleet::audit::Audit;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// One thing that was seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum What {
    /// The harness did this to a process or a link.
    Fault { what: String },
    /// A change was agreed on: a ban (`true`) or its end, by its version.
    Changed { version: u64, node: String, banned: bool },
    /// A ban of this node is about to be taken back.
    CallsBack { node: String },
    /// No door acts on less than this version from here on, as the program says.
    Fenced { version: u64 },
    /// The program would not say so within the time that it was given.
    NotFenced { version: u64 },
    /// A request reached a node.
    Arrived { node: String, request: String, unsafe_to_repeat: bool },
    /// A client begins to send a request to a door, and waits so long.
    Asked { door: String, request: String, unsafe_to_repeat: bool, patience: Duration },
    /// Its client has the answer: a status, or none as the connection broke.
    Answered { request: String, status: Option<u16> },
    /// A process's state at the end: version and digest.
    Ended { process: String, version: u64, digest: String },
}

/// One thing, and when.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    pub at: Duration,
    pub what: What,
}

/// A request that was written before the fence held may take so long until the node's thread notes it.
const ON_THE_WAY: Duration = Duration::from_millis(100);

/// Nothing reaches a node that was banned at or before a version behind which a fence holds, until it is called back.
pub fn fence(events: &[Event]) -> Vec<String> {
    let mut bans: BTreeMap<&str, (u64, bool)> = BTreeMap::new();
    // Banned nodes that are fenced off, and since when.
    let mut off: BTreeMap<&str, Duration> = BTreeMap::new();
    let mut broken = Vec::new();
    for Event { at, what } in events {
        match what {
            What::Changed { version, node, banned } => {
                bans.insert(node, (*version, *banned));
            }
            // It may be in force before its author hears of it.
            What::CallsBack { node } => {
                off.remove(node.as_str());
            }
            What::Fenced { version } => {
                for (node, (since, banned)) in &bans {
                    if *banned && since <= version {
                        off.entry(node).or_insert(*at);
                    }
                }
            }
            What::Arrived { node, request, .. } => {
                if let Some(since) = off.get(node.as_str()).filter(|since| **since + ON_THE_WAY < *at) {
                    broken.push(format!("{request} reached {node} at {at:?}, fenced off at {since:?}"));
                }
            }
            _ => {}
        }
    }
    broken
}

/// The rules on answers and effects, as the simulation has them: each request that a client sent ends for it, once and in time;
/// none that must not run twice reaches nodes twice, or is refused behind a node that had it.
pub fn requests(events: &[Event]) -> Vec<String> {
    let mut judge = Judge::new(figures_without_cold_nodes());
    let nanos = |at: &Duration| Nanos::try_from(at.as_nanos()).unwrap_or(Nanos::MAX);
    // Names get numbers in the order in which they are met.
    let mut numbers: BTreeMap<&str, u32> = BTreeMap::new();
    let mut open: BTreeSet<&str> = BTreeSet::new();
    let mut broken = Vec::new();
    let mut last = 0;
    for Event { at, what } in events {
        let now = nanos(at);
        last = now;
        let mut number = |name| {
            let next = numbers.len() as u32;
            *numbers.entry(name).or_insert(next)
        };
        match what {
            What::Asked { door, request, unsafe_to_repeat, patience } => {
                if !open.insert(request) {
                    broken.push(format!("{request} was asked twice: the test is wrong"));
                }
                let (unsafe_to_repeat, patience) = (*unsafe_to_repeat, nanos(patience));
                let sent = Sent { at: now, patience, unsafe_to_repeat, customer: 0, has_ceiling: false };
                judge.see(now, request, Seen::Sent(sent));
                let (door, connection) = (Door(number(door)), Connection(0));
                judge.see(now, request, Seen::Taken { door, connection });
            }
            What::Arrived { node, request, .. } => {
                let node = Node(number(node));
                judge.see(now, request, Seen::Arrived { node, door: None });
                judge.see(now, request, Seen::Ran { node });
            }
            What::Answered { request, status } => {
                if !open.remove(request.as_str()) {
                    broken.push(format!("{request} was answered twice, or never asked"));
                }
                // A connection that broke: its door was killed, and no answer is owed.
                let seen = status.map_or(Seen::Left, |status| {
                    let answer = Answer { status, advised: true, fits: true };
                    Seen::Answered { door: Door(u32::MAX), answer }
                });
                judge.see(now, request, seen);
            }
            _ => {}
        }
    }
    judge.pass_time(last.saturating_add(1), |_| false);
    broken.extend(judge.violation().map(|broken| format!("{}: {broken:?}", broken.rule)));
    broken.extend(open.iter().map(|request| format!("{request} has no answer")));
    broken
}

/// All processes end with the same state, in which every change that was agreed on is.
pub fn agreement(events: &[Event]) -> Vec<String> {
    let mut ends = BTreeMap::new();
    let mut last = 0;
    for Event { what, .. } in events {
        match what {
            What::Changed { version, .. } => last = last.max(*version),
            What::Ended { process, version, digest } => {
                ends.insert(process.as_str(), (*version, digest.as_str()));
            }
            _ => {}
        }
    }
    let mut broken = Vec::new();
    for (process, (version, _)) in &ends {
        if *version < last {
            broken.push(format!("{process} ends with version {version}, and {last} was agreed on"));
        }
    }
    let states: BTreeSet<_> = ends.values().collect();
    if states.len() > 1 {
        broken.push(format!("the processes end with different states: {ends:?}"));
    }
    if ends.is_empty() {
        broken.push("no process said how it ended".into());
    }
    broken
}

/// The audit knows of every unsafe request that reached a node, at the door that its client asked, but for at most as many as
/// it says itself that the door could not write down; a door's versions rise within a process, and no span overlaps
/// the next one's admissions.
pub fn audited(events: &[Event], audit: &Audit) -> Vec<String> {
    let mut broken = Vec::new();
    let mut asked = BTreeMap::new();
    let mut unknown: BTreeMap<&str, Vec<String>> = BTreeMap::new();
    for Event { what, .. } in events {
        match what {
            What::Asked { door, request, .. } => {
                asked.insert(request.as_str(), door.as_str());
            }
            What::Arrived { node, request, unsafe_to_repeat: true } => {
                let door = asked.get(request.as_str()).copied().unwrap_or_default();
                let known = audit
                    .sent
                    .iter()
                    .any(|sent| sent.request == *request && sent.node == *node && sent.door == door);
                if !known {
                    unknown.entry(door).or_default().push(format!("{request} to {node}"));
                }
            }
            _ => {}
        }
    }
    for (door, sends) in unknown {
        let lost: u64 = audit.lost.get(door).into_iter().flatten().map(|lost| lost.lines).sum();
        if sends.len() as u64 > lost {
            broken.push(format!("{lost} lines of {door} are said to be lost, and the audit lacks {sends:?}"));
        }
    }
    let mut last: BTreeMap<(&str, u64), (u64, u64)> = BTreeMap::new();
    for span in &audit.spans {
        let key = (span.door.as_str(), span.process);
        let (version, admission) = last.get(&key).copied().unwrap_or_default();
        if span.version < version || span.admissions.0 < admission {
            broken.push(format!(
                "{} went back from version {version}, admission {admission}: {span:?}",
                span.door
            ));
        }
        last.insert(key, (span.version, span.admissions.1.unwrap_or(span.admissions.0)));
    }
    broken.extend(audit.forks.iter().map(|fork| format!("a fork: {fork:?}")));
    broken
}

/// What the audit says of when an unsafe request was sent holds: not before its client began to ask, and not behind its
/// arrival at the node. `began_ms` is the history's beginning on the clock by which the audit tells.
pub fn told_on_one_clock(events: &[Event], audit: &Audit, began_ms: i64) -> Vec<String> {
    let mut asked = BTreeMap::new();
    let mut arrived = BTreeMap::new();
    for Event { at, what } in events {
        let at = began_ms + at.as_millis() as i64;
        match what {
            What::Asked { request, .. } => drop(asked.insert(request.as_str(), at)),
            What::Arrived { request, .. } => drop(arrived.insert(request.as_str(), at)),
            _ => {}
        }
    }
    let wrong = audit.sent.iter().filter_map(|sent| {
        let (moment, request) = (sent.at?, sent.request.as_str());
        // A request may be recorded and then not sent.
        let (asked, arrived) = (asked.get(request)?, arrived.get(request).copied().unwrap_or(i64::MAX));
        let fits = moment.to_ms >= *asked && moment.from_ms <= arrived;
        (!fits).then(|| format!("{request} was asked at {asked} and arrived at {arrived}, told: {moment:?}"))
    });
    wrong.collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use brassport_fleet::audit::Sent;
    use brassport_fleet::clocks::Moment;

    fn events(all: Vec<(u64, What)>) -> Vec<Event> {
        all.into_iter().map(|(ms, what)| Event { at: Duration::from_millis(ms), what }).collect()
    }

    fn arrived(node: &str, request: &str) -> What {
        What::Arrived { node: node.into(), request: request.into(), unsafe_to_repeat: true }
    }

    fn asked(request: &str) -> What {
        let (door, request, patience) = ("d".into(), request.into(), Duration::from_secs(4));
        What::Asked { door, request, unsafe_to_repeat: true, patience }
    }

    fn changed(version: u64, banned: bool) -> What {
        What::Changed { version, node: "n".into(), banned }
    }

    #[test]
    fn a_request_behind_a_fence_is_seen_and_one_before_it_or_behind_the_call_back_is_none() {
        let sound = [
            (1, changed(3, true)),
            (5, arrived("n", "a")),
            (10, What::Fenced { version: 3 }),
            (20, arrived("n", "b")),
            (500, arrived("m", "c")),
            (600, What::CallsBack { node: "n".into() }),
            (601, changed(4, false)),
            (900, arrived("n", "d")),
        ];
        assert_eq!(fence(&events(sound.to_vec())), Vec::<String>::new());
        let mut broken = sound.to_vec();
        broken.insert(5, (500, arrived("n", "late")));
        assert_eq!(fence(&events(broken)).len(), 1);
    }

    #[test]
    fn a_second_effect_a_lost_answer_and_a_second_one_are_seen() {
        let said = |request: &str, status| What::Answered { request: request.into(), status };
        let answered = |request: &str| said(request, Some(200));
        let broken = |all: Vec<(u64, What)>| requests(&events(all)).len();
        assert_eq!(broken(vec![(1, asked("a")), (2, arrived("n", "a")), (3, answered("a"))]), 0);
        assert_eq!(broken(vec![(1, asked("a")), (2, said("a", None))]), 0, "its door was killed");
        let twice = [arrived("n", "a"), arrived("m", "a")].map(|arrived| (2, arrived));
        assert_eq!(broken([vec![(1, asked("a"))], twice.to_vec(), vec![(3, answered("a"))]].concat()), 1);
        assert_eq!(broken(vec![(1, asked("a"))]), 1, "never answered");
        assert!(broken(vec![(1, asked("a")), (2, answered("a")), (3, answered("a"))]) > 0);
        assert_eq!(broken(vec![(1, asked("a")), (9_000, answered("a"))]), 1, "late");
        let refused = vec![(1, asked("a")), (2, arrived("n", "a")), (3, said("a", Some(429)))];
        assert_eq!(broken(refused), 1, "it says that it did not run");
    }

    #[test]
    fn a_change_that_is_lost_and_states_that_differ_are_seen() {
        let ended = |process: &str, version, digest: &str| What::Ended {
            process: process.into(),
            version,
            digest: digest.into(),
        };
        assert_eq!(
            agreement(&events(vec![(1, changed(3, true)), (2, ended("a", 3, "x")), (2, ended("b", 3, "x"))]))
                .len(),
            0
        );
        assert_eq!(agreement(&events(vec![(1, changed(3, true)), (2, ended("a", 2, "x"))])).len(), 1);
        assert_eq!(agreement(&events(vec![(2, ended("a", 3, "x")), (2, ended("b", 3, "y"))])).len(), 1);
        assert_eq!(agreement(&[]).len(), 1);
    }

    #[test]
    fn a_moment_that_cannot_be_is_seen() {
        let events = events(vec![(100, asked("a")), (120, arrived("n", "a"))]);
        let told = |from_ms, to_ms| {
            let at = Some(Moment { from_ms, to_ms });
            let (request, node) = ("a".into(), "n".into());
            let (version, process, steady_ms, wall_ms) = (1, 1, 1, 1);
            let sent = Sent { door: "d".into(), request, node, version, process, steady_ms, wall_ms, at };
            told_on_one_clock(&events, &Audit { sent: vec![sent], ..Audit::default() }, 5_000).len()
        };
        assert_eq!((told(5_090, 5_110), told(5_115, 5_300)), (0, 0));
        assert_eq!((told(5_050, 5_099), told(5_121, 5_200)), (1, 1));
    }

    #[test]
    fn a_request_that_the_audit_does_not_know_is_seen() {
        assert_eq!(
            audited(&events(vec![(1, asked("a")), (2, arrived("n", "a"))]), &Audit::default()).len(),
            1
        );
    }
}
