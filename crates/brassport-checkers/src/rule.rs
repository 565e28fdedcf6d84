//! What is checked, and how a broken rule is told.

use crate::event::Nanos;

/// A broken rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Which rule.
    pub rule: Rule,
    /// When, on the history's clock.
    pub at: Nanos,
    /// What was seen.
    pub what: String,
    /// The id of the request that it is about.
    pub request: Option<String>,
}

/// What is checked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Every request that was taken gets one final answer in time.
    Answer,
    /// Effects happen at most once, and no two attempts of a request are out.
    Effect,
    /// Nothing new to a node later than the grace after a drain or gone was told.
    Drain,
    /// No cold node is sent more than its budget.
    Cold,
    /// Ceilings are kept over all doors.
    Ceiling,
    /// No more descriptors are held than the limit says, and the reserve for attempts is kept.
    Descriptors,
    /// Nothing is left when all is quiet.
    Leak,
    /// The program does not go on without time passing.
    Spin,
    /// The program does not panic, and ends only when told to.
    Crash,
    /// What a source of nodes reports is so: no living node is dropped, no drained one comes back, no cold one is
    /// called warm.
    Nodes,
}

impl std::fmt::Display for Rule {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Rule::Answer => "answer",
            Rule::Effect => "effect",
            Rule::Drain => "drain",
            Rule::Cold => "cold",
            Rule::Ceiling => "ceiling",
            Rule::Descriptors => "descriptors",
            Rule::Leak => "leak",
            Rule::Spin => "spin",
            Rule::Crash => "crash",
            Rule::Nodes => "nodes",
        })
    }
}

/// The broken rules of a history; the first stands.
#[derive(Debug, Default)]
pub struct Verdict {
    first: Option<Violation>,
}

impl Verdict {
    /// Notes a broken rule.
    pub fn break_rule(&mut self, rule: Rule, at: Nanos, request: Option<&str>, what: impl Into<String>) {
        if self.first.is_none() {
            self.first =
                Some(Violation { rule, at, what: what.into(), request: request.map(str::to_string) });
        }
    }

    /// The first broken rule.
    pub fn violation(&self) -> Option<&Violation> {
        self.first.as_ref()
    }
}
