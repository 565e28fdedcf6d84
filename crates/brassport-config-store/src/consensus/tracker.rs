//! What a leader knows of each voter's progress, and whether a majority of them agrees.

use super::{LogIndex, Millis, ReplicatedState, VoterId};
use std::collections::BTreeMap;

/// What a voter's latest response to a heartbeat showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct VoterProgress {
    /// The number of the heartbeat.
    pub heartbeat: u64,
    /// When the response came.
    pub at: Millis,
    /// The last index that the voter knew to be committed.
    pub index: LogIndex,
}

impl VoterProgress {
    /// That of a voter that has yet to respond: its silence begins now.
    fn new(now: Millis) -> VoterProgress {
        VoterProgress { heartbeat: 0, at: now, index: LogIndex(0) }
    }
}

/// The progress of all voters that a leader knows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct ProgressTracker(BTreeMap<VoterId, VoterProgress>);

impl ProgressTracker {
    /// Tracks these voters from now on.
    pub fn new(voters: &[VoterId], now: Millis) -> ProgressTracker {
        let mut tracker = ProgressTracker(BTreeMap::new());
        tracker.track(voters, now);
        tracker
    }

    /// Tracks voters, of which some may be new here.
    pub fn track(&mut self, voters: &[VoterId], now: Millis) {
        for voter in voters {
            self.0.entry(*voter).or_insert_with(|| VoterProgress::new(now));
        }
    }

    /// The progress of a voter, if it is tracked.
    pub fn get(&self, voter: &VoterId) -> Option<&VoterProgress> {
        self.0.get(voter)
    }

    /// Notes a response to a heartbeat.
    pub fn on_response(&mut self, voter: VoterId, heartbeat: u64, index: LogIndex, now: Millis) {
        let progress = self.0.entry(voter).or_insert_with(|| VoterProgress::new(now));
        // Guards against a response that comes late, or twice: it does not show that the voter hears this leader now.
        if heartbeat > progress.heartbeat {
            (progress.heartbeat, progress.at) = (heartbeat, now);
        }
        progress.index = progress.index.max(index);
    }

    /// Whether the progress of a majority of the voters passes a test.
    pub fn is_majority(&self, state: &ReplicatedState, passes: impl Fn(&VoterProgress) -> bool) -> bool {
        let has_passed = |voter: &&VoterId| self.0.get(voter).is_some_and(&passes);
        state.voters.iter().filter(has_passed).count() >= state.majority()
    }
}
