//! Plain policies to hold the decision module against. They speak its interface: the same events in, the same
//! actions out.

use super::site::Policy;
use brassport_policy::{
    Action, AttemptEnd, Event, Gateway, Lifecycle, ListKind, Millis, Request, RequestId, RetrySafety,
};
use brassport_policy::{ServerEntry, ServerId, Settings};
use std::cell::RefCell;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Whatever decides at a front door.
pub enum Decider {
    /// The module.
    Module(Box<Gateway>),
    /// A plain policy.
    Baseline(Box<Baseline>),
}

impl Decider {
    /// A front door that starts `now`; `all` is what the informed ones see together.
    pub fn new(policy: Policy, settings: Settings, seed: u64, now: Millis, all: &Seen) -> Decider {
        match policy {
            Policy::Module => Decider::Module(Box::new(
                Gateway::new(settings, seed, now).expect("the settings of a checked study make sense"),
            )),
            Policy::Informed => Decider::Baseline(Box::new(Baseline::new(policy, settings, all.clone()))),
            _ => Decider::Baseline(Box::new(Baseline::new(policy, settings, Seen::default()))),
        }
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match self {
            Decider::Module(gateway) => gateway.handle(now, event, actions),
            Decider::Baseline(baseline) => baseline.handle(now, event, actions),
        }
    }
}

/// One token bucket.
#[derive(Debug, Clone, Copy)]
pub struct Bucket {
    content: f64,
    at: Millis,
}

impl Bucket {
    /// A full one.
    pub fn full(burst: f64) -> Bucket {
        Bucket { content: burst, at: 0.0 }
    }

    /// Lets in what has flowed since, and takes so many units if they are there. What is short is returned.
    pub fn take(&mut self, now: Millis, rate: f64, burst: f64, units: f64) -> f64 {
        self.content = (self.content + rate * (now - self.at).max(0.0) / 1000.0).min(burst);
        self.at = now;
        let taken = units.min(self.content);
        self.content -= taken;
        units - taken
    }

    /// The same, whole or not at all.
    pub fn admits(&mut self, now: Millis, rate: f64, burst: f64, units: f64) -> bool {
        let admits = self.take(now, rate, burst, 0.0) <= 0.0 && self.content >= units;
        self.content -= if admits { units } else { 0.0 };
        admits
    }
}

/// What a policy sees of servers and quotas: its own door's, or all doors' if it is informed.
#[derive(Debug, Clone, Default)]
pub struct Seen(Rc<RefCell<Sight>>);

#[derive(Debug, Default)]
struct Sight {
    /// Attempts in flight of each server that is ready.
    servers: BTreeMap<ServerId, u32>,
    /// The same servers by those, for the least.
    by_flight: BTreeSet<(u32, ServerId)>,
    buckets: BTreeMap<u64, Bucket>,
}

impl Sight {
    fn drop_server(&mut self, id: ServerId) {
        if let Some(flight) = self.servers.remove(&id) {
            self.by_flight.remove(&(flight, id));
        }
    }

    fn list(&mut self, whole: bool, entries: &[ServerEntry]) {
        let is_ready = |id: &ServerId| {
            entries.iter().any(|entry| entry.id == *id && entry.lifecycle == Lifecycle::Ready)
        };
        let left: Vec<ServerId> = match whole {
            true => self.servers.keys().copied().filter(|id| !is_ready(id)).collect(),
            false => entries.iter().map(|entry| entry.id).filter(|id| !is_ready(id)).collect(),
        };
        left.into_iter().for_each(|id| self.drop_server(id));
        for entry in entries.iter().filter(|entry| entry.lifecycle == Lifecycle::Ready) {
            if let Entry::Vacant(place) = self.servers.entry(entry.id) {
                place.insert(0);
                self.by_flight.insert((0, entry.id));
            }
        }
    }
}

struct Open {
    class: usize,
    tried: Vec<ServerId>,
    may_have_run: bool,
    /// An attempt is in flight; never two are.
    out: bool,
    /// The final answer is given.
    done: bool,
}

/// A front door without the module.
pub struct Baseline {
    policy: Policy,
    settings: Settings,
    seen: Seen,
    next: ServerId,
    open: BTreeMap<RequestId, Open>,
}

