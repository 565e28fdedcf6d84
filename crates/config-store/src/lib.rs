//! The operator's word: configurations and their check ([`configuration`]), the chain of versions that a majority of
//! voters agrees on ([`consensus`]), and a voter's store on disk ([`store`]).
#![forbid(unsafe_code)]

pub mod configuration;
pub mod consensus;
pub mod store;
