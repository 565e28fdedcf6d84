//! The settings file: what a process is told at its start. Fields that are not known are passed over.

use brassport_control_plane::FaultTolerance;
use schematic::{Config, ConfigLoader};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

/// The variable that holds the file's path.
pub const VARIABLE: &str = "BRASSPORT_CONFIG";

/// The file as it is written.
#[derive(Debug, Config)]
#[config(allow_unknown_fields)]
#[serde(rename_all = "camelCase")]
struct Layout {
    node: String,
    ip: String,
    zone: String,
    zones: BTreeMap<String, String>,
    listen_on: BTreeMap<String, Option<String>>,
    internal_ports: Vec<u16>,
    seeds: Vec<String>,
    first_start: bool,
    counted: bool,
    limits: BTreeMap<String, Option<f64>>,
    data_folder: Option<String>,
    #[setting(default = 1.5)]
    report_every_s: f64,
    survive: BTreeMap<String, usize>,
    bounds: Vec<String>,
    reached_at: BTreeMap<String, String>,
}

/// What a process is told, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Its machine's name.
    pub node: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// All zones, in their order.
    pub zones: Vec<String>,
    /// Where clients come in, the platform asks whether it is ready, and backends and the operator call.
    pub front: Option<SocketAddrV4>,
    /// See `front`.
    pub ready: Option<SocketAddrV4>,
    /// See `front`.
    pub control: Option<SocketAddrV4>,
    /// The port that the doors' own talk goes over.
    pub port: u16,
    /// Addresses of the seeds.
    pub seeds: Vec<Ipv4Addr>,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Whether the loss of this machine counts.
    pub counted: bool,
    /// Most descriptors.
    pub open_files: usize,
    /// Most memory, in megabytes.
    pub memory_mb: f64,
    /// Where its disk is, if it has one.
    pub data_folder: Option<PathBuf>,
    /// Between two beats of a backend, in seconds.
    pub report_every_s: f64,
    /// What may be lost at once.
    pub survive: FaultTolerance,
    /// The rules' figures by name.
    pub bounds: BTreeMap<String, f64>,
    /// Other doors that are reached from here at another address than their own, as behind a translation of addresses.
    pub reached_at: BTreeMap<Ipv4Addr, Ipv4Addr>,
}

/// Settings that can't be used.
#[derive(Debug, PartialEq, Eq, miette::Diagnostic)]
#[diagnostic(help("the file is YAML, as DEPLOY says; its path stands in BRASSPORT_CONFIG; `brassport-gateway check` reads it without starting"))]
pub struct Fault {
    /// The file.
    pub file: PathBuf,
    /// What is wrong, each with its field, or the line where the file can't be read.
    pub problems: Vec<String>,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.file.display(), self.problems.join("; "))
    }
}

impl std::error::Error for Fault {}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// It can't be read, or some of it makes no sense: all that was found.
    pub fn read(file: &Path) -> Result<Settings, Fault> {
        let fault = |problems| Fault { file: file.to_owned(), problems };
        let text = std::fs::read_to_string(file).map_err(|error| fault(vec![error.to_string()]))?;
        Settings::parse(&text).map_err(fault)
    }

    /// As [`read`](Settings::read), from the text.
    ///
    /// # Errors
    /// All that was found.
    pub fn parse(text: &str) -> Result<Settings, Vec<String>> {
        let mut loader = ConfigLoader::<Layout>::new();
        let loaded = loader
            .code(text, "settings.yaml")
            .and_then(|loader| loader.load())
            .map_err(|error| vec![told(&error)])?;
        check(loaded.config)
    }

    /// One of the rules' figures.
    pub fn bound(&self, name: &str, otherwise: f64) -> f64 {
        self.bounds.get(name).copied().unwrap_or(otherwise)
    }
}

/// An error with those behind it: the innermost names the line.
fn told(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut behind = error.source();
    while let Some(error) = behind {
        text = format!("{text}: {error}");
        behind = error.source();
    }
    text
}

fn check(layout: Layout) -> Result<Settings, Vec<String>> {
    let mut problems = Vec::new();
    let ip = layout.ip.parse().unwrap_or_else(|_| {
        problems.push(format!("ip: {:?} is no IPv4 address", layout.ip));
        Ipv4Addr::UNSPECIFIED
    });
    let mut listen = |name: &str| {
        let text = layout.listen_on.get(name)?.as_ref()?;
        let address = text.parse().ok();
        if address.is_none() {
            problems.push(format!("listenOn.{name}: {text:?} is no address with a port, as 10.0.0.1:8080"));
        }
        address
    };
    let (front, ready, control) = (listen("front"), listen("ready"), listen("control"));
    let mut seeds = Vec::new();
    for (place, text) in layout.seeds.iter().enumerate() {
        match text.parse::<SocketAddrV4>() {
            Ok(address) => seeds.push(*address.ip()),
            Err(_) => problems.push(format!("seeds[{place}]: {text:?} is no address with a port")),
        }
    }
    let port = layout.internal_ports.first().copied().unwrap_or_else(|| {
        problems.push("internalPorts: the first port for the doors' own talk is missing".to_owned());
        0
    });
    let mut bounds = BTreeMap::new();
    for (place, text) in layout.bounds.iter().enumerate() {
        // What is neither a figure nor true or false is of no use here.
        let Some((name, value)) = text.split_once('=') else {
            problems.push(format!("bounds[{place}]: {text:?} is not name=value"));
            continue;
        };
        let figure = match value.trim() {
            "true" => Some(1.0),
            "false" => Some(0.0),
            other => other.parse().ok(),
        };
        bounds.extend(figure.map(|figure| (name.trim().to_owned(), figure)));
    }
    let mut reached_at = BTreeMap::new();
    for (door, at) in &layout.reached_at {
        match (door.parse::<Ipv4Addr>(), at.parse::<Ipv4Addr>()) {
            (Ok(door), Ok(at)) => drop(reached_at.insert(door, at)),
            _ => problems.push(format!("reachedAt: {door:?}: {at:?} are not two IPv4 addresses")),
        }
    }
    let survive = |name: &str| layout.survive.get(name).copied().unwrap_or_default();
    let figure = |name: &str, otherwise: f64| layout.limits.get(name).copied().flatten().unwrap_or(otherwise);
    if !problems.is_empty() {
        return Err(problems);
    }
    Ok(Settings {
        node: layout.node,
        ip,
        survive: FaultTolerance {
            machines: survive("machines"),
            zones: survive("zones"),
            regions: survive("regions"),
            region_of: layout.zones.clone(),
        },
        zones: layout.zones.into_keys().collect(),
        zone: layout.zone,
        front,
        ready,
        control,
        port,
        seeds,
        first_start: layout.first_start,
        counted: layout.counted,
        open_files: figure("openFiles", 1024.0) as usize,
        memory_mb: figure("memoryMb", 256.0),
        data_folder: layout.data_folder.map(PathBuf::from),
        report_every_s: layout.report_every_s,
        bounds,
        reached_at,
    })
}
