//! A client's wait for the outcome of its request.

use super::dispatcher::Dispatcher;
use super::options::RequestOutcome;
use crate::clock::Clock;
use crate::deadline::ResettableDeadline;
use crate::network::Network;
use brassport_policy::{Event, RequestId};
use std::rc::Rc;
use tokio::sync::oneshot;

/// A request that was admitted and awaits its outcome. Dropped before that has come, it notifies the policy that the
/// client has left.
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

    /// What is to be called once all of the request has come and been forwarded: the client's time begins then.
    pub fn completion_callback(&self) -> impl FnOnce() + 'static {
        let (dispatcher, id) = (self.dispatcher.clone(), self.id);
        move || dispatcher.upload_completed(id)
    }

    /// The final outcome. Guards against a request that nothing answers: it fails at its deadline.
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
