//! The membership's behaviour: the order of one source's updates, the rules between sources, Nomad's answers, and the bytes
//! of explanations.

mod book;
mod golden;
#[cfg(feature = "mutants")]
mod mutants;
#[cfg(feature = "nomad")]
mod nomad;
mod table;
