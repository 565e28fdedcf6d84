//! Where this door stands among all doors: the middle of the part of the backends that it sends to.

use crate::control::Control;

impl Control {
    /// The position on the ring of backends, from 0 up to 1.
    pub fn ring_position(&self) -> f64 {
        let before = self.views.cards().filter(|card| card.ip < self.start.card.ip).count();
        let doors = self.replica.state().slots.max(1);
        (f64::from((before as u32).min(doors - 1)) + 0.5) / f64::from(doors)
    }
}
