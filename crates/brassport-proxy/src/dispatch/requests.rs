//! The requests in flight: their state, their names and their one outcome.

use super::options::RequestOutcome;
use crate::body::ResponseBody;
use crate::deadline::ResettableDeadline;
use crate::hooks::{RequestEnd, RequestHooks};
use crate::upstream::UpstreamRequest;
use brassport_policy::{CustomerId, Request, RequestId};
use hyper::Response;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::oneshot;

/// A request that awaits its outcome or the ends of its attempts.
pub(super) struct InFlight {
    pub(super) request: Request,
    /// Its client's name for it.
    pub(super) name: String,
    pub(super) message: Rc<UpstreamRequest>,
    /// When its client gives up; far away while it is being uploaded.
    pub(super) deadline: Rc<ResettableDeadline>,
    /// `None` once it is answered or its client has left.
    pub(super) client: Option<oneshot::Sender<RequestOutcome>>,
    /// A backend's response that reports a failure; it is for the client if no attempt does better.
    pub(super) failure: Option<Response<ResponseBody>>,
    attempts: Vec<Attempt>,
}

/// An attempt of a request: in flight until its end, also when it was cancelled.
struct Attempt {
    /// `None` once it was cancelled.
    cancel: Option<oneshot::Sender<()>>,
    is_in_flight: bool,
}

impl InFlight {
    pub(super) fn new(
        request: Request,
        name: String,
        message: Rc<UpstreamRequest>,
        deadline: Rc<ResettableDeadline>,
        client: oneshot::Sender<RequestOutcome>,
    ) -> InFlight {
        InFlight {
            request,
            name,
            message,
            deadline,
            client: Some(client),
            failure: None,
            attempts: Vec::new(),
        }
    }

    /// Adds an attempt: its number, and what is ready once it is cancelled.
    pub(super) fn add_attempt(&mut self) -> (u8, oneshot::Receiver<()>) {
        let (cancel, cancelled) = oneshot::channel();
        let number = self.attempts.len() as u8;
        self.attempts.push(Attempt { cancel: Some(cancel), is_in_flight: true });
        (number, cancelled)
    }

    pub(super) fn cancel_attempt(&mut self, number: u8) {
        let attempt = self.attempts.get_mut(usize::from(number));
        if let Some(cancel) = attempt.and_then(|attempt| attempt.cancel.take()) {
            // An attempt that has ended meanwhile needs no cancelling.
            let _ = cancel.send(());
        }
    }

    pub(super) fn end_attempt(&mut self, number: u8) {
        if let Some(attempt) = self.attempts.get_mut(usize::from(number)) {
            attempt.is_in_flight = false;
        }
    }

    /// Whether its client still waits for its outcome.
    pub(super) fn is_awaited(&self) -> bool {
        self.client.is_some()
    }

    fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_in_flight).count()
    }

    fn is_over(&self) -> bool {
        !self.is_awaited() && self.attempts_in_flight() == 0
    }
}

/// All requests in flight. A request leaves the table once it is answered and its last attempt has ended.
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, InFlight>,
    /// Their names. Guards against a second effect: no two of one name are in flight.
    names: BTreeSet<String>,
    last_id: RequestId,
    last_generated: u64,
    hooks: Option<Rc<dyn RequestHooks>>,
}

impl RequestTable {
    pub(super) fn new(hooks: Option<Rc<dyn RequestHooks>>) -> RequestTable {
        RequestTable {
            requests: BTreeMap::new(),
            names: BTreeSet::new(),
            last_id: 0,
            last_generated: 0,
            hooks,
        }
    }

    pub(super) fn hooks(&self) -> Option<&Rc<dyn RequestHooks>> {
        self.hooks.as_ref()
    }

    /// Reserves a name: the new request's id, or `None` if the name is in flight.
    pub(super) fn reserve(&mut self, name: &str) -> Option<RequestId> {
        if !self.names.insert(name.to_owned()) {
            return None;
        }
        self.last_id += 1;
        Some(self.last_id)
    }

    /// Inserts a request under the id that was reserved for it.
    pub(super) fn insert(&mut self, request: InFlight) {
        if let Some(hooks) = &self.hooks {
            hooks.on_admitted(&request.name, &request.request);
        }
        self.requests.insert(request.request.id, request);
    }

    /// A name that no client can give: `~` is not in their alphabet.
    pub(super) fn generate_name(&mut self) -> String {
        self.last_generated += 1;
        format!("~{}", self.last_generated)
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&InFlight> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut InFlight> {
        self.requests.get_mut(&id)
    }

    pub(super) fn is_awaited(&self, id: RequestId) -> bool {
        self.get(id).is_some_and(InFlight::is_awaited)
    }

    pub(super) fn count(&self) -> usize {
        self.requests.len().max(self.names.len())
    }

    /// The customer of each attempt in flight, as often as it has one.
    pub(super) fn attempts_in_flight(&self) -> Vec<CustomerId> {
        let of_request = |one: &InFlight| std::iter::repeat_n(one.request.customer, one.attempts_in_flight());
        self.requests.values().flat_map(of_request).collect()
    }

    /// Gives a request its outcome, unless it had one before or its client has left.
    pub(super) fn answer(&mut self, id: RequestId, outcome: RequestOutcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(client) = request.client.take() {
            if let Some(hooks) = &self.hooks {
                hooks.on_request_end(id, outcome.end());
            }
            // A client that has left since needs no outcome.
            let _ = client.send(outcome);
        }
        self.remove_if_over(id);
    }

    /// Records that a request's client has left; false if it had its outcome before.
    pub(super) fn client_left(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        if request.client.take().is_none() {
            return false;
        }
        if let Some(hooks) = &self.hooks {
            hooks.on_request_end(id, RequestEnd::ClientLeft);
        }
        self.remove_if_over(id);
        true
    }

    /// Fails every request that awaits its outcome. They stay in the table until their attempts have ended.
    pub(super) fn fail_all(&mut self) {
        for (id, request) in &mut self.requests {
            if let Some(client) = request.client.take() {
                let _ = client.send(RequestOutcome::Failed);
                if let Some(hooks) = &self.hooks {
                    hooks.on_request_end(*id, RequestEnd::Failed);
                }
            }
        }
    }

    /// Removes a request that is answered and has no attempt in flight.
    pub(super) fn remove_if_over(&mut self, id: RequestId) {
        if !self.get(id).is_some_and(InFlight::is_over) {
            return;
        }
        if let Some(request) = self.requests.remove(&id) {
            self.names.remove(&request.name);
            if let Some(hooks) = &self.hooks {
                hooks.on_request_removed(id);
            }
        }
    }
}
