//! The leader's table of rights to act: which doors may still act, on which version, and whether a fence holds.
//!
//! It requires that the host lets the leader answer a door only if a majority confirmed its leadership after the door's
//! request (a read through the log), and that clocks of the fleet drift by [`Terms::drift_permille`] at most.

use crate::mutants::mutant;
use crate::shared::Shared;
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Strict versions whose time of arrival is kept, at most: a bound on memory. Older ones are due already.
const STRICT_VERSIONS_KEPT: usize = 1024;

/// Durations in milliseconds, the same at all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// How long a door's right is valid from its request.
    pub length: Millis,
    /// By how much two clocks may drift apart, in thousandths.
    pub drift_permille: u64,
    /// A voter without contact to a leader for this long extends the rights of doors.
    pub silence: Millis,
    /// How long such an extension is valid.
    #[serde(rename = "leave")]
    pub extension: Millis,
    /// How long a door may act without a strict change that was published.
    #[serde(rename = "bring_up")]
    pub strict_grace: Millis,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { length: 3000, drift_permille: 10, silence: 1000, extension: 3000, strict_grace: 5000 }
    }
}

impl Terms {
    /// The longest that a span on another clock can take on this one.
    pub fn bound(&self, span: Millis) -> Millis {
        let drift = if mutant!(NoDrift) { 0 } else { self.drift_permille };
        span + span * drift / 1000 + 1
    }

    /// The shortest that a span on another clock can take on this one.
    fn shortest(&self, span: Millis) -> Millis {
        span - span * self.drift_permille / 1000
    }
}

/// A door's request for a right to act.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The door's name.
    pub door: String,
    /// The number that its process drew at its start.
    pub process: u64,
    /// The version that it acts on from now on, or a later one.
    pub version: u64,
    /// Whether this process was granted a right before.
    pub had_one: bool,
}

/// The leader's response to a door's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The door may act.
    Granted {
        /// For how long, from its request.
        length: Millis,
    },
    /// The door has to catch up first.
    Behind {
        /// The oldest version that it may act on.
        need: u64,
    },
    /// Another process of the name may still act.
    Wait {
        /// For how long; 0: until there was contact with every voter.
        ms: Millis,
    },
    /// Another process has taken over the name.
    Replaced,
    /// The fleet has no such member.
    Unknown,
}

/// A reason why a fence does not hold yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceBlocker {
    /// A door may still act on an older version, unless it catches up.
    Door {
        /// The door's name.
        door: String,
        /// The version that it reported last, if it did since this leader's election.
        version: Option<u64>,
        /// For how long it may act.
        ms: Millis,
    },
    /// An earlier process of a door may still act.
    Earlier {
        /// The door's name.
        door: String,
        /// For how long; 0: until the contact with each voter has lasted for long enough.
        ms: Millis,
    },
    /// A voter is unresponsive, or was until now: it may have extended a door's right.
    Voter {
        /// The voter's identifier.
        voter: u64,
        /// The door's name.
        door: String,
    },
}

impl std::fmt::Display for FenceBlocker {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FenceBlocker::Door { door, version: Some(version), ms } => {
                write!(f, "{door} has version {version} and may act on it for {ms} ms")
            }
            FenceBlocker::Door { door, version: None, ms } => {
                write!(f, "{door} has not told its version since this leader began, and may act for {ms} ms")
            }
            FenceBlocker::Earlier { door, ms } => write!(f, "an earlier process of {door} may act for {ms} ms"),
            FenceBlocker::Voter { voter, door } => write!(
                f,
                "voter {voter} is silent and may have let {door} go on: bring either back, or `leave` the one that is dead"
            ),
        }
    }
}

/// The right of one door's name.
#[derive(Debug, Clone, Copy, Default)]
struct Right {
    /// The process that the name belongs to.
    process: u64,
    /// The version that this process reported last.
    version: Option<u64>,
    /// When the right of this process ends.
    until: Millis,
    /// When all rights of other processes of the name have ended, but for extensions by voters.
    others_until: Millis,
    /// Whether no other process of the name can act any more.
    alone: bool,
}

impl Right {
    /// The right of a name of which this leader has granted none yet.
    fn from_earlier_leaders(others_until: Millis) -> Right {
        Right { others_until, ..Right::default() }
    }

    /// Transfers the name to this process. What was granted to its predecessor is valid to its end.
    fn transfer_to(&mut self, process: u64) {
        if self.process != process {
            let others_until = self.others_until.max(self.until);
            *self = Right { process, others_until, ..Right::default() };
        }
    }
}

/// Contact with a voter without a gap in which it may have extended rights.
#[derive(Debug, Clone, Copy)]
struct Contact {
    from: Millis,
    last: Millis,
}

/// The arrival of a version with a strict change.
#[derive(Debug, Clone, Copy)]
struct StrictVersion {
    at: Millis,
    version: u64,
}

/// The rights that one leader granted, from its election on.
#[derive(Debug)]
pub struct Grants {
    terms: Terms,
    elected_at: Millis,
    doors: BTreeMap<String, Right>,
    voters: BTreeMap<u64, Contact>,
    strict_versions: VecDeque<StrictVersion>,
}

