//! The services of this door: for each the decision module's door and its backends, as the control plane tells them.

use crate::hooks::ServiceHooks;
use crate::metrics::RequestCounters;
use crate::shares::{Readings, Shares};
use crate::terms::{Place, Terms, COLD_FOR};
use crate::wire::BackendProtocol;
use brassport_config_store::configuration::{Limits, RouteTable};
use brassport_config_store::consensus::ReplicatedState;
use brassport_control_plane::backends::{Backend, BackendState};
use brassport_policy::{Event, Lifecycle, ListKind, ServerEntry, ServerId, Settings, Tuning};
use brassport_proxy::backends::Backends;
use brassport_proxy::clock::Clock;
use brassport_proxy::door::{Door, Host};
use brassport_proxy::network::Network;
use brassport_proxy::protocol::AttemptCounts;
use brassport_quota::{QuotaGrant, RateLimit, UsageReport};
use brassport_types::{fnv1a_32, TenantId, Term};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::spawn_local;

/// A connection that does not come up by then never will: the machine is dark or cut off.
const CONNECT: Duration = Duration::from_millis(350);
/// Backends that say nothing of it keep an idle connection about so long.
const IDLE: Duration = Duration::from_secs(10);

/// Parts of the budget of further tries that are used: requests and repeats fall into windows differently at each door.
const RETRY_PART: f64 = 0.75;
const FREE_PART: f64 = 0.6;

/// What the data plane is told at the start.
#[derive(Debug, Clone)]
pub struct Options {
    /// This machine's zone, and all of them in order.
    pub zone: String,
    /// See `zone`.
    pub zones: Vec<String>,
    /// Descriptors for clients and backends.
    pub descriptors: usize,
    /// So soon sends to a backend that leaves must stop, in milliseconds.
    pub drain_ms: f64,
    /// The budget of further tries over all doors: repeats a request, and those that are free.
    pub retry: (f64, f64),
    /// Draws.
    pub seed: u64,
}

struct Uncounted;

impl AttemptCounts for Uncounted {
    fn attempt_written(&self) {}
    fn attempt_unwritten(&self) {}
}

pub(crate) struct Service<C: Clock, N: Network> {
    pub door: Rc<Door<C, N>>,
    pub backends: Rc<Backends<C, N>>,
    pub terms: RefCell<Terms>,
    settings: RefCell<Settings>,
    wire: Rc<BackendProtocol>,
    counters: Rc<RequestCounters>,
    /// What the control plane told of each, the number that stands for it, and the state the module was told.
    listed: RefCell<BTreeMap<String, Listed>>,
}

struct Listed {
    id: ServerId,
    backend: Backend,
    told: Option<(Lifecycle, SocketAddr)>,
    /// Another life answered at its address.
    displaced: bool,
}

/// The data plane of one machine.
pub struct DataPlane<C: Clock, N: Network> {
    pub(crate) clock: C,
    network: N,
    options: Options,
    pub(crate) shares: Rc<Shares<C>>,
    services: RefCell<BTreeMap<String, Rc<Service<C, N>>>>,
    pub(crate) index: RefCell<Rc<RouteTable>>,
    pub(crate) limits: RefCell<Limits>,
    state: RefCell<Option<Arc<ReplicatedState>>>,
    /// Backends of services that no configuration names yet.
    early: RefCell<BTreeMap<String, Backend>>,
    /// Where this door stands among all, from 0 up to 1.
    ring_position: Cell<f64>,
    leaving: Cell<bool>,
    pub(crate) has_keys: Cell<bool>,
    pub(crate) descriptors: Arc<Semaphore>,
}

/// Which of the doors one at this position is.
fn ordinal(ring_position: f64, state: &ReplicatedState) -> u32 {
    (ring_position * f64::from(state.quota_shares)) as u32
}

/// What a backend works at for a client that waits is seen to its end, and not given up for another.
fn settings_of_a_leaving_door(settings: Settings) -> Settings {
    let tuning = Tuning { replaces_silent: false, ..settings.tuning };
    Settings { tuning, ..settings }
}

