//! A play: a complete site under load for some seconds, with faults or without.

use crate::backend::{Backend, BackendSpec};
use crate::clients::Platform;
use crate::configuration::{Plan, SERVICES};
use crate::history::Recorder;
use crate::load::clients;
use crate::operator::Operator;
use crate::report::Report;
use crate::site::{zone, Layout, Site, GRACE_PERIOD};
use miette::{miette, IntoDiagnostic};
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle, LocalSet};
use tokio::time::{sleep, timeout, Instant};

/// How long the site may take to come up.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(15);
/// Between two changes of the configuration.
const BETWEEN_CHANGES: Duration = Duration::from_millis(2600);
/// How long a change is resent.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(8);

/// What is played.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// How long there is traffic.
    pub length: Duration,
    /// Whether nodes are killed and rolled, and backends end.
    pub has_faults: bool,
    /// The node to kill, counted from 0; otherwise the one that acknowledged last.
    pub kill: Option<usize>,
    /// The gateway's program.
    pub program: PathBuf,
    /// Another build's program: the node that is rolled is started again with it.
    pub other_program: Option<PathBuf>,
}

/// Runs what is given on this thread, with tasks beside it.
///
/// # Errors
/// There is no runtime to be had.
pub fn block_on<T>(it: impl std::future::Future<Output = T>) -> miette::Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().into_diagnostic()?;
    Ok(LocalSet::new().block_on(&runtime, it))
}

/// Two backends for each service, in turn over the zones.
///
/// # Errors
/// One can't listen.
pub async fn backends(site: &Site, recorder: &Rc<Recorder>) -> miette::Result<Vec<Backend>> {
    let mut all = Vec::new();
    for number in 0..SERVICES.len() * 2 {
        all.push(backend(site, recorder, SERVICES[number % SERVICES.len()], number + 1).await?);
    }
    Ok(all)
}

/// One backend.
///
/// # Errors
/// It can't listen.
pub async fn backend(
    site: &Site,
    recorder: &Rc<Recorder>,
    service: &str,
    number: usize,
) -> miette::Result<Backend> {
    let spec = BackendSpec {
        service: service.into(),
        zone: zone(number).into(),
        capacity: 6,
        queue: 6,
        work: Duration::from_millis(8 + 4 * (number as u64 % 3)),
    };
    Backend::start(spec, site.controls(), recorder.clone()).await.into_diagnostic()
}

/// Plays once.
///
/// # Errors
/// The site did not come up. What came of the play stands in the report.
pub async fn play(scenario: &Scenario) -> miette::Result<Report> {
    let mut play = Play::start(scenario).await?;
    if scenario.has_faults {
        play.faults().await?;
    } else {
        sleep(scenario.length).await;
    }
    play.finish().await
}

/// A site under load and configuration changes.
struct Play<'a> {
    scenario: &'a Scenario,
    site: Site,
    recorder: Rc<Recorder>,
    backends: Vec<Backend>,
    clients: Vec<JoinHandle<()>>,
    operating: JoinHandle<Operator>,
    last_acknowledged_by: Rc<Cell<Option<SocketAddrV4>>>,
    stop: Rc<Cell<bool>>,
    faults: Vec<(f64, String)>,
}

