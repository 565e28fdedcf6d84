//! The resolver: which question goes to whom and when, and what is known by the answers.
//!
//! - *Single flight*: a question that is wanted has at most one query out, whoever wants it.
//! - *Whole answers only*: one that is truncated goes on over TCP; SERVFAIL, REFUSED, silence and what cannot be read
//!   say nothing of the records, and the next resolver is asked. When each has been asked so often, the lookup has
//!   failed, and is made again behind a pause that doubles, drawn between once and twice of it.
//! - *Lifetimes*: what is known is asked for again before it ends, at a drawn part of its lifetime, so that what came
//!   together does not go together. What has ended and could not be asked anew is *stale*, and serves on for
//!   [`Settings::stale_for`] (RFC 8767).
//! - *Forged answers* (RFC 5452): each query has a drawn id and a socket of its own; an answer counts if its sender,
//!   id and question fit, once. One that does not fit ends nothing; several make the query go on over TCP, where who
//!   is not on the path cannot follow.
//! - *No storm*: at most [`Settings::most_in_flight`] queries are out, and [`Settings::queries_per_s`] begin a second.
//!
//! The work of an event is logarithmic in the number of questions.

use crate::message::{self, Verdict};
use crate::mutants::mutant;
use crate::question::{Name, Question, Said};
use crate::servers::{ServerNow, Servers};
use crate::Millis;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{IpAddr, SocketAddr};

/// Shortest wait for an answer over UDP: a recursive resolver may have to ask others first.
const LEAST_PATIENCE: Millis = 200;
/// Datagrams that do not fit, behind which a query goes on over TCP.
const MOST_WRONG: u32 = 4;
/// CNAMEs that are followed from one message to the next.
const MOST_ALIASES: u32 = 8;
/// Pause behind the first lookup in a row that failed, and the longest before the draw (RFC 9520: a second at least).
const FIRST_PAUSE: Millis = 1_000;
const LAST_PAUSE: Millis = 15_000;
/// Least time between two queries for one question that nobody asked to be confirmed.
const LEAST_SPACING: Millis = 250;

/// What the operator chose. Times in milliseconds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The recursive resolvers.
    pub servers: Vec<SocketAddr>,
    /// Longest wait for an answer over UDP, and for a whole exchange over TCP.
    pub udp_patience: Millis,
    pub tcp_patience: Millis,
    /// How often each resolver is asked before a lookup has failed.
    pub rounds: u32,
    /// Most queries that are out.
    pub most_in_flight: usize,
    /// Most queries that begin in a second; a tenth of it may begin at once.
    pub queries_per_s: u32,
    /// Lifetimes are held to these bounds; that of a negative answer to the first and the last.
    pub least_lifetime: Millis,
    pub most_lifetime: Millis,
    pub most_negative: Millis,
    /// How long an answer that has ended serves on while no resolver answers.
    pub stale_for: Millis,
}

impl Settings {
    /// The defaults, with these resolvers.
    pub fn of(servers: Vec<SocketAddr>) -> Settings {
        Settings {
            servers,
            udp_patience: 1_000,
            tcp_patience: 2_000,
            rounds: 2,
            most_in_flight: 8,
            queries_per_s: 100,
            least_lifetime: 1_000,
            most_lifetime: 3_600_000,
            most_negative: 300_000,
            stale_for: 86_400_000,
        }
    }
}

/// What the host tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time has passed: [`Resolver::next_wake`] has come.
    Wake,
    /// A datagram came to the socket of this query.
    Datagram { query: u64, from: SocketAddr, bytes: Vec<u8> },
    /// The whole answer to a query over TCP, without its length; `None`: the connection failed.
    Stream { query: u64, bytes: Option<Vec<u8>> },
    /// The socket of a query could not be opened or written to.
    Unsent { query: u64 },
}

