//! Schedules drawn from a seed over real processes: five nodes with disks, relays on every link, and two operators who
//! write on top of what they last read. Kills, freezes, one-way cuts, all nodes killed, and at the end a disk lost
//! right behind an acknowledgement. What the operators saw is judged for linearizability.
//!
//! `TESTBED_SCHEDULES=100 TESTBED_FIRST=1 cargo test --release -p brassport-testbed --test it schedules:: -- --nocapture`

use crate::common::{gateway_program, number_from, ONE_SITE_AT_A_TIME};
use brassport_checkers::versions::{judge, Answered, Asked, Operation};
use brassport_testbed::configuration::{read, Plan};
use brassport_testbed::node::Node;
use brassport_testbed::operator::call;
use brassport_testbed::play::block_on;
use brassport_testbed::relays::Relays;
use brassport_testbed::site::{Layout, Site};
use oorandom::Rand64;
use std::cell::{Cell, RefCell};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;
use tokio::time::sleep;

const NODES: usize = 5;

/// What the operators share.
struct Shared {
    controls: Vec<SocketAddrV4>,
    since: Instant,
    history: RefCell<Vec<Operation>>,
    last_version: Cell<u32>,
    is_over: Cell<bool>,
    acknowledged_by: Cell<Option<SocketAddrV4>>,
}

impl Shared {
    fn now(&self) -> u64 {
        self.since.elapsed().as_micros() as u64
    }

    /// One call, recorded with its answer. Returns the answer and who gave it.
    async fn call(&self, node: usize, asked: Asked, plan: Option<&Plan>) -> (Answered, Option<SocketAddrV4>) {
        let began = self.now();
        let answer = match (asked, plan) {
            (Asked::Write { built_on, .. }, Some(plan)) => {
                let body = plan.replace_body().to_string().into_bytes();
                call(self.controls[node], "POST", "/Config.Replace", Some(built_on), &body).await
            }
            _ => call(self.controls[node], "GET", "/Config.Read", None, &[]).await,
        };
        let by = answer.as_ref().map(|(by, _)| *by);
        let answered = match answer {
            Some((_, answer)) => match (asked, answer.status) {
                (Asked::Read, 200) => {
                    read(&answer.body).map_or(Answered::Open, |found| Answered::Newest(found.version))
                }
                (Asked::Write { .. }, 200) => Answered::Taken,
                (Asked::Write { .. }, 412) => Answered::Outdated,
                (Asked::Write { .. }, 400) => Answered::Invalid,
                _ => Answered::Open,
            },
            None => Answered::Open,
        };
        // Without a clear answer it may take effect at any later time.
        let ended = if answered == Answered::Open { u64::MAX } else { self.now() };
        self.history.borrow_mut().push(Operation { began, ended, asked, answered });
        (answered, by)
    }

    /// Writes on top of what it last read, and reads.
    async fn operate(self: Rc<Self>, seed: u64) {
        let mut rng = Rand64::new(u128::from(seed));
        let mut last_read = 0;
        while !self.is_over.get() {
            let node = rng.rand_range(0..NODES as u64) as usize;
            if rng.rand_range(0..3) == 0 {
                if let (Answered::Newest(version), _) = self.call(node, Asked::Read, None).await {
                    last_read = version;
                }
            } else {
                let version = self.last_version.get() + 1 + rng.rand_range(0..3) as u32;
                self.last_version.set(version);
                let plan = Plan::first(1).next(version);
                let asked = Asked::Write { version, built_on: last_read };
                match self.call(node, asked, Some(&plan)).await {
                    (Answered::Taken, by) => {
                        last_read = version;
                        self.acknowledged_by.set(by);
                    }
                    (Answered::Open, _) => {
                        // Sent again unchanged, elsewhere.
                        let node = (node + 1) % NODES;
                        if let (Answered::Taken, _) = self.call(node, asked, Some(&plan)).await {
                            last_read = version;
                        }
                    }
                    _ => {}
                }
            }
            sleep(Duration::from_millis(rng.rand_range(5..80))).await;
        }
    }
}

/// What was seen of one schedule.
struct Seen {
    acknowledged: usize,
    reads: usize,
    broken: Option<String>,
    logs: String,
}

/// A site whose links can be partitioned, and the generator that draws its faults.
struct Schedule {
    site: Site,
    relays: Relays,
    shared: Rc<Shared>,
    rng: Rand64,
}

impl Schedule {
    async fn start(seed: u64) -> Schedule {
        let program = gateway_program();
        let layout = Layout { counted: NODES, others: 0, program: program.into(), has_relays: true };
        let mut site = Site::new(&layout).expect("free ports");
        let relays = Relays::begin(&site).await.expect("the relays' addresses are free");
        site.start_all().expect("the doors start");
        let shared = Rc::new(Shared {
            controls: site.controls(),
            since: Instant::now(),
            history: RefCell::default(),
            last_version: Cell::new(1),
            is_over: Cell::new(false),
            acknowledged_by: Cell::new(None),
        });
        Schedule { site, relays, shared, rng: Rand64::new(u128::from(seed) << 1 | 1) }
    }

    fn draw(&mut self, below: usize) -> usize {
        self.rng.rand_range(0..below as u64) as usize
    }

    async fn pause(&mut self, least_ms: u64, below_ms: usize) {
        let pause = least_ms + self.draw(below_ms) as u64;
        sleep(Duration::from_millis(pause)).await;
    }

    fn kill_all(&mut self) {
        self.site.nodes.iter_mut().for_each(Node::kill);
    }

