//! The boundary to the codec: queries as bytes, and what the bytes of an answer say of the question.
//!
//! Of an answer counts what was asked for and what its CNAMEs lead to (RFC 1034, section 3.6.2), addresses of its SRV
//! targets within the question's own domain, and the SOA of a zone that the name stands in. All else is passed over.

use crate::mutants::mutant;
use crate::question::{Data, Kind, Name, Question, Said, Srv};
use hickory_proto::op::{Edns, Header, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::{DNSClass, RData, Record, RecordType};
use hickory_proto::serialize::binary::{BinDecodable, BinDecoder};
use std::net::IpAddr;

/// Bytes of a UDP answer that fit a path without fragments (EDNS(0), RFC 6891; DNS flag day 2020).
pub const UDP_PAYLOAD: u16 = 1232;
/// CNAMEs that are followed within one message.
const MOST_ALIASES: usize = 8;

/// What an answer says that fits its query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It is not whole: nothing in it counts (RFC 2181, section 9).
    Truncated,
    /// The resolver could not answer, with this code.
    Code(u16),
    /// It refers to other servers.
    Referral,
    /// The name is another one's alias, of which nothing is told.
    Alias { to: Name, ttl: u32 },
    /// All there is to say, with its lifetime in seconds and what came along.
    Said { said: Said, ttl: u32, glue: Vec<(Name, IpAddr)> },
}

fn record_type(kind: Kind) -> RecordType {
    match kind {
        Kind::A => RecordType::A,
        Kind::Aaaa => RecordType::AAAA,
        Kind::Srv => RecordType::SRV,
    }
}

fn wire_name(name: &Name) -> hickory_proto::rr::Name {
    // Every `Name` is of labels that fit; the root stands for one that did not, and asks for nothing harmful.
    let mut wire = hickory_proto::rr::Name::from_ascii(name.as_str()).unwrap_or_default();
    wire.set_fqdn(true);
    wire
}

fn plain_name(name: &hickory_proto::rr::Name) -> Option<Name> {
    Name::parse(&name.to_ascii()).ok()
}

/// The bytes of a query: one question, recursion desired, EDNS(0).
pub fn query(id: u16, asked: &Question) -> Vec<u8> {
    let mut message = Message::new();
    message
        .set_id(id)
        .set_message_type(MessageType::Query)
        .set_op_code(OpCode::Query)
        .set_recursion_desired(true);
    message.add_query(Query::query(wire_name(&asked.name), record_type(asked.kind)));
    let mut edns = Edns::new();
    edns.set_max_payload(UDP_PAYLOAD).set_version(0);
    message.set_edns(edns);
    message.to_vec().unwrap_or_default()
}

/// What these bytes say of this question. `None` if they are no answer to it: another id, another question, no DNS.
pub fn answer(bytes: &[u8], id: u16, asked: &Question) -> Option<Verdict> {
    let mut decoder = BinDecoder::new(bytes);
    let header = Header::read(&mut decoder).ok()?;
    let fits = (header.id() == id || mutant!(IgnoreId))
        && header.message_type() == MessageType::Response
        && header.op_code() == OpCode::Query
        && header.query_count() == 1;
    if !fits {
        return None;
    }
    let echoed = Query::read(&mut decoder).ok()?;
    let echoes = plain_name(echoed.name()).is_some_and(|name| name == asked.name)
        && echoed.query_type() == record_type(asked.kind)
        && echoed.query_class() == DNSClass::IN;
    if !echoes && !mutant!(IgnoreQuestion) {
        return None;
    }
    // Looked at before the records: one that is cut within a record cannot be read at all.
    if header.truncated() && !mutant!(TrustTruncated) {
        return Some(Verdict::Truncated);
    }
    let message = Message::from_vec(bytes).ok()?;
    match message.response_code() {
        ResponseCode::NoError | ResponseCode::NXDomain => {}
        _ if mutant!(FailureIsEmpty) => {}
        code => return Some(Verdict::Code(code.into())),
    }
    Some(judge(&message, asked))
}

