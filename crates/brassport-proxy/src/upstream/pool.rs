//! The backends of a program and the pool of idle connections to them.

use super::connection::UpstreamConnection;
use crate::clock::Clock;
use crate::mutants::mutant;
use crate::network::Network;
use crate::protocol::{AttemptObserver, UpstreamProtocol};
use brassport_policy::ServerId;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// An idle connection is closed after this fraction of the backend's idle timeout. Backends may close connections
/// earlier than announced, and a request sent at the moment of such a close is lost.
const IDLE_TIMEOUT_FRACTION: f64 = 0.5;
/// Interval between two sweeps of the idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The number of a connection to a backend; unique within its pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionId(pub u64);

/// The connections that carried the attempts of one request. A later attempt must not use them: a surplus copy of the
/// response to the earlier attempt has the id of the request, and would be taken for the response to the later one.
#[derive(Debug, Default)]
pub struct UsedConnections(RefCell<Vec<ConnectionId>>);

impl UsedConnections {
    pub(super) fn insert(&self, id: ConnectionId) {
        self.0.borrow_mut().push(id);
    }

    fn contains(&self, id: ConnectionId) -> bool {
        self.0.borrow().contains(&id)
    }
}

/// A connection that is idle or in use by an attempt. It owns its descriptor permit: dropping it first closes the
/// socket and then releases the permit.
pub(super) struct PooledConnection<S: AsyncRead + AsyncWrite + Unpin + 'static> {
    pub(super) id: ConnectionId,
    pub(super) connection: UpstreamConnection<S>,
    /// When the connection was established or last used.
    pub(super) idle_since: Instant,
    /// The idle timeout that the backend announced on this connection; `None` if it announced none.
    pub(super) idle_timeout: Option<Duration>,
    _descriptor: OwnedSemaphorePermit,
}

struct Backend<S: AsyncRead + AsyncWrite + Unpin + 'static> {
    name: Rc<str>,
    /// `None` if the backend is listed without an address.
    address: Option<SocketAddr>,
    is_ready: bool,
    /// The idle connections, the least recently used first.
    idle: Vec<PooledConnection<S>>,
}

impl<S: AsyncRead + AsyncWrite + Unpin + 'static> Backend<S> {
    /// Removes the most recently used idle connection that is not in `used`.
    fn take_idle(&mut self, used: &UsedConnections) -> Option<PooledConnection<S>> {
        let index = self.idle.iter().rposition(|pooled| !used.contains(pooled.id))?;
        Some(self.idle.remove(index))
    }
}

/// The backends of a program with their idle connections. Executes attempts.
pub struct UpstreamPool<C, N: Network> {
    pub(super) clock: C,
    network: N,
    backends: RefCell<BTreeMap<ServerId, Backend<N::Stream>>>,
    descriptors: Arc<Semaphore>,
    connect_timeout: Cell<Duration>,
    max_idle: Cell<Duration>,
    /// Whether connections are kept idle for reuse; false while another process replaces this one.
    keeps_idle: Cell<bool>,
    /// The number of connections that were established.
    connections: Cell<u64>,
    pub(super) observer: Rc<dyn AttemptObserver>,
    pub(super) protocol: Rc<dyn UpstreamProtocol>,
}

impl<C: Clock, N: Network> UpstreamPool<C, N> {
    /// Creates a pool without backends. `descriptors` is shared with the other users of sockets. `idle_timeout` is the
    /// idle timeout of backends that do not announce one.
    pub fn new(
        clock: C,
        network: N,
        descriptors: Arc<Semaphore>,
        connect_timeout: Duration,
        idle_timeout: Duration,
        observer: Rc<dyn AttemptObserver>,
        protocol: Rc<dyn UpstreamProtocol>,
    ) -> UpstreamPool<C, N> {
        UpstreamPool {
            clock,
            network,
            backends: RefCell::default(),
            descriptors,
            connect_timeout: Cell::new(connect_timeout),
            max_idle: Cell::new(idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION)),
            keeps_idle: Cell::new(true),
            connections: Cell::new(0),
            observer,
            protocol,
        }
    }

    /// Sets the timeouts for subsequent connection attempts and idle checks.
    pub fn set_timeouts(&self, connect_timeout: Duration, idle_timeout: Duration) {
        self.connect_timeout.set(connect_timeout);
        self.max_idle.set(idle_timeout.mul_f64(IDLE_TIMEOUT_FRACTION));
    }

    /// Adds or updates a backend: its name, its address and whether it accepts new requests.
    pub fn upsert(&self, id: ServerId, name: &str, address: SocketAddr, is_ready: bool) {
        self.update(id, name, Some(address), is_ready);
    }

    /// Adds or updates a backend that is listed without an address; it gets no requests.
    pub fn upsert_unreachable(&self, id: ServerId, name: &str) {
        self.update(id, name, None, false);
    }

    fn update(&self, id: ServerId, name: &str, address: Option<SocketAddr>, is_ready: bool) {
        let mut backends = self.backends.borrow_mut();
        let new = || Backend { name: name.into(), address, is_ready, idle: Vec::new() };
        let backend = backends.entry(id).or_insert_with(new);
        if *backend.name != *name {
            backend.name = name.into();
        }
        let old = backend.address.filter(|_| mutant!(KeepOldAddress));
        let address = address.map(|address| old.unwrap_or(address));
        if backend.address != address || !is_ready {
            backend.idle.clear();
        }
        (backend.address, backend.is_ready) = (address, is_ready);
    }

    /// Removes the backends for which `keep` returns false, and closes their idle connections.
    pub fn retain(&self, keep: impl Fn(ServerId) -> bool) {
        self.backends.borrow_mut().retain(|id, _| keep(*id));
    }

    /// Whether any backend accepts new requests.
    pub fn any_ready(&self) -> bool {
        self.backends.borrow().values().any(|backend| backend.is_ready)
    }

    /// The name of a backend; empty if it is not listed.
    pub fn backend_name(&self, id: ServerId) -> Rc<str> {
        self.backends.borrow().get(&id).map_or_else(|| Rc::from(""), |backend| backend.name.clone())
    }

    /// The address of a backend; `None` if it does not accept new requests or has no address.
    pub(super) fn ready_address(&self, id: ServerId) -> Option<SocketAddr> {
        self.backends.borrow().get(&id).filter(|backend| backend.is_ready)?.address
    }
}

