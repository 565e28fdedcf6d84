//! What is known of each request class: its share of the arrivals, its response time, and what part of it is admitted
//! when classes of higher value go first.

use crate::{ewma_update, Millis};
use serde::{Deserialize, Serialize};

/// What a class starts from.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ClassPrior {
    /// Value of a request: classes of higher value are admitted first.
    pub value: f64,
    /// Response time that is assumed before any was measured.
    pub response_ms: Millis,
}

/// Statistics by class index. A class keeps its index; classes may be added.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(expecting = "struct Kinds")]
pub struct ClassStatistics {
    /// Moving averages; they add up to 1.
    shares: Vec<f64>,
    /// Class indices from the highest value down.
    order: Vec<usize>,
    #[serde(rename = "answers")]
    response_ms: Vec<Millis>,
    /// Longest time-out that first attempts of each class came with.
    #[serde(rename = "first_waits")]
    first_timeout_ms: Vec<Millis>,
}

impl ClassStatistics {
    /// Statistics of these classes, which are assumed to arrive equally often.
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

    /// Applies a new list of classes: values are replaced, statistics stay, and an added class starts with a share of 0.
    pub fn reconfigure(&mut self, classes: impl Iterator<Item = ClassPrior> + Clone) {
        let values: Vec<f64> = classes.clone().map(|class| class.value).collect();
        self.response_ms.extend(classes.skip(self.response_ms.len()).map(|class| class.response_ms));
        self.shares.resize(values.len(), 0.0);
        self.first_timeout_ms.resize(values.len(), 0.0);
        self.order = (0..values.len()).collect();
        self.order.sort_by(|&a, &b| values[b].total_cmp(&values[a]));
    }

    /// Number of classes.
    pub fn len(&self) -> usize {
        self.shares.len()
    }

    /// Whether there is no class.
    pub fn is_empty(&self) -> bool {
        self.shares.is_empty()
    }

    /// Share of a class in the recent arrivals.
    pub fn share(&self, class: usize) -> f64 {
        self.shares[class]
    }

    /// Records an arrival, of this weight (0 to 1) in the shares.
    pub fn record_arrival(&mut self, class: usize, weight: f64) {
        for (other, share) in self.shares.iter_mut().enumerate() {
            ewma_update(share, f64::from(u8::from(other == class)), weight);
        }
    }

    /// Records a response time, of this weight (0 to 1) in the class's mean.
    pub fn record_response(&mut self, class: usize, time: Millis, weight: f64) {
        ewma_update(&mut self.response_ms[class], time, weight);
    }

    /// Mean response time of a class, in milliseconds.
    pub fn response_ms(&self, class: usize) -> Millis {
        self.response_ms[class]
    }

    /// Mean response time over all classes by their shares, in milliseconds.
    pub fn mean_response_ms(&self) -> Millis {
        self.response_ms.iter().zip(&self.shares).map(|(time, share)| time * share).sum()
    }

    /// How long a client has been trying before a retry with `remaining` time left, as far as it shows.
    ///
    /// A client bounds each attempt by its own time-out and by what is left of its deadline. So a retry that comes with
    /// less time than first attempts do, by more than `slack`, is bounded by the deadline. First attempts return 0.
    pub fn elapsed_before_retry(
        &mut self,
        class: usize,
        is_retry: bool,
        remaining: Millis,
        (deadline, slack): (Millis, Millis),
    ) -> Millis {
        let longest = &mut self.first_timeout_ms[class];
        if !is_retry {
            *longest = longest.max(remaining);
        } else if remaining < *longest - slack {
            return (deadline - remaining).max(0.0);
        }
        0.0
    }

    /// The fraction of a class to admit when `fraction` of all arrivals can be admitted and classes of higher value go
    /// first: the lowest value is shed first.
    pub fn admitted_fraction(&self, fraction: f64, class: usize) -> f64 {
        let shares = &self.shares;
        let mut left = fraction * shares.iter().sum::<f64>();
        for &other in &self.order {
            if other == class {
                return if shares[class] > 0.0 { (left / shares[class]).clamp(0.0, 1.0) } else { fraction };
            }
            left = (left - shares[other]).max(0.0);
        }
        fraction
    }
}