impl Baseline {
    fn new(policy: Policy, settings: Settings, seen: Seen) -> Baseline {
        Baseline { policy, next: settings.ordinal, settings, seen, open: BTreeMap::new() }
    }

    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Servers { kind, entries } => {
                let whole = !matches!(kind, ListKind::Delta | ListKind::Failed);
                self.seen.0.borrow_mut().list(whole, &entries);
            }
            Event::Request(request) | Event::Upload(request) => self.arrive(now, request, actions),
            Event::UploadComplete(_) => {}
            Event::AttemptEnd(end) => self.ended(end, actions),
            Event::ResponseStarted(id) | Event::ClientDisconnected(id) => self.close(id),
            Event::Settings(settings) => self.settings = *settings,
            // A baseline learns nothing that another could go on with.
            Event::ApplyHandover { .. }
            | Event::PredecessorAttemptEnded(_)
            | Event::Retire
            | Event::Resume => {}
            Event::Timer(id) => {
                if let Some(open) = self.open.get(&id).filter(|open| !open.done) {
                    actions.push(if open.may_have_run {
                        Action::Fail(id)
                    } else {
                        Action::Reject { request: id, retry_after: 0.0 }
                    });
                    self.close(id);
                }
            }
        }
    }

    fn arrive(&mut self, now: Millis, request: Request, actions: &mut Vec<Action>) {
        let plan = self.settings.plans[request.plan];
        if matches!(self.policy, Policy::EvenShare | Policy::Informed) {
            let shared = self.policy == Policy::Informed;
            let parts = if shared { 1.0 } else { f64::from(request.customer_gateways.max(1)) };
            let (rate, burst) = (plan.rate / parts, (plan.burst / parts).max(request.units));
            let mut seen = self.seen.0.borrow_mut();
            let bucket = seen.buckets.entry(request.customer).or_insert(Bucket::full(burst));
            if !bucket.admits(now, rate, burst, request.units) {
                actions.push(Action::Reject { request: request.id, retry_after: self.settings.meter_period });
                return;
            }
        }
        let open =
            Open { class: request.class, tried: Vec::new(), may_have_run: false, out: false, done: false };
        self.open.insert(request.id, open);
        let at = now + (request.expires_in - 2.0 * self.settings.tick).max(0.0);
        actions.push(Action::SetTimer { at, token: request.id });
        self.send(request.id, actions);
    }

    /// The final answer is given; an attempt that is still in flight is counted until it ends.
    fn close(&mut self, id: RequestId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.done = true;
        if !open.out {
            self.open.remove(&id);
        }
    }

    fn send(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let chosen = match self.policy {
            Policy::RoundRobin => {
                let seen = self.seen.0.borrow();
                let next = seen.servers.range(self.next..).next().or(seen.servers.iter().next());
                next.map(|(&server, _)| server)
            }
            _ => {
                let seen = self.seen.0.borrow();
                let fresh = seen.by_flight.iter().find(|(_, server)| !open.tried.contains(server));
                fresh.map(|&(_, server)| server)
            }
        };
        match chosen {
            Some(server) if open.tried.len() < self.settings.max_attempts as usize => {
                self.next = server + 1;
                open.tried.push(server);
                (open.may_have_run, open.out) = (true, true);
                self.count(server, 1);
                actions.push(Action::Send { request: id, server, expire_at: None });
            }
            _ => {
                self.close(id);
                actions.push(Action::Reject { request: id, retry_after: self.settings.meter_period });
            }
        }
    }

    fn count(&mut self, server: ServerId, more: i64) {
        let Sight { servers, by_flight, .. } = &mut *self.seen.0.borrow_mut();
        if let Some(flight) = servers.get_mut(&server) {
            by_flight.remove(&(*flight, server));
            *flight = (i64::from(*flight) + more).max(0) as u32;
            by_flight.insert((*flight, server));
        }
    }

    fn ended(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&end.request) else { return };
        open.out = false;
        open.may_have_run = !end.outcome.never_ran();
        let (done, class, tried) = (open.done, open.class, open.tried.last().copied());
        if let Some(server) = tried {
            self.count(server, -1);
        }
        if done || end.finished {
            self.close(end.request);
        } else if !end.outcome.never_ran()
            && self.settings.classes[class].retry_safety != RetrySafety::Idempotent
        {
            self.close(end.request);
            actions.push(Action::Fail(end.request));
        } else {
            self.send(end.request, actions);
        }
    }
}
