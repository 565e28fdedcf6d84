//! Load balancing: which server gets the next attempt.
//!
//! The server with the least expected wait is chosen, as far as this gateway's attempts in flight and their
//! response times show. A few gateways with a small fleet weigh all servers. Otherwise a fixed number is
//! sampled by relative capacity, so that a choice costs the same for any fleet, from this gateway's arc of a
//! ring of servers: the arcs overlap, and as many gateways share each server. Servers in warm-up get turns
//! instead (`slow_start.rs`).

use crate::interface::*;
use crate::server::{MeanResponse, Server, HUNG_SILENCE};
use crate::slow_start::WarmUpCount;
use brassport_policy_stats::{AttemptHandle, DueQueue, InFlightAttempts, TrustedKeyMap, WeightedRing};
use oorandom::Rand64;
use serde::{Deserialize, Serialize};

/// Most warm servers that are all weighed, by few gateways.
const MAX_WEIGHED_FLEET: usize = 32;
/// Most servers sampled from a larger fleet, until an idle one is found: with four in five busy, all samples
/// are busy once in two hundred choices.
const SAMPLES: usize = 24;
/// Gateways that share each server of a larger fleet: attempts in flight show a server's queue only if few
/// others send to it. Costs evenness where one gateway's customers ask for far more than its neighbours'.
const GATEWAYS_PER_SERVER: f64 = 4.0;
/// Least servers on an arc, beside one for each attempt in flight: few enough that a gateway with few
/// requests finds open connections, and has recent response times of each.
const MIN_ARC_SERVERS: f64 = 8.0;
/// Random part of a cost: enough to separate equals, too little to outweigh a difference.
const TIE_BREAK: f64 = 0.1;

/// What a server is selected for.
pub struct Selection<'a> {
    /// The settings.
    pub settings: &'a Settings,
    /// The moment.
    pub now: Millis,
    /// Mean response time over all classes, in milliseconds.
    pub mean_response: Millis,
    /// What a second run of the request does.
    pub retry_safety: RetrySafety,
    /// Where an attempt may have run already.
    pub ran_at: Option<ServerEntry>,
    /// Whether a server was tried for this request.
    pub tried: &'a dyn Fn(ServerId) -> bool,
    /// Whether another gateway has replaced this one, and spends the turns of servers in warm-up.
    pub retired: bool,
}

/// A server with the cost of choosing it.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    cost: f64,
    id: ServerId,
}

/// The cheapest servers that were weighed.
#[derive(Debug, Default)]
struct Candidates {
    /// Among those that are neither ejected nor were tried.
    preferred: Option<Candidate>,
    /// Among the others.
    fallback: Option<Candidate>,
}

/// Whether the search for a server goes on after one was weighed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Search {
    Continue,
    /// An idle server of at least mean capacity and pace: none is better by more than the tie break.
    Stop,
}

/// The servers.
#[derive(Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Fleet")]
pub struct LoadBalancer {
    pub(crate) servers: TrustedKeyMap<ServerId, Server>,
    /// Those that are ready and warm, by relative capacity.
    pub(crate) warm: WeightedRing,
    /// Those that are ready and warming up.
    #[serde(rename = "cold")]
    pub(crate) warming_up: WarmUpCount,
    /// When each warm-up ends. Entries that the server's state does not confirm are outdated.
    #[serde(rename = "warming")]
    pub(crate) warm_up_ends: DueQueue,
    /// At how many choices the next turn of each server in warm-up is considered; may be outdated as well.
    pub(crate) turns: DueQueue,
    /// Choices so far, each in parts of the fleet's capacity then.
    #[serde(rename = "passed")]
    pub(crate) choices: f64,
    #[serde(skip)]
    in_flight: InFlightAttempts,
}

