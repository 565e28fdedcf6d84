//! The fleet's decisions: the shared state, rights to act and fences, records, clocks, audits, and the bytes of all of them.

mod audit;
mod clocks;
mod fence;
mod golden;
#[cfg(feature = "mutants")]
mod mutants;
mod record;
mod shared;
mod simulation;
mod standing;
