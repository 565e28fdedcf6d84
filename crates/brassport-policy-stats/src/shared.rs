//! A store that others draw from too: what is in it by now, as far as own counts and readings tell. It decides nothing.

use crate::{Millis, Sends};
use serde::{Deserialize, Serialize};

/// Flows into and out of a store, units a second, and its size.
#[derive(Debug, Clone, Copy)]
pub struct Flow {
    /// What comes in.
    pub rate: f64,
    /// What others likely take.
    pub elsewhere: f64,
    /// Most that it holds.
    pub size: f64,
}

/// The store: settled up to some moment, and own sends that readings may still tell of.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Shared {
    level: f64,
    told: Millis,
    sends: Sends,
}

impl Shared {
    /// With so much in it at a moment.
    pub fn new(level: f64, told: Millis) -> Shared {
        Shared { level, told, sends: Sends::default() }
    }

    /// Up to when it is settled.
    pub fn told(&self) -> Millis {
        self.told
    }

    /// Own sends that are not settled.
    pub fn sends(&self) -> &Sends {
        &self.sends
    }

    /// Notes own units that were sent.
    pub fn sent(&mut self, now: Millis, units: f64) {
        self.sends.push(now, units);
    }

    /// Content at a moment behind the settled one.
    pub fn content(&self, at: Millis, flow: Flow) -> f64 {
        let flows = (flow.rate - flow.elsewhere) * (at - self.told) / 1000.0;
        (self.level + flows - self.sends.between(self.told, at)).clamp(0.0, flow.size)
    }

    /// Takes for settled what no reading told of up to then.
    pub fn advance(&mut self, to: Millis, flow: Flow) {
        if to > self.told {
            self.level = self.content(to, flow);
            self.told = to;
        }
    }

    /// Settles, and drops, what is too old for a reading to tell of.
    pub fn settle(&mut self, keep: Millis, flow: Flow) {
        self.advance(keep, flow);
        self.sends.drop_before(keep);
    }

    /// A reading told that all together used this part of the inflow up to then, from the settled moment on.
    pub fn read(&mut self, to: Millis, used: f64, flow: Flow) {
        let seconds = (to - self.told).max(0.0) / 1000.0;
        self.level = (self.level + (1.0 - used) * flow.rate * seconds).clamp(0.0, flow.size);
        self.told = self.told.max(to);
    }

    /// Own units since the settled moment beyond what comes in a second at this rate.
    pub fn beyond(&self, now: Millis, rate: f64) -> f64 {
        (self.sends.between(self.told, now) - rate * (now - self.told) / 1000.0).max(0.0)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    const FLOW: Flow = Flow { rate: 2.0, elsewhere: 0.5, size: 10.0 };

    #[test]
    fn it_fills_and_is_drawn_from_here_and_elsewhere() {
        let mut store = Shared::new(4.0, 0.0);
        assert_eq!(store.content(2000.0, FLOW), 7.0);
        store.sent(1000.0, 3.0);
        assert_eq!(store.content(2000.0, FLOW), 4.0);
        assert_eq!(store.beyond(2000.0, 0.5), 2.0);
        assert_eq!(store.content(60_000.0, FLOW), 10.0, "no more than it holds");
        // All that came in was used: what was sent here is a part of that.
        store.read(2000.0, 1.0, FLOW);
        assert_eq!((store.content(2000.0, FLOW), store.told()), (4.0, 2000.0));
        store.read(1000.0, 0.0, FLOW);
        assert_eq!(store.told(), 2000.0, "what is settled stays so");
    }

    proptest! {
        #[test]
        fn settling_in_steps_comes_to_what_it_is_at_once_as_long_as_it_is_neither_full_nor_empty(
            sends in prop::collection::vec((1u16..900, 0u8..3), 0..20),
            cuts in prop::collection::vec(0u32..10_000, 0..6),
        ) {
            let flow = Flow { rate: 2.0, elsewhere: 0.5, size: 1e6 };
            let (mut at_once, mut in_steps, mut now) = (Shared::new(1e5, 0.0), Shared::new(1e5, 0.0), 0.0);
            for (gap, units) in sends {
                now += f64::from(gap);
                at_once.sent(now, f64::from(units));
                in_steps.sent(now, f64::from(units));
            }
            let mut cuts = cuts;
            cuts.sort_unstable();
            cuts.into_iter().for_each(|cut| in_steps.settle(f64::from(cut).min(now), flow));
            let (one, other) = (at_once.content(20_000.0, flow), in_steps.content(20_000.0, flow));
            prop_assert!((one - other).abs() < 1e-6, "{one} {other}");
        }
    }
}
