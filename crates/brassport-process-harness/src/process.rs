//! A program with a directory of its own, to be killed, frozen and started again.

use rustix::process::{kill_process, prlimit, Pid, Resource, Rlimit, Signal};
use std::fs::{File, OpenOptions};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A program that runs, or may be started again.
#[derive(Debug)]
pub struct Process {
    pub name: String,
    program: PathBuf,
    arguments: Vec<String>,
    log: PathBuf,
    child: Option<Child>,
    frozen: bool,
}

impl Process {
    /// Names a program, which is not started yet. What it says goes to this file.
    pub fn new(name: &str, program: &Path, arguments: Vec<String>, log: PathBuf) -> Process {
        Process { name: name.into(), program: program.into(), arguments, log, child: None, frozen: false }
    }

    /// # Panics
    /// It cannot be started.
    pub fn start(&mut self) {
        assert!(self.child.is_none(), "{} runs", self.name);
        let log: File =
            OpenOptions::new().create(true).append(true).open(&self.log).expect("a file for its words");
        // A file that may not grow is an error to the program, as on a disk that is full, and not its end.
        let mut command = Command::new("sh");
        command.args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""]).arg(&self.program);
        let child =
            command.args(&self.arguments).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn();
        self.child = Some(child.unwrap_or_else(|error| panic!("{}: {error}", self.program.display())));
    }

    fn pid(&self) -> Pid {
        let child = self.child.as_ref().expect("it runs");
        Pid::from_raw(child.id().cast_signed()).expect("a process")
    }

    fn signal(&self, signal: Signal) {
        kill_process(self.pid(), signal).expect("a child of ours");
    }

    /// None of its files may grow beyond so many bytes, as on a disk that is full; `None`: as before.
    pub fn limit_files(&self, bytes: Option<u64>) {
        let limit = Rlimit { current: bytes, maximum: None };
        prlimit(Some(self.pid()), Resource::Fsize, limit).expect("a child of ours");
    }

    pub fn runs(&self) -> bool {
        self.child.is_some()
    }

    /// Whether it ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    pub fn is_frozen(&self) -> bool {
        self.frozen
    }

    /// SIGKILL; returns when it is gone.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            self.frozen = false;
        }
    }

    /// SIGSTOP.
    pub fn freeze(&mut self) {
        self.signal(Signal::STOP);
        self.frozen = true;
    }

    /// SIGCONT.
    pub fn thaw(&mut self) {
        self.signal(Signal::CONT);
        self.frozen = false;
    }

    /// Processor time that it has used.
    ///
    /// # Panics
    /// It does not run.
    pub fn processor_time(&self) -> Duration {
        let path = format!("/proc/{}/stat", self.pid().as_raw_nonzero());
        let text = std::fs::read_to_string(path).expect("it runs");
        // Behind the name, which may hold anything: fields 14 and 15 are user and system time, in hundredths of a second.
        let rest = text.rsplit_once(") ").expect("a name in brackets").1;
        let ticks: u64 = rest.split(' ').skip(11).take(2).map(|n| n.parse::<u64>().expect("a number")).sum();
        Duration::from_millis(ticks * 10)
    }

    /// What it has said.
    pub fn said(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
