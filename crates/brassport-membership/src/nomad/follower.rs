//! Follows one Nomad service: keeps what the API told of its registrations, of clients and of allocations, joins them
//! to nodes, and says from which index each list is to be asked next. No I/O, no clock.
//!
//! A node is a registration, under its id. What it is:
//!
//! | told | state |
//! | --- | --- |
//! | its allocation is `complete`, `failed` or `lost`; its client is `down` | gone |
//! | its client drains; its allocation is to `stop` or be evicted, or is `pending` | draining |
//! | its client or its allocation was known and is no longer | draining |
//! | its client is ineligible, where the configuration says that this counts | draining |
//! | else, `unknown` and `disconnected` among it: Nomad does not know, and nothing is proven | ready |
//!
//! A registration that is gone is withdrawn. One of whose allocation nothing is known is taken for started when it
//! came: a token that cannot read allocations makes the whole fleet look cold at each start of the front door.

use super::api::{self, Alloc, Change, Client, Line, Service, Unreadable};
use crate::book::{Entry, Moment, Report, State};
use crate::mutants::mutant;
use crate::table::{Id, Millis, Row, Rules, Standing, Table, Taken};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{IpAddr, SocketAddr};

/// So long the first list of registrations waits for the others. What it tells counts as told from the start, and
/// must count within the 500 ms that a drain has.
pub const PATIENCE: Millis = 250;

/// No address of a node.
const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(std::net::Ipv4Addr::UNSPECIFIED), 0);

/// Which list.
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
    /// `X-Nomad-LastContact`: milliseconds since the server heard of the leader.
    pub last_contact: Millis,
}

/// What the operator chose.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// The service's name.
    pub service: String,
    /// Whether a client that is ineligible, and does not drain, takes nothing new.
    pub ineligible_drains: bool,
    /// An answer of a server that heard of its leader longer ago than this is stale. Milliseconds.
    pub most_contact: Millis,
    /// When strange answers are believed.
    pub rules: Rules,
}

impl Options {
    /// The defaults, for this service.
    pub fn of(service: &str) -> Options {
        Options {
            service: service.into(),
            ineligible_drains: false,
            most_contact: 2_000,
            rules: Rules::default(),
        }
    }
}

/// What to do after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Ask for what is newer than this index; 0: for the list as it is.
    From(u64),
    /// Ask another server for the list as it is: this one is behind or does not know its leader.
    Elsewhere,
    /// Ask again soon for the list as it is: the answer is strange, and not believed yet.
    Again,
}

/// A follower.
pub struct Follower {
    options: Options,
    services: Table<Service>,
    clients: Table<Client>,
    allocs: Table<Alloc>,
    on_client: BTreeMap<String, BTreeSet<Id>>,
    of_alloc: BTreeMap<String, BTreeSet<Id>>,
    /// By registration: its client, its allocation, and the Unix time at which it came.
    links: BTreeMap<Id, Link>,
    dirty: BTreeSet<Id>,
    excused: BTreeSet<List>,
    reported_whole: bool,
    first_list: Option<Millis>,
}

struct Link {
    client: String,
    alloc: String,
    came: u64,
}

impl Follower {
    /// A follower that has heard nothing.
    pub fn new(options: Options) -> Follower {
        let rules = options.rules;
        Follower {
            options,
            services: Table::new(rules),
            clients: Table::new(rules),
            allocs: Table::new(rules),
            on_client: BTreeMap::new(),
            of_alloc: BTreeMap::new(),
            links: BTreeMap::new(),
            dirty: BTreeSet::new(),
            excused: BTreeSet::new(),
            reported_whole: false,
            first_list: None,
        }
    }

    /// The index from which this list is to be asked on; 0: as it is.
    pub fn index(&self, list: List) -> u64 {
        let index = match list {
            List::Services => self.services.index(),
            List::Clients => self.clients.index(),
            List::Allocs => self.allocs.index(),
        };
        index.unwrap_or(0)
    }

    /// Takes in a list.
    ///
    /// # Errors
    /// The body is no such list; what was told before stays in force.
    pub fn take_list(
        &mut self,
        now: Moment,
        list: List,
        meta: Meta,
        body: &[u8],
    ) -> Result<(Taken, Next), Unreadable> {
        let fresh = meta.known_leader && meta.last_contact <= self.options.most_contact;
        let standing = if fresh { Standing::Fresh } else { Standing::Stale };
        let mut changed = Vec::new();
        let taken = match list {
            List::Services => {
                let rows = api::rows(api::list::<Service>(body)?, |row| &row.id, |row| row.modify_index);
                self.services_change(now, |services, changed| {
                    services.tell_all(now.monotonic, meta.index, standing, rows, changed)
                })
            }
            List::Clients => {
                let rows = api::rows(api::list::<Client>(body)?, |row| &row.id, |row| row.modify_index);
                let taken = self.clients.tell_all(now.monotonic, meta.index, standing, rows, &mut changed);
                changed.iter().for_each(|id| self.touch_client(id));
                taken
            }
            List::Allocs => {
                let rows = api::rows(api::list::<Alloc>(body)?, |row| &row.id, |row| row.modify_index);
                let taken = self.allocs.tell_all(now.monotonic, meta.index, standing, rows, &mut changed);
                changed.iter().for_each(|id| self.alloc_changed(now, id));
                taken
            }
        };
        let next = match taken {
            Taken::Whole | Taken::Anew => Next::From(meta.index),
            Taken::Newer => Next::Elsewhere,
            Taken::Behind | Taken::Empty => Next::Again,
        };
        Ok((taken, next))
    }

