//! Seeded soaks over real processes: clients keep their connections for as long as their nodes run, some leave in the
//! middle; nodes are shut down, killed, suspended and sent SIGHUP, in series that overlap; backends come, leave and crash,
//! and some misbehave as the protocol allows; the configuration changes in bursts. What
//! everybody saw is judged by the rules.
//!
//! `TESTBED_SOAKS=50 TESTBED_FIRST=1 TESTBED_DOORS=5 cargo test --release -p brassport-testbed --test it soak:: -- --nocapture`

mod verdict;

use crate::common::{gateway_program, number_from, ONE_SITE_AT_A_TIME, STARTUP_TIMEOUT};
use brassport_testbed::backend::Backend;
use brassport_testbed::clients::Platform;
use brassport_testbed::configuration::{Plan, SERVICES};
use brassport_testbed::faulty_backend::FaultyBackend;
use brassport_testbed::history::Recorder;
use brassport_testbed::load::{clients, faulty_clients};
use brassport_testbed::node::StartMode;
use brassport_testbed::operator::Operator;
use brassport_testbed::play::{backend, backends, block_on};
use brassport_testbed::site::{zone, Layout, Site, GRACE_PERIOD};
use oorandom::Rand64;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};
use verdict::{nodes_that_serve_nobody, Played};

/// Seeds in CI.
const SOAKS: u64 = 3;
/// Nodes with a disk, and all nodes unless TESTBED_DOORS says otherwise.
const COUNTED: usize = 3;
const NODES: u64 = 5;
/// How long something new is begun, and the calm behind the last of it, in seconds.
const FAULTS_S: f64 = 10.0;
const CALM_S: f64 = 5.0;
/// The services that orders go to have one faulty backend more.
const FAULTY_SERVICES: [&str; 2] = ["cedar", "birch"];
/// Between two checks of what is due.
const TICK: Duration = Duration::from_millis(10);

/// What is due at a moment.
#[derive(Debug)]
enum Step {
    /// Something new begins.
    Draw,
    /// A node that was killed, or has ended, starts.
    Start {
        node: usize,
        killed: Option<f64>,
    },
    /// A frozen node goes on.
    Resume {
        node: usize,
        suspended_at: f64,
    },
    /// Checks whether a node that is shutting down has exited.
    AwaitExit {
        node: usize,
        terminated_at: f64,
    },
    /// SIGTERM, or SIGHUP with other seeds.
    Terminate(usize),
    Reload {
        node: usize,
        first_seed: usize,
    },
}

/// What a node is at.
#[derive(Debug, Clone, Copy, PartialEq)]
enum NodeState {
    Runs,
    Ends,
    Suspended,
    Terminated,
}

struct Soak {
    site: Site,
    recorder: Rc<Recorder>,
    backends: Vec<Backend>,
    // Dropped, they crash.
    _faulty: Vec<FaultyBackend>,
    draining: Vec<JoinHandle<bool>>,
    states: Vec<NodeState>,
    /// Steps by the milliseconds of the recorder's clock.
    agenda: BTreeMap<(u64, u64), Step>,
    steps: u64,
    rng: Rand64,
    faults: Vec<(f64, String)>,
    findings: Vec<String>,
}

impl Soak {
    fn draw(&mut self, below: usize) -> usize {
        self.rng.rand_range(0..below as u64) as usize
    }

    fn at(&mut self, in_ms: usize, step: Step) {
        self.steps += 1;
        let due = (self.recorder.now() * 1000.0) as u64 + in_ms as u64;
        self.agenda.insert((due, self.steps), step);
    }

    fn record_event(&mut self, what: String) {
        self.faults.push((self.recorder.now(), what));
    }

    /// Does what is due until nothing is left.
    async fn run(&mut self) {
        self.at(500, Step::Draw);
        while let Some(((due, _), _)) = self.agenda.first_key_value() {
            if *due <= (self.recorder.now() * 1000.0) as u64 {
                if let Some((_, step)) = self.agenda.pop_first() {
                    self.step(step).await;
                }
            } else {
                sleep(TICK).await;
            }
            self.record_exits();
        }
    }

    /// A node that exits without a signal to do so is a finding.
    fn record_exits(&mut self) {
        for node in 0..self.states.len() {
            let may_run = matches!(self.states[node], NodeState::Runs | NodeState::Suspended);
            if may_run && self.site.nodes[node].has_exited() {
                let exit = self.site.nodes[node].last_exit();
                self.findings.push(format!("door {} ended by itself: {exit}", node + 1));
                self.states[node] = NodeState::Terminated;
            }
        }
    }

