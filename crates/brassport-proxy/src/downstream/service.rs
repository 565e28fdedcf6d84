//! The interface by which a program handles the requests of its clients.

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

/// Handles client connections and requests for a program.
///
/// For each request, these methods are called in order: [`on_request`](DownstreamService::on_request),
/// [`respond`](DownstreamService::respond), then either [`on_response`](DownstreamService::on_response) or, for a
/// streamed response, [`on_stream_end`](DownstreamService::on_stream_end).
pub trait DownstreamService: 'static {
    /// The type of the program's clock.
    type Clock: Clock;
    /// The network on which clients connect.
    type Network: Network;
    /// The program's data for a request, kept from its head to the end of its response.
    type RequestContext: 'static;

    /// The program's clock.
    fn clock(&self) -> &Self::Clock;

    /// The registry of the program's client connections.
    fn connections(&self) -> &Rc<ConnectionRegistry<Self::Clock>>;

    /// The cache for the `Date` header of responses.
    fn date(&self) -> &DateHeader;

    /// Called when the head of a request has been received.
    fn on_request(&self, request: &Request<Incoming>) -> Self::RequestContext;

    /// Returns the response to a request.
    ///
    /// # Errors
    /// The error is a response too. The connection is closed after this response.
    fn respond(
        &self,
        request: Request<Incoming>,
        client: &DownstreamConnection<Self::Clock>,
        context: &Self::RequestContext,
    ) -> impl Future<Output = Result<Response<ResponseBody>, Response<ResponseBody>>>;

    /// The response to a request on a connection that was accepted when all other descriptors were in use. Replaces
    /// [`respond`](DownstreamService::respond) for that request.
    fn overload_response(&self) -> Response<ResponseBody>;

    /// Called when a request has a response that is completely buffered.
    fn on_response(context: &Self::RequestContext, status: StatusCode);

    /// Called when a streamed response has ended. `is_complete` is false if it was truncated.
    fn on_stream_end(context: &Self::RequestContext, is_complete: bool);

    /// Closes an idle connection to a backend to free its descriptor. Returns false if there is none.
    fn evict_idle(&self) -> bool;

    /// Whether the program is in normal operation. If not, each response closes its connection.
    fn is_serving(&self) -> bool;

    /// Completes when no more clients are accepted and idle connections have to be closed.
    fn closing(&self) -> impl Future<Output = ()>;

    /// Whether clients are currently accepted. Otherwise they wait in the listen queue.
    fn is_accepting(&self) -> bool {
        true
    }

    /// Completes when clients are accepted (`accepts` is true) or when they are not (`accepts` is false).
    fn until_accepting(&self, accepts: bool) -> impl Future<Output = ()> {
        async move {
            if !accepts {
                pending::<()>().await;
            }
        }
    }

    /// Whether another process has replaced this one and takes over its client connections.
    fn is_handed_over(&self) -> bool {
        false
    }

    /// Completes when another process has replaced this one.
    fn handed_over(&self) -> impl Future<Output = ()> {
        pending()
    }

    /// Passes a client connection to the process that replaced this one, with the bytes that were read but not
    /// processed and the number of requests on the connection.
    fn hand_over(&self, socket: OwnedFd, buffered: Bytes, request_count: u32) {
        let _ = (socket, buffered, request_count);
    }
}
