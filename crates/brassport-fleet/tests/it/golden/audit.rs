//! Serialized audits and their parts.

use super::record::{at, events};
use super::GOLDEN;
use brassport_fleet::audit::{Audit, Lost, Query, Sent, Span};
use brassport_fleet::clocks::Moment;
use brassport_fleet::record::{At, Chain, Event};
use brassport_golden::json;
use std::collections::BTreeMap;

/// An audit of two gateway instances' records. The second record is truncated and has another digest for a version of
/// the first.
fn gathered() -> Audit {
    let mut chain = Chain::default();
    let lines = events().into_iter().enumerate();
    let first: String = lines.map(|(number, event)| chain.add(at(number as u64), event)).collect();
    let mut chain = Chain::default();
    let acts = Event::Acts { version: 3, digest: "other".into(), from_admission: 1 };
    let other = At { process: 8, ..at(5) };
    let second: String = [acts, Event::Lost { lines: 1 }].map(|event| chain.add(other, event)).concat();
    let mut audit = Audit::default();
    audit.gather([("d1", first.as_str()), ("d2", &second[..second.len() - 5])].into_iter());
    audit.missing("d3", "no instance has any of it");
    audit
}

fn span() -> Span {
    Span {
        door: "d1".into(),
        process: 7,
        version: 3,
        digest: "ab".into(),
        admissions: (1, Some(20)),
        steady_ms: (10, None),
        wall_ms: 1_700_000_000_000,
        began: Some(Moment { from_ms: -1, to_ms: 5 }),
        ended: Some("a newer version".into()),
    }
}

fn sent() -> Sent {
    Sent {
        door: "d1".into(),
        request: "r-1".into(),
        node: "node-7".into(),
        version: 3,
        process: 7,
        steady_ms: 30,
        wall_ms: 1_700_000_000_030,
        at: Some(Moment { from_ms: 1, to_ms: 2 }),
    }
}

#[test]
fn audits_and_their_parts_keep_their_bytes() {
    let span = span();
    let open =
        Span { admissions: (1, None), steady_ms: (10, Some(20)), began: None, ended: None, ..span.clone() };
    let sent = sent();
    let lost = Lost { process: 7, lines: 2, before_wall_ms: 9 };
    let complete = Audit {
        spans: vec![span.clone()],
        sent: vec![sent.clone()],
        unknown: BTreeMap::from([("d2".into(), "it is cut".into())]),
        clock: Some("i1".into()),
        lost: BTreeMap::from([("d1".into(), vec![lost.clone()])]),
        forks: vec![(3, "d1".into(), "d2".into())],
    };
    let query = Query { request: Some("r-1".into()), ..Query::default() };
    let cases = [
        json("Moment", Moment { from_ms: i64::MIN, to_ms: i64::MAX }),
        json("Span", span),
        json("Span, open", open),
        json("Sent", sent.clone()),
        json("Sent, no moment", Sent { at: None, ..sent }),
        json("Lost", lost),
        json("Audit, empty", Audit::default()),
        json("Audit", complete),
        json("Audit, gathered", gathered()),
        json("Audit, answered", gathered().answer(&query)),
    ];
    GOLDEN.same_cases("audit.txt", &cases);
}
