//! The fleet emulator: sizes that the seeded simulation cannot reach, in virtual time.
//!
//! Real are the decision module, one for each front door, and the book of nodes. Modelled are the rest: a connection
//! is a delay, a node is some workers behind a bounded queue, a client waits, tries again as told, and gives up. What
//! it leaves out: bytes, parsing, descriptors, the front doors' own processor time, loss, and news that reach the front
//! doors out of order. The book is one for all front doors, as all follow the same source; each hears of a change
//! later by a delay of its own.
//!
//! The same site and seed give the same figures, on any machine and with any number of others beside them.

pub mod baseline;
mod figures;
mod nodes;
pub mod site;
pub mod twin;
mod world;

pub use figures::Figures;
pub use site::{Fault, Policy, Site};

/// Plays a site.
pub fn play(site: &Site, seed: u64) -> Figures {
    world::World::new(site.clone(), seed).run()
}
