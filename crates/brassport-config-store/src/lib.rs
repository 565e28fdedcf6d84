//! Configurations and their check ([`configuration`]), consensus on their versions by a majority of voters
//! ([`consensus`]), and a voter's store on disk ([`store`]).
#![forbid(unsafe_code)]

pub mod configuration;
pub mod consensus;
pub mod store;
