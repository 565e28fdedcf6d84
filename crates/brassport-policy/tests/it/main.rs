//! Tests of the decision module through its public interface. The memory test is a separate binary, as it
//! counts the allocations of its process.

mod admission;
mod client_disconnect;
mod common;
mod golden;
mod handover;
mod invariants;
mod late_meter;
mod load_balancer_model;
mod load_balancing;
mod outlier_detection;
mod overload;
mod reconfiguration;
mod rules;
mod slow_start;
mod uploads;
mod wire;
