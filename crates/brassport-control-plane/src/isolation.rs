//! A machine that was cut off from the core comes back with a table of long ago: backends whose end was acknowledged
//! meanwhile still stand in it as live. Where the core was lost besides, nobody else may remember their end.
//!
//! So what it knows of live backends is doubted when it hears the core again, but for those whose beats came to it just now.
//! It tells nobody of them, and uses them on, until another machine tells of them too. What nobody has told again soon is
//! dropped: a backend that lives calls some machine within one interval.

use crate::control::{Action, ControlPlane, ALL};
use crate::Millis;
use brassport_config_store::consensus::mutants::{is_active, Mutant};
use std::net::Ipv4Addr;

/// What is doubted is dropped after so long, once the table was compared with another machine's; where there are many
/// machines, of whom each tells few, later.
const DROPPED_AFTER: Millis = 500;
const DROPPED_AFTER_AMONG_MANY: Millis = 2_000;
/// Without any comparison it is dropped after so long.
const DROPPED_AT_LAST: Millis = 2_500;

/// Since when this machine doubts what it knows.
#[derive(Debug)]
pub(crate) struct Doubt {
    since: Millis,
    is_compared: bool,
}

impl ControlPlane {
    /// Looks whether this machine hears none of the core: from then on it tells nobody of live backends but of its own, so
    /// that two who were cut off do not take each other's word for news.
    pub(crate) fn watch_isolation(&mut self) {
        if !self.is_isolated && self.is_cut_off() && !is_active(Mutant::IsolationTrusted) {
            self.is_isolated = true;
            self.table.doubt(self.own_since());
        }
    }

    /// A machine is heard: if it is the first of the core for long, what is known here is doubted.
    pub(crate) fn end_isolation(&mut self, from: Ipv4Addr) {
        if !self.is_isolated || !self.core().contains(&from) {
            return;
        }
        self.is_isolated = false;
        self.table.doubt(self.own_since());
        self.doubt = Some(Doubt { since: self.now, is_compared: false });
        // The table is compared at once. Others may have been cut off as well, and doubt what lives: each tells of its own.
        self.repaired = None;
        self.gossip_to(from, true);
        let own = self.table.own(self.now, self.own_since());
        if !own.is_empty() {
            self.spread(own, None);
        }
    }

    /// A beat that came here since shows that its backend lives: it is no older than an interval and some more.
    fn own_since(&self) -> Millis {
        let interval = self.options.heartbeat_interval_ms + self.options.heartbeat_interval_ms / 4;
        match self.stood_still {
            // Beats that were missed then were renewed: none of them shows anything.
            Some(at) if self.now < at + interval => Millis::MAX,
            _ => self.now.saturating_sub(interval),
        }
    }

    /// The table was compared with that of another machine.
    pub(crate) fn compared(&mut self) {
        if let Some(doubt) = &mut self.doubt {
            doubt.is_compared = true;
        }
    }

    /// Drops what is doubted still, once that is due.
    pub(crate) fn tend_doubt(&mut self) {
        let Some(doubt) = &self.doubt else { return };
        let due = match (doubt.is_compared, self.views.len() <= ALL) {
            (true, true) => DROPPED_AFTER,
            (true, false) => DROPPED_AFTER_AMONG_MANY,
            (false, _) => DROPPED_AT_LAST,
        };
        if self.now >= doubt.since + due {
            self.doubt = None;
            let dropped = self.table.drop_doubted().into_iter().map(Action::BackendExpired);
            self.actions.extend(dropped);
        }
    }
}
