//! A set of IP addresses, given by prefixes that are allowed and prefixes that are denied.
//!
//! - The longest prefix that holds an address decides; of two alike, the one that denies.
//! - An address that no prefix holds is in the set if `allow` is empty, and else is not.
//! - [`AddressSet::guarded`] also denies what a foreign list has no business to name: loopback, link-local and the like
//!   (RFC 6890), and the places where clouds serve credentials. A prefix of `allow` that is as long opens them, a
//!   shorter one (`0.0.0.0/0`) does not.
//! - IPv4 written as IPv6 (`::ffff:127.0.0.1`, RFC 4291, and `64:ff9b::/96`, RFC 6052) is looked at as IPv4.
//!
//! A look-up costs at most one step for each bit of the address, however many prefixes there are. It decides nothing
//! about who is asked: sources of nodes and listeners do, each with a set of its own.
//!
//! ```
//! use brassport_addresses::AddressSet;
//!
//! let set = AddressSet::guarded(&["10.0.0.0/8"], &["10.9.0.0/16"]).unwrap();
//! assert!(set.check("10.1.2.3".parse().unwrap()).is_ok());
//! assert_eq!(set.check("10.9.2.3".parse().unwrap()).unwrap_err().to_string(), "10.9.2.3 is within 10.9.0.0/16, which 'deny' names");
//! assert_eq!(set.check("127.0.0.1".parse().unwrap()).unwrap_err().to_string(), "127.0.0.1 is loopback (127.0.0.0/8), which 'allow' does not name");
//! ```
#![forbid(unsafe_code)]

use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::PrefixMap;
use std::fmt;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// What no foreign list may name unless it is allowed in so many words.
const GUARDED: [(&str, &str); 14] = [
    ("0.0.0.0/8", "this network"),
    ("127.0.0.0/8", "loopback"),
    ("169.254.0.0/16", "link-local, where clouds serve credentials"),
    ("192.0.0.0/24", "of protocols' own use"),
    ("224.0.0.0/4", "multicast"),
    ("240.0.0.0/4", "reserved"),
    ("100.100.100.200/32", "a cloud's metadata service"),
    ("168.63.129.16/32", "a cloud's metadata service"),
    ("::/128", "no address"),
    ("::1/128", "loopback"),
    ("fe80::/10", "link-local"),
    ("ff00::/8", "multicast"),
    ("fd00:ec2::254/128", "a cloud's metadata service"),
    ("fd20:ce::254/128", "a cloud's metadata service"),
];

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Rule {
    Allowed,
    Denied,
    Guarded(&'static str),
}

/// A set of addresses.
#[derive(Debug, Clone)]
pub struct AddressSet {
    v4: PrefixMap<Ipv4Net, Rule>,
    v6: PrefixMap<Ipv6Net, Rule>,
    /// Whether what no prefix holds is in it.
    open: bool,
}

/// Why an address is not in a set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutOut {
    address: IpAddr,
    by: By,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum By {
    NotAllowed,
    Denied(IpNet),
    Guarded(IpNet, &'static str),
}

impl fmt::Display for ShutOut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let address = self.address;
        match self.by {
            By::NotAllowed => write!(f, "{address} is within no prefix of 'allow'"),
            By::Denied(prefix) => write!(f, "{address} is within {prefix}, which 'deny' names"),
            By::Guarded(prefix, what) => {
                write!(f, "{address} is {what} ({prefix}), which 'allow' does not name")
            }
        }
    }
}

impl std::error::Error for ShutOut {}

impl AddressSet {
    /// All addresses.
    pub fn all() -> AddressSet {
        AddressSet { v4: PrefixMap::new(), v6: PrefixMap::new(), open: true }
    }

    /// The set of these prefixes, and nothing denied beside them.
    ///
    /// # Errors
    /// The prefix that is none.
    pub fn of<T: AsRef<str>>(allow: &[T], deny: &[T]) -> Result<AddressSet, String> {
        let mut set = AddressSet { open: allow.is_empty(), ..AddressSet::all() };
        // Denied last: of two prefixes alike it is the one that counts.
        for text in allow {
            set.put(prefix("allow", text.as_ref())?, Rule::Allowed);
        }
        for text in deny {
            set.put(prefix("deny", text.as_ref())?, Rule::Denied);
        }
        Ok(set)
    }