impl Grants {
    /// The table of a leader that was elected at `now`.
    pub fn new(terms: Terms, now: Millis) -> Grants {
        let (doors, voters) = (BTreeMap::new(), BTreeMap::new());
        Grants { terms, elected_at: now, doors, voters, strict_versions: VecDeque::new() }
    }

    /// When all rights that earlier leaders granted have ended.
    fn earlier_until(&self) -> Millis {
        if mutant!(EarlierGrantsIgnored) {
            return self.elected_at;
        }
        self.elected_at + self.terms.bound(self.terms.length.max(self.terms.extension))
    }

    /// The shared state has changed; the time of a new strict version is noted.
    pub fn note(&mut self, now: Millis, shared: &Shared) {
        let strict = shared.last_strict();
        if self.strict_versions.back().is_none_or(|last| last.version < strict) {
            self.strict_versions.push_back(StrictVersion { at: now, version: strict });
            if self.strict_versions.len() > STRICT_VERSIONS_KEPT {
                self.strict_versions.pop_front();
            }
        }
    }

    /// The oldest version that a door may act on now.
    pub fn needed(&self, now: Millis, shared: &Shared) -> u64 {
        let due = self.strict_versions.iter().rev().find(|strict| now >= strict.at + self.terms.strict_grace);
        shared.fenced().max(due.map_or(0, |strict| strict.version))
    }

    /// Answers a door's request, after which a majority confirmed this leader. `voters` are all but this leader.
    pub fn ask(&mut self, now: Millis, ask: &Ask, shared: &Shared, voters: &BTreeSet<u64>) -> Answer {
        let (earlier_until, terms) = (self.earlier_until(), self.terms);
        let Some((_, process)) = shared.doors().find(|(door, _)| *door == ask.door) else {
            return Answer::Unknown;
        };
        if process.process != ask.process {
            return Answer::Replaced;
        }
        let need = self.needed(now, shared);
        let in_contact = voters.iter().all(|voter| self.cannot_have_extended(now, *voter));
        let begun = Right::from_earlier_leaders(earlier_until);
        let right = self.doors.entry(ask.door.clone()).or_insert(begun);
        right.transfer_to(process.process);
        // A process that had a right was not granted it before the rights of all others of its name had ended.
        right.alone |= process.alone
            || ask.had_one
            || now >= right.others_until && in_contact
            || mutant!(PredecessorIgnored);
        right.version = right.version.max(Some(ask.version));
        if !right.alone {
            return Answer::Wait { ms: right.others_until.saturating_sub(now) };
        }
        if ask.version < need && !mutant!(StaleVersionGranted) {
            return Answer::Behind { need };
        }
        right.until = right.until.max(now + terms.bound(terms.length));
        Answer::Granted { length: terms.length }
    }

    /// This voter acknowledged a message that this leader sent at `sent`.
    pub fn heard(&mut self, sent: Millis, voter: u64) {
        let gap = self.terms.shortest(self.terms.silence);
        let contact = self.voters.entry(voter).or_insert(Contact { from: sent, last: sent });
        if sent > contact.last + gap {
            contact.from = sent;
        }
        contact.last = contact.last.max(sent);
    }

    /// Whether this voter, other than the leader, can have extended no right that is still valid: the contact with it is
    /// recent, and older than the longest extension.
    fn cannot_have_extended(&self, now: Millis, voter: u64) -> bool {
        let Terms { silence, extension, .. } = self.terms;
        self.voters.get(&voter).is_some_and(|contact| {
            now <= contact.last + self.terms.shortest(silence)
                && now >= contact.from + self.terms.bound(extension)
        })
    }

    /// Why a fence at this version does not hold yet; empty once no door acts on an older one. `voters` are all but this
    /// leader.
    pub fn fence(
        &self,
        now: Millis,
        version: u64,
        shared: &Shared,
        voters: &BTreeSet<u64>,
    ) -> Vec<FenceBlocker> {
        let mut open = Vec::new();
        let unresponsive = voters.iter().find(|voter| !self.cannot_have_extended(now, **voter));
        for (door, process) in shared.doors() {
            let begun = Right::from_earlier_leaders(self.earlier_until());
            let mut right = self.doors.get(door).copied().unwrap_or(begun);
            let door = door.to_string();
            right.transfer_to(process.process);
            right.alone |= process.alone || now >= right.others_until && unresponsive.is_none();
            // An earlier leader may have granted a right to this process itself.
            let until = right.until.max(if mutant!(UnresponsiveIsFenced) { 0 } else { self.earlier_until() });
            if !right.alone {
                open.push(FenceBlocker::Earlier { door, ms: right.others_until.saturating_sub(now) });
            } else if right.version.is_some_and(|acted| acted >= version) {
                // It reported the version, or a later one: it acts on nothing older.
            } else if until > now {
                open.push(FenceBlocker::Door { door, version: right.version, ms: until - now });
            } else if let Some(voter) = unresponsive.filter(|_| !mutant!(VoterIgnored)) {
                open.push(FenceBlocker::Voter { voter: *voter, door });
            }
        }
        open
    }

    /// Each door that requested a right: its name, the version that it reported last, and for how long it may act.
    pub fn doors(&self, now: Millis) -> impl Iterator<Item = (&str, Option<u64>, Millis)> {
        self.doors
            .iter()
            .map(move |(door, right)| (door.as_str(), right.version, right.until.saturating_sub(now)))
    }
}
