//! One process's state machine for one task: acquires, renews and releases the lease.

use crate::event::{Action, Event, NoPermitReason, Outcome};
use crate::lease::{Lease, Terms};
use crate::mutants::mutant;
use crate::Millis;

/// The increase of the tokens with each recovery from a lost majority. Holders in the lost changes had tokens too; the
/// increase is larger than the number of holders that a fleet can have between two recoveries, so no token is reused.
const TOKENS_PER_RECOVERY: u64 = 1 << 32;

/// Permission to act once, immediately. Only [`Task::permit`] creates one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Permit {
    token: u64,
    until: Millis,
}

impl Permit {
    /// The fencing token, to be sent with the act to a resource that rejects lower tokens.
    pub fn token(&self) -> u64 {
        self.token
    }

    /// When the permit expires, in milliseconds on the process's own clock. A longer act must be split into steps, each
    /// with its own permit.
    pub fn until(&self) -> Millis {
        self.until
    }
}

/// The newest lease that the process has seen.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct SeenLease {
    version: u64,
    lease: Lease,
    /// When this version was first seen, on this process's clock.
    since: Millis,
}

/// A request in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingRequest {
    sent_at: Millis,
    lease: Lease,
}

/// A due time whose work this process starts once the lease records it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct PendingStart {
    /// The token under which the process held the lease when it requested the start.
    token: u64,
    /// The due time, in Unix milliseconds.
    due_ms: u64,
}

/// The state of one process with regard to one task.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Task {
    instance: String,
    process: u64,
    terms: Terms,
    wants: bool,
    hand_over_to: Option<String>,
    is_acting: bool,
    /// When this process started. A permit may still be valid whose change was committed before the start and lost since, so
    /// the process waits for a full lease after its start.
    started_at: Millis,
    seen: Option<SeenLease>,
    recoveries: u64,
    in_flight: Option<PendingRequest>,
    /// When the permit expires, on this process's clock; `None` if the process may not act.
    permit_until: Option<Millis>,
    last_request_at: Millis,
    pending_start: Option<PendingStart>,
}

impl Task {
    /// The initial state, without a permit, of a process that starts at `now`. It has the number `process` and belongs to the
    /// instance named `me`.
    pub fn new(me: &str, process: u64, terms: Terms, now: Millis) -> Task {
        Task {
            instance: me.into(),
            process,
            terms,
            wants: false,
            hand_over_to: None,
            is_acting: false,
            started_at: now,
            seen: None,
            recoveries: 0,
            in_flight: None,
            permit_until: None,
            last_request_at: now,
            pending_start: None,
        }
    }

    /// The parameters of the lease.
    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// The newest lease that the process has seen, if any.
    pub fn lease(&self) -> Option<&Lease> {
        self.seen.as_ref().map(|seen| &seen.lease)
    }

    /// Permission to act, if this process may act at `now`. To be called immediately before the act.
    pub fn permit(&self, now: Millis) -> Option<Permit> {
        let until = self.permit_until.filter(|until| now < *until || mutant!(PermitNeverExpires))?;
        let token = self.lease().filter(|lease| self.is_mine(lease))?.token;
        Some(Permit { token, until })
    }

    /// The reason why the process may not act. Meaningful only while [`Task::permit`] returns `None`.
    pub fn why(&self, now: Millis) -> NoPermitReason {
        match self.lease() {
            _ if !self.wants => NoPermitReason::NotWanted,
            Some(lease) if lease.held && !self.is_mine(lease) => NoPermitReason::HeldBy(lease.holder.clone()),
            _ if now < self.free_from() => NoPermitReason::Waits,
            _ => NoPermitReason::Asks,
        }
    }

    /// Requests that the lease record this due time (Unix milliseconds) as started, so that no other holder starts its
    /// work again. The work must not start before [`Task::begun`] returns the due time. Without a permit, nothing is
    /// requested for the due time.
    pub fn begin(&mut self, now: Millis, due: u64) -> Vec<Action> {
        self.pending_start =
            self.permit(now).map(|permit| PendingStart { token: permit.token(), due_ms: due });
        self.next_request(now).into_iter().collect()
    }

    /// The due time whose work must start now, with the permit for it; returned once.
    pub fn begun(&mut self, now: Millis) -> Option<(u64, Permit)> {
        let PendingStart { token, due_ms } = self.pending_start?;
        let permit = self.permit(now)?;
        // The start was requested under an earlier token. Another holder may have started the same due time since, so the
        // request is dropped.
        if permit.token() != token {
            self.pending_start = None;
            return None;
        }
        if self.lease()?.begun_for < due_ms {
            return None;
        }
        self.pending_start = None;
        Some((due_ms, permit))
    }

    /// Whether a start is pending until the lease records it.
    pub fn waits_to_begin(&self) -> bool {
        self.pending_start.is_some()
    }

