//! Choice of the server: what is known of each, and which gets the next attempt. Of a small fleet a few
//! gateways weigh all; of a greater one, or before many gateways, some that are drawn, the large more
//! often, so that a choice costs the same for any number, from this gateway's arc of the ring. Arcs
//! overlap: as many gateways share each server.

use crate::interface::*;
use brassport_policy_stats::{
    ejection_log_line, AttemptHandle, DecayingFactor, DueQueue, InFlight, TrustedKeyMap, WeightedRing,
};
use oorandom::Rand64;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Most warm servers that a few gateways all weigh, and how many are drawn of more unless an idle one comes
/// sooner: while four in five are busy, all that are drawn are so once in two hundred choices.
const ALL: usize = 32;
const DRAWN: usize = 24;
/// Gateways that share each server of a greater fleet: own work in hand tells of a server's queue only where
/// few others send to it. Hurts where one gateway's customers ask for far more than its neighbours'.
const SHARED: f64 = 4.0;
/// Least servers on an arc beside one for each attempt in hand: few enough that a gateway with few requests
/// finds a connection of its own still open, and has heard of each server of late.
const LEAST_ARC: f64 = 8.0;
/// A server silent for so many mean answer times, with work of ours in hand, is taken to hang.
pub const SILENCE: f64 = 4.0;
/// Mean answer times after which what was learned of a server's pace has faded to a third.
const FADE: f64 = 20.0;
/// Failures in a row that eject a server, and for how many mean answer times at first.
const STRIKES: u32 = 3;
const EJECTED: f64 = 3.0;
/// Part of the allowance for a cold server that is used: the rest covers unlike requests, and gateways that
/// have not heard of its start. Those that have answer for it if they sent two thirds: this is less.
const COLD_MARGIN: f64 = 0.62;
/// A turn that is passed over, as the server is ejected or was tried, comes back after this part of another.
const PASSED_OVER: f64 = 0.25;
/// Most turns that a cold server has saved up.
const MOST_TURNS: f64 = 2.0;
/// A turn is whole but for rounding.
const WHOLE: f64 = 1.0 - 1e-6;
/// Pace of a server below which being faster counts no more: a lucky run must not draw all the work.
const LEAST_PACE: f64 = 0.2;
/// Spread of the random part of a cost: enough to part equals, too little to overrule a difference.
const TIE: f64 = 0.1;
/// Weight of a new sample in the pace of a server.
const SAMPLE: f64 = 0.1;

#[derive(Debug, Serialize, Deserialize)]
pub struct Server {
    entry: ServerEntry,
    /// When own attempts in hand were sent, the oldest first.
    #[serde(skip)]
    out: VecDeque<Millis>,
    /// Time taken against the fleet's mean; it fades to that of the others, so that a server passed over is
    /// tried again.
    slowness: DecayingFactor,
    answered: Millis,
    strikes: u32,
    ejected_until: Millis,
    /// Its part of the fleet, added up over the choices while it was cold; whole ones are its turns. Kept
    /// while it drains: one that is told off and on again has no more of them.
    lot: f64,
    /// While it is cold: since when, up to which count of choices and at which warmth its lot is added up,
    /// and its place in the order of turns.
    cold: Option<Cold>,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Cold {
    launched: Option<Millis>,
    since: Millis,
    at: f64,
    warmth: f64,
    due: f64,
}

/// What a choice is for, and when.
pub struct Wanted<'a> {
    pub settings: &'a Settings,
    pub now: Millis,
    /// The mean answer's time.
    pub mean: Millis,
    /// What a second run does, and where an attempt may have run already.
    pub effect: Effect,
    pub home: Option<ServerEntry>,
    /// Servers that were tried.
    pub tried: &'a dyn Fn(ServerId) -> bool,
    /// Whether the turns of cold servers are another's to spend.
    pub retired: bool,
}

/// The servers.
#[derive(Debug, Serialize, Deserialize)]
pub struct Fleet {
    pub(crate) servers: TrustedKeyMap<ServerId, Server>,
    /// Those that are ready and warm.
    warm: WeightedRing,
    /// Those that are ready and cold: how many, and the sum of the moments since when they are.
    cold: (usize, f64),
    /// When each cold one is warm, and at how many choices its next turn is looked at. Lines that its state
    /// does not bear out are old, and passed over.
    warming: DueQueue,
    turns: DueQueue,
    /// Choices so far, each in parts of the fleet's capacity.
    passed: f64,
    #[serde(skip)]
    in_flight: InFlight,
}

