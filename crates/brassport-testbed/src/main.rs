//! Plays a complete small site on loopback once, and prints which rules were kept.
#![forbid(unsafe_code)]

use brassport_testbed::play::{block_on, play, Scenario};
use brassport_testbed::site::gateway_beside;
use gumdrop::Options;
use miette::miette;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this")]
    help: bool,
    #[options(
        long = "for",
        meta = "TIME",
        help = "how long there is traffic (10s)",
        parse(try_from_str = "seconds")
    )]
    length: Option<Duration>,
    #[options(no_short, meta = "N", help = "the door to kill, 1 to 5 (the one that acknowledged last)")]
    kill: Option<usize>,
    #[options(no_short, help = "print lines only, which is what it does anyway")]
    headless: bool,
    #[options(no_short, meta = "PROGRAM", help = "the gateway (the brassport-gateway beside this program)")]
    gateway: Option<PathBuf>,
    #[options(
        no_short,
        meta = "PROGRAM",
        help = "another build of the gateway, for the door that is rolled (the same)"
    )]
    other_gateway: Option<PathBuf>,
}

fn seconds(text: &str) -> Result<Duration, String> {
    let figure = text.strip_suffix('s').unwrap_or(text).parse::<f64>().ok();
    figure
        .and_then(|figure| Duration::try_from_secs_f64(figure).ok())
        .filter(|length| (1.0..=3600.0).contains(&length.as_secs_f64()))
        .ok_or_else(|| format!("{text:?} is no time from 1s to 3600s"))
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments = match Arguments::parse_args_default(&arguments) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("brassport-testbed: {error}; see brassport-testbed --help");
            return ExitCode::from(2);
        }
    };
    if arguments.help {
        println!("A whole small site on loopback for some seconds: five doors, six backends, an operator, clients.");
        println!("Kills a door, rolls another, and says which rules were kept.\n\n{}", Arguments::usage());
        return ExitCode::SUCCESS;
    }
    match run(arguments) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(report) => {
            eprintln!("brassport-testbed: {report}");
            if let Some(help) = report.help() {
                eprintln!("  {help}");
            }
            ExitCode::from(2)
        }
    }
}

fn run(arguments: Arguments) -> miette::Result<bool> {
    if arguments.kill.is_some_and(|node| !(1..=5).contains(&node)) {
        return Err(miette!(help = "doors are counted from 1 to 5", "--kill: there is no such door"));
    }
    let scenario = Scenario {
        length: arguments.length.unwrap_or(Duration::from_secs(10)),
        has_faults: true,
        kill: arguments.kill.map(|node| node - 1),
        program: arguments.gateway.map_or_else(gateway_beside, Ok)?,
        other_program: arguments.other_gateway,
    };
    let report = block_on(async {
        let listen = |kind| signal(kind).map_err(|error| miette!("signals: {error}"));
        let (mut interrupt, mut terminate) =
            (listen(SignalKind::interrupt())?, listen(SignalKind::terminate())?);
        // The nodes end with the play, also when it is broken off.
        tokio::select! {
            report = play(&scenario) => report,
            _ = interrupt.recv() => Err(miette!("interrupted")),
            _ = terminate.recv() => Err(miette!("told to end")),
        }
    })??;
    print!("{report}");
    Ok(report.is_good())
}