    /// As [`AddressSet::of`], without what a foreign list has no business to name, unless `allow` does.
    ///
    /// # Errors
    /// The prefix that is none.
    pub fn guarded<T: AsRef<str>>(allow: &[T], deny: &[T]) -> Result<AddressSet, String> {
        let mut set = AddressSet::of(allow, deny)?;
        for (text, what) in GUARDED {
            let guarded = prefix("guarded", text)?;
            if set.exactly(&guarded).is_none() {
                set.put(guarded, Rule::Guarded(what));
            }
        }
        Ok(set)
    }

    /// Whether an address is in the set.
    ///
    /// # Errors
    /// Why it is not.
    pub fn check(&self, address: IpAddr) -> Result<(), ShutOut> {
        let address = plain(address);
        let longest = match address {
            IpAddr::V4(at) => {
                self.v4.get_lpm(&Ipv4Net::from(at)).map(|(net, rule)| (IpNet::from(*net), *rule))
            }
            IpAddr::V6(at) => {
                self.v6.get_lpm(&Ipv6Net::from(at)).map(|(net, rule)| (IpNet::from(*net), *rule))
            }
        };
        let by = match longest {
            Some((_, Rule::Allowed)) => return Ok(()),
            Some((net, Rule::Denied)) => By::Denied(net),
            Some((net, Rule::Guarded(what))) => By::Guarded(net, what),
            None if self.open => return Ok(()),
            None => By::NotAllowed,
        };
        Err(ShutOut { address, by })
    }

    fn put(&mut self, prefix: IpNet, rule: Rule) {
        match prefix {
            IpNet::V4(net) => drop(self.v4.insert(net, rule)),
            IpNet::V6(net) => drop(self.v6.insert(net, rule)),
        }
    }

    fn exactly(&self, prefix: &IpNet) -> Option<Rule> {
        match prefix {
            IpNet::V4(net) => self.v4.get(net).copied(),
            IpNet::V6(net) => self.v6.get(net).copied(),
        }
    }
}

/// A prefix as it is written: a network, or one address.
fn prefix(key: &str, text: &str) -> Result<IpNet, String> {
    let one = || text.parse::<IpAddr>().map(IpNet::from);
    let net = text.parse::<IpNet>().or_else(|_| one());
    let net = net.map_err(|_| format!("{key}: '{text}' is no prefix such as 10.0.0.0/8 or fd00::/8"))?;
    let net = plain_net(net);
    match net == net.trunc() {
        true => Ok(net),
        // Guards against a slip of the pen that would allow more, or other, than was meant.
        false => Err(format!("{key}: '{text}' has bits behind its length; {} is the prefix", net.trunc())),
    }
}

/// IPv4 where it is written as IPv6.
fn plain(address: IpAddr) -> IpAddr {
    let IpAddr::V6(at) = address else { return address };
    match embedded(at) {
        Some(v4) => v4.into(),
        None => address,
    }
}

fn embedded(at: Ipv6Addr) -> Option<Ipv4Addr> {
    let translated = at.segments()[..6] == [0x64, 0xff9b, 0, 0, 0, 0];
    let last = || Ipv4Addr::from((at.to_bits() & u128::from(u32::MAX)) as u32);
    at.to_ipv4_mapped().or_else(|| translated.then(last))
}

