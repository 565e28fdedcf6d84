//! What came of a soak.

use super::Soak;
use crate::common::send_at;
use brassport_testbed::clients::RequestSpec;
use brassport_testbed::configuration::Plan;
use brassport_testbed::history::{Recorder, RequestOutcome};
use brassport_testbed::report::Report;
use brassport_testbed::site::Site;
use std::rc::Rc;

/// Rules that hold whatever is done to nodes: all but one, which needs an undisturbed core.
const OF_CALM: &str = "a new route is in force in time";
/// The least share of what was due that is served.
const LEAST_SERVED: f64 = 0.8;

/// What came of one seed.
pub struct Played {
    pub report: Report,
    pub findings: Vec<String>,
    /// The nodes' logs if there are findings.
    pub logs: String,
}

impl Soak {
    /// Judges what was seen.
    pub fn judge(mut self) -> Played {
        let report = Report::of(&self.recorder.history(), std::mem::take(&mut self.faults));
        let violations = report.rules.iter().filter(|(name, _)| *name != OF_CALM);
        let violations =
            violations.filter_map(|(name, rule)| Some(format!("{name}: {}", rule.as_ref().err()?)));
        self.findings.extend(violations);
        if report.served() < LEAST_SERVED {
            self.findings.push(format!("only {:.3} of what was due was served", report.served()));
        }
        let logs = if self.findings.is_empty() { String::new() } else { self.site.logs() };
        Played { report, findings: self.findings, logs }
    }
}

/// Whether each node serves at the end.
pub async fn nodes_that_serve_nobody(site: &Site, recorder: &Rc<Recorder>, plan: &Plan) -> Vec<String> {
    let tenant = plan.key("elm").map(|key| ("elm".to_owned(), key.to_owned()));
    let spec = RequestSpec::idempotent("/goods/").with_key(tenant).due();
    let mut silent = Vec::new();
    for (node, it) in site.nodes.iter().enumerate() {
        let outcome = send_at(it.front(), node as u64, recorder, &spec).await;
        if outcome != RequestOutcome::Served {
            silent.push(format!("door {} serves nobody at the end: {outcome:?}", node + 1));
        }
    }
    silent
}