impl LoadBalancer {
    /// No server yet. Attempts in flight are counted by age up to the latency target of each class.
    pub fn new(classes: &[Class]) -> LoadBalancer {
        LoadBalancer {
            servers: TrustedKeyMap::default(),
            warm: WeightedRing::default(),
            warming_up: WarmUpCount::default(),
            warm_up_ends: DueQueue::default(),
            turns: DueQueue::default(),
            choices: 0.0,
            in_flight: InFlightAttempts::new(classes.iter().map(|class| class.latency_target)),
        }
    }

    /// Applies new settings. Warm-ups may end sooner or later than before.
    pub fn reconfigure(&mut self, settings: &Settings) {
        self.in_flight.set_windows(settings.classes.iter().map(|class| class.latency_target));
        for (id, server) in &self.servers {
            let warm_up = server.warm_up.iter();
            warm_up
                .for_each(|warm_up| self.warm_up_ends.push(warm_up.since + settings.warm_up_duration, *id));
        }
    }

    /// Servers, removed ones with attempts in flight among them.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Servers that take requests.
    pub fn ready(&self) -> usize {
        self.warm.members().len() + self.warming_up.count
    }

    /// This gateway's attempts in flight.
    pub fn in_flight(&self) -> f64 {
        self.in_flight.len() as f64
    }

    /// This gateway's attempts in flight that can still meet the latency target of a class.
    pub fn in_flight_within_target(&mut self, class: usize, now: Millis) -> f64 {
        self.in_flight.count_within(class, now) as f64
    }

    /// A server's line of the list.
    pub fn entry(&self, id: ServerId) -> Option<ServerEntry> {
        Some(self.servers.get(&id)?.entry)
    }

    /// Records that a server has an attempt completely. Returns a handle for its end.
    pub fn start_attempt(&mut self, now: Millis, id: ServerId) -> AttemptHandle {
        self.servers.get_mut(&id).into_iter().for_each(|server| server.start_attempt(now));
        self.in_flight.start(now)
    }

    /// Records the end of an attempt that was sent at this moment.
    pub fn end_attempt(&mut self, id: ServerId, sent: Millis, handle: AttemptHandle) {
        self.in_flight.finish(handle);
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.end_attempt(sent);
        if server.is_forgettable() {
            self.servers.swap_remove(&id);
        }
    }

    /// Whether a server's response times show the fleet's capacity: those of one in warm-up, which has its
    /// turns whatever its queue, only if most are warming up. Else all gateways would reject while a part
    /// restarts.
    pub fn is_representative(&self, id: ServerId) -> bool {
        let is_warm = |server: &Server| server.warm_up.is_none();
        self.warming_up.count > self.warm.members().len() || self.servers.get(&id).is_none_or(is_warm)
    }

    /// Whether a server with an attempt in flight has long been silent, or is no longer listed.
    pub fn is_hung(&self, id: ServerId, now: Millis, mean_response: Millis) -> bool {
        self.servers.get(&id).is_none_or(|server| server.silence(now, mean_response) > HUNG_SILENCE)
    }

    /// Learns from the end of an attempt. Returns a log line if its server was ejected by it, or is no
    /// longer.
    pub fn record_outcome(
        &mut self,
        now: Millis,
        id: ServerId,
        end: &AttemptEnd,
        mean: MeanResponse,
    ) -> Option<String> {
        self.servers.get_mut(&id)?.record_outcome(now, end, mean)
    }

    /// Chooses the server with the least expected wait; `None` if none may be sent the request.
    pub fn choose(&mut self, selection: &Selection, rng: &mut Rand64) -> Option<ServerId> {
        self.end_warm_ups(selection.settings, selection.now);
        let turn = self.next_turn(selection);
        if turn.server.is_some() {
            return turn.server;
        }
        let mut candidates = Candidates::default();
        let idle = self.sample(selection, rng, &mut candidates);
        if idle.is_some() {
            return idle;
        }
        // All of a small fleet; and of a large one if no sample was acceptable: nearly all are ejected, or
        // only the servers of one zone or cell may have the request.
        if candidates.preferred.is_none() {
            let warm = self.warm.members();
            warm.iter().for_each(|&id| _ = self.weigh(id, selection, rng, &mut candidates));
        }
        if let Some(preferred) = candidates.preferred {
            return Some(preferred.id);
        }
        turn.fallback.into_iter().for_each(|id| self.spend_turn(id));
        turn.fallback.or(candidates.fallback.map(|candidate| candidate.id))
    }

