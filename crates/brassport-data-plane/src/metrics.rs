//! Counters of what becomes of requests and of their attempts, and their text for operators.

use brassport_policy::{Figures, Outcome};
use brassport_proxy::hooks::Verdict;
use std::cell::Cell;
use std::fmt::Write;

/// Work that goes on for longer than this behind its client's leaving, in milliseconds, counts as abandoned.
pub const ABANDONED_AFTER_MS: u64 = 500;

/// A counter that only grows.
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

/// Counters of one service's requests at this door.
#[derive(Debug, Default)]
pub struct RequestCounters {
    /// Answered by a backend.
    pub served: Counter,
    /// Refused by this door.
    pub refused: Counter,
    /// Ended without an answer of a backend.
    pub failed: Counter,
    /// Left by their clients before they had an answer.
    pub left: Counter,
    /// First attempts that found their tenant's share of the quota empty.
    pub no_share: Counter,
    /// Attempts that ended, by their outcome.
    outcomes: [Counter; OUTCOMES.len()],
    /// Attempts that were out when their client left, and were called off or never sent.
    pub called_off: Counter,
    /// Attempts that were out when their client left, and ended by themselves.
    pub ran_on: Counter,
    /// Of `ran_on`: those that ended more than [`ABANDONED_AFTER_MS`] behind their client's leaving.
    pub abandoned: Counter,
}

/// All outcomes of attempts with their labels.
const OUTCOMES: [(Outcome, &str); 8] = [
    (Outcome::Ok, "ok"),
    (Outcome::Error, "error"),
    (Outcome::Full, "full"),
    (Outcome::TimedOut, "timed_out"),
    (Outcome::NoConnection, "no_connection"),
    (Outcome::Reset, "reset"),
    (Outcome::Cancelled, "cancelled"),
    (Outcome::Moot, "not_sent"),
];

impl RequestCounters {
    /// A request has its one answer, or nobody waits for it any more.
    pub fn answered(&self, verdict: Verdict) {
        match verdict {
            Verdict::Served => &self.served,
            Verdict::Refused(_) => &self.refused,
            Verdict::Failed => &self.failed,
            Verdict::Left => &self.left,
        }
        .increment();
    }

    /// An attempt ended, so many milliseconds behind its client's leaving if the client has left.
    pub fn attempt_ended(&self, outcome: Outcome, since_client_left_ms: Option<u64>) {
        for ((listed, _), counter) in OUTCOMES.iter().zip(&self.outcomes) {
            if *listed == outcome {
                counter.increment();
            }
        }
        match (outcome, since_client_left_ms) {
            (_, None) => {}
            (Outcome::Cancelled | Outcome::Moot, Some(_)) => self.called_off.increment(),
            (_, Some(since)) => {
                self.ran_on.increment();
                if since > ABANDONED_AFTER_MS {
                    self.abandoned.increment();
                }
            }
        }
    }

    /// Appends the counters, and what the decision module shows of itself, as lines of the Prometheus text format.
    pub fn write(&self, service: &str, figures: &Figures, text: &mut String) {
        let verdicts = [
            ("served", &self.served),
            ("refused", &self.refused),
            ("failed", &self.failed),
            ("client_left", &self.left),
        ];
        for (verdict, counter) in verdicts {
            let _ = writeln!(
                text,
                "brassport_requests_total{{service=\"{service}\",verdict=\"{verdict}\"}} {}",
                counter.get()
            );
        }
        for ((_, outcome), counter) in OUTCOMES.iter().zip(&self.outcomes) {
            let _ = writeln!(
                text,
                "brassport_attempts_total{{service=\"{service}\",outcome=\"{outcome}\"}} {}",
                counter.get()
            );
        }
        let totals = [
            ("attempts_called_off_after_client_left_total", self.called_off.get()),
            ("attempts_run_on_after_client_left_total", self.ran_on.get()),
            ("attempts_abandoned_total", self.abandoned.get()),
            ("refused_no_share_total", self.no_share.get()),
            ("refused_no_room_total", figures.no_room),
            ("refused_no_backend_total", figures.no_server),
            ("backends_known", figures.known as u64),
            ("backends_ready", figures.ready as u64),
            ("backends_ejected", figures.ejected as u64),
            ("attempts_in_flight", figures.in_flight as u64),
        ];
        for (name, total) in totals {
            let _ = writeln!(text, "brassport_{name}{{service=\"{service}\"}} {total}");
        }
        let _ = writeln!(text, "brassport_room_limit{{service=\"{service}\"}} {:.2}", figures.room_limit);
        let _ = writeln!(text, "brassport_room_part{{service=\"{service}\"}} {:.3}", figures.room_part);
    }
}
