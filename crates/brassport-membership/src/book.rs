//! The book: one list of nodes from the reports of several sources, each line with where it comes from.
//!
//! A source puts its own word in order (with a [`Table`](crate::table::Table), or as its protocol says) and reports
//! what holds now. Between sources these rules hold, in this order:
//! 1. *Gone or draining wins at once*, if an authoritative source says it of this life of the node, whatever others
//!    say. A report of a later start ([`Entry::boot_ms`]) is another life.
//! 2. A node is there as long as one authoritative source lists it. A source that no longer lists it has nothing
//!    more to say of it.
//! 3. What an advisory source lists (a list kept from an earlier run) counts until each authoritative source has told
//!    a whole list, and never against one.
//! 4. Address, zone, group and size come from the first source that lists the node, in the order of the
//!    configuration. A node that moves to another address without another start is taken for started now.
//! 5. Of two nodes at one address the one that started later has it, then the one with the greater name; the other
//!    takes nothing new. Sources whose lists are passed on as they are are not held to that among their own lines.
//! 6. A source that only lists ([`Source::lists_only`]: DNS) tells no starts and no drains. Another source's node has
//!    an address before its node, however late that came. That another source told of a node at an address to drain,
//!    to be gone or to have moved away stands, also when that source forgets the node, for as long as only such sources
//!    list one there; it ends when another source lists a ready node there, or when nothing is listed there any more.
//! 7. What an advisory source says to drain stays drained until an authority that does not only list says otherwise.
//!
//! The work of a change does not grow with the number of nodes.

use crate::mutants::mutant;
use crate::table::{Id, Millis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, SocketAddr};

/// Nodes that have gone and can still be explained.
const DEPARTED: usize = 256;
/// Addresses whose drains are remembered, and for how long while nothing is listed there: as long as a list that is
/// behind may still come, an hour, the longest lifetime of a record of DNS.
const MOST_DRAINED: usize = 4096;
const DRAINED_FOR: Millis = 3_600_000;

/// A moment, on both clocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Moment {
    /// Milliseconds since any fixed start; never goes back.
    pub monotonic: Millis,
    /// Milliseconds since 1970-01-01 UTC.
    pub unix: u64,
}

/// What may be sent to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// Requests.
    Ready,
    /// Nothing new.
    Draining,
    /// Nothing, ever again.
    Gone,
}

impl State {
    fn word(self) -> &'static str {
        match self {
            State::Ready => "ready",
            State::Draining => "draining",
            State::Gone => "gone",
        }
    }
}

/// A node as a source reports it, and as the book lists it.
#[derive(Debug, Clone, PartialEq)]
pub struct Entry {
    /// Its name, the same in all sources.
    pub id: Id,
    /// Where it listens; nothing is sent to a node without.
    pub address: Option<SocketAddr>,
    /// Its zone; empty: none is told.
    pub zone: String,
    /// Its group, or cell.
    pub group: u64,
    /// Its size relative to others; 0: not told.
    pub size: f64,
    /// Unix time of its start in milliseconds; 0: not told.
    pub boot_ms: f64,
    /// What may be sent to it.
    pub state: State,
    /// The source's number of this word; of no meaning between sources.
    pub revision: u64,
    /// In a few words why, where the state alone does not say it.
    pub note: String,
}

impl Entry {
    /// A node that is ready, of which no more is told.
    pub fn ready(id: &str, address: SocketAddr) -> Entry {
        Entry {
            id: id.into(),
            address: Some(address),
            zone: String::new(),
            group: 0,
            size: 0.0,
            boot_ms: 0.0,
            state: State::Ready,
            revision: 0,
            note: String::new(),
        }
    }

    /// Whether the decision module would be told the same of both.
    fn is_same(&self, other: &Entry) -> bool {
        let Entry { id, address, zone, group, size, boot_ms, state, revision: _, note: _ } = self;
        *id == other.id
            && *address == other.address
            && *zone == other.zone
            && *group == other.group
            && *size == other.size
            && *boot_ms == other.boot_ms
            && *state == other.state
    }
}

/// A source of reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Source {
    /// Its name, for people.
    pub name: String,
    /// Whether its word counts against others'; if not it only fills in until the others have spoken.
    pub authority: bool,
    /// Whether its lines are passed on as they are, even two at one address: the platform's discovery.
    pub as_told: bool,
    /// Whether it tells which nodes there are and no more: neither their starts nor their drains.
    pub lists_only: bool,
}

