//! The clients' side: accepts connections and serves each to its end. What is answered is a program's own.

use crate::body::ResponseBody;
use crate::clock::Clock;
use crate::date::DateHeader;
use crate::mutants::mutant;
use crate::network::{Listener, Network};
use hyper::body::{Bytes, Incoming};
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::future::{pending, poll_fn, Future};
use std::io;
use std::os::fd::OwnedFd;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinSet;

mod registry;

pub use registry::{ConnectionPhase, ConnectionRegistry, DownstreamConnection, MeteredStream};

/// Descriptors that are kept for attempts, and the part of all that they are at the most: with fewer left,
/// connections that nobody waits on are closed.
const RESERVE: usize = 64;
const RESERVE_PART: usize = 4;
/// The part of the descriptors beyond which clients have many connections.
const FEW_PART: usize = 8;
/// Most bytes of a request's head.
const HEAD_LIMIT: usize = 16 * 1024;
/// Between two looks for connections whose time is up.
const SWEEP: Duration = Duration::from_millis(100);
/// After a failed accept.
const BACK_OFF: Duration = Duration::from_millis(20);

/// What a program does with its clients' requests.
pub trait DownstreamService: 'static {
    type Clock: Clock;
    type Network: Network;
    /// What is kept of a request from its head to the end of its answer.
    type RequestContext: 'static;

    fn clock(&self) -> &Self::Clock;

    /// All connections of clients.
    fn connections(&self) -> &Rc<ConnectionRegistry<Self::Clock>>;

    fn date(&self) -> &DateHeader;

    /// The head of a request has come.
    fn on_request(&self, request: &Request<Incoming>) -> Self::RequestContext;

    /// The answer to a request; an error if its connection must not be used again.
    fn respond(
        &self,
        request: Request<Incoming>,
        client: &DownstreamConnection<Self::Clock>,
        life: &Self::RequestContext,
    ) -> impl Future<Output = Result<Response<ResponseBody>, Response<ResponseBody>>>;

    /// The answer to a request on a connection that came while all others were busy.
    fn overload_response(&self) -> Response<ResponseBody>;

    /// A request has its answer, all of it at hand.
    fn on_response(life: &Self::RequestContext, status: StatusCode);

    /// An answer that was passed on as it came has ended.
    fn on_stream_end(life: &Self::RequestContext, whole: bool);

    /// Closes an idle connection to a backend, for its descriptor; false if there is none.
    fn evict_idle(&self) -> bool;

    /// Whether it still serves; if not, each answer closes its connection.
    fn is_serving(&self) -> bool;

    /// Ready once nobody is accepted any more and idle connections are to close.
    fn closing(&self) -> impl Future<Output = ()>;

    /// Whether clients are accepted now. Until they are they wait in the queue of the listening socket.
    fn is_accepting(&self) -> bool {
        true
    }

    /// Ready while clients are accepted, or while they are not.
    fn until_accepting(&self, accepts: bool) -> impl Future<Output = ()> {
        async move {
            if !accepts {
                pending().await
            }
        }
    }

    /// Whether another process has this one's place, and takes its clients' connections.
    fn is_handed_over(&self) -> bool {
        false
    }

    /// Ready once another process has it.
    fn handed_over(&self) -> impl Future<Output = ()> {
        pending()
    }

    /// Hands a client's connection over, with what was read from it and how many requests it has had.
    fn hand_over(&self, socket: OwnedFd, read: Bytes, asked: u32) {
        let _ = (socket, read, asked);
    }
}

/// A client's connection that came from the process whose place this one took.
pub struct AdoptedConnection<S> {
    pub stream: S,
    pub buffered: Bytes,
    pub request_count: u32,
}

