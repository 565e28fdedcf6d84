//! Serialized requests for a right to act, their answers, the blockers of a fence, and the course of a right.

use super::shared::built;
use super::GOLDEN;
use brassport_fleet::grants::{Answer, Ask, FenceBlocker, Grants, Terms};
use brassport_fleet::standing::{DenialReason, Standing};
use brassport_golden::{json, JsonCase};
use std::collections::BTreeSet;
use std::fmt::Write as _;

/// One blocker of a fence of each kind, with and without a version.
pub fn blockers() -> Vec<FenceBlocker> {
    vec![
        FenceBlocker::Door { door: "d1".into(), version: Some(7), ms: 12 },
        FenceBlocker::Door { door: "d1".into(), version: None, ms: 12 },
        FenceBlocker::Earlier { door: "d2".into(), ms: 0 },
        FenceBlocker::Voter { voter: 3, door: "d1".into() },
    ]
}

/// Answers and blockers from a leader's table, which must fill their fields as in the fixture.
fn answered() -> Vec<JsonCase> {
    let mut cases = Vec::new();
    let (state, voters) = (built(), BTreeSet::from([2, 3]));
    let mut grants = Grants::new(Terms::default(), 1000);
    grants.note(1000, &state);
    let requests = [("d1", u64::MAX, 8), ("d1", u64::MAX, 2), ("d1", 1, 8), ("d2", 9, 8), ("d3", 1, 8)];
    for (door, process, version) in requests {
        let ask = Ask { door: door.into(), process, version, had_one: false };
        let answer = grants.ask(1500, &ask, &state, &voters);
        cases.push(json(&format!("{door} {process} {version} asks"), answer));
    }
    cases.push(json("fence, early", grants.fence(1600, 9, &state, &voters)));
    cases.push(json("fence, late", grants.fence(90_000, 9, &state, &voters)));
    cases
}

#[test]
fn requests_answers_and_open_fences_keep_their_bytes() {
    let mut cases = vec![
        json("Terms, default", Terms::default()),
        json(
            "Terms",
            Terms { length: 1, drift_permille: 2, silence: 3, extension: 4, strict_grace: u64::MAX },
        ),
        json("Ask", Ask { door: "d1".into(), process: u64::MAX, version: 8, had_one: true }),
    ];
    let answers = [
        Answer::Granted { length: 3000 },
        Answer::Behind { need: 8 },
        Answer::Wait { ms: 0 },
        Answer::Replaced,
        Answer::Unknown,
    ];
    for answer in answers {
        let variant = match answer {
            Answer::Granted { .. } => "Granted",
            Answer::Behind { .. } => "Behind",
            Answer::Wait { .. } => "Wait",
            Answer::Replaced => "Replaced",
            Answer::Unknown => "Unknown",
        };
        cases.push(json(&format!("Answer::{variant}"), answer));
    }
    for blocker in blockers() {
        let variant = match &blocker {
            FenceBlocker::Door { .. } => "Door",
            FenceBlocker::Earlier { .. } => "Earlier",
            FenceBlocker::Voter { .. } => "Voter",
        };
        cases.push(json(&format!("Open::{variant}"), blocker.clone()));
        cases.push(json(&format!("fence, {variant}"), Some(vec![blocker])));
    }
    cases.extend(answered());
    GOLDEN.same_cases("grants.txt", &cases);
}

/// A gateway instance's right is not serialized; the results of its methods are compared as text.
#[test]
fn a_right_starts_and_ends_at_the_same_moments() {
    let name = |why: DenialReason| match why {
        DenialReason::NotYet => "NotYet",
        DenialReason::RanOut => "RanOut",
        DenialReason::Behind => "Behind",
        DenialReason::Replaced => "Replaced",
        DenialReason::Unknown => "Unknown",
    };
    let mut standing = Standing::default();
    let mut text = String::new();
    let mut note = |what: &str, now: u64, standing: &Standing| {
        let may = standing.may_act(now).map_or_else(name, |()| "may act");
        let until = standing.until().map_or("none".into(), |until| until.to_string());
        writeln!(text, "{what}: at {now} {may}, until {until}").expect("writing to a string succeeds");
    };
    note("new", 0, &standing);
    let requested_at = standing.ask(100);
    standing.granted(300, requested_at, 1000);
    note("granted", 400, &standing);
    standing.extended(1000, 900, 500);
    note("left", 1399, &standing);
    note("ran out", 1400, &standing);
    for why in [
        DenialReason::NotYet,
        DenialReason::RanOut,
        DenialReason::Behind,
        DenialReason::Replaced,
        DenialReason::Unknown,
    ] {
        standing.refused(why);
        note("refused", 1400, &standing);
    }
    GOLDEN.same_text("standing.txt", &text);
}
