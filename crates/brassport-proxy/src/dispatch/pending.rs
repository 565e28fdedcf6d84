//! The client's handle of an admitted request.

use super::dispatcher::Dispatcher;
use super::options::RequestOutcome;
use crate::clock::Clock;
use crate::deadline::ResettableDeadline;
use crate::network::Network;
use brassport_policy::{Event, RequestId};
use std::rc::Rc;
use tokio::sync::oneshot;

/// An admitted request that awaits its outcome. Dropping it before the outcome is available notifies the policy that
/// the client has disconnected.
pub struct PendingRequest<C: Clock, N: Network> {
    dispatcher: Rc<Dispatcher<C, N>>,
    id: RequestId,
    deadline: Rc<ResettableDeadline>,
    outcome: oneshot::Receiver<RequestOutcome>,
}

impl<C: Clock, N: Network> PendingRequest<C, N> {
    pub(super) fn new(
        dispatcher: Rc<Dispatcher<C, N>>,
        id: RequestId,
        deadline: Rc<ResettableDeadline>,
        outcome: oneshot::Receiver<RequestOutcome>,
    ) -> PendingRequest<C, N> {
        PendingRequest { dispatcher, id, deadline, outcome }
    }

    /// Returns a callback that must be called when an upload has been received and forwarded completely. It starts the
    /// deadline of the request.
    pub fn completion_callback(&self) -> impl FnOnce() + 'static {
        let (dispatcher, id) = (self.dispatcher.clone(), self.id);
        move || dispatcher.upload_completed(id)
    }

    /// Waits for the final outcome. The request fails at its deadline if there is no outcome by then.
    pub async fn outcome(mut self) -> RequestOutcome {
        let deadline = self.deadline.clone();
        let dispatcher = self.dispatcher.clone();
        tokio::select! {
            biased;
            outcome = &mut self.outcome => outcome.unwrap_or(RequestOutcome::Failed),
            () = deadline.passed(dispatcher.clock.base()) => RequestOutcome::Failed,
        }
    }
}

impl<C: Clock, N: Network> Drop for PendingRequest<C, N> {
    fn drop(&mut self) {
        let was_awaited = self.dispatcher.state.borrow_mut().requests.client_left(self.id);
        if was_awaited {
            self.dispatcher.handle(Event::ClientDisconnected(self.id));
        }
    }
}
