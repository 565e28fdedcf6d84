//! Recursive resolvers with a zone of render nodes, over UDP and TCP, each with troubles of its own.

use brassport::clock::Clock;
use brassport::network::{Datagrams, Listener, Network};
use hickory_proto::op::{Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::{A, AAAA, CNAME, SOA, SRV};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;

/// What a name has.
#[derive(Debug, Clone, PartialEq)]
pub enum Data {
    /// Priority, weight, port, target.
    Srv(u16, u16, u16, String),
    Address(IpAddr),
    Alias(String),
}

/// A zone: records by name, and how long they live, in seconds.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Zone {
    pub records: BTreeMap<String, Vec<Data>>,
    pub ttl: u32,
}

impl Zone {
    /// An empty zone whose records live so long.
    pub fn new(ttl: u32) -> Zone {
        Zone { records: BTreeMap::new(), ttl }
    }

    /// Adds a record.
    pub fn add(&mut self, name: &str, data: Data) {
        self.records.entry(name.to_string()).or_default().push(data);
    }

    /// Adds a place of a service and the address of its target, or moves it to that address.
    pub fn add_node(&mut self, service: &str, target: &str, at: SocketAddr) {
        let place = Data::Srv(10, 1, at.port(), target.to_string());
        if !self.records.get(service).is_some_and(|places| places.contains(&place)) {
            self.add(service, place);
        }
        self.records.insert(target.to_string(), vec![Data::Address(at.ip())]);
    }

    /// Takes a place of a service out, with its target's addresses.
    pub fn remove_node(&mut self, service: &str, target: &str) {
        if let Some(places) = self.records.get_mut(service) {
            places.retain(|data| !matches!(data, Data::Srv(_, _, _, host) if host == target));
            if places.is_empty() {
                self.records.remove(service);
            }
        }
        self.records.remove(target);
    }
}

/// What is wrong with a resolver.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Trouble {
    /// It answers nothing.
    pub silent: bool,
    /// It answers with this code.
    pub code: Option<u16>,
    /// It says that there is nothing, with no SOA.
    pub empty: bool,
    /// It says that there is no such name, with an SOA.
    pub no_name: bool,
    /// Over UDP it sends so many records and says that there are more; over TCP too, if `truncates_streams`.
    pub truncates: Option<usize>,
    pub truncates_streams: bool,
    /// It closes connections without a word, or within the answer.
    pub no_streams: bool,
    pub cuts_streams: bool,
    /// It shows the zone as it was so many changes ago.
    pub behind: usize,
    /// Its next so many answers to SRV questions list every other place only, as if that were all.
    pub lies: u32,
    /// Before each answer come so many that are forged: another id, a foreign node.
    pub forges: u32,
    /// And one from another address, with all else right.
    pub forges_sender: bool,
    /// It answers another question, under the right id, first.
    pub wrong_question: bool,
    /// It sends each answer twice.
    pub twice: bool,
    /// It answers so much later.
    pub late: Duration,
    /// It sends the addresses of targets along.
    pub glue: bool,
}

/// The resolvers, and the zone that they answer from.
pub struct Resolvers<C> {
    clock: C,
    /// The zone's states, the newest last.
    zones: RefCell<Vec<Zone>>,
    troubles: RefCell<Vec<Trouble>>,
    /// Questions that were asked, by resolver.
    pub asked: RefCell<Vec<u64>>,
    /// Of those, how many came over TCP.
    pub streams: Cell<u64>,
}

/// An address that a forged answer points to: nothing of the zone's.
pub const FORGED: [u8; 4] = [203, 0, 113, 66];

impl<C: Clock> Resolvers<C> {
    /// So many resolvers without troubles.
    pub fn new(clock: C, zone: Zone, count: usize) -> Rc<Resolvers<C>> {
        Rc::new(Resolvers {
            clock,
            zones: RefCell::new(vec![zone]),
            troubles: RefCell::new(vec![Trouble::default(); count]),
            asked: RefCell::new(vec![0; count]),
            streams: Cell::new(0),
        })
    }

    /// Changes the zone.
    pub fn change(&self, change: impl FnOnce(&mut Zone)) {
        let mut zone = self.zone();
        change(&mut zone);
        self.zones.borrow_mut().push(zone);
    }

    /// The zone as it is.
    pub fn zone(&self) -> Zone {
        self.zones.borrow().last().cloned().unwrap_or_default()
    }

