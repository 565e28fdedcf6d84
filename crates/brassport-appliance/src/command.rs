//! The command line: what can be asked for, and how answers are shown.

use crate::client::{self, Client};
use crate::place::{Place, STATE};
use crate::protocol::{Ask, BookNow, History, Nodes, Plans, Status, Unfinished};
use crate::{console, control, run, serve, trial, Failure};
use brassport_membership::book::{Explanation, State as Lists};
use brassport_state::model::{Action, Change, Lifecycle, NewNode};
use brassport_state::store::Done;
use clap::{Args, CommandFactory, Parser, Subcommand};
use serde::de::DeserializeOwned;
use serde_json::Value;
use std::io::{self, BufRead, IsTerminal, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::AtomicBool;
use std::time::{Duration, Instant};

const EXITS: &str = "Exit codes:
  0  done
  1  failed; the message says what, where and the way out
  2  the command line makes no sense
  3  no appliance runs on this state
  4  the change was refused; the state is as it was
  5  the state is missing, damaged or of a newer version
  6  another process uses the state
  7  `try`: a rule was broken";

/// The small-site appliance: a front door for render nodes, with its state in one directory.
///
/// Start with `try`, or with `init` and `run`; then `nodes add`.
#[derive(Debug, Parser)]
#[command(name = "brassport", version, after_help = EXITS)]
pub struct Line {
    /// The state directory.
    #[arg(
        long,
        global = true,
        value_name = "DIR",
        env = "BRASSPORT_STATE",
        default_value = "brassport-state"
    )]
    state: PathBuf,
    /// Print answers and errors as JSON.
    #[arg(long, global = true)]
    pub json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Write a configuration with comments and an empty state, whichever is missing; overwrites nothing.
    Init {
        /// Where clients will connect; asked for on a terminal if not given.
        #[arg(long, value_name = "ADDRESS:PORT")]
        listen: Option<SocketAddr>,
    },
    /// Serve, in the foreground, until `stop`, SIGTERM or Ctrl-C. A second one ends at once.
    Run,
    /// Serve without a state directory, with the nodes that the sources in the file tell of.
    Serve {
        /// As `appliance.toml`, with at least one table `source`.
        #[arg(long, value_name = "FILE")]
        config: PathBuf,
    },
    /// Check a configuration, and the files that it names, without starting.
    CheckConfig {
        #[arg(value_name = "FILE")]
        file: PathBuf,
    },
    /// Watch the running appliance, and change it, from this terminal.
    Console,
    /// Show the running appliance.
    Status,
    /// The list of nodes.
    #[command(subcommand)]
    Nodes(NodesCommand),
    /// The plans of studios.
    #[command(subcommand)]
    Plans(PlansCommand),
    /// Changes of the state: who, when and what.
    History {
        /// Most changes to show, the latest first.
        #[arg(long, default_value_t = 20)]
        limit: usize,
        /// Show those before this revision.
        #[arg(long, default_value_t = u64::MAX, hide_default_value = true)]
        before: u64,
    },
    /// Unsafe requests that were out when the appliance was cut off: they may have run. Nothing sends them again.
    Unfinished {
        /// Forget those up to this number.
        #[arg(long, value_name = "NUMBER")]
        clear: Option<u64>,
    },
    /// End in order: what is in hand gets its answer first.
    Stop {
        /// Cut an end short that is under way.
        #[arg(long)]
        now: bool,
    },
    /// Copy the state into a file, whole or not at all; also while the appliance runs.
    Backup { file: PathBuf },
    /// Bring a backup back. It is checked first; the state it replaces is kept beside it.
    Restore {
        file: PathBuf,
        /// Replace a state that is there.
        #[arg(long)]
        force: bool,
    },
    /// Check every page of the state, or of a backup.
    Verify { file: Option<PathBuf> },
    /// Run a whole site on loopback: the appliance, three stand-in nodes and a load of studios.
    Try(trial::Options),
    /// Print a completion script.
    Completions { shell: clap_complete::Shell },
}

