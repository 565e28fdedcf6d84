//! A simulated cluster of nodes and coordinators, with one tenant whose load on two nodes or on all of them
//! is up to eight times its limit. Messages are lost, delayed and duplicated, nodes are partitioned and
//! restarted, and coordinators are deposed without noticing it for a while. In each window of five seconds
//! the admitted requests must stay within the limit and its tolerance.

mod faults;

use brassport_quota::{
    Incarnation, NodeQuotas, QuotaCoordinator, QuotaGrant, RateLimit, TenantId, Term, UsageReport,
};
use brassport_types::DiskId;
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

const TENANT: TenantId = TenantId(7);
const WINDOW_MS: u64 = 5_000;
const DURATION_MS: u64 = 30_000;
const REPORT_PERIOD_MS: u64 = 400;

/// The result of one run.
pub struct Outcome {
    /// Admitted requests in the worst window, as a fraction of the tolerated ones.
    pub worst_window: f64,
    /// Admitted requests, as a fraction of those that the limit allows.
    pub utilization: f64,
}

/// Simulates a cluster; the seed determines its size, load and faults.
pub fn run(seed: u64) -> Outcome {
    let mut cluster = Cluster::new(seed);
    while let Some(((at, _), event)) = cluster.queue.pop_first() {
        cluster.now = at;
        if at > DURATION_MS {
            break;
        }
        cluster.handle(event);
    }
    cluster.outcome()
}

enum Event {
    Request { node: usize },
    ReportDue { node: usize },
    UsageArrives(Usage),
    GrantArrives(Grant),
    FaultDue,
}

struct Usage {
    coordinator: usize,
    node: usize,
    incarnation: Incarnation,
    number: u32,
    reports: Vec<UsageReport>,
}

#[derive(Clone)]
struct Grant {
    node: usize,
    incarnation: Incarnation,
    term: Term,
    number: u32,
    grants: Vec<QuotaGrant>,
}

struct Node {
    quotas: NodeQuotas,
    incarnation: Incarnation,
    is_partitioned: bool,
    requests_per_s: f64,
}

struct LeaderTerm {
    coordinator: QuotaCoordinator,
    number: u64,
    granting_until: u64,
}

impl LeaderTerm {
    fn start(now: u64, number: u64) -> LeaderTerm {
        let mut coordinator = QuotaCoordinator::default();
        coordinator.activate(now);
        LeaderTerm { coordinator, number, granting_until: u64::MAX }
    }
}

struct Cluster {
    now: u64,
    rng: Rand64,
    queue: BTreeMap<(u64, u64), Event>,
    last_event: u64,
    nodes: Vec<Node>,
    leaders: Vec<LeaderTerm>,
    limit: RateLimit,
    admitted_at: Vec<u64>,
    offered: u64,
}

impl Cluster {
    fn new(seed: u64) -> Cluster {
        let mut rng = Rand64::new(u128::from(seed));
        let nodes = 2 + rng.rand_range(0..14_u64) as usize;
        let rate = 15.0 + rng.rand_range(0..200_u64) as f64;
        let limit = RateLimit { rate_per_s: rate, burst: rate * (0.5 + rng.rand_float()) };
        let mut cluster = Cluster {
            now: 0,
            rng,
            queue: BTreeMap::new(),
            last_event: 0,
            nodes: Vec::new(),
            leaders: vec![LeaderTerm::start(0, 1)],
            limit,
            admitted_at: Vec::new(),
            offered: 0,
        };
        cluster.start_nodes(nodes);
        cluster.schedule(500, Event::FaultDue);
        cluster
    }

