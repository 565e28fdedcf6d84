//! What a gateway shows of its state, for metrics and operators.

use crate::interface::*;
use crate::policy::Gateway;

/// The state of a gateway at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figures {
    /// Servers in the list, draining ones and removed ones with attempts in flight among them.
    pub known: usize,
    /// Servers that take requests.
    pub ready: usize,
    /// Of these, servers that are ejected for their failures.
    pub ejected: usize,
    /// This gateway's attempts in flight.
    pub in_flight: usize,
    /// Concurrency limit, attempts.
    pub room_limit: f64,
    /// Fraction of what the quotas admit that the servers have capacity for, 0 to 1.
    pub room_part: f64,
    /// Requests rejected for lack of capacity since the start.
    pub no_room: u64,
    /// Requests rejected for lack of a server since the start.
    pub no_server: u64,
}

impl Gateway {
    /// The state at `now`. Costs time in proportion to the number of servers.
    pub fn figures(&self, now: Millis) -> Figures {
        let balancer = &self.balancer;
        let takes =
            |id: ServerId| balancer.entry(id).is_some_and(|entry| entry.lifecycle == Lifecycle::Ready);
        let ready = balancer.servers.keys().filter(|id| takes(**id));
        let ejected = ready.filter(|id| self.avoids(**id, now)).count();
        let (room_limit, room_part) = self.room();
        Figures {
            known: balancer.len(),
            ready: balancer.ready(),
            ejected,
            in_flight: balancer.in_flight() as usize,
            room_limit,
            room_part,
            no_room: self.rejections.total_no_capacity(),
            no_server: self.rejections.total_no_server(),
        }
    }

    /// The concurrency limit in attempts, and the fraction (0 to 1) of what the quotas admit that the servers
    /// have capacity for.
    pub fn room(&self) -> (f64, f64) {
        (self.concurrency.limit, self.concurrency.fraction)
    }

    /// Whether a server is ejected at `now` for its failures.
    pub fn avoids(&self, server: ServerId, now: Millis) -> bool {
        self.balancer.servers.get(&server).is_some_and(|server| server.is_ejected(now))
    }
}
