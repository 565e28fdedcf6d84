//! Why a node could not start.

use std::fmt;
use std::io;

/// What a node opens at its start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartStep {
    /// The runtime of its tasks.
    Runtime,
    /// The handlers of the process's signals.
    Signals,
    /// The links to the other nodes.
    Links,
    /// The control listener.
    ControlListener,
    /// The readiness listener.
    ReadyListener,
    /// The metrics listener.
    MetricsListener,
    /// The clients' listener.
    DownstreamListener,
}

impl fmt::Display for StartStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StartStep::Runtime => "cannot start",
            StartStep::Signals => "signals",
            StartStep::Links => "the doors' own port",
            StartStep::ControlListener => "the callers' port",
            StartStep::ReadyListener => "the platform's port",
            StartStep::MetricsListener => "the metrics' port",
            StartStep::DownstreamListener => "the clients' port",
        })
    }
}

/// A node can't start.
#[derive(Debug, miette::Diagnostic)]
pub struct StartError {
    /// What it could not open.
    pub step: StartStep,
    /// Why.
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

impl StartStep {
    /// For `map_err`: an error of this step.
    pub(super) fn failed(self) -> impl FnOnce(io::Error) -> StartError {
        move |error| StartError { step: self, error }
    }
}