    /// Starts nodes with a load of up to eight times the tenant's limit in total, on two nodes or evenly on
    /// all.
    fn start_nodes(&mut self, count: usize) {
        let is_on_two_nodes = self.draw(3) == 0;
        let overload = 0.5 + self.draw(8) as f64;
        for node in 0..count {
            let load_share =
                if is_on_two_nodes { f64::from(u8::from(node < 2)) / 2.0 } else { 1.0 / count as f64 };
            self.nodes.push(Node {
                quotas: NodeQuotas::default(),
                incarnation: Incarnation(node as u64),
                is_partitioned: false,
                requests_per_s: (overload * self.limit.rate_per_s * load_share).max(0.2),
            });
            self.schedule(node as u64, Event::Request { node });
            self.schedule(node as u64 * 7, Event::ReportDue { node });
        }
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        self.last_event += 1;
        self.queue.insert((self.now + delay_ms, self.last_event), event);
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.rand_range(0..below.max(1))
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request { node } => self.request(node),
            Event::ReportDue { node } => {
                self.report(node);
                self.schedule(REPORT_PERIOD_MS, Event::ReportDue { node });
            }
            Event::UsageArrives(usage) => self.grant(&usage),
            Event::GrantArrives(grant) => {
                let node = &mut self.nodes[grant.node];
                if node.incarnation == grant.incarnation {
                    node.quotas.apply_grants(self.now, grant.term, grant.number, &grant.grants);
                }
            }
            Event::FaultDue => {
                self.inject_fault();
                let wait = 300 + self.draw(3_000);
                self.schedule(wait, Event::FaultDue);
            }
        }
    }

    fn request(&mut self, node: usize) {
        self.offered += 1;
        let quota_shares = self.nodes.len() as u32;
        let quotas = &mut self.nodes[node].quotas;
        quotas.record_offered(self.now, TENANT);
        if quotas.try_acquire(self.now, TENANT, self.limit, quota_shares).is_ok() {
            self.admitted_at.push(self.now);
        }
        if quotas.is_report_urgent() {
            self.report(node);
        }
        let gap_s = -(1.0 - self.rng.rand_float()).ln() / self.nodes[node].requests_per_s;
        self.schedule((gap_s * 1000.0).min(5_000.0) as u64, Event::Request { node });
    }

    fn report(&mut self, node: usize) {
        let now = self.now;
        let Node { quotas, incarnation, is_partitioned, .. } = &mut self.nodes[node];
        let (number, reports) = quotas.next_report(now);
        let incarnation = *incarnation;
        if *is_partitioned {
            return;
        }
        // A node may not know yet that a coordinator was deposed.
        let newest = self.leaders.len() - 1;
        let coordinator = if newest > 0 && self.draw(3) == 0 { newest - 1 } else { newest };
        let delay_ms = 1 + self.draw(8);
        self.schedule(
            delay_ms,
            Event::UsageArrives(Usage { coordinator, node, incarnation, number, reports }),
        );
    }

    fn grant(&mut self, usage: &Usage) {
        let (now, limit) = (self.now, self.limit);
        let leader = &mut self.leaders[usage.coordinator];
        if now >= leader.granting_until {
            return;
        }
        let ip = Ipv4Addr::from(usage.node as u32 + 1);
        let grant = Grant {
            node: usage.node,
            incarnation: usage.incarnation,
            term: Term::new(leader.number, DiskId::NONE),
            number: usage.number,
            grants: leader.coordinator.grant(now, (ip, usage.incarnation), &usage.reports, |_| Some(limit)),
        };
        let delay_ms = 1 + self.draw(8);
        if self.draw(20) == 0 {
            // The response is duplicated.
            self.schedule(delay_ms + 300, Event::GrantArrives(grant.clone()));
        }
        if self.draw(20) > 0 {
            self.schedule(delay_ms, Event::GrantArrives(grant));
        }
    }

    fn outcome(&self) -> Outcome {
        let window_s = WINDOW_MS as f64 / 1000.0;
        let tolerated = (self.limit.rate_per_s * window_s + self.limit.burst) * 1.1 + 20.0;
        let mut worst = 0;
        let mut first = 0;
        for (last, at) in self.admitted_at.iter().enumerate() {
            while self.admitted_at[first] + WINDOW_MS <= *at {
                first += 1;
            }
            worst = worst.max(last + 1 - first);
        }
        let allowed = (self.offered as f64).min(self.limit.rate_per_s * DURATION_MS as f64 / 1000.0);
        Outcome {
            worst_window: worst as f64 / tolerated,
            utilization: self.admitted_at.len() as f64 / allowed.max(1.0),
        }
    }
}
