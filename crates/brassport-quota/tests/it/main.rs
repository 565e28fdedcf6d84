//! The quota's behaviour: the bound over all nodes, each side's rules, the advice to rejected clients, and the bytes of the
//! messages.

mod borrower;
mod bound;
mod cluster;
mod golden;
mod lender;
#[cfg(feature = "mutants")]
mod mutants;
mod retry_advice;
