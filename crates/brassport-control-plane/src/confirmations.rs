//! That a backend drains or ends is acknowledged once a majority of the core knows: from there every node in contact hears
//! of it.
//!
//! The majority is one of the voters that this node knows of. Who confirms says how far it knows the log; while somebody
//! knows more of it than this node, this node may not know who votes, and acknowledges nothing.

use crate::backends::{Backend, BackendState};
use crate::call::Reply;
use crate::control_plane::ControlPlane;
use crate::peer_message::PeerMessage;
use crate::Millis;
use brassport_types::LogIndex;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// A call waits so long for the core, in ms: its caller gives up after a second.
const TIMEOUT_MS: Millis = 900;
/// Between two requests to the core, in ms.
const RETRY_INTERVAL_MS: Millis = 120;
/// Ends that are remembered as known to a majority, so that a repeated call is answered at once.
const MAX_CONFIRMED_ENDS: usize = 10_000;

/// A call that is answered once a majority of the core knows of its record.
#[derive(Debug)]
struct Pending {
    call: u64,
    record: Backend,
    confirmed_by: BTreeSet<Ipv4Addr>,
    since: Millis,
    requested_at: Option<Millis>,
}

/// What is to be done about a pending call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    Wait,
    Request,
    Confirm,
    TimeOut,
}

impl Pending {
    fn progress(&self, now: Millis, core: &[Ipv4Addr], is_log_current: bool) -> Progress {
        let confirmed = core.iter().filter(|ip| self.confirmed_by.contains(ip)).count();
        if confirmed > core.len() / 2 && is_log_current {
            Progress::Confirm
        } else if now >= self.since + TIMEOUT_MS {
            Progress::TimeOut
        } else if self.requested_at.is_none_or(|at| now >= at + RETRY_INTERVAL_MS) {
            Progress::Request
        } else {
            Progress::Wait
        }
    }
}

/// A backend, and whether it terminated (else it drains).
type End = (String, bool);

fn end_of(record: &Backend) -> End {
    (record.id.clone(), record.state == BackendState::Terminated)
}

/// Calls that wait for the core.
#[derive(Debug)]
pub(crate) struct Confirmations {
    pending: BTreeMap<u64, Pending>,
    last_number: u64,
    /// The highest index that one who confirmed knew of.
    newest_index: LogIndex,
    confirmed_ends: BTreeSet<End>,
}

impl Confirmations {
    /// Numbers start anywhere. Guards against a confirmation that an earlier incarnation of this node asked for.
    pub(crate) fn new(seed: u64) -> Confirmations {
        Confirmations {
            pending: BTreeMap::new(),
            last_number: seed >> 16,
            newest_index: LogIndex(0),
            confirmed_ends: BTreeSet::new(),
        }
    }

    fn begin(&mut self, pending: Pending) {
        self.last_number += 1;
        self.pending.insert(self.last_number, pending);
    }

    /// A peer confirms a record. Whether it is still pending.
    fn confirm(&mut self, number: u64, from: Ipv4Addr, index: LogIndex) -> bool {
        let Some(pending) = self.pending.get_mut(&number) else { return false };
        pending.confirmed_by.insert(from);
        self.newest_index = self.newest_index.max(index);
        true
    }

    fn record_end(&mut self, record: &Backend) {
        self.confirmed_ends.insert(end_of(record));
        while self.confirmed_ends.len() > MAX_CONFIRMED_ENDS {
            self.confirmed_ends.pop_first();
        }
    }
}

impl ControlPlane {
    /// Answers a call once a majority of the core has this record; with a failure at once, if none of the core is heard.
    pub(crate) fn confirm_by_core(&mut self, call: u64, record: Backend) {
        if self.confirmations.confirmed_ends.contains(&end_of(&record)) {
            return self.outbox.respond_done(call);
        }
        if self.is_core_unheard() {
            return self.outbox.respond(call, Reply::Unavailable("none of the core is heard"));
        }
        let own = self.options.node.ip;
        let confirmed_by = self.core().into_iter().filter(|ip| *ip == own).collect();
        let since = self.clock.now();
        self.confirmations.begin(Pending { call, record, confirmed_by, since, requested_at: None });
        self.review_confirmations();
    }

    /// A peer has merged the records with this number.
    pub(crate) fn on_records_confirmed(&mut self, number: u64, from: Ipv4Addr, index: LogIndex) {
        if !self.confirmations.confirm(number, from, index) {
            return;
        }
        if index > self.replica.state().index {
            self.fetch_entries(from);
        }
        self.review_confirmations();
    }

    /// Takes each pending call a step further.
    pub(crate) fn review_confirmations(&mut self) {
        let (now, core) = (self.clock.now(), self.core());
        let is_log_current = self.replica.state().index >= self.confirmations.newest_index;
        let progress =
            |(number, pending): (&u64, &Pending)| (*number, pending.progress(now, &core, is_log_current));
        let steps: Vec<(u64, Progress)> = self.confirmations.pending.iter().map(progress).collect();
        for (number, step) in steps {
            match step {
                Progress::Wait => {}
                Progress::Request => self.request_confirmation(number, &core),
                Progress::Confirm => self.conclude_confirmed(number),
                Progress::TimeOut => self.conclude_timed_out(number),
            }
        }
    }

    fn request_confirmation(&mut self, number: u64, core: &[Ipv4Addr]) {
        let Some(pending) = self.confirmations.pending.get_mut(&number) else { return };
        pending.requested_at = Some(self.clock.now());
        let message = PeerMessage::BackendRecords(vec![pending.record.clone()], Some(number));
        for ip in core.iter().filter(|ip| !pending.confirmed_by.contains(ip)) {
            self.outbox.send(*ip, message.clone());
        }
    }

    fn conclude_confirmed(&mut self, number: u64) {
        let Some(pending) = self.confirmations.pending.remove(&number) else { return };
        self.confirmations.record_end(&pending.record);
        self.outbox.respond_done(pending.call);
    }

    fn conclude_timed_out(&mut self, number: u64) {
        let Some(pending) = self.confirmations.pending.remove(&number) else { return };
        self.outbox.respond(pending.call, Reply::Unavailable("too few of the core answer"));
    }
}
