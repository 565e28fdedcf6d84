//! What a run measures.

use super::baseline::Bucket;
use super::site::{Fault, Kind, Site};
use brassport_policy::{Millis, Plan};
use hdrhistogram::Histogram;

/// Spacing of the points at which goodput is looked at behind a fault, and how many of them make a window.
const POINT: Millis = 250.0;
const WINDOW: usize = 8;
/// Part of the goodput before the fault that counts as back.
const BACK: f64 = 0.95;
/// Deviations of a count below [`BACK`] that are taken for noise. A run looks at some fifty windows: with two deviations
/// one run in ten would call a chance dip, long behind the fault, the end of it.
const NOISE: f64 = 3.0;

/// Figures of one run, each with its unit in its name or in [`Figures::MEASURES`].
#[derive(Debug, Clone, PartialEq)]
pub struct Figures {
    /// In the order of [`Figures::MEASURES`].
    pub values: [f64; Figures::MEASURES.len()],
    /// Of each class: answers in time to customers who are not heavy, in parts of their requests, and those requests in
    /// parts of all of such customers.
    pub by_class: Vec<(f64, f64)>,
    /// The same of each plan.
    pub by_plan: Vec<(f64, f64)>,
    /// Broken rules, with the moment of each.
    pub broken: Vec<String>,
}

impl Figures {
    /// Names and meaning of what is measured.
    pub const MEASURES: [(&'static str, &'static str); 21] = [
        ("requests", "requests of clients, further tries not counted"),
        ("goodput", "answers in time, in parts of what the nodes can do"),
        (
            "useful",
            "answers in time, in parts of what could be: the least of the load and what the nodes can do",
        ),
        ("refused", "requests that ended refused after all their tries, in parts of all"),
        ("failed", "requests that ended failed or without an answer, in parts of all"),
        ("p50_ms", "median time from a request's first try to its answer"),
        ("p99_ms", "the same, 99th percentile"),
        ("attempts", "attempts for each request that was sent on"),
        (
            "over_quota",
            "units that nodes took up beyond all customers' token buckets, in parts of the quotas' sum",
        ),
        ("over_ceiling", "the same, beyond the ceilings with their slack"),
        (
            "within_refused",
            "requests refused of customers who asked for less than half their quota, in parts of theirs",
        ),
        (
            "node_peak",
            "attempts at the node that had most, in multiples of the mean of nodes that stood all the time",
        ),
        ("cold_peak", "attempts at a cold node in 3 s, in multiples of what it can do"),
        (
            "back_ms",
            "time behind the fault until goodput is back at 95% of before, or of what the rest can do",
        ),
        ("after_drain", "attempts that began more than 500 ms after a drain was told"),
        ("tries", "tries of clients, in multiples of requests"),
        (
            "calm_served_high",
            "answers to customers who are not heavy, of the class of high worth, in parts of their requests",
        ),
        ("calm_served_low", "the same, of the class of low worth"),
        (
            "beyond_high",
            "units beyond token buckets, in parts of what nodes took up, of the class of high worth",
        ),
        ("beyond_low", "the same, of the class of low worth"),
        (
            "starved",
            "requests of those customers who are not heavy and got under a tenth of theirs answered, in parts of all such",
        ),
    ];

    /// One of them.
    pub fn get(&self, name: &str) -> f64 {
        let place = Self::MEASURES.iter().position(|(other, _)| *other == name);
        self.values[place.unwrap_or_else(|| panic!("no measure {name}"))]
    }
}

/// One customer's account over all front doors.
#[derive(Debug, Clone, Copy)]
struct Account {
    plan: usize,
    quota: Bucket,
    ceiling: Bucket,
    asked: f64,
    requests: u32,
    refused: u32,
    answered: u32,
}

/// Takes down what happens.
pub struct Ledger {
    site: Site,
    plans: Vec<Plan>,
    accounts: Vec<Account>,
    latency: Histogram<u64>,
    in_time: u64,
    late: u64,
    requests: u64,
    tries: u64,
    refused: u64,
    failed: u64,
    sent_on: u64,
    attempts: u64,
    over_quota: f64,
    over_ceiling: f64,
    /// By class: requests of customers who are not heavy, answers to them and those in time; units that nodes took up, and
    /// those of them beyond token buckets.
    calm: Vec<(f64, f64, f64)>,
    taken: Vec<(f64, f64)>,
    /// By plan: requests of customers who are not heavy, and answers to them in time.
    tenants: Vec<(f64, f64)>,
    /// Answers in time by points of time.
    points: Vec<u32>,
    pub cold_peak: f64,
    pub after_drain: u64,
    broken: Vec<String>,
}