impl<C: Clock, N: Network> DataPlane<C, N> {
    /// A data plane that knows nothing yet.
    pub fn new(clock: C, network: N, options: Options) -> Rc<DataPlane<C, N>> {
        let descriptors = Arc::new(Semaphore::new(options.descriptors));
        Rc::new(DataPlane {
            shares: Shares::new(clock.clone()),
            clock,
            network,
            services: RefCell::default(),
            index: RefCell::new(Rc::new(RouteTable::new(&Default::default()))),
            limits: RefCell::default(),
            state: RefCell::default(),
            early: RefCell::default(),
            ring_position: Cell::new(0.0),
            leaving: Cell::new(false),
            has_keys: Cell::new(false),
            descriptors,
            options,
        })
    }

    /// Whether a request has a chance here: there is a configuration, and a backend.
    pub fn is_ready(&self) -> bool {
        self.version() > 0 && self.services.borrow().values().any(|service| service.backends.any_ready())
    }

    /// The version in force here.
    pub fn version(&self) -> u32 {
        self.state.borrow().as_ref().map_or(0, |state| state.version())
    }

    /// Requests that await their answer or the end of an attempt.
    pub fn in_flight(&self) -> usize {
        self.services.borrow().values().map(|service| service.door.in_flight()).sum()
    }

    /// Counters and figures of all services, as lines of the Prometheus text format.
    pub fn metrics(&self) -> String {
        let mut text = String::new();
        for (name, service) in self.services.borrow().iter() {
            let now = service.door.clock().now();
            let figures = service.door.look(|gateway| gateway.figures(now));
            service.counters.write(name, &figures, &mut text);
        }
        text
    }

    /// Where this door stands on the ring of backends, from 0 up to 1.
    pub fn set_ring_position(self: &Rc<Self>, position: f64) {
        let before = self.ring_position.replace(position);
        let state = self.state.borrow().clone();
        if let Some(state) = state.filter(|state| ordinal(before, state) != ordinal(position, state)) {
            self.settle_services(&state);
        }
    }

    /// The state of the log from now on. Older ones are passed over: this door never goes back.
    pub fn apply_state(self: &Rc<Self>, state: &Arc<ReplicatedState>) {
        let before = self.state.borrow().clone();
        if before.as_ref().is_some_and(|before| before.index >= state.index) {
            return;
        }
        self.state.replace(Some(state.clone()));
        let same = before.is_some_and(|before| {
            Arc::ptr_eq(&before.document, &state.document) && before.quota_shares == state.quota_shares
        });
        if same {
            return;
        }
        let configuration = state.document.configuration();
        self.index.replace(Rc::new(RouteTable::new(configuration)));
        self.limits.replace(configuration.limits.clone());
        self.has_keys.set(configuration.has_keys);
        let limits = configuration.tenants.values().map(|tenant| {
            let limit = RateLimit { rate_per_s: tenant.rate_per_s, burst: tenant.burst };
            (TenantId::of_name(&tenant.name), limit)
        });
        self.shares.settle(limits.collect(), state.quota_shares);
        self.settle_services(state);
    }

    /// Tells the services' decision modules what follows for them from a state, and from where this door stands.
    fn settle_services(self: &Rc<Self>, state: &Arc<ReplicatedState>) {
        let configuration = state.document.configuration();
        let place = Place {
            doors: state.quota_shares,
            ordinal: ordinal(self.ring_position.get(), state),
            zone: self.zone_index(&self.options.zone),
            drain_ms: self.options.drain_ms,
            retry_share: RETRY_PART * self.options.retry.0,
            retries: (FREE_PART * self.options.retry.1 / f64::from(state.quota_shares.max(1))).max(1.0),
        };
        for name in configuration.services.keys() {
            let known = self.services.borrow().get(name).cloned();
            match known {
                Some(service) => {
                    let settings = service.terms.borrow_mut().settle(name, configuration, place);
                    service.settle(if self.leaving.get() {
                        settings_of_a_leaving_door(settings)
                    } else {
                        settings
                    });
                }
                None => self.open_service(name, state, place),
            }
        }
    }

