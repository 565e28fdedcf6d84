//! One node: a real process with a settings file of its own.

use miette::{miette, IntoDiagnostic, WrapErr};
use rustix::process::{kill_process, Pid, Signal};
use std::fs::OpenOptions;
use std::io::Read;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// The environment variable that names the settings file.
pub const SETTINGS_VARIABLE: &str = "BRASSPORT_CONFIG";

/// Where a node listens. The ports are alike on all machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Ports {
    /// For clients.
    pub front: u16,
    /// For the platform's readiness check.
    pub ready: u16,
    /// For backends and operators.
    pub control: u16,
    /// The first and the last port of the nodes' own.
    pub internal: (u16, u16),
    /// For the counters.
    pub metrics: u16,
}

/// How the process of a node is started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum StartMode {
    /// With the default actions of all signals.
    #[default]
    Plain,
    /// With SIGHUP ignored until the program installs its handler, as a supervisor starts a program that it may signal at
    /// any time: between `exec` and the handler, the default action would end the process.
    HangupIgnored,
}

/// Ignores SIGHUP, writes a line to report that, and becomes the program given by the arguments.
const IGNORE_HANGUP: &str = "trap '' HUP; echo; exec \"$0\" \"$@\" >/dev/null";

/// A node that runs, or may be started again.
#[derive(Debug)]
pub struct Node {
    /// Its machine's name.
    pub name: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its ports.
    pub ports: Ports,
    /// Its data folder, if it has a disk.
    pub data_folder: Option<PathBuf>,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    start_mode: StartMode,
    child: Option<Child>,
    last_exit: Option<ExitStatus>,
}

impl Node {
    /// Names a node, which is not started yet. Settings and log lie in the folder.
    pub fn new(
        name: &str,
        ip: Ipv4Addr,
        ports: Ports,
        program: &Path,
        folder: &Path,
        has_disk: bool,
    ) -> Node {
        Node {
            name: name.into(),
            ip,
            ports,
            data_folder: has_disk.then(|| folder.join(format!("{name}-data"))),
            program: program.into(),
            settings: folder.join(format!("{name}.yaml")),
            log: folder.join(format!("{name}.log")),
            start_mode: StartMode::default(),
            child: None,
            last_exit: None,
        }
    }

    /// Where clients arrive.
    pub fn front(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.ports.front)
    }

    /// Where the platform checks readiness.
    pub fn ready(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.ports.ready)
    }

    /// Where backends and operators call.
    pub fn control(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.ports.control)
    }

    /// Where the counters are read.
    pub fn metrics(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.ports.metrics)
    }

    /// The program that the next start runs.
    pub fn program(&self) -> &Path {
        &self.program
    }

    /// Has the next start run another build's program, on the same settings file and data folder.
    pub fn set_program(&mut self, program: &Path) {
        self.program = program.into();
    }

    /// Starts the process with these settings.
    ///
    /// # Errors
    /// It runs already, or can't be started.
    pub fn start(&mut self, settings: &str) -> miette::Result<()> {
        if self.child.is_some() {
            return Err(miette!("{} runs", self.name));
        }
        let what = || format!("starting {} ({})", self.name, self.program.display());
        if let Some(folder) = &self.data_folder {
            std::fs::create_dir_all(folder).into_diagnostic().wrap_err_with(what)?;
        }
        std::fs::write(&self.settings, settings).into_diagnostic().wrap_err_with(what)?;
        let log = OpenOptions::new().create(true).append(true).open(&self.log);
        let log = log.into_diagnostic().wrap_err_with(what)?;
        let mut command = self.command();
        command.args(["run", "--metrics-port", &self.ports.metrics.to_string()]);
        command.env(SETTINGS_VARIABLE, &self.settings);
        command.stdin(Stdio::null()).stderr(log);
        let child = self.child.insert(command.spawn().into_diagnostic().wrap_err_with(what)?);
        if let Some(mut report) = child.stdout.take() {
            // From here on, a SIGHUP does not end the process.
            report.read_exact(&mut [0]).into_diagnostic().wrap_err_with(what)?;
        }
        Ok(())
    }

    /// The command that starts the program, without its arguments.
    fn command(&self) -> Command {
        match self.start_mode {
            StartMode::Plain => {
                let mut command = Command::new(&self.program);
                command.stdout(Stdio::null());
                command
            }
            StartMode::HangupIgnored => {
                let mut command = Command::new("sh");
                command.args(["-c", IGNORE_HANGUP]).arg(&self.program).stdout(Stdio::piped());
                command
            }
        }
    }

    /// Sets how the next start starts the process.
    pub fn set_start_mode(&mut self, mode: StartMode) {
        self.start_mode = mode;
    }

    /// SIGKILL. Returns when the process has terminated.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// SIGTERM. The process ends in its own time; see [`wait_for_exit`](Node::wait_for_exit).
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// SIGSTOP.
    pub fn suspend(&self) {
        self.signal(Signal::STOP);
    }

    /// SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// SIGHUP.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Writes the settings file anew, for a process that runs.
    ///
    /// # Errors
    /// It can't be written.
    pub fn rewrite(&self, settings: &str) -> miette::Result<()> {
        std::fs::write(&self.settings, settings).into_diagnostic()
    }

    fn signal(&self, signal: Signal) {
        let pid = self.child.as_ref().and_then(|child| Pid::from_raw(child.id().cast_signed()));
        if let Some(pid) = pid {
            // A child that has ended and was not waited for still has its number.
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits for the process to end by itself. Kills it when the time is over, and then returns false.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> bool {
        let since = Instant::now();
        while !self.has_exited() {
            if since.elapsed() >= limit {
                self.kill();
                return false;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        true
    }

    /// Whether no process runs, as none was started or it has ended.
    pub fn has_exited(&mut self) -> bool {
        if let Some(child) = &mut self.child {
            if let Ok(Some(status)) = child.try_wait() {
                self.last_exit = Some(status);
                self.child = None;
            }
        }
        self.child.is_none()
    }

    /// How the last process that ended by itself did so.
    pub fn last_exit(&self) -> String {
        self.last_exit.map_or_else(|| "unknown".to_owned(), |status| status.to_string())
    }

    /// Empties the data folder, as when the machine's disk is lost.
    ///
    /// # Errors
    /// The node runs, or the folder can't be removed.
    pub fn wipe(&self) -> miette::Result<()> {
        if self.child.is_some() {
            return Err(miette!("{} runs", self.name));
        }
        let Some(folder) = &self.data_folder else { return Ok(()) };
        std::fs::remove_dir_all(folder).into_diagnostic()?;
        std::fs::create_dir_all(folder).into_diagnostic()
    }

    /// What the process wrote to standard error.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}