impl Source {
    /// A source whose word counts.
    pub fn authority(name: &str) -> Source {
        Source { name: name.into(), authority: true, as_told: false, lists_only: false }
    }

    /// A source whose lines are passed on as they are.
    pub fn as_told(name: &str) -> Source {
        Source { as_told: true, ..Source::authority(name) }
    }

    /// A source that tells which nodes there are and no more.
    pub fn lists_only(name: &str) -> Source {
        Source { lists_only: true, ..Source::authority(name) }
    }

    /// A source that fills in until the others have spoken.
    pub fn advisory(name: &str) -> Source {
        Source { authority: false, ..Source::authority(name) }
    }
}

/// What a source says holds now.
#[derive(Debug, Clone, PartialEq)]
pub struct Report {
    /// Whether these are all nodes that it lists; else these are the ones that changed.
    pub whole: bool,
    /// The nodes.
    pub entries: Vec<Entry>,
    /// Nodes that it lists no longer.
    pub withdrawn: Vec<Id>,
}

impl Report {
    /// All nodes that a source lists.
    pub fn whole(entries: Vec<Entry>) -> Report {
        Report { whole: true, entries, withdrawn: Vec::new() }
    }

    /// Takes the address from each node for which `check` gives a reason against it, and notes that reason: the node
    /// stands in the book, and nothing is sent to it.
    pub fn shut_out<E: std::fmt::Display>(&mut self, check: impl Fn(IpAddr) -> Result<(), E>) {
        for entry in &mut self.entries {
            if let Some(Err(reason)) = entry.address.map(|at| check(at.ip())) {
                entry.address = None;
                entry.note = reason.to_string();
            }
        }
    }

    /// What has changed.
    pub fn changes(entries: Vec<Entry>) -> Report {
        Report { whole: false, entries, withdrawn: Vec::new() }
    }
}

/// What the decision module is to be told.
#[derive(Debug, Clone, PartialEq)]
pub struct Update {
    /// Whether these are all nodes; else these are the ones that changed.
    pub whole: bool,
    /// The nodes.
    pub nodes: Vec<Entry>,
}

/// One source's word on a node.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Word {
    /// The source's name.
    pub source: String,
    /// What it says.
    pub says: State,
    /// Why, in its terms; may be empty.
    pub note: String,
    /// Its number of this word.
    pub revision: u64,
    /// How long ago it was told, milliseconds.
    pub age_ms: Millis,
    /// The address that it tells.
    pub address: Option<SocketAddr>,
    /// The start that it tells, as Unix time in milliseconds; 0: none.
    pub boot_ms: f64,
}

/// What holds a node back from requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Hold {
    /// Nothing: it is ready.
    Nothing,
    /// A source that knows of drains told one of it.
    Drain,
    /// Something that may be otherwise at once: its address is another's, or none; it is a reserve.
    Other,
}

/// Why a node is listed as it is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The node's name.
    pub id: String,
    /// What the book lists.
    pub state: State,
    /// Where it listens.
    pub address: Option<SocketAddr>,
    /// The rule that decided, in a sentence.
    pub because: String,
    /// How long the book has listed it so, milliseconds.
    pub age_ms: Millis,
    /// What each source says, in their order.
    pub words: Vec<Word>,
}

/// A source as it stands.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SourceNow {
    /// Its name.
    pub name: String,
    /// Whether it has told a whole list.
    pub told: bool,
    /// How long ago it last reported anything, milliseconds.
    pub heard_ms: Option<Millis>,
    /// Nodes that it lists.
    pub nodes: usize,
}

#[derive(Debug, Clone, PartialEq)]
enum Because {
    Listed(usize),
    Says(usize, State),
    NoAddress(usize),
    AddressOf(Id),
    /// This node was told to drain at the same address, in these words.
    DrainedThere(Id, String),
    NotListed,
    KeptUntilHeard(usize),
}

#[derive(Debug, Clone)]
struct Told {
    entry: Entry,
    at: Millis,
}

#[derive(Debug, Clone)]
struct Listed {
    entry: Entry,
    because: Because,
    since: Millis,
    /// Started at no told time, but moved: taken for started then.
    moved_boot: Option<f64>,
}

