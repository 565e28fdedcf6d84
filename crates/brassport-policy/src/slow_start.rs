//! Slow start: limits the requests that a server gets while it warms up.
//!
//! A server in warm-up collapses if it gets much more load than its present capacity. It therefore gets turns
//! in proportion to its share of the fleet's present capacity, regardless of its response times. Any number
//! of gateways together then send it no more load, relative to its capacity, than a warm server. If few warm
//! servers are left, the remaining requests are rejected. Turns are evenly spaced from a random start, since
//! independent random draws would sometimes give a server many turns in a row, which would overload it.

use crate::interface::*;
use crate::load_balancer::{LoadBalancer, Selection};
use serde::{Deserialize, Serialize};

/// Fraction of the allowed load of a server in warm-up that is used. The rest is a margin for requests of
/// unequal cost and for gateways that do not know of the server's start yet; for the gateways that know of
/// it, any value below two thirds is safe.
const ALLOWANCE_MARGIN: f64 = 0.62;
/// Fraction of a turn after which a skipped turn is considered again. A turn is skipped if the server is
/// ejected, was tried for the request or may not serve it.
const SKIPPED_TURN_DELAY: f64 = 0.25;
/// Maximum number of turns that a server accumulates.
const MAX_TURNS: f64 = 2.0;
/// Credit of a complete turn, less a tolerance for rounding.
const COMPLETE_TURN: f64 = 1.0 - 1e-6;

/// State of a server's warm-up.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(expecting = "struct Cold")]
pub struct WarmUp {
    launched: Option<Millis>,
    /// Start of the warm-up.
    pub since: Millis,
    /// Value of `LoadBalancer::choices` up to which the turn credit is computed.
    #[serde(rename = "at")]
    credited_until: f64,
    /// Fraction of its full capacity that the server had at `credited_until`.
    #[serde(rename = "warmth")]
    capacity_fraction: f64,
    /// Value of `LoadBalancer::choices` at which the next turn is considered.
    due: f64,
}

/// Number of servers in warm-up, and the sum of the start times of their warm-ups; serialized as an array.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(from = "(usize, f64)", into = "(usize, f64)")]
pub struct WarmUpCount {
    /// Number of servers in warm-up.
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

/// Result of counting one choice.
#[derive(Debug, Clone, Copy, Default)]
pub struct Turn {
    /// The server that has the turn.
    pub server: Option<ServerId>,
    /// A server that has a turn but is ejected or was tried for the request; used if there is no better one.
    pub fallback: Option<ServerId>,
}

impl LoadBalancer {
    /// Counts one choice, and returns the server in warm-up that has the turn, if any.
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
                Considered::NoTurn => {}
            }
        }
        Turn { server: None, fallback }
    }

    /// Size of one choice: 1 / the fleet's present capacity, in warm servers of equal capacity.
    fn choice_size(&self, selection: &Selection) -> f64 {
        let (settings, now) = (selection.settings, selection.now);
        let WarmUpCount { count, since_sum } = self.warming_up;
        let ready = self.ready() as f64;
        let ramp = (count as f64 * now - since_sum) / settings.warm_up_duration;
        let capacity = ready - (1.0 - settings.warm_up_start_fraction) * (count as f64 - ramp);
        1.0 / f64::max(capacity, ready / (ALLOWANCE_MARGIN * settings.collapse_load).max(1.0))
    }

    /// Updates a server's turn credit, schedules its next turn, and returns whether it takes this one.
    fn consider_turn(&mut self, id: ServerId, due: f64, selection: &Selection) -> Considered {
        let (settings, now) = (selection.settings, selection.now);
        let Some(server) = self.servers.get_mut(&id) else { return Considered::NoTurn };
        let may_serve = server.may_serve(selection);
        let is_avoided = server.is_ejected(now) || (selection.tried)(id);
        // A queue entry that the server's state does not confirm is stale.
        let warm_up = server.warm_up.as_mut().filter(|warm_up| warm_up.due == due);
        let Some(warm_up) = warm_up else { return Considered::NoTurn };
        // The capacity increased since the last update: uses the mean of both values.
        let capacity_fraction = settings.slow_start_factor(now - warm_up.since);
        let fractions = warm_up.capacity_fraction + capacity_fraction;
        let credit = server.turn_credit + (self.choices - warm_up.credited_until) * fractions / 2.0;
        server.turn_credit = credit.min(MAX_TURNS);
        (warm_up.credited_until, warm_up.capacity_fraction) = (self.choices, capacity_fraction);
        let has_turn = server.turn_credit >= COMPLETE_TURN;
        let is_taken = has_turn && may_serve && !is_avoided;
        server.turn_credit -= if is_taken { server.turn_credit.min(1.0) } else { 0.0 };
        let next =
            if has_turn && !is_taken { SKIPPED_TURN_DELAY } else { (1.0 - server.turn_credit).max(0.0) };
        // Strictly greater than `choices` in spite of rounding, so that each server is considered once per
        // choice.
        let later = self.choices * (1.0 + f64::EPSILON) + f64::MIN_POSITIVE;
        warm_up.due = later.max(self.choices + next / capacity_fraction.max(f64::MIN_POSITIVE));
        self.turns.push(warm_up.due, id);
        match (is_taken, has_turn && may_serve) {
            (true, _) => Considered::Taken,
            (false, true) => Considered::Skipped,
            (false, false) => Considered::NoTurn,
        }
    }

    /// Spends a turn of a server in warm-up that was chosen as a fallback.
    pub(crate) fn spend_turn(&mut self, id: ServerId) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.turn_credit = (server.turn_credit - 1.0).max(0.0);
        }
    }

    /// Ends the warm-ups that are complete at time `now`.
    pub(crate) fn end_warm_ups(&mut self, settings: &Settings, now: Millis) {
        while let Some((_, id)) = self.warm_up_ends.pop_due(now) {
            self.classify(id, settings, now);
        }
    }

    /// Adds a server to the warm servers or to those in warm-up, or to neither, by its list entry and the
    /// time.
    pub(crate) fn classify(&mut self, id: ServerId, settings: &Settings, now: Millis) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let is_ready = server.entry.lifecycle == Lifecycle::Ready;
        let launched = server.entry.launched_at;
        let same = server.warm_up.filter(|warm_up| warm_up.launched == launched);
        // A launch time in the future, from an unsynchronized clock, counts as a launch now.
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
            let (due, capacity_fraction) = (self.choices, settings.slow_start_factor(now - since));
            server.warm_up = Some(WarmUp { launched, since, credited_until: due, capacity_fraction, due });
            self.warming_up.count += 1;
            self.warming_up.since_sum += since;
            self.turns.push(due, id);
            self.warm_up_ends.push(since + settings.warm_up_duration, id);
        }
        let is_warm = is_ready && server.warm_up.is_none();
        let weight = if is_warm { server.entry.relative_capacity() } else { 0.0 };
        if self.warming_up.count == 0 {
            // Discards accumulated rounding errors and stale entries.
            (self.warming_up.since_sum, self.choices) = (0.0, 0.0);
            self.turns.clear();
            self.warm_up_ends.clear();
        }
        self.warm.set_weight(id, weight);
    }
}

/// Result of considering a server for a turn.
enum Considered {
    /// The server takes the turn.
    Taken,
    /// The server has a turn and may serve the request, but is ejected or was tried.
    Skipped,
    /// The server has no turn, or may not serve the request.
    NoTurn,
}
