//! Rolling updates between two builds on the same settings and data folders: a mixed fleet under clients and configuration
//! changes, the way back of one node, and stores that one build wrote and the other reads.
//!
//! `TESTBED_OTHER_GATEWAY` names the older build's program; the newer one is built from this workspace:
//!
//! `TESTBED_OTHER_GATEWAY=PROGRAM cargo test --release -p brassport-testbed --test it rolling:: -- --ignored --nocapture`

mod observers;

use crate::common::{gateway_program, number_from, send_at, Serving, STARTUP_TIMEOUT};
use brassport_checkers::versions::{judge, Operation};
use brassport_testbed::clients::{Platform, RequestSpec};
use brassport_testbed::configuration::Plan;
use brassport_testbed::history::{History, ProcessStart, Recorder, RequestOutcome};
use brassport_testbed::load::clients;
use brassport_testbed::node::Node;
use brassport_testbed::operator::{node_status, Operator};
use brassport_testbed::play::block_on;
use brassport_testbed::report::Report;
use brassport_testbed::rules::{ready_node_catches_up, stale_reports, version_never_goes_back};
use brassport_testbed::site::GRACE_PERIOD;
use observers::{observe, read_on, writes};
use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};

/// Names the program of the other, older build.
const OTHER_GATEWAY: &str = "TESTBED_OTHER_GATEWAY";
/// Changes that are to be acknowledged at each stop, on one build and on a mixed fleet: about five seconds of traffic.
const CHANGES_AT_A_STOP: usize = 6;
/// How long these may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Nodes that run the newer build when one of them returns to the older.
const ROLLED_BEFORE_RETURN: usize = 2;
/// The least share of what was due that is to be served, while every node restarts in turn. As in the soaks.
const LEAST_SERVED: f64 = 0.8;
/// How long the operator resends a change. A change without an answer by then is a finding.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

fn other_gateway() -> PathBuf {
    let program = std::env::var_os(OTHER_GATEWAY)
        .unwrap_or_else(|| panic!("{OTHER_GATEWAY} is to name the program of the other, older build"));
    let program = PathBuf::from(program);
    assert!(program.is_file(), "{OTHER_GATEWAY}: {}: there is no such program", program.display());
    program
}

/// The operator's changes, one after another, each on top of the last.
struct Changes {
    recorder: Rc<Recorder>,
    /// The newest configuration that was acknowledged.
    newest: Rc<RefCell<Plan>>,
    is_over: Rc<Cell<bool>>,
    task: Option<JoinHandle<(Operator, Option<String>)>>,
}

impl Changes {
    fn begin(recorder: Rc<Recorder>, operator: Operator) -> Changes {
        let plan = operator.plan.clone().expect("the first was taken");
        let newest = Rc::new(RefCell::new(plan));
        let mut changes = Changes { recorder, newest, is_over: Rc::default(), task: None };
        changes.resume(operator);
        changes
    }

    fn resume(&mut self, operator: Operator) {
        self.is_over = Rc::default();
        let changing = change(operator, self.newest.clone(), self.is_over.clone());
        self.task = Some(spawn_local(changing));
    }

    /// Returns when the change in flight is acknowledged.
    async fn pause(&mut self, findings: &mut Vec<String>) -> Operator {
        self.is_over.set(true);
        let task = self.task.take().expect("changes go on");
        let (operator, finding) = task.await.expect("the operator ends");
        findings.extend(finding.map(|what| format!("{:.2} s: {what}", self.recorder.now())));
        operator
    }
}

async fn change(
    mut operator: Operator,
    newest: Rc<RefCell<Plan>>,
    is_over: Rc<Cell<bool>>,
) -> (Operator, Option<String>) {
    for count in 0.. {
        // In bursts, with a pause now and then that is long enough to judge whether a version is in force in time.
        sleep(Duration::from_millis(if count % 4 == 3 { 2_600 } else { 300 })).await;
        if is_over.get() {
            break;
        }
        let current = newest.borrow().clone();
        let next = current.next(current.version + 1 + current.version % 3);
        let answered = operator.put(next.clone(), CHANGE_TIMEOUT).await;
        if answered.is_none_or(|answered| answered.status != 200) {
            return (operator, Some(format!("version {:08x} was answered {answered:?}", next.version)));
        }
        *newest.borrow_mut() = next;
    }
    (operator, None)
}

