//! Load balancing: selects the server for the next attempt.
//!
//! The server with the least expected wait is chosen, estimated from this gateway's own attempts in flight
//! and response times. With few gateways and a small fleet, all servers are compared. Otherwise a fixed
//! number of servers is sampled by relative capacity, so that the cost of a choice does not depend on the
//! fleet size. Samples come from this gateway's arc of a ring of servers; the arcs overlap, and each server
//! is on the arcs of equally many gateways. Servers in warm-up get turns instead (`slow_start.rs`).

use crate::interface::*;
use crate::server::{MeanResponse, Server, HUNG_SILENCE};
use crate::slow_start::WarmUpCount;
use brassport_policy_stats::{AttemptHandle, DueQueue, InFlightAttempts, TrustedKeyMap, WeightedRing};
use oorandom::Rand64;
use serde::{Deserialize, Serialize};

/// Maximum number of warm servers up to which a gateway compares all of them. Applies only up to
/// [`GATEWAYS_PER_SERVER`] gateways; with more gateways, servers are sampled.
const MAX_COMPARED_SERVERS: usize = 32;
/// Maximum number of servers sampled from a larger fleet; sampling stops at an idle server. If four in five
/// servers are busy, the probability that all samples are busy is about 1 in 200.
const MAX_SAMPLES: usize = 24;
/// Number of gateways that share each server of a larger fleet: a gateway's own attempts in flight reflect a
/// server's queue only if few other gateways send to it. As a drawback, load is uneven if one gateway's
/// customers offer far more load than those of its neighbours on the ring.
const GATEWAYS_PER_SERVER: f64 = 4.0;
/// Minimum number of servers on an arc, in addition to one per attempt in flight. It is small enough that a
/// gateway with few requests reuses open connections and has recent response times of each server.
const MIN_ARC_SERVERS: f64 = 8.0;
/// Random fraction of a cost: breaks ties between equal servers, and hardly outweighs a real difference.
const TIE_BREAK: f64 = 0.1;

/// Inputs of the selection of a server for one attempt.
pub struct Selection<'a> {
    /// Settings of the gateway.
    pub settings: &'a Settings,
    /// Time of the selection.
    pub now: Millis,
    /// Mean response time over all classes, in milliseconds.
    pub mean_response: Millis,
    /// Whether the request may be sent again.
    pub retry_safety: RetrySafety,
    /// The server at which an earlier attempt may have run.
    pub ran_at: Option<ServerEntry>,
    /// Whether an earlier attempt of the request was sent to this server.
    pub tried: &'a dyn Fn(ServerId) -> bool,
    /// Whether another gateway has replaced this one, and alone spends the turns of servers in warm-up.
    pub retired: bool,
}

/// A server with its cost: the expected wait, plus the tie break.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    cost: f64,
    id: ServerId,
}

/// Servers of the lowest cost among those compared so far.
#[derive(Debug, Default)]
struct Candidates {
    /// Best server that is not ejected and was not tried for the request.
    preferred: Option<Candidate>,
    /// Best of the other servers.
    fallback: Option<Candidate>,
}

/// Whether to compare further servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Search {
    Continue,
    /// Stop at an idle server of at least mean capacity and average latency: no server is better by more than
    /// the tie break.
    Stop,
}

/// The servers, and the state of the selection among them.
#[derive(Debug, Serialize, Deserialize)]
#[serde(expecting = "struct Fleet")]
pub struct LoadBalancer {
    pub(crate) servers: TrustedKeyMap<ServerId, Server>,
    /// Servers that are ready and warm, weighted by relative capacity.
    pub(crate) warm: WeightedRing,
    /// Count of the servers that are ready and in warm-up.
    #[serde(rename = "cold")]
    pub(crate) warming_up: WarmUpCount,
    /// End of each warm-up. May contain stale entries, which the server's state does not confirm.
    #[serde(rename = "warming")]
    pub(crate) warm_up_ends: DueQueue,
    /// Value of `choices` at which the next turn of each server in warm-up is considered. May contain stale
    /// entries.
    pub(crate) turns: DueQueue,
    /// Sum over all choices so far of 1 / the fleet's capacity at that time.
    #[serde(rename = "passed")]
    pub(crate) choices: f64,
    #[serde(skip)]
    in_flight: InFlightAttempts,
}

impl LoadBalancer {
    /// Creates a load balancer without servers. Attempts in flight are counted by age up to the latency
    /// target of each class.
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

    /// Applies new settings. Warm-ups may end earlier or later than before.
    pub fn reconfigure(&mut self, settings: &Settings) {
        self.in_flight.set_windows(settings.classes.iter().map(|class| class.latency_target));
        for (id, server) in &self.servers {
            let warm_up = server.warm_up.iter();
            warm_up
                .for_each(|warm_up| self.warm_up_ends.push(warm_up.since + settings.warm_up_duration, *id));
        }
    }

    /// Number of servers, including removed servers that have attempts in flight.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Number of servers that accept new requests.
    pub fn ready(&self) -> usize {
        self.warm.members().len() + self.warming_up.count
    }

    /// Number of this gateway's attempts in flight.
    pub fn in_flight(&self) -> f64 {
        self.in_flight.len() as f64
    }

    /// Number of this gateway's attempts in flight that can still meet the latency target of a class.
    pub fn in_flight_within_target(&mut self, class: usize, now: Millis) -> f64 {
        self.in_flight.count_within(class, now) as f64
    }

