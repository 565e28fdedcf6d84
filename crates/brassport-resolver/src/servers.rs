//! Which recursive resolver is asked next: learned round-trip times and health.

use crate::Millis;
use std::net::SocketAddr;

/// Taken for the round-trip time of a resolver that has not answered yet, in milliseconds.
const UNKNOWN_RTT: f64 = 50.0;
/// Weight of a new round-trip time in the smoothed one (RFC 6298, section 2).
const SAMPLE: f64 = 0.125;
/// A resolver that failed rests for so long, twice as long with each further failure, in milliseconds.
const FIRST_REST: Millis = 500;
const LAST_REST: Millis = 30_000;
/// Failures in a row behind which a resolver is no longer counted on for a second word.
const GIVEN_UP: u32 = 3;

/// How a resolver stands, for people.
#[derive(Debug, Clone, PartialEq)]
pub struct ServerNow {
    /// Where it is.
    pub address: SocketAddr,
    /// Smoothed round-trip time in milliseconds, if it has answered.
    pub rtt_ms: Option<f64>,
    /// Failures in a row.
    pub failures: u32,
    /// Answers that were used.
    pub answered: u64,
    /// Datagrams that came in the name of an answer, and were none.
    pub ignored: u64,
}

#[derive(Debug)]
struct Server {
    address: SocketAddr,
    rtt: Option<f64>,
    failures: u32,
    rests_until: Millis,
    answered: u64,
    ignored: u64,
}

/// The resolvers, by their place in the configuration.
#[derive(Debug)]
pub(crate) struct Servers(Vec<Server>);

impl Servers {
    pub fn new(addresses: &[SocketAddr]) -> Servers {
        let server = |address: &SocketAddr| Server {
            address: *address,
            rtt: None,
            failures: 0,
            rests_until: 0,
            answered: 0,
            ignored: 0,
        };
        Servers(addresses.iter().map(server).collect())
    }

    pub fn len(&self) -> usize {
        self.0.len()
    }

    pub fn address(&self, server: usize) -> SocketAddr {
        self.0[server].address
    }

    /// The one to ask: not one of `tried` while there is another, not one that rests while there is another; then the
    /// next behind `last`, or else the fastest. `explore` from 0 to 1 now and then names another than the fastest, so
    /// that its time stays known.
    pub fn choose(&self, now: Millis, tried: &[usize], last: Option<usize>, explore: f64) -> usize {
        let rank = |at: &usize| {
            let server = &self.0[*at];
            let times = tried.iter().filter(|tried| *tried == at).count();
            let rest = server.rests_until.saturating_sub(now);
            (times, rest, server.rtt.unwrap_or(UNKNOWN_RTT))
        };
        let mut order: Vec<usize> = (0..self.0.len()).collect();
        order.sort_by(|a, b| rank(a).partial_cmp(&rank(b)).unwrap_or(std::cmp::Ordering::Equal));
        let fit = order.iter().take_while(|at| (rank(at).0, rank(at).1) == (rank(&order[0]).0, 0)).count();
        if let Some(last) = last {
            let behind = |at: &&usize| (**at + self.0.len() - 1 - last) % self.0.len();
            return order[..fit].iter().min_by_key(behind).copied().unwrap_or(order[0]);
        }
        // One in twenty questions goes to another of those that would do as well.
        let place =
            if fit > 1 && explore < 0.05 { 1 + (explore * 20.0 * (fit - 1) as f64) as usize } else { 0 };
        order[place]
    }

    /// Whether another than this one may well answer. A datagram that was lost speaks against nobody.
    pub fn has_another(&self, server: usize) -> bool {
        self.0.iter().enumerate().any(|(at, other)| at != server && other.failures < GIVEN_UP)
    }

    /// Three times its round-trip time, within these bounds: how long an answer is waited for.
    pub fn patience(&self, server: usize, least: Millis, most: Millis) -> Millis {
        (3.0 * self.0[server].rtt.unwrap_or(f64::INFINITY)).clamp(least as f64, most as f64) as Millis
    }

    pub fn answered(&mut self, server: usize, rtt: Millis) {
        let server = &mut self.0[server];
        let smoothed = server.rtt.unwrap_or(rtt as f64);
        server.rtt = Some(smoothed + SAMPLE * (rtt as f64 - smoothed));
        (server.failures, server.rests_until) = (0, 0);
        server.answered += 1;
    }

    pub fn failed(&mut self, now: Millis, server: usize) {
        let server = &mut self.0[server];
        server.failures += 1;
        let rest = (FIRST_REST << (server.failures - 1).min(8)).min(LAST_REST);
        server.rests_until = now + rest;
    }

    pub fn ignored(&mut self, server: usize) {
        self.0[server].ignored += 1;
    }

    pub fn now(&self) -> Vec<ServerNow> {
        let row = |server: &Server| ServerNow {
            address: server.address,
            rtt_ms: server.rtt,
            failures: server.failures,
            answered: server.answered,
            ignored: server.ignored,
        };
        self.0.iter().map(row).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_fastest_is_asked_and_one_that_failed_rests() {
        let mut servers =
            Servers::new(&["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"].map(|at| at.parse().unwrap()));
        (0..3).for_each(|at| servers.answered(at, [30, 5, 10][at]));
        assert_eq!(servers.choose(0, &[], None, 1.0), 1);
        assert_eq!(servers.choose(0, &[1], None, 1.0), 2, "one that was tried comes last");
        servers.failed(0, 1);
        assert_eq!(servers.choose(100, &[], None, 1.0), 2);
        assert_eq!(servers.choose(FIRST_REST, &[], None, 1.0), 1, "it has rested");
        servers.failed(1000, 1);
        servers.failed(1000, 1);
        assert_eq!(servers.choose(1000 + FIRST_REST, &[], None, 1.0), 2, "and rests longer each time");
        assert_eq!(
            servers.choose(0, &[0, 1, 2, 2], None, 1.0),
            0,
            "each was tried: the first of those tried least that do not rest"
        );
        assert_eq!(servers.choose(100_000, &[], None, 0.0), 2, "now and then another is asked");
    }

    #[test]
    fn each_has_its_turn_behind_the_last_but_one_that_was_tried_or_rests() {
        let mut servers =
            Servers::new(&["127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"].map(|at| at.parse().unwrap()));
        (0..3).for_each(|at| servers.answered(at, [30, 5, 10][at]));
        assert_eq!([0, 1, 2].map(|last| servers.choose(0, &[], Some(last), 0.0)), [1, 2, 0]);
        assert_eq!(servers.choose(0, &[1], Some(0), 0.0), 2);
        servers.failed(0, 2);
        assert_eq!(servers.choose(0, &[], Some(1), 0.0), 0);
        servers.failed(0, 0);
        servers.failed(0, 1);
        assert!(servers.choose(0, &[], Some(1), 0.0) < 3, "all rest");
    }
}
