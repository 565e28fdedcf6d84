//! Partial views: each door knows some of the others, and swaps a few of them with a neighbour now and then, so that
//! what it knows stays fresh and drawn from all. No I/O.
//!
//! A member goes from hand to hand with its age. The younger of two members of a machine holds; one that nobody has seen for
//! long is dropped.

use brassport_types::{DiskId, Incarnation};
use oorandom::Rand64;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

pub use brassport_types::Millis;

/// Most members that a door holds.
pub const MAX_PEERS: usize = 40;
/// A member older than this is dropped.
pub const STALE: Millis = 9_000;
/// Cards swapped at a time, beside the own.
const SWAPPED: usize = 2;

/// What a node tells of itself. On the wire it is a row: names of fields would weigh more than what they hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "PeerRow", into = "PeerRow")]
pub struct PeerRecord {
    /// Its address.
    pub ip: Ipv4Addr,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: String,
    /// Its disk, if it may vote; else [`DiskId::NONE`].
    pub disk: DiskId,
    /// Whether it belongs to the core: its loss counts against what the system survives (`counted` in the settings).
    pub is_core: bool,
}

type PeerRow = (u32, Incarnation, String, DiskId, bool);

impl From<PeerRow> for PeerRecord {
    fn from((ip, incarnation, zone, disk, is_core): PeerRow) -> PeerRecord {
        PeerRecord { ip: Ipv4Addr::from(ip), incarnation, zone, disk, is_core }
    }
}

impl From<PeerRecord> for PeerRow {
    fn from(peer: PeerRecord) -> PeerRow {
        (u32::from(peer.ip), peer.incarnation, peer.zone, peer.disk, peer.is_core)
    }
}

/// A peer record as it is passed on, with its age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(PeerRecord, u32)", into = "(PeerRecord, u32)")]
pub struct AgedRecord {
    /// The record.
    pub peer: PeerRecord,
    /// Milliseconds since its node made it.
    pub age_ms: u32,
}

impl From<(PeerRecord, u32)> for AgedRecord {
    fn from((peer, age_ms): (PeerRecord, u32)) -> AgedRecord {
        AgedRecord { peer, age_ms }
    }
}

impl From<AgedRecord> for (PeerRecord, u32) {
    fn from(aged: AgedRecord) -> (PeerRecord, u32) {
        (aged.peer, aged.age_ms)
    }
}

/// The doors that this one knows.
#[derive(Debug)]
pub struct PartialView {
    me: Ipv4Addr,
    /// Each member, and when it was made.
    members: BTreeMap<Ipv4Addr, (PeerRecord, Millis)>,
    rng: Rand64,
}

impl PartialView {
    /// Knows nobody yet.
    pub fn new(me: Ipv4Addr, seed: u64) -> PartialView {
        PartialView { me, members: BTreeMap::new(), rng: Rand64::new(u128::from(seed)) }
    }

    /// Those known, in the order of their addresses.
    pub fn peers(&self) -> impl Iterator<Item = &PeerRecord> {
        self.members.values().map(|(member, _)| member)
    }

    /// One of them.
    pub fn peer(&self, ip: Ipv4Addr) -> Option<&PeerRecord> {
        self.members.get(&ip).map(|(member, _)| member)
    }

    /// How long ago a machine was last known to be alive.
    pub fn age(&self, ip: Ipv4Addr, now: Millis) -> Option<Millis> {
        self.members.get(&ip).map(|(_, made)| now.saturating_sub(*made))
    }

    /// How many are known.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether nobody is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Takes in a member of such an age. Whether its machine, or its life, is new here.
    pub fn merge(&mut self, now: Millis, record: AgedRecord) -> bool {
        let AgedRecord { peer: member, age_ms } = record;
        let made = now.saturating_sub(Millis::from(age_ms));
        if member.ip == self.me || Millis::from(age_ms) > STALE {
            return false;
        }
        let known = self.members.get(&member.ip);
        if known.is_some_and(|(_, at)| *at >= made) {
            return false;
        }
        let is_new = known.is_none_or(|(old, _)| old.incarnation != member.incarnation);
        self.members.insert(member.ip, (member, made));
        if self.members.len() > MAX_PEERS {
            // Any one goes, so that all views stay draws from all.
            if let Some(ip) = self.sample(1, |_| true).first().copied() {
                self.members.remove(&ip);
            }
        }
        is_new
    }

    /// Drops what nobody has seen for long.
    pub fn expire(&mut self, now: Millis) {
        self.members.retain(|_, (_, made)| now <= *made + STALE);
    }

    /// Some of those that fit, drawn evenly.
    pub fn sample(&mut self, most: usize, fits: impl Fn(&PeerRecord) -> bool) -> Vec<Ipv4Addr> {
        let mut fitting: Vec<Ipv4Addr> =
            self.members.values().filter(|(member, _)| fits(member)).map(|(member, _)| member.ip).collect();
        let taken = most.min(fitting.len());
        for place in 0..taken {
            let other = self.rng.rand_range(place as u64..fitting.len() as u64) as usize;
            fitting.swap(place, other);
        }
        fitting.truncate(taken);
        fitting
    }

    /// Cards to swap with a neighbour.
    pub fn sample_for_exchange(&mut self, now: Millis, with: Ipv4Addr) -> Vec<AgedRecord> {
        let drawn = self.sample(SWAPPED, |member| member.ip != with);
        let aged = |ip: &Ipv4Addr| {
            let (member, made) = self.members.get(ip)?;
            let age_ms = u32::try_from(now.saturating_sub(*made)).ok()?;
            Some(AgedRecord { peer: member.clone(), age_ms })
        };
        drawn.iter().filter_map(aged).collect()
    }
}
