//! Configuration: the environment and the JSON file it names, validated and converted to the policy's settings.

use crate::discovery::List;
use brassport_membership::book::{Report, Source};
use brassport_policy::{Class, Plan, RetrySafety, Scope, Settings};
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;
use std::{env, fs};

/// The complete configuration of a gateway.
pub struct Config {
    pub listen: SocketAddr,
    /// Address of the admin listener, if there is one.
    pub admin: Option<SocketAddr>,
    /// Address of the platform's discovery agent. If set, it is the first membership source.
    pub discovery: Option<SocketAddr>,
    /// Further membership sources.
    pub sources: Vec<SourceConfig>,
    pub seed: u64,
    /// Maximum number of open file descriptors of the process.
    pub max_descriptors: usize,
    /// Memory limit, from which the limits of buffers are derived.
    pub memory_bytes: usize,
    /// A list of backends to start with, which may be outdated.
    pub cached_list: Option<List>,
    pub names: Names,
    pub settings: Settings,
    pub connect_timeout: Duration,
    pub idle_timeout: Duration,
    /// Whether the gateway measures usage itself: for a site with a single gateway whose backends do not report
    /// usage.
    pub local_meter: bool,
    /// Defaults for headers that requests lack, at a site without the platform.
    pub request_defaults: Option<RequestDefaults>,
    /// The text of the file, for the handover to a successor process.
    pub text: String,
}

/// Receives the reports of a source.
pub type ReportSink = Rc<dyn Fn(Report)>;
/// Starts the task that follows a source; the task runs on the gateway's thread for as long as the gateway.
pub type Feed = Box<dyn FnOnce(ReportSink) -> Pin<Box<dyn Future<Output = ()>>>>;

/// A membership source that the host provides. It reports through its feed, or from another thread as
/// [`Control::Report`](crate::Control).
pub struct SourceConfig {
    pub source: Source,
    /// A report that is applied at the start.
    pub initial_report: Option<Report>,
    pub feed: Option<Feed>,
}

/// Defaults for headers that a request lacks: the class is the first segment of the path, the timeout is the class's
/// deadline, the size is one unit, the plan is `plan`, and a GET request gets a generated id. Headers that are
/// present must be valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestDefaults {
    /// Index of the plan.
    pub plan: usize,
}

/// Names used in headers and lists, each at its index in the policy's settings.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Names {
    pub classes: Vec<String>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
}

// The names of the following types occur in the error messages of `serde`, which operators see. All times in the file
// are in milliseconds.

#[derive(Deserialize)]
struct File {
    listen: Option<String>,
    admin_addr: Option<String>,
    discovery: Option<String>,
    /// Hexadecimal.
    seed: String,
    limits: Limits,
    /// A list of backends to start with.
    known: List,
    settings: Told,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

/// The section `settings`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Told {
    /// Names of the zones.
    areas: Vec<String>,
    /// Number of gateway instances.
    balancers: u32,
    /// Index of this gateway instance among them.
    ordinal: u32,
    /// Index of this gateway's zone in `areas`.
    zone: u16,
    tick: f64,
    registry_mode: RegistryMode,
    bounds: Bounds,
    rules: Rules,
    family_info: FamilyInfo,
    classes: Vec<ToldClass>,
    plans: Vec<ToldPlan>,
}

#[derive(Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum RegistryMode {
    Pushed,
    OnRequest,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Bounds {
    cancel: bool,
    conn_idle: f64,
    connect_timeout: f64,
    max_attempts: u32,
    max_retry_after: f64,
    may_duplicate: bool,
    retry_after: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    cold: f64,
    cold_from: f64,
    fall: f64,
    stop_sending_within: f64,
    tip_multiple: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    most_units: f64,
    use_period: f64,
}

/// A class of requests in the section `settings`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ToldClass {
    name: String,
    semantics: Semantics,
    group: Group,
    dedup_window: f64,
    worth: f64,
    slo: f64,
    deadline: f64,
    late_share: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum Semantics {
    Free,
    Guarded,
    SingleShot,
}

#[derive(Deserialize, Clone, Copy)]
#[serde(rename_all = "snake_case")]
enum Group {
    All,
    Zone,
    Cell,
}

/// A plan in the section `settings`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ToldPlan {
    name: String,
    units_per_s: f64,
    store_size: f64,
    concurrency: u32,
    price: f64,
    excess_worth: f64,
    overrun_cost: f64,
    never_over_rate: f64,
    cap_depth: f64,
    tolerance: f64,
}

/// Which of the environment and the file takes precedence for values that both contain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precedence {
    /// At the start, when the environment is as new as the file.
    Environment,
    /// At a reload, when the file may be newer than the environment, which dates from the start of the process.
    File,
}

/// Reads and validates the configuration.
///
/// # Errors
/// A one-line message about what is missing or invalid.
pub fn read(precedence: Precedence) -> Result<Config, String> {
    let path = env::var("BALANCER_CONFIG").map_err(|_| "BALANCER_CONFIG is not set".to_string())?;
    let text = fs::read_to_string(&path).map_err(|error| format!("cannot read {path}: {error}"))?;
    parse(&text, precedence, |name| env::var(name).ok())
}

