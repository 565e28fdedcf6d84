//! A small DNS stub resolver without I/O: it asks recursive resolvers for SRV, A and AAAA records, keeps what they
//! say for as long as they say, and asks anew before that ends.
//!
//! - [`question`] holds names, questions and records as plain data.
//! - [`message`] is the boundary to the codec (`hickory-proto`): bytes in, plain data or an error out.
//! - [`resolver`] is the state machine: [`handle`](resolver::Resolver::handle) takes events, and says what to send.
//!
//! Nothing here opens a socket or reads a clock. It validates no DNSSEC signature: an answer is trusted as far as the
//! path to the configured resolvers is, with the defences that RFC 5452 names against who is not on that path.
//!
//! ```
//! use brassport_resolver::question::{Kind, Name, Question};
//! use brassport_resolver::resolver::{Action, Event, Resolver, Settings};
//!
//! let settings = Settings::of(vec!["127.0.0.1:53".parse().unwrap()]);
//! let mut resolver = Resolver::new(settings, [7; 32]);
//! let service = Question::new(&Name::parse("_render._tcp.example.org").unwrap(), Kind::Srv);
//! let mut actions = Vec::new();
//! resolver.want(0, service);
//! resolver.handle(0, Event::Wake, &mut actions);
//! assert!(matches!(&actions[..], [Action::Datagram { .. }]));
//! ```
#![forbid(unsafe_code)]

pub mod message;
pub mod mutants;
pub mod question;
pub mod resolver;
pub mod servers;

/// Milliseconds of a monotonic clock, since any fixed start.
pub type Millis = u64;
