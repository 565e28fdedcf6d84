//! The node's time: the latest time that the host passed, and when the process last resumed after a stall.

use crate::Millis;

/// A gap between two events of more than this many milliseconds means that the process was stalled (frozen, or starved
/// of CPU time): the host sends a tick about every 60 ms.
const STALL_MS: Millis = 700;

/// The gap between an event and the previous one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EventGap {
    /// The process ran in between.
    Normal,
    /// The process was stalled in between.
    Stall,
}

/// The time of the control plane. It never goes backwards.
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

    /// Advances to the time of an event.
    pub(crate) fn advance(&mut self, now: Millis) -> EventGap {
        let is_resumed = now > self.now + STALL_MS;
        self.now = self.now.max(now);
        if is_resumed {
            self.resumed_at = Some(now);
            return EventGap::Stall;
        }
        EventGap::Normal
    }

    /// The time of the current event.
    pub(crate) fn now(&self) -> Millis {
        self.now
    }

    /// Whether the node started less than `span` ms ago.
    pub(crate) fn is_within_start(&self, span: Millis) -> bool {
        self.now < self.started_at + span
    }

    /// Whether the process resumed after a stall less than `span` ms ago.
    pub(crate) fn is_within_resumption(&self, span: Millis) -> bool {
        self.resumed_at.is_some_and(|at| self.now < at + span)
    }
}