/// What the host is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send this from a new socket on a port that is hard to guess, and hand on what comes to it.
    Datagram { query: u64, to: SocketAddr, bytes: Vec<u8> },
    /// Exchange this over a new connection, framed by its length (RFC 1035, section 4.2.2).
    Stream { query: u64, to: SocketAddr, bytes: Vec<u8> },
    /// Close what was opened for the query.
    Close { query: u64 },
    /// A whole answer to this question has come; what it says may be what was known.
    Answered(Question),
    /// A lookup of this question has failed; what was known serves on.
    Failed(Question),
    /// What was known of this question has been stale for too long, and is forgotten.
    Forgotten(Question),
}

/// Why a lookup failed, by its last query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Problem {
    /// Nothing came in time.
    Silent,
    /// The connection for a truncated answer failed.
    NoStream,
    /// It was truncated over TCP as well: it passes 64 KiB.
    TooLong,
    /// The resolver answered with this code (RFC 1035, section 4.1.1: 2 is SERVFAIL, 5 REFUSED).
    Code(u16),
    /// What came over TCP is no answer.
    Unreadable,
    /// It refers to other servers, as one that is not recursive does.
    Referral,
    /// Its CNAMEs lead on too far, or in a circle.
    Aliases,
}

impl std::fmt::Display for Problem {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Problem::Silent => f.write_str("did not answer"),
            Problem::NoStream => f.write_str("truncated its answer, and takes no connection over TCP"),
            Problem::TooLong => f.write_str("truncated its answer over TCP too: it passes 64 KiB"),
            Problem::Code(2) => f.write_str("answers SERVFAIL"),
            Problem::Code(5) => f.write_str("answers REFUSED: is this machine allowed to ask it?"),
            Problem::Code(code) => write!(f, "answers with code {code}"),
            Problem::Unreadable => f.write_str("sends what is no answer"),
            Problem::Referral => f.write_str("refers to other servers: it is no recursive resolver"),
            Problem::Aliases => f.write_str("leads from alias to alias without an end"),
        }
    }
}

/// What is known of a question.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Known {
    /// What the last whole answer said.
    pub said: Said,
    /// Addresses that came along for names that the answer points to, within the question's own domain; they may be
    /// some of several.
    pub glue: Vec<(Name, IpAddr)>,
    /// When it came, and its lifetime as it is held to.
    pub at: Millis,
    pub lifetime: Millis,
    /// Who answered, by place.
    pub server: usize,
    /// Counts the answers to the question.
    pub number: u64,
}

impl Known {
    /// Whether it is within its lifetime.
    pub fn is_fresh(&self, now: Millis) -> bool {
        now < self.at + self.lifetime
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Nothing is out; it is asked again at this time.
    Rests(Millis),
    /// It waits for its turn.
    Waits,
    /// This query is out.
    Asks(u64),
}

#[derive(Debug)]
struct Lookup {
    stage: Stage,
    known: Option<Known>,
    /// Of the lookup that is made: the name that is asked for in its stead, aliases passed, resolvers tried.
    asked: Name,
    alias_ttl: Option<u32>,
    aliases: u32,
    tried: Vec<usize>,
    /// Failed lookups in a row, with the last problem and whose it was.
    failures: u32,
    problem: Option<(Problem, usize)>,
    /// A second word was asked for, not of this resolver if there is another.
    avoid: Option<usize>,
    /// Asked for again while a query was out.
    again: bool,
    last_asked: Option<Millis>,
    numbers: u64,
}

#[derive(Debug)]
struct Query {
    question: Question,
    server: usize,
    id: u16,
    sent: Millis,
    due: Millis,
    stream: bool,
    wrong: u32,
}

/// The resolver.
#[derive(Debug)]
pub struct Resolver {
    settings: Settings,
    servers: Servers,
    random: StdRng,
    lookups: BTreeMap<Question, Lookup>,
    queries: BTreeMap<u64, Query>,
    next_query: u64,
    /// Everything that has a time, by it; each lookup and each query stands here once.
    timers: BTreeSet<(Millis, Timer)>,
    waiting: VecDeque<Question>,
    /// Queries that may begin now, in thousandths, and when that was added up.
    allowance: u64,
    allowed_at: Millis,
    begun: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Query(u64),
    Ask(Question),
    Forget(Question, u64),
}

impl Resolver {
    /// A resolver that knows nothing. The seed must be hard to guess where answers could be forged.
    pub fn new(settings: Settings, seed: [u8; 32]) -> Resolver {
        Resolver {
            servers: Servers::new(&settings.servers),
            random: StdRng::from_seed(seed),
            lookups: BTreeMap::new(),
            queries: BTreeMap::new(),
            next_query: 0,
            timers: BTreeSet::new(),
            waiting: VecDeque::new(),
            allowance: burst(&settings),
            allowed_at: 0,
            begun: 0,
            settings,
        }
    }

