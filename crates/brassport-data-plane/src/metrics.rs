//! Counters of one service's requests and attempts at this node, and their text for operators.
//!
//! The labels and names are public: `brassport_requests_total{service, verdict}`,
//! `brassport_attempts_total{service, outcome}`, and a line `brassport_NAME{service}` for each other figure.

use brassport_policy::{GatewayMetrics, Outcome};
use brassport_proxy::hooks::RequestEnd;
use std::cell::Cell;
use std::fmt::Write;

/// An attempt that runs for longer than this after its client has left, in milliseconds, counts as abandoned.
pub const ABANDONED_AFTER_MS: u64 = 500;

/// A counter that only increases.
#[derive(Debug, Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The count so far.
    pub fn get(&self) -> u64 {
        self.0.get()
    }
}

/// Counters of one service.
#[derive(Debug, Default)]
pub struct RequestCounters {
    /// Requests with a backend's response.
    pub served: Counter,
    /// Requests that the policy or a quota rejected.
    pub rejected: Counter,
    /// Requests that ended without a backend's response.
    pub failed: Counter,
    /// Requests whose clients left before they had a response.
    pub client_left: Counter,
    /// First attempts that found their tenant's quota exhausted.
    pub quota_exhausted: Counter,
    /// Attempts that ended, by their outcome.
    outcomes: [Counter; OUTCOMES.len()],
    /// Attempts in flight when their client left that were cancelled or never sent.
    pub cancelled_after_client_left: Counter,
    /// Attempts in flight when their client left that ended by themselves.
    pub completed_after_client_left: Counter,
    /// Of `completed_after_client_left`: those that ended more than [`ABANDONED_AFTER_MS`] after it.
    pub abandoned: Counter,
}

/// All outcomes of attempts with their labels, in the order of the page.
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

impl RequestCounters {
    /// A request has its response, or its client has left.
    pub fn record_verdict(&self, verdict: RequestEnd) {
        match verdict {
            RequestEnd::Served => &self.served,
            RequestEnd::Rejected(_) => &self.rejected,
            RequestEnd::Failed => &self.failed,
            RequestEnd::ClientLeft => &self.client_left,
        }
        .increment();
    }

    /// An attempt ended; if its client had left, so many milliseconds before.
    pub fn record_attempt(&self, outcome: Outcome, since_client_left_ms: Option<u64>) {
        for ((listed, _), counter) in OUTCOMES.iter().zip(&self.outcomes) {
            if *listed == outcome {
                counter.increment();
            }
        }
        match (outcome, since_client_left_ms) {
            (_, None) => {}
            (Outcome::Cancelled | Outcome::NotSent, Some(_)) => self.cancelled_after_client_left.increment(),
            (_, Some(since)) => {
                self.completed_after_client_left.increment();
                if since > ABANDONED_AFTER_MS {
                    self.abandoned.increment();
                }
            }
        }
    }

    /// Appends the counters, and the policy's figures, as lines of the Prometheus text format.
    pub fn write(&self, service: &str, figures: &GatewayMetrics, text: &mut String) {
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
        for (name, total) in self.totals(figures) {
            let _ = writeln!(text, "brassport_{name}{{service=\"{service}\"}} {total}");
        }
        let _ =
            writeln!(text, "brassport_room_limit{{service=\"{service}\"}} {:.2}", figures.concurrency_limit);
        let _ =
            writeln!(text, "brassport_room_part{{service=\"{service}\"}} {:.3}", figures.admitted_fraction);
    }

    /// The figures without labels of their own, by name.
    fn totals(&self, figures: &GatewayMetrics) -> [(&'static str, u64); 10] {
        [
            ("attempts_called_off_after_client_left_total", self.cancelled_after_client_left.get()),
            ("attempts_run_on_after_client_left_total", self.completed_after_client_left.get()),
            ("attempts_abandoned_total", self.abandoned.get()),
            ("refused_no_share_total", self.quota_exhausted.get()),
            ("refused_no_room_total", figures.rejected_no_capacity),
            ("refused_no_backend_total", figures.rejected_no_server),
            ("backends_known", figures.servers as u64),
            ("backends_ready", figures.ready as u64),
            ("backends_ejected", figures.ejected as u64),
            ("attempts_in_flight", figures.in_flight as u64),
        ]
    }
}
