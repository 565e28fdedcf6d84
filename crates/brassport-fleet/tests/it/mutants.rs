//! Shows that the tests can fail: each deliberate fault is detected, either by a check of the shared state or of a record, or
//! by a seed of the simulation.

use crate::simulation::play;
use brassport_fleet::mutants::{activate, Mutant, ALL};
use brassport_fleet::record::{read, At, Chain, Event};
use brassport_fleet::shared::{Change, Shared, Update};

/// The number of seeds within which the simulation must detect a fault.
const SEEDS: u64 = 1500;

fn find_by_simulation() -> Option<String> {
    (1..=SEEDS).find_map(|seed| play(seed).err().map(|violation| violation.to_string()))
}

fn change(id: &str, body: bool) -> Change {
    Change::new(id, "o", "r", "ban", "n", body.into())
}

fn find_by_check(mutant: Mutant) -> Option<String> {
    let mut shared = Shared::default();
    shared.apply(&change("a", true)).ok()?;
    let old = shared.clone();
    shared.apply(&change("b", false)).ok()?;
    let found = match mutant {
        Mutant::StaleSnapshot => shared.catch_up(Update::Snapshot(Box::new(old))).is_ok(),
        Mutant::ChainUnchecked => {
            let Ok(Update::Changes(mut changes)) = shared.since(1, old.digest()) else { return None };
            changes[0].digest = "0".into();
            old.clone().catch_up(Update::Changes(changes)).is_ok()
        }
        Mutant::IdIgnored => shared.apply(&change("a", true)).is_ok_and(|done| done.version != 1),
        Mutant::ConflictIgnored => shared.apply(&Change { seen: Some(1), ..change("c", true) }).is_ok(),
        Mutant::LinkUnchecked => {
            let (mut chain, at) = (Chain::default(), At { process: 1, steady_ms: 1, wall_ms: 1 });
            let mut line = |n| chain.add(at, Event::WentOn { from_admission: n });
            let (first, _, last) = (line(1), line(2), line(3));
            read(&(first + &last)).1.is_none()
        }
        _ => return find_by_simulation(),
    };
    found.then(|| format!("a direct check detects {mutant:?}"))
}

#[test]
fn every_mutant_is_found() {
    std::thread::scope(|scope| {
        let find = |mutant: Mutant| {
            move || {
                activate(Some(mutant));
                let found = find_by_check(mutant);
                activate(None);
                println!("{mutant:?}: {}", found.as_deref().unwrap_or("not found"));
                found.is_none().then_some(mutant)
            }
        };
        let searches: Vec<_> = ALL.into_iter().map(|mutant| scope.spawn(find(mutant))).collect();
        let missed: Vec<Mutant> = searches
            .into_iter()
            .filter_map(|search| search.join().expect("the search does not panic"))
            .collect();
        assert_eq!(missed, []);
    });
}