    /// Keeps an answer to this question at hand from now on.
    pub fn want(&mut self, now: Millis, question: Question) {
        if self.lookups.contains_key(&question) {
            return;
        }
        let lookup = Lookup {
            stage: Stage::Rests(now),
            known: None,
            asked: question.name.clone(),
            alias_ttl: None,
            aliases: 0,
            tried: Vec::new(),
            failures: 0,
            problem: None,
            avoid: None,
            again: false,
            last_asked: None,
            numbers: 0,
        };
        self.timers.insert((now, Timer::Ask(question.clone())));
        self.lookups.insert(question, lookup);
    }

    /// Forgets a question.
    pub fn unwant(&mut self, question: &Question, actions: &mut Vec<Action>) {
        let Some(lookup) = self.lookups.remove(question) else { return };
        match lookup.stage {
            Stage::Rests(at) => drop(self.timers.remove(&(at, Timer::Ask(question.clone())))),
            Stage::Waits => self.waiting.retain(|waiting| waiting != question),
            Stage::Asks(query) => self.close(query, actions),
        }
        if let Some(known) = &lookup.known {
            self.timers.remove(&(self.forget_at(known), Timer::Forget(question.clone(), known.number)));
        }
    }

    /// Asks a question again at once, of another resolver than this one if there is another.
    pub fn confirm(&mut self, now: Millis, question: &Question, avoid: Option<usize>) {
        self.again_by(now, question, now, avoid);
    }

    /// Asks a question again at this time at the latest.
    pub fn again_by(&mut self, now: Millis, question: &Question, at: Millis, avoid: Option<usize>) {
        let Some(lookup) = self.lookups.get_mut(question) else { return };
        lookup.avoid = avoid.or(lookup.avoid);
        match lookup.stage {
            // Guards against an answer to what was asked before the reason to ask again was known.
            Stage::Asks(_) => lookup.again = true,
            Stage::Waits => {}
            Stage::Rests(planned) => {
                let spaced = lookup.last_asked.map_or(now, |last| last + LEAST_SPACING);
                let at = if lookup.failures > 0 { planned } else { planned.min(at.max(spaced)) };
                self.rest(question, at);
            }
        }
    }

    /// What is known of a question, stale or not.
    pub fn known(&self, question: &Question) -> Option<&Known> {
        self.lookups.get(question)?.known.as_ref()
    }

    /// Why the last lookup failed, and whose fault it was; `None` if it did not.
    pub fn problem(&self, question: &Question) -> Option<(Problem, SocketAddr)> {
        let (problem, server) = self.lookups.get(question)?.problem?;
        Some((problem, self.servers.address(server)))
    }

    /// Whether another resolver than this one may well answer: one that has not failed again and again.
    pub fn has_another(&self, server: usize) -> bool {
        self.servers.has_another(server)
    }

    /// Where a resolver is, by its place.
    pub fn server(&self, place: usize) -> SocketAddr {
        self.servers.address(place)
    }

    /// How the resolvers stand.
    pub fn servers(&self) -> Vec<ServerNow> {
        self.servers.now()
    }

    /// Questions that are wanted.
    pub fn len(&self) -> usize {
        self.lookups.len()
    }

    /// Whether none is wanted.
    pub fn is_empty(&self) -> bool {
        self.lookups.is_empty()
    }

    /// Queries that have begun.
    pub fn begun(&self) -> u64 {
        self.begun
    }