    async fn step(&mut self, step: Step) {
        match step {
            Step::Draw => {
                if self.recorder.now() < FAULTS_S {
                    self.begin().await;
                    let pause = 50 + self.draw(900);
                    self.at(pause, Step::Draw);
                }
            }
            Step::Start { node, killed } => {
                self.site.start(node).expect("it starts again");
                self.states[node] = NodeState::Runs;
                if let Some(killed) = killed {
                    self.recorder.record_fault(self.site.nodes[node].front(), killed);
                }
            }
            Step::Resume { node, suspended_at } => {
                self.site.nodes[node].resume();
                self.states[node] = NodeState::Runs;
                self.recorder.record_fault(self.site.nodes[node].front(), suspended_at);
            }
            Step::AwaitExit { node, terminated_at } => self.await_exit(node, terminated_at),
            Step::Terminate(node) => self.site.nodes[node].terminate(),
            Step::Reload { node, first_seed } => {
                let settings = self.site.settings_with_seeds(node, false, first_seed);
                self.site.nodes[node].rewrite(&settings).expect("it is written");
                self.site.nodes[node].reload();
            }
        }
    }

    fn await_exit(&mut self, node: usize, terminated_at: f64) {
        let since = self.recorder.now() - terminated_at;
        if self.site.nodes[node].has_exited() {
            let pause = self.draw(400);
            self.states[node] = NodeState::Terminated;
            self.record_event(format!("door {} has ended, {since:.2} s behind SIGTERM", node + 1));
            self.at(pause, Step::Start { node, killed: None });
        } else if since > GRACE_PERIOD.as_secs_f64() {
            self.findings.push(format!("door {} did not end within its grace", node + 1));
            self.site.nodes[node].kill();
            self.at(0, Step::Start { node, killed: Some(terminated_at) });
        } else {
            self.at(20, Step::AwaitExit { node, terminated_at });
        }
    }

    /// Begins one fault, beside whatever is under way.
    async fn begin(&mut self) {
        let node = self.draw(self.site.nodes.len());
        let runs = self.states[node] == NodeState::Runs;
        match self.draw(10) {
            0..=2 if runs => self.shut_down(node),
            3 if runs => self.kill(node),
            4 if runs => self.suspend(node),
            5..=7 => self.reload(node),
            8 | 9 => self.replace_backend().await,
            _ => {}
        }
    }

    fn shut_down(&mut self, node: usize) {
        self.record_event(format!("door {} is told to end", node + 1));
        self.states[node] = NodeState::Ends;
        self.site.nodes[node].terminate();
        let terminated_at = self.recorder.now();
        self.at(20, Step::AwaitExit { node, terminated_at });
        // A repeated SIGTERM changes nothing.
        if self.draw(3) == 0 {
            let pause = self.draw(2_000);
            self.at(pause, Step::Terminate(node));
        }
    }

    fn kill(&mut self, node: usize) {
        self.record_event(format!("door {} is killed", node + 1));
        let killed = Some(self.recorder.now());
        self.site.nodes[node].kill();
        self.states[node] = NodeState::Terminated;
        let pause = 50 + self.draw(1_500);
        self.at(pause, Step::Start { node, killed });
    }

    fn suspend(&mut self, node: usize) {
        self.record_event(format!("door {} is frozen", node + 1));
        let suspended_at = self.recorder.now();
        self.site.nodes[node].suspend();
        self.states[node] = NodeState::Suspended;
        let pause = 50 + self.draw(1_500);
        self.at(pause, Step::Resume { node, suspended_at });
    }

    fn reload(&mut self, node: usize) {
        let signals = 1 + self.draw(4);
        self.record_event(format!("door {} has SIGHUP {signals} times, with other seeds", node + 1));
        for signal in 0..signals {
            let first_seed = self.draw(self.site.nodes.len());
            let pause = self.draw(300) * (signal + 1);
            self.at(pause, Step::Reload { node, first_seed });
        }
    }

    /// A backend comes for one that leaves as planned, or crashes.
    async fn replace_backend(&mut self) {
        let index = self.draw(self.backends.len());
        let service = self.backends[index].service().to_owned();
        let zone = self.draw(3);
        let newer = backend(&self.site, &self.recorder, &service, zone + 1).await.expect("it listens");
        let older = std::mem::replace(&mut self.backends[index], newer);
        if self.draw(3) == 0 {
            self.record_event(format!("a backend of {service} crashes"));
            older.crash();
        } else {
            self.record_event(format!("a backend of {service} leaves"));
            self.draining.push(spawn_local(older.drain()));
        }
    }
}

/// Changes of the configuration in bursts, until `stop` is true.
async fn operate(
    mut operator: Operator,
    plan: Rc<RefCell<Plan>>,
    stop: Rc<Cell<bool>>,
    seed: u64,
) -> Operator {
    let mut rng = Rand64::new(u128::from(seed) << 2 | 1);
    while !stop.get() {
        sleep(Duration::from_millis(rng.rand_range(200..2_500))).await;
        for _ in 0..rng.rand_range(1..6) {
            let Some(current) = operator.plan.clone().filter(|_| !stop.get()) else { break };
            let next = current.next(current.version + 1 + rng.rand_range(0..3) as u32);
            if operator.put(next, Duration::from_secs(8)).await.is_some() {
                plan.borrow_mut().clone_from(operator.plan.as_ref().unwrap_or(&current));
            }
        }
    }
    operator
}

