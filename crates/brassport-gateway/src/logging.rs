//! The log: lines on standard error, with the maximum level set by the environment.

use log::LevelFilter;
use std::fmt;

/// The environment variable with the log level: `error`, `warn`, `info` or `debug`.
pub const LEVEL_VARIABLE: &str = "BRASSPORT_GATEWAY_LOG";
/// The name of [`LEVEL_VARIABLE`] in earlier releases. It is read where the current variable is not set.
pub const FORMER_LEVEL_VARIABLE: &str = "JUNCTION_LOG";

/// The logger could not be installed: the process has one already.
#[derive(Debug, miette::Diagnostic)]
pub struct LoggingError(log::SetLoggerError);

impl fmt::Display for LoggingError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "cannot install the logger: {}", self.0)
    }
}

impl std::error::Error for LoggingError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.0)
    }
}

/// Returns the log level set by the environment, whose variables `variable` looks up. The default is `info`, also for an
/// unknown level.
pub fn level(variable: impl Fn(&str) -> Option<String>) -> LevelFilter {
    let text = variable(LEVEL_VARIABLE).or_else(|| variable(FORMER_LEVEL_VARIABLE));
    text.and_then(|text| text.parse().ok()).unwrap_or(LevelFilter::Info)
}

/// Installs the logger of this process.
///
/// # Errors
/// The process has a logger already.
pub fn init() -> Result<(), LoggingError> {
    fern::Dispatch::new()
        .format(|out, message, record| out.finish(format_args!("{} {message}", record.level())))
        .level(level(|name| std::env::var(name).ok()))
        .chain(std::io::stderr())
        .apply()
        .map_err(LoggingError)
}
