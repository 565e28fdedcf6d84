//! Binds a command to the permit under which it was started.
//!
//! Between an instance and its command stands a guard, a process of this program: it kills the command, and all of its process
//! group, when the permit ends that it was told of, and at once when the instance is gone. An instance that stands still tells
//! of no further permit; the guard goes on, and its clock with it. A command whose guard is killed dies with it. What is left:
//! a guard that stands still together with its instance, and a command that leaves its process group.

use crate::record::steady_ms;
use brassport_leases::Permit;
use rustix::process::{kill_process_group, set_parent_process_death_signal, Pid, Signal};
use std::io::{BufRead, Write};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::mpsc::{channel, RecvTimeoutError};
use std::thread;
use std::time::Duration;

/// The guard kills so much before the permit ends, milliseconds: it takes a while until a process is gone.
const EARLY: u64 = 100;
/// Between two looks of the guard at its command.
const LOOK: Duration = Duration::from_millis(10);
/// What the guard's exit code says: the command was killed at the end of its permit.
const KILLED: u8 = 124;

/// A command that runs behind its guard.
pub struct Guarded {
    guard: Child,
    told: u64,
}

impl Guarded {
    /// Starts a command under this permit, with what it has to know in its environment.
    ///
    /// # Errors
    /// One plain line.
    pub fn start(
        task: &str,
        words: &[String],
        due_ms: u64,
        permit: &Permit,
        folder: &Path,
    ) -> Result<Guarded, String> {
        let program = std::env::current_exe().map_err(|error| format!("the guard: {error}"))?;
        let guard = Command::new(program)
            .args(["guard", "--until", &(permit.until().saturating_sub(EARLY)).to_string(), "--"])
            .args(words)
            .env("BRASSPORT_TASK", task)
            .env("BRASSPORT_TASK_TOKEN", permit.token().to_string())
            .env("BRASSPORT_TASK_DUE_MS", due_ms.to_string())
            .current_dir(folder)
            .stdin(Stdio::piped())
            .spawn()
            .map_err(|error| format!("the guard of {task}: {error}"))?;
        Ok(Guarded { guard, told: permit.until() })
    }

    /// The command may run on until then, on the machine's steady clock.
    pub fn may_run_until(&mut self, until: u64) {
        if until > self.told {
            self.told = until;
            if let Some(pipe) = &mut self.guard.stdin {
                let _ = writeln!(pipe, "{}", until.saturating_sub(EARLY));
            }
        }
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.guard.try_wait().ok()??;
        Some(match status.code() {
            Some(0) => "ended well".into(),
            Some(code) if code == i32::from(KILLED) => "was killed at the end of its permit".into(),
            Some(code) => format!("ended with code {code}"),
            None => "its guard was killed".into(),
        })
    }
}

/// What the guard does: starts the command, and kills it when its permit ends or the instance is gone.
///
/// # Errors
/// The command cannot be started.
pub fn guard(until: u64, words: &[String]) -> Result<ExitCode, String> {
    let program = std::env::current_exe().map_err(|error| error.to_string())?;
    let mut child = Command::new(program)
        .arg("guarded")
        .arg("--")
        .args(words)
        .stdin(Stdio::null())
        .process_group(0)
        .spawn()
        .map_err(|error| error.to_string())?;
    let group = Pid::from_raw(child.id().cast_signed());
    let (sender, told) = channel();
    thread::spawn(move || {
        for line in std::io::stdin().lock().lines().map_while(Result::ok) {
            if let Ok(until) = line.trim().parse::<u64>() {
                let _ = sender.send(until);
            }
        }
    });
    let mut until = until;
    loop {
        let gone = match told.recv_timeout(LOOK) {
            Ok(later) => {
                until = until.max(later);
                false
            }
            Err(RecvTimeoutError::Timeout) => false,
            Err(RecvTimeoutError::Disconnected) => true,
        };
        if let Ok(Some(status)) = child.try_wait() {
            return Ok(ExitCode::from(status.code().and_then(|code| u8::try_from(code).ok()).unwrap_or(1)));
        }
        if gone || steady_ms() >= until {
            if let Some(group) = group {
                let _ = kill_process_group(group, Signal::KILL);
            }
            let _ = child.wait();
            return Ok(ExitCode::from(KILLED));
        }
    }
}

/// What stands between the guard and its command: dies with the guard, and becomes the command.
///
/// # Errors
/// The command cannot be started.
pub fn guarded(words: &[String]) -> Result<ExitCode, String> {
    let guard = std::os::unix::process::parent_id();
    set_parent_process_death_signal(Some(Signal::KILL)).map_err(|error| error.to_string())?;
    // The guard may have ended before the line above.
    if std::os::unix::process::parent_id() != guard {
        return Err("the guard is gone".into());
    }
    let [program, rest @ ..] = words else { return Err("no command".into()) };
    Err(format!("{program}: {}", Command::new(program).args(rest).exec()))
}
