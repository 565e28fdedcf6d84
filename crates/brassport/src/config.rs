//! Configuration: the environment and the JSON file it names, checked and turned into the module's terms.

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

/// All that a front door is told at its start.
pub struct Config {
    pub listen: SocketAddr,
    /// Where staff call, if anywhere.
    pub admin: Option<SocketAddr>,
    /// Where the platform's list of nodes is watched; the first source of nodes, if there is one.
    pub discovery: Option<SocketAddr>,
    /// Further sources of nodes.
    pub sources: Vec<SourceConfig>,
    pub seed: u64,
    pub max_descriptors: usize,
    pub memory_bytes: usize,
    /// The list kept for discovery; it may be old.
    pub cached_list: Option<List>,
    pub names: Names,
    pub settings: Settings,
    pub connect_timeout: Duration,
    pub idle_timeout: Duration,
    /// Whether this door's own count is the meter, as there is no other door and nodes tell no figure.
    pub local_meter: bool,
    /// What a request is taken to say where it says nothing, at a site without a platform round it.
    pub request_defaults: Option<RequestDefaults>,
    /// The file's text, for a process that takes this one's place.
    pub text: String,
}

/// Takes what a source reports.
pub type ReportSink = Rc<dyn Fn(Report)>;
/// What runs on the front door's thread to follow a source, for as long as the front door does.
pub type Feed = Box<dyn FnOnce(ReportSink) -> Pin<Box<dyn Future<Output = ()>>>>;

/// A source of nodes of the host's. It reports by its feed, or from another thread as
/// [`Control::Report`](crate::Control).
pub struct SourceConfig {
    pub source: Source,
    /// What it says at the start.
    pub initial_report: Option<Report>,
    pub feed: Option<Feed>,
}

/// Stands in for headers that a request lacks: its class is the path's first segment, its time the class's, its size
/// one unit, its plan this one, and a request that is safe to repeat needs no id. What is there must make sense.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestDefaults {
    /// By index.
    pub plan: usize,
}

/// Names that stand on the sockets, each at the index by which the module knows it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Names {
    pub classes: Vec<String>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
}

#[derive(Deserialize)]
struct File {
    listen: Option<String>,
    admin_addr: Option<String>,
    discovery: Option<String>,
    seed: String,
    limits: Limits,
    known: List,
    settings: Told,
}

#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Told {
    areas: Vec<String>,
    balancers: u32,
    ordinal: u32,
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

/// Which of the environment and the file goes before the other in what both say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precedence {
    /// At the start: the environment is as new as the file.
    Environment,
    /// When the file has been replaced under a running program, whose environment is of its start.
    File,
}

/// Reads and checks the whole configuration.
///
/// # Errors
/// One plain line on what is missing or makes no sense.
pub fn read(precedence: Precedence) -> Result<Config, String> {
    let path = env::var("BALANCER_CONFIG").map_err(|_| "BALANCER_CONFIG is not set".to_string())?;
    let text = fs::read_to_string(&path).map_err(|error| format!("cannot read {path}: {error}"))?;
    parse(&text, precedence, |name| env::var(name).ok())
}

/// An address that the environment tells, if it is one.
pub fn told(name: &str) -> Option<SocketAddr> {
    env::var(name).ok()?.parse().ok()
}

