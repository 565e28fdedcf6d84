//! The lease as the fleet's replicated state has it, and the durations that all instances share.

use crate::mutants::mutant;
use crate::Millis;
use serde::{Deserialize, Serialize};

/// Durations of a lease, the same at all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Terms {
    /// How long a lease is valid, from the moment at which its holder sent the request.
    pub length: Millis,
    /// How often its holder renews it.
    pub renewal: Millis,
    /// By how much two clocks may drift apart, in thousandths.
    pub drift_permille: u64,
}

impl Default for Terms {
    /// Three seconds, renewed four times in that span, with clocks that drift by one percent at most.
    fn default() -> Terms {
        Terms { length: 3000, renewal: 750, drift_permille: 10 }
    }
}

impl Terms {
    /// The longest that a span on another clock can take on this one: `span * (1 + drift)`, rounded up to a
    /// millisecond.
    pub fn bound(&self, span: Millis) -> Millis {
        let drift = if mutant!(NoDrift) { 0 } else { self.drift_permille };
        span + (span * drift).div_ceil(1000)
    }
}

/// A task's entry in the fleet's replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The instance that has the lease, or had it last.
    pub holder: String,
    /// Which process of that instance: an instance that restarts is another process.
    pub process: u64,
    /// The fencing token. Rises with every holder and never falls.
    pub token: u64,
    /// How long the holder's permit runs, in milliseconds on the holder's clock.
    pub length: Millis,
    /// Whether the lease is taken; if not, its last holder has stopped and released it.
    pub held: bool,
    /// The instance that may acquire it first, if the last holder handed it over.
    #[serde(default)]
    pub next: Option<String>,
    /// The last due time for which the task was started, Unix milliseconds; 0 if it never was.
    #[serde(default)]
    pub begun_for: u64,
}
