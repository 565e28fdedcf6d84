//! Makes a failing script small: drops faults, then requests, while the same rule stays broken.

use crate::scenario::Scenario;
use brassport_checkers::{Rule, Violation};

/// Runs that are spent at the most.
const MOST_RUNS: u32 = 2_000;

struct Search {
    rule: Rule,
    runs: u32,
    found: (Scenario, Violation),
}

impl Search {
    /// Faults and requests of the smallest script so far.
    fn size(&self) -> usize {
        self.found.0.faults.len() + self.found.0.requests.len()
    }

    /// Takes a smaller script if it breaks the same rule.
    fn take(&mut self, smaller: Scenario) -> bool {
        if self.runs >= MOST_RUNS {
            return false;
        }
        self.runs += 1;
        match crate::play(&smaller).violation {
            Some(violation) if violation.rule == self.rule => {
                self.found = (smaller, violation);
                true
            }
            _ => false,
        }
    }

    /// Drops runs of items, long ones first, until not one can be dropped.
    fn drop_items<T>(&mut self, items: impl Fn(&mut Scenario) -> &mut Vec<T>) {
        let mut length = items(&mut self.found.0).len();
        while length > 0 {
            let mut at = 0;
            while at < items(&mut self.found.0).len() {
                let mut smaller = self.found.0.clone();
                let list = items(&mut smaller);
                let end = (at + length).min(list.len());
                list.drain(at..end);
                if !self.take(smaller) {
                    at += length;
                }
            }
            length /= 2;
        }
    }
}

/// The smallest script that was found, the rule that it breaks, and how many runs it took. `None` if the script
/// breaks no rule.
pub fn shrink(scenario: &Scenario) -> Option<(Scenario, Violation, u32)> {
    let violation = crate::play(scenario).violation?;
    let mut search = Search { rule: violation.rule, runs: 1, found: (scenario.clone(), violation) };
    // What was needed at first may have become idle with what was dropped behind it.
    let mut size = usize::MAX;
    while search.size() < size && search.runs < MOST_RUNS {
        size = search.size();
        search.drop_items(|scenario| &mut scenario.faults);
        search.drop_items(|scenario| &mut scenario.requests);
    }
    let (smallest, violation) = search.found;
    Some((smallest, violation, search.runs))
}
