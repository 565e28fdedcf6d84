//! Schedules the repair of endpoint tables that differ.

use crate::Millis;

/// Minimum time since the last repair and since the last change of the table.
const REPAIR_INTERVAL_MS: Millis = 300;
/// Time since the last repair after which a repair is due even if the table keeps changing.
const REPAIR_DEADLINE_MS: Millis = 900;

/// The schedule of anti-entropy repairs.
#[derive(Debug, Default)]
pub(crate) struct RepairSchedule {
    repaired_at: Option<Millis>,
}

impl RepairSchedule {
    /// Whether a repair is due for a table that last changed at this time. While many backends register at once, most
    /// differences are changes still in flight, and repairs in every exchange would cost more bandwidth than the whole
    /// table.
    pub(crate) fn is_due(&self, now: Millis, changed_at: Option<Millis>) -> bool {
        let since = |at: Option<Millis>| at.map_or(Millis::MAX, |at| now.saturating_sub(at));
        let (repaired, changed) = (since(self.repaired_at), since(changed_at));
        repaired >= REPAIR_DEADLINE_MS || (repaired >= REPAIR_INTERVAL_MS && changed >= REPAIR_INTERVAL_MS)
    }

    /// Records that a repair begins.
    pub(crate) fn record(&mut self, now: Millis) {
        self.repaired_at = Some(now);
    }

    /// Makes a repair due at once.
    pub(crate) fn reset(&mut self) {
        self.repaired_at = None;
    }
}
