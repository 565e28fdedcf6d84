//! The data plane of one node: its services, its replica of the configuration, and its shutdown.

use crate::active_configuration::ActiveConfiguration;
use crate::endpoints::EndpointList;
use crate::policy_settings::{during_shutdown, NodeContext, PolicySettings};
use crate::service::{InitialPolicy, Resources, Service};
use crate::tenant_quotas::TenantQuotas;
use brassport_config_store::configuration::Configuration;
use brassport_config_store::consensus::ReplicatedState;
use brassport_control_plane::backends::{Backend, BackendState};
use brassport_proxy::clock::Clock;
use brassport_proxy::network::Network;
use brassport_quota::{QuotaGrant, RateLimit, UsageReport};
use brassport_types::{fnv1a_32, TenantId, Term};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Semaphore;

/// The fraction of the budgeted retry ratio that nodes use. The rest is a margin, as requests and retries fall into
/// different windows on each node.
const USED_RETRY_RATIO: f64 = 0.75;
/// The fraction of the budgeted retry burst that nodes use; the rest is a margin for the same reason as in
/// [`USED_RETRY_RATIO`].
const USED_RETRY_BURST: f64 = 0.6;

/// The options of a data plane.
#[derive(Debug, Clone)]
pub struct Options {
    /// The zone of this node.
    pub zone: String,
    /// All zones. The policy identifies a zone by its index in this list.
    pub zones: Vec<String>,
    /// The number of file descriptors for clients and backends together.
    pub descriptors: usize,
    /// The time in milliseconds within which a node must stop sending requests to a draining backend.
    pub drain_ms: f64,
    /// The retry budget of the cluster.
    pub retry_budget: RetryBudget,
    /// The seed of the policies' random number generators.
    pub seed: u64,
}

/// The maximum number of retries that all nodes together may send for the requests of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Retries per request.
    pub ratio: f64,
    /// Additional retries within a window.
    pub burst: f64,
}

/// The data plane of one node.
pub struct DataPlane<C: Clock, N: Network> {
    pub(crate) resources: Resources<C, N>,
    options: Options,
    services: RefCell<BTreeMap<String, Rc<Service<C, N>>>>,
    configuration: RefCell<Rc<ActiveConfiguration>>,
    state: RefCell<Option<Arc<ReplicatedState>>>,
    /// Backends of services that are not configured yet, by id. A backend may start before its service is configured.
    unassigned: RefCell<BTreeMap<String, Backend>>,
    /// The position of this node on the ring of nodes: at least 0, less than 1.
    ring_position: Cell<f64>,
    is_shutting_down: Cell<bool>,
}

/// The index of the node at this position on the ring.
fn ordinal(ring_position: f64, state: &ReplicatedState) -> u32 {
    (ring_position * f64::from(state.quota_shares)) as u32
}

/// Constructor and accessors.
impl<C: Clock, N: Network> DataPlane<C, N> {
    /// Creates a data plane without a configuration. Every request is rejected until a configuration is applied.
    pub fn new(clock: C, network: N, options: Options) -> Rc<DataPlane<C, N>> {
        let descriptors = Arc::new(Semaphore::new(options.descriptors));
        let quotas = TenantQuotas::new(clock.clone());
        Rc::new(DataPlane {
            resources: Resources { clock, network, quotas, descriptors },
            options,
            services: RefCell::default(),
            configuration: RefCell::new(Rc::new(ActiveConfiguration::new(&Configuration::default()))),
            state: RefCell::default(),
            unassigned: RefCell::default(),
            ring_position: Cell::new(0.0),
            is_shutting_down: Cell::new(false),
        })
    }

    /// Whether requests can be served: there is a configuration and at least one ready backend.
    pub fn is_ready(&self) -> bool {
        self.version() > 0 && self.services.borrow().values().any(|service| service.is_ready())
    }

    /// The version of the active configuration; 0 if there is none yet.
    pub fn version(&self) -> u32 {
        self.state.borrow().as_ref().map_or(0, |state| state.version())
    }

    /// The number of requests that await their response or the end of an attempt.
    pub fn in_flight(&self) -> usize {
        self.services.borrow().values().map(|service| service.policy.in_flight()).sum()
    }

    /// The metrics of all services in the Prometheus text format.
    pub fn metrics(&self) -> String {
        let mut text = String::new();
        for (name, service) in self.services.borrow().iter() {
            service.write_metrics(name, &mut text);
        }
        text
    }

    pub(crate) fn service(&self, name: &str) -> Option<Rc<Service<C, N>>> {
        self.services.borrow().get(name).cloned()
    }

    /// The active configuration, as requests read it.
    pub(crate) fn configuration(&self) -> Rc<ActiveConfiguration> {
        self.configuration.borrow().clone()
    }

    /// Closes an idle connection to a backend to free its descriptor. Returns false if there is none.
    pub(crate) fn close_idle_connection(&self) -> bool {
        self.services.borrow().values().any(|service| service.close_idle_connection())
    }

    /// Returns a copy of the list, so that `services` is not borrowed while a service is being used: a service may call
    /// back into the data plane.
    fn all_services(&self) -> Vec<Rc<Service<C, N>>> {
        self.services.borrow().values().cloned().collect()
    }

    fn zone_index(&self, zone: &str) -> u16 {
        let index = self.options.zones.iter().position(|other| other == zone);
        index.map_or(u16::MAX, |index| index as u16)
    }
}

/// Configuration updates.
impl<C: Clock, N: Network> DataPlane<C, N> {
    /// Sets the position of this node on the ring of nodes: at least 0, less than 1.
    pub fn set_ring_position(self: &Rc<Self>, position: f64) {
        let before = self.ring_position.replace(position);
        let state = self.state.borrow().clone();
        if let Some(state) = state.filter(|state| ordinal(before, state) != ordinal(position, state)) {
            self.update_services(&state);
        }
    }

