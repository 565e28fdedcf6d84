//! Every request that was taken gets one final answer in time, effects happen at most once, and no two attempts are out.

use crate::event::{Answer, Connection, Door, Nanos, Seen, Sent, MS};
use crate::rule::{Rule, Verdict};
use crate::{Counts, GRACE};
use std::collections::{BTreeMap, BTreeSet};

/// So long after a client's leaving is known to the door's machine, the program must act on it.
const GONE: Nanos = 2 * MS;

#[derive(Debug, Clone)]
struct Attempt {
    door: Door,
    connection: Connection,
    begun: Nanos,
    written: bool,
    over: bool,
    never_ran: bool,
}

#[derive(Debug, Clone)]
struct Known {
    sent: Sent,
    /// The door that took it, when its last byte was there, and where. A client may send one again on a new
    /// connection.
    taken: Option<(Door, Nanos, Connection)>,
    /// When it had its final answer.
    answered: Option<Nanos>,
    /// Some of its answer was written: if its client reads no more, it has failed and is not lost.
    answer_begun: bool,
    /// When the door's machine learned that the client had gone.
    gone: Option<Nanos>,
    /// No answer is owed: the client left, its connection broke, or the door was killed.
    excused: bool,
    attempts: Vec<Attempt>,
    ran: u32,
    arrived: bool,
    history: Vec<(Nanos, String)>,
}

impl Known {
    fn new(sent: Sent) -> Known {
        Known {
            sent,
            taken: None,
            answered: None,
            answer_begun: false,
            gone: None,
            excused: false,
            attempts: Vec::new(),
            ran: 0,
            arrived: false,
            history: Vec::new(),
        }
    }

    fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.written && !attempt.never_ran)
    }

    fn due(&self) -> Nanos {
        self.sent.at + self.sent.patience + GRACE
    }
}

/// When a door stood still: since when it does, and the earlier spans.
#[derive(Debug, Default)]
struct Standstills(Option<Nanos>, Vec<(Nanos, Nanos)>);

/// The requests of a history.
#[derive(Debug)]
pub struct Requests {
    most_attempts: usize,
    known: BTreeMap<String, Known>,
    doors: BTreeMap<Door, Standstills>,
    /// When the answer to a taken request is due at the latest.
    due: BTreeSet<(Nanos, String)>,
}

impl Requests {
    pub fn new(most_attempts: usize) -> Requests {
        Requests { most_attempts, known: BTreeMap::new(), doors: BTreeMap::new(), due: BTreeSet::new() }
    }

    /// What was seen of a request, in order.
    pub fn history(&self, id: &str) -> Vec<(Nanos, String)> {
        self.known.get(id).map(|known| known.history.clone()).unwrap_or_default()
    }

    /// The connections of a request's attempts, and when each began.
    pub fn attempts(&self, id: &str) -> Vec<(Door, Connection, Nanos)> {
        let of = |known: &Known| {
            known.attempts.iter().map(|attempt| (attempt.door, attempt.connection, attempt.begun)).collect()
        };
        self.known.get(id).map(of).unwrap_or_default()
    }

    /// The customer of a request, and whether that has a ceiling.
    pub fn customer_of(&self, id: &str) -> Option<(u64, bool)> {
        self.known.get(id).map(|known| (known.sent.customer, known.sent.has_ceiling))
    }

    pub fn note(&mut self, id: &str, at: Nanos, what: String) {
        if let Some(known) = self.known.get_mut(id) {
            known.history.push((at, what));
        }
    }

    /// A process of a door starts.
    pub fn door_started(&mut self, door: Door) {
        self.doors.insert(door, Standstills::default());
    }

    /// A door is about to be killed: what it holds is for the clients to send again.
    pub fn door_killed(&mut self, door: Door, now: Nanos) {
        let at = |known: &&mut Known| {
            known.answered.is_none() && known.taken.is_some_and(|(taken, ..)| taken == door)
        };
        for known in self.known.values_mut().filter(at) {
            known.history.push((now, "its door was killed".into()));
            known.excused = true;
        }
    }

    /// A door's processes stand still, or go on.
    pub fn door_frozen(&mut self, door: Door, now: Nanos, frozen: bool) {
        let Some(Standstills(since, spans)) = self.doors.get_mut(&door) else { return };
        if frozen {
            *since = since.or(Some(now));
        } else if let Some(since) = since.take() {
            spans.push((since, now));
        }
    }