impl<C: Clock, N: Network> UpstreamPool<C, N> {
    /// Sets whether connections are kept idle for reuse, and closes all idle connections.
    pub fn set_keep_idle(&self, keep: bool) {
        self.keeps_idle.set(keep);
        self.backends.borrow_mut().values_mut().for_each(|backend| backend.idle.clear());
    }

    pub(super) fn keeps_idle(&self) -> bool {
        self.keeps_idle.get()
    }

    /// Closes the connection that has been idle for the longest time to free its descriptor. Returns false if there is
    /// none.
    pub fn evict_idle(&self) -> bool {
        let mut backends = self.backends.borrow_mut();
        let with_idle = backends.values_mut().filter(|backend| !backend.idle.is_empty());
        let Some(backend) = with_idle.min_by_key(|backend| backend.idle[0].idle_since) else { return false };
        backend.idle.remove(0);
        true
    }

    /// Closes connections that have been idle for too long or that the backend has closed, once per second. Never
    /// completes; the program spawns it and aborts it with its other tasks.
    pub async fn sweep(&self) {
        loop {
            self.clock.sleep(SWEEP_INTERVAL).await;
            // Removed from the pool while they are polled, so that a new attempt cannot take them.
            let take = |(id, backend): (&ServerId, &mut Backend<N::Stream>)| {
                (*id, backend.address, std::mem::take(&mut backend.idle))
            };
            let taken: Vec<_> = self.backends.borrow_mut().iter_mut().map(take).collect();
            for (id, address, idle) in taken {
                // A backend without an address has no idle connections.
                let Some(address) = address else { continue };
                for mut pooled in idle {
                    if self.may_stay_idle(&pooled) && pooled.connection.is_reusable().await {
                        self.release(id, address, pooled);
                    }
                }
            }
        }
    }

    /// Whether a connection is still within its idle timeout.
    fn may_stay_idle(&self, pooled: &PooledConnection<N::Stream>) -> bool {
        let idle = self.clock.now().saturating_duration_since(pooled.idle_since);
        let max_idle = self.max_idle.get();
        idle < pooled
            .idle_timeout
            .map_or(max_idle, |timeout| max_idle.min(timeout.mul_f64(IDLE_TIMEOUT_FRACTION)))
    }

    /// The timeout for establishing a connection.
    pub(super) fn connect_timeout(&self) -> Duration {
        self.connect_timeout.get()
    }

    /// Returns a connection for an attempt: an idle one that is not in `used` if available, otherwise a new one. `None`
    /// if no connection can be established.
    pub(super) async fn acquire(
        &self,
        id: ServerId,
        address: SocketAddr,
        used: &UsedConnections,
    ) -> Option<PooledConnection<N::Stream>> {
        match self.take_idle(id, used).await {
            Some(pooled) => Some(pooled),
            None => self.connect(address).await,
        }
    }

    /// Takes the most recently used idle connection that is still open and not in `used`.
    async fn take_idle(&self, id: ServerId, used: &UsedConnections) -> Option<PooledConnection<N::Stream>> {
        loop {
            let mut pooled = self.backends.borrow_mut().get_mut(&id)?.take_idle(used)?;
            if self.may_stay_idle(&pooled) && pooled.connection.is_reusable().await {
                return Some(pooled);
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<PooledConnection<N::Stream>> {
        let descriptor = self.acquire_descriptor()?;
        // The timeout handles an unreachable machine, to which a connection would never be established.
        let open = async { UpstreamConnection::handshake(self.network.connect(address).await?).await };
        let opened = self.clock.timeout(self.connect_timeout.get(), open).await.and_then(Result::ok);
        if mutant!(LeakDescriptor) && opened.is_none() {
            std::mem::forget(descriptor);
            return None;
        }
        let (connection, idle_since) = (opened?, self.clock.now());
        self.connections.set(self.connections.get() + 1);
        Some(PooledConnection {
            id: ConnectionId(self.connections.get()),
            connection,
            idle_since,
            idle_timeout: None,
            _descriptor: descriptor,
        })
    }

    /// Acquires a descriptor permit for a new connection, closing idle connections if none is available.
    fn acquire_descriptor(&self) -> Option<OwnedSemaphorePermit> {
        loop {
            match self.descriptors.clone().try_acquire_owned() {
                Ok(descriptor) => return Some(descriptor),
                Err(_) if self.evict_idle() => {}
                Err(_) => return None,
            }
        }
    }

    /// Returns a connection to the pool. Closes it if its backend was removed, has a new address or no longer accepts
    /// requests.
    pub(super) fn release(&self, id: ServerId, address: SocketAddr, pooled: PooledConnection<N::Stream>) {
        let mut backends = self.backends.borrow_mut();
        let backend = backends.get_mut(&id);
        if let Some(backend) = backend.filter(|backend| backend.is_ready && backend.address == Some(address))
        {
            backend.idle.push(pooled);
        }
    }
}
