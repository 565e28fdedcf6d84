//! Errors of starting a node.

use crate::settings::SettingsError;
use std::fmt;
use std::io;

/// A step of starting a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartStep {
    /// Creating the async runtime.
    Runtime,
    /// Installing the signal handlers.
    Signals,
    /// Opening the internal port for links to other nodes.
    Links,
    /// Opening the control listener.
    ControlListener,
    /// Opening the readiness listener.
    ReadyListener,
    /// Opening the metrics listener.
    MetricsListener,
    /// Opening the listener for clients.
    DownstreamListener,
}

impl fmt::Display for StartStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StartStep::Runtime => "cannot create the async runtime",
            StartStep::Signals => "cannot install the signal handlers",
            StartStep::Links => "cannot open the internal port (internalPorts)",
            StartStep::ControlListener => "cannot open the control listener (listenOn.control)",
            StartStep::ReadyListener => "cannot open the readiness listener (listenOn.ready)",
            StartStep::MetricsListener => "cannot open the metrics listener (--metrics-port)",
            StartStep::DownstreamListener => "cannot open the listener for clients (listenOn.front)",
        })
    }
}

/// A node failed to start.
#[derive(Debug, miette::Diagnostic)]
pub struct StartError {
    /// The step that failed.
    pub step: StartStep,
    /// The cause.
    pub error: io::Error,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.step, self.error)
    }
}

impl std::error::Error for StartError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        Some(&self.error)
    }
}

/// Running a node failed before it served.
#[derive(Debug, miette::Diagnostic)]
pub enum RunError {
    /// The settings file cannot be read, or is invalid.
    #[diagnostic(transparent)]
    Settings(SettingsError),
    /// The node failed to start.
    #[diagnostic(transparent)]
    Start(StartError),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            RunError::Settings(error) => error.fmt(f),
            RunError::Start(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for RunError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            RunError::Settings(error) => error.source(),
            RunError::Start(error) => error.source(),
        }
    }
}

impl From<SettingsError> for RunError {
    fn from(error: SettingsError) -> RunError {
        RunError::Settings(error)
    }
}

impl From<StartError> for RunError {
    fn from(error: StartError) -> RunError {
        RunError::Start(error)
    }
}

impl StartStep {
    /// Returns a function for `map_err` that reports a failure of this step.
    pub(super) fn failed(self) -> impl FnOnce(io::Error) -> StartError {
        move |error| StartError { step: self, error }
    }
}
