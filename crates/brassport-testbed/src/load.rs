//! The load of a site: clients of every kind, about a hundred requests per second together.

use crate::clients::{run_client, Client, Platform, RequestSpec};
use crate::configuration::Plan;
use crate::faulty_backend::Fault;
use crate::history::Recorder;
use crate::site::Site;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use strum::VariantArray;
use tokio::task::JoinHandle;

/// Work of requests that are in flight when their node shuts down.
const LONG_WORK: Duration = Duration::from_millis(500);
/// Work that goes on long behind the departure of its client, unless it is cancelled.
const ABANDONED_WORK: Duration = Duration::from_millis(1500);

struct Load<'a> {
    site: &'a Site,
    platform: &'a Rc<Platform>,
    recorder: &'a Rc<Recorder>,
    plan: &'a Rc<RefCell<Plan>>,
    stop: &'a Rc<Cell<bool>>,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts the clients; they end once `stop` is true.
pub fn clients(
    site: &Site,
    platform: &Rc<Platform>,
    recorder: &Rc<Recorder>,
    plan: &Rc<RefCell<Plan>>,
    stop: &Rc<Cell<bool>>,
) -> Vec<JoinHandle<()>> {
    let mut load = Load { site, platform, recorder, plan, stop, tasks: Vec::new() };
    // In this order: a client's number seeds its choices.
    load.within_quota();
    load.beyond_quota();
    load.long_requests();
    load.departing_clients();
    load.without_key();
    load.newest_route_at_each_node();
    load.tasks
}

/// Starts clients whose requests a faulty backend answers with faults; they end once `stop` is true.
pub fn faulty_clients(
    site: &Site,
    platform: &Rc<Platform>,
    recorder: &Rc<Recorder>,
    plan: &Rc<RefCell<Plan>>,
    stop: &Rc<Cell<bool>>,
) -> Vec<JoinHandle<()>> {
    let mut load = Load { site, platform, recorder, plan, stop, tasks: Vec::new() };
    load.requests_with_faults();
    load.tasks
}

impl Load<'_> {
    /// Adds a client with so many requests per second, at one node only or where the platform leads it.
    fn add(
        &mut self,
        per_s: f64,
        only: Option<usize>,
        spec: impl FnMut(u32) -> Option<RequestSpec> + 'static,
    ) {
        let number = self.tasks.len() as u64 + 1;
        let mut client = Client::new(number, self.platform.clone(), self.recorder.clone());
        client.only = only.map(|node| self.site.nodes[node].front());
        self.tasks.push(run_client(client, per_s, self.stop.clone(), spec));
    }

    fn key(&self, tenant: &str) -> Option<(String, String)> {
        let key = self.plan.borrow().key(tenant).unwrap_or_default().to_owned();
        Some((tenant.to_owned(), key))
    }

    /// Goods, orders, and what is open to all.
    fn within_quota(&mut self) {
        for tenant in ["oak", "elm", "oak", "elm", "oak", "elm", "oak"] {
            let key = self.key(tenant);
            self.add(9.0, None, move |point| {
                let spec = match point % 10 {
                    0..=5 => RequestSpec::idempotent("/goods/"),
                    6..=8 => RequestSpec::non_idempotent("/orders/"),
                    _ => RequestSpec::idempotent("/open/"),
                };
                Some(spec.with_key(key.clone()).due())
            });
        }
    }

    fn beyond_quota(&mut self) {
        let spec = RequestSpec::idempotent("/goods/").with_key(self.key("reed"));
        for _ in 0..4 {
            let spec = spec.clone();
            self.add(14.0, None, move |_| Some(spec.clone()));
        }
    }

    /// A node that shuts down gracefully sees them to their end.
    fn long_requests(&mut self) {
        for tenant in ["oak", "elm"] {
            let spec = RequestSpec::non_idempotent("/orders/").with_key(self.key(tenant)).due();
            let spec = spec.with_work(LONG_WORK);
            self.add(1.0, None, move |_| Some(spec.clone()));
        }
    }

    /// Clients that depart long before their responses could come.
    fn departing_clients(&mut self) {
        let spec = RequestSpec::idempotent("/goods/").with_key(self.key("elm")).with_work(ABANDONED_WORK);
        for _ in 0..3 {
            let spec = spec.clone();
            self.add(3.0, None, move |point| {
                let after = Duration::from_millis(20 + u64::from(point % 300));
                Some(spec.clone().leaving_after(after))
            });
        }
    }

    /// Allowed on the public route only.
    fn without_key(&mut self) {
        let allowed = RequestSpec::idempotent("/open/").due();
        self.add(4.0, None, move |_| Some(allowed.clone()));
        let rejected = RequestSpec::non_idempotent("/orders/");
        self.add(4.0, None, move |_| Some(rejected.clone()));
    }

    /// Each request names a fault at random.
    fn requests_with_faults(&mut self) {
        let spec = RequestSpec::non_idempotent("/orders/").with_key(self.key("elm"));
        for _ in 0..4 {
            let spec = spec.clone();
            self.add(8.0, None, move |point| {
                let fault = Fault::VARIANTS[point as usize % Fault::VARIANTS.len()];
                Some(spec.clone().with_fault(fault))
            });
        }
    }

    /// Directly at each node that receives clients.
    fn newest_route_at_each_node(&mut self) {
        for node in 0..self.site.nodes.len() {
            let (plan, platform, key) = (self.plan.clone(), self.platform.clone(), self.key("elm"));
            self.add(4.0, Some(node), move |_| {
                let path_start = plan.borrow().newest_route()?.path_start.clone();
                let spec = RequestSpec::idempotent(&path_start).with_key(key.clone());
                platform.in_rotation(node).then_some(spec)
            });
        }
    }
}