#[derive(Debug, Subcommand)]
enum NodesCommand {
    /// Show the list that is stored here.
    List,
    /// Show what all sources together say, and how old that is.
    Book,
    /// Say why a node is listed as it is: what each source says of it.
    Why { name: String },
    /// Add a node. It starts cold, with little work, unless it has been running.
    Add {
        name: String,
        #[arg(value_name = "ADDRESS:PORT")]
        endpoint: SocketAddr,
        /// Its size against the other nodes'.
        #[arg(long, default_value_t = 1.0)]
        size: f64,
        #[arg(long, default_value = "")]
        zone: String,
        /// Nodes of one group share which keyed requests they have seen.
        #[arg(long, default_value_t = 0)]
        group: u16,
        /// It is warm: no slow start.
        #[arg(long)]
        warm: bool,
        #[command(flatten)]
        change: ChangeOptions,
    },
    /// Send a node nothing new; it stays in the list, through restarts too.
    Drain {
        name: String,
        #[command(flatten)]
        change: ChangeOptions,
    },
    /// End a drain.
    Resume {
        name: String,
        #[command(flatten)]
        change: ChangeOptions,
    },
    /// Take a node out of the list.
    Remove {
        name: String,
        #[command(flatten)]
        change: ChangeOptions,
    },
    /// Make a file's list the whole list: JSON, [{"name": ..., "endpoint": ..., "size": 1}, ...]; `-` reads standard
    /// input. Nodes that stay keep their drain.
    Import {
        file: PathBuf,
        #[command(flatten)]
        change: ChangeOptions,
    },
}

#[derive(Debug, Subcommand)]
enum PlansCommand {
    /// Show the plans, and the studios that have one of their own.
    List,
    /// Give a studio a plan; without PLAN it has none of its own any more.
    Set {
        /// The studio's number, 16 hexadecimal digits, as its cookie `client` says it.
        #[arg(value_parser = studio)]
        studio: u64,
        plan: Option<String>,
        #[command(flatten)]
        change: ChangeOptions,
    },
}

#[derive(Debug, Args)]
struct ChangeOptions {
    /// Names this change: asked for twice under one id, it is made once.
    #[arg(long)]
    id: Option<String>,
    /// The node's revision that you were looking at; refused if it was changed since.
    #[arg(long, value_name = "REVISION")]
    seen: Option<u64>,
}

fn studio(text: &str) -> Result<u64, String> {
    let number = u64::from_str_radix(text, 16).map_err(|_| "not a number in hexadecimal".to_string())?;
    if number >> 33 == 0 {
        Ok(number)
    } else {
        Err("studios are numbers below 2^33".into())
    }
}

