//! Which backends there are: one record for each life of one, as its beats tell. Soft state: it is told again.
//!
//! Two copies of a record are compared by the count of calls that made them, so that copies merge in any order to the
//! same: a late beat undoes nothing, and a sign-off is the end of a life.

use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// A record that no call has moved for so long is dropped: who heard its beats is gone, and so is it. Of one whose beats
/// are known to have stopped, or that was leaving, less is expected.
const LEASE: Millis = 900_000;
const SILENT: Millis = 40_000;
/// The end of a life is remembered for so long, so that no late copy brings it back.
const REMEMBERED: Millis = 30_000;
/// A beat that only says that all is as before is told to others each so many calls.
const QUANTUM: u64 = 128;
/// Parts of the table that digests are taken over.
pub const RANGES: usize = 16;

/// What a backend is at; what stands later goes before what stands earlier under the same count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum BackendState {
    /// It takes requests.
    Ready,
    /// Its heartbeats have stopped, as the node says that received the last.
    #[serde(rename = "Silent")]
    Unresponsive,
    /// It finishes its work; nothing new may be sent.
    #[serde(rename = "Emptying")]
    Draining,
    /// It has ended.
    #[serde(rename = "Gone")]
    Terminated,
}

/// One life of a backend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// Its name; every start has another.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// The version of its software.
    pub version: String,
    /// Requests that it handles at once.
    pub capacity: u32,
    /// What it is at.
    #[serde(rename = "stage")]
    pub state: BackendState,
    /// How many calls it had made; it goes up with each.
    #[serde(rename = "count")]
    pub call_count: u64,
    /// For how many more milliseconds it is slow from its start, when this was told.
    #[serde(rename = "warming_ms")]
    pub warmup_left_ms: u32,
    /// How long ago a call of its own moved this, when it was told: copies end at the same time wherever they went.
    #[serde(default)]
    pub age_ms: u32,
}

impl Backend {
    /// What two copies are compared by.
    fn rank(&self) -> (bool, u64, BackendState) {
        (self.state == BackendState::Terminated, self.call_count, self.state)
    }

    fn digest(&self) -> u64 {
        let quantum = if self.state == BackendState::Ready { self.call_count / QUANTUM } else { 0 };
        let words = [quantum, self.state as u64, u64::from(self.address.port())];
        let bytes = self.id.bytes().chain(words.into_iter().flat_map(u64::to_be_bytes));
        mix(bytes.fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
            (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
        }))
    }

    /// A digest of its name alone.
    pub(crate) fn digest_of_name(&self) -> u64 {
        let step = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        mix(u64::from(self.id.bytes().fold(0x811c_9dc5_u32, step)))
    }

    fn range(&self) -> usize {
        self.digest_of_name() as usize % RANGES
    }
}

/// Spreads a hash over all bits.
fn mix(hash: u64) -> u64 {
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^ (hash >> 33)
}

/// What a record says that was not known here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Nothing, or that all is as before.
    Unchanged,
    /// It changes whether or where requests are sent.
    Changed,
    /// It takes for silent what has been heard here since: whoever tells it is to hear so.
    Stale,
}

#[derive(Debug)]
struct Held {
    backend: Backend,
    /// When the count last moved here, and the count that others were told.
    moved: Millis,
    /// When its last beat came to this very machine; `None`: others heard it.
    beat: Option<Millis>,
    /// Until when it is slow from its start.
    warm_at: Millis,
    /// Whether this machine was cut off since it heard of it, and nobody has told it again.
    doubted: bool,
}

impl Held {
    fn is_own(&self, since: Millis) -> bool {
        self.beat.is_some_and(|at| at >= since)
    }
}

/// The table of backends at one machine.
#[derive(Debug, Default)]
pub struct Table {
    held: BTreeMap<String, Held>,
    /// When a record was new or changed last.
    changed: Option<Millis>,
}

