//! The figures: how many requests ended how, by class, and how many have not ended. No I/O.
//!
//! A request has one [`Life`], which counts its end once, whatever way out it takes. At any moment
//! `taken = completed + rejected + failed + pending` holds for each class.

use crate::protocol::{AttemptEvent, AttemptObserver};
use hyper::StatusCode;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::rc::Rc;

/// How a request ended, as its client saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ended {
    Completed,
    Rejected,
    Failed,
}

impl From<StatusCode> for Ended {
    fn from(status: StatusCode) -> Ended {
        match status {
            StatusCode::OK => Ended::Completed,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Ended::Rejected,
            _ => Ended::Failed,
        }
    }
}

/// The counts of one class, since the start of the process.
#[derive(Debug, Default)]
struct Counts {
    taken: Cell<u64>,
    completed: Cell<u64>,
    rejected: Cell<u64>,
    failed: Cell<u64>,
}

impl Counts {
    fn pending(&self) -> u64 {
        self.taken.get() - self.completed.get() - self.rejected.get() - self.failed.get()
    }
}

fn add_one(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// All figures that the front door counts itself.
#[derive(Debug, Default)]
pub struct Figures {
    /// By name: a class that vanishes and comes back goes on with its counts.
    classes: RefCell<BTreeMap<String, Rc<Counts>>>,
    /// Attempts written whole to nodes.
    attempts: Cell<u64>,
    reloads: Cell<u64>,
    reload_errors: Cell<u64>,
}

/// Figures of the list of nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct ListFigures {
    /// Nodes in the list.
    pub members: usize,
    /// Those among them that nothing new is sent to now.
    pub unavailable: usize,
}

impl Figures {
    /// Names a class, whose counts are told from then on.
    pub fn name_class(&self, name: &str) {
        self.classes.borrow_mut().entry(name.to_string()).or_default();
    }

    /// A request of this class has begun to come.
    pub fn request(&self, class: &str) -> Life {
        let mut classes = self.classes.borrow_mut();
        let counts = match classes.get(class) {
            Some(counts) => counts.clone(),
            None => classes.entry(class.to_string()).or_default().clone(),
        };
        Life { state: Rc::new(State { counts, stage: Cell::new(Stage::Coming) }) }
    }

    /// A configuration was read at SIGHUP, and taken or turned down.
    pub fn reloaded(&self, taken: bool) {
        add_one(if taken { &self.reloads } else { &self.reload_errors });
    }

    /// All figures as they are now, a line each.
    pub fn text(&self, list: ListFigures) -> String {
        let mut text = String::new();
        // Writing to a string fails nowhere.
        let _ = self.write(&mut text, list);
        text
    }

    fn write(&self, out: &mut String, list: ListFigures) -> fmt::Result {
        let mut pending = 0;
        for (name, counts) in self.classes.borrow().iter() {
            writeln!(out, "balancer.completed.{name}={}", counts.completed.get())?;
            writeln!(out, "balancer.rejected.{name}={}", counts.rejected.get())?;
            writeln!(out, "balancer.failed.{name}={}", counts.failed.get())?;
            pending += counts.pending();
        }
        writeln!(out, "balancer.upstream_requests={}", self.attempts.get())?;
        writeln!(out, "balancer.pending={pending}")?;
        writeln!(out, "balancer.members={}", list.members)?;
        writeln!(out, "balancer.members_unavailable={}", list.unavailable)?;
        writeln!(out, "balancer.config_reloads={}", self.reloads.get())?;
        writeln!(out, "balancer.config_reload_errors={}", self.reload_errors.get())
    }
}