pub fn carry_out(line: Line) -> Result<(), Failure> {
    let place = Place::new(&line.state);
    let json = line.json;
    let ask = |ask: Ask| client::ask(&place, ask);
    match line.command {
        Command::Init { listen } => {
            let listen = match listen {
                Some(listen) => listen,
                None => ask_listen()?,
            };
            let written = client::init(&place, listen)?;
            show(json, &Value::Null, |out| {
                let (dir, written) = (place.path.display(), written.join(" and "));
                writeln!(out, "wrote {written} in {dir}\nnext: `run`, then `nodes add NAME ADDRESS:PORT`")
            })
        }
        Command::Run => run::run(&place),
        Command::Serve { config } => serve::serve(&config),
        Command::CheckConfig { file } => {
            let sources = serve::check(&file)?.sources.len();
            show(json, &serde_json::json!({ "sources": sources }), |out| {
                writeln!(out, "{} is good, with {sources} sources", file.display())
            })
        }
        Command::Console => console::run(&place, &AtomicBool::new(false)),
        Command::Status => {
            let value = ask(Ask::Status)?;
            let status: Status = read(&value)?;
            show(json, &value, |out| print_status(out, &status))
        }
        Command::Nodes(NodesCommand::List) => {
            let value = ask(Ask::Nodes)?;
            let nodes: Nodes = read(&value)?;
            show(json, &value, |out| print_nodes(out, &nodes))
        }
        Command::Nodes(NodesCommand::Book) => {
            let value = ask(Ask::Book)?;
            let book: BookNow = read(&value)?;
            show(json, &value, |out| print_book(out, &book))
        }
        Command::Nodes(NodesCommand::Why { name }) => {
            let book: BookNow = read(&ask(Ask::Book)?)?;
            let node = book.nodes.into_iter().find(|node| node.id == name);
            let node = node.ok_or_else(|| Failure::failed(format!("no source lists a node '{name}'")))?;
            show(json, &control::value(&node), |out| print_node(out, &node))
        }
        Command::Nodes(command) => {
            let (action, options) = node_change(command)?;
            change(&place, json, action, options)
        }
        Command::Plans(PlansCommand::List) => {
            let value = ask(Ask::Plans)?;
            let plans: Plans = read(&value)?;
            show(json, &value, |out| {
                for plan in &plans.plans {
                    let mark = if plan.default { " (default)" } else { "" };
                    writeln!(
                        out,
                        "{:<16} {} units/s, burst {}{mark}",
                        plan.name, plan.units_per_s, plan.burst
                    )?;
                }
                for (studio, plan) in &plans.studios {
                    writeln!(out, "studio {studio}  {plan}")?;
                }
                Ok(())
            })
        }
        Command::Plans(PlansCommand::Set { studio, plan, change: options }) => {
            change(&place, json, Action::SetPlan { studio, plan }, options)
        }
        Command::History { limit, before } => {
            let value = ask(Ask::History { before, limit })?;
            let history: History = read(&value)?;
            show(json, &value, |out| {
                for entry in &history.entries {
                    let back = if entry.clock_set_back { "  (the clock had been set back)" } else { "" };
                    let what = serde_json::to_string(&entry.change.action).unwrap_or_default();
                    let (at, who) = (time(entry.change.at_ms), &entry.change.who);
                    writeln!(out, "{:>8}  {at}  {who:<12} {what}{back}", entry.revision)?;
                }
                Ok(())
            })
        }
        Command::Unfinished { clear: Some(upto) } => {
            let value = ask(Ask::ClearUnfinished { upto })?;
            show(json, &value, |out| writeln!(out, "forgotten up to number {upto}"))
        }
        Command::Unfinished { clear: None } => {
            let value = ask(Ask::Unfinished)?;
            let rows: Vec<Unfinished> = read(&value)?;
            show(json, &value, |out| {
                for Unfinished { number, sent } in &rows {
                    let (at, class, node) = (time(sent.at_ms), &sent.class, &sent.node);
                    let (studio, request) = (sent.studio, &sent.request);
                    writeln!(out, "{number:>6}  {at}  {class} of {studio:016x} sent to {node}: {request}")?;
                }
                Ok(())
            })
        }
        Command::Stop { now } => stop(&place, now, json),
        Command::Backup { file } => {
            let (directory, name) = split(&file)?;
            let value = ask(Ask::Backup { directory, name })?;
            show(json, &value, |out| writeln!(out, "wrote {}", file.display()))
        }
        Command::Restore { file, force } => {
            let revision = client::restore(&place, &file, force)?;
            show(json, &serde_json::json!({ "revision": revision }), |out| {
                writeln!(out, "{} is back at revision {revision}", place.file(STATE).display())
            })
        }
        Command::Verify { file } => verify(&place, file.as_deref(), json),
        Command::Try(options) => trial::run(&options, json),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Line::command(), "brassport-appliance", &mut io::stdout());
            Ok(())
        }
    }
}

fn word(state: Lists) -> &'static str {
    match state {
        Lists::Ready => "ready",
        Lists::Draining => "draining",
        Lists::Gone => "gone",
    }
}

/// An age in the largest unit that leaves a whole number.
fn age(ms: u64) -> String {
    match ms {
        0..1_000 => format!("{ms} ms"),
        1_000..120_000 => format!("{} s", ms / 1_000),
        120_000..7_200_000 => format!("{} min", ms / 60_000),
        _ => format!("{} h", ms / 3_600_000),
    }
}

fn print_book(out: &mut dyn Write, book: &BookNow) -> io::Result<()> {
    for source in &book.sources {
        let heard =
            source.heard_ms.map_or("not heard of yet".to_string(), |ms| format!("heard {} ago", age(ms)));
        let whole = if source.told { "" } else { ", no whole list yet" };
        writeln!(out, "source {:<16} {} nodes, {heard}{whole}", source.name, source.nodes)?;
    }
    for node in &book.nodes {
        let at = node.address.map_or("-".to_string(), |at| at.to_string());
        let (state, since) = (word(node.state), age(node.age_ms));
        writeln!(out, "{:<24} {at:<22} {state:<9} {since:>8}  {}", node.id, node.because)?;
    }
    Ok(())
}

