//! Deployments that the seed draws, each played by the decision module and by a policy that sees all: what each class,
//! each plan and the worst-off customers get of what is possible there.

use super::{Backend, Outcome};
use crate::emulator::site::{Kind, Model, Plans, Work};
use crate::emulator::{play, Fault, Policy, Site};
use crate::study::Level;
use brassport_policy::{Plan, RetrySafety, Scope};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Least of [`Deployments`]' margins; below it a class, a plan or a customer starves.
const LEAST_MARGIN: f64 = 0.03;
/// Of what the informed policy serves of a class and of a plan, these parts are wanted, where it serves so much of it and
/// it makes so much of the requests.
const CLASS: f64 = 0.5;
const TENANT: f64 = 1.0 / 3.0;
/// Of that, where a ceiling has fewer units than a customer has doors: some doors hold none of it, and behind a restart
/// the others fill theirs for seconds. No page recommends it; nobody is to be shut out by it.
const SPLIT: f64 = 0.5;
const LEAST_SERVED: f64 = 0.3;
const LEAST_SHARE: f64 = 0.05;
/// Customers who are starved may hold so much more of the requests than under that policy.
const STARVED: f64 = 0.15;

#[derive(Debug)]
pub struct Deployments;

/// A number from `least` to `most`, each factor alike.
fn by_factor(random: &mut Pcg64Mcg, least: f64, most: f64) -> f64 {
    (least.ln() + (most / least).ln() * random.random::<f64>()).exp()
}

/// Two to five classes: shares from 0.05 to 0.9, worths from close to ten times apart, at least one that never may run
/// twice.
fn draw_kinds(random: &mut Pcg64Mcg, aim: f64) -> Vec<Kind> {
    let count = random.random_range(2..=5usize);
    let weights: Vec<f64> = (0..count).map(|_| by_factor(random, 1.0, 15.0)).collect();
    let left = 1.0 - LEAST_SHARE * count as f64;
    let share = |weight: f64| LEAST_SHARE + left * weight / weights.iter().sum::<f64>();
    let apart = by_factor(random, 1.1, 10.0);
    let once = random.random_range(0..count);
    let mut kind = |place: usize| Kind {
        share: share(weights[place]),
        worth: by_factor(random, 1.0, apart),
        aim,
        effect: match random.random_range(0..3) {
            _ if place == once => RetrySafety::NonIdempotent,
            0 => RetrySafety::NonIdempotent,
            1 => RetrySafety::Keyed { scope: Scope::Zone, window: 2.0 * aim },
            _ => RetrySafety::Idempotent,
        },
    };
    (0..count).map(&mut kind).collect()
}

/// A deployment. Work is scaled so that any number of nodes does some hundred requests a second, and times with it.
fn draw(trouble: &str, seed: u64) -> Site {
    let random = &mut Pcg64Mcg::seed_from_u64(seed);
    let (doors, nodes) = (by_factor(random, 3.0, 350.0).round(), by_factor(random, 9.0, 600.0).round());
    let (rate, workers) = (by_factor(random, 150.0, 600.0), random.random_range(1..=4u32));
    let work_ms = nodes * f64::from(workers) * 1000.0 / rate;
    let quota = by_factor(random, 0.3, 6.0);
    let spread = match random.random_range(0..3) {
        0 => 0,
        1 => random.random_range(1..=10),
        _ => random.random_range(1..=doors as u32),
    };
    let zones = random.random_range(1..=5);
    let fault = match trouble {
        "doors" => Fault::Doors(0.7),
        "lost" => Fault::Restart(if zones > 1 { 1.0 / f64::from(zones) } else { 0.3 }),
        "silent" => Fault::Freeze(0.2),
        "late" => Fault::Die(0.2),
        _ => Fault::None,
    };
    // Not below the operators' second: clients come again some hundred milliseconds behind a refusal.
    let aim = (random.random_range(3.5..8.0) * work_ms).max(1000.0);
    let count = random.random_range(1..=3);
    let plan = |_| (by_factor(random, 1.0, 8.0), random.random_bool(0.5));
    let plans = (0..count).map(plan).collect();
    Site {
        doors: doors as u32,
        nodes: nodes as u32,
        customers: ((rate / quota) as u32).max(20),
        load: random.random_range(0.4..0.65),
        heavy: random.random_range(0.07..0.13),
        heavier: random.random_range(2.0..4.5),
        ceiling: random.random_range(1.5..2.5),
        spread,
        zones,
        retries: random.random_range(2..=4),
        work_ms,
        // What doors learn moves with the aim, and a share of a ceiling fills from empty: long enough for both.
        seconds: 18.0 * aim / 1000.0,
        fault,
        model: Model {
            workers,
            work: Work::LogNormal(random.random_range(0.6..1.3)),
            meter_delay: random.random_range(200.0..1500.0),
            plans: Plans::Several(plans),
            kinds: draw_kinds(random, aim),
            news_late: if trouble == "late" { 4000.0 } else { 0.0 },
            deadline: 4.0 * aim,
            patience: (4.0 * aim, 4.0 * aim),
            max_retry_after: 500.0,
            ..Model::default()
        },
        ..Site::default()
    }
}

