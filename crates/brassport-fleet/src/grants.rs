//! The leader's table of rights to act: which gateway instances may still act, on which version, and whether a fence
//! holds.
//!
//! A change with a fence makes the leader report whether any gateway instance may still act on an older version. The
//! fence holds once no gateway instance may.
//!
//! The table relies on two conditions. The host lets the leader answer a gateway instance's request only after a
//! majority has confirmed its leadership since that request arrived (a linearizable read). And no two clocks of the
//! fleet drift apart by more than [`Terms::drift_permille`].

use crate::mutants::mutant;
use crate::shared::Shared;
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The maximum number of strict versions whose time of arrival is kept, to bound memory. Older ones are due already.
const STRICT_VERSIONS_KEPT: usize = 1024;

/// Durations in milliseconds, which must be the same at all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Terms {
    /// How long a gateway instance's right is valid from its request.
    pub length: Millis,
    /// The maximum relative drift between two clocks, in thousandths.
    pub drift_permille: u64,
    /// How long a voter must have had no contact with a leader before it extends the rights of gateway instances.
    pub silence: Millis,
    /// How long an extension by a voter is valid from its request.
    #[serde(rename = "leave")]
    pub extension: Millis,
    /// How long a gateway instance may act on versions without a strict change after that change was published.
    #[serde(rename = "bring_up")]
    pub strict_grace: Millis,
}

impl Default for Terms {
    fn default() -> Terms {
        Terms { length: 3000, drift_permille: 10, silence: 1000, extension: 3000, strict_grace: 5000 }
    }
}

impl Terms {
    /// The longest that `span` on another clock can take on this clock.
    pub fn bound(&self, span: Millis) -> Millis {
        let drift = if mutant!(NoDrift) { 0 } else { self.drift_permille };
        span + span * drift / 1000 + 1
    }

    /// The shortest that `span` on another clock can take on this clock.
    fn shortest(&self, span: Millis) -> Millis {
        span - span * self.drift_permille / 1000
    }
}

/// A gateway instance's request for a right to act.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The gateway instance's name.
    pub door: String,
    /// The identifier of its process: a random number drawn at the process's start.
    pub process: u64,
    /// The version that it acts on: from the request on, it acts on no older one.
    pub version: u64,
    /// Whether a leader has granted this process a right before.
    pub had_one: bool,
}

/// The leader's response to a gateway instance's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The gateway instance may act.
    Granted {
        /// How long the right is valid from the gateway instance's request.
        length: Millis,
    },
    /// The gateway instance must catch up before it may act.
    Behind {
        /// The oldest version that it may act on.
        need: u64,
    },
    /// Another process with the gateway instance's name may still act.
    Wait {
        /// How long that process may still act; 0: until the leader has had contact with every voter for long enough.
        ms: Millis,
    },
    /// Another process has taken over the gateway instance's name.
    Replaced,
    /// The gateway instance is not a member of the fleet.
    Unknown,
}

