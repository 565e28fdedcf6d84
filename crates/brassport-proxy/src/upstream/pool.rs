//! The backends of a program, and the idle connections to them.

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

/// Part of a backend's idle time-out after which its connection is closed: backends may close theirs earlier than they
/// say, and a request that crosses such a close is lost.
const IDLE_PART: f64 = 0.5;
/// Time between two sweeps of the idle connections.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// A connection that an attempt uses, or that is idle. It owns its descriptor's permit: dropping it closes the socket
/// first and gives the permit back then.
pub(super) struct PooledConnection<S: AsyncRead + AsyncWrite + Unpin + 'static> {
    pub(super) connection: UpstreamConnection<S>,
    /// Since when it has been idle.
    pub(super) idle_since: Instant,
    /// For how long its backend keeps it open, if a response on it said so.
    pub(super) idle_timeout: Option<Duration>,
    _descriptor: OwnedSemaphorePermit,
}

struct Backend<S: AsyncRead + AsyncWrite + Unpin + 'static> {
    name: Rc<str>,
    /// `None`: it is listed without an address.
    address: Option<SocketAddr>,
    is_ready: bool,
    /// In the order of their last use.
    idle: Vec<PooledConnection<S>>,
}

/// The backends of a program with the idle connections to them; its attempts are sent from here.
pub struct UpstreamPool<C, N: Network> {
    pub(super) clock: C,
    network: N,
    backends: RefCell<BTreeMap<ServerId, Backend<N::Stream>>>,
    descriptors: Arc<Semaphore>,
    connect_timeout: Cell<Duration>,
    max_idle: Cell<Duration>,
    /// False while another process takes this one's place: that one keeps idle connections.
    keeps_idle: Cell<bool>,
    pub(super) observer: Rc<dyn AttemptObserver>,
    pub(super) protocol: Rc<dyn UpstreamProtocol>,
}

impl<C: Clock, N: Network> UpstreamPool<C, N> {
    /// A pool without backends. `descriptors` is shared with whatever else opens sockets; `idle_timeout` is for how long
    /// backends keep an idle connection open if they do not say.
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
            max_idle: Cell::new(idle_timeout.mul_f64(IDLE_PART)),
            keeps_idle: Cell::new(true),
            observer,
            protocol,
        }
    }

    /// Sets other time-outs, for what begins from now on.
    pub fn set_timeouts(&self, connect_timeout: Duration, idle_timeout: Duration) {
        self.connect_timeout.set(connect_timeout);
        self.max_idle.set(idle_timeout.mul_f64(IDLE_PART));
    }

    /// Adds or updates a backend: its name, its address and whether it takes new requests.
    pub fn upsert(&self, id: ServerId, name: &str, address: SocketAddr, is_ready: bool) {
        self.update(id, name, Some(address), is_ready);
    }

    /// Adds or updates a backend that is listed without an address.
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

    /// Removes the backends for which `keep` is false, and closes their idle connections.
    pub fn retain(&self, keep: impl Fn(ServerId) -> bool) {
        self.backends.borrow_mut().retain(|id, _| keep(*id));
    }

    /// Whether any backend takes new requests.
    pub fn any_ready(&self) -> bool {
        self.backends.borrow().values().any(|backend| backend.is_ready)
    }

    /// What a backend is called; empty for one that is not listed.
    pub fn backend_name(&self, id: ServerId) -> Rc<str> {
        self.backends.borrow().get(&id).map_or_else(|| Rc::from(""), |backend| backend.name.clone())
    }

    /// The address of a backend that takes new requests.
    pub(super) fn ready_address(&self, id: ServerId) -> Option<SocketAddr> {
        self.backends.borrow().get(&id).filter(|backend| backend.is_ready)?.address
    }
}

impl<C: Clock, N: Network> UpstreamPool<C, N> {
    /// Closes all idle connections, and keeps none from now on, or keeps them again.
    pub fn set_keep_idle(&self, keep: bool) {
        self.keeps_idle.set(keep);
        self.backends.borrow_mut().values_mut().for_each(|backend| backend.idle.clear());
    }

    pub(super) fn keeps_idle(&self) -> bool {
        self.keeps_idle.get()
    }

