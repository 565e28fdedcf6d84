//! The state of the gateway around the policy's dispatcher: the list of backends, the operators' bans and the
//! handover to another process. It makes no policy decisions.

use crate::clock::Clock;
use crate::hooks::RequestHooks;
use crate::local_meter::LocalMeter;
use crate::log;
use crate::mutants::mutant;
use crate::network::Network;
use crate::nodes::bans::Bans;
use crate::run::active_settings::ActiveSettings;
use crate::run::admin::{Call, Reply};
use crate::run::handover::neighbors::Neighbors;
use crate::run::handover::protocol::{Message, Offer};
use crate::run::metrics::{BackendCounts, Metrics};
use brassport_membership::book::{Entry, State};
use brassport_policy::{CustomerId, Event, InvalidSetting, Lifecycle, ListKind, Millis};
use brassport_policy::{Request, ServerEntry, ServerId, Settings};
use brassport_proxy::dispatch;
pub use brassport_proxy::dispatch::{PendingRequest, RequestOutcome};
use brassport_proxy::upstream::{UpstreamPool, UpstreamRequest};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

#[derive(Default)]
struct Inner {
    /// The listed entry of each backend that is not gone, before bans are applied.
    listed: BTreeMap<ServerId, Entry>,
    bans: Bans,
    /// Customers of the attempts that are still in flight in the predecessor process, one entry for each attempt.
    predecessor_attempts: Vec<CustomerId>,
}

/// Options and dependencies of a [`GatewayCore`].
pub struct CoreOptions {
    pub zones: Vec<String>,
    pub local_meter: Option<LocalMeter>,
    pub hooks: Option<Rc<dyn RequestHooks>>,
    pub neighbors: Rc<Neighbors>,
    /// The clock of the predecessor process: its policy time now, and the Unix time of its start, both in
    /// milliseconds.
    pub inherited_clock: Option<(Millis, Millis)>,
}

pub struct GatewayCore<C: Clock, N: Network> {
    dispatcher: Rc<dispatch::Dispatcher<C, N>>,
    zones: RefCell<Vec<String>>,
    backends: Rc<UpstreamPool<C, N>>,
    inner: RefCell<Inner>,
    neighbors: Rc<Neighbors>,
}

impl<C: Clock, N: Network> GatewayCore<C, N> {
    pub fn new(
        clock: C,
        settings: Settings,
        seed: u64,
        options: CoreOptions,
        backends: Rc<UpstreamPool<C, N>>,
    ) -> Result<Rc<GatewayCore<C, N>>, InvalidSetting> {
        let neighbors = options.neighbors.clone();
        let dispatcher_options = dispatch::DispatcherOptions {
            meter: options.local_meter.map(|meter| Box::new(meter) as Box<dyn dispatch::UsageMeter>),
            hooks: options.hooks,
            on_attempt_end: Box::new(move |customer| {
                neighbors.notify_successor(|| Message::Released(customer))
            }),
            inherited_clock: options.inherited_clock,
        };
        Ok(Rc::new(GatewayCore {
            dispatcher: dispatch::Dispatcher::new(
                clock,
                settings,
                seed,
                dispatcher_options,
                backends.clone(),
            )?,
            zones: RefCell::new(options.zones),
            backends,
            inner: RefCell::default(),
            neighbors: options.neighbors,
        }))
    }

    /// Admits a request; see [`dispatch::Dispatcher::admit`]. `id` is the id that the client sent or that was generated.
    pub fn admit(
        &self,
        request: Request,
        id: String,
        message: UpstreamRequest,
        client_timeout: Duration,
    ) -> Option<PendingRequest<C, N>> {
        self.dispatcher.admit(request, id, message, client_timeout)
    }

    /// Whether the hooks permit this gateway to serve now; if not, the time in milliseconds after which clients may
    /// retry.
    pub fn may_serve(&self) -> Result<(), Millis> {
        self.dispatcher.may_serve()
    }

    /// The index of the customer's plan, if the hooks know it.
    pub fn plan_override(&self, customer: CustomerId) -> Option<usize> {
        self.dispatcher.plan_override(customer)
    }

    /// The policy's limit on attempts in flight, and the fraction of the quota that it has capacity for, from 0 to 1.
    pub fn capacity(&self) -> (f64, f64) {
        self.dispatcher.capacity()
    }

    /// An id for a request that came without one. It cannot equal an id that a client may send.
    pub fn generate_id(&self) -> String {
        self.dispatcher.generate_id()
    }

    /// The number of requests that wait for their response or for the end of an attempt.
    pub fn in_flight(&self) -> usize {
        self.dispatcher.in_flight()
    }