impl Fleet {
    /// No server yet; attempts in hand are counted by their age up to the aim of each class.
    pub fn new(classes: &[Class]) -> Fleet {
        let in_flight = InFlight::new(classes.iter().map(|class| class.aim));
        let (warming, turns) = (DueQueue::default(), DueQueue::default());
        let (servers, warm) = (TrustedKeyMap::default(), WeightedRing::default());
        Fleet { servers, warm, cold: (0, 0.0), warming, turns, passed: 0.0, in_flight }
    }

    /// Goes on under other settings. Cold servers may be warm sooner or later than they were to be.
    pub fn settle(&mut self, settings: &Settings) {
        self.in_flight.set_windows(settings.classes.iter().map(|class| class.aim));
        for (id, server) in &self.servers {
            server.cold.iter().for_each(|cold| self.warming.push(cold.since + settings.cold_for, *id));
        }
    }

    /// Servers, those among them that only end their work.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Servers that take requests.
    pub fn ready(&self) -> usize {
        self.warm.members().len() + self.cold.0
    }

    /// Own attempts in hand.
    pub fn in_hand(&self) -> f64 {
        self.in_flight.len() as f64
    }

    /// Own attempts in hand that can still be in time for the class.
    pub fn young(&mut self, class: usize, now: Millis) -> f64 {
        self.in_flight.count_within(class, now) as f64
    }

    /// What a server is.
    pub fn entry(&self, id: ServerId) -> Option<ServerEntry> {
        Some(self.servers.get(&id)?.entry)
    }

    /// Notes that a server has all of an attempt. Returns what the attempt's end is told with.
    pub fn begin(&mut self, now: Millis, at: ServerId) -> AttemptHandle {
        self.servers.get_mut(&at).into_iter().for_each(|server| server.out.push_back(now));
        self.in_flight.start(now)
    }

    /// Notes the end of an attempt.
    pub fn end(&mut self, id: ServerId, sent: Millis, ticket: AttemptHandle) {
        self.in_flight.finish(ticket);
        let Some(server) = self.servers.get_mut(&id) else { return };
        let place = server.out.iter().position(|at| *at == sent);
        place.and_then(|place| server.out.remove(place));
        if server.out.is_empty() && server.entry.lifecycle == Lifecycle::Gone {
            self.servers.swap_remove(&id);
        }
    }

    /// Whether a server's answers tell of the fleet's room: those of a cold one, which has its turns however
    /// long its queue, only where most are cold. Guards against refusals by all when a part starts anew.
    pub fn is_telling(&self, id: ServerId) -> bool {
        let is_warm = |server: &Server| server.cold.is_none();
        self.cold.0 > self.warm.members().len() || self.servers.get(&id).is_none_or(is_warm)
    }

    /// Whether a server holds work of ours and has said nothing for long, or is not there any more.
    pub fn is_silent(&self, id: ServerId, now: Millis, mean: Millis) -> bool {
        self.servers.get(&id).is_none_or(|server| server.silence(now, mean) > SILENCE)
    }

    /// Learns from the end of an attempt, in terms of the mean answer's time. Returns what staff should read.
    pub fn judge(
        &mut self,
        now: Millis,
        id: ServerId,
        end: &AttemptEnd,
        mean: (Millis, Millis),
    ) -> Option<String> {
        let server = self.servers.get_mut(&id)?;
        server.slowness.decay_to(now, FADE * mean.0.max(1.0));
        let worst = 2.0 * SILENCE;
        let before = server.strikes;
        match end.outcome {
            Outcome::Ok => {
                (server.strikes, server.ejected_until, server.answered) = (0, 0.0, now);
                server.slowness.observe((end.time() / mean.1).min(worst), SAMPLE);
            }
            Outcome::Cancelled => {
                server.slowness.observe_lower_bound((end.time() / mean.1).min(worst), SAMPLE)
            }
            Outcome::Moot => {}
            // Guards against a server that fails some or all of what it gets, at once or late: each failure
            // weighs as a very slow answer, and some in a row eject it. Hurts if the fault is the request's.
            _ => {
                server.strikes += 1;
                server.slowness.observe(worst, SAMPLE);
                if matches!(end.outcome, Outcome::Full | Outcome::Error) {
                    server.answered = now;
                }
            }
        }
        if server.strikes >= STRIKES {
            let doublings = (server.strikes - STRIKES).min(4);
            server.ejected_until = now + EJECTED * mean.1 * f64::from(1u32 << doublings);
        }
        ejection_log_line(id, before >= STRIKES, server.strikes, STRIKES)
    }