    /// Applies a state of the replicated log. A state that is not newer than the current one is ignored, so that a node
    /// never returns to an older configuration.
    pub fn apply_state(self: &Rc<Self>, state: &Arc<ReplicatedState>) {
        let before = self.state.borrow().clone();
        if before.as_ref().is_some_and(|before| before.index >= state.index) {
            return;
        }
        self.state.replace(Some(state.clone()));
        let is_unchanged = before.is_some_and(|before| {
            Arc::ptr_eq(&before.document, &state.document) && before.quota_shares == state.quota_shares
        });
        if is_unchanged {
            return;
        }
        let configuration = state.document.configuration();
        self.configuration.replace(Rc::new(ActiveConfiguration::new(configuration)));
        let limits = configuration.tenants.values().map(|tenant| {
            let limit = RateLimit { rate_per_s: tenant.rate_per_s, burst: tenant.burst };
            (TenantId::of_name(&tenant.name), limit)
        });
        self.resources.quotas.set_limits(limits.collect(), state.quota_shares);
        self.update_services(state);
    }

    /// Opens new services, and updates the settings of existing ones from a state and the position of this node.
    fn update_services(self: &Rc<Self>, state: &Arc<ReplicatedState>) {
        let configuration = state.document.configuration();
        let node = self.node_context(state);
        for name in configuration.services.keys() {
            let Some(service) = self.service(name) else {
                self.open_service(name, configuration, node);
                continue;
            };
            let settings = service.policy_settings.borrow_mut().derive(name, configuration, node);
            let is_shutting_down = self.is_shutting_down.get();
            service.set_settings(if is_shutting_down { during_shutdown(settings) } else { settings });
        }
    }

    fn node_context(&self, state: &ReplicatedState) -> NodeContext {
        let RetryBudget { ratio, burst } = self.options.retry_budget;
        NodeContext {
            nodes: state.quota_shares,
            ordinal: ordinal(self.ring_position.get(), state),
            zone: self.zone_index(&self.options.zone),
            drain_ms: self.options.drain_ms,
            retry_ratio: USED_RETRY_RATIO * ratio,
            max_retry_budget: (USED_RETRY_BURST * burst / f64::from(state.quota_shares.max(1))).max(1.0),
        }
    }

    fn open_service(self: &Rc<Self>, name: &str, configuration: &Configuration, node: NodeContext) {
        let mut tables = PolicySettings::default();
        let settings = tables.derive(name, configuration, node);
        let seed = self.options.seed ^ u64::from(fnv1a_32(name));
        match Service::open(&self.resources, InitialPolicy { tables, settings, seed }) {
            Ok(service) => drop(self.services.borrow_mut().insert(name.to_owned(), service)),
            // Not expected: the validation of configurations rejects such values.
            Err(error) => return log::error!("cannot open service service={name} error=\"{error}\""),
        }
        let unassigned = self.unassigned.take();
        let (assigned, others) = unassigned.into_iter().partition(|(_, backend)| backend.service == name);
        self.unassigned.replace(others);
        let assigned: BTreeMap<String, Backend> = assigned;
        assigned.values().for_each(|backend| self.update_backend(backend));
    }
}

/// Backends, quotas and shutdown.
impl<C: Clock, N: Network> DataPlane<C, N> {
    /// Applies the control plane's report of a backend.
    pub fn update_backend(&self, backend: &Backend) {
        match self.service(&backend.service) {
            Some(service) => self.update_endpoints(&service, |endpoints| endpoints.update(backend)),
            None if matches!(backend.state, BackendState::Draining | BackendState::Terminated) => {
                self.unassigned.borrow_mut().remove(&backend.id);
            }
            None => {
                self.unassigned.borrow_mut().insert(backend.id.clone(), backend.clone());
            }
        }
    }

    /// Removes a backend whose record has expired in the control plane.
    pub fn expire_backend(&self, id: &str) {
        self.unassigned.borrow_mut().remove(id);
        for service in self.all_services() {
            self.update_endpoints(&service, |endpoints| endpoints.expire(id));
        }
    }

    /// Removes backends at whose address another backend has responded. To be called at each tick.
    pub fn remove_displaced_backends(&self) {
        for service in self.all_services() {
            service.remove_displaced_backends(|zone| self.zone_index(zone));
        }
    }

    fn update_endpoints(&self, service: &Service<C, N>, update: impl FnOnce(&mut EndpointList)) {
        service.update_endpoints(update, |zone| self.zone_index(zone));
    }

    /// Whether some tenant can send fewer than two further requests on this node before the next grant, so that usage
    /// has to be reported without delay.
    pub fn is_quota_urgent(&self) -> bool {
        self.resources.quotas.is_urgent()
    }

    /// Creates the next usage report to the quota coordinator. Returns the number of the report and its entries.
    pub fn report_usage(&self) -> (u32, Vec<UsageReport>) {
        self.resources.quotas.report_usage()
    }

    /// Applies the grants of the quota coordinator in response to the report with this number.
    pub fn apply_grants(&self, term: Term, number: u32, grants: &[QuotaGrant]) {
        self.resources.quotas.apply_grants(term, number, grants);
    }

    /// Begins the shutdown: attempts in progress are completed and no longer replaced by attempts at other backends.
    pub fn begin_shutdown(&self) {
        self.is_shutting_down.set(true);
        for service in self.all_services() {
            service.set_settings(during_shutdown(service.settings()));
        }
    }

    /// Fails the requests in flight, as the process is about to exit.
    pub fn fail_in_flight(&self) {
        self.services.borrow().values().for_each(|service| service.policy.fail_all());
    }
}
