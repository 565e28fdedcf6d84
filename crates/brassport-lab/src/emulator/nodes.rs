//! Emulated nodes: workers behind a bounded queue, cold behind a start, dead or frozen for a while.

use super::site::{Model, COLD_FOR, COLD_FROM};
use brassport_policy::Millis;
use std::collections::VecDeque;

/// An attempt: the request's number, and which of its attempts.
pub type Attempt = (u64, u8);

/// What a node does with an attempt that reaches it.
#[derive(Debug, PartialEq)]
pub enum Taken {
    /// It runs now, and is done at this time if nothing happens to the node.
    Runs(Millis),
    /// It waits.
    Waits,
    /// The queue is full.
    Full,
    /// Nobody listens.
    Dead,
}

/// A node.
#[derive(Debug)]
pub struct Node {
    workers: usize,
    places: usize,
    alive: bool,
    frozen_until: Millis,
    launched: Millis,
    /// Counts its lives: what was planned in an earlier one does not happen.
    pub life: u32,
    /// Attempts that run, with the time each has left when the node thaws.
    pub running: Vec<(Attempt, Millis)>,
    queue: VecDeque<(Attempt, Millis)>,
    /// Attempts that reached it, for the spread of the load.
    pub reached: u64,
}

impl Node {
    /// A warm one.
    pub fn warm(model: &Model) -> Node {
        Node {
            workers: model.workers as usize,
            places: model.queue,
            alive: true,
            frozen_until: 0.0,
            launched: f64::NEG_INFINITY,
            life: 0,
            running: Vec::new(),
            queue: VecDeque::new(),
            reached: 0,
        }
    }

    /// Its share of its full speed.
    pub fn warmth(&self, now: Millis) -> f64 {
        COLD_FROM + (1.0 - COLD_FROM) * ((now - self.launched) / COLD_FOR).clamp(0.0, 1.0)
    }

    /// Whether it has not started anew since then.
    pub fn launched_before(&self, then: Option<Millis>) -> bool {
        then.is_some_and(|then| self.launched <= then)
    }

    /// Whether it is within the time after its start in which it is slow.
    pub fn is_cold(&self, now: Millis) -> bool {
        now < self.launched + COLD_FOR
    }

    fn start(&mut self, now: Millis, attempt: Attempt, work: Millis) -> Millis {
        let done = now.max(self.frozen_until) + work / self.warmth(now);
        self.running.push((attempt, done));
        done
    }

    /// Takes an attempt that is `work` long on a warm node.
    pub fn take(&mut self, now: Millis, attempt: Attempt, work: Millis) -> Taken {
        if !self.alive {
            return Taken::Dead;
        }
        self.reached += 1;
        if self.running.len() < self.workers && now >= self.frozen_until {
            return Taken::Runs(self.start(now, attempt, work));
        }
        if self.queue.len() >= self.places {
            return Taken::Full;
        }
        self.queue.push_back((attempt, work));
        Taken::Waits
    }

    /// Takes out one that was to be done now. Returns when it will be, if the node stood still meanwhile; `None` if
    /// it is done, or is not there any more.
    pub fn finish(&mut self, now: Millis, attempt: Attempt) -> Option<Millis> {
        let place = self.running.iter().position(|(running, _)| *running == attempt)?;
        if now < self.frozen_until {
            self.running[place].1 += self.frozen_until - now;
            return Some(self.running[place].1.max(self.frozen_until));
        }
        self.running.swap_remove(place);
        None
    }

    /// Starts the next that waits, if there is a worker for it. Returns it, and when it will be done.
    pub fn next(&mut self, now: Millis) -> Option<(Attempt, Millis)> {
        if self.running.len() >= self.workers || now < self.frozen_until {
            return None;
        }
        let (attempt, work) = self.queue.pop_front()?;
        Some((attempt, self.start(now, attempt, work)))
    }

    /// Drops one that waits; one that runs goes on.
    pub fn cancel(&mut self, attempt: Attempt) {
        self.queue.retain(|(waiting, _)| *waiting != attempt);
    }

    /// Ends all at once. Returns what it had.
    pub fn die(&mut self) -> Vec<Attempt> {
        self.alive = false;
        self.life += 1;
        let running = self.running.drain(..).map(|(attempt, _)| attempt);
        running.chain(self.queue.drain(..).map(|(attempt, _)| attempt)).collect()
    }

    /// A new life, cold.
    pub fn rise(&mut self, now: Millis) {
        self.alive = true;
        self.launched = now;
        self.frozen_until = 0.0;
    }

    /// Stands still until then.
    pub fn freeze(&mut self, until: Millis) {
        self.frozen_until = until;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn workers_run_side_by_side_and_the_rest_waits_up_to_the_queues_length() {
        let mut node = Node::warm(&Model::default());
        assert_eq!(node.take(0.0, (1, 0), 10.0), Taken::Runs(10.0));
        assert_eq!(node.take(1.0, (2, 0), 10.0), Taken::Runs(11.0));
        for other in 0..Model::default().queue as u64 {
            assert_eq!(node.take(2.0, (3 + other, 0), 10.0), Taken::Waits);
        }
        assert_eq!(node.take(2.0, (99, 0), 10.0), Taken::Full);
        assert_eq!(node.next(5.0), None, "both workers are busy");
        assert_eq!(node.finish(10.0, (1, 0)), None);
        assert_eq!(node.next(10.0), Some(((3, 0), 20.0)));
    }

    #[test]
    fn a_frozen_node_finishes_later_by_the_time_that_it_stood_still() {
        let mut node = Node::warm(&Model::default());
        assert_eq!(node.take(0.0, (1, 0), 10.0), Taken::Runs(10.0));
        node.freeze(100.0);
        assert_eq!(node.take(5.0, (2, 0), 10.0), Taken::Waits, "its system still takes connections");
        let thawed = node.finish(10.0, (1, 0)).expect("it stood still");
        assert!(thawed >= 100.0);
        assert_eq!(node.finish(thawed, (1, 0)), None);
        assert_eq!(node.running, vec![]);
    }

    #[test]
    fn a_node_that_died_has_nothing_left_and_comes_back_slow() {
        let mut node = Node::warm(&Model::default());
        node.take(0.0, (1, 0), 10.0);
        node.take(0.0, (2, 0), 10.0);
        node.take(0.0, (3, 0), 10.0);
        assert_eq!(node.die(), [(1, 0), (2, 0), (3, 0)]);
        assert_eq!(node.take(1.0, (4, 0), 10.0), Taken::Dead);
        node.rise(1000.0);
        assert_eq!(node.take(1000.0, (5, 0), 30.0), Taken::Runs(1000.0 + 30.0 / COLD_FROM));
        assert!(node.is_cold(1000.0 + COLD_FOR - 1.0) && !node.is_cold(1000.0 + COLD_FOR));
    }
}