fn plain_net(net: IpNet) -> IpNet {
    match (net, net.prefix_len()) {
        (IpNet::V6(v6), 96..) => {
            let v4 = embedded(v6.addr()).and_then(|at| Ipv4Net::new(at, v6.prefix_len() - 96).ok());
            v4.map_or(net, IpNet::from)
        }
        _ => net,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn out(set: &AddressSet, address: &str) -> String {
        set.check(address.parse().unwrap()).map_or_else(|why| why.to_string(), |()| String::new())
    }

    #[test]
    fn the_longest_prefix_decides_and_of_two_alike_the_one_that_denies() {
        let set = AddressSet::of(&["10.0.0.0/8", "10.1.2.0/24"], &["10.1.0.0/16", "10.1.2.0/24"]).unwrap();
        assert_eq!(out(&set, "10.2.0.1"), "");
        assert!(out(&set, "10.1.0.1").contains("10.1.0.0/16"));
        assert!(out(&set, "10.1.2.1").contains("deny"));
        assert!(out(&set, "192.0.2.1").contains("no prefix of 'allow'"));
        assert!(
            out(&set, "2001:db8::1").contains("no prefix of 'allow'"),
            "another family is not allowed either"
        );
        assert_eq!(out(&AddressSet::of::<&str>(&[], &[]).unwrap(), "127.0.0.1"), "");
    }

    #[test]
    fn what_a_foreign_list_must_not_name_is_opened_only_in_so_many_words() {
        let closed = AddressSet::guarded::<&str>(&[], &[]).unwrap();
        for address in [
            "127.0.0.1",
            "0.0.0.0",
            "169.254.169.254",
            "255.255.255.255",
            "::1",
            "::",
            "fe80::1",
            "ff02::1",
            "fd00:ec2::254",
        ] {
            assert!(out(&closed, address).contains("'allow' does not name"), "{address}");
        }
        assert_eq!(out(&closed, "192.0.2.1") + &out(&closed, "2001:db8::1"), "");
        let wide = AddressSet::guarded(&["0.0.0.0/0", "::/0"], &[]).unwrap();
        assert!(out(&wide, "127.0.0.1").contains("loopback") && out(&wide, "::1").contains("loopback"));
        let named = AddressSet::guarded(&["127.0.0.0/8"], &[]).unwrap();
        assert_eq!(out(&named, "127.9.9.9"), "");
        assert!(out(&named, "169.254.169.254").contains("credentials"));
    }

    #[test]
    fn ipv4_in_the_clothes_of_ipv6_is_ipv4() {
        let set = AddressSet::guarded::<&str>(&[], &["192.0.2.0/24"]).unwrap();
        for address in ["::ffff:127.0.0.1", "64:ff9b::127.0.0.1", "::ffff:169.254.169.254"] {
            assert!(out(&set, address).contains("'allow' does not name"), "{address}");
        }
        assert!(out(&set, "::ffff:192.0.2.7").contains("deny"));
        let written = AddressSet::of(&[], &["::ffff:192.0.2.0/120"]).unwrap();
        assert!(out(&written, "192.0.2.7").contains("192.0.2.0/24"));
    }

    #[test]
    fn what_is_no_prefix_is_named_with_the_way_out() {
        let problem = |text: &str| AddressSet::of(&[text], &[]).unwrap_err();
        assert!(problem("10.0.0.1/8").contains("10.0.0.0/8"));
        assert!(problem("ten").contains("allow: 'ten'") && problem("10.0.0.0/33").contains("/33"));
        assert!(AddressSet::of(&["10.0.0.1"], &[]).unwrap().check("10.0.0.1".parse().unwrap()).is_ok());
    }

    proptest! {
        /// The trie finds what a look at every prefix finds.
        #[test]
        fn any_prefixes_give_what_the_longest_of_them_says(
            prefixes in proptest::collection::vec((any::<u32>(), 0u8..=32, any::<bool>()), 0..40),
            address in any::<u32>(),
        ) {
            let nets: Vec<(Ipv4Net, bool)> = prefixes
                .iter()
                .map(|(at, length, allow)| (Ipv4Net::new((*at).into(), *length).unwrap().trunc(), *allow))
                .collect();
            let of = |allowed: bool| -> Vec<String> {
                nets.iter().filter(|(_, allow)| *allow == allowed).map(|(net, _)| net.to_string()).collect()
            };
            let set = AddressSet::of(&of(true), &of(false)).unwrap();
            let at = Ipv4Addr::from(address);
            let longest = nets.iter().filter(|(net, _)| net.contains(&at)).max_by_key(|(net, allow)| (net.prefix_len(), !allow));
            let expected = longest.map_or(of(true).is_empty(), |(_, allow)| *allow);
            prop_assert_eq!(set.check(at.into()).is_ok(), expected);
        }
    }
}
