//! The command line: its verbs and options, and the exit code.

mod error;
mod verbs;

pub use error::CommandError;

use gumdrop::Options;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code of a command line that can't be read, or names no verb.
const USAGE_ERROR: u8 = 2;

/// Options in front of the verb.
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(command)]
    verb: Option<Verb>,
}

#[derive(Debug, Options)]
enum Verb {
    #[options(help = "run a door, as the settings file says that BRASSPORT_CONFIG names")]
    Run(RunOptions),
    #[options(help = "check a settings file, or the one that BRASSPORT_CONFIG names")]
    Check(File),
    #[options(help = "check a configuration of the operator's before it is sent")]
    CheckConfiguration(File),
    #[options(help = "say what differs between two configurations")]
    Difference(TwoFiles),
    #[options(
        help = "ask running doors (addresses of their control listeners): versions, duty, voters, who lags"
    )]
    Status(Addresses),
    #[options(help = "say what a voter's store holds; the process that owns it must not run")]
    Store(File),
    #[options(help = "try a whole small site on loopback; see brassport-gateway try --help")]
    Try(TestbedArguments),
}

#[derive(Debug, Options)]
struct RunOptions {
    #[options(
        no_short,
        meta = "PORT",
        help = "serve counters at http://ADDRESS:PORT/metrics, at the door's own address (none)"
    )]
    metrics_port: Option<u16>,
}

#[derive(Debug, Options)]
struct File {
    #[options(free, help = "the file")]
    file: Option<PathBuf>,
}

#[derive(Debug, Options)]
struct Addresses {
    #[options(free, help = "addresses as 10.0.0.1:8381")]
    addresses: Vec<String>,
    #[options(no_short, help = "print what each says, a line of JSON each")]
    json: bool,
}

#[derive(Debug, Options)]
struct TwoFiles {
    #[options(free, help = "the older and the newer file")]
    files: Vec<PathBuf>,
}

#[derive(Debug, Options)]
struct TestbedArguments {
    #[options(free, help = "the words of brassport-testbed, options among them")]
    words: Vec<String>,
}

/// Runs a command line, without the program's name in front.
pub fn main(arguments: &[String]) -> ExitCode {
    // The testbed's options are its own: they must not be read as the gateway's.
    if let Some(("try", rest)) = arguments.split_first().map(|(first, rest)| (first.as_str(), rest)) {
        return exit_code(verbs::run_testbed(rest).map_err(Into::into));
    }
    let arguments = match Arguments::parse_args_default(arguments) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("brassport-gateway: {error}; see brassport-gateway --help");
            return ExitCode::from(USAGE_ERROR);
        }
    };
    if arguments.version {
        println!("brassport-gateway {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match arguments.verb.filter(|_| !arguments.help) {
        Some(verb) => exit_code(execute(verb)),
        None => {
            print_help();
            if arguments.help {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(USAGE_ERROR)
            }
        }
    }
}

fn print_help() {
    println!("The gateway.\n\nbrassport-gateway VERB\n\n{}", Arguments::usage());
    println!("\nVerbs:\n{}", Arguments::command_list().unwrap_or_default());
}

fn exit_code(outcome: miette::Result<()>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("brassport-gateway: {report:?}");
            ExitCode::FAILURE
        }
    }
}

fn execute(verb: Verb) -> miette::Result<()> {
    match verb {
        Verb::Run(RunOptions { metrics_port }) => verbs::run(metrics_port),
        Verb::Check(File { file }) => verbs::check(file),
        Verb::CheckConfiguration(File { file }) => verbs::check_configuration(file),
        Verb::Difference(TwoFiles { files }) => verbs::print_difference(&files),
        Verb::Status(Addresses { addresses, json }) => {
            let format = if json { verbs::StatusFormat::Json } else { verbs::StatusFormat::Text };
            Ok(verbs::print_status(&addresses, format)?)
        }
        Verb::Store(File { file }) => verbs::print_store(file),
        Verb::Try(TestbedArguments { words }) => Ok(verbs::run_testbed(&words)?),
    }
}