/// A node that is listed no longer, with the last words on it.
struct Departed {
    id: Id,
    entry: Entry,
    because: String,
    since: Millis,
    words: Vec<Word>,
}

/// A drain or gone told at an address, by a source that does not list a node there any more.
#[derive(Debug, Clone)]
struct Drained {
    id: Id,
    because: String,
    at: Millis,
    /// A node of a source that only lists stands there: the drain holds it back.
    holds: bool,
}

struct Held {
    source: Source,
    rows: BTreeMap<Id, Told>,
    told_whole: bool,
    heard: Option<Millis>,
}

/// The book.
pub struct Book {
    sources: Vec<Held>,
    list: BTreeMap<Id, Listed>,
    addresses: BTreeMap<SocketAddr, BTreeSet<Id>>,
    departed: VecDeque<Departed>,
    drained: BTreeMap<SocketAddr, Drained>,
    /// Counts what has changed in the list.
    changes: u64,
}

impl Book {
    /// An empty book of these sources; the first goes before the others where they disagree on a node's address,
    /// zone, group or size.
    pub fn new(sources: Vec<Source>) -> Book {
        let held = |source| Held { source, rows: BTreeMap::new(), told_whole: false, heard: None };
        Book {
            sources: sources.into_iter().map(held).collect(),
            list: BTreeMap::new(),
            addresses: BTreeMap::new(),
            departed: VecDeque::new(),
            drained: BTreeMap::new(),
            changes: 0,
        }
    }

    /// Counts what has changed in the list, so that a reader knows whether it has to look.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Takes in what a source reports, by the source's place among [`Book::new`]'s. The update is whole if the
    /// report is, and comes from the only source, which is passed on as told.
    pub fn take(&mut self, now: Moment, source: usize, report: Report) -> Update {
        let Report { whole, entries, mut withdrawn } = report;
        let alone = self.sources.len() == 1;
        // Guards the platform's discovery against any change in what the module is told of it.
        let as_told = alone && self.sources[source].source.as_told;
        let mut affected: Vec<Id> = Vec::new();
        if self.sources.iter().any(|held| held.source.lists_only) {
            self.note_drains(now, source, whole, &entries, &withdrawn);
        }
        let held = &mut self.sources[source];
        held.heard = Some(now.monotonic);
        if whole {
            let named: BTreeSet<&Id> = entries.iter().map(|entry| &entry.id).collect();
            withdrawn.extend(held.rows.keys().filter(|id| !named.contains(id)).cloned());
        }
        let first_whole = whole && !held.told_whole;
        held.told_whole |= whole;
        for entry in entries {
            match held.rows.get_mut(&entry.id) {
                Some(told) if told.entry.is_same(&entry) => {
                    // What says nothing new costs this comparison and no more.
                    if as_told {
                        affected.push(entry.id.clone());
                    }
                    (told.entry.revision, told.entry.note) = (entry.revision, entry.note);
                }
                _ => {
                    affected.push(entry.id.clone());
                    held.rows.insert(entry.id.clone(), Told { entry, at: now.monotonic });
                }
            }
        }
        for id in &withdrawn {
            held.rows.remove(id);
        }
        affected.append(&mut withdrawn);
        if first_whole {
            // What was only kept until now may have to go.
            let advisory = self.sources.iter().filter(|held| !held.source.authority);
            affected.extend(advisory.flat_map(|held| held.rows.keys().cloned()));
        }
        let whole = whole && as_told;
        let mut update =
            Building { whole, all: whole || as_told, nodes: Vec::new(), places: BTreeMap::new() };
        let mut seen = BTreeSet::new();
        let mut neighbours = BTreeSet::new();
        for id in affected {
            if seen.insert(id.clone()) {
                self.judge(now, &id, &mut neighbours, &mut update);
            }
        }
        // Who shares an address with a node that changed: each is looked at once more, which moves no address.
        for id in std::mem::take(&mut neighbours).into_iter().filter(|_| !as_told) {
            self.judge(now, &id, &mut neighbours, &mut update);
        }
        Update { whole: update.whole, nodes: update.nodes }
    }

