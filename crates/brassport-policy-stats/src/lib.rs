//! Counters, estimators and ordered collections of the decision module `brassport-policy`.
//!
//! Each type maintains one statistic. An operation takes constant or logarithmic time in the number of
//! entries. The types make no decisions (`brassport-policy` decides which requests are admitted and which
//! server gets an attempt), do no I/O and read no clock. Times are arguments, in milliseconds of one
//! monotonic clock, and must not decrease between calls.
//!
//! | concept | type |
//! | --- | --- |
//! | arrival rate with decaying weights | [`ExponentialRate`] |
//! | average that decays to 1 | [`DecayingFactor`], [`ewma_update`] |
//! | token buckets: local and shared with other instances | [`TokenBucket`], [`SharedTokenBucket`] |
//! | attempts in flight by age | [`InFlightAttempts`] |
//! | units sent over time | [`SendLog`] |
//! | values of a setting over time | [`ValueHistory`] |
//! | end and reporting delay of the meter's periods | [`MeterClock`] |
//! | usage at other instances; typical usage of a plan's customers | [`RemoteUsage`], [`PlanUsage`] |
//! | probability of a retry after a rejection | [`RetryEstimator`] |
//! | effect of retries on admission | [`eventual_admission_fraction`], [`attempt_admission_probability`] |
//! | classes: shares, response times, admission by value | [`ClassStatistics`] |
//! | rejections and their log lines | [`RejectionCounts`] |
//! | weighted sampling on a hash ring | [`WeightedRing`] |
//! | identifiers by due time | [`DueQueue`] |
//! | maps with trusted or untrusted keys, cyclic scans | [`UntrustedKeyMap`], [`TrustedKeyMap`], [`CyclicCursor`] |
//!
//! Several types are part of the hand-over state that `brassport-policy` serializes. `#[serde(rename)]` fixes
//! their names in the serialized form and `#[serde(expecting)]` those in its error messages. These names must
//! not change.
//!
//! ```
//! use brassport_policy_stats::{InFlightAttempts, TokenBucket};
//!
//! let mut bucket = TokenBucket::empty(0.0);
//! bucket.refill(500.0, 4.0, 10.0);
//! assert!(bucket.try_take(2.0) && !bucket.try_take(1.0));
//!
//! let mut attempts = InFlightAttempts::new([100.0]);
//! attempts.start(0.0);
//! attempts.start(60.0);
//! assert_eq!((attempts.len(), attempts.count_within(0, 120.0)), (2, 1));
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

mod class_statistics;
mod decaying_factor;
mod due_queue;
mod exponential_rate;
mod in_flight;
mod maps;
mod meter_clock;
mod plan_usage;
mod rejection_counts;
mod remote_usage;
mod retry_estimator;
mod send_log;
mod shared_token_bucket;
mod token_bucket;
mod value_history;
mod weighted_ring;

pub use class_statistics::{ClassPrior, ClassStatistics};
pub use decaying_factor::{ewma_update, DecayingFactor};
pub use due_queue::DueQueue;
pub use exponential_rate::ExponentialRate;
pub use in_flight::{AttemptHandle, InFlightAttempts};
pub use maps::{remove_and_shrink, CyclicCursor, TrustedKeyMap, UntrustedKeyMap};
pub use meter_clock::MeterClock;
pub use plan_usage::{CustomerReading, PlanUsage};
pub use rejection_counts::{ejection_log_line, RejectionCounts};
pub use remote_usage::{ReadingDecay, RemoteUsage, UsageWindow};
pub use retry_estimator::{attempt_admission_probability, eventual_admission_fraction, RetryEstimator};
pub use send_log::SendLog;
pub use shared_token_bucket::{BucketFlow, SharedTokenBucket};
pub use token_bucket::TokenBucket;
pub use value_history::ValueHistory;
pub use weighted_ring::{ring_position, WeightedRing};

/// A time of a monotonic clock or a duration, in milliseconds.
pub type Millis = f64;