    fn open_service(self: &Rc<Self>, name: &str, state: &ReplicatedState, place: Place) {
        let mut terms = Terms::default();
        let settings = terms.settle(name, state.document.configuration(), place);
        let wire = Rc::new(BackendProtocol::default());
        let backends = Rc::new(Backends::new(
            self.clock.clone(),
            self.network.clone(),
            self.descriptors.clone(),
            CONNECT,
            IDLE,
            Rc::new(Uncounted),
            wire.clone(),
        ));
        let counters = Rc::new(RequestCounters::default());
        let hooks = Rc::new(ServiceHooks::new(self.shares.clone(), counters.clone()));
        let rates = settings.plans.iter().map(|plan| plan.rate).collect();
        let host = Host {
            meter: Some(Box::new(Readings { shares: self.shares.clone(), rates })),
            hooks: Some(hooks),
            released: Box::new(|_| {}),
            clock_before: None,
        };
        let seed = self.options.seed ^ u64::from(fnv1a_32(name));
        let door = match Door::new(self.clock.clone(), settings.clone(), seed, host, backends.clone()) {
            Ok(door) => door,
            // The check of configurations lets no such figure pass.
            Err(problem) => return log::error!("service {name} can't be served: {problem}"),
        };
        spawn_local(door.clone().keep_time());
        let sweeping = backends.clone();
        spawn_local(async move { sweeping.sweep().await });
        let service = Rc::new(Service {
            door,
            backends,
            terms: RefCell::new(terms),
            settings: RefCell::new(settings),
            wire,
            counters,
            listed: RefCell::default(),
        });
        self.services.borrow_mut().insert(name.to_owned(), service);
        let of_it = |backend: &Backend| backend.service == name;
        let early: Vec<Backend> = self.early.borrow().values().filter(|one| of_it(one)).cloned().collect();
        self.early.borrow_mut().retain(|_, backend| !of_it(backend));
        early.iter().for_each(|backend| self.backend(backend));
    }

    fn zone_index(&self, zone: &str) -> u16 {
        let place = self.options.zones.iter().position(|other| other == zone);
        place.map_or(u16::MAX, |place| place as u16)
    }

    pub(crate) fn service(&self, name: &str) -> Option<Rc<Service<C, N>>> {
        self.services.borrow().get(name).cloned()
    }

    /// What the control plane knows of a backend.
    pub fn backend(&self, backend: &Backend) {
        match self.service(&backend.service) {
            Some(service) => service.hear(backend, |zone| self.zone_index(zone)),
            None if backend.state == BackendState::Terminated => {
                self.early.borrow_mut().remove(&backend.id);
            }
            None => {
                self.early.borrow_mut().insert(backend.id.clone(), backend.clone());
            }
        }
    }

    /// A backend that nothing was heard of for long.
    pub fn dropped(&self, id: &str) {
        self.early.borrow_mut().remove(id);
        let services: Vec<_> = self.services.borrow().values().cloned().collect();
        for service in services {
            let known = service.listed.borrow().get(id).map(|listed| listed.backend.clone());
            if let Some(backend) = known {
                service.hear(&Backend { state: BackendState::Terminated, ..backend }, |zone| {
                    self.zone_index(zone)
                });
            }
        }
    }

    /// Whether the lender is to be asked at once: some tenant has little left here.
    pub fn is_urgent(&self) -> bool {
        self.shares.is_urgent()
    }

    /// The next report to the lender.
    pub fn report(&self) -> (u32, Vec<UsageReport>) {
        self.shares.report()
    }

    /// What was lent upon one.
    pub fn apply_grants(&self, term: Term, number: u32, loans: &[QuotaGrant]) {
        self.shares.apply_grants(term, number, loans);
    }

    /// Looks after what answers told of backends, now and then.
    pub fn tend(&self) {
        let services: Vec<_> = self.services.borrow().values().cloned().collect();
        for service in services {
            let displaced = service.wire.displaced();
            if !displaced.is_empty() {
                for id in displaced {
                    if let Some(listed) = service.listed.borrow_mut().get_mut(&id) {
                        listed.displaced = true;
                    }
                }
                service.tell(|zone| self.zone_index(zone));
            }
        }
    }