/// Accepts clients until the shutdown closes the door, then returns once every connection has ended. `in_all` is the
/// number of descriptors for clients and backends; `adopted` brings clients of the process whose place this one took.
pub async fn serve<S: DownstreamService>(
    listener: Rc<<S::Network as Network>::Listener>,
    service: Rc<S>,
    descriptors: Arc<Semaphore>,
    in_all: usize,
    mut adopted: mpsc::UnboundedReceiver<AdoptedConnection<<S::Network as Network>::Stream>>,
) {
    let reserve = RESERVE.min(in_all / RESERVE_PART);
    let reserve = if mutant!(IgnoreReserve) { 0 } else { reserve };
    let few = in_all / FEW_PART;
    let clients = service.connections();
    // Guards against connections that nobody waits on and that hold all descriptors. Those that a client
    // most likely has no more use for go first.
    let spare = |least: usize| {
        while descriptors.available_permits() + clients.leaving() < least {
            if !clients.shed() && !service.evict_idle() {
                return false;
            }
        }
        true
    };
    let mut connections = JoinSet::new();
    let mut closing = pin!(service.closing());
    let mut sweep = pin!(service.clock().sleep(SWEEP));
    loop {
        // The next connection once there is a descriptor for it; until then it waits in the backlog.
        let next = async {
            service.until_accepting(true).await;
            spare(1);
            let descriptor = descriptors.clone().acquire_owned().await.map_err(io::Error::other)?;
            let stream = listener.accept().await?;
            Ok::<_, io::Error>((stream, descriptor))
        };
        tokio::select! {
            biased;
            () = &mut closing => break,
            () = &mut sweep => {
                clients.sweep(few);
                sweep.set(service.clock().sleep(SWEEP));
            }
            Some(_) = connections.join_next() => {}
            () = service.until_accepting(false), if service.is_accepting() => {}
            Some(AdoptedConnection { stream, buffered: read, request_count: asked }) = adopted.recv() => {
                // Its descriptor came with it.
                if let Ok(descriptor) = descriptors.clone().acquire_owned().await {
                    let client = clients.enter();
                    client.go_on(asked);
                    connections.spawn_local(connection((stream, read), descriptor, service.clone(), false, client));
                }
            }
            next = next => match next {
                Ok((stream, descriptor)) => {
                    let crowded = !spare(reserve);
                    let client = clients.enter();
                    connections.spawn_local(connection((stream, Bytes::new()), descriptor, service.clone(), crowded, client));
                }
                // Guards against a spin where the system is out of descriptors or the like.
                Err(_) => service.clock().sleep(BACK_OFF).await,
            },
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Serves one client's connection to its end. One that came while all others were busy gets refusals.
async fn connection<S: DownstreamService>(
    (stream, read): (<S::Network as Network>::Stream, Bytes),
    descriptor: OwnedSemaphorePermit,
    service: Rc<S>,
    crowded: bool,
    client: DownstreamConnection<S::Clock>,
) {
    let client = Rc::new(client);
    let wire = MeteredStream::new(stream, read, client.clone());
    let answers = service_fn(|request| {
        client.stage(ConnectionPhase::Open);
        let (service, client) = (service.clone(), client.clone());
        async move {
            let life = service.on_request(&request);
            let response = if crowded {
                Err(service.overload_response())
            } else {
                service.respond(request, &client, &life).await
            };
            client.stage(if response.is_err() { ConnectionPhase::Last } else { ConnectionPhase::Idle });
            let last = response.is_err() || !service.is_serving();
            let (Ok(mut response) | Err(mut response)) = response;
            if let ResponseBody::Streaming(coming) = response.body_mut() {
                // It is under way until its last byte is taken.
                let client = client.clone();
                client.stage(ConnectionPhase::Open);
                coming.at_end(move |whole| {
                    S::on_stream_end(&life, whole);
                    client.stage(if last { ConnectionPhase::Last } else { ConnectionPhase::Idle });
                });
            } else {
                S::on_response(&life, response.status());
            }
            if last {
                response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            }
            // The date is that of who made the answer (RFC 9110, section 6.6.1).
            if !response.headers().contains_key(header::DATE) {
                let date = service.date().value(service.clock().unix());
                response.headers_mut().insert(header::DATE, date);
            }
            Ok::<_, Infallible>(response)
        }
    });
    // The date comes from the seam: hyper would ask the system.
    let mut serving = http1::Builder::new()
        .max_buf_size(HEAD_LIMIT)
        .auto_date_header(false)
        .serve_connection(TokioIo::new(wire), answers);
    let mut closing = pin!(service.closing());
    let mut told = false;
    let ended = loop {
        tokio::select! {
            biased;
            ended = &mut serving => break ended,
            // Looked at each time that anything has come or gone.
            () = poll_fn(|_| if is_over(&*service, &client) { Poll::Ready(()) } else { Poll::Pending }) => {
                let parts = serving.into_parts();
                if let Ok(socket) = S::Network::release(parts.io.into_inner().into_stream()) {
                    service.hand_over(socket, parts.read_buf, client.asked());
                    descriptor.forget();
                }
                return;
            }
            () = service.handed_over(), if !service.is_handed_over() => {}
            () = &mut closing, if !told => {
                // An idle one closes now, a busy one behind its answer.
                told = true;
                if mutant!(CloseWithoutAnswer) {
                    return;
                }
                std::pin::Pin::new(&mut serving).graceful_shutdown();
            }
            // Nobody waits for an answer on it.
            () = client.dismissed() => return,
        }
    };
    // Its client has gone, or what it sent is no HTTP and was answered so; else it was closed in order.
    if ended.is_err() || client.at() == ConnectionPhase::Last {
        client.stage(ConnectionPhase::Last);
        tokio::select! {
            biased;
            () = serving.into_parts().io.into_inner().linger() => {}
            // Others need its descriptor more.
            () = client.dismissed() => {}
        }
    }
}

/// Whether the connection is for the process that has taken this one's place.
fn is_over<S: DownstreamService>(service: &S, client: &DownstreamConnection<S::Clock>) -> bool {
    service.is_handed_over() && client.is_quiet()
}
