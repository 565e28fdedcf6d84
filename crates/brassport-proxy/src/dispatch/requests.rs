//! The table of requests in flight.

use super::options::RequestOutcome;
use crate::body::ResponseBody;
use crate::deadline::ResettableDeadline;
use crate::hooks::{RequestEnd, RequestHooks};
use crate::upstream::{UpstreamRequest, UsedConnections};
use brassport_policy::{CustomerId, Request, RequestId};
use hyper::Response;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::sync::oneshot;

/// A request that awaits its outcome or the ends of its attempts.
pub(super) struct InFlight {
    pub(super) request: Request,
    /// The client-supplied or generated id; unique among the requests in flight.
    pub(super) name: String,
    pub(super) message: Rc<UpstreamRequest>,
    /// The deadline; a provisional value far in the future while the request is being uploaded.
    pub(super) deadline: Rc<ResettableDeadline>,
    /// The channel for the outcome; `None` after the outcome was sent or the client has disconnected.
    pub(super) client: Option<oneshot::Sender<RequestOutcome>>,
    /// An error response of a backend. It is sent to the client if no other attempt succeeds.
    pub(super) error_response: Option<Response<ResponseBody>>,
    /// The connections that its attempts were sent on.
    pub(super) used_connections: Rc<UsedConnections>,
    attempts: Vec<Attempt>,
}

/// An attempt of a request. It stays in flight until its end, even after it was cancelled.
struct Attempt {
    /// The cancellation channel; `None` after the attempt was cancelled.
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
            error_response: None,
            used_connections: Rc::default(),
            attempts: Vec::new(),
        }
    }

    /// Adds an attempt. Returns its number and the receiver of its cancellation.
    pub(super) fn add_attempt(&mut self) -> (u8, oneshot::Receiver<()>) {
        let (cancel, cancelled) = oneshot::channel();
        let number = self.attempts.len() as u8;
        self.attempts.push(Attempt { cancel: Some(cancel), is_in_flight: true });
        (number, cancelled)
    }

    pub(super) fn cancel_attempt(&mut self, number: u8) {
        let attempt = self.attempts.get_mut(usize::from(number));
        if let Some(cancel) = attempt.and_then(|attempt| attempt.cancel.take()) {
            // Sending fails only if the attempt has already ended.
            let _ = cancel.send(());
        }
    }

    pub(super) fn end_attempt(&mut self, number: u8) {
        if let Some(attempt) = self.attempts.get_mut(usize::from(number)) {
            attempt.is_in_flight = false;
        }
    }

    /// Whether the client still waits for the outcome.
    pub(super) fn is_awaited(&self) -> bool {
        self.client.is_some()
    }

    fn attempts_in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.is_in_flight).count()
    }

    fn is_finished(&self) -> bool {
        !self.is_awaited() && self.attempts_in_flight() == 0
    }
}

/// All requests in flight. A request is removed when it has its outcome and its last attempt has ended.
pub(super) struct RequestTable {
    requests: BTreeMap<RequestId, InFlight>,
    /// The names of the requests in flight. Duplicates are rejected, so that a request cannot take effect twice.
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

    /// Reserves a name. Returns the id for the new request, or `None` if a request of this name is in flight.
    pub(super) fn reserve(&mut self, name: &str) -> Option<RequestId> {
        if !self.names.insert(name.to_owned()) {
            return None;
        }
        self.last_id += 1;
        Some(self.last_id)
    }

    /// Inserts a request with the id that [`reserve`](RequestTable::reserve) returned.
    pub(super) fn insert(&mut self, request: InFlight) {
        if let Some(hooks) = &self.hooks {
            hooks.on_admitted(&request.name, &request.request);
        }
        self.requests.insert(request.request.id, request);
    }

    /// Generates a unique name. The prefix `~` separates it from client-supplied ids, in which programs must not accept
    /// `~`.
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

    /// The customer of each attempt in flight; a customer is listed once per attempt.
    pub(super) fn attempts_in_flight(&self) -> Vec<CustomerId> {
        let of_request = |in_flight: &InFlight| {
            std::iter::repeat_n(in_flight.request.customer, in_flight.attempts_in_flight())
        };
        self.requests.values().flat_map(of_request).collect()
    }

    /// Sends a request's outcome to its client, unless an outcome was already sent or the client has disconnected.
    pub(super) fn resolve(&mut self, id: RequestId, outcome: RequestOutcome) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if let Some(client) = request.client.take() {
            if let Some(hooks) = &self.hooks {
                hooks.on_request_end(id, outcome.end());
            }
            // Sending fails only if the client has disconnected.
            let _ = client.send(outcome);
        }
        self.remove_if_finished(id);
    }

    /// Records that the client of a request has disconnected. Returns false if the request already had its outcome.
    pub(super) fn client_left(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        if request.client.take().is_none() {
            return false;
        }
        if let Some(hooks) = &self.hooks {
            hooks.on_request_end(id, RequestEnd::ClientLeft);
        }
        self.remove_if_finished(id);
        true
    }

    /// Fails every request that awaits its outcome. Requests stay in the table until their attempts have ended.
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

    /// Removes a request if it has its outcome and none of its attempts is in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if !self.get(id).is_some_and(InFlight::is_finished) {
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
