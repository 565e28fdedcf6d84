//! The subcommands, one function for each. Each prints its result to standard output and returns its error, which the
//! caller prints.

use super::CommandError;
use crate::settings::{file_from_environment, Settings};
use crate::{logging, node, status};
use brassport_config_store::configuration::{difference, Document};
use brassport_config_store::store::{Store, FILE_NAME};
use brassport_types::DiskId;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// The output format of `status`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StatusFormat {
    /// A summary line for each node asked, followed by a line for each peer whose replica lags behind it.
    Text,
    /// The unchanged body of each answer.
    Json,
}

/// `run`: runs a node until SIGTERM has shut it down.
pub(super) fn run(metrics_port: Option<u16>) -> miette::Result<()> {
    logging::init()?;
    Ok(node::run(node::Options { settings_file: file_from_environment()?, metrics_port })?)
}

/// `check`: validates a settings file, by default the one that the environment names.
pub(super) fn check(file: Option<PathBuf>) -> miette::Result<()> {
    let file = file.map_or_else(file_from_environment, Ok)?;
    let settings = Settings::read(&file)?;
    println!("{}: sound; {} in zone {}", file.display(), settings.node, settings.zone);
    Ok(())
}

/// `check-configuration`: validates a configuration and prints a summary of it.
pub(super) fn check_configuration(file: Option<PathBuf>) -> miette::Result<()> {
    let document = read_document(&required(file)?)?;
    let configuration = document.configuration();
    println!(
        "sound: version {}, {} routes, {} services, {} tenants",
        document.version(),
        configuration.routes.len(),
        configuration.services.len(),
        configuration.tenants.len()
    );
    Ok(())
}

/// `difference`: prints the differences between two configurations, one on a line.
pub(super) fn print_difference(files: &[PathBuf]) -> miette::Result<()> {
    let [older, newer] = files else { return Err(CommandError::TwoFilesMissing.into()) };
    let (older, newer) = (read_document(older)?, read_document(newer)?);
    for line in difference(older.configuration(), newer.configuration()) {
        println!("{line}");
    }
    Ok(())
}

/// `status`: prints the status of each node. A node that fails to answer does not stop the output for the others.
pub(super) fn print_status(addresses: &[String], format: StatusFormat) -> Result<(), CommandError> {
    if addresses.is_empty() {
        return Err(CommandError::AddressMissing);
    }
    let mut failed = 0;
    for address in addresses {
        match (status::fetch(address), format) {
            (Ok(body), StatusFormat::Json) => println!("{body}"),
            (Ok(body), StatusFormat::Text) => println!("{}", status::format_status(address, &body)),
            (Err(error), _) => {
                failed += 1;
                eprintln!("{address}: {error}");
            }
        }
    }
    match failed {
        0 => Ok(()),
        failed => Err(CommandError::Unanswered { failed, total: addresses.len() }),
    }
}

/// `store`: prints the contents of a voter's store, which must not be open in another process.
pub(super) fn print_store(folder: Option<PathBuf>) -> miette::Result<()> {
    let folder = required(folder)?;
    // `Store::open` creates a store where there is none.
    if !folder.join(FILE_NAME).is_file() {
        return Err(CommandError::StoreMissing { folder }.into());
    }
    let (store, durable) = Store::open(&folder, DiskId::NONE)?;
    println!("disk {}, promised {}", store.disk(), durable.promised);
    println!("index {}, version {:08x}", durable.state.index, durable.state.version());
    for voter in &durable.state.voters {
        println!("voter {} with disk {}", voter.ip, voter.disk);
    }
    if let Some(accepted) = durable.accepted {
        println!("index {} is open, accepted under {}", durable.state.index + 1, accepted.term);
    }
    Ok(())
}

/// `try`: replaces this process by the testbed executable, which is expected in the same folder as this one.
///
/// # Errors
/// The executable cannot be started. On success, this function does not return.
pub(super) fn run_testbed(arguments: &[String]) -> Result<(), CommandError> {
    let program = std::env::current_exe().unwrap_or_default().with_file_name("brassport-testbed");
    let error = Command::new(&program).args(arguments).exec();
    Err(CommandError::Testbed { program, error })
}

fn required(file: Option<PathBuf>) -> Result<PathBuf, CommandError> {
    file.ok_or(CommandError::FileMissing)
}

fn read_document(file: &Path) -> miette::Result<Document> {
    let bytes = std::fs::read(file).map_err(|error| CommandError::Read { file: file.to_owned(), error })?;
    Ok(Document::from_bytes(&bytes)?)
}
