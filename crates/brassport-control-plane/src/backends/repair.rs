//! When tables of backends that differ are repaired.

use crate::Millis;

/// Between two repairs, and since the last change, at least so many ms.
const REPAIR_INTERVAL_MS: Millis = 300;
/// While the table changes all the time, a repair comes after so many ms at the latest.
const REPAIR_DEADLINE_MS: Millis = 900;

/// The schedule of anti-entropy repairs.
#[derive(Debug, Default)]
pub(crate) struct RepairSchedule {
    repaired_at: Option<Millis>,
}

impl RepairSchedule {
    /// Whether a repair is due, for a table that changed at this time. Guards the links while many backends come at once:
    /// what differs is in flight then, and a part of the table for each exchange would weigh more than all of it.
    pub(crate) fn is_due(&self, now: Millis, changed_at: Option<Millis>) -> bool {
        let since = |at: Option<Millis>| at.map_or(Millis::MAX, |at| now.saturating_sub(at));
        let (repaired, changed) = (since(self.repaired_at), since(changed_at));
        repaired >= REPAIR_DEADLINE_MS || (repaired >= REPAIR_INTERVAL_MS && changed >= REPAIR_INTERVAL_MS)
    }

    /// A repair begins.
    pub(crate) fn record(&mut self, now: Millis) {
        self.repaired_at = Some(now);
    }

    /// The next difference is repaired at once.
    pub(crate) fn reset(&mut self) {
        self.repaired_at = None;
    }
}
