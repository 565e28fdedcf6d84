//! The accept loop: accepts clients while file descriptors are available, and closes connections that exceed their
//! timeouts.

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

/// Number of descriptors reserved for attempts. When fewer are free, client connections without a request in flight are
/// closed.
const ATTEMPT_RESERVE: usize = 64;
/// The reserve is at most the total number of descriptors divided by this number, so that a process with few
/// descriptors can still serve clients.
const ATTEMPT_RESERVE_DIVISOR: usize = 4;
/// Idle timeouts are shortened when the number of client connections exceeds the total number of descriptors divided by
/// this number.
const REDUCED_IDLE_DIVISOR: usize = 8;
/// Interval between two checks for connections that exceed their timeouts.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a failed accept.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

type Stream<S> = <<S as DownstreamService>::Network as Network>::Stream;
type ListenerOf<S> = <<S as DownstreamService>::Network as Network>::Listener;

/// A client connection that was handed over by the process that this one replaced.
pub struct AdoptedConnection<S> {
    /// The socket of the connection.
    pub stream: S,
    /// The bytes that the other process has read but not processed.
    pub buffered: Bytes,
    /// The number of requests that the other process has received on the connection.
    pub request_count: u32,
}

/// Accepts clients until the shutdown reaches [`Phase::Closing`](crate::shutdown::Phase), then closes the listener and
/// returns when every connection has ended. `total_descriptors` is the number of descriptors for clients and backends
/// together. `adopted` receives the client connections of the process that this one replaced.
///
/// The tasks of all client connections are owned by this future: dropping it aborts them and closes their sockets.
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

/// The file descriptors that clients and attempts share.
struct Descriptors<S> {
    service: Rc<S>,
    permits: Arc<Semaphore>,
    attempt_reserve: usize,
    /// The number of client connections above which idle timeouts are shortened.
    reduced_idle_threshold: usize,
}

impl<S: DownstreamService> Descriptors<S> {
    fn new(service: Rc<S>, permits: Arc<Semaphore>, total: usize) -> Descriptors<S> {
        let reserve = ATTEMPT_RESERVE.min(total / ATTEMPT_RESERVE_DIVISOR);
        let attempt_reserve = if mutant!(IgnoreReserve) { 0 } else { reserve };
        let reduced_idle_threshold = total / REDUCED_IDLE_DIVISOR;
        Descriptors { service, permits, attempt_reserve, reduced_idle_threshold }
    }

    /// Closes connections until at least `min_free` descriptors are free or about to be freed. Returns false if no more
    /// connections can be closed. This keeps connections without a request in flight from exhausting the descriptors.
    /// The connections that their clients are least likely to use again are closed first.
    fn free_up(&self, min_free: usize) -> bool {
        let connections = self.service.connections();
        while self.permits.available_permits() + connections.closing_count() < min_free {
            if !connections.close_least_useful() && !self.service.evict_idle() {
                return false;
            }
        }
        true
    }

    /// Decides whether a newly accepted client is served. A client whose descriptor is one of those reserved for
    /// attempts is rejected.
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

    /// Accepts the next connection when a descriptor is available. Until then, connections wait in the listen queue.
    async fn accept(&self, listener: &ListenerOf<S>) -> io::Result<(Stream<S>, OwnedSemaphorePermit)> {
        self.service.until_accepting(true).await;
        self.free_up(1);
        let descriptor = self.acquire().await?;
        let stream = listener.accept().await?;
        Ok((stream, descriptor))
    }
}

/// The owner of the tasks of all client connections.
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
                    service.connections().close_overdue(self.descriptors.reduced_idle_threshold);
                    sweep.set(service.clock().sleep(SWEEP_INTERVAL));
                }
                // Removes completed tasks; without this the set would grow without limit.
                Some(_) = self.connections.join_next() => {}
                // Cancels a pending accept, which loses no connection.
                () = service.until_accepting(false), if service.is_accepting() => {}
                Some(connection) = adopted.recv() => self.adopt(connection).await,
                accepted = self.descriptors.accept(listener) => match accepted {
                    Ok((stream, descriptor)) => self.admit(stream, descriptor),
                    // Avoids a busy loop while accept keeps failing, e.g. when the system is out of descriptors.
                    Err(_) => service.clock().sleep(ACCEPT_BACKOFF).await,
                },
            }
        }
    }

    fn admit(&mut self, stream: Stream<S>, descriptor: OwnedSemaphorePermit) {
        // Must precede the registration, or the new connection itself could be closed to free a descriptor.
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
        // The descriptor was passed together with the connection, so a permit becomes available soon.
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
