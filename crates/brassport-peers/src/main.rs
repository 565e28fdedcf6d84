//! `brassport-fleet`: the instances of a fleet of front doors, and what staff ask of them.
#![forbid(unsafe_code)]

mod commands;
mod run;
mod text;

use brassport_fleet::grants::Terms;
use brassport_peers::call::skew_wall_clock;
use brassport_peers::guard;
use brassport_peers::place::Place;
use clap::{Args, Parser, Subcommand};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::task::LocalSet;

/// A fleet of front doors that agrees on bans and settings, and can be audited (docs/operations/fleet.md).
#[derive(Parser)]
#[command(name = "brassport-fleet", version)]
struct Cli {
    #[command(subcommand)]
    command: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Make a directory for the first instance of a new fleet, with a new key
    Init(Begin),
    /// Make a directory for a further instance that votes, and let it in
    Join {
        #[command(flatten)]
        begin: Begin,
        #[command(flatten)]
        with: With,
    },
    /// Make a directory for a door that votes not
    Follow {
        dir: PathBuf,
        /// The door's name, its own in the fleet
        #[arg(long)]
        name: String,
        #[command(flatten)]
        with: With,
        #[command(flatten)]
        lengths: Lengths,
    },
    /// Run the instance, and its front door if one is named
    Run {
        dir: PathBuf,
        /// The front door's configuration, a file as BALANCER_CONFIG names on the platform
        #[arg(long)]
        front_door: Option<PathBuf>,
        /// For tests: a wall clock that is off by so many milliseconds
        #[arg(long, hide = true, default_value_t = 0, allow_negative_numbers = true)]
        wall_skew_ms: i64,
    },
    /// Say who leads, who votes, and which version each door has
    Status {
        #[command(flatten)]
        asks: Asks,
    },
    /// Publish a change for all doors
    Publish {
        #[command(flatten)]
        asks: Asks,
        /// Which matter: ban, settings, strictness, or one of a newer program's
        matter: String,
        /// Which of it: a node's name; empty for settings
        key: String,
        /// What holds from now on, as JSON, or @FILE for a file's text; `null` takes away what held
        body: String,
        #[command(flatten)]
        how: How,
    },
    /// Take a node out, at every door
    Ban {
        #[command(flatten)]
        asks: Asks,
        node: String,
        #[command(flatten)]
        how: How,
    },
    /// Put a node back, at every door
    CallBack {
        #[command(flatten)]
        asks: Asks,
        node: String,
        #[command(flatten)]
        how: How,
    },
    /// Wait until no door can act on a version older than this one
    Fence {
        #[command(flatten)]
        asks: Asks,
        version: u64,
        /// Seconds
        #[arg(long, default_value_t = 30.0)]
        wait: f64,
    },
    /// Take an instance's vote away, as when its machine is gone
    Leave {
        #[command(flatten)]
        asks: Asks,
        id: u64,
    },
    /// Say which door acted on which version, and when
    Audit {
        #[command(flatten)]
        asks: Asks,
        #[arg(long)]
        door: Option<String>,
        #[arg(long)]
        version: Option<u64>,
        /// An unsafe request, by its X-Request-Id
        #[arg(long)]
        request: Option<String>,
        /// Two moments, Unix milliseconds: FROM,TO
        #[arg(long)]
        between: Option<String>,
    },
    /// Say who holds each task of the fleet, with which token, what it did last, and why nobody does
    Tasks {
        #[command(flatten)]
        asks: Asks,
    },
    /// Have a task's holder give it up to another instance
    HandOver {
        #[command(flatten)]
        asks: Asks,
        task: String,
        /// The instance, by its name
        #[arg(long)]
        to: String,
        #[arg(long)]
        reason: String,
    },
    /// Let nobody hold a task, or let them again
    Hold {
        #[command(flatten)]
        asks: Asks,
        task: String,
        #[arg(long, conflicts_with = "on", required_unless_present = "on")]
        off: bool,
        #[arg(long)]
        on: bool,
        #[arg(long)]
        reason: String,
    },
    /// Stand between an instance and a task's command
    #[command(hide = true)]
    Guard {
        #[arg(long)]
        until: u64,
        #[arg(last = true)]
        words: Vec<String>,
    },
    /// Become a task's command, which dies with its guard
    #[command(hide = true)]
    Guarded {
        #[arg(last = true)]
        words: Vec<String>,
    },
    /// Go on with this instance alone, behind a majority that is lost for good
    Recover {
        dir: PathBuf,
        /// The other voters will never run again: one that does would be a second fleet of the same name
        #[arg(long)]
        others_are_gone: bool,
    },
}

#[derive(Args)]
struct Begin {
    dir: PathBuf,
    /// Its number, one of its own in the fleet, from 1
    #[arg(long, value_parser = clap::value_parser!(u64).range(1..))]
    id: u64,
    /// Where it listens for the others: ADDRESS:PORT
    #[arg(long)]
    listen: SocketAddr,
    #[command(flatten)]
    lengths: Lengths,
}

#[derive(Args)]
struct With {
    /// Instances to ask: ADDRESS:PORT, again for each
    #[arg(long, required = true)]
    through: Vec<SocketAddr>,
    /// The fleet's key: a copy of the file `key` of the first instance
    #[arg(long)]
    key_file: PathBuf,
}

#[derive(Args)]
struct Lengths {
    /// How long a door may act without word of the fleet, milliseconds; the same at all
    #[arg(long, default_value_t = Terms::default().length)]
    valid_ms: u64,
}

impl Lengths {
    fn terms(&self) -> Terms {
        let usual = Terms::default();
        let part = |of: u64| of * self.valid_ms / usual.length;
        Terms { length: self.valid_ms, silence: part(usual.silence), extension: self.valid_ms, ..usual }
    }
}

#[derive(Args)]
struct Asks {
    /// The directory of an instance or a door of the fleet
    dir: PathBuf,
    /// Answer in JSON
    #[arg(long)]
    json: bool,
}

#[derive(Args)]
struct How {
    /// Why; others will read it
    #[arg(long)]
    reason: String,
    /// Who; the account's name if not told
    #[arg(long, default_value_t = std::env::var("USER").unwrap_or_else(|_| "staff".into()))]
    author: String,
    /// A name for the change: published again by it, it is made once
    #[arg(long)]
    id: Option<String>,
    /// The version of this matter and key that you saw; if it has changed since, nothing is done
    #[arg(long)]
    seen: Option<u64>,
    /// Answer only when no door can act on an older version
    #[arg(long)]
    fence: bool,
    /// How long to wait for that, seconds
    #[arg(long, default_value_t = 30.0)]
    wait: f64,
}

impl How {
    /// For a change that needs no more than a reason.
    fn plain(reason: &str) -> How {
        let author = std::env::var("USER").unwrap_or_else(|_| "staff".into());
        How { reason: reason.into(), author, id: None, seen: None, fence: false, wait: 30.0 }
    }
}

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        Verb::Run { dir, front_door, wall_skew_ms } => {
            skew_wall_clock(wall_skew_ms);
            run::run(&Place(dir), front_door)
        }
        Verb::Guard { until, words } => guard::guard(until, &words),
        Verb::Guarded { words } => guard::guarded(&words),
        verb => {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let runtime = runtime.expect("a command needs an event queue");
            LocalSet::new().block_on(&runtime, commands::carry_out(verb))
        }
    };
    match done {
        Ok(code) => code,
        Err(problem) => {
            eprintln!("brassport-fleet: {problem}");
            ExitCode::FAILURE
        }
    }
}
