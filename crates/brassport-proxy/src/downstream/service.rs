//! What a program does with its clients' requests.

use super::registry::{ConnectionRegistry, DownstreamConnection};
use crate::body::ResponseBody;
use crate::clock::Clock;
use crate::date::DateHeader;
use crate::network::Network;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response, StatusCode};
use std::future::{pending, Future};
use std::os::fd::OwnedFd;
use std::rc::Rc;

/// A program's side of its clients' connections.
///
/// The phases of a request, in order: [`on_request`](DownstreamService::on_request),
/// [`respond`](DownstreamService::respond), then either [`on_response`](DownstreamService::on_response) or, for a
/// response that is forwarded as it arrives, [`on_stream_end`](DownstreamService::on_stream_end).
pub trait DownstreamService: 'static {
    /// The clock of this program.
    type Clock: Clock;
    /// The network of its clients.
    type Network: Network;
    /// What is kept of a request from its head to the end of its response.
    type RequestContext: 'static;

    /// The clock of this program.
    fn clock(&self) -> &Self::Clock;

    /// The registry of its client connections.
    fn connections(&self) -> &Rc<ConnectionRegistry<Self::Clock>>;

    /// The `Date` header of its responses.
    fn date(&self) -> &DateHeader;

    /// The head of a request has come.
    fn on_request(&self, request: &Request<Incoming>) -> Self::RequestContext;

    /// The response to a request.
    ///
    /// # Errors
    /// The response, where its connection must not be used again.
    fn respond(
        &self,
        request: Request<Incoming>,
        client: &DownstreamConnection<Self::Clock>,
        context: &Self::RequestContext,
    ) -> impl Future<Output = Result<Response<ResponseBody>, Response<ResponseBody>>>;

    /// The response to a request on a connection that was accepted while all others were busy; in place of
    /// [`respond`](DownstreamService::respond).
    fn overload_response(&self) -> Response<ResponseBody>;

    /// A request has its response, all of it in memory.
    fn on_response(context: &Self::RequestContext, status: StatusCode);

    /// A response that was forwarded as it arrived has ended, completely or not.
    fn on_stream_end(context: &Self::RequestContext, is_complete: bool);

    /// Closes an idle connection to a backend, for its descriptor; false if there is none.
    fn evict_idle(&self) -> bool;

    /// Whether it still serves; if not, each response closes its connection.
    fn is_serving(&self) -> bool;

    /// Ready once no client is accepted any more and idle connections are to close.
    fn closing(&self) -> impl Future<Output = ()>;

    /// Whether clients are accepted now. Until they are they wait in the queue of the listening socket.
    fn is_accepting(&self) -> bool {
        true
    }

    /// Ready while clients are accepted, or, with `false`, while they are not.
    fn until_accepting(&self, accepts: bool) -> impl Future<Output = ()> {
        async move {
            if !accepts {
                pending::<()>().await;
            }
        }
    }

    /// Whether another process has taken this one's place, and takes its client connections.
    fn is_handed_over(&self) -> bool {
        false
    }

    /// Ready once another process has taken this one's place.
    fn handed_over(&self) -> impl Future<Output = ()> {
        pending()
    }

    /// Passes a client connection to that process, with what was read from it and how many requests it has had.
    fn hand_over(&self, socket: OwnedFd, buffered: Bytes, request_count: u32) {
        let _ = (socket, buffered, request_count);
    }
}
