//! Plain policies to hold the decision module against. They speak its interface: the same events in, the same
//! actions out.

use super::site::Policy;
use springusher::{
    Action, AttemptEnd, Effect, Event, Gateway, Lifecycle, ListKind, Millis, Request, RequestId,
};
use springusher::{ServerId, Settings};
use std::collections::{BTreeMap, BTreeSet};

/// Whatever decides at a front door.
pub enum Decider {
    /// The module.
    Module(Box<Gateway>),
    /// A plain policy.
    Baseline(Box<Baseline>),
}

impl Decider {
    /// A front door that starts at time 0.
    pub fn new(policy: Policy, settings: Settings, seed: u64) -> Decider {
        match policy {
            Policy::Module => Decider::Module(Box::new(
                Gateway::new(settings, seed, 0.0).expect("the settings of a checked study make sense"),
            )),
            _ => Decider::Baseline(Box::new(Baseline::new(policy, settings))),
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
    /// Attempts in flight of each server that is ready.
    servers: BTreeMap<ServerId, u32>,
    /// The same servers by those, for the least.
    by_flight: BTreeSet<(u32, ServerId)>,
    next: ServerId,
    buckets: BTreeMap<u64, Bucket>,
    open: BTreeMap<RequestId, Open>,
}

impl Baseline {
    fn new(policy: Policy, settings: Settings) -> Baseline {
        Baseline {
            policy,
            next: settings.ordinal,
            settings,
            servers: BTreeMap::new(),
            by_flight: BTreeSet::new(),
            buckets: BTreeMap::new(),
            open: BTreeMap::new(),
        }
    }

    fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Servers { kind, entries } => {
                if !matches!(kind, ListKind::Delta | ListKind::Failed) {
                    self.servers.clear();
                    self.by_flight.clear();
                }
                for entry in entries {
                    if entry.lifecycle != Lifecycle::Ready {
                        if let Some(flight) = self.servers.remove(&entry.id) {
                            self.by_flight.remove(&(flight, entry.id));
                        }
                    } else if self.servers.insert(entry.id, 0).is_none() {
                        self.by_flight.insert((0, entry.id));
                    }
                }
            }
            Event::Request(request) | Event::Upload(request) => self.arrive(now, request, actions),
            Event::Whole(_) => {}
            Event::AttemptEnd(end) => self.ended(end, actions),
            Event::Started(id) | Event::ClientGone(id) => self.close(id),
            Event::Settings(settings) => self.settings = *settings,
            // A baseline learns nothing that another could go on with.
            Event::Inherit { .. } | Event::Released(_) | Event::HandOver | Event::TakeBack => {}
            Event::Timer(id) => {
                if let Some(open) = self.open.get(&id).filter(|open| !open.done) {
                    actions.push(if open.may_have_run {
                        Action::Fail(id)
                    } else {
                        Action::Refuse { request: id, retry_after: 0.0 }
                    });
                    self.close(id);
                }
            }
        }
    }

    fn arrive(&mut self, now: Millis, request: Request, actions: &mut Vec<Action>) {
        let plan = self.settings.plans[request.plan];
        if self.policy == Policy::EvenShare {
            let parts = f64::from(request.spread.max(1));
            let (rate, burst) = (plan.rate / parts, (plan.burst / parts).max(request.units));
            let bucket = self.buckets.entry(request.customer).or_insert(Bucket::full(burst));
            if !bucket.admits(now, rate, burst, request.units) {
                actions.push(Action::Refuse { request: request.id, retry_after: self.settings.meter_period });
                return;
            }
        }
        let open =
            Open { class: request.class, tried: Vec::new(), may_have_run: false, out: false, done: false };
        self.open.insert(request.id, open);
        let at = now + (request.expires_in - 2.0 * self.settings.tick).max(0.0);
        actions.push(Action::Timer { at, token: request.id });
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
                let next = self.servers.range(self.next..).next().or(self.servers.iter().next());
                next.map(|(&server, _)| server)
            }
            _ => {
                let fresh = self.by_flight.iter().find(|(_, server)| !open.tried.contains(server));
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
                actions.push(Action::Refuse { request: id, retry_after: self.settings.meter_period });
            }
        }
    }

    fn count(&mut self, server: ServerId, more: i64) {
        if let Some(flight) = self.servers.get_mut(&server) {
            self.by_flight.remove(&(*flight, server));
            *flight = (i64::from(*flight) + more).max(0) as u32;
            self.by_flight.insert((*flight, server));
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
        } else if !end.outcome.never_ran() && self.settings.classes[class].effect == Effect::Once {
            self.close(end.request);
            actions.push(Action::Fail(end.request));
        } else {
            self.send(end.request, actions);
        }
    }
}
