//! One service: its instance of the policy and the connections to its backends.

use crate::backend_protocol::BackendProtocol;
use crate::endpoints::{ChangeKind, EndpointChange, EndpointList};
use crate::hooks::ServiceHooks;
use crate::metrics::RequestCounters;
use crate::policy_settings::{PolicySettings, MAX_SLOW_START_MS};
use crate::tenant_quotas::{TenantQuotas, UsageMeter};
use brassport_policy::{Event, InvalidSetting, Lifecycle, ListKind, Millis, ServerEntry, Settings};
use brassport_proxy::clock::Clock;
use brassport_proxy::dispatch::{Dispatcher, DispatcherOptions};
use brassport_proxy::network::Network;
use brassport_proxy::protocol::{AttemptEvent, AttemptObserver};
use brassport_proxy::upstream::UpstreamPool;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;

/// A machine to which no connection is established within this time is taken to be down or unreachable.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);
/// The assumed idle timeout of backends that do not announce one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// An observer that does nothing: the hooks count attempts when they end.
struct NoopObserver;

impl AttemptObserver for NoopObserver {
    fn on_attempt(&self, _: AttemptEvent) {}
}

/// The resources shared by all services.
pub(crate) struct Resources<C: Clock, N: Network> {
    pub(crate) clock: C,
    pub(crate) network: N,
    pub(crate) quotas: Rc<TenantQuotas<C>>,
    /// The file descriptors for clients and backends together.
    pub(crate) descriptors: Arc<Semaphore>,
}

/// The initial settings of a service's policy.
pub(crate) struct InitialPolicy {
    /// The tables from which `settings` were derived.
    pub(crate) tables: PolicySettings,
    pub(crate) settings: Settings,
    /// The seed of the policy's random number generator.
    pub(crate) seed: u64,
}

/// A service with its policy, backends and metrics.
pub(crate) struct Service<C: Clock, N: Network> {
    /// The dispatcher, which owns the policy.
    pub(crate) policy: Rc<Dispatcher<C, N>>,
    pub(crate) policy_settings: RefCell<PolicySettings>,
    backends: Rc<UpstreamPool<C, N>>,
    /// The current settings of the policy.
    settings: RefCell<Settings>,
    protocol: Rc<BackendProtocol>,
    counters: Rc<RequestCounters>,
    endpoints: RefCell<EndpointList>,
}

impl<C: Clock, N: Network> Service<C, N> {
    /// Opens a service without backends, and spawns the tasks for its timers and idle connections.
    ///
    /// # Errors
    /// The policy rejects a setting.
    pub(crate) fn open(
        resources: &Resources<C, N>,
        initial: InitialPolicy,
    ) -> Result<Rc<Service<C, N>>, InvalidSetting> {
        let InitialPolicy { tables, settings, seed } = initial;
        let protocol = Rc::new(BackendProtocol::default());
        let backends = Rc::new(new_pool(resources, protocol.clone()));
        let counters = Rc::new(RequestCounters::default());
        let options = DispatcherOptions {
            meter: Some(Box::new(UsageMeter::new(resources.quotas.clone(), &settings))),
            hooks: Some(Rc::new(ServiceHooks::new(resources.quotas.clone(), counters.clone()))),
            on_attempt_end: Box::new(|_| {}),
            inherited_clock: None,
        };
        let policy =
            Dispatcher::new(resources.clock.clone(), settings.clone(), seed, options, backends.clone())?;
        spawn_local(policy.clone().run_timers());
        let swept_pool = backends.clone();
        spawn_local(async move { swept_pool.sweep().await });
        Ok(Rc::new(Service {
            policy,
            policy_settings: RefCell::new(tables),
            backends,
            settings: RefCell::new(settings),
            protocol,
            counters,
            endpoints: RefCell::default(),
        }))
    }

    /// Whether any backend accepts requests.
    pub(crate) fn is_ready(&self) -> bool {
        self.backends.any_ready()
    }

    /// The current settings of the policy.
    pub(crate) fn settings(&self) -> Settings {
        self.settings.borrow().clone()
    }

    /// Applies settings to the policy if they have changed.
    pub(crate) fn set_settings(&self, settings: Settings) {
        if *self.settings.borrow() != settings {
            self.settings.replace(settings.clone());
            self.policy.apply_settings(settings);
        }
    }

    /// Closes the connection that has been idle for the longest time to free its descriptor. Returns false if there is
    /// none.
    pub(crate) fn close_idle_connection(&self) -> bool {
        self.backends.evict_idle()
    }

    /// Appends the metrics of the service in the Prometheus text format.
    pub(crate) fn write_metrics(&self, name: &str, text: &mut String) {
        let now = self.policy.clock().now();
        let policy_metrics = self.policy.inspect(|policy| policy.metrics(now));
        self.counters.write(name, &policy_metrics, text);
        self.counters.write_evidence(name, text);
    }

    /// Updates the endpoint list, and notifies the connection pool and the policy of the changes.
    pub(crate) fn update_endpoints(
        &self,
        update: impl FnOnce(&mut EndpointList),
        zone_index: impl Fn(&str) -> u16,
    ) {
        let changes = {
            let mut endpoints = self.endpoints.borrow_mut();
            update(&mut endpoints);
            endpoints.take_changes()
        };
        if changes.is_empty() {
            return;
        }
        let now = self.policy.clock().now();
        let mut entries = Vec::with_capacity(changes.len());
        for change in &changes {
            self.update_connections(change);
            entries.push(server_entry(change, now, zone_index(&change.backend.zone)));
        }
        self.policy.handle(Event::Servers { kind: ListKind::Delta, entries });
    }

    /// Removes backends at whose address another backend has responded since the last call.
    pub(crate) fn remove_displaced_backends(&self, zone_index: impl Fn(&str) -> u16) {
        let displaced = self.protocol.take_displaced();
        if !displaced.is_empty() {
            let mark = |endpoints: &mut EndpointList| {
                displaced.iter().for_each(|id| endpoints.mark_displaced(id));
            };
            self.update_endpoints(mark, zone_index);
        }
    }

    fn update_connections(&self, change: &EndpointChange) {
        if change.lifecycle == Lifecycle::Removed {
            self.backends.retain(|other| other != change.server);
        } else {
            let is_ready = change.lifecycle == Lifecycle::Ready;
            self.backends.upsert(change.server, &change.backend.id, change.address, is_ready);
        }
    }
}

fn new_pool<C: Clock, N: Network>(
    resources: &Resources<C, N>,
    protocol: Rc<BackendProtocol>,
) -> UpstreamPool<C, N> {
    UpstreamPool::new(
        resources.clock.clone(),
        resources.network.clone(),
        resources.descriptors.clone(),
        CONNECT_TIMEOUT,
        DEFAULT_IDLE_TIMEOUT,
        Rc::new(NoopObserver),
        protocol,
    )
}

/// Converts a change into an entry of the policy's server list.
fn server_entry(change: &EndpointChange, now: Millis, zone: u16) -> ServerEntry {
    let warmup_left_ms = f64::from(change.backend.warmup_left_ms).min(MAX_SLOW_START_MS);
    let is_warming_up = change.kind == ChangeKind::Added && warmup_left_ms > 0.0;
    ServerEntry {
        id: change.server,
        zone,
        cell: 0,
        capacity: f64::from(change.backend.capacity),
        lifecycle: change.lifecycle,
        launched_at: is_warming_up.then_some(now - (MAX_SLOW_START_MS - warmup_left_ms)),
    }
}
