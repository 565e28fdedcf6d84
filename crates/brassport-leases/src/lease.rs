//! The lease as stored in the fleet's replicated state, and the durations that all instances share.

use crate::mutants::mutant;
use crate::Millis;
use serde::{Deserialize, Serialize};

/// Parameters of a lease, which must be the same at all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Terms {
    /// How long a lease is valid after its holder sent the request for it.
    pub length: Millis,
    /// The interval at which its holder renews it.
    pub renewal: Millis,
    /// The maximum relative drift between two clocks, in thousandths.
    pub drift_permille: u64,
}

impl Default for Terms {
    /// Three seconds, renewed four times in that time, with clocks that drift apart by one percent at most.
    fn default() -> Terms {
        Terms { length: 3000, renewal: 750, drift_permille: 10 }
    }
}

impl Terms {
    /// The longest that `span` on another clock can take on this clock: `span * (1 + drift)`, rounded up to a
    /// millisecond.
    pub fn bound(&self, span: Millis) -> Millis {
        let drift = if mutant!(NoDrift) { 0 } else { self.drift_permille };
        span + (span * drift).div_ceil(1000)
    }
}

/// A task's entry in the fleet's replicated state.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// The instance that holds the lease, or held it last.
    pub holder: String,
    /// The number of the process of that instance: an instance that restarts is another process.
    pub process: u64,
    /// The fencing token, which rises with every holder.
    pub token: u64,
    /// How long the holder's permit is valid, in milliseconds on the holder's clock.
    pub length: Millis,
    /// Whether the lease is held; if not, its last holder has stopped acting and released it.
    pub held: bool,
    /// The instance that may acquire it first, if the last holder handed it over.
    #[serde(default)]
    pub next: Option<String>,
    /// The last due time for which the task was started, in Unix milliseconds; 0 if it never was.
    #[serde(default)]
    pub begun_for: u64,
}
