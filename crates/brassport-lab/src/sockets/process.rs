//! Processes of a run: started with an end of a pipe that ends them, measured by what the system says of them.

use anyhow::{bail, Context, Result};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, ChildStdin, Command, Stdio};
use std::time::Duration;
use tokio::io::AsyncReadExt;

/// A process that is ended when this is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    /// A helper reads this to its end, and ends: also when this program is killed.
    _input: Option<ChildStdin>,
}

impl Process {
    /// Starts a program whose output nobody reads.
    ///
    /// # Errors
    /// It cannot be started.
    pub fn start(mut command: Command) -> Result<Process> {
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::null());
        let child = command.spawn().with_context(|| format!("cannot start {:?}", command.get_program()))?;
        Ok(Process { child, _input: None })
    }

    /// Starts a helper that prints addresses up to an empty line.
    ///
    /// # Errors
    /// It cannot be started, or prints something else.
    pub fn helper(mut command: Command) -> Result<(Process, Vec<SocketAddr>)> {
        command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::inherit());
        let mut child =
            command.spawn().with_context(|| format!("cannot start {:?}", command.get_program()))?;
        let (input, output) = (child.stdin.take(), child.stdout.take().context("a pipe")?);
        let process = Process { child, _input: input };
        let mut addresses = Vec::new();
        for line in BufReader::new(output).lines() {
            let line = line?;
            if line.is_empty() {
                return Ok((process, addresses));
            }
            addresses.push(line.parse().with_context(|| format!("{line:?} is no address"))?);
        }
        bail!("{:?} ended before it listened", command.get_program())
    }

    /// Processor time that it used so far, of the user and of the system together.
    ///
    /// # Errors
    /// It has ended.
    pub fn processor(&self) -> Result<Duration> {
        let text =
            std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).context("it has ended")?;
        // Behind the name, which stands in brackets and may hold anything: user and system time are the 12th and 13th.
        let rest = text.rsplit_once(')').context("the system's line on a process")?.1;
        let fields: Vec<u64> = rest.split_whitespace().map(|field| field.parse().unwrap_or(0)).collect();
        let ticks = fields.get(11).context("a field")? + fields.get(12).context("a field")?;
        Ok(Duration::from_millis(ticks * 1000 / rustix::param::clock_ticks_per_second()))
    }

    /// Most memory that it has held so far, MiB.
    ///
    /// # Errors
    /// It has ended.
    pub fn memory_mib(&self) -> Result<f64> {
        let text =
            std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).context("it has ended")?;
        let line = text
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))
            .context("the system's line on memory")?;
        let kib: f64 = line.trim().trim_end_matches(" kB").parse().context("a number")?;
        Ok(kib / 1024.0)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until whoever started this process is gone or wants it to end.
pub async fn until_input_ends() {
    let mut input = tokio::io::stdin();
    let mut part = [0; 64];
    while matches!(input.read(&mut part).await, Ok(1..)) {}
}
