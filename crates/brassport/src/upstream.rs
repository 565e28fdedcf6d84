//! What the front door says to a node and reads from its answers.

use crate::mutants::mutant;
use crate::protocol::{ResponseClassification, UpstreamProtocol};
use brassport_policy::Outcome;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::StatusCode;
use std::time::Duration;

/// Use beyond this is none that a customer can have: a burst is some seconds of its rate, and no front door
/// sends on for long what is beyond.
const MOST_PERCENT: f64 = 10_000.0;

/// The protocol of the render fleet.
#[derive(Debug, Clone, Copy, Default)]
pub struct Upstream;

impl UpstreamProtocol for Upstream {
    fn add_attempt_headers(&self, headers: &mut HeaderMap, left: Duration, _node: &str) {
        if let Ok(left) = HeaderValue::from_str(&format!("{}u", left.as_micros())) {
            headers.insert("x-deadline", left);
        }
    }

    fn classify(&self, _asked: &HeaderMap, answer: &Parts) -> ResponseClassification {
        let header = |name| answer.headers.get(name).and_then(|value| value.to_str().ok());
        let used = used(&answer.headers);
        let turned_away =
            header("x-not-run").is_some_and(|text| text.trim() == "1") || mutant!(TrustPlain503);
        let outcome = match answer.status {
            StatusCode::INTERNAL_SERVER_ERROR if mutant!(ErrorNeverRan) => Outcome::Overloaded,
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if turned_away => {
                Outcome::Overloaded
            }
            // Anything else may have run.
            _ => Outcome::Error,
        };
        ResponseClassification {
            outcome,
            quota_used: used,
            is_for_client: outcome == Outcome::Ok,
            is_reusable: true,
            idle_timeout: None,
        }
    }
}

/// The meter's figure. Guards the quota against one that is spoilt: what cannot be is no figure.
fn used(headers: &HeaderMap) -> Option<f64> {
    let mut figures = headers.get_all("usage-percent").iter();
    let (figure, further) = (figures.next()?, figures.next());
    if mutant!(PanicOnMeter) {
        figure.to_str().expect("text").parse::<f64>().expect("a number");
    }
    let percent = figure.to_str().ok()?.trim().parse::<f64>().ok()?;
    (further.is_none() && (0.0..=MOST_PERCENT).contains(&percent)).then_some(percent / 100.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_attempt_says_how_long_its_client_waits() {
        let mut headers = HeaderMap::new();
        headers.insert("x-deadline", HeaderValue::from_static("3s"));
        Upstream.add_attempt_headers(&mut headers, Duration::from_millis(480), "a node");
        assert_eq!(headers["x-deadline"], "480000u");
        assert_eq!(headers.len(), 1, "nothing is said besides");
    }
}