    /// Handles one event at `now` and returns the actions that the host must perform.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        match event {
            Event::Tick => {}
            Event::Wants(wants) => self.wants = wants,
            Event::HandOver(to) => self.hand_over_to = Some(to).filter(|to| *to != self.instance),
            Event::Acting(acting) => self.is_acting = acting,
            Event::Seen { version, lease } => self.on_lease(now, version, lease),
            Event::Recovered(times) => self.recoveries = self.recoveries.max(times),
            Event::Answer(outcome) => self.on_outcome(now, outcome),
        }
        self.next_request(now).into_iter().collect()
    }

    fn is_mine(&self, lease: &Lease) -> bool {
        let is_same_process = lease.process == self.process || mutant!(ProcessIgnored);
        lease.held && lease.holder == self.instance && is_same_process
    }

    fn releases(&self) -> bool {
        !self.wants || self.hand_over_to.is_some()
    }

    fn seen_version(&self) -> u64 {
        self.seen.as_ref().map_or(0, |seen| seen.version)
    }

    fn on_lease(&mut self, now: Millis, version: u64, lease: Lease) {
        if self.seen.as_ref().is_some_and(|seen| version <= seen.version) {
            return;
        }
        if !self.is_mine(&lease) {
            // Another process acquired the lease: this process's permit has expired, or an operator forced the change.
            self.permit_until = None;
        }
        let same_token = self.seen.as_ref().filter(|seen| seen.lease.token == lease.token);
        let since = same_token.filter(|_| mutant!(WaitFromFirstSeen)).map_or(now, |seen| seen.since);
        self.seen = Some(SeenLease { version, lease, since });
    }

    fn on_outcome(&mut self, now: Millis, outcome: Outcome) {
        let Some(request) = self.in_flight.take() else { return };
        match outcome {
            Outcome::Unknown if mutant!(UnknownIsCommitted) && request.lease.held => {
                self.permit_until = Some(request.sent_at + self.terms.length);
                let version = self.seen_version();
                self.seen = Some(SeenLease { version, lease: request.lease, since: now });
            }
            Outcome::Taken { version } => self.on_committed(now, version, request),
            Outcome::Refused | Outcome::Unknown => {}
        }
    }

    fn on_committed(&mut self, now: Millis, version: u64, request: PendingRequest) {
        let acquired = request.lease.held;
        self.on_lease(now, version, request.lease);
        // A later version from the replicated state may have arrived before this response; it takes precedence.
        let is_mine = self.lease().is_some_and(|lease| self.is_mine(lease));
        if acquired && is_mine && !self.releases() {
            let from = if mutant!(PermitFromResponse) { now } else { request.sent_at };
            self.permit_until = self.permit_until.max(Some(from + self.terms.length));
        }
        if !acquired {
            self.hand_over_to = None;
        }
    }

    /// The time from which no other process's permit can be valid, according to the newest lease seen.
    fn free_from(&self) -> Millis {
        let length = self.lease().map_or(self.terms.length, |lease| lease.length.max(self.terms.length));
        let wait = self.terms.bound(length);
        let after_start = if mutant!(NoWaitAtStart) { 0 } else { self.started_at + wait };
        match &self.seen {
            Some(SeenLease { lease, since, .. }) if lease.held || self.is_handed_to_other(lease) => {
                after_start.max(since + wait)
            }
            _ => after_start,
        }
    }

    /// Whether the lease names another instance that may acquire it first.
    fn is_handed_to_other(&self, lease: &Lease) -> bool {
        lease.next.as_ref().is_some_and(|next| *next != self.instance)
    }

    /// The request to send now, if any. Only one request is in flight at a time.
    fn next_request(&mut self, now: Millis) -> Option<Action> {
        if self.in_flight.is_some() {
            return None;
        }
        let mine = self.lease().filter(|lease| self.is_mine(lease)).cloned();
        let lease = match mine {
            Some(lease) if self.releases() => self.release(lease),
            Some(lease) => self.renewal(now, lease),
            None => self.acquisition(now),
        }?;
        self.last_request_at = now;
        self.in_flight = Some(PendingRequest { sent_at: now, lease: lease.clone() });
        Some(Action::Publish { seen: self.seen_version(), lease })
    }

    /// Ends the permit, then returns the released lease, or `None` while an act is in progress.
    fn release(&mut self, lease: Lease) -> Option<Lease> {
        if !mutant!(ReleasedEarly) {
            self.permit_until = None;
            if self.is_acting {
                return None;
            }
        }
        Some(Lease { held: false, next: self.hand_over_to.clone(), ..lease })
    }

    /// The lease to publish if a renewal is due, there is no permit, or a start is to be recorded.
    fn renewal(&self, now: Millis, lease: Lease) -> Option<Lease> {
        let pending_start = self.pending_start.filter(|start| start.token == lease.token);
        let due_ms = pending_start.map_or(0, |start| start.due_ms);
        let is_due = now >= self.last_request_at + self.terms.renewal
            || self.permit_until.is_none()
            || due_ms > lease.begun_for;
        is_due.then(|| Lease { begun_for: lease.begun_for.max(due_ms), ..lease })
    }

    /// The lease to publish under a new token, if the lease is free and this process wants it.
    fn acquisition(&mut self, now: Millis) -> Option<Lease> {
        if self.releases() || now < self.free_from() {
            self.hand_over_to = None;
            return None;
        }
        self.pending_start = None;
        let last_token = self.lease().map_or(0, |lease| lease.token);
        let token = if mutant!(TokenReused) { last_token.max(1) } else { last_token + 1 };
        Some(Lease {
            holder: self.instance.clone(),
            process: self.process,
            token: token.max(self.recoveries * TOKENS_PER_RECOVERY + 1),
            length: self.terms.length,
            held: true,
            next: None,
            begun_for: self.lease().map_or(0, |lease| lease.begun_for),
        })
    }
}
