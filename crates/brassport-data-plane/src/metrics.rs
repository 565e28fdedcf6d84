//! Counters of the requests and attempts of one service on this node, in the Prometheus text format.
//!
//! Metric and label names are a public interface: `brassport_requests_total{service, verdict}`,
//! `brassport_attempts_total{service, outcome}`, `brassport_attempts_not_run_total{service, evidence}`, and
//! `brassport_NAME{service}` for each other metric.

use brassport_policy::{GatewayMetrics, Outcome};
use brassport_proxy::hooks::RequestEnd;
use brassport_proxy::protocol::NotRunEvidence;
use std::cell::Cell;
use std::fmt::Write;

/// An attempt that ends more than this many milliseconds after its client disconnected counts as abandoned.
pub const ABANDONED_AFTER_MS: u64 = 500;

/// A counter that only increases.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Increments the counter by one.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The current value.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// The counters of one service.
#[derive(Debug, Default)]
pub struct RequestCounters {
    /// Requests that were served with a backend's response.
    pub served: Counter,
    /// Requests that were rejected by the policy or a quota.
    pub rejected: Counter,
    /// Requests that failed without a backend's response.
    pub failed: Counter,
    /// Requests whose client disconnected before there was a response.
    pub client_left: Counter,
    /// First attempts that were not sent because the tenant's quota was exhausted.
    pub quota_exhausted: Counter,
    /// Ended attempts by outcome, in the order of [`OUTCOMES`].
    outcomes: [Counter; OUTCOMES.len()],
    /// Ended attempts that cannot have run, by evidence, in the order of [`EVIDENCE`].
    not_run: [Counter; EVIDENCE.len()],
    /// Attempts whose client disconnected and that were then cancelled or never sent.
    pub cancelled_after_client_left: Counter,
    /// Attempts whose client disconnected and that ended without being cancelled.
    pub completed_after_client_left: Counter,
    /// The attempts of `completed_after_client_left` that ended more than [`ABANDONED_AFTER_MS`] after the disconnect.
    pub abandoned: Counter,
}

/// All outcomes of attempts with their metric labels, in the order of the metrics page.
const OUTCOMES: [(Outcome, &str); 8] = [
    (Outcome::Ok, "ok"),
    (Outcome::Error, "error"),
    (Outcome::Overloaded, "full"),
    (Outcome::TimedOut, "timed_out"),
    (Outcome::NoConnection, "no_connection"),
    (Outcome::Reset, "reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::NotSent, "not_sent"),
];

/// All evidence that an attempt cannot have run, with the metric labels.
const EVIDENCE: [(NotRunEvidence, &str); 4] = [
    (NotRunEvidence::Skipped, "skipped"),
    (NotRunEvidence::NotConnected, "not_connected"),
    (NotRunEvidence::Unsent, "unsent"),
    (NotRunEvidence::Stated, "stated_by_backend"),
];

impl RequestCounters {
    /// Counts a request that has ended for its client.
    pub fn record_request(&self, end: RequestEnd) {
        match end {
            RequestEnd::Served => &self.served,
            RequestEnd::Rejected(_) => &self.rejected,
            RequestEnd::Failed => &self.failed,
            RequestEnd::ClientLeft => &self.client_left,
        }
        .increment();
    }

    /// Counts an attempt that has ended. `since_client_left_ms` is the time since its client disconnected; `None` if
    /// the client is still connected.
    pub fn record_attempt(&self, outcome: Outcome, since_client_left_ms: Option<u64>) {
        for ((listed, _), counter) in OUTCOMES.iter().zip(&self.outcomes) {
            if *listed == outcome {
                counter.increment();
            }
        }
        match (outcome, since_client_left_ms) {
            (_, None) => {}
            (Outcome::Cancelled | Outcome::NotSent, Some(_)) => self.cancelled_after_client_left.increment(),
            (_, Some(since_ms)) => {
                self.completed_after_client_left.increment();
                if since_ms > ABANDONED_AFTER_MS {
                    self.abandoned.increment();
                }
            }
        }
    }

    /// Counts an attempt that has ended and cannot have run.
    pub fn record_not_run(&self, evidence: NotRunEvidence) {
        for ((listed, _), counter) in EVIDENCE.iter().zip(&self.not_run) {
            if *listed == evidence {
                counter.increment();
            }
        }
    }

    /// Appends the counters of attempts that cannot have run, in the Prometheus text format.
    pub fn write_evidence(&self, service: &str, text: &mut String) {
        for ((_, evidence), counter) in EVIDENCE.iter().zip(&self.not_run) {
            let labels = format!("service=\"{service}\",evidence=\"{evidence}\"");
            let _ = writeln!(text, "brassport_attempts_not_run_total{{{labels}}} {}", counter.get());
        }
    }

    /// Appends the counters and the metrics of the policy to `text` in the Prometheus text format.
    pub fn write(&self, service: &str, policy_metrics: &GatewayMetrics, text: &mut String) {
        let verdicts = [
            ("served", &self.served),
            ("refused", &self.rejected),
            ("failed", &self.failed),
            ("client_left", &self.client_left),
        ];
        for (verdict, counter) in verdicts {
            let labels = format!("service=\"{service}\",verdict=\"{verdict}\"");
            let _ = writeln!(text, "brassport_requests_total{{{labels}}} {}", counter.get());
        }
        for ((_, outcome), counter) in OUTCOMES.iter().zip(&self.outcomes) {
            let labels = format!("service=\"{service}\",outcome=\"{outcome}\"");
            let _ = writeln!(text, "brassport_attempts_total{{{labels}}} {}", counter.get());
        }
        for (name, total) in self.totals(policy_metrics) {
            let _ = writeln!(text, "brassport_{name}{{service=\"{service}\"}} {total}");
        }
        let _ = writeln!(
            text,
            "brassport_room_limit{{service=\"{service}\"}} {:.2}",
            policy_metrics.concurrency_limit
        );
        let _ = writeln!(
            text,
            "brassport_room_part{{service=\"{service}\"}} {:.3}",
            policy_metrics.admitted_fraction
        );
    }

    /// The metrics that have only the label `service`, by name.
    fn totals(&self, policy_metrics: &GatewayMetrics) -> [(&'static str, u64); 10] {
        [
            ("attempts_called_off_after_client_left_total", self.cancelled_after_client_left.get()),
            ("attempts_run_on_after_client_left_total", self.completed_after_client_left.get()),
            ("attempts_abandoned_total", self.abandoned.get()),
            ("refused_no_share_total", self.quota_exhausted.get()),
            ("refused_no_room_total", policy_metrics.rejected_no_capacity),
            ("refused_no_backend_total", policy_metrics.rejected_no_server),
            ("backends_known", policy_metrics.servers as u64),
            ("backends_ready", policy_metrics.ready as u64),
            ("backends_ejected", policy_metrics.ejected as u64),
            ("attempts_in_flight", policy_metrics.in_flight as u64),
        ]
    }
}
