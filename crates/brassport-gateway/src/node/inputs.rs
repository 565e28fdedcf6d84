//! The inputs of the event loop: signals, events of the store, frames from other nodes, control calls and timers.

use super::error::{StartError, StartStep};
use super::shutdown::TerminateSignal;
use crate::listeners::PendingCall;
use crate::store_thread::StoreEvent;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{interval, Interval, MissedTickBehavior};

/// The interval between ticks of the control plane, whose shortest timeouts are a few ticks long.
const TICK_INTERVAL: Duration = Duration::from_millis(60);
/// The interval between usage reports of tenants. The quota coordinator receives at least two reports from each node
/// per meter period.
const USAGE_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// The interval between checks of the settings file, which may change without a SIGHUP.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// One input of the event loop.
pub(super) enum Input {
    /// SIGTERM: starts the graceful shutdown.
    Terminate,
    /// SIGHUP: the settings file is read again.
    Hangup,
    /// The store was opened, or finished a write.
    Store(StoreEvent),
    /// A frame arrived from another node.
    Frame(Vec<u8>),
    /// A control call arrived from a backend or an operator.
    Call(PendingCall),
    /// A tick of the control plane is due.
    Tick,
    /// A usage report of tenants is due.
    ReportUsage,
    /// A check of the settings file is due.
    CheckSettings,
}

/// The streams of the handled signals.
pub(super) struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    pub(super) fn install() -> Result<Signals, StartError> {
        let install = |kind| signal(kind).map_err(StartStep::Signals.failed());
        Ok(Signals { terminate: install(SignalKind::terminate())?, hangup: install(SignalKind::hangup())? })
    }
}

/// The receiving sides of the channels from other tasks and threads.
pub(super) struct Queues {
    pub(super) store: UnboundedReceiver<StoreEvent>,
    pub(super) frames: UnboundedReceiver<Vec<u8>>,
    pub(super) calls: UnboundedReceiver<PendingCall>,
}

/// All sources of inputs.
pub(super) struct Inputs {
    signals: Signals,
    queues: Queues,
    tick: Interval,
    usage_report: Interval,
    settings_check: Interval,
}

impl Inputs {
    /// Starts the timers; each fires for the first time immediately.
    pub(super) fn new(signals: Signals, queues: Queues) -> Inputs {
        let timer = |period| {
            let mut timer = interval(period);
            // Avoids a burst of ticks after the process was suspended or blocked.
            timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
            timer
        };
        Inputs {
            signals,
            queues,
            tick: timer(TICK_INTERVAL),
            usage_report: timer(USAGE_REPORT_INTERVAL),
            settings_check: timer(SETTINGS_CHECK_INTERVAL),
        }
    }

    /// Waits for the next input. If several are ready, the first in the order below is returned, so that timers never
    /// delay signals, store events, frames or calls.
    pub(super) async fn next(&mut self, terminate: TerminateSignal) -> Input {
        tokio::select! {
            biased;
            _ = self.signals.terminate.recv(), if terminate == TerminateSignal::Accepted => Input::Terminate,
            _ = self.signals.hangup.recv() => Input::Hangup,
            Some(event) = self.queues.store.recv() => Input::Store(event),
            Some(bytes) = self.queues.frames.recv() => Input::Frame(bytes),
            Some(call) = self.queues.calls.recv() => Input::Call(call),
            _ = self.tick.tick() => Input::Tick,
            _ = self.usage_report.tick() => Input::ReportUsage,
            _ = self.settings_check.tick() => Input::CheckSettings,
        }
    }

    /// Restarts the interval of usage reports: the next one is due a full interval from now.
    pub(super) fn postpone_usage_report(&mut self) {
        self.usage_report.reset();
    }
}
