//! The construction of a node: links, store, planes and listeners, opened one after another.

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

/// Descriptors that are reserved for links, callers and the store.
const RESERVED_DESCRIPTORS: usize = 300;
/// Descriptors that the request path has at the least, whatever the limit is.
const MIN_DESCRIPTORS: usize = 64;

impl Node {
    /// Opens all that a node owns. Listeners come last: nobody is accepted by a node that can't start.
    pub(super) async fn build(options: Options) -> Result<Node, StartError> {
        let Options { settings, settings_file, metrics_port } = options;
        let signals = Signals::install()?;
        let start = Instant::now();
        let identity = Identity::draw();
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
            shutdown: GracefulShutdown::new(settings.parameter("graceS", 6.0)),
            settings,
            settings_file,
            control,
            data_plane,
            phase,
            downstream,
        })
    }
}

/// What tells this run of the process from every other.
struct Identity {
    incarnation: Incarnation,
    /// Of the planes' random choices.
    seed: u64,
}

impl Identity {
    fn draw() -> Identity {
        Identity { incarnation: Incarnation(unique_number()), seed: unique_number() }
    }
}

/// A number that no other run has had, whatever the wall clock says; never 0.
fn unique_number() -> u64 {
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    hasher.write_u128(unix.as_nanos());
    hasher.write_u32(std::process::id());
    hasher.finish() | 1
}

/// Only a machine of the core may vote; one without a data folder votes for as long as its process lives.
fn open_store(settings: &Settings, events: UnboundedSender<StoreEvent>) -> StoreHandle {
    let new_disk = DiskId(unique_number());
    match (settings.is_core, settings.data_folder.clone()) {
        (true, Some(folder)) => StoreHandle::on_disk(folder, new_disk, events),
        (true, None) => StoreHandle::in_memory(new_disk, events),
        (false, _) => StoreHandle::closed(events),
    }
}

fn data_plane_options(settings: &Settings, seed: u64) -> data_plane::Options {
    data_plane::Options {
        zone: settings.zone.clone(),
        zones: settings.zones.clone(),
        descriptors: settings.open_files.saturating_sub(RESERVED_DESCRIPTORS).max(MIN_DESCRIPTORS),
        drain_ms: settings.parameter("drainS", 2.0) * 1000.0,
        retry_budget: RetryBudget {
            ratio: settings.parameter("retryRatio", 0.1),
            burst: settings.parameter("retryExtra", 10.0),
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
    if let Some(at) = settings.listen_on.control {
        control.set_control_port(at.port());
    }
    control
}

/// Opens listeners; each has a task.
struct Listeners<'a> {
    data_plane: &'a Rc<SystemDataPlane>,
    phase: &'a Rc<Shutdown>,
}

impl Listeners<'_> {
    fn open_control(
        &self,
        at: ListenAddresses,
        calls: UnboundedSender<PendingCall>,
    ) -> Result<(), StartError> {
        if let Some(listener) = bind(at.control, StartStep::ControlListener)? {
            spawn_local(listeners::control(listener, calls));
        }
        Ok(())
    }

    fn open_ready(&self, at: ListenAddresses) -> Result<(), StartError> {
        if let Some(listener) = bind(at.ready, StartStep::ReadyListener)? {
            let (data_plane, phase) = (self.data_plane.clone(), self.phase.clone());
            let is_ready = move || phase.phase() == Phase::Serving && data_plane.is_ready();
            spawn_local(listeners::ready(listener, is_ready));
        }
        Ok(())
    }

    fn open_metrics(&self, at: Option<SocketAddrV4>) -> Result<(), StartError> {
        if let Some(listener) = bind(at, StartStep::MetricsListener)? {
            let data_plane = self.data_plane.clone();
            spawn_local(listeners::metrics(listener, move || data_plane.metrics()));
        }
        Ok(())
    }

    fn open_downstream(&self, at: ListenAddresses) -> Result<Option<JoinHandle<()>>, StartError> {
        let listener = bind(at.downstream, StartStep::DownstreamListener)?;
        Ok(listener.map(|listener| {
            spawn_local(downstream::serve(listener, self.data_plane.clone(), self.phase.clone()))
        }))
    }
}

fn bind(at: Option<SocketAddrV4>, step: StartStep) -> Result<Option<TcpListener>, StartError> {
    at.map(listeners::bind).transpose().map_err(step.failed())
}
