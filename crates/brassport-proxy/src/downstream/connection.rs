//! One client connection, from its first byte to its close.
//!
//! [`ConnectionTask`] owns the socket. It ends when the client or a response closes the connection, when the registry
//! requests it, when the graceful shutdown closes it, or when the connection is handed over to another process.

use super::phase::ConnectionPhase;
use super::registry::DownstreamConnection;
use super::service::DownstreamService;
use super::stream::MeteredStream;
use crate::body::ResponseBody;
use crate::clock::Clock;
use crate::mutants::mutant;
use crate::network::Network;
use hyper::body::{Bytes, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::{service_fn, Service};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::OwnedSemaphorePermit;

/// Maximum size of a request's head.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Whether the requests of a connection are served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Admission {
    /// Requests are served.
    Served,
    /// The connection was accepted when all descriptors beyond the reserve were in use. Its first request is rejected,
    /// then it is closed.
    Overloaded,
}

/// The task of one client connection.
pub(super) struct ConnectionTask<S: DownstreamService> {
    pub(super) stream: <S::Network as Network>::Stream,
    /// The bytes that another process has read from the connection but not processed.
    pub(super) buffered: Bytes,
    pub(super) descriptor: OwnedSemaphorePermit,
    pub(super) service: Rc<S>,
    pub(super) admission: Admission,
    pub(super) client: Rc<DownstreamConnection<S::Clock>>,
}

/// The hyper state machine of a connection.
type Serving<C, S, H> = http1::Connection<TokioIo<MeteredStream<C, S>>, H>;

/// Why serving a connection ended.
enum ServingEnd {
    /// The connection was closed normally or failed.
    Ended(Result<(), hyper::Error>),
    /// The connection is to be handed over to another process.
    HandedOver,
    /// The registry requested to close the connection.
    CloseRequested,
}

impl<S: DownstreamService> ConnectionTask<S> {
    /// Serves the connection to its end. When this completes, the socket is closed or handed over.
    pub(super) async fn run(self) {
        let ConnectionTask { stream, buffered, descriptor, service, admission, client } = self;
        let stream = MeteredStream::new(stream, buffered, client.clone());
        let handler = service_fn(|request| {
            client.set_phase(ConnectionPhase::Active);
            respond(service.clone(), client.clone(), admission, request)
        });
        // The date header is added by `add_headers`, from the abstract clock; hyper would read the system clock.
        let mut serving = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .auto_date_header(false)
            .serve_connection(TokioIo::new(stream), handler);
        match serve_until_end(&*service, &client, &mut serving).await {
            ServingEnd::Ended(result) if result.is_err() || client.phase() == ConnectionPhase::Final => {
                close_lingering(&client, serving).await;
            }
            ServingEnd::Ended(_) | ServingEnd::CloseRequested => {}
            ServingEnd::HandedOver => hand_over(&*service, &client, serving, descriptor),
        }
    }
}

/// Drives a connection until it ends, the registry requests to close it, or it is to be handed over.
async fn serve_until_end<S, IO, H>(
    service: &S,
    client: &DownstreamConnection<S::Clock>,
    serving: &mut Serving<S::Clock, IO, H>,
) -> ServingEnd
where
    S: DownstreamService,
    IO: AsyncRead + AsyncWrite + Unpin,
    H: Service<Request<Incoming>, Response = Response<ResponseBody>, Error = Infallible>,
{
    let mut closing = pin!(service.closing());
    let mut is_closing = false;
    loop {
        tokio::select! {
            biased;
            ended = &mut *serving => return ServingEnd::Ended(ended),
            // Polled after the first branch, so that it is checked whenever bytes were read or written.
            () = poll_fn(|_| if can_hand_over(service, client) { Poll::Ready(()) } else { Poll::Pending }) => {
                return ServingEnd::HandedOver;
            }
            // Wakes the branch above.
            () = service.handed_over(), if !service.is_handed_over() => {}
            () = &mut closing, if !is_closing => {
                // An idle connection closes immediately, a busy one after its response.
                is_closing = true;
                if mutant!(CloseWithoutAnswer) {
                    return ServingEnd::CloseRequested;
                }
                std::pin::Pin::new(&mut *serving).graceful_shutdown();
            }
            () = client.close_requested() => return ServingEnd::CloseRequested,
        }
    }
}

/// Whether the connection can now be handed over to the process that has replaced this one.
fn can_hand_over<S: DownstreamService>(service: &S, client: &DownstreamConnection<S::Clock>) -> bool {
    service.is_handed_over() && client.is_between_requests()
}

fn hand_over<S, H>(
    service: &S,
    client: &DownstreamConnection<S::Clock>,
    serving: Serving<S::Clock, <S::Network as Network>::Stream, H>,
    descriptor: OwnedSemaphorePermit,
) where
    S: DownstreamService,
    H: Service<Request<Incoming>, Response = Response<ResponseBody>, Error = Infallible>,
{
    let parts = serving.into_parts();
    if let Ok(socket) = S::Network::stream_into_fd(parts.io.into_inner().into_stream()) {
        service.hand_over(socket, parts.read_buf, client.request_count());
        // The other process accounts for the descriptor from now on.
        descriptor.forget();
    }
}

/// Closes a connection whose client may still be sending, after its final response or after an error. Lingers so that
/// the client can read the response.
async fn close_lingering<C, IO, H>(client: &DownstreamConnection<C>, serving: Serving<C, IO, H>)
where
    C: Clock,
    IO: AsyncRead + AsyncWrite + Unpin,
    H: Service<Request<Incoming>, Response = Response<ResponseBody>, Error = Infallible>,
{
    client.set_phase(ConnectionPhase::Final);
    tokio::select! {
        biased;
        () = serving.into_parts().io.into_inner().linger() => {}
        // The descriptor is needed for another connection.
        () = client.close_requested() => {}
    }
}

/// Responds to one request and sets the resulting phase of the connection.
async fn respond<S: DownstreamService>(
    service: Rc<S>,
    client: Rc<DownstreamConnection<S::Clock>>,
    admission: Admission,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let context = service.on_request(&request);
    let response = match admission {
        Admission::Served => service.respond(request, &client, &context).await,
        Admission::Overloaded => Err(service.overload_response()),
    };
    client.set_phase(if response.is_err() { ConnectionPhase::Final } else { ConnectionPhase::Idle });
    let is_last = response.is_err() || !service.is_serving();
    let (Ok(mut response) | Err(mut response)) = response;
    match response.body_mut() {
        ResponseBody::Complete(_) => S::on_response(&context, response.status()),
        ResponseBody::Streaming(body) => {
            // The request is in flight until the client has taken the last byte of the body.
            client.set_phase(ConnectionPhase::Active);
            body.on_end(move |is_complete| {
                S::on_stream_end(&context, is_complete);
                client.set_phase(if is_last { ConnectionPhase::Final } else { ConnectionPhase::Idle });
            });
        }
    }
    add_headers(&*service, &mut response, is_last);
    Ok(response)
}

fn add_headers<S: DownstreamService>(service: &S, response: &mut Response<ResponseBody>, is_last: bool) {
    if is_last {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    // A `Date` set by the origin of the response is kept (RFC 9110, section 6.6.1).
    if !response.headers().contains_key(header::DATE) {
        let date = service.date().value(service.clock().unix_time());
        response.headers_mut().insert(header::DATE, date);
    }
}
