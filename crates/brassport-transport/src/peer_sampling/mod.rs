//! Peer sampling (Jelasity et al., "Gossip-based peer sampling", 2007): each node has a partial view of the others, and
//! shuffles a few of its records with a neighbour now and then, so that views stay fresh and close to random samples of
//! all. No I/O: the host carries the records.
//!
//! A record is passed on with its age. Of two records of one machine the younger wins; one that is too old is dropped, so
//! that a node which makes none any more is forgotten by all.

mod record;
mod view;

pub use record::{AgedRecord, PeerRecord};
pub use view::{PartialView, MAX_AGE_MS, MAX_PEERS};