impl Ledger {
    pub fn new(site: &Site) -> Ledger {
        let plans = site.plans();
        let account = |customer: u32| {
            let plan = site.plan_of(customer);
            Account {
                plan,
                quota: Bucket::full(plans[plan].burst),
                ceiling: Bucket::full(plans[plan].hard_limit_burst + plans[plan].hard_limit_slack),
                asked: 0.0,
                requests: 0,
                refused: 0,
                answered: 0,
            }
        };
        Ledger {
            accounts: (0..site.customers).map(account).collect(),
            tenants: vec![(0.0, 0.0); plans.len()],
            plans,
            latency: Histogram::new_with_bounds(1, 60_000_000, 3).expect("these bounds are valid"),
            in_time: 0,
            late: 0,
            requests: 0,
            tries: 0,
            refused: 0,
            failed: 0,
            sent_on: 0,
            attempts: 0,
            over_quota: 0.0,
            over_ceiling: 0.0,
            calm: vec![(0.0, 0.0, 0.0); site.model.kinds.len()],
            taken: vec![(0.0, 0.0); site.model.kinds.len()],
            points: vec![0; (site.end_ms() / POINT) as usize + 1],
            cold_peak: 0.0,
            after_drain: 0,
            broken: Vec::new(),
            site: site.clone(),
        }
    }

    fn counts(&self, now: Millis) -> bool {
        now >= self.site.settle_ms()
    }

    /// A client's try; the first of a request if `first`.
    pub fn tried(&mut self, now: Millis, (customer, class): (u32, u8), units: f64, first: bool) {
        if self.counts(now) {
            self.tries += 1;
            if first {
                self.requests += 1;
                let account = &mut self.accounts[customer as usize];
                account.requests += 1;
                account.asked += units;
                if customer >= self.site.heavy_ones() {
                    self.tenants[account.plan].0 += 1.0;
                    self.calm[usize::from(class)].0 += 1.0;
                }
            }
        }
    }

    /// An attempt is sent; the first of its try if `first`.
    pub fn sent(&mut self, now: Millis, first: bool) {
        if self.counts(now) {
            self.attempts += 1;
            self.sent_on += u64::from(first);
        }
    }

    /// A node takes up an attempt.
    pub fn taken_up(&mut self, now: Millis, (customer, class): (u32, u8), units: f64) {
        let account = &mut self.accounts[customer as usize];
        let plan = &self.plans[account.plan];
        let quota = account.quota.take(now, plan.rate, plan.burst, units);
        let most = plan.hard_limit_burst + plan.hard_limit_slack;
        let ceiling = if plan.hard_limit_rate > 0.0 {
            account.ceiling.take(now, plan.hard_limit_rate, most, units)
        } else {
            0.0
        };
        if self.counts(now) {
            self.over_quota += quota;
            self.over_ceiling += ceiling;
            let taken = &mut self.taken[usize::from(class)];
            (taken.0, taken.1) = (taken.0 + units, taken.1 + quota);
        }
    }

    /// A request's last answer: one that is good.
    pub fn answered(&mut self, now: Millis, first_try: Millis, aim: Millis, (customer, class): (u32, u8)) {
        let took = now - first_try;
        if took <= aim {
            if let Some(point) = self.points.get_mut((now / POINT) as usize) {
                *point += 1;
            }
        }
        // Answers that come within the measured time, so that a rate comes out; percentiles are over them.
        if self.counts(now) {
            self.latency.saturating_record((took * 1000.0).max(1.0) as u64);
            *(if took <= aim { &mut self.in_time } else { &mut self.late }) += 1;
            self.accounts[customer as usize].answered += 1;
            // In parts of the requests that came in the measured time: those from before it are none of them.
            if self.counts(first_try) && customer >= self.site.heavy_ones() {
                let in_time = f64::from(u8::from(took <= aim));
                let calm = &mut self.calm[usize::from(class)];
                (calm.1, calm.2) = (calm.1 + 1.0, calm.2 + in_time);
                self.tenants[self.accounts[customer as usize].plan].1 += in_time;
            }
        }
    }

    /// A request's last answer is a refusal.
    pub fn refused(&mut self, first_try: Millis, customer: u32) {
        if self.counts(first_try) {
            self.refused += 1;
            self.accounts[customer as usize].refused += 1;
        }
    }

    /// A request's last answer is a failure.
    pub fn failed(&mut self, first_try: Millis) {
        self.failed += u64::from(self.counts(first_try));
    }

    /// A rule is broken.
    pub fn broke(&mut self, now: Millis, what: &str) {
        if self.broken.len() < 20 {
            self.broken.push(format!("{:.1} ms: {what}", now));
        }
    }

    /// Time until goodput is back, from the fault; the rest of the run if it is not.
    fn back(&self) -> Millis {
        if self.site.fault == Fault::None {
            return 0.0;
        }
        let (settle, fault) =
            ((self.site.settle_ms() / POINT) as usize, (self.site.fault_ms() / POINT) as usize);
        back(
            &self.points[settle..fault],
            &self.points[fault..],
            self.site.capacity() * (1.0 - self.site.fault.part()),
        )
    }

