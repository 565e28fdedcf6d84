//! Doors and lenders on simulated time: loss, delay and repeats between them, cuts, restarts, a lender that is deposed and
//! does not know it for a while, tenants that send many times their usual on some doors or on all. All runs that pass a door
//! are judged by the rule: in no window of five seconds more than the limit, its slack included.

use brassport_quota::{Borrower, Incarnation, Lender, QuotaGrant, RateLimit, TenantId, Term, UsageReport};
use brassport_types::DiskId;
use oorandom::Rand64;
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

const TENANT: TenantId = TenantId(7);
const WINDOW: u64 = 5_000;
const LONG: u64 = 30_000;
/// A lender that no majority answers lends on for so long at the most, and no other begins sooner.
const DEPOSED: u64 = 600;
const SOONEST: u64 = 360;

enum Step {
    Request(usize),
    Report(usize),
    Used(usize, usize, Incarnation, u32, Vec<UsageReport>),
    Lent(usize, Incarnation, Term, u32, Vec<QuotaGrant>),
    Fault,
}

struct World {
    now: u64,
    rng: Rand64,
    queue: BTreeMap<(u64, u64), Step>,
    last: u64,
    doors: Vec<(Borrower, Incarnation)>,
    /// Each lender, its epoch, and until when it lends.
    lenders: Vec<(Lender, u64, u64)>,
    cut: Vec<bool>,
    limit: RateLimit,
    busy: Vec<f64>,
    passed: Vec<u64>,
    offered: u64,
}

impl World {
    fn at(&mut self, delay: u64, step: Step) {
        self.last += 1;
        self.queue.insert((self.now + delay, self.last), step);
    }

    fn draw(&mut self, below: u64) -> u64 {
        self.rng.rand_range(0..below.max(1))
    }
}

/// Plays one seed. Returns the worst window as a part of what the rule allows, and the part of the limit that was used.
pub fn play(seed: u64) -> (f64, f64) {
    let mut rng = Rand64::new(u128::from(seed));
    let doors = 2 + rng.rand_range(0..14_u64) as usize;
    let rate = 15.0 + rng.rand_range(0..200_u64) as f64;
    let limit = RateLimit { rate_per_s: rate, burst: rate * (0.5 + rng.rand_float()) };
    let mut world = World {
        now: 0,
        rng,
        queue: BTreeMap::new(),
        last: 0,
        doors: (0..doors).map(|door| (Borrower::default(), Incarnation(door as u64))).collect(),
        lenders: vec![(Lender::default(), 1, u64::MAX)],
        cut: vec![false; doors],
        limit,
        busy: vec![0.0; doors],
        passed: Vec::new(),
        offered: 0,
    };
    world.lenders[0].0.begin(0);
    // All that the tenant asks for, many times its limit at times, on some doors or on all.
    let few = world.draw(3) == 0;
    let times = 0.5 + world.draw(8) as f64;
    for door in 0..doors {
        let share = if few { f64::from(u8::from(door < 2)) / 2.0 } else { 1.0 / doors as f64 };
        world.busy[door] = (times * rate * share).max(0.2);
        world.at(door as u64, Step::Request(door));
        world.at(door as u64 * 7, Step::Report(door));
    }
    world.at(500, Step::Fault);
    while let Some(((at, _), step)) = world.queue.pop_first() {
        world.now = at;
        if at > LONG {
            break;
        }
        world.step(step);
    }
    world.judge()
}

