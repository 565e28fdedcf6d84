//! What is asked, and what an answer says, in plain data.

use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;

/// Most bytes of a name as it is written, and of one of its labels (RFC 1035, section 2.3.4).
const NAME_LIMIT: usize = 253;
const LABEL_LIMIT: usize = 63;

/// A domain name in one form: lower case, without the last dot; the root is empty.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Arc<str>);

impl Name {
    /// Reads a name of letters, digits, `-` and `_`, with or without its last dot.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn parse(text: &str) -> Result<Name, String> {
        let bare = text.strip_suffix('.').unwrap_or(text);
        if bare.is_empty() {
            return if text == "." { Ok(Name("".into())) } else { Err("a name is not empty".into()) };
        }
        if bare.len() > NAME_LIMIT {
            return Err(format!("'{text}' has more than {NAME_LIMIT} characters"));
        }
        for label in bare.split('.') {
            let plain = label.bytes().all(|byte| byte.is_ascii_alphanumeric() || b"-_".contains(&byte));
            if label.is_empty() || label.len() > LABEL_LIMIT || !plain {
                return Err(format!(
                    "'{}' is no name: between its dots stand 1 to {LABEL_LIMIT} letters, digits, '-' and '_'",
                    text.escape_default()
                ));
            }
        }
        Ok(Name(bare.to_ascii_lowercase().into()))
    }

    /// The name without its last dot.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether it is the root, which stands for "no such service" in an SRV record (RFC 2782).
    pub fn is_root(&self) -> bool {
        self.0.is_empty()
    }

    /// Whether this name is `zone` or stands below it.
    pub fn is_within(&self, zone: &Name) -> bool {
        let rest = self.0.strip_suffix(&*zone.0);
        rest.is_some_and(|rest| rest.is_empty() || rest.ends_with('.') || zone.is_root())
    }

    /// The domain that a service's name belongs to: without the labels of service and protocol, which begin with `_`.
    pub fn domain(&self) -> Name {
        let mut rest = &*self.0;
        while rest.starts_with('_') {
            rest = rest.split_once('.').map_or("", |(_, behind)| behind);
        }
        Name(rest.into())
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.is_root() { "." } else { &self.0 })
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self}")
    }
}

/// A type of record that is asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// IPv4 addresses (RFC 1035).
    A,
    /// IPv6 addresses (RFC 3596).
    Aaaa,
    /// Where a service is (RFC 2782).
    Srv,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::A => "A",
            Kind::Aaaa => "AAAA",
            Kind::Srv => "SRV",
        })
    }
}

/// A question.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Question {
    /// Of this name.
    pub name: Name,
    /// These records.
    pub kind: Kind,
}

impl Question {
    /// A question.
    pub fn new(name: &Name, kind: Kind) -> Question {
        Question { name: name.clone(), kind }
    }
}

impl fmt::Display for Question {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.name, self.kind)
    }
}

/// A place of a service (RFC 2782).
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Srv {
    /// The lowest goes first.
    pub priority: u16,
    /// Against others of its priority.
    pub weight: u16,
    /// The port.
    pub port: u16,
    /// The host; the root: there is no such service.
    pub target: Name,
}

/// The data of one record.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Data {
    /// Of A and AAAA.
    Address(IpAddr),
    /// Of SRV.
    Srv(Srv),
}

/// What a whole answer says of its question.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Said {
    /// These records are all that there are; sorted, each once, and never none.
    Records(Vec<Data>),
    /// The name has no such records (NODATA, RFC 2308). `proven`: the zone's SOA came along, as it should.
    NoData { proven: bool },
    /// There is no such name (NXDOMAIN).
    NoName { proven: bool },
}

impl Said {
    /// The records; none where it says that there are none.
    pub fn records(&self) -> &[Data] {
        match self {
            Said::Records(records) => records,
            Said::NoData { .. } | Said::NoName { .. } => &[],
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_have_one_form_and_what_is_none_is_refused() {
        let name = |text| Name::parse(text).expect(text);
        assert_eq!(name("_Render._TCP.Example.org."), name("_render._tcp.example.ORG"));
        assert!(name(".").is_root());
        for text in ["", "..", "a..b", "a b", "a\u{7f}", &"a".repeat(64), &"abc.".repeat(80)] {
            assert!(Name::parse(text).is_err(), "{text}");
        }
    }

    #[test]
    fn a_name_is_within_a_zone_by_whole_labels_only() {
        let name = |text| Name::parse(text).expect(text);
        let zone = name("_render._tcp.example.org").domain();
        assert_eq!(zone, name("example.org"));
        assert!(name("a.example.org").is_within(&zone) && name("example.org").is_within(&zone));
        assert!(!name("evil-example.org").is_within(&zone), "another domain that ends alike");
        assert!(!name("example.org.evil").is_within(&zone));
    }
}