fn judge(message: &Message, asked: &Question) -> Verdict {
    let mut at = asked.name.clone();
    let mut least = u32::MAX;
    let mut aliases = 0;
    let owned = |records: &[Record], name: &Name| -> Vec<Record> {
        let fits = |record: &&Record| {
            record.dns_class() == DNSClass::IN
                && plain_name(record.name()).is_some_and(|owner| owner == *name)
        };
        records.iter().filter(fits).cloned().collect()
    };
    loop {
        let here = owned(message.answers(), &at);
        let mut data = Vec::new();
        for record in &here {
            if let Some(datum) = datum(record, asked.kind) {
                least = least.min(lifetime(record));
                data.push(datum);
            }
        }
        if !data.is_empty() {
            data.sort();
            data.dedup();
            let glue = glue(message, asked, &data);
            return Verdict::Said { said: Said::Records(data), ttl: least, glue };
        }
        let alias = here.iter().find_map(|record| match record.data() {
            RData::CNAME(to) => Some((plain_name(&to.0)?, lifetime(record))),
            _ => None,
        });
        match alias {
            Some((to, ttl)) if aliases < MOST_ALIASES => {
                (at, least, aliases) = (to, least.min(ttl), aliases + 1);
            }
            // A circle, or too long a way: left to who counts the messages.
            Some((to, ttl)) => return Verdict::Alias { to, ttl },
            None => break,
        }
    }
    let soa = message.name_servers().iter().find_map(|record| match record.data() {
        RData::SOA(soa) => {
            let within = plain_name(record.name()).is_some_and(|zone| at.is_within(&zone));
            within.then(|| lifetime(record).min(soa.minimum()))
        }
        _ => None,
    });
    // Without the zone's word on it (RFC 2308, section 5) it is kept as shortly as can be.
    let (proven, ttl) = (soa.is_some(), soa.unwrap_or(0).min(least));
    if message.response_code() == ResponseCode::NXDomain {
        return Verdict::Said { said: Said::NoName { proven }, ttl, glue: Vec::new() };
    }
    let refers = message.name_servers().iter().any(|record| record.record_type() == RecordType::NS);
    if !proven && aliases > 0 {
        return Verdict::Alias { to: at, ttl: least };
    }
    if !proven && refers {
        return Verdict::Referral;
    }
    Verdict::Said { said: Said::NoData { proven }, ttl, glue: Vec::new() }
}

/// Seconds; one with the highest bit set counts as none (RFC 2181, section 8).
fn lifetime(record: &Record) -> u32 {
    if record.ttl() > i32::MAX as u32 {
        0
    } else {
        record.ttl()
    }
}

fn datum(record: &Record, kind: Kind) -> Option<Data> {
    match (kind, record.data()) {
        (Kind::A, RData::A(address)) => Some(Data::Address(address.0.into())),
        (Kind::Aaaa, RData::AAAA(address)) => Some(Data::Address(address.0.into())),
        (Kind::Srv, RData::SRV(srv)) => Some(Data::Srv(Srv {
            priority: srv.priority(),
            weight: srv.weight(),
            port: srv.port(),
            target: plain_name(srv.target())?,
        })),
        _ => None,
    }
}

/// Addresses that came along for targets of the answer, if they stand in the domain that was asked about: of others
/// the zone that was asked has no word.
fn glue(message: &Message, asked: &Question, data: &[Data]) -> Vec<(Name, IpAddr)> {
    if asked.kind != Kind::Srv {
        return Vec::new();
    }
    let domain = asked.name.domain();
    let mut targets: Vec<&Name> = data
        .iter()
        .filter_map(|datum| match datum {
            Data::Srv(srv) if srv.target.is_within(&domain) => Some(&srv.target),
            _ => None,
        })
        .collect();
    targets.sort();
    let address = |record: &Record| {
        let owner = plain_name(record.name())?;
        targets.binary_search(&&owner).ok()?;
        match record.data() {
            RData::A(address) => Some((owner, IpAddr::from(address.0))),
            RData::AAAA(address) => Some((owner, IpAddr::from(address.0))),
            _ => None,
        }
    };
    let mut glue: Vec<_> = message.additionals().iter().filter_map(address).collect();
    glue.sort();
    glue.dedup();
    glue
}
