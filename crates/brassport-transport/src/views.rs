//! Partial views: each door knows some of the others, and swaps a few of them with a neighbour now and then, so that
//! what it knows stays fresh and drawn from all. No I/O.
//!
//! A member goes from hand to hand with its age. The younger of two members of a machine holds; one that nobody has seen for
//! long is dropped.

use oorandom::Rand64;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Milliseconds of the steady clock.
pub type Millis = u64;

/// Most members that a door holds.
pub const MOST: usize = 40;
/// A member older than this is dropped.
pub const STALE: Millis = 9_000;
/// Cards swapped at a time, beside the own.
const SWAPPED: usize = 2;

/// What a door says of itself. On the wire it is a plain row: names of fields would weigh more than what they hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Row", into = "Row")]
pub struct Member {
    /// Its address.
    pub ip: Ipv4Addr,
    /// The life of its process: drawn at its start.
    pub life: u64,
    /// Its zone.
    pub zone: String,
    /// The number of its disk, if it may vote; 0: it may not.
    pub disk: u64,
    /// Whether its loss is counted: it belongs to the core.
    pub counted: bool,
}

type Row = (u32, u64, String, u64, bool);

impl From<Row> for Member {
    fn from((ip, life, zone, disk, counted): Row) -> Member {
        Member { ip: Ipv4Addr::from(ip), life, zone, disk, counted }
    }
}

impl From<Member> for Row {
    fn from(member: Member) -> Row {
        (u32::from(member.ip), member.life, member.zone, member.disk, member.counted)
    }
}

/// A member and its age in milliseconds, as it goes from hand to hand.
pub type Aged = (Member, u32);

/// The doors that this one knows.
#[derive(Debug)]
pub struct Views {
    me: Ipv4Addr,
    /// Each member, and when it was made.
    members: BTreeMap<Ipv4Addr, (Member, Millis)>,
    rng: Rand64,
}

impl Views {
    /// Knows nobody yet.
    pub fn new(me: Ipv4Addr, seed: u64) -> Views {
        Views { me, members: BTreeMap::new(), rng: Rand64::new(u128::from(seed)) }
    }

    /// Those known, in the order of their addresses.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values().map(|(member, _)| member)
    }

    /// One of them.
    pub fn member(&self, ip: Ipv4Addr) -> Option<&Member> {
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
    pub fn hear(&mut self, now: Millis, (member, age): Aged) -> bool {
        let made = now.saturating_sub(Millis::from(age));
        if member.ip == self.me || Millis::from(age) > STALE {
            return false;
        }
        let known = self.members.get(&member.ip);
        if known.is_some_and(|(_, at)| *at >= made) {
            return false;
        }
        let is_new = known.is_none_or(|(old, _)| old.life != member.life);
        self.members.insert(member.ip, (member, made));
        if self.members.len() > MOST {
            // Any one goes, so that all views stay draws from all.
            if let Some(ip) = self.draw(1, |_| true).first().copied() {
                self.members.remove(&ip);
            }
        }
        is_new
    }

    /// Drops what nobody has seen for long.
    pub fn age_out(&mut self, now: Millis) {
        self.members.retain(|_, (_, made)| now <= *made + STALE);
    }

    /// Some of those that fit, drawn evenly.
    pub fn draw(&mut self, most: usize, fits: impl Fn(&Member) -> bool) -> Vec<Ipv4Addr> {
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
    pub fn swap(&mut self, now: Millis, with: Ipv4Addr) -> Vec<Aged> {
        let drawn = self.draw(SWAPPED, |member| member.ip != with);
        let aged = |ip: &Ipv4Addr| {
            let (member, made) = self.members.get(ip)?;
            Some((member.clone(), u32::try_from(now.saturating_sub(*made)).ok()?))
        };
        drawn.iter().filter_map(aged).collect()
    }
}