    /// Fails all requests in flight, at the end of a shutdown.
    pub fn fail_all(&self) {
        self.dispatcher.fail_all();
    }

    /// Runs the policy's timers when they are due.
    pub fn run_timers(&self) -> impl Future<Output = ()> + 'static {
        self.dispatcher.clone().run_timers()
    }

    /// Applies a list of backends, or a change to it, to the upstream pool and to the policy.
    pub fn update_backends(self: &Rc<Self>, kind: ListKind, nodes: &[Entry]) {
        let mut entries = Vec::with_capacity(nodes.len());
        for listed in nodes {
            let (id, node) = self.record_listing(listed);
            let entry = self.server_entry(id, &node);
            match node.address {
                Some(address) if entry.lifecycle != Lifecycle::Removed => {
                    self.backends.upsert(id, &node.id, address, entry.lifecycle == Lifecycle::Ready);
                }
                None if entry.lifecycle != Lifecycle::Removed => {
                    self.backends.upsert_unreachable(id, &node.id)
                }
                _ => self.backends.retain(|other| other != id),
            }
            entries.push(entry);
        }
        if kind != ListKind::Delta {
            let listed: BTreeSet<ServerId> = entries.iter().map(|entry| entry.id).collect();
            self.backends.retain(|id| listed.contains(&id));
            self.inner.borrow_mut().listed.retain(|id, _| listed.contains(id));
        }
        // Removed backends are forgotten: each new backend has a new name, so they would accumulate without bound.
        for entry in entries.iter().filter(|entry| entry.lifecycle == Lifecycle::Removed) {
            self.inner.borrow_mut().listed.remove(&entry.id);
        }
        self.dispatcher.handle(Event::Servers { kind, entries });
    }

    /// Records the listed entry of a backend. Returns its id, and the entry after the bans are applied.
    fn record_listing(&self, listed: &Entry) -> (ServerId, Entry) {
        let inner = &mut *self.inner.borrow_mut();
        let id = backend_id(&inner.listed, &listed.id);
        inner.listed.insert(id, listed.clone());
        inner.bans.remember(&listed.id);
        let effective = if mutant!(IgnoreBan) { listed.clone() } else { inner.bans.apply_to(listed) };
        (id, effective)
    }

    /// Replaces the settings; each class and plan must keep its index.
    pub fn apply_settings(self: &Rc<Self>, zones: Vec<String>, settings: Settings) {
        self.zones.replace(zones);
        self.dispatcher.apply_settings(settings);
    }

    /// Executes an operator's call; its effect is in force when this returns.
    pub fn execute(self: &Rc<Self>, call: Call, metrics: &Metrics) -> Reply {
        if let Call::Ban(node) = &call {
            self.inner.borrow_mut().bans.remember(node);
        }
        let ban = match call {
            Call::Metrics => return Reply::Metrics(metrics.render(self.backend_counts())),
            Call::Disable(node) | Call::Ban(node) => {
                let boot_ms = self.listed_entry(&node).map(|entry| entry.boot_ms);
                Message::Ban { node, boot_ms }
            }
            Call::Enable(node) => {
                let at_ms = self.dispatcher.clock().unix_time().as_secs_f64() * 1000.0;
                Message::CallBack { node, at_ms }
            }
        };
        if !self.apply_ban(&ban) {
            return Reply::UnknownNode;
        }
        self.neighbors.notify_all(&ban);
        Reply::Done
    }

    fn listed_entry(&self, node: &str) -> Option<Entry> {
        self.inner.borrow().listed.values().find(|entry| *entry.id == *node).cloned()
    }

    /// Applies a ban or its end, from an operator of this process or of the other process of an upgrade. Returns
    /// false if the backend is unknown.
    pub fn apply_ban(self: &Rc<Self>, ban: &Message) -> bool {
        let (node, result, change) = {
            let bans = &mut self.inner.borrow_mut().bans;
            match ban {
                Message::Ban { node, boot_ms } => {
                    (node, bans.disable(node, *boot_ms), "disabled by an operator")
                }
                Message::CallBack { node, at_ms } => {
                    (node, bans.enable(node, *at_ms), "enabled by an operator")
                }
                _ => return false,
            }
        };
        if result.is_err() {
            return false;
        }
        log::write_line(format!("backend {node} {change}"));
        if let Some(entry) = self.listed_entry(node) {
            self.update_backends(ListKind::Delta, &[entry]);
        }
        true
    }

    /// The state for the successor process; fields that the core does not own are left empty. From here on this
    /// process spends neither rate limits nor the turns of backends in warm-up: the successor does. `max_state_bytes`
    /// limits the size of the policy's state.
    pub fn begin_handover(self: &Rc<Self>, max_state_bytes: usize) -> Offer {
        let offer = {
            let inner = self.inner.borrow();
            let clock = self.dispatcher.clock();
            Offer {
                now_ms: clock.now(),
                start_unix_ms: clock.start_unix(),
                bans: inner.bans.clone(),
                listed: inner.listed.values().map(Into::into).collect(),
                policy_state: self.dispatcher.inspect(|gateway| gateway.handover_state(max_state_bytes)),
                in_flight: self
                    .dispatcher
                    .attempts_in_flight()
                    .into_iter()
                    .chain(inner.predecessor_attempts.iter().copied())
                    .collect(),
                last_revision: None,
                config_text: String::new(),
                active_settings: ActiveSettings::default(),
                descriptors: 0,
            }
        };
        self.dispatcher.handle(Event::Retire);
        offer
    }

    /// Continues from the state of the predecessor process.
    pub fn adopt(self: &Rc<Self>, offer: Offer) {
        {
            let inner = &mut *self.inner.borrow_mut();
            inner.bans = offer.bans;
            inner.predecessor_attempts.clone_from(&offer.in_flight);
        }
        self.dispatcher
            .handle(Event::ApplyHandover { state: offer.policy_state, in_flight: offer.in_flight });
        let listed: Vec<Entry> = offer.listed.into_iter().map(Into::into).collect();
        self.update_backends(ListKind::Cached, &listed);
    }

    /// Spends rate limits and warm-up turns again, as the successor process has ended.
    pub fn resume_after_handover(self: &Rc<Self>) {
        self.dispatcher.handle(Event::Resume);
    }

    /// Records that an attempt of this customer ended in the predecessor process.
    pub fn release_attempt(self: &Rc<Self>, customer: CustomerId) {
        {
            let attempts = &mut self.inner.borrow_mut().predecessor_attempts;
            let Some(index) = attempts.iter().position(|other| *other == customer) else { return };
            attempts.swap_remove(index);
        }
        self.neighbors.notify_successor(|| Message::Released(customer));
        self.dispatcher.handle(Event::PredecessorAttemptEnded(customer));
    }

    /// Records that the predecessor process ended, and all its attempts with it.
    pub fn release_all_attempts(self: &Rc<Self>) {
        let all = self.inner.borrow().predecessor_attempts.clone();
        all.into_iter().for_each(|customer| self.release_attempt(customer));
    }

    fn backend_counts(&self) -> BackendCounts {
        let inner = self.inner.borrow();
        let now = self.dispatcher.clock().now();
        let is_ejected = |id| self.dispatcher.inspect(|gateway| gateway.is_ejected(id, now));
        let is_unavailable = |(id, entry): &(&ServerId, &Entry)| {
            let effective = inner.bans.apply_to(entry);
            effective.state != State::Ready || effective.address.is_none() || is_ejected(**id)
        };
        BackendCounts {
            members: inner.listed.len(),
            unavailable: inner.listed.iter().filter(is_unavailable).count(),
        }
    }

    fn server_entry(&self, id: ServerId, node: &Entry) -> ServerEntry {
        let zone = self.zones.borrow().iter().position(|zone| *zone == node.zone);
        ServerEntry {
            id,
            zone: zone.map_or(u16::MAX, |zone| zone as u16),
            cell: node.group as u16,
            capacity: node.size,
            lifecycle: match node.state {
                State::Ready if node.address.is_some() => Lifecycle::Ready,
                State::Ready | State::Draining => Lifecycle::Draining,
                State::Gone => Lifecycle::Removed,
            },
            launched_at: (node.boot_ms > 0.0 && !mutant!(ColdIgnored))
                .then(|| self.dispatcher.clock().at_unix(node.boot_ms)),
        }
    }
}

/// The id of a backend: the number in its name (`s-` and eight hexadecimal digits), so that all gateway instances use
/// the same id. Another name is hashed (FNV-1a). An id that another backend has already is incremented until it is
/// free.
fn backend_id(listed: &BTreeMap<ServerId, Entry>, uid: &str) -> ServerId {
    let digits = uid.strip_prefix("s-").filter(|digits| digits.len() == 8);
    let hash = || {
        let mix = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        uid.bytes().fold(0x811c_9dc5, mix)
    };
    let mut id = digits.and_then(|digits| u32::from_str_radix(digits, 16).ok()).unwrap_or_else(hash);
    while listed.get(&id).is_some_and(|other| *other.id != *uid) {
        id = id.wrapping_add(1);
    }
    id
}