    /// Picks the server with the least expected wait, as far as own work and answers tell.
    pub fn choose(&mut self, wanted: &Wanted, rng: &mut Rand64) -> Option<ServerId> {
        while let Some((_, id)) = self.warming.pop_due(wanted.now) {
            self.place(id, wanted.settings, wanted.now);
        }
        let (drawn, spare) = self.cold_turn(wanted);
        if drawn.is_some() {
            return drawn;
        }
        let mut best: [Option<(f64, ServerId)>; 2] = [None, None];
        let (warm, gateways) = (self.warm.members(), f64::from(wanted.settings.gateways));
        let middle = (f64::from(wanted.settings.ordinal) + 0.5) / gateways;
        let least = (LEAST_ARC + self.in_hand()) / warm.len().max(1) as f64;
        let arc = (SHARED / gateways).max(least).min(1.0);
        let all = warm.len() <= ALL && gateways <= SHARED;
        for arc in [arc, 1.0] {
            for _ in 0..if all || best[0].is_some() { 0 } else { DRAWN } {
                let part = (middle + arc * (rng.rand_float() - 0.5)).rem_euclid(1.0);
                let Some(id) = self.warm.sample(part) else { break };
                if self.weigh(id, wanted, rng, &mut best) {
                    return Some(id);
                }
            }
        }
        // All of a small fleet; and of a great one where none will do that was drawn from the arc, then from
        // all: nearly all are ejected, or only one group's servers may have the request.
        if best[0].is_none() {
            warm.iter().for_each(|&id| _ = self.weigh(id, wanted, rng, &mut best));
        }
        if let Some((_, id)) = best[0] {
            return Some(id);
        }
        if let Some(cold) = spare.and_then(|id| self.servers.get_mut(&id)) {
            cold.lot = (cold.lot - 1.0).max(0.0);
        }
        spare.or(best[1].map(|(_, id)| id))
    }

    /// Weighs one server: among those that may be sent to, or those that are ejected or were tried. Returns
    /// whether none need be looked for beside it: an idle one of the mean size and pace makes wait as long.
    fn weigh(
        &self,
        id: ServerId,
        wanted: &Wanted,
        rng: &mut Rand64,
        best: &mut [Option<(f64, ServerId)>; 2],
    ) -> bool {
        let Some(server) = self.servers.get(&id).filter(|server| server.may_have(wanted)) else {
            return false;
        };
        let (now, mean) = (wanted.now, wanted.mean);
        let far = if server.entry.zone == wanted.settings.zone { 1.0 } else { wanted.settings.tuning.far };
        let slowness = server.slowness.value_at(now, FADE * mean.max(1.0));
        let pace = slowness.max(server.silence(now, mean) / 2.0).max(LEAST_PACE);
        let wait = (server.out.len() as f64 + 1.0) * pace * far / server.entry.size();
        let cost = wait * (1.0 + TIE * rng.rand_float());
        let waits = server.is_ejected(now) || (wanted.tried)(id);
        let rank = &mut best[usize::from(waits)];
        if rank.is_none_or(|(least, _)| cost < least) {
            *rank = Some((cost, id));
        }
        !waits && wait * self.warm.mean_weight() <= 1.0
    }

    /// Guards against tipping a cold server over: it has turns for its part of the fleet, whatever its
    /// answers, so that all gateways, however many, send it no more for its capacity than a warm one; with
    /// few warm ones left, the rest is refused. Hurts where warmth is understated. Systematic, from a drawn
    /// start: turns drawn each by itself came in runs that tipped it over. Counts one choice. Returns the
    /// cold server whose turn it is, or one that is ejected or was tried, for want of a better.
    fn cold_turn(&mut self, wanted: &Wanted) -> (Option<ServerId>, Option<ServerId>) {
        let (settings, now, (count, since)) = (wanted.settings, wanted.now, self.cold);
        if count == 0 || wanted.retired {
            return (None, None);
        }
        let ready = self.ready() as f64;
        let ramp = (count as f64 * now - since) / settings.cold_for;
        let capacity = ready - (1.0 - settings.cold_from) * (count as f64 - ramp);
        self.passed += 1.0 / f64::max(capacity, ready / (COLD_MARGIN * settings.tip_multiple).max(1.0));
        let mut spare = None;
        while let Some((due, id)) = self.turns.pop_due(self.passed) {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            let will_do = server.may_have(wanted);
            let waits = server.is_ejected(now) || (wanted.tried)(id);
            let Some(cold) = server.cold.as_mut().filter(|cold| cold.due == due) else { continue };
            // Its warmth grew meanwhile: the mean of both ends.
            let warmth = settings.warmth(now - cold.since);
            let lot = server.lot + (self.passed - cold.at) * (cold.warmth + warmth) / 2.0;
            server.lot = lot.min(MOST_TURNS);
            (cold.at, cold.warmth) = (self.passed, warmth);
            let turn = server.lot >= WHOLE;
            let taken = turn && will_do && !waits;
            server.lot -= if taken { server.lot.min(1.0) } else { 0.0 };
            let next = if turn && !taken { PASSED_OVER } else { (1.0 - server.lot).max(0.0) };
            // Later than now whatever the rounding, so that each is looked at once a choice.
            let later = self.passed * (1.0 + f64::EPSILON) + f64::MIN_POSITIVE;
            cold.due = later.max(self.passed + next / warmth.max(f64::MIN_POSITIVE));
            self.turns.push(cold.due, id);
            if taken {
                return (Some(id), None);
            }
            spare = spare.or((turn && will_do).then_some(id));
        }
        (None, spare)
    }