    /// For how long the door stood still since the request was sent.
    fn stood_still(&self, door: Door, id: &str, now: Nanos) -> Nanos {
        let (Some(stood), Some(known)) = (self.doors.get(&door), self.known.get(id)) else { return 0 };
        let overlap = |(from, to): (Nanos, Nanos)| to.min(now).saturating_sub(from.max(known.sent.at));
        let open = stood.0.map_or(0, |since| overlap((since, now)));
        stood.1.iter().map(|span| overlap(*span)).sum::<Nanos>() + open
    }

    /// Takes in one thing. Whether it is the first time that the request came whole to a node.
    pub fn see(
        &mut self,
        now: Nanos,
        id: &str,
        seen: Seen,
        counts: &mut Counts,
        verdict: &mut Verdict,
    ) -> bool {
        match seen {
            Seen::Sent(sent) => {
                counts.requests += u64::from(!self.known.contains_key(id));
                let known = self.known.entry(id.to_string()).or_insert_with(|| Known::new(sent.clone()));
                (known.sent, known.excused, known.taken, known.gone) = (sent, false, None, None);
                known.answer_begun = false;
                self.note(id, now, "the client sent it".into());
            }
            Seen::Left => {
                if let Some(known) = self.known.get_mut(id) {
                    // One that waits to the end of its patience and 50 ms more is owed an answer all the same.
                    known.excused = true;
                }
                self.note(id, now, "the client left".into());
            }
            Seen::Taken { door, connection } => {
                self.note(id, now, format!("came whole to door {}", door.0));
                if let Some(known) = self.known.get_mut(id) {
                    known.taken = Some((door, now, connection));
                    self.due.insert((known.due().max(now), id.into()));
                }
            }
            Seen::ClientGone => {
                if let Some(known) = self.known.get_mut(id) {
                    known.gone = known.gone.or(Some(now));
                    known.excused = true;
                }
            }
            Seen::Closed => self.closed(now, id, verdict),
            Seen::Begins { door, connection, to, begun } => {
                counts.attempts += 1;
                self.note(id, now, format!("an attempt goes out from door {} to {to}", door.0));
                self.begins(now, id, door, connection, begun, verdict);
            }
            Seen::Written { attempt } => {
                self.note(id, now, format!("attempt {attempt} is written whole"));
                self.attempt(id, attempt, |attempt| attempt.written = true);
            }
            Seen::Ended { attempt, status, never_ran } => {
                self.note(id, now, format!("attempt {attempt} answered {status}"));
                self.attempt(id, attempt, |attempt| {
                    (attempt.over, attempt.never_ran) = (true, attempt.never_ran || never_ran);
                });
            }
            Seen::Over { attempt } => {
                self.note(id, now, format!("attempt {attempt}'s connection is over"));
                self.attempt(id, attempt, |attempt| attempt.over = true);
            }
            Seen::Arrived { node, .. } => {
                self.note(id, now, format!("came whole to node {}", node.0));
                match self.known.get_mut(id) {
                    Some(known) => return !std::mem::replace(&mut known.arrived, true),
                    None => {
                        let what = "a node got a request that no client sent";
                        verdict.break_rule(Rule::Effect, now, Some(id), what);
                    }
                }
            }
            Seen::Ran { node } => {
                self.note(id, now, format!("ran on node {}", node.0));
                let Some(known) = self.known.get_mut(id) else { return false };
                known.ran += 1;
                if known.ran > 1 && known.sent.unsafe_to_repeat {
                    verdict.break_rule(Rule::Effect, now, Some(id), "an unsafe request ran twice");
                }
            }
            Seen::AnswerBegins => {
                if let Some(known) = self.known.get_mut(id) {
                    known.answer_begun = true;
                }
            }
            Seen::Answered { door, answer } => self.answered(now, id, door, answer, counts, verdict),
        }
        false
    }

    fn attempt(&mut self, id: &str, number: usize, change: impl FnOnce(&mut Attempt)) {
        if let Some(attempt) = self.known.get_mut(id).and_then(|known| known.attempts.get_mut(number)) {
            change(attempt);
        }
    }

    fn closed(&mut self, now: Nanos, id: &str, verdict: &mut Verdict) {
        let Some(known) = self.known.get_mut(id) else { return };
        if known.answered.is_some() || known.excused {
            return;
        }
        if known.attempts.is_empty() {
            // The client sends it once more.
            known.taken = None;
            self.note(id, now, "its door closed the connection unread".into());
        } else {
            verdict.break_rule(Rule::Answer, now, Some(id), "closed on it with no answer");
        }
    }

