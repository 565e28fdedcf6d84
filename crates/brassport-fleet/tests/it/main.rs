//! Tests of the shared state, rights to act and fences, records, clocks and audits, and of their serialized forms.

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