    /// Sums up, with the attempts that each node got that stood all the time.
    pub fn figures(self, reached: &[u64]) -> Figures {
        let seconds = self.site.seconds;
        let part = |some: f64, of: f64| if of > 0.0 { some / of } else { 0.0 };
        let goodput = self.in_time as f64 / seconds;
        let capacity = self.site.capacity();
        let (mut calm, mut calm_refused) = (0, 0);
        for account in &self.accounts {
            if account.asked < 0.5 * self.plans[account.plan].rate * seconds {
                calm += account.requests;
                calm_refused += account.refused;
            }
        }
        let heavy = self.site.heavy_ones() as usize;
        let of =
            |accounts: &[Account]| accounts.iter().map(|account| f64::from(account.requests)).sum::<f64>();
        let light = &self.accounts[heavy.min(self.accounts.len())..];
        let is_starved = |account: &&Account| 10 * account.answered < account.requests;
        let starved: Vec<Account> = light.iter().filter(is_starved).copied().collect();
        let starved = part(of(&starved), of(light));
        let mean = reached.iter().sum::<u64>() as f64 / reached.len().max(1) as f64;
        let most = reached.iter().max().copied().unwrap_or(0) as f64;
        let quotas = self.site.quotas() * seconds;
        let requests = self.requests as f64;
        let back = self.back();
        let order = self.site.model.kinds.iter().enumerate();
        let by_worth = |(_, a): &(usize, &Kind), (_, b): &(usize, &Kind)| a.worth.total_cmp(&b.worth);
        let low = order.clone().min_by(by_worth).map_or(0, |(place, _)| place);
        let high = order.rev().max_by(by_worth).map_or(0, |(place, _)| place);
        let asked = self.tenants.iter().map(|tenant| tenant.0).sum();
        Figures {
            by_class: self.calm.iter().map(|calm| (part(calm.2, calm.0), part(calm.0, asked))).collect(),
            by_plan: self.tenants.iter().map(|calm| (part(calm.1, calm.0), part(calm.0, asked))).collect(),
            values: [
                requests,
                goodput / capacity,
                goodput / capacity.min(self.site.load * capacity),
                part(self.refused as f64, requests),
                part(self.failed as f64, requests),
                self.latency.value_at_quantile(0.5) as f64 / 1000.0,
                self.latency.value_at_quantile(0.99) as f64 / 1000.0,
                part(self.attempts as f64, self.sent_on as f64),
                part(self.over_quota, quotas),
                part(self.over_ceiling, quotas),
                part(f64::from(calm_refused), f64::from(calm)),
                part(most, mean),
                self.cold_peak,
                back,
                self.after_drain as f64,
                part(self.tries as f64, requests),
                part(self.calm[high].1, self.calm[high].0),
                part(self.calm[low].1, self.calm[low].0),
                part(self.taken[high].1, self.taken[high].0),
                part(self.taken[low].1, self.taken[low].0),
                starved,
            ],
            broken: self.broken,
        }
    }
}

/// Time from the fault until goodput is back: behind it, no window is below 95% of before, or of the `left` that can
/// still be done (a second), by more than the noise of a count. Counts of answers in time at each point.
fn back(before: &[u32], behind: &[u32], left: f64) -> Millis {
    let rate = |points: &[u32]| {
        f64::from(points.iter().sum::<u32>()) / (points.len().max(1) as f64 * POINT / 1000.0)
    };
    let wanted = BACK * rate(before).min(left);
    let seconds = WINDOW as f64 * POINT / 1000.0;
    let least = wanted - NOISE * (wanted / seconds).sqrt();
    // The last point may be cut short by the run's end.
    let last = behind.len().saturating_sub(1);
    let low = (0..last.saturating_sub(WINDOW)).rfind(|&at| rate(&behind[at..at + WINDOW]) < least);
    low.map_or(0.0, |at| (at + 1 + WINDOW / 2) as f64 * POINT)
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::SeedableRng;
    use rand_distr::{Distribution, Poisson};

    /// Counts of a course with this rate a second at each point.
    fn course(seed: u64, rates: impl Iterator<Item = f64>) -> Vec<u32> {
        let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        rates
            .map(|rate| {
                Poisson::new(rate * POINT / 1000.0).expect("a rate above zero").sample(&mut random) as u32
            })
            .collect()
    }

    #[test]
    fn the_noise_of_a_count_is_no_fall() {
        let late = (0..1000)
            .filter(|&seed| {
                let points = course(seed, std::iter::repeat_n(160.0, 96));
                back(&points[8..48], &points[48..], 400.0) > 0.0
            })
            .count();
        assert!(late <= 10, "{late} of 1000 courses without a fall have one");
    }

    #[test]
    fn a_fall_lasts_until_it_ends() {
        for seed in 0..100 {
            // For three seconds half of the answers are gone.
            let points = course(seed, (0..96).map(|at| if (48..60).contains(&at) { 80.0 } else { 160.0 }));
            let back = back(&points[8..48], &points[48..], 400.0);
            assert!(
                (2000.0..=4500.0).contains(&back),
                "seed {seed}: back after {back} ms instead of about 3000"
            );
        }
    }

    #[test]
    fn goodput_is_back_at_what_the_rest_can_do() {
        let points = course(7, (0..96).map(|at| if at < 48 { 160.0 } else { 100.0 }));
        assert_eq!(back(&points[8..48], &points[48..], 100.0), 0.0);
        assert!(back(&points[8..48], &points[48..], 160.0) > 10_000.0);
    }
}
