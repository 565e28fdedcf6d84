//! Errors of reading, parsing and validating the settings file.

use std::error::Error;
use std::fmt;
use std::io;
use std::path::PathBuf;

/// One problem of a settings file.
#[derive(Debug)]
pub enum Problem {
    /// The file cannot be read.
    Io(io::Error),
    /// The text is not valid YAML, or a field has the wrong type.
    Malformed(Box<schematic::ConfigError>),
    /// `ip` is not an IPv4 address.
    Ip(String),
    /// An entry of `listenOn` is not an IPv4 address with a port.
    Listener {
        /// The key of the entry.
        name: &'static str,
        /// The value in the file.
        text: String,
    },
    /// An entry of `seeds` is not an IPv4 address with a port.
    Seed {
        /// The position of the entry in the list, from 0.
        index: usize,
        /// The value in the file.
        text: String,
    },
    /// `internalPorts` is missing or empty.
    NoInternalPort,
    /// An entry of `bounds` is not `name=value`.
    Bound {
        /// The position of the entry in the list, from 0.
        index: usize,
        /// The value in the file.
        text: String,
    },
    /// The key or the value of an entry of `reachedAt` is not an IPv4 address.
    ReachedAt {
        /// The key: the node's own address.
        node: String,
        /// The value: the address at which the node is reached.
        address: String,
    },
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::Io(error) => error.fmt(f),
            Problem::Malformed(error) => write_chain(f, error.as_ref()),
            Problem::Ip(text) => write!(f, "ip: {text:?} is no IPv4 address"),
            Problem::Listener { name, text } => {
                write!(f, "listenOn.{name}: {text:?} is no address with a port, as 10.0.0.1:8080")
            }
            Problem::Seed { index, text } => {
                write!(f, "seeds[{index}]: {text:?} is no address with a port")
            }
            Problem::NoInternalPort => {
                f.write_str("internalPorts: the first port for the doors' own talk is missing")
            }
            Problem::Bound { index, text } => write!(f, "bounds[{index}]: {text:?} is not name=value"),
            Problem::ReachedAt { node, address } => {
                write!(f, "reachedAt: {node:?}: {address:?} are not two IPv4 addresses")
            }
        }
    }
}

impl Error for Problem {
    fn source(&self) -> Option<&(dyn Error + 'static)> {
        match self {
            Problem::Io(error) => Some(error),
            Problem::Malformed(error) => Some(error.as_ref()),
            _ => None,
        }
    }
}

/// Writes an error and its sources; the innermost one names the line in the file.
fn write_chain(f: &mut fmt::Formatter<'_>, error: &dyn Error) -> fmt::Result {
    write!(f, "{error}")?;
    let mut source = error.source();
    while let Some(error) = source {
        write!(f, ": {error}")?;
        source = error.source();
    }
    Ok(())
}

/// A settings file that cannot be used, with all its problems.
#[derive(Debug, miette::Diagnostic)]
#[diagnostic(help("the file is YAML, as DEPLOY says; its path stands in BRASSPORT_CONFIG; `brassport-gateway check` reads it without starting"))]
pub struct SettingsError {
    /// The path of the settings file.
    pub file: PathBuf,
    /// At least one problem. The text of each names the field, or the line where parsing failed.
    pub problems: Vec<Problem>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let problems: Vec<String> = self.problems.iter().map(Problem::to_string).collect();
        write!(f, "{}: {}", self.file.display(), problems.join("; "))
    }
}

impl Error for SettingsError {}

/// The environment variable [`FILE_VARIABLE`](super::FILE_VARIABLE) is not set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, miette::Diagnostic)]
#[diagnostic(help("set it to the path of the settings file"))]
pub struct NoSettingsFile;

impl fmt::Display for NoSettingsFile {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is not set", super::FILE_VARIABLE)
    }
}

impl Error for NoSettingsFile {}
