//! Serialized lines of a record.

use super::GOLDEN;
use brassport_fleet::clocks::Mark;
use brassport_fleet::record::{self, At, Chain, Event, Line};
use brassport_golden::json;

/// An event of each kind, and one with the largest version and an empty digest.
pub fn events() -> Vec<Event> {
    vec![
        Event::Began { door: "d\"1\"".into(), program: "0.2.0".into() },
        Event::Clock(Mark { by: "i1".into(), said_ms: 1_700_000_000_004, took_ms: 4 }),
        Event::Acts { version: 3, digest: "ab".repeat(32), from_admission: 1 },
        Event::Unsafe { request: "r-1".into(), node: "node-7".into(), version: 3 },
        Event::Stopped { why: "its right ran out".into(), from_admission: 20 },
        Event::WentOn { from_admission: 20 },
        Event::Lost { lines: 2 },
        Event::Acts { version: u64::MAX, digest: String::new(), from_admission: 31 },
        Event::Unknown,
    ]
}

fn variant_name(event: &Event) -> &'static str {
    match event {
        Event::Began { .. } => "Began",
        Event::Acts { .. } => "Acts",
        Event::Stopped { .. } => "Stopped",
        Event::WentOn { .. } => "WentOn",
        Event::Unsafe { .. } => "Unsafe",
        Event::Clock(_) => "Clock",
        Event::Lost { .. } => "Lost",
        Event::Unknown => "Unknown",
    }
}

pub fn at(number: u64) -> At {
    At { process: 7, steady_ms: 10 * number, wall_ms: 1_700_000_000_000 + 10 * number }
}

#[test]
fn a_committed_record_is_read_and_rewritten_in_the_same_bytes() {
    let mut chain = Chain::default();
    let lines = events().into_iter().enumerate();
    let expected: String = lines.map(|(number, event)| chain.add(at(number as u64), event)).collect();
    let committed = GOLDEN.same_text("record.jsonl", &expected);
    let (lines, fault, valid_bytes, end) = record::read(&committed);
    assert_eq!((fault, valid_bytes, end), (None, committed.len(), chain));
    assert_eq!(lines.iter().map(|line| line.what.clone()).collect::<Vec<_>>(), events());
    let mut chain = Chain::default();
    let text: String = lines.iter().map(|line| chain.add(line.at, line.what.clone())).collect();
    assert_eq!(text, committed);
    assert_eq!(record::by_process(&committed), [(7, committed.as_str())]);
}

#[test]
fn each_part_of_a_line_keeps_its_bytes() {
    let mut cases = vec![json("At", at(1)), json("Mark", Mark { by: "i1".into(), said_ms: 5, took_ms: 4 })];
    for (number, event) in events().into_iter().enumerate() {
        cases.push(json(&format!("What::{}", variant_name(&event)), event.clone()));
        let line = Line { number: number as u64, before: "cd".repeat(32), at: at(2), what: event };
        cases.push(json(&format!("Line {number}"), line));
    }
    GOLDEN.same_cases("lines.txt", &cases);
}
