//! Seeded soaks over real processes: clients keep their connections for as long as their doors run, some leave in the
//! middle; doors are told to end, killed, frozen and sent SIGHUP, in series that overlap; backends come, leave and crash;
//! the configuration changes in bursts. What everybody saw is judged by the rules.
//!
//! `TESTBED_SOAKS=50 TESTBED_FIRST=1 TESTBED_DOORS=5 cargo test --release -p brassport-testbed --test it soak:: -- --nocapture`

use crate::common::{gateway_program, number_from, ALONE, TO_COME_UP};
use brassport_testbed::backend::Backend;
use brassport_testbed::clients::{Client, Platform, Wish};
use brassport_testbed::configuration::{Plan, SERVICES};
use brassport_testbed::history::{Ending, Journal};
use brassport_testbed::operator::Operator;
use brassport_testbed::play::{backend, backends, block_on, clients};
use brassport_testbed::report::Report;
use brassport_testbed::site::{Layout, Site, GRACE};
use oorandom::Rand64;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, timeout};

/// Seeds in CI.
const SOAKS: u64 = 3;
/// Doors with a disk, and all doors unless others are asked for.
const COUNTED: usize = 3;
const DOORS: u64 = 5;
/// How long something new is begun, and the calm behind the last of it, in seconds.
const TROUBLE_S: f64 = 10.0;
const CALM_S: f64 = 5.0;
/// Between two looks at what is due.
const TICK: Duration = Duration::from_millis(10);
/// Rules that hold whatever is done to doors: all but one, which wants a calm core.
const OF_CALM: &str = "a new route is in force in time";
/// The least share of what was due that is served.
const LEAST_SERVED: f64 = 0.8;

/// What is due at a moment.
#[derive(Debug)]
enum Step {
    /// Something new begins.
    Draw,
    /// A door that was killed, or has ended, starts.
    Start {
        door: usize,
        killed: Option<f64>,
    },
    /// A frozen door goes on.
    Thaw {
        door: usize,
        frozen: f64,
    },
    /// Whether a door that was told to end has.
    Ending {
        door: usize,
        told: f64,
    },
    /// SIGTERM, or SIGHUP with other seeds.
    Terminate(usize),
    HangUp {
        door: usize,
        first_seed: usize,
    },
}

/// What a door is at.
#[derive(Debug, Clone, Copy, PartialEq)]
enum DoorState {
    Runs,
    Ends,
    Frozen,
    Gone,
}