/// A site under clients and changes whose nodes run one of two builds.
struct Fleet {
    serving: Serving,
    newer: PathBuf,
    changes: Changes,
    platform: Rc<Platform>,
    tasks: Vec<JoinHandle<()>>,
    is_over: Rc<Cell<bool>>,
    reads: Rc<RefCell<Vec<Operation>>>,
    events: Vec<(f64, String)>,
    findings: Vec<String>,
    restarts: usize,
    mixed_from: Option<f64>,
    mixed_s: f64,
}

impl Fleet {
    /// All nodes on the older build.
    async fn start(older: &Path, newer: &Path) -> Fleet {
        let mut serving = Serving::start_on(older).await;
        let recorder = serving.recorder.clone();
        let nodes: Vec<_> = serving.site.nodes.iter().map(|node| (node.ready(), node.front())).collect();
        let platform = Platform::watch(&nodes);
        while platform.in_rotation_count() < nodes.len() {
            sleep(Duration::from_millis(20)).await;
        }
        let idle = Operator::new(serving.site.controls(), recorder.clone());
        let operator = std::mem::replace(&mut serving.operator, idle);
        let changes = Changes::begin(recorder.clone(), operator);
        let is_over: Rc<Cell<bool>> = Rc::default();
        let reads: Rc<RefCell<Vec<Operation>>> = Rc::default();
        let mut tasks = clients(&serving.site, &platform, &recorder, &changes.newest, &is_over);
        for node in &serving.site.nodes {
            let observing = observe(recorder.clone(), node.ready(), node.control(), is_over.clone());
            tasks.push(spawn_local(observing));
        }
        let controls = serving.site.controls();
        tasks.push(spawn_local(read_on(recorder, controls, is_over.clone(), reads.clone())));
        Fleet {
            serving,
            newer: newer.into(),
            changes,
            platform,
            tasks,
            is_over,
            reads,
            events: Vec::new(),
            findings: Vec::new(),
            restarts: 0,
            mixed_from: None,
            mixed_s: 0.0,
        }
    }

    fn event(&mut self, what: String) {
        self.events.push((self.serving.recorder.now(), what));
    }

    fn count(&self) -> usize {
        self.serving.site.nodes.len()
    }

