//! Plays a whole small site on loopback, and says which rules were kept.
#![forbid(unsafe_code)]

use brassport_testbed::play::{block_on, play, Terms};
use brassport_testbed::site::gateway_beside;
use gumdrop::Options;
use miette::miette;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tokio::signal::unix::{signal, SignalKind};

#[derive(Debug, Options)]
struct Words {
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
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words = match Words::parse_args_default(&words) {
        Ok(words) => words,
        Err(error) => {
            eprintln!("brassport-testbed: {error}; see brassport-testbed --help");
            return ExitCode::from(2);
        }
    };
    if words.help {
        println!("A whole small site on loopback for some seconds: five doors, six backends, an operator, clients.");
        println!("Kills a door, rolls another, and says which rules were kept.\n\n{}", Words::usage());
        return ExitCode::SUCCESS;
    }
    match run(words) {
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

fn run(words: Words) -> miette::Result<bool> {
    if words.kill.is_some_and(|door| !(1..=5).contains(&door)) {
        return Err(miette!(help = "doors are counted from 1 to 5", "--kill: there is no such door"));
    }
    let terms = Terms {
        length: words.length.unwrap_or(Duration::from_secs(10)),
        has_faults: true,
        kill: words.kill.map(|door| door - 1),
        program: words.gateway.map_or_else(gateway_beside, Ok)?,
        other_program: words.other_gateway,
    };
    let report = block_on(async {
        let told = |kind| signal(kind).map_err(|error| miette!("signals: {error}"));
        let (mut interrupt, mut terminate) = (told(SignalKind::interrupt())?, told(SignalKind::terminate())?);
        // The doors end with the play, also when it is broken off.
        tokio::select! {
            report = play(&terms) => report,
            _ = interrupt.recv() => Err(miette!("interrupted")),
            _ = terminate.recv() => Err(miette!("told to end")),
        }
    })??;
    print!("{report}");
    Ok(report.is_good())
}
