//! The settings file of a node: read once at the start, and again for what may change while the process runs.

mod check;
mod error;
mod layout;

pub use error::{NoSettingsFile, Problem, SettingsError};

use brassport_control_plane::FaultTolerance;
use layout::Layout;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};

/// The environment variable that holds the file's path.
pub const FILE_VARIABLE: &str = "BRASSPORT_CONFIG";

/// The settings of one node, checked.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// Its machine's name (`node`).
    pub node: String,
    /// Its address (`ip`).
    pub ip: Ipv4Addr,
    /// Its zone (`zone`).
    pub zone: String,
    /// All zones, in their order (the keys of `zones`).
    pub zones: Vec<String>,
    /// Where it listens (`listenOn`).
    pub listen_on: ListenOn,
    /// The port of the nodes' links, the same on each (the first of `internalPorts`).
    pub port: u16,
    /// Addresses of the seeds (`seeds`).
    pub seeds: Vec<Ipv4Addr>,
    /// Whether the cluster starts for the first time (`firstStart`).
    pub first_start: bool,
    /// Whether this machine is one of the core, which may vote (`counted`).
    pub is_core: bool,
    /// Most file descriptors (`limits.openFiles`).
    pub open_files: usize,
    /// Most memory, in megabytes (`limits.memoryMb`).
    pub memory_mb: f64,
    /// The folder of its durable state, if it has a disk (`dataFolder`).
    pub data_folder: Option<PathBuf>,
    /// Between two heartbeats of a backend, in seconds (`reportEveryS`).
    pub heartbeat_interval_s: f64,
    /// What may fail at once (`survive`, and the regions of `zones`).
    pub fault_tolerance: FaultTolerance,
    /// Figures by name (`bounds`); see [`Settings::bound`].
    pub bounds: BTreeMap<String, f64>,
    /// Nodes that are reached from here at another address than their own, as behind address translation (`reachedAt`).
    pub reached_at: BTreeMap<Ipv4Addr, Ipv4Addr>,
}

/// Addresses of a node's listeners; one that is not set is not opened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ListenOn {
    /// Clients' requests (`front`).
    pub downstream: Option<SocketAddrV4>,
    /// The platform's readiness check (`ready`).
    pub ready: Option<SocketAddrV4>,
    /// Calls of backends and operators (`control`).
    pub control: Option<SocketAddrV4>,
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// It can't be read, or some of it is invalid: every problem that was found.
    pub fn read(file: &Path) -> Result<Settings, SettingsError> {
        let error = |problems| SettingsError { file: file.to_owned(), problems };
        let text = std::fs::read_to_string(file).map_err(|io| error(vec![Problem::Io(io)]))?;
        Settings::parse(&text).map_err(error)
    }

    /// As [`read`](Settings::read), from the text of a file.
    ///
    /// # Errors
    /// Every problem that was found.
    pub fn parse(text: &str) -> Result<Settings, Vec<Problem>> {
        let layout = Layout::parse(text).map_err(|error| vec![Problem::Malformed(Box::new(error))])?;
        check::check(layout)
    }

    /// The figure of this name in `bounds`, in the unit that its name ends with; `default` where there is none.
    pub fn bound(&self, name: &str, default: f64) -> f64 {
        self.bounds.get(name).copied().unwrap_or(default)
    }
}

/// The settings file that the environment names in [`FILE_VARIABLE`].
///
/// # Errors
/// It names none.
pub fn file_from_environment() -> Result<PathBuf, NoSettingsFile> {
    std::env::var_os(FILE_VARIABLE).map(PathBuf::from).ok_or(NoSettingsFile)
}
