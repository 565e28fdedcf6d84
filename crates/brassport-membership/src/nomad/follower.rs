//! Follows one Nomad service: owns the tables of its registrations, of clients and of allocations, joins them
//! to nodes, and says from which index each list is to be queried next. No I/O, no clock.
//!
//! A node is a registration, under its id. Its state:
//!
//! | reported | state |
//! | --- | --- |
//! | its allocation is `complete`, `failed` or `lost`; its client is `down` | gone |
//! | its client drains; its allocation is to `stop` or be evicted, or is `pending` | draining |
//! | its client or its allocation was known and is no longer | draining |
//! | its client is ineligible, where the configuration says that this counts | draining |
//! | else, `unknown` and `disconnected` among it: Nomad does not know, and nothing is proven | ready |
//!
//! A registration that is removed is withdrawn. One whose allocation is not known counts as started when it
//! was first seen: with a token that cannot read allocations the whole fleet is warming up after each start of the proxy.

use super::api::{self, Alloc, Change, Client, IndexedChange, Line, ReadError, Service};
use super::join::{removed_entry, Ineligible, Join};
use super::links::Links;
use crate::book::{Entry, Moment, Report, State};
use crate::table::{Freshness, Id, Millis, Rules, Table, Taken};
use std::collections::BTreeSet;

/// How long the first list of registrations waits for the others, in milliseconds. What it reports counts from the
/// start, and must count within the 500 ms that a drain has.
pub const FIRST_REPORT_TIMEOUT_MS: Millis = 250;

/// A list of the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum List {
    /// `/v1/service/:name`.
    Services,
    /// `/v1/nodes`.
    Clients,
    /// `/v1/allocations`.
    Allocs,
}

/// What the headers of an answer say.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Meta {
    /// `X-Nomad-Index`.
    pub index: u64,
    /// `X-Nomad-KnownLeader`; a server without a leader vouches for nothing.
    pub known_leader: bool,
    /// `X-Nomad-LastContact`: milliseconds since the server had contact with the leader.
    pub last_contact: Millis,
}

/// What the operator configures.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The service's name.
    pub service: String,
    /// Whether a client that is ineligible, and not draining, takes nothing new.
    pub ineligible_drains: bool,
    /// An answer of a server whose last contact with its leader is longer ago than this is stale. Milliseconds.
    pub max_last_contact_ms: Millis,
    /// When suspicious answers are accepted.
    pub rules: Rules,
}

impl Options {
    /// The defaults, for this service.
    pub fn of(service: &str) -> Options {
        Options {
            service: service.into(),
            ineligible_drains: false,
            max_last_contact_ms: 2_000,
            rules: Rules::default(),
        }
    }
}

/// What to query after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// What is newer than this index; 0: the list as it is.
    From(u64),
    /// The list as it is, of another server: this one is behind or does not know its leader.
    Elsewhere,
    /// The list as it is, after a short pause: the answer is suspicious, and not accepted yet.
    Again,
}

/// The state of one service's nodes, as the API's answers have it.
pub struct Follower {
    options: Options,
    services: Table<Service>,
    clients: Table<Client>,
    allocs: Table<Alloc>,
    links: Links,
    /// Registrations that may have changed since the last report.
    dirty: BTreeSet<Id>,
    /// Lists that cannot be had.
    excused: BTreeSet<List>,
    has_reported: bool,
    first_list_ms: Option<Millis>,
}

impl Follower {
    /// A follower that has no answer yet.
    pub fn new(options: Options) -> Follower {
        let rules = options.rules;
        Follower {
            options,
            services: Table::new(rules),
            clients: Table::new(rules),
            allocs: Table::new(rules),
            links: Links::default(),
            dirty: BTreeSet::new(),
            excused: BTreeSet::new(),
            has_reported: false,
            first_list_ms: None,
        }
    }