    /// Remembers the drains that a report takes out of the book, and forgets those that it ends.
    fn note_drains(&mut self, now: Moment, source: usize, whole: bool, entries: &[Entry], withdrawn: &[Id]) {
        let Held { source: from, rows, .. } = &self.sources[source];
        if from.lists_only || mutant!(ForgetDrains) {
            return;
        }
        let named: BTreeSet<&Id> = entries.iter().map(|entry| &entry.id).collect();
        let lacks = rows.iter().filter(|(id, _)| whole && !named.contains(id));
        let gone = withdrawn.iter().filter_map(|id| rows.get_key_value(id)).chain(lacks);
        let of = |told: &Told| {
            let Entry { id, address, state, note, .. } = &told.entry;
            let because = format!("'{}' said {} of '{id}' there{}", from.name, state.word(), behind(note));
            let drained = Drained { id: id.clone(), because, at: now.monotonic, holds: false };
            (*state != State::Ready).then_some((*address)?).map(|at| (at, drained))
        };
        let mut noted: Vec<(SocketAddr, Drained)> = gone.filter_map(|(_, told)| of(told)).collect();
        for entry in entries {
            let before = rows.get(&entry.id).and_then(|told| told.entry.address);
            if let Some(left) = before.filter(|left| Some(*left) != entry.address && from.authority) {
                let because = format!("'{}' moved '{}' away from there", from.name, entry.id);
                let drained = Drained { id: entry.id.clone(), because, at: now.monotonic, holds: false };
                noted.push((left, drained));
            }
            match entry.state {
                // Of an advisory source a drain is all that is ever known of it.
                State::Draining if !from.authority => {
                    noted.extend(of(&Told { entry: entry.clone(), at: now.monotonic }));
                }
                State::Gone => noted.extend(of(&Told { entry: entry.clone(), at: now.monotonic })),
                State::Ready if from.authority => drop(entry.address.and_then(|at| self.drained.remove(&at))),
                _ => {}
            }
        }
        for (at, drained) in noted {
            let holds = self.drained.get(&at).is_some_and(|known| known.holds);
            self.drained.insert(at, Drained { holds, ..drained });
        }
        while self.drained.len() > MOST_DRAINED {
            let oldest = self.drained.iter().min_by_key(|(_, drained)| (drained.holds, drained.at));
            let Some(at) = oldest.map(|(at, _)| *at) else { return };
            self.drained.remove(&at);
        }
    }

    /// Drains that are remembered: the node's name, its address, and what was said.
    pub fn drained(&self) -> impl Iterator<Item = (&Id, SocketAddr, &str)> {
        self.drained.iter().map(|(at, drained)| (&drained.id, *at, drained.because.as_str()))
    }

    /// Whether each authority that lists a node does no more than list.
    fn is_only_listed(&self, id: &Id) -> bool {
        let mut listing =
            self.sources.iter().filter(|held| held.source.authority && held.rows.contains_key(id));
        let mut any = false;
        let only = listing.all(|held| {
            any = true;
            held.source.lists_only
        });
        any && only
    }

    /// All that is listed, for a reader that begins with it.
    pub fn whole(&self) -> Update {
        Update { whole: true, nodes: self.nodes().cloned().collect() }
    }

    /// The nodes listed.
    pub fn nodes(&self) -> impl Iterator<Item = &Entry> {
        self.list.values().map(|listed| &listed.entry)
    }

    /// The nodes listed, each with whether an authority lists it (else only a list of an earlier run), and with what
    /// holds it back.
    pub fn listed(&self) -> impl Iterator<Item = (&Entry, bool, Hold)> {
        let hold = |listed: &Listed| match &listed.because {
            _ if listed.entry.state == State::Ready => Hold::Nothing,
            Because::Says(source, _) if !self.sources[*source].source.lists_only => Hold::Drain,
            _ => Hold::Other,
        };
        self.list.iter().map(move |(id, listed)| (&listed.entry, self.is_listed(id), hold(listed)))
    }

    /// Nodes of which the sources say different things, in the order of their names.
    pub fn disputed(&self) -> impl Iterator<Item = &Id> {
        let differs = |id: &Id, listed: &Listed| {
            if matches!(listed.because, Because::AddressOf(_) | Because::DrainedThere(..)) {
                return true;
            }
            let authorities = self.sources.iter().filter(|held| held.source.authority);
            let mut words = authorities.filter_map(|held| held.rows.get(id)).map(|told| &told.entry);
            let Some(first) = words.next() else { return false };
            words.any(|other| other.state != first.state || other.address != first.address)
        };
        self.list.iter().filter(move |(id, listed)| differs(id, listed)).map(|(id, _)| id)
    }

