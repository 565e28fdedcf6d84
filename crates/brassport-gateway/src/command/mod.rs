//! The command line: its subcommands and options, and the exit code.

mod error;
mod subcommands;

pub use error::CommandError;

use gumdrop::Options;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code for a command line that is invalid or has no subcommand.
const USAGE_ERROR: u8 = 2;

/// Options before the command:
#[derive(Debug, Options)]
struct Arguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "print the version")]
    version: bool,
    #[options(command)]
    subcommand: Option<Subcommand>,
}

#[derive(Debug, Options)]
enum Subcommand {
    #[options(help = "run a gateway node with the settings file named by BRASSPORT_CONFIG")]
    Run(RunOptions),
    #[options(help = "validate a settings file (default: the one named by BRASSPORT_CONFIG)")]
    Check(FileOptions),
    #[options(help = "validate a configuration before it is sent to a node")]
    CheckConfiguration(FileOptions),
    #[options(help = "print the differences between two configurations")]
    Difference(DifferenceOptions),
    #[options(help = "print the state of running nodes, given the addresses of their control listeners")]
    Status(StatusOptions),
    #[options(help = "print the contents of a voter's store; the node that owns it must be stopped")]
    Store(FileOptions),
    #[options(help = "run a small complete site on the loopback network; see brassport-gateway try --help")]
    Try(TestbedOptions),
}

#[derive(Debug, Options)]
struct RunOptions {
    #[options(
        no_short,
        meta = "PORT",
        help = "serve metrics at http://ADDRESS:PORT/metrics, where ADDRESS is the node's own (default: off)"
    )]
    metrics_port: Option<u16>,
}

#[derive(Debug, Options)]
struct FileOptions {
    #[options(free, help = "the file")]
    file: Option<PathBuf>,
}

#[derive(Debug, Options)]
struct StatusOptions {
    #[options(free, help = "addresses of control listeners, such as 10.0.0.1:8381")]
    addresses: Vec<String>,
    #[options(no_short, help = "print the JSON answers, one on a line")]
    json: bool,
}

#[derive(Debug, Options)]
struct DifferenceOptions {
    #[options(free, help = "the older and the newer file")]
    files: Vec<PathBuf>,
}

#[derive(Debug, Options)]
struct TestbedOptions {
    #[options(free, help = "arguments of brassport-testbed, including its options")]
    arguments: Vec<String>,
}

/// Runs the subcommand of a command line; `arguments` excludes the name of the program.
pub fn main(arguments: &[String]) -> ExitCode {
    // Everything after `try` belongs to the testbed: its options must not be parsed as those of the gateway.
    if let Some(("try", rest)) = arguments.split_first().map(|(first, rest)| (first.as_str(), rest)) {
        return exit_code(subcommands::run_testbed(rest).map_err(Into::into));
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
    match arguments.subcommand.filter(|_| !arguments.help) {
        Some(subcommand) => exit_code(execute(subcommand)),
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
    println!("The API gateway.\n\nUsage: brassport-gateway COMMAND\n\n{}", Arguments::usage());
    println!("\nCommands:\n{}", Arguments::command_list().unwrap_or_default());
}

fn exit_code(result: miette::Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(report) => {
            eprintln!("brassport-gateway: {report:?}");
            ExitCode::FAILURE
        }
    }
}

fn execute(subcommand: Subcommand) -> miette::Result<()> {
    match subcommand {
        Subcommand::Run(RunOptions { metrics_port }) => subcommands::run(metrics_port),
        Subcommand::Check(FileOptions { file }) => subcommands::check(file),
        Subcommand::CheckConfiguration(FileOptions { file }) => subcommands::check_configuration(file),
        Subcommand::Difference(DifferenceOptions { files }) => subcommands::print_difference(&files),
        Subcommand::Status(StatusOptions { addresses, json }) => {
            let format = if json { subcommands::StatusFormat::Json } else { subcommands::StatusFormat::Text };
            Ok(subcommands::print_status(&addresses, format)?)
        }
        Subcommand::Store(FileOptions { file }) => subcommands::print_store(file),
        Subcommand::Try(TestbedOptions { arguments }) => Ok(subcommands::run_testbed(&arguments)?),
    }
}
