//! The emulator beside the full simulation: one script of requests, played by both.
//!
//! The seeded simulation runs the real front doors byte by byte on a virtual network; the emulator models all but the
//! decisions. Where both can play, what they measure apart is the emulator's error.

use super::site::{Kind, Model, Plans, Site, Work};
use super::world::{Planned, World};
use super::Figures;
use brassport_sim::scenario::{RequestPlan, Scenario, TieOrder};
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;

/// A size at which both play. The simulation has room for some dozens of machines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Size {
    /// Front doors, 1 to 50.
    pub doors: u32,
    /// Nodes, 1 to 90.
    pub nodes: u32,
    /// Customers, on three plans in turn.
    pub customers: u32,
    /// Units of first tries, in multiples of what the nodes can do.
    pub load: f64,
    /// How long requests come, seconds.
    pub seconds: f64,
}

/// The emulator's error, as docs/studies/emulator-error.md measured it and a test holds it: the most by which the mean
/// over seeds of any cell there was off. A client's median also misses up to this much of the set-up of connections,
/// which is a delay in the emulator.
pub const ERROR: Seen = Seen { goodput: 0.02, refused: 0.02, over_quota: 0.015, tries: 0.05, p50_ms: 30.0 };

/// The mean of the simulation's work, and how far it reaches to either side.
const WORK_MS: f64 = 140.0;
const WORK_PART: f64 = 0.5;

/// What one of the two measured. All but the median are parts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Seen {
    /// Answers within the aim, in parts of what the nodes can do.
    pub goodput: f64,
    /// Requests whose last try was refused, in parts of all.
    pub refused: f64,
    /// Units beyond the customers' token buckets, in parts of the quotas' sum.
    pub over_quota: f64,
    /// Tries, in multiples of requests.
    pub tries: f64,
    /// Median time from a request's first try to its answer, milliseconds.
    pub p50_ms: f64,
}

fn requests(size: Size, capacity: f64, random: &mut Pcg64Mcg) -> Vec<Planned> {
    let (mut at, mut planned) = (200.0, Vec::new());
    loop {
        let gap: f64 = Exp1.sample(random);
        at += gap * 1000.0 / (size.load * capacity);
        if at >= 200.0 + size.seconds * 1000.0 {
            return planned;
        }
        planned.push(Planned {
            at,
            customer: random.random_range(0..size.customers),
            class: u8::from(random.random::<f64>() < 0.46),
            patience: random.random_range(2000..=4000) as f64,
            retries: [0, 1, 3][random.random_range(0..3)],
        });
    }
}

/// Plays a size with both. Returns what the simulation saw, then the emulator, and the rules that either broke.
pub fn play(size: Size, seed: u64) -> (Seen, Seen, Vec<String>) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut site = Site {
        doors: size.doors,
        nodes: size.nodes,
        customers: size.customers,
        load: size.load,
        work_ms: WORK_MS,
        seconds: size.seconds,
        ..Site::default()
    };
    let planned = requests(size, site.capacity(), &mut random);
    let scenario = Scenario {
        seed,
        ties: TieOrder::First,
        doors: size.doors as usize,
        nodes: size.nodes as usize,
        sockets: 1024,
        small_window: 0.0,
        requests: planned.iter().map(|request| plan(request, &mut random)).collect(),
        faults: Vec::new(),
        nomad: false,
        dns: None,
        lost: 0.0,
    };
    let drawn = brassport_sim::drawn(&scenario);
    let ms = |nanos: u64| nanos as f64 / 1e6;
    let way = (ms(drawn.latency.0), ms(drawn.latency.1));
    site.model = Model {
        workers: 2,
        queue: 8,
        work: Work::Even(WORK_PART),
        client_ms: way,
        node_ms: way,
        meter_delay: ms(drawn.meter_late),
        honour: 1.0,
        impatient_ms: (5.0, 100.0),
        next_door: true,
        marks: false,
        kinds: Model::default().kinds.into_iter().map(|kind| Kind { aim: 1000.0, ..kind }).collect(),
        deadline: 4000.0,
        max_retry_after: 500.0,
        settle: 0.0,
        plans: Plans::Simulated,
        ..Model::default()
    };
    let report = brassport_sim::play(&scenario);
    let mut broken: Vec<String> =
        report.violation.iter().map(|violation| format!("simulation: {violation:?}")).collect();
    let simulated = {
        let totals = &report.clients;
        let requests = (totals.requests as f64).max(1.0);
        let mut times = totals.served.clone();
        times.sort_unstable();
        let in_time = times.iter().filter(|time| ms(**time) <= 1000.0).count() as f64;
        Seen {
            goodput: in_time / size.seconds / site.capacity(),
            refused: totals.refused as f64 / requests,
            over_quota: report.over_quota / (site.quotas() * size.seconds),
            tries: totals.tries as f64 / requests,
            p50_ms: times.get(times.len() / 2).map_or(0.0, |time| ms(*time)),
        }
    };
    // Answers to the last requests count too, as they do at the simulation's clients.
    let figures: Figures = World::with_script(site, seed, planned).run();
    broken.extend(figures.broken.iter().map(|what| format!("emulator: {what}")));
    let emulated = Seen {
        goodput: figures.get("goodput"),
        refused: figures.get("refused"),
        over_quota: figures.get("over_quota"),
        tries: figures.get("tries"),
        p50_ms: figures.get("p50_ms"),
    };
    (simulated, emulated, broken)
}

fn plan(request: &Planned, random: &mut Pcg64Mcg) -> RequestPlan {
    RequestPlan {
        at_us: (request.at * 1000.0) as u64,
        client: random.random_range(0..64),
        customer: u64::from(request.customer),
        unsafe_to_repeat: request.class == 1,
        body: random.random_range(0..300),
        patience_ms: request.patience as u64,
        leaves_us: None,
        leaves_rudely: false,
        retries: request.retries,
    }
}
