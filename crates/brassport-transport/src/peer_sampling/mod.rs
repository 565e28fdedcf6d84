//! Peer sampling (Jelasity et al., "Gossip-based peer sampling", 2007): each node has a partial view of the others, and
//! periodically exchanges a few records with a peer, so that views stay fresh and close to uniform random samples of
//! all nodes. The module does no I/O: the host sends and receives the records.
//!
//! A record is forwarded with its age. Of two records of the same node, the younger one is kept. Records above a
//! maximum age are dropped, so that a node that no longer creates records disappears from all views.

mod record;
mod view;

pub use record::{AgedRecord, PeerRecord};
pub use view::{PartialView, MAX_AGE_MS, MAX_PEERS};
