//! The log: lines on standard error, filtered by a level from the environment.

use log::LevelFilter;
use std::fmt;

/// Names the level: `error`, `warn`, `info` or `debug`.
pub const LEVEL_VARIABLE: &str = "BRASSPORT_GATEWAY_LOG";
/// The name of [`LEVEL_VARIABLE`] in earlier releases; read where the present one is not set.
pub const FORMER_LEVEL_VARIABLE: &str = "JUNCTION_LOG";

/// The log could not be set up, as a process has only one.
#[derive(Debug, miette::Diagnostic)]
pub struct LoggingError(log::SetLoggerError);

impl fmt::Display for LoggingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "logs: {}", self.0)
    }
}

impl std::error::Error for LoggingError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.0)
    }
}

/// The level that an environment asks for, read through `variable`; `info` where it names none, or no level that exists.
pub fn level(variable: impl Fn(&str) -> Option<String>) -> LevelFilter {
    let text = variable(LEVEL_VARIABLE).or_else(|| variable(FORMER_LEVEL_VARIABLE));
    text.and_then(|text| text.parse().ok()).unwrap_or(LevelFilter::Info)
}

/// Sets up the log of this process.
///
/// # Errors
/// There is one already.
pub fn init() -> Result<(), LoggingError> {
    fern::Dispatch::new()
        .format(|out, message, record| out.finish(format_args!("{} {message}", record.level())))
        .level(level(|name| std::env::var(name).ok()))
        .chain(std::io::stderr())
        .apply()
        .map_err(LoggingError)
}
