//! That a backend leaves is acknowledged once a majority of the core knows: from there every door in touch hears of it.
//!
//! The majority is one of the voters that this machine knows of. Who confirms says how far it knows the log; while
//! somebody knows more of it than this machine, this machine may not know who votes, and acknowledges nothing.

use crate::backends::{Backend, BackendState};
use crate::call::Reply;
use crate::control::ControlPlane;
use crate::gossip::SPEAKS;
use crate::peer_message::PeerMessage;
use crate::Millis;
use brassport_config_store::consensus::LogIndex;
use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

/// A call waits for so long for the core, which is asked again so often.
const PATIENCE: Millis = 900;
const ASK_AGAIN: Millis = 120;
/// Ends that are remembered as known to a majority of the core.
const MOST_KNOWN_ENDS: usize = 10_000;

/// A call that is answered once a majority of the core knows of it.
#[derive(Debug)]
struct Unconfirmed {
    call: u64,
    record: Backend,
    confirmed_by: BTreeSet<Ipv4Addr>,
    since: Millis,
    asked: Option<Millis>,
}

/// What has become of a call.
enum Fate {
    Waits,
    AskAgain,
    Known,
    GivenUp,
}

/// Calls that wait for the core.
#[derive(Debug)]
pub(crate) struct Confirmations {
    open: BTreeMap<u64, Unconfirmed>,
    last: u64,
    /// The highest index that one who confirmed knew of.
    newest: LogIndex,
    known_ends: BTreeSet<(String, bool)>,
}

impl Confirmations {
    /// Numbers begin anywhere. Guards against a confirmation that an earlier life of this machine asked for.
    pub(crate) fn new(seed: u64) -> Confirmations {
        let last = seed >> 16;
        Confirmations { open: BTreeMap::new(), last, newest: LogIndex(0), known_ends: BTreeSet::new() }
    }

    fn note_known_end(&mut self, record: &Backend) {
        self.known_ends.insert(end_of(record));
        while self.known_ends.len() > MOST_KNOWN_ENDS {
            self.known_ends.pop_first();
        }
    }
}

fn end_of(record: &Backend) -> (String, bool) {
    (record.id.clone(), record.state == BackendState::Terminated)
}

impl Unconfirmed {
    fn fate(&self, now: Millis, core: &[Ipv4Addr], is_current: bool) -> Fate {
        let known = core.iter().filter(|ip| self.confirmed_by.contains(ip)).count();
        if known > core.len() / 2 && is_current {
            Fate::Known
        } else if now >= self.since + PATIENCE {
            Fate::GivenUp
        } else if self.asked.is_none_or(|at| now >= at + ASK_AGAIN) {
            Fate::AskAgain
        } else {
            Fate::Waits
        }
    }
}

impl ControlPlane {
    /// Answers a call once a majority of the core has this record; at once, if none of the core is heard.
    pub(crate) fn confirm_by_core(&mut self, call: u64, record: Backend) {
        if self.confirmations.known_ends.contains(&end_of(&record)) {
            return self.done(call);
        }
        if self.is_cut_off() {
            return self.reply(call, Reply::Unavailable("none of the core is heard"));
        }
        let me = self.options.node.ip;
        let confirmed_by = self.core().into_iter().filter(|ip| *ip == me).collect();
        let unconfirmed = Unconfirmed { call, record, confirmed_by, since: self.now, asked: None };
        self.confirmations.last += 1;
        self.confirmations.open.insert(self.confirmations.last, unconfirmed);
        self.review_unconfirmed();
    }

    /// Whether other machines of the core are known and none of them was heard of late.
    pub(crate) fn is_cut_off(&self) -> bool {
        let others: Vec<Ipv4Addr> =
            self.core().into_iter().filter(|ip| *ip != self.options.node.ip).collect();
        let heard = |ip: &Ipv4Addr| self.heard.get(ip).is_some_and(|at| self.now < at + SPEAKS);
        !others.is_empty() && self.now >= self.born + SPEAKS && !others.iter().any(heard)
    }

    /// A machine has taken in records under this number.
    pub(crate) fn confirmed(&mut self, number: u64, from: Ipv4Addr, index: LogIndex) {
        let Some(unconfirmed) = self.confirmations.open.get_mut(&number) else { return };
        unconfirmed.confirmed_by.insert(from);
        self.confirmations.newest = self.confirmations.newest.max(index);
        if index > self.replica.state().index {
            self.fetch(from);
        }
        self.review_unconfirmed();
    }

    /// Looks what has become of each call that waits.
    pub(crate) fn review_unconfirmed(&mut self) {
        let (now, core) = (self.now, self.core());
        let is_current = self.replica.state().index >= self.confirmations.newest;
        let numbers: Vec<u64> = self.confirmations.open.keys().copied().collect();
        for number in numbers {
            let Some(unconfirmed) = self.confirmations.open.get(&number) else { continue };
            match unconfirmed.fate(now, &core, is_current) {
                Fate::Waits => {}
                Fate::AskAgain => self.ask_core(number, &core),
                Fate::Known => self.conclude(number, true),
                Fate::GivenUp => self.conclude(number, false),
            }
        }
    }

    fn ask_core(&mut self, number: u64, core: &[Ipv4Addr]) {
        let now = self.now;
        let Some(unconfirmed) = self.confirmations.open.get_mut(&number) else { return };
        unconfirmed.asked = Some(now);
        let message = PeerMessage::BackendRecords(vec![unconfirmed.record.clone()], Some(number));
        let to: Vec<Ipv4Addr> =
            core.iter().copied().filter(|ip| !unconfirmed.confirmed_by.contains(ip)).collect();
        to.into_iter().for_each(|ip| self.send(ip, message.clone()));
    }

    fn conclude(&mut self, number: u64, is_known: bool) {
        let Some(unconfirmed) = self.confirmations.open.remove(&number) else { return };
        if is_known {
            self.confirmations.note_known_end(&unconfirmed.record);
            self.done(unconfirmed.call);
        } else {
            self.reply(unconfirmed.call, Reply::Unavailable("too few of the core answer"));
        }
    }
}
