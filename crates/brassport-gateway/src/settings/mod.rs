//! The settings file of a node. It is read at startup, and again while the process runs for the settings that may change
//! without a restart.

mod check;
mod error;
mod layout;

pub use error::{NoSettingsFile, Problem, SettingsError};

use brassport_control_plane::FaultTolerance;
use layout::Layout;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The environment variable that contains the path of the settings file.
pub const FILE_VARIABLE: &str = "BRASSPORT_CONFIG";

/// The validated settings of one node. The name of each setting in the file is given in parentheses.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The name of the machine (`node`).
    pub node: String,
    /// The address of this node (`ip`).
    pub ip: Ipv4Addr,
    /// The zone of this node (`zone`).
    pub zone: String,
    /// All zones, sorted by name (the keys of `zones`).
    pub zones: Vec<String>,
    /// The addresses of the listeners (`listenOn`).
    pub listen_on: ListenAddresses,
    /// The port for traffic between nodes, the same on every node (the first of `internalPorts`).
    pub internal_port: u16,
    /// The nodes to contact first when joining the cluster (`seeds`).
    pub seeds: Vec<Ipv4Addr>,
    /// Whether the whole cluster starts for the first time (`firstStart`).
    pub first_start: bool,
    /// Whether this node belongs to the core, whose nodes may become voters of the consensus group (`counted`).
    pub is_core: bool,
    /// The limit on open file descriptors (`limits.openFiles`).
    pub open_files: usize,
    /// The memory limit in megabytes (`limits.memoryMb`).
    pub memory_mb: f64,
    /// The folder for durable state; `None` on a node without a disk (`dataFolder`).
    pub data_folder: Option<PathBuf>,
    /// The interval between heartbeats of a backend, in seconds (`reportEveryS`).
    pub heartbeat_interval_s: f64,
    /// How many machines, zones and regions may fail at the same time (`survive`, and the regions in `zones`).
    pub fault_tolerance: FaultTolerance,
    /// Tuning parameters by name (`bounds`); see [`Settings::parameter`].
    pub parameters: BTreeMap<String, f64>,
    /// For nodes that this one reaches at another address, such as behind network address translation: the address to
    /// connect to, by the node's own address (`reachedAt`).
    pub address_overrides: BTreeMap<Ipv4Addr, Ipv4Addr>,
}

/// How long a starting process waits for a valid settings file.
const REWRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// The interval between two attempts to read the settings file.
const REREAD_INTERVAL: Duration = Duration::from_millis(50);

/// The addresses that a node listens on. A listener without an address is not opened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ListenAddresses {
    /// For requests of clients (`front`).
    pub downstream: Option<SocketAddrV4>,
    /// For the readiness check of the deployment platform (`ready`).
    pub ready: Option<SocketAddrV4>,
    /// For control calls of backends and operators (`control`).
    pub control: Option<SocketAddrV4>,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// The file cannot be read, or is invalid; the error lists all problems found.
    pub fn read(file: &Path) -> Result<Settings, SettingsError> {
        let error = |problems| SettingsError { file: file.to_owned(), problems };
        let text = std::fs::read_to_string(file).map_err(|io| error(vec![Problem::Io(io)]))?;
        Settings::parse(&text).map_err(error)
    }

    /// Reads and validates the settings file of a process that starts. The file may be rewritten at that moment, so an
    /// invalid one is read again for up to 1 s.
    ///
    /// # Errors
    /// As [`Settings::read`], of the last attempt.
    pub async fn read_at_start(file: &Path) -> Result<Settings, SettingsError> {
        let deadline = Instant::now() + REWRITE_TIMEOUT;
        loop {
            match Settings::read(file) {
                Err(_) if Instant::now() < deadline => tokio::time::sleep(REREAD_INTERVAL).await,
                result => return result,
            }
        }
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// All problems found.
    pub fn parse(text: &str) -> Result<Settings, Vec<Problem>> {
        let layout = Layout::parse(text).map_err(|error| vec![Problem::Malformed(Box::new(error))])?;
        check::validate(layout)
    }

    /// The value of a tuning parameter, in the unit that ends its name; `default` if it is not set.
    pub fn parameter(&self, name: &str, default: f64) -> f64 {
        self.parameters.get(name).copied().unwrap_or(default)
    }
}

/// The path of the settings file, from the environment variable [`FILE_VARIABLE`].
///
/// # Errors
/// The variable is not set.
pub fn file_from_environment() -> Result<PathBuf, NoSettingsFile> {
    std::env::var_os(FILE_VARIABLE).map(PathBuf::from).ok_or(NoSettingsFile)
}