    /// Puts a server where it belongs by now.
    fn place(&mut self, id: ServerId, settings: &Settings, now: Millis) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        let ready = server.entry.lifecycle == Lifecycle::Ready;
        let launched = server.entry.launched;
        let same = server.cold.filter(|cold| cold.launched == launched);
        // A start that is told for later is taken for one by now.
        let since = same.map(|cold| cold.since).or(launched.map(|at| at.min(now)));
        let since = since.filter(|since| ready && now < since + settings.cold_for);
        if since.is_some() && same.is_some() {
            return;
        }
        let before = server.cold.take();
        self.cold = before.map_or(self.cold, |was| (self.cold.0 - 1, self.cold.1 - was.since));
        if let Some(since) = since {
            let (at, warmth) = (self.passed, settings.warmth(now - since));
            server.cold = Some(Cold { launched, since, at, warmth, due: at });
            self.cold = (self.cold.0 + 1, self.cold.1 + since);
            self.turns.push(at, id);
            self.warming.push(since + settings.cold_for, id);
        }
        if self.cold.0 == 0 {
            // Nothing is left of what rounding has added up, and no old line.
            (self.cold.1, self.passed) = (0.0, 0.0);
            self.turns.clear();
            self.warming.clear();
        }
        let is_warm = ready && server.cold.is_none();
        self.warm.set_weight(id, if is_warm { server.entry.size() } else { 0.0 });
    }

    /// Follows the server list. A server that drains or is gone gets nothing from this moment on.
    pub fn list(
        &mut self,
        settings: &Settings,
        now: Millis,
        (kind, entries): (ListKind, Vec<ServerEntry>),
        rng: &mut Rand64,
    ) {
        let mut touched: Vec<ServerId> = entries.iter().map(|entry| entry.id).collect();
        if kind != ListKind::Delta {
            self.servers.values_mut().for_each(|server| server.entry.lifecycle = Lifecycle::Gone);
            touched = self.servers.keys().copied().chain(touched).collect();
        }
        for entry in entries {
            let lot = if entry.launched.is_some() { rng.rand_float() } else { 0.0 };
            let server = self.servers.entry(entry.id).or_insert_with(|| Server::new(entry, now, lot));
            if entry.launched.is_some() && entry.launched != server.entry.launched {
                (server.strikes, server.ejected_until, server.slowness) = (0, 0.0, DecayingFactor::new(now));
            }
            server.entry = entry;
        }
        for id in touched {
            self.place(id, settings, now);
            let over = |server: &Server| server.entry.lifecycle == Lifecycle::Gone && server.out.is_empty();
            if self.servers.get(&id).is_some_and(over) {
                self.servers.swap_remove(&id);
            }
        }
    }
}

impl Server {
    fn new(entry: ServerEntry, now: Millis, lot: f64) -> Server {
        let (out, strikes, ejected_until) = (VecDeque::new(), 0, 0.0);
        let (slowness, cold) = (DecayingFactor::new(now), None);
        Server { entry, out, slowness, answered: now, strikes, ejected_until, lot, cold }
    }

    /// Whether it may have the request at all: a repeat of a keyed one goes to servers that would drop it.
    fn may_have(&self, wanted: &Wanted) -> bool {
        match (wanted.effect, wanted.home) {
            (Effect::Keyed { scope: Scope::Zone, .. }, Some(home)) => home.zone == self.entry.zone,
            (Effect::Keyed { scope: Scope::Cell, .. }, Some(home)) => home.cell == self.entry.cell,
            _ => true,
        }
    }

    pub fn is_ejected(&self, now: Millis) -> bool {
        now < self.ejected_until || (self.strikes >= STRIKES && !self.out.is_empty())
    }

    /// For how many mean answer times it has held work of ours and said nothing. Hung, paused, slow, cut off
    /// or lying: from here it looks the same, and the answer is the same.
    fn silence(&self, now: Millis, mean: Millis) -> f64 {
        let Some(oldest) = self.out.front() else { return 0.0 };
        (now - oldest.max(self.answered)) / mean.max(1.0)
    }
}
