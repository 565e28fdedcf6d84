//! The gateway on the operating system's clock, network and signals.
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
    // A panic anywhere aborts the process: otherwise the requests of a task that panicked would never be answered.
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        std::process::abort();
    }));
    let arguments: Vec<_> = env::args_os().skip(1).collect();
    if let Some((first, rest)) = arguments.split_first() {
        return run_subcommand(first.to_str().unwrap_or_default(), rest);
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
API gateway for a render fleet.

  brassport                      serve on the platform, configured by BALANCER_CONFIG; takes over from a running process
  brassport --config FILE        serve as configured in FILE, with its membership sources (Nomad, DNS, a file)
  brassport check-config FILE    validate such a file without starting
  brassport nodes book|why NAME  show what the sources of a running appliance report
  brassport try                  run a complete site on loopback, and watch it
  brassport appliance ...        the small-site appliance: init, run, console, nodes, ...; see its --help
  brassport fleet ...            a fleet that agrees on bans and settings, and its tasks: init, join, run, publish, audit,
                                 tasks, ...; see its --help
  brassport --version            print the version

On the platform, BALANCER_CONFIG is the path of the configuration; BALANCER_LISTEN, BALANCER_DISCOVERY and
BALANCER_ADMIN_ADDR take precedence over its values. SIGHUP reloads it, SIGTERM shuts down gracefully. Operators: see
docs/operations/on-call.md";

/// Runs a subcommand: help and the version here, the appliance and the fleet by replacing this process with their own
/// programs, so that the gateway on the platform contains none of their code.
fn run_subcommand(first: &str, rest: &[OsString]) -> ExitCode {
    let mut program = "brassport-appliance";
    let mut arguments = match first {
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
            eprintln!("brassport: unknown command '{first}'; see --help");
            return ExitCode::from(2);
        }
    };
    arguments.extend(rest.iter().cloned());
    let path = env::current_exe().unwrap_or_default().with_file_name(program);
    let error = Command::new(&path).args(arguments).exec();
    eprintln!(
        "brassport: cannot start {}: {error}; `cargo build --release --workspace` builds it",
        path.display()
    );
    ExitCode::FAILURE
}

fn run() -> Result<(), String> {
    let read = config::read(Precedence::Environment);
    let (listen, admin) = match &read {
        Ok(config) => (Some(config.listen), config.admin),
        // The running process may have a valid configuration; the environment has the address at which to find it.
        Err(_) => {
            (config::address_from_env("BALANCER_LISTEN"), config::address_from_env("BALANCER_ADMIN_ADDR"))
        }
    };
    // First of all, as a gateway that cannot serve its operators must not start.
    let admin_handle = admin.map(|at| admin::listen(at, std::sync::Arc::default())).transpose()?;
    let directory = env::var_os("TMPDIR").map(PathBuf::from);
    let socket_path =
        admin_handle.as_ref().and(listen).and_then(|listen| handover::socket_path(listen, directory));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| format!("cannot start: {error}"))?;
    LocalSet::new().block_on(&runtime, async {
        let (controls, control) = mpsc::unbounded_channel();
        let listen_for =
            |kind| signal(kind).map_err(|error| format!("cannot install signal handlers: {error}"));
        let (mut terminate, mut reload) =
            (listen_for(SignalKind::terminate())?, listen_for(SignalKind::hangup())?);
        spawn_local(async move {
            loop {
                let control = tokio::select! {
                    biased;
                    _ = terminate.recv() => Control::Terminate,
                    _ = reload.recv() => Control::Reload(Box::new(config::read(Precedence::File))),
                };
                if controls.send(control).is_err() {
                    return;
                }
            }
        });
        let takeover = match &socket_path {
            Some(path) => handover::take_over(path, &SystemClock).await,
            None => None,
        };
        let config = match (read, &takeover) {
            (Err(problem), Some(takeover)) => {
                let running = config::parse(&takeover.offer.config_text, Precedence::Environment, |name| {
                    env::var(name).ok()
                });
                let config = running.map_err(|_| problem.clone())?;
                log::write_line(format!("starts with the file of the process that serves: {problem}"));
                config
            }
            (read, _) => read?,
        };
        let upgrades = socket_path.map(|socket_path| Upgrades { socket_path, takeover });
        let options = GatewayOptions { admin: admin_handle, upgrades, ..GatewayOptions::default() };
        run_gateway_with(config, SystemClock, Tcp, control, options).await
    })
}
