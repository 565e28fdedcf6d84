//! Statistics of the request classes: each class's share of the arrivals, its response time, and the fraction
//! of it that is admitted when classes of higher value have priority.

use crate::{ewma_update, Millis};
use serde::{Deserialize, Serialize};

/// Initial values of a class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClassPrior {
    /// Priority at admission: classes of higher value are admitted first.
    pub value: f64,
    /// Response time that is assumed until the first one is measured, in milliseconds.
    pub response_ms: Millis,
}

/// Statistics by class index. A class keeps its index; classes may be added.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(expecting = "struct Kinds")]
pub struct ClassStatistics {
    /// Moving average of each class's share of the arrivals; the shares add up to 1.
    shares: Vec<f64>,
    /// Class indices by descending value.
    order: Vec<usize>,
    /// Moving average of each class's response time.
    #[serde(rename = "answers")]
    response_ms: Vec<Millis>,
    /// Longest time-out of the first attempts of each class.
    #[serde(rename = "first_waits")]
    first_timeout_ms: Vec<Millis>,
}

impl ClassStatistics {
    /// Creates statistics that assume an equal share of the arrivals for each class.
    pub fn new(classes: impl Iterator<Item = ClassPrior> + Clone) -> ClassStatistics {
        let count = classes.clone().count();
        let shares = vec![1.0 / count.max(1) as f64; count];
        let mut statistics = ClassStatistics {
            shares,
            order: Vec::new(),
            response_ms: Vec::new(),
            first_timeout_ms: Vec::new(),
        };
        statistics.reconfigure(classes);
        statistics
    }

    /// Applies a new list of classes: replaces their values and keeps their statistics. An added class starts
    /// with a share of 0.
    pub fn reconfigure(&mut self, classes: impl Iterator<Item = ClassPrior> + Clone) {
        let values: Vec<f64> = classes.clone().map(|class| class.value).collect();
        self.response_ms.extend(classes.skip(self.response_ms.len()).map(|class| class.response_ms));
        self.shares.resize(values.len(), 0.0);
        self.first_timeout_ms.resize(values.len(), 0.0);
        self.order = (0..values.len()).collect();
        self.order.sort_by(|&a, &b| values[b].total_cmp(&values[a]));
    }

    /// Returns the number of classes.
    pub fn len(&self) -> usize {
        self.shares.len()
    }

    /// Returns whether there are no classes.
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }

    /// Returns the share (0 to 1) of a class in the recent arrivals.
    pub fn share(&self, class: usize) -> f64 {
        self.shares[class]
    }

    /// Records an arrival; `weight` (0 to 1) is the weight of the sample in the moving averages of the
    /// shares.
    pub fn record_arrival(&mut self, class: usize, weight: f64) {
        for (other, share) in self.shares.iter_mut().enumerate() {
            ewma_update(share, f64::from(u8::from(other == class)), weight);
        }
    }

    /// Records a response time; `weight` (0 to 1) is the weight of the sample in the moving average of the
    /// class.
    pub fn record_response(&mut self, class: usize, time: Millis, weight: f64) {
        ewma_update(&mut self.response_ms[class], time, weight);
    }

    /// Returns the mean response time of a class, in milliseconds.
    pub fn response_ms(&self, class: usize) -> Millis {
        self.response_ms[class]
    }

    /// Returns the mean response time over all classes, weighted by their shares, in milliseconds.
    pub fn mean_response_ms(&self) -> Millis {
        self.response_ms.iter().zip(&self.shares).map(|(time, share)| time * share).sum()
    }

    /// Estimates the time from a client's first attempt to this attempt, whose time-out is `remaining`.
    /// Returns 0 for a first attempt, and for a retry whose time-out does not allow an estimate.
    ///
    /// A client limits each attempt by its own time-out and by the time left until its deadline. A time-out
    /// that is shorter than the longest one of first attempts by more than `slack` is therefore the time left
    /// until the deadline.
    pub fn elapsed_before_retry(
        &mut self,
        class: usize,
        is_retry: bool,
        remaining: Millis,
        (deadline, slack): (Millis, Millis),
    ) -> Millis {
        let longest_timeout = &mut self.first_timeout_ms[class];
        if !is_retry {
            *longest_timeout = longest_timeout.max(remaining);
        } else if remaining < *longest_timeout - slack {
            return (deadline - remaining).max(0.0);
        }
        0.0
    }

    /// Returns the fraction of a class to admit when `fraction` of all arrivals can be admitted. Classes of
    /// the lowest value are shed first. A class with a share of 0 gets `fraction`.
    pub fn admitted_fraction(&self, fraction: f64, class: usize) -> f64 {
        let shares = &self.shares;
        let mut available = fraction * shares.iter().sum::<f64>();
        for &other in &self.order {
            if other == class {
                return if shares[class] > 0.0 {
                    (available / shares[class]).clamp(0.0, 1.0)
                } else {
                    fraction
                };
            }
            available = (available - shares[other]).max(0.0);
        }
        fraction
    }
}