    /// The index from which this list is to be queried; 0: as it is.
    pub fn index(&self, list: List) -> u64 {
        let index = match list {
            List::Services => self.services.index(),
            List::Clients => self.clients.index(),
            List::Allocs => self.allocs.index(),
        };
        index.unwrap_or(0)
    }

    /// Applies a list.
    ///
    /// # Errors
    /// The body is no such list; what was known before stays in force.
    pub fn take_list(
        &mut self,
        now: Moment,
        list: List,
        meta: Meta,
        body: &[u8],
    ) -> Result<(Taken, Next), ReadError> {
        let is_fresh = meta.known_leader && meta.last_contact <= self.options.max_last_contact_ms;
        let freshness = if is_fresh { Freshness::Fresh } else { Freshness::Stale };
        let (at, index) = (now.monotonic, meta.index);
        let mut changed = Vec::new();
        let taken = match list {
            List::Services => {
                let rows = api::parse_rows(body)?;
                let taken = self.services.apply_list(at, index, freshness, rows, &mut changed);
                changed.into_iter().for_each(|id| self.service_changed(now, id));
                taken
            }
            List::Clients => {
                let rows = api::parse_rows(body)?;
                let taken = self.clients.apply_list(at, index, freshness, rows, &mut changed);
                changed.iter().for_each(|id| self.client_changed(id));
                taken
            }
            List::Allocs => {
                let rows = api::parse_rows(body)?;
                let taken = self.allocs.apply_list(at, index, freshness, rows, &mut changed);
                changed.iter().for_each(|id| self.alloc_changed(now, id));
                taken
            }
        };
        let next = match taken {
            Taken::Whole | Taken::Anew => Next::From(index),
            Taken::Newer => Next::Elsewhere,
            Taken::Behind | Taken::Empty => Next::Again,
        };
        Ok((taken, next))
    }

    /// Applies a line of the event stream. Whether it was a heartbeat.
    ///
    /// # Errors
    /// The line cannot be read, or ends the stream; what was known before stays in force.
    pub fn take_line(&mut self, now: Moment, line: &[u8]) -> Result<bool, ReadError> {
        let Line::Changes(changes) = api::parse_line(line)? else { return Ok(true) };
        for change in changes {
            self.apply_change(now, change);
        }
        Ok(false)
    }

    fn apply_change(&mut self, now: Moment, change: IndexedChange) {
        let (at, IndexedChange { index, change }) = (now.monotonic, change);
        match change {
            Change::Registered(service) | Change::Deregistered(service)
                if service.service_name != self.options.service => {}
            Change::Registered(service) => {
                let id = service.id.clone();
                if self.services.apply(at, &id, index, Some(service)) {
                    self.service_changed(now, id.into());
                }
            }
            Change::Deregistered(service) => {
                // Of one that was never listed it is reported too: the reader may know it from an earlier run.
                let is_unknown = self.services.row(&service.id).is_none();
                if self.services.apply(at, &service.id, index, None) || is_unknown {
                    self.service_changed(now, service.id.into());
                }
            }
            Change::Client(client) => {
                let id = client.id.clone();
                if self.clients.apply(at, &id, index, Some(client)) {
                    self.client_changed(&id);
                }
            }
            Change::ClientRemoved(client) => {
                if self.clients.apply(at, &client.id, index, None) {
                    self.client_changed(&client.id);
                }
            }
            Change::Alloc(alloc) => {
                let id = alloc.id.clone();
                if self.allocs.apply(at, &id, index, Some(alloc)) {
                    self.alloc_changed(now, &id);
                }
            }
        }
    }

    /// Brings a registration's link in line with its row.
    fn service_changed(&mut self, now: Moment, id: Id) {
        let seen_unix_ms = self.links.seen_unix_ms(&id).unwrap_or(now.unix);
        let alloc = self.links.remove(&id);
        match self.services.get(&id) {
            Some(service) => self.links.insert(&id, service, seen_unix_ms),
            None => {
                if let Some(alloc) = alloc {
                    self.forget_alloc(now, &alloc);
                }
            }
        }
        self.dirty.insert(id);
    }

