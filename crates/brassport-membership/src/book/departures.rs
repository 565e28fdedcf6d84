//! Nodes that are listed no longer, for explanations.

use super::entry::{Entry, Moment, State};
use super::explanation::{Explanation, Word};
use super::merge::Listing;
use super::sources::Sources;
use crate::table::Millis;
use std::collections::VecDeque;

/// Most nodes that have gone and can still be explained. Bounds the memory where each update brings new names.
const MAX_DEPARTED: usize = 256;

/// A node that is listed no longer, with the last that its sources said.
pub(super) struct Departed {
    entry: Entry,
    because: String,
    /// When it went, on the monotonic clock.
    since_ms: Millis,
    words: Vec<Word>,
}

impl Departed {
    pub(super) fn new(listing: Listing, words: Vec<Word>, sources: &Sources) -> Departed {
        let Listing { entry, reason, since_ms, .. } = listing;
        let says_gone = words.iter().find(|word| word.says == State::Gone);
        let because = reason.sentence(sources, says_gone.map_or("", |word| &word.note));
        Departed { entry, because, since_ms, words }
    }
}

/// The nodes that went last, oldest first.
#[derive(Default)]
pub(super) struct Departures(VecDeque<Departed>);

impl Departures {
    pub(super) fn push(&mut self, departed: Departed) {
        if self.0.len() >= MAX_DEPARTED {
            self.0.pop_front();
        }
        self.0.push_back(departed);
    }

    /// Why a node went; of several of one name the last.
    pub(super) fn explain(&self, id: &str, now: Moment) -> Option<Explanation> {
        let departed = self.0.iter().rev().find(|departed| &*departed.entry.id == id)?;
        Some(Explanation {
            id: id.to_string(),
            state: State::Gone,
            address: departed.entry.address,
            because: departed.because.clone(),
            age_ms: now.monotonic.saturating_sub(departed.since_ms),
            words: departed.words.clone(),
        })
    }
}
