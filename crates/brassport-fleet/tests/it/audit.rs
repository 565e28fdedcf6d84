//! Spans, non-idempotent requests, forks and missing parts that an audit finds in the records of several gateway
//! instances.

use brassport_fleet::audit::{Audit, Query};
use brassport_fleet::clocks::Mark;
use brassport_fleet::record::{self, At, Chain, Event, Line};

fn line(number: u64, process: u64, event: Event) -> Line {
    Line {
        number,
        before: String::new(),
        at: At { process, steady_ms: 10 * number, wall_ms: 1_000 + 10 * number },
        what: event,
    }
}

fn acts(version: u64, from_admission: u64) -> Event {
    Event::Acts { version, digest: format!("d{version}"), from_admission }
}

/// A record of two processes: the first acts on versions 3 and 4, stops, resumes, and ends without recording it.
fn record() -> Vec<Line> {
    let began = || Event::Began { door: "a".into(), program: "1".into() };
    vec![
        line(0, 1, began()),
        line(1, 1, acts(3, 1)),
        line(2, 1, Event::Unsafe { request: "r-1".into(), node: "n".into(), version: 3 }),
        line(3, 1, acts(4, 20)),
        line(4, 1, Event::Stopped { why: "ran out".into(), from_admission: 31 }),
        line(5, 1, Event::WentOn { from_admission: 31 }),
        line(6, 2, began()),
        line(7, 2, acts(4, 1)),
    ]
}

#[test]
fn each_span_has_the_admissions_of_its_version() {
    let mut audit = Audit::default();
    audit.add("a", &record(), None);
    let spans: Vec<_> =
        audit.spans.iter().map(|span| (span.process, span.version, span.admissions)).collect();
    let expected = [(1, 3, (1, Some(20))), (1, 4, (20, Some(31))), (1, 4, (31, None)), (2, 4, (1, None))];
    assert_eq!(spans, expected);
    assert_eq!(audit.spans[2].ended.as_deref(), Some("the process ended without recording it"));
}

#[test]
fn a_request_is_found_with_its_door_node_and_version() {
    let mut audit = Audit::default();
    audit.add("a", &record(), None);
    let answer = audit.answer(&Query { request: Some("r-1".into()), ..Query::default() });
    assert_eq!(answer.sent.len(), 1);
    assert_eq!((answer.sent[0].version, answer.spans.len()), (3, 1));
    assert!(audit.answer(&Query { request: Some("r-2".into()), ..Query::default() }).sent.is_empty());
}

#[test]
fn two_digests_of_one_version_are_a_fork_with_both_doors_named() {
    let mut audit = Audit::default();
    audit.add("a", &record(), None);
    let other = Event::Acts { version: 4, digest: "other".into(), from_admission: 1 };
    audit.add("b", &[line(0, 9, other)], None);
    assert_eq!(audit.forks, [(4, "a".to_string(), "b".to_string())]);
}

#[test]
fn moments_of_doors_with_different_wall_clocks_are_on_one_clock_and_lost_lines_are_counted() {
    let text = |process: u64, wall_ms: u64, said_ms: u64| {
        let (mut chain, at) = (Chain::default(), |ms| At { process, steady_ms: ms, wall_ms: wall_ms + ms });
        let mark = Mark { by: "i1".into(), said_ms, took_ms: 4 };
        let lines = [(10, Event::Clock(mark)), (20, acts(3, 1)), (30, Event::Lost { lines: 2 })];
        lines.map(|(ms, event)| chain.add(at(ms), event)).concat()
    };
    // The second gateway instance's wall clock is an hour slow; both gateway instances started to act within ten
    // milliseconds of each other.
    let (a, b) = (text(1, 5_000_000, 5_000_010), text(2, 1_400_000, 5_000_012));
    let mut audit = Audit::default();
    audit.gather([("a", &*a), ("b", &*b)].into_iter());
    assert_eq!(audit.clock.as_deref(), Some("i1"));
    for span in &audit.spans {
        let began = span.began.expect("the process has a clock reading");
        assert!((5_000_010..=5_000_030).contains(&began.from_ms), "{span:?}");
        assert!((5_000_020..=5_000_030).contains(&began.to_ms), "{span:?}");
    }
    assert_eq!(audit.lost["a"][0].lines, 2);
    let between = Some((5_000_000, 5_000_100));
    let answer = audit.answer(&Query { between, ..Query::default() });
    assert_eq!(answer.spans.len(), 2, "a query by the common clock finds the spans of both doors");
}

#[test]
fn processes_of_a_door_are_ordered_although_its_wall_clock_was_set_back() {
    let text = |process: u64, wall_ms: u64, said_ms: u64, version: u64| {
        let (mut chain, at) = (Chain::default(), |ms| At { process, steady_ms: ms, wall_ms: wall_ms + ms });
        let mark = Mark { by: "i1".into(), said_ms, took_ms: 4 };
        [(10, Event::Clock(mark)), (20, acts(version, 1))]
            .map(|(ms, event)| chain.add(at(ms), event))
            .concat()
    };
    let (earlier, later) = (text(9, 7_000_000, 5_000_000, 3), text(1, 6_000_000, 5_060_000, 4));
    let mut audit = Audit::default();
    audit.gather([("a", &*earlier), ("a", &*later)].into_iter());
    assert_eq!(audit.spans.iter().map(|span| span.version).collect::<Vec<_>>(), [3, 4]);
}

#[test]
fn a_damaged_and_a_missing_record_are_reported_as_unknown() {
    let mut chain = Chain::default();
    let text = chain.add(At { process: 1, steady_ms: 1, wall_ms: 1 }, acts(1, 1));
    let (lines, fault, ..) = record::read(&text[..text.len() - 3]);
    let mut audit = Audit::default();
    audit.add("a", &lines, fault.as_ref());
    audit.missing("b", "no instance has any of it");
    assert!(audit.unknown["a"].contains("cut short") && audit.unknown["b"].contains("no instance"));
}
