//! What the event loop waits for: signals, the store, the links, callers and timers.

use super::error::{StartError, StartStep};
use super::shutdown::TerminateSignal;
use crate::listeners::PendingCall;
use crate::store_thread::StoreEvent;
use std::time::Duration;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{interval, Interval, MissedTickBehavior};

/// Between two ticks of the control plane, whose shortest time-outs are a few of these.
const TICK_INTERVAL: Duration = Duration::from_millis(60);
/// Between two reports of what tenants use: several a period of the quota's coordinator.
const USAGE_REPORT_INTERVAL: Duration = Duration::from_millis(400);
/// Between two readings of the settings file, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(2);

/// One event of the loop.
pub(super) enum Input {
    /// SIGTERM: the process is to end.
    Terminate,
    /// SIGHUP: the settings file may have changed.
    Hangup,
    /// The store opened, or ended a write.
    Store(StoreEvent),
    /// A frame of another node.
    Frame(Vec<u8>),
    /// A call of a backend or an operator.
    Call(PendingCall),
    /// Time has passed.
    Tick,
    /// The usage of tenants is due to be reported.
    ReportUsage,
    /// The settings file is due to be read again.
    CheckSettings,
}

/// The process's signals.
pub(super) struct Signals {
    terminate: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers.
    pub(super) fn install() -> Result<Signals, StartError> {
        let install = |kind| signal(kind).map_err(StartStep::Signals.failed());
        Ok(Signals { terminate: install(SignalKind::terminate())?, hangup: install(SignalKind::hangup())? })
    }
}

/// The queues that tasks and threads feed.
pub(super) struct Queues {
    pub(super) store: UnboundedReceiver<StoreEvent>,
    pub(super) frames: UnboundedReceiver<Vec<u8>>,
    pub(super) calls: UnboundedReceiver<PendingCall>,
}

/// All sources of events.
pub(super) struct Inputs {
    signals: Signals,
    queues: Queues,
    tick: Interval,
    usage_report: Interval,
    settings: Interval,
}

impl Inputs {
    /// Timers start now.
    pub(super) fn new(signals: Signals, queues: Queues) -> Inputs {
        let timer = |period| {
            let mut timer = interval(period);
            // Guards against a burst of ticks after the process stood still.
            timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
            timer
        };
        Inputs {
            signals,
            queues,
            tick: timer(TICK_INTERVAL),
            usage_report: timer(USAGE_REPORT_INTERVAL),
            settings: timer(SETTINGS_INTERVAL),
        }
    }

    /// The next event. Of several that are ready the first in this order comes: timers never hold up what has come.
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
            _ = self.settings.tick() => Input::CheckSettings,
        }
    }

    /// The next usage report is due a full interval from now.
    pub(super) fn postpone_usage_report(&mut self) {
        self.usage_report.reset();
    }
}
