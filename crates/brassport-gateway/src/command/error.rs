//! Why a verb could not do its work.

use std::fmt;
use std::io;
use std::path::PathBuf;

/// Why a verb could not do its work; errors of settings, configurations and stores are those packages' own.
#[derive(Debug, miette::Diagnostic)]
pub enum CommandError {
    /// The verb needs a file.
    FileMissing,
    /// `difference` needs two files.
    #[diagnostic(help("brassport-gateway difference OLDER NEWER"))]
    TwoFilesMissing,
    /// `status` needs an address.
    #[diagnostic(help("brassport-gateway status 10.0.0.1:8381 ..."))]
    AddressMissing,
    /// A file can't be read.
    Read {
        /// The file.
        file: PathBuf,
        /// Why.
        error: io::Error,
    },
    /// Nodes did not answer `status`.
    Unanswered {
        /// How many did not.
        silent: usize,
        /// Of how many.
        total: usize,
    },
    /// A folder has no store.
    #[diagnostic(help("name the data folder"))]
    StoreMissing {
        /// The folder.
        folder: PathBuf,
    },
    /// The testbed's program can't be started.
    #[diagnostic(help("`cargo build --release --workspace` makes it"))]
    Testbed {
        /// Where it was expected.
        program: PathBuf,
        /// Why.
        error: io::Error,
    },
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::FileMissing => f.write_str("a file is wanted"),
            CommandError::TwoFilesMissing => f.write_str("two files are wanted"),
            CommandError::AddressMissing => f.write_str("an address is wanted"),
            CommandError::Read { file, error } => write!(f, "{}: {error}", file.display()),
            CommandError::Unanswered { silent, total } => write!(f, "{silent} of {total} did not answer"),
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