    /// A server's entry in the server list.
    pub fn entry(&self, id: ServerId) -> Option<ServerEntry> {
        Some(self.servers.get(&id)?.entry)
    }

    /// Records that an attempt has been sent completely to a server. Returns a handle to end the attempt
    /// with.
    pub fn start_attempt(&mut self, now: Millis, id: ServerId) -> AttemptHandle {
        self.servers.get_mut(&id).into_iter().for_each(|server| server.start_attempt(now));
        self.in_flight.start(now)
    }

    /// Records the end of an attempt that was sent at time `sent`.
    pub fn end_attempt(&mut self, id: ServerId, sent: Millis, handle: AttemptHandle) {
        self.in_flight.finish(handle);
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.end_attempt(sent);
        if server.is_removable() {
            self.servers.swap_remove(&id);
        }
    }

    /// Whether a server's response times reflect the fleet's capacity. A server in warm-up gets its turns
    /// regardless of the length of its queue, so its response times count only if most servers are in
    /// warm-up. Otherwise all gateways would reject requests while a part of the fleet restarts.
    pub fn is_representative(&self, id: ServerId) -> bool {
        let is_warm = |server: &Server| server.warm_up.is_none();
        self.warming_up.count > self.warm.members().len() || self.servers.get(&id).is_none_or(is_warm)
    }

    /// Whether a server is presumed hung: it has an attempt in flight and has not responded for long, or it
    /// is not in the list any more.
    pub fn is_hung(&self, id: ServerId, now: Millis, mean_response: Millis) -> bool {
        self.servers.get(&id).is_none_or(|server| server.silence(now, mean_response) > HUNG_SILENCE)
    }

    /// Updates the server's statistics with the end of an attempt. Returns a log line if this ejected the
    /// server, or ended its ejection.
    pub fn record_outcome(
        &mut self,
        now: Millis,
        id: ServerId,
        end: &AttemptEnd,
        mean: MeanResponse,
    ) -> Option<String> {
        self.servers.get_mut(&id)?.record_outcome(now, end, mean)
    }

    /// Chooses the server with the least expected wait; `None` if the request may not be sent to any server.
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
        // A small fleet is not sampled, so all its servers are compared. So are those of a large fleet if no
        // sample was acceptable: nearly all of them are ejected, or only the servers of one zone or cell may
        // serve the request.
        if candidates.preferred.is_none() {
            let warm = self.warm.members();
            warm.iter().for_each(|&id| _ = self.compare(id, selection, rng, &mut candidates));
        }
        if let Some(preferred) = candidates.preferred {
            return Some(preferred.id);
        }
        turn.fallback.into_iter().for_each(|id| self.spend_turn(id));
        turn.fallback.or(candidates.fallback.map(|candidate| candidate.id))
    }

    /// Compares samples of a larger fleet: from this gateway's arc, and from the whole ring if none of these
    /// was acceptable. Returns a server that ends the search; `None` if the candidates have to be used.
    fn sample(
        &self,
        selection: &Selection,
        rng: &mut Rand64,
        candidates: &mut Candidates,
    ) -> Option<ServerId> {
        let (warm, gateways) = (self.warm.members(), f64::from(selection.settings.gateways));
        if warm.len() <= MAX_COMPARED_SERVERS && gateways <= GATEWAYS_PER_SERVER {
            return None;
        }
        let middle = (f64::from(selection.settings.ordinal) + 0.5) / gateways;
        let min_arc = (MIN_ARC_SERVERS + self.in_flight()) / warm.len().max(1) as f64;
        let own_arc = (GATEWAYS_PER_SERVER / gateways).max(min_arc).min(1.0);
        for arc in [own_arc, 1.0] {
            if candidates.preferred.is_some() {
                break;
            }
            for _ in 0..MAX_SAMPLES {
                let fraction = (middle + arc * (rng.rand_float() - 0.5)).rem_euclid(1.0);
                let Some(id) = self.warm.sample(fraction) else { break };
                if self.compare(id, selection, rng, candidates) == Search::Stop {
                    return Some(id);
                }
            }
        }
        None
    }

    /// Compares one server with the candidates, unless it may not serve the request.
    fn compare(
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

    /// Applies the server list, or changes to it. Draining and removed servers get no new attempts from now
    /// on.
    pub fn apply_list(
        &mut self,
        settings: &Settings,
        now: Millis,
        (kind, entries): (ListKind, Vec<ServerEntry>),
        rng: &mut Rand64,
    ) {
        let mut changed: Vec<ServerId> = entries.iter().map(|entry| entry.id).collect();
        if kind != ListKind::Delta {
            self.servers.values_mut().for_each(|server| server.entry.lifecycle = Lifecycle::Removed);
            changed = self.servers.keys().copied().chain(changed).collect();
        }
        for entry in entries {
            // Random, so that gateways do not spend their turns at the same time.
            let turn_credit = if entry.launched_at.is_some() { rng.rand_float() } else { 0.0 };
            let server = self.servers.entry(entry.id).or_insert_with(|| Server::new(entry, now, turn_credit));
            server.update(entry, now);
        }
        for id in changed {
            self.classify(id, settings, now);
            if self.servers.get(&id).is_some_and(Server::is_removable) {
                self.servers.swap_remove(&id);
            }
        }
    }
}