    /// Weighs samples of a larger fleet: from this gateway's arc, and if none was acceptable from the ring.
    /// Returns one that is idle.
    fn sample(
        &self,
        selection: &Selection,
        rng: &mut Rand64,
        candidates: &mut Candidates,
    ) -> Option<ServerId> {
        let (warm, gateways) = (self.warm.members(), f64::from(selection.settings.gateways));
        if warm.len() <= MAX_WEIGHED_FLEET && gateways <= GATEWAYS_PER_SERVER {
            return None;
        }
        let middle = (f64::from(selection.settings.ordinal) + 0.5) / gateways;
        let min_arc = (MIN_ARC_SERVERS + self.in_flight()) / warm.len().max(1) as f64;
        let own_arc = (GATEWAYS_PER_SERVER / gateways).max(min_arc).min(1.0);
        for arc in [own_arc, 1.0] {
            if candidates.preferred.is_some() {
                break;
            }
            for _ in 0..SAMPLES {
                let fraction = (middle + arc * (rng.rand_float() - 0.5)).rem_euclid(1.0);
                let Some(id) = self.warm.sample(fraction) else { break };
                if self.weigh(id, selection, rng, candidates) == Search::Stop {
                    return Some(id);
                }
            }
        }
        None
    }

    /// Weighs one server, unless it may not serve the request.
    fn weigh(
        &self,
        id: ServerId,
        selection: &Selection,
        rng: &mut Rand64,
        candidates: &mut Candidates,
    ) -> Search {
        let server = self.servers.get(&id).filter(|server| server.may_serve(selection));
        let Some(server) = server else { return Search::Continue };
        let (settings, now) = (selection.settings, selection.now);
        let zone_factor =
            if server.entry.zone == settings.zone { 1.0 } else { settings.tuning.remote_zone_factor };
        let wait = server.expected_wait(now, selection.mean_response, zone_factor);
        let cost = wait * (1.0 + TIE_BREAK * rng.rand_float());
        let is_avoided = server.is_ejected(now) || (selection.tried)(id);
        let best = if is_avoided { &mut candidates.fallback } else { &mut candidates.preferred };
        if best.is_none_or(|best| cost < best.cost) {
            *best = Some(Candidate { cost, id });
        }
        if !is_avoided && wait * self.warm.mean_weight() <= 1.0 {
            Search::Stop
        } else {
            Search::Continue
        }
    }

    /// Applies the server list or changes to it. A server that is draining or removed gets nothing from now
    /// on.
    pub fn apply_list(
        &mut self,
        settings: &Settings,
        now: Millis,
        (kind, entries): (ListKind, Vec<ServerEntry>),
        rng: &mut Rand64,
    ) {
        let mut touched: Vec<ServerId> = entries.iter().map(|entry| entry.id).collect();
        if kind != ListKind::Delta {
            self.servers.values_mut().for_each(|server| server.entry.lifecycle = Lifecycle::Removed);
            touched = self.servers.keys().copied().chain(touched).collect();
        }
        for entry in entries {
            // A random start, so that gateways do not give their turns at once.
            let turn_credit = if entry.launched_at.is_some() { rng.rand_float() } else { 0.0 };
            let server = self.servers.entry(entry.id).or_insert_with(|| Server::new(entry, now, turn_credit));
            server.update(entry, now);
        }
        for id in touched {
            self.classify(id, settings, now);
            if self.servers.get(&id).is_some_and(Server::is_forgettable) {
                self.servers.swap_remove(&id);
            }
        }
    }
}
