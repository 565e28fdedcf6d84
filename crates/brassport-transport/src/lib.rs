//! How the processes of a cluster reach one another: frames in CBOR ([`frame`]), links that carry them ([`links`]), and
//! peer sampling, by which each node has a partial view of the others ([`peer_sampling`]).
//!
//! Delivery is best effort: a frame may be lost, late, duplicated or reordered. Who needs an answer sends the request again.
//!
//! Not for decisions: what is sent, when and to whom is up to the packages above. Not for untrusted networks either: links
//! neither authenticate nor encrypt.
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
//! // A record as it comes over a link, 250 ms after its node made it.
//! let bytes = frame::encode(&AgedRecord { peer: peer.clone(), age_ms: 250 });
//! let received: AgedRecord = frame::decode(&bytes).expect("these are the bytes of a record");
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
