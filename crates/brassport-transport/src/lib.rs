//! What the processes of the gateway say to one another: frames in CBOR ([`frame`]), links that carry them
//! ([`links`]), and partial views of who is there ([`peer_sampling`]).
//!
//! A message is lost, late or repeated as the network pleases: whoever needs an answer asks again. Nothing here
//! decides; the crates above say what is sent.
//!
//! ```
//! use brassport_transport::frame;
//! let bytes = frame::encode(&("place", 7_u64));
//! assert_eq!(frame::decode::<(String, u64)>(&bytes), Some(("place".to_owned(), 7)));
//! ```
#![forbid(unsafe_code)]

pub mod frame;
pub mod links;
pub mod peer_sampling;
