//! Slow start: how many requests a server gets while it warms up.
//!
//! A server that is warming up collapses when it is sent much more than its present capacity. So it gets
//! turns, for its part of the fleet's present capacity, whatever its response times: all gateways together,
//! however many, then send it no more for its capacity than a warm one. With few warm servers left, the rest
//! is rejected. Turns are systematic, from a random start: independent draws come in runs that overload it.

use crate::interface::*;
use crate::load_balancer::{LoadBalancer, Selection};
use serde::{Deserialize, Serialize};

/// Part of the allowance for a server in warm-up that is used. The rest covers unlike requests, and gateways
/// that have not heard of its start; those that have are safe below two thirds.
const ALLOWANCE_MARGIN: f64 = 0.62;
/// A turn that is skipped, as the server is ejected or was tried, comes back after this part of another.
const SKIPPED_TURN: f64 = 0.25;
/// Most turns that a server accumulates.
const MAX_TURNS: f64 = 2.0;
/// A complete turn, but for rounding.
const COMPLETE_TURN: f64 = 1.0 - 1e-6;

/// A server's warm-up.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(expecting = "struct Cold")]
pub struct WarmUp {
    launched: Option<Millis>,
    /// When it began.
    pub since: Millis,
    /// Up to which count of choices, and at which part of the full capacity then, the credit of turns is
    /// computed.
    at: f64,
    warmth: f64,
    /// Count of choices at which its next turn is considered.
    due: f64,
}

/// How many servers are warming up, and the sum of the moments since when they are; serialized as a row.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(from = "(usize, f64)", into = "(usize, f64)")]
pub struct WarmUpCount {
    /// Servers that are warming up.
    pub count: usize,
    since_sum: f64,
}

impl From<(usize, f64)> for WarmUpCount {
    fn from((count, since_sum): (usize, f64)) -> WarmUpCount {
        WarmUpCount { count, since_sum }
    }
}

impl From<WarmUpCount> for (usize, f64) {
    fn from(warming: WarmUpCount) -> Self {
        (warming.count, warming.since_sum)
    }
}

/// The outcome of counting one choice.
#[derive(Debug, Clone, Copy, Default)]
pub struct Turn {
    /// The server whose turn it is.
    pub server: Option<ServerId>,
    /// A server with a turn that is ejected or was tried, for want of a better one.
    pub fallback: Option<ServerId>,
}

impl LoadBalancer {
    /// Counts one choice, and returns whose turn it is.
    pub(crate) fn next_turn(&mut self, selection: &Selection) -> Turn {
        if self.warming_up.count == 0 || selection.retired {
            return Turn::default();
        }
        self.choices += self.choice_size(selection);
        let mut fallback = None;
        while let Some((due, id)) = self.turns.pop_due(self.choices) {
            match self.consider_turn(id, due, selection) {
                Considered::Taken => return Turn { server: Some(id), fallback: None },
                Considered::Skipped => fallback = fallback.or(Some(id)),
                Considered::NotYet => {}
            }
        }
        Turn { server: None, fallback }
    }

    /// One choice in parts of the fleet's present capacity.
    fn choice_size(&self, selection: &Selection) -> f64 {
        let (settings, now) = (selection.settings, selection.now);
        let WarmUpCount { count, since_sum } = self.warming_up;
        let ready = self.ready() as f64;
        let ramp = (count as f64 * now - since_sum) / settings.warm_up_duration;
        let capacity = ready - (1.0 - settings.warm_up_start_fraction) * (count as f64 - ramp);
        1.0 / f64::max(capacity, ready / (ALLOWANCE_MARGIN * settings.collapse_load).max(1.0))
    }

