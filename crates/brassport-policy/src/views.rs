//! What a gateway shows of itself. It decides nothing.

use crate::control::Gateway;
use crate::interface::*;

/// What a gateway does at this moment, for operators.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figures {
    /// Servers in the list, those that only end their work among them.
    pub known: usize,
    /// Servers that take requests.
    pub ready: usize,
    /// Of these, servers left out for their failures.
    pub ejected: usize,
    /// Own attempts in flight.
    pub in_flight: usize,
    /// Most attempts that it would have in flight now.
    pub room_limit: f64,
    /// Share of what the quotas admit that it has room for.
    pub room_part: f64,
    /// Requests refused so far for want of room.
    pub no_room: u64,
    /// Requests refused so far for want of a server.
    pub no_server: u64,
}

impl Gateway {
    /// What it does at this moment.
    pub fn figures(&self, now: Millis) -> Figures {
        let takes =
            |id: ServerId| self.fleet.entry(id).is_some_and(|entry| entry.lifecycle == Lifecycle::Ready);
        let ready = self.fleet.servers.keys().filter(|id| takes(**id));
        let ejected = ready.filter(|id| self.avoids(**id, now)).count();
        let (room_limit, room_part) = self.room();
        Figures {
            known: self.fleet.len(),
            ready: self.fleet.ready(),
            ejected,
            in_flight: self.fleet.in_hand() as usize,
            room_limit,
            room_part,
            no_room: self.tally.total_no_capacity(),
            no_server: self.tally.total_no_server(),
        }
    }

    /// Most attempts that it would have out now, and the share of what the quotas admit that it has room for.
    pub fn room(&self) -> (f64, f64) {
        (self.room.limit, self.room.part)
    }

    /// Whether a server that takes requests is left out at this moment, for its failures.
    pub fn avoids(&self, server: ServerId, now: Millis) -> bool {
        self.fleet.servers.get(&server).is_some_and(|server| server.is_ejected(now))
    }
}