impl World {
    fn step(&mut self, step: Step) {
        let now = self.now;
        let slots = self.doors.len() as u32;
        match step {
            Step::Request(door) => {
                self.offered += 1;
                let (borrower, _) = &mut self.doors[door];
                borrower.offered(now, TENANT);
                if borrower.take(now, TENANT, self.limit, slots).is_ok() {
                    self.passed.push(now);
                }
                if borrower.is_urgent() {
                    self.report(door);
                }
                let gap = (-(1.0 - self.rng.rand_float()).ln() / self.busy[door] * 1000.0).min(5_000.0);
                self.at(gap as u64, Step::Request(door));
            }
            Step::Report(door) => {
                self.report(door);
                self.at(400, Step::Report(door));
            }
            Step::Used(lender, door, life, number, used) => {
                let limit = self.limit;
                let (lender, epoch, until) = &mut self.lenders[lender];
                if now < *until {
                    let ip = Ipv4Addr::from(door as u32 + 1);
                    let loans = lender.lend(now, (ip, life), &used, |_| Some(limit));
                    let epoch = Term::new(*epoch, DiskId::NONE);
                    let wait = 1 + self.draw(8);
                    if self.draw(20) == 0 {
                        // An answer that comes twice.
                        self.at(wait + 300, Step::Lent(door, life, epoch, number, loans.clone()));
                    }
                    if self.draw(20) > 0 {
                        self.at(wait, Step::Lent(door, life, epoch, number, loans));
                    }
                }
            }
            Step::Lent(door, life, epoch, number, loans) => {
                let (borrower, own) = &mut self.doors[door];
                if *own == life {
                    borrower.apply_grants(now, epoch, number, &loans);
                }
            }
            Step::Fault => {
                self.fault();
                let wait = 300 + self.draw(3_000);
                self.at(wait, Step::Fault);
            }
        }
    }

    fn report(&mut self, door: usize) {
        let now = self.now;
        let (borrower, life) = &mut self.doors[door];
        let (number, used) = borrower.report(now);
        let life = *life;
        if self.cut[door] {
            return;
        }
        // A door may still take a deposed lender for the one that holds.
        let newest = self.lenders.len() - 1;
        let lender = if newest > 0 && self.draw(3) == 0 { newest - 1 } else { newest };
        let wait = 1 + self.draw(8);
        self.at(wait, Step::Used(lender, door, life, number, used.clone()));
    }

    fn fault(&mut self) {
        let door = self.draw(self.doors.len() as u64) as usize;
        match self.draw(7) {
            6 => {
                // All at once, the lender too.
                let now = self.now;
                for (borrower, life) in &mut self.doors {
                    (*borrower, *life) = (Borrower::default(), Incarnation(life.0 + 1_000));
                }
                let (_, epoch, until) = self.lenders.last_mut().expect("there is one");
                *until = now;
                let mut lender = Lender::default();
                lender.begin(now);
                let epoch = *epoch + 1;
                self.lenders.push((lender, epoch, u64::MAX));
            }
            0 => {
                // Another life: what it held is gone, and it has its base again.
                let life = Incarnation(self.doors[door].1 .0 + 1_000);
                self.doors[door] = (Borrower::default(), life);
            }
            1 => self.cut[door] = true,
            2 => self.cut.iter_mut().for_each(|cut| *cut = false),
            3 | 4 => {
                // The old one lends on until it is sure of itself no more; the new one begins no sooner than it may.
                let now = self.now;
                let (_, epoch, until) = self.lenders.last_mut().expect("there is one");
                *until = now + DEPOSED - SOONEST;
                let epoch = *epoch + 1;
                let mut lender = Lender::default();
                lender.begin(now);
                self.lenders.push((lender, epoch, u64::MAX));
            }
            _ => {}
        }
    }

    fn judge(&self) -> (f64, f64) {
        let seconds = WINDOW as f64 / 1000.0;
        let allowed = (self.limit.rate_per_s * seconds + self.limit.burst) * 1.1 + 20.0;
        let mut worst = 0;
        let mut first = 0;
        for (last, at) in self.passed.iter().enumerate() {
            while self.passed[first] + WINDOW <= *at {
                first += 1;
            }
            worst = worst.max(last + 1 - first);
        }
        let owed = (self.offered as f64).min(self.limit.rate_per_s * LONG as f64 / 1000.0);
        (worst as f64 / allowed, self.passed.len() as f64 / owed.max(1.0))
    }
}
