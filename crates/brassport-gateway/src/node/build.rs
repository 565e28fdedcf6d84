//! Construction of a node: opens its links, its store and its listeners, and creates the data plane and the control plane.

use super::control_host::{ControlHost, Sender, Targets};
use super::error::{StartError, StartStep};
use super::inputs::{Inputs, Queues, Signals};
use super::shutdown::GracefulShutdown;
use super::{Node, Options, SystemDataPlane};
use crate::listeners::{self, PendingCall};
use crate::settings::{ListenAddresses, Settings};
use crate::store_thread::{StoreEvent, StoreHandle};
use brassport_control_plane::{self as control_plane, ControlPlane};
use brassport_data_plane::{self as data_plane, downstream, DataPlane, RetryBudget};
use brassport_proxy::clock::SystemClock;
use brassport_proxy::network::Tcp;
use brassport_proxy::shutdown::{Phase, Shutdown};
use brassport_transport::links::Links;
use brassport_transport::peer_sampling::PeerRecord;
use brassport_types::{DiskId, Incarnation};
use std::hash::{BuildHasher, Hasher};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{self, UnboundedSender};
use tokio::task::{spawn_local, JoinHandle};

/// The file descriptors reserved for links to other nodes, control calls and the store.
const RESERVED_DESCRIPTORS: usize = 300;
/// The minimum number of file descriptors for the request path, even if the process limit is lower.
const MIN_DESCRIPTORS: usize = 64;

/// Defaults of the tuning parameters `graceS`, `drainS`, `retryRatio` and `retryExtra`; see [`GracefulShutdown::new`],
/// [`data_plane::Options`] and [`RetryBudget`].
const DEFAULT_GRACE_S: f64 = 6.0;
const DEFAULT_DRAIN_S: f64 = 2.0;
const DEFAULT_RETRY_RATIO: f64 = 0.1;
const DEFAULT_RETRY_BURST: f64 = 10.0;

impl Node {
    /// Builds a node. Its listeners are opened last, so that a node that fails to start accepts no connections.
    pub(super) async fn build(
        options: Options,
        settings: Settings,
        signals: Signals,
    ) -> Result<Node, StartError> {
        let Options { settings_file, metrics_port } = options;
        let start = Instant::now();
        let identity = Identity::random();
        let (inbound, frames) = mpsc::unbounded_channel();
        let links =
            Links::open(settings.ip, settings.internal_port, settings.address_overrides.clone(), inbound)
                .await
                .map_err(StartStep::Links.failed())?;
        let (store_events, store_queue) = mpsc::unbounded_channel();
        let store = open_store(&settings, store_events);
        let data_plane = DataPlane::new(SystemClock, Tcp, data_plane_options(&settings, identity.seed));
        let targets = Targets { links, store, data_plane: data_plane.clone() };
        let sender = Sender { ip: settings.ip, incarnation: identity.incarnation };
        let control = ControlHost::new(control_plane(&settings, &identity), start, sender, targets);
        let phase = Rc::new(Shutdown::default());
        let (call_queue, calls) = mpsc::unbounded_channel();
        let listeners = Listeners { data_plane: &data_plane, phase: &phase };
        listeners.open_control(settings.listen_on, call_queue)?;
        listeners.open_ready(settings.listen_on)?;
        listeners.open_metrics(metrics_port.map(|port| SocketAddrV4::new(settings.ip, port)))?;
        let downstream = listeners.open_downstream(settings.listen_on)?;
        log::info!("node started node={} ip={}", settings.node, settings.ip);
        Ok(Node {
            inputs: Inputs::new(signals, Queues { store: store_queue, frames, calls }),
            shutdown: GracefulShutdown::new(settings.parameter("graceS", DEFAULT_GRACE_S)),
            settings,
            settings_file,
            control,
            data_plane,
            phase,
            downstream,
        })
    }
}

/// Random values that distinguish this run of the process from all others.
struct Identity {
    incarnation: Incarnation,
    /// The seed of the random choices of the data plane and the control plane.
    seed: u64,
}

impl Identity {
    fn random() -> Identity {
        Identity { incarnation: Incarnation(unique_nonzero()), seed: unique_nonzero() }
    }
}