    /// Gives a resolver, or each, this trouble.
    pub fn trouble(&self, server: Option<usize>, trouble: &Trouble) {
        for (at, held) in self.troubles.borrow_mut().iter_mut().enumerate() {
            if server.is_none_or(|server| server == at) {
                *held = trouble.clone();
            }
        }
    }

    fn of(&self, server: usize) -> Trouble {
        self.troubles.borrow()[server].clone()
    }

    /// Serves as resolver `server` at this address, over UDP and TCP, for ever.
    ///
    /// # Errors
    /// The address is not to be had.
    pub async fn serve<N: Network>(
        self: Rc<Self>,
        network: N,
        at: SocketAddr,
        server: usize,
    ) -> io::Result<()> {
        let listener = network.listen(at).await?;
        let socket = Rc::new(network.datagrams(at).await?);
        let other = Rc::new(network.datagrams(SocketAddr::new(at.ip(), 0)).await?);
        let on = self.clone();
        spawn_local(async move {
            while let Ok(stream) = listener.accept().await {
                let on = on.clone();
                spawn_local(async move { on.stream::<N>(stream, server).await });
            }
        });
        let mut buffer = [0; 4096];
        loop {
            let (length, from) = socket.recv_from(&mut buffer).await?;
            let Ok(query) = Message::from_vec(&buffer[..length]) else { continue };
            let (on, socket, other) = (self.clone(), socket.clone(), other.clone());
            spawn_local(async move {
                // Whoever is gone hears nothing.
                let _ = on.datagram::<N>(&query, from, server, &socket, &other).await;
            });
        }
    }

    async fn datagram<N: Network>(
        &self,
        query: &Message,
        from: SocketAddr,
        server: usize,
        socket: &N::Datagrams,
        other: &N::Datagrams,
    ) -> io::Result<()> {
        self.asked.borrow_mut()[server] += 1;
        let trouble = self.of(server);
        if trouble.silent {
            return Ok(());
        }
        if !trouble.late.is_zero() {
            self.clock.sleep(trouble.late).await;
        }
        for forged in 0..trouble.forges {
            let mut answer = forge(query);
            answer.set_id(query.id().wrapping_add(1 + forged as u16 * 257));
            socket.send_to(&answer.to_vec()?, from).await?;
        }
        if trouble.forges_sender {
            other.send_to(&forge(query).to_vec()?, from).await?;
        }
        if trouble.wrong_question {
            // Its records are of the name that was asked for: only the question gives it away.
            let mut answer = forge(query);
            let kind = answer.queries()[0].query_type();
            answer.queries_mut()[0] = Query::query(Name::from_ascii("evil.example.net.")?, kind);
            socket.send_to(&answer.to_vec()?, from).await?;
        }
        let mut answer = self.answer(query, server, &trouble);
        // EDNS(0) allows 1,232 bytes; what does not fit is left out.
        let most = trouble.truncates.unwrap_or(usize::MAX);
        if answer.to_vec()?.len() > 1232 || answer.answers().len() > most {
            let fits = most.min(answer.answers().len()).min(16);
            let some: Vec<Record> = answer.answers()[..fits].to_vec();
            answer.answers_mut().clear();
            answer.answers_mut().extend(some);
            answer.additionals_mut().clear();
            answer.set_truncated(true);
        }
        for _ in 0..if trouble.twice { 2 } else { 1 } {
            socket.send_to(&answer.to_vec()?, from).await?;
        }
        Ok(())
    }

    async fn stream<N: Network>(&self, mut stream: N::Stream, server: usize) -> Option<()> {
        let trouble = self.of(server);
        if trouble.no_streams || trouble.silent {
            return None;
        }
        self.streams.set(self.streams.get() + 1);
        let mut length = [0; 2];
        stream.read_exact(&mut length).await.ok()?;
        let mut bytes = vec![0; usize::from(u16::from_be_bytes(length))];
        stream.read_exact(&mut bytes).await.ok()?;
        let query = Message::from_vec(&bytes).ok()?;
        let mut answer = self.answer(&query, server, &trouble);
        if trouble.truncates_streams {
            let some: Vec<Record> = answer.answers().iter().take(2).cloned().collect();
            answer.answers_mut().clear();
            answer.answers_mut().extend(some);
            answer.set_truncated(true);
        }
        let mut bytes = answer.to_vec().ok()?;
        if bytes.len() > usize::from(u16::MAX) {
            answer.answers_mut().clear();
            answer.additionals_mut().clear();
            answer.set_truncated(true);
            bytes = answer.to_vec().ok()?;
        }
        let mut framed = (bytes.len() as u16).to_be_bytes().to_vec();
        framed.extend(bytes);
        if trouble.cuts_streams {
            framed.truncate(framed.len() / 2);
        }
        stream.write_all(&framed).await.ok()?;
        stream.shutdown().await.ok()
    }

