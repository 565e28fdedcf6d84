//! Tests of the rate bound over all nodes, of the rules of node and coordinator, of the retry delays of
//! rejected clients, and of the encoded messages.

mod bound;
mod cluster;
mod coordinator;
mod golden;
#[cfg(feature = "mutants")]
mod mutants;
mod node_quotas;
mod retry_delays;
