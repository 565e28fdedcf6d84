//! What a script leaves to its seed.

use crate::kernel::{Nanos, MS};
use crate::random::Random;
use crate::scenario::Scenario;

/// What a script leaves to its seed.
#[derive(Debug, Clone, Copy)]
pub struct Drawn {
    /// One way of a message, least and most.
    pub latency: (Nanos, Nanos),
    /// How long after its end a period of the meter is told.
    pub meter_late: Nanos,
}

/// What this script's seed draws, from the stream that the site goes on with.
pub fn draw(scenario: &Scenario, random: &mut Random) -> Drawn {
    // Far machines take whole messages at a time: an answer that needs many turns there is late by the network.
    let far = if scenario.small_window > 0.0 { (MS, 3 * MS) } else { (5 * MS, 20 * MS) };
    let latency = random.pick(&[(100_000, 300_000), (MS, MS), (300_000, 3 * MS), far]);
    Drawn { latency, meter_late: random.between(220, 1400) * MS }
}

/// What this script's seed draws.
pub fn drawn(scenario: &Scenario) -> Drawn {
    draw(scenario, &mut Random::new(scenario.seed, 2))
}