    /// How many attempts of a request were seen.
    pub fn attempts_of(&self, id: &str) -> usize {
        self.known.get(id).map_or(0, |known| known.attempts.len())
    }

    fn begins(
        &mut self,
        now: Nanos,
        id: &str,
        door: Door,
        connection: Connection,
        begun: Nanos,
        verdict: &mut Verdict,
    ) {
        let stood_still = self.stood_still(door, id, now) > 0;
        let Some(known) = self.known.get_mut(id) else {
            verdict.break_rule(Rule::Effect, now, Some(id), "an attempt of a request that no client sent");
            return;
        };
        let number = known.attempts.len();
        let two_out = known.attempts.iter().any(|attempt| !attempt.over);
        let may_have_run = known.may_have_run();
        known.attempts.push(Attempt {
            door,
            connection,
            begun,
            written: false,
            over: false,
            never_ran: false,
        });
        let mut broken = |rule, what: &str| verdict.break_rule(rule, now, Some(id), what);
        if known.answered.is_some_and(|at| at < begun) {
            broken(Rule::Answer, "an attempt goes out behind the final answer");
        }
        // What was due at the same instant may be on its way still, and a door that stood still learns late.
        if known.gone.is_some_and(|at| at + GONE < begun) && !stood_still {
            broken(Rule::Answer, "an attempt goes out for a client that has gone");
        }
        if two_out {
            broken(Rule::Effect, "two attempts are out");
        }
        if known.sent.unsafe_to_repeat && may_have_run {
            broken(Rule::Effect, "an unsafe request that may have run goes out again");
        }
        if number >= self.most_attempts {
            broken(Rule::Effect, &format!("attempt {} of at most {number}", number + 1));
        }
    }

    fn answered(
        &mut self,
        now: Nanos,
        id: &str,
        door: Door,
        answer: Answer,
        counts: &mut Counts,
        verdict: &mut Verdict,
    ) {
        let status = answer.status;
        self.note(id, now, format!("door {} answered {status}", door.0));
        let slack = self.stood_still(door, id, now);
        let Some(known) = self.known.get_mut(id) else { return };
        let mut broken = |rule, what: &str| verdict.break_rule(rule, now, Some(id), what);
        if status != 409 && known.answered.replace(now).is_some() {
            return broken(Rule::Answer, "a second final answer");
        }
        match status {
            200 => counts.served += 1,
            429 | 503 => {
                counts.refused += 1;
                // One that was held until its time was up, or came with none left, is another matter.
                let at_once = known.taken.is_some_and(|(_, at, _)| now < at + 10 * MS)
                    && now + 10 * MS < known.sent.at + known.sent.patience;
                let unadvised = at_once && !answer.advised && known.attempts.is_empty();
                counts.crowded_out += u64::from(unadvised);
            }
            _ => counts.failed += 1,
        }
        if known.excused {
            return;
        }
        let due = known.due() + slack;
        if now > due {
            broken(Rule::Answer, &format!("its answer is {} ms late", (now - due) / MS));
        }
        if status == 200 && !answer.fits {
            broken(Rule::Answer, "served with what was not made for it");
        }
        let has_run = known.may_have_run() || known.ran > 0;
        if matches!(status, 429 | 503) && known.sent.unsafe_to_repeat && has_run {
            broken(
                Rule::Effect,
                "an unsafe request that may have run was refused, which says that it did not",
            );
        }
    }

    /// It is this late: whatever was due before has to be answered. `is_silent` says of a connection that nothing written
    /// to it can arrive.
    pub fn pass_time(&mut self, now: Nanos, is_silent: impl Fn(Connection) -> bool, verdict: &mut Verdict) {
        while let Some((due, id)) = self.due.first().cloned() {
            if due >= now {
                return;
            }
            self.due.pop_first();
            let Some(known) = self.known.get(&id) else { continue };
            let Some((door, _, connection)) = known.taken else { continue };
            if is_silent(connection) || known.answered.is_some() || known.excused || known.answer_begun {
                continue;
            }
            let due_then = known.due() + self.stood_still(door, &id, now);
            if due_then >= now || self.doors.get(&door).is_some_and(|stood| stood.0.is_some()) {
                self.due.insert((due_then.max(now + MS), id));
                continue;
            }
            verdict.break_rule(Rule::Answer, now, Some(&id), "it has no answer in time");
        }
    }
}
