//! The instances of a fleet: what `brassport-fleet` decides, round a consensus engine, a network and a disk.
//!
//! - [`seal`] lets nobody in without the site's key.
//! - [`log`] and [`instance`] are one voter without I/O but for its disk.
//! - [`call`] is the transport between processes of a fleet.
//! - [`host`] runs a voter.
//! - [`place`] is an instance's directory.
//! - [`identity`] is a door's name over its processes.
//! - [`record`] is the file in which a door writes down what it acted on.
//! - [`tasks`] does what belongs to the fleet where this instance holds the lease; [`guard`] binds a command to it.
//! - [`door`] keeps a front door in its fleet.
#![forbid(unsafe_code)]

pub mod call;
pub mod door;
pub mod guard;
pub mod host;
pub mod identity;
pub mod instance;
pub mod log;
pub mod place;
pub mod record;
pub mod seal;
pub mod tasks;
