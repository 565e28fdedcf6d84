//! The scenarios' language: one statement a line, `#` begins a comment. A line that makes no sense fails with file, line
//! and what was expected.
//!
//! ```text
//! machines 3 disks, 2 plain, zones a b c      all machines; the disks come first, zones go round
//! seeds 0 1 2 | survive 1 | seed 7 | up 0 2   the settings; `up`: who starts at the beginning (default: all)
//! apart 15ms | sync 5ms | link 2mbit          between zones, of a disk, out of a machine
//! lasts 20s                                   the end (default: 6 s after the last line)
//! at 1.5 STATEMENT                            at a time
//! when first is kept by 2 STATEMENT           once so many disks have that configuration
//! when first is 200 STATEMENT                 once its caller has that answer
//! expect ...                                  without a time: at the end
//! ```
//!
//! WHO is a number, `leader`, `follower` (the first other of the core that runs), `last` (the last of them), `core`,
//! `every`, or a name given with `name WHO as NAME`.

mod parse;
mod words;

pub use parse::parse;

use brassport_config_store::consensus::ChangeScope;
use std::fmt;

pub type Millis = u64;

/// A line that makes no sense.
#[derive(Debug, PartialEq, Eq)]
pub struct Fault {
    pub line: usize,
    pub expected: String,
    pub found: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: expected {}, found {:?}", self.line, self.expected, self.found)
    }
}

#[derive(Debug, Clone)]
pub struct Setup {
    pub disks: usize,
    pub plain: usize,
    pub zones: Vec<String>,
    pub seeds: Vec<usize>,
    pub survive: Option<usize>,
    pub seed: u64,
    pub up: Option<Vec<usize>>,
    pub apart: Millis,
    pub sync: Millis,
    pub mbit: Option<u64>,
    pub lasts: Option<Millis>,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Cut {
    From(Vec<String>),
    Off,
    /// It sends and does not hear.
    Deaf,
    /// It hears and is not heard.
    Mute,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    CutOff,
    KeyTwice,
    PrefixTwice,
    UnknownService,
}

#[derive(Debug, Clone, PartialEq)]
pub enum Ask {
    Put {
        scope: ChangeScope,
        version: u32,
        base_version: u32,
        flaw: Option<Flaw>,
        routes: usize,
    },
    /// The next version, on top of the one that some node goes by.
    Next,
    /// The next version, on top of the newest that was acknowledged.
    Append,
    Repeat(String),
    Read,
    Empty(String),
    SignOff(String),
}

#[derive(Debug, Clone, PartialEq)]
pub enum Disk {
    Full,
    Well,
    Hangs(Millis),
}

#[derive(Debug, Clone, PartialEq)]
pub enum Statement {
    Name(String, String),
    Freeze(String, Millis),
    Kill(Vec<String>),
    Start(Vec<String>),
    /// Gone for good: they belong to the core no more.
    Retire(Vec<String>),
    /// Told to end: it ends once it may, but no sooner than this, and after `graceS` at the latest.
    Stop(String, Millis),
    /// So many answers to operators are lost on their way.
    AnswersLost(u64),
    LoseDisk(String),
    Cut(String, Cut),
    Join,
    Loss(u64),
    Repeats(u64, Millis),
    Lag(String, Millis, Millis),
    Disk(String, Disk),
    Seeds(String, Vec<usize>),
    Ask {
        ask: Ask,
        via: Option<String>,
        once: bool,
        name: String,
    },
    Heartbeats {
        id: String,
        service: String,
        via: Option<String>,
    },
    Dies(String),
    LateHeartbeat(String, String),
    Expect(Expect),
}

#[derive(Debug, Clone, PartialEq)]
pub enum Expect {
    Answer(String, Vec<u16>),
    OneOf(Vec<String>, u16),
    InForce(String, u32),
    /// So many disks have what was put under a name.
    Kept(String, usize),
    Knows(String, String, Vec<String>),
    Voters(Vec<usize>),
    Leader {
        who: Option<String>,
        is: bool,
    },
    Read(u32),
}

#[derive(Debug, Clone, PartialEq)]
pub enum When {
    At(Millis),
    Kept(String, usize),
    Answered(String, u16),
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
