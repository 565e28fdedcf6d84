//! The operators' own file, `appliance.toml`: checked, and turned into the front door's terms.

use crate::last_known;
use crate::sources::{Known, Reread, Written};
use brassport::config::{Config, Names, RequestDefaults, SourceConfig};
use brassport_policy::{Class, Plan, RetrySafety, Scope, Settings};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;

/// The file's name within the state directory.
pub const FILE: &str = "appliance.toml";

/// The period of the door's own meter, milliseconds.
const METER_PERIOD: f64 = 1000.0;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    listen: SocketAddr,
    #[serde(default = "sockets")]
    sockets: usize,
    #[serde(default = "memory")]
    memory_mb: usize,
    default_plan: String,
    #[serde(default = "most_units")]
    most_units: f64,
    #[serde(default = "attempts")]
    max_attempts: u32,
    #[serde(default = "cold")]
    cold_ms: f64,
    #[serde(default)]
    zones: Vec<String>,
    class: Vec<FileClass>,
    plan: Vec<FilePlan>,
    /// The state directory of a front door that is started with `--config`.
    state: Option<PathBuf>,
    /// Sources of nodes.
    #[serde(default)]
    source: Vec<Spanned<Written>>,
}

fn sockets() -> usize {
    512
}
fn memory() -> usize {
    64
}
fn most_units() -> f64 {
    16.0
}
fn attempts() -> u32 {
    3
}
fn cold() -> f64 {
    10_000.0
}