    fn client_changed(&mut self, id: &str) {
        self.dirty.extend(self.links.on_client(id).cloned());
    }

    fn alloc_changed(&mut self, now: Moment, id: &str) {
        self.dirty.extend(self.links.of_alloc(id).cloned());
        self.forget_alloc(now, id);
    }

    /// Guards the memory: an allocation that is terminated and has no registration is not needed any more.
    fn forget_alloc(&mut self, now: Moment, id: &str) {
        if self.allocs.get(id).is_some_and(Alloc::is_terminated) && !self.links.has_alloc(id) {
            self.allocs.forget(now.monotonic, id);
        }
    }

    /// This list cannot be had: the nodes are reported without it until it can.
    pub fn excuse(&mut self, list: List) {
        self.excused.insert(list);
    }

    /// Whether there was a full report.
    pub fn has_reported(&self) -> bool {
        self.has_reported
    }

    /// What is new since the last report; `None` where nothing is. The first full report waits for a full list of
    /// each kind that can be had, or [`FIRST_REPORT_TIMEOUT_MS`]; what must get nothing new is reported before.
    pub fn report(&mut self, now: Moment) -> Option<Report> {
        if self.services.index().is_none() {
            return self.early_report();
        }
        let waited_ms = now.monotonic.saturating_sub(*self.first_list_ms.get_or_insert(now.monotonic));
        let is_settled = |list, index: Option<u64>| index.is_some() || self.excused.contains(&list);
        // Guards a node that drains, or is warming up, against requests while only its registration is known.
        let all_settled =
            is_settled(List::Clients, self.clients.index()) && is_settled(List::Allocs, self.allocs.index());
        if !self.has_reported && !all_settled && waited_ms < FIRST_REPORT_TIMEOUT_MS {
            return self.early_report();
        }
        let dirty = std::mem::take(&mut self.dirty);
        if !std::mem::replace(&mut self.has_reported, true) {
            let entries = self.services.present().map(|(id, service)| self.entry(id, service));
            return Some(Report::whole(entries.collect()));
        }
        if dirty.is_empty() {
            return None;
        }
        let mut report = Report::changes(Vec::new());
        for id in dirty {
            match self.services.get(&id) {
                Some(service) => report.entries.push(self.entry(&id, service)),
                None => report.withdrawn.push(id),
            }
        }
        Some(report)
    }

    /// Registrations that are present.
    pub fn len(&self) -> usize {
        self.services.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Rows remembered in all three tables, present or removed.
    pub fn remembered(&self) -> usize {
        self.services.remembered() + self.clients.remembered() + self.allocs.remembered()
    }

    /// What is reported before the first full report. Guards nodes that the proxy knows from an earlier run: a
    /// stream or a stale list may say that they drain or went long before there is a list that is fresh.
    fn early_report(&mut self) -> Option<Report> {
        let dirty = std::mem::take(&mut self.dirty);
        let restricted = |id: Id| match self.services.get(&id) {
            Some(service) => Some(self.entry(&id, service)).filter(|entry| entry.state != State::Ready),
            None => Some(removed_entry(&id, self.services.row(&id).map_or(0, |row| row.revision))),
        };
        let entries: Vec<Entry> = dirty.into_iter().filter_map(restricted).collect();
        (!entries.is_empty()).then(|| Report::changes(entries))
    }

    fn entry(&self, id: &Id, service: &Service) -> Entry {
        let ineligible =
            if self.options.ineligible_drains { Ineligible::Draining } else { Ineligible::Ready };
        let client = self.clients.row(&service.node);
        let alloc = self.allocs.row(&service.alloc);
        let seen_unix_ms = self.links.seen_unix_ms(id);
        Join { id, service, client, alloc, seen_unix_ms, ineligible }.entry()
    }
}