/// A reason why a fence does not hold yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FenceBlocker {
    /// A gateway instance may still act on an older version, unless it catches up.
    Door {
        /// The gateway instance's name.
        door: String,
        /// The version that it reported last; `None` if it has reported none since this leader's election.
        version: Option<u64>,
        /// How long it may still act.
        ms: Millis,
    },
    /// An earlier process of a gateway instance may still act.
    Earlier {
        /// The gateway instance's name.
        door: String,
        /// How long that process may still act; 0: until the leader has had contact with every voter for long enough.
        ms: Millis,
    },
    /// A voter is unresponsive, or was so recently that an extension of a gateway instance's right by it may still be
    /// valid.
    Voter {
        /// The voter's identifier.
        voter: u64,
        /// The gateway instance's name.
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

/// The rights to act under one gateway instance's name.
#[derive(Debug, Clone, Copy, Default)]
struct Right {
    /// The process that currently owns the name.
    process: u64,
    /// The version that this process reported last; `None` if it has reported none to this leader.
    version: Option<u64>,
    /// When the right that this leader granted to this process expires; 0 without one.
    until: Millis,
    /// When all rights of other processes with the name have expired, except for extensions by voters.
    others_until: Millis,
    /// Whether it is established that no other process with the name can still act.
    alone: bool,
}

impl Right {
    /// The state of a name for which this leader has not granted a right yet.
    fn from_earlier_leaders(others_until: Millis) -> Right {
        Right { others_until, ..Right::default() }
    }

    /// Transfers the name to `process`. A right granted to its predecessor remains valid until it expires.
    fn transfer_to(&mut self, process: u64) {
        if self.process != process {
            let others_until = self.others_until.max(self.until);
            *self = Right { process, others_until, ..Right::default() };
        }
    }
}

/// A period of contact with a voter without a gap long enough for the voter to extend rights.
#[derive(Debug, Clone, Copy)]
struct Contact {
    /// When the first message of the period was sent.
    from: Millis,
    /// When the last message that the voter acknowledged was sent.
    last: Millis,
}

/// The arrival of a version with a strict change.
#[derive(Debug, Clone, Copy)]
struct StrictVersion {
    at: Millis,
    version: u64,
}

/// The rights that one leader has granted since its election.
#[derive(Debug)]
pub struct Grants {
    terms: Terms,
    elected_at: Millis,
    doors: BTreeMap<String, Right>,
    voters: BTreeMap<u64, Contact>,
    strict_versions: VecDeque<StrictVersion>,
}

impl Grants {
    /// An empty table for a leader that was elected at `now`.
    pub fn new(terms: Terms, now: Millis) -> Grants {
        let (doors, voters) = (BTreeMap::new(), BTreeMap::new());
        Grants { terms, elected_at: now, doors, voters, strict_versions: VecDeque::new() }
    }

    /// When all rights that earlier leaders granted, and voters extended, before this leader's election have expired.
    fn earlier_until(&self) -> Millis {
        if mutant!(EarlierGrantsIgnored) {
            return self.elected_at;
        }
        self.elected_at + self.terms.bound(self.terms.length.max(self.terms.extension))
    }

    /// Records the arrival time of a new strict version, if `shared` has one. To be called after each change.
    pub fn note(&mut self, now: Millis, shared: &Shared) {
        let strict = shared.last_strict();
        if self.strict_versions.back().is_none_or(|last| last.version < strict) {
            self.strict_versions.push_back(StrictVersion { at: now, version: strict });
            if self.strict_versions.len() > STRICT_VERSIONS_KEPT {
                self.strict_versions.pop_front();
            }
        }
    }

    /// The oldest version that a gateway instance may act on at `now`.
    pub fn needed(&self, now: Millis, shared: &Shared) -> u64 {
        let due = self.strict_versions.iter().rev().find(|strict| now >= strict.at + self.terms.strict_grace);
        shared.fenced().max(due.map_or(0, |strict| strict.version))
    }

    /// Answers a gateway instance's request. A majority must have confirmed this leader since the request arrived.
    /// `voters` are all voters except the leader.
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
        let initial = Right::from_earlier_leaders(earlier_until);
        let right = self.doors.entry(ask.door.clone()).or_insert(initial);
        right.transfer_to(process.process);
        // A process that had a right before got it only after the rights of all other processes with its name had expired.
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

    /// Records that the voter acknowledged a message that this leader sent at `sent`.
    pub fn heard(&mut self, sent: Millis, voter: u64) {
        let gap = self.terms.shortest(self.terms.silence);
        let contact = self.voters.entry(voter).or_insert(Contact { from: sent, last: sent });
        if sent > contact.last + gap {
            contact.from = sent;
        }
        contact.last = contact.last.max(sent);
    }

    /// Whether no right that this voter extended can still be valid: the last contact with it is recent, and the period of
    /// contact has lasted longer than an extension. The voter is not the leader itself.
    fn cannot_have_extended(&self, now: Millis, voter: u64) -> bool {
        let Terms { silence, extension, .. } = self.terms;
        self.voters.get(&voter).is_some_and(|contact| {
            now <= contact.last + self.terms.shortest(silence)
                && now >= contact.from + self.terms.bound(extension)
        })
    }

    /// The reasons why a fence at `version` does not hold yet; empty once no gateway instance may act on an older
    /// version. `voters` are all voters except the leader.
    pub fn fence(
        &self,
        now: Millis,
        version: u64,
        shared: &Shared,
        voters: &BTreeSet<u64>,
    ) -> Vec<FenceBlocker> {
        let mut blockers = Vec::new();
        let unresponsive = voters.iter().find(|voter| !self.cannot_have_extended(now, **voter));
        for (door, process) in shared.doors() {
            let initial = Right::from_earlier_leaders(self.earlier_until());
            let mut right = self.doors.get(door).copied().unwrap_or(initial);
            let door = door.to_string();
            right.transfer_to(process.process);
            right.alone |= process.alone || now >= right.others_until && unresponsive.is_none();
            // An earlier leader may have granted this same process a right.
            let until = right.until.max(if mutant!(UnresponsiveIsFenced) { 0 } else { self.earlier_until() });
            if !right.alone {
                blockers.push(FenceBlocker::Earlier { door, ms: right.others_until.saturating_sub(now) });
            } else if right.version.is_some_and(|reported| reported >= version) {
                // The process has reported this version or a later one, so it acts on nothing older.
            } else if until > now {
                blockers.push(FenceBlocker::Door { door, version: right.version, ms: until - now });
            } else if let Some(voter) = unresponsive.filter(|_| !mutant!(VoterIgnored)) {
                blockers.push(FenceBlocker::Voter { voter: *voter, door });
            }
        }
        blockers
    }

    /// The gateway instances that have requested a right: name, last reported version, and how long each may
    /// still act.
    pub fn doors(&self, now: Millis) -> impl Iterator<Item = (&str, Option<u64>, Millis)> {
        self.doors
            .iter()
            .map(move |(door, right)| (door.as_str(), right.version, right.until.saturating_sub(now)))
    }
}
