//! Tests of each type against a simple reference implementation, and of its edge cases.

mod class_statistics;
mod cyclic_cursor;
mod due_queue;
mod in_flight;
mod meter_clock;
mod plan_usage;
mod rejection_counts;
mod remote_usage;
mod retry_estimator;
mod send_log;
mod shared_token_bucket;
mod value_history;
mod weighted_ring;
