//! The door: the list of nodes, what staff told of them and the hand-over to another process, round the owner of the
//! decision module. It decides nothing.

use crate::clock::Clock;
use crate::hooks::RequestHooks;
use crate::local_meter::LocalMeter;
use crate::log;
use crate::mutants::mutant;
use crate::network::Network;
use crate::nodes::bans::Bans;
use crate::run::admin::{Call, Reply};
use crate::run::handover::links::Links;
use crate::run::handover::protocol::{Message as Told, Offer};
use crate::run::metrics::{Figures, ListFigures};
use crate::run::terms::Terms;
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
    /// What the list says of each backend that is not gone, by the number that stands for it.
    listed: BTreeMap<ServerId, Entry>,
    bans: Bans,
    /// Customers of attempts that are out in the process whose place this one took.
    out_elsewhere: Vec<CustomerId>,
}

/// What the door's host brings.
pub struct Host {
    pub zones: Vec<String>,
    pub local_meter: Option<LocalMeter>,
    pub hooks: Option<Rc<dyn RequestHooks>>,
    pub links: Rc<Links>,
    /// The clock of the process whose place this one takes: its time, and the Unix time of its start.
    pub clock_before: Option<(Millis, Millis)>,
}

pub struct Door<C: Clock, N: Network> {
    dispatcher: Rc<dispatch::Dispatcher<C, N>>,
    zones: RefCell<Vec<String>>,
    backends: Rc<UpstreamPool<C, N>>,
    inner: RefCell<Inner>,
    links: Rc<Links>,
}

impl<C: Clock, N: Network> Door<C, N> {
    pub fn new(
        clock: C,
        settings: Settings,
        seed: u64,
        host: Host,
        backends: Rc<UpstreamPool<C, N>>,
    ) -> Result<Rc<Door<C, N>>, InvalidSetting> {
        let links = host.links.clone();
        let options = dispatch::DispatcherOptions {
            meter: host.local_meter.map(|meter| Box::new(meter) as Box<dyn dispatch::UsageMeter>),
            hooks: host.hooks,
            on_attempt_end: Box::new(move |customer| links.tell_successor(|| Told::Released(customer))),
            inherited_clock: host.clock_before,
        };
        Ok(Rc::new(Door {
            dispatcher: dispatch::Dispatcher::new(clock, settings, seed, options, backends.clone())?,
            zones: RefCell::new(host.zones),
            backends,
            inner: RefCell::default(),
            links: host.links,
        }))
    }

    /// Takes a request in, as the owner of the module does.
    pub fn admit(
        &self,
        request: Request,
        name: String,
        message: UpstreamRequest,
        patience: Duration,
    ) -> Option<PendingRequest<C, N>> {
        self.dispatcher.admit(request, name, message, patience)
    }

    /// Whether the host lets this door act now; if not, how long clients are to wait.
    pub fn may_act(&self) -> Result<(), Millis> {
        self.dispatcher.may_serve()
    }

    /// The plan that the host knows of this customer.
    pub fn plan_of(&self, customer: CustomerId) -> Option<usize> {
        self.dispatcher.plan_override(customer)
    }

    /// The module's limit on attempts out, and its room.
    pub fn room(&self) -> (f64, f64) {
        self.dispatcher.capacity()
    }

    /// A name for a request whose client gave it none; no client can give it.
    pub fn generate_id(&self) -> String {
        self.dispatcher.generate_id()
    }

    /// How many requests await their answer or the end of an attempt.
    pub fn in_flight(&self) -> usize {
        self.dispatcher.in_flight()
    }

    /// Fails all that is still in flight, as the program has to end.
    pub fn fail_all(&self) {
        self.dispatcher.fail_all();
    }

