//! Declared experiments on the front door's decisions.
//!
//! A [`study::Study`] is a matrix of factors by seeds with what to measure and the bounds that make it fail. A
//! [`backend`] plays its rows; [`run`] plays them in parallel, keeps each durably and sums up with [`stats`];
//! [`report`] draws, [`comparison`] pairs two runs.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod backend;
pub mod comparison;
pub mod emulator;
pub mod report;
pub mod results;
pub mod run;
pub mod sockets;
pub mod stats;
pub mod study;