    /// Takes in a line of the event stream. Whether it was a heartbeat.
    ///
    /// # Errors
    /// The line cannot be read, or ends the stream; what was told before stays in force.
    pub fn take_line(&mut self, now: Moment, line: &[u8]) -> Result<bool, Unreadable> {
        let Line::Changes(changes) = api::line(line)? else { return Ok(true) };
        for (index, change) in changes {
            self.take_change(now, index, change);
        }
        Ok(false)
    }

    fn take_change(&mut self, now: Moment, index: u64, change: Change) {
        match change {
            Change::Registered(service) | Change::Deregistered(service)
                if service.service_name != self.options.service => {}
            Change::Registered(service) => {
                let id = service.id.clone();
                self.services_change(now, |table, changed| {
                    if table.tell(now.monotonic, &id, index, Some(service)) {
                        changed.push(id.as_str().into());
                    }
                });
            }
            Change::Deregistered(service) => self.services_change(now, |table, changed| {
                let is_news = table.row(&service.id).is_none();
                if table.tell(now.monotonic, &service.id, index, None) || is_news {
                    changed.push(service.id.as_str().into());
                }
            }),
            Change::Client(client) => {
                let id = client.id.clone();
                if self.clients.tell(now.monotonic, &id, index, Some(client)) {
                    self.touch_client(&id);
                }
            }
            Change::ClientGone(client) => {
                if self.clients.tell(now.monotonic, &client.id, index, None) {
                    self.touch_client(&client.id);
                }
            }
            Change::Alloc(alloc) => {
                let id = alloc.id.clone();
                if self.allocs.tell(now.monotonic, &id, index, Some(alloc)) {
                    self.alloc_changed(now, &id);
                }
            }
        }
    }

    /// Changes the registrations, and keeps what stands on which client and belongs to which allocation.
    fn services_change<T>(
        &mut self,
        now: Moment,
        change: impl FnOnce(&mut Table<Service>, &mut Vec<Id>) -> T,
    ) -> T {
        let mut changed = Vec::new();
        let result = change(&mut self.services, &mut changed);
        for id in changed {
            let came = self.links.get(&id).map_or(now.unix, |link| link.came);
            if let Some(alloc) = self.unlink(&id).filter(|_| self.services.get(&id).is_none()) {
                self.forget_alloc(now, &alloc);
            }
            if let Some(Service { node: client, alloc, .. }) = self.services.get(&id) {
                self.on_client.entry(client.clone()).or_default().insert(id.clone());
                self.of_alloc.entry(alloc.clone()).or_default().insert(id.clone());
                self.links.insert(id.clone(), Link { client: client.clone(), alloc: alloc.clone(), came });
            }
            self.dirty.insert(id);
        }
        result
    }

    /// Guards the memory: a registration that went is no longer looked up by its client and allocation.
    /// Its allocation.
    fn unlink(&mut self, id: &Id) -> Option<String> {
        let Link { client, alloc, .. } = self.links.remove(id)?;
        for (index, key) in [(&mut self.on_client, &client), (&mut self.of_alloc, &alloc)] {
            if let Some(ids) = index.get_mut(key) {
                ids.remove(id);
                if ids.is_empty() {
                    index.remove(key);
                }
            }
        }
        Some(alloc)
    }

    fn touch_client(&mut self, id: &str) {
        self.dirty.extend(self.on_client.get(id).into_iter().flatten().cloned());
    }

    fn alloc_changed(&mut self, now: Moment, id: &str) {
        self.dirty.extend(self.of_alloc.get(id).into_iter().flatten().cloned());
        self.forget_alloc(now, id);
    }

    /// Guards the memory: an allocation that is over and has no registration is not needed any more.
    fn forget_alloc(&mut self, now: Moment, id: &str) {
        if self.allocs.get(id).is_some_and(Alloc::is_over) && !self.of_alloc.contains_key(id) {
            self.allocs.forget(now.monotonic, id);
        }
    }

    /// This list cannot be had: the nodes are told without it until it can.
    pub fn excuse(&mut self, list: List) {
        self.excused.insert(list);
    }

