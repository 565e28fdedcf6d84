//! What customers of a plan typically send and offer, as far as meter readings show.
//!
//! Readings are biased in two ways, and both are corrected. A reading comes with a response, so only of customers some
//! of whose requests were admitted: the admitted fraction of first attempts turns usage sent into usage offered. And a
//! customer is read the more often the more it offers: a reading is weighted by the inverse of that.

use crate::ewma_update;
use serde::{Deserialize, Serialize};

/// Least offered load by which a reading's weight is divided, in quotas.
const MIN_OFFERED: f64 = 0.5;

/// A reading of one customer; rates in multiples of its quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CustomerReading {
    /// What other instances sent.
    pub remote_sent: f64,
    /// What was offered here.
    pub local_offered: f64,
    /// Fraction of the customer's first attempts that other instances admit.
    pub admitted_fraction: f64,
    /// What the customer was estimated to offer before this reading.
    pub estimated_offered: f64,
}

/// Typical usage of a plan's customers, in multiples of the quota.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Usual")]
pub struct PlanUsage {
    /// Mean of what is sent to the back end.
    pub sent: f64,
    /// Mean of what clients offer.
    pub offered: f64,
    /// Fraction of first attempts that are admitted, over all customers.
    #[serde(rename = "part")]
    admitted_fraction: f64,
}

impl PlanUsage {
    /// Before any reading: this usage, all of it admitted.
    pub fn new(usage: f64) -> PlanUsage {
        PlanUsage { sent: usage, offered: usage, admitted_fraction: 1.0 }
    }

    /// Records a first attempt of a customer of whom this fraction is admitted, with this weight (0 to 1).
    pub fn record_arrival(&mut self, admitted_fraction: f64, weight: f64) {
        ewma_update(&mut self.admitted_fraction, admitted_fraction, weight);
    }

    /// The fraction of a customer that other instances admit: as here, by the `confidence` (0 to 1) that they know it
    /// as well, and else as of all customers.
    pub fn remote_admitted_fraction(&self, local: f64, confidence: f64) -> f64 {
        confidence * local + (1.0 - confidence) * self.admitted_fraction
    }

    /// Applies a reading with this weight (0 to 1); for the offered load it is divided by the estimated one.
    pub fn observe(&mut self, reading: CustomerReading, weight: f64) {
        let CustomerReading { remote_sent, local_offered, .. } = reading;
        let sent = (remote_sent + local_offered * reading.admitted_fraction).max(0.0);
        ewma_update(&mut self.sent, sent, weight);
        let offered = (remote_sent / self.admitted_fraction + local_offered).max(0.0);
        ewma_update(&mut self.offered, offered, weight / reading.estimated_offered.max(MIN_OFFERED));
    }
}