/// Returns a nonzero number that differs between runs of the process even if the wall clock is set back: it is a hash
/// of the time and the process ID with a random key.
fn unique_nonzero() -> u64 {
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    hasher.write_u128(since_epoch.as_nanos());
    hasher.write_u32(std::process::id());
    hasher.finish() | 1
}

/// Opens the store of the node. Only nodes of the core may vote; a node without a data folder has its store in memory
/// and loses its vote when its process ends.
fn open_store(settings: &Settings, events: UnboundedSender<StoreEvent>) -> StoreHandle {
    let new_disk = DiskId(unique_nonzero());
    match (settings.is_core, settings.data_folder.clone()) {
        (true, Some(folder)) => StoreHandle::on_disk(folder, new_disk, events),
        (true, None) => StoreHandle::in_memory(new_disk, events),
        (false, _) => StoreHandle::disabled(events),
    }
}

fn data_plane_options(settings: &Settings, seed: u64) -> data_plane::Options {
    data_plane::Options {
        zone: settings.zone.clone(),
        zones: settings.zones.clone(),
        descriptors: settings.open_files.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_DESCRIPTORS),
        drain_ms: settings.parameter("drainS", DEFAULT_DRAIN_S) * 1000.0,
        retry_budget: RetryBudget {
            ratio: settings.parameter("retryRatio", DEFAULT_RETRY_RATIO),
            burst: settings.parameter("retryExtra", DEFAULT_RETRY_BURST),
        },
        seed,
    }
}

fn control_plane(settings: &Settings, identity: &Identity) -> ControlPlane {
    let node = PeerRecord {
        ip: settings.ip,
        incarnation: identity.incarnation,
        zone: settings.zone.clone(),
        disk: DiskId::NONE,
        is_core: settings.is_core,
    };
    let options = control_plane::Options {
        node,
        seeds: settings.seeds.clone(),
        first_start: settings.first_start,
        fault_tolerance: settings.fault_tolerance.clone(),
        heartbeat_interval_ms: (settings.heartbeat_interval_s * 1000.0) as u64,
        seed: identity.seed,
    };
    let mut control = ControlPlane::new(options, 0);
    if let Some(address) = settings.listen_on.control {
        control.set_control_port(address.port());
    }
    control
}

/// Opens the listeners, each served by a task of its own.
struct Listeners<'a> {
    data_plane: &'a Rc<SystemDataPlane>,
    phase: &'a Rc<Shutdown>,
}

impl Listeners<'_> {
    fn open_control(
        &self,
        addresses: ListenAddresses,
        calls: UnboundedSender<PendingCall>,
    ) -> Result<(), StartError> {
        if let Some(listener) = bind(addresses.control, StartStep::ControlListener)? {
            spawn_local(listeners::serve_control(listener, calls));
        }
        Ok(())
    }

    fn open_ready(&self, addresses: ListenAddresses) -> Result<(), StartError> {
        if let Some(listener) = bind(addresses.ready, StartStep::ReadyListener)? {
            let (data_plane, phase) = (self.data_plane.clone(), self.phase.clone());
            let is_ready = move || phase.phase() == Phase::Serving && data_plane.is_ready();
            spawn_local(listeners::serve_ready(listener, is_ready));
        }
        Ok(())
    }

    fn open_metrics(&self, address: Option<SocketAddrV4>) -> Result<(), StartError> {
        if let Some(listener) = bind(address, StartStep::MetricsListener)? {
            let data_plane = self.data_plane.clone();
            spawn_local(listeners::serve_metrics(listener, move || data_plane.metrics()));
        }
        Ok(())
    }

    fn open_downstream(&self, addresses: ListenAddresses) -> Result<Option<JoinHandle<()>>, StartError> {
        let listener = bind(addresses.downstream, StartStep::DownstreamListener)?;
        Ok(listener.map(|listener| {
            spawn_local(downstream::serve(listener, self.data_plane.clone(), self.phase.clone()))
        }))
    }
}

fn bind(address: Option<SocketAddrV4>, step: StartStep) -> Result<Option<TcpListener>, StartError> {
    address.map(listeners::bind).transpose().map_err(step.failed())
}