struct Soak {
    site: Site,
    journal: Rc<Journal>,
    backends: Vec<Backend>,
    leaving: Vec<JoinHandle<bool>>,
    states: Vec<DoorState>,
    /// Steps by the milliseconds of the journal's clock.
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
        let due = (self.journal.now() * 1000.0) as u64 + in_ms as u64;
        self.agenda.insert((due, self.steps), step);
    }

    fn tell(&mut self, what: String) {
        self.faults.push((self.journal.now(), what));
    }

    /// Does what is due until nothing is left.
    async fn run(&mut self) {
        self.at(500, Step::Draw);
        while let Some(((due, _), _)) = self.agenda.first_key_value() {
            if *due <= (self.journal.now() * 1000.0) as u64 {
                if let Some((_, step)) = self.agenda.pop_first() {
                    self.step(step).await;
                }
            } else {
                sleep(TICK).await;
            }
            self.look_for_exits();
        }
    }

    /// A door that ends without having been told to is a finding.
    fn look_for_exits(&mut self) {
        for door in 0..self.states.len() {
            let may_run = matches!(self.states[door], DoorState::Runs | DoorState::Frozen);
            if may_run && self.site.doors[door].has_ended() {
                self.findings.push(format!("door {} ended by itself", door + 1));
                self.states[door] = DoorState::Gone;
            }
        }
    }

    async fn step(&mut self, step: Step) {
        match step {
            Step::Draw => {
                if self.journal.now() < TROUBLE_S {
                    self.begin().await;
                    let pause = 50 + self.draw(900);
                    self.at(pause, Step::Draw);
                }
            }
            Step::Start { door, killed } => {
                self.site.start(door).expect("it starts again");
                self.states[door] = DoorState::Runs;
                if let Some(killed) = killed {
                    self.journal.disturbed(self.site.doors[door].front(), killed);
                }
            }
            Step::Thaw { door, frozen } => {
                self.site.doors[door].thaw();
                self.states[door] = DoorState::Runs;
                self.journal.disturbed(self.site.doors[door].front(), frozen);
            }
            Step::Ending { door, told } => {
                let since = self.journal.now() - told;
                if self.site.doors[door].has_ended() {
                    let pause = self.draw(400);
                    self.states[door] = DoorState::Gone;
                    self.tell(format!("door {} has ended, {since:.2} s behind SIGTERM", door + 1));
                    self.at(pause, Step::Start { door, killed: None });
                } else if since > GRACE.as_secs_f64() {
                    self.findings.push(format!("door {} did not end within its grace", door + 1));
                    self.site.doors[door].kill();
                    self.at(0, Step::Start { door, killed: Some(told) });
                } else {
                    self.at(20, Step::Ending { door, told });
                }
            }
            Step::Terminate(door) => self.site.doors[door].terminate(),
            Step::HangUp { door, first_seed } => {
                let settings = self.site.settings_with_seeds(door, false, first_seed);
                self.site.doors[door].rewrite(&settings).expect("it is written");
                self.site.doors[door].hang_up();
            }
        }
    }

    /// Begins one thing, beside whatever is under way.
    async fn begin(&mut self) {
        let door = self.draw(self.site.doors.len());
        let runs = self.states[door] == DoorState::Runs;
        match self.draw(10) {
            0..=2 if runs => {
                self.tell(format!("door {} is told to end", door + 1));
                self.states[door] = DoorState::Ends;
                self.site.doors[door].terminate();
                let told = self.journal.now();
                self.at(20, Step::Ending { door, told });
                // Now and then it is told again.
                if self.draw(3) == 0 {
                    let pause = self.draw(2_000);
                    self.at(pause, Step::Terminate(door));
                }
            }
            3 if runs => {
                self.tell(format!("door {} is killed", door + 1));
                let killed = Some(self.journal.now());
                self.site.doors[door].kill();
                self.states[door] = DoorState::Gone;
                let pause = 50 + self.draw(1_500);
                self.at(pause, Step::Start { door, killed });
            }
            4 if runs => {
                self.tell(format!("door {} is frozen", door + 1));
                let frozen = self.journal.now();
                self.site.doors[door].freeze();
                self.states[door] = DoorState::Frozen;
                let pause = 50 + self.draw(1_500);
                self.at(pause, Step::Thaw { door, frozen });
            }
            5..=7 => {
                let signals = 1 + self.draw(4);
                self.tell(format!("door {} has SIGHUP {signals} times, with other seeds", door + 1));
                for signal in 0..signals {
                    let first_seed = self.draw(self.site.doors.len());
                    let pause = self.draw(300) * (signal + 1);
                    self.at(pause, Step::HangUp { door, first_seed });
                }
            }
            8 | 9 => self.replace_backend().await,
            _ => {}
        }
    }

    /// A backend comes for one that leaves as planned, or crashes.
    async fn replace_backend(&mut self) {
        let index = self.draw(self.backends.len());
        let service = self.backends[index].service().to_owned();
        let zone = self.draw(3);
        let newer = backend(&self.site, &self.journal, &service, zone + 1).await.expect("it listens");
        let older = std::mem::replace(&mut self.backends[index], newer);
        if self.draw(3) == 0 {
            self.tell(format!("a backend of {service} crashes"));
            older.crash();
        } else {
            self.tell(format!("a backend of {service} leaves"));
            self.leaving.push(spawn_local(older.leave()));
        }
    }
}

/// Changes of the configuration in bursts, until told to stop.
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

/// Whether each door serves at the end.
async fn doors_that_serve_nobody(site: &Site, journal: &Rc<Journal>, plan: &Plan) -> Vec<String> {
    let tenant = plan.key("elm").map(|key| ("elm".to_owned(), key.to_owned()));
    let wish = Wish {
        path_start: "/goods/".into(),
        is_safe: true,
        tenant,
        is_due: true,
        work: None,
        leaves_after: None,
    };
    let mut silent = Vec::new();
    for (door, it) in site.doors.iter().enumerate() {
        let mut client = Client::new(door as u64, Platform::watch(&[]), journal.clone());
        client.only = Some(it.front());
        let ending = client.ask(&wish).await;
        if ending != Ending::Served {
            silent.push(format!("door {} serves nobody at the end: {ending:?}", door + 1));
        }
    }
    silent
}

