//! The scenario language: one statement per line; `#` begins a comment. For an invalid line, the parser reports the
//! line number, what was expected and what was found.
//!
//! ```text
//! machines 3 disks, 2 plain, zones a b c      machines with disks (the core) come first; zones are assigned in turn
//! seeds 0 1 2 | survive 1 | seed 7 | up 0 2   seed nodes, tolerated losses, random seed, initially running (default: all)
//! apart 15ms | sync 5ms | link 2mbit          latency between zones, of disk syncs, and bandwidth of a machine's link in each direction
//! lasts 20s                                   duration of the run (default: 6 s after the last timed line)
//! at 1.5 STATEMENT                            executed at this time, in seconds
//! when first is kept by 2 STATEMENT           executed once this many disks have the configuration sent as `first`
//! when first is 200 STATEMENT                 executed once the call `first` has this status
//! expect ...                                  without a time: checked at the end
//! ```
//!
//! A machine is given as a number, `leader`, `follower` (the first running core machine that does not lead), `last`
//! (the last such machine), `core`, `every`, or a name assigned by `name MACHINE as NAME`.

mod parse;
mod tokens;

pub use parse::parse;

use brassport_config_store::consensus::ChangeScope;
use std::fmt;

pub type Millis = u64;

/// Why a scenario is invalid.
#[derive(Debug, PartialEq, Eq)]
pub struct ParseError {
    pub line: usize,
    pub expected: String,
    pub found: String,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: expected {}, found {:?}", self.line, self.expected, self.found)
    }
}

/// The settings of a run.
#[derive(Debug, Clone)]
pub struct Setup {
    /// Number of machines with a disk, which form the core.
    pub disks: usize,
    /// Number of machines without a disk.
    pub diskless: usize,
    pub zones: Vec<String>,
    pub seeds: Vec<usize>,
    pub tolerated_losses: Option<usize>,
    pub seed: u64,
    pub initially_running: Option<Vec<usize>>,
    /// One-way latency between zones.
    pub zone_latency: Millis,
    pub sync_latency: Millis,
    /// Bandwidth of each machine's link in Mbit/s, in each direction; `None`: unlimited.
    pub link_mbit: Option<u64>,
    pub duration: Option<Millis>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Partition {
    /// No messages in either direction between the machine and these.
    From(Vec<String>),
    /// No messages in either direction between the machine and all others (`off`).
    All,
    /// The machine sends messages, but receives none (`deaf`).
    Inbound,
    /// The machine receives messages, but those that it sends are lost (`mute`).
    Outbound,
}

/// What is wrong with a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    Truncated,
    DuplicateKey,
    DuplicatePrefix,
    UnknownService,
}

/// A call of the operator or a backend, as written in the scenario.
#[derive(Debug, Clone, PartialEq)]
pub enum CallSpec {
    Configure {
        scope: ChangeScope,
        version: u32,
        base_version: u32,
        flaw: Option<Flaw>,
        routes: usize,
    },
    /// The next version, based on the version that a random listed node has applied.
    Next,
    /// The next version, based on the latest acknowledged one.
    Append,
    /// Sends the body of the named call again.
    Repeat(String),
    Read,
    Drain(String),
    Deregister(String),
}

#[derive(Debug, Clone, PartialEq)]
pub enum DiskFault {
    Full,
    Healthy,
    Hangs(Millis),
}

/// A statement. Machines are given by selectors, and backends by their IDs.
#[derive(Debug, Clone, PartialEq)]
pub enum Statement {
    /// Assigns a name to a machine.
    Name(String, String),
    /// Freezes machines for a time.
    Freeze(String, Millis),
    Kill(Vec<String>),
    Start(Vec<String>),
    /// Kills machines permanently: they no longer belong to the core.
    Retire(Vec<String>),
    /// Asks a machine to shut down. It exits once it may, but not before the given time, and after `graceS` at the
    /// latest.
    ShutDown(String, Millis),
    /// Percentage of the replies to configuration requests that are lost.
    ReplyLoss(u64),
    LoseDisk(String),
    Partition(String, Partition),
    Heal,
    MessageLoss(u64),
    /// Percentage of the messages that are delivered a second time, and the maximum delay of the second delivery.
    Duplication(u64, Millis),
    /// Delays the messages that a machine sends: the machine, the delay, and how long this lasts.
    SendDelay(String, Millis, Millis),
    DiskFault(String, DiskFault),
    Seeds(String, Vec<usize>),
    Call {
        spec: CallSpec,
        via: Option<String>,
        is_single_attempt: bool,
        name: String,
    },
    StartBackend {
        id: String,
        service: String,
        via: Option<String>,
    },
    KillBackend(String),
    /// An earlier heartbeat of the backend arrives at the machine.
    LateHeartbeat(String, String),
    Expect(Expect),
}

/// An expectation.
#[derive(Debug, Clone, PartialEq)]
pub enum Expect {
    /// The call has one of these statuses; 0 stands for no reply.
    Status(String, Vec<u16>),
    /// Exactly one of these calls has this status.
    ExactlyOne(Vec<String>, u16),
    /// Those of the machines that run and are not frozen have applied this version.
    AppliedVersion(String, u32),
    /// Exactly this many disks have the configuration sent under a name.
    OnDisks(String, usize),
    /// Those of the machines that run and are not frozen have this backend in one of these states.
    BackendState(String, String, Vec<String>),
    Voters(Vec<usize>),
    /// The machine (`None`: any machine) leads, or, if `is` is false, does not lead.
    Leader {
        who: Option<String>,
        is: bool,
    },
    /// The final read returns this version.
    ReadBack(u32),
}

/// When a statement is executed.
#[derive(Debug, Clone, PartialEq)]
pub enum When {
    At(Millis),
    OnDisks(String, usize),
    Status(String, u16),
    End,
}

#[derive(Debug, Clone)]
pub struct Line {
    pub number: usize,
    pub when: When,
    pub statement: Statement,
}

#[derive(Debug, Clone)]
pub struct Script {
    pub setup: Setup,
    pub lines: Vec<Line>,
}
