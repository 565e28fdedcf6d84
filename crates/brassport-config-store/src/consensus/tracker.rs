//! The progress of each voter as known to the leader, and quorum checks on it.

use super::{LogIndex, Millis, ReplicatedState, VoterId};
use std::collections::BTreeMap;

/// A voter's progress according to its latest responses to heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct VoterProgress {
    /// The number of the latest heartbeat that the voter responded to; 0 before its first response.
    pub heartbeat: u64,
    /// When that response arrived; before the first response, when tracking began.
    pub responded_at: Millis,
    /// The last index that the voter has reported as committed.
    pub index: LogIndex,
}

impl VoterProgress {
    /// The progress of a voter that has not responded yet.
    fn new(now: Millis) -> VoterProgress {
        VoterProgress { heartbeat: 0, responded_at: now, index: LogIndex(0) }
    }
}

/// The progress of all tracked voters.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct ProgressTracker(BTreeMap<VoterId, VoterProgress>);

impl ProgressTracker {
    /// A tracker of these voters.
    pub fn new(voters: &[VoterId], now: Millis) -> ProgressTracker {
        let mut tracker = ProgressTracker(BTreeMap::new());
        tracker.track(voters, now);
        tracker
    }

    /// Adds voters; those that are tracked already keep their progress.
    pub fn track(&mut self, voters: &[VoterId], now: Millis) {
        for voter in voters {
            self.0.entry(*voter).or_insert_with(|| VoterProgress::new(now));
        }
    }

    /// The progress of a voter, if it is tracked.
    pub fn get(&self, voter: &VoterId) -> Option<&VoterProgress> {
        self.0.get(voter)
    }

    /// Records a response to a heartbeat.
    pub fn on_response(&mut self, voter: VoterId, heartbeat: u64, index: LogIndex, now: Millis) {
        let progress = self.0.entry(voter).or_insert_with(|| VoterProgress::new(now));
        // A delayed or duplicated response does not show that the voter receives this leader's messages now.
        if heartbeat > progress.heartbeat {
            (progress.heartbeat, progress.responded_at) = (heartbeat, now);
        }
        progress.index = progress.index.max(index);
    }

    /// Whether the progress of a majority of the voters satisfies the predicate.
    pub fn is_majority(&self, state: &ReplicatedState, predicate: impl Fn(&VoterProgress) -> bool) -> bool {
        let satisfies = |voter: &&VoterId| self.0.get(voter).is_some_and(&predicate);
        state.voters.iter().filter(satisfies).count() >= state.majority()
    }
}