/// A site that serves, with the first configuration in force.
async fn start(seed: u64, nodes: usize) -> (Soak, Operator) {
    let program = gateway_program();
    let layout =
        Layout { counted: COUNTED, others: nodes - COUNTED, program: program.into(), has_relays: false };
    let mut site = Site::new(&layout).expect("free ports");
    // The soak sends SIGHUP at any time, also before a process has run its first instruction.
    site.nodes.iter_mut().for_each(|node| node.set_start_mode(StartMode::HangupIgnored));
    let recorder = Recorder::begin();
    site.start_all().expect("the doors start");
    let backends = backends(&site, &recorder).await.expect("backends listen");
    assert_eq!(backends.len() % SERVICES.len(), 0, "as many of each service");
    let mut faulty = Vec::new();
    for service in FAULTY_SERVICES {
        let backend = FaultyBackend::start(service, zone(1), site.controls(), recorder.clone()).await;
        faulty.push(backend.expect("it listens"));
    }
    let mut operator = Operator::new(site.controls(), recorder.clone());
    let response = operator.put(Plan::first(1), STARTUP_TIMEOUT).await;
    let is_acknowledged = response.is_some_and(|response| response.status == 200);
    assert!(is_acknowledged, "seed {seed}: {response:?}\n{}", site.logs());
    for node in 0..nodes {
        let is_ready = site.is_ready_within(node, STARTUP_TIMEOUT).await;
        assert!(is_ready, "seed {seed}: door {} is not ready", node + 1);
    }
    let soak = Soak {
        site,
        recorder,
        backends,
        _faulty: faulty,
        draining: Vec::new(),
        states: vec![NodeState::Runs; nodes],
        agenda: BTreeMap::new(),
        steps: 0,
        rng: Rand64::new(u128::from(seed)),
        faults: Vec::new(),
        findings: Vec::new(),
    };
    (soak, operator)
}

async fn soak(seed: u64, nodes: usize) -> Played {
    let (mut soak, operator) = start(seed, nodes).await;
    let recorder = soak.recorder.clone();
    let watched: Vec<_> = soak.site.nodes.iter().map(|node| (node.ready(), node.front())).collect();
    let platform = Platform::watch(&watched);
    let plan = Rc::new(RefCell::new(operator.plan.clone().expect("the first was acknowledged")));
    let stop = Rc::new(Cell::new(false));
    let mut tasks = clients(&soak.site, &platform, &recorder, &plan, &stop);
    tasks.extend(faulty_clients(&soak.site, &platform, &recorder, &plan, &stop));
    let operating = spawn_local(operate(operator, plan.clone(), stop.clone(), seed));
    soak.run().await;
    sleep(Duration::from_secs_f64(CALM_S)).await;
    soak.record_exits();
    let end = recorder.now();
    stop.set(true);
    // Cloned: the operator may still be at its last change.
    let last_plan = plan.borrow().clone();
    let silent = nodes_that_serve_nobody(&soak.site, &recorder, &last_plan).await;
    soak.findings.extend(silent);
    recorder.record(|history| history.end = end);
    for task in tasks {
        let _ = timeout(Duration::from_secs(4), task).await;
    }
    let mut operator = operating.await.expect("the operator ends");
    operator.read_back(Duration::from_secs(6)).await;
    for draining in std::mem::take(&mut soak.draining) {
        let _ = timeout(GRACE_PERIOD, draining).await;
    }
    soak.judge()
}

#[test]
fn overlapping_faults_violate_no_rule() {
    let _one_site = ONE_SITE_AT_A_TIME.blocking_lock();
    let (first, count) = (number_from("TESTBED_FIRST", 1), number_from("TESTBED_SOAKS", SOAKS));
    let lanes = number_from("TESTBED_LANES", SOAKS).min(count);
    let nodes = number_from("TESTBED_DOORS", NODES) as usize;
    let lane = move |lane: u64| {
        let seeds = (first + lane..first + count).step_by(lanes as usize);
        seeds
            .map(|seed| {
                let played = block_on(soak(seed, nodes)).expect("a runtime");
                println!("seed {seed}: {:.3} served, findings {:?}", played.report.served(), played.findings);
                (seed, played)
            })
            .collect::<Vec<_>>()
    };
    let played: Vec<_> = std::thread::scope(|scope| {
        let lanes: Vec<_> = (0..lanes).map(|number| scope.spawn(move || lane(number))).collect();
        lanes.into_iter().flat_map(|lane| lane.join().expect("a soak ended")).collect()
    });
    let mut failed = Vec::new();
    for (seed, Played { report, findings, logs }) in &played {
        if !findings.is_empty() {
            println!("seed {seed}: {findings:#?}\n{report}\n{logs}");
            failed.push(*seed);
        }
        let ran: usize = report.due.values().sum();
        assert!(ran > 300, "seed {seed}: little was tried: {report}");
    }
    println!("{} soaks of {nodes} doors; with findings: {failed:?}", played.len());
    assert!(failed.is_empty(), "seeds {failed:?}");
}
