//! What customers who share a meter usually do, as far as readings tell. It decides nothing.
//!
//! Two things bend what readings show, and are taken out of it. One comes only of a customer some of whose requests
//! were let in: what all are let in of first tries turns what is sent into what is offered. And the more a customer
//! asks for, the more often it is read: a reading counts the less, the more its customer was taken to offer.

use crate::blend;
use serde::{Deserialize, Serialize};

/// Least that a customer is taken to offer, in parts of its quota, when its reading is weighed.
const LEAST: f64 = 0.5;

/// What a customer usually sends and offers, in parts of its quota, and the part that is let in of first tries.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Usual {
    /// Sent on.
    pub sent: f64,
    /// Offered.
    pub offered: f64,
    part: f64,
}

impl Usual {
    /// Nothing was read: all of this use was offered and let in.
    pub fn new(used: f64) -> Usual {
        Usual { sent: used, offered: used, part: 1.0 }
    }

    /// A first try came, of a customer of whose tries this part is let in; it counts with this weight.
    pub fn came(&mut self, part: f64, weight: f64) {
        blend(&mut self.part, part, weight);
    }

    /// The part that others let in of a customer: as here, as far as it is known, and of the rest as of all who come.
    pub fn part(&self, own: f64, known: f64) -> f64 {
        known * own + (1.0 - known) * self.part
    }

    /// Takes in a reading of a customer, in parts of its quota: what others sent of it, what came here, and the part of it
    /// that is let in. It was taken to offer `offers`; one that offers its whole quota counts with this weight.
    pub fn learn(&mut self, (others, own, part): (f64, f64, f64), weight: f64, offers: f64) {
        blend(&mut self.sent, (others + own * part).max(0.0), weight);
        blend(&mut self.offered, (others / self.part + own).max(0.0), weight / offers.max(LEAST));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Customers of two kinds, one in eight heavy, who are read as often as they are let in.
    #[test]
    fn readings_of_those_who_come_tell_what_a_customer_offers() {
        let mut usual = Usual::new(0.5);
        let kinds: [(f64, usize); 2] = [(0.5, 14), (2.5, 2)];
        // Per round as many tries of each kind as it offers, a third of which are let in; readings come of those.
        for _ in 0..400 {
            for (offers, customers) in kinds {
                for _ in 0..customers * (2.0 * offers) as usize {
                    usual.came(0.4, 0.03);
                }
                for _ in 0..customers * (2.0 * offers) as usize {
                    usual.learn((0.4 * offers, 0.0, 0.4), 0.01, offers);
                }
            }
        }
        let plain = (0.5 * 14.0 + 2.5 * 2.0) / 16.0;
        assert!((usual.offered - plain).abs() < 0.1, "{} of {plain} offered", usual.offered);
        assert!((usual.part(1.0, 0.0) - 0.4).abs() < 1e-3, "as of all who come");
        assert_eq!(usual.part(0.9, 1.0), 0.9, "as here, where the customer is known");
    }

    #[test]
    fn what_others_sent_is_a_part_of_what_came_to_them_not_to_this_one() {
        let mut usual = Usual::new(0.5);
        for _ in 0..500 {
            usual.came(0.8, 0.03);
            // This one knows that customer well, and lets in a tenth of it.
            usual.learn((2.0, 0.0, 0.1), 0.05, 1.0);
        }
        assert!((usual.offered - 2.5).abs() < 0.01, "{}", usual.offered);
    }

    #[test]
    fn those_who_are_read_oftener_by_being_heavier_do_not_raise_it() {
        let learn = |weighed: bool| {
            let mut usual = Usual::new(1.0);
            for turn in 0..2000 {
                let offers = if turn % 5 == 0 { 3.0 } else { 0.75 };
                usual.learn((offers, 0.0, 1.0), 0.01, if weighed { offers } else { 1.0 });
            }
            usual.offered
        };
        assert!(learn(true) < learn(false) - 0.1, "{} and {}", learn(true), learn(false));
    }
}
