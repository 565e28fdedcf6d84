//! The protocol between the gateway and its backends: request headers, and the classification of responses.

use crate::mutants::mutant;
use crate::protocol::{ResponseClassification, UpstreamProtocol};
use brassport_policy::Outcome;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::StatusCode;
use std::time::Duration;

/// Maximum plausible usage, in percent of the quota: a burst is a few seconds of a customer's rate, and no gateway
/// forwards requests beyond the quota for long. A greater value is ignored.
const MAX_USAGE_PERCENT: f64 = 10_000.0;

/// The protocol of the render fleet.
#[derive(Debug, Clone, Copy, Default)]
pub struct Upstream;

impl UpstreamProtocol for Upstream {
    fn add_attempt_headers(&self, headers: &mut HeaderMap, time_left: Duration, _node: &str) {
        if let Ok(value) = HeaderValue::from_str(&format!("{}u", time_left.as_micros())) {
            headers.insert("x-deadline", value);
        }
    }

    fn classify(&self, _request: &HeaderMap, response: &Parts) -> ResponseClassification {
        let header = |name| response.headers.get(name).and_then(|value| value.to_str().ok());
        let quota_used = quota_used(&response.headers);
        let was_not_run =
            header("x-not-run").is_some_and(|text| text.trim() == "1") || mutant!(TrustPlain503);
        let outcome = match response.status {
            StatusCode::INTERNAL_SERVER_ERROR if mutant!(ErrorNeverRan) => Outcome::Overloaded,
            StatusCode::OK => Outcome::Ok,
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if was_not_run => {
                Outcome::Overloaded
            }
            // The backend may have run the request.
            _ => Outcome::Error,
        };
        ResponseClassification {
            outcome,
            quota_used,
            is_for_client: outcome == Outcome::Ok,
            is_reusable: true,
            idle_timeout: None,
        }
    }
}

/// The customer's usage as a fraction of its quota, from the backend's meter. A repeated, malformed or implausible
/// value is ignored, so that it cannot distort the quota.
fn quota_used(headers: &HeaderMap) -> Option<f64> {
    let mut values = headers.get_all("usage-percent").iter();
    let (value, second) = (values.next()?, values.next());
    if mutant!(PanicOnMeter) {
        value.to_str().expect("text").parse::<f64>().expect("a number");
    }
    let percent = value.to_str().ok()?.trim().parse::<f64>().ok()?;
    (second.is_none() && (0.0..=MAX_USAGE_PERCENT).contains(&percent)).then_some(percent / 100.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_attempt_carries_the_time_left_in_microseconds() {
        let mut headers = HeaderMap::new();
        headers.insert("x-deadline", HeaderValue::from_static("3s"));
        Upstream.add_attempt_headers(&mut headers, Duration::from_millis(480), "a node");
        assert_eq!(headers["x-deadline"], "480000u");
        assert_eq!(headers.len(), 1, "no further header is added");
    }
}
