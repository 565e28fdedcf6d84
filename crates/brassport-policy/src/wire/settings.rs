//! Parser of an instance's settings, which are lines of `path=value`.

use super::{malformed, WireError};
use crate::interface::*;
use std::collections::BTreeMap;

/// Values by path.
struct Params<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Params<'a> {
    /// Parses a required setting.
    fn get<T: std::str::FromStr>(&self, path: &str) -> Result<T, WireError> {
        let Some(text) = self.0.get(path) else {
            return malformed(format!("required setting {path} is missing"));
        };
        match text.parse() {
            Ok(value) => Ok(value),
            Err(_) => malformed(format!("setting {path} has the unreadable value '{text}'")),
        }
    }

    /// Returns the text of a required setting.
    fn word(&self, path: &str) -> Result<&'a str, WireError> {
        match self.0.get(path) {
            Some(text) => Ok(text),
            None => malformed(format!("required setting {path} is missing")),
        }
    }

    /// Parses a list of objects. Its length is at `path.count`, and the fields of each object are below
    /// `path.INDEX`.
    fn list<T>(&self, path: &str, item: impl Fn(&str) -> Result<T, WireError>) -> Result<Vec<T>, WireError> {
        let count: u16 = self.get(&format!("{path}.count"))?;
        (0..count).map(|index| item(&format!("{path}.{index}"))).collect()
    }
}

/// Parses the settings of an instance; unknown paths are ignored.
///
/// # Errors
/// Returns the first required path that is missing, unreadable or out of range.
pub fn parse_settings(text: &str) -> Result<Settings, WireError> {
    let params = Params(text.lines().filter_map(|line| line.split_once('=')).collect());
    let classes = params.list("classes", |at| class(&params, at))?;
    let plans = params.list("plans", |at| plan(&params, at))?;
    let sends_retry_after: bool = params.get("bounds.retryAfter")?;
    let settings = Settings {
        gateways: params.get("balancers")?,
        ordinal: params.get("ordinal")?,
        zone: params.get("zone")?,
        classes,
        plans,
        max_units: params.get("familyInfo.mostUnits")?,
        meter_period: params.get("familyInfo.usePeriod")?,
        max_attempts: params.get("bounds.maxAttempts")?,
        allow_hedging: params.get("bounds.mayDuplicate")?,
        allow_cancel: params.get("bounds.cancel")?,
        max_retry_after: if sends_retry_after { params.get("bounds.maxRetryAfter")? } else { 0.0 },
        drain_grace: params.get("rules.stopSendingWithin")?,
        warm_up_start_fraction: params.get("rules.coldFrom")?,
        warm_up_duration: params.get("rules.cold")?,
        collapse_load: params.get("rules.tipMultiple")?,
        collapse_after: params.get("rules.fall")?,
        tick: params.get("tick")?,
        tuning: Tuning::default(),
        list_on_request: list_on_request(&params)?,
    };
    settings.validate().map_err(|error| WireError::Malformed(error.to_string()))?;
    Ok(settings)
}

fn list_on_request(params: &Params) -> Result<bool, WireError> {
    match params.word("registryMode")? {
        "pushed" => Ok(false),
        "on_request" => Ok(true),
        other => malformed(format!("setting registryMode has the unknown value '{other}'")),
    }
}

fn class(params: &Params, at: &str) -> Result<Class, WireError> {
    let field = |name: &str| format!("{at}.{name}");
    // Parsed first, so that of several errors this one is reported.
    let retry_safety = retry_safety(params, at)?;
    Ok(Class {
        value: params.get(&field("worth"))?,
        latency_target: params.get(&field("slo"))?,
        deadline: params.get(&field("deadline"))?,
        late_value_fraction: params.get(&field("lateShare"))?,
        retry_safety,
    })
}

fn retry_safety(params: &Params, at: &str) -> Result<RetrySafety, WireError> {
    match params.word(&format!("{at}.semantics"))? {
        "free" => Ok(RetrySafety::Idempotent),
        "single_shot" => Ok(RetrySafety::NonIdempotent),
        "guarded" => {
            let scope = scope(params, at)?;
            Ok(RetrySafety::Keyed { scope, window: params.get(&format!("{at}.dedupWindow"))? })
        }
        other => malformed(format!("setting {at}.semantics has the unknown value '{other}'")),
    }
}

fn scope(params: &Params, at: &str) -> Result<Scope, WireError> {
    match params.word(&format!("{at}.group"))? {
        "all" => Ok(Scope::All),
        "zone" => Ok(Scope::Zone),
        "cell" => Ok(Scope::Cell),
        other => malformed(format!("setting {at}.group has the unknown value '{other}'")),
    }
}

fn plan(params: &Params, at: &str) -> Result<Plan, WireError> {
    let number = |name: &str| params.get(&format!("{at}.{name}"));
    Ok(Plan {
        rate: number("unitsPerS")?,
        burst: number("storeSize")?,
        max_in_flight: params.get(&format!("{at}.concurrency"))?,
        value_factor: number("price")?,
        over_quota_value_fraction: number("excessWorth")?,
        over_quota_cost_fraction: number("overrunCost")?,
        hard_limit_rate: number("neverOverRate")?,
        hard_limit_burst: number("capDepth")?,
        hard_limit_slack: number("tolerance")?,
    })
}