    /// The process ends soon: what a backend works at is seen to its end, and not given up for another.
    pub fn leave(&self) {
        self.leaving.set(true);
        let services: Vec<_> = self.services.borrow().values().cloned().collect();
        for service in services {
            let settings = service.settings.borrow().clone();
            service.settle(settings_of_a_leaving_door(settings));
        }
    }

    /// Closes the backends' connection that has been idle for long, for its descriptor; false if there is none.
    pub(crate) fn shed_idle(&self) -> bool {
        self.services.borrow().values().any(|service| service.backends.shed_idle())
    }

    /// Fails what is still in flight, as the process has to end.
    pub fn fail_all(&self) {
        self.services.borrow().values().for_each(|service| service.door.fail_all());
    }
}

impl<C: Clock, N: Network> Service<C, N> {
    fn settle(&self, settings: Settings) {
        if *self.settings.borrow() != settings {
            self.settings.replace(settings.clone());
            self.door.settle(settings);
        }
    }

    fn hear(&self, backend: &Backend, zone: impl Fn(&str) -> u16) {
        {
            let listed = &mut *self.listed.borrow_mut();
            let number = || {
                let mut id = fnv1a_32(&backend.id);
                while listed.values().any(|other| other.id == id) {
                    id = id.wrapping_add(1);
                }
                id
            };
            match listed.get(&backend.id).map(|known| known.id) {
                Some(id) => {
                    let known = listed.remove(&backend.id);
                    let told = known.as_ref().and_then(|known| known.told);
                    let displaced = known.is_some_and(|known| known.displaced);
                    let backend = backend.clone();
                    listed.insert(backend.id.clone(), Listed { id, backend, told, displaced });
                }
                None if backend.state == BackendState::Terminated => return,
                None => {
                    let id = number();
                    let backend = backend.clone();
                    listed.insert(backend.id.clone(), Listed { id, backend, told: None, displaced: false });
                }
            }
        }
        self.tell(zone);
    }

    /// Tells the module and the connections what is new of the backends.
    fn tell(&self, zone: impl Fn(&str) -> u16) {
        let now = self.door.clock().now();
        let mut entries = Vec::new();
        let listed = &mut *self.listed.borrow_mut();
        let count =
            |stage| listed.values().filter(|one| one.backend.state == stage && !one.displaced).count();
        // With most of them silent it is the beats that do not come through.
        let trusts = count(BackendState::Unresponsive) <= count(BackendState::Ready);
        for one in listed.values_mut() {
            let lifecycle = match one.backend.state {
                _ if one.displaced => Lifecycle::Gone,
                BackendState::Ready => Lifecycle::Ready,
                BackendState::Unresponsive if !trusts => Lifecycle::Ready,
                BackendState::Unresponsive | BackendState::Draining => Lifecycle::Draining,
                BackendState::Terminated => Lifecycle::Gone,
            };
            let at = SocketAddr::from(one.backend.address);
            if one.told == Some((lifecycle, at)) {
                continue;
            }
            let is_new = one.told.is_none();
            one.told = Some((lifecycle, at));
            let id = one.id;
            if lifecycle == Lifecycle::Gone {
                self.backends.retain(|other| other != id);
            } else {
                self.backends.put(id, &one.backend.id, at, lifecycle == Lifecycle::Ready);
            }
            let warming = f64::from(one.backend.warmup_left_ms).min(COLD_FOR);
            let launched = (is_new && warming > 0.0).then_some(now - (COLD_FOR - warming));
            entries.push(ServerEntry {
                id,
                zone: zone(&one.backend.zone),
                cell: 0,
                share: f64::from(one.backend.capacity),
                lifecycle,
                launched,
            });
        }
        listed.retain(|_, one| !matches!(one.told, Some((Lifecycle::Gone, _))) || one.displaced);
        if !entries.is_empty() {
            self.door.handle(Event::Servers { kind: ListKind::Delta, entries });
        }
    }
}
