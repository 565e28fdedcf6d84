//! Errors of the subcommands.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// An error of a subcommand. Errors in settings, configurations and stores have types of their own and are reported as
/// they are.
#[derive(Debug, miette::Diagnostic)]
pub enum CommandError {
    /// The required file argument is missing.
    FileMissing,
    /// `difference` was not given exactly two files.
    #[diagnostic(help("brassport-gateway difference OLDER NEWER"))]
    TwoFilesMissing,
    /// `status` was given no address.
    #[diagnostic(help("brassport-gateway status 10.0.0.1:8381 ..."))]
    AddressMissing,
    /// A file cannot be read.
    Read {
        /// The path of the file.
        file: PathBuf,
        /// The cause.
        error: io::Error,
    },
    /// At least one node did not answer the request of `status`.
    Unanswered {
        /// The number of nodes without a valid answer.
        failed: usize,
        /// The number of nodes asked.
        total: usize,
    },
    /// The folder contains no store.
    #[diagnostic(help("name the data folder"))]
    StoreMissing {
        /// The folder searched.
        folder: PathBuf,
    },
    /// The testbed executable cannot be started.
    #[diagnostic(help("build it with `cargo build --release --workspace`"))]
    Testbed {
        /// The path where the executable was expected.
        program: PathBuf,
        /// The cause.
        error: io::Error,
    },
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::FileMissing => f.write_str("a file argument is required"),
            CommandError::TwoFilesMissing => f.write_str("two files are wanted"),
            CommandError::AddressMissing => f.write_str("at least one address is required"),
            CommandError::Read { file, error } => write!(f, "{}: {error}", file.display()),
            CommandError::Unanswered { failed, total } => write!(f, "{failed} of {total} did not answer"),
            CommandError::StoreMissing { folder } => write!(f, "{}: no store is there", folder.display()),
            CommandError::Testbed { program, error } => {
                write!(f, "cannot start {}: {error}", program.display())
            }
        }
    }
}

impl std::error::Error for CommandError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            CommandError::Read { error, .. } | CommandError::Testbed { error, .. } => Some(error),
            _ => None,
        }
    }
}
