//! Estimates the typical usage of a plan's customers from meter readings.
//!
//! Readings are biased in two ways, and both are corrected:
//!
//! * A reading arrives with a response, so that only customers with admitted requests have readings, and
//!   these cover only the units that were sent. Dividing them by the admitted fraction of first attempts
//!   yields the offered load.
//! * Customers that offer more have more readings. A reading is therefore weighted by the inverse of the
//!   customer's estimated offered load.

use crate::ewma_update;
use serde::{Deserialize, Serialize};

/// Lower bound of the offered load by which a reading's weight is divided, in multiples of the quota.
const MIN_WEIGHT_DIVISOR: f64 = 0.5;

/// A reading of one customer. Rates are multiples of its quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CustomerReading {
    /// Rate sent to backends by other instances.
    pub remote_sent: f64,
    /// Rate offered to this instance.
    pub local_offered: f64,
    /// Fraction of the customer's first attempts that other instances admit.
    pub admitted_fraction: f64,
    /// Estimate, before this reading, of the rate that the customer offers.
    pub estimated_offered: f64,
}

/// Typical usage of a plan's customers, in multiples of the quota.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(expecting = "struct Usual")]
pub struct PlanUsage {
    /// Mean rate sent to backends.
    pub sent: f64,
    /// Mean rate offered by clients.
    pub offered: f64,
    /// Mean fraction of first attempts that are admitted, over all customers.
    #[serde(rename = "part")]
    admitted_fraction: f64,
}

impl PlanUsage {
    /// Creates an estimate before any reading: this usage, all of it admitted.
    pub fn new(usage: f64) -> PlanUsage {
        PlanUsage { sent: usage, offered: usage, admitted_fraction: 1.0 }
    }

    /// Records a first attempt of a customer whose requests are admitted with this probability. `weight` (0
    /// to 1) is the weight of the sample.
    pub fn record_arrival(&mut self, admitted_fraction: f64, weight: f64) {
        ewma_update(&mut self.admitted_fraction, admitted_fraction, weight);
    }

    /// Estimates the fraction of a customer's first attempts that other instances admit: the weighted mean of
    /// the fraction admitted here, `local`, and that of all customers. `confidence` (0 to 1) is the weight of
    /// `local`, the probability that the other instances have as much information about the customer as this
    /// one.
    pub fn remote_admitted_fraction(&self, local: f64, confidence: f64) -> f64 {
        confidence * local + (1.0 - confidence) * self.admitted_fraction
    }

    /// Applies a reading with this weight (0 to 1). In the mean offered load the weight is divided by the
    /// customer's estimated offered load.
    pub fn observe(&mut self, reading: CustomerReading, weight: f64) {
        let CustomerReading { remote_sent, local_offered, .. } = reading;
        let sent = (remote_sent + local_offered * reading.admitted_fraction).max(0.0);
        ewma_update(&mut self.sent, sent, weight);
        let offered = (remote_sent / self.admitted_fraction + local_offered).max(0.0);
        ewma_update(&mut self.offered, offered, weight / reading.estimated_offered.max(MIN_WEIGHT_DIVISOR));
    }
}