impl Table {
    /// When a record was new or changed last.
    pub fn changed(&self) -> Option<Millis> {
        self.changed
    }

    /// Takes in a record; `own`: it came from the backend itself.
    pub fn hear(&mut self, now: Millis, backend: Backend, own: bool) -> MergeOutcome {
        let news = self.take_in(now, backend, own);
        if news == MergeOutcome::Changed {
            self.changed = Some(now);
        }
        news
    }

    fn take_in(&mut self, now: Millis, backend: Backend, own: bool) -> MergeOutcome {
        let warm_at = now + Millis::from(backend.warmup_left_ms);
        let moved = now.saturating_sub(Millis::from(backend.age_ms));
        // Guards against a record that goes round for ever: who has dropped it would be told of it again.
        if now >= moved + lease(backend.state) {
            return MergeOutcome::Unchanged;
        }
        let Some(held) = self.held.get_mut(&backend.id) else {
            let beat = own.then_some(now);
            self.held.insert(backend.id.clone(), Held { backend, moved, beat, warm_at, doubted: false });
            return MergeOutcome::Changed;
        };
        held.doubted = false;
        if backend.rank() <= held.backend.rank() {
            let heard_since =
                backend.state == BackendState::Unresponsive && held.backend.state == BackendState::Ready;
            return if heard_since { MergeOutcome::Stale } else { MergeOutcome::Unchanged };
        }
        // Guards against a beat that overtook the one before: what was emptying stays so.
        let stage = match (held.backend.state, backend.state) {
            (BackendState::Draining, BackendState::Ready | BackendState::Unresponsive) => {
                BackendState::Draining
            }
            (_, stage) => stage,
        };
        let changed = stage != held.backend.state
            || backend.address != held.backend.address
            || backend.service != held.backend.service;
        if backend.call_count > held.backend.call_count {
            held.moved = moved;
            held.beat = own.then_some(now);
        }
        if held.backend.warmup_left_ms == 0 && backend.warmup_left_ms > 0
            || backend.call_count > held.backend.call_count
        {
            held.warm_at = warm_at;
        }
        held.backend = Backend { state: stage, ..backend };
        if changed {
            MergeOutcome::Changed
        } else {
            MergeOutcome::Unchanged
        }
    }

    /// The backend was told to go to another door: it is not for this one to say that its beats have stopped.
    pub fn hand_on(&mut self, id: &str) {
        if let Some(held) = self.held.get_mut(id) {
            held.beat = None;
        }
    }

