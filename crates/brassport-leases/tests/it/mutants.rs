//! The model can fail: each deliberate fault of the transition function has a shortest sequence of events that breaks it.
//!
//! An active fault is the whole process's, as the model is explored by several threads. So this module runs by itself:
//! cargo test --release -p brassport-leases --features mutants --test it mutants::

use crate::fleet::{Fleet, Sizes, HAND_OVERS, LOSSES, RESTARTS, SMALL};
use brassport_leases::mutants::{activate, Mutant, ALL};
use stateright::{Checker, HasDiscoveries, Model};

#[test]
fn every_mutant_has_a_counterexample() {
    for mutant in ALL {
        let sizes = match mutant {
            Mutant::NoWaitAtStart => LOSSES,
            Mutant::ProcessIgnored => RESTARTS,
            Mutant::ReleasedEarly => HAND_OVERS,
            Mutant::WaitFromFirstSeen => Sizes { requests: 3, ..SMALL },
            _ => SMALL,
        };
        activate(Some(mutant));
        let model = Fleet { sizes }.checker().threads(2).finish_when(HasDiscoveries::AnyFailures);
        let checker = model.spawn_bfs().join();
        let found: Vec<_> =
            checker.discoveries().into_iter().filter(|(name, _)| !name.starts_with("a second")).collect();
        let path: Vec<_> = found.iter().map(|(name, path)| (*name, path.clone().into_actions())).collect();
        println!("{mutant:?}: {} states: {path:?}", checker.unique_state_count());
        assert!(!found.is_empty(), "{mutant:?} breaks nothing");
    }
    activate(None);
}
