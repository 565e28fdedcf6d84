//! A backend's drain or deregistration is acknowledged once a majority of the core has its record. The majority then
//! disseminates the record to every node in contact.
//!
//! The majority is taken over the voters known to this node. Each confirmation carries the index up to which its sender
//! has applied the log. If a confirmation reports a higher index than that of this node, this node may not know the
//! current voters, and acknowledges nothing until it has caught up.

use crate::backends::{Backend, BackendState};
use crate::call::Reply;
use crate::control_plane::ControlPlane;
use crate::peer_message::PeerMessage;
use crate::Millis;
use brassport_types::LogIndex;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// How long a call waits for confirmations. Its caller times out after one second.
const TIMEOUT_MS: Millis = 900;
/// Time until the second request to the core nodes that have not confirmed. It doubles with each further request, so
/// that requests about many backends at once do not saturate the links of the core.
const RETRY_INTERVAL_MS: Millis = 120;
/// Maximum number of confirmed departures to remember, so that a repeated call is answered at once.
const MAX_CONFIRMED_DEPARTURES: usize = 10_000;

/// A call that is answered once a majority of the core has its record.
#[derive(Debug)]
struct Pending {
    call: u64,
    record: Backend,
    confirmed_by: BTreeSet<Ipv4Addr>,
    since: Millis,
    next_request_at: Millis,
    retry_interval_ms: Millis,
}

/// The next step for a pending call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextStep {
    Wait,
    Request,
    Confirm,
    TimeOut,
}

impl Pending {
    /// The next request. The first one contains only the departure, which is short. Later ones contain the complete
    /// record, which nodes of earlier releases need.
    fn request(&self, number: u64) -> PeerMessage {
        match self.record.departure() {
            Some(departure) if self.retry_interval_ms == RETRY_INTERVAL_MS => {
                PeerMessage::ConfirmDeparture(number, departure)
            }
            _ => PeerMessage::BackendRecords(vec![self.record.clone()], Some(number)),
        }
    }

    fn next_step(&self, now: Millis, core: &[Ipv4Addr], is_log_current: bool) -> NextStep {
        let confirmed = core.iter().filter(|ip| self.confirmed_by.contains(ip)).count();
        if confirmed > core.len() / 2 && is_log_current {
            NextStep::Confirm
        } else if now >= self.since + TIMEOUT_MS {
            NextStep::TimeOut
        } else if now >= self.next_request_at {
            NextStep::Request
        } else {
            NextStep::Wait
        }
    }
}

/// The ID of a backend, and whether it terminated (`true`) or drains (`false`).
type Departure = (String, bool);

fn departure_of(record: &Backend) -> Departure {
    (record.id.clone(), record.state == BackendState::Terminated)
}

/// The calls that wait for confirmation by the core.
#[derive(Debug)]
pub(crate) struct Confirmations {
    pending: BTreeMap<u64, Pending>,
    last_number: u64,
    /// The highest log index reported with a confirmation.
    newest_index: LogIndex,
    confirmed_departures: BTreeSet<Departure>,
}

impl Confirmations {
    /// The numbers of confirmation requests start at a value that depends on the seed, so that a confirmation requested
    /// by an earlier incarnation of this node does not match a pending call.
    pub(crate) fn new(seed: u64) -> Confirmations {
        Confirmations {
            pending: BTreeMap::new(),
            last_number: seed >> 16,
            newest_index: LogIndex(0),
            confirmed_departures: BTreeSet::new(),
        }
    }

    fn begin(&mut self, pending: Pending) {
        self.last_number += 1;
        self.pending.insert(self.last_number, pending);
    }

    /// Records a peer's confirmation. Returns whether the call is still pending.
    fn confirm(&mut self, number: u64, from: Ipv4Addr, index: LogIndex) -> bool {
        let Some(pending) = self.pending.get_mut(&number) else { return false };
        pending.confirmed_by.insert(from);
        self.newest_index = self.newest_index.max(index);
        true
    }

    fn record_departure(&mut self, record: &Backend) {
        self.confirmed_departures.insert(departure_of(record));
        while self.confirmed_departures.len() > MAX_CONFIRMED_DEPARTURES {
            self.confirmed_departures.pop_first();
        }
    }
}

impl ControlPlane {
    /// Answers a call once a majority of the core has this record. Fails at once if no core node is in contact.
    pub(crate) fn confirm_by_core(&mut self, call: u64, record: Backend) {
        if self.confirmations.confirmed_departures.contains(&departure_of(&record)) {
            return self.outbox.respond_done(call);
        }
        if self.is_core_unreachable() {
            return self.outbox.respond(call, Reply::Unavailable("none of the core is heard"));
        }
        let own = self.options.node.ip;
        let confirmed_by = self.core().into_iter().filter(|ip| *ip == own).collect();
        let since = self.clock.now();
        let retry_interval_ms = RETRY_INTERVAL_MS;
        let pending =
            Pending { call, record, confirmed_by, since, next_request_at: since, retry_interval_ms };
        self.confirmations.begin(pending);
        self.review_confirmations();
    }

    /// Handles a peer's confirmation that it merged the records with this number.
    pub(crate) fn on_records_confirmed(&mut self, number: u64, from: Ipv4Addr, index: LogIndex) {
        if !self.confirmations.confirm(number, from, index) {
            return;
        }
        if index > self.replica.state().index {
            self.fetch_entries(from);
        }
        self.review_confirmations();
    }

    /// Advances each pending call.
    pub(crate) fn review_confirmations(&mut self) {
        let (now, core) = (self.clock.now(), self.core());
        let is_log_current = self.replica.state().index >= self.confirmations.newest_index;
        let next_step =
            |(number, pending): (&u64, &Pending)| (*number, pending.next_step(now, &core, is_log_current));
        let steps: Vec<(u64, NextStep)> = self.confirmations.pending.iter().map(next_step).collect();
        for (number, step) in steps {
            match step {
                NextStep::Wait => {}
                NextStep::Request => self.request_confirmation(number, &core),
                NextStep::Confirm => self.conclude_confirmed(number),
                NextStep::TimeOut => self.conclude_timed_out(number),
            }
        }
    }

    fn request_confirmation(&mut self, number: u64, core: &[Ipv4Addr]) {
        let Some(pending) = self.confirmations.pending.get_mut(&number) else { return };
        let message = pending.request(number);
        pending.next_request_at = self.clock.now() + pending.retry_interval_ms;
        pending.retry_interval_ms *= 2;
        for ip in core.iter().filter(|ip| !pending.confirmed_by.contains(ip)) {
            self.outbox.send(*ip, message.clone());
        }
    }

    fn conclude_confirmed(&mut self, number: u64) {
        let Some(pending) = self.confirmations.pending.remove(&number) else { return };
        self.confirmations.record_departure(&pending.record);
        self.outbox.respond_done(pending.call);
    }

    fn conclude_timed_out(&mut self, number: u64) {
        let Some(pending) = self.confirmations.pending.remove(&number) else { return };
        self.outbox.respond(pending.call, Reply::Unavailable("too few of the core answer"));
    }
}