    fn consider_turn(&mut self, id: ServerId, due: f64, selection: &Selection) -> Considered {
        let (settings, now) = (selection.settings, selection.now);
        let Some(server) = self.servers.get_mut(&id) else { return Considered::NotYet };
        let may_serve = server.may_serve(selection);
        let is_avoided = server.is_ejected(now) || (selection.tried)(id);
        // An entry that the server's state does not confirm is outdated.
        let warm_up = server.warm_up.as_mut().filter(|warm_up| warm_up.due == due);
        let Some(warm_up) = warm_up else { return Considered::NotYet };
        // The capacity grew since the last time: the mean of both ends.
        let warmth = settings.slow_start_factor(now - warm_up.since);
        let credit = server.turn_credit + (self.choices - warm_up.at) * (warm_up.warmth + warmth) / 2.0;
        server.turn_credit = credit.min(MAX_TURNS);
        (warm_up.at, warm_up.warmth) = (self.choices, warmth);
        let has_turn = server.turn_credit >= COMPLETE_TURN;
        let is_taken = has_turn && may_serve && !is_avoided;
        server.turn_credit -= if is_taken { server.turn_credit.min(1.0) } else { 0.0 };
        let next = if has_turn && !is_taken { SKIPPED_TURN } else { (1.0 - server.turn_credit).max(0.0) };
        // Later than now whatever the rounding, so that each is considered once a choice.
        let later = self.choices * (1.0 + f64::EPSILON) + f64::MIN_POSITIVE;
        warm_up.due = later.max(self.choices + next / warmth.max(f64::MIN_POSITIVE));
        self.turns.push(warm_up.due, id);
        match (is_taken, has_turn && may_serve) {
            (true, _) => Considered::Taken,
            (false, true) => Considered::Skipped,
            (false, false) => Considered::NotYet,
        }
    }

    /// Spends a turn of a server in warm-up that was chosen as the fallback.
    pub(crate) fn spend_turn(&mut self, id: ServerId) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.turn_credit = (server.turn_credit - 1.0).max(0.0);
        }
    }

    /// Ends the warm-ups that are over by now.
    pub(crate) fn end_warm_ups(&mut self, settings: &Settings, now: Millis) {
        while let Some((_, id)) = self.warm_up_ends.pop_due(now) {
            self.classify(id, settings, now);
        }
    }

    /// Puts a server into the warm set, into warm-up, or into neither, by its line of the list and the time.
    pub(crate) fn classify(&mut self, id: ServerId, settings: &Settings, now: Millis) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let is_ready = server.entry.lifecycle == Lifecycle::Ready;
        let launched = server.entry.launched_at;
        let same = server.warm_up.filter(|warm_up| warm_up.launched == launched);
        // A start in the future, by an unsynchronized clock, is taken for one now.
        let since = same.map(|warm_up| warm_up.since).or(launched.map(|at| at.min(now)));
        let since = since.filter(|since| is_ready && now < since + settings.warm_up_duration);
        if since.is_some() && same.is_some() {
            return;
        }
        if let Some(before) = server.warm_up.take() {
            self.warming_up.count -= 1;
            self.warming_up.since_sum -= before.since;
        }
        if let Some(since) = since {
            let (at, warmth) = (self.choices, settings.slow_start_factor(now - since));
            server.warm_up = Some(WarmUp { launched, since, at, warmth, due: at });
            self.warming_up.count += 1;
            self.warming_up.since_sum += since;
            self.turns.push(at, id);
            self.warm_up_ends.push(since + settings.warm_up_duration, id);
        }
        let is_warm = is_ready && server.warm_up.is_none();
        let weight = if is_warm { server.entry.relative_capacity() } else { 0.0 };
        if self.warming_up.count == 0 {
            // Drops accumulated rounding and outdated entries.
            (self.warming_up.since_sum, self.choices) = (0.0, 0.0);
            self.turns.clear();
            self.warm_up_ends.clear();
        }
        self.warm.set_weight(id, weight);
    }
}

/// What came of considering a server's turn.
enum Considered {
    /// It has the turn.
    Taken,
    /// It has one and could serve the request, but is ejected or was tried.
    Skipped,
    /// It has none, or may not serve the request.
    NotYet,
}