/// What came of one seed: the report, and what else was found.
async fn soak(seed: u64, doors: usize) -> (Report, Vec<String>, String) {
    let program = gateway_program();
    let layout =
        Layout { counted: COUNTED, others: doors - COUNTED, program: program.into(), has_relays: false };
    let mut site = Site::lay(&layout).expect("free ports");
    let journal = Journal::begin();
    site.start_all().expect("the doors start");
    let stand_ins = backends(&site, &journal).await.expect("backends listen");
    let mut operator = Operator::new(site.controls(), journal.clone());
    let first = Plan::first(1);
    let said = operator.put(first.clone(), TO_COME_UP).await;
    assert!(said.is_some_and(|said| said.status == 200), "seed {seed}: {said:?}\n{}", site.said());
    for door in 0..doors {
        assert!(site.is_ready_within(door, TO_COME_UP).await, "seed {seed}: door {} is not ready", door + 1);
    }
    let watched: Vec<_> = site.doors.iter().map(|door| (door.ready(), door.front())).collect();
    let platform = Platform::watch(&watched);
    let (plan, stop) = (Rc::new(RefCell::new(first)), Rc::new(Cell::new(false)));
    let tasks = clients(&site, &platform, &journal, &plan, &stop);
    let operating = spawn_local(operate(operator, plan.clone(), stop.clone(), seed));
    let mut soak = Soak {
        site,
        journal: journal.clone(),
        backends: stand_ins,
        leaving: Vec::new(),
        states: vec![DoorState::Runs; doors],
        agenda: BTreeMap::new(),
        steps: 0,
        rng: Rand64::new(u128::from(seed)),
        faults: Vec::new(),
        findings: Vec::new(),
    };
    assert_eq!(soak.backends.len() % SERVICES.len(), 0, "as many of each service");
    soak.run().await;
    sleep(Duration::from_secs_f64(CALM_S)).await;
    soak.look_for_exits();
    let end = journal.now();
    stop.set(true);
    // Cloned: the operator may still be at its last change.
    let last_plan = plan.borrow().clone();
    let silent = doors_that_serve_nobody(&soak.site, &journal, &last_plan).await;
    soak.findings.extend(silent);
    journal.note(|history| history.end = end);
    for task in tasks {
        let _ = timeout(Duration::from_secs(4), task).await;
    }
    let mut operator = operating.await.expect("the operator ends");
    operator.read_back(Duration::from_secs(6)).await;
    for leaving in std::mem::take(&mut soak.leaving) {
        let _ = timeout(GRACE, leaving).await;
    }
    let report = Report::of(&journal.history(), std::mem::take(&mut soak.faults));
    let broken = report.rules.iter().filter(|(name, _)| *name != OF_CALM);
    soak.findings.extend(broken.filter_map(|(name, rule)| Some(format!("{name}: {}", rule.as_ref().err()?))));
    if report.served() < LEAST_SERVED {
        soak.findings.push(format!("only {:.3} of what was due was served", report.served()));
    }
    let said = if soak.findings.is_empty() { String::new() } else { soak.site.said() };
    (report, soak.findings, said)
}

#[test]
fn what_overlaps_breaks_no_rule() {
    let _alone = ALONE.blocking_lock();
    let (first, count) = (number_from("TESTBED_FIRST", 1), number_from("TESTBED_SOAKS", SOAKS));
    let lanes = number_from("TESTBED_LANES", SOAKS).min(count);
    let doors = number_from("TESTBED_DOORS", DOORS) as usize;
    let lane = move |lane: u64| {
        let seeds = (first + lane..first + count).step_by(lanes as usize);
        seeds
            .map(|seed| {
                let played = block_on(soak(seed, doors)).expect("a runtime");
                println!("seed {seed}: {:.3} served, findings {:?}", played.0.served(), played.1);
                (seed, played)
            })
            .collect::<Vec<_>>()
    };
    let played: Vec<_> = std::thread::scope(|scope| {
        let lanes: Vec<_> = (0..lanes).map(|number| scope.spawn(move || lane(number))).collect();
        lanes.into_iter().flat_map(|lane| lane.join().expect("a soak ended")).collect()
    });
    let mut failed = Vec::new();
    for (seed, (report, findings, said)) in &played {
        if !findings.is_empty() {
            println!("seed {seed}: {findings:#?}\n{report}\n{said}");
            failed.push(*seed);
        }
        let ran: usize = report.due.values().sum();
        assert!(ran > 300, "seed {seed}: little was tried: {report}");
    }
    println!("{} soaks of {doors} doors; with findings: {failed:?}", played.len());
    assert!(failed.is_empty(), "seeds {failed:?}");
}