    fn is_listed(&self, id: &Id) -> bool {
        self.sources.iter().any(|held| held.source.authority && held.rows.contains_key(id))
    }

    /// How many nodes are listed.
    pub fn len(&self) -> usize {
        self.list.len()
    }

    /// Whether none is listed.
    pub fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Why a node is listed as it is, or went. `None` if it is not known, or went long ago.
    pub fn explain(&self, id: &str, now: Moment) -> Option<Explanation> {
        let age = |since| now.monotonic.saturating_sub(since);
        let Some(listed) = self.list.get(id) else {
            let gone = self.departed.iter().rev().find(|gone| &*gone.id == id)?;
            return Some(Explanation {
                id: id.to_string(),
                state: State::Gone,
                address: gone.entry.address,
                because: gone.because.clone(),
                age_ms: age(gone.since),
                words: gone.words.clone(),
            });
        };
        let note = match listed.because {
            Because::Says(source, _) | Because::NoAddress(source) => {
                self.sources[source].rows.get(id).map_or("", |told| &told.entry.note)
            }
            _ => "",
        };
        Some(Explanation {
            id: id.to_string(),
            state: listed.entry.state,
            address: listed.entry.address,
            because: self.sentence_of(&listed.because, note),
            age_ms: age(listed.since),
            words: self.words(id, now),
        })
    }

    /// What each source says of a node.
    fn words(&self, id: &str, now: Moment) -> Vec<Word> {
        let word = |held: &Held| {
            let told = held.rows.get(id)?;
            Some(Word {
                source: held.source.name.clone(),
                says: told.entry.state,
                note: told.entry.note.clone(),
                revision: told.entry.revision,
                age_ms: now.monotonic.saturating_sub(told.at),
                address: told.entry.address,
                boot_ms: told.entry.boot_ms,
            })
        };
        self.sources.iter().filter_map(word).collect()
    }

    /// How each source stands.
    pub fn sources(&self, now: Moment) -> Vec<SourceNow> {
        let row = |held: &Held| SourceNow {
            name: held.source.name.clone(),
            told: held.told_whole,
            heard_ms: held.heard.map(|at| now.monotonic.saturating_sub(at)),
            nodes: held.rows.len(),
        };
        self.sources.iter().map(row).collect()
    }

    /// Whether each authoritative source has told a whole list.
    pub fn is_settled(&self) -> bool {
        self.sources.iter().all(|held| held.told_whole || !held.source.authority)
    }

    fn sentence_of(&self, because: &Because, note: &str) -> String {
        let name = |source: &usize| &self.sources[*source].source.name;
        match because {
            Because::Listed(source) => format!("'{}' lists it", name(source)),
            Because::Says(source, state) if note.is_empty() => {
                format!("'{}' says {}", name(source), state.word())
            }
            Because::Says(source, state) => format!("'{}' says {}: {note}", name(source), state.word()),
            Because::NoAddress(source) => {
                format!("'{}' tells no address for it{}", name(source), behind(note))
            }
            Because::AddressOf(other) => format!("its address belongs to '{other}', which goes before it"),
            Because::DrainedThere(_, said) => {
                format!("{said}, and only sources that tell no drains list a node there now")
            }
            Because::NotListed => "no source lists it any more".to_string(),
            Because::KeptUntilHeard(source) => {
                format!("'{}' keeps it until each source has been heard", name(source))
            }
        }
    }

