//! The lines of the metrics page, compared with the fixture `metrics`.

use crate::GOLDEN;
use brassport_data_plane::metrics::{RequestCounters, ABANDONED_AFTER_MS};
use brassport_policy::{GatewayMetrics, Outcome};
use brassport_proxy::hooks::RequestEnd;
use brassport_proxy::protocol::NotRunEvidence;

/// The name of an outcome in the fixture. The match is exhaustive, so that a new outcome does not compile until it is
/// added here; it must then be added to [`OUTCOMES`] too.
fn name_of(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Overloaded => "full",
        Outcome::TimedOut => "timed out",
        Outcome::NoConnection => "no connection",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "moot",
    }
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Overloaded,
    Outcome::TimedOut,
    Outcome::NoConnection,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

const EVIDENCE: [NotRunEvidence; 4] =
    [NotRunEvidence::Skipped, NotRunEvidence::NotConnected, NotRunEvidence::Unsent, NotRunEvidence::Stated];

const NO_POLICY_METRICS: GatewayMetrics = GatewayMetrics {
    servers: 0,
    ready: 0,
    ejected: 0,
    in_flight: 0,
    concurrency_limit: 0.0,
    admitted_fraction: 0.0,
    rejected_no_capacity: 0,
    rejected_no_server: 0,
};

const POLICY_METRICS: GatewayMetrics = GatewayMetrics {
    servers: 9,
    ready: 8,
    ejected: 7,
    in_flight: 6,
    concurrency_limit: 12.345,
    admitted_fraction: 0.98765,
    rejected_no_capacity: 5,
    rejected_no_server: 4,
};

fn page(counters: &RequestCounters, policy_metrics: &GatewayMetrics) -> String {
    let mut text = String::new();
    counters.write("search", policy_metrics, &mut text);
    text
}

/// Counters with distinct values, so that the test detects swapped metrics.
fn counters_with_distinct_values() -> RequestCounters {
    let counters = RequestCounters::default();
    let ends = [RequestEnd::Served, RequestEnd::Rejected(0.0), RequestEnd::Failed, RequestEnd::ClientLeft];
    for (times, end) in (11..).zip(ends) {
        (0..times).for_each(|_| counters.record_request(end));
    }
    for (times, outcome) in (21..).zip(OUTCOMES) {
        (0..times).for_each(|_| counters.record_attempt(outcome, None));
    }
    (0..31).for_each(|_| counters.quota_exhausted.increment());
    for outcome in OUTCOMES {
        counters.record_attempt(outcome, Some(ABANDONED_AFTER_MS));
        counters.record_attempt(outcome, Some(ABANDONED_AFTER_MS + 1));
    }
    counters
}

/// The lines of the page that are changed by a single attempt with this outcome.
fn lines_of_one_attempt(outcome: Outcome) -> String {
    let counters = RequestCounters::default();
    counters.record_attempt(outcome, Some(0));
    let is_one = |line: &&str| line.ends_with(" 1");
    let lines: Vec<String> =
        page(&counters, &NO_POLICY_METRICS).lines().filter(is_one).map(str::to_owned).collect();
    lines.join("\n")
}

/// The evidence counters with distinct values.
fn evidence_page() -> String {
    let counters = RequestCounters::default();
    for (times, evidence) in (1..).zip(EVIDENCE) {
        (0..times).for_each(|_| counters.record_not_run(evidence));
    }
    let mut text = String::new();
    counters.write_evidence("search", &mut text);
    text
}

#[test]
fn the_lines_of_the_metrics_page_are_unchanged() {
    let mut cases = vec![("nothing yet".to_owned(), page(&RequestCounters::default(), &NO_POLICY_METRICS))];
    cases.push(("all counts".to_owned(), page(&counters_with_distinct_values(), &POLICY_METRICS)));
    for outcome in OUTCOMES {
        cases.push((format!("one {}", name_of(outcome)), lines_of_one_attempt(outcome)));
    }
    cases.push(("evidence".to_owned(), evidence_page()));
    GOLDEN.same_lines("metrics", &cases);
}