    fn answer(&self, query: &Message, server: usize, trouble: &Trouble) -> Message {
        let mut answer = reply(query);
        let Some(asked) = query.queries().first() else { return answer };
        if let Some(code) = trouble.code {
            answer.set_response_code(ResponseCode::from(0, code as u8));
            return answer;
        }
        if trouble.empty {
            return answer;
        }
        let zones = self.zones.borrow();
        let zone = &zones[zones.len().saturating_sub(1 + trouble.behind)];
        let mut name = text(asked.name());
        let mut found = !trouble.no_name;
        while let Some(data) = zone.records.get(&name).filter(|_| found) {
            let alias = data.iter().find_map(|data| match data {
                Data::Alias(to) => Some(to.clone()),
                _ => None,
            });
            let mut records: Vec<Record> = data
                .iter()
                .filter_map(|data| record(&name, zone.ttl, data))
                .filter(|record| record.record_type() == asked.query_type() || alias.is_some())
                .collect();
            if trouble.lies > 0 && asked.query_type() == RecordType::SRV {
                records = records.into_iter().step_by(2).collect();
                self.troubles.borrow_mut()[server].lies -= 1;
            }
            if trouble.glue {
                for record in &records {
                    if let RData::SRV(srv) = record.data() {
                        let host = text(srv.target());
                        let addresses = zone.records.get(&host).into_iter().flatten();
                        answer.add_additionals(
                            addresses.filter_map(|data| super::dns::record(&host, zone.ttl, data)),
                        );
                    }
                }
            }
            answer.add_answers(records);
            match alias {
                Some(to) if answer.answers().len() < 20 => name = to,
                _ => break,
            }
        }
        found &= zone.records.contains_key(&name);
        if answer.answers().iter().all(|record| record.record_type() != asked.query_type()) {
            if !found {
                answer.set_response_code(ResponseCode::NXDomain);
            }
            let host = |text: &str| Name::from_ascii(text).unwrap_or_default();
            let origin = host("example.org.");
            let soa = SOA::new(host("ns.example.org."), host("admin.example.org."), 1, 60, 60, 600, zone.ttl);
            answer.add_name_server(Record::from_rdata(origin, zone.ttl, RData::SOA(soa)));
        }
        answer
    }
}

/// A name as the zone has it: lower case, without the last dot.
fn text(name: &Name) -> String {
    name.to_ascii().trim_end_matches('.').to_ascii_lowercase()
}

fn reply(query: &Message) -> Message {
    let mut answer = Message::new();
    answer.set_id(query.id()).set_message_type(MessageType::Response).set_op_code(OpCode::Query);
    answer.set_recursion_available(true);
    answer.add_queries(query.queries().to_vec());
    answer
}

/// An answer that points somewhere else.
fn forge(query: &Message) -> Message {
    let mut answer = reply(query);
    let Some(asked) = query.queries().first() else { return answer };
    let data = match asked.query_type() {
        RecordType::SRV => {
            RData::SRV(SRV::new(0, 1, 6666, Name::from_ascii("evil.example.org.").unwrap_or_default()))
        }
        _ => RData::A(A(FORGED.into())),
    };
    answer.add_answer(Record::from_rdata(asked.name().clone(), 86_400, data));
    answer
}

fn record(name: &str, ttl: u32, data: &Data) -> Option<Record> {
    let wire = |text: &str| Name::from_ascii(format!("{}.", text.trim_end_matches('.'))).ok();
    let data = match data {
        Data::Srv(priority, weight, port, target) => {
            let target = if target == "." { Name::root() } else { wire(target)? };
            RData::SRV(SRV::new(*priority, *weight, *port, target))
        }
        Data::Address(IpAddr::V4(at)) => RData::A(A(*at)),
        Data::Address(IpAddr::V6(at)) => RData::AAAA(AAAA(*at)),
        Data::Alias(to) => RData::CNAME(CNAME(wire(to)?)),
    };
    Some(Record::from_rdata(wire(name)?, ttl, data))
}
