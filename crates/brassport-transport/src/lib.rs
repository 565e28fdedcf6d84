//! Communication between the nodes of a cluster: CBOR frames ([`frame`]), links that carry them ([`links`]), and peer
//! sampling, which gives each node a partial view of the others ([`peer_sampling`]).
//!
//! Delivery is best effort: a frame may be lost, delayed, duplicated or reordered. A caller that needs a response must
//! retry.
//!
//! The packages that use this one decide what to send, when, and to which node. Links neither authenticate nor encrypt,
//! so they are not suitable for untrusted networks.
//!
//! ```
//! use brassport_transport::frame;
//! use brassport_transport::peer_sampling::{AgedRecord, PartialView, PeerRecord};
//! use brassport_types::{DiskId, Incarnation};
//!
//! let peer = PeerRecord {
//!     ip: [10, 0, 0, 2].into(),
//!     incarnation: Incarnation(17),
//!     zone: "zone-a".to_owned(),
//!     disk: DiskId::NONE,
//!     is_core: false,
//! };
//!
//! // A record received over a link, 250 ms after its node created it.
//! let bytes = frame::encode(&AgedRecord { peer: peer.clone(), age_ms: 250 });
//! let received: AgedRecord = frame::decode(&bytes).expect("a valid record");
//!
//! let mut view = PartialView::new([10, 0, 0, 1].into(), 7);
//! assert!(view.merge(1_000, received));
//! assert_eq!(view.peer(peer.ip), Some(&peer));
//! assert_eq!(view.age(peer.ip, 1_000), Some(250));
//! ```
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod frame;
pub mod links;
pub mod peer_sampling;