    /// What the sources together say of a node; `None` if none lists it.
    fn merge(&self, now: Moment, id: &Id) -> Option<Listed> {
        let settled = self.is_settled();
        let words = || {
            let all = self.sources.iter().enumerate();
            all.filter_map(|(at, held)| Some((at, &held.source, held.rows.get(id)?)))
        };
        let counts = |(_, source, _): &(usize, &Source, &Told)| source.authority;
        let mut because = None;
        let first = match words().find(counts) {
            Some(first) => first,
            None if settled => return None,
            None => {
                let kept = words().next()?;
                because = Some(Because::KeptUntilHeard(kept.0));
                kept
            }
        };
        let (place, source, told) = first;
        let mut entry = told.entry.clone();
        // A source that only lists knows when it saw a node first, and not when that started.
        let only_listed = words().filter(counts).all(|(_, source, _)| source.lists_only);
        let starts = words().filter(counts).filter(|(_, source, _)| only_listed || !source.lists_only);
        entry.boot_ms = starts.map(|(_, _, other)| other.entry.boot_ms).fold(0.0, f64::max);
        if because.is_some() {
            entry.boot_ms = told.entry.boot_ms;
        }
        if entry.address.is_none() {
            // What one source tells no address for, or one that is shut out, another may.
            entry.address = words().filter(counts).find_map(|(_, _, other)| other.entry.address);
        }
        let because = because.unwrap_or(Because::Listed(place));
        let mut listed = Listed { entry, because, since: now.monotonic, moved_boot: None };
        let entry = &mut listed.entry;
        entry.state = State::Ready;
        // The hardest word of all sources on this life; of equals the first.
        for (at, source, other) in words() {
            let says = other.entry.state;
            let earlier = other.entry.boot_ms > 0.0 && other.entry.boot_ms < entry.boot_ms;
            // A drain of an earlier run counts until one that knows of drains lists the node.
            let unheard =
                !source.authority && at != place && (says == State::Ready || settled || !only_listed);
            let passed_over = earlier || unheard || (mutant!(FirstSourceWins) && at != place);
            if says > entry.state && !passed_over {
                entry.state = says;
                listed.because = Because::Says(at, says);
            }
        }
        if entry.state == State::Ready && entry.address.is_none() {
            entry.state = State::Draining;
            listed.because = Because::NoAddress(place);
        }
        if entry.state == State::Ready && only_listed {
            let drained = entry.address.and_then(|at| self.drained.get(&at));
            let stands =
                |known: &&Drained| known.holds || now.monotonic.saturating_sub(known.at) < DRAINED_FOR;
            if let Some(drained) = drained.filter(stands) {
                entry.state = State::Draining;
                listed.because = Because::DrainedThere(drained.id.clone(), drained.because.clone());
            }
        }
        // What is passed on as it is keeps its own word on its address, too.
        if !source.as_told {
            if let Some(known) = self.list.get(id) {
                listed.moved_boot = known.moved_boot;
                let moved = known.entry.address.is_some() && known.entry.address != entry.address;
                let told_boot = known.moved_boot.is_none_or(|moved| moved < entry.boot_ms);
                if moved && (entry.boot_ms <= known.entry.boot_ms) {
                    // Guards against work for a warm node that meets a cold one at the new address.
                    listed.moved_boot = Some(now.unix as f64);
                } else if told_boot {
                    listed.moved_boot = None;
                }
                if let Some(boot) = listed.moved_boot {
                    entry.boot_ms = boot;
                }
            }
        }
        Some(listed)
    }

    /// Lists a node anew as its sources say; `neighbours` are the others that this may concern.
    fn judge(&mut self, now: Moment, id: &Id, neighbours: &mut BTreeSet<Id>, update: &mut Building) {
        let mut merged = self.merge(now, id);
        let before = self.list.get(id).and_then(|listed| listed.entry.address);
        let living = merged.as_ref().filter(|listed| listed.entry.state != State::Gone);
        let after = living.and_then(|listed| listed.entry.address);
        if let Some(listed) =
            merged.as_ref().filter(|listed| matches!(listed.because, Because::DrainedThere(..)))
        {
            if let Some(drained) = listed.entry.address.and_then(|at| self.drained.get_mut(&at)) {
                drained.holds = true;
            }
        }
        if let Some(at) = before.filter(|at| Some(*at) != after) {
            self.forget_address(at, id);
            // Whoever stood there has left: what comes there next is another.
            if !self.addresses.contains_key(&at) && self.drained.get(&at).is_some_and(|drained| drained.holds)
            {
                self.drained.remove(&at);
            }
            neighbours.extend(self.addresses.get(&at).into_iter().flatten().cloned());
        }
        if let Some(at) = after {
            let here = self.addresses.entry(at).or_default();
            here.insert(id.clone());
            neighbours.extend(here.iter().filter(|other| *other != id).cloned());
        }
        if let Some(listed) = merged.as_mut().filter(|listed| listed.entry.state == State::Ready) {
            if let Some(rival) = self.rival(id, listed) {
                listed.entry.state = State::Draining;
                listed.because = Because::AddressOf(rival);
            }
        }
        let over = merged.as_ref().is_some_and(|listed| listed.entry.state == State::Gone)
            && !self
                .sources
                .iter()
                .any(|held| held.rows.get(id).is_some_and(|told| told.entry.state != State::Gone));
        self.publish(now, id, merged, update);
        if over {
            // Guards the memory: nobody lists it any more, so nobody's word has to be remembered against another's.
            let words = self.words(id, now);
            self.sources.iter_mut().for_each(|held| drop(held.rows.remove(id)));
            if let Some(listed) = self.list.remove(id) {
                self.depart(id.clone(), listed, words);
            }
        }
    }