fn print_node(out: &mut dyn Write, node: &Explanation) -> io::Result<()> {
    writeln!(out, "{} is {} for {}: {}", node.id, word(node.state), age(node.age_ms), node.because)?;
    for said in &node.words {
        let at = said.address.map_or("no address".to_string(), |at| at.to_string());
        let note = if said.note.is_empty() { String::new() } else { format!(" ({})", said.note) };
        let (says, since) = (word(said.says), age(said.age_ms));
        writeln!(out, "  {:<16} {says}{note} at {at}, revision {}, {since} ago", said.source, said.revision)?;
    }
    Ok(())
}

fn ask_listen() -> Result<SocketAddr, Failure> {
    const USUAL: &str = "127.0.0.1:8080";
    let mut text = String::new();
    if io::stdin().is_terminal() {
        eprint!("Where should clients connect? [{USUAL}] ");
        let read = io::stdin().lock().read_line(&mut text);
        read.map_err(|error| Failure::failed(format!("standard input: {error}")))?;
    }
    let text = if text.trim().is_empty() { USUAL } else { text.trim() };
    text.parse().map_err(|_| Failure::failed(format!("'{text}' is no address with a port")))
}

fn read<T: DeserializeOwned>(value: &Value) -> Result<T, Failure> {
    T::deserialize(value).map_err(|error| Failure::failed(format!("the answer makes no sense: {error}")))
}

/// A reader that is gone ends the output, and is no failure of the command.
fn show(
    json: bool,
    value: &Value,
    print: impl FnOnce(&mut dyn Write) -> io::Result<()>,
) -> Result<(), Failure> {
    let mut out = io::stdout().lock();
    let shown = if json { writeln!(out, "{value}") } else { print(&mut out) };
    match shown.and_then(|()| out.flush()) {
        Err(error) if error.kind() != io::ErrorKind::BrokenPipe => {
            Err(Failure::failed(format!("standard output: {error}")))
        }
        _ => Ok(()),
    }
}

fn node_change(command: NodesCommand) -> Result<(Action, ChangeOptions), Failure> {
    Ok(match command {
        NodesCommand::Add { name, endpoint, size, zone, group, warm, change } => {
            (Action::AddNode { name, endpoint, zone, group, size, warm }, change)
        }
        NodesCommand::Drain { name, change } => (Action::DrainNode { name }, change),
        NodesCommand::Resume { name, change } => (Action::ResumeNode { name }, change),
        NodesCommand::Remove { name, change } => (Action::RemoveNode { name }, change),
        NodesCommand::Import { file, change } => (Action::ImportNodes { nodes: import(&file)? }, change),
        NodesCommand::List | NodesCommand::Book | NodesCommand::Why { .. } => unreachable!("is no change"),
    })
}

fn import(file: &Path) -> Result<Vec<NewNode>, Failure> {
    let failed = |problem: String| Failure::failed(format!("{}: {problem}", file.display()));
    let mut text = String::new();
    if file == Path::new("-") {
        io::stdin().read_to_string(&mut text).map_err(|error| failed(error.to_string()))?;
    } else {
        text = std::fs::read_to_string(file).map_err(|error| failed(error.to_string()))?;
    }
    serde_json::from_str(&text).map_err(|error| failed(format!("{error}; nothing was changed")))
}

fn change(place: &Place, json: bool, action: Action, options: ChangeOptions) -> Result<(), Failure> {
    let since = std::time::UNIX_EPOCH.elapsed().unwrap_or_default();
    let id = options.id.unwrap_or_else(|| format!("cli-{}-{}", std::process::id(), since.as_nanos()));
    // Who and when are filled in by whoever keeps the state.
    let change = Change { id, who: "cli".into(), at_ms: 0, seen: options.seen, action };
    let value = client::ask(place, Ask::Change { change })?;
    let done: Done = read(&value)?;
    show(json, &value, |out| {
        let repeated = if done.repeated { ", made before" } else { "" };
        writeln!(out, "revision {}{repeated}", done.revision)
    })
}

