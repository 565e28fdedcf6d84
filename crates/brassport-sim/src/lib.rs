//! Seeded fault simulation of the front door.
//!
//! Several real front doors (the code of the crate `brassport`, unchanged), scripted nodes, discovery agents and
//! clients run in one thread on a virtual clock. A seed draws a script of requests and faults; an oracle checks the
//! five rules after every event, from what passed on the simulated wire and what the nodes executed. The same seed
//! gives the same run, byte for byte.
//!
//! It is not a model of the front door, and not a bench: it measures nothing but whether rules are kept.
//!
//! ```
//! use brassport_sim::{play, scenario::Scenario};
//!
//! let report = play(&Scenario::draw(7));
//! assert_eq!(report.violation, None);
//! assert_eq!(report.digest, play(&Scenario::draw(7)).digest);
//! ```
#![forbid(unsafe_code)]

mod agent;
mod api;
pub mod campaign;
mod client;
mod dns;
mod door;
mod drawn;
mod http;
pub mod kernel;
mod meter;
mod node;
pub mod oracle;
mod places;
pub mod random;
pub mod scenario;
mod script;
pub mod seams;
pub mod shrink;
mod site;
pub mod trace;

pub use client::Totals;
pub use drawn::{drawn, Drawn};
pub use meter::{BURST_S, CEILING, PLAN_RATES};
pub use site::Report;
use trace::Trace;

/// Plays a script.
pub fn play(scenario: &scenario::Scenario) -> Report {
    door::catch_panics();
    site::run(scenario, Trace::default()).0
}

/// Plays a script and keeps what passed.
pub fn play_traced(scenario: &scenario::Scenario) -> (Report, Trace) {
    door::catch_panics();
    site::run(scenario, Trace::with_lines())
}