    /// Who has this node's address in its stead: whoever started later, or, of those that started at the same or an
    /// untold time, has the greater name. So every front door finds the same.
    fn rival(&self, id: &Id, listed: &Listed) -> Option<Id> {
        let as_told = |held: &&Held| held.source.authority && held.rows.contains_key(id);
        if self.sources.iter().find(as_told).is_some_and(|held| held.source.as_told) {
            return None;
        }
        let here = self.addresses.get(&listed.entry.address?)?;
        let known = here.iter().filter(|other| *other != id).filter_map(|other| self.list.get(other));
        let knows_more = |id: &Id| !self.is_only_listed(id) || mutant!(ListerOutranks);
        let rank =
            |entry: &Entry| (knows_more(&entry.id), entry.boot_ms.max(0.0).to_bits(), entry.id.clone());
        let later = known.map(|other| rank(&other.entry)).filter(|other| *other > rank(&listed.entry));
        later.max().map(|(_, _, id)| id)
    }

    fn forget_address(&mut self, at: SocketAddr, id: &Id) {
        if let Some(here) = self.addresses.get_mut(&at) {
            here.remove(id);
            if here.is_empty() {
                self.addresses.remove(&at);
            }
        }
    }

    /// Lists the node so, and adds it to the update if the decision module would hear anything new.
    fn publish(&mut self, now: Moment, id: &Id, merged: Option<Listed>, update: &mut Building) {
        let Some(mut listed) = merged else {
            let Some(mut known) = self.list.remove(id) else { return };
            known.entry.state = State::Gone;
            (known.because, known.since) = (Because::NotListed, now.monotonic);
            self.changes += 1;
            if !update.whole {
                update.put(known.entry.clone());
            }
            self.depart(id.clone(), known, Vec::new());
            return;
        };
        let known = self.list.get(id);
        let same = known.is_some_and(|known| known.entry.is_same(&listed.entry));
        if let Some(known) = known.filter(|known| known.entry.state == listed.entry.state) {
            listed.since = known.since;
        }
        self.changes += u64::from(!same);
        if !same || update.all {
            update.put(listed.entry.clone());
        }
        self.list.insert(id.clone(), listed);
    }

    fn depart(&mut self, id: Id, listed: Listed, words: Vec<Word>) {
        if self.departed.len() >= DEPARTED {
            self.departed.pop_front();
        }
        let said = words.iter().find(|word| word.says == State::Gone);
        let because = self.sentence_of(&listed.because, said.map_or("", |word| &word.note));
        self.departed.push_back(Departed { id, entry: listed.entry, because, since: listed.since, words });
    }
}

/// A note, behind what it is a note on.
fn behind(note: &str) -> String {
    if note.is_empty() {
        String::new()
    } else {
        format!(": {note}")
    }
}

/// An update that is being made.
struct Building {
    whole: bool,
    /// Whether what is unchanged is told too.
    all: bool,
    nodes: Vec<Entry>,
    places: BTreeMap<Id, usize>,
}

impl Building {
    /// Adds a node, in the place of an earlier word of this update.
    fn put(&mut self, entry: Entry) {
        match self.places.get(&entry.id) {
            Some(place) => self.nodes[*place] = entry,
            None => {
                self.places.insert(entry.id.clone(), self.nodes.len());
                self.nodes.push(entry);
            }
        }
    }
}
