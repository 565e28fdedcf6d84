//! Schedules drawn from a seed over real processes: five doors with disks, relays on every link, and two operators who
//! write on top of what they last read. Kills, freezes, one-way cuts, the whole core killed, and at the end a disk lost
//! right behind an acknowledgement. What the operators saw is judged for linearizability.
//!
//! `TESTBED_SCHEDULES=100 TESTBED_FIRST=1 cargo test --release -p brassport-testbed --test it schedules:: -- --nocapture`

use crate::common::{gateway_program, number_from, ALONE};
use brassport_checkers::versions::{judge, Answered, Asked, Operation};
use brassport_testbed::configuration::{read, Plan};
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

const DOORS: usize = 5;

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

    /// One call, noted with its answer. What it was answered.
    async fn ask(&self, door: usize, asked: Asked, plan: Option<&Plan>) -> (Answered, Option<SocketAddrV4>) {
        let began = self.now();
        let answer = match (asked, plan) {
            (Asked::Write { built_on, .. }, Some(plan)) => {
                let body = plan.whole().to_string().into_bytes();
                call(self.controls[door], "POST", "/Config.Replace", Some(built_on), &body).await
            }
            _ => call(self.controls[door], "GET", "/Config.Read", None, &[]).await,
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
        let mut known = 0;
        while !self.is_over.get() {
            let door = rng.rand_range(0..DOORS as u64) as usize;
            if rng.rand_range(0..3) == 0 {
                if let (Answered::Newest(version), _) = self.ask(door, Asked::Read, None).await {
                    known = version;
                }
            } else {
                let version = self.last_version.get() + 1 + rng.rand_range(0..3) as u32;
                self.last_version.set(version);
                let plan = Plan::first(1).next(version);
                let asked = Asked::Write { version, built_on: known };
                match self.ask(door, asked, Some(&plan)).await {
                    (Answered::Taken, by) => {
                        known = version;
                        self.acknowledged_by.set(by);
                    }
                    (Answered::Open, _) => {
                        // Sent again unchanged, elsewhere.
                        let door = (door + 1) % DOORS;
                        if let (Answered::Taken, _) = self.ask(door, asked, Some(&plan)).await {
                            known = version;
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
    said: String,
}

async fn schedule(seed: u64) -> Seen {
    let program = gateway_program();
    let layout = Layout { counted: DOORS, others: 0, program: program.into(), has_relays: true };
    let mut site = Site::lay(&layout).expect("free ports");
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
    let operators = [1, 2].map(|one| spawn_local(shared.clone().operate(seed << 4 | one)));
    let mut rng = Rand64::new(u128::from(seed) << 1 | 1);
    let mut draw = |below: usize| rng.rand_range(0..below as u64) as usize;
    sleep(Duration::from_millis(2_000)).await;
    for _ in 0..5 {
        let one = draw(DOORS);
        match draw(6) {
            0 | 1 => {
                site.doors[one].kill();
                sleep(Duration::from_millis(100 + draw(900) as u64)).await;
                site.start(one).expect("it starts again");
            }
            2 => {
                site.doors[one].freeze();
                sleep(Duration::from_millis(200 + draw(1_500) as u64)).await;
                site.doors[one].thaw();
            }
            3 | 4 => {
                // Some ways are cut, each in one direction; now and then a door hears nobody, or is not heard.
                let (deaf, mute) = (draw(3) == 0, draw(3) == 0);
                for other in (0..DOORS).filter(|other| *other != one) {
                    if deaf || draw(3) == 0 {
                        relays.cut(other, one);
                    }
                    if mute || draw(3) == 0 {
                        relays.cut(one, other);
                    }
                }
                sleep(Duration::from_millis(300 + draw(1_700) as u64)).await;
                relays.join();
            }
            _ => {
                site.doors.iter_mut().for_each(brassport_testbed::door::Door::kill);
                sleep(Duration::from_millis(draw(300) as u64)).await;
                site.start_all().expect("they start again");
            }
        }
        sleep(Duration::from_millis(draw(900) as u64)).await;
    }
    // Calm, then right behind an acknowledgement its door is gone with its disk, and all others are killed.
    sleep(Duration::from_millis(4_000)).await;
    shared.acknowledged_by.set(None);
    let since = Instant::now();
    while shared.acknowledged_by.get().is_none() && since.elapsed() < Duration::from_secs(8) {
        sleep(Duration::from_millis(1)).await;
    }
    let by = shared.acknowledged_by.get().and_then(|at| shared.controls.iter().position(|door| *door == at));
    site.doors.iter_mut().for_each(brassport_testbed::door::Door::kill);
    site.doors[by.unwrap_or_default()].wipe().expect("it is emptied");
    site.start_all().expect("they start again");
    sleep(Duration::from_millis(3_000)).await;
    shared.is_over.set(true);
    for operator in operators {
        operator.await.expect("an operator ends");
    }
    // The last read, wherever there is an answer.
    let since = Instant::now();
    let mut is_read = false;
    while !is_read && since.elapsed() < Duration::from_secs(10) {
        for door in 0..DOORS {
            is_read |= matches!(shared.ask(door, Asked::Read, None).await, (Answered::Newest(_), _));
        }
    }
    let history = shared.history.borrow();
    let mut broken = judge(&history).err().map(|broken| format!("{broken:?}"));
    if !is_read {
        broken = Some("10 s of calm and nobody reads".to_owned());
    }
    if by.is_none() {
        broken = broken.or(Some("8 s of calm and no word is taken".to_owned()));
    }
    let count = |is: fn(&Answered) -> bool| history.iter().filter(|one| is(&one.answered)).count();
    Seen {
        acknowledged: count(|answered| *answered == Answered::Taken),
        reads: count(|answered| matches!(answered, Answered::Newest(_))),
        said: if broken.is_some() { site.said() } else { String::new() },
        broken,
    }
}

#[test]
fn what_operators_see_of_real_processes_is_linearizable() {
    let _alone = ALONE.blocking_lock();
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
        played.iter().filter_map(|(seed, seen)| Some((seed, seen.broken.as_ref()?, &seen.said))).collect();
    for (seed, what, said) in &broken {
        println!("schedule {seed}: {what}\n{said}");
    }
    assert!(broken.is_empty(), "schedules {:?}", broken.iter().map(|(seed, ..)| **seed).collect::<Vec<_>>());
    assert!(acknowledged > 10 * played.len() && reads > 10 * played.len(), "little was seen");
}