impl AttemptObserver for Figures {
    fn on_attempt(&self, event: AttemptEvent) {
        match event {
            AttemptEvent::Written => {
                add_one(&self.attempts);
            }
            AttemptEvent::NotWritten => {
                self.attempts.set(self.attempts.get() - 1);
            }
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Not all of it has come: it is nobody's yet.
    Coming,
    Taken,
    Ended,
}

/// One request, for the figures. Dropped before its end it counts as failed: its client has gone, and no other way
/// out leaves it pending for ever.
#[derive(Debug)]
pub struct Life {
    state: Rc<State>,
}

#[derive(Debug)]
struct State {
    counts: Rc<Counts>,
    stage: Cell<Stage>,
}

impl State {
    fn taken(&self) {
        if self.stage.get() == Stage::Coming {
            self.stage.set(Stage::Taken);
            add_one(&self.counts.taken);
        }
    }
}

impl Life {
    /// All of it has come.
    pub fn taken(&self) {
        self.state.taken();
    }

    /// To be called once all of it has come.
    pub fn at_taken(&self) -> impl FnOnce() + 'static {
        let state = self.state.clone();
        move || state.taken()
    }

    /// It has its answer. Only the first end counts.
    pub fn end(&self, ended: Ended) {
        if self.state.stage.get() == Stage::Ended {
            return;
        }
        self.taken();
        self.state.stage.set(Stage::Ended);
        let counts = &self.state.counts;
        add_one(match ended {
            Ended::Completed => &counts.completed,
            Ended::Rejected => &counts.rejected,
            Ended::Failed => &counts.failed,
        });
    }
}

impl Drop for Life {
    fn drop(&mut self) {
        // What never came whole was never taken.
        if self.state.stage.get() == Stage::Taken {
            self.end(Ended::Failed);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn figure(figures: &Figures, name: &str) -> u64 {
        let text = figures.text(ListFigures { members: 9, unavailable: 2 });
        let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix('='));
        line.unwrap_or_else(|| panic!("no {name} in\n{text}")).parse().expect("a number")
    }

    #[test]
    fn a_request_ends_once_and_is_pending_in_between() {
        let figures = Figures::default();
        let life = figures.request("preview");
        assert_eq!(figure(&figures, "balancer.pending"), 0, "it has not all come");
        life.taken();
        assert_eq!(figure(&figures, "balancer.pending"), 1);
        life.end(Ended::Completed);
        life.end(Ended::Failed);
        drop(life);
        assert_eq!(figure(&figures, "balancer.completed.preview"), 1);
        assert_eq!(figure(&figures, "balancer.failed.preview"), 0);
        assert_eq!(figure(&figures, "balancer.pending"), 0);
    }

    #[test]
    fn a_request_whose_client_left_is_not_pending_for_ever() {
        let figures = Figures::default();
        let life = figures.request("preview");
        life.at_taken()();
        assert_eq!(figure(&figures, "balancer.pending"), 1);
        drop(life);
        drop(figures.request("preview"));
        assert_eq!(figure(&figures, "balancer.pending"), 0);
        assert_eq!(figure(&figures, "balancer.failed.preview"), 1, "only the one that was taken");
    }

    #[test]
    fn a_refusal_before_all_has_come_counts() {
        let figures = Figures::default();
        figures.request("submit").end(Ended::from(StatusCode::TOO_MANY_REQUESTS));
        figures.request("submit").end(Ended::from(StatusCode::SERVICE_UNAVAILABLE));
        figures.request("submit").end(Ended::from(StatusCode::CONFLICT));
        assert_eq!(figure(&figures, "balancer.rejected.submit"), 2);
        assert_eq!(figure(&figures, "balancer.failed.submit"), 1);
    }

    #[test]
    fn what_is_told_besides() {
        let figures = Figures::default();
        figures.name_class("preview");
        figures.on_attempt(AttemptEvent::Written);
        figures.reloaded(true);
        figures.reloaded(false);
        figures.reloaded(false);
        for (name, value) in [
            ("balancer.completed.preview", 0),
            ("balancer.rejected.preview", 0),
            ("balancer.failed.preview", 0),
            ("balancer.upstream_requests", 1),
            ("balancer.members", 9),
            ("balancer.members_unavailable", 2),
            ("balancer.config_reloads", 1),
            ("balancer.config_reload_errors", 2),
        ] {
            assert_eq!(figure(&figures, name), value, "{name}");
        }
    }
}
