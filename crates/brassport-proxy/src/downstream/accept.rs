//! The accept loop: takes clients in as long as there are descriptors, and closes connections that are of no more use.

use super::connection::{Admission, ConnectionTask};
use super::service::DownstreamService;
use crate::clock::Clock;
use crate::mutants::mutant;
use crate::network::{Listener, Network};
use hyper::body::Bytes;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinSet;

/// Descriptors that are reserved for attempts: with fewer left, connections that nobody waits on are closed.
const ATTEMPT_RESERVE: usize = 64;
/// The divisor of all descriptors that bounds that reserve in a small process.
const ATTEMPT_RESERVE_DIVISOR: usize = 4;
/// The divisor of all descriptors beyond which client connections are many, and idle ones have less time.
const CROWD_DIVISOR: usize = 8;
/// Time between two searches for connections whose time is up.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// The pause after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

type Stream<S> = <<S as DownstreamService>::Network as Network>::Stream;
type ListenerOf<S> = <<S as DownstreamService>::Network as Network>::Listener;

/// A client connection that came from the process whose place this one took.
pub struct AdoptedConnection<S> {
    /// The connection.
    pub stream: S,
    /// What the other process had read from it and not handled.
    pub buffered: Bytes,
    /// Requests that it had there.
    pub request_count: u32,
}

/// Accepts clients until the shutdown reaches [`Phase::Closing`](crate::shutdown::Phase), closes the listener, then
/// returns once every connection has ended. `total_descriptors` is the number of descriptors for clients and backends
/// together; `adopted` brings clients of the process whose place this one took.
///
/// All tasks of client connections belong to this call: dropping it ends them and closes their sockets.
pub async fn serve<S: DownstreamService>(
    listener: Rc<ListenerOf<S>>,
    service: Rc<S>,
    descriptors: Arc<Semaphore>,
    total_descriptors: usize,
    mut adopted: mpsc::UnboundedReceiver<AdoptedConnection<Stream<S>>>,
) {
    let limits = Descriptors::new(service.clone(), descriptors, total_descriptors);
    let mut acceptor = Acceptor { service, descriptors: limits, connections: JoinSet::new() };
    acceptor.accept_until_closing(&listener, &mut adopted).await;
    drop(listener);
    while acceptor.connections.join_next().await.is_some() {}
}

/// The descriptors of the process, as far as they are shared by clients and attempts.
struct Descriptors<S> {
    service: Rc<S>,
    permits: Arc<Semaphore>,
    attempt_reserve: usize,
    /// Client connections beyond which there are many.
    crowd_threshold: usize,
}

impl<S: DownstreamService> Descriptors<S> {
    fn new(service: Rc<S>, permits: Arc<Semaphore>, total: usize) -> Descriptors<S> {
        let reserve = ATTEMPT_RESERVE.min(total / ATTEMPT_RESERVE_DIVISOR);
        let attempt_reserve = if mutant!(IgnoreReserve) { 0 } else { reserve };
        Descriptors { service, permits, attempt_reserve, crowd_threshold: total / CROWD_DIVISOR }
    }

    /// Closes connections until so many descriptors are free or about to be; false if there are none left to close.
    /// Guards against connections that nobody waits on and that use up all descriptors. Those of which their clients
    /// most likely have no more use are closed first.
    fn free_up(&self, least: usize) -> bool {
        let connections = self.service.connections();
        while self.permits.available_permits() + connections.closing_count() < least {
            if !connections.close_least_useful() && !self.service.evict_idle() {
                return false;
            }
        }
        true
    }

    /// Whether a client that was just accepted is served: not if it took what is reserved for attempts.
    fn admission(&self) -> Admission {
        if self.free_up(self.attempt_reserve) {
            Admission::Served
        } else {
            Admission::Overloaded
        }
    }

    async fn acquire(&self) -> io::Result<OwnedSemaphorePermit> {
        self.permits.clone().acquire_owned().await.map_err(io::Error::other)
    }

    /// The next connection once there is a descriptor for it; until then it waits in the listener's backlog.
    async fn accept(&self, listener: &ListenerOf<S>) -> io::Result<(Stream<S>, OwnedSemaphorePermit)> {
        self.service.until_accepting(true).await;
        self.free_up(1);
        let descriptor = self.acquire().await?;
        let stream = listener.accept().await?;
        Ok((stream, descriptor))
    }
}

/// The owner of all client connections' tasks.
struct Acceptor<S> {
    service: Rc<S>,
    descriptors: Descriptors<S>,
    connections: JoinSet<()>,
}

impl<S: DownstreamService> Acceptor<S> {
    async fn accept_until_closing(
        &mut self,
        listener: &ListenerOf<S>,
        adopted: &mut mpsc::UnboundedReceiver<AdoptedConnection<Stream<S>>>,
    ) {
        let service = self.service.clone();
        let mut closing = pin!(service.closing());
        let mut sweep = pin!(service.clock().sleep(SWEEP_INTERVAL));
        loop {
            tokio::select! {
                biased;
                () = &mut closing => return,
                () = &mut sweep => {
                    service.connections().close_overdue(self.descriptors.crowd_threshold);
                    sweep.set(service.clock().sleep(SWEEP_INTERVAL));
                }
                // Takes ended tasks out of the set, which would grow without bound.
                Some(_) = self.connections.join_next() => {}
                // An accept that is under way is dropped, which loses no connection.
                () = service.until_accepting(false), if service.is_accepting() => {}
                Some(connection) = adopted.recv() => self.adopt(connection).await,
                accepted = self.descriptors.accept(listener) => match accepted {
                    Ok((stream, descriptor)) => self.admit(stream, descriptor),
                    // Guards against a spin where the system is out of descriptors or the like.
                    Err(_) => service.clock().sleep(ACCEPT_BACKOFF).await,
                },
            }
        }
    }

    fn admit(&mut self, stream: Stream<S>, descriptor: OwnedSemaphorePermit) {
        // Before it is registered: it must not be the one that is closed for its own sake.
        let admission = self.descriptors.admission();
        let client = Rc::new(self.service.connections().register());
        self.spawn(ConnectionTask {
            stream,
            buffered: Bytes::new(),
            descriptor,
            service: self.service.clone(),
            admission,
            client,
        });
    }

    async fn adopt(&mut self, adopted: AdoptedConnection<Stream<S>>) {
        let AdoptedConnection { stream, buffered, request_count } = adopted;
        // Its descriptor came with it: this does not wait for long.
        let Ok(descriptor) = self.descriptors.acquire().await else { return };
        let client = Rc::new(self.service.connections().register());
        client.resume(request_count);
        let (service, admission) = (self.service.clone(), Admission::Served);
        self.spawn(ConnectionTask { stream, buffered, descriptor, service, admission, client });
    }

    fn spawn(&mut self, task: ConnectionTask<S>) {
        self.connections.spawn_local(task.run());
    }
}