#[derive(Debug, Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Repeat {
    Safe,
    Keyed,
    Never,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FileClass {
    name: String,
    repeat: Repeat,
    #[serde(default)]
    keyed_ms: f64,
    worth: f64,
    aim_ms: f64,
    deadline_ms: f64,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FilePlan {
    name: String,
    /// Units a second; 0: no quota.
    units_per_s: f64,
    #[serde(default)]
    burst: f64,
    #[serde(default)]
    open: u32,
}

/// A site as its file tells it.
#[derive(Debug, Clone)]
pub struct Site {
    pub listen: SocketAddr,
    pub settings: Settings,
    pub classes: Vec<String>,
    pub plans: Vec<String>,
    pub zones: Vec<String>,
    pub default_plan: usize,
    pub sources: Vec<Written>,
    /// The state directory, where the file names one.
    pub state: Option<PathBuf>,
    sockets: usize,
    memory_mb: usize,
}

impl Site {
    /// Reads the text of the file.
    ///
    /// # Errors
    /// What is wrong and where.
    pub fn parse(text: &str) -> Result<Site, String> {
        let file: File = toml::from_str(text).map_err(|error| error.to_string().trim_end().to_string())?;
        let named = |what: &str, names: Vec<String>| {
            if names.is_empty() {
                return Err(format!("there is no [[{what}]]"));
            }
            let known = |name: &String| {
                !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
            };
            if let Some(name) = names.iter().find(|name| !known(name)) {
                return Err(format!("{what} '{name}': a name is letters, digits and -"));
            }
            match names.iter().enumerate().find(|(at, name)| names[..*at].contains(name)) {
                Some((_, name)) => Err(format!("{what} '{name}' stands there twice")),
                None => Ok(names),
            }
        };
        let classes = named("class", file.class.iter().map(|class| class.name.clone()).collect())?;
        let plans = named("plan", file.plan.iter().map(|plan| plan.name.clone()).collect())?;
        let default_plan = plans.iter().position(|plan| *plan == file.default_plan);
        let default_plan =
            default_plan.ok_or_else(|| format!("default_plan: there is no plan '{}'", file.default_plan))?;
        let settings = Settings {
            classes: file.class.iter().map(class).collect(),
            plans: file.plan.iter().map(plan).collect(),
            max_units: file.most_units,
            meter_period: METER_PERIOD,
            max_attempts: file.max_attempts,
            allow_cancel: true,
            max_retry_after: 2000.0,
            drain_grace: 500.0,
            warm_up_start_fraction: 0.2,
            warm_up_duration: file.cold_ms,
            collapse_load: 3.0,
            collapse_after: 1000.0,
            ..Settings::default()
        };
        settings.validate().map_err(|error| error.to_string())?;
        if file.sockets < 64 {
            return Err(format!("sockets: {} are too few, 64 at least", file.sockets));
        }
        if file.memory_mb < 8 {
            return Err(format!("memory_mb: {} are too few, 8 at least", file.memory_mb));
        }
        let mut zones = file.zones;
        if zones.is_empty() {
            zones.push(String::new());
        }
        let mut sources: Vec<Written> = Vec::new();
        for source in file.source {
            let line = 1 + text[..source.span().start].matches('\n').count();
            let source = source.into_inner();
            let at = |problem| format!("line {line}: source '{}': {problem}", source.name());
            if ["", "stored", last_known::NAME].contains(&source.name()) {
                let problem = format!("name: not empty, and neither 'stored' nor '{}'", last_known::NAME);
                return Err(at(problem));
            }
            if sources.iter().any(|known| known.name() == source.name()) {
                return Err(at("name: stands there twice".to_string()));
            }
            source.check().map_err(at)?;
            sources.push(source);
        }
        let (listen, sockets, memory_mb, state) = (file.listen, file.sockets, file.memory_mb, file.state);
        Ok(Site { listen, settings, classes, plans, zones, default_plan, sources, state, sockets, memory_mb })
    }

    /// The operator's own sources of nodes.
    ///
    /// # Errors
    /// A file that a source names has changed since it was checked.
    pub fn origins(&self, seed: u64, known: &Known, reread: &Reread) -> Result<Vec<SourceConfig>, String> {
        let origin = |source: &Written| {
            source
                .origin(seed, known, reread)
                .map_err(|problem| format!("source '{}': {problem}", source.name()))
        };
        self.sources.iter().map(origin).collect()
    }

    /// The front door's configuration, with the list of nodes that it starts with.
    pub fn config(&self, seed: u64, sources: Vec<SourceConfig>) -> Config {
        Config {
            admin: None,
            text: String::new(),
            listen: self.listen,
            discovery: None,
            sources,
            cached_list: None,
            seed,
            max_descriptors: self.sockets,
            memory_bytes: self.memory_mb << 20,
            names: Names {
                classes: self.classes.clone(),
                plans: self.plans.clone(),
                zones: self.zones.clone(),
            },
            settings: self.settings.clone(),
            connect_timeout: Duration::from_millis(250),
            idle_timeout: Duration::from_secs(30),
            local_meter: true,
            request_defaults: Some(RequestDefaults { plan: self.default_plan }),
        }
    }
}

fn class(file: &FileClass) -> Class {
    Class {
        value: file.worth,
        latency_target: file.aim_ms,
        deadline: file.deadline_ms,
        late_value_fraction: 0.5,
        retry_safety: match file.repeat {
            Repeat::Safe => RetrySafety::Idempotent,
            Repeat::Keyed => RetrySafety::Keyed { scope: Scope::Cell, window: file.keyed_ms },
            Repeat::Never => RetrySafety::NonIdempotent,
        },
    }
}

fn plan(file: &FilePlan) -> Plan {
    Plan {
        rate: file.units_per_s,
        burst: file.burst,
        max_in_flight: file.open,
        value_factor: 1.0,
        over_quota_value_fraction: 0.2,
        over_quota_cost_fraction: 0.5,
        ..Plan::default()
    }
}

/// The file that `init` writes.
pub fn template(listen: SocketAddr) -> String {
    format!(
        r#"# The appliance's configuration. It is read at the start: after an edit, `stop` and `run`.
# The list of nodes and the studios' plans are not here; they are kept by `nodes` and `plans`.

# Where clients connect. Loopback unless the office's other machines are meant to reach it.
listen = "{listen}"

# Most file descriptors, and the memory whose eighth part the bodies of requests may take.
sockets = 512
memory_mb = 64

# The plan of studios that have none of their own.
default_plan = "standard"

# How long a node that was added is spared, milliseconds. It starts at a fifth of its work.
cold_ms = 10000

# A class of requests: the first segment of the path.
#   repeat       safe: GET, sent again if a node fails. never: POST, sent once only.
#                keyed: POST, nodes of one group drop repeats for keyed_ms.
#   worth        what goes first when there is too much.
#   aim_ms       an answer within this is worth all of it.
#   deadline_ms  the client's whole wait.
[[class]]
name = "frame"
repeat = "safe"
worth = 1.0
aim_ms = 500
deadline_ms = 2000

[[class]]
name = "job-submit"
repeat = "never"
worth = 4.0
aim_ms = 1000
deadline_ms = 3000

# A plan: units a second, how many at once behind a pause, and most requests open at a time (0: no limit).
[[plan]]
name = "standard"
units_per_s = 20
burst = 40

[[plan]]
name = "large"
units_per_s = 100
burst = 200
"#
    )
}

#[cfg(test)]
mod tests {
    use super::*;

    fn sound() -> String {
        template("127.0.0.1:8080".parse().expect("an address"))
    }

    #[test]
    fn the_file_that_init_writes_is_sound() {
        let site = Site::parse(&sound()).expect("sound");
        assert_eq!(site.classes, ["frame", "job-submit"]);
        assert_eq!(site.settings.classes[1].retry_safety, RetrySafety::NonIdempotent);
        assert_eq!((site.plans.len(), site.default_plan), (2, 0));
    }

    #[test]
    fn what_is_wrong_is_named() {
        for (from, to, told) in [
            ("sockets = 512", "sokets = 512", "sokets"),
            ("sockets = 512", "sockets = 9", "64 at least"),
            ("\"standard\"\n\n# How", "\"gold\"\n\n# How", "there is no plan 'gold'"),
            ("name = \"large\"", "name = \"standard\"", "stands there twice"),
            ("aim_ms = 500", "aim_ms = 0", "classes[0].aim"),
            ("name = \"frame\"", "name = \"a/b\"", "letters, digits"),
            ("127.0.0.1:8080", "here", "listen"),
        ] {
            let text = sound().replace(from, to);
            assert_ne!(text, sound(), "{from}");
            let problem = Site::parse(&text).expect_err(told);
            assert!(problem.contains(told), "{problem}");
        }
    }
}