/// The part of a plan's requests that meet a front door with a share of their ceiling, over all their tries. Without a
/// word between doors no more can pass than where a share holds a request.
fn met(site: &Site, plan: usize) -> f64 {
    let Plan {
        hard_limit_rate: ceiling_rate,
        hard_limit_burst: ceiling_burst,
        hard_limit_slack: ceiling_slack,
        ..
    } = site.plan(plan);
    let shares = (ceiling_burst + ceiling_slack).floor().max(1.0) / f64::from(site.doors_of(0).0);
    let missed = if ceiling_rate > 0.0 { (1.0 - shares).max(0.0) } else { 0.0 };
    1.0 - missed.powi(1 + site.retries as i32)
}

/// By how much one gets more than this part of what the informed policy gives it; 1 where nothing is wanted: it makes too
/// little of the requests, or even that policy serves little of it.
fn margin((served, share): (f64, f64), (possible, part): (f64, f64)) -> f64 {
    if possible < LEAST_SERVED || share < LEAST_SHARE {
        1.0
    } else {
        served - part * possible
    }
}

impl Backend for Deployments {
    fn name(&self) -> &'static str {
        "deployments"
    }

    fn parameters(&self) -> &'static [(&'static str, &'static str)] {
        &[(
            "trouble",
            "none; doors: seven in ten die; lost: a zone dies and is back cold; silent: a fifth of the nodes stands still; \
             late: a fifth dies, and lists come 4 s late",
        )]
    }

    fn measures(&self) -> &'static [(&'static str, &'static str)] {
        &[
            ("doors", "front doors"),
            ("nodes", "nodes"),
            ("zones", "zones"),
            ("classes", "classes of requests"),
            ("margin", "least, over classes, of what calm customers got in time less half of what the informed policy gave them"),
            ("plan_margin", "least, over plans, of the same less a third"),
            ("least_class", "requests of calm customers answered in time, of the class that got least, in parts of them"),
            ("least_possible", "the same under the informed policy"),
            ("met", "requests that meet a door with a share of their ceiling, over all tries; what is wanted is of these"),
            ("starved_margin", "what starved customers may hold of the requests less what they do, where each door has a share of the ceiling"),
            ("after_drain", "attempts that began more than 500 ms after a drain was told"),
        ]
    }

    fn is_deterministic(&self) -> bool {
        true
    }

    fn check(&self, parameters: &[(String, Level)]) -> Result<(), String> {
        for (key, level) in parameters {
            if key != "trouble" {
                return Err(format!("no parameter {key}"));
            }
            if !["none", "doors", "lost", "silent", "late"].contains(&level.0.as_str()) {
                return Err(format!("no trouble {level}; there are none, doors, lost, silent, late"));
            }
        }
        Ok(())
    }

    fn play(&self, parameters: &[(String, Level)], seed: u64) -> anyhow::Result<Outcome> {
        let trouble = parameters.first().map_or("none", |(_, level)| level.0.as_str());
        let site = draw(trouble, seed);
        let ours = play(&site, seed);
        let all_seen = play(&Site { policy: Policy::Informed, ..site.clone() }, seed);
        let mets: Vec<f64> = (0..ours.by_plan.len()).map(|plan| met(&site, plan)).collect();
        // Of a class what its plans' requests meet, each by its part of the load.
        let met: f64 = ours.by_plan.iter().zip(&mets).map(|(plan, met)| plan.1 * met).sum();
        let wanted = |possible: f64, met: f64, part: f64| {
            (possible * met, if met < 1.0 - 1e-9 { SPLIT * part } else { part })
        };
        let (mut class_margin, mut plan_margin) = (1.0, 1.0);
        for (ours, all_seen) in ours.by_class.iter().zip(&all_seen.by_class) {
            class_margin = f64::min(class_margin, margin(*ours, wanted(all_seen.0, met, CLASS)));
        }
        for (n, (ours, all_seen)) in ours.by_plan.iter().zip(&all_seen.by_plan).enumerate() {
            plan_margin = f64::min(plan_margin, margin(*ours, wanted(all_seen.0, mets[n], TENANT)));
        }
        let least_served = |served: &[(f64, f64)]| served.iter().map(|class| class.0).fold(1.0, f64::min);
        let starved = ours.get("starved");
        let starved_margin =
            if met < 1.0 - 1e-9 { STARVED } else { all_seen.get("starved") + STARVED - starved };
        let mut broken = ours.broken.clone();
        if class_margin.min(plan_margin).min(starved_margin) < LEAST_MARGIN {
            broken.push(format!(
                "one starves: margin of a class {class_margin:.3}, of a plan {plan_margin:.3}, of starved customers {starved_margin:.3}"
            ));
        }
        let values = vec![
            f64::from(site.doors),
            f64::from(site.nodes),
            f64::from(site.zones),
            ours.by_class.len() as f64,
            class_margin,
            plan_margin,
            least_served(&ours.by_class),
            least_served(&all_seen.by_class),
            met,
            starved_margin,
            ours.get("after_drain"),
        ];
        Ok(Outcome { values, broken })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_class_has_to_get_half_of_what_is_possible_if_much_is() {
        assert!((margin((0.5, 0.2), (0.9, CLASS)) - 0.05).abs() < 1e-12);
        assert!(margin((0.1, 0.2), (0.9, CLASS)) < 0.0, "it starves");
        assert_eq!(margin((0.0, 0.2), (0.2, CLASS)), 1.0, "nobody could serve it");
        assert_eq!(margin((0.0, 0.01), (0.9, CLASS)), 1.0, "it hardly comes");
    }

    #[test]
    fn a_ceiling_over_more_doors_than_it_has_units_is_met_by_some_of_the_tries() {
        let site = |doors, ceiling| Site { doors, ceiling, customers: 1000, retries: 1, ..Site::default() };
        assert_eq!((met(&site(100, 0.0), 0), met(&site(4, 2.0), 0)), (1.0, 1.0));
        // Four units over 100 doors, two tries.
        assert!((met(&site(100, 2.0), 0) - (1.0 - 0.96 * 0.96)).abs() < 1e-9);
    }

    #[test]
    fn seeds_draw_small_and_large_deployments_of_all_mixes() {
        let drawn: Vec<Site> = (0..200).map(|seed| draw("none", seed)).collect();
        let some = |what: &dyn Fn(&Site) -> bool| assert!(drawn.iter().any(what));
        some(&|site| site.doors > 250 && site.nodes < 30);
        some(&|site| site.doors < 6 && site.nodes > 300);
        some(&|site| site.model.kinds.iter().any(|kind| kind.share > 0.8));
        some(&|site| {
            site.model.kinds.iter().any(|kind| kind.share < 0.1 && kind.effect == RetrySafety::NonIdempotent)
        });
        some(&|site| site.model.kinds.len() == 5 && site.zones == 5);
        some(&|site| site.spread == 1);
        for site in &drawn {
            let shares: f64 = site.model.kinds.iter().map(|kind| kind.share).sum();
            assert!((shares - 1.0).abs() < 1e-9 && (3..=350).contains(&site.doors) && site.nodes <= 600);
        }
    }
}
