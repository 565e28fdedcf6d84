//! Shows that the model can fail: for each deliberate fault, the exploration finds a shortest sequence of events that violates
//! a property.
//!
//! A fault is active in the whole process, because several threads explore the model. Run this module alone:
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
        assert!(!found.is_empty(), "{mutant:?} violates no property");
    }
    activate(None);
}