    /// Whether there was a report.
    pub fn has_reported(&self) -> bool {
        self.reported_whole
    }

    /// What is news since the last report; `None` where nothing is. The first whole report waits for a whole list of
    /// each kind that can be had, or [`PATIENCE`]; what must get nothing new is told before.
    pub fn report(&mut self, now: Moment) -> Option<Report> {
        if self.services.index().is_none() {
            return self.early();
        }
        let waited = now.monotonic.saturating_sub(*self.first_list.get_or_insert(now.monotonic));
        let told = |list, index: Option<u64>| index.is_some() || self.excused.contains(&list);
        // Guards a node that drains, or is cold, against requests while only its registration is known.
        let all = told(List::Clients, self.clients.index()) && told(List::Allocs, self.allocs.index());
        if !self.reported_whole && !all && waited < PATIENCE {
            return self.early();
        }
        let whole = !std::mem::replace(&mut self.reported_whole, true);
        let dirty = std::mem::take(&mut self.dirty);
        if whole {
            return Some(Report::whole(
                self.services.living().map(|(id, row)| self.entry(id, row)).collect(),
            ));
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

    /// Registrations that are there.
    pub fn len(&self) -> usize {
        self.services.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Rows remembered in all three tables, there or gone.
    pub fn remembered(&self) -> usize {
        self.services.remembered() + self.clients.remembered() + self.allocs.remembered()
    }

    /// What is told before the first whole report. Guards nodes that the front door knows from an earlier time: a
    /// stream or a stale list may tell that they drain or went long before there is a list that is fresh.
    fn early(&mut self) -> Option<Report> {
        let dirty = std::mem::take(&mut self.dirty);
        let off = |id: Id| match self.services.get(&id) {
            Some(service) => Some(self.entry(&id, service)).filter(|entry| entry.state != State::Ready),
            None => Some(Entry {
                address: None,
                state: State::Gone,
                revision: self.services.row(&id).map_or(0, |row| row.revision),
                note: "its registration was removed".into(),
                ..Entry::ready(&id, NOWHERE)
            }),
        };
        let entries: Vec<Entry> = dirty.into_iter().filter_map(off).collect();
        (!entries.is_empty()).then(|| Report::changes(entries))
    }

    fn entry(&self, id: &Id, service: &Service) -> Entry {
        let client = self.clients.row(&service.node);
        let alloc = self.allocs.row(&service.alloc);
        let revision =
            [service.modify_index, client.map_or(0, |row| row.revision), alloc.map_or(0, |row| row.revision)];
        let (state, note) = self.state(client, alloc);
        let started = alloc.and_then(|row| row.told.as_ref()).map(Alloc::boot_ms);
        // Guards a node that may be cold while its allocation is not known.
        let came = self.links.get(id).map(|link| link.came as f64);
        let address = service.address.parse::<IpAddr>().ok().filter(|_| service.port != 0);
        let tag = |name: &str| {
            service.tags.iter().find_map(|tag| tag.strip_prefix(name)?.strip_prefix('=')).map(str::trim)
        };
        Entry {
            id: id.clone(),
            address: address.map(|ip| SocketAddr::new(ip, service.port)),
            zone: tag("zone").unwrap_or_default().to_string(),
            group: tag("group").and_then(|text| text.parse().ok()).unwrap_or(0),
            size: tag("weight")
                .and_then(|text| text.parse::<f64>().ok())
                .filter(|size| size.is_finite() && *size > 0.0)
                .unwrap_or(0.0),
            boot_ms: started.or(came).unwrap_or(0.0),
            state,
            revision: revision.into_iter().max().unwrap_or(0),
            note,
        }
    }

    fn state(&self, client: Option<&Row<Client>>, alloc: Option<&Row<Alloc>>) -> (State, String) {
        if let Some(row) = alloc {
            let Some(alloc) = &row.told else {
                return (State::Draining, "its allocation is no longer known".into());
            };
            match (alloc.client_status.as_str(), alloc.desired_status.as_str()) {
                (over, _) if alloc.is_over() => {
                    return (State::Gone, format!("its allocation is {over}"));
                }
                (_, wish @ ("stop" | "evict")) => {
                    return (State::Draining, format!("its allocation is to {wish}"));
                }
                ("pending", _) => return (State::Draining, "its allocation is pending".into()),
                _ => {}
            }
        }
        let Some(row) = client else { return (State::Ready, String::new()) };
        let Some(client) = &row.told else {
            return (State::Draining, "its client is no longer known".into());
        };
        if client.status == "down" {
            (State::Gone, "its client is down".into())
        } else if (client.drain || client.drain_strategy) && !mutant!(IgnoreClientDrain) {
            (State::Draining, "its client drains".into())
        } else if self.options.ineligible_drains && client.scheduling_eligibility == "ineligible" {
            (State::Draining, "its client is ineligible".into())
        } else {
            (State::Ready, String::new())
        }
    }
}