    /// When [`Event::Wake`] is due next.
    pub fn next_wake(&self) -> Option<Millis> {
        let first = self.timers.first().map(|(at, _)| *at);
        let may_begin = !self.waiting.is_empty() && self.queries.len() < self.settings.most_in_flight;
        let turn = may_begin.then(|| self.next_turn());
        first.into_iter().chain(turn).min()
    }

    /// Takes in an event; what follows is added to `actions`.
    pub fn handle(&mut self, now: Millis, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Wake => {}
            Event::Datagram { query, from, bytes } => self.datagram(now, query, from, &bytes, actions),
            Event::Stream { query, bytes } => self.stream(now, query, bytes.as_deref(), actions),
            Event::Unsent { query } => self.lost(now, query, Problem::Silent, actions),
        }
        while let Some((_, timer)) = self.timers.first().filter(|(at, _)| *at <= now).cloned() {
            match timer {
                Timer::Query(query) => {
                    let stream = self.queries.get(&query).is_some_and(|query| query.stream);
                    let problem = if stream { Problem::NoStream } else { Problem::Silent };
                    self.lost(now, query, problem, actions);
                }
                Timer::Ask(question) => {
                    self.timers.pop_first();
                    if let Some(lookup) = self.lookups.get_mut(&question) {
                        lookup.stage = Stage::Waits;
                        (lookup.asked, lookup.aliases) = (question.name.clone(), 0);
                        lookup.alias_ttl = None;
                        lookup.tried.clear();
                        self.waiting.push_back(question);
                    }
                }
                Timer::Forget(question, _) => {
                    self.timers.pop_first();
                    if let Some(lookup) = self.lookups.get_mut(&question) {
                        lookup.known = None;
                        actions.push(Action::Forgotten(question));
                    }
                }
            }
        }
        self.begin_queries(now, actions);
    }

    // ---- Queries. ----

    fn begin_queries(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let gained = now.saturating_sub(self.allowed_at) * u64::from(self.settings.queries_per_s);
        (self.allowance, self.allowed_at) = ((self.allowance + gained).min(burst(&self.settings)), now);
        while self.queries.len() < self.settings.most_in_flight && self.allowance >= 1000 {
            let Some(question) = self.waiting.pop_front() else { return };
            self.begin(now, question, actions);
        }
    }

    fn next_turn(&self) -> Millis {
        let lacks = 1000_u64.saturating_sub(self.allowance);
        self.allowed_at + lacks.div_ceil(u64::from(self.settings.queries_per_s))
    }

    fn begin(&mut self, now: Millis, question: Question, actions: &mut Vec<Action>) {
        let Some(lookup) = self.lookups.get_mut(&question) else { return };
        let mut tried = lookup.tried.clone();
        tried.extend(lookup.avoid.filter(|_| lookup.tried.is_empty()));
        // Guards against a resolver that is behind for good and the fastest: what only the others list would be seen
        // when one of them is asked by chance. A refresh comes ahead of the answer's end, so its time matters little.
        let last = lookup.known.as_ref().filter(|_| tried.is_empty()).map(|known| known.server);
        let server = self.servers.choose(now, &tried, last, self.random.random());
        lookup.tried.push(server);
        lookup.last_asked = Some(now);
        let (least, most) = (LEAST_PATIENCE.min(self.settings.udp_patience), self.settings.udp_patience);
        // A second round waits longer: the first may have been too short for a resolver that is far.
        let round = (lookup.tried.len() - 1) / self.servers.len();
        let patience = (self.servers.patience(server, least, most) << round.min(4)).min(most);
        self.send(now, question, server, patience, false, actions);
    }

    fn send(
        &mut self,
        now: Millis,
        question: Question,
        server: usize,
        patience: Millis,
        stream: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(lookup) = self.lookups.get_mut(&question) else { return };
        let id: u16 = self.random.random();
        let query = self.next_query;
        self.next_query += 1;
        self.begun += 1;
        self.allowance = self.allowance.saturating_sub(1000);
        lookup.stage = Stage::Asks(query);
        let asked = Question::new(&lookup.asked, question.kind);
        let (to, due) = (self.servers.address(server), now + patience);
        let bytes = message::query(id, &asked);
        actions.push(match stream {
            false => Action::Datagram { query, to, bytes },
            true => Action::Stream { query, to, bytes },
        });
        self.timers.insert((due, Timer::Query(query)));
        self.queries.insert(query, Query { question, server, id, sent: now, due, stream, wrong: 0 });
    }