/// Checks a configuration; `environment` gives the variables that go with it.
///
/// # Errors
/// As [`read`].
pub fn parse(
    text: &str,
    precedence: Precedence,
    environment: impl Fn(&str) -> Option<String>,
) -> Result<Config, String> {
    let file: File = serde_json::from_str(text).map_err(|error| format!("configuration: {error}"))?;
    let given = |name: &str, written: Option<String>| {
        let said = environment(name);
        let text = if precedence == Precedence::File { written.or(said) } else { said.or(written) };
        let fault = |text| format!("{name}: '{text}' is no address with a port, as 127.0.0.1:8080");
        text.map(|text| text.parse::<SocketAddr>().map_err(|_| fault(text))).transpose()
    };
    let address = |name: &str, written| given(name, written)?.ok_or_else(|| format!("{name} is not set"));
    let seed = u64::from_str_radix(&file.seed, 16)
        .map_err(|_| format!("seed: '{}' is no number in hexadecimal", file.seed))?;
    let told = file.settings;
    let names = Names {
        classes: told.classes.iter().map(|class| class.name.clone()).collect(),
        plans: told.plans.iter().map(|plan| plan.name.clone()).collect(),
        zones: told.areas,
    };
    let bounds = told.bounds;
    let settings = Settings {
        gateways: told.balancers,
        ordinal: told.ordinal,
        zone: told.zone,
        classes: told.classes.iter().map(class).collect(),
        plans: told.plans.iter().map(plan).collect(),
        max_units: told.family_info.most_units,
        meter_period: told.family_info.use_period,
        max_attempts: bounds.max_attempts,
        allow_hedging: bounds.may_duplicate,
        allow_cancel: bounds.cancel,
        max_retry_after: if bounds.retry_after { bounds.max_retry_after } else { 0.0 },
        drain_grace: told.rules.stop_sending_within,
        warm_up_start_fraction: told.rules.cold_from,
        warm_up_duration: told.rules.cold,
        collapse_load: told.rules.tip_multiple,
        collapse_after: told.rules.fall,
        tick: told.tick,
        list_on_request: told.registry_mode == RegistryMode::OnRequest,
        tuning: Default::default(),
    };
    settings.validate().map_err(|error| error.to_string())?;
    each_once("classes", &names.classes)?;
    each_once("plans", &names.plans)?;
    let time = |name: &str, ms: f64| match Duration::try_from_secs_f64(ms / 1000.0) {
        Ok(time) if !time.is_zero() => Ok(time),
        _ => Err(format!("setting {name}: {ms} is no length of time")),
    };
    Ok(Config {
        listen: address("BALANCER_LISTEN", file.listen)?,
        admin: given("BALANCER_ADMIN_ADDR", file.admin_addr)?,
        discovery: Some(address("BALANCER_DISCOVERY", file.discovery)?),
        sources: Vec::new(),
        seed,
        max_descriptors: file.limits.sockets,
        memory_bytes: file.limits.memory_mb.saturating_mul(1 << 20),
        cached_list: Some(file.known),
        names,
        settings,
        connect_timeout: time("bounds.connectTimeout", bounds.connect_timeout)?,
        idle_timeout: time("bounds.connIdle", bounds.conn_idle)?,
        local_meter: false,
        request_defaults: None,
        text: text.to_string(),
    })
}

/// Guards against a name that means two things, or none.
fn each_once(what: &str, names: &[String]) -> Result<(), String> {
    if names.is_empty() {
        return Err(format!("settings.{what}: there must be one at least"));
    }
    for (place, name) in names.iter().enumerate() {
        if name.is_empty() || names[..place].contains(name) {
            return Err(format!("settings.{what}[{place}].name: '{name}' stands there twice, or is empty"));
        }
    }
    Ok(())
}

fn class(told: &ToldClass) -> Class {
    let scope = match told.group {
        Group::All => Scope::All,
        Group::Zone => Scope::Zone,
        Group::Cell => Scope::Cell,
    };
    Class {
        value: told.worth,
        latency_target: told.slo,
        deadline: told.deadline,
        late_value_fraction: told.late_share,
        retry_safety: match told.semantics {
            Semantics::Free => RetrySafety::Idempotent,
            Semantics::Guarded => RetrySafety::Keyed { scope, window: told.dedup_window },
            Semantics::SingleShot => RetrySafety::NonIdempotent,
        },
    }
}

fn plan(told: &ToldPlan) -> Plan {
    Plan {
        rate: told.units_per_s,
        burst: told.store_size,
        max_in_flight: told.concurrency,
        value_factor: told.price,
        over_quota_value_fraction: told.excess_worth,
        over_quota_cost_fraction: told.overrun_cost,
        hard_limit_rate: told.never_over_rate,
        hard_limit_burst: told.cap_depth,
        hard_limit_slack: told.tolerance,
    }
}
