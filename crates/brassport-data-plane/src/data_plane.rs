//! The data plane of one node: its services, its replica of the configuration, and its life cycle.

use crate::active_configuration::ActiveConfiguration;
use crate::endpoints::EndpointList;
use crate::policy_settings::{during_shutdown, NodeContext, PolicySettings};
use crate::service::{PolicyStart, Resources, Service};
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

/// Parts of the retry budget that nodes use: requests and retries fall into windows differently at each of them.
const USED_RETRY_RATIO: f64 = 0.75;
const USED_RETRY_BURST: f64 = 0.6;

/// What a data plane is started with.
#[derive(Debug, Clone)]
pub struct Options {
    /// This node's zone.
    pub zone: String,
    /// All zones; the policy knows them by their index here.
    pub zones: Vec<String>,
    /// File descriptors for clients and backends.
    pub descriptors: usize,
    /// How soon requests to a draining backend must stop, in milliseconds.
    pub drain_ms: f64,
    /// The retry budget of the cluster.
    pub retry_budget: RetryBudget,
    /// Of the policies' random choices.
    pub seed: u64,
}

/// How many retries all nodes together may make of a service's requests.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond that within a window.
    pub burst: f64,
}

/// The data plane of one node.
pub struct DataPlane<C: Clock, N: Network> {
    pub(crate) resources: Resources<C, N>,
    options: Options,
    services: RefCell<BTreeMap<String, Rc<Service<C, N>>>>,
    configuration: RefCell<Rc<ActiveConfiguration>>,
    state: RefCell<Option<Arc<ReplicatedState>>>,
    /// Backends of services that no configuration has yet: a backend may be started before its configuration is sent.
    unassigned: RefCell<BTreeMap<String, Backend>>,
    /// Where this node stands among all, from 0 up to 1.
    ring_position: Cell<f64>,
    is_shutting_down: Cell<bool>,
}

/// Which of the nodes is at this position of the ring.
fn ordinal(ring_position: f64, state: &ReplicatedState) -> u32 {
    (ring_position * f64::from(state.quota_shares)) as u32
}

/// Construction, and what is read of it.
impl<C: Clock, N: Network> DataPlane<C, N> {
    /// A data plane without a configuration: every request is rejected until one is applied.
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

    /// Whether a request may be served: there is a configuration, and a backend.
    pub fn is_ready(&self) -> bool {
        self.version() > 0 && self.services.borrow().values().any(|service| service.is_ready())
    }

    /// The version of the configuration in force; 0 before there is one.
    pub fn version(&self) -> u32 {
        self.state.borrow().as_ref().map_or(0, |state| state.version())
    }

    /// Requests that await their response or the end of an attempt.
    pub fn in_flight(&self) -> usize {
        self.services.borrow().values().map(|service| service.policy.in_flight()).sum()
    }

    /// Counters and figures of all services, as lines of the Prometheus text format.
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

    /// The configuration as requests read it.
    pub(crate) fn configuration(&self) -> Rc<ActiveConfiguration> {
        self.configuration.borrow().clone()
    }

    /// Closes an idle connection to a backend, for its descriptor; false if there is none.
    pub(crate) fn close_idle_connection(&self) -> bool {
        self.services.borrow().values().any(|service| service.close_idle_connection())
    }

    /// Copied out, as what is done to a service may come back here.
    fn all_services(&self) -> Vec<Rc<Service<C, N>>> {
        self.services.borrow().values().cloned().collect()
    }

    fn zone_index(&self, zone: &str) -> u16 {
        let index = self.options.zones.iter().position(|other| other == zone);
        index.map_or(u16::MAX, |index| index as u16)
    }
}

/// The configuration.
impl<C: Clock, N: Network> DataPlane<C, N> {
    /// Sets where this node stands on the ring of nodes, from 0 up to 1.
    pub fn set_ring_position(self: &Rc<Self>, position: f64) {
        let before = self.ring_position.replace(position);
        let state = self.state.borrow().clone();
        if let Some(state) = state.filter(|state| ordinal(before, state) != ordinal(position, state)) {
            self.update_services(&state);
        }
    }

    /// Applies a state of the replicated log. An older one than the present is ignored: a node never goes back.
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

    /// Opens services that are new, and hands the others the settings that follow from a state and this node's position.
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
            retry_share: USED_RETRY_RATIO * ratio,
            retries: (USED_RETRY_BURST * burst / f64::from(state.quota_shares.max(1))).max(1.0),
        }
    }

    fn open_service(self: &Rc<Self>, name: &str, configuration: &Configuration, node: NodeContext) {
        let mut tables = PolicySettings::default();
        let settings = tables.derive(name, configuration, node);
        let seed = self.options.seed ^ u64::from(fnv1a_32(name));
        match Service::open(&self.resources, PolicyStart { tables, settings, seed }) {
            Ok(service) => drop(self.services.borrow_mut().insert(name.to_owned(), service)),
            // The check of configurations lets no such figure pass.
            Err(error) => return log::error!("service not opened service={name} error=\"{error}\""),
        }
        let unassigned = self.unassigned.take();
        let (assigned, others) = unassigned.into_iter().partition(|(_, backend)| backend.service == name);
        self.unassigned.replace(others);
        let assigned: BTreeMap<String, Backend> = assigned;
        assigned.values().for_each(|backend| self.update_backend(backend));
    }
}

/// Backends, quotas, and the end.
impl<C: Clock, N: Network> DataPlane<C, N> {
    /// Applies what the control plane reports of a backend.
    pub fn update_backend(&self, backend: &Backend) {
        match self.service(&backend.service) {
            Some(service) => self.update_endpoints(&service, |endpoints| endpoints.update(backend)),
            None if backend.state == BackendState::Terminated => {
                self.unassigned.borrow_mut().remove(&backend.id);
            }
            None => {
                self.unassigned.borrow_mut().insert(backend.id.clone(), backend.clone());
            }
        }
    }

    /// Removes a backend that the control plane has not heard of for long.
    pub fn expire_backend(&self, id: &str) {
        self.unassigned.borrow_mut().remove(id);
        for service in self.all_services() {
            self.update_endpoints(&service, |endpoints| endpoints.expire(id));
        }
    }

    /// Removes backends at whose address another one has responded; to be called at each tick.
    pub fn remove_displaced_backends(&self) {
        for service in self.all_services() {
            service.remove_displaced_backends(|zone| self.zone_index(zone));
        }
    }

    fn update_endpoints(&self, service: &Service<C, N>, update: impl FnOnce(&mut EndpointList)) {
        service.update_endpoints(update, |zone| self.zone_index(zone));
    }

    /// Whether some tenant has little quota left here, so that usage is to be reported without delay.
    pub fn is_quota_urgent(&self) -> bool {
        self.resources.quotas.is_urgent()
    }

    /// The next report of usage to the quota's coordinator, and its number.
    pub fn report_usage(&self) -> (u32, Vec<UsageReport>) {
        self.resources.quotas.report_usage()
    }

    /// Applies the coordinator's grants upon the report of this number.
    pub fn apply_grants(&self, term: Term, number: u32, grants: &[QuotaGrant]) {
        self.resources.quotas.apply_grants(term, number, grants);
    }

    /// The process ends soon: an attempt that a backend works at is completed, and not replaced by another.
    pub fn begin_shutdown(&self) {
        self.is_shutting_down.set(true);
        for service in self.all_services() {
            service.set_settings(during_shutdown(service.settings()));
        }
    }

    /// Fails the requests that are in flight, as the process has to end.
    pub fn fail_in_flight(&self) {
        self.services.borrow().values().for_each(|service| service.policy.fail_all());
    }
}
