//! The quota's behaviour: the bound over all nodes, each side's rules, the advice to rejected clients, and the bytes of the
//! messages.

mod bound;
mod cluster;
mod coordinator;
mod golden;
#[cfg(feature = "mutants")]
mod mutants;
mod node_quotas;
mod retry_advice;