impl Play<'_> {
    async fn start(scenario: &Scenario) -> miette::Result<Play<'_>> {
        let mut site = Site::new(&Layout::five_nodes(&scenario.program))?;
        let recorder = Recorder::begin();
        site.start_all()?;
        let backends = backends(&site, &recorder).await?;
        let mut operator = Operator::new(site.controls(), recorder.clone());
        let first = Plan::first(1);
        let response = operator.put(first.clone(), STARTUP_TIMEOUT).await;
        if response.is_none_or(|response| response.status != 200) {
            return Err(miette!("the first configuration was not taken: {response:?}\n{}", site.logs()));
        }
        let platform = await_rotation(&site).await?;
        let (plan, stop) = (Rc::new(RefCell::new(first)), Rc::new(Cell::new(false)));
        let clients = clients(&site, &platform, &recorder, &plan, &stop);
        let last_acknowledged_by = Rc::new(Cell::new(operator.last_by));
        let changing = change_until_stopped(operator, plan, stop.clone(), last_acknowledged_by.clone());
        Ok(Play {
            scenario,
            site,
            recorder,
            backends,
            clients,
            operating: spawn_local(changing),
            last_acknowledged_by,
            stop,
            faults: Vec::new(),
        })
    }

    fn record_event(&mut self, what: String) {
        self.faults.push((self.recorder.now(), what));
    }

    /// A backend drains, a node is killed, a backend crashes, another node is rolled.
    async fn faults(&mut self) -> miette::Result<()> {
        let newer = backend(&self.site, &self.recorder, "alder", 7).await?;
        let draining = spawn_local(self.backends.remove(0).drain());
        self.backends.push(newer);
        self.record_event("a backend of alder ends as planned, another has come".to_owned());
        sleep(self.scenario.length.mul_f64(0.35)).await;
        let killed = self.kill_and_restart().await?;
        sleep(self.scenario.length.mul_f64(0.2)).await;
        self.backends.remove(1).crash();
        self.record_event("a backend crashes".to_owned());
        let since = Instant::now();
        self.roll((killed + 1) % self.site.nodes.len()).await?;
        sleep(self.scenario.length.mul_f64(0.45).saturating_sub(since.elapsed())).await;
        let is_acknowledged = timeout(GRACE_PERIOD, draining).await;
        let how = if matches!(is_acknowledged, Ok(Ok(true))) { "was" } else { "was not" };
        self.record_event(format!("the planned end of the backend {how} acknowledged"));
        Ok(())
    }

    /// Kills the node that the scenario names, or the one that acknowledged last; returns which.
    async fn kill_and_restart(&mut self) -> miette::Result<usize> {
        let last = self.last_acknowledged_by.get();
        let last = last.and_then(|at| self.site.nodes.iter().position(|node| node.control() == at));
        let node = self.scenario.kill.or(last).unwrap_or(0).min(self.site.nodes.len() - 1);
        let killed = self.recorder.now();
        self.site.nodes[node].kill();
        self.record_event(format!("door {} is killed", node + 1));
        sleep(Duration::from_millis(500)).await;
        self.site.start(node)?;
        self.recorder.record_fault(self.site.nodes[node].front(), killed);
        self.record_event(format!("door {} is started again", node + 1));
        Ok(node)
    }

    /// Shuts a node down gracefully and starts it again, with the other build if there is one.
    async fn roll(&mut self, node: usize) -> miette::Result<()> {
        self.site.nodes[node].terminate();
        self.record_event(format!("door {} is told to end", node + 1));
        let in_order = self.site.nodes[node].wait_for_exit(GRACE_PERIOD).await;
        let how = if in_order { "ended by itself" } else { "had to be killed" };
        self.record_event(format!("door {} {how}", node + 1));
        if let Some(program) = &self.scenario.other_program {
            self.site.nodes[node].set_program(program);
        }
        self.site.start(node)?;
        self.record_event(format!("door {} is started again", node + 1));
        Ok(())
    }

    async fn finish(self) -> miette::Result<Report> {
        self.stop.set(true);
        let now = self.recorder.now();
        self.recorder.record(|history| history.end = now);
        for client in self.clients {
            // Each ends behind the request that it is at.
            let _ = timeout(Duration::from_secs(4), client).await;
        }
        let mut operator = self.operating.await.into_diagnostic()?;
        operator.read_back(Duration::from_secs(6)).await;
        Ok(Report::of(&self.recorder.history(), self.faults))
    }
}

/// Waits until every node is ready and receives clients.
async fn await_rotation(site: &Site) -> miette::Result<Rc<Platform>> {
    for node in 0..site.nodes.len() {
        if !site.is_ready_within(node, STARTUP_TIMEOUT).await {
            return Err(miette!("door {} is not ready\n{}", node + 1, site.logs()));
        }
    }
    let nodes: Vec<_> = site.nodes.iter().map(|node| (node.ready(), node.front())).collect();
    let platform = Platform::watch(&nodes);
    while platform.in_rotation_count() < nodes.len() {
        sleep(Duration::from_millis(20)).await;
    }
    Ok(platform)
}

async fn change_until_stopped(
    mut operator: Operator,
    plan: Rc<RefCell<Plan>>,
    stop: Rc<Cell<bool>>,
    last_acknowledged_by: Rc<Cell<Option<SocketAddrV4>>>,
) -> Operator {
    let mut pause = Duration::from_millis(600);
    while !stop.get() {
        sleep(pause).await;
        pause = BETWEEN_CHANGES;
        let Some(current) = operator.plan.clone() else { break };
        // Versions go up in uneven steps.
        let next = current.next(current.version + 1 + current.version % 3);
        if !stop.get() && operator.put(next, CHANGE_TIMEOUT).await.is_some() {
            plan.borrow_mut().clone_from(operator.plan.as_ref().unwrap_or(&current));
            last_acknowledged_by.set(operator.last_by);
        }
    }
    operator
}
