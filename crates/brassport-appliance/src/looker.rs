//! Looks on at the door: keeps the board, knows the studios' plans, and has unsafe requests recorded before they are
//! sent. Lives on the door's thread.

use crate::board::Board;
use crate::keeper::Job;
use crate::protocol::Event;
use crate::site::Site;
use brassport::clock::{Clock, SystemClock};
use brassport::hooks::{AttemptDelay, RequestEnd, RequestHooks};
use brassport::protocol::AttemptTrace;
use brassport_policy::{AttemptEnd, CustomerId, Millis, Request, RequestId, RetrySafety};
use brassport_state::model::State;
use brassport_state::store::Sent;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::mpsc::{SyncSender, TrySendError};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{broadcast, oneshot};

/// The longest that an unsafe request waits for its record. A disk that is slower or broken does not stop traffic;
/// the request counts as unrecorded then.
const RECORD: Duration = Duration::from_millis(50);
/// Ends that could not be handed on and wait for the next; more are forgotten, and show as unfinished after a cut.
const ENDS: usize = 4096;

pub struct Looker {
    start: Instant,
    pub site: Site,
    pub board: RefCell<Board>,
    pub state: RefCell<Arc<State>>,
    pub unfinished: Cell<u64>,
    /// Rows of the last-known list that are durable.
    pub last_known: Cell<usize>,
    pub read_only: RefCell<Option<String>>,
    plans: RefCell<BTreeMap<CustomerId, usize>>,
    /// Requests that the record holds.
    recorded: RefCell<BTreeSet<RequestId>>,
    ends: RefCell<Vec<String>>,
    unrecorded: Rc<Cell<u64>>,
    jobs: SyncSender<Job>,
    events: broadcast::Sender<Event>,
}

impl Looker {
    pub fn new(
        site: Site,
        state: Arc<State>,
        unfinished: u64,
        jobs: SyncSender<Job>,
        events: broadcast::Sender<Event>,
    ) -> Looker {
        let looker = Looker {
            start: SystemClock.now(),
            board: RefCell::new(Board::new(site.classes.len())),
            site,
            state: RefCell::new(state.clone()),
            unfinished: Cell::new(unfinished),
            last_known: Cell::default(),
            read_only: RefCell::default(),
            plans: RefCell::default(),
            recorded: RefCell::default(),
            ends: RefCell::default(),
            unrecorded: Rc::default(),
            jobs,
            events,
        };
        looker.take(state);
        looker
    }

    pub fn now(&self) -> Millis {
        SystemClock.now().saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    pub fn unrecorded(&self) -> u64 {
        self.unrecorded.get()
    }

    /// Takes a state that is durable. A plan that the site's file no longer has is passed over.
    pub fn take(&self, state: Arc<State>) {
        let known = |name: &String| self.site.plans.iter().position(|plan| plan == name);
        let plans = state.plans.iter().filter_map(|(studio, plan)| Some((*studio, known(plan)?)));
        *self.plans.borrow_mut() = plans.collect();
        self.board.borrow_mut().listed(&state);
        *self.state.borrow_mut() = state;
    }

    /// Notes an event, and tells those who listen.
    pub fn event(&self, text: String) {
        let event = self.board.borrow_mut().event(unix_ms(), text);
        // With nobody listening it is on the board all the same.
        let _ = self.events.send(event);
    }

    /// The ends that found no room on the way, for the end of the program.
    pub fn last_ends(&self) -> Vec<String> {
        self.ends.take()
    }

    fn hand_on_ends(&self) {
        let mut ends = self.ends.borrow_mut();
        if ends.is_empty() {
            return;
        }
        if let Err(TrySendError::Full(Job::Ended(back))) =
            self.jobs.try_send(Job::Ended(std::mem::take(&mut ends)))
        {
            *ends = back;
            ends.truncate(ENDS);
        }
    }
}

pub fn unix_ms() -> u64 {
    SystemClock.unix_time().as_millis() as u64
}

impl RequestHooks for Looker {
    fn plan_override(&self, customer: CustomerId) -> Option<usize> {
        self.plans.borrow().get(&customer).copied()
    }

    fn on_admitted(&self, name: &str, request: &Request) {
        self.board.borrow_mut().admitted(self.now(), name, request);
    }

    fn before_attempt(&self, request: RequestId, node: &str) -> Option<AttemptDelay> {
        self.board.borrow_mut().sending(request, node);
        let board = self.board.borrow();
        let (name, class, studio) = board.describe(request)?;
        if self.site.settings.classes[class].retry_safety == RetrySafety::Idempotent {
            return None;
        }
        let sent = Sent {
            request: name.to_string(),
            class: self.site.classes[class].clone(),
            studio,
            node: node.to_string(),
            at_ms: unix_ms(),
        };
        let (reply, durable) = oneshot::channel();
        let asked =
            self.read_only.borrow().is_none() && self.jobs.try_send(Job::Sending(sent, reply)).is_ok();
        if !asked {
            self.unrecorded.set(self.unrecorded.get() + 1);
            return None;
        }
        self.recorded.borrow_mut().insert(request);
        let unrecorded = self.unrecorded.clone();
        Some(Box::pin(async move {
            if !matches!(SystemClock.timeout(RECORD, durable).await, Some(Ok(true))) {
                unrecorded.set(unrecorded.get() + 1);
            }
        }))
    }

    fn on_attempt_end(&self, node: &str, end: &AttemptEnd, _: &AttemptTrace) {
        self.board.borrow_mut().attempt_ended(self.now(), node, end);
    }

    fn on_request_end(&self, request: RequestId, verdict: RequestEnd) {
        self.board.borrow_mut().answered(self.now(), request, verdict);
    }

    fn on_request_removed(&self, request: RequestId) {
        let mut board = self.board.borrow_mut();
        if self.recorded.borrow_mut().remove(&request) {
            if let Some((name, ..)) = board.describe(request) {
                self.ends.borrow_mut().push(name.to_string());
            }
            self.hand_on_ends();
        }
        board.departed(request);
    }
}
