//! The front door on the system's clock, network and signals.
#![forbid(unsafe_code)]

use brassport::clock::SystemClock;
use brassport::config::{self, Precedence};
use brassport::network::Tcp;
use brassport::run::{admin, handover};
use brassport::{log, run_gateway_with, Control, GatewayOptions, Upgrades};
use std::env;
use std::ffi::OsString;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Command, ExitCode};
use tokio::signal::unix::{signal, SignalKind};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, LocalSet};

fn main() -> ExitCode {
    // Guards against requests stranded by a task that is no more: a panic anywhere ends the process.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
    let words: Vec<_> = env::args_os().skip(1).collect();
    if let Some((first, rest)) = words.split_first() {
        return other(first.to_str().unwrap_or_default(), rest);
    }
    log::start_stderr_writer();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("brassport: {problem}");
            ExitCode::FAILURE
        }
    }
}

const HELP: &str = "\
The front door of a render fleet.

  brassport                  serve on the platform, as BALANCER_CONFIG says; a second one takes its place (upgrade)
  brassport --config FILE    serve as the file says, with its sources of nodes (Nomad, DNS, a file)
  brassport check-config FILE  check such a file without starting
  brassport nodes book|why NAME  what the sources of a running appliance say
  brassport try              run a whole site on loopback, and watch it
  brassport appliance ...    the small-site appliance: init, run, console, nodes, ...; see --help there
  brassport fleet ...        a fleet that agrees on bans and settings, and its tasks: init, join, run, publish, audit, tasks, ...; see --help there
  brassport --version        the version

On the platform: BALANCER_CONFIG names the file; BALANCER_LISTEN, BALANCER_DISCOVERY and BALANCER_ADMIN_ADDR go before
what it says. SIGHUP takes new settings, SIGTERM ends in order. Staff: docs/operations/on-call.md";

/// Whatever has words on its command line: help, or the appliance or the fleet, which are programs of their own so that
/// the front door on the platform carries nothing of them.
fn other(first: &str, rest: &[OsString]) -> ExitCode {
    let mut program = "brassport-appliance";
    let mut words = match first {
        "--help" | "-h" | "help" => {
            println!("{HELP}");
            return ExitCode::SUCCESS;
        }
        "--version" | "-V" => {
            println!("brassport {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        "--config" => vec![OsString::from("serve"), OsString::from("--config")],
        "try" | "check-config" | "nodes" => vec![OsString::from(first)],
        "appliance" => Vec::new(),
        "fleet" => {
            program = "brassport-fleet";
            Vec::new()
        }
        _ => {
            eprintln!("brassport: '{first}' is no command; see --help");
            return ExitCode::from(2);
        }
    };
    words.extend(rest.iter().cloned());
    let beside = env::current_exe().unwrap_or_default().with_file_name(program);
    let error = Command::new(&beside).args(words).exec();
    eprintln!(
        "brassport: cannot start {}: {error}; `cargo build --release --workspace` makes it",
        beside.display()
    );
    ExitCode::FAILURE
}

fn run() -> Result<(), String> {
    let read = config::read(Precedence::Environment);
    let (listen, admin) = match &read {
        Ok(config) => (Some(config.listen), config.admin),
        // A process that serves may have a file that is sound, and the environment tells how to find it.
        Err(_) => (config::told("BALANCER_LISTEN"), config::told("BALANCER_ADMIN_ADDR")),
    };
    // Before anything else: a start that cannot serve its operators is none.
    let admin_handle = admin.map(|at| admin::listen(at, std::sync::Arc::default())).transpose()?;
    let folder = env::var_os("TMPDIR").map(PathBuf::from);
    let place = admin_handle.as_ref().and(listen).and_then(|listen| handover::place(listen, folder));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| format!("cannot start: {error}"))?;
    LocalSet::new().block_on(&runtime, async {
        let (controls, control) = mpsc::unbounded_channel();
        let take = |kind| signal(kind).map_err(|error| format!("cannot take signals: {error}"));
        let (mut terminate, mut reload) = (take(SignalKind::terminate())?, take(SignalKind::hangup())?);
        spawn_local(async move {
            loop {
                let told = tokio::select! {
                    biased;
                    _ = terminate.recv() => Control::Terminate,
                    _ = reload.recv() => Control::Reload(Box::new(config::read(Precedence::File))),
                };
                if controls.send(told).is_err() {
                    return;
                }
            }
        });
        let taken = match &place {
            Some(place) => handover::take(place, &SystemClock).await,
            None => None,
        };
        let config = match (read, &taken) {
            (Err(problem), Some(taken)) => {
                let theirs =
                    config::parse(&taken.offer.file, Precedence::Environment, |name| env::var(name).ok());
                let config = theirs.map_err(|_| problem.clone())?;
                log::write_line(format!("starts with the file of the process that serves: {problem}"));
                config
            }
            (read, _) => read?,
        };
        let upgrades = place.map(|at| Upgrades { at, taken });
        let options = GatewayOptions { admin: admin_handle, upgrades, ..GatewayOptions::default() };
        run_gateway_with(config, SystemClock, Tcp, control, options).await
    })
}
