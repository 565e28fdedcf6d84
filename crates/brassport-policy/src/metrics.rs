//! The part of a gateway's state that is shown to operators and in metrics.

use crate::interface::*;
use crate::policy::Gateway;

/// State of a gateway at one time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GatewayMetrics {
    /// Number of servers in the list, and of removed servers that have attempts in flight.
    pub servers: usize,
    /// Number of servers that accept new requests.
    pub ready: usize,
    /// Number of ready servers that are ejected for their failures.
    pub ejected: usize,
    /// Number of this gateway's attempts in flight.
    pub in_flight: usize,
    /// Concurrency limit, in attempts in flight.
    pub concurrency_limit: f64,
    /// Fraction of the requests within quota that the servers have capacity for, 0 to 1.
    pub admitted_fraction: f64,
    /// Number of requests rejected for lack of capacity since the start.
    pub rejected_no_capacity: u64,
    /// Number of requests rejected for lack of a server since the start.
    pub rejected_no_server: u64,
}

impl Gateway {
    /// Returns the state at `now`. Takes time in proportion to the number of servers.
    pub fn metrics(&self, now: Millis) -> GatewayMetrics {
        let balancer = &self.balancer;
        let is_ready =
            |id: ServerId| balancer.entry(id).is_some_and(|entry| entry.lifecycle == Lifecycle::Ready);
        let ready = balancer.servers.keys().filter(|id| is_ready(**id));
        let ejected = ready.filter(|id| self.is_ejected(**id, now)).count();
        let (concurrency_limit, admitted_fraction) = self.capacity();
        GatewayMetrics {
            servers: balancer.len(),
            ready: balancer.ready(),
            ejected,
            in_flight: balancer.in_flight() as usize,
            concurrency_limit,
            admitted_fraction,
            rejected_no_capacity: self.rejections.total_no_capacity(),
            rejected_no_server: self.rejections.total_no_server(),
        }
    }

    /// Returns the concurrency limit, in attempts in flight, and the fraction (0 to 1) of the requests within
    /// quota that the servers have capacity for.
    pub fn capacity(&self) -> (f64, f64) {
        (self.concurrency.limit, self.concurrency.fraction)
    }

    /// Whether a server is ejected at `now` for its failures.
    pub fn is_ejected(&self, server: ServerId, now: Millis) -> bool {
        self.balancer.servers.get(&server).is_some_and(|server| server.is_ejected(now))
    }
}