/// The address in this environment variable; `None` if it is missing or invalid.
pub fn address_from_env(name: &str) -> Option<SocketAddr> {
    env::var(name).ok()?.parse().ok()
}

/// Parses and validates a configuration; `environment` returns the value of an environment variable.
///
/// # Errors
/// As [`read`].
pub fn parse(
    text: &str,
    precedence: Precedence,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Config, String> {
    let file: File = serde_json::from_str(text).map_err(|error| format!("configuration: {error}"))?;
    let optional_address = |name: &str, from_file: Option<String>| {
        let from_env = environment(name);
        let text =
            if precedence == Precedence::File { from_file.or(from_env) } else { from_env.or(from_file) };
        let invalid = |text| format!("{name}: '{text}' is no address with a port, as 127.0.0.1:8080");
        text.map(|text| text.parse::<SocketAddr>().map_err(|_| invalid(text))).transpose()
    };
    let address = |name: &str, from_file| {
        optional_address(name, from_file)?.ok_or_else(|| format!("{name} is not set"))
    };
    let seed = u64::from_str_radix(&file.seed, 16)
        .map_err(|_| format!("seed: '{}' is no number in hexadecimal", file.seed))?;
    let section = file.settings;
    let names = Names {
        classes: section.classes.iter().map(|class| class.name.clone()).collect(),
        plans: section.plans.iter().map(|plan| plan.name.clone()).collect(),
        zones: section.areas,
    };
    let bounds = section.bounds;
    let settings = Settings {
        gateways: section.balancers,
        ordinal: section.ordinal,
        zone: section.zone,
        classes: section.classes.iter().map(class_settings).collect(),
        plans: section.plans.iter().map(plan_settings).collect(),
        max_units: section.family_info.most_units,
        meter_period: section.family_info.use_period,
        max_attempts: bounds.max_attempts,
        allow_hedging: bounds.may_duplicate,
        allow_cancel: bounds.cancel,
        max_retry_after: if bounds.retry_after { bounds.max_retry_after } else { 0.0 },
        drain_grace: section.rules.stop_sending_within,
        warm_up_start_fraction: section.rules.cold_from,
        warm_up_duration: section.rules.cold,
        collapse_load: section.rules.tip_multiple,
        collapse_after: section.rules.fall,
        tick: section.tick,
        list_on_request: section.registry_mode == RegistryMode::OnRequest,
        tuning: Default::default(),
    };
    settings.validate().map_err(|error| error.to_string())?;
    require_unique_names("classes", &names.classes)?;
    require_unique_names("plans", &names.plans)?;
    let duration = |name: &str, ms: f64| match Duration::try_from_secs_f64(ms / 1000.0) {
        Ok(duration) if !duration.is_zero() => Ok(duration),
        _ => Err(format!("setting {name}: {ms} is no length of time")),
    };
    Ok(Config {
        listen: address("BALANCER_LISTEN", file.listen)?,
        admin: optional_address("BALANCER_ADMIN_ADDR", file.admin_addr)?,
        discovery: Some(address("BALANCER_DISCOVERY", file.discovery)?),
        sources: Vec::new(),
        seed,
        max_descriptors: file.limits.sockets,
        memory_bytes: file.limits.memory_mb.saturating_mul(1 << 20),
        cached_list: Some(file.known),
        names,
        settings,
        connect_timeout: duration("bounds.connectTimeout", bounds.connect_timeout)?,
        idle_timeout: duration("bounds.connIdle", bounds.conn_idle)?,
        local_meter: false,
        request_defaults: None,
        text: text.to_string(),
    })
}

/// Rejects an empty list, empty names and duplicate names, which would be ambiguous.
fn require_unique_names(kind: &str, names: &[String]) -> Result<(), String> {
    if names.is_empty() {
        return Err(format!("settings.{kind}: there must be one at least"));
    }
    for (index, name) in names.iter().enumerate() {
        if name.is_empty() || names[..index].contains(name) {
            return Err(format!("settings.{kind}[{index}].name: '{name}' stands there twice, or is empty"));
        }
    }
    Ok(())
}

fn class_settings(section: &ToldClass) -> Class {
    let scope = match section.group {
        Group::All => Scope::All,
        Group::Zone => Scope::Zone,
        Group::Cell => Scope::Cell,
    };
    Class {
        value: section.worth,
        latency_target: section.slo,
        deadline: section.deadline,
        late_value_fraction: section.late_share,
        retry_safety: match section.semantics {
            Semantics::Free => RetrySafety::Idempotent,
            Semantics::Guarded => RetrySafety::Keyed { scope, window: section.dedup_window },
            Semantics::SingleShot => RetrySafety::NonIdempotent,
        },
    }
}

fn plan_settings(section: &ToldPlan) -> Plan {
    Plan {
        rate: section.units_per_s,
        burst: section.store_size,
        max_in_flight: section.concurrency,
        value_factor: section.price,
        over_quota_value_fraction: section.excess_worth,
        over_quota_cost_fraction: section.overrun_cost,
        hard_limit_rate: section.never_over_rate,
        hard_limit_burst: section.cap_depth,
        hard_limit_slack: section.tolerance,
    }
}