    /// Ends a query.
    fn close(&mut self, query: u64, actions: &mut Vec<Action>) {
        if let Some(ended) = self.queries.remove(&query) {
            self.timers.remove(&(ended.due, Timer::Query(query)));
            actions.push(Action::Close { query });
        }
    }

    fn datagram(
        &mut self,
        now: Millis,
        number: u64,
        from: SocketAddr,
        bytes: &[u8],
        actions: &mut Vec<Action>,
    ) {
        // A query that has ended takes nothing: a second answer, or a late one.
        let Some(query) = self.queries.get_mut(&number).filter(|query| !query.stream) else { return };
        let Some(lookup) = self.lookups.get(&query.question) else { return };
        let asked = Question::new(&lookup.asked, query.question.kind);
        let sender = from == self.servers.address(query.server) || mutant!(IgnoreSender);
        let verdict = sender.then(|| message::answer(bytes, query.id, &asked)).flatten();
        let Some(verdict) = verdict else {
            // Guards against guessing: what does not fit ends nothing, and guessing on and on leads nowhere.
            self.servers.ignored(query.server);
            query.wrong += 1;
            if query.wrong >= MOST_WRONG {
                self.move_to_stream(now, number, actions);
            }
            return;
        };
        match verdict {
            Verdict::Truncated => self.move_to_stream(now, number, actions),
            verdict => self.judged(now, number, verdict, actions),
        }
    }

