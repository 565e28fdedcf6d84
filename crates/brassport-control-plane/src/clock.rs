//! The node's time: the latest that the host gave, and when the process last resumed after a stall.

use crate::Millis;

/// A process that gets no event for more milliseconds than this was stalled (frozen, or starved of processor time): the
/// host sends a tick every 60 ms or so.
const STALL_MS: Millis = 700;

/// What an event says of the time since the one before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// Time passed as usual.
    Steady,
    /// The process was stalled meanwhile.
    Resumed,
}

/// The time of the control plane. It never runs backwards.
#[derive(Debug)]
pub(crate) struct Clock {
    now: Millis,
    started_at: Millis,
    resumed_at: Option<Millis>,
}

impl Clock {
    pub(crate) fn new(now: Millis) -> Clock {
        Clock { now, started_at: now, resumed_at: None }
    }

    /// Takes the time of an event.
    pub(crate) fn advance(&mut self, now: Millis) -> Progress {
        let is_resumed = now > self.now + STALL_MS;
        self.now = self.now.max(now);
        if is_resumed {
            self.resumed_at = Some(now);
            return Progress::Resumed;
        }
        Progress::Steady
    }

    /// The time of the current event.
    pub(crate) fn now(&self) -> Millis {
        self.now
    }

    /// Whether the node started less than this ago.
    pub(crate) fn is_within_start(&self, span: Millis) -> bool {
        self.now < self.started_at + span
    }

    /// Whether the process resumed after a stall less than this ago.
    pub(crate) fn is_within_resumption(&self, span: Millis) -> bool {
        self.resumed_at.is_some_and(|at| self.now < at + span)
    }
}