    /// A sign-off: the end of a life, whether or not it was heard of here: others may know it.
    pub fn sign_off(&mut self, now: Millis, id: &str) -> Backend {
        let held = self.held.entry(id.to_owned()).or_insert_with(|| Held {
            backend: Backend {
                id: id.to_owned(),
                service: String::new(),
                address: SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0),
                zone: String::new(),
                version: String::new(),
                capacity: 1,
                state: BackendState::Terminated,
                call_count: 0,
                warmup_left_ms: 0,
                age_ms: 0,
            },
            moved: now,
            beat: None,
            warm_at: now,
            doubted: false,
        });
        held.backend.state = BackendState::Terminated;
        held.doubted = false;
        held.moved = now;
        tell(held, now)
    }

    /// Backends whose beats came here and have stopped; each is told once.
    pub fn silent(&mut self, now: Millis, after: Millis) -> Vec<Backend> {
        let mut silent = Vec::new();
        for held in self.held.values_mut() {
            let stopped = held.beat.is_some_and(|at| now >= at + after);
            if stopped && held.backend.state == BackendState::Ready && !held.doubted {
                held.backend.state = BackendState::Unresponsive;
                silent.push(held.backend.clone());
            }
        }
        silent
    }

    /// This machine stood still: beats that it missed say nothing of who sent them.
    pub fn stood_still(&mut self, now: Millis) {
        for held in self.held.values_mut() {
            held.moved = now;
            held.beat = held.beat.map(|_| now);
        }
    }

    /// This machine was cut off: what it knows of live backends may be of long ago, but for those whose last beat came here
    /// since a time. What is doubted is told to nobody until somebody tells it here.
    pub fn doubt(&mut self, own_since: Millis) {
        for held in self.held.values_mut() {
            let is_live = matches!(held.backend.state, BackendState::Ready | BackendState::Unresponsive);
            held.doubted = is_live && !held.is_own(own_since);
        }
    }

    /// Live backends whose last beat came here since a time.
    pub fn own(&self, now: Millis, since: Millis) -> Vec<Backend> {
        let is_own = |held: &&Held| held.backend.state == BackendState::Ready && held.is_own(since);
        self.held.values().filter(is_own).map(|held| tell(held, now)).collect()
    }

    /// Drops what is doubted still. Returns the names.
    pub fn drop_doubted(&mut self) -> Vec<String> {
        let doubted = self.held.iter().filter(|(_, held)| held.doubted);
        let names: Vec<String> = doubted.map(|(id, _)| id.clone()).collect();
        self.held.retain(|_, held| !held.doubted);
        names
    }

    /// Drops what nothing has been heard of for long. Returns the names of those that were not gone.
    pub fn expire(&mut self, now: Millis) -> Vec<String> {
        let over = |held: &Held| now >= held.moved + lease(held.backend.state);
        let names: Vec<String> =
            self.held.iter().filter(|(_, held)| over(held)).map(|(id, _)| id.clone()).collect();
        let live = |id: &String| {
            self.held.get(id).is_some_and(|held| held.backend.state != BackendState::Terminated)
        };
        let dropped: Vec<String> = names.iter().filter(|id| live(id)).cloned().collect();
        names.iter().for_each(|id| {
            self.held.remove(id);
        });
        dropped
    }

    /// All records, with how long each is still slow from its start.
    pub fn all(&self, now: Millis) -> impl Iterator<Item = (&Backend, Millis)> {
        self.held.values().map(move |held| (&held.backend, held.warm_at.saturating_sub(now)))
    }

    /// One record as it is told to others.
    pub fn told(&self, now: Millis, id: &str) -> Option<Backend> {
        self.held.get(id).map(|held| tell(held, now))
    }

    /// How many records there are.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    fn trusted(&self) -> impl Iterator<Item = &Held> {
        self.held.values().filter(|held| !held.doubted)
    }

    /// The digest of each range.
    pub fn digests(&self) -> [u32; RANGES] {
        let mut digests = [0; RANGES];
        for held in self.trusted() {
            digests[held.backend.range()] ^= held.backend.digest() as u32;
        }
        digests
    }

    /// The digest of all.
    pub fn digest(&self) -> u64 {
        self.trusted().fold(0, |all, held| all ^ held.backend.digest())
    }

    /// The records of the ranges that differ.
    pub fn differing(&self, now: Millis, theirs: &[u32; RANGES]) -> Vec<Backend> {
        let own = self.digests();
        let differs = |held: &&Held| own[held.backend.range()] != theirs[held.backend.range()];
        self.trusted().filter(differs).map(|held| tell(held, now)).collect()
    }
}

fn tell(held: &Held, now: Millis) -> Backend {
    let span = |millis: Millis| u32::try_from(millis).unwrap_or(u32::MAX);
    let (warmup_left_ms, age_ms) =
        (span(held.warm_at.saturating_sub(now)), span(now.saturating_sub(held.moved)));
    Backend { warmup_left_ms, age_ms, ..held.backend.clone() }
}

/// For how long a record holds without a call.
fn lease(stage: BackendState) -> Millis {
    match stage {
        BackendState::Ready => LEASE,
        BackendState::Unresponsive | BackendState::Draining => SILENT,
        BackendState::Terminated => REMEMBERED,
    }
}