    /// Wakes the module when its timers are due.
    pub fn run_timers(&self) -> impl Future<Output = ()> + 'static {
        self.dispatcher.clone().run_timers()
    }

    /// Takes in the list of backends or a change to it, for itself and for the module.
    pub fn servers(self: &Rc<Self>, kind: ListKind, nodes: &[Entry]) {
        let mut entries = Vec::with_capacity(nodes.len());
        for told in nodes {
            let (id, node) = self.note(told);
            let entry = self.entry(id, &node);
            match node.address {
                Some(at) if entry.lifecycle != Lifecycle::Removed => {
                    self.backends.upsert(id, &node.id, at, entry.lifecycle == Lifecycle::Ready);
                }
                None if entry.lifecycle != Lifecycle::Removed => {
                    self.backends.upsert_unreachable(id, &node.id)
                }
                _ => self.backends.retain(|other| other != id),
            }
            entries.push(entry);
        }
        if kind != ListKind::Delta {
            let named: BTreeSet<ServerId> = entries.iter().map(|entry| entry.id).collect();
            self.backends.retain(|id| named.contains(&id));
            self.inner.borrow_mut().listed.retain(|id, _| named.contains(id));
        }
        // Guards the memory: the gone would pile up, as each new backend has a new name.
        for entry in entries.iter().filter(|entry| entry.lifecycle == Lifecycle::Removed) {
            self.inner.borrow_mut().listed.remove(&entry.id);
        }
        self.dispatcher.handle(Event::Servers { kind, entries });
    }

    /// Notes what the list says of a backend. Returns its number and what holds with the bans laid over that.
    fn note(&self, told: &Entry) -> (ServerId, Entry) {
        let inner = &mut *self.inner.borrow_mut();
        let id = number(&inner.listed, &told.id);
        inner.listed.insert(id, told.clone());
        inner.bans.hear(&told.id);
        let holds = if mutant!(IgnoreBan) { told.clone() } else { inner.bans.laid_over(told) };
        (id, holds)
    }

    /// Other settings hold from now on; a class or a plan keeps its index.
    pub fn settle(self: &Rc<Self>, zones: Vec<String>, settings: Settings) {
        self.zones.replace(zones);
        self.dispatcher.apply_settings(settings);
    }

    /// Carries out what staff ask; it is in force when this returns.
    pub fn operate(self: &Rc<Self>, call: Call, figures: &Figures) -> Reply {
        if let Call::Ban(node) = &call {
            self.inner.borrow_mut().bans.hear(node);
        }
        let ban = match call {
            Call::Metrics => return Reply::Metrics(figures.text(self.list_figures())),
            Call::Disable(node) | Call::Ban(node) => {
                let boot_ms = self.told_of(&node).map(|told| told.boot_ms);
                Told::Ban { node, boot_ms }
            }
            Call::Enable(node) => {
                let at_ms = self.dispatcher.clock().unix_time().as_secs_f64() * 1000.0;
                Told::CallBack { node, at_ms }
            }
        };
        if !self.note_ban(&ban) {
            return Reply::UnknownNode;
        }
        self.links.tell_all(&ban);
        Reply::Done
    }

    fn told_of(&self, node: &str) -> Option<Entry> {
        self.inner.borrow().listed.values().find(|entry| *entry.id == *node).cloned()
    }

    /// Takes in what staff told here or to another process of this front door; false if there is no such node.
    pub fn note_ban(self: &Rc<Self>, ban: &Told) -> bool {
        let (node, done, word) = {
            let bans = &mut self.inner.borrow_mut().bans;
            match ban {
                Told::Ban { node, boot_ms } => (node, bans.disable(node, *boot_ms), "taken out"),
                Told::CallBack { node, at_ms } => (node, bans.enable(node, *at_ms), "put back"),
                _ => return false,
            }
        };
        if done.is_err() {
            return false;
        }
        log::write_line(format!("backend {node} {word} by staff"));
        if let Some(told) = self.told_of(node) {
            self.servers(ListKind::Delta, &[told]);
        }
        true
    }

    /// What a process that takes this one's place needs; what the door does not know is left empty. From here on
    /// ceilings and turns of cold backends are spent there. `most` bounds the bytes of what was learned.
    pub fn hand_over(self: &Rc<Self>, most: usize) -> Offer {
        let offer = {
            let inner = self.inner.borrow();
            let clock = self.dispatcher.clock();
            Offer {
                now_ms: clock.now(),
                start_unix_ms: clock.start_unix(),
                bans: inner.bans.clone(),
                listed: inner.listed.values().map(Into::into).collect(),
                learned: self.dispatcher.inspect(|gateway| gateway.handover_state(most)),
                out: self
                    .dispatcher
                    .attempts_in_flight()
                    .into_iter()
                    .chain(inner.out_elsewhere.iter().copied())
                    .collect(),
                newest: None,
                file: String::new(),
                terms: Terms::default(),
                descriptors: 0,
            }
        };
        self.dispatcher.handle(Event::Retire);
        offer
    }

    /// Goes on where another process was.
    pub fn go_on(self: &Rc<Self>, offer: Offer) {
        {
            let inner = &mut *self.inner.borrow_mut();
            inner.bans = offer.bans;
            inner.out_elsewhere.clone_from(&offer.out);
        }
        self.dispatcher.handle(Event::ApplyHandover { state: offer.learned, in_flight: offer.out });
        let listed: Vec<Entry> = offer.listed.into_iter().map(Into::into).collect();
        self.servers(ListKind::Cached, &listed);
    }

    /// The process that took this one's place has ended.
    pub fn take_back(self: &Rc<Self>) {
        self.dispatcher.handle(Event::Resume);
    }

    /// An attempt of this customer has ended in the process whose place this one took.
    pub fn release(self: &Rc<Self>, customer: CustomerId) {
        {
            let out = &mut self.inner.borrow_mut().out_elsewhere;
            let Some(place) = out.iter().position(|other| *other == customer) else { return };
            out.swap_remove(place);
        }
        self.links.tell_successor(|| Told::Released(customer));
        self.dispatcher.handle(Event::PredecessorAttemptEnded(customer));
    }

    /// That process has ended, and all its attempts with it.
    pub fn release_all(self: &Rc<Self>) {
        let all = self.inner.borrow().out_elsewhere.clone();
        all.into_iter().for_each(|customer| self.release(customer));
    }

    fn list_figures(&self) -> ListFigures {
        let inner = self.inner.borrow();
        let now = self.dispatcher.clock().now();
        let avoids = |id| self.dispatcher.inspect(|gateway| gateway.is_ejected(id, now));
        let avoided = |(id, told): &(&ServerId, &Entry)| {
            let holds = inner.bans.laid_over(told);
            holds.state != State::Ready || holds.address.is_none() || avoids(**id)
        };
        ListFigures { members: inner.listed.len(), unavailable: inner.listed.iter().filter(avoided).count() }
    }

    fn entry(&self, id: ServerId, node: &Entry) -> ServerEntry {
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

/// The number that stands for a backend: the one its name holds, so that every front door finds the
/// same. Another name is hashed, and moves on if its number stands for a different one.
fn number(listed: &BTreeMap<ServerId, Entry>, uid: &str) -> ServerId {
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