    /// Closes the connection that has been idle for the longest time, for its descriptor; false if there is none.
    pub fn evict_idle(&self) -> bool {
        let mut backends = self.backends.borrow_mut();
        let with_idle = backends.values_mut().filter(|backend| !backend.idle.is_empty());
        let Some(backend) = with_idle.min_by_key(|backend| backend.idle[0].idle_since) else { return false };
        backend.idle.remove(0);
        true
    }

    /// Closes, once a second and without end, connections that have been idle for too long or that the other side has
    /// closed. The program spawns it, and drops it with its other tasks.
    pub async fn sweep(&self) {
        loop {
            self.clock.sleep(SWEEP_INTERVAL).await;
            // Taken out while they are polled: an attempt that begins meanwhile must not use them.
            let take = |(id, backend): (&ServerId, &mut Backend<N::Stream>)| {
                (*id, backend.address, std::mem::take(&mut backend.idle))
            };
            let taken: Vec<_> = self.backends.borrow_mut().iter_mut().map(take).collect();
            for (id, address, idle) in taken {
                // Without an address there are no idle connections.
                let Some(address) = address else { continue };
                for mut pooled in idle {
                    if self.may_stay_idle(&pooled) && pooled.connection.is_reusable().await {
                        self.release(id, address, pooled);
                    }
                }
            }
        }
    }

    /// Whether a connection has not been idle for too long.
    fn may_stay_idle(&self, pooled: &PooledConnection<N::Stream>) -> bool {
        let idle = self.clock.now().saturating_duration_since(pooled.idle_since);
        let max_idle = self.max_idle.get();
        idle < pooled.idle_timeout.map_or(max_idle, |timeout| max_idle.min(timeout.mul_f64(IDLE_PART)))
    }

    /// The time-out on establishing a connection.
    pub(super) fn connect_timeout(&self) -> Duration {
        self.connect_timeout.get()
    }

    /// A connection for an attempt: an idle one, or else a new one. `None` if none can be established.
    pub(super) async fn acquire(
        &self,
        id: ServerId,
        address: SocketAddr,
    ) -> Option<PooledConnection<N::Stream>> {
        match self.take_idle(id).await {
            Some(pooled) => Some(pooled),
            None => self.connect(address).await,
        }
    }

    /// The idle connection used last that is still alive.
    async fn take_idle(&self, id: ServerId) -> Option<PooledConnection<N::Stream>> {
        loop {
            let mut pooled = self.backends.borrow_mut().get_mut(&id)?.idle.pop()?;
            if self.may_stay_idle(&pooled) && pooled.connection.is_reusable().await {
                return Some(pooled);
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Option<PooledConnection<N::Stream>> {
        let descriptor = self.acquire_descriptor()?;
        // Guards against a machine that is partitioned off: connections to it are never established.
        let open = async { UpstreamConnection::handshake(self.network.connect(address).await?).await };
        let opened = self.clock.timeout(self.connect_timeout.get(), open).await.and_then(Result::ok);
        if mutant!(LeakDescriptor) && opened.is_none() {
            std::mem::forget(descriptor);
            return None;
        }
        let idle_since = self.clock.now();
        Some(PooledConnection {
            connection: opened?,
            idle_since,
            idle_timeout: None,
            _descriptor: descriptor,
        })
    }

    /// A descriptor for a new connection, of an idle one if none is free.
    fn acquire_descriptor(&self) -> Option<OwnedSemaphorePermit> {
        loop {
            match self.descriptors.clone().try_acquire_owned() {
                Ok(descriptor) => return Some(descriptor),
                Err(_) if self.evict_idle() => {}
                Err(_) => return None,
            }
        }
    }

    /// Puts a connection back as idle; closes it if its backend was removed, moved or takes no requests any more.
    pub(super) fn release(&self, id: ServerId, address: SocketAddr, pooled: PooledConnection<N::Stream>) {
        let mut backends = self.backends.borrow_mut();
        let backend = backends.get_mut(&id);
        if let Some(backend) = backend.filter(|one| one.is_ready && one.address == Some(address)) {
            backend.idle.push(pooled);
        }
    }
}
