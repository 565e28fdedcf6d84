//! The verbs, a function each. Output goes to standard output; an error is the caller's to print.

use super::CommandError;
use crate::settings::{file_from_environment, Settings};
use crate::{logging, node, status};
use brassport_config_store::configuration::{difference, Document};
use brassport_config_store::store::{Store, FILE_NAME};
use brassport_types::DiskId;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::Command;

/// How `status` prints a node's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StatusFormat {
    /// A line for the node, and one for each that lags.
    Text,
    /// As it came.
    Json,
}

/// `run`: a node, until SIGTERM.
pub(super) fn run(metrics_port: Option<u16>) -> miette::Result<()> {
    logging::init()?;
    let file = file_from_environment()?;
    let settings = Settings::read(&file)?;
    Ok(node::run(node::Options { settings, settings_file: file, metrics_port })?)
}

/// `check`: a settings file.
pub(super) fn check(file: Option<PathBuf>) -> miette::Result<()> {
    let file = file.map_or_else(file_from_environment, Ok)?;
    let settings = Settings::read(&file)?;
    println!("{}: sound; {} in zone {}", file.display(), settings.node, settings.zone);
    Ok(())
}

/// `check-configuration`: a configuration of the operator's.
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

/// `difference`: of two configurations, a line each.
pub(super) fn print_difference(files: &[PathBuf]) -> miette::Result<()> {
    let [older, newer] = files else { return Err(CommandError::TwoFilesMissing.into()) };
    let (older, newer) = (read_document(older)?, read_document(newer)?);
    for line in difference(older.configuration(), newer.configuration()) {
        println!("{line}");
    }
    Ok(())
}

/// `status`: of running nodes. Those that don't answer don't keep the others from being printed.
pub(super) fn print_status(addresses: &[String], format: StatusFormat) -> Result<(), CommandError> {
    if addresses.is_empty() {
        return Err(CommandError::AddressMissing);
    }
    let mut silent = 0;
    for address in addresses {
        match (status::fetch(address), format) {
            (Ok(body), StatusFormat::Json) => println!("{body}"),
            (Ok(body), StatusFormat::Text) => println!("{}", status::describe(address, &body)),
            (Err(error), _) => {
                silent += 1;
                eprintln!("{address}: {error}");
            }
        }
    }
    match silent {
        0 => Ok(()),
        silent => Err(CommandError::Unanswered { silent, total: addresses.len() }),
    }
}

/// `store`: what a voter's store holds.
pub(super) fn print_store(folder: Option<PathBuf>) -> miette::Result<()> {
    let folder = required(folder)?;
    // Opening would make one.
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

/// `try`: becomes the testbed's program, which lies beside this one.
///
/// # Errors
/// It can't be started; otherwise this does not return.
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
