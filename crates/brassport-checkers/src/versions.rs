//! What has to hold of a history of operators who write versions and read: that there is one order of all that took
//! effect, in which each operation takes effect between its call and its answer (linearizability).
//!
//! The register holds a version. A write on top of a version takes effect only while that one is in place; sent again
//! after it did, it is taken again and changes nothing. As each version is sent with one content, the writes that were
//! seen to take effect form one chain, and their moments can be bounded from both sides: no search is needed.

use std::collections::{BTreeMap, BTreeSet};

/// A moment, in whatever unit the history has.
pub type Moment = u64;

/// What was asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Asked {
    /// This version on top of that one.
    Write {
        /// The version.
        version: u32,
        /// What it stands on.
        built_on: u32,
    },
    /// The version in place.
    Read,
}

/// What was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answered {
    /// The write has taken effect.
    Taken,
    /// The write has not taken effect and never will: another version is in place.
    Outdated,
    /// The same, for what it says.
    Invalid,
    /// This version is in place.
    Newest(u32),
    /// Nothing clear, or nothing.
    Open,
}

/// One call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Operation {
    /// When it was sent.
    pub began: Moment,
    /// When its answer came.
    pub ended: Moment,
    /// What was asked.
    pub asked: Asked,
    /// What was answered.
    pub answered: Answered,
}

/// What a history breaks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Broken {
    /// Two versions on top of one took effect.
    Fork {
        /// What both stand on.
        built_on: u32,
        /// The two.
        versions: (u32, u32),
    },
    /// A version took effect that nobody sent, or that stands on none that did.
    Unfounded(u32),
    /// A version took effect although it was refused.
    Undone(u32),
    /// No moment is left at which the version can have taken effect: something older was read, or acknowledged, after
    /// something newer, or something before it was sent.
    NoMoment {
        /// The version.
        version: u32,
        /// It took effect not before this.
        earliest: Moment,
        /// It took effect not after this.
        latest: Moment,
    },
    /// A write was refused as outdated while what it stood on was in place all the time.
    RefusedInVain(u32),
}

/// Judges a whole history.
///
/// # Errors
/// There is no order in which all answers are right.
pub fn judge(history: &[Operation]) -> Result<(), Broken> {
    let chain = chain(history)?;
    let place: BTreeMap<u32, usize> =
        chain.iter().enumerate().map(|(place, version)| (*version, place)).collect();
    let (mut earliest, mut latest) = (vec![0; chain.len()], vec![Moment::MAX; chain.len()]);
    let mut first_sent = vec![Moment::MAX; chain.len()];
    first_sent[0] = 0;
    for one in history {
        match (one.asked, one.answered) {
            (Asked::Write { version, .. }, answered) => {
                let Some(&at) = place.get(&version) else { continue };
                first_sent[at] = first_sent[at].min(one.began);
                if answered == Answered::Taken {
                    latest[at] = latest[at].min(one.ended);
                }
            }
            (Asked::Read, Answered::Newest(version)) => {
                let at = place[&version];
                latest[at] = latest[at].min(one.ended);
                // What follows it took effect behind the call, as the read saw it not yet.
                if at + 1 < chain.len() {
                    earliest[at + 1] = earliest[at + 1].max(one.began);
                }
            }
            (Asked::Read, _) => {}
        }
    }
    for at in 0..chain.len() {
        earliest[at] = earliest[at].max(first_sent[at]).max(if at > 0 { earliest[at - 1] } else { 0 });
    }
    for at in (0..chain.len().saturating_sub(1)).rev() {
        latest[at] = latest[at].min(latest[at + 1]);
    }
    for (at, version) in chain.iter().enumerate() {
        if earliest[at] > latest[at] {
            let (earliest, latest) = (earliest[at], latest[at]);
            return Err(Broken::NoMoment { version: *version, earliest, latest });
        }
    }
    // Versions of which nobody knows may have come in between.
    let may_follow = |built_on: u32, before: Moment| {
        history.iter().any(|one| {
            let on_top = matches!(one.asked, Asked::Write { built_on: on, .. } if on == built_on);
            on_top && one.answered == Answered::Open && one.began <= before
        })
    };
    for one in history {
        let (Asked::Write { version, built_on }, Answered::Outdated) = (one.asked, one.answered) else {
            continue;
        };
        let Some(&at) = place.get(&built_on) else { continue };
        let is_last = at + 1 == chain.len();
        let stood_before = latest[at] < one.began;
        let stood_on = if is_last { !may_follow(built_on, one.ended) } else { earliest[at + 1] > one.ended };
        if stood_before && stood_on {
            return Err(Broken::RefusedInVain(version));
        }
    }
    Ok(())
}

/// The versions that took effect, as far as anybody saw, from the beginning on.
fn chain(history: &[Operation]) -> Result<Vec<u32>, Broken> {
    let mut on: BTreeMap<u32, u32> = BTreeMap::new();
    let (mut seen, mut refused) = (BTreeSet::new(), BTreeSet::new());
    for one in history {
        match (one.asked, one.answered) {
            (Asked::Write { version, built_on }, answered) => {
                on.insert(version, built_on);
                match answered {
                    Answered::Taken => drop(seen.insert(version)),
                    Answered::Outdated | Answered::Invalid => drop(refused.insert(version)),
                    _ => {}
                }
            }
            (Asked::Read, Answered::Newest(version)) if version > 0 => drop(seen.insert(version)),
            _ => {}
        }
    }
    let mut follower: BTreeMap<u32, u32> = BTreeMap::new();
    for version in seen {
        // What it stands on took effect too, whoever saw that.
        let mut version = version;
        while version > 0 {
            let Some(&built_on) = on.get(&version) else { return Err(Broken::Unfounded(version)) };
            if refused.contains(&version) {
                return Err(Broken::Undone(version));
            }
            if built_on >= version {
                return Err(Broken::Unfounded(version));
            }
            match follower.insert(built_on, version) {
                Some(other) if other != version => {
                    let versions = (other.min(version), other.max(version));
                    return Err(Broken::Fork { built_on, versions });
                }
                Some(_) => break,
                None => version = built_on,
            }
        }
    }
    let mut chain = vec![0];
    while let Some(next) = follower.get(&chain[chain.len() - 1]) {
        chain.push(*next);
    }
    Ok(chain)
}