    fn move_to_stream(&mut self, now: Millis, number: u64, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&number) else { return };
        let (question, server) = (query.question.clone(), query.server);
        self.close(number, actions);
        self.send(now, question, server, self.settings.tcp_patience, true, actions);
    }

    fn stream(&mut self, now: Millis, number: u64, bytes: Option<&[u8]>, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&number).filter(|query| query.stream) else { return };
        let Some(lookup) = self.lookups.get(&query.question) else { return };
        let Some(bytes) = bytes else { return self.lost(now, number, Problem::NoStream, actions) };
        let asked = Question::new(&lookup.asked, query.question.kind);
        match message::answer(bytes, query.id, &asked) {
            None => self.lost(now, number, Problem::Unreadable, actions),
            Some(Verdict::Truncated) => self.lost(now, number, Problem::TooLong, actions),
            Some(verdict) => self.judged(now, number, verdict, actions),
        }
    }

    fn judged(&mut self, now: Millis, number: u64, verdict: Verdict, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&number) else { return };
        let (question, server, rtt) = (query.question.clone(), query.server, now - query.sent);
        match verdict {
            // Handled where it came; a truncated answer says nothing.
            Verdict::Truncated => self.lost(now, number, Problem::TooLong, actions),
            Verdict::Referral => self.lost(now, number, Problem::Referral, actions),
            Verdict::Code(code) => self.lost(now, number, Problem::Code(code), actions),
            Verdict::Alias { to, ttl } => {
                self.close(number, actions);
                self.servers.answered(server, rtt);
                let Some(lookup) = self.lookups.get_mut(&question) else { return };
                lookup.aliases += 1;
                if lookup.aliases > MOST_ALIASES {
                    return self.gave_up(now, &question, Problem::Aliases, server, actions);
                }
                lookup.alias_ttl = Some(lookup.alias_ttl.map_or(ttl, |least| least.min(ttl)));
                lookup.asked = to;
                lookup.tried.clear();
                lookup.stage = Stage::Waits;
                // Guards the aliases' own order: the rest of a lookup goes before new ones.
                self.waiting.push_front(question);
            }
            Verdict::Said { said, ttl, glue } => {
                self.close(number, actions);
                self.servers.answered(server, rtt);
                self.learn(now, question, server, said, ttl, glue, actions);
            }
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn learn(
        &mut self,
        now: Millis,
        question: Question,
        server: usize,
        said: Said,
        ttl: u32,
        glue: Vec<(Name, IpAddr)>,
        actions: &mut Vec<Action>,
    ) {
        let settings = &self.settings;
        let most = match said {
            Said::Records(_) => settings.most_lifetime,
            Said::NoData { .. } | Said::NoName { .. } => settings.most_negative.min(settings.most_lifetime),
        };
        let Some(lookup) = self.lookups.get_mut(&question) else { return };
        let ttl = lookup.alias_ttl.map_or(ttl, |least| least.min(ttl));
        let lifetime =
            (u64::from(ttl) * 1000).clamp(settings.least_lifetime, most.max(settings.least_lifetime));
        lookup.numbers += 1;
        let known = Known { said, glue, at: now, lifetime, server, number: lookup.numbers };
        (lookup.failures, lookup.problem, lookup.avoid) = (0, None, None);
        let again = std::mem::take(&mut lookup.again);
        let before = lookup.known.replace(known);
        // Ahead of the end, by a part that is drawn: what came in one answer is not asked for in one burst.
        let part = 0.7 + 0.2 * self.random.random::<f64>();
        let ahead = (lifetime as f64 * part) as Millis;
        let ahead = if mutant!(IgnoreLifetime) { Millis::MAX / 4 } else { ahead };
        let at = if again { now + LEAST_SPACING } else { now + ahead.max(LEAST_SPACING) };
        if let Some(before) = before {
            self.timers.remove(&(self.forget_at(&before), Timer::Forget(question.clone(), before.number)));
        }
        if let Some(known) = self.lookups.get(&question).and_then(|lookup| lookup.known.as_ref()) {
            self.timers.insert((self.forget_at(known), Timer::Forget(question.clone(), known.number)));
        }
        self.rest(&question, at);
        actions.push(Action::Answered(question));
    }

    fn forget_at(&self, known: &Known) -> Millis {
        let stale_for = if mutant!(NoStale) { 0 } else { self.settings.stale_for };
        (known.at + known.lifetime).saturating_add(stale_for)
    }

    /// A query brought nothing: the next resolver is asked, or the lookup has failed.
    fn lost(&mut self, now: Millis, number: u64, problem: Problem, actions: &mut Vec<Action>) {
        let Some(query) = self.queries.get(&number) else {
            self.timers.retain(|(_, timer)| *timer != Timer::Query(number));
            return;
        };
        let (question, server) = (query.question.clone(), query.server);
        self.close(number, actions);
        self.servers.failed(now, server);
        let Some(lookup) = self.lookups.get_mut(&question) else { return };
        if lookup.tried.len() < self.servers.len() * self.settings.rounds as usize {
            lookup.stage = Stage::Waits;
            lookup.problem = Some((problem, server));
            self.waiting.push_front(question);
        } else {
            self.gave_up(now, &question, problem, server, actions);
        }
    }

    fn gave_up(
        &mut self,
        now: Millis,
        question: &Question,
        problem: Problem,
        server: usize,
        actions: &mut Vec<Action>,
    ) {
        let Some(lookup) = self.lookups.get_mut(question) else { return };
        lookup.problem = Some((problem, server));
        lookup.again = false;
        let pause = (FIRST_PAUSE << lookup.failures.min(8)).min(LAST_PAUSE);
        lookup.failures += 1;
        let drawn = (pause as f64 * (1.0 + self.random.random::<f64>())) as Millis;
        self.rest(question, now + drawn);
        actions.push(Action::Failed(question.clone()));
    }

    fn rest(&mut self, question: &Question, at: Millis) {
        let Some(lookup) = self.lookups.get_mut(question) else { return };
        if let Stage::Rests(planned) = lookup.stage {
            self.timers.remove(&(planned, Timer::Ask(question.clone())));
        }
        lookup.stage = Stage::Rests(at);
        self.timers.insert((at, Timer::Ask(question.clone())));
    }
}

/// Queries that may begin at once, in thousandths.
fn burst(settings: &Settings) -> u64 {
    (u64::from(settings.queries_per_s) * 100).max(1000)
}