    async fn inject_fault(&mut self) {
        let one = self.draw(NODES);
        match self.draw(6) {
            0 | 1 => {
                self.site.nodes[one].kill();
                self.pause(100, 900).await;
                self.site.start(one).expect("it starts again");
            }
            2 => {
                self.site.nodes[one].suspend();
                self.pause(200, 1_500).await;
                self.site.nodes[one].resume();
            }
            3 | 4 => {
                self.partition(one);
                self.pause(300, 1_700).await;
                self.relays.heal();
            }
            _ => {
                self.kill_all();
                self.pause(0, 300).await;
                self.site.start_all().expect("they start again");
            }
        }
    }

    /// Cuts some directions of a node's links; now and then it receives from nobody, or reaches nobody.
    fn partition(&mut self, one: usize) {
        let (deaf, mute) = (self.draw(3) == 0, self.draw(3) == 0);
        for other in (0..NODES).filter(|other| *other != one) {
            if deaf || self.draw(3) == 0 {
                self.relays.cut(other, one);
            }
            if mute || self.draw(3) == 0 {
                self.relays.cut(one, other);
            }
        }
    }

    /// Right behind an acknowledgement its node is terminated with its disk, and all others are killed. Whether there was
    /// an acknowledgement.
    async fn lose_disk_of_acknowledging_node(&mut self) -> bool {
        let shared = self.shared.clone();
        shared.acknowledged_by.set(None);
        let since = Instant::now();
        while shared.acknowledged_by.get().is_none() && since.elapsed() < Duration::from_secs(8) {
            sleep(Duration::from_millis(1)).await;
        }
        let by = shared.acknowledged_by.get();
        let by = by.and_then(|at| shared.controls.iter().position(|node| *node == at));
        self.kill_all();
        self.site.nodes[by.unwrap_or_default()].wipe().expect("it is emptied");
        self.site.start_all().expect("they start again");
        by.is_some()
    }

    /// Reads once more, wherever there is an answer. Whether there was one.
    async fn read_at_last(&self) -> bool {
        let since = Instant::now();
        let mut is_read = false;
        while !is_read && since.elapsed() < Duration::from_secs(10) {
            for node in 0..NODES {
                is_read |=
                    matches!(self.shared.call(node, Asked::Read, None).await, (Answered::Newest(_), _));
            }
        }
        is_read
    }

    fn judge(&self, is_read: bool, is_acknowledged: bool) -> Seen {
        let history = self.shared.history.borrow();
        let mut broken = judge(&history).err().map(|broken| format!("{broken:?}"));
        if !is_read {
            broken = Some("10 s of calm and nobody reads".to_owned());
        }
        if !is_acknowledged {
            broken = broken.or(Some("8 s of calm and no word is taken".to_owned()));
        }
        let count = |is: fn(&Answered) -> bool| history.iter().filter(|one| is(&one.answered)).count();
        Seen {
            acknowledged: count(|answered| *answered == Answered::Taken),
            reads: count(|answered| matches!(answered, Answered::Newest(_))),
            logs: if broken.is_some() { self.site.logs() } else { String::new() },
            broken,
        }
    }
}

async fn schedule(seed: u64) -> Seen {
    let mut schedule = Schedule::start(seed).await;
    let operators = [1, 2].map(|one| spawn_local(schedule.shared.clone().operate(seed << 4 | one)));
    sleep(Duration::from_millis(2_000)).await;
    for _ in 0..5 {
        schedule.inject_fault().await;
        schedule.pause(0, 900).await;
    }
    // Calm: whoever acknowledges now has a quorum behind it.
    sleep(Duration::from_millis(4_000)).await;
    let is_acknowledged = schedule.lose_disk_of_acknowledging_node().await;
    sleep(Duration::from_millis(3_000)).await;
    schedule.shared.is_over.set(true);
    for operator in operators {
        operator.await.expect("an operator ends");
    }
    let is_read = schedule.read_at_last().await;
    schedule.judge(is_read, is_acknowledged)
}

#[test]
fn operations_on_real_processes_are_linearizable() {
    let _one_site = ONE_SITE_AT_A_TIME.blocking_lock();
    let (first, count) = (number_from("TESTBED_FIRST", 1), number_from("TESTBED_SCHEDULES", 3));
    let lanes = number_from("TESTBED_LANES", 3).min(count);
    let lane = move |lane: u64| {
        let seeds: Vec<u64> = (first + lane..first + count).step_by(lanes as usize).collect();
        let played = seeds.into_iter().map(|seed| (seed, block_on(schedule(seed)).expect("a runtime")));
        played.collect::<Vec<_>>()
    };
    let played: Vec<(u64, Seen)> = std::thread::scope(|scope| {
        let lanes: Vec<_> = (0..lanes).map(|number| scope.spawn(move || lane(number))).collect();
        lanes.into_iter().flat_map(|lane| lane.join().expect("a schedule ended")).collect()
    });
    let (acknowledged, reads) = played
        .iter()
        .fold((0, 0), |(taken, reads), (_, seen)| (taken + seen.acknowledged, reads + seen.reads));
    println!("{} schedules: {acknowledged} words acknowledged, {reads} reads", played.len());
    let broken: Vec<_> =
        played.iter().filter_map(|(seed, seen)| Some((seed, seen.broken.as_ref()?, &seen.logs))).collect();
    for (seed, what, logs) in &broken {
        println!("schedule {seed}: {what}\n{logs}");
    }
    assert!(broken.is_empty(), "schedules {:?}", broken.iter().map(|(seed, ..)| **seed).collect::<Vec<_>>());
    assert!(acknowledged > 10 * played.len() && reads > 10 * played.len(), "little was seen");
}