    /// Waits until some more changes are acknowledged.
    async fn await_changes(&self) {
        let count = || {
            let acknowledged = |history: &mut History| {
                history.sent.iter().filter(|sent| sent.acknowledged.is_some()).count()
            };
            self.serving.recorder.record(acknowledged)
        };
        let (first, since) = (count(), Instant::now());
        while count() < first + CHANGES_AT_A_STOP {
            let is_late = since.elapsed() > STOP_TIMEOUT;
            assert!(!is_late, "changes are not acknowledged\n{}", self.serving.site.logs());
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Ends a node with SIGTERM and starts it with a build's program; returns when it receives clients again.
    async fn roll(&mut self, node: usize, program: &Path) {
        let build = if program == self.newer { "newer" } else { "older" };
        self.event(format!("door {} is ended with SIGTERM", node + 1));
        self.serving.site.nodes[node].terminate();
        if !self.serving.site.nodes[node].wait_for_exit(GRACE_PERIOD).await {
            self.findings.push(format!("door {} did not end within its grace", node + 1));
        }
        self.start_with(node, program);
        self.event(format!("door {} is started with the {build} build", node + 1));
        self.expect_ready(node).await;
        self.event(format!("door {} is ready", node + 1));
    }

    fn start_with(&mut self, node: usize, program: &Path) {
        let site = &mut self.serving.site;
        site.nodes[node].set_program(program);
        let (control, at) = (site.nodes[node].control(), self.serving.recorder.now());
        self.serving
            .recorder
            .record(|history| history.process_starts.push(ProcessStart { node: control, at }));
        site.start(node).expect("it starts again");
        self.restarts += 1;
        let first = site.nodes[0].program();
        match (site.nodes.iter().all(|node| node.program() == first), self.mixed_from) {
            (false, None) => self.mixed_from = Some(at),
            (true, Some(from)) => {
                self.mixed_s += at - from;
                self.mixed_from = None;
            }
            _ => {}
        }
    }

    async fn expect_ready(&mut self, node: usize) {
        if !self.serving.site.is_ready_within(node, STARTUP_TIMEOUT).await {
            panic!("door {} is not ready\n{}", node + 1, self.serving.site.logs());
        }
        let since = Instant::now();
        while !self.platform.in_rotation(node) && since.elapsed() < STARTUP_TIMEOUT {
            sleep(Duration::from_millis(20)).await;
        }
        assert!(self.platform.in_rotation(node), "door {} receives no clients", node + 1);
    }

    /// Kills all nodes at once and starts them with a build's program. Clients go on; changes pause, so that the newest
    /// that was acknowledged is the one to be found.
    async fn kill_all_and_start_with(&mut self, program: &Path) {
        let operator = self.changes.pause(&mut self.findings).await;
        let killed = self.serving.recorder.now();
        self.serving.site.nodes.iter_mut().for_each(Node::kill);
        self.event("all doors are killed at once".into());
        for node in 0..self.count() {
            self.start_with(node, program);
        }
        for node in 0..self.count() {
            self.expect_ready(node).await;
        }
        for node in &self.serving.site.nodes {
            self.serving.recorder.record_fault(node.front(), killed);
        }
        self.event("all doors are ready".into());
        self.expect_newest_in_force().await;
        self.changes.resume(operator);
    }

    /// Every node reads the newest acknowledged configuration, has it in its own replica, and serves its newest route.
    async fn expect_newest_in_force(&mut self) {
        let newest = self.changes.newest.borrow().clone();
        self.serving.expect_read(&newest, STARTUP_TIMEOUT).await;
        let tenant = newest.key("elm").map(|key| ("elm".to_owned(), key.to_owned()));
        let path_start = &newest.newest_route().expect("each has one").path_start;
        let spec = RequestSpec::idempotent(path_start).with_key(tenant);
        for (number, node) in self.serving.site.nodes.iter().enumerate() {
            let status = node_status(node.control()).await;
            let version = status.map(|status| status.version);
            if version != Some(newest.version) {
                self.findings.push(format!("door {} holds {version:?}, not {}", number + 1, newest.version));
            }
            let recorder = &self.serving.recorder;
            let outcome = send_at(node.front(), number as u64, recorder, &spec).await;
            if outcome != RequestOutcome::Served {
                self.findings.push(format!("door {} on the newest route: {outcome:?}", number + 1));
            }
        }
    }

    /// The voters as the first node has them, counted.
    async fn voter_count(&self) -> usize {
        let status = node_status(self.serving.site.nodes[0].control()).await;
        status.map_or(0, |status| status.voters.len())
    }

    /// Ends changes and clients, checks what is in force, and judges all that was seen.
    async fn finish(mut self) {
        self.changes.pause(&mut self.findings).await;
        self.expect_newest_in_force().await;
        let recorder = self.serving.recorder.clone();
        let end = recorder.now();
        recorder.record(|history| history.end = end);
        self.is_over.set(true);
        for task in std::mem::take(&mut self.tasks) {
            let _ = timeout(Duration::from_secs(4), task).await;
        }
        let mut reader = Operator::new(self.serving.site.controls(), recorder.clone());
        reader.read_back(Duration::from_secs(6)).await;
        let history = recorder.history();
        let mut operations = writes(&history);
        operations.extend(self.reads.borrow().iter().copied());
        self.findings.extend(judge(&operations).err().map(|broken| format!("not linearizable: {broken:?}")));
        let mut report = Report::of(&history, std::mem::take(&mut self.events));
        report.rules.push(("no version goes back in a process", version_never_goes_back(&history)));
        report.rules.push(("a ready node catches up", ready_node_catches_up(&history)));
        self.print(&report, &history);
        let broken =
            report.rules.iter().filter_map(|(name, rule)| Some(format!("{name}: {}", rule.as_ref().err()?)));
        self.findings.extend(broken);
        if report.served() < LEAST_SERVED {
            self.findings.push(format!("only {:.3} of what was due was served", report.served()));
        }
        assert!(self.findings.is_empty(), "{:#?}\n{}", self.findings, self.serving.site.logs());
        assert!(history.attempts.len() > 1_000, "little was tried: {report}");
    }

    fn print(&self, report: &Report, history: &History) {
        println!("{report}");
        for stale in stale_reports(history) {
            let starts = history.process_starts.iter().filter(|start| start.node == stale.node);
            let started = starts.map(|start| start.at).filter(|at| *at < stale.began).fold(0.0, f64::max);
            println!(
                "STALE {} version {:08x} while ready, {:.3} to {:.3} s after its start",
                stale.node,
                stale.version,
                stale.began - started,
                stale.ended - started
            );
        }
        println!(
            "SUMMARY acknowledged={} sent={} requests={} tries={} restarts={} mixed_s={:.1} config_reads={} \
             versions_observed={} rules_broken={} findings={:?}",
            report.versions.1,
            report.versions.0,
            history.requests.len(),
            history.attempts.len(),
            self.restarts,
            self.mixed_s,
            self.reads.borrow().len(),
            history.observed_versions.len(),
            report.rules.iter().filter(|(_, rule)| rule.is_err()).count(),
            self.findings,
        );
    }
}

/// Rolls all nodes from the older to the newer build, in an order that begins at a given node.
async fn rolling_update(older: &Path, newer: &Path, first: usize) {
    let mut fleet = Fleet::start(older, newer).await;
    assert_eq!(fleet.voter_count().await, 3, "three doors with disks vote");
    fleet.await_changes().await;
    let order: Vec<usize> = (0..fleet.count()).map(|step| (first + step) % fleet.count()).collect();
    let (before, behind) = order.split_at(ROLLED_BEFORE_RETURN);
    for node in before {
        fleet.roll(*node, newer).await;
    }
    fleet.await_changes().await;
    fleet.roll(before[0], older).await;
    fleet.await_changes().await;
    for node in behind.iter().chain(&before[..1]) {
        fleet.roll(*node, newer).await;
    }
    fleet.await_changes().await;
    fleet.kill_all_and_start_with(newer).await;
    fleet.await_changes().await;
    fleet.finish().await;
}

#[test]
#[ignore = "needs TESTBED_OTHER_GATEWAY, the program of the other, older build"]
fn rolling_update_with_a_return_in_between_loses_no_acknowledged_configuration() {
    let (older, newer) = (other_gateway(), gateway_program());
    let (start, count) = (number_from("TESTBED_FIRST", 0), number_from("TESTBED_ROLLS", 3));
    for first in start..start + count {
        println!("rolling update that begins at door {}", first % 5 + 1);
        block_on(rolling_update(&older, newer, first as usize)).expect("a runtime");
    }
}

#[test]
#[ignore = "needs TESTBED_OTHER_GATEWAY, the program of the other, older build"]
fn stores_of_one_build_are_read_by_the_other_both_ways() {
    let (older, newer) = (other_gateway(), gateway_program());
    block_on(async {
        let mut fleet = Fleet::start(&older, newer).await;
        fleet.await_changes().await;
        fleet.kill_all_and_start_with(newer).await;
        fleet.await_changes().await;
        fleet.kill_all_and_start_with(&older).await;
        fleet.await_changes().await;
        fleet.finish().await;
    })
    .expect("a runtime");
}
