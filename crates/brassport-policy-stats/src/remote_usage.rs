//! Estimates a customer's usage at other instances from readings of a shared meter.

use crate::{ewma_update, Millis};
use serde::{Deserialize, Serialize};

/// The time constant with which readings decay: the time in which `units` arrive, but at least `units` times
/// the mean time between readings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ReadingDecay {
    /// Rate at which the units arrive, in units per second.
    pub rate_per_s: f64,
    /// Number of units after whose arrival a reading has decayed to 1/e of its weight.
    pub units: f64,
}

/// A period of observation and the usage in this period.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UsageWindow {
    /// Length of the period, in seconds.
    pub seconds: f64,
    /// Units sent to backends.
    pub sent: f64,
    /// Units offered by clients.
    pub offered: f64,
}

/// Usage at other instances in the periods that readings cover. Readings decay with age.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(expecting = "struct Elsewhere")]
pub struct RemoteUsage {
    seconds: f64,
    sent: f64,
    offered: f64,
    #[serde(rename = "at")]
    updated_at: Option<Millis>,
    #[serde(rename = "gap")]
    reading_gap_s: f64,
}

impl RemoteUsage {
    /// Creates an estimate without readings. `reading_gap_s` is the expected time between readings, in
    /// seconds.
    pub fn new(reading_gap_s: f64) -> RemoteUsage {
        RemoteUsage { seconds: 0.0, sent: 0.0, offered: 0.0, updated_at: None, reading_gap_s }
    }

    /// Returns the mean time between readings, in seconds.
    pub fn reading_gap_s(&self) -> f64 {
        self.reading_gap_s
    }

    fn retained_fraction(&self, now: Millis, decay: ReadingDecay) -> f64 {
        let time_constant_s = decay.units * (1.0 / decay.rate_per_s).max(self.reading_gap_s);
        self.updated_at.map_or(0.0, |at| (-(now - at) / 1000.0 / time_constant_s).exp())
    }

    /// Returns the sum of the readings, decayed to `now`.
    pub fn decayed(&self, now: Millis, decay: ReadingDecay) -> UsageWindow {
        let retained = self.retained_fraction(now, decay);
        UsageWindow {
            seconds: self.seconds * retained,
            sent: self.sent * retained,
            offered: self.offered * retained,
        }
    }

    /// Returns the weight (0 to 1) of the readings in an estimate whose prior has the weight of `prior_units`
    /// units.
    pub fn confidence(&self, now: Millis, decay: ReadingDecay, prior_units: f64) -> f64 {
        let seconds = self.decayed(now, decay).seconds;
        seconds / (prior_units / decay.rate_per_s + seconds)
    }

    /// Adds a reading of other instances. `gap_weight` (0 to 1) is the weight of the time since the last
    /// reading in the mean time between readings.
    pub fn observe(&mut self, now: Millis, decay: ReadingDecay, reading: UsageWindow, gap_weight: f64) {
        if let Some(at) = self.updated_at {
            ewma_update(&mut self.reading_gap_s, (now - at) / 1000.0, gap_weight);
        }
        let past = self.decayed(now, decay);
        self.updated_at = Some(now);
        self.seconds = past.seconds + reading.seconds;
        self.sent = (past.sent + reading.sent).max(0.0);
        self.offered = (past.offered + reading.offered).max(0.0);
    }
}
