//! Decides whether a list is newer than the last one: an agent that restarts may return an old list, which must not
//! undo a drain. No I/O.

use std::time::{Duration, Instant};

/// How long older lists are ignored. After that the agent is taken to have restarted its revision numbers, and a
/// whole list is accepted: backends that joined since must be found, and a published list must take effect within 6
/// s.
const RESET_AFTER: Duration = Duration::from_secs(3);

/// The revisions received from one agent.
#[derive(Debug, Default)]
pub struct Revisions {
    newest: Option<u64>,
    stale_since: Option<Instant>,
}

impl From<Option<u64>> for Revisions {
    /// Starts from the last revision that the predecessor process received from this agent.
    fn from(newest: Option<u64>) -> Revisions {
        Revisions { newest, stale_since: None }
    }
}

impl Revisions {
    /// Whether a list of this revision is to be applied, which is then recorded. `whole` if it lists all backends.
    pub fn accept(&mut self, revision: u64, whole: bool, now: Instant) -> bool {
        if self.newest.is_none_or(|newest| revision >= newest) {
            (self.newest, self.stale_since) = (Some(revision), None);
            return true;
        }
        let since = *self.stale_since.get_or_insert(now);
        let was_reset = whole && now.saturating_duration_since(since) >= RESET_AFTER;
        if was_reset {
            (self.newest, self.stale_since) = (Some(revision), None);
        }
        was_reset
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_old_list_is_ignored_until_no_newer_one_has_come_for_3_s() {
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        let mut revisions = Revisions::default();
        assert!(revisions.accept(97, true, at(0)));
        assert!(revisions.accept(97, false, at(10)), "nothing has changed");
        assert!(!revisions.accept(41, true, at(1000)));
        assert!(!revisions.accept(42, true, at(3900)));
        assert!(!revisions.accept(43, false, at(4000)), "changes to an ignored list are ignored");
        assert!(revisions.accept(43, true, at(4000)), "the agent has restarted its numbers");
        assert!(revisions.accept(44, false, at(4100)));
    }

    #[test]
    fn a_newer_list_restarts_the_wait() {
        let start = Instant::now();
        let at = |ms| start + Duration::from_millis(ms);
        let mut revisions = Revisions::default();
        assert!(revisions.accept(97, true, at(0)));
        assert!(!revisions.accept(41, true, at(1000)));
        assert!(revisions.accept(98, true, at(2000)));
        assert!(!revisions.accept(41, true, at(4500)), "the wait starts anew");
    }
}