fn split(file: &Path) -> Result<(String, String), Failure> {
    let failed = || Failure::failed(format!("{}: no file's name", file.display()));
    let name = file.file_name().and_then(|name| name.to_str()).ok_or_else(failed)?;
    let parent = match file.parent() {
        Some(parent) if !parent.as_os_str().is_empty() => parent,
        _ => Path::new("."),
    };
    // The appliance may stand in another directory.
    let directory = std::fs::canonicalize(parent)
        .map_err(|error| Failure::failed(format!("{}: {error}", parent.display())))?;
    Ok((directory.to_str().ok_or_else(failed)?.to_string(), name.to_string()))
}

/// Asks for the end and waits until the state is free.
fn stop(place: &Place, now: bool, json: bool) -> Result<(), Failure> {
    /// A planned end lasts up to 3.7 s; the disk may be slow.
    const MOST: Duration = Duration::from_secs(15);
    let mut client = Client::connect(place)?.ok_or_else(|| Failure::not_running(place))?;
    client.ask(Ask::Stop { now })?;
    let asked = Instant::now();
    while asked.elapsed() < MOST {
        if place.lock().is_ok() {
            return show(json, &Value::Null, |out| writeln!(out, "stopped"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(Failure::failed(format!("it was told to stop and still runs after {} s", MOST.as_secs())))
}

fn verify(place: &Place, file: Option<&Path>, json: bool) -> Result<(), Failure> {
    let store = match file {
        None => {
            let _lock = run::lock(place)?;
            run::open(place)?
        }
        Some(file) => {
            // A copy is looked at: opening a state may write to it, and a backup stays as it is.
            let directory = std::env::temp_dir();
            let name = format!("brassport-verify-{}", std::process::id());
            let copy = directory.join(&name);
            std::fs::copy(file, &copy)
                .map_err(|error| Failure::failed(format!("{}: {error}", file.display())))?;
            let opened = run::open_file(&directory, &name);
            let _ = std::fs::remove_file(&copy);
            opened.map_err(|mut failure| {
                let problem = &mut failure.problem.message;
                *problem = problem.replace(&copy.display().to_string(), &file.display().to_string());
                failure
            })?
        }
    };
    let state = store.state();
    let draining = state.nodes.values().filter(|node| node.lifecycle == Lifecycle::Draining).count();
    let value = serde_json::json!({
        "revision": state.revision, "nodes": state.nodes.len(), "draining": draining,
        "studios": state.plans.len(), "unfinished": store.unfinished_count(),
    });
    show(json, &value, |out| {
        let (revision, nodes, unfinished) = (state.revision, state.nodes.len(), store.unfinished_count());
        writeln!(
            out,
            "sound: revision {revision}, {nodes} nodes ({draining} draining), {unfinished} unfinished"
        )
    })
}

/// A moment of the wall clock in UTC, as ISO 8601 writes it.
pub fn time(unix_ms: u64) -> String {
    let (days, second) = (unix_ms / 86_400_000, unix_ms / 1000 % 86_400);
    // The date of a day number, by Howard Hinnant's `civil_from_days`, for days since 1970.
    let shifted = days + 719_468;
    let (era, day) = (shifted / 146_097, shifted % 146_097);
    let year = (day - day / 1460 + day / 36_524 - day / 146_096) / 365;
    let in_year = day - (365 * year + year / 4 - year / 100);
    let month = (5 * in_year + 2) / 153;
    let date = in_year - (153 * month + 2) / 5 + 1;
    let (month, year) = if month < 10 { (month + 3, year) } else { (month - 9, year + 1) };
    let year = year + 400 * era;
    format!("{year:04}-{month:02}-{date:02}T{:02}:{:02}:{:02}Z", second / 3600, second / 60 % 60, second % 60)
}

fn print_nodes(out: &mut dyn Write, nodes: &Nodes) -> io::Result<()> {
    writeln!(out, "{:<20} {:<22} {:<9} {:>6} {:>9}", "NODE", "ENDPOINT", "STATE", "SIZE", "REVISION")?;
    for (name, node) in &nodes.nodes {
        let (endpoint, state) = (node.endpoint.to_string(), lifecycle(node.lifecycle));
        writeln!(out, "{name:<20} {endpoint:<22} {state:<9} {:>6} {:>9}", node.size, node.revision)?;
    }
    Ok(())
}

pub fn lifecycle(lifecycle: Lifecycle) -> &'static str {
    match lifecycle {
        Lifecycle::Ready => "ready",
        Lifecycle::Draining => "draining",
    }
}

fn print_status(out: &mut dyn Write, status: &Status) -> io::Result<()> {
    let ending = if status.ending { ", ending" } else { "" };
    writeln!(
        out,
        "{} (process {}, up {} s{ending}): {} in flight of {:.0}, room {:.0}%, {} connections, revision {}",
        status.listen,
        status.pid,
        status.uptime_ms / 1000,
        status.in_flight,
        status.limit,
        100.0 * status.room,
        status.client_connections,
        status.revision
    )?;
    if let Some(problem) = &status.read_only {
        writeln!(out, "CHANGES ARE NOT TAKEN: {problem}")?;
    }
    if status.unfinished > 0 {
        writeln!(
            out,
            "{} unsafe requests of earlier lives may have run; see `unfinished`",
            status.unfinished
        )?;
    }
    if status.unrecorded > 0 {
        writeln!(out, "{} unsafe requests were sent without a durable record", status.unrecorded)?;
    }
    for source in &status.sources {
        let heard =
            source.heard_ms.map_or("never heard".into(), |ms| format!("heard {:.1} s ago", ms as f64 / 1e3));
        let whole = if source.told { "" } else { ", has told no whole list yet" };
        writeln!(out, "source {:<16} {} nodes, {heard}{whole}", source.name, source.nodes)?;
    }
    if status.disputed.0 > 0 {
        writeln!(out, "the sources disagree on {}: {}", status.disputed.0, status.disputed.1.join(", "))?;
    }
    if !status.sources.is_empty() {
        writeln!(out, "{} rows of the last-known list are durable", status.last_known)?;
    }
    for (class, counts) in &status.classes {
        let (served, refused, failed) = (counts.served, counts.refused, counts.failed);
        writeln!(
            out,
            "{class:<16} served {served}, refused {refused}, failed {failed}, left {}",
            counts.left
        )?;
    }
    for node in &status.nodes {
        let answer = node.answer_ms.map_or("-".into(), |ms| format!("{ms:.0} ms"));
        let last = node
            .last
            .as_ref()
            .map_or("-".into(), |(how, ago)| format!("{how} {:.1} s ago", *ago as f64 / 1e3));
        writeln!(
            out,
            "node {:<16} {:<9} warm {:>3.0}%  in flight {:<3} served {:<6} troubled {:<4} answers {answer}, {last}",
            node.name,
            lifecycle(node.lifecycle),
            100.0 * node.warmth,
            node.in_flight,
            node.served,
            node.troubled
        )?;
    }
    for studio in &status.studios {
        let used = studio.used.map_or("-".into(), |used| format!("{:.0}%", 100.0 * used));
        let (served, refused) = (studio.counts.served, studio.counts.refused);
        let why = studio.last_refusal.as_ref().map_or(String::new(), |(why, _)| format!(" ({why})"));
        writeln!(
            out,
            "studio {} {:<12} used {used:<5} served {served}, refused {refused}{why}",
            studio.studio, studio.plan
        )?;
    }
    for event in status.events.iter().rev().take(5).rev() {
        writeln!(out, "{}  {}", time(event.at_ms), event.text)?;
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_command_line_is_sound() {
        Line::command().debug_assert();
    }

    #[test]
    fn moments_are_told_in_utc() {
        assert_eq!(time(0), "1970-01-01T00:00:00Z");
        assert_eq!(time(951_782_400_000), "2000-02-29T00:00:00Z");
        assert_eq!(time(1_796_119_445_000), "2026-12-01T10:04:05Z");
    }

    #[test]
    fn a_studio_is_named_as_its_cookie_says() {
        assert_eq!(studio("000000000000001f"), Ok(31));
        assert!(studio("ffffffffffffffff").is_err() && studio("x").is_err());
    }
}
